//! One instance's life: its start, its reload, its end, and what it tells of itself meanwhile.

pub(crate) mod config;
pub(crate) mod control;
pub(crate) mod notify;
pub(crate) mod state;
pub(crate) mod status;

use crate::driver::Driver;
use crate::exit;
use crate::front::{self, Server};
use crate::log::say;
use crate::telemetry;
use bellcroft_telemetry::{families, Owner, Remote};
use config::Config;
pub(crate) use config::Sources;
use notify::Notify;
use serde_json::{json, Value};
use state::{Refused, StateDir, Writer};
use status::{ConfigStatus, Phase, Status};
use std::cell::{Cell, RefCell};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::{sleep, Instant};
use tracing::{info, warn};

/// Descriptors that are neither the application's nor the backends': files, discovery, the runtime's own.
const SPARE_SOCKETS: usize = 24;
/// The part of the others that is the application's, which holds a third of all at most for its requests.
const CLIENT_SHARE: f64 = 0.5;
/// Answers that are decided are written within this.
const FLUSH: Duration = Duration::from_millis(30);
/// How soon a start looks again whether it is ready.
const START_LOOK: Duration = Duration::from_millis(20);

/// Where an instance finds what it goes by.
#[derive(Debug, Clone, Default)]
pub(crate) struct Start {
    /// Its files.
    pub sources: Sources,
    /// Its state directory, before the operator's file.
    pub state: Option<PathBuf>,
}

