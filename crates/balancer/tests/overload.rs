//! Guards against collapse under overload: late answers, standing queues, retry storms, unfair refusals.
mod common;
use bellcroft_balancer::*;
use common::*;
use std::collections::{BTreeMap, BTreeSet};

fn settings() -> Settings {
    Settings { classes: vec![class(RetrySafety::Idempotent)], max_attempts: 6, ..Settings::default() }
}

/// Fills a fleet of one server until requests are held; the requests sent and those held.
fn fill(testbed: &mut Rig, count: u32) -> (Vec<RequestId>, Vec<RequestId>) {
    testbed.list(fleet(1, 1, 1));
    let asked: Vec<_> = (0..count)
        .map(|_| {
            testbed.wait(Micros::from_ms(1.0));
            testbed.ask(0)
        })
        .collect();
    let sent = asked.iter().filter(|a| a.1.is_some()).map(|a| a.0).collect();
    (sent, asked.iter().filter(|a| a.1.is_none()).map(|a| a.0).collect())
}

/// First come first served would make every held request late.
#[test]
fn held_requests_go_newest_first() {
    let mut testbed = Rig::new(settings(), 1);
    let (sent, held) = fill(&mut testbed, 12);
    assert!(!sent.is_empty() && held.len() > 4);
    testbed.answer(sent[0], 0, Outcome::Success, 20.0);
    assert!(testbed.sent_to(*held.last().unwrap()).is_some());
    assert!(testbed.sent_to(held[0]).is_none());
}

#[test]
fn held_requests_are_refused_before_their_aim_has_passed() {
    let mut testbed = Rig::new(settings(), 1);
    let (_, held) = fill(&mut testbed, 12);
    let start = testbed.now;
    let mut refusals = 0;
    while testbed.now.since(start) < Micros::from_ms(200.0) {
        refusals +=
            testbed.wait(Micros::from_ms(10.0)).iter().filter(|a| matches!(a, Action::Shed { .. })).count();
        if refusals == held.len() {
            break;
        }
    }
    assert_eq!(refusals, held.len());
    assert!(testbed.now.since(start) < Micros::from_ms(200.0), "in time for the client's next try");
}

#[test]
fn late_answers_bring_fewer_sends_and_quick_ones_bring_them_back() {
    let mut testbed = Rig::new(settings(), 1);
    testbed.list(fleet(2, 1, 1));
    let mut round = |ms: f64| {
        let mut out = Vec::new();
        let held = loop {
            match testbed.ask(0) {
                (id, Some(_)) => out.push(id),
                (id, None) => break id,
            }
        };
        let now = out.len();
        testbed.wait(Micros::from_ms(ms));
        let mut late = None;
        for id in out {
            late = late.or(sent_in(testbed.answer(id, 0, Outcome::Success, ms), held));
        }
        if late.is_some() {
            testbed.answer(held, 0, Outcome::Success, ms);
        }
        testbed.wait(Micros::from_ms(250.0));
        now
    };
    let first = round(20.0);
    for _ in 0..10 {
        round(210.0);
    }
    let crowded = round(210.0);
    assert!(crowded < first, "{crowded} after late answers, {first} before");
    for _ in 0..60 {
        round(15.0);
    }
    assert!(round(15.0) > crowded + 2, "limits must grow again, from one and a half too");
}

/// An attempt turned away as full must not go round the fleet at once, again and again.
#[test]
fn full_servers_get_a_rest() {
    let mut testbed = Rig::new(settings(), 1);
    testbed.list(fleet(3, 1, 1));
    let mut sends = 0;
    let mut attempts: BTreeMap<RequestId, u32> = BTreeMap::new();
    for _ in 0..200 {
        testbed.ask(0);
        let mut todo = testbed.actions.clone();
        todo.extend(testbed.wait(Micros::from_ms(5.0)));
        while let Some(action) = todo.pop() {
            if let Action::Send { request, .. } = action {
                sends += 1;
                let attempt = attempts.entry(request).or_insert(0);
                todo.extend_from_slice(testbed.answer(request, *attempt, Outcome::Rejected, 1.0));
                *attempt += 1;
            }
        }
    }
    testbed.wait(Micros::from_ms(300.0));
    assert!(sends < 120, "{sends} attempts for 200 requests to full servers");
    testbed.assert_rules();
}

/// Limits of one request each from many balancers are still a crowd. One that asks four times a second holds back what a
/// belief of half a second can.
#[test]
fn limits_go_below_one_request_where_balancers_are_many() {
    let rate = |balancers| {
        let mut testbed = Rig::new(Settings { balancers, ..settings() }, 1);
        testbed.list(fleet(1, 1, 1));
        let mut sends = 0;
        for _ in 0..300 {
            let (id, sent) = testbed.ask(0);
            testbed.wait(Micros::from_ms(250.0));
            if sent.is_some() {
                sends += 1;
                testbed.answer(id, 0, Outcome::Success, 250.0);
            }
        }
        sends
    };
    let (one, twenty) = (rate(1), rate(20));
    assert!(twenty * 2 < one, "{twenty} sends beside twenty others, {one} alone");
}

/// A later try is known by its unusual wait; when its aim has passed, serving it is wasted.
#[test]
fn a_later_try_past_its_aim_is_refused() {
    let mut testbed = Rig::new(settings(), 1);
    testbed.list(fleet(9, 1, 1));
    let mut ask = |id: u64, left: f64| {
        let request = Request::new(RequestId(1000 + id), ClassId(0), Micros::from_ms(left));
        testbed.tell(Event::Request(request)).iter().any(|a| matches!(a, Action::Send { .. }))
    };
    for id in 0..10 {
        assert!(ask(id, 500.0), "first tries of a class wait alike, here for 500 of 800 ms");
    }
    assert!(ask(10, 700.0), "100 ms spent: half of the aim is left");
    assert!(!ask(11, 580.0), "220 ms spent: past the aim of 200");
}

