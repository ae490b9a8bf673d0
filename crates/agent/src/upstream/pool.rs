//! The pool of connections to all servers.

use super::connection::{Connection, ConnectionPermit, ServerProcess};
use super::idle::{IdleConnection, IdleConnections};
use crate::discovery::codec::{EndpointRecord, Health};
use bellcroft_balancer::{Outcome, ServerId};
use bellcroft_net::ConnectError;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep_until, timeout, Instant};
use tracing::debug;

/// The share of the keep-alive time in the settings after which an idle connection is closed. If a server closed it while a
/// request is on its way, the attempt would be reset, and it would be unknown whether the request was executed.
const IDLE_TIMEOUT_SHARE: f64 = 0.7;
/// The longest time for a connection to become ready again after a complete response. A connection that takes longer is
/// faulty.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(5);
/// The time for which a connection is not used after a response (reuse delay). A server may send a second response to a
/// request, 1.0 to 3.4 ms after the first. If it were read after the next request was sent, it could be mistaken for
/// the response to that request, and would be served to another client. Bytes that arrive during the delay close the
/// connection.
const REUSE_DELAY: Duration = Duration::from_millis(8);
/// The number of resting connections to a server (those that wait for their reuse delay) from which no new one is
/// opened. If fewer are resting, an attempt that finds no ready connection opens a new one. If as many are resting, the
/// attempt waits for the first of them, which is ready about one millisecond later.
const MAX_RESTING: usize = 8;

/// A connection that is acquired in a task of its own.
type PendingConnection = oneshot::Receiver<Result<Connection, Outcome>>;

/// Whether a new connection may be opened while others wait for their reuse delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpareConnections {
    /// A new connection may be opened if fewer than [`MAX_RESTING`] connections wait.
    Allowed,
    /// No new connection may be opened; the caller can wait for one of the others.
    Forbidden,
}

/// A server as last described by the endpoint list, and the idle connections to it.
struct ServerEntry {
    address: Option<SocketAddr>,
    born_ms: f64,
    /// Identifies the server's present process and address; connections of earlier generations are not reused.
    generation: u64,
    serving: bool,
    idle: IdleConnections,
}

/// The connections to all servers.
pub struct ConnectionPool {
    servers: RefCell<HashMap<ServerId, ServerEntry>>,
    /// The last assigned generation. Generations are unique among all servers: otherwise a connection to an earlier process
    /// could be mistaken for one to a later process.
    last_generation: Cell<u64>,
    open_connections: Rc<Cell<usize>>,
    max_connections: Cell<usize>,
    /// The number of attempts that were written completely.
    written_attempts: Rc<Cell<u64>>,
    connect_timeout: Cell<Duration>,
    idle_timeout: Cell<Duration>,
}

impl ConnectionPool {
    /// A pool without servers, limited to `max_connections` open connections.
    pub fn new(max_connections: usize, connect_timeout: Duration, keepalive: Duration) -> Self {
        ConnectionPool {
            servers: RefCell::default(),
            last_generation: Cell::new(0),
            open_connections: Rc::default(),
            max_connections: Cell::new(max_connections),
            written_attempts: Rc::default(),
            connect_timeout: Cell::new(connect_timeout),
            idle_timeout: Cell::new(keepalive.mul_f64(IDLE_TIMEOUT_SHARE)),
        }
    }

    /// Applies new settings.
    pub fn reconfigure(&self, connect_timeout: Duration, keepalive: Duration) {
        self.connect_timeout.set(connect_timeout);
        self.idle_timeout.set(keepalive.mul_f64(IDLE_TIMEOUT_SHARE));
    }

    /// The number of open connections, and its limit.
    pub fn connections(&self) -> (usize, usize) {
        (self.open_connections.get(), self.max_connections.get())
    }

    /// Sets the limit of open connections; attempts in flight above it continue.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
        while self.open_connections.get() > max_connections && self.evict_oldest_idle() {}
    }

    /// The number of attempts that were written completely.
    pub fn written_attempts(&self) -> u64 {
        self.written_attempts.get()
    }

    /// Counts a completely written attempt whose length was unknown while it was written.
    pub fn count_written_attempt(&self) {
        self.written_attempts.set(self.written_attempts.get() + 1);
    }

    /// Closes the connections that have been idle for longer than the idle timeout.
    pub fn close_expired_idle(&self) {
        let idle_timeout = self.idle_timeout.get();
        self.servers.borrow_mut().values_mut().for_each(|entry| entry.idle.close_expired(idle_timeout));
    }
}

