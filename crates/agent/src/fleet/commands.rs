//! Requests and replies of the fleet's control socket, and the fleet's status.

use super::slot::ProcessEvent;
use super::Fleet;
use crate::daemon::control::{self, ControlError, Reply};
use bellcroft_supervisor::{Command, InstanceId, Phase};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::VecDeque;
use std::path::PathBuf;

/// Version of the format of [`FleetStatus`]. A higher version only adds keys.
const STATUS_VERSION: u32 = 1;

/// A request over the fleet's control socket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "command", rename_all = "lowercase")]
pub(crate) enum FleetRequest {
    /// Return the fleet's status.
    Status,
    /// Reload the files of all instances.
    Reload,
    /// Restart all instances, a few at a time.
    Restart {
        /// Program that the instances run from then on; None keeps the present one.
        program: Option<PathBuf>,
    },
    /// Stop all instances and the supervisor.
    Stop,
}

impl FleetRequest {
    /// Parses a request. Unknown keys are ignored, and a `program` that is not a string counts as absent.
    fn parse(request: &Value) -> Option<Self> {
        match request["command"].as_str()? {
            "status" => Some(FleetRequest::Status),
            "reload" => Some(FleetRequest::Reload),
            "restart" => {
                Some(FleetRequest::Restart { program: request["program"].as_str().map(PathBuf::from) })
            }
            "stop" => Some(FleetRequest::Stop),
            _ => None,
        }
    }
}

#[derive(Serialize)]
struct Accepted {
    ok: bool,
}

/// An event for the supervisor's event loop.
pub(super) enum FleetEvent {
    /// An event of a process, which may have been replaced since.
    Process {
        id: InstanceId,
        /// Number of the process among those of its instance (`RunningProcess::number`).
        process_number: u64,
        event: ProcessEvent,
    },
    /// A command of an operator.
    Command(Command),
    /// A command to roll all instances to another program.
    Release(PathBuf),
    /// The result of an instance's reload.
    Reloaded(InstanceId, Result<(), ControlError>),
}

/// Status of a fleet.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct FleetStatus {
    /// Always [`STATUS_VERSION`] in a status that this version writes.
    pub(crate) version: u32,
    /// Process id of the supervisor.
    pub(crate) pid: u32,
    /// Whether a stop command has been accepted.
    pub(crate) stopping: bool,
    /// Status of each instance, in the order of the fleet's file.
    pub(crate) instances: Vec<InstanceStatus>,
    /// Progress of the roll under way.
    pub(crate) roll: Option<RollProgress>,
    /// Result of the last roll that ended.
    pub(crate) last_roll: Option<RollResult>,
    /// Number of rolls that have ended.
    #[serde(rename = "rolls")]
    pub(crate) ended_rolls: u64,
    /// Number of reloads that have begun.
    #[serde(rename = "reloads")]
    pub(crate) begun_reloads: u64,
    /// Progress of the last reload.
    pub(crate) reload: ReloadProgress,
    /// Latest lines of the log.
    pub(crate) log: VecDeque<String>,
}

/// Status of one instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct InstanceStatus {
    /// Name of the instance.
    pub(crate) name: String,
    /// Phase of the instance, as [`Phase::as_str`] gives it.
    pub(crate) phase: String,
    /// Process id, if a process runs.
    pub(crate) pid: Option<u32>,
    /// Address to which clients connect.
    pub(crate) listen: String,
    /// Number of processes that this supervisor has started for the instance.
    pub(crate) starts: u64,
    /// Whether an earlier supervisor started the process.
    pub(crate) adopted: bool,
    /// Program that the instance runs.
    pub(crate) program: PathBuf,
    /// State directory of the instance.
    pub(crate) state: PathBuf,
    /// Reason for the failure, if the instance has failed.
    #[serde(rename = "why")]
    pub(crate) failure: Option<String>,
}

/// Progress of a roll.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RollProgress {
    /// Number of instances that the roll has restarted or skipped.
    #[serde(rename = "done")]
    pub(crate) renewed: usize,
    /// Number of all instances.
    #[serde(rename = "all")]
    pub(crate) total: usize,
}

