//! Checks a balancer's events and actions against the four rules, independently of the decision code.

use bellcroft_balancer::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time after the client's deadline within which a final response still counts as in time.
const DEADLINE_TOLERANCE: Micros = Micros(20_000);
/// Cost hint of a request of the usual size, in milliseconds.
const USUAL_WORK_MS: f64 = 40.0;
/// Number of sends to a server in slow start beyond its share that are tolerated as random variation.
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
    /// Work according to the cost hint, in requests of the usual size.
    work: f64,
    deadline: Time,
    attempts: Vec<ObservedAttempt>,
    has_final_response: bool,
    has_response_started: bool,
    /// Maximum number of attempts at the time of its arrival.
    max_attempts: usize,
    /// True while its body is still arriving; it may then have one attempt in flight.
    is_streaming: bool,
    /// True if a part of its body is no longer buffered; no further attempt is allowed then.
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

/// Records all violations of the rules.
pub struct Observer {
    pub settings: Settings,
    requests: BTreeMap<RequestId, ObservedRequest>,
    servers: BTreeMap<ServerId, Endpoint>,
    /// Times at which the observer was notified that servers are draining or removed.
    draining_since: BTreeMap<ServerId, Time>,
    /// Sends within the last [`Settings::overload_tolerance`].
    sends: VecDeque<ObservedSend>,
    warm: BTreeSet<ServerId>,
    warm_unchanged_since: Time,
    pub violations: Vec<String>,
}

impl Observer {
    pub fn new(settings: &Settings) -> Self {
        Observer {
            settings: settings.clone(),
            requests: BTreeMap::new(),
            servers: BTreeMap::new(),
            draining_since: BTreeMap::new(),
            sends: VecDeque::new(),
            warm: BTreeSet::new(),
            warm_unchanged_since: Time(0),
            violations: Vec::new(),
        }
    }

    fn report(&mut self, now: Time, text: String) {
        self.violations.push(format!("{:.3} ms: {text}", now.ms()));
    }

