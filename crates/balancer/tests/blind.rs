//! Failures found at full size, where balancers outnumber servers and own counts are nearly all zero.

mod common;

use bellcroft_balancer::*;
use common::{class, fleet, refused, Rig};

const AIM_MS: f64 = 200.0;

fn settings() -> Settings {
    Settings { balancers: 1000, classes: vec![class(RetrySafety::Idempotent)], ..Settings::default() }
}

/// One request after another, each answered in `ms` by the servers that `works`; how often each was sent to.
fn serve(testbed: &mut Rig, n: usize, count: u32, ms: f64, ending: impl Fn(ServerId) -> Outcome) -> Vec<u32> {
    let mut sent = vec![0; n];
    for _ in 0..count {
        let (id, mut to) = testbed.ask(0);
        let mut attempt = 0;
        while let Some(server) = to {
            sent[server.0 as usize] += 1;
            testbed.wait(Micros::from_ms(ms));
            testbed.answer(id, attempt, ending(server), ms);
            attempt += 1;
            to = testbed.sent_to(id);
        }
        testbed.wait(Micros::from_ms(50.0));
    }
    sent
}

fn all_well(_: ServerId) -> Outcome {
    Outcome::Success
}

/// A fair coin sent machines of half the size as much as the others, and they jammed first.
#[test]
fn load_goes_by_listed_size() {
    let mut testbed = Rig::new(Settings { weights: Weights::Size, ..settings() }, 1);
    let sized = |l: Endpoint| Endpoint { weight: if l.server.0 < 10 { 3.0 } else { 1.0 }, ..l };
    testbed.list(fleet(20, 1, 1).into_iter().map(sized).collect());
    let sent = serve(&mut testbed, 20, 3000, 20.0, all_well);
    let (large, small) = (sent[..10].iter().sum::<u32>(), sent[10..].iter().sum::<u32>());
    let ratio = f64::from(large) / f64::from(small);
    assert!((2.3..3.7).contains(&ratio), "large machines were sent {ratio:.2} times as much");
}

/// Machines of one listed size and different speed: the kind's answers tell them apart before single servers can.
#[test]
fn load_goes_by_the_pace_of_a_kind() {
    let mut testbed = Rig::new(settings(), 2);
    let lines =
        fleet(100, 1, 1).into_iter().map(|l| Endpoint { machine_type: MachineTypeId(l.server.0 % 2), ..l });
    testbed.list(lines.collect());
    let mut sent = [0, 0];
    for _ in 0..600 {
        let (id, to) = testbed.ask(0);
        let kind = (to.expect("sent").0 % 2) as usize;
        sent[kind] += 1;
        let ms = [30.0, 90.0][kind];
        testbed.wait(Micros::from_ms(ms));
        testbed.answer(id, 0, Outcome::Success, ms);
    }
    assert!(sent[0] > 2 * sent[1], "the kind that is three times as fast was sent {sent:?}");
    assert!(sent[1] > 5, "the slow kind is not shut out: {sent:?}");
}

/// Kept connections grew to balancers times servers, over the servers' caps.
#[test]
fn only_the_remembered_server_keeps_its_connections() {
    let mut testbed = Rig::new(settings(), 3);
    testbed.list(fleet(20, 1, 1));
    let mut kept = std::collections::BTreeSet::new();
    let mut last = None;
    for _ in 0..200 {
        let (id, to) = testbed.ask(0);
        let to = to.expect("sent");
        kept.insert(to);
        testbed.wait(Micros::from_ms(20.0));
        let actions = testbed.answer(id, 0, Outcome::Success, 20.0).to_vec();
        // What was remembered before is let go of with its next answer, so at most a few are open.
        for action in actions {
            if let Action::CloseIdle { server } = action {
                kept.remove(&server);
            }
        }
        last = Some(to);
    }
    assert!(kept.contains(&last.unwrap()), "the remembered server's connection is kept");
}

/// A jam of the whole fleet never ended: limits per server bind nothing at one visit in many seconds.
#[test]
fn a_jam_of_the_fleet_lets_little_in_and_its_end_is_seen() {
    let mut testbed = Rig::new(settings(), 4);
    testbed.list(fleet(50, 1, 1));
    serve(&mut testbed, 50, 60, 2.0 * AIM_MS, |_| Outcome::TimedOut);
    let sent = (0..200).filter(|_| testbed.ask(0).1.is_some()).count();
    assert!((1..80).contains(&sent), "{sent} of 200 sent into a jam, seen twice a second");
    let mut testbed = Rig::new(settings(), 4);
    testbed.list(fleet(50, 1, 1));
    serve(&mut testbed, 50, 60, 2.0 * AIM_MS, |_| Outcome::TimedOut);
    testbed.wait(Micros::from_ms(1000.0));
    let refusals = (0..100).filter(|_| {
        let (id, _) = testbed.ask(0);
        refused(&testbed.actions, id)
    });
    assert_eq!(refusals.count(), 0, "what was believed a second ago refuses nothing");
}

