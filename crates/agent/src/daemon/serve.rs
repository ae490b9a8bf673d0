//! The life of an instance: built in [`Startup::build`], run by [`Serving::run`], ended by [`Serving::shut_down`].

use super::config::Config;
use super::console::Console;
use super::control::{self, Control};
use super::descriptors::DescriptorBudget;
use super::error::DaemonError;
use super::handover::{self, HandoverListener};
use super::instance::{Instance, Lifecycle, ShutdownRequest};
use super::listen::{acquire_listener, ListenerOrigin};
use super::notify::Notify;
use super::reload::ReloadHistory;
use super::shutdown::{self, Successor};
use super::state::{StateDir, StatusWriter};
use super::status::Phase;
use super::Startup;
use crate::control_plane::ControlPlane;
use crate::downstream::Server;
use bellcroft_agent_core::handover::HandoverEvent;
use bellcroft_agent_core::serving::ShutdownKind;
use bellcroft_agent_core::shutdown::ShutdownSignal;
use bellcroft_net::Listener;
use serde_json::Value;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
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

struct Signals {
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

/// The listening socket before clients are accepted, and its copies.
struct ClientSocket {
    listener: Listener,
    origin: ListenerOrigin,
    address: SocketAddr,
    /// For a supervisor that requests it over the control socket.
    control_copy: Option<OwnedFd>,
    /// For a process that replaces this one, with the path of the Unix socket where it asks.
    handover_copy: Option<(PathBuf, OwnedFd)>,
}

impl ClientSocket {
    async fn acquire(config: &Config, has_state: bool) -> Result<Self, DaemonError> {
        // With a state directory, its lock and the supervisor replace processes instead.
        let folder = std::env::var_os("TMPDIR").map(PathBuf::from).filter(|_| !has_state);
        let handover_socket = handover::socket_path(folder, &config.name, config.listen);
        let (listener, origin) = acquire_listener(config.listen, handover_socket.as_deref()).await?;
        let address =
            listener.local_addr().map_err(|source| DaemonError::Listen { address: config.listen, source })?;
        let copy = || listener.as_fd().try_clone_to_owned().ok();
        let control_copy = if has_state { copy() } else { None };
        let handover_copy = handover_socket.and_then(|path| Some((path, copy()?)));
        Ok(ClientSocket { listener, origin, address, control_copy, handover_copy })
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
    /// Starts the status writer and the control socket; what fails is added to `problems`.
    fn open(state: Option<&StateDir>, problems: &mut Vec<String>) -> Self {
        let instance = InstanceSlot::default();
        let Some(state) = state else {
            return StateFiles { writer: None, control_socket: None, instance };
        };
        let writer = StatusWriter::start(state.path());
        let writer = writer.map_err(|e| problems.push(format!("no thread writes the status: {e}"))).ok();
        let answering = instance.clone();
        let answer = move |request: Value| match &*answering.borrow() {
            Some(instance) => instance.on_control_request(&request),
            None => control::error("not started yet"),
        };
        let control_socket = Control::serve(state.path(), answer);
        let control_socket = control_socket.map_err(|e| problems.push(format!("control socket: {e}"))).ok();
        StateFiles { writer, control_socket, instance }
    }
}

impl Startup {
    /// Starts every part of the instance. Clients are accepted from here on, but by a successor, which leaves them to its
    /// predecessor until it is ready.
    async fn build(self, signals: Signals) -> Result<Serving, DaemonError> {
        let Startup { config, options, state, mut problems, started_ms } = self;
        let mut socket = ClientSocket::acquire(&config, state.is_some()).await?;
        let connection_limits = DescriptorBudget::new(&config);
        let (notify, problem) = Notify::find(|name| std::env::var_os(name));
        problems.extend(problem);
        let console_address = config.console;
        let name = config.name.clone();
        let control = ControlPlane::start(config, options, connection_limits.backends, started_ms).await?;
        let driver = control.driver().clone();
        let driver_task = control.take_driver_task().unwrap_or_else(|| unreachable!("it was just started"));
        if let ListenerOrigin::Predecessor { claims, .. } = &mut socket.origin {
            if let Some(claims) = claims.take() {
                driver.join_claims(claims);
            }
        }
        let server = Server::new(driver.clone(), connection_limits.clients);
        let files = StateFiles::open(state.as_ref(), &mut problems);
        log_problems(&name, &problems);
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
        });
        let handover_listener = serve_handover(&instance, socket.handover_copy);
        let console = serve_console(&instance, console_address).await?;
        let gauges = instance.clone();
        instance.control.send_telemetry(move || gauges.refresh_gauges());
        *files.instance.borrow_mut() = Some(instance.clone());
        instance.write_status();
        let mut serving = Serving {
            instance,
            signals,
            driver_task,
            socket_inherited: matches!(socket.origin, ListenerOrigin::Inherited),
            listener: Some(socket.listener),
            accept_task: None,
            control_socket: files.control_socket,
            console,
            handover_listener,
            state,
        };
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

/// Offers the listening socket to a process that is to replace this one.
fn serve_handover(instance: &Rc<Instance>, copy: Option<(PathBuf, OwnedFd)>) -> Option<HandoverListener> {
    let (path, listener) = copy?;
    match HandoverListener::serve(path, listener, instance.clone()) {
        Ok(handover_listener) => Some(handover_listener),
        Err(error) => {
            warn!(instance = %instance.name(), %error, "handover: socket not available, no process can replace this one");
            None
        }
    }
}

async fn serve_console(
    instance: &Rc<Instance>,
    address: Option<SocketAddr>,
) -> Result<Option<Console>, DaemonError> {
    let Some(address) = address else { return Ok(None) };
    let answering = instance.clone();
    let on_request = move |request| answering.on_admin_request(request);
    let (console, address) = Console::serve(address, instance.driver.clock, on_request)
        .await
        .map_err(|source| DaemonError::Console { address, source })?;
    info!(instance = %instance.name(), %address, "admin console listening");
    Ok(Some(console))
}

/// An instance that serves, and what ends with it.
struct Serving {
    instance: Rc<Instance>,
    signals: Signals,
    driver_task: JoinHandle<()>,
    /// A supervisor holds the listening socket too.
    socket_inherited: bool,
    /// The listening socket while clients are not accepted yet.
    listener: Option<Listener>,
    accept_task: Option<JoinHandle<()>>,
    control_socket: Option<Control>,
    console: Option<Console>,
    handover_listener: Option<HandoverListener>,
    /// The lock, which is released last.
    state: Option<StateDir>,
}

impl Serving {
    fn open_listener(&mut self, origin: ListenerOrigin) {
        match origin {
            ListenerOrigin::Predecessor { stream, .. } => {
                self.instance.on_handover_event(HandoverEvent::ListenerTransferred);
                stream.watch(self.instance.clone());
            }
            ListenerOrigin::Bound | ListenerOrigin::Inherited => self.accept_clients(),
        }
    }

