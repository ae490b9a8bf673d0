//! Members of a fleet and the links between them, as discrete events.

use bellcroft_balancer::{Micros, Time};
use bellcroft_membership::{Change, Id, Membership, Output, State};
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};

/// The start of the played time: long after zero, as real clocks are.
pub const ORIGIN: Time = Time(1_000_000_000);
/// Datagrams that wait for a process that stands still; the kernel drops what comes past its buffer.
const BUFFERED: usize = 200;

/// The address of a member.
pub fn address(number: usize) -> SocketAddr {
    let [_, a, b, c] = (number as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, a, b, c), 7946))
}

/// The member at an address.
fn number(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(v4) => {
            let [_, a, b, c] = v4.ip().octets();
            Some(u32::from_be_bytes([0, a, b, c]) as usize)
        }
        SocketAddr::V6(_) => None,
    }
}

/// A protocol that tells who is there, driven by events.
pub trait Peer {
    /// When it is to be ticked.
    fn next(&self) -> Time;
    /// Does what is due.
    fn tick(&mut self, now: Time, out: &mut Vec<Output>);
    /// Takes a datagram.
    fn receive(&mut self, now: Time, from: SocketAddr, bytes: &[u8], out: &mut Vec<Output>);
    /// What it holds of a member.
    fn holds(&self, number: usize) -> Option<State>;
}

impl Peer for Membership {
    fn next(&self) -> Time {
        Membership::next_deadline(self)
    }
    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        Membership::tick(self, now, out);
    }
    fn receive(&mut self, now: Time, from: SocketAddr, bytes: &[u8], out: &mut Vec<Output>) {
        Membership::receive(self, now, from, bytes, out);
    }
    fn holds(&self, number: usize) -> Option<State> {
        self.member(Id(number as u32)).map(|member| member.state)
    }
}

/// What a link does with a datagram.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Link {
    /// The share that is lost.
    pub loss: f64,
    /// How long one takes at least ...
    pub delay: Micros,
    /// ... and by how much longer at most. Later ones overtake earlier ones by it.
    pub jitter: Micros,
    /// The share that comes twice.
    pub doubled: f64,
    /// The share of which a byte is spoilt.
    pub spoilt: f64,
    /// Nothing passes.
    pub cut: bool,
}

impl Default for Link {
    fn default() -> Self {
        let (delay, jitter) = (Micros::from_ms(0.5), Micros::from_ms(0.5));
        Link { loss: 0.0, delay, jitter, doubled: 0.0, spoilt: 0.0, cut: false }
    }
}

/// What a member's process is doing.
#[derive(Debug)]
enum Process<P> {
    /// It runs.
    Runs(P),
    /// It stands still, and datagrams wait for it.
    Stopped(P, Vec<(SocketAddr, Vec<u8>)>),
    /// It is not there.
    Gone,
}

/// A change as somebody saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// When.
    pub at: Time,
    /// Who saw it.
    pub by: usize,
    /// What.
    pub change: Change,
}

/// What is to happen, in the order of its time and of when it was queued.
struct Queued {
    at: Time,
    event: u64,
    what: Due,
}

enum Due {
    /// From, to and the bytes of a datagram.
    Datagram(SocketAddr, SocketAddr, Vec<u8>),
    /// A member is to be ticked.
    Tick(usize),
}

impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.event).cmp(&(other.at, other.event))
    }
}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Queued {}

/// Members and the links between them. What is played follows from the seed.
pub struct Net<P> {
    processes: Vec<Process<P>>,
    /// When each member's next tick is queued.
    ticks: Vec<Option<Time>>,
    /// What the link from one member to another does.
    pub link: Box<dyn Fn(usize, usize) -> Link>,
    now: Time,
    queued: BinaryHeap<Reverse<Queued>>,
    next_event: u64,
    rng: ChaCha8Rng,
    /// All changes that members saw.
    pub seen: Vec<Seen>,
    /// Hints that reached a member: by, from, payload.
    pub hints: Vec<(usize, Id, Vec<u8>)>,
    /// Datagrams sent, and their bytes.
    pub sent: (u64, u64),
    /// The longest datagram.
    pub longest: usize,
    /// Events played.
    pub events: u64,
    out: Vec<Output>,
}

