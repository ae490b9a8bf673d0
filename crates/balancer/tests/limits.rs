//! Limits of routes: timeouts, attempts, retry conditions, queueing and concurrency.
mod common;
use bellcroft_balancer::*;
use common::*;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// A request with the standard limits is handled exactly like one without limits.
#[test]
fn standard_limits_change_no_action() {
    for seed in 0..60 {
        let mut texts = Vec::new();
        for limits in [None, Some(Arc::new(Limits::STANDARD))] {
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut harness = Harness::new(route_settings(), seed);
            harness.set_endpoints(fleet(1 + rng.u32(0..6), 2, 2));
            let mut in_flight: VecDeque<(RequestId, u32)> = VecDeque::new();
            let mut sends: BTreeMap<RequestId, u32> = BTreeMap::new();
            let mut text = Vec::new();
            for step in 0..800 {
                let mut actions = match rng.u8(0..4) {
                    0 | 1 => {
                        let class = ClassId(rng.usize(0..3));
                        let left = Micros::from_ms(f64::from(rng.u32(1..3000)));
                        let request = Request::new(RequestId(step), class, left);
                        harness.handle(Event::Request(Request { limits: limits.clone(), ..request })).to_vec()
                    }
                    2 if !in_flight.is_empty() => {
                        let (id, attempt) =
                            in_flight.remove(rng.usize(0..in_flight.len())).expect("in range");
                        let outcomes = [
                            Outcome::Success,
                            Outcome::Success,
                            Outcome::ServerError,
                            Outcome::Rejected,
                            Outcome::TimedOut,
                            Outcome::ConnectFailed,
                        ];
                        harness.respond(id, attempt, outcomes[rng.usize(0..outcomes.len())], 40.0).to_vec()
                    }
                    _ => harness.advance(Micros::from_ms(f64::from(rng.u32(1..60)))),
                };
                for action in &actions {
                    if let Action::Send { request, .. } = action {
                        let attempt = sends.entry(*request).or_insert(0);
                        in_flight.push_back((*request, *attempt));
                        *attempt += 1;
                    }
                }
                text.extend(actions.drain(..).map(|action| format!("{action:?}")));
            }
            texts.push(text);
        }
        assert!(texts[0].len() > 200, "too few actions");
        assert_eq!(texts[0], texts[1], "seed {seed}");
    }
}

#[test]
fn route_limits_attempts() {
    for max_attempts in 1..4 {
        let mut route = RouteHarness::new(6);
        let limits = limits(|l| l.max_attempts = max_attempts);
        let (id, sent) = route.request(0, &limits, None);
        assert!(sent.is_some());
        let mut attempts = 1;
        while route.respond(id, attempts - 1, Outcome::ServerError).is_some() {
            attempts += 1;
        }
        assert_eq!(attempts, max_attempts);
        route.harness.assert_rules();
    }
}

#[test]
fn only_listed_outcomes_are_retried() {
    let all = [
        (Outcome::ConnectFailed, RetryOn { connect: true, ..RetryOn::NONE }),
        (Outcome::NotSent, RetryOn { connect: true, ..RetryOn::NONE }),
        (Outcome::Rejected, RetryOn { rejected: true, ..RetryOn::NONE }),
        (Outcome::ConnectionReset, RetryOn { reset: true, ..RetryOn::NONE }),
        (Outcome::TimedOut, RetryOn { timeout: true, ..RetryOn::NONE }),
        (Outcome::Cancelled, RetryOn { timeout: true, ..RetryOn::NONE }),
        (Outcome::ServerError, RetryOn { error: true, ..RetryOn::NONE }),
    ];
    for (outcome, own) in all {
        for (_, named) in all {
            let mut route = RouteHarness::new(6);
            let (id, _) = route.request(0, &limits(|l| l.retry_on = named), None);
            assert_eq!(route.respond(id, 0, outcome).is_some(), named == own, "{outcome:?} {named:?}");
        }
    }
}

#[test]
fn same_zone_retries_stay_in_first_zone() {
    let limits = limits(|l| l.same_zone = true);
    let mut elsewhere = 0;
    for seed in 0..40 {
        let mut route = RouteHarness::new(8);
        for (class, is_limited) in [(0, true), (0, false)] {
            let route_limits = if is_limited { limits.clone() } else { Arc::new(Limits::STANDARD) };
            for _ in 0..seed % 5 {
                route.harness.request(0);
            }
            let (id, Some(first)) = route.request(class, &route_limits, None) else { continue };
            if let Some(second) = route.respond(id, 0, Outcome::ConnectFailed) {
                let same = first.0 % 2 == second.0 % 2;
                assert!(same || !is_limited, "{first:?} {second:?}");
                elsewhere += u32::from(!same);
            }
        }
    }
    assert!(elsewhere > 0, "no attempt without the limit left its zone: the test has no effect");
}

