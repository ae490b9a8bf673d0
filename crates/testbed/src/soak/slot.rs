//! One address of a soak: the process behind it, the processes before it, and the faults that are played on them.

use super::cluster::{lock, Interval};
use super::crowd::{crowd, Crowd};
use super::timeline::{RestartPlan, Signal, SignalTime};
use super::SoakPlan;
use crate::faults::Shim;
use crate::process::{kill, log_field, Agent};
use crate::traffic::CLASSES;
use crate::world::World;
use serde_json::Value;
use std::fmt::Display;
use std::future::pending;
use std::net::SocketAddr;
use std::process::ExitStatus;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

/// The platform waits for the longest deadline, 3 s of it at most, and for so much more between SIGTERM and SIGKILL.
const KILL_MARGIN: Duration = Duration::from_millis(700);
const MAX_PLATFORM_DEADLINE: Duration = Duration::from_secs(3);
/// A process is ready within this.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// The memory limit of a process.
const MEMORY_MB: usize = 64;
/// Each request can be followed by its id.
const LOG_LEVELS: &str = "info,bellcroft::requests=debug";
/// One in so many calls of a kind fails.
const CALLS_PER_FAULT: u64 = 60;
const SECONDS_PER_DAY: u64 = 86_400;

/// Whether clients make new connections to a process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Gate {
    /// They do.
    Open,
    /// It has been told to end.
    Ending {
        /// They do until then.
        connects_until: Instant,
        /// It gets SIGKILL then, if it still runs.
        killed_at: Instant,
    },
    /// They don't: it has ended, or is about to.
    Closed,
}

impl Gate {
    /// Whether a new connection may be made now.
    pub fn is_open(self) -> bool {
        match self {
            Gate::Open => true,
            Gate::Ending { connects_until, .. } => Instant::now() < connects_until,
            Gate::Closed => false,
        }
    }

    /// When the process is killed, if it has been told to end.
    pub fn killed_at(self) -> Option<Instant> {
        match self {
            Gate::Ending { killed_at, .. } => Some(killed_at),
            Gate::Open | Gate::Closed => None,
        }
    }
}

/// The process behind one address, and the processes that were there before it.
pub struct Slot {
    /// Its number.
    pub number: usize,
    /// Where its clients connect.
    pub address: SocketAddr,
    /// Whether they do.
    pub gate: watch::Sender<Gate>,
    /// When it was killed without a warning, and when the next one was ready.
    crashes: Mutex<Vec<Interval>>,
    /// When a crowd took up its connections.
    crowds: Mutex<Vec<Interval>>,
    /// When its processes were told to end.
    terminations: Mutex<Vec<Instant>>,
    /// The process id; 0 while none runs.
    pid: AtomicU32,
    agent: tokio::sync::Mutex<Option<Agent>>,
    plan: SoakPlan,
    config: Mutex<Value>,
    known: Arc<Mutex<Value>>,
    shim: Option<Shim>,
    violations: Mutex<Vec<String>>,
    /// What its ended processes have logged.
    logs: Mutex<Vec<String>>,
}

impl Slot {
    /// Starts its first process.
    pub async fn start(
        plan: &SoakPlan,
        world: &World,
        known: &Arc<Mutex<Value>>,
        number: usize,
    ) -> Arc<Self> {
        let mut config = world.config(&format!("i{number}"));
        config["limits"]["memory_mb"] = MEMORY_MB.into();
        config["settings"]["balancers"] = plan.instances.into();
        let classes = config["settings"]["classes"].as_array_mut().expect("classes");
        for (class, known) in classes.iter_mut().zip(&CLASSES) {
            class["deadlineMs"] = (plan.deadline(known).as_millis() as u64).into();
        }
        let failing = plan.failing_calls.then(|| Shim::new(&failing_calls(plan.seed, number)));
        let mut slot = Slot {
            number,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            gate: watch::Sender::new(Gate::Open),
            crashes: Mutex::default(),
            crowds: Mutex::default(),
            terminations: Mutex::default(),
            pid: AtomicU32::new(0),
            agent: tokio::sync::Mutex::new(None),
            plan: *plan,
            config: Mutex::new(config),
            known: known.clone(),
            shim: failing,
            violations: Mutex::default(),
            logs: Mutex::default(),
        };
        let agent = slot.spawn().await;
        agent.ready().await;
        slot.address = agent.address;
        // The next processes are found at the same address.
        lock(&slot.config)["listen"] = agent.address.to_string().into();
        slot.agent = tokio::sync::Mutex::new(Some(agent));
        Arc::new(slot)
    }

