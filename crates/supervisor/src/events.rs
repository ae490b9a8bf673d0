//! The input of the supervisor.

use crate::{InstanceId, ReleaseId};

/// Something that has happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Before any other event: a process of this instance runs already, started by an earlier supervisor.
    Adopted(InstanceId),
    /// The process could not be started, for this reason.
    StartFailed(InstanceId, String),
    /// The process has exited, with this status.
    Exited(InstanceId, String),
    /// The process reports that it is ready.
    Ready(InstanceId),
    /// The instance serves requests.
    Proved(InstanceId),
    /// The instance is ready and does not serve, for this reason.
    ProofFailed(InstanceId, String),
    /// A command of an operator.
    Command(Command),
    /// Time has passed.
    Tick,
}

/// A command of an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Restart all instances, a few at a time; with another program if one is given.
    Roll(Option<ReleaseId>),
    /// Make all running instances read their files again.
    Reload,
    /// Stop all instances, and then the supervisor.
    Stop,
}
