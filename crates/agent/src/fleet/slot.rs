//! An instance of the fleet as the supervisor process holds it: its listening socket and its processes.

use super::commands::FleetEvent;
use super::process::Process;
use super::supervisor_loop::bind;
use bellcroft_operator_config::FleetInstance;
use bellcroft_supervisor::InstanceId;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinHandle;

/// One instance of the fleet: its listening socket, which stays open across restarts, and its processes.
pub(super) struct InstanceSlot {
    pub(super) member: FleetInstance,
    pub(super) dir: PathBuf,
    /// None while no process accepts and none will soon.
    pub(super) listener: Option<TcpListener>,
    pub(super) address: SocketAddr,
    pub(super) process: Option<RunningProcess>,
    /// The process that is to replace the present one.
    pub(super) successor: Option<RunningProcess>,
    /// The process that the present one has replaced, while it shuts down.
    pub(super) predecessor: Option<RunningProcess>,
    /// Whether an earlier supervisor started the present process.
    pub(super) adopted: bool,
    /// Number of the process that was last started or adopted.
    pub(super) last_number: u64,
}

/// What a process is to its instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProcessRole {
    /// It is the instance's process.
    Present,
    /// It is to replace the present one.
    Successor,
    /// The present one has replaced it.
    Predecessor,
}

/// A process of an instance.
pub(super) struct RunningProcess {
    pub(super) process: Process,
    /// Identifies the process among those of its instance.
    pub(super) number: u64,
    /// Pending check: whether it is ready, or whether it serves requests. Aborted when the process exits or is terminated.
    check: Option<JoinHandle<()>>,
}

impl RunningProcess {
    pub(super) fn new(process: Process, number: u64) -> Self {
        RunningProcess { process, number, check: None }
    }

    pub(super) fn set_check(&mut self, check: Option<JoinHandle<()>>) {
        if let Some(earlier) = std::mem::replace(&mut self.check, check) {
            earlier.abort();
        }
    }
}

impl Drop for RunningProcess {
    fn drop(&mut self) {
        self.set_check(None);
    }
}

impl InstanceSlot {
    pub(super) fn running(&mut self, role: ProcessRole) -> &mut Option<RunningProcess> {
        match role {
            ProcessRole::Present => &mut self.process,
            ProcessRole::Successor => &mut self.successor,
            ProcessRole::Predecessor => &mut self.predecessor,
        }
    }

    /// The role of the process with this number; none if it has exited.
    pub(super) fn role(&self, number: u64) -> Option<ProcessRole> {
        let has_number =
            |running: &Option<RunningProcess>| running.as_ref().is_some_and(|r| r.number == number);
        let roles = [
            (ProcessRole::Present, &self.process),
            (ProcessRole::Successor, &self.successor),
            (ProcessRole::Predecessor, &self.predecessor),
        ];
        roles.into_iter().find(|(_, running)| has_number(running)).map(|(role, _)| role)
    }

    /// Adds a process in this role, and returns its number.
    pub(super) fn add_process(&mut self, role: ProcessRole, process: Process) -> u64 {
        self.last_number += 1;
        let number = self.last_number;
        *self.running(role) = Some(RunningProcess::new(process, number));
        number
    }

    /// The listening socket, which is bound again if it has been closed.
    pub(super) fn open_listener(&mut self) -> io::Result<&TcpListener> {
        let listener = match self.listener.take() {
            Some(listener) => listener,
            None => bind(self.address)?,
        };
        Ok(self.listener.insert(listener))
    }
}

/// An event of one process.
#[derive(Debug)]
pub(super) enum ProcessEvent {
    /// It has exited, with this status, and with this code if it was not killed.
    Exited { status: String, code: Option<i32> },
    /// It reports that it is ready.
    Ready,
    /// It serves requests.
    Proved,
    /// It is ready and does not serve, for this reason.
    ProofFailed(String),
}

/// Sends the events of one process to the event loop.
pub(super) struct ProcessEvents {
    pub(super) id: InstanceId,
    pub(super) process_number: u64,
    pub(super) events: UnboundedSender<FleetEvent>,
}

impl ProcessEvents {
    pub(super) fn send(&self, event: ProcessEvent) {
        let (id, process_number) = (self.id, self.process_number);
        let _ = self.events.send(FleetEvent::Process { id, process_number, event });
    }
}
