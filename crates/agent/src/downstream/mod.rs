//! The clients' side: accepts connections, reads and checks requests, and writes one response to each.

mod accept;
mod arrival;
mod capacity;
mod connection;
mod eviction;
mod exchange;
mod following;
mod framing;
mod head;
mod receive_buffer;
mod request;
mod response;
mod response_body;

use crate::accept_delay::AcceptDelay;
use crate::daemon::status::RequestCounters;
use crate::driver::Driver;
use crate::request_log::CloseReason;
use crate::sound_request::UnsoundRequest;
pub use accept::QueueOrigin;
use bellcroft_agent_core::guard::{ConnectionState, Guard};
use bellcroft_agent_core::serving::{Service, ServingState};
use bellcroft_net::Stream;
use capacity::{LAST_RESPONSE_SHARE, LINGER_TIMEOUT, STATE_CHECK_INTERVAL};
use connection::{client_disconnected, ClientConnection};
use eviction::{has_unread_request, Eviction, EvictionSignal};
use exchange::OpenRequestId;
use framing::RequestFraming;
use head::MAX_HEAD_BYTES;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::future::poll_fn;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, sleep_until, Instant};

/// An unused connection without a byte for this long is not expected to send a request: clients send one right after they
/// connect.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(300);
/// The path of the readiness check, which the agent answers itself.
const READINESS_PATH: &str = "/ready";
/// The size of a read of discarded bytes.
const DISCARD_CHUNK_BYTES: usize = 4 << 10;
/// The response to a request whose head is incomplete when the process ends or its connection is evicted. No byte of it has
/// been sent to a server.
const REFUSAL_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// An accepted connection.
struct OpenConnection {
    client: Rc<ClientConnection>,
    /// Evicts the connection for another client.
    eviction: Rc<EvictionSignal>,
}

/// Whether connections are accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Accepting {
    /// All connections are accepted.
    On,
    /// Connections in the accept queue are accepted, and no later ones.
    Drain,
    /// No connections are accepted: another process accepts them.
    Off,
}

/// The HTTP server for clients: its listening side and its connections.
pub struct Server {
    driver: Rc<Driver>,
    /// Counters of requests by class and outcome.
    pub request_counters: RequestCounters,
    service: Cell<Service>,
    /// Notified when `service` changes.
    service_changed: watch::Sender<()>,
    accepting: watch::Sender<Accepting>,
    /// Whether incomplete requests are refused, because the process is about to exit.
    refusing_incomplete: watch::Sender<bool>,
    /// Whether no further request is read; connections close once they have no request without a response.
    closing: watch::Sender<bool>,
    connection_limit: Cell<usize>,
    /// After a shortage of descriptors: the time until which the connection limit is reduced, and the reduced limit.
    reduced_limit: Cell<Option<(Instant, usize)>>,
    /// The open connections by their number.
    open_connections: RefCell<HashMap<u64, OpenConnection>>,
    last_connection_number: Cell<u64>,
    /// Notified when a connection has closed, or waits only for its client to close it.
    capacity_changed: Notify,
    /// The time of the last log line about the connection limit.
    limit_logged_at: Cell<Option<Instant>>,
    /// The ids of open requests.
    open_request_ids: Rc<RefCell<HashSet<Box<str>>>>,
}

impl Server {
    /// A server with at most `connections` open connections.
    pub fn new(driver: Rc<Driver>, connections: usize) -> Rc<Self> {
        Rc::new(Server {
            request_counters: RequestCounters::new(&driver.names().classes),
            driver,
            service: Cell::default(),
            service_changed: watch::Sender::new(()),
            accepting: watch::Sender::new(Accepting::On),
            refusing_incomplete: watch::Sender::new(false),
            closing: watch::Sender::new(false),
            connection_limit: Cell::new(connections),
            reduced_limit: Cell::new(None),
            open_connections: RefCell::default(),
            last_connection_number: Cell::new(0),
            capacity_changed: Notify::new(),
            limit_logged_at: Cell::new(None),
            open_request_ids: Rc::default(),
        })
    }

