//! Who decides: the true module, or a reference policy behind one common shell.
//!
//! The shell sends a request to the server that its [`Pick`] names, sends it again after an attempt that failed where a
//! repeat is harmless, and gives it up at its deadline. It refuses nothing for load, probes nobody and keeps no
//! suspects, so that two policies behind it differ in the pick and in nothing else. [`Policy::Oracle`] alone is shown what
//! is true, and refuses.

use crate::random::{stream, Actor};
use bellcroft_balancer::{
    Action, Balancer, DedupScope, EndpointUpdate, Event, Micros, Outcome, ResponseSample, RetrySafety,
    Settings, SettingsError, Status, Time, TimerId,
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// A policy by its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The true module, with all that it decides.
    Module,
    /// Uniform random.
    Uniform,
    /// One after the other, from a random begin.
    RoundRobin,
    /// The least in flight of all.
    LeastInFlight,
    /// The lighter of two uniform draws.
    PowerOfTwo,
    /// The cheaper of two uniform draws, by peak-sensitive moving latency times requests in flight.
    PeakEwma,
    /// A hash ring with bounded load.
    Ring,
    /// The paper's pure memory with one fresh draw and one remembered server.
    Memory,
    /// The same with two and two.
    MemoryTwo,
    /// One mind for all instances, which knows what is true of each server: the practical upper bound.
    Oracle,
}

impl Policy {
    /// All of them.
    pub const ALL: [Policy; 10] = [
        Policy::Module,
        Policy::Uniform,
        Policy::RoundRobin,
        Policy::LeastInFlight,
        Policy::PowerOfTwo,
        Policy::PeakEwma,
        Policy::Ring,
        Policy::Memory,
        Policy::MemoryTwo,
        Policy::Oracle,
    ];

    /// Its name, as a scenario file has it.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Module => "module",
            Policy::Uniform => "uniform",
            Policy::RoundRobin => "round_robin",
            Policy::LeastInFlight => "least_in_flight",
            Policy::PowerOfTwo => "power_of_two",
            Policy::PeakEwma => "peak_ewma",
            Policy::Ring => "ring",
            Policy::Memory => "memory",
            Policy::MemoryTwo => "memory_two",
            Policy::Oracle => "oracle",
        }
    }

    /// Whether it claims to keep the four rules. The references that only pick claim nothing: behind their shell cold
    /// servers are pushed over.
    pub fn claims_the_rules(self) -> bool {
        matches!(self, Policy::Module | Policy::Oracle)
    }

    /// An instance's decisions.
    pub(crate) fn core(
        self,
        settings: &Settings,
        seed: u64,
        number: usize,
    ) -> Result<Box<dyn Core>, SettingsError> {
        let pick: Box<dyn Pick> = match self {
            Policy::Module => {
                let own = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(number as u64);
                return Ok(Box::new(Balancer::new(settings.clone(), own)?));
            }
            Policy::Uniform => Box::new(Uniform),
            Policy::RoundRobin => Box::new(RoundRobin(None)),
            Policy::LeastInFlight => Box::new(LeastInFlight),
            Policy::PowerOfTwo => Box::new(PowerOfTwo),
            Policy::PeakEwma => Box::new(PeakEwma::default()),
            Policy::Ring => Box::new(Ring::default()),
            Policy::Memory => Box::new(Memory::new(1, 1)),
            Policy::MemoryTwo => Box::new(Memory::new(2, 2)),
            Policy::Oracle => Box::new(Oracle::default()),
        };
        Ok(Box::new(Shell::new(settings, pick, stream(seed, Actor::Policy(number)))))
    }
}

/// What decides for an instance, in the words of the module.
pub trait Core {
    /// It begins.
    fn start(&mut self, now: Time, out: &mut Vec<Action>);
    /// Something has happened.
    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>);
    /// Whether it is shown what is true before each event. No real one is.
    fn all_knowing(&self) -> bool {
        false
    }
    /// What is true now, server by server.
    fn see(&mut self, _truth: Vec<Truth>) {}
    /// What it has seen of answers since this was last asked, to be shared with the others.
    fn signs(&mut self) -> Vec<ResponseSample> {
        Vec::new()
    }
}