/// Changes by the endpoint list.
impl ConnectionPool {
    /// Applies an entry of the endpoint list. A new address or process of a server needs new connections; the idle
    /// connections to a draining server are closed, and a removed server is forgotten. Attempts in flight continue.
    pub fn update_endpoint(&self, server: ServerId, endpoint: &EndpointRecord) {
        if endpoint.health == Health::Removed {
            return self.remove_server(server);
        }
        let mut servers = self.servers.borrow_mut();
        let entry = servers.entry(server).or_insert_with(|| ServerEntry {
            address: endpoint.address,
            born_ms: endpoint.started_unix_ms,
            generation: 0,
            serving: true,
            idle: IdleConnections::default(),
        });
        let moved = endpoint.address.filter(|address| entry.address != Some(*address));
        if entry.generation == 0 || moved.is_some() || endpoint.started_unix_ms != entry.born_ms {
            entry.generation = self.next_generation();
            entry.idle.clear();
            entry.born_ms = endpoint.started_unix_ms;
        }
        entry.address = moved.or(entry.address);
        entry.serving = endpoint.health == Health::Up;
        if !entry.serving {
            entry.idle.clear();
        }
    }

    /// Removes the servers that a snapshot no longer lists.
    pub fn retain_listed(&self, is_listed: impl Fn(ServerId) -> bool) {
        let is_absent = |server: &ServerId| !is_listed(*server);
        let removed: Vec<ServerId> = self.servers.borrow().keys().copied().filter(is_absent).collect();
        removed.into_iter().for_each(|server| self.remove_server(server));
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: ServerId) {
        if let Some(entry) = self.servers.borrow_mut().get_mut(&server) {
            entry.idle.clear();
        }
    }

    /// A new generation.
    fn next_generation(&self) -> u64 {
        self.last_generation.set(self.last_generation.get() + 1);
        self.last_generation.get()
    }

    fn remove_server(&self, server: ServerId) {
        self.servers.borrow_mut().remove(&server);
    }
}

/// Acquiring and releasing connections.
impl ConnectionPool {
    /// Returns the most recently used connection that is reusable. If there is none, but one will be reusable before the
    /// deadline, waits for that one and, if `spare` allows it, also opens a new one, and returns the one that is ready first.
    /// Otherwise opens a new connection.
    pub async fn acquire(
        self: &Rc<Self>,
        server: ServerId,
        deadline: Instant,
        spare: SpareConnections,
    ) -> Result<Connection, Outcome> {
        loop {
            let (resting, count) = match self.take_idle(server, deadline)? {
                IdleConnection::Ready(connection) => return Ok(connection),
                IdleConnection::Resting(connection, count) => (connection, count),
                IdleConnection::None => {
                    let opened = self.open(server)?.await.unwrap_or(Err(Outcome::ConnectFailed))?;
                    if self.is_current(&opened) {
                        return Ok(opened);
                    }
                    continue;
                }
            };
            // The new connection may not be needed, so no other server's idle connection is evicted for it.
            let below_limit = self.open_connections.get() < self.max_connections.get();
            let may_open = spare == SpareConnections::Allowed && count < MAX_RESTING && below_limit;
            let opening = if may_open { self.open(server).ok() } else { None };
            // In a task of its own, so that neither connection is lost if the attempt is cancelled meanwhile.
            let first = self.spawn_acquisition(self.clone().first_ready(resting, opening));
            if let Ok(Ok(connection)) = first.await {
                if self.is_current(&connection) {
                    return Ok(connection);
                }
            }
        }
    }

    /// Returns a connection to the pool after a complete response. If further bytes arrive on it, hyper closes it instead of
    /// making it ready. The response is valid nevertheless, and is not delayed for this check.
    pub fn release_after_response(self: &Rc<Self>, mut connection: Connection) {
        connection.reusable_at = Instant::now() + REUSE_DELAY;
        if connection.sender.is_ready() {
            self.release(connection);
        } else if !connection.sender.is_closed() {
            let pool = self.clone();
            tokio::task::spawn_local(async move {
                if let Ok(Ok(())) = timeout(SETTLE_TIMEOUT, connection.sender.ready()).await {
                    pool.release(connection);
                }
            });
        }
    }

    /// Returns a connection to the pool, as idle from now on.
    pub fn release(&self, mut connection: Connection) {
        connection.idle_since = Instant::now();
        self.add_idle(connection);
    }

    /// Adds a connection to the idle ones if it may be reused; closes it otherwise.
    fn add_idle(&self, connection: Connection) {
        let mut servers = self.servers.borrow_mut();
        let Some(entry) = servers.get_mut(&connection.process.server) else { return };
        let same_process = entry.generation == connection.process.generation;
        if entry.serving && same_process && !connection.sender.is_closed() {
            entry.idle.add(connection);
        }
    }

