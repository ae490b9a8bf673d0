//! The difference between this machine's wall clock and the platform's.
//!
//! Discovery lists the start time of a server by the platform's clock, and slow start depends on the server's age. This
//! process reads the wall clock once, at its own start, and extends it by the monotonic clock, so a step of the wall clock
//! while it runs has no effect; but the clock may have been stepped before, even by an hour. The estimate relies on recent
//! starts, whose servers are a few seconds old at most, and on the fact that no server has started in the future.

use bellcroft_balancer::{Micros, Time};

/// Maximum age of a recent start if the clocks agree: discovery lists it within 6 s.
const MAX_RECENT_AGE: Micros = Micros(10_000_000);

/// Whether a server is known to have started just before its start was listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartRecency {
    /// The start is recent: the server, or this start of it, was not in the previous list of this process.
    Recent,
    /// The start may have happened at any time: this process had no previous list.
    Unknown,
}

/// Estimate of the difference between the platform's clock and this process's.
#[derive(Debug, Clone, Copy, Default)]
pub struct ClockSkew {
    /// Lowest age of a recent start when its list was received, by this process's clock.
    min_recent_age: Option<Micros>,
    /// Longest time by which a start lay in the future when its list was received.
    behind_by: Micros,
}

impl ClockSkew {
    /// Records a server's listed start, received at `now`.
    pub fn on_start(&mut self, now: Time, started: Time, recency: StartRecency) {
        self.behind_by = self.behind_by.max(started.since(now));
        if recency == StartRecency::Recent {
            let age = now.since(started);
            self.min_recent_age = Some(self.min_recent_age.map_or(age, |min| min.min(age)));
        }
    }

    /// Converts a server's listed start to this process's clock.
    pub fn local(&self, started: Time) -> Time {
        if self.behind_by > Micros::ZERO {
            return started - self.behind_by;
        }
        // This process's clock is ahead if every recent start seemed old.
        match self.min_recent_age {
            Some(ahead_by) if ahead_by > MAX_RECENT_AGE => started + ahead_by,
            Some(_) | None => started,
        }
    }
}
