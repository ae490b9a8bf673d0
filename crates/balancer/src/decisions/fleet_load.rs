//! Estimates the load of the server fleet from this balancer's responses and from the samples that its peers share.
//! Latencies are fractions of the latency objective.

use super::tuning::*;
use crate::api::*;
use crate::state::*;

/// Expected latency up to which a sparse balancer admits all requests.
const FULL_ADMISSION_LATENCY: f64 = 0.38;
/// Expected latency from which a sparse balancer admits only [`MIN_ADMITTED`] of the requests.
const NO_ADMISSION_LATENCY: f64 = 0.65;
/// Upper bound of the usual latency in the admission decision, so that lasting congestion does not become the baseline.
const MAX_USUAL_LATENCY: f64 = 0.5;
/// All requests are admitted up to at least this multiple of the usual latency, because for some classes a high latency
/// is normal.
const FULL_ADMISSION_MULTIPLE: f64 = 1.2;
/// Admission falls to its minimum no earlier than at this multiple of the usual latency.
const NO_ADMISSION_MULTIPLE: f64 = 1.7;
/// Time constant of the fleet state, in milliseconds. It grows up to twofold with the request rate, since frequent
/// samples keep the state current.
const STATE_TIME_CONSTANT_MS: f64 = 250.0;
/// Time constant of the latency that each request in flight causes, in milliseconds.
const COST_TIME_CONSTANT_MS: f64 = 2000.0;
/// Request rate per second from which the time constant of the fleet state is doubled.
const HIGH_REQUEST_RATE: f64 = 5.0;
/// Weight of the usual latency in the expected latency, as a number of samples.
const PRIOR_SAMPLES: f64 = 1.0;
/// Maximum latency that the load of a single sample may predict.
const MAX_PREDICTED_LATENCY: f64 = 1.2;
/// Number of own samples from which the latency shared by peers is bounded by the own latency times [`MAX_LOAD_RATIO`].
/// With fewer own samples the bound is up to three times as high; see [`FEW_SAMPLES_FACTOR`].
const ENOUGH_OWN_SAMPLES: f64 = 2.0;
/// Range of the factor that raises the bound of the shared latency when there are few own samples.
const FEW_SAMPLES_FACTOR: (f64, f64) = (1.0, 3.0);
/// Maximum ratio of the latency that the load predicts to the measured latency.
const MAX_LOAD_RATIO: f64 = 2.5;
/// Lower bound of a decayed sample count used as a divisor.
const MIN_SAMPLES: f64 = 1e-3;
/// Lower bound of a decayed load or cost used as a divisor.
const MIN_DIVISOR: f64 = 1e-9;

/// An estimate of the fleet's latency.
struct Estimate {
    /// Decayed number of samples that the estimate is based on.
    samples: f64,
    /// Sum of the latencies of these samples.
    latency_sum: f64,
}

/// Recent samples of the fleet's latency and load, for a sparse balancer.
#[derive(Default)]
pub(crate) struct FleetLoad {
    samples: DecayingSum,
    latency: DecayingSum,
    load: DecayingSum,
    /// Sum of latencies over a longer time; divided by `cost_load`, the latency that each request in flight causes.
    cost_latency: DecayingSum,
    cost_load: DecayingSum,
    /// Latest state that the host has aggregated over all balancers.
    shared_state: FleetState,
    shared_at: Time,
}

impl FleetLoad {
    pub(super) fn set_shared(&mut self, now: Time, state: FleetState) {
        (self.shared_at, self.shared_state) = (now, state);
    }

    /// The latency that each request in flight at a server has caused recently.
    fn cost(&self, now: Time) -> f64 {
        self.cost_latency.value_at(now) / self.cost_load.value_at(now).max(MIN_DIVISOR)
    }

