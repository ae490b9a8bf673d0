//! The difference between this machine's wall clock and the platform's.
//!
//! A server's start is listed by the platform's clock, and slow start depends on its age. This process extends the wall
//! clock that it read at its start by the monotonic clock, so a step of the wall clock while it runs changes nothing; but
//! the clock may have been stepped before the start, by an hour. The estimate uses recent starts, whose servers are
//! a few seconds old at most, and the fact that no server has started in the future.

use bellcroft_balancer::{Micros, Time};

/// The maximum age of a recent start, unless the clocks differ: discovery lists it within 6 s.
const MAX_RECENT_AGE: Micros = Micros(10_000_000);

/// Whether a listed start has just happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartRecency {
    /// The server, or this start of it, was not in the list that this process had.
    Recent,
    /// It may have happened at any time: this process had no list before.
    Unknown,
}

/// The estimate of one process.
#[derive(Debug, Clone, Copy, Default)]
pub struct ClockSkew {
    /// The least age at which a recent start was learned, by this process's clock.
    least_recent_age: Option<Micros>,
    /// The furthest that a start lay in the future when it was learned.
    behind: Micros,
}

impl ClockSkew {
    /// A server's start is learned at `now`.
    pub fn on_start(&mut self, now: Time, started: Time, recency: StartRecency) {
        self.behind = self.behind.max(started.since(now));
        if recency == StartRecency::Recent {
            let age = now.since(started);
            self.least_recent_age = Some(self.least_recent_age.map_or(age, |least| least.min(age)));
        }
    }

    /// A server's start by this process's clock.
    pub fn local(&self, started: Time) -> Time {
        if self.behind > Micros::ZERO {
            return started - self.behind;
        }
        // The clock is ahead if every recent start seemed old.
        match self.least_recent_age {
            Some(ahead) if ahead > MAX_RECENT_AGE => started + ahead,
            Some(_) | None => started,
        }
    }
}
