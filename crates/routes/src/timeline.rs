//! Worst-case timing of a request's attempts: the latest send decision and the latest arrival of each one.

use crate::config::RouteConfig;
use crate::duration::{round_down, saturating_add};
use crate::platform::Platform;
use bellcroft_balancer::{Class, Micros};

/// Assumed maximum delay of a timer and of the tasks that it wakes, at each step of a request. The platform tolerates
/// 50 ms at each time limit.
pub const SCHEDULING_DELAY: Micros = Micros(20_000);
/// Assumed maximum time from the agent's socket to the server's. The server detects duplicates on arrival.
pub const NETWORK_DELAY: Micros = Micros(50_000);

/// Worst-case timeline of one request. All times count from the decision to send the first attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptTimeline {
    /// The client's deadline; no byte is written after it.
    pub deadline: Micros,
    /// Timeout of each attempt.
    pub attempt_timeout: Micros,
    /// Connect timeout of each attempt.
    pub connect_timeout: Micros,
    /// Maximum queueing time before a retry; `None` if only the deadline bounds it.
    pub queue_timeout: Option<Micros>,
    /// Timing of each attempt, the first one included.
    pub attempts: Vec<AttemptTiming>,
}

/// Worst-case timing of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptTiming {
    /// Latest send decision. The earliest one is at time zero, as the previous attempt can fail immediately.
    pub latest_send: Micros,
    /// Latest arrival of the first byte at the server.
    pub latest_arrival: Micros,
}

impl AttemptTimeline {
    /// Computes the timeline of a route's requests that have this class.
    pub fn new(route: &RouteConfig, class: &Class, platform: &Platform) -> Self {
        let deadline = route.timeout.unwrap_or(class.deadline).min(class.deadline);
        let attempt_timeout = route.attempt_timeout.unwrap_or(deadline).min(deadline);
        let connect_timeout = route.connect_timeout.unwrap_or(platform.connect_timeout).min(attempt_timeout);
        let queue_timeout = route.queue_timeout;
        let platform_max = platform.settings.max_attempts;
        let max_attempts = route.attempts.unwrap_or(platform_max).min(platform_max).max(1);
        let mut timeline =
            Self { deadline, attempt_timeout, connect_timeout, queue_timeout, attempts: Vec::new() };
        timeline.attempts = (1..=max_attempts).map(|n| timeline.timing(n)).collect();
        timeline
    }

    /// Timing of the `n`th attempt (from 1) in the worst case: each attempt before it finishes [`SCHEDULING_DELAY`] after
    /// its timeout, and each retry is queued for the full queue timeout. No byte is written after the deadline.
    pub fn timing(&self, n: u32) -> AttemptTiming {
        let previous_attempts = f64::from(n.saturating_sub(1));
        let interval = match self.queue_timeout {
            Some(queue) => saturating_add(saturating_add(self.attempt_timeout, SCHEDULING_DELAY), queue),
            None => saturating_add(self.deadline, SCHEDULING_DELAY),
        };
        let latest_send = (interval * previous_attempts).min(self.deadline);
        let latest_write =
            saturating_add(saturating_add(latest_send, self.connect_timeout), SCHEDULING_DELAY)
                .min(saturating_add(self.deadline, SCHEDULING_DELAY));
        AttemptTiming { latest_send, latest_arrival: saturating_add(latest_write, NETWORK_DELAY) }
    }

    /// Latest arrival of a retry's first byte; `None` if the route has a single attempt.
    pub fn latest_retry_arrival(&self) -> Option<Micros> {
        self.attempts.iter().skip(1).map(|attempt| attempt.latest_arrival).max()
    }

    /// Maximum number of attempts that all arrive within `window`; at least 1, as the first is not a retry.
    pub fn max_attempts_within(&self, window: Micros) -> u32 {
        let max = self.attempts.len() as u32;
        (1..=max).rev().find(|n| *n == 1 || self.timing(*n).latest_arrival <= window).unwrap_or(1)
    }

    /// Longest attempt timeout, in the file's precision, with which all attempts arrive within `window`; `None` if no
    /// such timeout exists.
    pub fn max_attempt_timeout_within(&self, window: Micros) -> Option<Micros> {
        let retries = self.attempts.len().saturating_sub(1).max(1) as f64;
        let queue_timeout = self.queue_timeout?;
        let available = window
            .saturating_sub(NETWORK_DELAY)
            .saturating_sub(SCHEDULING_DELAY)
            .saturating_sub(self.connect_timeout);
        let per_attempt =
            (available * (1.0 / retries)).saturating_sub(SCHEDULING_DELAY).saturating_sub(queue_timeout);
        let rounded = round_down(per_attempt);
        (rounded >= self.connect_timeout && rounded > Micros::ZERO).then_some(rounded)
    }
}
