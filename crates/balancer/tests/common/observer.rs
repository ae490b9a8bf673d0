//! Checks a balancer's events and actions against the four rules, independently of how decisions are made.

use bellcroft_balancer::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A final response counts as in time until this long after the client's deadline.
const DEADLINE_TOLERANCE: Micros = Micros(20_000);
/// The work of a request of the usual size, in milliseconds of its cost hint.
const USUAL_WORK_MS: f64 = 40.0;
/// Sends to a server in slow start that are tolerated beyond its share, as random variation.
const TOLERATED_SENDS: f64 = 5.0;

#[derive(Debug, Clone)]
struct ObservedAttempt {
    sent_at: Time,
    zone: ZoneId,
    dedup_group: DedupGroupId,
    outcome: Option<Outcome>,
}

impl ObservedAttempt {
    fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

#[derive(Debug)]
struct ObservedRequest {
    class: usize,
    /// In requests of the usual size, by the cost hint.
    work: f64,
    deadline: Time,
    attempts: Vec<ObservedAttempt>,
    has_ended: bool,
    is_bound: bool,
    /// The limit at the time of its arrival.
    max_attempts: usize,
    /// Its body is still arriving: it may have one attempt at a time.
    is_streaming: bool,
    /// A part of its body is no longer buffered: it may have no further attempt.
    is_exhausted: bool,
}

impl ObservedRequest {
    fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.outcome.is_none())
    }
}

/// The servers that a request may be sent to.
enum Destinations {
    None,
    Any,
    Zone(ZoneId),
    Group(DedupGroupId),
}

struct ObservedSend {
    sent_at: Time,
    server: ServerId,
    work: f64,
}

/// Records every violation of a rule.
pub struct Observer {
    pub settings: Settings,
    requests: BTreeMap<RequestId, ObservedRequest>,
    servers: BTreeMap<ServerId, Endpoint>,
    /// Since when servers are draining or removed.
    leaving: BTreeMap<ServerId, Time>,
    /// The sends of the last `overload_tolerance`.
    sends: VecDeque<ObservedSend>,
    warm: BTreeSet<ServerId>,
    warm_since: Time,
    pub faults: Vec<String>,
}

impl Observer {
    pub fn new(settings: &Settings) -> Self {
        Observer {
            settings: settings.clone(),
            requests: BTreeMap::new(),
            servers: BTreeMap::new(),
            leaving: BTreeMap::new(),
            sends: VecDeque::new(),
            warm: BTreeSet::new(),
            warm_since: Time(0),
            faults: Vec::new(),
        }
    }

    fn fault(&mut self, now: Time, text: String) {
        self.faults.push(format!("{:.3} ms: {text}", now.ms()));
    }

    pub fn event(&mut self, now: Time, event: &Event) {
        match event {
            Event::Request(request) => self.on_request(now, request),
            Event::Outcome { request, attempt, outcome, is_final, .. } => {
                if let Some(observed) = self.requests.get_mut(request) {
                    if let Some(attempt) = observed.attempts.get_mut(attempt.0 as usize) {
                        attempt.outcome.get_or_insert(*outcome);
                    }
                    observed.has_ended |= *is_final;
                }
            }
            Event::BodyComplete { request, time_left } => {
                if let Some(observed) = self.requests.get_mut(request) {
                    (observed.deadline, observed.is_streaming) = (now + *time_left, false);
                }
            }
            Event::AttemptsExhausted { request } => {
                if let Some(observed) = self.requests.get_mut(request) {
                    observed.is_exhausted = true;
                }
            }
            Event::FirstByte { request, .. } => {
                if let Some(observed) = self.requests.get_mut(request) {
                    observed.is_bound = true;
                }
            }
            Event::ClientDisconnected { request } => {
                if let Some(observed) = self.requests.get_mut(request) {
                    observed.has_ended = true;
                }
            }
            Event::Endpoints(update) => self.on_endpoint_update(now, update),
            _ => {}
        }
    }

    fn on_request(&mut self, now: Time, request: &Request) {
        let observed = ObservedRequest {
            class: request.class.0,
            work: request.cost_hint.map_or(1.0, |hint| hint.ms() / USUAL_WORK_MS),
            deadline: now + request.time_left,
            attempts: Vec::new(),
            has_ended: false,
            is_bound: false,
            max_attempts: self.settings.max_attempts as usize,
            is_streaming: request.streaming,
            is_exhausted: false,
        };
        self.requests.entry(request.id).or_insert(observed);
    }

