//! Group membership over UDP: runs the [`bellcroft_membership`] state machine on a socket and a clock.
//!
//! No request waits for a peer: a datagram that the kernel does not accept immediately is discarded and counted.

mod change_log;
mod hints;
pub mod status;

use crate::clock::Clock;
use bellcroft_balancer::{FleetState, PeerId, ResponseSample, Time};
use bellcroft_membership::{Config, Digest, Id, Membership, Output, PeerReports, ReportVerdict, Stats};
use bellcroft_net::DatagramSocket;
use status::MembershipStatus;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::sleep_until;

/// Size of the receive buffer. It exceeds the longest valid datagram, so that a datagram that is truncated to it is
/// still rejected for its length.
const RECEIVE_BUFFER_BYTES: usize = 512;
/// Delay after a failed receive, which prevents a busy loop on a persistent error.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);

pub use hints::name_hash;

/// Receives hints and fleet state from other members. Both are advice for this instance's decisions.
pub trait PeerEventHandler {
    /// The number of servers that are listed as up. It limits how many servers may count as reported.
    fn listed_servers(&self) -> usize;
    /// Called when a peer reports the server with this [`name_hash`]; `unconfirmed` if no other peer has reported it.
    fn on_hint(self: Rc<Self>, from: PeerId, server: u64, unconfirmed: bool);
    /// Called with the new state when the state of the fleet's servers has changed.
    fn on_fleet_state(self: Rc<Self>, state: FleetState);
    /// Called when the number of instances that share the limits of the fleet has changed.
    fn on_fleet_size(&self, instances: u32);
}

/// Counters of sent datagrams and of hints, in addition to the counters of the protocol.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerCounters {
    /// Datagrams that the kernel did not accept.
    pub unsent_datagrams: u64,
    /// Hints that were sent.
    pub hints_sent: u64,
    /// Hints that were discarded because the receiver was not reachable.
    pub hints_undelivered: u64,
    /// Received hints, indexed by [`ReportVerdict`].
    pub hint_verdicts: [u64; 4],
}

/// Configuration for [`Peers::start`].
#[derive(Debug)]
pub struct PeersConfig {
    /// The instance's name, for log lines.
    pub instance: String,
    /// The address to which the socket is bound.
    pub listen: SocketAddr,
    /// The protocol's configuration.
    pub membership: Config,
    /// The seed of the protocol's random number generator.
    pub seed: u64,
}

/// The membership of this instance, with its socket.
pub struct Peers {
    /// The instance's name, for log lines.
    instance: String,
    membership: RefCell<Membership>,
    reports: RefCell<PeerReports>,
    socket: DatagramSocket,
    clock: Clock,
    handler: Weak<dyn PeerEventHandler>,
    counters: Cell<PeerCounters>,
    /// The last effective size that was passed to the handler.
    effective_size: Cell<u32>,
    /// Wakes the task when a call from elsewhere may have made the next deadline earlier.
    deadline_changed: tokio::sync::Notify,
}