/// A request turned away by a short queue is no sign of a jam: it goes elsewhere at once.
#[test]
fn single_rejections_refuse_nothing() {
    let mut testbed = Rig::new(settings(), 5);
    testbed.list(fleet(50, 1, 1));
    serve(&mut testbed, 50, 200, 20.0, |s| if s.0 < 10 { Outcome::Rejected } else { Outcome::Success });
    let sent = (0..100).filter(|_| testbed.ask(0).1.is_some()).count();
    assert!(sent > 90, "{sent} of 100 sent");
}

/// Each of many balancers lost a request to each silent server; now a few bytes tell the others.
#[test]
fn hearsay_is_told_heeded_and_forgotten() {
    let settings = Settings { peers: true, ..settings() };
    let mut teller = Rig::new(settings.clone(), 6);
    teller.list(fleet(10, 1, 1));
    let (id, to) = teller.ask(0);
    teller.wait(Micros::from_ms(790.0));
    let told = teller.answer(id, 0, Outcome::TimedOut, 790.0).to_vec();
    let tell = |a: &Action| match a {
        Action::SendHint { payload, .. } => Some(payload.clone()),
        _ => None,
    };
    let all: Vec<_> = told.iter().filter_map(tell).collect();
    assert!(!all.is_empty() && all.len() <= 128, "{} peers told", all.len());
    let server = to.expect("sent").0 as usize;

    // A good answer of its own clears the doubt, so each of many fresh balancers shows its first few picks only.
    let first_picks = |wait_ms: f64| -> u32 {
        let picks = (0..60).map(|seed| {
            let mut testbed = Rig::new(settings.clone(), seed);
            testbed.list(fleet(10, 1, 1));
            testbed.tell(Event::PeerMessage { from: PeerId(1), payload: all[0].clone() });
            testbed.wait(Micros::from_ms(wait_ms));
            serve(&mut testbed, 10, 3, 20.0, all_well)[server]
        });
        picks.sum()
    };
    let (fresh, old) = (first_picks(0.0), first_picks(10_000.0));
    assert!(fresh <= 4, "{fresh} of 180 to a server that was spoken of");
    assert!(old >= 10, "{old} of 180 once the news is old");
}

#[test]
fn a_peers_nonsense_changes_nothing() {
    let settings = Settings { peers: true, ..settings() };
    let (mut plain, mut told) = (Rig::new(settings.clone(), 8), Rig::new(settings, 8));
    plain.list(fleet(10, 1, 1));
    told.list(fleet(10, 1, 1));
    for payload in [vec![], vec![1], vec![0; 300], 77_u32.to_be_bytes().to_vec()] {
        told.tell(Event::PeerMessage { from: PeerId(9), payload });
    }
    assert_eq!(serve(&mut plain, 10, 50, 20.0, all_well), serve(&mut told, 10, 50, 20.0, all_well));
}

/// Only the marker of an unconfirmed hint is known; a hint with any other trailing byte must not take effect.
#[test]
fn hint_with_unknown_marker_is_ignored() {
    let sent_after = |hint: Option<Vec<u8>>| {
        let mut testbed = Rig::new(Settings { peers: true, ..settings() }, 8);
        testbed.list(fleet(10, 1, 1));
        if let Some(payload) = hint {
            testbed.tell(Event::PeerMessage { from: PeerId(9), payload });
        }
        serve(&mut testbed, 10, 50, 20.0, all_well)
    };
    let hint = |marker: &[u8]| Some([&3_u32.to_be_bytes(), marker].concat());
    let without_hint = sent_after(None);
    for known in [&[][..], &[UNCONFIRMED_HINT]] {
        assert_ne!(sent_after(hint(known)), without_hint, "a hint with marker {known:?} takes effect");
    }
    for unknown in [&[0][..], &[2], &[u8::MAX], &[UNCONFIRMED_HINT, UNCONFIRMED_HINT]] {
        assert_eq!(sent_after(hint(unknown)), without_hint, "a hint with marker {unknown:?} is ignored");
    }
}

