//! Selection by sparse balancers: more balancers than servers, so that own counts of requests in flight are nearly all zero.

mod common;

use bellcroft_balancer::*;
use common::{class, fleet, is_rejected, Harness};

const OBJECTIVE_MS: f64 = 200.0;

fn settings() -> Settings {
    Settings { balancers: 1000, classes: vec![class(RetrySafety::Idempotent)], ..Settings::default() }
}

/// Sends one request after another, each answered in `ms` with the outcome of `ending`; returns how many each server got.
fn serve(
    harness: &mut Harness,
    n: usize,
    count: u32,
    ms: f64,
    ending: impl Fn(ServerId) -> Outcome,
) -> Vec<u32> {
    let mut sent = vec![0; n];
    for _ in 0..count {
        let (id, mut to) = harness.request(0);
        let mut attempt = 0;
        while let Some(server) = to {
            sent[server.0 as usize] += 1;
            harness.advance(Micros::from_ms(ms));
            harness.respond(id, attempt, ending(server), ms);
            attempt += 1;
            to = harness.sent_to(id);
        }
        harness.advance(Micros::from_ms(50.0));
    }
    sent
}

fn all_well(_: ServerId) -> Outcome {
    Outcome::Success
}

/// Regression: uniform choice sent machines of half the size as much as the others, and they were congested first.
#[test]
fn load_follows_listed_size() {
    let mut harness = Harness::new(Settings { weights: Weights::Size, ..settings() }, 1);
    let sized = |l: Endpoint| Endpoint { weight: if l.server.0 < 10 { 3.0 } else { 1.0 }, ..l };
    harness.set_endpoints(fleet(20, 1, 1).into_iter().map(sized).collect());
    let sent = serve(&mut harness, 20, 3000, 20.0, all_well);
    let (large, small) = (sent[..10].iter().sum::<u32>(), sent[10..].iter().sum::<u32>());
    let ratio = f64::from(large) / f64::from(small);
    assert!((2.3..3.7).contains(&ratio), "large machines were sent {ratio:.2} times as much");
}

/// Machines of the same listed size and different speed: latency by machine type separates them before that of single servers.
#[test]
fn load_follows_machine_type_latency() {
    let mut harness = Harness::new(settings(), 2);
    let lines =
        fleet(100, 1, 1).into_iter().map(|l| Endpoint { machine_type: MachineTypeId(l.server.0 % 2), ..l });
    harness.set_endpoints(lines.collect());
    let mut sent = [0, 0];
    for _ in 0..600 {
        let (id, to) = harness.request(0);
        let kind = (to.expect("sent").0 % 2) as usize;
        sent[kind] += 1;
        let ms = [30.0, 90.0][kind];
        harness.advance(Micros::from_ms(ms));
        harness.respond(id, 0, Outcome::Success, ms);
    }
    assert!(sent[0] > 2 * sent[1], "the machine type that is three times as fast: {sent:?}");
    assert!(sent[1] > 5, "the slow machine type receives some requests: {sent:?}");
}

/// Regression: idle connections grew to balancers times servers, above the servers' limits.
#[test]
fn remembered_server_keeps_idle_connections() {
    let mut harness = Harness::new(settings(), 3);
    harness.set_endpoints(fleet(20, 1, 1));
    let mut kept = std::collections::BTreeSet::new();
    let mut last = None;
    for _ in 0..200 {
        let (id, to) = harness.request(0);
        let to = to.expect("sent");
        kept.insert(to);
        harness.advance(Micros::from_ms(20.0));
        let actions = harness.respond(id, 0, Outcome::Success, 20.0).to_vec();
        // The server remembered before is released with its next response, so that at most a few are open.
        for action in actions {
            if let Action::CloseIdle { server } = action {
                kept.remove(&server);
            }
        }
        last = Some(to);
    }
    assert!(kept.contains(&last.unwrap()), "the idle connection of the remembered server is kept");
}

