//! Random events violate none of the four rules, and equal events yield equal actions.
mod common;
use bellcroft_balancer::*;
use common::*;
use std::collections::BTreeMap;

fn settings(seed: u64) -> Settings {
    Settings {
        balancers: 1 + (seed % 7) as u32,
        classes: vec![
            class(RetrySafety::Idempotent),
            class(RetrySafety::AtMostOnce),
            class(keyed(DedupScope::All, 300.0)),
            class(keyed(DedupScope::Zone, 200.0)),
            class(keyed(DedupScope::Group, 600.0)),
            Class { late_weight: 0.3, stream: true, ..class(RetrySafety::Idempotent) },
        ],
        hedging: seed % 2 == 0,
        cancel: seed % 3 != 0,
        retry_after: seed % 5 == 0,
        health_checks: seed % 4 == 0,
        report_source: if seed % 3 == 0 { LoadReportSource::None } else { LoadReportSource::Responses },
        report_fields: vec![LoadReportField::InFlight, LoadReportField::ServiceTime],
        discovery: if seed % 2 == 1 { Discovery::OnRequest } else { Discovery::Pushed },
        initial_capacity: 0.2,
        slow_start_window: Micros::from_ms(4000.0),
        ..Settings::default()
    }
}

/// An attempt in flight.
struct InFlight {
    request: RequestId,
    attempt: u32,
    sent_at: Time,
    deadline: Time,
    /// True if its response stream has begun.
    has_response_started: bool,
}

/// A harness that generates random events.
struct Walk {
    rng: fastrand::Rng,
    settings: Settings,
    harness: Harness,
    endpoints: Vec<Endpoint>,
    /// Requests whose body is still arriving.
    streaming: Vec<RequestId>,
    in_flight: Vec<InFlight>,
    /// Number of attempts by request.
    attempts: BTreeMap<RequestId, u32>,
}

/// Runs `steps` random events; returns the harness and the actions of each step as text.
fn walk(seed: u64, steps: u32) -> (Harness, Vec<String>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let settings = settings(seed);
    let harness = Harness::new(settings.clone(), seed ^ 0x5eed);
    let endpoints = fleet(1 + rng.u32(0..9), 3, 3);
    let (streaming, in_flight, attempts) = (Vec::new(), Vec::new(), BTreeMap::new());
    let mut walk = Walk { rng, settings, harness, endpoints, streaming, in_flight, attempts };
    walk.harness.handle(Event::Endpoints(EndpointUpdate::SavedSnapshot(walk.endpoints.clone())));
    let texts = (0..steps).map(|step| format!("{:?}", walk.step(step))).collect();
    (walk.harness, texts)
}

impl Walk {
    fn step(&mut self, step: u32) -> Vec<Action> {
        let mut actions = self.random_event(step);
        actions.extend(self.time_out_overdue());
        self.record(&actions);
        actions
    }

    fn random_event(&mut self, step: u32) -> Vec<Action> {
        match self.rng.u32(0..100) {
            0..=39 => self.submit_request(step),
            40..=79 if !self.in_flight.is_empty() => self.finish_attempt(),
            80..=83 if !self.in_flight.is_empty() => self.begin_response(),
            84 if !self.streaming.is_empty() => self.complete_body(),
            85 if !self.streaming.is_empty() => {
                let request = self.streaming[self.rng.usize(0..self.streaming.len())];
                self.harness.handle(Event::AttemptsExhausted { request }).to_vec()
            }
            86 if self.rng.u32(0..4) == 0 => {
                self.reconfigure();
                Vec::new()
            }
            84..=86 => {
                let request = RequestId(u64::from(self.rng.u32(0..=step)));
                self.harness.handle(Event::ClientDisconnected { request }).to_vec()
            }
            87..=90 => self.update_endpoints(),
            _ => self.harness.advance(Micros::from_ms(self.rng.f64() * 15.0)),
        }
    }

