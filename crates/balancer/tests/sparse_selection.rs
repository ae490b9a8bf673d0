//! Selection by sparse balancers, whose own counts of requests in flight are nearly all zero.

mod common;

use bellcroft_balancer::*;
use common::{class, fleet, is_shed, Harness};

const OBJECTIVE_MS: f64 = 200.0;

fn settings() -> Settings {
    Settings { balancers: 1000, classes: vec![class(RetrySafety::Idempotent)], ..Settings::default() }
}

/// Sends requests one after another, each with a response after `ms` and the outcome by `outcome_of`; returns the attempts sent
/// to each server.
fn serve(
    harness: &mut Harness,
    n: usize,
    count: u32,
    ms: f64,
    outcome_of: impl Fn(ServerId) -> Outcome,
) -> Vec<u32> {
    let mut sent = vec![0; n];
    for _ in 0..count {
        let (id, mut to) = harness.request(0);
        let mut attempt = 0;
        while let Some(server) = to {
            sent[server.0 as usize] += 1;
            harness.advance(Micros::from_ms(ms));
            harness.respond(id, attempt, outcome_of(server), ms);
            attempt += 1;
            to = harness.sent_to(id);
        }
        harness.advance(Micros::from_ms(50.0));
    }
    sent
}

fn always_success(_: ServerId) -> Outcome {
    Outcome::Success
}

/// Regression: uniform selection sent small machines as many requests as large ones, and the small ones were congested first.
#[test]
fn load_follows_listed_size() {
    let mut harness = Harness::new(Settings { weights: Weights::Size, ..settings() }, 1);
    let sized = |l: Endpoint| Endpoint { weight: if l.server.0 < 10 { 3.0 } else { 1.0 }, ..l };
    harness.set_endpoints(fleet(20, 1, 1).into_iter().map(sized).collect());
    let sent = serve(&mut harness, 20, 3000, 20.0, always_success);
    let (large, small) = (sent[..10].iter().sum::<u32>(), sent[10..].iter().sum::<u32>());
    let ratio = f64::from(large) / f64::from(small);
    assert!((2.3..3.7).contains(&ratio), "large machines were sent {ratio:.2} times as many requests");
}

/// Among machines of equal size and different speed, the latency by machine type takes effect before that of single servers.
#[test]
fn load_follows_machine_type_latency() {
    let mut harness = Harness::new(settings(), 2);
    let endpoints =
        fleet(100, 1, 1).into_iter().map(|l| Endpoint { machine_type: MachineTypeId(l.server.0 % 2), ..l });
    harness.set_endpoints(endpoints.collect());
    let mut sent = [0, 0];
    for _ in 0..600 {
        let (id, to) = harness.request(0);
        let machine_type = (to.expect("sent").0 % 2) as usize;
        sent[machine_type] += 1;
        let ms = [30.0, 90.0][machine_type];
        harness.advance(Micros::from_ms(ms));
        harness.respond(id, 0, Outcome::Success, ms);
    }
    assert!(sent[0] > 2 * sent[1], "the machine type that is three times as fast: {sent:?}");
    assert!(sent[1] > 5, "the slow machine type receives some requests: {sent:?}");
}

/// Regression: the number of idle connections grew to balancers times servers, above the servers' limits.
#[test]
fn remembered_server_keeps_idle_connections() {
    let mut harness = Harness::new(settings(), 3);
    harness.set_endpoints(fleet(20, 1, 1));
    let mut open = std::collections::BTreeSet::new();
    let mut last = None;
    for _ in 0..200 {
        let (id, to) = harness.request(0);
        let to = to.expect("sent");
        open.insert(to);
        harness.advance(Micros::from_ms(20.0));
        let actions = harness.respond(id, 0, Outcome::Success, 20.0).to_vec();
        // The previously remembered server's connections are closed with its next response, so that only a few stay open.
        for action in actions {
            if let Action::CloseIdle { server } = action {
                open.remove(&server);
            }
        }
        last = Some(to);
    }
    assert!(open.contains(&last.unwrap()), "the idle connection of the remembered server was closed");
}

/// Regression: fleet-wide congestion never ended, because limits per server have no effect at one request in many seconds.
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
    let sheds = (0..100).filter(|_| {
        let (id, _) = harness.request(0);
        is_shed(&harness.actions, id)
    });
    assert_eq!(sheds.count(), 0, "state that is a second old must not shed requests");
}

