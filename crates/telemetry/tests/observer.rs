//! The observer beside modules that cheat, and beside the real one.

use bellcroft_balancer::*;
use bellcroft_telemetry::{Observer, Rule, RuleParameters};
use std::collections::{BTreeMap, BTreeSet};

fn settings() -> Settings {
    let class = |effect| Class {
        retry_safety: effect,
        latency_objective: Micros::from_ms(200.0),
        deadline: Micros::from_ms(800.0),
        ..Class::default()
    };
    let keyed = |group| RetrySafety::Deduplicated { scope: group, window: Micros::from_ms(300.0) };
    Settings {
        classes: vec![
            class(RetrySafety::Idempotent),
            class(keyed(DedupScope::All)),
            class(keyed(DedupScope::Zone)),
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

/// Four warm servers, two in each zone.
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
fn an_honest_request_breaks_nothing_and_leaves_its_margin() {
    let mut o = observer();
    o.request_received(1, 1, at(800));
    o.first_byte(at(10), 1, 0, 0);
    o.attempt_finished(1, 0, false);
    o.first_byte(at(110), 1, 1, 1);
    o.response_sent(at(200), 1, false);
    o.check_overdue(at(5000));
    assert_eq!(breaches(&o), [0; 4]);
    let near = |rule, seconds: f64| (o.margin(rule).min.expect("a margin") - seconds).abs() < 1e-6;
    assert!(near(Rule::Response, 0.6) && near(Rule::RetrySafety, 0.2), "{o:?}");
}

#[test]
fn requests_without_an_answer_with_two_or_with_a_late_one() {
    let mut o = observer();
    o.request_received(1, 0, at(800));
    o.check_overdue(at(849));
    assert_eq!(breaches(&o), [0; 4], "not yet");
    o.check_overdue(at(851));
    o.check_overdue(at(900));
    assert_eq!(breaches(&o), [1, 0, 0, 0], "lost, and once");
    o.request_received(2, 0, at(2000));
    o.response_sent(at(1900), 2, false);
    o.response_sent(at(1910), 2, false);
    assert_eq!(breaches(&o), [2, 0, 0, 0], "answered twice");
    o.request_received(3, 0, at(3000));
    o.response_sent(at(3051), 3, false);
    assert_eq!(breaches(&o), [3, 0, 0, 0], "too late");
    o.response_sent(at(3051), 99, false);
    assert_eq!(breaches(&o), [4, 0, 0, 0], "nobody asked");
    o.request_received(4, 0, at(5000));
    o.client_left(4);
    o.check_overdue(at(9000));
    assert_eq!(breaches(&o), [4, 0, 0, 0], "nothing is owed to who has left");
    o.first_byte(at(4100), 4, 0, 0);
    assert_eq!(breaches(&o), [5, 0, 0, 0], "something goes out for it afterwards");
}

#[test]
fn repeats_outside_window_and_group_and_refusals_of_what_may_have_run() {
    let mut o = observer();
    o.request_received(1, 1, at(800));
    o.first_byte(at(0), 1, 0, 0);
    o.first_byte(at(351), 1, 1, 1);
    assert_eq!(breaches(&o), [0, 1, 0, 0], "after the window");
    o.request_received(2, 2, at(800));
    o.first_byte(at(0), 2, 0, 0);
    o.first_byte(at(100), 2, 1, 2);
    assert_eq!(breaches(&o), [0, 1, 0, 0], "the same zone");
    o.first_byte(at(110), 2, 2, 1);
    assert_eq!(breaches(&o), [0, 2, 0, 0], "another zone");
    o.request_received(3, 3, at(800));
    o.first_byte(at(0), 3, 0, 0);
    o.attempt_finished(3, 0, true);
    o.first_byte(at(10), 3, 1, 1);
    assert_eq!(breaches(&o), [0, 2, 0, 0], "turned away unseen");
    o.attempt_finished(3, 1, false);
    o.first_byte(at(20), 3, 2, 2);
    assert_eq!(breaches(&o), [0, 3, 0, 0], "may have run");
    o.response_sent(at(30), 3, true);
    assert_eq!(breaches(&o), [0, 4, 0, 0], "refused though it may have run");
    o.response_sent(at(30), 1, true);
    assert_eq!(breaches(&o), [0, 4, 0, 0], "all servers drop repeats: trying again is harmless");
}

#[test]
fn bytes_to_servers_that_drain_or_that_nobody_named() {
    let mut o = observer();
    let grace = settings().drain_grace_period.ms() as u64;
    o.endpoint_listed(at(0), 1, (1, 1), false, None);
    for (n, ms) in [(1, grace), (2, grace + 50), (3, grace + 51)] {
        o.request_received(n, 0, at(60_000));
        o.first_byte(at(ms), n, 0, 1);
        assert_eq!(breaches(&o)[2], u64::from(ms > grace + 50), "{ms}");
    }
    // Being told again is no new beginning; coming back is.
    o.endpoint_listed(at(3000), 1, (1, 1), false, None);
    o.request_received(4, 0, at(60_000));
    o.first_byte(at(3001), 4, 0, 1);
    assert_eq!(breaches(&o)[2], 2);
    o.endpoint_listed(at(4000), 1, (1, 1), true, None);
    o.request_received(5, 0, at(60_000));
    o.first_byte(at(4001), 5, 0, 1);
    o.request_received(6, 0, at(60_000));
    o.first_byte(at(4001), 6, 0, 77);
    assert_eq!(breaches(&o)[2], 3, "one that no list names");
}

#[test]
fn a_cold_server_that_is_sent_more_than_its_budget() {
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
    assert_eq!(breaches(&o), [0; 4], "its share");
    for _ in 0..200 {
        send(&mut o, 500, 4);
    }
    assert!(breaches(&o)[3] > 0);
    assert!(o.margin(Rule::SlowStart).min.is_some_and(|least| least < 0.0));
}

#[test]
fn a_long_day_leaves_little_behind() {
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

/// What a cheat does with the decisions of the real module.
#[derive(Clone, Copy, PartialEq)]
enum Cheat {
    None,
    /// Sends everything once more.
    Repeats,
    /// Answers nothing of class 0.
    Forgets,
    /// Answers each request a second time.
    AnswersTwice,
}

/// The real decisions on a machine that carries them out, or cheats.
fn walk(seed: u64, cheat: Cheat) -> [u64; 4] {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut balancer = Balancer::new(settings(), seed).expect("settings");
    let mut observer = Observer::new(RuleParameters::from(&settings()));
    let mut now = at(0);
    let mut actions = Vec::new();
    balancer.start(now, &mut actions);
    let lines: Vec<Endpoint> = (0..6)
        .map(|i| Endpoint {
            zone: ZoneId(i % 2),
            dedup_group: DedupGroupId(i),
            ..Endpoint::serving(ServerId(i))
        })
        .collect();
    let mut timers = BTreeSet::new();
    let mut out: BTreeMap<(u64, u32), (Time, Time)> = BTreeMap::new();
    let mut attempts: BTreeMap<u64, u32> = BTreeMap::new();
    let mut classes: BTreeMap<u64, usize> = BTreeMap::new();
    let mut over = BTreeSet::new();
    for line in &lines {
        observer.endpoint_listed(now, line.server.0, (line.zone.0, line.dedup_group.0), true, None);
    }
    let mut events = vec![Event::Endpoints(EndpointUpdate::Snapshot(lines.clone()))];
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
        let ended: Vec<_> =
            out.iter().filter(|(_, (ends, until))| now >= *ends.min(until)).map(|(k, _)| *k).collect();
        for key in ended {
            let (ends, until) = out.remove(&key).expect("it was there");
            let outcome = match random.u8(0..6) {
                _ if until <= ends => Outcome::TimedOut,
                0 => Outcome::ServerError,
                1 => Outcome::Rejected,
                _ => Outcome::Success,
            };
            observer.attempt_finished(key.0, key.1, outcome == Outcome::Rejected);
            if outcome == Outcome::Success && over.insert(key.0) {
                observer.response_sent(now, key.0, false);
            }
            events.push(Event::Outcome {
                request: RequestId(key.0),
                attempt: AttemptNo(key.1),
                outcome,
                elapsed: Micros(1000),
                report: None,
                closed: over.contains(&key.0),
            });
        }
        for event in events.drain(..) {
            balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                match action {
                    Action::Send { request, server, timeout_at, .. } => {
                        let n = attempts.entry(request.0).or_insert(0);
                        observer.first_byte(now, request.0, *n, server.0);
                        if cheat == Cheat::Repeats {
                            observer.first_byte(now + Micros(1), request.0, *n + 100, (server.0 + 1) % 6);
                        }
                        let work = Micros(random.u64(1000..150_000));
                        out.insert((request.0, *n), (now + work, timeout_at));
                        *n += 1;
                    }
                    Action::Cancel { request, attempt } => {
                        if let Some((ends, _)) = out.get_mut(&(request.0, attempt.0)) {
                            *ends = now;
                        }
                    }
                    Action::SetTimer { at, timer } => drop(timers.insert((at, timer))),
                    Action::Shed { request, .. } | Action::Fail { request } if over.insert(request.0) => {
                        let refused = matches!(action, Action::Shed { .. });
                        if cheat != Cheat::Forgets || classes[&request.0] != 0 {
                            observer.response_sent(now, request.0, refused);
                        }
                        if cheat == Cheat::AnswersTwice {
                            observer.response_sent(now, request.0, refused);
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
fn the_real_module_breaks_nothing_and_each_cheat_is_seen() {
    let mut seen = [0_u64; 3];
    for seed in 0..15 {
        assert_eq!(walk(seed, Cheat::None), [0; 4], "seed {seed}");
        seen[0] += walk(seed, Cheat::Repeats)[1];
        seen[1] += walk(seed, Cheat::Forgets)[0];
        seen[2] += walk(seed, Cheat::AnswersTwice)[0];
    }
    assert!(seen.iter().all(|n| *n > 0), "{seen:?}");
}
