//! The switch between all agents: each has one port here, by which the others know it.
//!
//! An agent sends to another one's port from its own socket. The switch knows the sender by its address, counts, and
//! passes the datagram on from the sender's port, so that the receiver sees it come from where its roster says.

use super::observer::Observer;
use super::DatagramTotals;
use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;

/// Longer than any datagram of the membership.
const BUFFER_BYTES: usize = 2_048;
/// Second octet of the ports' addresses.
pub const PORT_NETWORK: u8 = 64;
/// Second octet of the agents' own addresses.
pub const AGENT_NETWORK: u8 = 66;

/// The loopback address of an agent in one of the networks `127.N.0.0/16`.
pub fn agent_address(network: u8, agent: usize) -> Ipv4Addr {
    // No address ends in 0: some tools take that for a network.
    Ipv4Addr::new(127, network, (agent / 200) as u8, 1 + (agent % 200) as u8)
}

/// Datagrams and payload bytes of one agent, since the start.
#[derive(Debug, Default)]
pub struct AgentTraffic {
    datagrams_out: AtomicU64,
    bytes_out: AtomicU64,
    datagrams_in: AtomicU64,
    bytes_in: AtomicU64,
}

/// The same at a moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TrafficCounts {
    /// Datagrams that it sent.
    pub datagrams_out: u64,
    /// Their bytes.
    pub bytes_out: u64,
    /// Datagrams that were passed on to it.
    pub datagrams_in: u64,
    /// Their bytes.
    pub bytes_in: u64,
}

impl AgentTraffic {
    fn counts(&self) -> TrafficCounts {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        TrafficCounts {
            datagrams_out: read(&self.datagrams_out),
            bytes_out: read(&self.bytes_out),
            datagrams_in: read(&self.datagrams_in),
            bytes_in: read(&self.bytes_in),
        }
    }
}

#[derive(Default)]
struct Totals {
    received: AtomicU64,
    delivered: AtomicU64,
    lost: AtomicU64,
    unsent: AtomicU64,
    unknown: AtomicU64,
}

struct Shared {
    ports: Vec<UdpSocket>,
    agents: Vec<SocketAddr>,
    senders: HashMap<SocketAddr, usize>,
    traffic: Vec<AgentTraffic>,
    totals: Totals,
    loss: f64,
    observer: Arc<Observer>,
}

/// The switch; dropping it ends it.
pub struct DatagramSwitch {
    shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

impl DatagramSwitch {
    /// Opens a port for each agent, and picks the address that each agent is to listen on.
    ///
    /// # Errors
    ///
    /// The kernel has no socket left.
    pub async fn start(agents: usize, loss: f64, seed: u64, observer: Arc<Observer>) -> io::Result<Self> {
        let mut ports = Vec::with_capacity(agents);
        let mut homes = Vec::with_capacity(agents);
        for agent in 0..agents {
            ports.push(UdpSocket::bind((agent_address(PORT_NETWORK, agent), 0)).await?);
            // Nobody else has this address, so its port stays free until the agent takes it.
            let free = std::net::UdpSocket::bind((agent_address(AGENT_NETWORK, agent), 0))?;
            homes.push(free.local_addr()?);
        }
        let senders = homes.iter().enumerate().map(|(agent, home)| (*home, agent)).collect();
        let traffic = (0..agents).map(|_| AgentTraffic::default()).collect();
        let totals = Totals::default();
        let shared = Arc::new(Shared { ports, agents: homes, senders, traffic, totals, loss, observer });
        let mut tasks = JoinSet::new();
        for port in 0..agents {
            let random = fastrand::Rng::with_seed(seed ^ (port as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15));
            tasks.spawn(pass_on(shared.clone(), port, random));
        }
        Ok(DatagramSwitch { shared, _tasks: tasks })
    }

    /// Where the others send what is for an agent.
    ///
    /// # Errors
    ///
    /// The socket has lost its address.
    pub fn port(&self, agent: usize) -> io::Result<SocketAddr> {
        self.shared.ports[agent].local_addr()
    }

    /// Where an agent is to listen.
    pub fn home(&self, agent: usize) -> SocketAddr {
        self.shared.agents[agent]
    }

    /// What an agent has sent and received.
    pub fn traffic(&self, agent: usize) -> TrafficCounts {
        self.shared.traffic[agent].counts()
    }

    /// What became of all datagrams.
    pub fn totals(&self) -> DatagramTotals {
        let totals = &self.shared.totals;
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        DatagramTotals {
            delivered: read(&totals.delivered),
            lost: read(&totals.lost),
            unsent: read(&totals.unsent),
            unknown: read(&totals.unknown),
            received: read(&totals.received),
        }
    }
}

async fn pass_on(shared: Arc<Shared>, port: usize, mut random: fastrand::Rng) {
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        // An error here is of a datagram that this port sent earlier, to a socket that is gone.
        let Ok((length, source)) = shared.ports[port].recv_from(&mut buffer).await else { continue };
        shared.pass(port, source, &buffer[..length], &mut random);
    }
}

impl Shared {
    fn pass(&self, to: usize, source: SocketAddr, bytes: &[u8], random: &mut fastrand::Rng) {
        let add = |counter: &AtomicU64, amount: u64| counter.fetch_add(amount, Ordering::Relaxed);
        let length = bytes.len() as u64;
        add(&self.totals.received, 1);
        let Some(&from) = self.senders.get(&source) else {
            add(&self.totals.unknown, 1);
            return;
        };
        add(&self.traffic[from].datagrams_out, 1);
        add(&self.traffic[from].bytes_out, length);
        self.observer.observe(from, bytes);
        if self.loss > 0.0 && random.f64() < self.loss {
            add(&self.totals.lost, 1);
            return;
        }
        if self.ports[from].try_send_to(bytes, self.agents[to]).is_err() {
            add(&self.totals.unsent, 1);
            return;
        }
        add(&self.totals.delivered, 1);
        add(&self.traffic[to].datagrams_in, 1);
        add(&self.traffic[to].bytes_in, length);
    }
}