    /// Whether the process was away without a warning at some time between these two.
    pub fn crashed_between(&self, from: Instant, until: Instant) -> bool {
        any_between(&self.crashes, from, until)
    }

    /// Whether its process was replaced by another one at some time between these two, with or without a warning.
    pub fn replaced_between(&self, from: Instant, until: Instant) -> bool {
        let is_told = |told: &Instant| *told <= until && *told + self.time_to_kill() + READY_TIMEOUT >= from;
        self.crashed_between(from, until) || lock(&self.terminations).iter().any(is_told)
    }

    /// Whether a process that was told to end may have ended at this moment, known to within `tolerance`, with responses
    /// unfinished: the longest deadline has passed, and SIGKILL has not.
    pub fn may_exit_at(&self, at: Instant, tolerance: Duration) -> bool {
        let longest_deadline = self.time_to_kill() - KILL_MARGIN;
        let may_exit =
            |told: &Instant| *told + longest_deadline <= at && at <= *told + self.time_to_kill() + tolerance;
        lock(&self.terminations).iter().any(may_exit)
    }

    /// Whether a crowd took up its connections at some time between these two.
    pub fn crowded_between(&self, from: Instant, until: Instant) -> bool {
        any_between(&self.crowds, from, until)
    }

    /// How long before this moment a process was told to end that had not been killed by then.
    pub fn since_termination(&self, at: Instant) -> Option<Duration> {
        let terminations = lock(&self.terminations);
        let last = terminations.iter().rev().find(|told| **told <= at)?;
        Some(at - *last).filter(|since| *since <= self.time_to_kill())
    }

    /// Failed system calls of its processes.
    pub fn failed_calls(&self) -> usize {
        self.shim.as_ref().map_or(0, Shim::faults)
    }

    /// What its processes have against themselves.
    pub fn take_violations(&self) -> Vec<String> {
        std::mem::take(&mut *lock(&self.violations))
    }

    /// What its ended processes have logged.
    pub fn take_log(&self) -> Vec<String> {
        std::mem::take(&mut *lock(&self.logs))
    }

    /// The time from SIGTERM to the earliest SIGKILL.
    fn time_to_kill(&self) -> Duration {
        let longest = CLASSES.iter().map(|class| self.plan.deadline(class)).max().unwrap_or_default();
        longest.min(MAX_PLATFORM_DEADLINE) + KILL_MARGIN
    }

    fn report(&self, what: impl Display) {
        lock(&self.violations).push(format!("i{}: {what}", self.number));
    }

