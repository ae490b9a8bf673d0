//! The observer that the other tests use reports each kind of violation.
mod common;
use bellcroft_balancer::*;
use common::*;

fn observe_one_request(retry_safety: RetrySafety) -> (Observer, Time) {
    let settings = Settings {
        classes: vec![class(retry_safety)],
        initial_capacity: 0.2,
        slow_start_window: Micros::from_ms(10_000.0),
        ..Settings::default()
    };
    let now = Time::from_ms(1000.0);
    let mut observer = Observer::new(&settings);
    observer.event(now, &Event::Endpoints(EndpointUpdate::Snapshot(fleet(4, 2, 4))));
    observer.event(now, &Event::Request(Request::new(RequestId(1), ClassId(0), Micros::from_ms(800.0))));
    (observer, now)
}

fn send(server: u32, now: Time) -> Action {
    let timeout_at = now + Micros::from_ms(1.0);
    Action::Send {
        request: RequestId(1),
        attempt: AttemptNo(0),
        server: ServerId(server),
        timeout_at,
        write_by: timeout_at,
    }
}

fn outcome_event(outcome: Outcome, attempt: u32) -> Event {
    Event::Outcome {
        request: RequestId(1),
        attempt: AttemptNo(attempt),
        outcome,
        elapsed: Micros::from_ms(1.0),
        report: None,
        is_final: false,
    }
}

fn assert_reported(observer: &Observer, text: &str) {
    assert!(observer.violations.iter().any(|f| f.contains(text)), "{text}: {:?}", observer.violations);
}

#[test]
fn observer_reports_missing_late_and_second_responses() {
    let (mut o, now) = observe_one_request(RetrySafety::Idempotent);
    assert_eq!(o.overdue_responses(now + Micros::from_ms(900.0)), 1);
    o.action(now, &Action::Shed { request: RequestId(1), retry_after: None });
    assert!(o.violations.is_empty());
    o.action(now, &send(0, now));
    assert_reported(&o, "sent after its final response");
    o.action(now, &Action::Fail { request: RequestId(1) });
    assert_reported(&o, "second final response");
    let (mut o, now) = observe_one_request(RetrySafety::Idempotent);
    o.action(now + Micros::from_ms(850.0), &Action::Fail { request: RequestId(1) });
    assert_reported(&o, "final response too late");
}

#[test]
fn observer_reports_unsafe_retries() {
    let (mut o, now) = observe_one_request(RetrySafety::AtMostOnce);
    o.action(now, &send(0, now));
    o.action(now, &send(1, now));
    assert_reported(&o, "two attempts in flight without hedging");
    o.event(now, &outcome_event(Outcome::ServerError, 0));
    assert_reported(&o, "must not be sent again");
    o.action(now, &Action::Shed { request: RequestId(1), retry_after: None });
    assert_reported(&o, "shed although it may have run");

    let (mut o, now) = observe_one_request(keyed(DedupScope::Zone, 100.0));
    o.action(now, &send(0, now));
    o.event(now, &outcome_event(Outcome::TimedOut, 0));
    o.action(now, &send(2, now));
    assert!(o.violations.is_empty(), "{:?}", o.violations);
    o.event(now, &outcome_event(Outcome::TimedOut, 1));
    o.action(now, &send(1, now));
    assert_reported(&o, "outside its deduplication scope");
    let late = now + Micros::from_ms(150.0);
    o.event(late, &outcome_event(Outcome::TimedOut, 2));
    o.action(late, &send(0, late));
    assert_reported(&o, "must not be sent again");
}

#[test]
fn observer_reports_drain_and_slow_start_violations() {
    let (mut o, now) = observe_one_request(RetrySafety::Idempotent);
    let endpoint = Endpoint { status: Status::Draining, ..Endpoint::serving(ServerId(0)) };
    o.event(now, &Event::Endpoints(EndpointUpdate::Delta(vec![endpoint])));
    let later = now + Micros::from_ms(1100.0);
    o.event(later, &Event::Request(Request::new(RequestId(2), ClassId(0), Micros::from_ms(800.0))));
    let timeout_at = later + Micros::from_ms(1.0);
    o.action(
        later,
        &Action::Send {
            request: RequestId(2),
            attempt: AttemptNo(0),
            server: ServerId(0),
            timeout_at,
            write_by: timeout_at,
        },
    );
    assert_reported(&o, "draining or removed");

    let (mut o, now) = observe_one_request(RetrySafety::Idempotent);
    let endpoint = Endpoint { started_at: Some(now), ..Endpoint::serving(ServerId(0)) };
    o.event(now, &Event::Endpoints(EndpointUpdate::Delta(vec![endpoint])));
    let later = now + observation_window();
    for (id, now) in (2..13).map(|id| (id, if id == 2 { now } else { later })) {
        o.event(now, &Event::Request(Request::new(RequestId(id), ClassId(0), Micros::from_ms(800.0))));
        o.action(
            now,
            &Action::Send {
                request: RequestId(id),
                attempt: AttemptNo(0),
                server: ServerId(0),
                timeout_at: now,
                write_by: now,
            },
        );
    }
    assert_reported(&o, "in slow start");
}

/// The window without changes of the fleet after which the observer checks slow start.
fn observation_window() -> Micros {
    Settings::default().overload_tolerance
}
