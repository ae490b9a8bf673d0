//! The observer on event sequences that keep or break a rule, on the balancer itself, and on faulty variants of it.

use bellcroft_balancer::*;
use bellcroft_telemetry::{Observer, Rule, RuleParameters};
use std::collections::{BTreeMap, BTreeSet};

fn settings() -> Settings {
    let class = |retry_safety| Class {
        retry_safety,
        latency_objective: Micros::from_ms(200.0),
        deadline: Micros::from_ms(800.0),
        ..Class::default()
    };
    let deduplicated = |scope| RetrySafety::Deduplicated { scope, window: Micros::from_ms(300.0) };
    Settings {
        classes: vec![
            class(RetrySafety::Idempotent),
            class(deduplicated(DedupScope::All)),
            class(deduplicated(DedupScope::Zone)),
            class(RetrySafety::AtMostOnce),
        ],
        initial_capacity: 0.2,
        slow_start_window: Micros::from_ms(4000.0),
        ..Settings::default()
    }
}

fn at(ms: u64) -> Time {
    Time(10_000_000 + ms * 1000)
}

/// An observer with four warm servers, two in each of two zones.
fn observer() -> Observer {
    let mut observer = Observer::new(RuleParameters::from(&settings()));
    for server in 0..4 {
        observer.endpoint_listed(at(0), server, (server % 2, server), true, None);
    }
    observer
}

fn breaches(observer: &Observer) -> [u64; 4] {
    Rule::ALL.map(|rule| observer.margin(rule).breaches)
}

#[test]
fn compliant_request_records_margins_without_breach() {
    let mut o = observer();
    o.request_received(1, 1, at(800));
    o.first_byte(at(10), 1, 0, 0);
    o.attempt_finished(1, 0, false);
    o.first_byte(at(110), 1, 1, 1);
    o.response_sent(at(200), 1, false);
    o.check_overdue(at(5000));
    assert_eq!(breaches(&o), [0; 4]);
    let is_near = |rule, seconds: f64| (o.margin(rule).min.expect("a margin") - seconds).abs() < 1e-6;
    assert!(is_near(Rule::Response, 0.6) && is_near(Rule::RetrySafety, 0.2), "{o:?}");
}

#[test]
fn missing_duplicate_and_late_responses_are_breaches() {
    let mut o = observer();
    o.request_received(1, 0, at(800));
    o.check_overdue(at(849));
    assert_eq!(breaches(&o), [0; 4], "within the tolerance");
    o.check_overdue(at(851));
    o.check_overdue(at(900));
    assert_eq!(breaches(&o), [1, 0, 0, 0], "a missing response, counted once");
    o.request_received(2, 0, at(2000));
    o.response_sent(at(1900), 2, false);
    o.response_sent(at(1910), 2, false);
    assert_eq!(breaches(&o), [2, 0, 0, 0], "a second response");
    o.request_received(3, 0, at(3000));
    o.response_sent(at(3051), 3, false);
    assert_eq!(breaches(&o), [3, 0, 0, 0], "a late response");
    o.response_sent(at(3051), 99, false);
    assert_eq!(breaches(&o), [4, 0, 0, 0], "a response without a request");
    o.request_received(4, 0, at(5000));
    o.client_left(4);
    o.check_overdue(at(9000));
    assert_eq!(breaches(&o), [4, 0, 0, 0], "no response is due after the client has left");
    o.first_byte(at(4100), 4, 0, 0);
    assert_eq!(breaches(&o), [5, 0, 0, 0], "an attempt after the client has left");
}

#[test]
fn unsafe_retries_and_unsafe_shedding_are_breaches() {
    let mut o = observer();
    o.request_received(1, 1, at(800));
    o.first_byte(at(0), 1, 0, 0);
    o.first_byte(at(351), 1, 1, 1);
    assert_eq!(breaches(&o), [0, 1, 0, 0], "a retry after the dedup window");
    o.request_received(2, 2, at(800));
    o.first_byte(at(0), 2, 0, 0);
    o.first_byte(at(100), 2, 1, 2);
    assert_eq!(breaches(&o), [0, 1, 0, 0], "a retry in the same zone");
    o.first_byte(at(110), 2, 2, 1);
    assert_eq!(breaches(&o), [0, 2, 0, 0], "a retry in another zone");
    o.request_received(3, 3, at(800));
    o.first_byte(at(0), 3, 0, 0);
    o.attempt_finished(3, 0, true);
    o.first_byte(at(10), 3, 1, 1);
    assert_eq!(breaches(&o), [0, 2, 0, 0], "a retry after a rejection");
    o.attempt_finished(3, 1, false);
    o.first_byte(at(20), 3, 2, 2);
    assert_eq!(breaches(&o), [0, 3, 0, 0], "a retry of an attempt that may have run");
    o.response_sent(at(30), 3, true);
    assert_eq!(breaches(&o), [0, 4, 0, 0], "shed although it may have run");
    o.response_sent(at(30), 1, true);
    assert_eq!(breaches(&o), [0, 4, 0, 0], "all servers deduplicate, so a client's retry is harmless");
}

