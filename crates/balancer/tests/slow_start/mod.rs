//! A fleet in virtual time: many balancers side by side, without peers, over servers that start cold.
//!
//! Each server counts the work that reaches it and holds every window of the settings' length against what they
//! allow it then. What the balancers know is only what the protocol gives them: the settings and the list.

use bellcroft_balancer::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One way between a balancer and a server.
const NETWORK_DELAY: Micros = Micros(400);
/// A handshake costs a server this share of a mean request; each attempt is taken to need one.
const HANDSHAKE_WORK: f64 = 0.1;
/// How long a server that restarts is down.
const DOWN_TIME: Micros = Micros(600_000);
/// A rolling restart takes one server each time.
const ROLLING_STEP: Micros = Micros(500_000);
/// A refused client comes back once, after this.
const CLIENT_BACKOFF: Micros = Micros(30_000);
/// Time before the first start, in which the balancers meet their servers.
const RUN_IN: Micros = Micros(3_000_000);

/// What happens to the fleet in a scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StartKind {
    /// One server restarts.
    OneServer,
    /// A third of the servers restart at once.
    ThirdOfServers,
    /// Four servers of five restart at once.
    MostServers,
    /// A third more servers join at once.
    ServersJoin,
    /// Servers restart one after another.
    RollingRestart,
    /// All servers and all processes restart at once.
    EveryServerAndProcess,
    /// One server and all processes restart at once.
    OneServerEveryProcess,
}

impl StartKind {
    pub const ALL: [StartKind; 7] = [
        StartKind::OneServer,
        StartKind::ThirdOfServers,
        StartKind::MostServers,
        StartKind::ServersJoin,
        StartKind::RollingRestart,
        StartKind::EveryServerAndProcess,
        StartKind::OneServerEveryProcess,
    ];
}

/// A fleet, its settings and what happens to it.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub settings: Settings,
    pub servers: u32,
    pub cores: u32,
    pub mean_work: Micros,
    /// Requests a core that a server keeps waiting; it turns away what comes beyond.
    pub queue_per_core: u32,
    /// Load outside the burst as a share of the warm fleet's capacity.
    pub utilisation: f64,
    /// The load is this multiple of itself while servers start.
    pub burst: f64,
    /// Lists come to the balancers within this of each other.
    pub list_spread: Micros,
    pub kind: StartKind,
    pub seed: u64,
}

impl Scenario {
    /// Draws a scenario within what the protocol's settings allow.
    pub fn draw(processes: u32, kind: StartKind, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed((seed * 7 + kind as u64) << 10 | u64::from(processes));
        let range = |rng: &mut fastrand::Rng, low: f64, high: f64| low + (high - low) * rng.f64();
        let mean_work = Micros::from_ms(range(&mut rng, 20.0, 100.0));
        let aim = mean_work * range(&mut rng, 4.0, 8.0);
        let class = |effect| Class {
            retry_safety: effect,
            latency_objective: aim,
            deadline: aim * 2.0,
            ..Class::default()
        };
        let reports = rng.bool();
        let settings = Settings {
            balancers: processes,
            classes: vec![class(RetrySafety::Idempotent), class(RetrySafety::AtMostOnce)],
            initial_capacity: range(&mut rng, 0.12, 0.5),
            slow_start_window: Micros::from_ms(range(&mut rng, 3500.0, 12_000.0)),
            overload_factor: [2.5, 3.0, 4.0][rng.usize(0..3)],
            fall_after: Micros::from_ms([1500.0, 2000.0, 3000.0][rng.usize(0..3)]),
            max_attempts: 6,
            hedging: true,
            report_source: if reports { LoadReportSource::Answers } else { LoadReportSource::None },
            report_fields: if reports { vec![LoadReportField::Queue] } else { Vec::new() },
            event_interval: Micros::from_ms(5.0),
            ..Settings::default()
        };
        Scenario {
            settings,
            servers: if rng.u32(0..3) == 0 { processes + rng.u32(1..10) } else { rng.u32(8..17) },
            cores: rng.u32(1..5),
            mean_work,
            queue_per_core: rng.u32(4..24),
            utilisation: range(&mut rng, 0.25, 1.0),
            burst: 1.5,
            list_spread: if rng.bool() {
                Micros::ZERO
            } else {
                Micros::from_ms(range(&mut rng, 50.0, 2000.0))
            },
            kind,
            seed,
        }
    }

