//! Simulation of one route's requests through the real balancer, and the observer of the rules.

use super::{names, settings, Disabled, ARRIVAL_STEPS, CONNECT, DEADLINE, GRACE, STEPS};
use bellcroft_balancer::*;
use bellcroft_routes::*;
use std::collections::{BTreeMap, BTreeSet};

/// An attempt in flight: connection setup, write and outcome.
struct AttemptInFlight {
    server: ServerId,
    sent_at: Time,
    timeout_at: Time,
    write_by: Time,
    connected_at: Time,
    /// When its first byte was written.
    written_at: Option<Time>,
    ends_at: Time,
    outcome: Outcome,
    ended: bool,
}

struct SimulatedRequest {
    class: usize,
    attempts: Vec<AttemptInFlight>,
    answered: bool,
    deadline: Time,
}

impl SimulatedRequest {
    /// The earliest write of an attempt that may have run; a rejected attempt has not run.
    fn first_write(&self) -> Option<(Time, ServerId)> {
        let rejected = |a: &&AttemptInFlight| a.ended && a.outcome == Outcome::Rejected;
        let may_have_run = self.attempts.iter().filter(|a| !rejected(a));
        may_have_run.filter_map(|a| a.written_at.map(|at| (at, a.server))).min()
    }
}

/// Observes writes and records violations of the rules; it knows neither the route nor the balancer's decisions.
#[derive(Default)]
struct RuleObserver {
    violations: Vec<String>,
    /// Longest time from a request's first write to a later one.
    latest_retry: Micros,
    draining_since: BTreeMap<ServerId, Time>,
}

impl RuleObserver {
    /// Checks one write against the request's state and its first write.
    fn on_write(
        &mut self,
        now: Time,
        id: u64,
        server: ServerId,
        request: (usize, bool, Time),
        first: Option<(Time, ServerId)>,
    ) {
        let (class, answered, deadline) = request;
        if answered {
            self.violations.push(format!("{id}: a byte after the answer"));
        }
        if now > deadline + Micros(1000) {
            self.violations.push(format!("{id}: a byte after the deadline"));
        }
        if self.draining_since.get(&server).is_some_and(|at| now.since(*at) > Micros::from_ms(GRACE)) {
            self.violations.push(format!("{id}: rule 3: a byte to a server that drains"));
        }
        let Some((first_at, first_server)) = first else { return };
        let delay = now.since(first_at);
        self.latest_retry = Micros(self.latest_retry.0.max(delay.0));
        let same_zone = first_server.0 % 2 == server.0 % 2;
        match settings().classes[class].retry_safety {
            RetrySafety::Idempotent => {}
            RetrySafety::AtMostOnce => self.violations.push(format!("{id}: rule 2: ran twice")),
            RetrySafety::Deduplicated { window, .. } if delay > window => {
                self.violations.push(format!("{id}: rule 2: a repeat after {delay:?}"));
            }
            RetrySafety::Deduplicated { scope: DedupScope::Zone, .. } if !same_zone => {
                self.violations.push(format!("{id}: rule 2: a repeat in another zone"));
            }
            RetrySafety::Deduplicated { .. } => {}
        }
    }
}

/// One route's requests, played through the real balancer in steps of one millisecond.
struct Simulation {
    random: fastrand::Rng,
    route: std::sync::Arc<Route>,
    class: usize,
    connect_timeout: Micros,
    disabled: Disabled,
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
    fn new(config: &RouteConfig, class: usize, seed: u64, disabled: Disabled) -> Self {
        let config = RoutesConfig { routes: vec![config.clone()], pools: Vec::new() };
        let table = RouteTable::unchecked(&config, &mut BudgetIds::default());
        let route = table.lookup(&names()[class], None, "/").cloned().expect("it matches");
        let connect_timeout = route.connect_timeout.unwrap_or(Micros::from_ms(CONNECT));
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

    /// Advances by one step; false once a request has no answer long after its deadline.
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
        self.requests.retain(|_, r| !r.answered || r.attempts.iter().any(|a| !a.ended));
        let now = self.now;
        let lost = |r: &&SimulatedRequest| !r.answered && now > r.deadline + Micros(60_000);
        let Some(request) = self.requests.values().find(lost) else { return true };
        let overdue = now.since(request.deadline);
        self.observer.violations.push(format!("rule 1: no answer {overdue:?} after its deadline"));
        false
    }