impl Peers {
    /// Binds the socket and starts the task that runs the protocol.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn start(
        config: PeersConfig,
        clock: Clock,
        handler: Weak<dyn PeerEventHandler>,
    ) -> io::Result<Rc<Self>> {
        let PeersConfig { instance, listen, membership, seed } = config;
        let socket = DatagramSocket::bind(listen).await?;
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let epoch = unix_time.as_millis() as u64;
        let membership = Membership::new(membership, clock.now(), epoch, seed);
        let peers = Rc::new(Peers {
            instance,
            membership: RefCell::new(membership),
            reports: RefCell::default(),
            socket,
            clock,
            handler,
            counters: Cell::default(),
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
            let deadline = self.clock.instant(self.membership.borrow().next_deadline());
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
            if self.clock.now() >= self.membership.borrow().next_deadline() {
                self.process(Membership::tick);
            }
            self.update_effective_size();
        }
    }

    /// Runs one step of the protocol, then carries out its outputs. The membership is not borrowed during the second
    /// part, since the handler may send a hint in response to an output.
    fn process(&self, step: impl FnOnce(&mut Membership, Time, &mut Vec<Output>)) {
        let mut outputs = Vec::new();
        let now = self.clock.now();
        step(&mut self.membership.borrow_mut(), now, &mut outputs);
        for output in outputs {
            match output {
                Output::Send(to, bytes) => self.send(to, &bytes),
                Output::Change(change) => change_log::log_change(&self.instance, &change),
                Output::Hint(from, payload) => self.on_hint(from, &payload),
                Output::Fleet(state) => {
                    if let Some(handler) = self.handler.upgrade() {
                        handler.on_fleet_state(state);
                    }
                }
            }
        }
    }

    fn send(&self, to: SocketAddr, bytes: &[u8]) {
        if self.socket.send_now(bytes, to).is_err() {
            self.count(|counters| counters.unsent_datagrams += 1);
        }
    }

    /// Passes a changed effective size to the handler. Must not be called while the driver handles an event, since the
    /// driver's state is borrowed then; hints that the driver sends in that time use only [`Peers::process`].
    fn update_effective_size(&self) {
        let size = self.membership.borrow().effective_size(self.clock.now());
        if self.effective_size.replace(size) != size {
            if let Some(handler) = self.handler.upgrade() {
                handler.on_fleet_size(size);
            }
        }
    }

    fn count(&self, change: impl FnOnce(&mut PeerCounters)) {
        let mut counters = self.counters.get();
        change(&mut counters);
        self.counters.set(counters);
    }

    fn on_hint(&self, from: Id, payload: &[u8]) {
        let Some(handler) = self.handler.upgrade() else { return };
        // A payload of another length is ignored: it may come from a newer version.
        let Some(server) = hints::decode(payload) else { return };
        let listed = handler.listed_servers();
        let verdict = self.reports.borrow_mut().on_report(self.clock.now(), from, payload, listed);
        self.count(|counters| counters.hint_verdicts[verdict as usize] += 1);
        if matches!(verdict, ReportVerdict::Accepted | ReportVerdict::Unconfirmed) {
            handler.on_hint(PeerId(from.0), server, verdict == ReportVerdict::Unconfirmed);
        }
    }

    /// Sends a peer a hint about the server with this name, if the peer is reachable.
    pub fn send_hint(&self, to: PeerId, name: &str) {
        let payload = hints::encode(name_hash(name));
        let mut sent = false;
        self.process(|membership, now, out| sent = membership.send_hint(now, Id(to.0), payload, out));
        self.count(|counters| {
            let counter = if sent { &mut counters.hints_sent } else { &mut counters.hints_undelivered };
            *counter += 1;
        });
    }

    /// Records the response samples of this instance's balancer in the digest.
    pub fn record_responses(&self, samples: impl ExactSizeIterator<Item = ResponseSample>) {
        // Most events have no samples.
        if samples.len() == 0 {
            return;
        }
        self.record(|digest, now, _| {
            samples.for_each(|sample| {
                digest.record_response(now, sample.zone.0 as u8, sample.latency, sample.load);
            });
        });
    }

    /// Records a received request in the digest.
    pub fn on_request_received(&self) {
        self.record(Digest::record_request);
    }

    /// Records in the digest that a received request was shed.
    pub fn on_request_shed(&self) {
        self.record(Digest::record_rejection);
    }

    fn record(&self, record: impl FnOnce(&mut Digest, Time, u8)) {
        let mut membership = self.membership.borrow_mut();
        let (now, site) = (self.clock.now(), membership.config().site);
        // An empty digest has no exchange deadline, so the task has to be woken for the first record.
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

    /// The counters of the protocol and of this module.
    pub fn stats(&self) -> (Stats, PeerCounters) {
        (self.membership.borrow().stats(), self.counters.get())
    }

    /// The number of other members by [`bellcroft_membership::State`].
    pub fn states(&self) -> [usize; 5] {
        let mut states = [0; 5];
        self.membership.borrow().members().for_each(|member| states[member.state as usize] += 1);
        states
    }

    /// The membership part of `status.json`.
    pub fn status(&self) -> MembershipStatus {
        let listen = self.address().map(|address| address.to_string()).unwrap_or_default();
        MembershipStatus::new(&self.membership.borrow(), self.clock.now(), listen)
    }
}
