//! Guards what routes allow: time-outs, attempts, budgets, bounds and second copies.
mod common;
use bellcroft_balancer::*;
use common::*;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

fn settings() -> Settings {
    Settings {
        classes: vec![
            Class {
                deadline: Micros::from_ms(5000.0),
                latency_objective: Micros::from_ms(2000.0),
                ..class(RetrySafety::Idempotent)
            },
            Class {
                deadline: Micros::from_ms(5000.0),
                latency_objective: Micros::from_ms(2000.0),
                ..class(RetrySafety::AtMostOnce)
            },
            Class {
                deadline: Micros::from_ms(5000.0),
                latency_objective: Micros::from_ms(2000.0),
                ..class(keyed(DedupScope::Zone, 3000.0))
            },
        ],
        max_attempts: 5,
        hedging: true,
        ..Settings::default()
    }
}

struct World {
    testbed: Rig,
    next: u64,
}

impl World {
    fn new(servers: u32) -> Self {
        let mut testbed = Rig::new(settings(), 9);
        testbed.list(fleet(servers, 2, 2));
        World { testbed, next: 1_000_000 }
    }

    /// A request with these limits, and where it was sent.
    fn ask(
        &mut self,
        class: usize,
        limits: &Arc<Limits>,
        copy: Option<f64>,
    ) -> (RequestId, Option<ServerId>) {
        let id = RequestId(self.next);
        self.next += 1;
        let left = self.testbed.observer.settings.classes[class].deadline;
        let request = Request {
            limits: Some(limits.clone()),
            hedge_after: copy.map(Micros::from_ms),
            ..Request::new(id, ClassId(class), left)
        };
        self.testbed.tell(Event::Request(request));
        (id, self.testbed.sent_to(id))
    }

    fn again(&mut self, id: RequestId, attempt: u32, outcome: Outcome) -> Option<ServerId> {
        self.testbed.answer(id, attempt, outcome, 10.0);
        self.testbed.sent_to(id)
    }
}

fn limits(change: impl FnOnce(&mut Limits)) -> Arc<Limits> {
    let mut limits = Limits::STANDARD;
    change(&mut limits);
    Arc::new(limits)
}

fn budget(id: u32, ratio: f64, burst: f64) -> RetryBudget {
    RetryBudget { id, ratio, burst, strict: true }
}

/// Bit by bit: a request that carries the standard limits is treated as one that carries none.
#[test]
fn standard_limits_change_no_action() {
    for seed in 0..60 {
        let mut texts = Vec::new();
        for limits in [None, Some(Arc::new(Limits::STANDARD))] {
            let mut random = fastrand::Rng::with_seed(seed);
            let mut testbed = Rig::new(settings(), seed);
            testbed.list(fleet(1 + random.u32(0..6), 2, 2));
            let mut out: VecDeque<(RequestId, u32)> = VecDeque::new();
            let mut sends: BTreeMap<RequestId, u32> = BTreeMap::new();
            let mut text = Vec::new();
            for step in 0..800 {
                let mut actions = match random.u8(0..4) {
                    0 | 1 => {
                        let class = ClassId(random.usize(0..3));
                        let left = Micros::from_ms(f64::from(random.u32(1..3000)));
                        let request = Request::new(RequestId(step), class, left);
                        testbed.tell(Event::Request(Request { limits: limits.clone(), ..request })).to_vec()
                    }
                    2 if !out.is_empty() => {
                        let (id, attempt) = out.remove(random.usize(0..out.len())).expect("in range");
                        let outcomes = [
                            Outcome::Success,
                            Outcome::Success,
                            Outcome::ServerError,
                            Outcome::Rejected,
                            Outcome::TimedOut,
                            Outcome::ConnectFailed,
                        ];
                        testbed.answer(id, attempt, outcomes[random.usize(0..outcomes.len())], 40.0).to_vec()
                    }
                    _ => testbed.wait(Micros::from_ms(f64::from(random.u32(1..60)))),
                };
                for action in &actions {
                    if let Action::Send { request, .. } = action {
                        let attempt = sends.entry(*request).or_insert(0);
                        out.push_back((*request, *attempt));
                        *attempt += 1;
                    }
                }
                text.extend(actions.drain(..).map(|action| format!("{action:?}")));
            }
            texts.push(text);
        }
        assert!(texts[0].len() > 200, "little happened");
        assert_eq!(texts[0], texts[1], "seed {seed}");
    }
}

#[test]
fn attempts_are_bounded_by_the_route() {
    for most in 1..4 {
        let mut world = World::new(6);
        let limits = limits(|l| l.max_attempts = most);
        let (id, sent) = world.ask(0, &limits, None);
        assert!(sent.is_some());
        let mut attempts = 1;
        while world.again(id, attempts - 1, Outcome::ServerError).is_some() {
            attempts += 1;
        }
        assert_eq!(attempts, most);
        world.testbed.assert_rules();
    }
}