    fn accept_clients(&mut self) {
        if let Some(listener) = self.listener.take() {
            self.accept_task = Some(tokio::task::spawn_local(self.instance.server.clone().accept(listener)));
        }
    }

    /// Runs the periodic work until a shutdown is requested.
    async fn run(&mut self) -> Result<(), DaemonError> {
        let mut timers = Timers::start(&self.instance);
        loop {
            self.check_readiness();
            let wake = timers.run_due(&self.instance);
            tokio::select! {
                _ = self.signals.terminate.recv() => return Ok(()),
                () = self.instance.shutdown_request.requested() => return Ok(()),
                // The result stands in the log and in the status.
                _ = self.signals.hangup.recv() => drop(self.instance.reload()),
                // Without the driver's timers, requests would be accepted and never answered: a restart is better.
                _ = &mut self.driver_task => return Err(DaemonError::DriverStopped),
                () = tokio::time::sleep_until(wake) => {}
            }
        }
    }

    fn check_readiness(&mut self) {
        if self.instance.phase() == Phase::Starting && self.instance.driver.is_ready() {
            self.accept_clients();
            self.instance.enter(Phase::Ready);
            self.instance.notify.ready("serving");
        }
    }

    /// Shuts down gracefully; the state directory's lock is released last.
    async fn shut_down(mut self) {
        let instance = &self.instance;
        let signalled = instance.driver.clock.now();
        let signal = ShutdownSignal { read_at: signalled, paused: instance.driver.latest_pause() };
        let replaced = instance.handover.borrow().is_replaced();
        if let Some(handover_listener) = &self.handover_listener {
            handover_listener.successor_owns_socket.set(replaced);
        }
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
        let writer = instance.status_writer.borrow_mut().take();
        if let Some(writer) = writer {
            writer.finish(instance.status_json()).await;
        }
        drop((self.control_socket.take(), self.console.take(), self.handover_listener.take()));
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
