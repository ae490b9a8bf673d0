//! The run: one queue of events, and what each does.

mod peers;
mod processes;

use crate::clients::{zipf, Clients};
use crate::judge::Judge;
use crate::outcome::{histogram, ClassOutcome, Outcome, Second};
use crate::policy::{Core, Policy, Truth};
use crate::random::{stream, Actor};
use crate::scenario::{Effect as Repeat, Reports, Scenario, ScenarioError, What};
use crate::server::{Cold, Job, Server, Taken};
use crate::trace::{Step, Watch};
use bellcroft_balancer::{
    Action, AttemptNo, Class, ClassId, DedupGroupId, DedupScope, Endpoint, EndpointUpdate, Event, KeyId,
    LoadReportField, LoadReportSource, MachineTypeId, Micros, Outcome as Ended, PeerId, Request, RequestId,
    RetrySafety, ServerId, Settings, Status, Tenant, TenantId, Time, TimerId, ZoneId,
};
use bellcroft_membership::Digest;
use hdrhistogram::Histogram;
use processes::End;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

/// A probe that has no answer by then has timed out.
const PROBE_WAIT: Micros = Micros(250_000);
/// A cold server that fell over is back, as cold as before, after this.
const BACK_AFTER: Micros = Micros(5_000_000);

/// The oracle expects a request's own work to take this multiple of the mean; one that takes less is late less often, and
/// one that takes more would be refused where it could be done.
const OWN_WORK: f64 = 2.0;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Ask(usize),
    Again(u64),
    Leave(u64),
    Timer(usize, u64, u32),
    Connected(u64, u32),
    AtServer(u64, u32),
    Done(usize, u32, u64, u32, u64),
    Reply(u64, u32, u8, Option<u32>),
    TimeOut(u64, u32),
    Trouble(usize),
    Back(usize),
    Told(usize, usize, u8),
    Probed(usize, usize, u8, Option<u32>, u64),
    Heard(usize, usize, Vec<u8>),
    /// An instance hands over its part of the digest, in this of its lives.
    Share(usize, u32),
    Handed(usize, usize, Vec<u8>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Connecting,
    Out,
    Over,
}

#[derive(Debug)]
struct Attempt {
    server: usize,
    phase: Phase,
    sent: Time,
    /// When its bytes left.
    written: Time,
    /// Its server need not expect it any more.
    come: bool,
    timeout_at: Time,
    write_by: Time,
}

/// What a client came for. It outlives the requests that it is tried with.
#[derive(Debug, Clone, Copy)]
struct Want {
    instance: usize,
    class: usize,
    /// When its client first came for it.
    at: Time,
    tenant: Option<usize>,
    /// How often its client has tried.
    tries: u32,
    /// When its client leaves.
    leaves: Time,
    counted: bool,
}

#[derive(Debug)]
struct Asked {
    want: Want,
    key: u64,
    answered: bool,
    attempts: Vec<Attempt>,
    /// Which start of its instance it is with.
    life: u32,
}

/// A final answer.
#[derive(Debug, Clone, Copy)]
enum Final {
    Served,
    /// With the time to come back after, if it names one.
    Refused(Option<Micros>),
    Failed,
}

struct Instance {
    core: Box<dyn Core>,
    zone: usize,
    clients: Clients,
    habits: ChaCha8Rng,
    random: ChaCha8Rng,
    /// Idle connections to each server, and when the latest was used.
    idle: Vec<(u16, Time)>,
    queue: VecDeque<Event>,
    /// It is deciding: what comes meanwhile waits in its queue.
    busy: bool,
    /// Its process has been killed, or stands still; what happens to it then is held.
    gone: bool,
    stopped: bool,
    held: Vec<Happening>,
    /// How often it has started.
    life: u32,
    /// What it knows by others, where the scenario lets them talk.
    talk: peers::Talk,
}

type Make<'a> = dyn FnMut(&Settings, usize) -> Result<Box<dyn Core>, ScenarioError> + 'a;

struct Run<'a> {
    scenario: &'a Scenario,
    heap: BinaryHeap<Reverse<(Time, u64, Happening)>>,
    scheduled: u64,
    now: Time,
    instances: Vec<Instance>,
    servers: Vec<Server>,
    cold: Cold,
    /// By zone and zone: nothing passes.
    cut: Vec<bool>,
    links: processes::Links,
    settings: Settings,
    make: &'a mut Make<'a>,
    flood: Vec<f64>,
    asked: HashMap<u64, Asked>,
    /// By key: those that will be tried again.
    wants: HashMap<u64, Want>,
    next_request: u64,
    /// By key: when what has run was sent, the earliest, and in which zone, for servers to drop repeats.
    first_runs: HashMap<u64, (Time, u32)>,
    judge: Judge,
    times: Vec<Histogram<u64>>,
    all_times: Histogram<u64>,
    sums: Vec<f64>,
    waited: f64,
    outcome: Outcome,
    actions: Vec<Action>,
    watch: Option<Watch>,
    /// The mean work of each class.
    means: Vec<f64>,
}

fn span(seconds: f64) -> Micros {
    Micros::from_ms(seconds * 1e3)
}