    fn take_idle(&self, server: ServerId, deadline: Instant) -> Result<IdleConnection, Outcome> {
        let mut servers = self.servers.borrow_mut();
        let entry = servers.get_mut(&server).ok_or(Outcome::NotSent)?;
        Ok(entry.idle.take(self.idle_timeout.get(), deadline))
    }

    /// Waits for a connection's reuse delay and for one that is being opened, and returns the one that is ready first. The
    /// other one becomes idle.
    async fn first_ready(
        self: Rc<Self>,
        resting: Connection,
        opening: Option<PendingConnection>,
    ) -> Result<Connection, Outcome> {
        let usable = |connection| {
            if self.is_usable(&connection) {
                Ok(connection)
            } else {
                Err(Outcome::ConnectFailed)
            }
        };
        let Some(mut opening) = opening else {
            sleep_until(resting.reusable_at).await;
            return usable(resting);
        };
        let reusable = sleep_until(resting.reusable_at);
        tokio::pin!(reusable);
        tokio::select! {
            biased;
            opened = &mut opening => match opened {
                Ok(Ok(opened)) => {
                    self.add_idle(resting);
                    Ok(opened)
                }
                Ok(Err(_)) | Err(_) => {
                    reusable.await;
                    usable(resting)
                }
            },
            () = &mut reusable => {
                if self.is_usable(&resting) {
                    return Ok(resting);
                }
                opening.await.unwrap_or(Err(Outcome::ConnectFailed))
            }
        }
    }

    /// Whether a connection may be used after its reuse delay: bytes that arrived meanwhile have closed it, and its server
    /// may be another process by now.
    fn is_usable(&self, connection: &Connection) -> bool {
        connection.sender.is_ready() && self.is_current(connection)
    }

    /// Whether a connection is to the process that the endpoint list gives for its server now. It may have changed while the
    /// connection was opened.
    fn is_current(&self, connection: &Connection) -> bool {
        let servers = self.servers.borrow();
        let entry = servers.get(&connection.process.server);
        entry.is_some_and(|entry| entry.generation == connection.process.generation)
    }

    /// Starts to open a connection. A missing permit or address must not count against the server, so the outcome is then
    /// [`Outcome::NotSent`].
    fn open(self: &Rc<Self>, server: ServerId) -> Result<PendingConnection, Outcome> {
        let (address, process) = {
            let servers = self.servers.borrow();
            let entry = servers.get(&server).ok_or(Outcome::NotSent)?;
            let process = ServerProcess { server, generation: entry.generation };
            (entry.address.ok_or(Outcome::NotSent)?, process)
        };
        let permit = self.permit().ok_or(Outcome::NotSent)?;
        let opening = Connection::open(address, process, self.written_attempts.clone(), permit);
        let connect_timeout = self.connect_timeout.get();
        Ok(self.spawn_acquisition(async move {
            match timeout(connect_timeout, opening).await {
                Ok(Ok(connection)) => Ok(connection),
                // A shortage on this machine must not count against the server.
                Ok(Err(ConnectError::Local(error))) => {
                    debug!(server = server.0, %error, "cannot open a connection because of a shortage on this machine");
                    Err(Outcome::NotSent)
                }
                Ok(Err(ConnectError::Remote(_))) | Err(_) => Err(Outcome::ConnectFailed),
            }
        }))
    }

    /// Acquires a connection in a task of its own. If its attempt is cancelled meanwhile, the connection, which the server has
    /// accepted by then, is kept for the next attempt.
    fn spawn_acquisition(
        self: &Rc<Self>,
        connection: impl Future<Output = Result<Connection, Outcome>> + 'static,
    ) -> PendingConnection {
        let (sender, receiver) = oneshot::channel();
        let pool = self.clone();
        tokio::task::spawn_local(async move {
            if let Err(Ok(connection)) = sender.send(connection.await) {
                pool.release(connection);
            }
        });
        receiver
    }

    /// A permit for one more connection. At the limit, the connection that has been idle longest is closed for it; none if no
    /// connection is idle.
    fn permit(&self) -> Option<ConnectionPermit> {
        if self.open_connections.get() >= self.max_connections.get() && !self.evict_oldest_idle() {
            return None;
        }
        Some(ConnectionPermit::new(&self.open_connections))
    }

    /// Closes the connection that has been idle longest; false if no connection is idle.
    fn evict_oldest_idle(&self) -> bool {
        let mut servers = self.servers.borrow_mut();
        let oldest = servers
            .values_mut()
            .filter_map(|entry| Some((entry.idle.oldest_idle_since()?, entry)))
            .min_by_key(|(idle_since, _)| *idle_since);
        oldest.map(|(_, entry)| entry.idle.evict_oldest()).is_some()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/pool.rs"]
mod tests;
