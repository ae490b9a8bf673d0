//! The processes of a soak, their servers and their discovery, and what the faults do to them.

use super::timeline::SoakFault;
use super::SoakPlan;
use crate::directory::Mood;
use crate::faults::Shim;
use crate::process::{kill, Agent};
use crate::server::Plan;
use crate::traffic::CLASSES;
use crate::world::World;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout_at, Instant};

/// The platform waits for the longest deadline, 3 s of it at most, and for so much more between SIGTERM and SIGKILL.
const KILL_MARGIN: Duration = Duration::from_millis(700);
const MAX_PLATFORM_DEADLINE: Duration = Duration::from_secs(3);
/// New connections go on coming for so long after SIGTERM.
const CONNECTS_AFTER_TERM: Duration = Duration::from_millis(400);
/// A process is ready within this.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Each request can be followed by its id.
const LOG_LEVELS: &str = "info,bellcroft::requests=debug";
/// One in so many calls of a kind fails.
const CALLS_PER_FAULT: u64 = 60;

const SECONDS_PER_DAY: u64 = 86_400;

/// When something began, and when it was over.
type Interval = (Instant, Option<Instant>);

/// Whether clients make new connections to a process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Gate {
    /// They do.
    Open,
    /// It has been told to end: they do until then.
    ClosesAt(Instant),
    /// They don't: it has ended, or is about to.
    Closed,
}

