//! One scale run: start, settle, measure, change, kill, end.

use super::accounts::{cpu_seconds, dropped_datagrams, resident_mib};
use super::agents::{Agents, CLUSTER};
use super::children::{ProcessEnded, RunProcess};
use super::discovery::{CallCounts, EndpointService};
use super::lag::{Lag, LagWatch};
use super::machine::Machine;
use super::observer::Observer;
use super::receiver::CountingReceiver;
use super::scenario::{Scenario, ScenarioError, VIEW_LIMIT};
use super::switch::{DatagramSwitch, TrafficCounts, AGENT_NETWORK, PORT_NETWORK};
use super::{AgentFigures, FleetFigures, RunResult};
use crate::http::{read_message, LONG};
use crate::server::Plan;
use crate::traffic::{Load, Traffic};
use crate::world::World;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Waits look this often whether what they wait for is there and all processes run.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// A hollow process starts its agents within this, however many they are.
const START_TIMEOUT: Duration = Duration::from_secs(300);
/// A change is in force at all agents within this, or the run fails.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(120);
/// A killed member is dead to all that hold it within this, or those that don't are told of.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(90);
/// All processes have ended this long after they were told to.
const STOP_TIMEOUT: Duration = Duration::from_secs(120);
/// Where it is not known who held a killed member: all did find it dead that did before so long a pause.
const DETECTION_QUIET: Duration = Duration::from_secs(12);
/// From one change of the list to the next.
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// Oversleeping longer than this at the 99th percentile, the harness measures itself.
const MAX_HARNESS_LAG: Duration = Duration::from_millis(50);
/// A process that stood still for a second doubts its own hearing: its membership no longer does what is measured.
const MAX_STALL_MS: f64 = 900.0;
/// A hollow process that takes more of its core than this may be late with everything.
const MAX_PROCESS_SHARE: f64 = 0.85;
/// The traffic of the window's second half may differ from that of the first by this part, or it had not settled.
const MAX_DRIFT: f64 = 0.1;
/// Connections of clients to each real agent.
const CLIENTS: usize = 2;
/// Requests of one client, at most.
const MAX_REQUESTS: usize = 1_000_000;

/// A run that did not come to its end.
#[derive(Debug)]
pub enum RunError {
    /// The scenario cannot be run here.
    Scenario(ScenarioError),
    /// A process ended that was to go on.
    ProcessEnded(ProcessEnded),
    /// The kernel refused something.
    Io(std::io::Error),
    /// Something did not happen in time.
    TimedOut(String),
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RunError::Scenario(error) => error.fmt(f),
            RunError::ProcessEnded(ended) => ended.fmt(f),
            RunError::Io(error) => error.fmt(f),
            RunError::TimedOut(what) => write!(f, "{what} did not happen in time"),
        }
    }
}

impl std::error::Error for RunError {}

impl From<std::io::Error> for RunError {
    fn from(error: std::io::Error) -> Self {
        RunError::Io(error)
    }
}

impl From<ProcessEnded> for RunError {
    fn from(ended: ProcessEnded) -> Self {
        RunError::ProcessEnded(ended)
    }
}

