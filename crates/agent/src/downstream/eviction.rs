//! Eviction of clients' connections at the connection limit: no new client waits behind clients that stay.
//!
//! Any connection without a complete request can be evicted. One without a request is closed; one in the middle of a request
//! gets a response first, since its client may be slow rather than stopped, and nothing of the request has been executed.

use super::connection::ClientConnection;
use super::{OpenConnection, Server};
use bellcroft_agent_core::guard::{ConnectionState, Guard};
use bellcroft_agent_core::memory_budget::FREE_BYTES;
use bellcroft_net::ACCEPT_BACKLOG;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;
use tracing::warn;

/// The age of a connection's state from which it is evicted while there are spare connections. Clients send a request right
/// after they connect, and mostly in one piece. A new client has a request now, an idle one may never send another.
pub(super) const EVICTION_AGE: Duration = Duration::from_millis(100);
/// The time in which a full accept queue is accepted while there are no spare connections: clients that come again at once take
/// turns on the connections that can be evicted, and the others wait behind them. Servers may be told no more than 0.15 s too
/// much, also where the kernel does not tell how long a request waited.
const ACCEPT_QUEUE_TIME: Duration = Duration::from_millis(100);
/// The resolution of the runtime's timers: a shorter age is none.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);
/// The interval of evictions while there are no spare connections.
pub(super) const URGENT_EVICTION_INTERVAL: Duration = Duration::from_millis(1);
/// The number of connections that are evicted at once while there are no spare ones: clients come faster than one by one.
pub(super) const URGENT_EVICTION_BATCH: usize = 16;
/// The time after its client's deadline from which a response counts as lost.
pub(super) const LATE_RESPONSE_ALLOWANCE: Duration = Duration::from_millis(500);
/// A client that reads no byte of its response for this long is not merely slow.
const UNREAD_RESPONSE_AGE: Duration = Duration::from_secs(1);
/// The minimum interval between two log lines about the connection limit.
const LIMIT_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Asks the task of a connection to evict it.
#[derive(Default)]
pub(super) struct EvictionSignal {
    notify: Notify,
    min_age: Cell<Duration>,
}

impl EvictionSignal {
    fn send(&self, min_age: Duration) {
        self.min_age.set(min_age);
        self.notify.notify_one();
    }

    /// Waits for the signal, and returns the minimum age that holds for it.
    pub(super) async fn received(&self) -> Duration {
        self.notify.notified().await;
        self.min_age.get()
    }
}

/// How a connection is evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Eviction {
    /// It is closed.
    Close,
    /// Its incomplete head gets a response.
    RefuseHead,
    /// Its request, whose body is incomplete, gets a response.
    RefuseBody,
}

/// The order in which connections are evicted, the ones that cost their clients least first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionCost {
    /// The response has been sent; only unneeded bytes are still read.
    Lingering,
    /// No request has been received.
    Unused,
    /// All requests have their responses.
    Idle,
    /// A request is incomplete.
    IncompleteRequest,
    /// The client has not read its response in time.
    UnreadResponse,
}

/// A connection that can be evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionRank {
    cost: EvictionCost,
    /// The time of the last progress; the connection with the earliest is evicted first.
    last_progress: Instant,
}

/// Open connections by what they do, for the log.
#[derive(Debug, Default)]
struct ConnectionCounts {
    unused: usize,
    receiving_head: usize,
    receiving_body: usize,
    pending: usize,
    idle: usize,
}

impl Server {
    /// Evicts up to `count` connections, if there are as many whose states are at least `min_age` old.
    pub(super) fn evict(&self, count: usize, min_age: Duration) {
        let connections = self.open_connections.borrow();
        let rank = |connection: &OpenConnection| eviction_rank(&connection.client, min_age);
        let mut candidates: Vec<(EvictionRank, &OpenConnection)> =
            connections.values().filter_map(|connection| Some((rank(connection)?, connection))).collect();
        candidates.sort_by_key(|(rank, _)| *rank);
        candidates.iter().take(count).for_each(|(_, connection)| connection.eviction.send(min_age));
    }

    /// Refuses the request of the client that has stopped within its body for longest, to free the memory of what it has sent;
    /// false if there is no such client.
    pub(super) fn refuse_stalled_body(&self) -> bool {
        let connections = self.open_connections.borrow();
        let is_stalled = |client: &&Rc<ClientConnection>| {
            client.incomplete_body().is_some_and(|buffered| buffered > FREE_BYTES)
                && client.body_deadline().is_some()
                && client.last_byte_at().elapsed() >= EVICTION_AGE
        };
        let clients = connections.values().map(|connection| &connection.client);
        let longest = clients.filter(is_stalled).min_by_key(|client| client.last_byte_at());
        longest.inspect(|client| client.refuse_request()).is_some()
    }