/// The settings that a module of this scenario is given.
fn settings(scenario: &Scenario) -> Settings {
    let classes = scenario.classes.iter().map(|class| {
        let window = span(class.window);
        Class {
            retry_safety: match class.effect {
                Repeat::Idempotent => RetrySafety::Idempotent,
                Repeat::Deduplicated => RetrySafety::Deduplicated { scope: DedupScope::All, window },
                Repeat::DeduplicatedByZone => RetrySafety::Deduplicated { scope: DedupScope::Zone, window },
                Repeat::AtMostOnce => RetrySafety::AtMostOnce,
            },
            latency_objective: span(class.aim),
            deadline: span(class.deadline),
            ..Class::default()
        }
    });
    let shares: f64 = (0..scenario.tenants).map(|tenant| zipf(scenario, tenant)).sum();
    let rate = scenario.arrivals.rate(0.0).0;
    let tenants = (0..scenario.tenants).map(|tenant| {
        let fraction = zipf(scenario, tenant) / shares;
        // Half as much again as it asks for on a calm day.
        Tenant { fraction, allowance_per_s: fraction * rate * 1.5 }
    });
    let reports = scenario.reports == Reports::InFlight;
    Settings {
        balancers: scenario.instances as u32,
        classes: classes.collect(),
        tenants: tenants.collect(),
        max_attempts: scenario.attempts,
        health_checks: true,
        peers: scenario.peers,
        // Who can be told to come back later is told.
        retry_after: scenario.habits.retries > 0,
        report_source: if reports { LoadReportSource::Responses } else { LoadReportSource::None },
        report_fields: if reports { vec![LoadReportField::InFlight] } else { Vec::new() },
        ..Settings::default()
    }
}

/// Plays a scenario.
///
/// # Errors
///
/// The scenario can't be played.
pub fn play(scenario: &Scenario, policy: Policy, seed: u64) -> Result<Outcome, ScenarioError> {
    play_with(scenario, seed, |settings, number| {
        policy.core(settings, seed, number).map_err(|e| ScenarioError(e.to_string()))
    })
}

/// Plays a scenario and tells the story of one want, named by its first request's number. Watching changes nothing of
/// the run.
///
/// # Errors
///
/// The scenario can't be played.
pub fn trace(
    scenario: &Scenario,
    policy: Policy,
    seed: u64,
    want: u64,
) -> Result<(Outcome, Vec<Step>), ScenarioError> {
    let core = |settings: &Settings, number: usize| {
        policy.core(settings, seed, number).map_err(|e| ScenarioError(e.to_string()))
    };
    let (outcome, watch) = run(scenario, seed, core, Some(Watch::new(want)))?;
    Ok((outcome, watch.map(Watch::steps).unwrap_or_default()))
}

/// Plays a scenario with decisions of the caller's own, one for each instance.
///
/// # Errors
///
/// The scenario can't be played.
pub fn play_with(
    scenario: &Scenario,
    seed: u64,
    core: impl FnMut(&Settings, usize) -> Result<Box<dyn Core>, ScenarioError>,
) -> Result<Outcome, ScenarioError> {
    run(scenario, seed, core, None).map(|(outcome, _)| outcome)
}

fn run(
    scenario: &Scenario,
    seed: u64,
    mut core: impl FnMut(&Settings, usize) -> Result<Box<dyn Core>, ScenarioError>,
    watch: Option<Watch>,
) -> Result<(Outcome, Option<Watch>), ScenarioError> {
    scenario.check()?;
    let settings = settings(scenario);
    let cold = Cold {
        share: settings.initial_capacity,
        warm_after: settings.slow_start_window,
        overload: settings.overload_factor,
        fall_after: settings.overload_tolerance,
    };
    let mut servers = Vec::with_capacity(scenario.server_count());
    let mut troubles = Vec::new();
    for group in &scenario.servers {
        for _ in 0..group.count {
            let number = servers.len();
            let zone = group.zone.unwrap_or(number % scenario.zones) as u32;
            let random = (stream(seed, Actor::Server(number)), stream(seed, Actor::Reports(number)));
            let can = (group.cores, group.queue, group.speed);
            servers.push(Server::new(zone, can, group.starts.is_none(), scenario.classes.len(), random));
            troubles.extend(group.starts.map(|at| (at, What::Start { servers: vec![number] })));
        }
    }
    let mut instances = Vec::with_capacity(scenario.instances);
    for number in 0..scenario.instances {
        let zone = number % scenario.zones;
        instances.push(Instance {
            core: core(&Settings { zone: ZoneId(zone as u32), ..settings.clone() }, number)?,
            zone,
            clients: Clients::new(scenario, seed, number),
            habits: stream(seed, Actor::Habits(number)),
            random: stream(seed, Actor::Network(number)),
            idle: vec![(0, Time::default()); servers.len()],
            queue: VecDeque::new(),
            busy: false,
            gone: false,
            stopped: false,
            held: Vec::new(),
            life: 0,
            talk: peers::Talk::new(stream(seed, Actor::Peers(number))),
        });
    }
    let classes = scenario.classes.iter();
    let outcome = Outcome {
        classes: classes.map(|c| ClassOutcome { name: c.name.clone(), ..ClassOutcome::default() }).collect(),
        ..Outcome::default()
    };
    let mut run = Run {
        scenario,
        heap: BinaryHeap::new(),
        scheduled: 0,
        now: Time::default(),
        instances,
        servers,
        cold,
        cut: vec![false; scenario.zones * scenario.zones],
        links: HashMap::new(),
        settings: settings.clone(),
        make: &mut core,
        flood: vec![1.0; scenario.tenants],
        asked: HashMap::new(),
        wants: HashMap::new(),
        next_request: 0,
        first_runs: HashMap::new(),
        judge: Judge::new(settings.drain_grace_period),
        times: scenario.classes.iter().map(|_| histogram()).collect(),
        all_times: histogram(),
        sums: vec![0.0; scenario.classes.len()],
        waited: 0.0,
        outcome,
        actions: Vec::new(),
        watch,
        means: scenario.classes.iter().map(|class| class.service.mean()).collect(),
    };
    run.begin();
    troubles.extend(scenario.troubles.iter().map(|t| (t.at, t.what.clone())));
    for (place, (at, _)) in troubles.iter().enumerate() {
        run.at(Time::default() + span(*at), Happening::Trouble(place));
    }
    // Past the last deadline nothing is owed; what servers still work on is nobody's.
    let longest = scenario.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
    let end = Time::default() + span(scenario.seconds) + span(longest) + Micros::from_ms(100.0);
    while let Some(Reverse((at, _, what))) = run.heap.pop() {
        if at > end {
            break;
        }
        run.now = at;
        run.outcome.events += 1;
        run.happen(what, &troubles);
    }
    let watch = run.watch.take();
    Ok((run.finish(end), watch))
}

