//! Accepts clients' connections, and keeps their number within the connection limit.
//!
//! A connection is accepted as soon as it arrives: the kernel takes a client's request whether or not the connection has been
//! accepted, and the client's timeout counts from then. Above the limit there are [`SPARE_CONNECTIONS`], which are used until
//! another connection has been evicted or the new one has its response.

use super::eviction::{EVICTION_AGE, URGENT_EVICTION_BATCH, URGENT_EVICTION_INTERVAL};
use super::{Accepting, Server};
use crate::accept_delay::AcceptDelay;
use crate::daemon::descriptors::SPARE_CONNECTIONS;
use bellcroft_net::{AcceptError, Listener, Stream, ACCEPT_BACKLOG};
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// The pause after a failed accept: without it, the loop would spin while no descriptor is left.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// The number of consecutive accepts that fail for a shortage of descriptors or memory after which the shortage counts as this
/// process's own. A shortage of the entire machine may end at once, and clients should not wait for it.
const PERSISTENT_SHORTAGE_ACCEPTS: u32 = 4;
/// A shorter delay of connections in the accept queue is not assumed: deadlines allow for it.
const MIN_ASSUMED_DELAY: Duration = Duration::from_millis(100);
/// The pause between accepts that fail for a shortage.
const SHORTAGE_RETRY_INTERVAL: Duration = Duration::from_millis(2);

/// The longest time for which connections are taken to have waited in the queue of a socket that another process has opened.
const MAX_INHERITED_DELAY: Duration = Duration::from_secs(30);
/// The delay that is assumed for these if the kernel does not tell: a supervisor leaves a socket open for no longer while no process
/// accepts.
const ASSUMED_INHERITED_DELAY: Duration = Duration::from_millis(500);

/// Who opened a listening socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueOrigin {
    /// This process: its accept queue was empty.
    Own,
    /// Another process: connections may have waited in its accept queue while no process accepted.
    Inherited,
}

/// The kernel's queue of connections that have not been accepted. It does not tell how long a connection has been in it.
#[derive(Default)]
struct AcceptQueue {
    /// The time since which there may always have been connections in the queue; none if there was none at the last accept.
    nonempty_since: Option<Instant>,
    /// The time since which no connection has been accepted although there may be some; none while connections are accepted.
    blocked_since: Option<Instant>,
    /// The beginning of the latest long delays; none if all connections of that time have been accepted.
    delayed_since: Option<Instant>,
    /// The number of connections that have been accepted since the last long delay.
    accepted_since_delay: u32,
}

impl AcceptQueue {
    fn new(origin: QueueOrigin) -> Self {
        match origin {
            QueueOrigin::Own => AcceptQueue::default(),
            QueueOrigin::Inherited => AcceptQueue {
                nonempty_since: Instant::now().checked_sub(MAX_INHERITED_DELAY),
                delayed_since: Instant::now().checked_sub(ASSUMED_INHERITED_DELAY),
                ..AcceptQueue::default()
            },
        }
    }

    /// Called when connections are left in the queue.
    fn on_blocked(&mut self) {
        let now = Instant::now();
        self.nonempty_since.get_or_insert(now);
        self.blocked_since.get_or_insert(now);
    }

    /// Waits for the next connection.
    async fn accept(&mut self, listener: &Listener) -> Result<Stream<TcpStream>, AcceptError> {
        if self.nonempty_since.is_some() {
            // Without a yield, the runtime would report a queue that is not empty as empty after some accepts.
            tokio::task::yield_now().await;
        }
        let mut accept = pin!(listener.accept());
        poll_fn(|cx| {
            let accepted = accept.as_mut().poll(cx);
            if accepted.is_pending() {
                *self = AcceptQueue::default();
            }
            accepted
        })
        .await
    }