/// Behind a cut link every server fails to connect, one after another; two failures tell of the zone.
#[test]
fn a_cut_zone_is_left_after_two_failed_connects() {
    let mut testbed = Rig::new(Settings { max_attempts: 1, ..settings() }, 9);
    testbed.list(fleet(60, 2, 1));
    let cut = |s: ServerId| if s.0 % 2 == 1 { Outcome::ConnectFailed } else { Outcome::Success };
    let sent = serve(&mut testbed, 60, 60, 20.0, cut);
    let far: u32 = sent.iter().skip(1).step_by(2).sum();
    assert!(far <= 10, "{far} of 60 sent over the cut link");
}

fn asking() -> Settings {
    Settings {
        health_checks: true,
        report_source: LoadReportSource::Probes,
        report_fields: vec![LoadReportField::Utilisation, LoadReportField::InFlight],
        ..settings()
    }
}

fn probed(testbed: &Rig) -> Vec<ServerId> {
    let server = |a: &Action| match a {
        Action::HealthCheck { server } => Some(*server),
        _ => None,
    };
    testbed.actions.iter().filter_map(server).collect()
}

fn report(testbed: &mut Rig, server: ServerId, held: f64) -> Option<ServerId> {
    let report = Some(vec![0.5, held]);
    let elapsed = Micros::from_ms(1.0);
    let actions = testbed.tell(Event::HealthChecked { server, outcome: Outcome::Success, elapsed, report });
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

/// A third of the answers were late by chance alone, own counts being all zero.
#[test]
fn cheap_probes_tell_the_lightest_candidate() {
    let mut testbed = Rig::new(asking(), 14);
    testbed.list(fleet(20, 1, 1));
    let (_, sent) = testbed.ask(0);
    assert_eq!(sent, None, "it waits for its candidates");
    let candidates = probed(&testbed);
    assert!(candidates.len() >= 2, "{candidates:?}");
    let mut sent = None;
    for (i, &server) in candidates.iter().enumerate() {
        sent = report(&mut testbed, server, if i == 1 { 0.0 } else { 4.0 });
        assert_eq!(sent.is_some(), i + 1 == candidates.len(), "sent with the last report");
    }
    assert_eq!(sent, Some(candidates[1]));
    testbed.assert_rules();
}

#[test]
fn a_candidate_that_does_not_tell_is_not_waited_for_and_not_chosen() {
    let mut testbed = Rig::new(asking(), 11);
    testbed.list(fleet(20, 1, 1));
    let (id, _) = testbed.ask(0);
    let candidates = probed(&testbed);
    report(&mut testbed, candidates[0], 3.0);
    let actions = testbed.wait(Micros::from_ms(0.06 * AIM_MS));
    assert_eq!(common::sent_in(&actions, id), Some(candidates[0]));
    let (id, _) = testbed.ask(0);
    let actions = testbed.wait(Micros::from_ms(0.06 * AIM_MS));
    assert!(common::sent_in(&actions, id).is_some(), "with no report at all it is sent all the same");
}

#[test]
fn dear_or_useless_probes_are_not_sent() {
    let dear = Costs { probe: 0.01, ..Costs::default() };
    for settings in [
        Settings { costs: dear, ..asking() },
        Settings { report_fields: vec![LoadReportField::Utilisation], ..asking() },
        Settings { health_checks: false, ..asking() },
        Settings { balancers: 10, ..asking() },
    ] {
        let mut testbed = Rig::new(settings, 12);
        testbed.list(fleet(20, 1, 1));
        assert!(testbed.ask(0).1.is_some());
        assert!(probed(&testbed).is_empty());
    }
}

/// An empty cold server would win every pick it is asked in, at all balancers at once.
#[test]
fn a_cold_server_is_not_drawn_to_by_its_emptiness() {
    for settings in [settings(), asking()] {
        let mut testbed = Rig::new(settings, 13);
        let mut lines = fleet(10, 1, 1);
        lines[9].started_at = Some(testbed.now);
        testbed.list(lines);
        let (mut cold, mut all) = (0, 0);
        for _ in 0..400 {
            let (id, mut to) = testbed.ask(0);
            for server in probed(&testbed) {
                to = to.or(report(&mut testbed, server, if server.0 == 9 { 0.0 } else { 2.0 }));
            }
            let to = to.expect("sent");
            cold += u32::from(to.0 == 9);
            all += 1;
            testbed.answer(id, 0, Outcome::Success, 20.0);
            testbed.wait(Micros::from_ms(2.0));
        }
        assert!(cold <= all / 20, "{cold} of {all} to one cold server of ten");
    }
}
