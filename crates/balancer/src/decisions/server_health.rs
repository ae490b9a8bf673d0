//! What is learned from finished attempts: latencies, concurrency limits and reachability. Latencies are fractions of the
//! latency objective.

use super::tuning::*;
use crate::api::*;
use crate::state::*;

/// Gain of a new response in the baseline of its class; see [`exponential_average`].
const BASELINE_GAIN: f64 = 0.04;
/// A server is slow at this multiple of the median latency; below it, its concurrency limit shifts the load.
const SLOW_MULTIPLE: f64 = 3.0;
/// The lower bound of the median for the judgement of a trial.
const MIN_TRIAL_MEDIAN: f64 = 0.1;
/// Responses before a server can be slow; a single expensive request is no evidence.
const MIN_SLOW_SAMPLES: u32 = 4;
/// Consecutive failures that eject a server.
const EJECTION_FAILURES: u32 = 3;
/// Consecutive connection failures to servers of a zone that make it unreachable, instead of a single server.
const UNREACHABLE_ZONE_FAILURES: u32 = 2;
/// The latency that a concurrency limit aims at: above it the limit shrinks, below it the limit grows.
const TARGET_LATENCY: f64 = 0.25;
/// The factor on a server's limit after a response past its objective.
const LATE_DECREASE: f64 = 0.85;
/// The growth of a limit in full use, per time that it takes to use it once.
const LIMIT_INCREASE: f64 = 0.1;
/// A limit grows only if this fraction of it is in use.
const MIN_LIMIT_USE: f64 = 0.7;
/// The decrease of a limit per response, relative to the overshoot; 0.04 and 0.08 cost more than they save.
const LIMIT_DECREASE: f64 = 0.02;
/// The maximum overshoot that a single response counts for.
const MAX_OVERSHOOT: f64 = 2.0;
/// The limit scale loses this fraction of itself in a round trip of slow responses, those over twice the target.
const SCALE_DECREASE: f64 = 0.6;
/// The limit scale gains this fraction of its root in a round trip of good responses: with a quarter of slow responses it
/// stays level, and low scales recover quickly.
const SCALE_INCREASE: f64 = 0.2;
/// The upper bound of a sample of a server's slowness.
const MAX_SLOWNESS: f64 = 8.0;
/// The lower bound of a server's slowness.
const MIN_SLOWNESS: f64 = 0.05;
/// The lower bound of a baseline that is a divisor.
const MIN_BASELINE: f64 = 0.001;

impl Balancer {
    /// Updates the statistics of the fleet, the zone and the server after an attempt has ended.
    pub(super) fn learn(
        &mut self,
        now: Time,
        attempt: &InFlightAttempt,
        outcome: Outcome,
        elapsed: Micros,
        actions: &mut Vec<Action>,
    ) {
        let latency = self.latency_sample(attempt.class, outcome, elapsed);
        if latency > 0.0 && !attempt.counted_as_late {
            self.learn_fleet_latency(now, attempt, outcome, latency);
        }
        self.learn_reachability(now, attempt.server, outcome);
        match outcome {
            // A full server is not faulty: it is only sent less.
            Outcome::NotSent | Outcome::Cancelled | Outcome::TimedOut | Outcome::Rejected => {}
            Outcome::Success => self.learn_success(now, attempt, latency),
            Outcome::ConnectFailed => self.learn_connect_failure(attempt.server, elapsed),
            Outcome::ServerError | Outcome::ConnectionReset => self.servers[attempt.server].failures += 1,
        }
        if latency > 0.0 {
            self.learn_machine_type(attempt.server, latency);
            self.learn_server_latency(now, attempt, outcome, elapsed, latency);
        }
        let server = &self.servers[attempt.server];
        let zone_failures = server.reachability(&self.zones).failures;
        let is_zone_failing = zone_failures >= UNREACHABLE_ZONE_FAILURES;
        if self.sparse && outcome == Outcome::ConnectFailed && is_zone_failing {
            self.mark_zone_unreachable(now, server.endpoint.zone, actions);
        }
        if attempt.is_trial {
            self.learn_trial(now, attempt.server, outcome, latency);
        } else {
            self.detect_outlier(now, attempt.server, outcome, latency, actions);
        }
    }

