//! Hedged requests.
mod common;
use bellcroft_balancer::*;
use common::*;
use std::sync::Arc;

#[test]
fn hedged_request_uses_another_server_and_loser_is_cancelled() {
    let mut route = RouteHarness::new(4);
    let (id, first) = route.request(0, &Arc::new(Limits::STANDARD), Some(50.0));
    assert!(sent_in(&route.harness.advance(Micros::from_ms(49.0)), id).is_none(), "hedged too early");
    let second = sent_in(&route.harness.advance(Micros::from_ms(2.0)), id);
    assert!(second.is_some() && second != first, "{first:?} {second:?}");
    assert!(
        sent_in(&route.harness.advance(Micros::from_ms(200.0)), id).is_none(),
        "no second hedged request"
    );
    route.harness.respond(id, 1, Outcome::Success, 20.0);
    let cancel = Action::Cancel { request: id, attempt: AttemptNo(0) };
    assert!(route.harness.actions.contains(&cancel), "{:?}", route.harness.actions);
    route.harness.respond(id, 0, Outcome::Cancelled, 250.0);
    route.harness.assert_rules();
}

#[test]
fn unsafe_or_unaffordable_request_is_not_hedged() {
    // A request that must not run twice is not hedged; one that is deduplicated in its zone stays there.
    let mut route = RouteHarness::new(6);
    let (id, _) = route.request(1, &Arc::new(Limits::STANDARD), Some(50.0));
    assert!(sent_in(&route.harness.advance(Micros::from_ms(300.0)), id).is_none());
    let (id, first) = route.request(2, &Arc::new(Limits::STANDARD), Some(50.0));
    let hedged_to = sent_in(&route.harness.advance(Micros::from_ms(60.0)), id).expect("it is hedged");
    assert_eq!(first.map(|s| s.0 % 2), Some(hedged_to.0 % 2));
    // The only server already has the first attempt.
    let mut route = RouteHarness::new(1);
    let (id, _) = route.request(0, &Arc::new(Limits::STANDARD), Some(50.0));
    assert!(sent_in(&route.harness.advance(Micros::from_ms(60.0)), id).is_none());
    // The hedge budget is used up.
    let mut route = RouteHarness::new(6);
    let one_hedge =
        limits(|l| l.hedge_budgets.push(RetryBudget { id: 5, ratio: 0.0, burst: 1.0, strict: true }));
    let hedged = (0..4).filter(|_| {
        let (id, _) = route.request(0, &one_hedge, Some(50.0));
        let is_hedged = sent_in(&route.harness.advance(Micros::from_ms(60.0)), id).is_some();
        for attempt in 0..=u32::from(is_hedged) {
            route.harness.respond(id, attempt, Outcome::Success, 60.0);
        }
        is_hedged
    });
    assert_eq!(hedged.count(), 1);
    // A request is queued: a hedged request would add to the queue.
    let mut route = RouteHarness::new(6);
    let (id, _) = route.request(0, &Arc::new(Limits::STANDARD), Some(50.0));
    let full =
        limits(|l| l.concurrency_limits.push(ConcurrencyLimit { id: 9, max_in_flight: 1, max_queued: 10 }));
    assert!(route.request(0, &full, None).1.is_some());
    assert!(route.request(0, &full, None).1.is_none());
    assert!(sent_in(&route.harness.advance(Micros::from_ms(60.0)), id).is_none());
}