/// What is true of a server at this moment, seen from one instance.
#[derive(Debug, Clone, PartialEq)]
pub struct Truth {
    /// By class: the time until a request that is sent now has its answer, in seconds, if its own work is twice the mean and
    /// all that waits or is on its way takes the mean. Infinite where it would have no answer: the server is down, mute,
    /// draining, full or cut off, or cold and has been sent what it bears.
    pub ends: Vec<f64>,
}

impl Core for Balancer {
    fn start(&mut self, now: Time, out: &mut Vec<Action>) {
        Balancer::start(self, now, out);
    }

    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        Balancer::handle(self, now, event, out);
    }

    fn signs(&mut self) -> Vec<ResponseSample> {
        Balancer::drain_samples(self).collect()
    }
}

/// What a pick goes by: this instance's own view.
#[derive(Debug, Default)]
pub struct View {
    /// Servers that take requests, in the order of their numbers.
    pub up: Vec<u32>,
    /// This instance's own attempts at each server.
    pub in_flight: BTreeMap<u32, u32>,
    /// All of them.
    pub total: u32,
}

impl View {
    fn load(&self, server: u32) -> u32 {
        self.in_flight.get(&server).copied().unwrap_or(0)
    }

    fn draw(&self, random: &mut ChaCha8Rng) -> u32 {
        self.up[random.random_range(0..self.up.len())]
    }
}

/// Names a server. `up` is never empty.
pub trait Pick {
    /// For a request about this key.
    fn pick(&mut self, now: Time, view: &View, key: u64, random: &mut ChaCha8Rng) -> u32;
    /// It has been sent there.
    fn sent(&mut self, _view: &View, _server: u32) {}
    /// An attempt there has ended.
    fn ended(&mut self, _now: Time, _server: u32, _took: Micros) {}
    /// The list has changed.
    fn listed(&mut self, _view: &View) {}
    /// Whether it is to be shown what is true.
    fn all_knowing(&self) -> bool {
        false
    }
    /// What is true, server by server.
    fn see(&mut self, _truth: Vec<Truth>) {}
    /// Whether a request of this class, for which so many seconds are left of its wanted time, is worth sending. Asked
    /// before each pick.
    fn worth(&mut self, _view: &View, _class: usize, _left: f64) -> bool {
        true
    }
}

struct Uniform;

impl Pick for Uniform {
    fn pick(&mut self, _: Time, view: &View, _: u64, random: &mut ChaCha8Rng) -> u32 {
        view.draw(random)
    }
}

struct RoundRobin(Option<usize>);

impl Pick for RoundRobin {
    fn pick(&mut self, _: Time, view: &View, _: u64, random: &mut ChaCha8Rng) -> u32 {
        let next = match self.0 {
            Some(last) => (last + 1) % view.up.len(),
            None => random.random_range(0..view.up.len()),
        };
        self.0 = Some(next);
        view.up[next]
    }
}

/// The lightest of some servers; each of those that are equally light is as likely.
fn lightest(view: &View, servers: impl Iterator<Item = u32>, random: &mut ChaCha8Rng) -> Option<u32> {
    let (mut best, mut ties) = (None, 0_u32);
    for server in servers {
        let load = view.load(server);
        match best {
            Some((least, _)) if load > least => {}
            Some((least, _)) if load == least => {
                ties += 1;
                if random.random_range(0..ties) == 0 {
                    best = Some((load, server));
                }
            }
            _ => (best, ties) = (Some((load, server)), 1),
        }
    }
    best.map(|(_, server)| server)
}

struct LeastInFlight;

impl Pick for LeastInFlight {
    fn pick(&mut self, _: Time, view: &View, _: u64, random: &mut ChaCha8Rng) -> u32 {
        lightest(view, view.up.iter().copied(), random).unwrap_or(view.up[0])
    }
}

