//! Policy of a fleet: intervals, timeouts and restart backoff.

use std::time::Duration;

/// How a fleet's instances are started, stopped and restarted.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Minimum interval between two starts in the fleet.
    pub start_every: Duration,
    /// Timeout from the start of an instance until it is ready; the instance is terminated when it expires.
    pub ready_within: Duration,
    /// Timeout of the check that a ready instance serves; the instance is terminated when it expires.
    pub prove_within: Duration,
    /// Timeout from the termination of an instance until its exit; the instance is killed when it expires.
    pub stop_within: Duration,
    /// Maximum number of instances that may be down for a roll at the same time.
    pub roll_at_once: usize,
    /// Backoff before restarts of a failed process.
    pub restart: Restart,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            start_every: Duration::from_millis(20),
            ready_within: Duration::from_secs(10),
            prove_within: Duration::from_secs(5),
            stop_within: Duration::from_secs(10),
            roll_at_once: 1,
            restart: Restart::default(),
        }
    }
}

/// Backoff before restarts. A failure is an exit that no action caused, a failed start, or the termination of a process
/// that did not serve.
#[derive(Debug, Clone, PartialEq)]
pub struct Restart {
    /// Backoff after the first failure; it doubles with each further consecutive failure.
    pub first: Duration,
    /// Maximum backoff.
    pub max: Duration,
    /// Maximum fraction by which a random draw shortens the backoff, so that instances that failed together do not
    /// restart together.
    pub jitter: f64,
    /// Maximum number of consecutive failures; with one more, the instance is not restarted.
    pub limit: u32,
    /// Duration of readiness that resets the count of failures.
    pub forgive_after: Duration,
}

impl Default for Restart {
    fn default() -> Self {
        Restart {
            first: Duration::from_millis(200),
            max: Duration::from_secs(30),
            jitter: 0.25,
            limit: 6,
            forgive_after: Duration::from_secs(30),
        }
    }
}

impl Restart {
    /// Returns the backoff after this many consecutive failures; `draw` is a random number from 0 to 1.
    pub fn backoff(&self, failures: u32, draw: f64) -> Duration {
        let doubled = 2_f64.powi(failures.saturating_sub(1).min(40) as i32) * self.first.as_secs_f64();
        let bounded = doubled.min(self.max.as_secs_f64());
        Duration::from_secs_f64(bounded * (1.0 - self.jitter.clamp(0.0, 1.0) * draw))
    }
}

#[cfg(test)]
#[path = "../tests/unit/policy.rs"]
mod tests;
