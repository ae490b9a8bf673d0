//! The state of finished requests is released, so that memory does not grow with the number of requests.
mod common;
use bellcroft_balancer::*;
use common::*;

/// The resident memory of this process in KiB; `None` if the system does not provide it.
fn resident() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/status").ok()?;
    text.lines().find(|l| l.starts_with("VmRSS"))?.split_whitespace().nth(1)?.parse().ok()
}

#[test]
fn memory_does_not_grow_with_requests() {
    let settings =
        Settings { classes: vec![class(RetrySafety::Idempotent)], key_affinity: true, ..Settings::default() };
    let mut balancer = Balancer::new(settings, 1).unwrap();
    let mut actions = Vec::new();
    let mut now = Time::from_ms(1000.0);
    balancer.start(now, &mut actions);
    balancer.handle(now, Event::Endpoints(EndpointUpdate::Snapshot(fleet(6, 2, 2))), &mut actions);
    let mut serve = |from: u64, count: u64| {
        for id in from..from + count {
            now = now + Micros::from_ms(5.0);
            actions.clear();
            let mut request = Request::new(RequestId(id), ClassId(0), Micros::from_ms(800.0));
            request.key = Some(KeyId(id));
            balancer.handle(now, Event::Request(request), &mut actions);
            assert!(actions.iter().any(|a| matches!(a, Action::Send { .. })), "request {id} was not sent");
            let outcome = Event::Outcome {
                request: RequestId(id),
                attempt: AttemptNo(0),
                outcome: Outcome::Success,
                elapsed: Micros::from_ms(20.0),
                report: None,
                is_final: true,
            };
            balancer.handle(now, outcome, &mut actions);
        }
    };
    serve(0, 50_000);
    let Some(before) = resident() else { return };
    serve(50_000, 400_000);
    let grown = resident().expect("available before").saturating_sub(before);
    assert!(grown < 16 * 1024, "{grown} KiB more after 400,000 further requests");
}