#[test]
fn another_attempt_follows_only_what_the_route_names() {
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
            let mut world = World::new(6);
            let (id, _) = world.ask(0, &limits(|l| l.retry_on = named), None);
            assert_eq!(world.again(id, 0, outcome).is_some(), named == own, "{outcome:?} {named:?}");
        }
    }
}

#[test]
fn further_attempts_stay_in_the_first_one_s_zone_where_the_route_says_so() {
    let limits = limits(|l| l.same_zone = true);
    let mut elsewhere = 0;
    for seed in 0..40 {
        let mut world = World::new(8);
        for (class, kept) in [(0, true), (0, false)] {
            let route = if kept { limits.clone() } else { Arc::new(Limits::STANDARD) };
            for _ in 0..seed % 5 {
                world.testbed.ask(0);
            }
            let (id, Some(first)) = world.ask(class, &route, None) else { continue };
            if let Some(second) = world.again(id, 0, Outcome::ConnectFailed) {
                let same = first.0 % 2 == second.0 % 2;
                assert!(same || !kept, "{first:?} {second:?}");
                elsewhere += u32::from(!same);
            }
        }
    }
    assert!(elsewhere > 0, "no attempt without the limit left its zone: the test shows nothing");
}

#[test]
fn an_attempt_and_a_request_end_by_the_route_s_time_outs() {
    let mut world = World::new(3);
    let limits =
        limits(|l| (l.timeout, l.attempt_timeout) = (Micros::from_ms(900.0), Micros::from_ms(400.0)));
    let begin = world.testbed.now;
    let (id, _) = world.ask(0, &limits, None);
    let times = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::Send { timeout_at, write_by, .. } => Some((timeout_at.since(begin).ms(), *write_by)),
            _ => None,
        })
    };
    assert_eq!(times(&world.testbed.actions).map(|t| t.0), Some(400.0));
    world.testbed.wait(Micros::from_ms(400.0));
    world.testbed.answer(id, 0, Outcome::TimedOut, 400.0);
    assert_eq!(times(&world.testbed.actions).map(|t| t.0), Some(800.0));
    world.testbed.wait(Micros::from_ms(400.0));
    world.testbed.answer(id, 1, Outcome::TimedOut, 400.0);
    // The third attempt, if there is one, has what the request has left.
    if let Some((until, _)) = times(&world.testbed.actions) {
        assert_eq!(until, 900.0);
        world.testbed.wait(Micros::from_ms(100.0));
        world.testbed.answer(id, 2, Outcome::TimedOut, 100.0);
    }
    assert!(refused(&world.testbed.actions, id), "it has its answer at once");
    world.testbed.assert_rules();
}

/// The window is the first attempt's; the grace of a drain begins with the decision at the earliest; and a connection
/// that takes a quarter of the wanted time leaves the rest to another attempt.
#[test]
fn a_first_byte_has_its_latest_time() {
    let patient = |aim_ms: f64| Class {
        latency_objective: Micros::from_ms(aim_ms),
        deadline: Micros::from_ms(30_000.0),
        ..class(keyed(DedupScope::All, 3000.0))
    };
    // In milliseconds after its request came.
    let write_by = |testbed: &Rig, came: Time| {
        testbed.actions.iter().find_map(|a| match a {
            Action::Send { write_by, .. } => Some(write_by.since(came).ms()),
            _ => None,
        })
    };
    let ask = |aim_ms: f64, grace_ms: f64| {
        let (classes, drain_grace) = (vec![patient(aim_ms)], Micros::from_ms(grace_ms));
        let settings = Settings { classes, drain_grace_period: drain_grace, ..Settings::default() };
        let mut testbed = Rig::new(settings, 3);
        testbed.list(fleet(4, 1, 1));
        let (came, (id, _)) = (testbed.now, testbed.ask(0));
        (testbed, id, came)
    };
    let (testbed, _, came) = ask(20_000.0, 1000.0);
    assert_eq!(
        write_by(&testbed, came),
        Some(850.0),
        "the grace, less 150 ms for a hold-up, is the shortest"
    );
    let (testbed, _, came) = ask(2000.0, 1000.0);
    assert_eq!(write_by(&testbed, came), Some(500.0), "a quarter of the wanted time is");
    let (testbed, _, came) = ask(40.0, 1000.0);
    assert_eq!(write_by(&testbed, came), Some(50.0), "no connection is given less");
    let (mut testbed, id, came) = ask(20_000.0, 10_000.0);
    assert_eq!(write_by(&testbed, came), Some(5000.0));
    testbed.wait(Micros::from_ms(1000.0));
    testbed.answer(id, 0, Outcome::ConnectionReset, 1000.0);
    assert_eq!(write_by(&testbed, came), Some(3000.0), "the end of the window, and not of the quarter");
    let (mut testbed, id, came) = ask(20_000.0, 10_000.0);
    testbed.wait(Micros::from_ms(1000.0));
    testbed.answer(id, 0, Outcome::ConnectFailed, 1000.0);
    // What never ran opens no window.
    assert_eq!(write_by(&testbed, came), Some(1000.0 + 4750.0));
}

