//! Rule two: no request runs twice, and none that may have run is shed as if it had not.
mod common;
use bellcroft_balancer::*;
use common::*;

const OUTCOMES: [Outcome; 7] = [
    Outcome::ServerError,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::ConnectionReset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

/// All combinations of retry safety, outcome of the first attempt, and time within or after the dedup window.
#[test]
fn retry_follows_retry_safety_and_outcome() {
    let retry_safeties = [
        RetrySafety::Idempotent,
        RetrySafety::AtMostOnce,
        keyed(DedupScope::All, 100.0),
        keyed(DedupScope::Zone, 100.0),
        keyed(DedupScope::Group, 100.0),
    ];
    for hedging in [false, true] {
        for retry_safety in retry_safeties {
            for outcome in OUTCOMES {
                for ms in [5.0, 120.0] {
                    let settings =
                        Settings { classes: vec![class(retry_safety)], hedging, ..Settings::default() };
                    let mut harness = Harness::new(settings, 3);
                    harness.set_endpoints(fleet(12, 3, 4));
                    let (id, first) = harness.request(0);
                    let first = first.expect("an idle fleet accepts a request").0;
                    harness.advance(Micros::from_ms(ms));
                    harness.respond(id, 0, outcome, ms);
                    let (next, actions) = (harness.sent_to(id), harness.actions.clone());
                    let case = format!("{retry_safety:?} {outcome:?} after {ms} ms, hedging {hedging}");
                    let never_ran = outcome.never_ran();
                    let in_window = ms < 100.0;
                    match retry_safety {
                        RetrySafety::Idempotent => assert!(next.is_some(), "{case}"),
                        RetrySafety::AtMostOnce => {
                            assert_eq!(next.is_some(), never_ran, "{case}");
                            assert_eq!(is_failed(&actions, id), !never_ran, "{case}");
                        }
                        RetrySafety::Deduplicated { scope: group, .. } => {
                            assert_eq!(next.is_some(), never_ran || in_window, "{case}");
                            let next = next.map_or(first, |s| s.0);
                            match group {
                                _ if never_ran => {}
                                DedupScope::All => {
                                    assert_eq!(is_shed(&actions, id), !in_window, "{case}");
                                }
                                DedupScope::Zone => assert_eq!(next % 3, first % 3, "{case}"),
                                DedupScope::Group => assert_eq!(next % 4, first % 4, "{case}"),
                            }
                            if !never_ran && !in_window && group != DedupScope::All {
                                assert!(is_failed(&actions, id), "{case}");
                            }
                        }
                    }
                    harness.assert_rules();
                }
            }
        }
    }
}

/// The dedup window and scope are those of the first attempt that may have run, not of the first or the last attempt.
#[test]
fn scope_follows_first_attempt_that_may_have_run() {
    let settings = Settings {
        classes: vec![class(keyed(DedupScope::Zone, 400.0))],
        max_attempts: 6,
        ..Settings::default()
    };
    for seed in 0..40 {
        let mut harness = Harness::new(settings.clone(), seed);
        harness.set_endpoints(fleet(9, 3, 3));
        let (id, _) = harness.request(0);
        harness.respond(id, 0, Outcome::ConnectFailed, 1.0);
        let second = harness.sent_to(id).expect("a retry on any server, since the first attempt never ran").0;
        harness.respond(id, 1, Outcome::ConnectionReset, 1.0);
        let third = harness.sent_to(id).expect("a retry in the same zone within the dedup window").0;
        assert_eq!(third % 3, second % 3);
        harness.assert_rules();
    }
}

/// A later attempt that never ran does not lift the restriction by an earlier one that may have run.
#[test]
fn later_rejection_does_not_lift_retry_restriction() {
    let settings = Settings { classes: vec![class(keyed(DedupScope::Group, 5000.0))], ..Settings::default() };
    let mut harness = Harness::new(settings, 9);
    harness.set_endpoints(fleet(8, 2, 4));
    let (id, first) = harness.request(0);
    harness.respond(id, 0, Outcome::ServerError, 1.0);
    assert!(harness.sent_to(id).is_some());
    harness.respond(id, 1, Outcome::Rejected, 1.0);
    let third = harness.sent_to(id).map(|s| s.0 % 4);
    assert_eq!(third.unwrap_or(first.unwrap().0 % 4), first.unwrap().0 % 4);
    assert!(!is_shed(&harness.actions, id), "it may have run in the first attempt");
    harness.assert_rules();
}
