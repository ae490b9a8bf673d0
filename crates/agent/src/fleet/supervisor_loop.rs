//! Start, event loop and end of the supervisor process.

use super::commands::FleetEvent;
use super::process::{self, Adoption};
use super::slot::{InstanceSlot, ProcessRole};
use super::{instance_dir, Fleet, RecentLog};
use crate::daemon::control::Control;
use crate::daemon::notify::Notify;
use crate::daemon::state::{StateDir, StatusWriter};
use crate::log::print_error;
use bellcroft_operator_config::{FleetFile, FleetInstance};
use bellcroft_supervisor::{Command, Event, InstanceId, Phase, Supervisor};
use serde_json::Value;
use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::time::Instant;
use tracing::info;

/// Maximum length of a listening socket's accept queue, where connections wait while no process accepts. The kernel's
/// limit (`net.core.somaxconn`) may be lower.
const ACCEPT_BACKLOG: u32 = 4096;
/// Interval at which the fleet's status file is written.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);

/// Reason why a supervisor could not start.
#[derive(Debug, thiserror::Error)]
pub(super) enum SupervisorError {
    #[error("cannot install signal handlers: {0}")]
    Signals(#[source] io::Error),
    #[error("cannot determine the path of the running program: {0}")]
    OwnProgram(#[source] io::Error),
    #[error(transparent)]
    AdoptionTask(#[from] tokio::task::JoinError),
    #[error("{}: a process holds this directory and does not respond; stop it, then start again", dir.display())]
    UnresponsiveProcess { dir: PathBuf },
    #[error("{name}: cannot listen on {address}: {source}")]
    Listen { name: String, address: SocketAddr, source: io::Error },
    #[error(transparent)]
    ListenerAddress(io::Error),
    #[error("cannot create the control socket: {0}")]
    ControlSocket(#[source] io::Error),
    #[error("cannot start the thread that writes the status: {0}")]
    StatusWriter(#[source] io::Error),
}

/// Runs a fleet until all of its instances have stopped after a stop command or a signal.
pub(super) async fn supervise(file: FleetFile, state: &StateDir) -> Result<(), SupervisorError> {
    let signals = Signals::install()?;
    let (notify, problem) = Notify::find(|name| std::env::var_os(name));
    problem.into_iter().for_each(print_error);
    let program = match &file.program {
        Some(program) => program.clone(),
        None => std::env::current_exe().map_err(SupervisorError::OwnProgram)?,
    };
    let instances = adopt_or_bind(&file).await?;
    let (sender, events) = unbounded_channel();
    let supervisor = Supervisor::new(file.policy.clone(), instances.len(), fastrand::u64(..), Duration::ZERO);
    let fleet = Rc::new(RefCell::new(Fleet {
        supervisor,
        instances,
        programs: vec![program],
        time_origin: Instant::now(),
        events: sender,
        last_roll: None,
        ended_rolls: 0,
        begun_reloads: 0,
        reload: super::commands::ReloadProgress::default(),
        log: RecentLog::default(),
        finished: false,
        ready_notified: false,
    }));
    // The control socket and the event loop share the fleet's state.
    let control_fleet = fleet.clone();
    let on_request = move |request: Value| control_fleet.borrow().on_control_request(&request);
    let _control_socket = Control::serve(state.path(), on_request).map_err(SupervisorError::ControlSocket)?;
    let writer = StatusWriter::start(state.path()).map_err(SupervisorError::StatusWriter)?;
    fleet.borrow_mut().adopt_and_start();
    SupervisorLoop { fleet: fleet.clone(), signals, events, notify, writer }.run().await;
    info!("all instances have stopped");
    Ok(())
}

struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn install() -> Result<Self, SupervisorError> {
        let install = |kind| signal(kind).map_err(SupervisorError::Signals);
        Ok(Signals {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
            hangup: install(SignalKind::hangup())?,
        })
    }
}

/// Adopts processes that an earlier supervisor left running, for all instances concurrently and before any process is
/// started. Binds a listening socket for each instance whose process did not pass one.
async fn adopt_or_bind(file: &FleetFile) -> Result<Vec<InstanceSlot>, SupervisorError> {
    let adopt = |member: &FleetInstance| {
        let dir = instance_dir(file, member);
        tokio::task::spawn_local(async move { process::adopt(&dir).await })
    };
    let adoptions: Vec<_> = file.instances.iter().map(adopt).collect();
    let mut instances = Vec::with_capacity(file.instances.len());
    for (member, adoption) in file.instances.iter().zip(adoptions) {
        let dir = instance_dir(file, member);
        let adopted = match adoption.await? {
            Adoption::NotRunning => None,
            Adoption::Running(adopted) => Some(adopted),
            Adoption::Unresponsive => return Err(SupervisorError::UnresponsiveProcess { dir }),
        };
        let (process, predecessor, listener) = match adopted {
            Some(adopted) => (Some(adopted.process), adopted.predecessor, adopted.listener),
            None => (None, None, None),
        };
        let listener = match listener {
            Some(listener) => listener,
            None => bind(member.listen).map_err(|source| SupervisorError::Listen {
                name: member.name.clone(),
                address: member.listen,
                source,
            })?,
        };
        let address = listener.local_addr().map_err(SupervisorError::ListenerAddress)?;
        let mut instance = InstanceSlot {
            member: member.clone(),
            dir,
            listener: Some(listener),
            address,
            adopted: process.is_some(),
            process: None,
            successor: None,
            predecessor: None,
            last_number: 0,
        };
        for (role, process) in [(ProcessRole::Present, process), (ProcessRole::Predecessor, predecessor)] {
            if let Some(process) = process {
                instance.add_process(role, process);
            }
        }
        instances.push(instance);
    }
    Ok(instances)
}

/// Opens a listening socket. Connections are accepted by the instance's processes, to which it is passed.
pub(super) fn bind(listen: SocketAddr) -> io::Result<TcpListener> {
    bellcroft_net::listen(listen, ACCEPT_BACKLOG)
}

impl Fleet {
    /// Reports the adopted processes to the state machine and starts the other instances.
    fn adopt_and_start(&mut self) {
        let adopted: Vec<InstanceId> =
            (0..self.instances.len()).map(InstanceId).filter(|id| self.instance(*id).adopted).collect();
        info!(instances = self.instances.len(), adopted = adopted.len(), "fleet starting");
        for id in adopted {
            self.supervise(Event::Adopted(id));
            self.watch_adopted(id);
            if self.instance(id).predecessor.is_some() {
                self.supervise(Event::PredecessorAdopted(id));
            }
        }
        self.supervise(Event::Tick);
    }

    /// Returns whether every instance is ready or has failed.
    fn all_ready_or_failed(&self) -> bool {
        (0..self.instances.len()).all(|index| {
            matches!(self.supervisor.phase(InstanceId(index)), Phase::Ready { .. } | Phase::Failed { .. })
        })
    }

    fn notify_when_started(&mut self, notify: &Notify) {
        if !self.ready_notified && self.all_ready_or_failed() {
            self.ready_notified = true;
            notify.ready("all instances are ready or have failed");
        }
    }

    fn stop(&mut self, notify: &Notify) {
        notify.stopping();
        self.handle_event(FleetEvent::Command(Command::Stop));
    }
}

struct SupervisorLoop {
    fleet: Rc<RefCell<Fleet>>,
    signals: Signals,
    events: UnboundedReceiver<FleetEvent>,
    notify: Notify,
    writer: StatusWriter,
}

impl SupervisorLoop {
    /// Handles events, signals and timers until the fleet has finished, then writes the final status.
    async fn run(mut self) {
        let mut next_status = Instant::now();
        loop {
            if self.fleet.borrow().finished {
                break;
            }
            self.fleet.borrow_mut().notify_when_started(&self.notify);
            if Instant::now() >= next_status {
                self.writer.write(self.fleet.borrow().status_json());
                next_status = Instant::now() + STATUS_INTERVAL;
            }
            let wake = self.next_wake(next_status);
            tokio::select! {
                event = self.events.recv() => match event {
                    Some(event) => self.fleet.borrow_mut().handle_event(event),
                    None => break,
                },
                _ = self.signals.terminate.recv() => self.fleet.borrow_mut().stop(&self.notify),
                _ = self.signals.interrupt.recv() => self.fleet.borrow_mut().stop(&self.notify),
                _ = self.signals.hangup.recv() => {
                    self.fleet.borrow_mut().handle_event(FleetEvent::Command(Command::Reload));
                }
                () = tokio::time::sleep_until(wake) => self.fleet.borrow_mut().supervise(Event::Tick),
            }
        }
        let status = self.fleet.borrow().status_json();
        self.writer.finish(status).await;
    }

    fn next_wake(&self, next_status: Instant) -> Instant {
        let fleet = self.fleet.borrow();
        fleet.supervisor.next_wake().map_or(next_status, |at| (fleet.time_origin + at).min(next_status))
    }
}