    /// Adds a line of the soak's own to the log of the slot's processes, with the machine's time of day.
    fn note(&self, what: impl Display) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let seconds = now.as_secs() % SECONDS_PER_DAY;
        let (hour, minute, second) = (seconds / 3_600, seconds / 60 % 60, seconds % 60);
        let micros = now.subsec_micros();
        lock(&self.logs).push(format!("soak T{hour:02}:{minute:02}:{second:02}.{micros:06}Z {what}"));
    }

    async fn spawn(&self) -> Agent {
        let mut config = lock(&self.config).clone();
        // A process that starts is given the list as it stands.
        config["known"] = lock(&self.known).clone();
        let agent = Agent::with(config, |command| {
            command.env("BELLCROFT_LOG", LOG_LEVELS);
            if let Some(shim) = &self.shim {
                command.envs(shim.variables());
            }
        })
        .await;
        self.pid.store(agent.child.id().unwrap_or(0), Ordering::SeqCst);
        agent
    }

    /// Takes in what an ended process has logged.
    async fn read_log(&self, agent: &mut Agent) {
        let log = agent.complete_log().await;
        let bad = |line: &&String| line.contains("violation") || line.contains("panicked");
        for line in log.iter().filter(bad) {
            self.report(with_peer(line, &log));
        }
        lock(&self.logs).extend(log);
    }

    async fn start_again(&self, place: &mut Option<Agent>) {
        let agent = self.spawn().await;
        if timeout_at(Instant::now() + READY_TIMEOUT, agent.ready()).await.is_err() {
            self.report("a restarted process was not ready in time");
        }
        *place = Some(agent);
        self.gate.send_replace(Gate::Open);
    }

    /// Starts a process that gets SIGTERM before it has served anybody.
    async fn start_and_terminate(&self, after: Duration) {
        let mut agent = self.spawn().await;
        sleep(after).await;
        agent.term().await;
        self.note("SIGTERM sent to a process that has just started");
        let killed_at = Instant::now() + self.time_to_kill();
        let ended = timeout_at(killed_at, agent.child.wait()).await;
        self.after_termination(&mut agent, ended.ok()).await;
    }

    /// A process that was told to end has ended, or its time is over.
    async fn after_termination(&self, agent: &mut Agent, ended: Option<std::io::Result<ExitStatus>>) {
        match ended {
            Some(Ok(status)) if status.success() => {}
            Some(ended) => self.report(format!("ended after SIGTERM with {ended:?}")),
            None => {
                agent.child.kill().await.expect("it runs");
                self.report("was still there when SIGKILL came");
            }
        }
        self.pid.store(0, Ordering::SeqCst);
        self.gate.send_replace(Gate::Closed);
        self.read_log(agent).await;
    }

    /// A planned restart, and another one behind it if the plan says so.
    pub async fn planned_restart(self: Arc<Self>, restart: RestartPlan) {
        // One that is being restarted already is left to it.
        let Ok(mut place) = self.agent.try_lock() else { return };
        for _ in 0..=usize::from(restart.again) {
            let Some(mut agent) = place.take() else { return };
            self.terminate(&mut agent, &restart).await;
            if let Some(after) = restart.next_terminated_after {
                self.start_and_terminate(after).await;
            }
            self.start_again(&mut place).await;
        }
    }

    /// Reports a process whose memory has exceeded its limit at any time.
    fn check_memory(&self, agent: &Agent) {
        let limit_kib = MEMORY_MB * 1_000_000 / 1024;
        if let Some(peak) = agent.peak_resident_kib().filter(|peak| *peak > limit_kib) {
            self.report(format!("its memory reached {peak} KiB of {limit_kib}"));
        }
    }

    /// Tells a process to end, with the signals of the plan, and waits for its end.
    async fn terminate(&self, agent: &mut Agent, restart: &RestartPlan) {
        let Some(pid) = agent.child.id() else { return };
        self.check_memory(agent);
        for _ in 0..restart.hang_ups_before {
            self.send(Signal::HangUp, pid).await;
        }
        if restart.stall_at_term.is_some() {
            signal("-STOP", pid).await;
        }
        agent.term().await;
        let told = Instant::now();
        self.note("SIGTERM sent");
        lock(&self.terminations).push(told);
        let killed_at = told + self.time_to_kill();
        self.gate.send_replace(Gate::Ending { connects_until: told + restart.connects_for, killed_at });
        let signals = async {
            if let Some(lasts) = restart.stall_at_term {
                sleep(lasts).await;
                signal("-CONT", pid).await;
            }
            for (time, signal) in &restart.signals {
                match time {
                    SignalTime::AfterTerm(after) => sleep_until(told + *after).await,
                    SignalTime::BeforeKill(before) => sleep_until(killed_at - *before).await,
                }
                self.send(*signal, pid).await;
            }
            pending::<()>().await;
        };
        // The signals stop with the process: its id may belong to another one then.
        let ended = tokio::select! {
            ended = timeout_at(killed_at, agent.child.wait()) => ended.ok(),
            () = signals => None,
        };
        self.after_termination(agent, ended).await;
    }

    async fn send(&self, kind: Signal, pid: u32) {
        match kind {
            Signal::Terminate => signal("-TERM", pid).await,
            Signal::HangUp => signal("-HUP", pid).await,
            Signal::Stall(lasts) => return self.stop_for(lasts, pid).await,
        };
        self.note(format_args!("{kind:?} sent"));
    }

    async fn stop_for(&self, lasts: Duration, pid: u32) {
        // It may end just now; then there is nobody to stop.
        if signal("-STOP", pid).await {
            self.note("SIGSTOP sent");
            sleep(lasts).await;
            signal("-CONT", pid).await;
            self.note("SIGCONT sent");
        }
    }

    /// SIGKILL without a warning, and a new process at the same address.
    pub async fn crash(self: Arc<Self>) {
        let Ok(mut place) = self.agent.try_lock() else { return };
        let Some(mut agent) = place.take() else { return };
        self.check_memory(&agent);
        lock(&self.crashes).push((Instant::now(), None));
        self.note("SIGKILL sent");
        self.gate.send_replace(Gate::Closed);
        self.pid.store(0, Ordering::SeqCst);
        agent.child.kill().await.expect("it runs");
        self.read_log(&mut agent).await;
        self.start_again(&mut place).await;
        if let Some((_, back)) = lock(&self.crashes).last_mut() {
            *back = Some(Instant::now());
        }
    }

    /// SIGSTOP, and SIGCONT so long after.
    pub async fn stall(self: Arc<Self>, lasts: Duration) {
        let pid = self.pid.load(Ordering::SeqCst);
        if pid != 0 {
            self.stop_for(lasts, pid).await;
        }
    }

    /// A new configuration and SIGHUP, so many times in a row.
    pub async fn reload(self: Arc<Self>, times: usize) {
        let Ok(place) = self.agent.try_lock() else { return };
        let Some(agent) = &*place else { return };
        for _ in 0..times {
            let text = lock(&self.config).to_string();
            agent.replace(&text);
            agent.hang_up().await;
            self.note("SIGHUP sent");
        }
    }

    /// Clients that stay in one state take up all connections.
    pub async fn crowd(self: Arc<Self>, plan: Crowd) {
        let number = {
            let mut crowds = lock(&self.crowds);
            crowds.push((Instant::now(), None));
            crowds.len() - 1
        };
        self.note(format!("crowd begins, state={:?} clients={}", plan.state, plan.clients));
        crowd(self.address, plan).await;
        self.note("crowd ends");
        lock(&self.crowds)[number].1 = Some(Instant::now());
    }

    /// Ends the last process in order.
    pub async fn end(&self) {
        let Some(mut agent) = self.agent.lock().await.take() else { return };
        self.check_memory(&agent);
        match agent.child.try_wait() {
            Ok(None) => {
                kill("-TERM", agent.child.id().expect("it runs")).await;
                let status = agent.end().await;
                if !status.success() {
                    self.report(format!("ended with {status}"));
                }
            }
            ended => self.report(format!("ended by itself: {ended:?}")),
        }
        self.read_log(&mut agent).await;
    }
}