/// What a server made of a request that came.
fn taken(taken: Taken) -> &'static str {
    match taken {
        Taken::Started(_) => "a core is on it",
        Taken::Queued => "it waits",
        Taken::Rejected => "turned away",
        Taken::Nothing => "the server is mute",
        Taken::Refused => "nobody listens",
    }
}

impl Run<'_> {
    /// Writes down a step of the want that is watched, if this request is one of its tries.
    fn say(&mut self, id: u64, attempt: Option<u32>, what: impl FnOnce() -> String) {
        let Some(watch) = &mut self.watch else { return };
        let Some(asked) = self.asked.get(&id) else { return };
        watch.say(self.now, asked.key, id, attempt, what);
    }

    /// The figures of the second that this lies in.
    fn second(&mut self, at: Time) -> &mut Second {
        let place = (at.0 / 1_000_000) as usize;
        let seconds = &mut self.outcome.seconds;
        if seconds.len() <= place {
            seconds.resize(place + 1, Second::default());
        }
        &mut seconds[place]
    }

    fn at(&mut self, at: Time, what: Happening) {
        self.scheduled += 1;
        self.heap.push(Reverse((at, self.scheduled, what)));
    }

    /// The list as it stands.
    fn lines(&self) -> Vec<Endpoint> {
        let status = |s: usize| if self.servers[s].draining { Status::Draining } else { Status::Serving };
        (0..self.servers.len()).filter(|s| self.servers[*s].up).map(|s| self.line(s, status(s))).collect()
    }

    /// An instance's process begins, with the whole list.
    fn launch(&mut self, number: usize) {
        let mut actions = std::mem::take(&mut self.actions);
        self.instances[number].busy = true;
        self.instances[number].core.start(self.now, &mut actions);
        self.carry_out(number, &mut actions);
        self.actions = actions;
        self.instances[number].busy = false;
        self.begin_talk(number);
        let lines = self.lines();
        self.tell(number, Event::Endpoints(EndpointUpdate::Snapshot(lines)));
    }

    fn begin(&mut self) {
        for number in 0..self.instances.len() {
            self.launch(number);
            if let Some(at) = self.next_ask(number, self.now) {
                self.at(at, Happening::Ask(number));
            }
        }
    }

    fn next_ask(&mut self, number: usize, now: Time) -> Option<Time> {
        let scenario = self.scenario;
        self.instances[number].clients.next(scenario, now)
    }

    fn line(&self, server: usize, status: Status) -> Endpoint {
        Endpoint {
            server: ServerId(server as u32),
            zone: ZoneId(self.servers[server].zone),
            machine_type: MachineTypeId(0),
            dedup_group: DedupGroupId(0),
            status,
            weight: 1.0,
            started_at: self.servers[server].started,
        }
    }

    /// One way's time between two zones, in seconds, without jitter.
    fn base(&self, from: usize, to: usize) -> f64 {
        if from == to {
            self.scenario.network.within
        } else {
            self.scenario.network.between
        }
    }

    /// One way's time from or to an instance.
    fn way_to(&mut self, instance: usize, zone: usize) -> Micros {
        let base = self.base(self.instances[instance].zone, zone);
        if base == 0.0 {
            return Micros::ZERO;
        }
        let draw = self.instances[instance].random.random::<f64>();
        span(base * (1.0 + self.scenario.network.jitter * draw))
    }

    /// One way's time between an instance and a server.
    fn way(&mut self, instance: usize, server: usize) -> Micros {
        let way = self.way_to(instance, self.servers[server].zone as usize);
        Micros(way.0 + self.detour(instance, server).0)
    }

    fn passes(&self, from: usize, to: usize) -> bool {
        !self.cut[from * self.scenario.zones + to]
    }

    fn reaches(&self, instance: usize, server: usize) -> bool {
        self.passes(self.instances[instance].zone, self.servers[server].zone as usize)
            && self.linked(End::Instance(instance), End::Server(server))
    }

    fn comes_back(&self, instance: usize, server: usize) -> bool {
        self.passes(self.servers[server].zone as usize, self.instances[instance].zone)
            && self.linked(End::Server(server), End::Instance(instance))
    }

    /// Tells an instance, and carries out what it decides, until nothing is left.
    fn tell(&mut self, instance: usize, event: Event) {
        self.instances[instance].queue.push_back(event);
        self.pump(instance);
    }

    fn pump(&mut self, instance: usize) {
        let own = &mut self.instances[instance];
        if own.stopped || own.gone || std::mem::replace(&mut own.busy, true) {
            return;
        }
        while let Some(event) = self.instances[instance].queue.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            // Requests are sent when they come, and when an attempt of theirs is over.
            let decides = matches!(event, Event::Request(_) | Event::Outcome { .. });
            if decides && self.instances[instance].core.all_knowing() {
                let truth = self.truth(instance);
                self.instances[instance].core.see(truth);
            }
            self.instances[instance].core.handle(self.now, event, &mut actions);
            self.carry_out(instance, &mut actions);
            self.actions = actions;
            self.observe(instance);
        }
        self.instances[instance].busy = false;
    }

    /// What is true of each server, seen from an instance.
    fn truth(&self, instance: usize) -> Vec<Truth> {
        let (own, net) = (&self.instances[instance], &self.scenario.network);
        let of = |server: usize| {
            let there = &self.servers[server];
            let base = self.base(own.zone, there.zone as usize);
            // There and back, with half of the jitter, and once more for a connection.
            let (open, used) = own.idle[server];
            let kept = open > 0 && self.now.since(used) <= span(net.keepalive);
            let way = base * (1.0 + 0.5 * net.jitter) * if kept { 2.0 } else { 4.0 };
            let passes = self.reaches(instance, server) && self.comes_back(instance, server);
            let pace = there.pace(there.warmth(self.now, &self.cold));
            let begins = if passes { there.begins(self.now, &self.means, &self.cold) } else { f64::INFINITY };
            let room = there.room(self.now, &self.means, &self.cold);
            let ends = |mean: &f64| match *mean <= room {
                true => way + begins + OWN_WORK * mean * pace,
                false => f64::INFINITY,
            };
            Truth { ends: self.means.iter().map(ends).collect() }
        };
        (0..self.servers.len()).map(of).collect()
    }

    fn carry_out(&mut self, instance: usize, actions: &mut Vec<Action>) {
        for action in actions.drain(..) {
            match action {
                Action::Send { request, server, timeout_at, write_by, .. } => {
                    self.send(instance, request.0, server.0 as usize, timeout_at, write_by);
                }
                Action::Cancel { request, attempt } => self.call_off(request.0, attempt.0, Ended::Cancelled),
                Action::Shed { request, retry_after } => {
                    self.count_in(instance, Digest::record_rejection);
                    self.answer(request.0, Final::Refused(retry_after));
                }
                Action::Fail { request } => self.answer(request.0, Final::Failed),
                Action::SetTimer { at, timer } => {
                    let at = at.max(self.now);
                    let life = self.instances[instance].life;
                    self.at(at, Happening::Timer(instance, timer.0, life));
                }
                Action::HealthCheck { server } => self.probe(instance, server.0 as usize),
                Action::CloseIdle { server } => self.instances[instance].idle[server.0 as usize].0 = 0,
                Action::FetchEndpoints => self.outcome.lists += 1,
                Action::SendHint { to: Some(to), payload } => self.hint(instance, to.0 as usize, payload),
                // The list is pushed, nobody speaks to all, and nobody reads a log here.
                Action::Watch { .. } | Action::SendHint { .. } | Action::Log { .. } => {}
            }
        }
    }

    fn send(&mut self, instance: usize, id: u64, server: usize, timeout_at: Time, write_by: Time) {
        let now = self.now;
        let Some(asked) = self.asked.get_mut(&id) else { return };
        let number = asked.attempts.len() as u32;
        self.servers[server].coming[asked.want.class] += 1;
        self.outcome.attempts += 1;
        self.outcome.further += u64::from(number > 0);
        asked.attempts.push(Attempt {
            server,
            phase: Phase::Connecting,
            sent: now,
            written: now,
            come: false,
            timeout_at,
            write_by,
        });
        let zone = self.servers[server].zone;
        self.say(id, Some(number), || {
            format!("sent to server {server} in zone {zone}; to be begun by {} us", write_by.0)
        });
        let keepalive = span(self.scenario.network.keepalive);
        let (count, used) = &mut self.instances[instance].idle[server];
        if now.since(*used) > keepalive {
            *count = 0;
        }
        // Without a time-out of its own an attempt that meets a cut would stay out for ever.
        self.at(timeout_at, Happening::TimeOut(id, number));
        let (count, _) = &mut self.instances[instance].idle[server];
        if *count > 0 {
            *count -= 1;
            return self.write(id, number);
        }
        self.outcome.connections += 1;
        let round_trip = self.way(instance, server).0 + self.way(instance, server).0;
        if round_trip == 0 && self.reaches(instance, server) && self.comes_back(instance, server) {
            return self.connected(id, number);
        }
        if self.reaches(instance, server) && self.comes_back(instance, server) {
            self.at(now + Micros(round_trip), Happening::Connected(id, number));
        } else {
            // A connection that is not up when its request would have to begin has failed.
            let given_up = (now + span(self.scenario.network.connect_timeout)).min(write_by);
            self.at(given_up.min(timeout_at), Happening::TimeOut(id, number));
        }
    }

    fn connected(&mut self, id: u64, number: u32) {
        let Some(attempt) = self.attempt(id, number) else { return };
        if attempt.phase != Phase::Connecting {
            return;
        }
        let (server, late) = (attempt.server, self.now > attempt.write_by);
        if !self.servers[server].up {
            return self.over(id, number, Ended::ConnectFailed, None);
        }
        if late {
            return self.over(id, number, Ended::NotSent, None);
        }
        self.write(id, number);
    }

    fn attempt(&self, id: u64, number: u32) -> Option<&Attempt> {
        self.asked.get(&id)?.attempts.get(number as usize)
    }

    /// The request's bytes leave.
    fn write(&mut self, id: u64, number: u32) {
        let now = self.now;
        let Some(asked) = self.asked.get_mut(&id) else { return };
        let instance = asked.want.instance;
        let attempt = &mut asked.attempts[number as usize];
        (attempt.phase, attempt.written) = (Phase::Out, now);
        let server = attempt.server;
        self.judge.sent(now, id, instance as u32, server as u32);
        self.say(id, Some(number), || "its bytes leave".into());
        if !self.reaches(instance, server) {
            return;
        }
        let way = self.way(instance, server);
        if way == Micros::ZERO {
            self.at_server(id, number);
        } else {
            self.at(now + way, Happening::AtServer(id, number));
        }
    }

    /// A server need not expect an attempt any more: it has come, or never will.
    fn come_there(&mut self, id: u64, number: u32) {
        let Some(asked) = self.asked.get_mut(&id) else { return };
        let attempt = &mut asked.attempts[number as usize];
        if !std::mem::replace(&mut attempt.come, true) {
            self.servers[attempt.server].coming[asked.want.class] -= 1;
        }
    }

    fn at_server(&mut self, id: u64, number: u32) {
        self.come_there(id, number);
        let Some(asked) = self.asked.get(&id) else { return };
        let (instance, class) = (asked.want.instance, asked.want.class);
        let server = asked.attempts[number as usize].server;
        let scenario = self.scenario;
        let dist = &scenario.classes[class].service;
        let job = Job { request: id, attempt: number, class, came: self.now };
        if self.servers[server].falls(self.now, dist.mean(), &self.cold) {
            self.judge.fell(self.now);
            self.crash(server);
            self.publish(server, 2);
            return self.at(self.now + BACK_AFTER, Happening::Back(server));
        }
        let held = self.servers[server].held();
        let fate = self.servers[server].take(self.now, job, dist, &self.cold);
        self.say(id, Some(number), || format!("at server {server}, which holds {held}: {}", taken(fate)));
        match fate {
            Taken::Started(time) => self.work(server, job, time),
            Taken::Queued | Taken::Nothing => {}
            Taken::Rejected => self.reply(instance, server, (id, number), Ended::Rejected),
            Taken::Refused => self.reply(instance, server, (id, number), Ended::ConnectionReset),
        }
    }

    fn work(&mut self, server: usize, job: Job, time: Micros) {
        self.waited += self.now.since(job.came).ms() / 1e3;
        self.outcome.begun += 1;
        let life = self.servers[server].life;
        self.servers[server].ends.push(self.now + time);
        self.at(self.now + time, Happening::Done(server, life, job.request, job.attempt, time.0));
    }

    fn done(&mut self, server: usize, id: u64, number: u32, time: u64) {
        let scenario = self.scenario;
        let (now, ends) = (self.now, &mut self.servers[server].ends);
        if let Some(place) = ends.iter().position(|end| *end == now) {
            ends.swap_remove(place);
        }
        if let Some(job) = self.servers[server].next() {
            let dist = &scenario.classes[job.class].service;
            let time = self.servers[server].service(self.now, dist, &self.cold);
            self.work(server, job, time);
        }
        let Some(asked) = self.asked.get(&id) else {
            self.outcome.wasted += time as f64 / 1e6;
            return;
        };
        let (instance, class, key) = (asked.want.instance, asked.want.class, asked.key);
        if asked.answered {
            self.outcome.wasted += time as f64 / 1e6;
        }
        let spec = &scenario.classes[class];
        let zone = self.servers[server].zone;
        // The window lies between the sends of what has run and of its repeat, as on the platform: a repeat that left
        // in time is known for one however long it then waits in a queue.
        let (now, sent) = (self.now, asked.attempts[number as usize].written);
        let dropped = self.first_runs.get(&key).is_some_and(|(first, first_zone)| {
            sent.since(*first) <= span(spec.window)
                && match spec.effect {
                    Repeat::Deduplicated => true,
                    Repeat::DeduplicatedByZone => *first_zone == zone,
                    Repeat::Idempotent | Repeat::AtMostOnce => false,
                }
        });
        if !dropped {
            if spec.effect != Repeat::Idempotent {
                let first = self.first_runs.entry(key).or_insert((sent, zone));
                first.0 = first.0.min(sent);
            }
            self.judge.ran(now, key, spec.effect);
        }
        let first = self.first_runs.get(&key).map(|(first, _)| *first);
        self.say(id, Some(number), || match first.filter(|_| dropped) {
            Some(first) => {
                format!("server {server} is done and drops it as a repeat of what left at {} us", first.0)
            }
            None => format!("server {server} is done; its effect has come"),
        });
        self.reply(instance, server, (id, number), Ended::Success);
    }

    /// A server's word goes back, if anything does.
    fn reply(&mut self, instance: usize, server: usize, (id, number): (u64, u32), ended: Ended) {
        if !self.comes_back(instance, server) {
            return;
        }
        let scenario = self.scenario;
        let held = self.servers[server].report(self.now, &scenario.report_faults);
        let way = self.way(instance, server);
        let code = match ended {
            Ended::Success => 0,
            Ended::Rejected => 1,
            _ => 2,
        };
        if way == Micros::ZERO {
            self.replied(id, number, code, held);
        } else {
            self.at(self.now + way, Happening::Reply(id, number, code, held));
        }
    }

    fn replied(&mut self, id: u64, number: u32, code: u8, held: Option<u32>) {
        let ended = [Ended::Success, Ended::Rejected, Ended::ConnectionReset][code as usize];
        let Some(asked) = self.asked.get(&id) else { return };
        let attempt = &asked.attempts[number as usize];
        if attempt.phase != Phase::Out {
            return;
        }
        let (instance, server) = (asked.want.instance, attempt.server);
        if ended != Ended::ConnectionReset {
            let (count, used) = &mut self.instances[instance].idle[server];
            *count = count.saturating_add(1);
            *used = self.now;
        }
        let told = self.scenario.reports == Reports::InFlight && ended != Ended::ConnectionReset;
        let report = held.filter(|_| told).map(|held| vec![f64::from(held)]);
        if ended == Ended::Success {
            self.answer(id, Final::Served);
        }
        self.over(id, number, ended, report);
    }

    /// An attempt is over, and its instance hears so.
    fn over(&mut self, id: u64, number: u32, outcome: Ended, report: Option<Vec<f64>>) {
        self.come_there(id, number);
        let now = self.now;
        let Some(asked) = self.asked.get_mut(&id) else { return };
        let instance = asked.want.instance;
        let attempt = &mut asked.attempts[number as usize];
        if attempt.phase == Phase::Over {
            return;
        }
        attempt.phase = Phase::Over;
        let event = Event::Outcome {
            request: RequestId(id),
            attempt: AttemptNo(number),
            outcome,
            elapsed: now.since(attempt.sent),
            report,
            is_final: asked.answered,
        };
        self.say(id, Some(number), || format!("over for its instance: {outcome:?}"));
        self.settle(id);
        self.instances[instance].queue.push_back(event);
        self.pump(instance);
    }

    fn call_off(&mut self, id: u64, number: u32, outcome: Ended) {
        let Some(attempt) = self.attempt(id, number) else { return };
        match attempt.phase {
            Phase::Over => {}
            Phase::Connecting => self.over(id, number, Ended::NotSent, None),
            Phase::Out => self.over(id, number, outcome, None),
        }
    }

    /// The final answer of a request; what of it has not been written stays unwritten.
    fn answer(&mut self, id: u64, answer: Final) {
        let Some(asked) = self.asked.get_mut(&id) else { return };
        if std::mem::replace(&mut asked.answered, true) {
            return;
        }
        let Want { class, at: came, counted, .. } = asked.want;
        let took = self.now.since(came);
        self.judge.answered(self.now, id);
        self.say(id, None, || format!("the client has its answer: {answer:?}"));
        if !self.tries_again(id, answer) && counted {
            let in_wanted = took <= span(self.scenario.classes[class].aim);
            let second = self.second(came);
            second.refused += u64::from(matches!(answer, Final::Refused(_)));
            second.in_wanted += u64::from(in_wanted && matches!(answer, Final::Served));
            let own = &mut self.outcome.classes[class];
            match answer {
                Final::Refused(_) => own.refused += 1,
                Final::Failed => own.failed += 1,
                Final::Served => {
                    own.served += 1;
                    own.in_wanted += u64::from(in_wanted);
                    self.sums[class] += took.ms() / 1e3;
                    // Never out of bounds: the histogram grows with what it is given.
                    let _ = self.times[class].record(took.0.max(1));
                    let _ = self.all_times.record(took.0.max(1));
                }
            }
        }
        self.stop_unwritten(id);
        self.settle(id);
    }

    /// Whether the client comes back with the same want; then it is on its way.
    fn tries_again(&mut self, id: u64, answer: Final) -> bool {
        let Some(asked) = self.asked.get(&id) else { return false };
        let (habits, spec) = (&self.scenario.habits, &self.scenario.classes[asked.want.class]);
        if asked.want.tries > habits.retries {
            return false;
        }
        let harmless = match answer {
            Final::Served => false,
            Final::Refused(_) => true,
            Final::Failed => match spec.effect {
                Repeat::Idempotent => true,
                Repeat::Deduplicated => self.now.since(asked.want.at) <= span(spec.window),
                // It may have run, and only its own zone's servers would drop it.
                Repeat::DeduplicatedByZone | Repeat::AtMostOnce => false,
            },
        };
        if !harmless {
            return false;
        }
        let own = &mut self.instances[asked.want.instance].habits;
        let pause =
            habits.pause * 2_f64.powi(asked.want.tries as i32 - 1) * (1.0 + 0.5 * own.random::<f64>());
        let heeds = own.random::<f64>() < habits.heed;
        let told = match answer {
            Final::Refused(Some(after)) if heeds => after,
            _ => Micros::ZERO,
        };
        let at = self.now + Micros(span(pause).0.max(told.0));
        if at >= asked.want.leaves {
            return false;
        }
        let want = asked.want;
        let key = asked.key;
        self.say(id, None, || format!("the client will try again at {} us", at.0));
        self.wants.insert(key, want);
        self.at(at, Happening::Again(key));
        true
    }

    /// What of a request has not been written stays unwritten.
    fn stop_unwritten(&mut self, id: u64) {
        let Some(asked) = self.asked.get(&id) else { return };
        let numbers = (0..).zip(&asked.attempts).filter(|(_, a)| a.phase == Phase::Connecting);
        let unwritten: Vec<u32> = numbers.map(|(number, _)| number).collect();
        for number in unwritten {
            self.over(id, number, Ended::NotSent, None);
        }
    }

    /// Forgets a request that is answered and has no attempt out.
    fn settle(&mut self, id: u64) {
        let over = |asked: &Asked| asked.answered && asked.attempts.iter().all(|a| a.phase == Phase::Over);
        if self.asked.get(&id).is_some_and(over) {
            self.asked.remove(&id);
            self.judge.settled(id);
        }
    }

    fn probe(&mut self, instance: usize, server: usize) {
        self.outcome.probes += 1;
        let (way, back) = (self.way(instance, server), self.way(instance, server));
        let own = &self.servers[server];
        let passes = self.reaches(instance, server) && self.comes_back(instance, server);
        let (code, after) = match (passes && !own.mute, own.up) {
            (false, _) => (1, PROBE_WAIT),
            (true, false) => (2, Micros(way.0 + back.0)),
            (true, true) => (0, Micros(way.0 + back.0)),
        };
        let scenario = self.scenario;
        let held = self.servers[server].report(self.now, &scenario.report_faults);
        self.at(self.now + after, Happening::Probed(instance, server, code, held, after.0));
    }

    fn happen(&mut self, what: Happening, troubles: &[(f64, What)]) {
        let Some(what) = self.for_now(what) else { return };
        match what {
            Happening::Ask(instance) => self.ask(instance),
            Happening::Again(key) => {
                let Some(want) = self.wants.remove(&key) else { return };
                self.outcome.classes[want.class].again += u64::from(want.counted);
                self.come(key, Want { tries: want.tries + 1, ..want });
            }
            Happening::Leave(id) => {
                let Some(asked) = self.asked.get_mut(&id) else { return };
                if std::mem::replace(&mut asked.answered, true) {
                    return;
                }
                let (instance, class, counted) = (asked.want.instance, asked.want.class, asked.want.counted);
                self.say(id, None, || "the client leaves".into());
                self.outcome.classes[class].left += u64::from(counted);
                self.judge.left(self.now, id);
                self.stop_unwritten(id);
                self.settle(id);
                self.tell(instance, Event::ClientDisconnected { request: RequestId(id) });
            }
            Happening::Timer(instance, timer, _) => self.tell(instance, Event::Timer(TimerId(timer))),
            Happening::Connected(id, number) => self.connected(id, number),
            Happening::AtServer(id, number) => self.at_server(id, number),
            Happening::Done(server, life, id, number, time) => {
                if self.servers[server].life == life {
                    self.done(server, id, number, time);
                }
            }
            Happening::Reply(id, number, code, held) => self.replied(id, number, code, held),
            Happening::TimeOut(id, number) => match self.attempt(id, number).map(|a| a.phase) {
                Some(Phase::Out) if self.attempt(id, number).is_some_and(|a| self.now >= a.timeout_at) => {
                    self.over(id, number, Ended::TimedOut, None);
                }
                Some(Phase::Connecting) => self.over(id, number, Ended::ConnectFailed, None),
                _ => {}
            },
            Happening::Trouble(place) => self.trouble(&troubles[place].1),
            Happening::Back(server) => self.trouble(&What::Start { servers: vec![server] }),
            Happening::Told(instance, server, status) => {
                if !self.linked(End::Discovery, End::Instance(instance)) {
                    return;
                }
                let status = [Status::Serving, Status::Draining, Status::Removed][status as usize];
                self.judge.told(self.now, instance as u32, server as u32, status == Status::Serving);
                let line = self.line(server, status);
                self.tell(instance, Event::Endpoints(EndpointUpdate::Delta(vec![line])));
            }
            Happening::Heard(instance, from, payload) => self.heard(instance, from, payload),
            Happening::Share(instance, _) => self.share(instance),
            Happening::Handed(instance, from, parts) => self.handed(instance, from, &parts),
            Happening::Probed(instance, server, code, held, after) => {
                let outcome = [Ended::Success, Ended::TimedOut, Ended::ConnectFailed][code as usize];
                let reports = self.scenario.reports == Reports::InFlight && code == 0;
                let report = held.filter(|_| reports).map(|held| vec![f64::from(held)]);
                let (server, elapsed) = (ServerId(server as u32), Micros(after));
                self.tell(instance, Event::HealthChecked { server, outcome, elapsed, report });
            }
        }
    }

    fn ask(&mut self, instance: usize) {
        if let Some(at) = self.next_ask(instance, self.now) {
            self.at(at, Happening::Ask(instance));
        }
        let (class, tenant) = self.instances[instance].clients.what();
        if self.instances[instance].gone {
            // The application and its agent stop and start together.
            return;
        }
        let counted = self.now >= Time::default() + span(self.scenario.warm_up);
        self.outcome.classes[class].asked += u64::from(counted);
        self.second(self.now).asked += u64::from(counted);
        let (habits, deadline) = (&self.scenario.habits, span(self.scenario.classes[class].deadline));
        let mut leaves = self.now + deadline;
        // Without the habit nothing is drawn: a scenario of before plays as it did.
        if habits.leave > 0.0 {
            let own = &mut self.instances[instance].habits;
            let tires = own.random::<f64>() < habits.leave;
            let stays = span(habits.patience.sample(own));
            leaves = if tires { leaves.min(self.now + stays) } else { leaves };
        }
        let want = Want { instance, class, at: self.now, tenant, tries: 1, leaves, counted };
        // The want's key is its first request's number, which no other want has.
        self.come(self.next_request, want);
    }

    /// A client comes with a want, for the first time or again.
    fn come(&mut self, key: u64, want: Want) {
        let Want { instance, class, at, tenant, tries, leaves, .. } = want;
        let id = self.next_request;
        self.next_request += 1;
        let deadline = at + span(self.scenario.classes[class].deadline);
        let life = self.instances[instance].life;
        let asked = Asked { want, key, answered: false, attempts: Vec::new(), life };
        self.asked.insert(id, asked);
        self.say(id, None, || {
            let name = &self.scenario.classes[class].name;
            format!(
                "{name} comes to instance {instance}, try {tries}; its client waits until {} us",
                deadline.0
            )
        });
        self.judge.asked(id, key, deadline);
        if self.instances[instance].stopped {
            self.judge.excuse(id);
        }
        // One that has heard nothing a moment past its deadline leaves; one that tires says nothing before.
        let leaves = if leaves < deadline { leaves } else { deadline + Micros::from_ms(60.0) };
        self.at(leaves, Happening::Leave(id));
        let request = Request {
            tenant: tenant.map(TenantId),
            key: Some(KeyId(key)),
            is_retry: tries > 1,
            ..Request::new(RequestId(id), ClassId(class), deadline.since(self.now))
        };
        self.count_in(instance, Digest::record_request);
        self.tell(instance, Event::Request(request));
    }

    fn crash(&mut self, server: usize) {
        self.servers[server].crash();
        // Connections end: whatever is out there is reset, in the order of requests.
        let mut out: Vec<(u64, u32, usize)> = Vec::new();
        for (id, asked) in &self.asked {
            for (number, attempt) in asked.attempts.iter().enumerate() {
                if attempt.server == server && attempt.phase == Phase::Out {
                    out.push((*id, number as u32, asked.want.instance));
                }
            }
        }
        out.sort_unstable();
        for (id, number, instance) in out {
            self.reply(instance, server, (id, number), Ended::ConnectionReset);
        }
        for instance in &mut self.instances {
            instance.idle[server].0 = 0;
        }
    }

    fn trouble(&mut self, what: &What) {
        match what {
            What::Slow { servers, factor } => servers.iter().for_each(|s| self.servers[*s].slower = *factor),
            What::Mute { servers, on } => servers.iter().for_each(|s| self.servers[*s].mute = *on),
            What::Crash { servers } => {
                for server in servers {
                    self.crash(*server);
                    self.publish(*server, 2);
                }
            }
            What::Start { servers } => {
                for server in servers {
                    self.servers[*server].start(self.now);
                    self.publish(*server, 0);
                }
            }
            What::Drain { servers } => {
                for server in servers {
                    self.servers[*server].draining = true;
                    self.publish(*server, 1);
                }
            }
            What::Cut { from, to, on } => self.cut[from * self.scenario.zones + to] = *on,
            What::Flood { tenant, factor } => {
                self.flood[*tenant] = *factor;
                let scenario = self.scenario;
                for instance in &mut self.instances {
                    instance.clients.flood(scenario, &self.flood);
                }
            }
            What::Kill { .. }
            | What::Term { .. }
            | What::Restart { .. }
            | What::Stop { .. }
            | What::Link { .. } => self.process_trouble(what),
        }
    }

    /// Each instance hears of it after a part of the list's delay that is its own.
    fn publish(&mut self, server: usize, status: u8) {
        let all = self.instances.len();
        for instance in 0..all {
            let after = span(self.scenario.list_delay * (instance + 1) as f64 / all as f64);
            self.at(self.now + after, Happening::Told(instance, server, status));
        }
    }

    fn finish(mut self, end: Time) -> Outcome {
        let mut outcome = self.outcome;
        for (class, (times, sum)) in outcome.classes.iter_mut().zip(self.times.iter().zip(&self.sums)) {
            class.fill(times);
            class.mean = sum / class.served.max(1) as f64;
        }
        let all = |of: fn(&ClassOutcome) -> u64| outcome.classes.iter().map(of).sum::<u64>();
        outcome.wanted_share = all(|c| c.in_wanted) as f64 / all(|c| c.asked).max(1) as f64;
        outcome.p99 = self.all_times.value_at_quantile(0.99);
        outcome.mean_wait = self.waited / outcome.begun.max(1) as f64;
        outcome.by_server = self.servers.iter().map(|s| s.requests).collect();
        outcome.peak_held = self.servers.iter().map(|s| s.peak).max().unwrap_or(0);
        self.asked.clear();
        (outcome.breaches, outcome.broken) = self.judge.finish(end);
        outcome
    }
}
