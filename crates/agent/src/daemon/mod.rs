//! One instance's life: its start, its reload, its end, and what it tells of itself meanwhile.

pub(crate) mod config;
pub(crate) mod console;
pub(crate) mod control;
pub(crate) mod descriptors;
pub(crate) mod handover;
pub(crate) mod notify;
mod shutdown;
pub(crate) mod state;
pub(crate) mod status;

use crate::control_plane::ControlPlane;
pub(crate) use crate::control_plane::{variable, StartOptions};
use crate::downstream::Server;
use crate::driver::Driver;
use crate::exit;
use crate::log::say;
use bellcroft_agent_core::admin::{format_reply, AdminRequest, ClassStats, Stats};
use bellcroft_agent_core::handover::{Handover, HandoverEvent};
use bellcroft_agent_core::service::ServingState;
use bellcroft_net::Listener;
use bellcroft_telemetry::families;
use config::Config;
pub(crate) use config::ConfigSources;
use descriptors::DescriptorBudget;
use notify::Notify;
use serde_json::{json, Value};
use shutdown::Successor;
use state::{StateDir, StateDirError, StatusWriter};
use status::{ConfigStatus, Phase, Status};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::Instant;
use tracing::{info, warn};

/// How soon a start looks again whether it is ready.
const START_LOOK: Duration = Duration::from_millis(20);

/// Runs an instance until it is told to end.
pub(crate) fn run(start: StartOptions) -> ExitCode {
    let started_ms = unix_ms();
    let mut config = match Config::load(&start.sources, variable) {
        Ok(config) => config,
        Err(wrong) => {
            say(format_args!("bellcroft: {}", wrong.join("; ")));
            return ExitCode::from(exit::BAD_INPUT);
        }
    };
    config.daemon.state = start.state.clone().or(config.daemon.state);
    let mut problems = Vec::new();
    let mut state = None;
    if let Some(path) = &config.daemon.state {
        // Before anything else of the first instance's could be touched, its address among them.
        match StateDir::acquire(path) {
            Ok(taken) => state = Some(taken),
            Err(refused @ StateDirError::Held(_)) => {
                say(format_args!("bellcroft: {}: {refused}", path.display()));
                return ExitCode::from(exit::ALREADY_RUNNING);
            }
            Err(StateDirError::Unusable(why)) => problems.push(why),
        }
    }
    exit::run(serve(config, start, state, problems, started_ms))
}

/// The socket that a service manager or a supervisor has handed over (sd_listen_fds(3)), if one has.
fn inherited() -> Result<Option<std::net::TcpListener>, String> {
    let mut given = listenfd::ListenFd::from_env();
    match given.len() {
        0 => Ok(None),
        1 => given.take_tcp_listener(0).map_err(|e| format!("LISTEN_FDS: not a listening TCP socket: {e}")),
        more => Err(format!("LISTEN_FDS: {more} sockets were handed over; one was expected")),
    }
}

/// Where an instance's listening socket is from.
enum Origin {
    /// It was made here.
    Own,
    /// A service manager or a supervisor handed it over.
    Given,
    /// The process that this one is to take the place of gave it.
    Predecessor(handover::HandoverStream),
}

async fn listen(config: &Config, meet: Option<&Path>) -> Result<(Listener, Origin), String> {
    let listen = config.listen;
    if let Some(given) = inherited()? {
        let listener = Listener::adopt(given).map_err(|e| format!("LISTEN_FDS: {e}"))?;
        return Ok((listener, Origin::Given));
    }
    let predecessor = match meet {
        Some(file) => {
            handover::request_listener(file).await.map_err(|e| format!("cannot listen on {listen}: {e}"))?
        }
        None => None,
    };
    if let Some((given, tie)) = predecessor {
        let listener = Listener::adopt(given).map_err(|e| format!("cannot listen on {listen}: {e}"))?;
        return Ok((listener, Origin::Predecessor(tie)));
    }
    let listener = Listener::bind(listen).await.map_err(|e| format!("cannot listen on {listen}: {e}"))?;
    Ok((listener, Origin::Own))
}