    /// Serves a connection in a task of its own.
    fn spawn_connection(self: Rc<Self>, stream: Stream<TcpStream>, delay: AcceptDelay) {
        let number = self.last_connection_number.get() + 1;
        self.last_connection_number.set(number);
        let connection = OpenConnection {
            client: ClientConnection::new(number, stream.peer_addr().ok(), delay),
            eviction: Rc::default(),
        };
        let (client, eviction) = (connection.client.clone(), connection.eviction.clone());
        self.open_connections.borrow_mut().insert(number, connection);
        self.driver.request_log.on_connection_accepted(number, client.peer(), self.connections(), delay);
        tokio::task::spawn_local(async move {
            let reason = self.clone().serve_connection(stream, client.clone(), eviction).await;
            self.on_closed(&client, reason);
            self.open_connections.borrow_mut().remove(&number);
            self.capacity_changed.notify_one();
        });
    }

    /// Logs and counts a client's connection that has closed or is about to close.
    fn on_closed(&self, client: &ClientConnection, reason: CloseReason) {
        let (state, _) = client.state();
        if client.has_unreadable_head() {
            self.on_unsound(None, UnsoundRequest::Head.into());
        }
        let log = &self.driver.request_log;
        log.on_connection_closed(client.number(), client.peer(), state, reason);
        let by_this_process = !matches!(reason, CloseReason::ClientDisconnected | CloseReason::Finished);
        let must_log = by_this_process
            && client.write_stalled_since().is_none()
            && self.driver.guard.borrow_mut().on_close(state);
        if must_log {
            log.on_closed_while_pending(client.number(), reason);
        }
    }

    /// Called when the process exits, which closes the remaining connections.
    pub fn on_exit(&self) {
        for connection in self.open_connections.borrow().values() {
            self.on_closed(&connection.client, CloseReason::Shutdown);
        }
    }

    /// The serving state at present.
    pub fn serving_state(&self) -> ServingState {
        self.service.get().state()
    }

    /// Whether health checks of this instance succeed.
    pub fn is_ready(&self) -> bool {
        self.driver.is_ready() && self.service.get().is_ready()
    }

    /// The time at which idle connections are closed because of the serving state; none while the instance serves.
    pub fn close_idle_at(&self) -> Option<Instant> {
        self.service.get().close_idle_at().map(|at| self.driver.clock.instant(at))
    }

    /// Changes the serving state and notifies all connections.
    pub fn update_service<T>(&self, change: impl FnOnce(&mut Service) -> T) -> T {
        let mut service = self.service.get();
        let result = change(&mut service);
        self.service.set(service);
        self.service_changed.send_replace(());
        result
    }

    /// Sets the connection limit; connections that are open above it stay open.
    pub fn set_max_connections(&self, connections: usize) {
        self.connection_limit.set(connections);
    }

    /// Stops accepting connections; with [`Accepting::Drain`], those in the accept queue are still accepted.
    pub fn stop_accepting(&self, mode: Accepting) {
        self.accepting.send_replace(mode);
    }

    /// Refuses incomplete requests, because the process is about to exit. Bytes of them that arrive later do not change the
    /// response.
    pub fn refuse_incomplete(&self) {
        self.refusing_incomplete.send_replace(true);
    }

    /// Reads no further request: connections without a pending request close, the others once they have written the response.
    /// Requests that have arrived and were not read are left to the kernel, which resets their connections, so that their
    /// clients know that they were not accepted.
    pub fn close_connections(&self) {
        self.closing.send_replace(true);
    }

    /// Waits until incomplete requests are refused.
    async fn until_incomplete_refused(&self) {
        until_set(&self.refusing_incomplete).await;
    }

    /// The number of open connections of clients.
    pub fn connections(&self) -> usize {
        self.open_connections.borrow().len()
    }

    /// Whether any request is being received or has no response yet. A connection that was accepted a moment ago counts, since
    /// its request may be about to arrive.
    pub fn is_busy(&self) -> bool {
        let busy = |connection: &OpenConnection| {
            let (state, since) = connection.client.state();
            may_need_response(state, since.elapsed())
        };
        self.open_connections.borrow().values().any(busy)
    }