    fn submit_request(&mut self, step: u32) -> Vec<Action> {
        let rng = &mut self.rng;
        let class = rng.usize(0..self.settings.classes.len());
        let time_left = self.settings.classes[class].deadline * (rng.f64() * 1.2).min(1.0);
        let mut request = Request::new(RequestId(u64::from(step)), ClassId(class), time_left);
        request.key = rng.bool().then(|| KeyId(rng.u64(0..5)));
        request.cost_hint = rng.bool().then(|| Micros::from_ms(rng.f64() * 80.0));
        if rng.u32(0..6) == 0 && !self.settings.classes[class].stream {
            (request.streaming, request.time_left) = (true, Micros::from_ms(60_000.0));
            self.streaming.push(request.id);
        }
        self.harness.handle(Event::Request(request)).to_vec()
    }

    fn finish_attempt(&mut self) -> Vec<Action> {
        let rng = &mut self.rng;
        let finished = self.in_flight.swap_remove(rng.usize(0..self.in_flight.len()));
        let outcome = match rng.u32(0..10) {
            _ if self.harness.now >= finished.deadline && !finished.has_response_started => Outcome::TimedOut,
            0 => Outcome::ServerError,
            1 if !finished.has_response_started => Outcome::Rejected,
            2 if !finished.has_response_started => Outcome::ConnectFailed,
            3 => Outcome::ConnectionReset,
            4 if !finished.has_response_started => Outcome::NotSent,
            _ => Outcome::Success,
        };
        let report = rng.bool().then(|| vec![rng.f64() * 9.0, [f64::NAN, -4.0, 30.0][rng.usize(0..3)]]);
        let event = Event::Outcome {
            request: finished.request,
            attempt: AttemptNo(finished.attempt),
            outcome,
            elapsed: self.harness.now.since(finished.sent_at),
            report,
            is_final: outcome == Outcome::Success || finished.has_response_started,
        };
        self.harness.handle(event).to_vec()
    }

    fn begin_response(&mut self) -> Vec<Action> {
        let index = self.rng.usize(0..self.in_flight.len());
        let attempt = &mut self.in_flight[index];
        attempt.has_response_started = true;
        let event = Event::FirstByte { request: attempt.request, attempt: AttemptNo(attempt.attempt) };
        self.harness.handle(event).to_vec()
    }

    fn complete_body(&mut self) -> Vec<Action> {
        let request = self.streaming.swap_remove(self.rng.usize(0..self.streaming.len()));
        let time_left = Micros::from_ms(800.0 * self.rng.f64());
        let now = self.harness.now;
        for attempt in self.in_flight.iter_mut().filter(|attempt| attempt.request == request) {
            (attempt.deadline, attempt.sent_at) = (now + time_left, now);
        }
        self.harness.handle(Event::BodyComplete { request, time_left }).to_vec()
    }

    /// Adds a class that inherits the statistics of another one, and changes the number of attempts.
    fn reconfigure(&mut self) {
        let classes = &mut self.settings.classes;
        let inherited_from = self.rng.usize(0..classes.len());
        let deadline = Micros::from_ms(200.0 + self.rng.f64() * 900.0);
        classes.push(Class { deadline, ..classes[inherited_from].clone() });
        let changed = [(classes.len() - 1, Some(inherited_from))];
        self.settings.max_attempts = self.rng.u32(1..5);
        self.harness.balancer.reconfigure(self.settings.clone(), &changed).expect("usable settings");
        self.harness.observer.settings = self.settings.clone();
    }

    fn update_endpoints(&mut self) -> Vec<Action> {
        let rng = &mut self.rng;
        let index = rng.usize(0..self.endpoints.len());
        let endpoint = &mut self.endpoints[index];
        endpoint.status =
            [Status::Serving, Status::Serving, Status::Draining, Status::Removed][rng.usize(0..4)];
        if rng.bool() && endpoint.status == Status::Serving {
            endpoint.started_at = Some(self.harness.now);
        }
        let update = match rng.u32(0..6) {
            0 => EndpointUpdate::Failed,
            1 => EndpointUpdate::Snapshot(self.endpoints.clone()),
            _ => EndpointUpdate::Delta(vec![endpoint.clone()]),
        };
        self.harness.handle(Event::Endpoints(update)).to_vec()
    }

