//! Invalid load reports and clock jumps.
mod common;
use bellcroft_balancer::*;
use common::*;

fn settings() -> Settings {
    Settings {
        classes: vec![class(RetrySafety::Idempotent)],
        report_fields: vec![LoadReportField::InFlight],
        ..Settings::default()
    }
}

/// The number of requests sent to each of four servers, the first of which sends the given load report.
fn sends_by_server(first_report: Vec<f64>) -> [u32; 4] {
    let mut harness = Harness::new(settings(), 3);
    harness.set_endpoints(fleet(4, 1, 1));
    let mut sent = [0; 4];
    for _ in 0..200 {
        let (id, server) = harness.request(0);
        let server = server.expect("an idle fleet accepts it");
        sent[server.0 as usize] += 1;
        harness.advance(Micros::from_ms(20.0));
        let report = if server.0 == 0 { first_report.clone() } else { vec![0.0] };
        harness.respond_with_report(id, 0, Outcome::Success, 20.0, Some(report));
        harness.advance(Micros::from_ms(10.0));
    }
    harness.assert_rules();
    sent
}

#[test]
fn invalid_load_report_is_ignored() {
    for report in [vec![], vec![f64::NAN], vec![f64::INFINITY], vec![0.0], vec![-1e300], vec![1e300, 1.0]] {
        let sent = sends_by_server(report.clone());
        assert!(sent[1..].iter().all(|n| *n > 20), "{report:?}: {sent:?}");
    }
    let sent = sends_by_server(vec![f64::NAN]);
    assert!(sent[0] > 0, "NaN must be ignored: {sent:?}");
}

#[test]
fn clock_jump_of_an_hour_loses_no_request() {
    let mut harness = Harness::new(settings(), 3);
    harness.set_endpoints(fleet(4, 1, 1));
    let requests: Vec<_> = (0..6).map(|_| harness.request(0).0).collect();
    harness.now = harness.now + Micros::from_ms(3_600_000.0);
    for id in requests {
        harness.respond(id, 0, Outcome::TimedOut, 800.0);
    }
    harness.advance(Micros::from_ms(1000.0));
    let served = (0..40).filter(|_| {
        let (id, server) = harness.request(0);
        harness.advance(Micros::from_ms(20.0));
        if server.is_some() {
            harness.respond(id, 0, Outcome::Success, 20.0);
        }
        harness.advance(Micros::from_ms(200.0));
        server.is_some()
    });
    assert!(served.count() > 30);
    assert_eq!(harness.observer.overdue_responses(harness.now), 0);
}
