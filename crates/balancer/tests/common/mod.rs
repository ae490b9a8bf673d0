//! Test utilities: an observer that checks a balancer against the four rules, a harness around a balancer, and builders.
#![allow(dead_code, missing_docs, unused_imports)]

mod harness;
mod observer;
mod route;

pub use harness::Harness;
pub use observer::Observer;
pub use route::{budget, limits, route_settings, RouteHarness};

use bellcroft_balancer::*;

/// The server to which these actions send a request.
pub fn sent_in(actions: &[Action], id: RequestId) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { request, server, .. } if *request == id => Some(*server),
        _ => None,
    })
}

pub fn is_shed(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Shed { request, .. } if *request == id))
}

pub fn is_failed(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { request } if *request == id))
}

/// `n` warm servers, server `i` in zone `i % zones` and deduplication group `i % groups`.
pub fn fleet(n: u32, zones: u32, groups: u32) -> Vec<Endpoint> {
    (0..n)
        .map(|i| Endpoint {
            zone: ZoneId(i % zones),
            dedup_group: DedupGroupId(i % groups),
            ..Endpoint::serving(ServerId(i))
        })
        .collect()
}

pub fn class(retry_safety: RetrySafety) -> Class {
    Class {
        retry_safety,
        latency_objective: Micros::from_ms(200.0),
        deadline: Micros::from_ms(800.0),
        ..Class::default()
    }
}

pub fn keyed(scope: DedupScope, window_ms: f64) -> RetrySafety {
    RetrySafety::Deduplicated { scope, window: Micros::from_ms(window_ms) }
}
