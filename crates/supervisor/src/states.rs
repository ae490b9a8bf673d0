//! Identifiers, time, and the phases of an instance.

use crate::Policy;
use std::time::Duration;

/// Identifies an instance by its index in the fleet's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId(pub usize);

/// Identifies a program that instances run by its index in the caller's list. 0 is the program at the fleet's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ReleaseId(pub usize);

/// A time, as the duration since an origin that the caller chooses.
pub type Time = Duration;

/// The phase of an instance's life cycle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// The instance has no process and waits for its next start.
    Waiting {
        /// Earliest time of the next start.
        until: Time,
    },
    /// The process runs and is not ready yet.
    Starting {
        /// Time of the start.
        since: Time,
    },
    /// The process reports that it is ready; the caller checks whether it serves requests.
    Proving {
        /// Start of the check.
        since: Time,
    },
    /// The instance serves requests.
    Ready {
        /// Time at which the check succeeded.
        since: Time,
    },
    /// The process has been requested to exit.
    Stopping {
        /// Time of the request.
        since: Time,
        /// Whether the process did not exit in time and has been killed.
        killed: bool,
    },
    /// The instance failed too often in a row and is not restarted until the next roll.
    Failed {
        /// Status of the last exit, or the reason why the last start failed.
        reason: String,
    },
    /// The instance has no process any more after a stop command.
    Stopped,
}

impl Phase {
    /// Whether the instance has a process, according to the events received so far.
    pub fn has_process(&self) -> bool {
        matches!(
            self,
            Phase::Starting { .. } | Phase::Proving { .. } | Phase::Ready { .. } | Phase::Stopping { .. }
        )
    }

    /// The time at which a process that is still in this phase has taken too long; none if the phase may last.
    pub(crate) fn timeout(&self, policy: &Policy) -> Option<Time> {
        match self {
            Phase::Starting { since } => Some(*since + policy.ready_within),
            Phase::Proving { since } => Some(*since + policy.prove_within),
            Phase::Stopping { since, killed: false } => Some(*since + policy.stop_within),
            _ => None,
        }
    }

    /// Name of the phase in the fleet's status.
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
