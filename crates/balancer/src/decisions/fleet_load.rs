//! The load of the fleet, from this balancer's own responses and from what its peers share. Latencies are fractions of the
//! latency objective.

use super::tuning::*;
use crate::api::*;
use crate::state::*;

/// A sparse balancer admits all requests up to this expected latency.
const FULL_ADMISSION_LATENCY: f64 = 0.38;
/// It admits next to none from this expected latency on.
const NO_ADMISSION_LATENCY: f64 = 0.65;
/// The usual latency is taken to be at most this: lasting congestion must not become the baseline.
const MAX_USUAL_LATENCY: f64 = 0.5;
/// Full admission holds at least up to this multiple of the usual latency: for some classes a high latency is normal.
const FULL_ADMISSION_MULTIPLE: f64 = 1.2;
/// Next to no admission holds at the earliest at this multiple of the usual latency.
const NO_ADMISSION_MULTIPLE: f64 = 1.7;
/// Time constant of the fleet's state in milliseconds; up to twice as much at a high request rate, which renews it.
const STATE_TIME_CONSTANT_MS: f64 = 250.0;
/// Time constant of the cost per request in flight, in milliseconds.
const COST_TIME_CONSTANT_MS: f64 = 2000.0;
/// The request rate per second from which on the time constant of the state is doubled.
const HIGH_REQUEST_RATE: f64 = 5.0;
/// The number of samples that weighs as much as the usual latency.
const PRIOR_SAMPLES: f64 = 1.0;
/// The maximum latency that a single sample's load may predict.
const MAX_PREDICTED_LATENCY: f64 = 1.2;
/// The number of own samples from which on peers' samples are limited to `MAX_LOAD_RATIO` times the own latency; with fewer,
/// the limit is up to three times as high.
const ENOUGH_OWN_SAMPLES: f64 = 2.0;
/// The range of the factor on that limit.
const OWN_SCARCITY: (f64, f64) = (1.0, 3.0);
/// The maximum ratio of the latency that the load predicts to the latency measured.
const MAX_LOAD_RATIO: f64 = 2.5;
/// Guards divisions by decayed counts.
const MIN_SAMPLES: f64 = 1e-3;
/// Guards divisions by decayed loads and costs.
const MIN_DIVISOR: f64 = 1e-9;

/// An estimate of the fleet's latency.
struct Estimate {
    /// The decayed number of samples that it is based on.
    samples: f64,
    /// The sum of the samples' latencies.
    latency_sum: f64,
}

/// Recent samples of the fleet's latency and load, for a sparse balancer.
#[derive(Default)]
pub(crate) struct FleetLoad {
    samples: DecayingSum,
    latency: DecayingSum,
    load: DecayingSum,
    /// Latencies and loads over a longer time; their quotient is the cost of a request in flight.
    cost_latency: DecayingSum,
    cost_load: DecayingSum,
    /// The state that the host has last aggregated over all balancers.
    shared: FleetState,
    shared_at: Time,
}

impl FleetLoad {
    pub(super) fn set_shared(&mut self, now: Time, state: FleetState) {
        (self.shared_at, self.shared) = (now, state);
    }

    /// The latency that one request in flight at a server has caused recently.
    fn cost(&self, now: Time) -> f64 {
        self.cost_latency.at(now) / self.cost_load.at(now).max(MIN_DIVISOR)
    }

    /// The estimate from this balancer's samples, or the shared one if that is based on more; it includes the own samples.
    fn estimate(&self, now: Time) -> Estimate {
        let own_samples = self.samples.at(now);
        let shared_samples =
            self.shared.weight * (-now.since(self.shared_at).ms() / STATE_TIME_CONSTANT_MS).exp();
        if shared_samples > own_samples {
            let latency_sum = shared_samples * self.bounded_shared_latency(now, own_samples);
            return Estimate { samples: shared_samples, latency_sum };
        }
        let predicted = self.load.at(now) * self.cost(now);
        Estimate { samples: own_samples, latency_sum: predicted.min(MAX_LOAD_RATIO * self.latency.at(now)) }
    }

    /// The latency by the shared state. Peers must not outweigh several own responses.
    fn bounded_shared_latency(&self, now: Time, own_samples: f64) -> f64 {
        let own_latency = if own_samples > 0.0 {
            let own_samples = own_samples.max(MIN_SAMPLES);
            let (min, max) = OWN_SCARCITY;
            self.latency.at(now) / own_samples * (ENOUGH_OWN_SAMPLES / own_samples).clamp(min, max)
        } else {
            f64::MAX
        };
        self.shared.load.min(MAX_LOAD_RATIO * self.shared.latency.min(own_latency))
    }

    /// Adds a sample; `reported_load` is the number of requests at the server. Returns the latency that the load predicts.
    fn add(&mut self, now: Time, latency: f64, reported_load: Option<f64>, state_ms: f64) -> f64 {
        let samples = self.samples.at(now);
        let load = match reported_load {
            Some(load) => load + 1.0,
            None if samples > 0.0 => self.load.at(now) / samples,
            None => 1.0,
        };
        self.cost_latency.add(now, COST_TIME_CONSTANT_MS, latency);
        self.cost_load.add(now, COST_TIME_CONSTANT_MS, load);
        self.samples.add(now, state_ms, 1.0);
        self.latency.add(now, state_ms, latency);
        let cost = self.cost(now);
        let load = load.min(MAX_PREDICTED_LATENCY / cost.max(MIN_DIVISOR));
        self.load.add(now, state_ms, load);
        load * cost
    }
}

impl Balancer {
    /// The fraction of its work that a sparse balancer admits, by the expected latency: the recent load of the servers times
    /// the cost of a request in flight. A constant error of the load reports cancels out; without reports, the latencies
    /// remain. Few and old samples weigh little against the usual latency.
    pub(super) fn admitted_fraction(&self, now: Time) -> f64 {
        let baselines = self.classes.iter().map(|stats| stats.baseline_latency);
        let usual = median(baselines).unwrap_or(0.0).min(MAX_USUAL_LATENCY);
        let estimate = self.fleet_load.estimate(now);
        let expected = (estimate.latency_sum + PRIOR_SAMPLES * usual) / (estimate.samples + PRIOR_SAMPLES);
        let full = FULL_ADMISSION_LATENCY.max(FULL_ADMISSION_MULTIPLE * usual);
        let none = NO_ADMISSION_LATENCY.max(NO_ADMISSION_MULTIPLE * usual);
        ((none - expected) / (none - full)).clamp(MIN_ADMITTED, 1.0)
    }

    /// Adds a sample of the fleet's state and shares it with the peers.
    pub(super) fn record_fleet_sample(
        &mut self,
        now: Time,
        zone: ZoneId,
        latency: f64,
        reported_load: Option<f64>,
    ) {
        let rate = self.traffic.requests_per_s();
        let state_ms = STATE_TIME_CONSTANT_MS * (1.0 + (rate / HIGH_REQUEST_RATE).min(1.0));
        let load = self.fleet_load.add(now, latency, reported_load, state_ms);
        self.record_sample(ResponseSample { zone, latency, load });
    }
}