    /// As [`Scenario::draw`], with small servers that start at a seventh of their capacity or less and fall soon: each
    /// bears about ten requests in a window, fewer than there are processes.
    pub fn draw_small_servers(processes: u32, kind: StartKind, seed: u64) -> Self {
        let drawn = Scenario::draw(processes, kind, seed);
        let mut rng = fastrand::Rng::with_seed(seed);
        let mean_work = Micros::from_ms(60.0 + 40.0 * rng.f64());
        let aim = mean_work * (4.0 + 4.0 * rng.f64());
        let classes = drawn.settings.classes.iter().map(|c| Class {
            latency_objective: aim,
            deadline: aim * 2.0,
            ..c.clone()
        });
        let settings = Settings {
            classes: classes.collect(),
            initial_capacity: 0.1 + 0.05 * rng.f64(),
            overload_factor: 2.5,
            fall_after: Micros::from_ms(1500.0),
            ..drawn.settings
        };
        let servers = if rng.bool() { processes + rng.u32(1..10) } else { drawn.servers };
        Scenario { settings, servers, cores: 1, mean_work, ..drawn }
    }

    /// The work that a warm server does in a second, in mean requests.
    fn capacity_per_s(&self) -> f64 {
        f64::from(self.cores) * 1e3 / self.mean_work.ms()
    }

    /// The part of its capacity that a server of this age has.
    fn warmth(&self, age: Micros) -> f64 {
        let grown = (age.ms() / self.settings.slow_start_window.ms()).min(1.0);
        self.settings.initial_capacity + (1.0 - self.settings.initial_capacity) * grown
    }

    /// The work above which a cold server of this age falls.
    fn bound(&self, age: Micros) -> f64 {
        let window = self.settings.fall_after.ms() / 1e3;
        let allowed = self.settings.overload_factor * self.warmth(age) * self.capacity_per_s() * window;
        allowed + 2.0 * allowed.sqrt() + 2.0
    }
}

/// The most that a server was sent after one start, against what it bears.
#[derive(Debug, Clone, Copy)]
pub struct Peak {
    /// Work in the fullest window, as a share of the bound; windows do not count of which less than two thirds came
    /// from balancers that had been told.
    pub ratio: f64,
    /// Requests of mean work in that window.
    pub work: f64,
    /// Age of the server at the end of that window.
    pub age: Micros,
}

/// What came out of a scenario.
#[derive(Debug, Default)]
pub struct Observed {
    pub peaks: Vec<Peak>,
    /// Requests answered well, and all that clients made.
    pub served: u32,
    pub requests: u32,
}

struct Arrival {
    at: Time,
    work: f64,
    told: bool,
}

struct Server {
    listed: Endpoint,
    /// Runs since then; `None` while it is down.
    up_since: Option<Time>,
    /// The list says that it has started; else it is old and warm.
    cold: bool,
    free_at: Vec<Time>,
    waiting: VecDeque<Time>,
    window: VecDeque<Arrival>,
    peak: Option<Peak>,
}

impl Server {
    fn new(listed: Endpoint, cores: u32) -> Self {
        Server {
            listed,
            up_since: Some(Time(0)),
            cold: false,
            free_at: vec![Time(0); cores as usize],
            waiting: VecDeque::new(),
            window: VecDeque::new(),
            peak: None,
        }
    }

    fn restart(&mut self, now: Time) {
        self.free_at.fill(now);
        self.waiting.clear();
        self.window.clear();
        (self.up_since, self.cold, self.peak) =
            (Some(now), true, Some(Peak { ratio: 0.0, work: 0.0, age: Micros::ZERO }));
        self.listed.started_at = Some(now);
        self.listed.status = Status::Serving;
    }
}

struct Process {
    balancer: Balancer,
    generation: u32,
    /// The start of each server that it has been told of.
    told: BTreeMap<ServerId, Option<Time>>,
    tries: BTreeMap<RequestId, Try>,
    /// Attempts without an outcome.
    open: BTreeSet<(RequestId, u32)>,
}

#[derive(Clone, Copy)]
struct Try {
    work: Micros,
    class: usize,
    again: bool,
}

/// Some processes see several times the mean.
fn traffic_share(process: usize) -> f64 {
    if process % 6 == 0 {
        4.0
    } else {
        0.4
    }
}

type Attempt = (usize, u32, RequestId, u32);