struct PowerOfTwo;

impl Pick for PowerOfTwo {
    fn pick(&mut self, _: Time, view: &View, _: u64, random: &mut ChaCha8Rng) -> u32 {
        let two = [view.draw(random), view.draw(random)];
        lightest(view, two.into_iter(), random).unwrap_or(two[0])
    }
}

/// Latencies fade with this time.
const EWMA_FADES: f64 = 10.0;

/// By the public descriptions of Finagle's and linkerd's balancers: a slow answer counts at once, quick ones bring the
/// figure down with time; cost is that times the requests in flight and one.
#[derive(Default)]
struct PeakEwma(BTreeMap<u32, (f64, Time)>);

impl Pick for PeakEwma {
    fn pick(&mut self, now: Time, view: &View, _: u64, random: &mut ChaCha8Rng) -> u32 {
        let cost = |server: u32| {
            let latency = self
                .0
                .get(&server)
                .map_or(0.0, |(value, at)| value * (-now.since(*at).ms() / 1e3 / EWMA_FADES).exp());
            (latency + 1e-6) * f64::from(view.load(server) + 1)
        };
        let (a, b) = (view.draw(random), view.draw(random));
        if cost(a) <= cost(b) {
            a
        } else {
            b
        }
    }

    fn ended(&mut self, now: Time, server: u32, took: Micros) {
        let took = took.ms() / 1e3;
        let (value, at) = self.0.entry(server).or_insert((took, now));
        let kept = (-now.since(*at).ms() / 1e3 / EWMA_FADES).exp();
        *value = if took > *value { took } else { *value * kept + took * (1.0 - kept) };
        *at = now;
    }
}

/// Points of each server on the ring.
const RING_POINTS: u64 = 64;
/// No server holds more than this multiple of the mean.
const RING_BOUND: f64 = 1.25;

/// Consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam).
#[derive(Default)]
struct Ring(Vec<(u64, u32)>);

