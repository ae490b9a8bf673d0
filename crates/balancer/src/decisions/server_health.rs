//! Updates latencies, concurrency limits and reachability after each finished attempt, and detects outliers. Latencies are
//! fractions of the latency objective.

use super::tuning::*;
use crate::api::*;
use crate::state::*;

/// Gain of a new response in the baseline latency of its class and in the slowness of its server; see
/// [`exponential_average`].
const BASELINE_GAIN: f64 = 0.04;
/// Multiple of the median latency above which a server is slow. Below it, the concurrency limit alone shifts the load.
const SLOW_MULTIPLE: f64 = 3.0;
/// Lower bound of the median latency that the latency of a trial is compared with.
const MIN_TRIAL_MEDIAN: f64 = 0.1;
/// Minimum number of samples before a server can be considered slow; a single expensive request is no evidence.
const MIN_SLOW_SAMPLES: u32 = 4;
/// Number of consecutive failures after which a server is ejected.
const EJECTION_FAILURES: u32 = 3;
/// Number of consecutive connection failures to servers of a zone after which the entire zone is considered unreachable.
const UNREACHABLE_ZONE_FAILURES: u32 = 2;
/// Target latency of the concurrency limits: above it a limit shrinks, below it a limit grows.
const TARGET_LATENCY: f64 = 0.25;
/// Factor on a server's limit after a response past its objective.
const LATE_DECREASE: f64 = 0.85;
/// Growth of a fully used limit during as many responses as the limit allows in flight.
const LIMIT_INCREASE: f64 = 0.1;
/// Fraction of a limit that must be in use for the limit to grow.
const MIN_LIMIT_USE: f64 = 0.7;
/// Relative decrease of a limit per response and unit of overshoot. Larger decreases (0.04, 0.08) shed more requests than
/// they save.
const LIMIT_DECREASE: f64 = 0.02;
/// Maximum overshoot in the decrease of a limit.
const MAX_OVERSHOOT: f64 = 2.0;
/// Relative decrease of the limit scale during a round trip in which all responses take at least twice the target latency.
const SCALE_DECREASE: f64 = 0.6;
/// Increase of the limit scale during a round trip of good responses, relative to its square root. The scale is stable
/// with about a quarter of slow responses, and low scales recover quickly.
const SCALE_INCREASE: f64 = 0.2;
/// Upper bound of a sample of a server's slowness.
const MAX_SLOWNESS: f64 = 8.0;
/// Lower bound of a server's slowness.
const MIN_SLOWNESS: f64 = 0.05;
/// Lower bound of a baseline latency that is used as a divisor.
const MIN_BASELINE: f64 = 0.001;

impl Balancer {
    /// Updates the statistics of the fleet, the zone and the server with the result of an attempt, then detects outliers.
    pub(super) fn record_attempt_result(
        &mut self,
        now: Time,
        attempt: &InFlightAttempt,
        outcome: Outcome,
        elapsed: Micros,
        actions: &mut Vec<Action>,
    ) {
        let latency = self.latency_sample(attempt.class, outcome, elapsed);
        if latency > 0.0 && !attempt.counted_as_late {
            self.update_fleet_latency(now, attempt, outcome, latency);
        }
        self.update_reachability(now, attempt.server, outcome);
        match outcome {
            // A server that rejects requests is full, not faulty; its limit is reduced below.
            Outcome::NotSent | Outcome::Cancelled | Outcome::TimedOut | Outcome::Rejected => {}
            Outcome::Success => self.record_success(now, attempt, latency),
            Outcome::ConnectFailed => self.record_connect_failure(attempt.server, elapsed),
            Outcome::ServerError | Outcome::ConnectionReset => self.servers[attempt.server].failures += 1,
        }
        if latency > 0.0 {
            self.update_machine_type_latency(attempt.server, latency);
            self.update_server_latency_and_limit(now, attempt, outcome, elapsed, latency);
        }
        let server = &self.servers[attempt.server];
        let zone_failures = server.reachability(&self.zones).failures;
        let is_zone_failing = zone_failures >= UNREACHABLE_ZONE_FAILURES;
        if self.is_sparse && outcome == Outcome::ConnectFailed && is_zone_failing {
            self.mark_zone_unreachable(now, server.endpoint.zone, actions);
        }
        if attempt.is_trial {
            self.finish_trial(now, attempt.server, outcome, latency);
        } else {
            self.detect_outlier(now, attempt.server, outcome, latency, actions);
        }
    }