#[test]
fn what_is_held_back_too_long_is_given_up() {
    let mut world = World::new(0);
    let (short, _) = world.ask(0, &limits(|l| l.queue_timeout = Micros::from_ms(100.0)), None);
    let (long, _) = world.ask(0, &Arc::new(Limits::STANDARD), None);
    assert!(world.testbed.wait(Micros::from_ms(90.0)).iter().all(|a| !matches!(a, Action::Shed { .. })));
    let actions = world.testbed.wait(Micros::from_ms(30.0));
    assert!(refused(&actions, short) && !refused(&actions, long));
}

#[test]
fn bounds_hold_for_all_that_share_them() {
    let mut world = World::new(4);
    let bound = ConcurrencyLimit { id: 7, max_in_flight: 2, max_queued: 1 };
    let one = limits(|l| l.concurrency_limits.push(bound));
    let two = limits(|l| (l.concurrency_limits, l.max_attempts) = (vec![bound], 2));
    let (a, sent) = world.ask(0, &one, None);
    assert!(sent.is_some());
    assert!(world.ask(2, &two, None).1.is_some());
    let (held, sent) = world.ask(0, &one, None);
    assert!(sent.is_none() && !refused(&world.testbed.actions, held), "held back");
    let (over, _) = world.ask(2, &two, None);
    assert!(refused(&world.testbed.actions, over), "there is room for one");
    assert!(world.ask(0, &Arc::new(Limits::STANDARD), None).1.is_some(), "others are not concerned");
    world.testbed.answer(a, 0, Outcome::Success, 20.0);
    assert!(world.testbed.sent_to(held).is_some(), "its place is free");
    world.testbed.assert_rules();
}

/// Requests of two routes with a budget each and one of their pool: neither a route nor both together spend more.
#[test]
fn budgets_hold_for_routes_and_for_their_pool() {
    let mut world = World::new(8);
    let pool = budget(3, 0.0, 3.0);
    let routes = [1, 2].map(|id| limits(|l| l.budgets = vec![budget(id, 0.0, 2.0), pool]));
    let mut spent = [0, 0];
    for (place, route) in routes.iter().enumerate() {
        for outcome in [Outcome::Rejected, Outcome::ServerError, Outcome::ConnectFailed, Outcome::Rejected] {
            let (id, _) = world.ask(0, route, None);
            if world.again(id, 0, outcome).is_some() {
                spent[place] += 1;
                world.testbed.answer(id, 1, Outcome::Success, 10.0);
            }
        }
    }
    assert_eq!(spent, [2, 1], "two of the first's own, and one that the pool had left");
    world.testbed.assert_rules();
}

/// Extra sends in every window of a second, while the whole fleet fails each request for a while.
fn storm(limits: &Arc<Limits>, copy: Option<f64>) -> (usize, f64, usize) {
    let mut world = World::new(10);
    let mut out: VecDeque<(Time, RequestId, u32)> = VecDeque::new();
    let mut attempts: BTreeMap<RequestId, u32> = BTreeMap::new();
    let (mut extra, mut asked): (Vec<Time>, Vec<Time>) = (Vec::new(), Vec::new());
    let mut take = |now: Time, actions: &[Action], out: &mut VecDeque<_>, extra: &mut Vec<Time>| {
        for action in actions {
            if let Action::Send { request, .. } = action {
                let n = attempts.entry(*request).or_insert(0);
                out.push_back((now + Micros::from_ms(150.0), *request, *n));
                if *n > 0 {
                    extra.push(now);
                }
                *n += 1;
            }
        }
    };
    for step in 0..8000_u32 {
        let actions = world.testbed.wait(Micros::from_ms(1.0));
        take(world.testbed.now, &actions, &mut out, &mut extra);
        if step % 5 == 0 {
            world.ask(0, limits, copy);
            asked.push(world.testbed.now);
            let actions = world.testbed.actions.clone();
            take(world.testbed.now, &actions, &mut out, &mut extra);
        }
        while out.front().is_some_and(|(at, ..)| *at <= world.testbed.now) {
            let (_, id, attempt) = out.pop_front().expect("there is one");
            let slow = (2000..6000).contains(&step);
            let outcome = if slow { Outcome::ServerError } else { Outcome::Success };
            world.testbed.answer(id, attempt, outcome, 150.0);
            let actions = world.testbed.actions.clone();
            take(world.testbed.now, &actions, &mut out, &mut extra);
        }
    }
    world.testbed.assert_rules();
    let window = Micros::from_ms(1000.0);
    let within = |times: &[Time], from: Time| {
        times.iter().filter(|at| **at >= from && at.since(from) < window).count()
    };
    let worst =
        extra.iter().map(|from| (within(&extra, *from), within(&asked, *from))).max().unwrap_or_default();
    (worst.0, worst.1 as f64, extra.len())
}

