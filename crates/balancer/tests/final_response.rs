//! Rule one: each request gets exactly one final response in time, and no attempt is sent afterwards.
mod common;
use bellcroft_balancer::*;
use common::*;

fn settings() -> Settings {
    Settings {
        classes: vec![class(RetrySafety::Idempotent), class(RetrySafety::AtMostOnce)],
        ..Settings::default()
    }
}

#[test]
fn empty_fleet_queues_then_sheds() {
    let mut harness = Harness::new(settings(), 1);
    let (id, sent) = harness.request(0);
    assert_eq!(sent, None);
    assert!(!is_shed(&harness.actions, id), "queued first");
    let actions = harness.advance(Micros::from_ms(800.0));
    assert!(is_shed(&actions, id));
    harness.assert_rules();
}

#[test]
fn queued_request_is_sent_when_list_arrives() {
    let mut harness = Harness::new(settings(), 1);
    let (id, _) = harness.request(1);
    harness.set_endpoints(fleet(3, 1, 1));
    assert!(harness.sent_to(id).is_some());
    harness.respond(id, 0, Outcome::Success, 20.0);
    harness.assert_rules();
}

/// Regression: a client's last retry may arrive without any time left.
#[test]
fn request_without_time_left_is_shed() {
    for servers in [0, 3] {
        let mut harness = Harness::new(settings(), 1);
        harness.set_endpoints(fleet(servers, 1, 1));
        let id = RequestId(77);
        harness.handle(Event::Request(Request::new(id, ClassId(0), Micros::ZERO)));
        assert!(is_shed(&harness.actions, id));
        harness.assert_rules();
    }
}

#[test]
fn timed_out_unsafe_request_fails() {
    let mut harness = Harness::new(settings(), 1);
    harness.set_endpoints(fleet(3, 1, 1));
    let (id, _) = harness.request(1);
    harness.advance(Micros::from_ms(800.0));
    harness.respond(id, 0, Outcome::TimedOut, 800.0);
    assert!(is_failed(&harness.actions, id));
    harness.assert_rules();
}

#[test]
fn late_duplicate_and_unknown_events_are_ignored() {
    let mut harness = Harness::new(settings(), 1);
    harness.set_endpoints(fleet(3, 1, 1));
    let (id, _) = harness.request(0);
    harness.respond(id, 0, Outcome::Success, 20.0);
    for _ in 0..2 {
        assert!(harness.respond(id, 0, Outcome::TimedOut, 20.0).is_empty());
        assert!(harness.respond(id, 9, Outcome::Success, 20.0).is_empty());
        assert!(harness.handle(Event::ClientDisconnected { request: id }).is_empty());
        assert!(harness.respond(RequestId(999), 0, Outcome::ServerError, 1.0).is_empty());
        assert!(harness.handle(Event::FirstByte { request: id, attempt: AttemptNo(0) }).is_empty());
        let probe = Event::HealthChecked {
            server: ServerId(99),
            outcome: Outcome::Success,
            elapsed: Micros::ZERO,
            report: Some(vec![1.0]),
        };
        assert!(harness.handle(probe).is_empty());
    }
    let (_, sent) = harness.request(0);
    assert!(sent.is_some());
    harness.assert_rules();
}

#[test]
fn disconnected_client_gets_no_retry() {
    let mut harness = Harness::new(settings(), 1);
    harness.set_endpoints(fleet(3, 1, 1));
    let (id, _) = harness.request(0);
    harness.handle(Event::ClientDisconnected { request: id });
    assert!(harness.respond(id, 0, Outcome::ServerError, 5.0).is_empty());
    harness.assert_rules();
}

#[test]
fn settings_limit_attempts() {
    for max_attempts in 1..4 {
        let mut harness = Harness::new(Settings { max_attempts, ..settings() }, 5);
        harness.set_endpoints(fleet(9, 1, 1));
        let (id, _) = harness.request(0);
        let mut sends = 1;
        for attempt in 0..max_attempts {
            harness.respond(id, attempt, Outcome::Rejected, 1.0);
            sends += u32::from(harness.sent_to(id).is_some());
        }
        assert_eq!(sends, max_attempts);
        assert!(is_shed(&harness.actions, id));
        harness.assert_rules();
    }
}

/// Regression: each request that was queued postponed the next tick, so that a steady stream of requests prevented it and
/// queued requests passed their deadline without a response.
#[test]
fn requests_at_each_tick_do_not_postpone_it() {
    let mut harness = Harness::new(settings(), 1);
    let (first, _) = harness.request(0);
    let mut all = Vec::new();
    for _ in 0..200 {
        harness.now = harness.now + Micros::from_ms(5.0);
        harness.request(0);
        all.extend(harness.advance(Micros::ZERO));
    }
    assert!(is_shed(&all, first));
    assert_eq!(harness.observer.overdue_responses(harness.now), 0);
    harness.assert_rules();
}
