//! Guards rule one: every accepted request ends once, in time, and nothing is sent for it afterwards.
mod common;
use bellcroft_balancer::*;
use common::*;

fn plain() -> Settings {
    Settings {
        classes: vec![class(RetrySafety::Idempotent), class(RetrySafety::AtMostOnce)],
        ..Settings::default()
    }
}

#[test]
fn an_empty_fleet_holds_then_refuses() {
    let mut testbed = Rig::new(plain(), 1);
    let (id, sent) = testbed.ask(0);
    assert_eq!(sent, None);
    assert!(!refused(&testbed.actions, id), "it waits for a server first");
    let actions = testbed.wait(Micros::from_ms(800.0));
    assert!(refused(&actions, id));
    testbed.assert_rules();
}

#[test]
fn a_held_request_goes_out_when_the_list_comes() {
    let mut testbed = Rig::new(plain(), 1);
    let (id, _) = testbed.ask(1);
    testbed.list(fleet(3, 1, 1));
    assert!(testbed.sent_to(id).is_some());
    testbed.answer(id, 0, Outcome::Success, 20.0);
    testbed.assert_rules();
}

/// Seen on a simulated day: a client's last try can come with nothing left of its time.
#[test]
fn a_request_without_time_left_is_answered_at_once() {
    for servers in [0, 3] {
        let mut testbed = Rig::new(plain(), 1);
        testbed.list(fleet(servers, 1, 1));
        let id = RequestId(77);
        testbed.tell(Event::Request(Request::new(id, ClassId(0), Micros::ZERO)));
        assert!(refused(&testbed.actions, id));
        testbed.assert_rules();
    }
}

#[test]
fn a_timed_out_request_that_must_not_repeat_fails_at_its_deadline() {
    let mut testbed = Rig::new(plain(), 1);
    testbed.list(fleet(3, 1, 1));
    let (id, _) = testbed.ask(1);
    testbed.wait(Micros::from_ms(800.0));
    testbed.answer(id, 0, Outcome::TimedOut, 800.0);
    assert!(failed(&testbed.actions, id));
    testbed.assert_rules();
}

#[test]
fn late_double_and_foreign_events_do_nothing() {
    let mut testbed = Rig::new(plain(), 1);
    testbed.list(fleet(3, 1, 1));
    let (id, _) = testbed.ask(0);
    testbed.answer(id, 0, Outcome::Success, 20.0);
    for _ in 0..2 {
        assert!(testbed.answer(id, 0, Outcome::TimedOut, 20.0).is_empty());
        assert!(testbed.answer(id, 9, Outcome::Success, 20.0).is_empty());
        assert!(testbed.tell(Event::ClientDisconnected { request: id }).is_empty());
        assert!(testbed.answer(RequestId(999), 0, Outcome::ServerError, 1.0).is_empty());
        assert!(testbed.tell(Event::FirstByte { request: id, attempt: AttemptNo(0) }).is_empty());
        let probe = Event::HealthChecked {
            server: ServerId(99),
            outcome: Outcome::Success,
            elapsed: Micros::ZERO,
            report: Some(vec![1.0]),
        };
        assert!(testbed.tell(probe).is_empty());
    }
    let (_, sent) = testbed.ask(0);
    assert!(sent.is_some());
    testbed.assert_rules();
}

#[test]
fn nothing_is_sent_for_a_client_that_has_gone() {
    let mut testbed = Rig::new(plain(), 1);
    testbed.list(fleet(3, 1, 1));
    let (id, _) = testbed.ask(0);
    testbed.tell(Event::ClientDisconnected { request: id });
    assert!(testbed.answer(id, 0, Outcome::ServerError, 5.0).is_empty());
    testbed.assert_rules();
}

#[test]
fn attempts_stay_within_the_limit() {
    for most in 1..4 {
        let mut testbed = Rig::new(Settings { max_attempts: most, ..plain() }, 5);
        testbed.list(fleet(9, 1, 1));
        let (id, _) = testbed.ask(0);
        let mut sends = 1;
        for attempt in 0..most {
            testbed.answer(id, attempt, Outcome::Rejected, 1.0);
            sends += u32::from(testbed.sent_to(id).is_some());
        }
        assert_eq!(sends, most);
        assert!(refused(&testbed.actions, id));
        testbed.assert_rules();
    }
}

/// Seen on a simulated day: a request held in the very moment of a tick put the tick off, so that a steady
/// stream of them kept it from ever coming, and held requests passed their deadline without an answer.
#[test]
fn requests_that_come_with_each_tick_do_not_starve_it() {
    let mut testbed = Rig::new(plain(), 1);
    let (first, _) = testbed.ask(0);
    let mut all = Vec::new();
    for _ in 0..200 {
        testbed.now = testbed.now + Micros::from_ms(5.0);
        testbed.ask(0);
        all.extend(testbed.wait(Micros::ZERO));
    }
    assert!(refused(&all, first));
    assert_eq!(testbed.observer.lost(testbed.now), 0);
    testbed.assert_rules();
}
