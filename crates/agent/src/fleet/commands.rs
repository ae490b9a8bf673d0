//! The fleet's control socket: requests, replies and the status.

use super::Fleet;
use crate::daemon::control::{self, ControlError, Reply};
use bellcroft_supervisor::{Command, Event, InstanceId, Phase};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::VecDeque;
use std::path::PathBuf;

/// The version of [`FleetStatus`]'s form. A higher one only adds keys.
const STATUS_VERSION: u32 = 1;

/// A request over the fleet's control socket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "command", rename_all = "lowercase")]
pub(crate) enum FleetRequest {
    /// The fleet's status.
    Status,
    /// All instances read their files again.
    Reload,
    /// Restart all instances, a few at a time.
    Restart {
        /// The program that they run from then on; none keeps the present one.
        program: Option<PathBuf>,
    },
    /// Stop all instances and the supervisor.
    Stop,
}

impl FleetRequest {
    /// Reads a request. Unknown keys are skipped, and a `program` that is no text counts as absent.
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

/// What happens to a fleet.
pub(super) enum FleetEvent {
    /// Something happened to a process, which may have been replaced since.
    Process {
        id: InstanceId,
        /// Which of the instance's processes, counted from its first.
        process_number: u64,
        event: Event,
    },
    /// A command of an operator.
    Command(Command),
    /// Roll all instances to another program.
    Release(PathBuf),
    /// An instance has answered a reload.
    Reloaded(InstanceId, Result<(), ControlError>),
}

/// The status of a fleet.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct FleetStatus {
    /// [`STATUS_VERSION`].
    pub(crate) version: u32,
    /// The supervisor's process.
    pub(crate) pid: u32,
    /// A stop command has been accepted.
    pub(crate) stopping: bool,
    /// The instances in the order of the fleet's file.
    pub(crate) instances: Vec<InstanceStatus>,
    /// The roll in progress.
    pub(crate) roll: Option<RollProgress>,
    /// The last roll that ended.
    pub(crate) last_roll: Option<RollResult>,
    /// Rolls that have ended.
    #[serde(rename = "rolls")]
    pub(crate) ended_rolls: u64,
    /// Reloads that have begun.
    #[serde(rename = "reloads")]
    pub(crate) begun_reloads: u64,
    /// The last reload.
    pub(crate) reload: ReloadProgress,
    /// The latest lines of the log.
    pub(crate) log: VecDeque<String>,
}

/// The status of one instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct InstanceStatus {
    /// Its name.
    pub(crate) name: String,
    /// Its phase, by [`Phase::as_str`].
    pub(crate) phase: String,
    /// Its process, if one runs.
    pub(crate) pid: Option<u32>,
    /// Where clients connect.
    pub(crate) listen: String,
    /// Starts by this supervisor.
    pub(crate) starts: u64,
    /// Its process was started by an earlier supervisor.
    pub(crate) adopted: bool,
    /// The program that it runs.
    pub(crate) program: PathBuf,
    /// Its state directory.
    pub(crate) state: PathBuf,
    /// Why it failed; none unless it has.
    #[serde(rename = "why")]
    pub(crate) failure: Option<String>,
}

/// How far a roll is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RollProgress {
    /// Instances that run a new process.
    #[serde(rename = "done")]
    pub(crate) renewed: usize,
    /// All instances.
    #[serde(rename = "all")]
    pub(crate) total: usize,
}

/// How a roll ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RollResult {
    /// Every instance runs a new process.
    #[serde(rename = "ok")]
    pub(crate) complete: bool,
    /// Why the roll stopped; none if it is complete.
    #[serde(rename = "why", default, skip_serializing_if = "Option::is_none")]
    pub(crate) failure: Option<String>,
}

/// The answers to the last reload.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReloadProgress {
    /// Instances that were asked.
    #[serde(rename = "asked")]
    pub(crate) requested: u64,
    /// Instances that have reloaded.
    #[serde(rename = "taken")]
    pub(crate) accepted: u64,
    /// Instances that have not.
    #[serde(rename = "refused")]
    pub(crate) rejected: Vec<ReloadRejection>,
}

/// An instance that rejected a reload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReloadRejection {
    /// The instance's name.
    pub(crate) name: String,
    /// Why.
    #[serde(rename = "why")]
    pub(crate) reason: String,
}

impl Fleet {
    /// Answers a request over the control socket; commands are queued as events.
    pub(super) fn on_control_request(&self, request: &Value) -> Reply {
        let parsed = FleetRequest::parse(request);
        if parsed == Some(FleetRequest::Status) {
            return Reply::message(&self.status());
        }
        // Checked before the command is known to be valid: a stopping fleet refuses unknown commands for this reason too.
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
            pid: instance.process.as_ref().map(|process| process.pid),
            listen: instance.address.to_string(),
            starts: self.supervisor.starts(id),
            adopted: instance.adopted,
            program: self.programs[self.supervisor.release(id).0].clone(),
            state: instance.dir.clone(),
            failure,
        }
    }

    /// The status as it stands in the status file.
    pub(super) fn status_json(&self) -> Vec<u8> {
        Reply::message(&self.status()).value.to_string().into_bytes()
    }
}
