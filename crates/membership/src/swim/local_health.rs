//! Local health: the degree to which this instance trusts its own failure detector (Lifeguard, "local health
//! multiplier").

use crate::config::Config;
use bellcroft_balancer::{Micros, Time};

/// The worst local health score. A score of n multiplies protocol periods and timeouts by n + 1.
const MAX_LOCAL_HEALTH: u32 = 3;
/// The increase of the score by a stall of this process.
const STALL_PENALTY: u32 = 2;

/// The local health score, and the recovery after a start or a stall.
#[derive(Debug)]
pub(super) struct LocalHealth {
    /// Whether stalls are detected and the score stretches timeouts; off only in experiments that compare protocols.
    enabled: bool,
    /// Score from 0 (healthy) to [`MAX_LOCAL_HEALTH`].
    score: u32,
    /// Time of the latest tick or datagram.
    last_event: Time,
    /// Time of the latest accepted datagram.
    last_datagram: Time,
    /// End of the recovery, in which this instance suspects no member and declares none dead.
    recovering_until: Time,
    /// Whether the last recovery follows a stall. The view from before the stall may be outdated, so a complete view
    /// does not end that recovery early.
    resumed_after_stall: bool,
}

impl LocalHealth {
    pub fn new(config: &Config, now: Time) -> Self {
        LocalHealth {
            enabled: config.local_health_awareness,
            score: 0,
            last_event: now,
            last_datagram: now,
            recovering_until: now + config.recovery_time(),
            resumed_after_stall: false,
        }
    }

    pub fn score(&self) -> u32 {
        self.score
    }

    /// The factor that stretches protocol periods and timeouts.
    pub fn multiplier(&self) -> f64 {
        if self.enabled {
            1.0 + f64::from(self.score)
        } else {
            1.0
        }
    }

    /// Increases the score, on evidence against this instance's own links or scheduling.
    pub fn worsen(&mut self, by: u32) {
        self.score = (self.score + by).min(MAX_LOCAL_HEALTH);
    }

    /// Decreases the score, on an ack of a ping by this instance.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Records an event. If the process has stalled since the previous event, starts a recovery and returns the time
    /// between the two events.
    pub fn on_event(&mut self, now: Time, config: &Config) -> Option<Micros> {
        let gap = now.since(self.last_event);
        self.last_event = self.last_event.max(now);
        if !self.enabled || gap < config.stall_threshold() {
            return None;
        }
        self.worsen(STALL_PENALTY);
        self.recovering_until = now + config.recovery_time();
        self.resumed_after_stall = true;
        Some(gap)
    }

    pub fn last_event(&self) -> Time {
        self.last_event
    }

    /// Records an accepted datagram.
    pub fn on_datagram(&mut self, now: Time) {
        self.last_datagram = now;
    }

    /// Whether no datagram was accepted for this time.
    pub fn is_isolated(&self, now: Time, timeout: Micros) -> bool {
        now.since(self.last_datagram) >= timeout
    }

    pub fn is_recovering(&self, now: Time) -> bool {
        now < self.recovering_until
    }

    pub fn recovering_until(&self) -> Time {
        self.recovering_until
    }

    pub fn resumed_after_stall(&self) -> bool {
        self.resumed_after_stall
    }
}