/// Regression: fleet-wide congestion never ended; limits per server have no effect at one request in many seconds.
#[test]
fn fleet_congestion_sheds_load_until_it_ends() {
    let mut harness = Harness::new(settings(), 4);
    harness.set_endpoints(fleet(50, 1, 1));
    serve(&mut harness, 50, 60, 2.0 * OBJECTIVE_MS, |_| Outcome::TimedOut);
    let sent = (0..200).filter(|_| harness.request(0).1.is_some()).count();
    assert!((1..80).contains(&sent), "{sent} of 200 sent during congestion");
    let mut harness = Harness::new(settings(), 4);
    harness.set_endpoints(fleet(50, 1, 1));
    serve(&mut harness, 50, 60, 2.0 * OBJECTIVE_MS, |_| Outcome::TimedOut);
    harness.advance(Micros::from_ms(1000.0));
    let refusals = (0..100).filter(|_| {
        let (id, _) = harness.request(0);
        is_rejected(&harness.actions, id)
    });
    assert_eq!(refusals.count(), 0, "state of a second ago sheds nothing");
}

/// A rejection by a server with a short queue is no sign of fleet-wide congestion: the request is retried elsewhere at once.
#[test]
fn rejections_of_few_servers_shed_nothing() {
    let mut harness = Harness::new(settings(), 5);
    harness.set_endpoints(fleet(50, 1, 1));
    serve(&mut harness, 50, 200, 20.0, |s| if s.0 < 10 { Outcome::Rejected } else { Outcome::Success });
    let sent = (0..100).filter(|_| harness.request(0).1.is_some()).count();
    assert!(sent > 90, "{sent} of 100 sent");
}

/// Regression: each of many balancers lost a request to each silent server; hints inform the others.
#[test]
fn hint_is_sent_applied_and_expires() {
    let settings = Settings { peers: true, ..settings() };
    let mut teller = Harness::new(settings.clone(), 6);
    teller.set_endpoints(fleet(10, 1, 1));
    let (id, to) = teller.request(0);
    teller.advance(Micros::from_ms(790.0));
    let told = teller.respond(id, 0, Outcome::TimedOut, 790.0).to_vec();
    let tell = |a: &Action| match a {
        Action::SendHint { payload, .. } => Some(payload.clone()),
        _ => None,
    };
    let all: Vec<_> = told.iter().filter_map(tell).collect();
    assert!(!all.is_empty() && all.len() <= 128, "hints to {} peers", all.len());
    let server = to.expect("sent").0 as usize;

    // An own success clears the deprioritization, so only the first few selections of each new balancer show it.
    let first_picks = |wait_ms: f64| -> u32 {
        let picks = (0..60).map(|seed| {
            let mut harness = Harness::new(settings.clone(), seed);
            harness.set_endpoints(fleet(10, 1, 1));
            harness.handle(Event::PeerMessage { from: PeerId(1), payload: all[0].clone() });
            harness.advance(Micros::from_ms(wait_ms));
            serve(&mut harness, 10, 3, 20.0, all_well)[server]
        });
        picks.sum()
    };
    let (fresh, old) = (first_picks(0.0), first_picks(10_000.0));
    assert!(fresh <= 4, "{fresh} of 180 to a server that a hint names");
    assert!(old >= 10, "{old} of 180 after the hint has expired");
}

#[test]
fn invalid_hint_is_ignored() {
    let settings = Settings { peers: true, ..settings() };
    let (mut plain, mut told) = (Harness::new(settings.clone(), 8), Harness::new(settings, 8));
    plain.set_endpoints(fleet(10, 1, 1));
    told.set_endpoints(fleet(10, 1, 1));
    for payload in [vec![], vec![1], vec![0; 300], 77_u32.to_be_bytes().to_vec()] {
        told.handle(Event::PeerMessage { from: PeerId(9), payload });
    }
    assert_eq!(serve(&mut plain, 10, 50, 20.0, all_well), serve(&mut told, 10, 50, 20.0, all_well));
}