    /// The estimate from this balancer's samples, or from the shared state if that has more samples. The shared state
    /// includes this balancer's samples.
    fn estimate(&self, now: Time) -> Estimate {
        let own_samples = self.samples.value_at(now);
        let shared_samples =
            self.shared_state.weight * (-now.since(self.shared_at).ms() / STATE_TIME_CONSTANT_MS).exp();
        if shared_samples > own_samples {
            let latency_sum = shared_samples * self.bounded_shared_latency(now, own_samples);
            return Estimate { samples: shared_samples, latency_sum };
        }
        let predicted = self.load.value_at(now) * self.cost(now);
        Estimate {
            samples: own_samples,
            latency_sum: predicted.min(MAX_LOAD_RATIO * self.latency.value_at(now)),
        }
    }

    /// The latency according to the shared state, bounded so that peers do not outweigh several own responses.
    fn bounded_shared_latency(&self, now: Time, own_samples: f64) -> f64 {
        let own_latency = if own_samples > 0.0 {
            let own_samples = own_samples.max(MIN_SAMPLES);
            let (min, max) = FEW_SAMPLES_FACTOR;
            self.latency.value_at(now) / own_samples * (ENOUGH_OWN_SAMPLES / own_samples).clamp(min, max)
        } else {
            f64::MAX
        };
        self.shared_state.load.min(MAX_LOAD_RATIO * self.shared_state.latency.min(own_latency))
    }

    /// Adds a sample and returns the latency that its load predicts. `reported_load` is the number of requests at the server.
    fn add(&mut self, now: Time, latency: f64, reported_load: Option<f64>, time_constant_ms: f64) -> f64 {
        let samples = self.samples.value_at(now);
        let load = match reported_load {
            Some(load) => load + 1.0,
            None if samples > 0.0 => self.load.value_at(now) / samples,
            None => 1.0,
        };
        self.cost_latency.add(now, COST_TIME_CONSTANT_MS, latency);
        self.cost_load.add(now, COST_TIME_CONSTANT_MS, load);
        self.samples.add(now, time_constant_ms, 1.0);
        self.latency.add(now, time_constant_ms, latency);
        let cost = self.cost(now);
        let load = load.min(MAX_PREDICTED_LATENCY / cost.max(MIN_DIVISOR));
        self.load.add(now, time_constant_ms, load);
        load * cost
    }
}

impl Balancer {
    /// The fraction of its requests that a sparse balancer admits, as a function of the expected latency.
    ///
    /// The expected latency is the recent load of the servers times the latency that each request in flight causes. A
    /// constant factor in the load reports cancels out; without reports, only the measured latencies count. Few or old
    /// samples have little weight against the usual latency.
    pub(super) fn admitted_fraction(&self, now: Time) -> f64 {
        let baselines = self.classes.iter().map(|stats| stats.baseline_latency);
        let usual = median(baselines).unwrap_or(0.0).min(MAX_USUAL_LATENCY);
        let estimate = self.fleet_load.estimate(now);
        let expected = (estimate.latency_sum + PRIOR_SAMPLES * usual) / (estimate.samples + PRIOR_SAMPLES);
        let full = FULL_ADMISSION_LATENCY.max(FULL_ADMISSION_MULTIPLE * usual);
        let none = NO_ADMISSION_LATENCY.max(NO_ADMISSION_MULTIPLE * usual);
        ((none - expected) / (none - full)).clamp(MIN_ADMITTED, 1.0)
    }

    /// Adds a sample to the fleet state and stores it for sharing with the peers.
    pub(super) fn record_fleet_sample(
        &mut self,
        now: Time,
        zone: ZoneId,
        latency: f64,
        reported_load: Option<f64>,
    ) {
        let rate = self.traffic.requests_per_s();
        let time_constant_ms = STATE_TIME_CONSTANT_MS * (1.0 + (rate / HIGH_REQUEST_RATE).min(1.0));
        let load = self.fleet_load.add(now, latency, reported_load, time_constant_ms);
        self.record_sample(ResponseSample { zone, latency, load });
    }
}
