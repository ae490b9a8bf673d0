//! The state of a sparse balancer expires with time, however few requests it sends.

mod common;

use bellcroft_balancer::*;
use common::{class, fleet, is_shed, Harness};

const OBJECTIVE_MS: f64 = 200.0;

fn settings(balancers: u32) -> Settings {
    Settings {
        balancers,
        classes: vec![class(RetrySafety::Idempotent)],
        report_source: LoadReportSource::Responses,
        report_fields: vec![LoadReportField::InFlight],
        ..Settings::default()
    }
}

/// Sends requests at this interval, each with a response after `latency_ms` that reports this load; returns how many were shed.
fn send_requests(harness: &mut Harness, count: usize, interval_ms: f64, latency_ms: f64, load: f64) -> usize {
    let mut sheds = 0;
    for _ in 0..count {
        let (id, sent) = harness.request(0);
        sheds += usize::from(is_shed(&harness.actions, id));
        if sent.is_some() {
            harness.advance(Micros::from_ms(latency_ms));
            harness.respond_with_report(id, 0, Outcome::Success, latency_ms, Some(vec![load]));
        }
        harness.advance(Micros::from_ms((interval_ms - latency_ms).max(0.0)));
    }
    sheds
}

/// The number of shed requests among a hundred at the present time.
fn sheds_now(harness: &mut Harness) -> usize {
    (0..100)
        .filter(|_| {
            let (id, _) = harness.request(0);
            is_shed(&harness.actions, id)
        })
        .count()
}

/// Congestion that ends while no requests are sent has no later effect, although its end was not observed.
#[test]
fn congestion_that_ends_unobserved_sheds_nothing() {
    let mut harness = Harness::new(settings(1000), 1);
    harness.set_endpoints(fleet(50, 1, 1));
    let shed = send_requests(&mut harness, 200, 20.0, 2.0 * OBJECTIVE_MS, 80.0);
    assert!(shed > 50, "{shed} of 200 shed during congestion");
    harness.advance(Micros::from_ms(10_000.0));
    assert_eq!(sheds_now(&mut harness), 0);
    harness.assert_rules();
}

/// The latency that each request in flight causes is measured, so that reports ten times too high are no sign of congestion
/// and constant reports do not conceal it.
#[test]
fn constant_report_error_cancels_out() {
    for load in [0.0, 3.0, 30.0, 300.0] {
        let mut harness = Harness::new(settings(1000), 2);
        harness.set_endpoints(fleet(50, 1, 1));
        assert_eq!(send_requests(&mut harness, 300, 30.0, 20.0, load), 0, "load {load}, no congestion");
        let shed = send_requests(&mut harness, 100, 20.0, 2.0 * OBJECTIVE_MS, load);
        assert!(shed > 10, "{shed} of 100 shed during congestion, load {load}");
        harness.advance(Micros::from_ms(1500.0));
        assert_eq!(send_requests(&mut harness, 100, 30.0, 20.0, load), 0, "load {load}, after congestion");
    }
}

/// One late response to the only request of a balancer does not prove fleet-wide congestion.
#[test]
fn single_late_response_sheds_few_requests() {
    let mut harness = Harness::new(settings(2000), 3);
    harness.set_endpoints(fleet(50, 1, 1));
    assert_eq!(sheds_now(&mut harness), 0, "no samples yet");
    let mut harness = Harness::new(settings(2000), 3);
    harness.set_endpoints(fleet(50, 1, 1));
    send_requests(&mut harness, 1, 2.0 * OBJECTIVE_MS, 2.0 * OBJECTIVE_MS, 80.0);
    let shed = sheds_now(&mut harness);
    assert!((1..95).contains(&shed), "{shed} of 100 shed after one sample");
    let mut harness = Harness::new(settings(2000), 3);
    harness.set_endpoints(fleet(50, 1, 1));
    send_requests(&mut harness, 1, 2.0 * OBJECTIVE_MS, 2.0 * OBJECTIVE_MS, 80.0);
    harness.advance(Micros::from_ms(1000.0));
    assert_eq!(sheds_now(&mut harness), 0, "the sample has not expired after a second");
}

/// After a change from a thousand requests per second to one per minute, only recent responses count.
#[test]
fn old_server_latency_decays() {
    let mut harness = Harness::new(settings(1000), 4);
    harness.set_endpoints(fleet(20, 1, 1));
    // Server 0 is ten times slower than the others at first.
    let mut sent = [0_u32; 2];
    for turn in 0..4000 {
        let (id, to) = harness.request(0);
        let Some(server) = to else { continue };
        sent[usize::from(turn >= 2000)] += u32::from(server == ServerId(0));
        let duration_ms = if server == ServerId(0) { 150.0 } else { 15.0 };
        harness.advance(Micros::from_ms(1.0));
        harness.respond(id, 0, Outcome::Success, duration_ms);
    }
    assert!(sent[1] < 20, "the slow server received too many requests: {sent:?}");
    let mut later_sends = 0;
    for _ in 0..600 {
        harness.advance(Micros::from_ms(60_000.0));
        let (id, to) = harness.request(0);
        assert!(!is_shed(&harness.actions, id));
        let Some(server) = to else { continue };
        later_sends += u32::from(server == ServerId(0));
        harness.advance(Micros::from_ms(15.0));
        harness.respond(id, 0, Outcome::Success, 15.0);
    }
    assert!(
        later_sends >= 10,
        "its share is not restored when it is as fast as the others: {later_sends} of 600"
    );
}

/// Failed connections without any response make a zone unreachable: other zones are used, its idle connections are closed,
/// and it is retried later with a new connection.
#[test]
fn unreachable_zone_is_avoided_and_retried() {
    let mut harness = Harness::new(settings(1000), 5);
    harness.set_endpoints(fleet(20, 2, 1));
    let mut closed = std::collections::BTreeSet::new();
    let mut unreachable_sends = 0;
    let mut send_request = |harness: &mut Harness| {
        let (id, mut to) = harness.request(0);
        let mut attempt = 0;
        while let Some(server) = to {
            let is_unreachable = server.0 % 2 == 1;
            unreachable_sends += u32::from(is_unreachable);
            let (duration_ms, outcome) =
                if is_unreachable { (50.0, Outcome::ConnectFailed) } else { (20.0, Outcome::Success) };
            harness.advance(Micros::from_ms(duration_ms));
            let actions = harness.respond(id, attempt, outcome, duration_ms).to_vec();
            closed.extend(actions.iter().filter_map(|a| match a {
                Action::CloseIdle { server } if server.0 % 2 == 1 => Some(*server),
                _ => None,
            }));
            attempt += 1;
            to = harness.sent_to(id);
        }
        harness.advance(Micros::from_ms(300.0));
        std::mem::take(&mut unreachable_sends)
    };
    while send_request(&mut harness) == 0 {}
    while send_request(&mut harness) == 0 {}
    let first: u32 = (0..8).map(|_| send_request(&mut harness)).sum();
    assert_eq!(first, 0, "no requests may be sent to an unreachable zone");
    let later_sends: u32 = (0..200).map(|_| send_request(&mut harness)).sum();
    assert!((2..40).contains(&later_sends), "{later_sends} retries of the zone in a minute");
    assert_eq!(closed.len(), 10, "all idle connections are closed");
    harness.assert_rules();
}