impl Gate {
    /// Whether a new connection may be made now.
    pub fn is_open(self) -> bool {
        match self {
            Gate::Open => true,
            Gate::ClosesAt(at) => Instant::now() < at,
            Gate::Closed => false,
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

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Slot {
    /// Whether the process was away without a warning at some time between these two.
    pub fn crashed_between(&self, from: Instant, until: Instant) -> bool {
        lock(&self.crashes).iter().any(|(away, back)| *away <= until && back.is_none_or(|back| back >= from))
    }

    fn report(&self, what: impl std::fmt::Display) {
        lock(&self.violations).push(format!("i{}: {what}", self.number));
    }

    /// Adds a line of the soak's own to the log of the slot's processes, with the machine's time of day.
    fn note(&self, what: impl std::fmt::Display) {
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
    fn read_log(&self, agent: &Agent) {
        let log = agent.log.lock().unwrap_or_else(PoisonError::into_inner);
        let bad = |line: &&String| line.contains("violation") || line.contains("panicked");
        log.iter().filter(bad).for_each(|line| self.report(line));
        lock(&self.logs).extend(log.iter().cloned());
    }

    async fn start_again(&self, place: &mut Option<Agent>) {
        let agent = self.spawn().await;
        if timeout_at(Instant::now() + READY_TIMEOUT, agent.ready()).await.is_err() {
            self.report("a restarted process was not ready in time");
        }
        *place = Some(agent);
        self.gate.send_replace(Gate::Open);
    }

    async fn planned_restart(self: Arc<Self>) {
        // One that is being restarted already is left to it.
        let Ok(mut place) = self.agent.try_lock() else { return };
        let Some(mut agent) = place.take() else { return };
        let longest = CLASSES.iter().map(|class| self.plan.deadline(class)).max().unwrap_or_default();
        agent.term().await;
        let told = Instant::now();
        self.note("SIGTERM sent");
        self.gate.send_replace(Gate::ClosesAt(told + CONNECTS_AFTER_TERM));
        let killed_at = told + longest.min(MAX_PLATFORM_DEADLINE) + KILL_MARGIN;
        match timeout_at(killed_at, agent.child.wait()).await {
            Ok(Ok(status)) if status.success() => {}
            Ok(ended) => self.report(format!("ended after SIGTERM with {ended:?}")),
            Err(_) => {
                agent.child.kill().await.expect("it runs");
                self.report("was still there when SIGKILL came");
            }
        }
        self.pid.store(0, Ordering::SeqCst);
        self.gate.send_replace(Gate::Closed);
        self.read_log(&agent);
        self.start_again(&mut place).await;
    }

    async fn crash(self: Arc<Self>) {
        let Ok(mut place) = self.agent.try_lock() else { return };
        let Some(mut agent) = place.take() else { return };
        lock(&self.crashes).push((Instant::now(), None));
        self.note("SIGKILL sent");
        self.gate.send_replace(Gate::Closed);
        self.pid.store(0, Ordering::SeqCst);
        agent.child.kill().await.expect("it runs");
        self.read_log(&agent);
        self.start_again(&mut place).await;
        if let Some((_, back)) = lock(&self.crashes).last_mut() {
            *back = Some(Instant::now());
        }
    }

    async fn stall(self: Arc<Self>, lasts: Duration) {
        let pid = self.pid.load(Ordering::SeqCst);
        if pid == 0 {
            return;
        }
        // It may end just now; then there is nobody to stop.
        if signal("-STOP", pid).await {
            self.note("SIGSTOP sent");
            sleep(lasts).await;
            signal("-CONT", pid).await;
            self.note("SIGCONT sent");
        }
    }

    async fn reload(self: Arc<Self>, times: usize) {
        let Ok(place) = self.agent.try_lock() else { return };
        let Some(agent) = &*place else { return };
        for _ in 0..times {
            let text = lock(&self.config).to_string();
            agent.replace(&text);
            agent.hang_up().await;
            self.note("SIGHUP sent");
        }
    }
}

/// Sends a signal to a process that may have ended.
async fn signal(signal: &str, pid: u32) -> bool {
    let mut command = tokio::process::Command::new("kill");
    command.args([signal, &pid.to_string()]).stderr(std::process::Stdio::null());
    command.status().await.is_ok_and(|status| status.success())
}

/// The processes of a soak and what surrounds them.
pub struct SoakCluster {
    /// The processes.
    pub slots: Vec<Arc<Slot>>,
    /// The servers and their list.
    pub world: World,
    /// Servers that began to drain, and when the list said so.
    pub drains: Vec<(usize, Instant)>,
    /// When discovery could not be reached.
    outages: Arc<Mutex<Vec<Interval>>>,
    /// The list as it stands, for processes that start.
    known: Arc<Mutex<Value>>,
    plan: SoakPlan,
    draining: Vec<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl SoakCluster {
    /// Starts all of it.
    pub async fn start(plan: SoakPlan) -> Self {
        let server = Plan { seed: plan.seed, ..Plan::default() };
        let world = World::start(plan.servers, &server).await;
        let known = Arc::new(Mutex::new(world.known()));
        let mut slots = Vec::new();
        for number in 0..plan.instances {
            slots.push(Self::slot(&plan, &world, &known, number).await);
        }
        let draining = vec![false; plan.servers];
        let outages = Arc::default();
        SoakCluster { slots, world, known, drains: Vec::new(), outages, plan, draining, tasks: Vec::new() }
    }

    async fn slot(plan: &SoakPlan, world: &World, known: &Arc<Mutex<Value>>, number: usize) -> Arc<Slot> {
        let mut config = world.config(&format!("i{number}"));
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

    /// Begins a fault; what it lasts goes on beside the next ones.
    pub async fn apply(&mut self, fault: SoakFault) {
        let task = match fault {
            SoakFault::PlannedRestart(n) => tokio::spawn(self.slots[n].clone().planned_restart()),
            SoakFault::Crash(n) => tokio::spawn(self.slots[n].clone().crash()),
            SoakFault::Stall(n, lasts) => tokio::spawn(self.slots[n].clone().stall(lasts)),
            SoakFault::Reload(n, times) => tokio::spawn(self.slots[n].clone().reload(times)),
            SoakFault::DiscoveryDown(lasts) => self.disturb_discovery(Mood::Down, lasts),
            SoakFault::DiscoverySilent(lasts) => self.disturb_discovery(Mood::Mute, lasts),
            SoakFault::ServerSlow(n, factor, lasts) => {
                let server = self.world.servers[n].clone();
                tokio::spawn(async move {
                    server.slow(factor);
                    sleep(lasts).await;
                    server.slow(1.0);
                })
            }
            SoakFault::ServerHangs(n, lasts) | SoakFault::ServerResets(n, lasts) => {
                let server = self.world.servers[n].clone();
                let hangs = matches!(fault, SoakFault::ServerHangs(..));
                tokio::spawn(async move {
                    if hangs {
                        server.mute();
                    } else {
                        server.reset();
                    }
                    sleep(lasts).await;
                    server.heal();
                })
            }
            SoakFault::ServerDrains(n) => return self.drain(n),
            SoakFault::ServerReplaced(n) => return self.replace(n).await,
        };
        self.tasks.push(task);
    }

    /// Half of the servers stay in service.
    fn drain(&mut self, server: usize) {
        let draining = self.draining.iter().filter(|draining| **draining).count();
        if !self.draining[server] && draining < self.plan.servers / 2 {
            self.draining[server] = true;
            self.world.drain(server);
            self.drains.push((server, Instant::now()));
            *lock(&self.known) = self.world.known();
        }
    }

    async fn replace(&mut self, server: usize) {
        self.draining[server] = false;
        // What is sent to the new process does not count against its predecessor's drain.
        self.drains.retain(|(drained, _)| *drained != server);
        let seed = self.plan.seed.wrapping_add(server as u64);
        let plan = Plan { cold_for: Duration::from_secs(3), seed, ..Plan::default() };
        self.world.replace(server, plan).await;
        *lock(&self.known) = self.world.known();
    }

    fn disturb_discovery(&self, mood: Mood, lasts: Duration) -> JoinHandle<()> {
        let moods = self.world.directory.mood.clone();
        let outages = self.outages.clone();
        tokio::spawn(async move {
            let before = moods.borrow().clone();
            // Outages that overlap end with the first of them.
            if !matches!(before, Mood::List(_)) {
                return;
            }
            let mut changed = moods.subscribe();
            moods.send_replace(mood);
            let number = {
                let mut outages = lock(&outages);
                outages.push((Instant::now(), None));
                outages.len() - 1
            };
            changed.mark_unchanged();
            // A new list ends it too.
            if tokio::time::timeout(lasts, changed.changed()).await.is_err() {
                moods.send_replace(before);
            }
            lock(&outages)[number].1 = Some(Instant::now());
        })
    }

    /// The moment from which discovery has been reachable for so long on end, counted from a change that it has.
    pub fn reachable_for(&self, since: Instant, wanted: Duration) -> Instant {
        let mut from = since;
        for (began, ended) in lock(&self.outages).iter() {
            let ended = ended.unwrap_or_else(Instant::now);
            if *began < from + wanted && ended > from {
                from = ended;
            }
        }
        from + wanted
    }

    /// Waits until all faults are over.
    pub async fn settle(&mut self) {
        for task in self.tasks.drain(..) {
            task.await.expect("a fault's task does not fail");
        }
    }

    /// Failed system calls of all processes.
    pub fn failed_calls(&self) -> usize {
        self.slots.iter().filter_map(|slot| slot.shim.as_ref()).map(Shim::faults).sum()
    }

    /// Ends all processes; what they have against themselves, and their logs.
    pub async fn end(self) -> (Vec<String>, Vec<Vec<String>>) {
        let (mut violations, mut logs) = (Vec::new(), Vec::new());
        for slot in self.slots {
            if let Some(mut agent) = slot.agent.lock().await.take() {
                match agent.child.try_wait() {
                    Ok(None) => {
                        kill("-TERM", agent.child.id().expect("it runs")).await;
                        let status = agent.end().await;
                        if !status.success() {
                            slot.report(format!("ended with {status}"));
                        }
                    }
                    ended => slot.report(format!("ended by itself: {ended:?}")),
                }
                slot.read_log(&agent);
            }
            violations.append(&mut lock(&slot.violations));
            logs.push(std::mem::take(&mut *lock(&slot.logs)));
        }
        (violations, logs)
    }
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