/// Plays a scenario once at one size. `progress` is told what goes on.
///
/// # Errors
///
/// The scenario is too large, a process ended, or something did not happen in time. No process is left in any case.
pub async fn run(
    scenario: &Scenario,
    (hollow, number): (usize, usize),
    progress: impl Fn(&str),
) -> Result<RunResult, RunError> {
    let machine = Machine::this();
    machine
        .check(&scenario.needs(hollow))
        .map_err(|shortage| RunError::Scenario(ScenarioError::TooLarge { hollow, shortage }))?;
    let count = scenario.real + hollow;
    let world = World::start(scenario.servers, &Plan::default()).await;
    // The last agent is the one that is killed.
    let observer = Arc::new(Observer::new(CLUSTER, count - 1, count));
    let seed = scenario.seed.wrapping_add(number as u64);
    let switch = DatagramSwitch::start(count, scenario.loss, seed, observer.clone()).await?;
    let discovery = EndpointService::start(count, &world.hosts()).await?;
    let receiver = CountingReceiver::start(count).await?;
    let agents = Agents::new((scenario, hollow), &world, (&switch, &discovery, &receiver))?;
    let stand_ins = StandIns { world: &world, switch: &switch, discovery: &discovery, receiver: &receiver };
    let mut fleet = Fleet { scenario, agents: &agents, stand_ins, observer, processes: Vec::new(), progress };
    fleet.start().await?;
    let fronts = fleet.fronts()?;
    let traffic = (scenario.rate > 0.0 && !fronts.is_empty()).then(|| {
        Traffic::start(&Load {
            agents: fronts,
            clients: CLIENTS,
            rate: scenario.rate,
            seed,
            most: MAX_REQUESTS,
        })
    });
    fleet.wait("settling", scenario.settle()).await?;
    let mut result = fleet.measure(machine, (hollow, number)).await?;
    let lag = LagWatch::start();
    for _ in 0..scenario.list_changes {
        result.fleet.list_change_s.push(fleet.change_list().await?);
        fleet.wait("between changes", CHANGE_INTERVAL).await?;
    }
    if scenario.config_change {
        result.fleet.config_change_s = Some(fleet.change_config().await?);
    }
    if scenario.kill {
        fleet.kill_last(&mut result.fleet).await?;
    }
    result.void_changes = Some(lag_reasons(lag.take(), fleet.take_hollow_lag_ms()));
    if let Some(traffic) = traffic {
        traffic.finish().await;
    }
    result.fleet.datagrams = fleet.stop().await?;
    result.ended_unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    Ok(result)
}

/// What surrounds the agents.
struct StandIns<'a> {
    world: &'a World,
    switch: &'a DatagramSwitch,
    discovery: &'a EndpointService,
    receiver: &'a CountingReceiver,
}

struct Fleet<'a, P: Fn(&str)> {
    scenario: &'a Scenario,
    agents: &'a Agents<'a>,
    stand_ins: StandIns<'a>,
    observer: Arc<Observer>,
    processes: Vec<RunProcess>,
    progress: P,
}

/// All counters at a moment.
struct Snapshot {
    at: Instant,
    traffic: Vec<TrafficCounts>,
    calls: Vec<CallCounts>,
    posts: Vec<(u64, u64)>,
    cpu: Vec<f64>,
    own_cpu: f64,
    dropped: u64,
}

impl Snapshot {
    fn bytes_out(&self) -> u64 {
        self.traffic.iter().map(|traffic| traffic.bytes_out).sum()
    }
}

