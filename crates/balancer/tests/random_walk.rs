//! Guards the four rules on event orders that nobody thought of, and that equal events give equal actions.
mod common;
use bellcroft_balancer::*;
use common::*;
use std::collections::BTreeMap;

fn settings(pick: u64) -> Settings {
    Settings {
        balancers: 1 + (pick % 7) as u32,
        classes: vec![
            class(RetrySafety::Idempotent),
            class(RetrySafety::AtMostOnce),
            class(keyed(DedupScope::All, 300.0)),
            class(keyed(DedupScope::Zone, 200.0)),
            class(keyed(DedupScope::Group, 600.0)),
            Class { late_weight: 0.3, stream: true, ..class(RetrySafety::Idempotent) },
        ],
        hedging: pick % 2 == 0,
        cancel: pick % 3 != 0,
        retry_after: pick % 5 == 0,
        health_checks: pick % 4 == 0,
        report_source: if pick % 3 == 0 { LoadReportSource::None } else { LoadReportSource::Answers },
        report_fields: vec![LoadReportField::InFlight, LoadReportField::ServiceTime],
        discovery: if pick % 2 == 1 { Discovery::OnRequest } else { Discovery::Pushed },
        initial_capacity: 0.2,
        slow_start_window: Micros::from_ms(4000.0),
        ..Settings::default()
    }
}

struct Out {
    request: RequestId,
    attempt: u32,
    sent: Time,
    deadline: Time,
    streaming: bool,
}

/// Plays `steps` random events; all that the balancer did, as text.
fn walk(pick: u64, steps: u32) -> (Rig, Vec<String>) {
    let mut rng = fastrand::Rng::with_seed(pick);
    let mut settings = settings(pick);
    let mut classes = settings.classes.clone();
    let mut testbed = Rig::new(settings.clone(), pick ^ 0x5eed);
    let mut coming: Vec<RequestId> = Vec::new();
    let mut lines = fleet(1 + rng.u32(0..9), 3, 3);
    let mut out: Vec<Out> = Vec::new();
    let mut attempts: BTreeMap<RequestId, u32> = BTreeMap::new();
    let mut said = Vec::new();
    testbed.tell(Event::Endpoints(EndpointUpdate::SavedSnapshot(lines.clone())));
    for step in 0..steps {
        let mut actions = Vec::new();
        match rng.u32(0..100) {
            0..=39 => {
                let class = rng.usize(0..classes.len());
                let left = classes[class].deadline * (rng.f64() * 1.2).min(1.0);
                let mut request = Request::new(RequestId(u64::from(step)), ClassId(class), left);
                request.key = rng.bool().then(|| KeyId(rng.u64(0..5)));
                request.cost_hint = rng.bool().then(|| Micros::from_ms(rng.f64() * 80.0));
                if rng.u32(0..6) == 0 && !classes[class].stream {
                    (request.streaming, request.time_left) = (true, Micros::from_ms(60_000.0));
                    coming.push(request.id);
                }
                actions.extend_from_slice(testbed.tell(Event::Request(request)));
            }
            40..=79 if !out.is_empty() => {
                let o = out.swap_remove(rng.usize(0..out.len()));
                let outcome = match rng.u32(0..10) {
                    _ if testbed.now >= o.deadline && !o.streaming => Outcome::TimedOut,
                    0 => Outcome::ServerError,
                    1 if !o.streaming => Outcome::Rejected,
                    2 if !o.streaming => Outcome::ConnectFailed,
                    3 => Outcome::ConnectionReset,
                    4 if !o.streaming => Outcome::NotSent,
                    _ => Outcome::Success,
                };
                let report =
                    rng.bool().then(|| vec![rng.f64() * 9.0, [f64::NAN, -4.0, 30.0][rng.usize(0..3)]]);
                let closed = outcome == Outcome::Success || o.streaming;
                actions.extend_from_slice(testbed.tell(Event::Outcome {
                    request: o.request,
                    attempt: AttemptNo(o.attempt),
                    outcome,
                    elapsed: testbed.now.since(o.sent),
                    report,
                    closed,
                }));
            }
            80..=83 if !out.is_empty() => {
                let i = rng.usize(0..out.len());
                let o = &mut out[i];
                o.streaming = true;
                let event = Event::FirstByte { request: o.request, attempt: AttemptNo(o.attempt) };
                actions.extend_from_slice(testbed.tell(event));
            }
            84 if !coming.is_empty() => {
                let request = coming.swap_remove(rng.usize(0..coming.len()));
                let time_left = Micros::from_ms(800.0 * rng.f64());
                for o in out.iter_mut().filter(|o| o.request == request) {
                    (o.deadline, o.sent) = (testbed.now + time_left, testbed.now);
                }
                actions.extend_from_slice(testbed.tell(Event::BodyComplete { request, time_left }));
            }
            85 if !coming.is_empty() => {
                let request = coming[rng.usize(0..coming.len())];
                actions.extend_from_slice(testbed.tell(Event::AttemptsExhausted { request }));
            }
            86 if rng.u32(0..4) == 0 => {
                // New settings: a class more that begins as another one, and another number of attempts.
                let from = rng.usize(0..classes.len());
                let deadline = Micros::from_ms(200.0 + rng.f64() * 900.0);
                classes.push(Class { deadline, ..classes[from].clone() });
                settings.classes = classes.clone();
                settings.max_attempts = rng.u32(1..5);
                let changed = [(classes.len() - 1, Some(from))];
                testbed.balancer.reconfigure(settings.clone(), &changed).expect("usable settings");
                testbed.observer.settings = settings.clone();
            }
            84..=86 => {
                let request = RequestId(u64::from(rng.u32(0..step + 1)));
                actions.extend_from_slice(testbed.tell(Event::ClientDisconnected { request }));
            }
            87..=90 => {
                let i = rng.usize(0..lines.len());
                lines[i].status =
                    [Status::Serving, Status::Serving, Status::Draining, Status::Gone][rng.usize(0..4)];
                if rng.bool() && lines[i].status == Status::Serving {
                    lines[i].started_at = Some(testbed.now);
                }
                let update = match rng.u32(0..6) {
                    0 => EndpointUpdate::Failed,
                    1 => EndpointUpdate::Snapshot(lines.clone()),
                    _ => EndpointUpdate::Delta(vec![lines[i].clone()]),
                };
                actions.extend_from_slice(testbed.tell(Event::Endpoints(update)));
            }
            _ => actions = testbed.wait(Micros::from_ms(rng.f64() * 15.0)),
        }
        // What has run past its deadline comes back as the caller's network would bring it.
        while let Some(i) = out.iter().position(|o| testbed.now >= o.deadline && !o.streaming) {
            let o = out.swap_remove(i);
            actions.extend_from_slice(testbed.answer(o.request, o.attempt, Outcome::TimedOut, 800.0));
        }
        for action in &actions {
            match action {
                Action::Send { request, timeout_at, .. } => {
                    let number = attempts.entry(*request).or_insert(0);
                    let (attempt, sent, deadline) = (*number, testbed.now, *timeout_at);
                    *number += 1;
                    out.push(Out { request: *request, attempt, sent, deadline, streaming: false });
                }
                Action::Cancel { request, attempt } => {
                    let hit = |o: &Out| o.request == *request && o.attempt == attempt.0 && !o.streaming;
                    if let Some(o) = out.iter_mut().find(|o| hit(o)) {
                        // It ends soon, as a time-out would; the outcome's name is all that differs.
                        o.deadline = testbed.now;
                    }
                }
                _ => {}
            }
        }
        said.push(format!("{actions:?}"));
    }
    (testbed, said)
}

