//! The timeout of a suspicion.

use crate::member::Id;
use bellcroft_balancer::{Micros, Time};

/// Number of further reporters that shorten a suspicion to its minimum timeout.
const MAX_CONFIRMATIONS: usize = 3;

/// The range of a suspicion's timeout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct SuspicionTimeouts {
    pub min: Micros,
    pub max: Micros,
}

/// The suspicion of one member. Each further reporter shortens the timeout, from its maximum down to its minimum
/// (Lifeguard, "dynamic suspicion timeouts"): the cause of an unconfirmed suspicion may be this instance's own links.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Suspicion {
    start: Time,
    timeouts: SuspicionTimeouts,
    reporters: Vec<Id>,
    /// Whether a probe by this instance has failed since the start.
    pub probe_failed: bool,
    /// Whether another member reports the member as dead or left.
    pub reported_dead: bool,
    /// Whether another member reports the member as left.
    pub reported_left: bool,
}

impl Suspicion {
    pub fn new(start: Time, timeouts: SuspicionTimeouts, reported_by: Id) -> Self {
        Suspicion {
            start,
            timeouts: SuspicionTimeouts { max: timeouts.max.max(timeouts.min), ..timeouts },
            reporters: vec![reported_by],
            probe_failed: false,
            reported_dead: false,
            reported_left: false,
        }
    }

    /// Records a further reporter; false if it is already known or there are enough reporters.
    pub fn add_reporter(&mut self, id: Id) -> bool {
        let added = self.reporters.len() <= MAX_CONFIRMATIONS && !self.reporters.contains(&id);
        if added {
            self.reporters.push(id);
        }
        added
    }

    /// The time at which the member is declared dead, if a probe by this instance has failed by then.
    pub fn deadline(&self) -> Time {
        let SuspicionTimeouts { min, max } = self.timeouts;
        let confirmations = (self.reporters.len() - 1) as f64;
        let shortened = (confirmations + 1.0).ln() / (MAX_CONFIRMATIONS as f64 + 1.0).ln();
        let timeout = Micros(max.0 - ((max.0 - min.0) as f64 * shortened.min(1.0)) as u64);
        // The minimum suffices after a report of a death: its reporter has waited for the timeout of its own suspicion.
        self.start + if self.reported_dead { min.min(timeout) } else { timeout }
    }

    /// Extends the suspicion by a stall of this process, in which refutations could not be received.
    pub fn postpone(&mut self, stall: Micros) {
        self.start = self.start + stall;
    }
}