enum Happening {
    NextRequest(usize),
    ClientReturns(usize, Try),
    Timer(usize, u32, TimerId),
    Reaches { attempt: Attempt, server: usize, sent: Time, work: Micros },
    Ends { attempt: Attempt, outcome: Outcome, sent: Time, report: Option<f64> },
    Down(usize),
    Up(usize),
    Listed(usize, Endpoint),
    Begin,
    RestartProcesses,
}

/// The fleet while a scenario is played.
pub struct Fleet {
    scenario: Scenario,
    rng: fastrand::Rng,
    now: Time,
    queue: BTreeMap<(Time, u64), Happening>,
    sequence: u64,
    servers: Vec<Server>,
    processes: Vec<Process>,
    next_request: u64,
    burst_until: Time,
    observed: Observed,
}

impl Fleet {
    /// Plays a scenario to its end.
    pub fn play(scenario: Scenario) -> Observed {
        let start = Time::from_ms(50_000.0);
        let mut fleet = Fleet {
            rng: fastrand::Rng::with_seed(scenario.seed),
            now: start,
            queue: BTreeMap::new(),
            sequence: 0,
            servers: Vec::new(),
            processes: Vec::new(),
            next_request: 0,
            burst_until: start,
            observed: Observed::default(),
            scenario,
        };
        for id in 0..fleet.scenario.servers {
            let listed = Endpoint { zone: ZoneId(id % 3), ..Endpoint::serving(ServerId(id)) };
            fleet.servers.push(Server::new(listed, fleet.scenario.cores));
        }
        for index in 0..fleet.scenario.settings.balancers as usize {
            let process = fleet.new_process(index, 0);
            fleet.processes.push(process);
            fleet.start_process(index);
            let gap = fleet.gap(index);
            fleet.at(gap, Happening::NextRequest(index));
        }
        fleet.at(RUN_IN, Happening::Begin);
        let rolling = Micros(ROLLING_STEP.0 * u64::from(fleet.scenario.servers));
        let end = start + RUN_IN + DOWN_TIME + rolling + fleet.scenario.settings.slow_start_window;
        while let Some(((at, _), happening)) = fleet.queue.pop_first() {
            if at > end {
                break;
            }
            fleet.now = at;
            fleet.happen(happening);
        }
        for index in 0..fleet.servers.len() {
            fleet.close_peak(index);
        }
        fleet.observed
    }

