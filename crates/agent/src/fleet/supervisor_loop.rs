//! The supervisor's start, its event loop and its end.

use super::commands::FleetEvent;
use super::instances::InstanceSlot;
use super::process::{self, Adoption};
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

/// Connections that may wait in a listening socket's accept queue while no process accepts. The kernel's bound
/// (`net.core.somaxconn`) may be lower.
const ACCEPT_BACKLOG: i32 = 4096;
/// How often the fleet's status file is written.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);

/// Why a supervisor could not start.
#[derive(Debug, thiserror::Error)]
pub(super) enum SupervisorError {
    #[error("cannot await signals: {0}")]
    Signals(#[source] io::Error),
    #[error("cannot find the own program: {0}")]
    OwnProgram(#[source] io::Error),
    #[error(transparent)]
    AdoptionTask(#[from] tokio::task::JoinError),
    #[error("{}: a process holds it and does not answer; end it, then start again", dir.display())]
    UnresponsiveProcess { dir: PathBuf },
    #[error("{name}: cannot listen on {address}: {source}")]
    Listen { name: String, address: SocketAddr, source: io::Error },
    #[error(transparent)]
    ListenerAddress(io::Error),
    #[error("cannot make the control socket: {0}")]
    ControlSocket(#[source] io::Error),
    #[error("no thread writes the status: {0}")]
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
        origin: Instant::now(),
        events: sender,
        last_roll: None,
        ended_rolls: 0,
        begun_reloads: 0,
        reload: super::commands::ReloadProgress::default(),
        log: RecentLog::default(),
        finished: false,
        ready_notified: false,
    }));
    // The control socket answers from the same state as the loop, hence the shared cell.
    let answering = fleet.clone();
    let answer = move |request: Value| answering.borrow().on_control_request(&request);
    let _control_socket = Control::serve(state.path(), answer).map_err(SupervisorError::ControlSocket)?;
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

/// Looks for processes that an earlier supervisor left, for all instances at once and before any process is started, and
/// binds the listening sockets that none of them returns.
async fn adopt_or_bind(file: &FleetFile) -> Result<Vec<InstanceSlot>, SupervisorError> {
    let adopt = |member: &FleetInstance| {
        let dir = instance_dir(file, member);
        tokio::task::spawn_local(async move { process::adopt(&dir).await })
    };
    let adoptions: Vec<_> = file.instances.iter().map(adopt).collect();
    let mut instances = Vec::with_capacity(file.instances.len());
    for (member, adoption) in file.instances.iter().zip(adoptions) {
        let dir = instance_dir(file, member);
        let (process, listener) = match adoption.await? {
            Adoption::NotRunning => (None, None),
            Adoption::Running(process, listener) => (Some(process), listener),
            Adoption::Unresponsive => return Err(SupervisorError::UnresponsiveProcess { dir }),
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
        instances.push(InstanceSlot {
            member: member.clone(),
            dir,
            listener,
            address,
            adopted: process.is_some(),
            process,
            process_number: 0,
            check: None,
        });
    }
    Ok(instances)
}

fn bind(listen: SocketAddr) -> io::Result<TcpListener> {
    let domain = match listen {
        SocketAddr::V4(_) => rustix::net::AddressFamily::INET,
        SocketAddr::V6(_) => rustix::net::AddressFamily::INET6,
    };
    let flags = rustix::net::SocketFlags::CLOEXEC;
    let socket = rustix::net::socket_with(domain, rustix::net::SocketType::STREAM, flags, None)?;
    rustix::net::sockopt::set_socket_reuseaddr(&socket, true)?;
    rustix::net::bind(&socket, &listen)?;
    rustix::net::listen(&socket, ACCEPT_BACKLOG)?;
    Ok(TcpListener::from(socket))
}

impl Fleet {
    /// Adopts the processes that were found and starts the others.
    fn adopt_and_start(&mut self) {
        let adopted: Vec<InstanceId> =
            (0..self.instances.len()).map(InstanceId).filter(|id| self.instance(*id).adopted).collect();
        info!(instances = self.instances.len(), adopted = adopted.len(), "fleet starting");
        for id in adopted {
            self.supervise(Event::Adopted(id));
            self.watch_adopted(id);
        }
        self.supervise(Event::Tick);
    }

    /// Every instance is ready or has failed.
    fn settled(&self) -> bool {
        (0..self.instances.len()).all(|index| {
            matches!(self.supervisor.phase(InstanceId(index)), Phase::Ready { .. } | Phase::Failed { .. })
        })
    }

    fn notify_when_settled(&mut self, notify: &Notify) {
        if !self.ready_notified && self.settled() {
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
    /// Handles events, signals and timers until the fleet has finished; then writes the last status.
    async fn run(mut self) {
        let mut next_status = Instant::now();
        loop {
            if self.fleet.borrow().finished {
                break;
            }
            self.fleet.borrow_mut().notify_when_settled(&self.notify);
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
        fleet.supervisor.next_wake().map_or(next_status, |at| (fleet.origin + at).min(next_status))
    }
}
