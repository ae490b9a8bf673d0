//! Simulation of one route's requests with the real balancer, and the observer of the platform's rules.

use super::{
    class_names, settings, DisabledEnforcement, ARRIVAL_STEPS, CONNECT_TIMEOUT_MS, DEADLINE_MS,
    DRAIN_GRACE_PERIOD_MS, STEPS,
};
use bellcroft_balancer::*;
use bellcroft_routes::*;
use std::collections::{BTreeMap, BTreeSet};

/// An attempt: connection setup, write and outcome.
struct SimulatedAttempt {
    server: ServerId,
    sent_at: Time,
    timeout_at: Time,
    write_by: Time,
    connected_at: Time,
    /// Time at which the first byte was written.
    written_at: Option<Time>,
    /// Time at which the outcome is known.
    finishes_at: Time,
    outcome: Outcome,
    is_finished: bool,
}

struct SimulatedRequest {
    class: usize,
    attempts: Vec<SimulatedAttempt>,
    has_response: bool,
    deadline: Time,
}

impl SimulatedRequest {
    /// The earliest write of an attempt that may have been executed; a rejected attempt has not been.
    fn first_write(&self) -> Option<(Time, ServerId)> {
        let rejected = |a: &&SimulatedAttempt| a.is_finished && a.outcome == Outcome::Rejected;
        let may_have_run = self.attempts.iter().filter(|a| !rejected(a));
        may_have_run.filter_map(|a| a.written_at.map(|at| (at, a.server))).min()
    }
}

/// Records violations of the rules from the observed writes. It knows neither the route nor the balancer's decisions.
#[derive(Default)]
struct RuleObserver {
    violations: Vec<String>,
    /// Longest time from a request's first write to a later one.
    latest_retry: Micros,
    draining_since: BTreeMap<ServerId, Time>,
}

impl RuleObserver {
    /// Checks a write. `request` holds the request's class, whether it has a response, and its deadline; `first` is the
    /// request's first write, if there was one.
    fn on_write(
        &mut self,
        now: Time,
        id: u64,
        server: ServerId,
        request: (usize, bool, Time),
        first: Option<(Time, ServerId)>,
    ) {
        let (class, has_response, deadline) = request;
        if has_response {
            self.violations.push(format!("{id}: write after the response"));
        }
        if now > deadline + Micros(1000) {
            self.violations.push(format!("{id}: write after the deadline"));
        }
        let is_expired = |since: &Time| now.since(*since) > Micros::from_ms(DRAIN_GRACE_PERIOD_MS);
        if self.draining_since.get(&server).is_some_and(is_expired) {
            self.violations.push(format!("{id}: rule 3: write to a draining server after its grace period"));
        }
        let Some((first_at, first_server)) = first else { return };
        let delay = now.since(first_at);
        self.latest_retry = Micros(self.latest_retry.0.max(delay.0));
        let same_zone = first_server.0 % 2 == server.0 % 2;
        match settings().classes[class].retry_safety {
            RetrySafety::Idempotent => {}
            RetrySafety::AtMostOnce => self.violations.push(format!("{id}: rule 2: executed twice")),
            RetrySafety::Deduplicated { window, .. } if delay > window => {
                self.violations.push(format!("{id}: rule 2: retry after {delay:?}"));
            }
            RetrySafety::Deduplicated { scope: DedupScope::Zone, .. } if !same_zone => {
                self.violations.push(format!("{id}: rule 2: retry in another zone"));
            }
            RetrySafety::Deduplicated { .. } => {}
        }
    }
}

/// Simulation of one route's requests with the real balancer, in steps of one millisecond.
struct Simulation {
    random: fastrand::Rng,
    route: std::sync::Arc<Route>,
    class: usize,
    connect_timeout: Micros,
    disabled: DisabledEnforcement,
    balancer: Balancer,
    actions: Vec<Action>,
    now: Time,
    endpoints: Vec<Endpoint>,
    requests: BTreeMap<u64, SimulatedRequest>,
    next_request: u64,
    timers: BTreeSet<(Time, TimerId)>,
    observer: RuleObserver,
}