    fn at(&mut self, after: Micros, happening: Happening) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), happening);
    }

    fn new_process(&mut self, index: usize, generation: u32) -> Process {
        let settings = Settings { zone: ZoneId(index as u32 % 3), ..self.scenario.settings.clone() };
        let balancer = Balancer::new(settings, self.rng.u64(..)).expect("usable settings");
        let (told, tries, open) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
        Process { balancer, generation, told, tries, open }
    }

    /// Starts a new process: it gets the whole list at once and knows nothing else.
    fn start_process(&mut self, index: usize) {
        let now = self.now;
        let running = |s: &&Server| s.up_since.is_some();
        let lines: Vec<Endpoint> = self.servers.iter().filter(running).map(|s| s.listed.clone()).collect();
        let process = &mut self.processes[index];
        process.told = lines.iter().map(|l| (l.server, l.started_at)).collect();
        let mut actions = Vec::new();
        process.balancer.start(now, &mut actions);
        process.balancer.handle(now, Event::Endpoints(EndpointUpdate::Snapshot(lines)), &mut actions);
        self.act(index, actions);
    }

    /// The time to the next request of a process.
    fn gap(&mut self, index: usize) -> Micros {
        let all: f64 = (0..self.scenario.settings.balancers as usize).map(traffic_share).sum();
        let fleet =
            f64::from(self.scenario.servers) * self.scenario.capacity_per_s() * self.scenario.utilisation;
        let burst = if self.now < self.burst_until { self.scenario.burst } else { 1.0 };
        let rate = fleet * burst * traffic_share(index) / all;
        Micros::from_ms(-(1.0 - self.rng.f64()).ln() * 1e3 / rate)
    }

    /// Skewed as real work is: one request in ten is four times the mean of the others.
    fn draw_work(&mut self) -> Micros {
        let heavy = if self.rng.u32(0..10) == 0 { 4.0 } else { 1.0 };
        self.scenario.mean_work * (heavy * (0.4 + 1.2 * self.rng.f64()) / 1.3)
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::NextRequest(index) => {
                let class = usize::from(self.rng.u32(0..4) == 0);
                let request = Try { work: self.draw_work(), class, again: false };
                self.observed.requests += 1;
                self.request(index, request);
                let gap = self.gap(index);
                self.at(gap, Happening::NextRequest(index));
            }
            Happening::ClientReturns(index, again) => self.request(index, again),
            Happening::Timer(index, generation, timer) => {
                if self.processes[index].generation == generation {
                    self.tell(index, Event::Timer(timer));
                }
            }
            Happening::Reaches { attempt, server, sent, work } => self.reach(attempt, server, sent, work),
            Happening::Ends { attempt, outcome, sent, report } => self.end(attempt, outcome, sent, report),
            Happening::Down(server) => self.servers[server].up_since = None,
            Happening::Up(server) => self.come_up(server),
            Happening::Listed(index, listed) => {
                self.processes[index].told.insert(listed.server, listed.started_at);
                self.tell(index, Event::Endpoints(EndpointUpdate::Delta(vec![listed])));
            }
            Happening::Begin => self.begin(),
            Happening::RestartProcesses => self.restart_processes(),
        }
    }

    fn request(&mut self, index: usize, request: Try) {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        self.processes[index].tries.insert(id, request);
        let left = self.scenario.settings.classes[request.class].deadline;
        self.tell(index, Event::Request(Request::new(id, ClassId(request.class), left)));
    }

    fn tell(&mut self, index: usize, event: Event) {
        let mut actions = Vec::new();
        self.processes[index].balancer.handle(self.now, event, &mut actions);
        self.act(index, actions);
    }

    fn act(&mut self, index: usize, actions: Vec<Action>) {
        let generation = self.processes[index].generation;
        for action in actions {
            match action {
                Action::Send { request, attempt, server, timeout_at, .. } => {
                    let attempt: Attempt = (index, generation, request, attempt.0);
                    let process = &mut self.processes[index];
                    process.open.insert((request, attempt.3));
                    let (work, sent, server) = (process.tries[&request].work, self.now, server.0 as usize);
                    self.at(NETWORK_DELAY, Happening::Reaches { attempt, server, sent, work });
                    let (outcome, report) = (Outcome::TimedOut, None);
                    self.at(timeout_at.since(sent), Happening::Ends { attempt, outcome, sent, report });
                }
                Action::SetTimer { at, timer } => {
                    self.at(at.since(self.now), Happening::Timer(index, generation, timer));
                }
                Action::Cancel { request, attempt } => {
                    let attempt: Attempt = (index, generation, request, attempt.0);
                    let (outcome, sent, report) = (Outcome::Cancelled, self.now, None);
                    self.at(Micros::ZERO, Happening::Ends { attempt, outcome, sent, report });
                }
                Action::Shed { request, .. } => {
                    let refused = self.processes[index].tries.remove(&request).expect("it was taken");
                    if !refused.again && self.rng.u32(0..10) < 7 {
                        let again = Try { again: true, ..refused };
                        self.at(CLIENT_BACKOFF, Happening::ClientReturns(index, again));
                    }
                }
                _ => {}
            }
        }
    }

    fn reach(&mut self, attempt: Attempt, server: usize, sent: Time, work: Micros) {
        let now = self.now;
        let Some(up_since) = self.servers[server].up_since else {
            let (outcome, report) = (Outcome::ConnectFailed, None);
            return self.at(NETWORK_DELAY, Happening::Ends { attempt, outcome, sent, report });
        };
        self.count(attempt, server, work);
        let room = (self.scenario.queue_per_core * self.scenario.cores) as usize;
        let warmth = if self.servers[server].cold { self.scenario.warmth(now.since(up_since)) } else { 1.0 };
        let s = &mut self.servers[server];
        while s.waiting.front().is_some_and(|begins| *begins <= now) {
            s.waiting.pop_front();
        }
        let report = Some(s.waiting.len() as f64);
        if s.waiting.len() >= room {
            let outcome = Outcome::Rejected;
            return self.at(NETWORK_DELAY, Happening::Ends { attempt, outcome, sent, report });
        }
        let core = s.free_at.iter_mut().min().expect("a server has cores");
        let begins = now.max(*core);
        *core = begins + work * (1.0 / warmth);
        let done = core.since(now);
        if begins > now {
            s.waiting.push_back(begins);
        }
        self.at(
            Micros(done.0 + NETWORK_DELAY.0),
            Happening::Ends { attempt, outcome: Outcome::Success, sent, report },
        );
    }

    /// Counts what reaches a cold server, and holds the window that ends now against the bound.
    fn count(&mut self, attempt: Attempt, server: usize, work: Micros) {
        let (now, fall_after) = (self.now, self.scenario.settings.fall_after);
        let s = &mut self.servers[server];
        let Some(age) = s.up_since.filter(|_| s.cold).map(|since| now.since(since)) else { return };
        if age >= self.scenario.settings.slow_start_window {
            return;
        }
        let told = self.processes[attempt.0].told.get(&s.listed.server) == Some(&s.listed.started_at);
        let work = work.ms() / self.scenario.mean_work.ms() + HANDSHAKE_WORK;
        s.window.push_back(Arrival { at: now, work, told });
        while s.window.front().is_some_and(|a| a.at + fall_after <= now) {
            s.window.pop_front();
        }
        let work: f64 = s.window.iter().map(|a| a.work).sum();
        let told: f64 = s.window.iter().filter(|a| a.told).map(|a| a.work).sum();
        let ratio = work / self.scenario.bound(age);
        let peak = s.peak.as_mut().expect("it has started");
        if told > work * 2.0 / 3.0 && ratio > peak.ratio {
            *peak = Peak { ratio, work, age };
        }
    }

    fn end(&mut self, attempt: Attempt, outcome: Outcome, sent: Time, report: Option<f64>) {
        let (index, generation, request, number) = attempt;
        let process = &mut self.processes[index];
        if process.generation != generation || !process.open.remove(&(request, number)) {
            return;
        }
        let closed = outcome == Outcome::Success && process.tries.remove(&request).is_some();
        self.observed.served += u32::from(closed);
        let report = report.filter(|_| self.scenario.settings.report_source == LoadReportSource::Answers);
        let (attempt, elapsed) = (AttemptNo(number), self.now.since(sent));
        let report = report.map(|queue| vec![queue]);
        self.tell(index, Event::Outcome { request, attempt, outcome, elapsed, report, closed });
    }

    fn come_up(&mut self, server: usize) {
        self.close_peak(server);
        self.servers[server].restart(self.now);
        let spread = self.scenario.list_spread.0;
        for index in 0..self.processes.len() {
            let listed = self.servers[server].listed.clone();
            let delay = Micros(if spread == 0 { 0 } else { self.rng.u64(0..spread) });
            self.at(delay, Happening::Listed(index, listed));
        }
    }

    fn close_peak(&mut self, server: usize) {
        self.observed.peaks.extend(self.servers[server].peak.take());
    }

    /// The starts of the scenario, under a burst.
    fn begin(&mut self) {
        let kind = self.scenario.kind;
        let all = self.scenario.servers;
        self.burst_until = self.now + DOWN_TIME + self.scenario.settings.fall_after * 3.0;
        let restarting = match kind {
            StartKind::OneServer | StartKind::OneServerEveryProcess => 1,
            StartKind::ThirdOfServers => all / 3,
            StartKind::MostServers => all * 4 / 5,
            StartKind::RollingRestart | StartKind::EveryServerAndProcess => all,
            StartKind::ServersJoin => 0,
        };
        for server in 0..restarting as usize {
            let step =
                if kind == StartKind::RollingRestart { ROLLING_STEP * server as f64 } else { Micros::ZERO };
            self.at(step, Happening::Down(server));
            self.at(Micros(step.0 + DOWN_TIME.0), Happening::Up(server));
        }
        if kind == StartKind::ServersJoin {
            for id in all..all + all / 3 {
                let listed = Endpoint { zone: ZoneId(id % 3), ..Endpoint::serving(ServerId(id)) };
                self.servers.push(Server { up_since: None, ..Server::new(listed, self.scenario.cores) });
                self.at(DOWN_TIME, Happening::Up(id as usize));
            }
        }
        if matches!(kind, StartKind::EveryServerAndProcess | StartKind::OneServerEveryProcess) {
            self.at(Micros(DOWN_TIME.0 + 1), Happening::RestartProcesses);
        }
    }

    /// Clients of the processes that die are not followed.
    fn restart_processes(&mut self) {
        for index in 0..self.processes.len() {
            let generation = self.processes[index].generation + 1;
            self.processes[index] = self.new_process(index, generation);
            self.start_process(index);
        }
    }
}
