//! Guards rule four: a server that has just started is sent its share only.
mod common;
use bellcroft_balancer::*;
use common::*;

fn settings() -> Settings {
    Settings {
        classes: vec![class(RetrySafety::Idempotent)],
        initial_capacity: 0.2,
        slow_start_window: Micros::from_ms(10_000.0),
        overload_factor: 2.5,
        fall_after: Micros::from_ms(1500.0),
        balancers: 3,
        ..Settings::default()
    }
}

/// Sends at `per_s` for `ms`, each answered after 20 ms; how many went to `server`, of how many.
fn load(testbed: &mut Rig, per_s: f64, ms: f64, server: ServerId) -> (u32, u32) {
    let (mut there, mut all) = (0, 0);
    let mut out: Vec<(Time, RequestId, u32)> = Vec::new();
    let end = testbed.now + Micros::from_ms(ms);
    while testbed.now < end {
        let (id, sent) = testbed.ask(0);
        if let Some(sent) = sent {
            all += 1;
            there += u32::from(sent == server);
            out.push((testbed.now + Micros::from_ms(20.0), id, 0));
        }
        testbed.wait(Micros::from_ms(1000.0 / per_s));
        let now = testbed.now;
        let due: Vec<_> = out.iter().filter(|o| o.0 <= now).copied().collect();
        out.retain(|o| o.0 > now);
        for (_, id, attempt) in due {
            testbed.answer(id, attempt, Outcome::Success, 20.0);
        }
    }
    for (_, id, attempt) in out {
        testbed.answer(id, attempt, Outcome::Success, 20.0);
    }
    (there, all)
}

#[test]
fn a_cold_server_gets_its_share_of_a_warm_ones_load() {
    let mut testbed = Rig::new(settings(), 4);
    let mut lines = fleet(6, 1, 1);
    lines[5].started_at = Some(testbed.now);
    testbed.list(lines);
    let (cold, all) = load(&mut testbed, 200.0, 1500.0, ServerId(5));
    let warm = f64::from(all - cold) / 5.0;
    assert!(f64::from(cold) <= 0.5 * warm, "cold {cold}, a warm one {warm}");
    assert!(cold >= 1, "it is not shut out either");
    load(&mut testbed, 200.0, 8600.0, ServerId(5));
    let (then, all) = load(&mut testbed, 200.0, 1500.0, ServerId(5));
    assert!(f64::from(then) > 0.5 * f64::from(all) / 6.0, "warm by then: {then} of {all}");
    testbed.assert_rules();
}

#[test]
fn a_second_restart_while_warming_starts_over() {
    let mut testbed = Rig::new(settings(), 4);
    let mut lines = fleet(6, 1, 1);
    lines[5].started_at = Some(testbed.now);
    testbed.list(lines.clone());
    load(&mut testbed, 200.0, 8000.0, ServerId(5));
    lines[5].started_at = Some(testbed.now);
    testbed.tell(Event::Endpoints(EndpointUpdate::Delta(vec![lines[5].clone()])));
    let (cold, all) = load(&mut testbed, 200.0, 1000.0, ServerId(5));
    assert!(f64::from(cold) <= 0.5 * f64::from(all - cold) / 5.0, "{cold} of {all}");
    testbed.assert_rules();
}

#[test]
fn a_fleet_that_is_all_cold_still_serves_and_a_lone_server_too() {
    for n in [1, 4] {
        let mut testbed = Rig::new(settings(), 4);
        let start = testbed.now;
        testbed.list(fleet(n, 1, 1).into_iter().map(|l| Endpoint { started_at: Some(start), ..l }).collect());
        let (_, all) = load(&mut testbed, 20.0, 1000.0, ServerId(0));
        assert!(all > 10, "{all} sent");
        testbed.assert_rules();
    }
}

/// With nothing answered, a cold fleet must not be flooded by the first seconds' arrivals.
#[test]
fn an_all_cold_fleet_is_paced_by_its_answers() {
    let mut testbed = Rig::new(settings(), 4);
    let start = testbed.now;
    testbed.list(fleet(4, 1, 1).into_iter().map(|l| Endpoint { started_at: Some(start), ..l }).collect());
    let mut sent = 0;
    for _ in 0..200 {
        sent += u32::from(testbed.ask(0).1.is_some());
    }
    assert!(sent <= 8, "{sent} sent at once to four servers at a fifth of their capacity");
}

/// The clock may start near zero; that is no restart.
#[test]
fn a_clock_near_zero_makes_no_server_cold() {
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