    fn new_request(&mut self) -> Event {
        let time_left = Micros::from_ms(DEADLINE);
        let hedge_after = match self.route.hedge {
            HedgePolicy::After(delay) => Some(delay),
            _ => None,
        };
        let id = self.next_request;
        self.next_request += 1;
        let deadline = self.now + time_left;
        let request = SimulatedRequest { class: self.class, attempts: Vec::new(), answered: false, deadline };
        self.requests.insert(id, request);
        let limits = Some(self.route.limits.clone());
        let request = Request::new(RequestId(id), ClassId(self.class), time_left);
        Event::Request(Request { limits, hedge_after, ..request })
    }

    /// Drains half of the servers and restores them later.
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

    /// Writes attempts whose connection is established and ends those that are due.
    fn advance_attempts(&mut self, events: &mut Vec<Event>) {
        let now = self.now;
        for (id, request) in &mut self.requests {
            let mut first = request.first_write();
            for (n, attempt) in request.attempts.iter_mut().enumerate().filter(|(_, a)| !a.ended) {
                let ended = |outcome: Outcome, sent_at: Time| Event::Outcome {
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
                        attempt.ended = true;
                        events.push(ended(Outcome::NotSent, attempt.sent_at));
                        continue;
                    }
                    attempt.written_at = Some(now);
                    let state = (request.class, request.answered, request.deadline);
                    self.observer.on_write(now, *id, attempt.server, state, first);
                    first = first.or(Some((now, attempt.server)));
                }
                if let Some(outcome) = attempt.due_outcome(now, self.connect_timeout) {
                    attempt.ended = true;
                    request.answered |= outcome == Outcome::Success;
                    events.push(ended(outcome, attempt.sent_at));
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
                if let Some(attempt) = attempt.filter(|attempt| !attempt.ended) {
                    attempt.outcome = Outcome::Cancelled;
                    attempt.ends_at = self.now;
                    attempt.prevent_write();
                }
            }
            Action::SetTimer { at, timer } => drop(self.timers.insert((at, timer))),
            Action::Shed { request, .. } | Action::Fail { request } => self.on_final_answer(request),
            _ => {}
        }
    }

    /// Starts an attempt; slow connections and slow responses are frequent, to reach the limits' edges.
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
        let ends_at = match outcome {
            Outcome::TimedOut => timeout_at,
            _ => self.now + connect + work,
        };
        request.attempts.push(AttemptInFlight {
            server,
            sent_at: self.now,
            timeout_at,
            write_by,
            connected_at: self.now + connect,
            written_at: None,
            ends_at,
            outcome,
            ended: false,
        });
    }

    fn on_final_answer(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id.0) else { return };
        if std::mem::replace(&mut request.answered, true) {
            self.observer.violations.push(format!("{}: two final answers", id.0));
        }
        request.attempts.iter_mut().for_each(AttemptInFlight::prevent_write);
    }
}

impl AttemptInFlight {
    /// Keeps an unwritten attempt from being written: its connection is left to other requests.
    fn prevent_write(&mut self) {
        if self.written_at.is_none() {
            self.connected_at = Time(u64::MAX);
        }
    }

    /// The outcome with which the attempt ends now, if it does.
    fn due_outcome(&self, now: Time, connect_timeout: Micros) -> Option<Outcome> {
        let unwritten = self.written_at.is_none();
        let timed_out = now >= self.timeout_at;
        let connect_expired = unwritten && now.since(self.sent_at) > connect_timeout;
        if !timed_out && now < self.ends_at && !connect_expired {
            return None;
        }
        Some(match (unwritten, timed_out) {
            (true, _) => Outcome::ConnectFailed,
            (false, true) => Outcome::TimedOut,
            (false, false) => self.outcome,
        })
    }
}

/// Plays one route; returns the observed violations and the latest retry's delay after the first write.
pub(crate) fn play(
    config: &RouteConfig,
    class: usize,
    seed: u64,
    disabled: Disabled,
) -> (Vec<String>, Micros) {
    let mut simulation = Simulation::new(config, class, seed, disabled);
    for step in 0..STEPS {
        if !simulation.advance(step) {
            break;
        }
    }
    (simulation.observer.violations, simulation.observer.latest_retry)
}
