//! Slow start: the capacity of recently started servers, and how a request's work is estimated.

use super::tuning::*;
use crate::api::*;
use crate::state::*;

/// The fraction of the overload threshold that is used while no server is warm: bursts may double the load.
const SLOW_START_FLEET_FACTOR: f64 = 0.5;
/// The lower bound of a class's usual latency, which is a divisor, in milliseconds.
const MIN_USUAL_MS: f64 = 0.001;

/// What the fleet can take while servers are in slow start.
pub(crate) struct SlowStart {
    /// The number of serving servers past slow start.
    pub(super) warm_servers: usize,
    /// The work sent to each warm server on average, in milliseconds.
    warm_work: DecayingSum,
    /// The fraction of requests that the fleet can take; 1 or more where slow start is no limit.
    pub(super) admitted: f64,
}

impl Default for SlowStart {
    fn default() -> Self {
        SlowStart { warm_servers: 0, warm_work: DecayingSum::default(), admitted: 1.0 }
    }
}

impl SlowStart {
    pub(super) fn record_warm_work(&mut self, now: Time, window_ms: f64, work_ms: f64) {
        self.warm_work.add(now, window_ms, work_ms / self.warm_servers.max(1) as f64);
    }

    /// Whether a server in slow start would be sent more than its share of what a warm one is sent. The warm ones may be
    /// held back by their limits; the sum of all balancers must not overload it nevertheless.
    pub(super) fn exceeds_share(&self, now: Time, server: &Server, warmth: f64, work_ms: f64) -> bool {
        let share = warmth * self.warm_work.at(now);
        warmth < 1.0 && self.warm_servers > 0 && server.slow_start_work.at(now) + work_ms > share
    }
}

impl Balancer {
    /// The guaranteed fraction of its capacity that a server has reached; 1 after slow start.
    pub(super) fn warmth(&self, server: &Server, now: Time) -> f64 {
        let Some(started_at) = server.endpoint.started_at else { return 1.0 };
        let (age_ms, window_ms) = (now.since(started_at).ms(), self.settings.slow_start_window.ms());
        if age_ms >= window_ms {
            return 1.0;
        }
        let initial = self.settings.initial_capacity.min(1.0);
        initial + (1.0 - initial) * age_ms / window_ms
    }

    /// Counts the warm servers and updates the fraction of requests that the fleet can take. While most servers are in slow
    /// start, the requests of all balancers may exceed what they can take together, however they are distributed.
    pub(super) fn update_slow_start(&mut self, now: Time) {
        let warmths = self.serving.iter().map(|&server| self.warmth(&self.servers[server], now));
        let (warm_servers, total) = warmths
            .fold((0, 0.0), |(warm, total), warmth| (warm + usize::from(warmth >= 1.0), total + warmth));
        let average = if self.serving.is_empty() { 1.0 } else { total / self.serving.len() as f64 };
        let all_in_slow_start = warm_servers == 0 && total > 0.0 && self.settings.balancers > FEW_BALANCERS;
        let factor =
            self.settings.overload_factor * if all_in_slow_start { SLOW_START_FLEET_FACTOR } else { 1.0 };
        self.slow_start.warm_servers = warm_servers;
        self.slow_start.admitted = if self.sparse || all_in_slow_start { average * factor } else { 1.0 };
    }

    /// The usual latency of a class in milliseconds.
    pub(super) fn usual_ms(&self, class: usize) -> f64 {
        let objective_ms = self.settings.classes[class].latency_objective.ms();
        (self.classes[class].baseline_latency * objective_ms).max(MIN_USUAL_MS)
    }

    /// The estimated work of a request in milliseconds: its cost hint, or the usual latency of its class.
    pub(super) fn work_ms(&self, pending: &PendingRequest) -> f64 {
        let request = &pending.request;
        request.cost_hint.map_or_else(|| self.usual_ms(request.class.0), Micros::ms)
    }
}