impl<P: Fn(&str)> Fleet<'_, P> {
    async fn start(&mut self) -> Result<(), RunError> {
        (self.progress)("starting");
        let hollow: Vec<usize> = (self.scenario.real..self.agents.count()).collect();
        // The one that is killed has a process of its own.
        let (crowd, last) = hollow.split_at(hollow.len() - usize::from(self.scenario.kill));
        let groups = crowd.chunks(self.scenario.hollow_per_process).chain((!last.is_empty()).then_some(last));
        for (place, group) in groups.enumerate() {
            let name = format!("hollow-{place}");
            let assignments = self.agents.write_assignments(&name, group)?;
            self.processes.push(RunProcess::hollow(name, &assignments, group.to_vec())?);
        }
        self.until("the start of all hollow processes", START_TIMEOUT, |fleet| {
            fleet.processes.iter().all(RunProcess::is_up)
        })
        .await?;
        for process in &mut self.processes {
            process.base_mib = process.pid().and_then(resident_mib).unwrap_or(0.0);
            process.go().await?;
        }
        let hollow_processes = self.processes.len();
        for agent in 0..self.scenario.real {
            let files = self.agents.write(agent)?;
            let name = format!("real-{agent}");
            self.processes.push(RunProcess::real(name, (&files.config, &files.operator), agent)?);
        }
        self.until("the start of all hollow agents", START_TIMEOUT, |fleet| {
            fleet.processes[..hollow_processes].iter().all(RunProcess::is_ready)
        })
        .await?;
        for front in self.fronts()? {
            self.until_serving(front).await?;
        }
        Ok(())
    }

    fn fronts(&self) -> Result<Vec<SocketAddr>, RunError> {
        let fronts: std::io::Result<_> =
            (0..self.scenario.real).map(|agent| self.agents.front_of(agent)).collect();
        Ok(fronts?)
    }

    async fn until_serving(&mut self, front: SocketAddr) -> Result<(), RunError> {
        let begin = Instant::now();
        while !serves(front).await {
            self.check()?;
            if begin.elapsed() > LONG {
                return Err(RunError::TimedOut(format!("the start of the agent at {front}")));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    fn check(&mut self) -> Result<(), ProcessEnded> {
        self.processes.iter_mut().try_for_each(RunProcess::check)
    }

    async fn wait(&mut self, what: &str, time: Duration) -> Result<(), RunError> {
        let end = Instant::now() + time;
        while Instant::now() < end {
            let left = end.saturating_duration_since(Instant::now());
            (self.progress)(&format!("{what}, {:.0} s left", left.as_secs_f64()));
            self.check()?;
            tokio::time::sleep(left.min(POLL_INTERVAL * 10)).await;
        }
        Ok(())
    }

    async fn until(
        &mut self,
        what: &str,
        within: Duration,
        done: impl Fn(&Self) -> bool,
    ) -> Result<(), RunError> {
        let begin = Instant::now();
        while !done(self) {
            self.check()?;
            if begin.elapsed() > within {
                return Err(RunError::TimedOut(what.to_owned()));
            }
            (self.progress)(&format!("{what}, {:.0} s", begin.elapsed().as_secs_f64()));
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// The longest oversleep of a hollow process since the last call.
    fn take_hollow_lag_ms(&self) -> f64 {
        self.processes.iter().map(RunProcess::take_lag_ms).fold(0.0, f64::max)
    }

    fn snapshot(&self) -> Snapshot {
        let count = self.agents.count();
        let StandIns { switch, discovery, receiver, .. } = self.stand_ins;
        Snapshot {
            at: Instant::now(),
            traffic: (0..count).map(|agent| switch.traffic(agent)).collect(),
            calls: (0..count).map(|agent| discovery.counts(agent)).collect(),
            posts: (0..count).map(|agent| receiver.counts(agent)).collect(),
            cpu: self.processes.iter().map(|p| p.pid().and_then(cpu_seconds).unwrap_or(0.0)).collect(),
            own_cpu: cpu_seconds(std::process::id()).unwrap_or(0.0),
            dropped: dropped_datagrams(&[PORT_NETWORK, AGENT_NETWORK]),
        }
    }

    async fn measure(
        &mut self,
        machine: Machine,
        (hollow, number): (usize, usize),
    ) -> Result<RunResult, RunError> {
        self.observer.activate();
        let lag = LagWatch::start();
        self.take_hollow_lag_ms();
        let begin = self.snapshot();
        self.wait("measuring", self.scenario.window() / 2).await?;
        let middle = self.snapshot();
        self.wait("measuring", self.scenario.window() / 2).await?;
        let end = self.snapshot();
        let lag = lag.take();
        let hollow_lag_ms = self.take_hollow_lag_ms();
        let halves = [(&begin, &middle), (&middle, &end)].map(|(from, to)| {
            (to.bytes_out() - from.bytes_out()) as f64 / to.at.duration_since(from.at).as_secs_f64()
        });
        let seconds = end.at.duration_since(begin.at).as_secs_f64();
        let busiest =
            begin.cpu.iter().zip(&end.cpu).map(|(from, to)| (to - from) / seconds).fold(0.0, f64::max);
        let figures = FleetFigures {
            drift: halves[1] / halves[0].max(1.0),
            harness_lag_ms: (lag.p99.as_secs_f64() * 1e3, lag.max.as_secs_f64() * 1e3),
            hollow_lag_ms,
            busiest_process: busiest,
            harness_cpu: (end.own_cpu - begin.own_cpu) / seconds,
            ..FleetFigures::default()
        };
        let void = void_reasons(&figures, lag, end.dropped - begin.dropped.min(end.dropped));
        let real = 0..self.scenario.real;
        Ok(RunResult {
            scenario: self.scenario.name.clone(),
            hollow,
            real: self.scenario.real,
            run: number,
            seed: self.scenario.seed.wrapping_add(number as u64),
            loss: self.scenario.loss,
            servers: self.scenario.servers,
            machine,
            commit: commit(),
            ended_unix: 0,
            window_s: seconds,
            void,
            void_changes: None,
            hollow_agent: self.means(real.end..self.agents.count(), (&begin, &end)),
            real_agent: self.means(real, (&begin, &end)),
            fleet: figures,
        })
    }

    /// Means over these agents between two moments.
    fn means(&self, agents: std::ops::Range<usize>, (begin, end): (&Snapshot, &Snapshot)) -> AgentFigures {
        let seconds = end.at.duration_since(begin.at).as_secs_f64();
        let count = agents.len().max(1) as f64;
        let rate = |of: &dyn Fn(&Snapshot, usize) -> u64| {
            let sum: u64 = agents.clone().map(|agent| of(end, agent) - of(begin, agent)).sum();
            sum as f64 / count / seconds
        };
        let (mut cpu, mut memory) = (0.0, 0.0);
        for (place, process) in self.processes.iter().enumerate() {
            if process.agents.first().is_some_and(|agent| agents.contains(agent)) {
                cpu += end.cpu[place] - begin.cpu[place];
                memory += process.pid().and_then(resident_mib).unwrap_or(0.0) - process.base_mib;
            }
        }
        AgentFigures {
            datagrams_out: rate(&|snapshot, agent| snapshot.traffic[agent].datagrams_out),
            datagrams_in: rate(&|snapshot, agent| snapshot.traffic[agent].datagrams_in),
            bytes_out: rate(&|snapshot, agent| snapshot.traffic[agent].bytes_out),
            bytes_in: rate(&|snapshot, agent| snapshot.traffic[agent].bytes_in),
            discovery_calls: rate(&|snapshot, agent| snapshot.calls[agent].calls),
            discovery_bytes: rate(&|snapshot, agent| snapshot.calls[agent].bytes),
            telemetry_posts: rate(&|snapshot, agent| snapshot.posts[agent].0),
            telemetry_bytes: rate(&|snapshot, agent| snapshot.posts[agent].1),
            cpu_share: cpu / count / seconds,
            memory_mib: memory / count,
        }
    }

    /// Changes the list; seconds until the last agent asks for what is newer.
    async fn change_list(&mut self) -> Result<f64, RunError> {
        let discovery = self.stand_ins.discovery;
        let mut hosts = self.stand_ins.world.hosts();
        // A weight that moves to and fro: no server comes or goes.
        let weight = if discovery.version().is_multiple_of(2) { 1.0 } else { 0.9 };
        hosts[0]["share"] = weight.into();
        let begin = Instant::now();
        let version = discovery.publish(&hosts, &hosts[..1]);
        let count = self.agents.count();
        self.until("that all agents act by the list", CHANGE_TIMEOUT, |_| {
            (0..count).all(|agent| discovery.acknowledged(agent, version).is_some())
        })
        .await?;
        let last = (0..count).filter_map(|agent| discovery.acknowledged(agent, version)).max();
        Ok(seconds_since(begin, last))
    }

    /// Moves discovery by new files and SIGHUP; seconds until the last agent calls where it has moved to.
    async fn change_config(&mut self) -> Result<f64, RunError> {
        let (agents, discovery) = (self.agents, self.stand_ins.discovery);
        let count = agents.count();
        let begin = Instant::now();
        for agent in 0..count {
            agents.move_discovery(agent, agents.front_of(agent)?)?;
        }
        for process in &self.processes {
            process.signal("-HUP").await;
        }
        let moved = |agent| discovery.connected_since(agents.listener_after_move(agent), begin);
        self.until("that all agents act by the configuration", CHANGE_TIMEOUT, |_| {
            (0..count).all(|agent| moved(agent).is_some())
        })
        .await?;
        Ok(seconds_since(begin, (0..count).filter_map(moved).max()))
    }

    /// Kills the last hollow process, and waits until all that held its agent hold it dead.
    async fn kill_last(&mut self, figures: &mut FleetFigures) -> Result<(), RunError> {
        let last = self.agents.count() - 1;
        // All others hold it, and each shows so sooner or later; of a larger fleet only some do, and few show it.
        let all_hold = last <= VIEW_LIMIT;
        if all_hold {
            self.until("that all others hold the agent that is killed", CHANGE_TIMEOUT, |fleet| {
                fleet.observer.holders() >= last
            })
            .await?;
        }
        let begin = Instant::now();
        let victim = self.processes.iter_mut().find(|process| process.agents == [last]);
        let Some(victim) = victim else { return Ok(()) };
        victim.kill().await;
        let waited = self
            .until("that the killed agent is dead to all that held it", DETECTION_TIMEOUT, |fleet| {
                let burials = fleet.observer.burials();
                let quiet = burials.iter().max().is_some_and(|latest| latest.elapsed() > DETECTION_QUIET);
                if all_hold {
                    burials.len() >= last
                } else {
                    quiet
                }
            })
            .await;
        match waited {
            // How many have not stands in the result.
            Ok(()) | Err(RunError::TimedOut(_)) => {}
            Err(other) => return Err(other),
        }
        let mut burials = self.observer.burials();
        burials.sort_unstable();
        figures.detection_holders = (if all_hold { last } else { burials.len() }, burials.len());
        let at = |place: usize| burials.get(place).map(|at| at.duration_since(begin).as_secs_f64());
        figures.detection_p50_s = at(burials.len() / 2);
        figures.detection_last_s = at(burials.len().saturating_sub(1));
        Ok(())
    }

    /// Ends all processes; the totals of the switch once nothing is on its way.
    async fn stop(&mut self) -> Result<super::DatagramTotals, RunError> {
        (self.progress)("stopping");
        for process in &mut self.processes {
            process.may_end();
            process.signal("-TERM").await;
        }
        let ends = async {
            for process in &mut self.processes {
                process.ended().await;
            }
        };
        let ended = tokio::time::timeout(STOP_TIMEOUT, ends).await;
        ended.map_err(|_| RunError::TimedOut("the end of all processes".to_owned()))?;
        Ok(self.stand_ins.switch.totals())
    }
}

fn seconds_since(begin: Instant, last: Option<Instant>) -> f64 {
    last.map_or(0.0, |last| last.saturating_duration_since(begin).as_secs_f64())
}

/// How late processes woke, where that is too late for what they measure.
fn lag_reasons(lag: Lag, hollow_lag_ms: f64) -> Vec<String> {
    let ms = |lag: Duration| lag.as_secs_f64() * 1e3;
    let reasons = [
        (lag.p99 > MAX_HARNESS_LAG)
            .then(|| format!("the harness woke {:.0} ms late at the 99th percentile", ms(lag.p99))),
        (ms(lag.max) > MAX_STALL_MS).then(|| format!("the harness stood still for {:.0} ms", ms(lag.max))),
        (hollow_lag_ms > MAX_STALL_MS)
            .then(|| format!("a hollow process stood still for {hollow_lag_ms:.0} ms")),
    ];
    reasons.into_iter().flatten().collect()
}

/// Why the figures of a window don't count.
fn void_reasons(figures: &FleetFigures, lag: Lag, dropped: u64) -> Vec<String> {
    let drift = figures.drift;
    let reasons = [
        (figures.busiest_process > MAX_PROCESS_SHARE)
            .then(|| format!("a process took {:.0}% of its core", figures.busiest_process * 100.0)),
        (dropped > 0).then(|| format!("the kernel dropped {dropped} datagrams for want of room")),
        ((drift - 1.0).abs() > MAX_DRIFT)
            .then(|| format!("the traffic had not settled: its second half was {drift:.2} of its first")),
    ];
    lag_reasons(lag, figures.hollow_lag_ms).into_iter().chain(reasons.into_iter().flatten()).collect()
}

async fn serves(front: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(front).await else { return false };
    if stream.write_all(b"GET /ready HTTP/1.1\r\nHost: testbed\r\n\r\n").await.is_err() {
        return false;
    }
    let answer = tokio::time::timeout(Duration::from_secs(1), read_message(&mut stream, 0)).await;
    answer.ok().flatten().is_some_and(|answer| answer.status() == 200)
}

/// The version of the code, with a mark if files differ from it.
fn commit() -> String {
    let git = |args: &[&str]| {
        let output = std::process::Command::new("git").args(args).output().ok()?;
        output.status.success().then(|| String::from_utf8_lossy(&output.stdout).trim().to_owned())
    };
    let Some(commit) = git(&["rev-parse", "--short", "HEAD"]) else { return "unknown".to_owned() };
    let changed =
        git(&["status", "--porcelain", "--untracked-files=no"]).is_some_and(|files| !files.is_empty());
    if changed {
        format!("{commit}+changes")
    } else {
        commit
    }
}
