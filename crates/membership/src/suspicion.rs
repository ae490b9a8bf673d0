//! How long an accused member has to refute.

use crate::member::Id;
use bellcroft_balancer::{Micros, Time};

/// Others that may shorten a suspicion.
const SHARED_MOST: usize = 3;

/// A member that is accused here. Whoever shares the accusation shortens it, down to a least time (Lifeguard, "dynamic
/// suspicion timeouts"): where nobody does, it may be this instance that can't hear.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Suspicion {
    start: Time,
    least: Micros,
    most: Micros,
    by: Vec<Id>,
    /// A probe from here has failed since.
    pub failed: bool,
    /// Somebody calls the member dead already.
    pub called_dead: bool,
    /// It is said to have left.
    pub leaves: bool,
}

impl Suspicion {
    pub fn new(start: Time, (least, most): (Micros, Micros), by: Id) -> Self {
        Suspicion {
            start,
            least,
            most: most.max(least),
            by: vec![by],
            failed: false,
            called_dead: false,
            leaves: false,
        }
    }

    /// One more accuses it; true if that was news.
    pub fn shared(&mut self, by: Id) -> bool {
        let news = self.by.len() <= SHARED_MOST && !self.by.contains(&by);
        if news {
            self.by.push(by);
        }
        news
    }

    /// When the member is dead, if a probe from here has failed by then.
    pub fn until(&self) -> Time {
        let others = (self.by.len() - 1) as f64;
        let part = (others + 1.0).ln() / (SHARED_MOST as f64 + 1.0).ln();
        let span = Micros(self.most.0 - ((self.most.0 - self.least.0) as f64 * part.min(1.0)) as u64);
        // Who calls it dead has waited already.
        self.start + if self.called_dead { self.least.min(span) } else { span }
    }

    /// The process stood still for so long: nobody could be heard meanwhile.
    pub fn put_off(&mut self, slept: Micros) {
        self.start = self.start + slept;
    }
}
