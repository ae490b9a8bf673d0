//! Requests that are passed on as they come, and settings that change while requests are open.
mod common;
use bellcroft_balancer::*;
use common::*;

const LONG: Micros = Micros(600_000_000);

fn settings(effect: RetrySafety) -> Settings {
    Settings { classes: vec![class(effect)], ..Settings::default() }
}

fn coming(id: u64) -> Event {
    Event::Request(Request { streaming: true, ..Request::new(RequestId(id), ClassId(0), LONG) })
}

/// However long it is on its way, its server owes nothing: it is not called silent, and not left out of the draw.
#[test]
fn a_server_is_not_blamed_for_a_request_that_is_still_coming() {
    let mut testbed = Rig::new(settings(RetrySafety::Idempotent), 1);
    testbed.list(fleet(1, 1, 1));
    testbed.tell(coming(900));
    assert!(testbed.sent_to(RequestId(900)).is_some());
    let actions = testbed.wait(Micros::from_ms(20_000.0));
    let blamed = |a: &Action| matches!(a, Action::Cancel { .. } | Action::Log { .. } | Action::Fail { .. });
    assert!(!actions.iter().any(blamed), "{actions:?}");
    // Nor does it take the place of a request that is there: a server that bears two at first still bears two.
    for _ in 0..2 {
        assert!(testbed.ask(0).1.is_some());
    }
    testbed.answer(RequestId(900), 0, Outcome::Success, 1.0);
}

/// Its time begins with its last byte, and so does its server's.
#[test]
fn a_request_s_time_begins_when_it_is_whole() {
    let mut testbed = Rig::new(settings(RetrySafety::Idempotent), 1);
    testbed.list(fleet(4, 1, 1));
    testbed.tell(coming(900));
    testbed.wait(Micros::from_ms(5_000.0));
    testbed.tell(Event::BodyComplete { request: RequestId(900), time_left: Micros::from_ms(800.0) });
    let silent = |a: &Action| matches!(a, Action::Log { text } if text.contains("silent"));
    let soon = testbed.wait(Micros::from_ms(150.0));
    assert!(!soon.iter().any(silent), "it has had no time yet: {soon:?}");
    let late = testbed.wait(Micros::from_ms(600.0));
    assert!(late.iter().any(silent), "now it is silent: {late:?}");
    testbed.answer(RequestId(900), 0, Outcome::TimedOut, 800.0);
    testbed.wait(Micros::from_ms(100.0));
    testbed.assert_rules();
}

/// While all of it is there it goes elsewhere like any other; once a part is gone it is given up at once.
#[test]
fn what_is_partly_gone_is_given_up_at_once() {
    for (spent, effect) in [
        (false, RetrySafety::AtMostOnce),
        (true, RetrySafety::AtMostOnce),
        (true, keyed(DedupScope::Zone, 5e3)),
    ] {
        let mut testbed = Rig::new(settings(effect), 3);
        testbed.list(fleet(4, 2, 2));
        testbed.tell(coming(900));
        if spent {
            testbed.tell(Event::AttemptsExhausted { request: RequestId(900) });
        }
        let actions = testbed.answer(RequestId(900), 0, Outcome::ConnectFailed, 1.0).to_vec();
        assert_eq!(sent_in(&actions, RequestId(900)).is_some(), !spent);
        assert_eq!(refused(&actions, RequestId(900)), spent, "it never ran");
    }
}

/// An attempt that outlives its request keeps its server's place, though it never was in flight.
#[test]
fn an_attempt_of_a_request_that_left_while_coming_settles_later() {
    let mut testbed = Rig::new(settings(RetrySafety::Idempotent), 1);
    testbed.list(fleet(2, 1, 1));
    testbed.tell(coming(900));
    let server = testbed.sent_to(RequestId(900)).expect("it is sent");
    testbed.tell(Event::ClientDisconnected { request: RequestId(900) });
    let gone = |id: u32| Endpoint { status: Status::Gone, ..Endpoint::serving(ServerId(id)) };
    testbed.tell(Event::Endpoints(EndpointUpdate::Delta(vec![gone(server.0)])));
    testbed.wait(Micros::from_ms(30_000.0));
    testbed.tell(Event::Endpoints(EndpointUpdate::Delta(vec![Endpoint::serving(ServerId(77))])));
    testbed.answer(RequestId(900), 0, Outcome::ConnectionReset, 1.0);
    let (_, sent) = testbed.ask(0);
    assert!(sent.is_some_and(|sent| sent != server));
    testbed.assert_rules();
}

/// What is open keeps its class and the attempts that it was promised; what comes later has the new ones.
#[test]
fn open_requests_keep_their_rules_over_new_settings() {
    let old = Settings { max_attempts: 1, ..settings(keyed(DedupScope::All, 5e3)) };
    let mut testbed = Rig::new(old.clone(), 1);
    testbed.list(fleet(4, 1, 1));
    let (open, _) = testbed.ask(0);
    let classes = vec![old.classes[0].clone(), class(RetrySafety::AtMostOnce)];
    let newer = Settings { classes, max_attempts: 3, ..old };
    testbed.balancer.reconfigure(newer.clone(), &[(1, Some(0))]).expect("usable settings");
    testbed.observer.settings = newer;
    let actions = testbed.answer(open, 0, Outcome::ConnectionReset, 1.0).to_vec();
    assert_eq!(sent_in(&actions, open), None, "it was promised one attempt");
    let (later, _) = testbed.ask(0);
    let actions = testbed.answer(later, 0, Outcome::ConnectionReset, 1.0).to_vec();
    assert!(sent_in(&actions, later).is_some());
    let (once, _) = testbed.ask(1);
    let actions = testbed.answer(once, 0, Outcome::ConnectionReset, 1.0).to_vec();
    assert_eq!(sent_in(&actions, once), None, "the new class's rules");
    let bad = Settings { classes: Vec::new(), ..testbed.observer.settings.clone() };
    assert_eq!(testbed.balancer.reconfigure(bad, &[]), Err(SettingsError::NoClasses));
    assert_eq!(testbed.balancer.settings().max_attempts, 3, "nothing has changed");
}