impl<P: Peer> Net<P> {
    /// Places for so many members, none of which runs yet.
    pub fn new(members: usize, seed: u64) -> Self {
        Net {
            processes: (0..members).map(|_| Process::Gone).collect(),
            ticks: vec![None; members],
            link: Box::new(|_, _| Link::default()),
            now: ORIGIN,
            queued: BinaryHeap::new(),
            next_event: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            seen: Vec::new(),
            hints: Vec::new(),
            sent: (0, 0),
            longest: 0,
            events: 0,
            out: Vec::new(),
        }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Time since the beginning.
    pub fn passed(&self) -> Micros {
        self.now.since(ORIGIN)
    }

    /// Starts a process in a place, in place of whatever ran there.
    pub fn start(&mut self, number: usize, peer: P) {
        self.processes[number] = Process::Runs(peer);
        self.plan(number);
    }

    /// Kills a process.
    pub fn kill(&mut self, number: usize) {
        self.processes[number] = Process::Gone;
        self.ticks[number] = None;
    }

    /// Stops a process as SIGSTOP does; what is sent to it waits.
    pub fn stop(&mut self, number: usize) {
        if let Process::Runs(peer) = std::mem::replace(&mut self.processes[number], Process::Gone) {
            self.processes[number] = Process::Stopped(peer, Vec::new());
        }
    }

    /// Lets a stopped process go on: it reads what has waited, then looks at its clock.
    pub fn go_on(&mut self, number: usize) {
        let process = std::mem::replace(&mut self.processes[number], Process::Gone);
        match process {
            Process::Stopped(peer, waiting) => {
                self.processes[number] = Process::Runs(peer);
                for (from, bytes) in waiting {
                    self.deliver(number, from, &bytes);
                }
                self.plan(number);
            }
            other => self.processes[number] = other,
        }
    }

    /// A member that runs or stands still.
    pub fn peer(&self, number: usize) -> Option<&P> {
        match &self.processes[number] {
            Process::Runs(peer) | Process::Stopped(peer, _) => Some(peer),
            Process::Gone => None,
        }
    }

    /// Has a member do something now.
    pub fn with(&mut self, number: usize, act: impl FnOnce(&mut P, Time, &mut Vec<Output>)) {
        let mut out = std::mem::take(&mut self.out);
        let now = self.now;
        if let Process::Runs(peer) = &mut self.processes[number] {
            act(peer, now, &mut out);
        }
        self.carry_out(number, &mut out);
        self.out = out;
        self.plan(number);
    }

    /// Sends bytes that no member has said.
    pub fn inject(&mut self, from: SocketAddr, to: usize, bytes: Vec<u8>) {
        let at = self.now;
        self.queue(at, Due::Datagram(from, address(to), bytes));
    }

    /// Those that run.
    pub fn running(&self) -> Vec<usize> {
        let runs = |n: &usize| matches!(self.processes[*n], Process::Runs(_));
        (0..self.processes.len()).filter(runs).collect()
    }

    /// Plays on for so long.
    pub fn play(&mut self, span: Micros) {
        let until = self.now + span;
        while self.queued.peek().is_some_and(|Reverse(first)| first.at <= until) {
            let Some(Reverse(Queued { at, what, .. })) = self.queued.pop() else { break };
            self.events += 1;
            self.now = self.now.max(at);
            match what {
                Due::Datagram(from, to, bytes) => {
                    if let Some(number) = number(to).filter(|n| *n < self.processes.len()) {
                        self.deliver(number, from, &bytes);
                        self.plan(number);
                    }
                }
                Due::Tick(number) if self.ticks[number] == Some(at) => {
                    self.ticks[number] = None;
                    self.with(number, Peer::tick);
                }
                Due::Tick(_) => {}
            }
        }
        self.now = until;
    }

    /// Plays in small steps until something holds, for so long at most; the time it took.
    pub fn until(&mut self, most: Micros, done: impl Fn(&Self) -> bool) -> Option<Micros> {
        let (from, step) = (self.now, Micros::from_ms(50.0));
        while !done(self) {
            if self.now.since(from) >= most {
                return None;
            }
            self.play(step);
        }
        Some(self.now.since(from))
    }

    fn plan(&mut self, number: usize) {
        let Process::Runs(peer) = &self.processes[number] else { return };
        let next = peer.next().max(self.now);
        if self.ticks[number].is_some_and(|queued| queued <= next) {
            return;
        }
        self.ticks[number] = Some(next);
        self.queue(next, Due::Tick(number));
    }

    fn queue(&mut self, at: Time, what: Due) {
        self.next_event += 1;
        self.queued.push(Reverse(Queued { at, event: self.next_event, what }));
    }

    fn deliver(&mut self, number: usize, from: SocketAddr, bytes: &[u8]) {
        let now = self.now;
        let mut out = std::mem::take(&mut self.out);
        match &mut self.processes[number] {
            Process::Runs(peer) => peer.receive(now, from, bytes, &mut out),
            Process::Stopped(_, waiting) if waiting.len() < BUFFERED => {
                waiting.push((from, bytes.to_vec()));
            }
            Process::Stopped(..) | Process::Gone => {}
        }
        self.carry_out(number, &mut out);
        self.out = out;
    }

    fn carry_out(&mut self, number: usize, out: &mut Vec<Output>) {
        for output in out.drain(..) {
            match output {
                Output::Send(to, bytes) => self.send(number, to, bytes),
                Output::Change(change) => self.seen.push(Seen { at: self.now, by: number, change }),
                Output::Hint(from, payload) => self.hints.push((number, from, payload)),
                Output::Fleet(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, mut bytes: Vec<u8>) {
        self.sent.0 += 1;
        self.sent.1 += bytes.len() as u64;
        self.longest = self.longest.max(bytes.len());
        let Some(target) = number(to) else { return };
        let link = (self.link)(from, target);
        if link.cut || self.rng.random::<f64>() < link.loss {
            return;
        }
        if self.rng.random::<f64>() < link.spoilt && !bytes.is_empty() {
            let at = self.rng.random_range(0..bytes.len());
            bytes[at] ^= 1 << self.rng.random_range(0..8);
        }
        let copies = if self.rng.random::<f64>() < link.doubled { 2 } else { 1 };
        for _ in 0..copies {
            let at = self.now + link.delay + Micros(self.rng.random_range(0..=link.jitter.0));
            self.queue(at, Due::Datagram(address(from), to, bytes.clone()));
        }
    }
}

impl Net<Membership> {
    /// All that run hold the same of everybody: those that run are alive to all, and nobody else is.
    pub fn agrees(&self) -> bool {
        let runs: Vec<bool> =
            (0..self.processes.len()).map(|n| matches!(self.processes[n], Process::Runs(_))).collect();
        self.running().into_iter().all(|by| {
            runs.iter().enumerate().filter(|(of, _)| *of != by).all(|(of, runs)| {
                let state = self.peer(by).and_then(|peer| peer.holds(of));
                state.is_some_and(|state| state == State::Alive) == *runs
            })
        })
    }
}