#[test]
fn the_rules_hold_on_random_walks() {
    for pick in 0..120 {
        let (testbed, said) = walk(pick, 1500);
        assert!(testbed.observer.faults.is_empty(), "walk {pick}: {:#?}", testbed.observer.faults);
        assert_eq!(testbed.observer.lost(testbed.now), 0, "walk {pick}");
        let sends = said.iter().filter(|s| s.contains("Send")).count();
        assert!(sends > 50, "walk {pick} sent only {sends} times and so shows little");
    }
}

#[test]
fn equal_events_give_equal_actions() {
    for pick in 0..10 {
        assert_eq!(walk(pick, 800).1, walk(pick, 800).1);
    }
}

#[test]
fn seeds_matter() {
    let with = |seed| {
        let mut testbed = Rig::new(settings(2), seed);
        testbed.list(fleet(9, 3, 3));
        (0..20).map(|_| testbed.ask(0).1).collect::<Vec<_>>()
    };
    assert_ne!(with(1), with(2));
}

/// Two balancers fed in turn act as each does alone: they share nothing.
#[test]
fn interleaved_balancers_act_as_if_apart() {
    let step = |testbed: &mut Rig, i: u32| {
        let (id, sent) = testbed.ask((i % 3) as usize);
        let mut actions = testbed.actions.clone();
        actions.extend(testbed.wait(Micros::from_ms(3.0)));
        if sent.is_some() && i % 4 != 0 {
            actions.extend_from_slice(testbed.answer(id, 0, Outcome::Success, 3.0));
        }
        actions
    };
    let start = |seed| {
        let mut testbed = Rig::new(settings(seed), seed);
        testbed.list(fleet(7, 3, 3));
        testbed
    };
    let alone = |seed| {
        let mut testbed = start(seed);
        (0..300).map(|i| step(&mut testbed, i)).collect::<Vec<_>>()
    };
    let (mut a, mut b) = (start(3), start(8));
    let (mut from_a, mut from_b) = (Vec::new(), Vec::new());
    for i in 0..300 {
        from_a.push(step(&mut a, i));
        from_b.push(step(&mut b, i));
    }
    assert_eq!((from_a, from_b), (alone(3), alone(8)));
}
