//! The discrete-event simulation of a fleet.

use super::scenario::{Scenario, StartKind};
use super::server::{Arrival, Observed, Peak, Server};
use bellcroft_balancer::*;
use std::collections::{BTreeMap, BTreeSet};

/// One-way network delay between a balancer and a server.
const NETWORK_DELAY: Micros = Micros(400);
/// Work of a handshake, in mean requests; each attempt includes a handshake.
const HANDSHAKE_WORK: f64 = 0.1;
/// Time for which a restarting server is down.
const DOWN_TIME: Micros = Micros(600_000);
/// Interval between two servers of a rolling restart.
const ROLLING_STEP: Micros = Micros(500_000);
/// Time after which a client retries a shed request, at most once.
const CLIENT_BACKOFF: Micros = Micros(30_000);
/// Time before the first server start, in which the balancers collect statistics of their servers.
const TRAFFIC_BEFORE_STARTS: Micros = Micros(3_000_000);

struct Process {
    balancer: Balancer,
    generation: u32,
    /// Start time of each server in the list, as of the last update that the process received.
    notified: BTreeMap<ServerId, Option<Time>>,
    requests: BTreeMap<RequestId, ClientRequest>,
    /// Attempts without an outcome.
    in_flight: BTreeSet<(RequestId, u32)>,
}

#[derive(Clone, Copy)]
struct ClientRequest {
    work: Micros,
    class: usize,
    is_retry: bool,
}

/// The relative traffic of a process; some have several times the mean.
fn traffic_share(process: usize) -> f64 {
    if process % 6 == 0 {
        4.0
    } else {
        0.4
    }
}

/// An attempt of a process that may have restarted since.
#[derive(Clone, Copy)]
struct Attempt {
    process: usize,
    generation: u32,
    request: RequestId,
    number: u32,
}

/// An event of the simulation. A `usize` is the index of a process or a server.
enum FleetEvent {
    NextRequest(usize),
    ClientRetries(usize, ClientRequest),
    Timer(usize, u32, TimerId),
    Arrival { attempt: Attempt, server: usize, sent: Time, work: Micros },
    AttemptEnds { attempt: Attempt, outcome: Outcome, sent: Time, report: Option<f64> },
    ServerDown(usize),
    ServerUp(usize),
    EndpointUpdate(usize, Endpoint),
    StartScenario,
    RestartProcesses,
}

/// The fleet during a simulation.
pub struct Fleet {
    scenario: Scenario,
    rng: fastrand::Rng,
    now: Time,
    queue: BTreeMap<(Time, u64), FleetEvent>,
    sequence: u64,
    servers: Vec<Server>,
    processes: Vec<Process>,
    next_request: u64,
    burst_until: Time,
    observed: Observed,
}

