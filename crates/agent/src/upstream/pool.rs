//! The pool of connections to all backends.

use super::connection::{Connection, ConnectionPermit, Peer};
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

/// An idle connection is closed after this share of the time in the settings: one that the backend closes while a
/// request is on its way to it costs that request a reset of which nobody knows whether it ran.
const IDLE_TIMEOUT_SHARE: f64 = 0.7;
/// After a complete response a connection is ready again at once, or there is something wrong with it.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(5);
/// A connection is not used for so long after a response. A server may send a second one some milliseconds later (the
/// standing page), and whoever reads it once the next request is out can't tell whose it is: it would be served to another
/// client. What arrives meanwhile closes the connection. Second responses of join days came 1.0 to 3.4 ms late.
const REUSE_DELAY: Duration = Duration::from_millis(8);
/// While fewer connections to a backend wait for their reuse delay, an attempt that finds no other opens one more instead
/// of waiting. With as many the next of them is ready about a millisecond later, and is waited for.
const MAX_RESTING: usize = 8;

/// A connection that is being waited for in a task of its own.
type PendingConnection = oneshot::Receiver<Result<Connection, Outcome>>;

/// Whether one more connection may be opened while others only wait for their reuse delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpareConnections {
    /// While few wait.
    Allowed,
    /// What asks can wait.
    Forbidden,
}

/// A backend as the endpoint list last described it, and the idle connections to it.
struct BackendPool {
    address: Option<SocketAddr>,
    born_ms: f64,
    /// Counts its processes and addresses; connections of an earlier one are not used again.
    generation: u64,
    serving: bool,
    idle: IdleConnections,
}

/// The connections to all backends.
pub struct ConnectionPool {
    backends: RefCell<HashMap<ServerId, BackendPool>>,
    /// The last generation that was given; no two processes share one, or a connection to an earlier one could be taken
    /// for the later one's.
    last_generation: Cell<u64>,
    /// Who was last named at an address.
    servers_by_address: RefCell<HashMap<SocketAddr, ServerId>>,
    open_connections: Rc<Cell<usize>>,
    max_connections: Cell<usize>,
    /// Attempts that were written completely.
    written_attempts: Rc<Cell<u64>>,
    connect_timeout: Cell<Duration>,
    idle_timeout: Cell<Duration>,
}

impl ConnectionPool {
    /// Knows no backend yet; holds at most `max_connections` connections.
    pub fn new(max_connections: usize, connect_timeout: Duration, keepalive: Duration) -> Self {
        ConnectionPool {
            backends: RefCell::default(),
            last_generation: Cell::new(0),
            servers_by_address: RefCell::default(),
            open_connections: Rc::default(),
            max_connections: Cell::new(max_connections),
            written_attempts: Rc::default(),
            connect_timeout: Cell::new(connect_timeout),
            idle_timeout: Cell::new(keepalive.mul_f64(IDLE_TIMEOUT_SHARE)),
        }
    }

    /// Goes by other settings from now on.
    pub fn reconfigure(&self, connect_timeout: Duration, keepalive: Duration) {
        self.connect_timeout.set(connect_timeout);
        self.idle_timeout.set(keepalive.mul_f64(IDLE_TIMEOUT_SHARE));
    }

    /// Connections that it holds, and may hold.
    pub fn connections(&self) -> (usize, usize) {
        (self.open_connections.get(), self.max_connections.get())
    }

    /// From now on it may hold so many connections; what is in flight beyond that goes on.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
        while self.open_connections.get() > max_connections && self.evict_oldest_idle() {}
    }

    /// Attempts that were written completely to a backend.
    pub fn written_attempts(&self) -> u64 {
        self.written_attempts.get()
    }

    /// Counts an attempt whose length was not known before its end.
    pub fn count_written_attempt(&self) {
        self.written_attempts.set(self.written_attempts.get() + 1);
    }

    /// Closes the connections that have been idle for too long.
    pub fn close_expired_idle(&self) {
        let idle_timeout = self.idle_timeout.get();
        self.backends.borrow_mut().values_mut().for_each(|backend| backend.idle.retire(idle_timeout));
    }
}

