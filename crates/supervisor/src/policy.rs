//! The policy of a fleet: intervals, time-outs and back-off.

use std::time::Duration;

/// How a fleet's instances are started, stopped and restarted.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Starts are at least this far apart.
    pub start_every: Duration,
    /// An instance that is not ready this long after its start is terminated.
    pub ready_within: Duration,
    /// Time for the proof that a ready instance serves; without it the instance is terminated.
    pub prove_within: Duration,
    /// A terminated instance that still runs after this is killed.
    pub stop_within: Duration,
    /// Instances that may be down for a roll at a time.
    pub roll_at_once: usize,
    /// The back-off after a death.
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

/// The back-off after deaths. A death is an exit that no action caused.
#[derive(Debug, Clone, PartialEq)]
pub struct Restart {
    /// The back-off after the first death; it doubles with each further one in a row.
    pub first: Duration,
    /// The longest back-off.
    pub max: Duration,
    /// The share by which a random draw shortens the back-off, so that instances that died together do not restart together.
    pub jitter: f64,
    /// With more deaths in a row than this, the instance has failed.
    pub limit: u32,
    /// Readiness for this long resets the count of deaths.
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
    /// The back-off after this many deaths in a row; `draw` lies in 0 to 1.
    pub fn backoff(&self, failures: u32, draw: f64) -> Duration {
        let doubled = 2_f64.powi(failures.saturating_sub(1).min(40) as i32) * self.first.as_secs_f64();
        let longest = doubled.min(self.max.as_secs_f64());
        Duration::from_secs_f64(longest * (1.0 - self.jitter.clamp(0.0, 1.0) * draw))
    }
}

#[cfg(test)]
#[path = "../tests/unit/policy.rs"]
mod tests;
