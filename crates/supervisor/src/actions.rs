//! Output of the supervisor: actions for the caller to perform.

use crate::{InstanceId, ReleaseId};

/// An action that the caller performs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Start a process of this instance.
    Start(InstanceId, ReleaseId),
    /// Request that the process exit (SIGTERM).
    Terminate(InstanceId),
    /// Kill the process (SIGKILL).
    Kill(InstanceId),
    /// Make the process reload its files.
    Reload(InstanceId),
    /// Check whether the instance serves requests, and report [`Event::Proved`](crate::Event::Proved) or
    /// [`Event::ProofFailed`](crate::Event::ProofFailed).
    Prove(InstanceId),
    /// Start a process that is to replace the instance's present one, which goes on serving meanwhile.
    StartSuccessor(InstanceId, ReleaseId),
    /// Check whether the successor serves requests, and report [`SuccessorEvent::Proved`](crate::SuccessorEvent::Proved) or
    /// [`SuccessorEvent::ProofFailed`](crate::SuccessorEvent::ProofFailed).
    ProveSuccessor(InstanceId),
    /// Request that the successor exit (SIGTERM).
    TerminateSuccessor(InstanceId),
    /// Kill the successor (SIGKILL).
    KillSuccessor(InstanceId),
    /// The successor is the instance's process from now on; the former one, if it runs, is its predecessor.
    Promote(InstanceId),
    /// Request that the predecessor exit (SIGTERM).
    TerminatePredecessor(InstanceId),
    /// Kill the predecessor (SIGKILL).
    KillPredecessor(InstanceId),
    /// Close the instance's listening socket until its next start: no process will accept soon. A connection that is
    /// refused holds no request.
    CloseListener(InstanceId),
    /// The roll has ended: every instance has been restarted or skipped, or the roll stopped early with an error.
    RollEnded(Result<(), RollError>),
    /// The command is refused in the present state.
    Refused(Refusal),
    /// A report about an instance, to be logged.
    Report(InstanceId, Report),
    /// All instances have exited after a stop command; the supervisor may exit.
    Finished,
}

/// Reason why a roll stopped early.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RollError {
    /// An instance did not serve after its restart.
    #[error("instance {} {reason}", id.0)]
    Instance {
        /// The instance that failed.
        id: InstanceId,
        /// Description of the failure, which follows the instance's number or name in messages.
        reason: String,
    },
    /// The operator stopped the fleet.
    #[error("the fleet was told to stop")]
    FleetStopping,
}

/// Reason why a command is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// A stop command was accepted earlier.
    #[error("the fleet is stopping")]
    FleetStopping,
    /// Only one roll runs at a time.
    #[error("a roll is under way ({restarted} of {total})")]
    RollInProgress {
        /// Number of instances that the roll has restarted so far.
        restarted: usize,
        /// Number of all instances of the roll.
        total: usize,
    },
}

/// A report about one instance for operators. The text follows the instance's name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Report {
    /// A roll restarts an instance that had failed.
    #[error("is tried again")]
    Retried,
    /// The process runs without serving and is terminated, for this reason.
    #[error("{0}")]
    Unusable(String),
    /// The process has exited unexpectedly, with this status.
    #[error("has died: {0}")]
    UnexpectedExit(String),
    /// The instance is not restarted until the next roll.
    #[error("has failed {failures} times in a row")]
    Failed {
        /// Number of consecutive failures.
        failures: u32,
    },
    /// A roll ends the present process before it starts the next one, which cannot run beside it.
    #[error("cannot be replaced while it runs; it is ended first")]
    EndedFirst,
    /// The process that was to replace the present one did not take over, for this reason.
    #[error("goes on with its present process, for the new one {0}")]
    NotReplaced(String),
    /// The process did not exit within [`Policy::stop_within`](crate::Policy::stop_within) and is killed.
    #[error("does not end; it is killed")]
    Killed,
}