    async fn serve_connection(
        self: Rc<Self>,
        stream: Stream<TcpStream>,
        client: Rc<ClientConnection>,
        eviction: Rc<EvictionSignal>,
    ) -> CloseReason {
        let (stream, accepted_at) = (Rc::new(stream), Instant::now());
        client.observe_presence(&stream);
        let mut service_changed = self.service_changed.subscribe();
        let (server, service_client) = (self.clone(), client.clone());
        let service = service_fn(move |request| server.clone().respond(request, service_client.clone()));
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES).max_header_size(MAX_HEAD_BYTES);
        let framing_io =
            RequestFraming::new(stream.clone(), client.clone(), self.clone(), &self.driver.memory);
        let mut connection = pin!(builder.serve_connection(framing_io, service));
        let mut disconnected = pin!(client_disconnected(&stream, &client));
        let mut incomplete_refused = pin!(self.until_incomplete_refused());
        let mut closing = pin!(until_set(&self.closing));
        let mut is_refusing = false;
        let refused_for = loop {
            // The flag is checked before the connection is polled, since that may read a request.
            if *self.closing.borrow() && Guard::may_close(client.state().0) {
                return CloseReason::Shutdown;
            }
            let expires_at = self.expires_at(&client, accepted_at);
            if Instant::now() >= expires_at {
                return CloseReason::TimedOut;
            }
            // Received bytes are read before the timeout is checked again.
            tokio::select! {
                biased;
                () = closing.as_mut(), if !*self.closing.borrow() => {}
                // An error is a disconnect or a malformed request; both concern only this connection.
                _ = connection.as_mut() => return CloseReason::Finished,
                min_age = eviction.received() => match eviction::eviction(&client, min_age) {
                    // A request has arrived since the connection was chosen.
                    None => {}
                    Some(Eviction::Close) if has_unread_request(&client, stream.unread_bytes()) => {}
                    Some(Eviction::Close) => return CloseReason::Evicted,
                    Some(Eviction::RefuseHead) => break CloseReason::Evicted,
                    Some(Eviction::RefuseBody) => client.refuse_request(),
                },
                () = client.memory_exhausted() => break CloseReason::OutOfMemory,
                () = client.lingering_started() => self.capacity_changed.notify_one(),
                // By the platform's protocol, a client that closes its side has disconnected; its request is withdrawn.
                () = disconnected.as_mut() => return CloseReason::ClientDisconnected,
                () = incomplete_refused.as_mut(), if !is_refusing => {
                    is_refusing = true;
                    if client.state().0 == ConnectionState::ReceivingHead {
                        break CloseReason::Shutdown;
                    }
                }
                // An idle connection may have to close now; a request that is arriving, or the first one, still gets its
                // response.
                _ = service_changed.changed() => {}
                () = sleep_until(expires_at.min(Instant::now() + STATE_CHECK_INTERVAL)) => {}
            }
        };
        // Boxed, since few connections need the memory of this future.
        Box::pin(self.refuse_incomplete_head(&stream, &client, &eviction)).await;
        refused_for
    }

    /// Responds to a request whose head is incomplete, and discards its remaining bytes for a while: if the socket were closed
    /// with unread bytes, the kernel would reset the connection, and the client could lose the response. No other response is
    /// being written, since a head is read only after the previous response has been written.
    async fn refuse_incomplete_head(
        &self,
        stream: &Stream<TcpStream>,
        client: &ClientConnection,
        eviction: &EvictionSignal,
    ) {
        let respond = async {
            stream.write_all_bytes(REFUSAL_RESPONSE).await?;
            stream.shutdown_write()?;
            client.start_lingering();
            self.capacity_changed.notify_one();
            discard_until_closed(stream).await
        };
        tokio::select! {
            biased;
            // An error is a disconnect.
            _ = respond => {}
            _ = eviction.received() => {}
            () = sleep(LINGER_TIMEOUT) => {}
        }
    }
}

/// Reads and discards bytes until the client closes its side.
async fn discard_until_closed(stream: &Stream<TcpStream>) -> io::Result<()> {
    let mut rest = [0; DISCARD_CHUNK_BYTES];
    while poll_fn(|cx| stream.poll_read(cx, &mut rest)).await? > 0 {}
    Ok(())
}

/// Waits until a flag is set; the flag outlives the wait.
async fn until_set(flag: &watch::Sender<bool>) {
    let is_set = flag.subscribe().wait_for(|is_set| *is_set).await.is_ok();
    if !is_set {
        std::future::pending::<()>().await;
    }
}

/// Whether a connection that has been in this state for `elapsed` may have a request that needs a response.
fn may_need_response(state: ConnectionState, elapsed: Duration) -> bool {
    match state {
        ConnectionState::ReceivingHead | ConnectionState::ReceivingBody | ConnectionState::Pending => true,
        ConnectionState::Unused => elapsed < FIRST_BYTE_TIMEOUT,
        ConnectionState::Idle => false,
    }
}

#[cfg(test)]
#[path = "../../tests/unit/downstream.rs"]
mod tests;