/// A line of a process's log that is about a connection, with the address of the connection's client.
fn with_peer(line: &str, log: &[String]) -> String {
    let connection = log_field(line, "rule violation", "connection");
    let closed = |other: &&String| {
        connection.is_some() && log_field(other, "downstream connection closed", "connection") == connection
    };
    let peer =
        log.iter().find(closed).and_then(|line| log_field(line, "downstream connection closed", "peer"));
    peer.map_or_else(|| line.to_owned(), |peer| format!("{line} peer={peer}"))
}

/// Whether one of these lasted into the time between two moments.
fn any_between(intervals: &Mutex<Vec<Interval>>, from: Instant, until: Instant) -> bool {
    lock(intervals).iter().any(|(begin, end)| *begin <= until && end.is_none_or(|end| end >= from))
}

/// Sends a signal to a process that may have ended.
async fn signal(signal: &str, pid: u32) -> bool {
    let mut command = tokio::process::Command::new("kill");
    command.args([signal, &pid.to_string()]).stderr(std::process::Stdio::null());
    command.status().await.is_ok_and(|status| status.success())
}

/// Which calls of a process fail: each kind that Linux documents may be drawn, or none.
fn failing_calls(seed: u64, number: usize) -> String {
    let mut random = fastrand::Rng::with_seed(seed.wrapping_mul(1 << 16).wrapping_add(number as u64));
    let kinds = [
        "recv short",
        "recv EINTR",
        "send short",
        "send EINTR",
        "writev short",
        "writev EINTR",
        "accept4 ECONNABORTED",
        "accept4 ENFILE",
        "accept4 EINTR",
        "socket ENFILE",
        "socket ENOBUFS",
        "connect EADDRNOTAVAIL",
        "connect ENETUNREACH",
        "epoll_wait EINTR",
    ];
    let mut rules = Vec::new();
    for kind in kinds {
        if random.bool() {
            rules.push(format!("{kind} every={CALLS_PER_FAULT} seed={}", random.u32(..)));
        }
    }
    if random.bool() {
        let hour = 3_600_000_i64;
        let step = random.i64(-hour..=hour);
        rules.push(format!("clock_gettime step ms={step} from={}", random.u64(..10_000)));
    }
    rules.join(";")
}
