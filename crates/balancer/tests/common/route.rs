//! Requests with the limits of a route.

use super::*;
use std::sync::Arc;

/// Id of the first request; ids of the inner harness start at 0.
const FIRST_REQUEST: u64 = 1_000_000;

/// Settings with an idempotent class, one whose requests must not run twice, and one that is deduplicated within a zone.
pub fn route_settings() -> Settings {
    Settings {
        classes: vec![
            Class {
                deadline: Micros::from_ms(5000.0),
                latency_objective: Micros::from_ms(2000.0),
                ..class(RetrySafety::Idempotent)
            },
            Class {
                deadline: Micros::from_ms(5000.0),
                latency_objective: Micros::from_ms(2000.0),
                ..class(RetrySafety::AtMostOnce)
            },
            Class {
                deadline: Micros::from_ms(5000.0),
                latency_objective: Micros::from_ms(2000.0),
                ..class(keyed(DedupScope::Zone, 3000.0))
            },
        ],
        max_attempts: 5,
        hedging: true,
        ..Settings::default()
    }
}

/// A harness whose requests carry the limits of a route.
pub struct RouteHarness {
    pub harness: Harness,
    next_request: u64,
}

impl RouteHarness {
    pub fn new(servers: u32) -> Self {
        let mut harness = Harness::new(route_settings(), 9);
        harness.set_endpoints(fleet(servers, 2, 2));
        RouteHarness { harness, next_request: FIRST_REQUEST }
    }

    /// Submits a request with these limits; returns its id and the server that it was sent to, if any.
    pub fn request(
        &mut self,
        class: usize,
        limits: &Arc<Limits>,
        hedge_after_ms: Option<f64>,
    ) -> (RequestId, Option<ServerId>) {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let time_left = self.harness.observer.settings.classes[class].deadline;
        let request = Request {
            limits: Some(limits.clone()),
            hedge_after: hedge_after_ms.map(Micros::from_ms),
            ..Request::new(id, ClassId(class), time_left)
        };
        self.harness.handle(Event::Request(request));
        (id, self.harness.sent_to(id))
    }

    /// Reports the outcome of an attempt; returns the server that the request is sent to next, if any.
    pub fn respond(&mut self, id: RequestId, attempt: u32, outcome: Outcome) -> Option<ServerId> {
        self.harness.respond(id, attempt, outcome, 10.0);
        self.harness.sent_to(id)
    }
}

/// The standard limits with one change.
pub fn limits(change: impl FnOnce(&mut Limits)) -> Arc<Limits> {
    let mut limits = Limits::STANDARD;
    change(&mut limits);
    Arc::new(limits)
}

pub fn budget(id: u32, ratio: f64, burst: f64) -> RetryBudget {
    RetryBudget { id, ratio, burst, strict: true }
}
