//! Guards against decisions that absurd reports or a jumping clock would turn.
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

/// Requests sent to each of four servers, the first of which reports what is given.
fn share(report: Vec<f64>) -> [u32; 4] {
    let mut testbed = Rig::new(settings(), 3);
    testbed.list(fleet(4, 1, 1));
    let mut sent = [0; 4];
    for _ in 0..200 {
        let (id, server) = testbed.ask(0);
        let server = server.expect("an idle fleet takes it");
        sent[server.0 as usize] += 1;
        testbed.wait(Micros::from_ms(20.0));
        let said = if server.0 == 0 { report.clone() } else { vec![0.0] };
        testbed.answer_with(id, 0, Outcome::Success, 20.0, Some(said));
        testbed.wait(Micros::from_ms(10.0));
    }
    testbed.assert_rules();
    sent
}

#[test]
fn reports_that_cannot_be_true_neither_stop_nor_starve_anything() {
    for said in [vec![], vec![f64::NAN], vec![f64::INFINITY], vec![0.0], vec![-1e300], vec![1e300, 1.0]] {
        let sent = share(said.clone());
        assert!(sent[1..].iter().all(|n| *n > 20), "{said:?}: {sent:?}");
    }
    let sent = share(vec![f64::NAN]);
    assert!(sent[0] > 0, "a report that is no number is no report: {sent:?}");
}

#[test]
fn a_clock_that_jumps_an_hour_leaves_the_fleet_in_use_and_no_request_unanswered() {
    let mut testbed = Rig::new(settings(), 3);
    testbed.list(fleet(4, 1, 1));
    let open: Vec<_> = (0..6).map(|_| testbed.ask(0).0).collect();
    testbed.now = testbed.now + Micros::from_ms(3_600_000.0);
    for id in open {
        testbed.answer(id, 0, Outcome::TimedOut, 800.0);
    }
    testbed.wait(Micros::from_ms(1000.0));
    let served = (0..40).filter(|_| {
        let (id, server) = testbed.ask(0);
        testbed.wait(Micros::from_ms(20.0));
        if server.is_some() {
            testbed.answer(id, 0, Outcome::Success, 20.0);
        }
        testbed.wait(Micros::from_ms(200.0));
        server.is_some()
    });
    assert!(served.count() > 30);
    assert_eq!(testbed.observer.lost(testbed.now), 0);
}