#[test]
fn attempts_to_draining_or_unlisted_servers_are_breaches() {
    let mut o = observer();
    let grace = settings().drain_grace_period.ms() as u64;
    o.endpoint_listed(at(0), 1, (1, 1), false, None);
    for (n, ms) in [(1, grace), (2, grace + 50), (3, grace + 51)] {
        o.request_received(n, 0, at(60_000));
        o.first_byte(at(ms), n, 0, 1);
        assert_eq!(breaches(&o)[2], u64::from(ms > grace + 50), "{ms}");
    }
    // A repeated entry does not restart the grace period; an entry as serving ends the drain.
    o.endpoint_listed(at(3000), 1, (1, 1), false, None);
    o.request_received(4, 0, at(60_000));
    o.first_byte(at(3001), 4, 0, 1);
    assert_eq!(breaches(&o)[2], 2);
    o.endpoint_listed(at(4000), 1, (1, 1), true, None);
    o.request_received(5, 0, at(60_000));
    o.first_byte(at(4001), 5, 0, 1);
    o.request_received(6, 0, at(60_000));
    o.first_byte(at(4001), 6, 0, 77);
    assert_eq!(breaches(&o)[2], 3, "a server that was never listed");
}

#[test]
fn too_many_attempts_to_server_in_slow_start_are_breaches() {
    let mut o = observer();
    o.endpoint_listed(at(0), 4, (0, 4), true, Some(at(0)));
    let mut id = 0;
    let mut send = |o: &mut Observer, ms: u64, server: u32| {
        id += 1;
        o.request_received(id, 0, at(ms + 800));
        o.first_byte(at(ms), id, 0, server);
        o.response_sent(at(ms + 10), id, false);
    };
    for ms in 0..500 {
        send(&mut o, ms, (ms % 4) as u32);
        if ms % 50 == 0 {
            send(&mut o, ms, 4);
        }
    }
    assert_eq!(breaches(&o), [0; 4], "within its share");
    for _ in 0..200 {
        send(&mut o, 500, 4);
    }
    assert!(breaches(&o)[3] > 0);
    assert!(o.margin(Rule::SlowStart).min.is_some_and(|min| min < 0.0));
}

#[test]
fn memory_is_bounded_over_many_requests() {
    let mut o = observer();
    for id in 0..100_000 {
        o.request_received(id, 0, at(id + 800));
        o.first_byte(at(id), id, 0, (id % 4) as u32);
        o.attempt_finished(id, 0, false);
        o.response_sent(at(id + 5), id, false);
    }
    assert!(o.tracked_requests() <= 2_001, "{}", o.tracked_requests());
    assert_eq!(breaches(&o), [0; 4]);
}

/// A fault in the execution of the balancer's decisions.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Sends each attempt a second time, to another server.
    DuplicatesAttempts,
    /// Sends no response when a request of class 0 is shed or fails.
    OmitsResponses,
    /// Sends a second response when a request is shed or fails.
    DuplicatesResponses,
}

