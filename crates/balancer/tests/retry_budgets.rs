//! Retry budgets of routes and of pools, which several routes share.
mod common;
use bellcroft_balancer::*;
use common::*;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Two routes have a budget each and share a third: neither a route nor both together exceed their budgets.
#[test]
fn retry_budgets_of_route_and_pool_hold() {
    let mut route = RouteHarness::new(8);
    let pool = budget(3, 0.0, 3.0);
    let routes = [1, 2].map(|id| limits(|l| l.retry_budgets = vec![budget(id, 0.0, 2.0), pool]));
    let mut retries = [0, 0];
    for (index, route_limits) in routes.iter().enumerate() {
        for outcome in [Outcome::Rejected, Outcome::ServerError, Outcome::ConnectFailed, Outcome::Rejected] {
            let (id, _) = route.request(0, route_limits, None);
            if route.respond(id, 0, outcome).is_some() {
                retries[index] += 1;
                route.harness.respond(id, 1, Outcome::Success, 10.0);
            }
        }
    }
    assert_eq!(retries, [2, 1], "two by the first route's budget, then one by the rest of the shared budget");
    route.harness.assert_rules();
}

/// Simulates a temporary failure of the fleet; returns the maximum number of retries in a window of one second, the requests in
/// that window, and the total number of retries.
fn retry_storm(limits: &Arc<Limits>, hedge_after_ms: Option<f64>) -> (usize, f64, usize) {
    let mut route = RouteHarness::new(10);
    let mut in_flight: VecDeque<(Time, RequestId, u32)> = VecDeque::new();
    let mut attempts: BTreeMap<RequestId, u32> = BTreeMap::new();
    let (mut retry_times, mut request_times): (Vec<Time>, Vec<Time>) = (Vec::new(), Vec::new());
    let mut record =
        |now: Time, actions: &[Action], in_flight: &mut VecDeque<_>, retry_times: &mut Vec<Time>| {
            for action in actions {
                if let Action::Send { request, .. } = action {
                    let n = attempts.entry(*request).or_insert(0);
                    in_flight.push_back((now + Micros::from_ms(150.0), *request, *n));
                    if *n > 0 {
                        retry_times.push(now);
                    }
                    *n += 1;
                }
            }
        };
    for step in 0..8000_u32 {
        let actions = route.harness.advance(Micros::from_ms(1.0));
        record(route.harness.now, &actions, &mut in_flight, &mut retry_times);
        if step % 5 == 0 {
            route.request(0, limits, hedge_after_ms);
            request_times.push(route.harness.now);
            let actions = route.harness.actions.clone();
            record(route.harness.now, &actions, &mut in_flight, &mut retry_times);
        }
        while in_flight.front().is_some_and(|(at, ..)| *at <= route.harness.now) {
            let (_, id, attempt) = in_flight.pop_front().expect("the queue is not empty");
            let slow = (2000..6000).contains(&step);
            let outcome = if slow { Outcome::ServerError } else { Outcome::Success };
            route.harness.respond(id, attempt, outcome, 150.0);
            let actions = route.harness.actions.clone();
            record(route.harness.now, &actions, &mut in_flight, &mut retry_times);
        }
    }
    route.harness.assert_rules();
    let window = Micros::from_ms(1000.0);
    let within = |times: &[Time], from: Time| {
        times.iter().filter(|at| **at >= from && at.since(from) < window).count()
    };
    let worst = retry_times
        .iter()
        .map(|from| (within(&retry_times, *from), within(&request_times, *from)))
        .max()
        .unwrap_or_default();
    (worst.0, worst.1 as f64, retry_times.len())
}

/// There is no retry storm: no window has more retries than its requests earn plus the burst. As a control, the same load
/// with a practically unlimited budget has many more.
#[test]
fn retries_stay_within_budget_in_any_window() {
    let (ratio, burst) = (0.1, 5.0);
    let limited = limits(|l| l.retry_budgets.push(budget(1, ratio, burst)));
    let (worst, requests, all) = retry_storm(&limited, Some(100.0));
    assert!(worst as f64 <= ratio * requests + burst + 1.0, "{worst} of {requests}");
    assert!(all > 20, "{all}: too few retries");
    let unlimited = limits(|l| l.retry_budgets.push(budget(1, 1.0, 1e6)));
    let (storm, ..) = retry_storm(&unlimited, Some(100.0));
    assert!(storm > 2 * worst, "{storm} with an unlimited budget, {worst} with a limited one");
}
