//! Group membership over UDP: runs the [`bellcroft_membership`] state machine on a socket and a clock.
//!
//! No request waits for a peer: a datagram that the kernel does not accept at once is dropped and counted.

mod change_log;
mod hints;
pub mod status;

use crate::clock::Clock;
use bellcroft_balancer::{FleetState, PeerId, Signal, Time};
use bellcroft_membership::{Config, Digest, Id, Membership, Output, PeerReports, ReportVerdict, Stats};
use bellcroft_net::DatagramSocket;
use status::MembershipStatus;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::sleep_until;

/// Bytes of the receive buffer. Longer than any valid datagram: a truncated one is still rejected for its length.
const RECEIVE_BUFFER_BYTES: usize = 512;
/// Pause after a failed receive, so that a persistent failure does not spin.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);

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

/// The membership of this instance, with its socket.
pub struct Peers {
    /// The instance's name, for log lines.
    name: String,
    membership: RefCell<Membership>,
    reports: RefCell<PeerReports>,
    socket: DatagramSocket,
    clock: Clock,
    decisions: Weak<dyn Decisions>,
    counts: Cell<Counts>,
    /// The effective size that the decisions were given last.
    effective_size: Cell<u32>,
    /// Wakes the task when a deadline may have come closer from outside of it.
    deadline_changed: tokio::sync::Notify,
}

impl Peers {
    /// Binds the socket and starts the task that runs the protocol.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn start(
        (listen, config): (SocketAddr, Config),
        (name, seed): (&str, u64),
        clock: Clock,
        decisions: Weak<dyn Decisions>,
    ) -> io::Result<Rc<Self>> {
        let socket = DatagramSocket::bind(listen).await?;
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let membership = Membership::new(config, clock.now(), unix_time.as_millis() as u64, seed);
        let peers = Rc::new(Peers {
            name: name.to_owned(),
            membership: RefCell::new(membership),
            reports: RefCell::default(),
            socket,
            clock,
            decisions,
            counts: Cell::default(),
            effective_size: Cell::new(0),
            deadline_changed: tokio::sync::Notify::new(),
        });
        peers.update_effective_size();
        tokio::task::spawn_local(peers.clone().run());
        Ok(peers)
    }

    /// The address that the socket is bound to.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    async fn run(self: Rc<Self>) {
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        loop {
            let deadline = self.clock.instant(self.membership.borrow().next());
            tokio::select! {
                received = self.socket.receive(&mut buffer) => match received {
                    Ok((length, from)) => {
                        self.process(|membership, now, out| {
                            membership.receive(now, from, &buffer[..length], out);
                        });
                    }
                    Err(_) => tokio::time::sleep(RECEIVE_RETRY_DELAY).await,
                },
                () = sleep_until(deadline) => {}
                () = self.deadline_changed.notified() => {}
            }
            // Checked after a datagram too: a flood of datagrams must not delay probes and suspicions.
            if self.clock.now() >= self.membership.borrow().next() {
                self.process(Membership::tick);
            }
            self.update_effective_size();
        }
    }

    /// Runs one step of the protocol, then carries out its outputs. The membership is not borrowed meanwhile, as the decisions
    /// may answer a hint by sending one.
    fn process(&self, step: impl FnOnce(&mut Membership, Time, &mut Vec<Output>)) {
        let mut outputs = Vec::new();
        let now = self.clock.now();
        step(&mut self.membership.borrow_mut(), now, &mut outputs);
        for output in outputs {
            match output {
                Output::Send(to, bytes) => self.send(to, &bytes),
                Output::Change(change) => change_log::write(&self.name, &change),
                Output::Hint(from, payload) => self.on_hint(from, &payload),
                Output::Fleet(state) => {
                    if let Some(decisions) = self.decisions.upgrade() {
                        decisions.fleet(state);
                    }
                }
            }
        }
    }

    fn send(&self, to: SocketAddr, bytes: &[u8]) {
        if self.socket.send_now(bytes, to).is_err() {
            self.count(|counts| counts.unsent += 1);
        }
    }

    /// Passes a changed effective size to the decisions. Not called from within a decision, which has its state borrowed: from
    /// there only [`Peers::process`] runs.
    fn update_effective_size(&self) {
        let size = self.membership.borrow().effective_size(self.clock.now());
        if self.effective_size.replace(size) != size {
            if let Some(decisions) = self.decisions.upgrade() {
                decisions.reckon(size);
            }
        }
    }

    fn count(&self, change: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    fn on_hint(&self, from: Id, payload: &[u8]) {
        let Some(decisions) = self.decisions.upgrade() else { return };
        // Another encoding, perhaps of a newer version: ignored.
        let Some(server) = hints::decode(payload) else { return };
        let listed = decisions.servers();
        let verdict = self.reports.borrow_mut().on_report(self.clock.now(), from, payload, listed);
        self.count(|counts| counts.heard[verdict as usize] += 1);
        if matches!(verdict, ReportVerdict::Accepted | ReportVerdict::Unconfirmed) {
            decisions.hint(PeerId(from.0), server, verdict == ReportVerdict::Unconfirmed);
        }
    }

    /// Sends a hint about the server of this name to a peer's decisions, if the peer is reachable.
    pub fn send_hint(&self, to: PeerId, name: &str) {
        let payload = hints::encode(name_hash(name));
        let mut sent = false;
        self.process(|membership, now, out| sent = membership.send_hint(now, Id(to.0), payload, out));
        self.count(|counts| if sent { counts.told.0 += 1 } else { counts.told.1 += 1 });
    }

    /// Records the signals of this instance's decisions in the digest.
    pub fn record_responses(&self, signals: impl ExactSizeIterator<Item = Signal>) {
        // Most events have none.
        if signals.len() == 0 {
            return;
        }
        self.record(|digest, now, _| {
            signals.for_each(|signal| {
                digest.record_response(now, signal.zone.0 as u8, signal.latency, signal.load);
            });
        });
    }

    /// Records a request that this instance received.
    pub fn on_request_received(&self) {
        self.record(Digest::record_request);
    }

    /// Records that one of those was rejected.
    pub fn on_request_rejected(&self) {
        self.record(Digest::record_rejection);
    }

    fn record(&self, record: impl FnOnce(&mut Digest, Time, u8)) {
        let mut membership = self.membership.borrow_mut();
        let (now, site) = (self.clock.now(), membership.config().site);
        // An empty digest has no exchange deadline, so the task has to learn of the first record.
        let was_empty = membership.digest().is_empty();
        record(membership.digest(), now, site);
        if was_empty && !membership.digest().is_empty() {
            self.deadline_changed.notify_one();
        }
    }

    /// Sets the expected number of instances.
    pub fn set_expected_size(&self, instances: u32) {
        self.process(|membership, now, _| membership.set_expected_size(now, instances));
        self.update_effective_size();
        self.deadline_changed.notify_one();
    }

    /// Notifies the other members that this instance leaves.
    pub fn leave(&self) {
        self.process(Membership::leave);
    }

    /// The counters of the protocol, and those of this module.
    pub fn stats(&self) -> (Stats, Counts) {
        (self.membership.borrow().stats(), self.counts.get())
    }

    /// The number of other members in each [`bellcroft_membership::State`].
    pub fn states(&self) -> [usize; 5] {
        let mut states = [0; 5];
        self.membership.borrow().members().for_each(|member| states[member.state as usize] += 1);
        states
    }

    /// The status for operators.
    pub fn status(&self) -> MembershipStatus {
        let listen = self.address().map(|address| address.to_string()).unwrap_or_default();
        MembershipStatus::new(&self.membership.borrow(), self.clock.now(), listen)
    }
}