/// An instance as its status, its control socket and its signals see it.
struct Instance {
    control: Rc<ControlPlane>,
    driver: Rc<Driver>,
    server: Rc<Server>,
    notify: Notify,
    listen: String,
    /// A copy of the listening socket, for a supervisor that asks for it.
    listener: RefCell<Option<OwnedFd>>,
    started_ms: u64,
    ready_ms: Cell<Option<u64>>,
    phase: Cell<Phase>,
    generation: Cell<u64>,
    refused: RefCell<Option<String>>,
    /// What went wrong at the start and stays so.
    problems: Vec<String>,
    writer: RefCell<Option<StatusWriter>>,
    /// It was told over its control socket to end; true if another process takes over its listening socket.
    told_to_end: Cell<Option<bool>>,
    told: tokio::sync::Notify,
    /// Its part in the replacement of a process.
    succession: Cell<Handover>,
    /// Files that were turned down at a reload.
    turned_down: Cell<u64>,
    /// Connections of clients and to servers that it may hold alone.
    places: (usize, usize),
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Instance {
    fn status(&self) -> Status {
        let config = self.control.config();
        let (classes, bad_requests) = self.server.tally.counts();
        let mut problems = self.problems.clone();
        if let Some(writer) = &*self.writer.borrow() {
            problems.extend(writer.problem());
        }
        let servers = self.driver.servers();
        if servers.up == 0 {
            problems.push("no server is up".into());
        }
        Status {
            version: status::VERSION,
            name: config.name.clone(),
            pid: std::process::id(),
            started_ms: self.started_ms,
            ready_ms: self.ready_ms.get(),
            written_ms: unix_ms(),
            phase: self.phase.get(),
            listen: self.listen.clone(),
            config: ConfigStatus {
                digest: config.digest.clone(),
                generation: self.generation.get(),
                refused: self.refused.borrow().clone(),
            },
            requests: classes.into_iter().collect(),
            bad_requests,
            servers,
            connections: self.server.connections(),
            discovery: self.driver.discovery_status(),
            membership: self.driver.peers().map(|peers| peers.status()),
            violations: self.violations(),
            problems,
        }
    }

    fn violations(&self) -> BTreeMap<String, u64> {
        let guard = self.driver.guard.borrow();
        let counted = guard.violations().filter(|(_, count)| *count > 0);
        counted.map(|(violation, count)| (violation.name().to_owned(), count)).collect()
    }

    fn text(&self) -> Vec<u8> {
        let mut text = serde_json::to_vec(&self.status()).unwrap_or_default();
        text.push(b'\n');
        text
    }

    fn write(&self) {
        if let Some(writer) = &*self.writer.borrow() {
            writer.write(self.text());
        }
    }

    fn enter(&self, phase: Phase) {
        if self.phase.replace(phase) != phase {
            self.write();
        }
    }

    /// Takes in what has become known of the process before or after this one.
    fn hear(&self, news: HandoverEvent) {
        let mut succession = self.succession.get();
        if succession.handle_event(news) {
            let what = match (news, succession.role()) {
                (HandoverEvent::ListenerRequested, _) => {
                    "another process takes the clients' address too; it has half of all places"
                }
                (HandoverEvent::ListenerTransferred, _) => {
                    "the clients' address is from the process that served; half of all places"
                }
                (HandoverEvent::SuccessorExited, _) => "the other process has ended; all places are here",
            };
            info!("{}: {what}", self.name());
            let (clients, servers) = self.places;
            self.server.set_max_connections(succession.connection_limit(clients));
            self.driver.set_max_connections(succession.connection_limit(servers));
        }
        self.succession.set(succession);
    }

    /// The figures as they are now.
    fn figures(&self) -> Stats {
        let (classes, _) = self.server.tally.counts();
        let servers = self.driver.servers();
        Stats {
            in_progress: classes.iter().map(|(_, counts)| counts.open).sum(),
            classes: classes
                .into_iter()
                .map(|(name, counts)| ClassStats {
                    name,
                    passed: counts.served,
                    dropped: counts.refused,
                    bad_gateway: counts.failed,
                })
                .collect(),
            upstream_tries: self.driver.attempts_sent(),
            known_backends: (servers.up + servers.draining) as u64,
            skipped_backends: self.driver.avoided_servers() as u64,
            loads: self.generation.get() - 1,
            load_errors: self.turned_down.get(),
        }
    }

    /// Answers a call over the second address.
    fn call(&self, call: AdminRequest) -> String {
        let now = self.driver.clock.now();
        match call {
            AdminRequest::Ready if self.phase.get() == Phase::Ready && self.server.is_ready() => {
                format_reply(true, "yes")
            }
            AdminRequest::Ready => format_reply(false, "no"),
            AdminRequest::ShowStat => self.figures().reply(),
            AdminRequest::Drain => {
                let taken = self.server.change(|service| service.drain(now));
                if taken {
                    info!("{}: out of service by an operator's call", self.name());
                }
                match self.server.serving_state() {
                    ServingState::End { .. } => format_reply(false, "it is ending"),
                    ServingState::Serving | ServingState::Draining(_) => format_reply(true, "draining"),
                }
            }
            AdminRequest::Resume => {
                if self.server.change(|service| service.resume()) {
                    info!("{}: in service by an operator's call", self.name());
                    format_reply(true, "serving")
                } else {
                    format_reply(false, "it is ending")
                }
            }
        }
    }

    /// Sets the gauges that others keep, before each sample.
    fn gauges(&self, clients: usize) {
        let Some(telemetry) = &self.driver.telemetry else { return };
        let set = |family: &families::Family, labels: &[&str], value: usize| {
            telemetry.registry.gauge(family, labels).set(value as f64);
        };
        let (held, most) = self.driver.connections();
        set(&families::CONNECTIONS, &["client"], self.server.connections());
        set(&families::CONNECTIONS, &["server"], held);
        set(&families::CONNECTIONS_MOST, &["client"], clients);
        set(&families::CONNECTIONS_MOST, &["server"], most);
        set(&families::READY, &[], usize::from(self.phase.get() == Phase::Ready));
        set(&families::GENERATION, &[], self.generation.get() as usize);
        self.control.refresh_gauges();
    }

    /// Reads the files again and takes all that is new in them, or nothing. Without an operator's file it is the
    /// platform's reload, which is about discovery alone.
    fn reload(&self) -> Result<(), String> {
        self.notify.reloading();
        let taken = self.take_new();
        match &taken {
            Ok(()) => {
                self.generation.set(self.generation.get() + 1);
                info!("{}: discovery is at {}", self.name(), self.control.config().discovery);
            }
            Err(why) => {
                warn!("{}: reload: {why}; all stays as it was", self.name());
                self.turned_down.set(self.turned_down.get() + 1);
                if let Some(telemetry) = &self.driver.telemetry {
                    telemetry.registry.counter(&families::RELOADS_REFUSED, &[]).inc();
                }
            }
        }
        *self.refused.borrow_mut() = taken.clone().err();
        if self.phase.get() == Phase::Ready {
            self.notify.ready("reloaded");
        }
        self.write();
        taken
    }

    fn take_new(&self) -> Result<(), String> {
        self.control.reload()?;
        self.server.tally.add_classes(&self.control.config().names.classes);
        Ok(())
    }

    fn name(&self) -> String {
        self.control.config().name.clone()
    }

    /// Answers what comes over the control socket.
    fn command(&self, value: &Value) -> control::Reply {
        match value["command"].as_str() {
            Some("status") => json!(self.status()).into(),
            Some("members") => match self.driver.peers() {
                Some(peers) => json!(peers.status()).into(),
                None => control::error("it looks for no others: its operator's file has no [membership]"),
            },
            Some("reload") => match self.reload() {
                Ok(()) => json!({"generation": self.generation.get()}).into(),
                Err(why) => control::error(why),
            },
            Some("drain") => {
                self.told_to_end.set(Some(value["handover"].as_bool().unwrap_or(false)));
                self.told.notify_one();
                json!({"draining": true}).into()
            }
            Some("listener") => match self.listener.borrow().as_ref().map(OwnedFd::try_clone) {
                Some(Ok(copy)) => {
                    control::Reply { value: json!({"listen": self.listen}), descriptor: Some(copy) }
                }
                _ => control::error("the listening socket is not at hand"),
            },
            _ => control::error("a command was expected: status, members, reload, drain or listener"),
        }
    }
}

/// Serves until it is told to end, and then until all that came is answered. SIGHUP has the files read again.
async fn serve(
    config: Config,
    start: StartOptions,
    state: Option<StateDir>,
    mut problems: Vec<String>,
    started_ms: u64,
) -> Result<(), String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("cannot await SIGTERM: {e}"))?;
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| format!("cannot await SIGHUP: {e}"))?;
    // A state directory has a lock and a supervisor's way of its own.
    let folder = std::env::var_os("TMPDIR").map(PathBuf::from).filter(|_| state.is_none());
    let meet = handover::socket_path(folder, &config.name, config.listen);
    let (listener, origin) = listen(&config, meet.as_deref()).await?;
    let given = matches!(origin, Origin::Given);
    let address = listener.local_addr().map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    let name = config.name.clone();
    let DescriptorBudget { clients, backends } = DescriptorBudget::new(&config);
    let (notify, problem) = Notify::find(|name| std::env::var_os(name));
    problems.extend(problem);
    let status_every = config.daemon.status_every;
    let (console, memory) = (config.console, config.memory);
    let control = ControlPlane::start(config, start, backends, started_ms).await?;
    let driver = control.driver().clone();
    let mut driven = control.take_driving().unwrap_or_else(|| unreachable!("it was just started"));
    let server = Server::new(driver.clone(), clients, memory);
    let copy = || listener.as_fd().try_clone_to_owned().ok();
    let (copy, heirs_copy) = (state.as_ref().and_then(|_| copy()), meet.as_ref().and_then(|_| copy()));
    let writer = state.as_ref().and_then(|state| match StatusWriter::start(state.path()) {
        Ok(writer) => Some(writer),
        Err(e) => {
            problems.push(format!("no thread writes the status: {e}"));
            None
        }
    });
    // The control socket answers from here on; what cannot be made is told with the other problems.
    let handler = Rc::<RefCell<Option<Rc<Instance>>>>::default();
    let answering = handler.clone();
    let control_socket = state.as_ref().and_then(|state| {
        let answer = move |value: Value| match &*answering.borrow() {
            Some(instance) => instance.command(&value),
            None => control::error("not started yet"),
        };
        match control::Control::serve(state.path(), answer) {
            Ok(control) => Some(control),
            Err(e) => {
                problems.push(format!("control socket: {e}"));
                None
            }
        }
    });
    for problem in &problems {
        warn!("{name}: {problem}; serving goes on");
    }
    let instance = Rc::new(Instance {
        control,
        driver,
        server: server.clone(),
        notify,
        listen: address.to_string(),
        listener: RefCell::new(copy),
        started_ms,
        ready_ms: Cell::new(None),
        phase: Cell::new(Phase::Starting),
        generation: Cell::new(1),
        refused: RefCell::default(),
        problems,
        writer: RefCell::new(writer),
        told_to_end: Cell::new(None),
        told: tokio::sync::Notify::new(),
        succession: Cell::default(),
        turned_down: Cell::new(0),
        places: (clients, backends),
    });
    let heir = |instance: &Rc<Instance>, meet: PathBuf, listener: OwnedFd| {
        let told = instance.clone();
        handover::HandoverListener::serve(meet, listener, move |news| told.hear(news))
    };
    let heirs = match meet.zip(heirs_copy).map(|(meet, copy)| heir(&instance, meet, copy)) {
        Some(Ok(heirs)) => Some(heirs),
        Some(Err(e)) => {
            warn!("{}: no process can take this one's place: {e}", instance.name());
            None
        }
        None => None,
    };
    let console = match console {
        Some(address) => {
            let told = instance.clone();
            let console =
                console::Console::serve(address, instance.driver.clock, move |call| told.call(call));
            let (console, address) =
                console.await.map_err(|e| format!("cannot listen on {address} (console): {e}"))?;
            info!("{}: operators are answered on {address}", instance.name());
            Some(console)
        }
        None => None,
    };
    let refreshed = instance.clone();
    instance.control.send_telemetry(move || refreshed.gauges(clients));
    let name = instance.name();
    *handler.borrow_mut() = Some(instance.clone());
    instance.write();
    // A process that is to take another's place leaves the clients to it until it can serve them itself.
    let (mut listener, mut accepting) = (Some(listener), None);
    if let Origin::Predecessor(tie) = origin {
        instance.hear(HandoverEvent::ListenerTransferred);
        let told = instance.clone();
        tie.watch(move || told.hear(HandoverEvent::SuccessorExited));
    } else {
        let taking = server.clone().accept(listener.take().unwrap_or_else(|| unreachable!("it is here")));
        accepting = Some(tokio::task::spawn_local(taking));
    }
    info!("{name}: listening on {address}");

    let mut next_write = Instant::now() + status_every;
    let alive_every = instance.notify.watchdog();
    let mut next_alive = alive_every.map(|every| Instant::now() + every);
    loop {
        if instance.phase.get() == Phase::Starting && instance.driver.is_ready() {
            if let Some(listener) = listener.take() {
                accepting = Some(tokio::task::spawn_local(server.clone().accept(listener)));
            }
            instance.ready_ms.set(Some(unix_ms()));
            instance.enter(Phase::Ready);
            instance.notify.ready("serving");
        }
        let now = Instant::now();
        if now >= next_write {
            instance.write();
            next_write = now + instance.control.config().daemon.status_every;
        }
        if next_alive.is_some_and(|at| now >= at) {
            instance.notify.alive();
            next_alive = alive_every.map(|every| now + every);
        }
        let mut wake = next_alive.map_or(next_write, |at| at.min(next_write));
        if instance.phase.get() == Phase::Starting {
            wake = wake.min(now + START_LOOK);
        }
        tokio::select! {
            _ = term.recv() => break,
            () = instance.told.notified() => break,
            // What became of it stands in the log and in the status.
            _ = hangup.recv() => drop(instance.reload()),
            // Without its clock the agent would take requests and answer none: better that it ends and is
            // restarted.
            _ = &mut driven => return Err("the decisions have stopped".into()),
            () = tokio::time::sleep_until(wake) => {}
        }
    }
    let signalled = instance.driver.clock.now();
    let replaced = instance.succession.get().is_replaced();
    if let Some(heirs) = &heirs {
        heirs.inherited.set(replaced);
    }
    let handover = replaced || (given && instance.told_to_end.get() == Some(true));
    instance.notify.stopping();
    instance.enter(Phase::Draining);
    if !replaced {
        // Whoever takes this one's place speaks under its number.
        instance.control.leave();
    }
    server.change(|service| service.shut_down(signalled, replaced));
    let successor = if handover { Successor::Listening } else { Successor::None };
    shutdown::answer_all(&instance, signalled, accepting, successor).await;
    // The last counts are of all that was answered, so they leave last.
    instance.control.stop_telemetry().await;
    instance.phase.set(Phase::Stopped);
    let writer = instance.writer.borrow_mut().take();
    if let Some(writer) = writer {
        writer.finish(instance.text()).await;
    }
    drop((control_socket, console, heirs));
    if state.is_some() {
        // The next process begins to count anew, and its status takes this one's place.
        let totals = serde_json::to_string(&instance.status().requests).unwrap_or_default();
        info!("{name}: totals {totals}");
    }
    // The lock ends with the process, after everything else.
    drop(state);
    Ok(())
}
