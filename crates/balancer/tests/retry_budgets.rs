//! Retry budgets of routes and of pools that routes share.
mod common;
use bellcroft_balancer::*;
use common::*;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Requests of two routes with a budget each and one that they share: neither a route nor both together exceed theirs.
#[test]
fn retry_budgets_of_route_and_pool_hold() {
    let mut route = RouteHarness::new(8);
    let pool = budget(3, 0.0, 3.0);
    let routes = [1, 2].map(|id| limits(|l| l.retry_budgets = vec![budget(id, 0.0, 2.0), pool]));
    let mut spent = [0, 0];
    for (place, route_limits) in routes.iter().enumerate() {
        for outcome in [Outcome::Rejected, Outcome::ServerError, Outcome::ConnectFailed, Outcome::Rejected] {
            let (id, _) = route.request(0, route_limits, None);
            if route.respond(id, 0, outcome).is_some() {
                spent[place] += 1;
                route.harness.respond(id, 1, Outcome::Success, 10.0);
            }
        }
    }
    assert_eq!(spent, [2, 1], "two by the first route's budget, and one left in the shared one");
    route.harness.assert_rules();
}

/// The maximum of retries per window of a second, the requests in it, and all retries, while the fleet fails for a while.
fn storm(limits: &Arc<Limits>, copy: Option<f64>) -> (usize, f64, usize) {
    let mut route = RouteHarness::new(10);
    let mut out: VecDeque<(Time, RequestId, u32)> = VecDeque::new();
    let mut attempts: BTreeMap<RequestId, u32> = BTreeMap::new();
    let (mut extra, mut asked): (Vec<Time>, Vec<Time>) = (Vec::new(), Vec::new());
    let mut take = |now: Time, actions: &[Action], out: &mut VecDeque<_>, extra: &mut Vec<Time>| {
        for action in actions {
            if let Action::Send { request, .. } = action {
                let n = attempts.entry(*request).or_insert(0);
                out.push_back((now + Micros::from_ms(150.0), *request, *n));
                if *n > 0 {
                    extra.push(now);
                }
                *n += 1;
            }
        }
    };
    for step in 0..8000_u32 {
        let actions = route.harness.advance(Micros::from_ms(1.0));
        take(route.harness.now, &actions, &mut out, &mut extra);
        if step % 5 == 0 {
            route.request(0, limits, copy);
            asked.push(route.harness.now);
            let actions = route.harness.actions.clone();
            take(route.harness.now, &actions, &mut out, &mut extra);
        }
        while out.front().is_some_and(|(at, ..)| *at <= route.harness.now) {
            let (_, id, attempt) = out.pop_front().expect("there is one");
            let slow = (2000..6000).contains(&step);
            let outcome = if slow { Outcome::ServerError } else { Outcome::Success };
            route.harness.respond(id, attempt, outcome, 150.0);
            let actions = route.harness.actions.clone();
            take(route.harness.now, &actions, &mut out, &mut extra);
        }
    }
    route.harness.assert_rules();
    let window = Micros::from_ms(1000.0);
    let within = |times: &[Time], from: Time| {
        times.iter().filter(|at| **at >= from && at.since(from) < window).count()
    };
    let worst =
        extra.iter().map(|from| (within(&extra, *from), within(&asked, *from))).max().unwrap_or_default();
    (worst.0, worst.1 as f64, extra.len())
}

/// No retry storm: no window has more retries than its requests earn plus the burst. As a control, the same with a budget
/// that is practically unlimited.
#[test]
fn retries_stay_within_budget_in_any_window() {
    let (ratio, burst) = (0.1, 5.0);
    let kept = limits(|l| l.retry_budgets.push(budget(1, ratio, burst)));
    let (worst, asked, all) = storm(&kept, Some(100.0));
    assert!(worst as f64 <= ratio * asked + burst + 1.0, "{worst} of {asked}");
    assert!(all > 20, "{all}: too few retries");
    let loose = limits(|l| l.retry_budgets.push(budget(1, 1.0, 1e6)));
    let (storm, ..) = storm(&loose, Some(100.0));
    assert!(storm > 2 * worst, "{storm} without a budget, {worst} with one");
}