/// A rejection by a server with a short queue is no sign of fleet-wide congestion; the request is retried elsewhere at once.
#[test]
fn rejections_of_few_servers_shed_nothing() {
    let mut harness = Harness::new(settings(), 5);
    harness.set_endpoints(fleet(50, 1, 1));
    serve(&mut harness, 50, 200, 20.0, |s| if s.0 < 10 { Outcome::Rejected } else { Outcome::Success });
    let sent = (0..100).filter(|_| harness.request(0).1.is_some()).count();
    assert!(sent > 90, "{sent} of 100 sent");
}

/// Regression: each of many balancers lost a request at each silent server, until balancers sent hints to each other.
#[test]
fn hint_is_sent_applied_and_expires() {
    let settings = Settings { peers: true, ..settings() };
    let mut sender = Harness::new(settings.clone(), 6);
    sender.set_endpoints(fleet(10, 1, 1));
    let (id, to) = sender.request(0);
    sender.advance(Micros::from_ms(790.0));
    let actions = sender.respond(id, 0, Outcome::TimedOut, 790.0).to_vec();
    let hint_payload = |a: &Action| match a {
        Action::SendHint { payload, .. } => Some(payload.clone()),
        _ => None,
    };
    let all: Vec<_> = actions.iter().filter_map(hint_payload).collect();
    assert!(!all.is_empty() && all.len() <= 128, "hints to {} peers", all.len());
    let server = to.expect("sent").0 as usize;

    // A successful response ends the deprioritization, so only the first few selections of a new balancer show it.
    let first_selections = |wait_ms: f64| -> u32 {
        let selections = (0..60).map(|seed| {
            let mut harness = Harness::new(settings.clone(), seed);
            harness.set_endpoints(fleet(10, 1, 1));
            harness.handle(Event::PeerMessage { from: PeerId(1), payload: all[0].clone() });
            harness.advance(Micros::from_ms(wait_ms));
            serve(&mut harness, 10, 3, 20.0, always_success)[server]
        });
        selections.sum()
    };
    let (fresh, old) = (first_selections(0.0), first_selections(10_000.0));
    assert!(fresh <= 4, "{fresh} of 180 sent to the server that a hint names");
    assert!(old >= 10, "{old} of 180 sent to the server after the hint has expired");
}

#[test]
fn invalid_hint_is_ignored() {
    let settings = Settings { peers: true, ..settings() };
    let (mut plain, mut receiver) = (Harness::new(settings.clone(), 8), Harness::new(settings, 8));
    plain.set_endpoints(fleet(10, 1, 1));
    receiver.set_endpoints(fleet(10, 1, 1));
    for payload in [vec![], vec![1], vec![0; 300], 77_u32.to_be_bytes().to_vec()] {
        receiver.handle(Event::PeerMessage { from: PeerId(9), payload });
    }
    assert_eq!(
        serve(&mut plain, 10, 50, 20.0, always_success),
        serve(&mut receiver, 10, 50, 20.0, always_success)
    );
}

/// The only valid marker is that of an unconfirmed hint; a hint with any other trailing byte must not take effect.
#[test]
fn hint_with_unknown_marker_is_ignored() {
    let sent_after = |hint: Option<Vec<u8>>| {
        let mut harness = Harness::new(Settings { peers: true, ..settings() }, 8);
        harness.set_endpoints(fleet(10, 1, 1));
        if let Some(payload) = hint {
            harness.handle(Event::PeerMessage { from: PeerId(9), payload });
        }
        serve(&mut harness, 10, 50, 20.0, always_success)
    };
    let hint = |marker: &[u8]| Some([&3_u32.to_be_bytes(), marker].concat());
    let without_hint = sent_after(None);
    for known in [&[][..], &[UNCONFIRMED_HINT]] {
        assert_ne!(sent_after(hint(known)), without_hint, "a hint with marker {known:?} took no effect");
    }
    for unknown in [&[0][..], &[2], &[u8::MAX], &[UNCONFIRMED_HINT, UNCONFIRMED_HINT]] {
        assert_eq!(sent_after(hint(unknown)), without_hint, "a hint with marker {unknown:?} took effect");
    }
}

/// Two failed connections suffice to avoid an unreachable zone, in which connections to all servers fail.
#[test]
fn zone_is_avoided_after_two_failed_connects() {
    let mut harness = Harness::new(Settings { max_attempts: 1, ..settings() }, 9);
    harness.set_endpoints(fleet(60, 2, 1));
    let outcome_by_zone = |s: ServerId| if s.0 % 2 == 1 { Outcome::ConnectFailed } else { Outcome::Success };
    let sent = serve(&mut harness, 60, 60, 20.0, outcome_by_zone);
    let unreachable: u32 = sent.iter().skip(1).step_by(2).sum();
    assert!(unreachable <= 10, "{unreachable} of 60 sent to the unreachable zone");
}

