//! When discovery is called, and how long each call may take.

use std::time::Duration;

/// How long a watch of a service for all waits for news. Short enough that a mute discovery is found out soon.
pub const WATCH_WAIT: Duration = Duration::from_millis(5_000);
/// A call that has said nothing this long after it should have is mute: discovery is down or cut off.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// What a mute watch has missed counts as told this long after its wait (the platform's page), and nothing may go to a
/// server that leaves once its grace is over after that.
pub const NOTIFIED_AFTER_WAIT: Duration = Duration::from_millis(2_000);
/// Of that time this is kept for asking anew: the pause before it (300 ms at most), the look at timers (50 ms), and the
/// answer of a service that works through its calls in turn.
pub const REASK_RESERVE: Duration = Duration::from_millis(1_000);
/// A discovery on this machine answers at once and at no cost, and what it has counts as told whether or not it was
/// asked. So it is asked often: a wait and the patience with it are this part of the grace each, within these bounds.
pub const PUSHED_GRACE_PARTS: u32 = 4;
/// The shortest such wait.
pub const MIN_PUSHED_WAIT: Duration = Duration::from_millis(60);
/// The longest such wait.
pub const MAX_PUSHED_WAIT: Duration = Duration::from_millis(500);
/// And asked again this soon after a failure.
pub const PUSHED_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How discovery is to be asked, by the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchPolicy {
    /// A watch waits for news for so long.
    pub wait: Duration,
    /// A watch that has said nothing so long after its wait is mute.
    pub watch_timeout: Duration,
    /// Any other call that has said nothing for so long.
    pub call_timeout: Duration,
    /// After a failure it is asked again this soon; none where the decisions say when, for it is one service for all.
    pub retry_delay: Option<Duration>,
}

impl WatchPolicy {
    /// By how lists come and how long sends to a server that leaves may go on.
    pub fn new(lists: micasail::Discovery, grace: Duration) -> Self {
        match lists {
            micasail::Discovery::OnRequest => {
                let watch_timeout =
                    (NOTIFIED_AFTER_WAIT + grace).saturating_sub(REASK_RESERVE).min(CALL_TIMEOUT);
                WatchPolicy { wait: WATCH_WAIT, watch_timeout, call_timeout: CALL_TIMEOUT, retry_delay: None }
            }
            micasail::Discovery::Pushed => {
                let part = (grace / PUSHED_GRACE_PARTS).clamp(MIN_PUSHED_WAIT, MAX_PUSHED_WAIT);
                WatchPolicy {
                    wait: part,
                    watch_timeout: part,
                    call_timeout: part,
                    retry_delay: Some(PUSHED_RETRY_DELAY),
                }
            }
        }
    }
}