    fn on_endpoint_update(&mut self, now: Time, update: &EndpointUpdate) {
        let (endpoints, is_complete) = match update {
            EndpointUpdate::Delta(endpoints) => (endpoints, false),
            EndpointUpdate::Snapshot(endpoints) | EndpointUpdate::SavedSnapshot(endpoints) => {
                (endpoints, true)
            }
            EndpointUpdate::Failed => return,
        };
        let named: BTreeSet<ServerId> = endpoints.iter().map(|endpoint| endpoint.server).collect();
        if is_complete {
            for server in self.servers.keys().filter(|server| !named.contains(server)) {
                self.leaving.entry(*server).or_insert(now);
            }
        }
        for endpoint in endpoints {
            let before = self.servers.insert(endpoint.server, endpoint.clone());
            if before.is_some_and(|before| before.started_at != endpoint.started_at) {
                // A new process: the load of the previous one does not apply.
                self.sends.retain(|send| send.server != endpoint.server);
            }
        }
        for server in named {
            if self.servers[&server].status == Status::Serving {
                self.leaving.remove(&server);
            } else {
                self.leaving.entry(server).or_insert(now);
            }
        }
    }

    fn allowed_destinations(&self, request: &ObservedRequest, now: Time) -> Destinations {
        let Some(first) = request.attempts.iter().find(|attempt| attempt.may_have_run()) else {
            return Destinations::Any;
        };
        match self.settings.classes[request.class].retry_safety {
            RetrySafety::Idempotent => Destinations::Any,
            RetrySafety::AtMostOnce => Destinations::None,
            RetrySafety::Deduplicated { window, .. } if now.since(first.sent_at) > window => {
                Destinations::None
            }
            RetrySafety::Deduplicated { scope: DedupScope::All, .. } => Destinations::Any,
            RetrySafety::Deduplicated { scope: DedupScope::Zone, .. } => Destinations::Zone(first.zone),
            RetrySafety::Deduplicated { scope: DedupScope::Group, .. } => {
                Destinations::Group(first.dedup_group)
            }
        }
    }