/// SplitMix64's finish: spreads numbers that are near each other.
fn spread(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

impl Pick for Ring {
    fn pick(&mut self, _: Time, view: &View, key: u64, _: &mut ChaCha8Rng) -> u32 {
        let most = (RING_BOUND * f64::from(view.total + 1) / view.up.len() as f64).ceil() as u32;
        let from = self.0.partition_point(|(point, _)| *point < spread(key));
        let around = self.0[from..].iter().chain(&self.0[..from]);
        let free = around.map(|(_, server)| *server).find(|server| view.load(*server) < most);
        free.unwrap_or(view.up[0])
    }

    fn listed(&mut self, view: &View) {
        let points = |server: &u32| {
            let server = *server;
            (0..RING_POINTS).map(move |n| (spread(u64::from(server) * RING_POINTS + n), server))
        };
        self.0 = view.up.iter().flat_map(points).collect();
        self.0.sort_unstable();
    }
}

/// The paper's rule: `d` fresh draws, `m` remembered, the lightest of all; the `m` lightest are remembered.
struct Memory {
    d: usize,
    m: usize,
    known: Vec<u32>,
    candidates: Vec<u32>,
}

impl Memory {
    fn new(d: usize, m: usize) -> Self {
        Memory { d, m, known: Vec::new(), candidates: Vec::new() }
    }
}

impl Pick for Memory {
    fn pick(&mut self, _: Time, view: &View, _: u64, random: &mut ChaCha8Rng) -> u32 {
        self.candidates.clone_from(&self.known);
        for _ in 0..self.d {
            let fresh = view.draw(random);
            if !self.candidates.contains(&fresh) {
                self.candidates.push(fresh);
            }
        }
        lightest(view, self.candidates.iter().copied(), random).unwrap_or(view.up[0])
    }

    fn sent(&mut self, view: &View, _: u32) {
        self.candidates.sort_by_key(|server| view.load(*server));
        self.known.clone_from(&self.candidates);
        self.known.truncate(self.m);
    }

    fn listed(&mut self, view: &View) {
        self.known.retain(|server| view.up.contains(server));
        self.candidates.clear();
    }
}

/// Sends where the end is earliest, and refuses what has no server that would end in its wanted time.
#[derive(Default)]
struct Oracle {
    truth: Vec<Truth>,
    next: Option<u32>,
}

impl Pick for Oracle {
    fn pick(&mut self, _: Time, view: &View, _: u64, _: &mut ChaCha8Rng) -> u32 {
        self.next.unwrap_or(view.up[0])
    }

    fn all_knowing(&self) -> bool {
        true
    }

    fn see(&mut self, truth: Vec<Truth>) {
        self.truth = truth;
    }

    fn worth(&mut self, view: &View, class: usize, left: f64) -> bool {
        let ends = |server: &u32| self.truth[*server as usize].ends[class];
        self.next = view.up.iter().copied().min_by(|a, b| ends(a).total_cmp(&ends(b)));
        self.next.is_some_and(|server| ends(&server) <= left)
    }
}

struct Held {
    class: usize,
    key: u64,
    deadline: Time,
    /// An answer is wanted by then.
    wanted_by: Time,
    sends: u32,
    out: u32,
    may_have_run: bool,
    first: Option<(Time, u32)>,
}

/// The common shell of the reference policies.
pub struct Shell {
    settings: Settings,
    pick: Box<dyn Pick>,
    random: ChaCha8Rng,
    view: View,
    zones: BTreeMap<u32, u32>,
    requests: HashMap<u64, Held>,
    /// By request and attempt: where, and when it was sent.
    attempts: HashMap<(u64, u32), (u32, Time)>,
}

impl Shell {
    /// A shell around a pick.
    pub fn new(settings: &Settings, pick: Box<dyn Pick>, random: ChaCha8Rng) -> Self {
        Shell {
            settings: settings.clone(),
            pick,
            random,
            view: View::default(),
            zones: BTreeMap::new(),
            requests: HashMap::new(),
            attempts: HashMap::new(),
        }
    }

    fn send(&mut self, now: Time, id: u64, out: &mut Vec<Action>) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        let left = held.wanted_by.since(now).ms() / 1e3;
        if self.view.up.is_empty() || !self.pick.worth(&self.view, held.class, left) {
            let gone = self.requests.remove(&id).is_some_and(|held| held.may_have_run);
            return out.push(self.give_up(id, gone));
        }
        let mut server = self.pick.pick(now, &self.view, held.key, &mut self.random);
        let effect = self.settings.classes[held.class].retry_safety;
        if let (RetrySafety::Deduplicated { scope: DedupScope::Zone, .. }, Some((_, zone))) =
            (effect, held.first)
        {
            // A repeat is harmless in the first one's zone alone.
            let same: Vec<u32> =
                self.view.up.iter().copied().filter(|s| self.zones.get(s) == Some(&zone)).collect();
            if self.zones.get(&server) != Some(&zone) {
                server = same.get(self.random.random_range(0..same.len().max(1))).copied().unwrap_or(server);
            }
        }
        let write_by = match (effect, held.first) {
            (RetrySafety::Deduplicated { window, .. }, Some((first, _))) => held.deadline.min(first + window),
            _ => held.deadline,
        };
        let number = held.sends;
        held.sends += 1;
        held.out += 1;
        let zone = self.zones.get(&server).copied().unwrap_or(0);
        held.first.get_or_insert((now, zone));
        let timeout_at = held.deadline;
        *self.view.in_flight.entry(server).or_default() += 1;
        self.view.total += 1;
        self.pick.sent(&self.view, server);
        self.attempts.insert((id, number), (server, now));
        out.push(Action::Send {
            request: bellcroft_balancer::RequestId(id),
            attempt: bellcroft_balancer::AttemptNo(number),
            server: bellcroft_balancer::ServerId(server),
            timeout_at,
            write_by,
        });
    }

    fn give_up(&self, id: u64, may_have_run: bool) -> Action {
        let request = bellcroft_balancer::RequestId(id);
        if may_have_run {
            Action::Fail { request }
        } else {
            Action::Shed { request, retry_after: None }
        }
    }

    /// Whether another attempt of it is harmless, and has time.
    fn may_repeat(&self, now: Time, held: &Held) -> bool {
        let within = match self.settings.classes[held.class].retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::AtMostOnce => !held.may_have_run,
            RetrySafety::Deduplicated { window, .. } => {
                !held.may_have_run || held.first.is_none_or(|(first, _)| now.since(first) < window)
            }
        };
        within && held.sends < self.settings.max_attempts && now < held.deadline
    }
}