impl Simulation {
    fn new(config: &RouteConfig, class: usize, seed: u64, disabled: DisabledEnforcement) -> Self {
        let config = RoutesConfig { routes: vec![config.clone()], pools: Vec::new() };
        let table = RouteTable::unchecked(&config, &mut BudgetIds::default());
        let route = table.lookup(&class_names()[class], None, "/").cloned().expect("the route matches");
        let connect_timeout = route.connect_timeout.unwrap_or(Micros::from_ms(CONNECT_TIMEOUT_MS));
        let mut balancer = Balancer::new(settings(), seed).expect("settings");
        let (now, mut actions) = (Time::from_ms(10_000.0), Vec::new());
        balancer.start(now, &mut actions);
        let endpoints: Vec<Endpoint> =
            (0..6).map(|i| Endpoint { zone: ZoneId(i % 2), ..Endpoint::serving(ServerId(i)) }).collect();
        let snapshot = EndpointUpdate::Snapshot(endpoints.clone());
        balancer.handle(now, Event::Endpoints(snapshot), &mut actions);
        Simulation {
            random: fastrand::Rng::with_seed(seed),
            route,
            class,
            connect_timeout,
            disabled,
            balancer,
            actions,
            now,
            endpoints,
            requests: BTreeMap::new(),
            next_request: 0,
            timers: BTreeSet::new(),
            observer: RuleObserver::default(),
        }
    }

    /// Advances by one step; returns false once a request has no response long after its deadline.
    fn advance(&mut self, step: u32) -> bool {
        self.now = self.now + Micros(1000);
        let mut events = Vec::new();
        if step.is_multiple_of(40) && step < ARRIVAL_STEPS {
            events.push(self.new_request());
        }
        self.change_endpoints(step, &mut events);
        while let Some(&(at, timer)) = self.timers.first().filter(|(at, _)| *at <= self.now) {
            self.timers.remove(&(at, timer));
            events.push(Event::Timer(timer));
        }
        self.advance_attempts(&mut events);
        for event in events {
            self.balancer.handle(self.now, event, &mut self.actions);
            for action in std::mem::take(&mut self.actions) {
                self.on_action(action);
            }
        }
        self.requests.retain(|_, r| !r.has_response || r.attempts.iter().any(|a| !a.is_finished));
        let now = self.now;
        let lost = |r: &&SimulatedRequest| !r.has_response && now > r.deadline + Micros(60_000);
        let Some(request) = self.requests.values().find(lost) else { return true };
        let overdue = now.since(request.deadline);
        self.observer.violations.push(format!("rule 1: no response {overdue:?} after the deadline"));
        false
    }

    fn new_request(&mut self) -> Event {
        let time_left = Micros::from_ms(DEADLINE_MS);
        let hedge_after = match self.route.hedge {
            HedgePolicy::After(delay) => Some(delay),
            _ => None,
        };
        let id = self.next_request;
        self.next_request += 1;
        let deadline = self.now + time_left;
        let request =
            SimulatedRequest { class: self.class, attempts: Vec::new(), has_response: false, deadline };
        self.requests.insert(id, request);
        let limits = Some(self.route.limits.clone());
        let request = Request::new(RequestId(id), ClassId(self.class), time_left);
        Event::Request(Request { limits, hedge_after, ..request })
    }

    /// Sets half of the servers to draining, and all to serving later.
    fn change_endpoints(&mut self, step: u32, events: &mut Vec<Event>) {
        if step % 1500 == 100 {
            let from = self.random.u32(0..6);
            let draining: Vec<Endpoint> = (from..from + 3)
                .map(|n| Endpoint { status: Status::Draining, ..self.endpoints[(n % 6) as usize].clone() })
                .collect();
            self.observer.draining_since.extend(draining.iter().map(|e| (e.server, self.now)));
            events.push(Event::Endpoints(EndpointUpdate::Delta(draining)));
        }
        if step % 1500 == 1400 {
            self.observer.draining_since.clear();
            events.push(Event::Endpoints(EndpointUpdate::Delta(self.endpoints.clone())));
        }
    }