    /// Called when a connection has been accepted. Returns how long it can have been in the queue.
    fn on_accepted(&mut self) -> AcceptDelay {
        let blocked_since = self.blocked_since.take();
        if let Some(since) = blocked_since.filter(|since| since.elapsed() >= MIN_ASSUMED_DELAY) {
            self.delayed_since.get_or_insert(since);
            self.accepted_since_delay = 0;
        }
        self.accepted_since_delay = self.accepted_since_delay.saturating_add(1);
        if self.accepted_since_delay > ACCEPT_BACKLOG {
            self.delayed_since = None;
        }
        let elapsed = |since: Option<Instant>| since.map_or(Duration::ZERO, |since| since.elapsed());
        AcceptDelay { longest: elapsed(self.nonempty_since), assumed: elapsed(self.delayed_since) }
    }
}

impl Server {
    /// Accepts connections until [`Server::stop_accepting`] is called; those accepted by then are served.
    pub async fn accept(self: Rc<Self>, listener: Listener, origin: QueueOrigin) {
        let mut accepting = self.accepting.subscribe();
        let mut queue = AcceptQueue::new(origin);
        let mut shortages = 0;
        let stopped = loop {
            let accepted = tokio::select! {
                biased;
                stopped = accepting.wait_for(|accepting| *accepting != Accepting::On) => {
                    break stopped.map_or(Accepting::Off, |accepting| *accepting);
                }
                accepted = queue.accept(&listener) => accepted,
            };
            match accepted {
                Ok(stream) => {
                    shortages = 0;
                    let mut delay = queue.on_accepted();
                    let waited = self.make_room(&mut queue, &mut accepting).await;
                    delay.longest += waited;
                    delay.assumed += waited;
                    self.clone().spawn_connection(stream, delay);
                }
                Err(AcceptError::Shortage(_)) => {
                    shortages += 1;
                    queue.on_blocked();
                    if shortages < PERSISTENT_SHORTAGE_ACCEPTS {
                        sleep(SHORTAGE_RETRY_INTERVAL).await;
                        continue;
                    }
                    self.on_descriptor_shortage();
                    self.wait_for_capacity(ACCEPT_RETRY_INTERVAL).await;
                }
                Err(AcceptError::Other(_)) => {
                    queue.on_blocked();
                    sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            }
        };
        if stopped == Accepting::Drain {
            // Clients of these connections may have sent requests.
            let delay = queue.on_accepted();
            let backlog = listener.into_backlog().into_iter();
            backlog.for_each(|stream| self.clone().spawn_connection(stream, delay));
        }
    }

    /// Makes room for one more connection, and returns the time that this took. It waits only while all connections, the spare
    /// ones included, have requests that need a response, and connections are accepted.
    async fn make_room(
        &self,
        queue: &mut AcceptQueue,
        accepting: &mut watch::Receiver<Accepting>,
    ) -> Duration {
        let started_at = Instant::now();
        let (open, limit) = (self.connections(), self.max_connections());
        if open < limit {
            return Duration::ZERO;
        }
        self.log_connection_limit();
        self.evict(open + 1 - limit, EVICTION_AGE);
        while self.connections() >= self.max_connections() + self.spare_connections() {
            queue.on_blocked();
            self.evict(URGENT_EVICTION_BATCH, self.urgent_eviction_age());
            let stopped = accepting.wait_for(|accepting| *accepting != Accepting::On);
            tokio::select! {
                biased;
                _ = stopped => break,
                () = self.wait_for_capacity(URGENT_EVICTION_INTERVAL) => {}
            }
        }
        started_at.elapsed()
    }

    /// The number of connections that may be open above the limit. There are none while the limit is reduced for a shortage of
    /// descriptors.
    fn spare_connections(&self) -> usize {
        if self.is_limit_reduced() {
            0
        } else {
            SPARE_CONNECTIONS
        }
    }

    /// Waits for a connection to close, or to wait only for its client to close it. Also returns after `max_wait`, since a
    /// connection becomes evictable by its age.
    async fn wait_for_capacity(&self, max_wait: Duration) {
        let _ = timeout(max_wait, self.capacity_changed.notified()).await;
    }
}
