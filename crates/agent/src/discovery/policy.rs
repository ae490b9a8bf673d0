//! The time limits of calls to discovery.
//!
//! By the platform's rules an agent counts as notified of a change [`NOTIFICATION_LIMIT`] after discovery had the
//! change and was reachable, whichever calls failed or are still open; where lists are pushed, it counts as notified
//! at once. The latest times at which discovery is called are [`WatchPolicy::silent_watch_call_times`] and
//! [`WatchPolicy::outage_call_time`]; both must leave room for the response before that limit.

use bellcroft_balancer::{Discovery, MAX_WATCH_RETRY_DELAY, MIN_WATCH_RETRY_DELAY};
use std::time::Duration;

/// Time after which an agent counts as notified of a change, from when discovery had the change and was reachable.
pub const NOTIFICATION_LIMIT: Duration = Duration::from_millis(6_000);
/// Interval at which the balancer checks its timers.
pub const TIMER_INTERVAL: Duration = Duration::from_millis(50);
/// Allowance that is added to each time limit of the platform where calls use sockets.
pub const SOCKET_ALLOWANCE: Duration = Duration::from_millis(50);
/// Maximum wait that a watch requests from a shared service.
pub const MAX_WATCH_WAIT: Duration = Duration::from_millis(3_500);
/// Minimum of the randomly drawn wait, as a fraction of the maximum. The spread separates the watches of instances that
/// got a response at the same time.
pub const MIN_WATCH_WAIT_FRACTION: f64 = 0.75;
/// Time after the end of its wait at which a watch without a response is considered silent.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without a response after which a second call is sent on another connection. It is as long as
/// [`NOTIFICATION_LIMIT`] permits, since a busy service handles its calls one after the other.
pub const HEDGE_DELAY: Duration = Duration::from_millis(1_700);
/// Timeout of a call, in addition to its wait.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(2_250);
/// Maximum number of concurrent calls for an immediate response before a failure is reported.
pub const MAX_IMMEDIATE_CALLS: u32 = 2;

/// Divisor of the drain grace period that gives the limits for pushed lists. They are short because such a discovery
/// runs on the same machine, where calls are cheap and get an immediate response.
pub const PUSHED_LIMIT_GRACE_DIVISOR: u32 = 4;
/// Minimum of the limits for pushed lists, for drain grace periods near zero.
pub const MIN_PUSHED_LIMIT: Duration = Duration::from_millis(15);
/// Maximum of the limits for pushed lists.
pub const MAX_PUSHED_LIMIT: Duration = Duration::from_millis(500);
/// Maximum delay before the next watch after a failure, where lists are pushed.
pub const MAX_PUSHED_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time limits of the calls to discovery, as derived from the settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WatchPolicy {
    /// Maximum wait of a watch.
    pub max_wait: Duration,
    /// Minimum of the randomly drawn wait, as a fraction of `max_wait`.
    pub min_wait_fraction: f64,
    /// Time after the end of its wait at which a watch without a response is considered silent.
    pub silence_timeout: Duration,
    /// Time without a response after which a second call is sent on another connection.
    pub hedge_delay: Duration,
    /// Timeout of a call, in addition to its wait.
    pub call_timeout: Duration,
    /// Delay before the next watch after a failure; none where the balancer decides it, since all instances share one
    /// discovery service.
    pub retry_delay: Option<Duration>,
}

impl WatchPolicy {
    /// The policy for a discovery mode and a drain grace period.
    pub fn new(mode: Discovery, drain_grace: Duration) -> Self {
        match mode {
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

    /// Whether watches restart by themselves after a failure, rather than when the balancer starts the next one.
    pub fn restarts_watches(&self) -> bool {
        self.retry_delay.is_some()
    }

    /// Latest times of the first and the second call for an immediate response while a watch is silent, counted from
    /// when discovery stopped responding.
    pub fn silent_watch_call_times(&self) -> [Duration; 2] {
        let first = self.max_wait + self.silence_timeout;
        [first, first + self.hedge_delay]
    }

    /// Latest time of the next call after an outage, counted from when discovery is reachable again. In the worst
    /// case a call that gets no response was sent just before. Where lists are pushed, a second call follows after
    /// another `hedge_delay`.
    pub fn outage_call_time(&self) -> Duration {
        let micros = |duration: bellcroft_balancer::Micros| Duration::from_micros(duration.0);
        match self.retry_delay {
            Some(delay) => self.call_timeout + delay,
            None => {
                let after_timeout = self.call_timeout + micros(MIN_WATCH_RETRY_DELAY) + TIMER_INTERVAL;
                after_timeout.max(micros(MAX_WATCH_RETRY_DELAY))
            }
        }
    }

    /// Time by which an agent must have been notified of a change, counted from when discovery had the change and was
    /// reachable. Where lists are pushed, this includes the drain grace period.
    pub fn notification_limit(&self, drain_grace: Duration) -> Duration {
        match self.retry_delay {
            None => NOTIFICATION_LIMIT,
            Some(_) => drain_grace + SOCKET_ALLOWANCE,
        }
    }
}
