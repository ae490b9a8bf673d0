//! The maximum number of attempts after a reload.

use super::TRANSITION_PERIOD;
use bellcroft_balancer::Time;

/// The former maximum number of attempts, which applies in addition to the present one during [`TRANSITION_PERIOD`].
#[derive(Debug, Clone, Copy, Default)]
pub struct AttemptLimitTransition {
    former: Option<FormerLimit>,
}

#[derive(Debug, Clone, Copy)]
struct FormerLimit {
    max_attempts: u32,
    until: Time,
}

impl AttemptLimitTransition {
    /// Records that settings with another maximum have replaced those with `former`.
    pub fn on_limit_changed(&mut self, former: u32, now: Time) {
        self.former = Some(FormerLimit { max_attempts: former, until: now + TRANSITION_PERIOD });
    }

    /// The maximum that applies to a request received now in addition to that of the present settings; `None` after the
    /// transition.
    pub fn max_attempts(&self, now: Time) -> Option<u32> {
        self.former.filter(|former| now < former.until).map(|former| former.max_attempts)
    }
}