/// A brown-out does not become a storm: in no window are there more further attempts than the requests of it earn and
/// the burst. Beside it the same without a budget to speak of.
#[test]
fn further_attempts_never_exceed_the_budget_in_any_window() {
    let (ratio, burst) = (0.1, 5.0);
    let kept = limits(|l| l.budgets.push(budget(1, ratio, burst)));
    let (worst, asked, all) = storm(&kept, Some(100.0));
    assert!(worst as f64 <= ratio * asked + burst + 1.0, "{worst} of {asked}");
    assert!(all > 20, "{all}: nothing was tried again");
    let loose = limits(|l| l.budgets.push(budget(1, 1.0, 1e6)));
    let (storm, ..) = storm(&loose, Some(100.0));
    assert!(storm > 2 * worst, "{storm} without a budget, {worst} with one");
}

#[test]
fn a_second_copy_goes_elsewhere_and_the_loser_is_called_back() {
    let mut world = World::new(4);
    let (id, first) = world.ask(0, &Arc::new(Limits::STANDARD), Some(50.0));
    assert!(sent_in(&world.testbed.wait(Micros::from_ms(49.0)), id).is_none(), "not yet");
    let second = sent_in(&world.testbed.wait(Micros::from_ms(2.0)), id);
    assert!(second.is_some() && second != first, "{first:?} {second:?}");
    assert!(sent_in(&world.testbed.wait(Micros::from_ms(200.0)), id).is_none(), "one copy");
    world.testbed.answer(id, 1, Outcome::Success, 20.0);
    let cancel = Action::Cancel { request: id, attempt: AttemptNo(0) };
    assert!(world.testbed.actions.contains(&cancel), "{:?}", world.testbed.actions);
    world.testbed.answer(id, 0, Outcome::Cancelled, 250.0);
    world.testbed.assert_rules();
}

#[test]
fn there_is_no_second_copy_where_one_could_run_twice_or_capacity_is_short() {
    // Unsafe to repeat; keyed within a zone goes out in that zone only.
    let mut world = World::new(6);
    let (id, _) = world.ask(1, &Arc::new(Limits::STANDARD), Some(50.0));
    assert!(sent_in(&world.testbed.wait(Micros::from_ms(300.0)), id).is_none());
    let (id, first) = world.ask(2, &Arc::new(Limits::STANDARD), Some(50.0));
    let copy = sent_in(&world.testbed.wait(Micros::from_ms(60.0)), id).expect("a copy");
    assert_eq!(first.map(|s| s.0 % 2), Some(copy.0 % 2));
    // A lone server, which has the first already.
    let mut world = World::new(1);
    let (id, _) = world.ask(0, &Arc::new(Limits::STANDARD), Some(50.0));
    assert!(sent_in(&world.testbed.wait(Micros::from_ms(60.0)), id).is_none());
    // Its share is used up.
    let mut world = World::new(6);
    let share = limits(|l| l.hedge_budgets.push(RetryBudget { id: 5, ratio: 0.0, burst: 1.0, strict: true }));
    let copies = (0..4).filter(|_| {
        let (id, _) = world.ask(0, &share, Some(50.0));
        let copied = sent_in(&world.testbed.wait(Micros::from_ms(60.0)), id).is_some();
        for attempt in 0..1 + u32::from(copied) {
            world.testbed.answer(id, attempt, Outcome::Success, 60.0);
        }
        copied
    });
    assert_eq!(copies.count(), 1);
    // Something is held back: a copy would be one more in the queue.
    let mut world = World::new(6);
    let (id, _) = world.ask(0, &Arc::new(Limits::STANDARD), Some(50.0));
    let full =
        limits(|l| l.concurrency_limits.push(ConcurrencyLimit { id: 9, max_in_flight: 1, max_queued: 10 }));
    assert!(world.ask(0, &full, None).1.is_some());
    assert!(world.ask(0, &full, None).1.is_none());
    assert!(sent_in(&world.testbed.wait(Micros::from_ms(60.0)), id).is_none());
}