/// Only the marker of an unconfirmed hint is known; a hint with any other trailing byte must not take effect.
#[test]
fn hint_with_unknown_marker_is_ignored() {
    let sent_after = |hint: Option<Vec<u8>>| {
        let mut harness = Harness::new(Settings { peers: true, ..settings() }, 8);
        harness.set_endpoints(fleet(10, 1, 1));
        if let Some(payload) = hint {
            harness.handle(Event::PeerMessage { from: PeerId(9), payload });
        }
        serve(&mut harness, 10, 50, 20.0, all_well)
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

/// In an unreachable zone each server fails to connect; two failures suffice to avoid the zone.
#[test]
fn zone_is_avoided_after_two_failed_connects() {
    let mut harness = Harness::new(Settings { max_attempts: 1, ..settings() }, 9);
    harness.set_endpoints(fleet(60, 2, 1));
    let cut = |s: ServerId| if s.0 % 2 == 1 { Outcome::ConnectFailed } else { Outcome::Success };
    let sent = serve(&mut harness, 60, 60, 20.0, cut);
    let far: u32 = sent.iter().skip(1).step_by(2).sum();
    assert!(far <= 10, "{far} of 60 sent over the cut link");
}

fn probing() -> Settings {
    Settings {
        health_checks: true,
        report_source: LoadReportSource::HealthChecks,
        report_fields: vec![LoadReportField::Utilisation, LoadReportField::InFlight],
        ..settings()
    }
}

fn probed(harness: &Harness) -> Vec<ServerId> {
    let server = |a: &Action| match a {
        Action::HealthCheck { server } => Some(*server),
        _ => None,
    };
    harness.actions.iter().filter_map(server).collect()
}

fn report(harness: &mut Harness, server: ServerId, held: f64) -> Option<ServerId> {
    let report = Some(vec![0.5, held]);
    let elapsed = Micros::from_ms(1.0);
    let actions = harness.handle(Event::HealthChecked { server, outcome: Outcome::Success, elapsed, report });
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

/// Regression: with own counts of zero, a third of the responses were late by chance.
#[test]
fn probed_candidate_with_least_load_is_selected() {
    let mut harness = Harness::new(probing(), 14);
    harness.set_endpoints(fleet(20, 1, 1));
    let (_, sent) = harness.request(0);
    assert_eq!(sent, None, "it waits for the probes");
    let candidates = probed(&harness);
    assert!(candidates.len() >= 2, "{candidates:?}");
    let mut sent = None;
    for (i, &server) in candidates.iter().enumerate() {
        sent = report(&mut harness, server, if i == 1 { 0.0 } else { 4.0 });
        assert_eq!(sent.is_some(), i + 1 == candidates.len(), "sent with the last report");
    }
    assert_eq!(sent, Some(candidates[1]));
    harness.assert_rules();
}

#[test]
fn silent_probed_candidate_is_not_selected() {
    let mut harness = Harness::new(probing(), 11);
    harness.set_endpoints(fleet(20, 1, 1));
    let (id, _) = harness.request(0);
    let candidates = probed(&harness);
    report(&mut harness, candidates[0], 3.0);
    let actions = harness.advance(Micros::from_ms(0.06 * OBJECTIVE_MS));
    assert_eq!(common::sent_in(&actions, id), Some(candidates[0]));
    let (id, _) = harness.request(0);
    let actions = harness.advance(Micros::from_ms(0.06 * OBJECTIVE_MS));
    assert!(common::sent_in(&actions, id).is_some(), "sent without any report");
}

#[test]
fn expensive_or_uninformative_probes_are_not_sent() {
    let dear = Costs { health_check: 0.01, ..Costs::default() };
    for settings in [
        Settings { costs: dear, ..probing() },
        Settings { report_fields: vec![LoadReportField::Utilisation], ..probing() },
        Settings { health_checks: false, ..probing() },
        Settings { balancers: 10, ..probing() },
    ] {
        let mut harness = Harness::new(settings, 12);
        harness.set_endpoints(fleet(20, 1, 1));
        assert!(harness.request(0).1.is_some());
        assert!(probed(&harness).is_empty());
    }
}

/// An idle server in slow start would win every selection that it is a candidate in, at all balancers at once.
#[test]
fn idle_server_in_slow_start_is_not_preferred() {
    for settings in [settings(), probing()] {
        let mut harness = Harness::new(settings, 13);
        let mut lines = fleet(10, 1, 1);
        lines[9].started_at = Some(harness.now);
        harness.set_endpoints(lines);
        let (mut cold, mut all) = (0, 0);
        for _ in 0..400 {
            let (id, mut to) = harness.request(0);
            for server in probed(&harness) {
                to = to.or(report(&mut harness, server, if server.0 == 9 { 0.0 } else { 2.0 }));
            }
            let to = to.expect("sent");
            cold += u32::from(to.0 == 9);
            all += 1;
            harness.respond(id, 0, Outcome::Success, 20.0);
            harness.advance(Micros::from_ms(2.0));
        }
        assert!(cold <= all / 20, "{cold} of {all} to one cold server of ten");
    }
}