/// What the endpoint list says.
impl ConnectionPool {
    /// Takes in an entry of the list. A new address or a new process means new connections; one that drains keeps none
    /// that are idle, and one that has left is forgotten. What is in flight goes on.
    pub fn update_endpoint(&self, server: ServerId, host: &EndpointRecord) {
        if host.health == Health::Removed {
            return self.forget(server);
        }
        let mut backends = self.backends.borrow_mut();
        if let Some(address) = host.dial.filter(|_| host.health == Health::Up) {
            let last = self.servers_by_address.borrow_mut().insert(address, server);
            // Whoever was there has gone, reported or not: no connection to it may reach for the newcomer.
            if let Some(last) = last.filter(|l| *l != server).and_then(|l| backends.get_mut(&l)) {
                last.generation = self.next_generation();
                last.idle.clear();
            }
        }
        let backend = backends.entry(server).or_insert_with(|| BackendPool {
            address: host.dial,
            born_ms: host.born_ms,
            generation: 0,
            serving: true,
            idle: IdleConnections::default(),
        });
        let moved = host.dial.filter(|address| backend.address != Some(*address));
        if backend.generation == 0 || moved.is_some() || host.born_ms != backend.born_ms {
            backend.generation = self.next_generation();
            backend.idle.clear();
            backend.born_ms = host.born_ms;
        }
        if let Some(former) = moved.and(backend.address) {
            self.vacate(former, server);
        }
        backend.address = moved.or(backend.address);
        backend.serving = host.health == Health::Up;
        if !backend.serving {
            backend.idle.clear();
        }
    }

    /// Forgets the backends that a full snapshot no longer names.
    pub fn retain_listed(&self, named: impl Fn(ServerId) -> bool) {
        let absent = |server: &ServerId| !named(*server);
        let removed: Vec<ServerId> = self.backends.borrow().keys().copied().filter(absent).collect();
        removed.into_iter().for_each(|server| self.forget(server));
    }

    /// Closes the idle connections to a backend.
    pub fn close_idle(&self, server: ServerId) {
        if let Some(backend) = self.backends.borrow_mut().get_mut(&server) {
            backend.idle.clear();
        }
    }

    /// A generation that no process has had.
    fn next_generation(&self) -> u64 {
        self.last_generation.set(self.last_generation.get() + 1);
        self.last_generation.get()
    }

    fn vacate(&self, address: SocketAddr, server: ServerId) {
        let mut servers = self.servers_by_address.borrow_mut();
        if servers.get(&address) == Some(&server) {
            servers.remove(&address);
        }
    }

    fn forget(&self, server: ServerId) {
        let address = self.backends.borrow_mut().remove(&server).and_then(|backend| backend.address);
        if let Some(address) = address {
            self.vacate(address, server);
        }
    }
}

/// Connections for attempts, and back.
impl ConnectionPool {
    /// The most recently used connection that is reusable. Where there is none, whichever is ready first of the one that
    /// will be reusable first and, where spare connections are allowed and few wait, of a new one.
    pub async fn acquire(
        self: &Rc<Self>,
        server: ServerId,
        by: Instant,
        spare: SpareConnections,
    ) -> Result<Connection, Outcome> {
        loop {
            let (resting, count) = match self.take_idle(server, by)? {
                IdleConnection::Ready(connection) => return Ok(connection),
                IdleConnection::Resting(connection, count) => (connection, count),
                IdleConnection::None => {
                    let opened = self.open(server)?.await;
                    return opened.unwrap_or(Err(Outcome::ConnectFailed));
                }
            };
            // No other backend's connection is evicted for one that is not surely needed.
            let room = self.open_connections.get() < self.max_connections.get();
            let may_open = spare == SpareConnections::Allowed && count < MAX_RESTING && room;
            let opening = if may_open { self.open(server).ok() } else { None };
            // In a task of its own, for an attempt that is given up meanwhile has to cost neither of them.
            let first = self.spawn_acquisition(self.clone().first_ready(resting, opening));
            if let Ok(Ok(connection)) = first.await {
                return Ok(connection);
            }
        }
    }

