//! Slow start: the capacity of recently started servers and their share of the load, and the estimate of a request's work.

use super::tuning::*;
use crate::api::*;
use crate::state::*;

/// Fraction of the overload factor that is used while all servers are in slow start, because bursts may double the load.
const SLOW_START_FLEET_FACTOR: f64 = 0.5;
/// Lower bound of a class's usual latency, which is used as a divisor, in milliseconds.
const MIN_USUAL_MS: f64 = 0.001;

/// Load of the fleet and its limit while servers are in slow start.
pub(crate) struct SlowStart {
    /// Number of serving servers past slow start.
    pub(super) warm_servers: usize,
    /// Work sent to a warm server on average, in milliseconds.
    work_per_warm_server: DecayingSum,
    /// Fraction of the requests that the fleet can serve; 1 or more if slow start does not limit it.
    pub(super) admitted_fraction: f64,
}

impl Default for SlowStart {
    fn default() -> Self {
        SlowStart { warm_servers: 0, work_per_warm_server: DecayingSum::default(), admitted_fraction: 1.0 }
    }
}

impl SlowStart {
    pub(super) fn record_warm_work(&mut self, now: Time, time_constant_ms: f64, work_ms: f64) {
        self.work_per_warm_server.add(now, time_constant_ms, work_ms / self.warm_servers.max(1) as f64);
    }

    /// Whether this request would give a server in slow start more than its share of the work that a warm server receives.
    /// Concurrency limits do not ensure this: they may reduce the load of the warm servers, and all balancers together must
    /// not overload the one in slow start.
    pub(super) fn exceeds_share(
        &self,
        now: Time,
        server: &Server,
        guaranteed_capacity: f64,
        work_ms: f64,
    ) -> bool {
        let share = guaranteed_capacity * self.work_per_warm_server.value_at(now);
        guaranteed_capacity < 1.0
            && self.warm_servers > 0
            && server.slow_start_work.value_at(now) + work_ms > share
    }
}

impl Balancer {
    /// The fraction of its full capacity that a server is guaranteed to have reached; 1 after slow start.
    pub(super) fn guaranteed_capacity(&self, server: &Server, now: Time) -> f64 {
        let Some(started_at) = server.endpoint.started_at else { return 1.0 };
        let (age_ms, window_ms) = (now.since(started_at).ms(), self.settings.slow_start_window.ms());
        if age_ms >= window_ms {
            return 1.0;
        }
        let initial = self.settings.initial_capacity.min(1.0);
        initial + (1.0 - initial) * age_ms / window_ms
    }

    /// Updates the number of warm servers and the fraction of requests that the fleet can serve. While most servers are in
    /// slow start, the requests of all balancers may exceed the capacity of the fleet, however they are distributed.
    pub(super) fn update_slow_start(&mut self, now: Time) {
        let capacities =
            self.serving.iter().map(|&server| self.guaranteed_capacity(&self.servers[server], now));
        let (warm_servers, total) = capacities.fold((0, 0.0), |(warm, total), guaranteed_capacity| {
            (warm + usize::from(guaranteed_capacity >= 1.0), total + guaranteed_capacity)
        });
        let average = if self.serving.is_empty() { 1.0 } else { total / self.serving.len() as f64 };
        let all_in_slow_start = warm_servers == 0 && total > 0.0 && self.settings.balancers > FEW_BALANCERS;
        let factor =
            self.settings.overload_factor * if all_in_slow_start { SLOW_START_FLEET_FACTOR } else { 1.0 };
        self.slow_start.warm_servers = warm_servers;
        self.slow_start.admitted_fraction =
            if self.is_sparse || all_in_slow_start { average * factor } else { 1.0 };
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
