//! Requests whose body is forwarded while it arrives, and replacement of the settings while requests are pending.
mod common;
use bellcroft_balancer::*;
use common::*;

const MAX_UPLOAD_TIME: Micros = Micros(600_000_000);

fn settings(retry_safety: RetrySafety) -> Settings {
    Settings { classes: vec![class(retry_safety)], ..Settings::default() }
}

fn streaming_request(id: u64) -> Event {
    Event::Request(Request { streaming: true, ..Request::new(RequestId(id), ClassId(0), MAX_UPLOAD_TIME) })
}

/// No response is due while the body is arriving, so that the server is neither considered silent nor ejected.
#[test]
fn streaming_request_does_not_eject_its_server() {
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 1);
    harness.set_endpoints(fleet(1, 1, 1));
    harness.handle(streaming_request(900));
    assert!(harness.sent_to(RequestId(900)).is_some());
    let actions = harness.advance(Micros::from_ms(20_000.0));
    let blames_server =
        |a: &Action| matches!(a, Action::Cancel { .. } | Action::Log { .. } | Action::Fail { .. });
    assert!(!actions.iter().any(blames_server), "{actions:?}");
    // The streaming request does not count towards the server's concurrency limit, which is initially two.
    for _ in 0..2 {
        assert!(harness.request(0).1.is_some());
    }
    harness.respond(RequestId(900), 0, Outcome::Success, 1.0);
}

/// The deadline and the time until an attempt is overdue start when the body is complete.
#[test]
fn deadline_runs_from_body_complete() {
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 1);
    harness.set_endpoints(fleet(4, 1, 1));
    harness.handle(streaming_request(900));
    harness.advance(Micros::from_ms(5_000.0));
    harness.handle(Event::BodyComplete { request: RequestId(900), time_left: Micros::from_ms(800.0) });
    let is_silence_logged = |a: &Action| matches!(a, Action::Log { text } if text.contains("silent"));
    let soon = harness.advance(Micros::from_ms(150.0));
    assert!(!soon.iter().any(is_silence_logged), "not overdue yet: {soon:?}");
    let late = harness.advance(Micros::from_ms(600.0));
    assert!(late.iter().any(is_silence_logged), "silent: {late:?}");
    harness.respond(RequestId(900), 0, Outcome::TimedOut, 800.0);
    harness.advance(Micros::from_ms(100.0));
    harness.assert_rules();
}

/// A streaming request is retried while its body is buffered completely; afterwards it gets its final response at once.
#[test]
fn exhausted_request_is_not_retried() {
    for (is_exhausted, retry_safety) in [
        (false, RetrySafety::AtMostOnce),
        (true, RetrySafety::AtMostOnce),
        (true, keyed(DedupScope::Zone, 5e3)),
    ] {
        let mut harness = Harness::new(settings(retry_safety), 3);
        harness.set_endpoints(fleet(4, 2, 2));
        harness.handle(streaming_request(900));
        if is_exhausted {
            harness.handle(Event::AttemptsExhausted { request: RequestId(900) });
        }
        let actions = harness.respond(RequestId(900), 0, Outcome::ConnectFailed, 1.0).to_vec();
        assert_eq!(sent_in(&actions, RequestId(900)).is_some(), !is_exhausted);
        assert_eq!(is_shed(&actions, RequestId(900)), is_exhausted, "it never ran");
    }
}

/// An attempt that outlives its request keeps the slot of its server, although the server does not count it as in flight.
#[test]
fn attempt_outlives_disconnected_streaming_request() {
    let mut harness = Harness::new(settings(RetrySafety::Idempotent), 1);
    harness.set_endpoints(fleet(2, 1, 1));
    harness.handle(streaming_request(900));
    let server = harness.sent_to(RequestId(900)).expect("it is sent");
    harness.handle(Event::ClientDisconnected { request: RequestId(900) });
    let removed = |id: u32| Endpoint { status: Status::Removed, ..Endpoint::serving(ServerId(id)) };
    harness.handle(Event::Endpoints(EndpointUpdate::Delta(vec![removed(server.0)])));
    harness.advance(Micros::from_ms(30_000.0));
    harness.handle(Event::Endpoints(EndpointUpdate::Delta(vec![Endpoint::serving(ServerId(77))])));
    harness.respond(RequestId(900), 0, Outcome::ConnectionReset, 1.0);
    let (_, sent) = harness.request(0);
    assert!(sent.is_some_and(|sent| sent != server));
    harness.assert_rules();
}

/// Pending requests keep their class and their number of attempts; later requests have the new settings.
#[test]
fn pending_requests_keep_their_limits_after_reconfiguration() {
    let old = Settings { max_attempts: 1, ..settings(keyed(DedupScope::All, 5e3)) };
    let mut harness = Harness::new(old.clone(), 1);
    harness.set_endpoints(fleet(4, 1, 1));
    let (pending, _) = harness.request(0);
    let classes = vec![old.classes[0].clone(), class(RetrySafety::AtMostOnce)];
    let new = Settings { classes, max_attempts: 3, ..old };
    harness.balancer.reconfigure(new.clone(), &[(1, Some(0))]).expect("usable settings");
    harness.observer.settings = new;
    let actions = harness.respond(pending, 0, Outcome::ConnectionReset, 1.0).to_vec();
    assert_eq!(sent_in(&actions, pending), None, "one attempt was allowed when it arrived");
    let (later, _) = harness.request(0);
    let actions = harness.respond(later, 0, Outcome::ConnectionReset, 1.0).to_vec();
    assert!(sent_in(&actions, later).is_some());
    let (unsafe_request, _) = harness.request(1);
    let actions = harness.respond(unsafe_request, 0, Outcome::ConnectionReset, 1.0).to_vec();
    assert_eq!(sent_in(&actions, unsafe_request), None, "the retry safety of the new class applies");
    let invalid = Settings { classes: Vec::new(), ..harness.observer.settings.clone() };
    assert_eq!(harness.balancer.reconfigure(invalid, &[]), Err(SettingsError::NoClasses));
    assert_eq!(harness.balancer.settings().max_attempts, 3, "nothing has changed");
}