#[test]
fn route_timeouts_end_attempt_and_request() {
    let mut route = RouteHarness::new(3);
    let limits =
        limits(|l| (l.timeout, l.attempt_timeout) = (Micros::from_ms(900.0), Micros::from_ms(400.0)));
    let begin = route.harness.now;
    let (id, _) = route.request(0, &limits, None);
    let times = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::Send { timeout_at, write_by, .. } => Some((timeout_at.since(begin).ms(), *write_by)),
            _ => None,
        })
    };
    assert_eq!(times(&route.harness.actions).map(|t| t.0), Some(400.0));
    route.harness.advance(Micros::from_ms(400.0));
    route.harness.respond(id, 0, Outcome::TimedOut, 400.0);
    assert_eq!(times(&route.harness.actions).map(|t| t.0), Some(800.0));
    route.harness.advance(Micros::from_ms(400.0));
    route.harness.respond(id, 1, Outcome::TimedOut, 400.0);
    // The third attempt, if there is one, has the time that the request has left.
    if let Some((until, _)) = times(&route.harness.actions) {
        assert_eq!(until, 900.0);
        route.harness.advance(Micros::from_ms(100.0));
        route.harness.respond(id, 2, Outcome::TimedOut, 100.0);
    }
    assert!(is_shed(&route.harness.actions, id), "the final response must be immediate");
    route.harness.assert_rules();
}

/// The first byte must be written within the dedup window, which starts with the first attempt, the drain grace period, which
/// starts with the decision, and the connect timeout. That is a quarter of the time to the objective, which leaves time for
/// another attempt.
#[test]
fn write_deadline_is_the_earliest_bound() {
    let patient = |objective_ms: f64| Class {
        latency_objective: Micros::from_ms(objective_ms),
        deadline: Micros::from_ms(30_000.0),
        ..class(keyed(DedupScope::All, 3000.0))
    };
    // In milliseconds after the request arrived.
    let write_by = |harness: &Harness, arrived_at: Time| {
        harness.actions.iter().find_map(|a| match a {
            Action::Send { write_by, .. } => Some(write_by.since(arrived_at).ms()),
            _ => None,
        })
    };
    let submit = |objective_ms: f64, grace_ms: f64| {
        let (classes, drain_grace) = (vec![patient(objective_ms)], Micros::from_ms(grace_ms));
        let settings = Settings { classes, drain_grace_period: drain_grace, ..Settings::default() };
        let mut harness = Harness::new(settings, 3);
        harness.set_endpoints(fleet(4, 1, 1));
        let (arrived_at, (id, _)) = (harness.now, harness.request(0));
        (harness, id, arrived_at)
    };
    let (harness, _, arrived_at) = submit(20_000.0, 1000.0);
    assert_eq!(
        write_by(&harness, arrived_at),
        Some(850.0),
        "the drain grace period, less 150 ms for a stall"
    );
    let (harness, _, arrived_at) = submit(2000.0, 1000.0);
    assert_eq!(
        write_by(&harness, arrived_at),
        Some(500.0),
        "the connect timeout, a quarter of the latency objective"
    );
    let (harness, _, arrived_at) = submit(40.0, 1000.0);
    assert_eq!(write_by(&harness, arrived_at), Some(50.0), "the minimum connect timeout");
    let (mut harness, id, arrived_at) = submit(20_000.0, 10_000.0);
    assert_eq!(write_by(&harness, arrived_at), Some(5000.0));
    harness.advance(Micros::from_ms(1000.0));
    harness.respond(id, 0, Outcome::ConnectionReset, 1000.0);
    assert_eq!(
        write_by(&harness, arrived_at),
        Some(3000.0),
        "the end of the dedup window, before the connect timeout"
    );
    let (mut harness, id, arrived_at) = submit(20_000.0, 10_000.0);
    harness.advance(Micros::from_ms(1000.0));
    harness.respond(id, 0, Outcome::ConnectFailed, 1000.0);
    // An attempt that never ran starts no window.
    assert_eq!(write_by(&harness, arrived_at), Some(1000.0 + 4750.0));
}

#[test]
fn queue_timeout_sheds_request() {
    let mut route = RouteHarness::new(0);
    let (short, _) = route.request(0, &limits(|l| l.queue_timeout = Micros::from_ms(100.0)), None);
    let (long, _) = route.request(0, &Arc::new(Limits::STANDARD), None);
    assert!(route.harness.advance(Micros::from_ms(90.0)).iter().all(|a| !matches!(a, Action::Shed { .. })));
    let actions = route.harness.advance(Micros::from_ms(30.0));
    assert!(is_shed(&actions, short) && !is_shed(&actions, long));
}

#[test]
fn concurrency_limit_is_shared() {
    let mut route = RouteHarness::new(4);
    let bound = ConcurrencyLimit { id: 7, max_in_flight: 2, max_queued: 1 };
    let one = limits(|l| l.concurrency_limits.push(bound));
    let two = limits(|l| (l.concurrency_limits, l.max_attempts) = (vec![bound], 2));
    let (a, sent) = route.request(0, &one, None);
    assert!(sent.is_some());
    assert!(route.request(2, &two, None).1.is_some());
    let (queued, sent) = route.request(0, &one, None);
    assert!(sent.is_none() && !is_shed(&route.harness.actions, queued), "queued");
    let (excess, _) = route.request(2, &two, None);
    assert!(is_shed(&route.harness.actions, excess), "only one request may be queued");
    assert!(
        route.request(0, &Arc::new(Limits::STANDARD), None).1.is_some(),
        "other requests are not limited"
    );
    route.harness.respond(a, 0, Outcome::Success, 20.0);
    assert!(route.harness.sent_to(queued).is_some(), "the queued request is sent when capacity is available");
    route.harness.assert_rules();
}