impl Fleet {
    /// Simulates a scenario to its end.
    pub fn simulate(scenario: Scenario) -> Observed {
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
            let endpoint = Endpoint { zone: ZoneId(id % 3), ..Endpoint::serving(ServerId(id)) };
            fleet.servers.push(Server::new(endpoint, fleet.scenario.cores));
        }
        for index in 0..fleet.scenario.settings.balancers as usize {
            let process = fleet.new_process(index, 0);
            fleet.processes.push(process);
            fleet.start_process(index);
            let time_to_next_request = fleet.time_to_next_request(index);
            fleet.schedule(time_to_next_request, FleetEvent::NextRequest(index));
        }
        fleet.schedule(TRAFFIC_BEFORE_STARTS, FleetEvent::StartScenario);
        let rolling = Micros(ROLLING_STEP.0 * u64::from(fleet.scenario.servers));
        let end =
            start + TRAFFIC_BEFORE_STARTS + DOWN_TIME + rolling + fleet.scenario.settings.slow_start_window;
        while let Some(((at, _), event)) = fleet.queue.pop_first() {
            if at > end {
                break;
            }
            fleet.now = at;
            fleet.handle(event);
        }
        for index in 0..fleet.servers.len() {
            fleet.store_peak(index);
        }
        fleet.observed
    }

    fn schedule(&mut self, after: Micros, event: FleetEvent) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), event);
    }

    fn new_process(&mut self, index: usize, generation: u32) -> Process {
        let settings = Settings { zone: ZoneId(index as u32 % 3), ..self.scenario.settings.clone() };
        let balancer = Balancer::new(settings, self.rng.u64(..)).expect("valid settings");
        let (notified, requests, in_flight) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
        Process { balancer, generation, notified, requests, in_flight }
    }

    /// Starts a new process, which receives the full list immediately.
    fn start_process(&mut self, index: usize) {
        let now = self.now;
        let running = |s: &&Server| s.up_since.is_some();
        let endpoints: Vec<Endpoint> =
            self.servers.iter().filter(running).map(|s| s.endpoint.clone()).collect();
        let process = &mut self.processes[index];
        process.notified = endpoints.iter().map(|l| (l.server, l.started_at)).collect();
        let mut actions = Vec::new();
        process.balancer.start(now, &mut actions);
        process.balancer.handle(now, Event::Endpoints(EndpointUpdate::Snapshot(endpoints)), &mut actions);
        self.apply(index, actions);
    }

    /// A random time until the next request of a process.
    fn time_to_next_request(&mut self, index: usize) -> Micros {
        let all: f64 = (0..self.scenario.settings.balancers as usize).map(traffic_share).sum();
        let fleet =
            f64::from(self.scenario.servers) * self.scenario.capacity_per_s() * self.scenario.utilisation;
        let burst = if self.now < self.burst_until { self.scenario.burst } else { 1.0 };
        let rate = fleet * burst * traffic_share(index) / all;
        Micros::from_ms(-(1.0 - self.rng.f64()).ln() * 1e3 / rate)
    }

    /// A random work of a request: one request in ten has four times the mean work of the others.
    fn draw_work(&mut self) -> Micros {
        let heavy = if self.rng.u32(0..10) == 0 { 4.0 } else { 1.0 };
        self.scenario.mean_work * (heavy * (0.4 + 1.2 * self.rng.f64()) / 1.3)
    }

    fn handle(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::NextRequest(index) => {
                let class = usize::from(self.rng.u32(0..4) == 0);
                let request = ClientRequest { work: self.draw_work(), class, is_retry: false };
                self.observed.requests += 1;
                self.request(index, request);
                let time_to_next_request = self.time_to_next_request(index);
                self.schedule(time_to_next_request, FleetEvent::NextRequest(index));
            }
            FleetEvent::ClientRetries(index, request) => self.request(index, request),
            FleetEvent::Timer(index, generation, timer) => {
                if self.processes[index].generation == generation {
                    self.notify(index, Event::Timer(timer));
                }
            }
            FleetEvent::Arrival { attempt, server, sent, work } => {
                self.on_arrival(attempt, server, sent, work);
            }
            FleetEvent::AttemptEnds { attempt, outcome, sent, report } => {
                self.on_attempt_ended(attempt, outcome, sent, report);
            }
            FleetEvent::ServerDown(server) => self.servers[server].up_since = None,
            FleetEvent::ServerUp(server) => self.on_server_up(server),
            FleetEvent::EndpointUpdate(index, endpoint) => {
                self.processes[index].notified.insert(endpoint.server, endpoint.started_at);
                self.notify(index, Event::Endpoints(EndpointUpdate::Delta(vec![endpoint])));
            }
            FleetEvent::StartScenario => self.start_scenario(),
            FleetEvent::RestartProcesses => self.restart_processes(),
        }
    }

    fn request(&mut self, index: usize, request: ClientRequest) {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        self.processes[index].requests.insert(id, request);
        let left = self.scenario.settings.classes[request.class].deadline;
        self.notify(index, Event::Request(Request::new(id, ClassId(request.class), left)));
    }

    fn notify(&mut self, index: usize, event: Event) {
        let mut actions = Vec::new();
        self.processes[index].balancer.handle(self.now, event, &mut actions);
        self.apply(index, actions);
    }

    fn apply(&mut self, index: usize, actions: Vec<Action>) {
        let generation = self.processes[index].generation;
        for action in actions {
            match action {
                Action::Send { request, attempt, server, timeout_at, .. } => {
                    let number = attempt.0;
                    let attempt = Attempt { process: index, generation, request, number };
                    let process = &mut self.processes[index];
                    process.in_flight.insert((request, number));
                    let (work, sent, server) = (process.requests[&request].work, self.now, server.0 as usize);
                    self.schedule(NETWORK_DELAY, FleetEvent::Arrival { attempt, server, sent, work });
                    let (outcome, report) = (Outcome::TimedOut, None);
                    self.schedule(
                        timeout_at.since(sent),
                        FleetEvent::AttemptEnds { attempt, outcome, sent, report },
                    );
                }
                Action::SetTimer { at, timer } => {
                    self.schedule(at.since(self.now), FleetEvent::Timer(index, generation, timer));
                }
                Action::Cancel { request, attempt } => {
                    let number = attempt.0;
                    let attempt = Attempt { process: index, generation, request, number };
                    let (outcome, sent, report) = (Outcome::Cancelled, self.now, None);
                    self.schedule(Micros::ZERO, FleetEvent::AttemptEnds { attempt, outcome, sent, report });
                }
                Action::Shed { request, .. } => {
                    let rejected = self.processes[index].requests.remove(&request).expect("it was accepted");
                    if !rejected.is_retry && self.rng.u32(0..10) < 7 {
                        let retry = ClientRequest { is_retry: true, ..rejected };
                        self.schedule(CLIENT_BACKOFF, FleetEvent::ClientRetries(index, retry));
                    }
                }
                _ => {}
            }
        }
    }

    fn on_arrival(&mut self, attempt: Attempt, server: usize, sent: Time, work: Micros) {
        let now = self.now;
        let Some(up_since) = self.servers[server].up_since else {
            let (outcome, report) = (Outcome::ConnectFailed, None);
            return self.schedule(NETWORK_DELAY, FleetEvent::AttemptEnds { attempt, outcome, sent, report });
        };
        self.record_arrival(attempt, server, work);
        let capacity = (self.scenario.queue_per_core * self.scenario.cores) as usize;
        let guaranteed_capacity = if self.servers[server].has_restarted {
            self.scenario.guaranteed_capacity(now.since(up_since))
        } else {
            1.0
        };
        let s = &mut self.servers[server];
        while s.waiting.front().is_some_and(|starts_at| *starts_at <= now) {
            s.waiting.pop_front();
        }
        let report = Some(s.waiting.len() as f64);
        if s.waiting.len() >= capacity {
            let outcome = Outcome::Rejected;
            return self.schedule(NETWORK_DELAY, FleetEvent::AttemptEnds { attempt, outcome, sent, report });
        }
        let core = s.free_at.iter_mut().min().expect("a server has cores");
        let starts_at = now.max(*core);
        *core = starts_at + work * (1.0 / guaranteed_capacity);
        let done = core.since(now);
        if starts_at > now {
            s.waiting.push_back(starts_at);
        }
        self.schedule(
            Micros(done.0 + NETWORK_DELAY.0),
            FleetEvent::AttemptEnds { attempt, outcome: Outcome::Success, sent, report },
        );
    }

    /// Adds a request that reaches a server in slow start to the window that ends now and compares the window with the bound.
    fn record_arrival(&mut self, attempt: Attempt, server: usize, work: Micros) {
        let (now, overload_tolerance) = (self.now, self.scenario.settings.overload_tolerance);
        let s = &mut self.servers[server];
        let Some(age) = s.up_since.filter(|_| s.has_restarted).map(|since| now.since(since)) else { return };
        if age >= self.scenario.settings.slow_start_window {
            return;
        }
        let notified =
            self.processes[attempt.process].notified.get(&s.endpoint.server) == Some(&s.endpoint.started_at);
        let work = work.ms() / self.scenario.mean_work.ms() + HANDSHAKE_WORK;
        s.window.push_back(Arrival { at: now, work, notified });
        while s.window.front().is_some_and(|a| a.at + overload_tolerance <= now) {
            s.window.pop_front();
        }
        let work: f64 = s.window.iter().map(|a| a.work).sum();
        let notified: f64 = s.window.iter().filter(|a| a.notified).map(|a| a.work).sum();
        let ratio = work / self.scenario.bound(age);
        let peak = s.peak.as_mut().expect("the peak is set at the start");
        if notified > work * 2.0 / 3.0 && ratio > peak.ratio {
            *peak = Peak { ratio, work, age };
        }
    }

    fn on_attempt_ended(&mut self, attempt: Attempt, outcome: Outcome, sent: Time, report: Option<f64>) {
        let Attempt { process: index, generation, request, number } = attempt;
        let process = &mut self.processes[index];
        if process.generation != generation || !process.in_flight.remove(&(request, number)) {
            return;
        }
        let is_final = outcome == Outcome::Success && process.requests.remove(&request).is_some();
        self.observed.served += u32::from(is_final);
        let report = report.filter(|_| self.scenario.settings.report_source == LoadReportSource::Responses);
        let (attempt, elapsed) = (AttemptNo(number), self.now.since(sent));
        let report = report.map(|queue| vec![queue]);
        self.notify(index, Event::Outcome { request, attempt, outcome, elapsed, report, is_final });
    }

    fn on_server_up(&mut self, server: usize) {
        self.store_peak(server);
        self.servers[server].restart(self.now);
        let spread = self.scenario.list_spread.0;
        for index in 0..self.processes.len() {
            let endpoint = self.servers[server].endpoint.clone();
            let delay = Micros(if spread == 0 { 0 } else { self.rng.u64(0..spread) });
            self.schedule(delay, FleetEvent::EndpointUpdate(index, endpoint));
        }
    }

    fn store_peak(&mut self, server: usize) {
        self.observed.peaks.extend(self.servers[server].peak.take());
    }

    /// Schedules the restarts and joins of the scenario and starts the burst of load.
    fn start_scenario(&mut self) {
        let kind = self.scenario.kind;
        let all = self.scenario.servers;
        self.burst_until = self.now + DOWN_TIME + self.scenario.settings.overload_tolerance * 3.0;
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
            self.schedule(step, FleetEvent::ServerDown(server));
            self.schedule(Micros(step.0 + DOWN_TIME.0), FleetEvent::ServerUp(server));
        }
        if kind == StartKind::ServersJoin {
            for id in all..all + all / 3 {
                let endpoint = Endpoint { zone: ZoneId(id % 3), ..Endpoint::serving(ServerId(id)) };
                self.servers.push(Server { up_since: None, ..Server::new(endpoint, self.scenario.cores) });
                self.schedule(DOWN_TIME, FleetEvent::ServerUp(id as usize));
            }
        }
        if matches!(kind, StartKind::EveryServerAndProcess | StartKind::OneServerEveryProcess) {
            self.schedule(Micros(DOWN_TIME.0 + 1), FleetEvent::RestartProcesses);
        }
    }

    /// Restarts all processes; requests of the previous processes are discarded.
    fn restart_processes(&mut self) {
        for index in 0..self.processes.len() {
            let generation = self.processes[index].generation + 1;
            self.processes[index] = self.new_process(index, generation);
            self.start_process(index);
        }
    }
}
