//! What an instance holds of itself among the others, and by how many it reckons.

use bellcroft_balancer::{Micros, Time};
use std::collections::VecDeque;

/// What an instance states of itself, by how many of the known roster are there. `docs/design/membership.md` has the
/// table of what each subsystem does in each.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuorumState {
    /// It has just started, or stood still, and knows nothing for sure.
    Recovering,
    /// Nobody else is there.
    Isolated,
    /// Half of the roster or less is there.
    Minority,
    /// More than half of it is there, and a quarter or more is not.
    Majority,
    /// Less than a quarter of it is missing.
    Degraded,
    /// All are there.
    Complete,
}

impl QuorumState {
    /// All of them, in the order of how much is known.
    pub const ALL: [QuorumState; 6] = [
        QuorumState::Recovering,
        QuorumState::Isolated,
        QuorumState::Minority,
        QuorumState::Majority,
        QuorumState::Degraded,
        QuorumState::Complete,
    ];

    /// One word for it.
    pub fn as_str(self) -> &'static str {
        match self {
            QuorumState::Recovering => "waking",
            QuorumState::Isolated => "alone",
            QuorumState::Minority => "minority",
            QuorumState::Majority => "majority",
            QuorumState::Degraded => "degraded",
            QuorumState::Complete => "whole",
        }
    }

    /// By how many are here of how many there are to be, this instance among both. Never by who answers alone: two
    /// halves that count only themselves would both be whole.
    pub(crate) fn of(here: u32, expected: u32) -> Self {
        let missing = u64::from(expected.saturating_sub(here));
        let expected = u64::from(expected);
        if missing == 0 {
            QuorumState::Complete
        } else if here <= 1 {
            QuorumState::Isolated
        } else if missing * 2 >= expected {
            QuorumState::Minority
        } else if missing * 4 >= expected {
            QuorumState::Majority
        } else {
            QuorumState::Degraded
        }
    }
}

/// The largest size that was lately believed.
///
/// A share of something that is counted for the whole fleet is one over this. It shrinks at once when members come, and
/// grows only when fewer have been believed for the stated time; never past the roster's share.
#[derive(Debug, Clone)]
pub struct FleetSize {
    roster: u32,
    keep: Micros,
    /// Sizes that may be the largest yet, falling, each with when it was last seen.
    sizes: VecDeque<(Time, u32)>,
}

impl FleetSize {
    /// By a roster of this many.
    pub fn new(roster: u32, keep: Micros) -> Self {
        FleetSize { roster: roster.max(1), keep, sizes: VecDeque::new() }
    }

    /// So many are believed now.
    pub fn observe(&mut self, now: Time, size: u32) {
        while self.sizes.back().is_some_and(|(_, last)| *last <= size) {
            self.sizes.pop_back();
        }
        self.sizes.push_back((now, size));
        self.expire(now);
    }

    fn expire(&mut self, now: Time) {
        while self.sizes.len() > 1 && now.since(self.sizes[0].0) > self.keep {
            self.sizes.pop_front();
        }
    }

    /// The roster, which a reload may change: more count at once, fewer after the stated time.
    pub fn set_roster(&mut self, now: Time, roster: u32) {
        if roster < self.roster {
            let former = self.roster;
            self.observe(now, former);
        }
        self.roster = roster.max(1);
    }

    /// How many there are to be, by the roster.
    pub fn roster(&self) -> u32 {
        self.roster
    }

    /// What to reckon by.
    pub fn effective(&self, now: Time) -> u32 {
        let lately = |(at, _): &&(Time, u32)| now.since(*at) <= self.keep;
        self.sizes.iter().filter(lately).map(|(_, size)| *size).max().unwrap_or(1).max(self.roster)
    }
}