pub(crate) fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Runs an instance until it is told to end.
pub(crate) fn run(start: Start) -> ExitCode {
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
        match StateDir::take(path) {
            Ok(taken) => state = Some(taken),
            Err(refused @ Refused::Held(_)) => {
                say(format_args!("bellcroft: {}: {refused}", path.display()));
                return ExitCode::from(exit::ALREADY_RUNNING);
            }
            Err(Refused::Unusable(why)) => problems.push(why),
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

async fn listen(config: &Config) -> Result<(TcpListener, bool), String> {
    let listen = config.listen;
    let Some(given) = inherited()? else {
        let listener =
            TcpListener::bind(listen).await.map_err(|e| format!("cannot listen on {listen}: {e}"))?;
        return Ok((listener, false));
    };
    let taken = given.set_nonblocking(true).and_then(|()| TcpListener::from_std(given));
    taken.map(|listener| (listener, true)).map_err(|e| format!("LISTEN_FDS: {e}"))
}

/// An instance as its status, its control socket and its signals see it.
struct Instance {
    config: RefCell<Config>,
    start: Start,
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
    writer: RefCell<Option<Writer>>,
    /// It was told over its control socket to end; true if another process takes over its listening socket.
    told_to_end: Cell<Option<bool>>,
    told: tokio::sync::Notify,
    /// Sends what is counted, if anybody wants it.
    remote: RefCell<Option<Remote>>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Instance {
    fn status(&self) -> Status {
        let config = self.config.borrow();
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
            requests: self.driver.names.classes.iter().cloned().zip(classes).collect(),
            bad_requests,
            servers,
            connections: self.server.connections(),
            problems,
        }
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
    }

    /// Reads the files again and takes all that is new in them, or nothing. Without an operator's file it is the
    /// platform's reload, which is about discovery alone.
    fn reload(&self) -> Result<(), String> {
        self.notify.reloading();
        let taken = self.take_new();
        match &taken {
            Ok(()) => {
                self.generation.set(self.generation.get() + 1);
                info!("{}: discovery is at {}", self.name(), self.config.borrow().discovery);
            }
            Err(why) => {
                warn!("{}: reload: {why}; all stays as it was", self.name());
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
        if self.start.sources.operator.is_none() && self.start.sources.config.is_none() {
            let address = config::discovery(variable)?;
            self.config.borrow_mut().discovery = address;
            self.driver.relocate(address);
            return Ok(());
        }
        let mut newer = Config::load(&self.start.sources, variable).map_err(|wrong| wrong.join("; "))?;
        newer.daemon.state = self.start.state.clone().or(newer.daemon.state);
        let fixed = self.config.borrow().needs_restart(&newer);
        if !fixed.is_empty() {
            return Err(format!("{} differs, which only a restart can take", fixed.join(", ")));
        }
        let discovery = newer.discovery;
        self.driver.set_routes(&newer);
        if let Some(telemetry) = &self.driver.telemetry {
            telemetry::budgets(telemetry, &newer);
        }
        if let Some((remote, config)) = self.remote.borrow().as_ref().zip(telemetry::remote(&newer)) {
            remote.change(config);
        }
        let moved = self.config.replace(newer).discovery != discovery;
        if moved {
            self.driver.relocate(discovery);
        }
        Ok(())
    }

    fn name(&self) -> String {
        self.config.borrow().name.clone()
    }

    /// Answers what comes over the control socket.
    fn command(&self, value: &Value) -> control::Reply {
        match value["command"].as_str() {
            Some("status") => json!(self.status()).into(),
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
            _ => control::error("a command was expected: status, reload, drain or listener"),
        }
    }
}

/// Serves until it is told to end, and then until all that came is answered. SIGHUP has the files read again.
async fn serve(
    config: Config,
    start: Start,
    state: Option<StateDir>,
    mut problems: Vec<String>,
    started_ms: u64,
) -> Result<(), String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("cannot await SIGTERM: {e}"))?;
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| format!("cannot await SIGHUP: {e}"))?;
    let (listener, given) = listen(&config).await?;
    let address = listener.local_addr().map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    let longest = config.settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
    let longest = Duration::from_micros(longest.0);
    let name = config.name.clone();
    let sockets = config.sockets.saturating_sub(SPARE_SOCKETS);
    let clients = (sockets as f64 * CLIENT_SHARE) as usize;
    let (notify, problem) = Notify::find(|name| std::env::var_os(name));
    problems.extend(problem);
    let counted = telemetry::instance(&config, started_ms);
    let driver =
        Driver::start(config.clone(), sockets - clients, counted.clone()).map_err(|e| e.to_string())?;
    let mut driven = tokio::task::spawn_local(driver.clone().run());
    let server = Server::new(driver.clone(), clients);
    let copy = state.as_ref().and_then(|_| {
        use std::os::fd::AsFd;
        listener.as_fd().try_clone_to_owned().ok()
    });
    let writer = state.as_ref().and_then(|state| match Writer::start(state.path()) {
        Ok(writer) => Some(writer),
        Err(e) => {
            problems.push(format!("no thread writes the status: {e}"));
            None
        }
    });
    // The control socket answers from here on; what cannot be made is told with the other problems.
    let handler = Rc::<RefCell<Option<Rc<Instance>>>>::default();
    let answering = handler.clone();
    let control = state.as_ref().and_then(|state| {
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
    let status_every = config.daemon.status_every;
    let (remote, seed) = (telemetry::remote(&config), config.seed);
    let instance = Rc::new(Instance {
        config: RefCell::new(config),
        start,
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
        remote: RefCell::default(),
    });
    if let Some((remote, counted)) = remote.zip(counted) {
        let (clock, refreshed) = (instance.driver.clock, instance.clone());
        let owner = Owner {
            instance: counted,
            now: Box::new(move || clock.now()),
            refresh: Box::new(move || refreshed.gauges(clients)),
            log: Box::new(move |text| warn!(target: "bellcroft::telemetry", "{name}: {text}")),
            seed,
        };
        *instance.remote.borrow_mut() = Some(Remote::start(remote, owner));
    }
    let name = instance.name();
    *handler.borrow_mut() = Some(instance.clone());
    instance.write();
    let accepting = tokio::task::spawn_local(server.clone().accept(listener));
    info!("{name}: listening on {address}");

    let mut next_write = Instant::now() + status_every;
    let alive_every = instance.notify.watchdog();
    let mut next_alive = alive_every.map(|every| Instant::now() + every);
    loop {
        if instance.phase.get() == Phase::Starting && instance.driver.ready() {
            instance.ready_ms.set(Some(unix_ms()));
            instance.enter(Phase::Ready);
            instance.notify.ready("serving");
        }
        let now = Instant::now();
        if now >= next_write {
            instance.write();
            next_write = now + instance.config.borrow().daemon.status_every;
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
    let handover = given && instance.told_to_end.get() == Some(true);
    instance.notify.stopping();
    instance.enter(Phase::Draining);
    let told = Instant::now();
    server.drain();
    if handover {
        // Whoever handed the socket over keeps it: what connects from now on waits there for the next process.
        server.stop_accepting();
        let _ = accepting.await;
    } else {
        sleep(front::ACCEPT_ON).await;
        accepting.abort();
        // The kernel would go on taking connections that nobody serves.
        instance.listener.borrow_mut().take();
    }
    // What is in flight has its deadline; past the longest one nothing is owed any more.
    let patience = instance.config.borrow().daemon.stop_within.unwrap_or(longest);
    let last = told + front::ACCEPT_ON + patience.min(longest);
    loop {
        sleep(FLUSH).await;
        if !server.busy() {
            break;
        }
        if Instant::now() >= last {
            // The operator's patience is over before the clients' is: they hear so and are not left waiting.
            instance.driver.give_up_all();
            break;
        }
    }
    sleep(FLUSH).await;
    // The last counts are of all that was answered, so they leave last.
    let remote = instance.remote.borrow_mut().take();
    if let Some(remote) = remote {
        let counts = remote.stop().await;
        if counts.dropped_at_end > 0 {
            warn!(target: "bellcroft::telemetry", "{name}: remote write: {} samples were left at the end", counts.dropped_at_end);
        }
    }
    instance.phase.set(Phase::Stopped);
    let writer = instance.writer.borrow_mut().take();
    if let Some(writer) = writer {
        writer.finish(instance.text()).await;
    }
    drop(control);
    if state.is_some() {
        // The next process begins to count anew, and its status takes this one's place.
        let totals = serde_json::to_string(&instance.status().requests).unwrap_or_default();
        info!("{name}: totals {totals}");
    }
    info!("{name}: all is answered");
    // The lock ends with the process, after everything else.
    drop(state);
    Ok(())
}
