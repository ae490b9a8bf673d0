//! What a balancer that comes by seldom believes has a life in time, not in requests of its own.

mod common;

use bellcroft_balancer::*;
use common::{class, fleet, refused, Rig};

const AIM_MS: f64 = 200.0;

fn settings(balancers: u32) -> Settings {
    Settings {
        balancers,
        classes: vec![class(RetrySafety::Idempotent)],
        report_source: LoadReportSource::Answers,
        report_fields: vec![LoadReportField::InFlight],
        ..Settings::default()
    }
}

/// Requests come this often; each is answered `took` later by a server that says what it holds.
fn ask(testbed: &mut Rig, count: usize, every_ms: f64, took: f64, holds: f64) -> usize {
    let mut refusals = 0;
    for _ in 0..count {
        let (id, sent) = testbed.ask(0);
        refusals += usize::from(refused(&testbed.actions, id));
        if sent.is_some() {
            testbed.wait(Micros::from_ms(took));
            testbed.answer_with(id, 0, Outcome::Success, took, Some(vec![holds]));
        }
        testbed.wait(Micros::from_ms((every_ms - took).max(0.0)));
    }
    refusals
}

/// How many of a hundred requests at this moment are refused.
fn refusals_now(testbed: &mut Rig) -> usize {
    (0..100)
        .filter(|_| {
            let (id, _) = testbed.ask(0);
            refused(&testbed.actions, id)
        })
        .count()
}

/// The fleet's jam ends while nothing is asked: nobody has seen its end, and nothing is refused for it.
#[test]
fn a_jam_that_ends_while_nothing_is_asked_refuses_nothing_after_it() {
    let mut testbed = Rig::new(settings(1000), 1);
    testbed.list(fleet(50, 1, 1));
    let in_it = ask(&mut testbed, 200, 20.0, 2.0 * AIM_MS, 80.0);
    assert!(in_it > 50, "{in_it} of 200 refused in the jam");
    testbed.wait(Micros::from_ms(10_000.0));
    assert_eq!(refusals_now(&mut testbed), 0);
    testbed.assert_rules();
}

/// What a held request costs is measured: reports that are ten times too high say nothing of a jam, and reports that are
/// always the same hide none.
#[test]
fn a_constant_error_of_the_reports_cancels_out() {
    for holds in [0.0, 3.0, 30.0, 300.0] {
        let mut testbed = Rig::new(settings(1000), 2);
        testbed.list(fleet(50, 1, 1));
        assert_eq!(ask(&mut testbed, 300, 30.0, 20.0, holds), 0, "{holds} held, all is well");
        let in_it = ask(&mut testbed, 100, 20.0, 2.0 * AIM_MS, holds);
        assert!(in_it > 10, "{in_it} of 100 refused in a jam, {holds} held");
        testbed.wait(Micros::from_ms(1500.0));
        assert_eq!(ask(&mut testbed, 100, 30.0, 20.0, holds), 0, "{holds} held, all is well again");
    }
}

/// One late answer to a balancer that has asked once in its life is no jam of the fleet.
#[test]
fn one_sign_refuses_little_and_none_refuses_nothing() {
    let mut testbed = Rig::new(settings(2000), 3);
    testbed.list(fleet(50, 1, 1));
    assert_eq!(refusals_now(&mut testbed), 0, "it knows nothing");
    let mut testbed = Rig::new(settings(2000), 3);
    testbed.list(fleet(50, 1, 1));
    ask(&mut testbed, 1, 2.0 * AIM_MS, 2.0 * AIM_MS, 80.0);
    let at_once = refusals_now(&mut testbed);
    assert!((1..95).contains(&at_once), "{at_once} of 100 refused on one sign");
    let mut testbed = Rig::new(settings(2000), 3);
    testbed.list(fleet(50, 1, 1));
    ask(&mut testbed, 1, 2.0 * AIM_MS, 2.0 * AIM_MS, 80.0);
    testbed.wait(Micros::from_ms(1000.0));
    assert_eq!(refusals_now(&mut testbed), 0, "a second later it is forgotten");
}

/// One that asked a thousand times a second and then once a minute goes by what it sees then.
#[test]
fn a_busy_past_says_nothing_a_minute_later() {
    let mut testbed = Rig::new(settings(1000), 4);
    testbed.list(fleet(20, 1, 1));
    // Server 0 was ten times slower than the others.
    let mut sent = [0_u32; 2];
    for turn in 0..4000 {
        let (id, to) = testbed.ask(0);
        let Some(server) = to else { continue };
        sent[usize::from(turn >= 2000)] += u32::from(server == ServerId(0));
        let took = if server == ServerId(0) { 150.0 } else { 15.0 };
        testbed.wait(Micros::from_ms(1.0));
        testbed.answer(id, 0, Outcome::Success, took);
    }
    assert!(sent[1] < 20, "a slow one is sent little while it is known: {sent:?}");
    let mut later = 0;
    for _ in 0..600 {
        testbed.wait(Micros::from_ms(60_000.0));
        let (id, to) = testbed.ask(0);
        assert!(!refused(&testbed.actions, id));
        let Some(server) = to else { continue };
        later += u32::from(server == ServerId(0));
        testbed.wait(Micros::from_ms(15.0));
        testbed.answer(id, 0, Outcome::Success, 15.0);
    }
    assert!(later >= 10, "it is as quick as the others now, and has its part again: {later} of 600");
}

/// Connections that meet silence in a building tell of a cut: the others are used, what is idle there is closed, and it is
/// tried again later, by a connection.
#[test]
fn a_cut_building_is_left_and_tried_again_by_a_connection() {
    let mut testbed = Rig::new(settings(1000), 5);
    testbed.list(fleet(20, 2, 1));
    let mut closed = std::collections::BTreeSet::new();
    let mut far = 0;
    let mut ask = |testbed: &mut Rig| {
        let (id, mut to) = testbed.ask(0);
        let mut attempt = 0;
        while let Some(server) = to {
            let cut = server.0 % 2 == 1;
            far += u32::from(cut);
            let (took, outcome) = if cut { (50.0, Outcome::ConnectFailed) } else { (20.0, Outcome::Success) };
            testbed.wait(Micros::from_ms(took));
            let actions = testbed.answer(id, attempt, outcome, took).to_vec();
            closed.extend(actions.iter().filter_map(|a| match a {
                Action::CloseIdle { server } if server.0 % 2 == 1 => Some(*server),
                _ => None,
            }));
            attempt += 1;
            to = testbed.sent_to(id);
        }
        testbed.wait(Micros::from_ms(300.0));
        std::mem::take(&mut far)
    };
    while ask(&mut testbed) == 0 {}
    while ask(&mut testbed) == 0 {}
    let first: u32 = (0..8).map(|_| ask(&mut testbed)).sum();
    assert_eq!(first, 0, "nothing goes there while it is taken to be cut");
    let later: u32 = (0..200).map(|_| ask(&mut testbed)).sum();
    assert!((2..40).contains(&later), "it is tried again now and then: {later} in a minute");
    assert_eq!(closed.len(), 10, "no idle connection is left to be trusted");
    testbed.assert_rules();
}
