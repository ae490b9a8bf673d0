//! The timeout of a suspicion.

use crate::member::Id;
use bellcroft_balancer::{Micros, Time};

/// Further reporters that shorten a suspicion; with this many it lasts its minimum.
const MAX_CONFIRMATIONS: usize = 3;

/// The range of a suspicion's timeout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct SuspicionTimeouts {
    pub min: Micros,
    pub max: Micros,
}

/// The suspicion of one member. Each further member that reports it shortens the timeout from its maximum to its minimum
/// (Lifeguard, "dynamic suspicion timeouts"): an unconfirmed suspicion may be due to this instance's own links.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Suspicion {
    start: Time,
    timeouts: SuspicionTimeouts,
    reporters: Vec<Id>,
    /// A probe of this instance has failed since the start.
    pub probe_failed: bool,
    /// Another member reports the member as dead.
    pub reported_dead: bool,
    /// Another member reports that the member has left.
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

    /// Records a further reporter; false if it is known or there are enough.
    pub fn add_reporter(&mut self, id: Id) -> bool {
        let added = self.reporters.len() <= MAX_CONFIRMATIONS && !self.reporters.contains(&id);
        if added {
            self.reporters.push(id);
        }
        added
    }

    /// When the member is declared dead, if a probe of this instance has failed by then.
    pub fn deadline(&self) -> Time {
        let SuspicionTimeouts { min, max } = self.timeouts;
        let confirmations = (self.reporters.len() - 1) as f64;
        let shortened = (confirmations + 1.0).ln() / (MAX_CONFIRMATIONS as f64 + 1.0).ln();
        let timeout = Micros(max.0 - ((max.0 - min.0) as f64 * shortened.min(1.0)) as u64);
        // A member that reports a death has waited for its own suspicion's timeout.
        self.start + if self.reported_dead { min.min(timeout) } else { timeout }
    }

    /// Extends the suspicion by a stall of this process, in which refutations could not be received.
    pub fn postpone(&mut self, stall: Micros) {
        self.start = self.start + stall;
    }
}
