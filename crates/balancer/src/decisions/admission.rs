//! Admission of requests: each is sent, queued or shed on arrival.

use super::tuning::*;
use crate::api::*;
use crate::state::*;

/// Maximum number of votes for the usual time left of a class; a change in the clients' behaviour is accepted after as many
/// requests.
const MAX_VOTES: u32 = 50;
/// With fewer recent rejections and failures no request is taken for a retry that is not marked as one; less than one, for
/// they decay.
const MIN_RETRIABLE_ENDINGS: f64 = 0.5;
/// The fraction of its class's baseline latency that a response takes at least.
const FASTEST_RESPONSE: f64 = 0.7;

impl Balancer {
    pub(super) fn on_request(&mut self, now: Time, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        if request.class.0 >= self.settings.classes.len() {
            actions.push(Action::Shed { request: id, retry_after: None });
            return;
        }
        if self.requests.contains_key(&id) {
            return;
        }
        let pending = self.pending_request(now, request);
        let is_too_late = self.is_too_late(now, &pending);
        let class = pending.request.class.0;
        self.retry_balances.deposit(pending.request.limits(), self.sparse);
        self.requests.insert(id, pending);
        self.hint_budget = (self.hint_budget + HINT_BUDGET_PER_REQUEST).min(HINT_BUDGET_MAX);
        if is_too_late || !self.admits(now, class) || self.all_zones_unreachable(now) {
            self.finish(now, id, actions);
        } else if !self.try_send(now, id, actions) {
            self.enqueue(now, id, actions);
        }
    }

    /// The state of a new request, which is counted as traffic here.
    fn pending_request(&mut self, now: Time, request: Request) -> PendingRequest {
        let spent = self.time_spent_before(now, &request);
        let deadline = now + request.time_left.min(request.limits().timeout);
        let objective = self.settings.classes[request.class.0].latency_objective;
        let time_to_objective =
            if request.streaming { request.time_left } else { objective.saturating_sub(spent) };
        self.traffic.count(now, &request);
        let over_quota = self.is_over_quota(&request);
        PendingRequest {
            request,
            deadline,
            objective_deadline: (now + time_to_objective).min(deadline),
            attempts: Vec::new(),
            is_client_retry: spent > Micros::ZERO,
            is_bound: false,
            is_exhausted: false,
            over_quota,
            queued_since: None,
        }
    }

    /// The time that a client's earlier attempts have taken. First attempts of a class usually arrive with equal time left.
    /// A request with another one is a retry with the remainder of its deadline if its client marks it, or if a request of
    /// its class was rejected or has failed that no retry has followed yet. Otherwise its client has less patience.
    fn time_spent_before(&mut self, now: Time, request: &Request) -> Micros {
        let tolerance = self.settings.event_interval;
        let deadline = self.settings.classes[request.class.0].deadline;
        let stats = &mut self.classes[request.class.0];
        let (usual, time_left) = (stats.usual_time_left, request.time_left);
        let is_usual =
            time_left.saturating_sub(usual) <= tolerance && usual.saturating_sub(time_left) <= tolerance;
        let is_first = is_usual || stats.usual_votes == 0 || request.streaming;
        match stats.usual_votes {
            _ if request.streaming => {}
            0 => (stats.usual_time_left, stats.usual_votes) = (time_left, 1),
            votes if is_first => stats.usual_votes = (votes + 1).min(MAX_VOTES),
            _ => stats.usual_votes -= 1,
        }
        if is_first {
            return Micros::ZERO;
        }
        let follows_an_ending = stats.retriable_endings.at(now) >= MIN_RETRIABLE_ENDINGS;
        if follows_an_ending {
            stats.retriable_endings.add(now, deadline.ms(), -1.0);
        }
        if request.is_retry || follows_an_ending {
            deadline.saturating_sub(time_left)
        } else {
            Micros::ZERO
        }
    }

    /// The body of a streaming request is complete: its servers can process it now, and its deadline runs.
    pub(super) fn on_body_complete(&mut self, now: Time, id: RequestId, time_left: Micros) {
        let Some(pending) = self.requests.get_mut(&id).filter(|pending| pending.request.streaming) else {
            return;
        };
        let objective = self.settings.classes[pending.request.class.0].latency_objective;
        pending.request.streaming = false;
        pending.deadline = now + time_left.min(pending.request.limits().timeout);
        pending.objective_deadline = (now + objective).min(pending.deadline);
        let first = AttemptKey { request: id, attempt: AttemptNo(0) };
        let last = AttemptKey { request: id, attempt: AttemptNo(u32::MAX) };
        for attempt in self.in_flight.range_mut(first..=last).map(|(_, attempt)| attempt) {
            if attempt.is_streaming {
                (attempt.is_streaming, attempt.sent_at) = (false, now);
                self.servers[attempt.server].in_flight += 1;
            }
        }
    }

    pub(super) fn on_attempts_exhausted(&mut self, id: RequestId) {
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.is_exhausted = true;
        }
    }

    pub(super) fn on_first_byte(&mut self, id: RequestId, attempt: AttemptNo) {
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.is_bound = (attempt.0 as usize) < pending.attempts.len();
        }
    }

    /// Admits a part of the requests at random while the fleet is congested, protected classes first. Limits per server
    /// have no effect for a sparse balancer, which sends each of them one request in many seconds.
    fn admits(&mut self, now: Time, class: usize) -> bool {
        let admitted = if self.sparse { self.admitted_fraction(now) } else { 1.0 };
        let admitted = admitted.min(self.slow_start.admitted);
        if admitted >= 1.0 {
            return true;
        }
        let classes = 0..self.classes.len();
        let protected: f64 = classes
            .clone()
            .filter(|&class| self.classes[class].is_protected)
            .map(|class| self.class_work(class))
            .sum();
        let protected = protected / classes.map(|class| self.class_work(class)).sum::<f64>().max(1e-9);
        let probability = if self.classes[class].is_protected {
            admitted / protected
        } else {
            (admitted - protected) / (1.0 - protected).max(1e-9)
        };
        self.rng.f64() < probability.max(MIN_ADMITTED)
    }

    /// Whether all serving servers are unreachable and the next attempt is not due yet; if it is due, it is used up.
    fn all_zones_unreachable(&mut self, now: Time) -> bool {
        if !self.sparse || self.zones.values().all(|zone| zone.unreachable_until <= now) {
            return false;
        }
        if self.serving.iter().any(|&server| !self.is_unreachable(&self.servers[server], now)) {
            return false;
        }
        if now < self.next_unreachable_attempt {
            return true;
        }
        self.next_unreachable_attempt = now + MIN_TRIAL_BACKOFF;
        false
    }

    /// Whether the response to a request sent now would come too late to be of value.
    pub(super) fn is_too_late(&self, now: Time, pending: &PendingRequest) -> bool {
        let index = pending.request.class.0;
        let class = &self.settings.classes[index];
        let fastest = class.latency_objective * (FASTEST_RESPONSE * self.classes[index].baseline_latency);
        let latest = if class.late_weight > 0.0 { pending.deadline } else { pending.objective_deadline };
        now + fastest >= latest
    }
}
