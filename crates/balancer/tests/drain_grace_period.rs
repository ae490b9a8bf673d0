//! An attempt starts so soon after its decision that the drain grace period also covers a stall of the process.

use bellcroft_balancer::*;

/// Longest stall of the process, between reading the clock and writing to the connection, that must be covered.
const MAX_STALL: Micros = Micros(150_000);

/// Maximum delay between the decision and the start of an attempt with this grace period.
fn max_start_delay(grace: Micros) -> Micros {
    let class = Class {
        latency_objective: Micros::from_ms(8_000.0),
        deadline: Micros::from_ms(9_000.0),
        ..Class::default()
    };
    let settings = Settings { classes: vec![class], drain_grace_period: grace, ..Settings::default() };
    let mut balancer = Balancer::new(settings, 7).expect("valid settings");
    let (now, mut actions) = (Time::from_ms(1_000.0), Vec::new());
    let servers = vec![Endpoint::serving(ServerId(0)), Endpoint::serving(ServerId(1))];
    balancer.handle(now, Event::Endpoints(EndpointUpdate::Snapshot(servers)), &mut actions);
    let request = Request::new(RequestId(1), ClassId(0), Micros::from_ms(9_000.0));
    balancer.handle(now, Event::Request(request), &mut actions);
    let sent = actions.iter().find_map(|action| match action {
        Action::Send { write_by, .. } => Some(write_by.since(now)),
        _ => None,
    });
    sent.expect("it is sent")
}

#[test]
fn grace_period_covers_process_stall() {
    for ms in [200.0, 250.0, 500.0, 1_000.0, 2_000.0] {
        let grace = Micros::from_ms(ms);
        let latest = max_start_delay(grace).ms() + MAX_STALL.ms();
        assert!(
            latest <= grace.ms(),
            "{ms} ms: an attempt may start {latest} ms after its server started draining"
        );
    }
}

/// A short grace period can't cover a stall; an attempt still has time to connect.
#[test]
fn short_grace_period_leaves_time_to_connect() {
    for (ms, expected) in [(160.0, 50.0), (100.0, 50.0), (40.0, 40.0)] {
        assert_eq!(max_start_delay(Micros::from_ms(ms)).ms(), expected, "{ms} ms");
    }
}