    /// The latency of an attempt, at most [`MAX_LATENCY`]; zero if its outcome says nothing about the load.
    fn latency_sample(&self, class: usize, outcome: Outcome, elapsed: Micros) -> f64 {
        let objective = self.settings.classes[class].latency_objective;
        match outcome {
            Outcome::Success => (elapsed.ms() / objective.ms()).min(MAX_LATENCY),
            // A cancelled request may still be queued or running at the server.
            Outcome::TimedOut | Outcome::Rejected | Outcome::Cancelled => MAX_LATENCY,
            _ => 0.0,
        }
    }

    fn learn_fleet_latency(&mut self, now: Time, attempt: &InFlightAttempt, outcome: Outcome, latency: f64) {
        if !self.sparse {
            return self.update_limit_scale(latency);
        }
        let server = &self.servers[attempt.server];
        // The first rejection of a request may be chance, and a timeout in an unreachable zone is no congestion.
        let is_no_evidence = (outcome == Outcome::Rejected && !attempt.is_retry)
            || (outcome == Outcome::TimedOut && self.is_unreachable(server, now));
        if is_no_evidence {
            return;
        }
        let reported_load = server.reported_at.filter(|at| *at == now).map(|_| server.reported_load);
        self.record_fleet_sample(now, server.endpoint.zone, latency, reported_load);
    }

    fn learn_reachability(&mut self, now: Time, server: usize, outcome: Outcome) {
        if !outcome.proves_reachable() {
            return;
        }
        let server = &mut self.servers[server];
        server.last_response = now;
        let reachable = Reachability { last_response: now, ..Reachability::default() };
        self.zones.insert(server.endpoint.zone, reachable);
    }

    fn learn_success(&mut self, now: Time, attempt: &InFlightAttempt, latency: f64) {
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

    /// A refused connection is the server's failure; without any response it may be that of the path to the zone.
    fn learn_connect_failure(&mut self, server: usize, elapsed: Micros) {
        let server = &mut self.servers[server];
        server.failures += 1;
        let zone = self.zones.entry(server.endpoint.zone).or_default();
        zone.failures += u32::from(elapsed >= UNRESPONSIVE_AFTER);
    }

    fn learn_machine_type(&mut self, server: usize, latency: f64) {
        let machine_type = self.servers[server].endpoint.machine_type;
        let initial = MachineTypeLatency { latency: self.median_latency, samples: 1.0 };
        let known = self.machine_types.entry(machine_type).or_insert(initial);
        known.samples = (known.samples + 1.0).min(MAX_MACHINE_TYPE_SAMPLES);
        known.latency += (latency - known.latency) / known.samples;
    }

    /// Updates the latency and the concurrency limit of a server. The limit shrinks more slowly than the latency decays, or
    /// its lag would reduce the limit too far; a response past its objective or a full queue is evidence enough on its own.
    fn learn_server_latency(
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
        // A full server always rests, or the requests it rejects would circulate in the fleet.
        if outcome == Outcome::Rejected {
            let objective_ms = self.settings.classes[attempt.class].latency_objective.ms();
            server.last_sample_ms = objective_ms;
            let rest_ms = objective_ms * self.classes[attempt.class].baseline_latency;
            server.rest_until = now + Micros::from_ms(rest_ms);
        }
    }

    /// Ends the ejection of a server after a good trial, or schedules the next trial.
    fn learn_trial(&mut self, now: Time, server: usize, outcome: Outcome, latency: f64) {
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
        let is_late = self.sparse && latency >= MAX_LATENCY && outcome != Outcome::Rejected;
        let is_failing = server.failures >= EJECTION_FAILURES || (self.sparse && server.failures > 0);
        if is_slow || is_late || is_failing {
            self.on_outlier(now, index, if is_slow { "slow" } else { "failing" }, actions);
        }
    }

    /// Moves the scale of all limits by one response.
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

    /// The minimum of a server's limit and of the limit scale: one attempt in flight among all balancers.
    fn min_limit(&self) -> f64 {
        1.0 / f64::from(self.settings.balancers.max(1))
    }
}