fn pressed(settings: Settings, ask: impl Fn(u32) -> Request) -> BTreeMap<(usize, Option<usize>), (u32, u32)> {
    let mut testbed = Rig::new(settings, 3);
    testbed.list(fleet(2, 1, 1));
    let mut out: Vec<(Time, Request)> = Vec::new();
    let mut tally: BTreeMap<_, (u32, u32)> = BTreeMap::new();
    for i in 0..6000 {
        let request = ask(i);
        let entry = tally.entry((request.class.0, request.tenant.map(|t| t.0))).or_default();
        entry.0 += 1;
        let mut actions = testbed.tell(Event::Request(request.clone())).to_vec();
        out.push((Time(u64::MAX), request));
        actions.extend(testbed.wait(Micros::from_ms(2.0)));
        let due: Vec<_> = out.iter().filter(|o| o.0 <= testbed.now).map(|o| o.1.id).collect();
        for id in due {
            actions.extend_from_slice(testbed.answer(id, 0, Outcome::Success, 40.0));
            let (_, r) = out.swap_remove(out.iter().position(|o| o.1.id == id).unwrap());
            tally.get_mut(&(r.class.0, r.tenant.map(|t| t.0))).unwrap().1 += 1;
        }
        for action in actions {
            if let Action::Send { request, .. } = action {
                if let Some(o) = out.iter_mut().find(|o| o.1.id == request) {
                    o.0 = testbed.now + Micros::from_ms(40.0);
                }
            }
        }
    }
    tally
}

fn share(tally: &(u32, u32)) -> f64 {
    f64::from(tally.1) / f64::from(tally.0)
}

#[test]
fn under_pressure_the_class_worth_most_is_spared_and_none_is_starved() {
    let worth = |worth| Class { priority_weight: worth, ..class(RetrySafety::Idempotent) };
    let goal = Objective { whole: 0.7, worst_window: 0.0, worst_class: 0.3, worst_tenant: 0.0 };
    let settings = Settings {
        classes: vec![worth(1.0), worth(3.0), worth(10.0)],
        objective: goal,
        ..Settings::default()
    };
    let tally = pressed(settings, |i| {
        Request::new(RequestId(u64::from(i)), ClassId((i % 3) as usize), Micros::from_ms(800.0))
    });
    let served: Vec<f64> = tally.values().map(share).collect();
    assert!(served[2] > served[0] + 0.1 && served[2] > served[1] + 0.1, "{served:?}");
    assert!(served[0] > 0.05 && served[1] > 0.05, "{served:?}");
}

#[test]
fn a_flooding_tenant_pays_for_its_flood() {
    let tenant = |fraction| Tenant { fraction, allowance_per_s: 100.0 };
    let settings = Settings {
        tenants: vec![tenant(0.3), tenant(0.7)],
        over_quota_weight: 0.1,
        classes: vec![class(RetrySafety::Idempotent)],
        ..Settings::default()
    };
    let tally = pressed(settings, |i| Request {
        tenant: Some(TenantId(usize::from(i % 5 == 0))),
        ..Request::new(RequestId(u64::from(i)), ClassId(0), Micros::from_ms(800.0))
    });
    let served: Vec<f64> = tally.values().map(share).collect();
    assert!(served[1] > served[0] + 0.05, "the one within its share: {served:?}");
}

/// A light balancer hears from each server seldom; before the common level it took half a minute of late
/// answers to leave a jam of the whole fleet.
#[test]
fn a_round_of_late_answers_from_the_whole_fleet_is_enough_to_send_far_less() {
    let settings = Settings { balancers: 20, ..settings() };
    let mut testbed = Rig::new(settings, 1);
    testbed.list(fleet(24, 1, 1));
    let burst = |testbed: &mut Rig| -> Vec<RequestId> {
        let sent =
            |testbed: &mut Rig| Some(testbed.ask(0)).filter(|asked| asked.1.is_some()).map(|asked| asked.0);
        std::iter::from_fn(|| sent(testbed)).collect()
    };
    let answer = |testbed: &mut Rig, ids: &[RequestId], ms: f64| {
        testbed.wait(Micros::from_ms(ms));
        ids.iter().for_each(|&id| {
            testbed.answer(id, 0, Outcome::Success, ms);
        });
    };
    let crowd = burst(&mut testbed);
    answer(&mut testbed, &crowd, 250.0);
    testbed.wait(Micros::from_ms(250.0));
    let after = burst(&mut testbed);
    assert!(after.len() * 2 < crowd.len(), "{} sent, {} before", after.len(), crowd.len());
    answer(&mut testbed, &after, 20.0);
    for _ in 0..500 {
        testbed.ask_and_answer(20.0);
    }
    let last = burst(&mut testbed);
    assert!(last.len() * 3 > crowd.len(), "good answers bring it back: {}", last.len());
}

/// Rests once stood as they were set at the last answer: after a jam, up to 47 s without a request.
#[test]
fn a_late_answer_at_a_low_level_rests_no_server_once_the_level_is_back() {
    let mut testbed = Rig::new(Settings { balancers: 20, ..settings() }, 1);
    testbed.list(fleet(2, 1, 1));
    for _ in 0..30 {
        testbed.ask_and_answer(190.0);
        testbed.wait(Micros::from_ms(2000.0));
    }
    let mut used = BTreeSet::new();
    for _ in 0..150 {
        used.extend(testbed.ask_and_answer(5.0));
        testbed.wait(Micros::from_ms(45.0));
    }
    assert_eq!(used.len(), 2, "both in use again within 8 s");
}
