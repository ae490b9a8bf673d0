//! The life of an instance: built in [`Startup::build`], run by [`Serving::run`], ended by [`Serving::shut_down`].

use super::console::Console;
use super::control::{self, Control};
use super::descriptors::DescriptorBudget;
use super::error::DaemonError;
use super::handover::{HandoverListener, OfferedSocket};
use super::instance::{Instance, Lifecycle, ShutdownRequest, StatePlace};
use super::listen::{ClientSocket, ListenerOrigin};
use super::notify::Notify;
use super::reload::ReloadHistory;
use super::shutdown::{self, Successor};
use super::socket_file::BoundSocket;
use super::state::{StateDir, StatusWriter};
use super::status::Phase;
use super::takeover::StateTakeover;
use super::Startup;
use crate::control_plane::ControlPlane;
use crate::downstream::{QueueOrigin, Server};
use bellcroft_agent_core::handover::HandoverEvent;
use bellcroft_agent_core::serving::ShutdownKind;
use bellcroft_agent_core::shutdown::ShutdownSignal;
use bellcroft_net::Listener;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tracing::{info, warn};

/// How often a starting instance checks whether it is ready.
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Serves until a shutdown is requested, and then until every accepted request has its response. SIGHUP reloads.
///
/// # Errors
///
/// The instance cannot start, or its driver stops.
pub(super) async fn serve(startup: Startup) -> Result<(), DaemonError> {
    let signals = Signals::install()?;
    let mut serving = startup.build(signals).await?;
    serving.run().await?;
    serving.shut_down().await;
    Ok(())
}

pub(super) struct Signals {
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    fn install() -> Result<Self, DaemonError> {
        let install =
            |kind, name| signal(kind).map_err(|source| DaemonError::Signal { signal: name, source });
        Ok(Signals {
            terminate: install(SignalKind::terminate(), "SIGTERM")?,
            hangup: install(SignalKind::hangup(), "SIGHUP")?,
        })
    }
}

/// The control socket's way to the instance, which exists only once the socket is served.
type InstanceSlot = Rc<RefCell<Option<Rc<Instance>>>>;

/// What an instance keeps on disk: nothing without a state directory.
struct StateFiles {
    writer: Option<StatusWriter>,
    control_socket: Option<Control>,
    instance: InstanceSlot,
}

impl StateFiles {
    /// Starts the status writer and, unless the process replaces another one, the control socket; what fails is added to `problems`.
    fn open(state: Option<&StateDir>, is_successor: bool, problems: &mut Vec<String>) -> Self {
        let instance = InstanceSlot::default();
        let Some(state) = state else {
            return StateFiles { writer: None, control_socket: None, instance };
        };
        let writer = StatusWriter::start(state.path());
        let writer = writer.map_err(|e| problems.push(format!("no thread writes the status: {e}"))).ok();
        if is_successor {
            return StateFiles { writer, control_socket: None, instance };
        }
        let answering = instance.clone();
        let answer = move |request: Value| match &*answering.borrow() {
            Some(instance) => instance.on_control_request(&request),
            None => control::error("not started yet"),
        };
        let control_socket = Control::serve(state.path(), answer);
        let control_socket = control_socket.map_err(|e| problems.push(format!("control socket: {e}"))).ok();
        if let Some((writer, control_socket)) = writer.as_ref().zip(control_socket.as_ref()) {
            writer.set_control_socket(control_socket.file());
        }
        StateFiles { writer, control_socket, instance }
    }

    fn place(&self, state: &StateDir, is_successor: bool) -> StatePlace {
        StatePlace {
            lock: state.share_lock(),
            awaits_takeover: is_successor,
            control_file: self.control_socket.as_ref().map(Control::file),
        }
    }
}