impl Core for Shell {
    fn start(&mut self, _: Time, _: &mut Vec<Action>) {}

    fn all_knowing(&self) -> bool {
        self.pick.all_knowing()
    }

    fn see(&mut self, truth: Vec<Truth>) {
        self.pick.see(truth);
    }

    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Request(request) => {
                let (id, deadline) = (request.id.0, now + request.time_left);
                let class = &self.settings.classes[request.class.0];
                let held = Held {
                    class: request.class.0,
                    key: request.key.map_or(id, |key| key.0),
                    deadline,
                    wanted_by: Time(
                        (deadline.0 + class.latency_objective.0).saturating_sub(class.deadline.0),
                    ),
                    sends: 0,
                    out: 0,
                    may_have_run: false,
                    first: None,
                };
                self.requests.insert(id, held);
                out.push(Action::SetTimer { at: deadline, timer: TimerId(id) });
                self.send(now, id, out);
            }
            Event::Outcome { request, attempt, outcome, elapsed, is_final, .. } => {
                let id = request.0;
                if let Some((server, _)) = self.attempts.remove(&(id, attempt.0)) {
                    if let Some(load) = self.view.in_flight.get_mut(&server) {
                        *load = load.saturating_sub(1);
                    }
                    self.view.total = self.view.total.saturating_sub(1);
                    self.pick.ended(now, server, elapsed);
                }
                if is_final || outcome == Outcome::Success {
                    self.requests.remove(&id);
                    return;
                }
                let Some(held) = self.requests.get_mut(&id) else { return };
                held.out -= 1;
                held.may_have_run |= !outcome.never_ran();
                if held.out > 0 {
                    return;
                }
                let held = &self.requests[&id];
                if self.may_repeat(now, held) {
                    return self.send(now, id, out);
                }
                let gone = self.requests.remove(&id).is_some_and(|held| held.may_have_run);
                out.push(self.give_up(id, gone));
            }
            Event::ClientDisconnected { request } => {
                self.requests.remove(&request.0);
            }
            Event::Timer(timer) => {
                if self.requests.remove(&timer.0).is_some() {
                    out.push(Action::Fail { request: bellcroft_balancer::RequestId(timer.0) });
                }
            }
            Event::Endpoints(update) => {
                let (whole, lines) = match update {
                    EndpointUpdate::Snapshot(lines) | EndpointUpdate::SavedSnapshot(lines) => (true, lines),
                    EndpointUpdate::Delta(lines) => (false, lines),
                    EndpointUpdate::Failed => return,
                };
                if whole {
                    self.view.up.clear();
                }
                for line in lines {
                    self.zones.insert(line.server.0, line.zone.0);
                    self.view.up.retain(|server| *server != line.server.0);
                    if line.status == Status::Serving {
                        self.view.up.push(line.server.0);
                    }
                }
                self.view.up.sort_unstable();
                self.pick.listed(&self.view);
            }
            Event::BodyComplete { .. }
            | Event::AttemptsExhausted { .. }
            | Event::FirstByte { .. }
            | Event::HealthChecked { .. }
            | Event::PeerMessage { .. }
            | Event::Fleet(_) => {}
        }
    }
}
