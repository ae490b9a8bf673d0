//! The time limits of calls to discovery.
//!
//! The platform's clock: what discovery has counts as notified [`NOTIFICATION_LIMIT`] after it had the change and could be
//! reached, whatever call failed or waits; where lists are pushed, at once. The latest moments at which discovery is
//! asked are [`WatchPolicy::silent_watch_call_times`] and [`WatchPolicy::outage_call_time`].

use bellcroft_balancer::{Discovery, MAX_WATCH_RETRY_DELAY, MIN_WATCH_RETRY_DELAY};
use std::time::Duration;

/// A change counts as notified this long after discovery had it and could be reached.
pub const NOTIFICATION_LIMIT: Duration = Duration::from_millis(6_000);
/// The balancer looks at its timers this often.
pub const TIMER_INTERVAL: Duration = Duration::from_millis(50);
/// Each time limit of the platform is this much longer on sockets.
pub const SOCKET_ALLOWANCE: Duration = Duration::from_millis(50);
/// The longest that a watch of a shared service asks it to wait.
pub const MAX_WATCH_WAIT: Duration = Duration::from_millis(3_500);
/// Each wait is drawn from this part of the longest on, so that instances that were answered together part again.
pub const MIN_WATCH_WAIT_FRACTION: f64 = 0.75;
/// A watch that has not answered this long after its wait has fallen silent.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);
/// A second call is made beside one that has not answered for so long: as late as the time to the change's notification
/// leaves room for, since a busy service works through its calls in turn.
pub const HEDGE_DELAY: Duration = Duration::from_millis(1_700);
/// A call that has not answered for so long, beyond its wait, has failed.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(2_250);
/// Calls that ask for an answer at once, one beside the other, before the failure is reported.
pub const MAX_IMMEDIATE_CALLS: u32 = 2;

/// A discovery on this machine answers at once and at no cost. All limits are this part of the drain grace period.
pub const PUSHED_LIMIT_GRACE_DIVISOR: u32 = 4;
/// The shortest limit of a pushed list's watch, for drain grace periods near zero.
pub const MIN_PUSHED_LIMIT: Duration = Duration::from_millis(15);
/// The longest limit of a pushed list's watch.
pub const MAX_PUSHED_LIMIT: Duration = Duration::from_millis(500);
/// The longest pause after a failed call, where lists are pushed.
pub const MAX_PUSHED_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How discovery is to be asked, by the settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WatchPolicy {
    /// The longest wait of a watch.
    pub max_wait: Duration,
    /// The part of it from which each wait is drawn.
    pub min_wait_fraction: f64,
    /// A watch that has not answered so long after its wait has fallen silent.
    pub silence_timeout: Duration,
    /// A second call is made beside one that has not answered for so long.
    pub hedge_delay: Duration,
    /// A call that has not answered for so long, beyond its wait, has failed.
    pub call_timeout: Duration,
    /// The pause after a failure; none where the balancer decides it, for discovery is one service for all.
    pub retry_delay: Option<Duration>,
}

impl WatchPolicy {
    /// By how lists come and how long sends to a draining server may go on.
    pub fn new(lists: Discovery, drain_grace: Duration) -> Self {
        match lists {
            Discovery::OnRequest => WatchPolicy {
                max_wait: MAX_WATCH_WAIT,
                min_wait_fraction: MIN_WATCH_WAIT_FRACTION,
                silence_timeout: SILENCE_TIMEOUT,
                hedge_delay: HEDGE_DELAY,
                call_timeout: CALL_TIMEOUT,
                retry_delay: None,
            },
            Discovery::Pushed => {
                let limit =
                    (drain_grace / PUSHED_LIMIT_GRACE_DIVISOR).clamp(MIN_PUSHED_LIMIT, MAX_PUSHED_LIMIT);
                WatchPolicy {
                    max_wait: limit,
                    min_wait_fraction: 1.0,
                    silence_timeout: limit,
                    hedge_delay: limit,
                    call_timeout: limit,
                    retry_delay: Some(limit.min(MAX_PUSHED_RETRY_DELAY)),
                }
            }
        }
    }

    /// Whether nobody else decides when a watch begins.
    pub fn restarts_watches(&self) -> bool {
        self.retry_delay.is_some()
    }

    /// The latest moments, from a watch's falling silent, at which discovery is asked first and again.
    pub fn silent_watch_call_times(&self) -> [Duration; 2] {
        let first = self.max_wait + self.silence_timeout;
        [first, first + self.hedge_delay]
    }

    /// The latest moment, from discovery's return, at which it is asked: a call that hangs had begun just before. Where
    /// lists are pushed, it is asked again after another `hedge_delay`.
    pub fn outage_call_time(&self) -> Duration {
        let micros = |span: bellcroft_balancer::Micros| Duration::from_micros(span.0);
        match self.retry_delay {
            Some(delay) => self.call_timeout + delay,
            None => {
                let hung = self.call_timeout + micros(MIN_WATCH_RETRY_DELAY) + TIMER_INTERVAL;
                hung.max(micros(MAX_WATCH_RETRY_DELAY))
            }
        }
    }

    /// When a change counts as notified, from when discovery had it and could be reached, with the drain grace period
    /// where lists are pushed.
    pub fn notification_limit(&self, drain_grace: Duration) -> Duration {
        match self.retry_delay {
            None => NOTIFICATION_LIMIT,
            Some(_) => drain_grace + SOCKET_ALLOWANCE,
        }
    }
}
