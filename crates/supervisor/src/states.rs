//! Identities, time, and the phases of an instance.

use std::time::Duration;

/// An instance: its index in the fleet's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId(pub usize);

/// A program that instances run: its index in the caller's list. 0 is the one of the fleet's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ReleaseId(pub usize);

/// A time, as the duration since any moment that the caller fixes.
pub type Time = Duration;

/// What an instance is doing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// It has no process; one is started at this time or later.
    Waiting {
        /// The earliest start.
        until: Time,
    },
    /// Its process runs and is not ready yet.
    Starting {
        /// Since when.
        since: Time,
    },
    /// It reports that it is ready; the caller checks whether it serves.
    Proving {
        /// Since when.
        since: Time,
    },
    /// It serves.
    Ready {
        /// Since when.
        since: Time,
    },
    /// Its process has been asked to exit.
    Stopping {
        /// Since when.
        since: Time,
        /// The process did not exit in time and has been killed.
        killed: bool,
    },
    /// It died too often and is not restarted until a roll.
    Failed {
        /// The last exit.
        reason: String,
    },
    /// It has exited after a stop command.
    Stopped,
}

impl Phase {
    /// Whether it has a process, as far as is known.
    pub fn has_process(&self) -> bool {
        matches!(
            self,
            Phase::Starting { .. } | Phase::Proving { .. } | Phase::Ready { .. } | Phase::Stopping { .. }
        )
    }

    /// Its name in the status.
    pub fn as_str(&self) -> &'static str {
        match self {
            Phase::Waiting { .. } => "waiting",
            Phase::Starting { .. } => "starting",
            Phase::Proving { .. } => "proving",
            Phase::Ready { .. } => "ready",
            Phase::Stopping { .. } => "stopping",
            Phase::Failed { .. } => "failed",
            Phase::Stopped => "stopped",
        }
    }
}