/// Runs the balancer on simulated servers, with or without a fault, and returns the breaches by rule.
fn run_balancer(seed: u64, fault: Fault) -> [u64; 4] {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut balancer = Balancer::new(settings(), seed).expect("valid settings");
    let mut observer = Observer::new(RuleParameters::from(&settings()));
    let mut now = at(0);
    let mut actions = Vec::new();
    balancer.start(now, &mut actions);
    let endpoints: Vec<Endpoint> = (0..6)
        .map(|i| Endpoint {
            zone: ZoneId(i % 2),
            dedup_group: DedupGroupId(i),
            ..Endpoint::serving(ServerId(i))
        })
        .collect();
    let mut timers = BTreeSet::new();
    let mut in_flight: BTreeMap<(u64, u32), (Time, Time)> = BTreeMap::new();
    let mut attempts: BTreeMap<u64, u32> = BTreeMap::new();
    let mut classes: BTreeMap<u64, usize> = BTreeMap::new();
    let mut finished = BTreeSet::new();
    for endpoint in &endpoints {
        observer.endpoint_listed(
            now,
            endpoint.server.0,
            (endpoint.zone.0, endpoint.dedup_group.0),
            true,
            None,
        );
    }
    let mut events = vec![Event::Endpoints(EndpointUpdate::Snapshot(endpoints.clone()))];
    for step in 0..4000_u64 {
        now = now + Micros(1000);
        if step % 6 == 0 && step < 3000 {
            let class = random.usize(0..4);
            classes.insert(step, class);
            observer.request_received(step, class, now + Micros::from_ms(800.0));
            events.push(Event::Request(Request::new(
                RequestId(step),
                ClassId(class),
                Micros::from_ms(800.0),
            )));
        }
        while let Some(&(time, timer)) = timers.first().filter(|(time, _)| *time <= now) {
            timers.remove(&(time, timer));
            events.push(Event::Timer(timer));
        }
        let due: Vec<_> = in_flight
            .iter()
            .filter(|(_, (finish_at, timeout_at))| now >= *finish_at.min(timeout_at))
            .map(|(k, _)| *k)
            .collect();
        for key in due {
            let (finish_at, timeout_at) = in_flight.remove(&key).expect("attempt is in flight");
            let outcome = match random.u8(0..6) {
                _ if timeout_at <= finish_at => Outcome::TimedOut,
                0 => Outcome::ServerError,
                1 => Outcome::Rejected,
                _ => Outcome::Success,
            };
            observer.attempt_finished(key.0, key.1, outcome == Outcome::Rejected);
            if outcome == Outcome::Success && finished.insert(key.0) {
                observer.response_sent(now, key.0, false);
            }
            events.push(Event::Outcome {
                request: RequestId(key.0),
                attempt: AttemptNo(key.1),
                outcome,
                elapsed: Micros(1000),
                report: None,
                is_final: finished.contains(&key.0),
            });
        }
        for event in events.drain(..) {
            balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                match action {
                    Action::Send { request, server, timeout_at, .. } => {
                        let n = attempts.entry(request.0).or_insert(0);
                        observer.first_byte(now, request.0, *n, server.0);
                        if fault == Fault::DuplicatesAttempts {
                            observer.first_byte(now + Micros(1), request.0, *n + 100, (server.0 + 1) % 6);
                        }
                        let service_time = Micros(random.u64(1000..150_000));
                        in_flight.insert((request.0, *n), (now + service_time, timeout_at));
                        *n += 1;
                    }
                    Action::Cancel { request, attempt } => {
                        if let Some((finish_at, _)) = in_flight.get_mut(&(request.0, attempt.0)) {
                            *finish_at = now;
                        }
                    }
                    Action::SetTimer { at, timer } => drop(timers.insert((at, timer))),
                    Action::Shed { request, .. } | Action::Fail { request } if finished.insert(request.0) => {
                        let is_shed = matches!(action, Action::Shed { .. });
                        if fault != Fault::OmitsResponses || classes[&request.0] != 0 {
                            observer.response_sent(now, request.0, is_shed);
                        }
                        if fault == Fault::DuplicatesResponses {
                            observer.response_sent(now, request.0, is_shed);
                        }
                    }
                    _ => {}
                }
            }
        }
        observer.check_overdue(now);
    }
    Rule::ALL.map(|rule| observer.margin(rule).breaches)
}

#[test]
fn balancer_breaks_no_rule_and_each_fault_is_detected() {
    let mut detected = [0_u64; 3];
    for seed in 0..15 {
        assert_eq!(run_balancer(seed, Fault::None), [0; 4], "seed {seed}");
        detected[0] += run_balancer(seed, Fault::DuplicatesAttempts)[1];
        detected[1] += run_balancer(seed, Fault::OmitsResponses)[0];
        detected[2] += run_balancer(seed, Fault::DuplicatesResponses)[0];
    }
    assert!(detected.iter().all(|n| *n > 0), "{detected:?}");
}
