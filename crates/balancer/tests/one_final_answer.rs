//! Guards rule one: every accepted request ends once, in time, and nothing is sent for it afterwards.
mod common;
use bellcroft_balancer::*;
use common::*;

fn plain() -> Settings {
    Settings { classes: vec![class(Effect::Idempotent), class(Effect::AtMostOnce)], ..Settings::default() }
}

#[test]
fn an_empty_fleet_holds_then_refuses() {
    let mut rig = Rig::new(plain(), 1);
    let (id, sent) = rig.ask(0);
    assert_eq!(sent, None);
    assert!(!refused(&rig.actions, id), "it waits for a server first");
    let actions = rig.wait(Span::from_ms(800.0));
    assert!(refused(&actions, id));
    rig.assert_rules();
}

#[test]
fn a_held_request_goes_out_when_the_list_comes() {
    let mut rig = Rig::new(plain(), 1);
    let (id, _) = rig.ask(1);
    rig.list(fleet(3, 1, 1));
    assert!(rig.sent_to(id).is_some());
    rig.answer(id, 0, Outcome::Success, 20.0);
    rig.assert_rules();
}

/// Seen on a simulated day: a client's last try can come with nothing left of its time.
#[test]
fn a_request_without_time_left_is_answered_at_once() {
    for servers in [0, 3] {
        let mut rig = Rig::new(plain(), 1);
        rig.list(fleet(servers, 1, 1));
        let id = RequestId(77);
        rig.tell(Event::Request(Request::new(id, ClassId(0), Span::ZERO)));
        assert!(refused(&rig.actions, id));
        rig.assert_rules();
    }
}

#[test]
fn a_timed_out_request_that_must_not_repeat_fails_at_its_deadline() {
    let mut rig = Rig::new(plain(), 1);
    rig.list(fleet(3, 1, 1));
    let (id, _) = rig.ask(1);
    rig.wait(Span::from_ms(800.0));
    rig.answer(id, 0, Outcome::TimedOut, 800.0);
    assert!(failed(&rig.actions, id));
    rig.assert_rules();
}

#[test]
fn late_double_and_foreign_events_do_nothing() {
    let mut rig = Rig::new(plain(), 1);
    rig.list(fleet(3, 1, 1));
    let (id, _) = rig.ask(0);
    rig.answer(id, 0, Outcome::Success, 20.0);
    for _ in 0..2 {
        assert!(rig.answer(id, 0, Outcome::TimedOut, 20.0).is_empty());
        assert!(rig.answer(id, 9, Outcome::Success, 20.0).is_empty());
        assert!(rig.tell(Event::ClientGone { request: id }).is_empty());
        assert!(rig.answer(RequestId(999), 0, Outcome::ServerError, 1.0).is_empty());
        assert!(rig.tell(Event::FirstByte { request: id, attempt: AttemptNo(0) }).is_empty());
        let probe = Event::Probed {
            server: ServerId(99),
            outcome: Outcome::Success,
            elapsed: Span::ZERO,
            report: Some(vec![1.0]),
        };
        assert!(rig.tell(probe).is_empty());
    }
    let (_, sent) = rig.ask(0);
    assert!(sent.is_some());
    rig.assert_rules();
}

#[test]
fn nothing_is_sent_for_a_client_that_has_gone() {
    let mut rig = Rig::new(plain(), 1);
    rig.list(fleet(3, 1, 1));
    let (id, _) = rig.ask(0);
    rig.tell(Event::ClientGone { request: id });
    assert!(rig.answer(id, 0, Outcome::ServerError, 5.0).is_empty());
    rig.assert_rules();
}

#[test]
fn attempts_stay_within_the_limit() {
    for most in 1..4 {
        let mut rig = Rig::new(Settings { max_attempts: most, ..plain() }, 5);
        rig.list(fleet(9, 1, 1));
        let (id, _) = rig.ask(0);
        let mut sends = 1;
        for attempt in 0..most {
            rig.answer(id, attempt, Outcome::Rejected, 1.0);
            sends += u32::from(rig.sent_to(id).is_some());
        }
        assert_eq!(sends, most);
        assert!(refused(&rig.actions, id));
        rig.assert_rules();
    }
}

/// Seen on a simulated day: a request held in the very moment of a tick put the tick off, so that a steady
/// stream of them kept it from ever coming, and held requests passed their deadline without an answer.
#[test]
fn requests_that_come_with_each_tick_do_not_starve_it() {
    let mut rig = Rig::new(plain(), 1);
    let (first, _) = rig.ask(0);
    let mut all = Vec::new();
    for _ in 0..200 {
        rig.now = rig.now + Span::from_ms(5.0);
        rig.ask(0);
        all.extend(rig.wait(Span::ZERO));
    }
    assert!(refused(&all, first));
    assert_eq!(rig.observer.lost(rig.now), 0);
    rig.assert_rules();
}
