//! The quorum state, which states how many of the expected instances are reachable, and the size by which fleet-wide
//! limits are divided.

use bellcroft_balancer::{Micros, Time};
use std::collections::VecDeque;

/// How many of the expected instances are reachable, this one included. `docs/design/membership.md` lists what each
/// subsystem does in each state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuorumState {
    /// The process has started or resumed after a stall, and its view is not reliable yet.
    Recovering,
    /// No other instance is reachable.
    Isolated,
    /// Half of the expected instances or fewer are reachable.
    Minority,
    /// More than half of the expected instances are reachable, and a quarter or more is missing.
    Majority,
    /// Less than a quarter of the expected instances is missing.
    Degraded,
    /// All expected instances are reachable.
    Complete,
}

impl QuorumState {
    /// All states, in the order of their values in metrics.
    pub const ALL: [QuorumState; 6] = [
        QuorumState::Recovering,
        QuorumState::Isolated,
        QuorumState::Minority,
        QuorumState::Majority,
        QuorumState::Degraded,
        QuorumState::Complete,
    ];

    /// The name in `status.json`, logs and metrics.
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

    /// The state for these numbers of reachable and expected instances. The expected number must not depend on the view:
    /// if each half of a partition expected only its own instances, both would be complete.
    pub(crate) fn of(reachable: u32, expected: u32) -> Self {
        let missing = u64::from(expected.saturating_sub(reachable));
        let expected = u64::from(expected);
        if missing == 0 {
            QuorumState::Complete
        } else if reachable <= 1 {
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

/// The largest fleet size observed within the retention time.
///
/// An instance's share of a fleet-wide limit is one over this size. The share shrinks at once when the fleet grows, and
/// grows only after fewer instances were observed for the complete retention time. It never exceeds one over the
/// expected size.
#[derive(Debug, Clone)]
pub struct FleetSize {
    expected: u32,
    retention: Micros,
    /// Candidates for the maximum, from the oldest and largest to the latest and smallest.
    observed: VecDeque<ObservedSize>,
}

#[derive(Debug, Clone, Copy)]
struct ObservedSize {
    at: Time,
    size: u32,
}

impl FleetSize {
    /// A fleet of this expected number of instances.
    pub fn new(expected: u32, retention: Micros) -> Self {
        FleetSize { expected: expected.max(1), retention, observed: VecDeque::new() }
    }

    /// Records an observed size.
    pub fn observe(&mut self, now: Time, size: u32) {
        while self.observed.back().is_some_and(|last| last.size <= size) {
            self.observed.pop_back();
        }
        self.observed.push_back(ObservedSize { at: now, size });
        self.expire(now);
    }

    fn expire(&mut self, now: Time) {
        while self.observed.len() > 1 && now.since(self.observed[0].at) > self.retention {
            self.observed.pop_front();
        }
    }

    /// Sets the expected number of instances, for a reload. A smaller number takes effect after the retention time.
    pub fn set_expected(&mut self, now: Time, expected: u32) {
        if expected < self.expected {
            let former = self.expected;
            self.observe(now, former);
        }
        self.expected = expected.max(1);
    }

    /// The expected number of instances.
    pub fn expected(&self) -> u32 {
        self.expected
    }

    /// The number of instances that share a fleet-wide limit.
    pub fn effective(&self, now: Time) -> u32 {
        let recent = self.observed.iter().filter(|observed| now.since(observed.at) <= self.retention);
        recent.map(|observed| observed.size).max().unwrap_or(1).max(self.expected)
    }
}