    /// The latency of an attempt, at most [`MAX_LATENCY`]; zero if the outcome gives no information about the load.
    fn latency_sample(&self, class: usize, outcome: Outcome, elapsed: Micros) -> f64 {
        let objective = self.settings.classes[class].latency_objective;
        match outcome {
            Outcome::Success => (elapsed.ms() / objective.ms()).min(MAX_LATENCY),
            // A cancelled request may still be queued or running at the server.
            Outcome::TimedOut | Outcome::Rejected | Outcome::Cancelled => MAX_LATENCY,
            _ => 0.0,
        }
    }

    fn update_fleet_latency(&mut self, now: Time, attempt: &InFlightAttempt, outcome: Outcome, latency: f64) {
        if !self.is_sparse {
            return self.update_limit_scale(latency);
        }
        let server = &self.servers[attempt.server];
        // The first rejection of a request may be chance, and a timeout in an unreachable zone is no sign of congestion.
        let is_inconclusive = (outcome == Outcome::Rejected && !attempt.is_retry)
            || (outcome == Outcome::TimedOut && self.is_unreachable(server, now));
        if is_inconclusive {
            return;
        }
        let reported_load = server.reported_at.filter(|at| *at == now).map(|_| server.reported_load);
        self.record_fleet_sample(now, server.endpoint.zone, latency, reported_load);
    }

    fn update_reachability(&mut self, now: Time, server: usize, outcome: Outcome) {
        if !outcome.proves_reachable() {
            return;
        }
        let server = &mut self.servers[server];
        server.last_response = now;
        let reachable = Reachability { last_response: now, ..Reachability::default() };
        self.zones.insert(server.endpoint.zone, reachable);
    }

    fn record_success(&mut self, now: Time, attempt: &InFlightAttempt, latency: f64) {
        let server = &mut self.servers[attempt.server];
        let stats = &mut self.classes[attempt.class];
        server.failures = 0;
        if latency < MAX_LATENCY {
            server.deprioritized_until = now;
        }
        exponential_average(&mut stats.baseline_latency, latency, BASELINE_GAIN);
        let slowness = (latency / stats.baseline_latency.max(MIN_BASELINE)).min(MAX_SLOWNESS);
        exponential_average(&mut server.slowness, slowness, BASELINE_GAIN);
        server.slowness = server.slowness.max(MIN_SLOWNESS);
        stats.recent_latency += LATENCY_GAIN * (latency - stats.recent_latency);
    }

    /// Counts a failed connection. A refused one is a failure of the server only; one without any response may also mean that
    /// the zone is unreachable.
    fn record_connect_failure(&mut self, server: usize, elapsed: Micros) {
        let server = &mut self.servers[server];
        server.failures += 1;
        let zone = self.zones.entry(server.endpoint.zone).or_default();
        zone.failures += u32::from(elapsed >= UNRESPONSIVE_AFTER);
    }

    fn update_machine_type_latency(&mut self, server: usize, latency: f64) {
        let machine_type = self.servers[server].endpoint.machine_type;
        let initial = MachineTypeLatency { latency: self.median_latency, samples: 1.0 };
        let known = self.machine_types.entry(machine_type).or_insert(initial);
        known.samples = (known.samples + 1.0).min(MAX_MACHINE_TYPE_SAMPLES);
        known.latency += (latency - known.latency) / known.samples;
    }