    pub fn event(&mut self, now: Time, event: &Event) {
        match event {
            Event::Request(request) => self.on_request(now, request),
            Event::Outcome { request, attempt, outcome, is_final, .. } => {
                if let Some(observed) = self.requests.get_mut(request) {
                    if let Some(attempt) = observed.attempts.get_mut(attempt.0 as usize) {
                        attempt.outcome.get_or_insert(*outcome);
                    }
                    observed.has_final_response |= *is_final;
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
                    observed.has_response_started = true;
                }
            }
            Event::ClientDisconnected { request } => {
                if let Some(observed) = self.requests.get_mut(request) {
                    observed.has_final_response = true;
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
            has_final_response: false,
            has_response_started: false,
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
        let listed: BTreeSet<ServerId> = endpoints.iter().map(|endpoint| endpoint.server).collect();
        if is_complete {
            for server in self.servers.keys().filter(|server| !listed.contains(server)) {
                self.draining_since.entry(*server).or_insert(now);
            }
        }
        for endpoint in endpoints {
            let before = self.servers.insert(endpoint.server, endpoint.clone());
            if before.is_some_and(|before| before.started_at != endpoint.started_at) {
                // The load of the previous process does not apply to the new one.
                self.sends.retain(|send| send.server != endpoint.server);
            }
        }
        for server in listed {
            if self.servers[&server].status == Status::Serving {
                self.draining_since.remove(&server);
            } else {
                self.draining_since.entry(server).or_insert(now);
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

    fn may_shed(&self, request: &ObservedRequest) -> bool {
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
                if self.requests.get(request).is_some_and(|observed| !self.may_shed(observed)) {
                    self.report(now, format!("{request:?}: shed although it may have run"));
                }
                self.on_final_response(now, *request);
            }
            Action::Fail { request } => self.on_final_response(now, *request),
            _ => {}
        }
    }

    fn on_send(&mut self, now: Time, id: RequestId, server: ServerId, timeout_at: Time) {
        let Some(endpoint) = self.servers.get(&server).cloned() else {
            return self.report(now, format!("sent to {server:?}, which is not in the endpoint list"));
        };
        let Some(request) = self.requests.get(&id) else {
            return self.report(now, format!("sent {id:?}, which no client has submitted"));
        };
        let work = request.work;
        let mut violations = self.send_violations(now, request, timeout_at);
        violations.extend(self.destination_violations(now, request, &endpoint));
        for text in violations {
            self.report(now, format!("{id:?}: {text}"));
        }
        let (zone, dedup_group) = (endpoint.zone, endpoint.dedup_group);
        let attempt = ObservedAttempt { sent_at: now, zone, dedup_group, outcome: None };
        self.requests.get_mut(&id).expect("looked up above").attempts.push(attempt);
        self.sends.push_back(ObservedSend { sent_at: now, server, work });
        self.check_slow_start(now, server);
    }

    /// The rules that a send violates regardless of its server.
    fn send_violations(&self, now: Time, request: &ObservedRequest, timeout_at: Time) -> Vec<&'static str> {
        let in_flight = request.has_attempt_in_flight();
        let is_past_deadline = now > request.deadline || timeout_at > request.deadline;
        let checks = [
            (request.has_final_response, "sent after its final response"),
            (request.has_response_started, "sent after its response has started"),
            (request.is_exhausted, "sent although a part of its body is no longer buffered"),
            (in_flight && request.is_streaming, "two attempts in flight while its body is streaming"),
            (request.attempts.len() >= request.max_attempts, "more attempts than allowed"),
            (in_flight && !self.settings.hedging, "two attempts in flight without hedging"),
            (is_past_deadline, "sent after its deadline, or with a timeout after it"),
        ];
        checks.into_iter().filter(|(is_violated, _)| *is_violated).map(|(_, text)| text).collect()
    }

    /// The rules that a send to this server violates.
    fn destination_violations(
        &self,
        now: Time,
        request: &ObservedRequest,
        endpoint: &Endpoint,
    ) -> Vec<&'static str> {
        const OUTSIDE: &str = "retried outside its deduplication scope";
        let mut violations = Vec::new();
        match self.allowed_destinations(request, now) {
            Destinations::None => violations.push("may have run and must not be sent again"),
            Destinations::Zone(zone) if zone != endpoint.zone => violations.push(OUTSIDE),
            Destinations::Group(group) if group != endpoint.dedup_group => violations.push(OUTSIDE),
            _ => {}
        }
        let grace = self.settings.drain_grace_period;
        if self.draining_since.get(&endpoint.server).is_some_and(|since| now > *since + grace) {
            violations.push("sent to a draining or removed server");
        }
        violations
    }

    fn on_final_response(&mut self, now: Time, request: RequestId) {
        let violation = match self.requests.get_mut(&request) {
            None => Some("final response to an unknown request"),
            Some(observed) if observed.has_final_response => Some("second final response"),
            Some(observed) => {
                observed.has_final_response = true;
                (now > observed.deadline + DEADLINE_TOLERANCE).then_some("final response too late")
            }
        };
        if let Some(text) = violation {
            self.report(now, format!("{request:?}: {text}"));
        }
    }

    fn guaranteed_capacity(&self, now: Time, endpoint: &Endpoint) -> f64 {
        endpoint.started_at.map_or(1.0, |started_at| {
            let age = now.since(started_at).ms() / self.settings.slow_start_window.ms();
            self.settings.initial_capacity + (1.0 - self.settings.initial_capacity) * age.min(1.0)
        })
    }

    /// Compares the balancer's sends to a server in slow start with its sends to warm servers. Its share, times the overload
    /// factor, must not be exceeded, with a tolerance for random variation.
    fn check_slow_start(&mut self, now: Time, server: ServerId) {
        let window = self.settings.overload_tolerance;
        while self.sends.front().is_some_and(|send| send.sent_at + window < now) {
            self.sends.pop_front();
        }
        let own = self.guaranteed_capacity(now, &self.servers[&server]);
        let is_warm = |endpoint: &&Endpoint| {
            endpoint.status == Status::Serving && self.guaranteed_capacity(now, endpoint) >= 1.0
        };
        let warm: BTreeSet<ServerId> =
            self.servers.values().filter(is_warm).map(|endpoint| endpoint.server).collect();
        if warm != self.warm {
            // The share changes with the warm servers; sends are compared with it only after a complete window.
            self.warm = warm.clone();
            self.warm_unchanged_since = now;
        }
        let is_settled =
            now.since(self.warm_unchanged_since) >= window || self.warm_unchanged_since == Time(0);
        if own >= 1.0 || warm.is_empty() || !is_settled {
            return;
        }
        let work_to = |is_counted: &dyn Fn(&ServerId) -> bool| -> f64 {
            self.sends.iter().filter(|send| is_counted(&send.server)).map(|send| send.work).sum()
        };
        let to_warm = work_to(&|other| warm.contains(other));
        let to_this = work_to(&|other| *other == server);
        let share = to_warm / warm.len() as f64;
        if to_this > TOLERATED_SENDS + self.settings.overload_factor * own * share {
            self.report(
                now,
                format!("{server:?}: in slow start, sent {to_this}; a warm server is sent {share:.1}"),
            );
        }
    }

    /// The number of requests whose final response is overdue.
    pub fn overdue_responses(&self, now: Time) -> usize {
        let is_overdue = |request: &&ObservedRequest| {
            !request.has_final_response
                && !request.has_response_started
                && now > request.deadline + DEADLINE_TOLERANCE
        };
        self.requests.values().filter(is_overdue).count()
    }

    pub fn discard_finished(&mut self) {
        self.requests.retain(|_, request| !request.has_final_response || request.has_attempt_in_flight());
    }
}