    /// Times out the attempts that have passed their deadline, as the host would.
    fn time_out_overdue(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        let is_overdue = |attempt: &InFlight, now| now >= attempt.deadline && !attempt.has_response_started;
        while let Some(index) = self.in_flight.iter().position(|a| is_overdue(a, self.harness.now)) {
            let overdue = self.in_flight.swap_remove(index);
            let outcome = Outcome::TimedOut;
            actions.extend_from_slice(self.harness.respond(overdue.request, overdue.attempt, outcome, 800.0));
        }
        actions
    }

    /// Records the attempts that were sent. Cancelled attempts finish in the next step as if they had timed out.
    fn record(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { request, timeout_at, .. } => {
                    let attempts = self.attempts.entry(*request).or_insert(0);
                    self.in_flight.push(InFlight {
                        request: *request,
                        attempt: *attempts,
                        sent_at: self.harness.now,
                        deadline: *timeout_at,
                        has_response_started: false,
                    });
                    *attempts += 1;
                }
                Action::Cancel { request, attempt } => {
                    let is_cancelled = |other: &&mut InFlight| {
                        other.request == *request && other.attempt == attempt.0 && !other.has_response_started
                    };
                    if let Some(cancelled) = self.in_flight.iter_mut().find(is_cancelled) {
                        cancelled.deadline = self.harness.now;
                    }
                }
                _ => {}
            }
        }
    }
}

/// Runs random walks of `steps` steps and checks the rules. A walk with few sends would not test them, so each must send more
/// than 50 times.
fn check_walks(steps: u32) {
    for seed in 0..120 {
        let (harness, texts) = walk(seed, steps);
        assert!(harness.observer.violations.is_empty(), "walk {seed}: {:#?}", harness.observer.violations);
        assert_eq!(harness.observer.overdue_responses(harness.now), 0, "walk {seed}");
        let sends = texts.iter().filter(|s| s.contains("Send")).count();
        assert!(sends > 50, "walk {seed} sent only {sends} times");
    }
}

#[test]
fn random_walks_violate_no_rule() {
    check_walks(1500);
}

/// Checks longer walks as well. They do not replace the shorter ones, which must also send more than 50 times.
#[test]
fn longer_random_walks_violate_no_rule() {
    check_walks(1800);
}

#[test]
fn equal_events_give_equal_actions() {
    for seed in 0..10 {
        assert_eq!(walk(seed, 800).1, walk(seed, 800).1);
    }
}

#[test]
fn different_seeds_give_different_sends() {
    let with = |seed| {
        let mut harness = Harness::new(settings(2), seed);
        harness.set_endpoints(fleet(9, 3, 3));
        (0..20).map(|_| harness.request(0).1).collect::<Vec<_>>()
    };
    assert_ne!(with(1), with(2));
}

/// Balancers share no state: two that handle events alternately act as each does alone.
#[test]
fn interleaved_balancers_are_independent() {
    let step = |harness: &mut Harness, i: u32| {
        let (id, sent) = harness.request((i % 3) as usize);
        let mut actions = harness.actions.clone();
        actions.extend(harness.advance(Micros::from_ms(3.0)));
        if sent.is_some() && i % 4 != 0 {
            actions.extend_from_slice(harness.respond(id, 0, Outcome::Success, 3.0));
        }
        actions
    };
    let start = |seed| {
        let mut harness = Harness::new(settings(seed), seed);
        harness.set_endpoints(fleet(7, 3, 3));
        harness
    };
    let alone = |seed| {
        let mut harness = start(seed);
        (0..300).map(|i| step(&mut harness, i)).collect::<Vec<_>>()
    };
    let (mut a, mut b) = (start(3), start(8));
    let (mut from_a, mut from_b) = (Vec::new(), Vec::new());
    for i in 0..300 {
        from_a.push(step(&mut a, i));
        from_b.push(step(&mut b, i));
    }
    assert_eq!((from_a, from_b), (alone(3), alone(8)));
}
