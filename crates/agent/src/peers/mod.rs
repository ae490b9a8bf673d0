//! The other instances: the datagrams of [`bellcroft_membership`] on a socket, and what becomes of its news.
//!
//! Nothing on a request's way waits for a peer: what is told is sent if the kernel takes it at once, and dropped
//! otherwise.

mod hints;
pub mod status;

use crate::clock::Clock;
use bellcroft_balancer::{FleetState, PeerId, Signal};
use bellcroft_membership::{
    Change, Config, Digest, Id, Membership, Output, PeerReports, QuorumState, ReportVerdict, Stats,
};
use bellcroft_net::DatagramSocket;
use status::{MemberStatus, MembershipStatus, SeenStatus, SiteStatus};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::sleep_until;
use tracing::{info, warn};

/// Longer than any datagram that is taken; what is cut off here is refused for its length.
const BUFFER: usize = 512;
/// After a socket's failure, it is read again after this.
const PAUSE: Duration = Duration::from_millis(20);

pub use hints::name_hash;

/// What the decisions hear of peers, as advice.
pub trait Decisions {
    /// Servers that the list calls up: the measure of what hearsay may doubt.
    fn servers(&self) -> usize;
    /// A peer's decisions doubt the server of this name, by [`named`]; nobody else does where the word is `lone`.
    fn hint(self: Rc<Self>, from: PeerId, name: u64, lone: bool);
    /// What the whole fleet has seen of its servers of late.
    fn fleet(self: Rc<Self>, state: FleetState);
    /// What is counted for the whole fleet is shared by so many from now on.
    fn reckon(&self, instances: u32);
}

/// Counts beside those of the protocol.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Datagrams that the kernel did not take.
    pub unsent: u64,
    /// Hints that were told to peers, and that were dropped as the peer isn't here.
    pub told: (u64, u64),
    /// Hints heard: taken, too often from one peer, too many servers, one peer's word alone.
    pub heard: [u64; 4],
}

/// The other instances.
pub struct Peers {
    name: String,
    core: RefCell<Membership>,
    hearsay: RefCell<PeerReports>,
    socket: DatagramSocket,
    clock: Clock,
    decisions: Weak<dyn Decisions>,
    counts: Cell<Counts>,
    reckoned: Cell<u32>,
    wake: tokio::sync::Notify,
}

impl Peers {
    /// Listens for the others and begins to look for them.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on.
    pub async fn start(
        (listen, config): (SocketAddr, Config),
        (name, seed): (&str, u64),
        clock: Clock,
        decisions: Weak<dyn Decisions>,
    ) -> io::Result<Rc<Self>> {
        let socket = DatagramSocket::bind(listen).await?;
        let life = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let core = Membership::new(config, clock.now(), life, seed);
        let peers = Rc::new(Peers {
            name: name.to_owned(),
            reckoned: Cell::new(0),
            core: RefCell::new(core),
            hearsay: RefCell::default(),
            socket,
            clock,
            decisions,
            counts: Cell::default(),
            wake: tokio::sync::Notify::new(),
        });
        peers.settle();
        tokio::task::spawn_local(peers.clone().run());
        Ok(peers)
    }