fn health_check_settings() -> Settings {
    Settings {
        health_checks: true,
        report_source: LoadReportSource::HealthChecks,
        report_fields: vec![LoadReportField::Utilisation, LoadReportField::InFlight],
        ..settings()
    }
}

fn checked_servers(harness: &Harness) -> Vec<ServerId> {
    let server = |a: &Action| match a {
        Action::HealthCheck { server } => Some(*server),
        _ => None,
    };
    harness.actions.iter().filter_map(server).collect()
}

fn report(harness: &mut Harness, server: ServerId, in_flight: f64) -> Option<ServerId> {
    let report = Some(vec![0.5, in_flight]);
    let elapsed = Micros::from_ms(1.0);
    let actions = harness.handle(Event::HealthChecked { server, outcome: Outcome::Success, elapsed, report });
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

/// Regression: without health checks all own counts were zero, and a third of the responses were late by chance.
#[test]
fn checked_candidate_with_least_load_is_selected() {
    let mut harness = Harness::new(health_check_settings(), 14);
    harness.set_endpoints(fleet(20, 1, 1));
    let (_, sent) = harness.request(0);
    assert_eq!(sent, None, "the request waits for the health checks");
    let candidates = checked_servers(&harness);
    assert!(candidates.len() >= 2, "{candidates:?}");
    let mut sent = None;
    for (i, &server) in candidates.iter().enumerate() {
        sent = report(&mut harness, server, if i == 1 { 0.0 } else { 4.0 });
        assert_eq!(sent.is_some(), i + 1 == candidates.len(), "sent before or after the last report");
    }
    assert_eq!(sent, Some(candidates[1]));
    harness.assert_rules();
}

#[test]
fn silent_candidate_is_not_selected() {
    let mut harness = Harness::new(health_check_settings(), 11);
    harness.set_endpoints(fleet(20, 1, 1));
    let (id, _) = harness.request(0);
    let candidates = checked_servers(&harness);
    report(&mut harness, candidates[0], 3.0);
    let actions = harness.advance(Micros::from_ms(0.06 * OBJECTIVE_MS));
    assert_eq!(common::sent_in(&actions, id), Some(candidates[0]));
    let (id, _) = harness.request(0);
    let actions = harness.advance(Micros::from_ms(0.06 * OBJECTIVE_MS));
    assert!(common::sent_in(&actions, id).is_some(), "not sent after the timeout without any report");
}

#[test]
fn expensive_or_uninformative_health_checks_are_not_sent() {
    let expensive = Costs { health_check: 0.01, ..Costs::default() };
    for settings in [
        Settings { costs: expensive, ..health_check_settings() },
        Settings { report_fields: vec![LoadReportField::Utilisation], ..health_check_settings() },
        Settings { health_checks: false, ..health_check_settings() },
        Settings { balancers: 10, ..health_check_settings() },
    ] {
        let mut harness = Harness::new(settings, 12);
        harness.set_endpoints(fleet(20, 1, 1));
        assert!(harness.request(0).1.is_some());
        assert!(checked_servers(&harness).is_empty());
    }
}

/// An idle server in slow start would otherwise win every selection that it is a candidate in, at all balancers at once.
#[test]
fn idle_server_in_slow_start_is_not_preferred() {
    for settings in [settings(), health_check_settings()] {
        let mut harness = Harness::new(settings, 13);
        let mut endpoints = fleet(10, 1, 1);
        endpoints[9].started_at = Some(harness.now);
        harness.set_endpoints(endpoints);
        let (mut slow_start, mut all) = (0, 0);
        for _ in 0..400 {
            let (id, mut to) = harness.request(0);
            for server in checked_servers(&harness) {
                to = to.or(report(&mut harness, server, if server.0 == 9 { 0.0 } else { 2.0 }));
            }
            let to = to.expect("sent");
            slow_start += u32::from(to.0 == 9);
            all += 1;
            harness.respond(id, 0, Outcome::Success, 20.0);
            harness.advance(Micros::from_ms(2.0));
        }
        assert!(slow_start <= all / 20, "{slow_start} of {all} sent to the one server of ten in slow start");
    }
}
