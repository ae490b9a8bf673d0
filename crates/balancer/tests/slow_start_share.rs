//! Rule four: a server in slow start receives no more than its share.
mod common;
use bellcroft_balancer::*;
use common::*;

fn settings() -> Settings {
    Settings {
        classes: vec![class(RetrySafety::Idempotent)],
        initial_capacity: 0.2,
        slow_start_window: Micros::from_ms(10_000.0),
        overload_factor: 2.5,
        overload_tolerance: Micros::from_ms(1500.0),
        balancers: 3,
        ..Settings::default()
    }
}

/// Sends `per_s` requests per second for `ms`, each with a response after 20 ms; returns the sends to `server` and all sends.
fn load(harness: &mut Harness, per_s: f64, ms: f64, server: ServerId) -> (u32, u32) {
    let (mut to_server, mut all) = (0, 0);
    let mut in_flight: Vec<(Time, RequestId, u32)> = Vec::new();
    let end = harness.now + Micros::from_ms(ms);
    while harness.now < end {
        let (id, sent) = harness.request(0);
        if let Some(sent) = sent {
            all += 1;
            to_server += u32::from(sent == server);
            in_flight.push((harness.now + Micros::from_ms(20.0), id, 0));
        }
        harness.advance(Micros::from_ms(1000.0 / per_s));
        let now = harness.now;
        let due: Vec<_> = in_flight.iter().filter(|o| o.0 <= now).copied().collect();
        in_flight.retain(|o| o.0 > now);
        for (_, id, attempt) in due {
            harness.respond(id, attempt, Outcome::Success, 20.0);
        }
    }
    for (_, id, attempt) in in_flight {
        harness.respond(id, attempt, Outcome::Success, 20.0);
    }
    (to_server, all)
}

#[test]
fn server_in_slow_start_receives_its_share() {
    let mut harness = Harness::new(settings(), 4);
    let mut endpoints = fleet(6, 1, 1);
    endpoints[5].started_at = Some(harness.now);
    harness.set_endpoints(endpoints);
    let (slow_start, all) = load(&mut harness, 200.0, 1500.0, ServerId(5));
    let warm = f64::from(all - slow_start) / 5.0;
    assert!(f64::from(slow_start) <= 0.5 * warm, "{slow_start} sent in slow start, {warm} to a warm server");
    assert!(slow_start >= 1, "it receives some requests");
    load(&mut harness, 200.0, 8600.0, ServerId(5));
    let (then, all) = load(&mut harness, 200.0, 1500.0, ServerId(5));
    assert!(f64::from(then) > 0.5 * f64::from(all) / 6.0, "the server is warm: {then} of {all}");
    harness.assert_rules();
}

#[test]
fn second_restart_resets_slow_start() {
    let mut harness = Harness::new(settings(), 4);
    let mut endpoints = fleet(6, 1, 1);
    endpoints[5].started_at = Some(harness.now);
    harness.set_endpoints(endpoints.clone());
    load(&mut harness, 200.0, 8000.0, ServerId(5));
    endpoints[5].started_at = Some(harness.now);
    harness.handle(Event::Endpoints(EndpointUpdate::Delta(vec![endpoints[5].clone()])));
    let (slow_start, all) = load(&mut harness, 200.0, 1000.0, ServerId(5));
    assert!(f64::from(slow_start) <= 0.5 * f64::from(all - slow_start) / 5.0, "{slow_start} of {all}");
    harness.assert_rules();
}

#[test]
fn fleet_entirely_in_slow_start_serves() {
    for n in [1, 4] {
        let mut harness = Harness::new(settings(), 4);
        let start = harness.now;
        harness.set_endpoints(
            fleet(n, 1, 1).into_iter().map(|l| Endpoint { started_at: Some(start), ..l }).collect(),
        );
        let (_, all) = load(&mut harness, 20.0, 1000.0, ServerId(0));
        assert!(all > 10, "{all} sent");
        harness.assert_rules();
    }
}

/// Before the first response, the requests of the first seconds must not flood a fleet in slow start.
#[test]
fn fleet_in_slow_start_is_not_flooded() {
    let mut harness = Harness::new(settings(), 4);
    let start = harness.now;
    harness.set_endpoints(
        fleet(4, 1, 1).into_iter().map(|l| Endpoint { started_at: Some(start), ..l }).collect(),
    );
    let mut sent = 0;
    for _ in 0..200 {
        sent += u32::from(harness.request(0).1.is_some());
    }
    assert!(sent <= 8, "{sent} sent at once to four servers at a fifth of their capacity");
}

/// With a clock near zero, servers without a start time are not considered recently started.
#[test]
fn clock_near_zero_starts_no_slow_start() {
    let settings = settings();
    let mut balancer = Balancer::new(settings, 1).unwrap();
    let mut actions = Vec::new();
    balancer.start(Time(0), &mut actions);
    balancer.handle(Time(1), Event::Endpoints(EndpointUpdate::Snapshot(fleet(2, 1, 1))), &mut actions);
    for i in 0..4 {
        let request = Request::new(RequestId(i), ClassId(0), Micros::from_ms(800.0));
        balancer.handle(Time(2), Event::Request(request), &mut actions);
    }
    assert_eq!(actions.iter().filter(|a| matches!(a, Action::Send { .. })).count(), 4);
}