    /// The age of a connection's state from which it is evicted while there are no spare connections. The fewer can be evicted,
    /// the shorter it is, so that the accept queue does not take longer than [`ACCEPT_QUEUE_TIME`]. At any age, bytes that have
    /// arrived are read before a connection is evicted.
    pub(super) fn urgent_eviction_age(&self) -> Duration {
        let evictable = self.evictable_connections();
        let age = ACCEPT_QUEUE_TIME.mul_f64(evictable as f64 / f64::from(ACCEPT_BACKLOG));
        if age < TIMER_RESOLUTION {
            Duration::ZERO
        } else {
            age.min(EVICTION_AGE)
        }
    }

    /// The number of connections that can be evicted at their present age or later.
    fn evictable_connections(&self) -> usize {
        let is_evictable =
            |connection: &&OpenConnection| eviction_rank(&connection.client, Duration::ZERO).is_some();
        self.open_connections.borrow().values().filter(is_evictable).count()
    }

    /// Whether the connections that no eviction can free use up the connection limit. A further request is refused then, since
    /// its connection is needed for the next client. While the limit is reduced for a shortage, which may be over, none is.
    pub(super) fn is_saturated(&self) -> bool {
        if self.is_limit_reduced() {
            return false;
        }
        let (open, limit) = (self.connections(), self.max_connections());
        open > limit && open - self.evictable_connections() > limit
    }

    /// Logs what the open connections do, if the last such line is not too recent.
    pub(super) fn log_connection_limit(&self) {
        let is_due = self.limit_logged_at.get().is_none_or(|at| at.elapsed() >= LIMIT_LOG_INTERVAL);
        if !is_due {
            return;
        }
        self.limit_logged_at.set(Some(Instant::now()));
        let counts = self.connection_counts();
        warn!(
            limit = self.max_connections(),
            unused = counts.unused,
            receiving_head = counts.receiving_head,
            receiving_body = counts.receiving_body,
            pending = counts.pending,
            idle = counts.idle,
            "connection limit of clients reached"
        );
    }

    fn connection_counts(&self) -> ConnectionCounts {
        let mut counts = ConnectionCounts::default();
        for connection in self.open_connections.borrow().values() {
            match connection.client.state().0 {
                ConnectionState::Unused => counts.unused += 1,
                ConnectionState::ReceivingHead => counts.receiving_head += 1,
                ConnectionState::ReceivingBody => counts.receiving_body += 1,
                ConnectionState::Pending => counts.pending += 1,
                ConnectionState::Idle => counts.idle += 1,
            }
        }
        counts
    }
}

/// The rank of a connection among those that can be evicted; none if it cannot be, or its state is not `min_age` old.
fn eviction_rank(client: &ClientConnection, min_age: Duration) -> Option<EvictionRank> {
    if let Some(since) = client.lingering_since() {
        return Some(EvictionRank { cost: EvictionCost::Lingering, last_progress: since });
    }
    let (state, since) = client.state();
    if since.elapsed() < min_age {
        return None;
    }
    let (cost, last_progress) = match state {
        ConnectionState::Unused => (EvictionCost::Unused, since),
        ConnectionState::Idle => (EvictionCost::Idle, since),
        ConnectionState::ReceivingHead => (EvictionCost::IncompleteRequest, client.last_byte_at()),
        // A body that is not being read waits for its server, not for its client.
        ConnectionState::ReceivingBody => {
            client.body_deadline()?;
            (EvictionCost::IncompleteRequest, client.last_byte_at())
        }
        ConnectionState::Pending => (EvictionCost::UnreadResponse, unread_since(client)?),
    };
    Some(EvictionRank { cost, last_progress })
}

/// The time since which the client has not read its response, if that is so long that the response is lost; none otherwise.
fn unread_since(client: &ClientConnection) -> Option<Instant> {
    let since = client.write_stalled_since()?;
    let is_late = client.response_deadline().is_some_and(|at| at.elapsed() >= LATE_RESPONSE_ALLOWANCE);
    (is_late && since.elapsed() >= UNREAD_RESPONSE_AGE).then_some(since)
}

/// How a connection is evicted; none if it cannot be, or its state is not `min_age` old.
pub(super) fn eviction(client: &ClientConnection, min_age: Duration) -> Option<Eviction> {
    eviction_rank(client, min_age)?;
    if client.lingering_since().is_some() {
        return Some(Eviction::Close);
    }
    Some(match client.state().0 {
        ConnectionState::ReceivingHead => Eviction::RefuseHead,
        ConnectionState::ReceivingBody => Eviction::RefuseBody,
        ConnectionState::Unused | ConnectionState::Idle | ConnectionState::Pending => Eviction::Close,
    })
}

/// Whether a request may have arrived on a connection that counts as unused or idle: its bytes are in the kernel.
pub(super) fn has_unread_request(client: &ClientConnection, unread_bytes: usize) -> bool {
    unread_bytes > 0 && client.lingering_since().is_none() && Guard::may_close(client.state().0)
}
