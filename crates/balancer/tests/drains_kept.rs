//! Guards rule three: nothing new goes to a server that drains or is gone.
mod common;
use bellcroft_balancer::*;
use common::*;

fn drained(update: impl Fn(Vec<Endpoint>) -> EndpointUpdate) {
    let settings = Settings { classes: vec![class(RetrySafety::Idempotent)], ..Settings::default() };
    let mut testbed = Rig::new(settings, 2);
    testbed.list(fleet(2, 1, 1));
    testbed.tell(Event::Endpoints(update(fleet(2, 1, 1))));
    for _ in 0..50 {
        let (id, sent) = testbed.ask(0);
        assert_eq!(sent, Some(ServerId(1)));
        testbed.wait(Micros::from_ms(10.0));
        testbed.answer(id, 0, Outcome::Success, 10.0);
    }
    testbed.assert_rules();
}

#[test]
fn draining_and_gone_by_change() {
    for status in [Status::Draining, Status::Gone] {
        drained(|lines| EndpointUpdate::Delta(vec![Endpoint { status, ..lines[0].clone() }]));
    }
}

#[test]
fn left_out_of_a_complete_list() {
    drained(|lines| EndpointUpdate::Snapshot(lines[1..].to_vec()));
}

#[test]
fn the_last_of_two_lines_for_a_server_counts() {
    drained(|lines| {
        let gone = Endpoint { status: Status::Draining, ..lines[0].clone() };
        EndpointUpdate::Snapshot(vec![lines[0].clone(), lines[1].clone(), gone])
    });
}

#[test]
fn a_failed_call_for_the_list_is_repeated_and_the_old_list_stands() {
    let settings = Settings {
        discovery: Discovery::OnRequest,
        classes: vec![class(RetrySafety::Idempotent)],
        ..Settings::default()
    };
    let mut testbed = Rig::new(settings, 2);
    assert!(testbed.actions.contains(&Action::Watch { active: true }), "followed from the start");
    testbed.list(fleet(2, 1, 1));
    let mut asked = 0;
    for _ in 0..5 {
        testbed.tell(Event::Endpoints(EndpointUpdate::Failed));
        let (id, sent) = testbed.ask(0);
        assert!(sent.is_some());
        testbed.answer(id, 0, Outcome::Success, 10.0);
        let actions = testbed.wait(Micros::from_ms(5000.0));
        asked += actions.iter().filter(|a| **a == Action::Watch { active: true }).count();
    }
    assert_eq!(asked, 5, "one more call after each failure, within half of what the site asks");
    testbed.assert_rules();
}