    /// Updates the latency and the concurrency limit of a server. The limit shrinks more slowly than the averaged latency
    /// decays; otherwise the lag of the average would reduce the limit too far. A response past its objective or a rejection
    /// reduces the limit on its own.
    fn update_server_latency_and_limit(
        &mut self,
        now: Time,
        attempt: &InFlightAttempt,
        outcome: Outcome,
        elapsed: Micros,
        latency: f64,
    ) {
        let min_limit = self.min_limit();
        let server = &mut self.servers[attempt.server];
        server.latency = if server.samples == 0 {
            latency
        } else {
            server.latency + LATENCY_GAIN * (latency - server.latency)
        };
        server.samples += 1;
        let overshoot = (server.latency / TARGET_LATENCY - 1.0).min(MAX_OVERSHOOT);
        let is_late = latency >= MAX_LATENCY;
        let factor = if is_late { LATE_DECREASE } else { 1.0 - LIMIT_DECREASE * overshoot.max(0.0) };
        server.limit = (server.limit * factor).max(min_limit);
        let is_used = f64::from(server.in_flight) + 1.0 >= (MIN_LIMIT_USE * server.limit).floor();
        if overshoot <= 0.0 && !is_late && is_used {
            server.limit = (server.limit + LIMIT_INCREASE / server.limit.max(1.0)).min(MAX_LIMIT);
        }
        (server.last_sample_at, server.last_sample_ms) = (now, elapsed.ms());
        // Sends to a full server are paused, or the requests that it rejects would circulate in the fleet.
        if outcome == Outcome::Rejected {
            let objective_ms = self.settings.classes[attempt.class].latency_objective.ms();
            server.last_sample_ms = objective_ms;
            let pause_ms = objective_ms * self.classes[attempt.class].baseline_latency;
            server.paused_until = now + Micros::from_ms(pause_ms);
        }
    }

    /// Ends the ejection of a server after a successful and fast trial, or schedules the next trial.
    fn finish_trial(&mut self, now: Time, server: usize, outcome: Outcome, latency: f64) {
        let is_good = outcome == Outcome::Success
            && latency < SLOW_MULTIPLE * self.median_latency.max(MIN_TRIAL_MEDIAN);
        let server = &mut self.servers[server];
        if is_good {
            server.ejection = None;
            (server.latency, server.samples) = (latency, 1);
            (server.failures, server.slowness) = (0, 1.0);
        } else if let Some(ejection) = &mut server.ejection {
            ejection.on_trial_failed(now);
        }
    }

    fn detect_outlier(
        &mut self,
        now: Time,
        index: usize,
        outcome: Outcome,
        latency: f64,
        actions: &mut Vec<Action>,
    ) {
        let server = &self.servers[index];
        let is_slow = server.samples >= MIN_SLOW_SAMPLES
            && server.latency > SLOW_MULTIPLE * self.median_latency
            && server.latency > TARGET_LATENCY;
        let is_late = self.is_sparse && latency >= MAX_LATENCY && outcome != Outcome::Rejected;
        let is_failing = server.failures >= EJECTION_FAILURES || (self.is_sparse && server.failures > 0);
        if is_slow || is_late || is_failing {
            self.on_outlier(now, index, if is_slow { "slow" } else { "failing" }, actions);
        }
    }

    /// Adjusts the scale of all limits after one response.
    fn update_limit_scale(&mut self, latency: f64) {
        let is_slow = latency >= 2.0 * TARGET_LATENCY;
        let step = if is_slow {
            -SCALE_DECREASE * self.limit_scale
        } else {
            SCALE_INCREASE * self.limit_scale.sqrt()
        };
        let round_trip = self.in_flight.len() + 1;
        self.limit_scale = (self.limit_scale + step / round_trip as f64).clamp(self.min_limit(), 1.0);
    }

    /// Lower bound of a server's limit and of the limit scale: one attempt in flight over all balancers together.
    fn min_limit(&self) -> f64 {
        1.0 / f64::from(self.settings.balancers.max(1))
    }
}