    /// Where it hears the others.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    async fn run(self: Rc<Self>) {
        let mut buffer = [0; BUFFER];
        loop {
            let next = self.clock.instant(self.core.borrow().next());
            tokio::select! {
                got = self.socket.receive(&mut buffer) => match got {
                    Ok((length, from)) => {
                        self.turn(|core, now, out| core.receive(now, from, &buffer[..length], out));
                    }
                    Err(_) => tokio::time::sleep(PAUSE).await,
                },
                () = sleep_until(next) => {}
                () = self.wake.notified() => {}
            }
            // Also behind a datagram: a flood of them must not keep probes and suspicions from their times.
            if self.clock.now() >= self.core.borrow().next() {
                self.turn(Membership::tick);
            }
            self.settle();
        }
    }

    /// Has the protocol do something, and carries out what comes of it. The protocol isn't borrowed meanwhile, for the
    /// decisions may answer a hint with one.
    fn turn(&self, act: impl FnOnce(&mut Membership, bellcroft_balancer::Time, &mut Vec<Output>)) {
        let mut out = Vec::new();
        let now = self.clock.now();
        act(&mut self.core.borrow_mut(), now, &mut out);
        for output in out {
            match output {
                Output::Send(to, bytes) => {
                    if self.socket.send_now(&bytes, to).is_err() {
                        self.count(|counts| counts.unsent += 1);
                    }
                }
                Output::Change(change) => self.log(&change),
                Output::Hint(from, payload) => self.hear(from, payload),
                Output::Fleet(state) => {
                    if let Some(decisions) = self.decisions.upgrade() {
                        decisions.fleet(state);
                    }
                }
            }
        }
    }

    /// Tells the decisions by how many to reckon, if that has changed. Never from within a decision, which holds its own
    /// state: what it tells a peer leaves by [`Peers::turn`] alone.
    fn settle(&self) {
        let reckoned = self.core.borrow().effective_size(self.clock.now());
        if self.reckoned.replace(reckoned) != reckoned {
            if let Some(decisions) = self.decisions.upgrade() {
                decisions.reckon(reckoned);
            }
        }
    }

    fn count(&self, change: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    fn hear(&self, from: Id, payload: Vec<u8>) {
        let Some(decisions) = self.decisions.upgrade() else { return };
        // Of another form, by a newer program perhaps: it says nothing here.
        let Some(name) = hints::read(&payload) else { return };
        let heard =
            self.hearsay.borrow_mut().on_report(self.clock.now(), from, &payload, decisions.servers());
        self.count(|counts| counts.heard[heard as usize] += 1);
        if matches!(heard, ReportVerdict::Accepted | ReportVerdict::Unconfirmed) {
            decisions.hint(PeerId(from.0), name, heard == ReportVerdict::Unconfirmed);
        }
    }

    /// Tells a peer's decisions that the server of this name is doubted here, if that peer is here.
    pub fn send_hint(&self, to: PeerId, name: &str) {
        let (mut sent, payload) = (false, hints::write(name_hash(name)));
        self.turn(|core, now, out| sent = core.send_hint(now, Id(to.0), payload, out));
        self.count(|counts| if sent { counts.told.0 += 1 } else { counts.told.1 += 1 });
    }

    /// What this instance's decisions have seen of answers, to be shared.
    pub fn record_responses(&self, signs: impl ExactSizeIterator<Item = Signal>) {
        // Most of what happens shows nothing.
        if signs.len() == 0 {
            return;
        }
        self.count_in(|digest, now, _| {
            signs.for_each(|s| digest.record_response(now, s.zone.0 as u8, s.latency, s.load))
        });
    }

    /// A request has come to this instance.
    pub fn on_request_received(&self) {
        self.count_in(Digest::record_request);
    }

    /// One of those was refused.
    pub fn on_request_rejected(&self) {
        self.count_in(Digest::record_rejection);
    }

    fn count_in(&self, count: impl FnOnce(&mut Digest, bellcroft_balancer::Time, u8)) {
        let mut core = self.core.borrow_mut();
        let (now, site) = (self.clock.now(), core.config().site);
        // While nothing is held, nobody waits for the moment to hand it over.
        let slept = core.digest().is_empty();
        count(core.digest(), now, site);
        if slept && !core.digest().is_empty() {
            self.wake.notify_one();
        }
    }

    /// From now on there are to be so many.
    pub fn set_expected_size(&self, instances: u32) {
        self.turn(|core, now, _| core.set_expected_size(now, instances));
        self.settle();
        self.wake.notify_one();
    }

    /// Says good-bye to the others.
    pub fn leave(&self) {
        self.turn(Membership::leave);
    }

    /// What the protocol and this side of it have counted.
    pub fn stats(&self) -> (Stats, Counts) {
        (self.core.borrow().stats(), self.counts.get())
    }

    /// The others by what is held of them.
    pub fn states(&self) -> [usize; 5] {
        let mut states = [0; 5];
        self.core.borrow().members().for_each(|m| states[m.state as usize] += 1);
        states
    }

    /// What an operator is told.
    pub fn status(&self) -> MembershipStatus {
        let core = self.core.borrow();
        let now = self.clock.now();
        let config = core.config();
        let (size, size_error) = core.size();
        let here = size.round() as u32;
        let ago = |at: bellcroft_balancer::Time| now.since(at).0 / 1000;
        MembershipStatus {
            cluster: config.cluster.clone(),
            number: config.number.0,
            listen: self.address().map(|address| address.to_string()).unwrap_or_default(),
            stance: core.quorum_state().as_str().to_owned(),
            reason: reason(core.quorum_state(), here, core.roster()),
            here,
            size_error,
            roster: core.roster(),
            reckoned: core.effective_size(now),
            doubt: core.local_health(),
            fleet: SeenStatus::of(core.fleet(now)),
            sites: core.sites().map(|(site, seen)| SiteStatus { site, seen: SeenStatus::of(seen) }).collect(),
            members: core
                .members()
                .map(|member| MemberStatus {
                    number: member.id.0,
                    state: member.state.as_str().to_owned(),
                    since_ms: ago(member.since),
                    by: member.reported_by.0,
                    address: member.address.to_string(),
                    site: member.site,
                    duty: format!("{:?}", member.role).to_lowercase(),
                    life: member.incarnation.epoch,
                    round: member.incarnation.counter,
                    answered_ms: member.last_ack.map(ago),
                })
                .collect(),
        }
    }

    /// One line a change.
    fn log(&self, change: &Change) {
        let name = &self.name;
        match change {
            Change::Member { id, from, to, reported_by: by, restarted: anew } => {
                let (id, by, from, to) = (id.0, by.0, from.as_str(), to.as_str());
                let anew = if *anew { ", started anew" } else { "" };
                info!(
                    target: "bellcroft::membership", member = id, from, to, by,
                    "{name}: member {id} is {to}{anew}"
                );
            }
            Change::Quorum { from, to, here, roster } => {
                let why = reason(*to, *here, *roster);
                let (from, to) = (from.as_str(), to.as_str());
                info!(target: "bellcroft::membership", from, to, here, roster, "{name}: stance is {to}: {why}");
            }
            Change::ResumedAfterStall(slept) => warn!(
                target: "bellcroft::membership", slept_ms = slept.ms(),
                "{name}: this process stood still for {:.1} s; it accuses nobody until it has heard the others",
                slept.ms() / 1e3
            ),
            Change::DuplicateIdentity => warn!(
                target: "bellcroft::membership",
                "{name}: another process speaks under this one's number; each needs its own"
            ),
            Change::AddressMismatch(id, address) => warn!(
                target: "bellcroft::membership", member = id.0, %address,
                "{name}: member {} is spoken for from {address}, which is not its address; that is not heard", id.0
            ),
        }
    }
}

/// Why a stance is what it is.
fn reason(stance: QuorumState, here: u32, roster: u32) -> String {
    let counts = format!("{here} of {roster} are here");
    match stance {
        QuorumState::Recovering => format!("just started, or stood still; {counts} by what it holds"),
        QuorumState::Isolated if roster <= 1 => "there is to be one".to_owned(),
        QuorumState::Isolated => format!("nobody else is heard, of {roster}"),
        QuorumState::Minority => format!("{counts}, half or less"),
        QuorumState::Majority => format!("{counts}, more than half, and a quarter or more is missing"),
        QuorumState::Degraded | QuorumState::Complete => counts,
    }
}
