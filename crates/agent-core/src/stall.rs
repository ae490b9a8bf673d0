//! Detection of stalls of this process (SIGSTOP, a suspended machine), and the deferral of decisions that follows one.
//!
//! After a stall the cached endpoint list may be minutes old, so decisions are deferred until a new list is received, for
//! [`LIST_TIMEOUT`] at most. [`StallDetector::heartbeat`] starts a deferral; a list or the timeout ends it.

use bellcroft_balancer::{Micros, Time};

/// Interval without a heartbeat that counts as a stall. Heartbeats are at most 0.5 s apart.
pub const STALL_THRESHOLD: Micros = Micros(1_000_000);
/// Maximum duration of a deferral: discovery may be unreachable, and requests have deadlines.
pub const LIST_TIMEOUT: Micros = Micros(250_000);

/// Detects stalls by missing heartbeats.
#[derive(Debug, Clone, Copy)]
pub struct StallDetector {
    last_heartbeat: Time,
    /// End of the last deferral; `None` once a list has been received.
    deferred_until: Option<Time>,
    stalls: u64,
}

impl StallDetector {
    /// Creates a detector whose first heartbeat is now.
    pub fn new(now: Time) -> Self {
        StallDetector { last_heartbeat: now, deferred_until: None, stalls: 0 }
    }

    /// Records that the process is running; has to be called before each decision. Returns whether the process had stalled:
    /// then a new endpoint list has to be fetched.
    #[must_use = "after a stall a new endpoint list has to be fetched"]
    pub fn heartbeat(&mut self, now: Time) -> bool {
        let pause = now.since(self.last_heartbeat);
        self.last_heartbeat = self.last_heartbeat.max(now);
        let stalled = pause >= STALL_THRESHOLD;
        if stalled {
            self.deferred_until = Some(now + LIST_TIMEOUT);
            self.stalls += 1;
        }
        stalled
    }

    /// Records that an endpoint list that was fetched after the stall has been received.
    pub fn on_endpoint_list(&mut self) {
        self.deferred_until = None;
    }

    /// The end of the deferral; `None` if decisions are not deferred now.
    pub fn deferred_until(&self, now: Time) -> Option<Time> {
        self.deferred_until.filter(|until| now < *until)
    }

    /// The number of stalls so far.
    pub fn stalls(&self) -> u64 {
        self.stalls
    }
}