impl Startup {
    /// Starts every part of the instance. Clients are accepted from here on, but by a successor, which leaves them to its
    /// predecessor until it is ready or remains alone.
    async fn build(self, signals: Signals) -> Result<Serving, DaemonError> {
        let Startup { config, options, mut state, mut problems, started_ms } = self;
        let is_successor = options.is_successor;
        let mut socket = ClientSocket::acquire(&config, state.as_mut()).await?;
        let connection_limits = DescriptorBudget::new(&config);
        let (notify, problem) = Notify::find(|name| std::env::var_os(name));
        problems.extend(problem);
        let name = config.name.clone();
        let control = ControlPlane::start(config, options, connection_limits.backends, started_ms).await?;
        let driver = control.driver().clone();
        let driver_task = control.take_driver_task().unwrap_or_else(|| unreachable!("it was just started"));
        let mut predecessor = None;
        if let ListenerOrigin::Predecessor { claims, stream, .. } = &mut socket.origin {
            predecessor = stream.peer();
            if let Some(claims) = claims.take() {
                driver.join_claims(claims);
            }
        }
        let server = Server::new(driver.clone(), connection_limits.clients);
        let files = StateFiles::open(state.as_ref(), is_successor, &mut problems);
        log_problems(&name, &problems);
        let state_place = state.as_ref().map(|state| files.place(state, is_successor));
        let instance = Rc::new(Instance {
            control,
            driver,
            server,
            notify,
            listen: socket.address.to_string(),
            listener_copy: RefCell::new(socket.control_copy),
            connection_limits,
            problems,
            lifecycle: RefCell::new(Lifecycle::new(started_ms)),
            reloads: RefCell::new(ReloadHistory::new()),
            status_writer: RefCell::new(files.writer),
            shutdown_request: ShutdownRequest::default(),
            handover: RefCell::default(),
            handover_changed: tokio::sync::Notify::new(),
            predecessor: Cell::new(predecessor),
            state_place: RefCell::new(state_place),
            handover_listener: RefCell::default(),
        });
        let mut serving = Serving {
            instance: instance.clone(),
            signals,
            driver_task,
            socket_inherited: is_successor || matches!(socket.origin, ListenerOrigin::Inherited),
            queue_origin: socket.origin.queue(),
            listener: Some(socket.listener),
            accept_task: None,
            control_socket: files.control_socket,
            console: None,
            offered: socket.offered,
            takeover: StateTakeover::NotStarted,
            awaits_predecessors_exit: is_successor,
            supervisor: rustix::process::getppid(),
            state,
        };
        if !is_successor {
            serving.serve_handover();
            serving.serve_console().await?;
        }
        let gauges = instance.clone();
        instance.control.send_telemetry(move || gauges.refresh_gauges());
        *files.instance.borrow_mut() = Some(instance.clone());
        instance.write_status();
        serving.open_listener(socket.origin);
        info!(instance = %name, address = %socket.address, "listening for clients");
        Ok(serving)
    }
}

fn log_problems(name: &str, problems: &[String]) {
    for problem in problems {
        warn!(instance = %name, problem, "start: continuing with a problem");
    }
}

/// An instance that serves, and what ends with it.
pub(super) struct Serving {
    pub(super) instance: Rc<Instance>,
    pub(super) signals: Signals,
    pub(super) driver_task: JoinHandle<()>,
    /// A supervisor holds the listening socket too.
    pub(super) socket_inherited: bool,
    /// Whether connections may have waited in the accept queue before this process accepted.
    pub(super) queue_origin: QueueOrigin,
    /// The listening socket while clients are not accepted yet.
    pub(super) listener: Option<Listener>,
    pub(super) accept_task: Option<JoinHandle<()>>,
    pub(super) control_socket: Option<Control>,
    pub(super) console: Option<Console>,
    /// The listening socket for a process that replaces this one, with the path of the Unix socket where it asks.
    pub(super) offered: Option<(PathBuf, Rc<OfferedSocket>)>,
    /// How far the replacement of another process at the sockets of the state directory has come.
    pub(super) takeover: StateTakeover,
    /// Whether the addresses of membership and of the console are the predecessor's until it exits.
    pub(super) awaits_predecessors_exit: bool,
    /// The parent at the start.
    pub(super) supervisor: Option<rustix::process::Pid>,
    /// The lock, which is released last.
    pub(super) state: Option<StateDir>,
}

impl Serving {
    /// Offers the listening socket to a process that is to replace this one.
    pub(super) fn serve_handover(&mut self) {
        let Some((path, _)) = &self.offered else { return };
        let socket = BoundSocket::bind(path);
        self.serve_handover_at(socket);
    }

    /// As [`Serving::serve_handover`], with a socket that has been made.
    pub(super) fn serve_handover_at(&mut self, socket: io::Result<BoundSocket>) {
        let Some((_, offered)) = &self.offered else { return };
        let served =
            socket.and_then(|socket| HandoverListener::serve(socket, offered.clone(), self.instance.clone()));
        match served {
            Ok(handover_listener) => {
                if let Some(former) = self.instance.handover_listener.replace(Some(handover_listener)) {
                    former.close();
                }
            }
            Err(error) => {
                let name = self.instance.name();
                warn!(instance = %name, %error, "handover: socket not available, no process can replace this one");
            }
        }
    }

    pub(super) async fn serve_console(&mut self) -> Result<(), DaemonError> {
        let Some(address) = self.instance.control.config().console else { return Ok(()) };
        let answering = self.instance.clone();
        let on_request = move |request| answering.on_admin_request(request);
        let (console, address) = Console::serve(address, self.instance.driver.clock, on_request)
            .await
            .map_err(|source| DaemonError::Console { address, source })?;
        info!(instance = %self.instance.name(), %address, "admin console listening");
        self.console = Some(console);
        Ok(())
    }

    fn open_listener(&mut self, origin: ListenerOrigin) {
        match origin {
            ListenerOrigin::Predecessor { stream, accepts, .. } => {
                self.instance.on_handover_event(HandoverEvent::ListenerTransferred);
                stream.watch(self.instance.clone());
                if !accepts {
                    self.accept_clients();
                }
            }
            ListenerOrigin::Bound | ListenerOrigin::Inherited => self.accept_clients(),
        }
    }