/// Result of a roll.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RollResult {
    /// Whether the roll has restarted or skipped every instance.
    #[serde(rename = "ok")]
    pub(crate) complete: bool,
    /// Reason why the roll stopped, unless it is complete.
    #[serde(rename = "why", default, skip_serializing_if = "Option::is_none")]
    pub(crate) failure: Option<String>,
}

/// Results of the last reload so far.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReloadProgress {
    /// Number of instances to which the request was sent.
    #[serde(rename = "asked")]
    pub(crate) requested: u64,
    /// Number of instances that have reloaded.
    #[serde(rename = "taken")]
    pub(crate) accepted: u64,
    /// Instances that rejected the reload or did not reply.
    #[serde(rename = "refused")]
    pub(crate) rejected: Vec<ReloadRejection>,
}

/// An instance that rejected a reload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReloadRejection {
    /// Name of the instance.
    pub(crate) name: String,
    /// Reason for the rejection.
    #[serde(rename = "why")]
    pub(crate) reason: String,
}

impl Fleet {
    /// Replies to a request over the control socket; commands are queued as events.
    pub(super) fn on_control_request(&self, request: &Value) -> Reply {
        let parsed = FleetRequest::parse(request);
        if parsed == Some(FleetRequest::Status) {
            return Reply::message(&self.status());
        }
        // This check precedes the check for unknown commands, so a stopping fleet refuses those with this reason too.
        if self.supervisor.stopping() && request["command"].is_string() {
            return control::error("the fleet is stopping");
        }
        let rolling = self.supervisor.roll().is_some();
        match parsed {
            Some(FleetRequest::Reload) => self.enqueue(FleetEvent::Command(Command::Reload)),
            Some(FleetRequest::Stop) => self.enqueue(FleetEvent::Command(Command::Stop)),
            Some(FleetRequest::Restart { .. }) if rolling => control::error("a roll is under way"),
            Some(FleetRequest::Restart { program: None }) => {
                self.enqueue(FleetEvent::Command(Command::Roll(None)))
            }
            Some(FleetRequest::Restart { program: Some(program) }) => {
                self.enqueue(FleetEvent::Release(program))
            }
            Some(FleetRequest::Status) | None => {
                control::error("a command was expected: status, reload, restart or stop")
            }
        }
    }

    fn enqueue(&self, event: FleetEvent) -> Reply {
        match self.events.send(event) {
            Ok(()) => Reply::message(&Accepted { ok: true }),
            Err(_) => control::error("the supervisor is ending"),
        }
    }

    pub(super) fn status(&self) -> FleetStatus {
        let progress = |(renewed, total)| RollProgress { renewed, total };
        FleetStatus {
            version: STATUS_VERSION,
            pid: std::process::id(),
            stopping: self.supervisor.stopping(),
            instances: (0..self.instances.len())
                .map(|index| self.instance_status(InstanceId(index)))
                .collect(),
            roll: self.supervisor.roll().map(progress),
            last_roll: self.last_roll.clone(),
            ended_rolls: self.ended_rolls,
            begun_reloads: self.begun_reloads,
            reload: self.reload.clone(),
            log: self.log.lines.clone(),
        }
    }

    fn instance_status(&self, id: InstanceId) -> InstanceStatus {
        let instance = self.instance(id);
        let phase = self.supervisor.phase(id);
        let failure = match phase {
            Phase::Failed { reason } => Some(reason.clone()),
            _ => None,
        };
        InstanceStatus {
            name: instance.member.name.clone(),
            phase: phase.as_str().to_owned(),
            pid: instance.process.as_ref().map(|running| running.process.pid),
            listen: instance.address.to_string(),
            starts: self.supervisor.starts(id),
            adopted: instance.adopted,
            program: self.programs[self.supervisor.release(id).0].clone(),
            state: instance.dir.clone(),
            failure,
        }
    }

    /// Returns the status in the format of the status file.
    pub(super) fn status_json(&self) -> Vec<u8> {
        Reply::message(&self.status()).value.to_string().into_bytes()
    }
}
