//! The supervisor process of a fleet: holds the listening sockets, and starts, watches and stops the instances'
//! processes as the state machine of `bellcroft_supervisor` decides.
//!
//! This module makes no decisions. `supervisor_loop` passes process events, commands, signals and timer ticks to the one
//! [`Fleet`]. `instances` performs the actions of the state machine, and `commands` replies to requests on the control
//! socket.

pub(crate) mod commands;
mod instances;
mod process;
mod prove;
mod slot;
mod supervisor_loop;

use crate::daemon::state::{StateDir, StateDirError};
use crate::exit;
use crate::log::print_error;
use bellcroft_operator_config::{FleetFile, FleetInstance};
use bellcroft_supervisor::{InstanceId, Supervisor};
use commands::{FleetEvent, ReloadProgress, RollResult};
use slot::InstanceSlot;
use std::collections::VecDeque;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

/// State of the fleet: the state machine, and the instances that it controls.
struct Fleet {
    supervisor: Supervisor,
    /// Instances, indexed by [`InstanceId`].
    instances: Vec<InstanceSlot>,
    /// Programs, indexed by [`bellcroft_supervisor::ReleaseId`].
    programs: Vec<PathBuf>,
    /// Origin of the supervisor's time.
    time_origin: Instant,
    events: UnboundedSender<FleetEvent>,
    last_roll: Option<RollResult>,
    /// Number of rolls that have ended, by which a `fleet restart` command recognizes the end of its own roll.
    ended_rolls: u64,
    /// Number of reloads that have begun, by which a `fleet reload` command recognizes its own reload.
    begun_reloads: u64,
    reload: ReloadProgress,
    log: RecentLog,
    /// Whether every instance has stopped after a stop command.
    finished: bool,
    /// Whether the service manager has been notified of readiness.
    ready_notified: bool,
}

impl Fleet {
    fn instance(&self, id: InstanceId) -> &InstanceSlot {
        &self.instances[id.0]
    }

    fn instance_mut(&mut self, id: InstanceId) -> &mut InstanceSlot {
        &mut self.instances[id.0]
    }
}

/// Latest lines of the log, for the status.
#[derive(Default)]
struct RecentLog {
    lines: VecDeque<String>,
}

impl RecentLog {
    /// Number of lines that the status shows.
    const MAX_LINES: usize = 20;

    fn push(&mut self, line: String) {
        if self.lines.len() >= Self::MAX_LINES {
            self.lines.pop_front();
        }
        self.lines.push_back(line);
    }
}

/// Runs the fleet that a file describes, until a command or signal stops it.
pub(crate) fn run(file: &Path) -> ExitCode {
    let fleet = match FleetFile::read(file) {
        Ok(fleet) => fleet,
        Err(faults) => {
            faults.iter().for_each(print_error);
            return ExitCode::from(exit::BAD_INPUT);
        }
    };
    let state = match StateDir::acquire(&fleet.state) {
        Ok(state) => state,
        Err(error) => {
            print_error(format_args!("bellcroft: {}: {error}", fleet.state.display()));
            let held = matches!(error, StateDirError::Held(_));
            return ExitCode::from(if held { exit::ALREADY_RUNNING } else { exit::BAD_INPUT });
        }
    };
    exit::run(supervisor_loop::supervise(fleet, &state))
}

/// Returns the state directory of an instance of the fleet.
pub(crate) fn instance_dir(fleet: &FleetFile, member: &FleetInstance) -> PathBuf {
    fleet.state.join("instances").join(&member.name)
}