    /// Accepts clients from now on; without effect if it does already.
    pub(super) fn accept_clients(&mut self) {
        if let Some(listener) = self.listener.take() {
            let accepting = self.instance.server.clone().accept(listener, self.queue_origin);
            self.accept_task = Some(tokio::task::spawn_local(accepting));
        }
    }

    /// Runs the periodic work until a shutdown is requested.
    async fn run(&mut self) -> Result<(), DaemonError> {
        let mut timers = Timers::start(&self.instance);
        loop {
            if self.is_abandoned() {
                info!(instance = %self.instance.name(), "handover: supervisor has exited, not taking over");
                return Ok(());
            }
            self.check_readiness();
            self.open_predecessors_addresses().await;
            let wake = timers.run_due(&self.instance);
            tokio::select! {
                _ = self.signals.terminate.recv() => return Ok(()),
                () = self.instance.shutdown_request.requested() => return Ok(()),
                () = self.instance.handover_changed.notified() => self.on_handover_change(),
                sockets = self.takeover.finished() => self.on_state_sockets_made(sockets),
                // The result stands in the log and in the status.
                _ = self.signals.hangup.recv() => drop(self.instance.reload()),
                // Without the driver's timers, requests would be accepted and never answered: a restart is better.
                _ = &mut self.driver_task => return Err(DaemonError::DriverStopped),
                () = tokio::time::sleep_until(wake) => {}
            }
        }
    }

    fn check_readiness(&mut self) {
        if self.instance.phase() != Phase::Starting || !self.instance.driver.is_ready() {
            return;
        }
        if self.instance.awaits_takeover() && !self.takeover.is_finished() {
            self.begin_state_takeover();
            return;
        }
        self.accept_clients();
        self.instance.enter(Phase::Ready);
        self.instance.notify.ready("serving");
    }

    /// Shuts down gracefully; the state directory's lock is released last.
    async fn shut_down(mut self) {
        // A socket that was never read here must not stay open meanwhile.
        drop(self.listener.take());
        let instance = &self.instance;
        let signalled = instance.driver.clock.now();
        let signal = ShutdownSignal { read_at: signalled, paused: instance.driver.latest_pause() };
        let replaced = instance.is_replaced();
        // A copy that is not served must not stay open either; one that is served is closed with the end of accepting.
        drop(self.offered.take());
        let handed_over = self.socket_inherited && instance.shutdown_request.hands_over_socket();
        instance.notify.stopping();
        instance.enter(Phase::Draining);
        if !replaced {
            // A successor keeps this process's member number, so the member does not leave.
            instance.control.leave();
        }
        let kind = if replaced { ShutdownKind::Replaced } else { ShutdownKind::Final };
        instance.server.update_service(|service| service.shut_down(signalled, kind));
        let successor = if replaced || handed_over { Successor::Listening } else { Successor::None };
        shutdown::answer_all(instance, signal, self.accept_task.take(), successor).await;
        // After the last response, so that the last samples count it.
        instance.control.stop_telemetry().await;
        instance.set_phase(Phase::Stopped);
        let writer = instance.status_writer.borrow_mut().take().filter(|_| !instance.awaits_takeover());
        if let Some(writer) = writer {
            writer.finish(instance.status_json()).await;
        }
        drop((self.control_socket.take(), self.console.take(), instance.handover_listener.take()));
        if self.state.is_some() {
            // The next process counts from zero, and its status replaces this one's.
            let requests = serde_json::to_string(&instance.status().requests).unwrap_or_default();
            info!(instance = %instance.name(), %requests, "final request totals");
        }
        instance.server.on_exit();
        drop(self.state.take());
    }
}

/// When the status file and the service manager's watchdog are due.
struct Timers {
    next_status: Instant,
    watchdog_interval: Option<Duration>,
    next_watchdog: Option<Instant>,
}

impl Timers {
    fn start(instance: &Instance) -> Self {
        let now = Instant::now();
        let watchdog_interval = instance.notify.watchdog();
        Timers {
            next_status: now + instance.control.config().daemon.status_every,
            watchdog_interval,
            next_watchdog: watchdog_interval.map(|interval| now + interval),
        }
    }

    /// Does what is due, and returns when to call again.
    fn run_due(&mut self, instance: &Instance) -> Instant {
        let now = Instant::now();
        if now >= self.next_status {
            instance.write_status();
            self.next_status = now + instance.control.config().daemon.status_every;
        }
        if self.next_watchdog.is_some_and(|due| now >= due) {
            instance.notify.alive();
            self.next_watchdog = self.watchdog_interval.map(|interval| now + interval);
        }
        let mut wake = self.next_watchdog.map_or(self.next_status, |due| due.min(self.next_status));
        if instance.phase() == Phase::Starting {
            wake = wake.min(now + READINESS_CHECK_INTERVAL);
        }
        wake
    }
}