    /// Writes the attempts whose connection is established, and finishes those that are due.
    fn advance_attempts(&mut self, events: &mut Vec<Event>) {
        let now = self.now;
        for (id, request) in &mut self.requests {
            let mut first = request.first_write();
            for (n, attempt) in request.attempts.iter_mut().enumerate().filter(|(_, a)| !a.is_finished) {
                let outcome_event = |outcome: Outcome, sent_at: Time| Event::Outcome {
                    request: RequestId(*id),
                    attempt: AttemptNo(n as u32),
                    outcome,
                    elapsed: now.since(sent_at),
                    report: None,
                    is_final: outcome == Outcome::Success,
                };
                let unwritten = attempt.written_at.is_none();
                if unwritten && now >= attempt.connected_at && now <= attempt.timeout_at {
                    if now > attempt.write_by && !self.disabled.write_by {
                        attempt.is_finished = true;
                        events.push(outcome_event(Outcome::NotSent, attempt.sent_at));
                        continue;
                    }
                    attempt.written_at = Some(now);
                    let state = (request.class, request.has_response, request.deadline);
                    self.observer.on_write(now, *id, attempt.server, state, first);
                    first = first.or(Some((now, attempt.server)));
                }
                if let Some(outcome) = attempt.due_outcome(now, self.connect_timeout) {
                    attempt.is_finished = true;
                    request.has_response |= outcome == Outcome::Success;
                    events.push(outcome_event(outcome, attempt.sent_at));
                }
            }
        }
    }

    fn on_action(&mut self, action: Action) {
        match action {
            Action::Send { request, server, timeout_at, write_by, .. } => {
                self.on_send(request, server, timeout_at, write_by);
            }
            Action::Cancel { request, attempt } => {
                let request = self.requests.get_mut(&request.0);
                let attempt = request.and_then(|r| r.attempts.get_mut(attempt.0 as usize));
                if let Some(attempt) = attempt.filter(|attempt| !attempt.is_finished) {
                    attempt.outcome = Outcome::Cancelled;
                    attempt.finishes_at = self.now;
                    attempt.prevent_write();
                }
            }
            Action::SetTimer { at, timer } => drop(self.timers.insert((at, timer))),
            Action::Shed { request, .. } | Action::Fail { request } => self.on_final_response(request),
            _ => {}
        }
    }

    /// Starts an attempt. Connections and responses are often slow, so that attempts come close to their limits.
    fn on_send(&mut self, request: RequestId, server: ServerId, timeout_at: Time, write_by: Time) {
        let Some(request) = self.requests.get_mut(&request.0) else { return };
        let slow_connect = Micros(self.random.u64(0..=self.connect_timeout.0));
        let connect = if self.random.bool() { Micros(1000) } else { slow_connect };
        let work = Micros(self.random.u64(1000..3_000_000));
        let outcome = match self.random.u8(0..8) {
            0 | 1 => Outcome::Success,
            2 => Outcome::ServerError,
            3 => Outcome::ConnectionReset,
            4 => Outcome::Rejected,
            _ => Outcome::TimedOut,
        };
        let finishes_at = match outcome {
            Outcome::TimedOut => timeout_at,
            _ => self.now + connect + work,
        };
        request.attempts.push(SimulatedAttempt {
            server,
            sent_at: self.now,
            timeout_at,
            write_by,
            connected_at: self.now + connect,
            written_at: None,
            finishes_at,
            outcome,
            is_finished: false,
        });
    }

    fn on_final_response(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id.0) else { return };
        if std::mem::replace(&mut request.has_response, true) {
            self.observer.violations.push(format!("{}: two final responses", id.0));
        }
        request.attempts.iter_mut().for_each(SimulatedAttempt::prevent_write);
    }
}

impl SimulatedAttempt {
    /// Keeps an attempt that is not written yet from being written: its connection is left to other requests.
    fn prevent_write(&mut self) {
        if self.written_at.is_none() {
            self.connected_at = Time(u64::MAX);
        }
    }

    /// The outcome with which the attempt finishes now; `None` if it does not.
    fn due_outcome(&self, now: Time, connect_timeout: Micros) -> Option<Outcome> {
        let unwritten = self.written_at.is_none();
        let timed_out = now >= self.timeout_at;
        let connect_expired = unwritten && now.since(self.sent_at) > connect_timeout;
        if !timed_out && now < self.finishes_at && !connect_expired {
            return None;
        }
        Some(match (unwritten, timed_out) {
            (true, _) => Outcome::ConnectFailed,
            (false, true) => Outcome::TimedOut,
            (false, false) => self.outcome,
        })
    }
}

/// Simulates one route; returns the observed violations and the longest delay from a request's first write to a retry.
pub(crate) fn simulate(
    config: &RouteConfig,
    class: usize,
    seed: u64,
    disabled: DisabledEnforcement,
) -> (Vec<String>, Micros) {
    let mut simulation = Simulation::new(config, class, seed, disabled);
    for step in 0..STEPS {
        if !simulation.advance(step) {
            break;
        }
    }
    (simulation.observer.violations, simulation.observer.latest_retry)
}
