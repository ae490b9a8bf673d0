//! A fleet's supervisor: holds the listening sockets, and starts, watches and stops the instances' processes as
//! `bellcroft_supervisor` decides.
//!
//! No decision is made here. Events of processes, commands and time reach the one [`Fleet`] over one channel
//! (`supervisor_loop`), which performs the supervisor's actions (`instances`) and answers the control socket
//! (`commands`).

pub(crate) mod commands;
mod instances;
mod process;
mod prove;
mod supervisor_loop;

use crate::daemon::state::{StateDir, StateDirError};
use crate::exit;
use crate::log::print_error;
use bellcroft_operator_config::{FleetFile, FleetInstance};
use bellcroft_supervisor::{InstanceId, Supervisor};
use commands::{FleetEvent, ReloadProgress, RollResult};
use instances::InstanceSlot;
use std::collections::VecDeque;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

/// The supervisor with what it decides about.
struct Fleet {
    supervisor: Supervisor,
    /// By [`InstanceId`].
    instances: Vec<InstanceSlot>,
    /// By [`bellcroft_supervisor::ReleaseId`].
    programs: Vec<PathBuf>,
    /// The zero of the supervisor's time.
    origin: Instant,
    events: UnboundedSender<FleetEvent>,
    last_roll: Option<RollResult>,
    /// Rolls that have ended, by which a client tells its own roll's end from an earlier one's.
    ended_rolls: u64,
    /// Reloads that have begun, by which a client tells its own reload from an earlier one.
    begun_reloads: u64,
    reload: ReloadProgress,
    log: RecentLog,
    /// Every instance has stopped after a stop command.
    finished: bool,
    /// The service manager has been notified of readiness.
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

/// The latest lines of the log, for the status.
#[derive(Default)]
struct RecentLog {
    lines: VecDeque<String>,
}

impl RecentLog {
    /// Lines that the status shows.
    const MAX_LINES: usize = 20;

    fn push(&mut self, line: String) {
        if self.lines.len() >= Self::MAX_LINES {
            self.lines.pop_front();
        }
        self.lines.push_back(line);
    }
}

/// Runs the fleet that a file describes, until it is asked to stop.
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

/// The state directory of an instance of the fleet.
pub(crate) fn instance_dir(fleet: &FleetFile, member: &FleetInstance) -> PathBuf {
    fleet.state.join("instances").join(&member.name)
}
