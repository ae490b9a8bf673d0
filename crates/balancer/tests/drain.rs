//! Rule three: draining and removed servers receive no new requests.
mod common;
use bellcroft_balancer::*;
use common::*;

fn assert_drained(update: impl Fn(Vec<Endpoint>) -> EndpointUpdate) {
    let settings = Settings { classes: vec![class(RetrySafety::Idempotent)], ..Settings::default() };
    let mut harness = Harness::new(settings, 2);
    harness.set_endpoints(fleet(2, 1, 1));
    harness.handle(Event::Endpoints(update(fleet(2, 1, 1))));
    for _ in 0..50 {
        let (id, sent) = harness.request(0);
        assert_eq!(sent, Some(ServerId(1)));
        harness.advance(Micros::from_ms(10.0));
        harness.respond(id, 0, Outcome::Success, 10.0);
    }
    harness.assert_rules();
}

#[test]
fn delta_stops_sends_to_draining_and_removed() {
    for status in [Status::Draining, Status::Removed] {
        assert_drained(|endpoints| EndpointUpdate::Delta(vec![Endpoint { status, ..endpoints[0].clone() }]));
    }
}

#[test]
fn server_missing_from_snapshot_receives_nothing() {
    assert_drained(|endpoints| EndpointUpdate::Snapshot(endpoints[1..].to_vec()));
}

#[test]
fn last_of_duplicate_entries_applies() {
    assert_drained(|endpoints| {
        let draining = Endpoint { status: Status::Draining, ..endpoints[0].clone() };
        EndpointUpdate::Snapshot(vec![endpoints[0].clone(), endpoints[1].clone(), draining])
    });
}

#[test]
fn failed_watch_is_retried_and_list_kept() {
    let settings = Settings {
        discovery: Discovery::OnRequest,
        classes: vec![class(RetrySafety::Idempotent)],
        ..Settings::default()
    };
    let mut harness = Harness::new(settings, 2);
    assert!(
        harness.actions.contains(&Action::Watch { active: true }),
        "the watch must be open from the start"
    );
    harness.set_endpoints(fleet(2, 1, 1));
    let mut watches = 0;
    for _ in 0..5 {
        harness.handle(Event::Endpoints(EndpointUpdate::Failed));
        let (id, sent) = harness.request(0);
        assert!(sent.is_some());
        harness.respond(id, 0, Outcome::Success, 10.0);
        let actions = harness.advance(Micros::from_ms(5000.0));
        watches += actions.iter().filter(|a| **a == Action::Watch { active: true }).count();
    }
    assert_eq!(watches, 5, "one retry after each failure, within half of the poll interval");
    harness.assert_rules();
}
