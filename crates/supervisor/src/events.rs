//! Input of the supervisor: events of processes, commands and time.

use crate::{InstanceId, ReleaseId};

/// An event that the caller reports to the supervisor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A process of this instance, started by an earlier supervisor, already runs. Such events precede all others.
    Adopted(InstanceId),
    /// The process could not be started, for this reason.
    StartFailed(InstanceId, String),
    /// The process has exited, with this status.
    Exited(InstanceId, String),
    /// The process reports that it is ready.
    Ready(InstanceId),
    /// The check of [`Action::Prove`](crate::Action::Prove) succeeded: the instance serves requests.
    Proved(InstanceId),
    /// The check of [`Action::Prove`](crate::Action::Prove) failed for this reason: the instance is ready but does not
    /// serve requests.
    ProofFailed(InstanceId, String),
    /// An event of the process that is to replace the instance's present one.
    Successor(InstanceId, SuccessorEvent),
    /// A process that has been replaced has exited.
    PredecessorExited(InstanceId),
    /// A process that has been replaced under an earlier supervisor still runs. Such an event follows the instance's
    /// [`Event::Adopted`].
    PredecessorAdopted(InstanceId),
    /// A command of an operator.
    Command(Command),
    /// The time of [`Supervisor::next_wake`](crate::Supervisor::next_wake) has come.
    Tick,
}

/// An event of a process that is to replace another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SuccessorEvent {
    /// The process could not be started, for this reason.
    StartFailed(String),
    /// The program, or that of the present process, is of a version that cannot replace a running process; the process has
    /// exited.
    Unsupported,
    /// The process has exited, with this status.
    Exited(String),
    /// The process reports that it is ready.
    Ready,
    /// The check of [`Action::ProveSuccessor`](crate::Action::ProveSuccessor) succeeded.
    Proved,
    /// The check failed for this reason.
    ProofFailed(String),
}

/// A command of an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Restart all instances, [`Policy::roll_at_once`](crate::Policy::roll_at_once) at a time; with another program if
    /// one is given.
    Roll(Option<ReleaseId>),
    /// Make all running instances reload their files.
    Reload,
    /// Stop all instances, and then the supervisor.
    Stop,
}
