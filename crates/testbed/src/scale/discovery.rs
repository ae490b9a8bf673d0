//! Discovery for many agents: each has a listener of its own, so that calls are counted by whom they come from.

use super::switch::agent_address;
use crate::http::{ok, read_message};
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Second octet of the listeners' addresses.
pub const DISCOVERY_NETWORK: u8 = 65;
/// A call that names no wait is answered at once; one that names a longer one than this is held so long.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// What one listener has counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls.
    pub calls: u64,
    /// Bytes of calls and of answers.
    pub bytes: u64,
    /// Connections.
    pub connections: u64,
}

#[derive(Default)]
struct Listener {
    calls: AtomicU64,
    bytes: AtomicU64,
    connections: AtomicU64,
    /// The highest version that a watch has named, and when it first did.
    acknowledged: Mutex<Option<(u64, Instant)>>,
    /// When the latest connection came.
    connected: Mutex<Option<Instant>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The list as it stands, as the text of its answers.
struct Snapshot {
    version: u64,
    full: String,
    /// What the latest version changed.
    delta: String,
}

/// Discovery for many agents; dropping it ends it.
pub struct EndpointService {
    addresses: Vec<SocketAddr>,
    listeners: Arc<Vec<Listener>>,
    snapshot: watch::Sender<Arc<Snapshot>>,
    _tasks: JoinSet<()>,
}

impl EndpointService {
    /// Opens a listener for each agent; the list has version 1.
    ///
    /// # Errors
    ///
    /// The kernel has no socket left.
    pub async fn start(agents: usize, hosts: &[Value]) -> io::Result<Self> {
        let full = json!({"seq": 1, "whole": true, "hosts": hosts}).to_string();
        let snapshot = watch::Sender::new(Arc::new(Snapshot { version: 1, delta: full.clone(), full }));
        let listeners: Arc<Vec<Listener>> = Arc::new((0..agents).map(|_| Listener::default()).collect());
        let (mut addresses, mut tasks) = (Vec::with_capacity(agents), JoinSet::new());
        for agent in 0..agents {
            let socket = TcpListener::bind((agent_address(DISCOVERY_NETWORK, agent), 0)).await?;
            addresses.push(socket.local_addr()?);
            tasks.spawn(accept(socket, agent, listeners.clone(), snapshot.subscribe()));
        }
        Ok(EndpointService { addresses, listeners, snapshot, _tasks: tasks })
    }

    /// Where an agent is to ask.
    pub fn address(&self, agent: usize) -> SocketAddr {
        self.addresses[agent]
    }

    /// The list's version.
    pub fn version(&self) -> u64 {
        self.snapshot.borrow().version
    }

    /// From now on the list is this one, of which `changed` is new; gives its version.
    pub fn publish(&self, hosts: &[Value], changed: &[Value]) -> u64 {
        let version = self.version() + 1;
        let full = json!({"seq": version, "whole": true, "hosts": hosts}).to_string();
        let delta = json!({"seq": version, "whole": false, "hosts": changed}).to_string();
        self.snapshot.send_replace(Arc::new(Snapshot { version, full, delta }));
        version
    }

    /// What an agent's listener has counted.
    pub fn counts(&self, agent: usize) -> CallCounts {
        let listener = &self.listeners[agent];
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        CallCounts {
            calls: read(&listener.calls),
            bytes: read(&listener.bytes),
            connections: read(&listener.connections),
        }
    }

    /// When an agent first asked for what is newer than this version: it acts by the version then. Its client takes a list
    /// in before it asks on.
    pub fn acknowledged(&self, agent: usize, version: u64) -> Option<Instant> {
        let (known, at) = (*lock(&self.listeners[agent].acknowledged))?;
        (known >= version).then_some(at)
    }

    /// When the latest connection came to an agent's listener, if after this moment.
    pub fn connected_since(&self, agent: usize, since: Instant) -> Option<Instant> {
        (*lock(&self.listeners[agent].connected)).filter(|at| *at >= since)
    }
}

async fn accept(
    socket: TcpListener,
    agent: usize,
    listeners: Arc<Vec<Listener>>,
    snapshot: watch::Receiver<Arc<Snapshot>>,
) {
    // Connections end with their listener.
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = socket.accept().await {
        listeners[agent].connections.fetch_add(1, Ordering::Relaxed);
        *lock(&listeners[agent].connected) = Some(Instant::now());
        connections.spawn(serve(stream, agent, listeners.clone(), snapshot.clone()));
        while connections.try_join_next().is_some() {}
    }
}

async fn serve(
    mut stream: TcpStream,
    agent: usize,
    listeners: Arc<Vec<Listener>>,
    mut snapshot: watch::Receiver<Arc<Snapshot>>,
) {
    let listener = &listeners[agent];
    let _ = stream.set_nodelay(true);
    while let Some(message) = read_message(&mut stream, 0).await {
        listener.calls.fetch_add(1, Ordering::Relaxed);
        let received = message.head.len() + message.body.len();
        listener.bytes.fetch_add(received as u64, Ordering::Relaxed);
        let after = parameter(message.target(), "after");
        if let Some(version) = after {
            listener.acknowledge(version);
        }
        let body = answer(&mut snapshot, after, parameter(message.target(), "wait_ms")).await;
        let reply = ok(&body);
        listener.bytes.fetch_add(reply.len() as u64, Ordering::Relaxed);
        if stream.write_all(&reply).await.is_err() {
            return;
        }
    }
}

impl Listener {
    fn acknowledge(&self, version: u64) {
        let mut acknowledged = lock(&self.acknowledged);
        if acknowledged.is_none_or(|(known, _)| version > known) {
            *acknowledged = Some((version, Instant::now()));
        }
    }
}

/// The answer to a watch when there is something newer or its wait is over, and to any other call at once.
async fn answer(
    snapshot: &mut watch::Receiver<Arc<Snapshot>>,
    after: Option<u64>,
    wait_ms: Option<u64>,
) -> String {
    let Some(after) = after else { return snapshot.borrow().full.clone() };
    let wait = Duration::from_millis(wait_ms.unwrap_or(0)).min(MAX_WAIT);
    match timeout(wait, snapshot.wait_for(|list| list.version > after)).await {
        Ok(Ok(newer)) if newer.version == after + 1 => newer.delta.clone(),
        Ok(Ok(newer)) => newer.full.clone(),
        Ok(Err(_)) | Err(_) => json!({"seq": after, "whole": false, "hosts": []}).to_string(),
    }
}

fn parameter(target: &str, name: &str) -> Option<u64> {
    let (_, query) = target.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}