    fn may_reject(&self, request: &ObservedRequest) -> bool {
        let may_have_run = request.attempts.iter().any(ObservedAttempt::may_have_run);
        match self.settings.classes[request.class].retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::AtMostOnce => !may_have_run,
            RetrySafety::Deduplicated { scope, .. } => !may_have_run || scope == DedupScope::All,
        }
    }

    pub fn action(&mut self, now: Time, action: &Action) {
        match action {
            Action::Send { request, server, timeout_at, .. } => {
                self.on_send(now, *request, *server, *timeout_at);
            }
            Action::Shed { request, .. } => {
                if self.requests.get(request).is_some_and(|observed| !self.may_reject(observed)) {
                    self.fault(now, format!("{request:?}: refused though it may have run"));
                }
                self.on_final_response(now, *request);
            }
            Action::Fail { request } => self.on_final_response(now, *request),
            _ => {}
        }
    }

    fn on_send(&mut self, now: Time, id: RequestId, server: ServerId, timeout_at: Time) {
        let Some(endpoint) = self.servers.get(&server).cloned() else {
            return self.fault(now, format!("sent to {server:?}, which no list names"));
        };
        let Some(request) = self.requests.get(&id) else {
            return self.fault(now, format!("sent {id:?}, which nobody asked for"));
        };
        let work = request.work;
        let mut violations = self.send_violations(now, request, timeout_at);
        violations.extend(self.destination_violations(now, request, &endpoint));
        for text in violations {
            self.fault(now, format!("{id:?}: {text}"));
        }
        let (zone, dedup_group) = (endpoint.zone, endpoint.dedup_group);
        let attempt = ObservedAttempt { sent_at: now, zone, dedup_group, outcome: None };
        self.requests.get_mut(&id).expect("looked up above").attempts.push(attempt);
        self.sends.push_back(ObservedSend { sent_at: now, server, work });
        self.check_slow_start(now, server);
    }

    /// What makes a send wrong, whatever its server.
    fn send_violations(&self, now: Time, request: &ObservedRequest, timeout_at: Time) -> Vec<&'static str> {
        let in_flight = request.has_attempt_in_flight();
        let is_past_deadline = now > request.deadline || timeout_at > request.deadline;
        let checks = [
            (request.has_ended, "sent after its end"),
            (request.is_bound, "sent though bound to a stream"),
            (request.is_exhausted, "sent though a part of it is gone"),
            (in_flight && request.is_streaming, "two attempts while it is streaming"),
            (request.attempts.len() >= request.max_attempts, "sent beyond the attempts allowed"),
            (in_flight && !self.settings.hedging, "two attempts at once"),
            (is_past_deadline, "sent past its deadline"),
        ];
        checks.into_iter().filter(|(is_violated, _)| *is_violated).map(|(_, text)| text).collect()
    }

    /// What makes a send to this server wrong.
    fn destination_violations(
        &self,
        now: Time,
        request: &ObservedRequest,
        endpoint: &Endpoint,
    ) -> Vec<&'static str> {
        const OUTSIDE: &str = "repeated outside the group that drops repeats";
        let mut violations = Vec::new();
        match self.allowed_destinations(request, now) {
            Destinations::None => violations.push("may have run and must not go out again"),
            Destinations::Zone(zone) if zone != endpoint.zone => violations.push(OUTSIDE),
            Destinations::Group(group) if group != endpoint.dedup_group => violations.push(OUTSIDE),
            _ => {}
        }
        let grace = self.settings.drain_grace_period;
        if self.leaving.get(&endpoint.server).is_some_and(|since| now > *since + grace) {
            violations.push("sent to a draining or gone server");
        }
        violations
    }

    fn on_final_response(&mut self, now: Time, request: RequestId) {
        let violation = match self.requests.get_mut(&request) {
            None => Some("ended, but nobody asked for it"),
            Some(observed) if observed.has_ended => Some("ended twice"),
            Some(observed) => {
                observed.has_ended = true;
                (now > observed.deadline + DEADLINE_TOLERANCE).then_some("ended too late")
            }
        };
        if let Some(text) = violation {
            self.fault(now, format!("{request:?}: {text}"));
        }
    }

    fn warmth(&self, now: Time, endpoint: &Endpoint) -> f64 {
        endpoint.started_at.map_or(1.0, |started_at| {
            let age = now.since(started_at).ms() / self.settings.slow_start_window.ms();
            self.settings.initial_capacity + (1.0 - self.settings.initial_capacity) * age.min(1.0)
        })
    }

    /// Compares this balancer's sends to a server in slow start with its sends to warm ones: at most its share, times the
    /// overload factor, with a tolerance for random variation.
    fn check_slow_start(&mut self, now: Time, server: ServerId) {
        let window = self.settings.overload_tolerance;
        while self.sends.front().is_some_and(|send| send.sent_at + window < now) {
            self.sends.pop_front();
        }
        let own = self.warmth(now, &self.servers[&server]);
        let is_warm =
            |endpoint: &&Endpoint| endpoint.status == Status::Serving && self.warmth(now, endpoint) >= 1.0;
        let warm: BTreeSet<ServerId> =
            self.servers.values().filter(is_warm).map(|endpoint| endpoint.server).collect();
        if warm != self.warm {
            // The share has changed: sends are compared with it only after a complete window.
            self.warm = warm.clone();
            self.warm_since = now;
        }
        let is_settled = now.since(self.warm_since) >= window || self.warm_since == Time(0);
        if own >= 1.0 || warm.is_empty() || !is_settled {
            return;
        }
        let work_to = |is_counted: &dyn Fn(&ServerId) -> bool| -> f64 {
            self.sends.iter().filter(|send| is_counted(&send.server)).map(|send| send.work).sum()
        };
        let to_warm = work_to(&|other| warm.contains(other));
        let to_cold = work_to(&|other| *other == server);
        let share = to_warm / warm.len() as f64;
        if to_cold > TOLERATED_SENDS + self.settings.overload_factor * own * share {
            self.fault(now, format!("{server:?}: cold, sent {to_cold} where a warm one is sent {share:.1}"));
        }
    }

    /// The number of requests whose final response is overdue.
    pub fn lost(&self, now: Time) -> usize {
        let is_lost = |request: &&ObservedRequest| {
            !request.has_ended && !request.is_bound && now > request.deadline + DEADLINE_TOLERANCE
        };
        self.requests.values().filter(is_lost).count()
    }

    pub fn forget_ended(&mut self) {
        self.requests.retain(|_, request| !request.has_ended || request.has_attempt_in_flight());
    }
}
