//! What an instance holds of itself among the others, and by how many it reckons.

use bellcroft_balancer::{Micros, Time};
use std::collections::VecDeque;

/// What an instance states of itself, by how many of the known roster are there. `docs/design/membership.md` has the
/// table of what each subsystem does in each.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stance {
    /// It has just started, or stood still, and knows nothing for sure.
    Waking,
    /// Nobody else is there.
    Alone,
    /// Half of the roster or less is there.
    Minority,
    /// More than half of it is there, and a quarter or more is not.
    Majority,
    /// Less than a quarter of it is missing.
    Degraded,
    /// All are there.
    Whole,
}

impl Stance {
    /// All of them, in the order of how much is known.
    pub const ALL: [Stance; 6] =
        [Stance::Waking, Stance::Alone, Stance::Minority, Stance::Majority, Stance::Degraded, Stance::Whole];

    /// One word for it.
    pub fn word(self) -> &'static str {
        match self {
            Stance::Waking => "waking",
            Stance::Alone => "alone",
            Stance::Minority => "minority",
            Stance::Majority => "majority",
            Stance::Degraded => "degraded",
            Stance::Whole => "whole",
        }
    }

    /// By how many are here of how many there are to be, this instance among both. Never by who answers alone: two
    /// halves that count only themselves would both be whole.
    pub(crate) fn of(here: u32, expected: u32) -> Self {
        let missing = u64::from(expected.saturating_sub(here));
        let expected = u64::from(expected);
        if missing == 0 {
            Stance::Whole
        } else if here <= 1 {
            Stance::Alone
        } else if missing * 2 >= expected {
            Stance::Minority
        } else if missing * 4 >= expected {
            Stance::Majority
        } else {
            Stance::Degraded
        }
    }
}

/// The largest size that was lately believed.
///
/// A share of something that is counted for the whole fleet is one over this. It shrinks at once when members come, and
/// grows only when fewer have been believed for the stated time; never past the roster's share.
#[derive(Debug, Clone)]
pub struct Fleet {
    roster: u32,
    keep: Micros,
    /// Sizes that may be the largest yet, falling, each with when it was last seen.
    sizes: VecDeque<(Time, u32)>,
}

impl Fleet {
    /// By a roster of this many.
    pub fn new(roster: u32, keep: Micros) -> Self {
        Fleet { roster: roster.max(1), keep, sizes: VecDeque::new() }
    }

    /// So many are believed now.
    pub fn believe(&mut self, now: Time, size: u32) {
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
    pub fn expect(&mut self, now: Time, roster: u32) {
        if roster < self.roster {
            let former = self.roster;
            self.believe(now, former);
        }
        self.roster = roster.max(1);
    }

    /// How many there are to be, by the roster.
    pub fn roster(&self) -> u32 {
        self.roster
    }

    /// What to reckon by.
    pub fn reckoned(&self, now: Time) -> u32 {
        let lately = |(at, _): &&(Time, u32)| now.since(*at) <= self.keep;
        self.sizes.iter().filter(lately).map(|(_, size)| *size).max().unwrap_or(1).max(self.roster)
    }
}
