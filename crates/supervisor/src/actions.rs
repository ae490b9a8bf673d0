//! The output of the supervisor.

use crate::{InstanceId, ReleaseId};

/// Something to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Start a process of this instance.
    Start(InstanceId, ReleaseId),
    /// Ask the process to exit (SIGTERM).
    Terminate(InstanceId),
    /// End the process at once (SIGKILL).
    Kill(InstanceId),
    /// Make the process read its files again.
    Reload(InstanceId),
    /// Check whether it serves, and report [`Event::Proved`](crate::Event::Proved) or
    /// [`Event::ProofFailed`](crate::Event::ProofFailed).
    Prove(InstanceId),
    /// The roll has ended: all instances are renewed, or it stopped.
    RollEnded(Result<(), RollError>),
    /// The command cannot be carried out now.
    Refused(Refusal),
    /// Something about an instance for the log.
    Report(InstanceId, Report),
    /// After a stop command all instances have exited; the supervisor may exit.
    Finished,
}

/// Why a roll stopped.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RollError {
    /// An instance did not come back.
    #[error("instance {} {reason}", id.0)]
    Instance {
        /// The instance.
        id: InstanceId,
        /// What happened to it.
        reason: String,
    },
    /// A stop command came.
    #[error("the fleet was told to stop")]
    FleetStopping,
}

/// Why a command is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// A stop command came before.
    #[error("the fleet is stopping")]
    FleetStopping,
    /// Only one roll runs at a time.
    #[error("a roll is under way ({renewed} of {total})")]
    RollInProgress {
        /// Instances that the roll has renewed.
        renewed: usize,
        /// All instances of the roll.
        total: usize,
    },
}

/// What an operator may want to know about an instance.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Report {
    /// A roll restarts an instance that had failed.
    #[error("is tried again")]
    Retried,
    /// Its process runs and is terminated, for this reason.
    #[error("{0}")]
    Unusable(String),
    /// Its process has exited unexpectedly, with this status.
    #[error("has died: {0}")]
    UnexpectedExit(String),
    /// It is not restarted any more.
    #[error("has failed {failures} times in a row")]
    Failed {
        /// Consecutive failures.
        failures: u32,
    },
    /// Its process did not exit in time and is killed.
    #[error("does not end; it is killed")]
    Killed,
}