    /// Keeps a connection whose response is complete for the next attempt. One that brings more than the response is closed
    /// by hyper instead of becoming ready. The response is good all the same and does not wait for that.
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

    /// Gives back a connection that is idle from now on.
    pub fn release(&self, mut connection: Connection) {
        connection.idle_since = Instant::now();
        self.add_idle(connection);
    }

    /// Puts a connection to those that are idle, if it may be used again.
    fn add_idle(&self, connection: Connection) {
        let mut backends = self.backends.borrow_mut();
        let Some(backend) = backends.get_mut(&connection.peer.server) else { return };
        let same_process = backend.generation == connection.peer.generation;
        if backend.serving && same_process && !connection.sender.is_closed() {
            backend.idle.add(connection);
        }
    }

    fn take_idle(&self, server: ServerId, by: Instant) -> Result<IdleConnection, Outcome> {
        let mut backends = self.backends.borrow_mut();
        let backend = backends.get_mut(&server).ok_or(Outcome::NotSent)?;
        Ok(backend.idle.take(self.idle_timeout.get(), by))
    }

    /// Whichever is ready first of a connection that waits for its reuse delay and one that is being opened. The other one
    /// goes to those that are idle.
    async fn first_ready(
        self: Rc<Self>,
        resting: Connection,
        opening: Option<PendingConnection>,
    ) -> Result<Connection, Outcome> {
        let usable =
            |connection| if self.usable(&connection) { Ok(connection) } else { Err(Outcome::ConnectFailed) };
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
                if self.usable(&resting) {
                    return Ok(resting);
                }
                opening.await.unwrap_or(Err(Outcome::ConnectFailed))
            }
        }
    }

    /// Whether a connection whose reuse delay is over may be used: what has arrived meanwhile has closed it, and its
    /// backend may be another process by now.
    fn usable(&self, connection: &Connection) -> bool {
        let backends = self.backends.borrow();
        let backend = backends.get(&connection.peer.server);
        connection.sender.is_ready() && backend.is_some_and(|b| b.generation == connection.peer.generation)
    }

    /// Starts to open a connection. What this process lacks, a permit or an address, is no fault of the backend's.
    fn open(self: &Rc<Self>, server: ServerId) -> Result<PendingConnection, Outcome> {
        let (address, peer) = {
            let backends = self.backends.borrow();
            let backend = backends.get(&server).ok_or(Outcome::NotSent)?;
            let peer = Peer { server, generation: backend.generation };
            (backend.address.ok_or(Outcome::NotSent)?, peer)
        };
        let permit = self.permit().ok_or(Outcome::NotSent)?;
        let opening = Connection::open(address, peer, self.written_attempts.clone(), permit);
        let connect_timeout = self.connect_timeout.get();
        Ok(self.spawn_acquisition(async move {
            match timeout(connect_timeout, opening).await {
                Ok(Ok(connection)) => Ok(connection),
                // What this machine lacks says nothing of the backend.
                Ok(Err(ConnectError::Local(error))) => {
                    debug!(server = server.0, %error, "no connection for want of something on this machine");
                    Err(Outcome::NotSent)
                }
                Ok(Err(ConnectError::Remote(_))) | Err(_) => Err(Outcome::ConnectFailed),
            }
        }))
    }

    /// Waits for a connection in a task of its own: when its attempt is given up meanwhile, the connection, which has cost
    /// the backend work by then, serves the next one.
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

    /// A permit for one more connection; an idle one of another backend is evicted if all are taken.
    fn permit(&self) -> Option<ConnectionPermit> {
        if self.open_connections.get() >= self.max_connections.get() && !self.evict_oldest_idle() {
            return None;
        }
        Some(ConnectionPermit::new(&self.open_connections))
    }

    /// Closes the connection that has been idle longest; false if none is.
    fn evict_oldest_idle(&self) -> bool {
        let mut backends = self.backends.borrow_mut();
        let oldest = backends
            .values_mut()
            .filter_map(|backend| Some((backend.idle.oldest_idle_since()?, backend)))
            .min_by_key(|(idle_since, _)| *idle_since);
        oldest.map(|(_, backend)| backend.idle.evict_oldest()).is_some()
    }
}
