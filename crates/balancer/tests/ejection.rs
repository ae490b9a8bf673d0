//! Silent, failing and slow servers are ejected; none is if all servers are slow.
mod common;
use bellcroft_balancer::*;
use common::*;

fn settings(retry_safety: RetrySafety) -> Settings {
    Settings { classes: vec![class(retry_safety)], ..Settings::default() }
}

/// Sends requests one after another, each with the outcome and duration by `respond_with`; returns the attempts sent to each
/// of `n` servers.
fn serve(
    harness: &mut Harness,
    n: usize,
    count: u32,
    respond_with: impl Fn(ServerId) -> (Outcome, f64),
) -> Vec<u32> {
    let mut sent = vec![0; n];
    for _ in 0..count {
        let (id, mut server) = harness.request(0);
        let mut attempt = 0;
        while let Some(to) = server {
            sent[to.0 as usize] += 1;
            let (outcome, ms) = respond_with(to);
            harness.advance(Micros::from_ms(ms));
            harness.respond(id, attempt, outcome, ms);
            server = harness.sent_to(id);
            attempt += 1;
        }
        harness.advance(Micros::from_ms(5.0));
    }
    harness.assert_rules();
    sent
}

#[test]
fn fast_failing_server_is_ejected() {
    for failure in [Outcome::ServerError, Outcome::ConnectFailed, Outcome::ConnectionReset] {
        let mut harness = Harness::new(settings(RetrySafety::Idempotent), 11);
        harness.set_endpoints(fleet(5, 1, 1));
        let failing = ServerId(2);
        let sent =
            serve(
                &mut harness,
                5,
                400,
                |s| if s == failing { (failure, 0.2) } else { (Outcome::Success, 30.0) },
            );
        assert!(sent[2] <= 12, "{failure:?}: {sent:?}, more than trials were sent");
        assert!(sent[2] >= 3, "{failure:?}: {sent:?}, too few trials were sent");
        let recovered = serve(&mut harness, 5, 400, |_| (Outcome::Success, 30.0));
        assert!(recovered[2] > 30, "{failure:?}: {recovered:?}, the ejection has not ended");
    }
}

#[test]
fn slow_server_is_ejected_and_returns() {
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 11);
    harness.set_endpoints(fleet(5, 1, 1));
    let sent = serve(&mut harness, 5, 300, |s| (Outcome::Success, if s.0 == 2 { 300.0 } else { 30.0 }));
    assert!(sent[2] < 20, "{sent:?}");
    let recovered = serve(&mut harness, 5, 600, |_| (Outcome::Success, 30.0));
    assert!(recovered[2] > 30, "{recovered:?}");
}

#[test]
fn uniformly_slow_fleet_ejects_no_server() {
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 11);
    harness.set_endpoints(fleet(5, 1, 1));
    serve(&mut harness, 5, 100, |_| (Outcome::Success, 30.0));
    let sent = serve(&mut harness, 5, 300, |_| (Outcome::Success, 110.0));
    assert!(sent.iter().all(|n| *n > 20), "{sent:?}");
}

#[test]
fn silent_server_is_ejected_and_idempotent_attempt_cancelled() {
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 5);
    harness.set_endpoints(fleet(4, 1, 1));
    serve(&mut harness, 4, 40, |_| (Outcome::Success, 20.0));
    // Two requests at one server stay without a response; the other servers respond.
    let requests: Vec<_> =
        (0..8).map(|_| harness.request(0)).filter_map(|(id, s)| s.map(|s| (id, s))).collect();
    let silent =
        requests.iter().map(|a| a.1).find(|s| requests.iter().filter(|a| a.1 == *s).count() > 1).unwrap();
    for (id, server) in &requests {
        if *server != silent {
            harness.respond(*id, 0, Outcome::Success, 20.0);
        }
    }
    let actions = harness.advance(Micros::from_ms(150.0));
    for &(id, _) in requests.iter().filter(|a| a.1 == silent) {
        assert!(actions.contains(&Action::Cancel { request: id, attempt: AttemptNo(0) }), "{actions:?}");
        harness.respond(id, 0, Outcome::Cancelled, 150.0);
        assert!(harness.sent_to(id).is_some_and(|s| s != silent));
        harness.respond(id, 1, Outcome::Success, 20.0);
    }
    let after = serve(&mut harness, 4, 6, |_| (Outcome::Success, 20.0));
    assert_eq!(after[silent.0 as usize], 0, "requests were sent before the first trial");
}

/// Regression: at low load, an expensive request ejected a healthy server and was retried without need.
#[test]
fn expensive_lone_request_is_not_overdue_early() {
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 5);
    harness.set_endpoints(fleet(4, 1, 1));
    serve(&mut harness, 4, 40, |_| (Outcome::Success, 20.0));
    assert!(harness.request(0).1.is_some());
    let is_overdue_handled =
        |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Cancel { .. } | Action::Log { .. }));
    assert!(!is_overdue_handled(&harness.advance(Micros::from_ms(195.0))));
    assert!(is_overdue_handled(&harness.advance(Micros::from_ms(60.0))), "not overdue after its objective");
}

#[test]
fn unsafe_attempt_is_not_cancelled() {
    let mut harness = Harness::new(settings(RetrySafety::AtMostOnce), 5);
    harness.set_endpoints(fleet(4, 1, 1));
    let (id, _) = harness.request(0);
    let actions = harness.advance(Micros::from_ms(790.0));
    assert!(!actions.iter().any(|a| matches!(a, Action::Cancel { .. })), "{actions:?}");
    harness.respond(id, 0, Outcome::TimedOut, 800.0);
    harness.assert_rules();
}

/// Without idempotent classes, non-idempotent requests must be used as trials.
#[test]
fn non_idempotent_trial_ends_ejection() {
    let mut harness = Harness::new(settings(RetrySafety::AtMostOnce), 11);
    harness.set_endpoints(fleet(3, 1, 1));
    serve(&mut harness, 3, 100, |s| match s.0 {
        1 => (Outcome::ServerError, 0.2),
        _ => (Outcome::Success, 20.0),
    });
    let recovered = serve(&mut harness, 3, 400, |_| (Outcome::Success, 20.0));
    assert!(recovered[1] > 30, "{recovered:?}");
}

#[test]
fn mostly_unreachable_fleet_uses_remaining_servers() {
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 11);
    harness.set_endpoints(fleet(8, 1, 1));
    let outcome_of =
        |s: ServerId| if s.0 < 6 { (Outcome::ConnectFailed, 100.0) } else { (Outcome::Success, 20.0) };
    serve(&mut harness, 8, 60, outcome_of);
    let sent = serve(&mut harness, 8, 100, outcome_of);
    assert!(sent[..6].iter().sum::<u32>() < 40, "{sent:?}");
    assert!(sent[6] + sent[7] >= 95, "{sent:?}");
}

#[test]
fn entirely_failing_fleet_is_still_tried() {
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 11);
    harness.set_endpoints(fleet(4, 1, 1));
    serve(&mut harness, 4, 40, |_| (Outcome::ServerError, 1.0));
    let sent = serve(&mut harness, 4, 40, |_| (Outcome::Success, 20.0));
    assert!(sent.iter().sum::<u32>() >= 40, "{sent:?}");
}
