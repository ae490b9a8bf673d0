//! Local health: how far this instance trusts its own failure detector (Lifeguard, "local health multiplier").

use crate::config::Config;
use bellcroft_balancer::{Micros, Time};

/// The worst local health score: protocol periods and timeouts take up to this many times longer, and one more.
const MAX_LOCAL_HEALTH: u32 = 3;
/// What a stall of this process adds to the score.
const STALL_PENALTY: u32 = 2;

/// The local health score, and the recovery after a start or a stall.
#[derive(Debug)]
pub(super) struct LocalHealth {
    /// Whether stalls are detected and the score stretches timeouts; only comparisons switch it off.
    enabled: bool,
    /// 0 (healthy) to [`MAX_LOCAL_HEALTH`].
    score: u32,
    /// The latest tick or datagram.
    last_event: Time,
    /// The latest accepted datagram.
    last_datagram: Time,
    /// Until then no member is suspected or declared dead here.
    recovering_until: Time,
    /// The recovery follows a stall. The view from before the stall is no evidence, so a complete view does not end the
    /// recovery early.
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

    /// By how much protocol periods and timeouts are stretched.
    pub fn multiplier(&self) -> f64 {
        if self.enabled {
            1.0 + f64::from(self.score)
        } else {
            1.0
        }
    }

    /// Evidence against this instance's own links or scheduling.
    pub fn worsen(&mut self, by: u32) {
        self.score = (self.score + by).min(MAX_LOCAL_HEALTH);
    }

    /// A probe or a ping of this instance was answered.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Records an event. Returns the time since the one before if the process stalled in between, and begins a recovery.
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

    /// A datagram was accepted.
    pub fn on_datagram(&mut self, now: Time) {
        self.last_datagram = now;
    }

    /// No datagram was accepted for this long.
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
