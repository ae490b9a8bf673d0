//! Admission of requests: a new request is sent, queued or shed.

use super::tuning::*;
use crate::api::*;
use crate::state::*;

/// Maximum number of votes for the usual time left of a class. When clients change their deadlines, the new time left is
/// accepted after this many requests.
const MAX_TIME_LEFT_VOTES: u32 = 50;
/// Minimum number of recent requests that were shed or failed, for a request without a retry mark to be treated as a
/// client's retry. It is less than one because the number decays.
const MIN_AWAITED_CLIENT_RETRIES: f64 = 0.5;
/// Lower bound of the time until a response, as a fraction of the baseline latency of the class.
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
        self.retry_balances.deposit(pending.request.limits(), self.is_sparse);
        self.requests.insert(id, pending);
        self.hint_budget = (self.hint_budget + HINT_BUDGET_PER_REQUEST).min(HINT_BUDGET_MAX);
        if is_too_late || !self.admits(now, class) || self.all_zones_unreachable(now) {
            self.give_final_response(now, id, actions);
        } else if !self.try_send(now, id, actions) {
            self.enqueue(now, id, actions);
        }
    }

    /// Creates the state of a new request and counts the request as traffic.
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
            has_response_started: false,
            is_exhausted: false,
            over_quota,
            queued_since: None,
        }
    }

    /// Estimates the time that the client has already spent on earlier tries of this request.
    ///
    /// Clients of a class usually send their first try with the same time left. A request with a different time left is
    /// considered a retry within the original deadline if the client marks it as a retry, or if a recent request of the
    /// class was shed or failed and no retry has followed it yet. Otherwise the client has a shorter deadline than usual.
    fn time_spent_before(&mut self, now: Time, request: &Request) -> Micros {
        let tolerance = self.settings.event_interval;
        let deadline = self.settings.classes[request.class.0].deadline;
        let stats = &mut self.classes[request.class.0];
        let (usual, time_left) = (stats.usual_time_left, request.time_left);
        let is_usual =
            time_left.saturating_sub(usual) <= tolerance && usual.saturating_sub(time_left) <= tolerance;
        let is_first = is_usual || stats.usual_time_left_votes == 0 || request.streaming;
        match stats.usual_time_left_votes {
            _ if request.streaming => {}
            0 => (stats.usual_time_left, stats.usual_time_left_votes) = (time_left, 1),
            votes if is_first => stats.usual_time_left_votes = (votes + 1).min(MAX_TIME_LEFT_VOTES),
            _ => stats.usual_time_left_votes -= 1,
        }
        if is_first {
            return Micros::ZERO;
        }
        let is_retry_awaited = stats.awaited_client_retries.value_at(now) >= MIN_AWAITED_CLIENT_RETRIES;
        if is_retry_awaited {
            stats.awaited_client_retries.add(now, deadline.ms(), -1.0);
        }
        if request.is_retry || is_retry_awaited {
            deadline.saturating_sub(time_left)
        } else {
            Micros::ZERO
        }
    }

    /// Handles the end of a streaming request's body: its servers can process it from now on, and its deadline starts.
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
            pending.has_response_started = (attempt.0 as usize) < pending.attempts.len();
        }
    }

    /// Decides at random whether to admit a request while the fleet is congested; protected classes take precedence. Limits
    /// per server do not suffice: they have no effect at a sparse balancer, which sends each server only one request in many
    /// seconds.
    fn admits(&mut self, now: Time, class: usize) -> bool {
        let admitted = if self.is_sparse { self.admitted_fraction(now) } else { 1.0 };
        let admitted = admitted.min(self.slow_start.admitted_fraction);
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

    /// Whether all serving servers are considered unreachable and no attempt is due. A due attempt is consumed by this call.
    fn all_zones_unreachable(&mut self, now: Time) -> bool {
        if !self.is_sparse || self.zones.values().all(|zone| zone.unreachable_until <= now) {
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

    /// Whether even a fast response to a request sent now would arrive too late to earn any weight.
    pub(super) fn is_too_late(&self, now: Time, pending: &PendingRequest) -> bool {
        let index = pending.request.class.0;
        let class = &self.settings.classes[index];
        let fastest = class.latency_objective * (FASTEST_RESPONSE * self.classes[index].baseline_latency);
        let latest = if class.late_weight > 0.0 { pending.deadline } else { pending.objective_deadline };
        now + fastest >= latest
    }
}
