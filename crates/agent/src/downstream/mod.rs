//! The application's side: takes requests in, checks them, and writes the one answer of each.

mod capacity;
mod connection;
mod exchange;
mod framing;
mod head;
mod reply;
mod request;
mod response;

use crate::daemon::status::RequestCounters;
use crate::driver::Driver;
use crate::request_log::CloseReason;
use bellcroft_agent_core::body_limits::BufferPool;
use bellcroft_agent_core::guard::{ConnectionState, Guard};
use bellcroft_agent_core::serving::{Service, ServingState};
use bellcroft_net::{AcceptError, Listener, Stream};
use capacity::{can_be_spared, LAST_RESPONSE_SHARE, STATE_CHECK_INTERVAL};
use connection::{client_disconnected, ClientConnection};
use exchange::OpenId;
use framing::{RequestFraming, MAX_HEAD_BYTES};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Pause after an accept that failed, or descriptors that have run out would make the loop spin.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// A shortage of descriptors or memory that lasts for so many accepts in a row is this process's own; the machine's may be
/// over at once, and clients must not wait for it.
const PERSISTENT_SHORTAGE: u32 = 4;
/// Pause between those.
const SHORTAGE_RETRY_INTERVAL: Duration = Duration::from_millis(2);
/// A connection that has said nothing for this long is not about to: clients connect to ask.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(300);
/// Read at a time of what nobody wants any more.
const DISCARD_CHUNK_BYTES: usize = 4 << 10;
/// What a client hears whose request is not complete when the process ends. Nothing of it has gone out.
const PROCESS_ENDS_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// A connection that has been taken.
struct HeldConnection {
    client: Rc<ClientConnection>,
    leave: Rc<Notify>,
}

/// Whether connections are taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Accepting {
    /// Each.
    On,
    /// Those that have come until now, and none after them.
    Drain,
    /// None any more: another process takes them.
    Off,
}

/// The listening side and the connections it has taken.
pub struct Server {
    driver: Rc<Driver>,
    /// What became of the requests.
    pub request_counters: RequestCounters,
    service: Cell<Service>,
    /// Told of each change of the above.
    changed: watch::Sender<()>,
    accepting: watch::Sender<Accepting>,
    /// The process ends at once: what is not complete is refused.
    ending: watch::Sender<bool>,
    /// No further request is read: connections close as soon as they owe no response.
    closing: watch::Sender<bool>,
    limit: Cell<usize>,
    /// The process had no descriptor left: until when it holds so many connections at most.
    shortage: Cell<Option<(Instant, usize)>>,
    held: RefCell<HashMap<u64, HeldConnection>>,
    last_connection: Cell<u64>,
    freed: Notify,
    /// Ids of the requests that are open.
    ids: Rc<RefCell<HashSet<Box<str>>>>,
    /// What the begins of bodies that are coming may take.
    store: Rc<RefCell<BufferPool>>,
}

impl Server {
    /// Serves at most `connections` at a time.
    pub fn new(driver: Rc<Driver>, connections: usize, memory: usize) -> Rc<Self> {
        Rc::new(Server {
            request_counters: RequestCounters::new(&driver.names().classes),
            driver,
            service: Cell::default(),
            changed: watch::Sender::new(()),
            accepting: watch::Sender::new(Accepting::On),
            ending: watch::Sender::new(false),
            closing: watch::Sender::new(false),
            limit: Cell::new(connections),
            shortage: Cell::new(None),
            held: RefCell::default(),
            last_connection: Cell::new(0),
            freed: Notify::new(),
            ids: Rc::default(),
            store: Rc::new(RefCell::new(BufferPool::new(memory))),
        })
    }

    /// Takes connections until [`Server::stop_accepting`] is called; one that has been taken by then is served. Each is taken
    /// at once; where there is no place for it, one that nobody needs gives way, so that hundreds that say nothing do not
    /// shut the others out.
    pub async fn accept(self: Rc<Self>, listener: Listener) {
        let mut accepting = self.accepting.subscribe();
        let mut shortages = 0;
        let stopped = loop {
            let accepted = tokio::select! {
                biased;
                stopped = accepting.wait_for(|accepting| *accepting != Accepting::On) => {
                    break stopped.map_or(Accepting::Off, |accepting| *accepting);
                }
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok(stream) => {
                    shortages = 0;
                    while self.held.borrow().len() >= self.max_connections() {
                        self.evict(1);
                        self.wait_for_place().await;
                    }
                    self.clone().serve(stream);
                }
                Err(AcceptError::Shortage(_)) => {
                    shortages += 1;
                    if shortages < PERSISTENT_SHORTAGE {
                        sleep(SHORTAGE_RETRY_INTERVAL).await;
                        continue;
                    }
                    self.on_descriptor_shortage();
                    self.wait_for_place().await;
                }
                Err(AcceptError::Other(_)) => sleep(ACCEPT_RETRY_INTERVAL).await,
            }
        };
        if stopped == Accepting::Drain {
            // Their clients may have sent a request.
            listener.into_backlog().into_iter().for_each(|stream| self.clone().serve(stream));
        }
    }

    /// Serves a connection in a task of its own.
    fn serve(self: Rc<Self>, stream: Stream<TcpStream>) {
        let number = self.last_connection.get() + 1;
        self.last_connection.set(number);
        let held = HeldConnection {
            client: ClientConnection::new(number, stream.peer_addr().ok()),
            leave: Rc::default(),
        };
        let (client, leave) = (held.client.clone(), held.leave.clone());
        self.held.borrow_mut().insert(number, held);
        tokio::task::spawn_local(async move {
            let reason = self.clone().connection(stream, client.clone(), leave).await;
            self.on_closed(&client, reason);
            self.held.borrow_mut().remove(&number);
            self.freed.notify_one();
        });
    }

    /// A client's connection has ended, or is closed now.
    fn on_closed(&self, client: &ClientConnection, reason: CloseReason) {
        let (state, _) = client.state();
        let log = &self.driver.request_log;
        log.on_connection_closed(client.number(), client.peer(), state, reason);
        let by_this_process = !matches!(reason, CloseReason::ClientDisconnected | CloseReason::Finished);
        let must_log =
            by_this_process && client.stuck().is_none() && self.driver.guard.borrow_mut().on_close(state);
        if must_log {
            log.on_closed_while_pending(client.number(), reason);
        }
    }

    /// The process exits: the connections that are left end with it.
    pub fn on_exit(&self) {
        for held in self.held.borrow().values() {
            self.on_closed(&held.client, CloseReason::Shutdown);
        }
    }

    /// A connection that leaves frees its place; one that may leave soon is found by looking again.
    async fn wait_for_place(&self) {
        let _ = timeout(ACCEPT_RETRY_INTERVAL, self.freed.notified()).await;
    }

    /// What it is there for at present.
    pub fn serving_state(&self) -> ServingState {
        self.service.get().state()
    }

    /// Whether it says yes to those who ask if they may send it clients.
    pub fn is_ready(&self) -> bool {
        self.driver.is_ready() && self.service.get().is_ready()
    }

    /// When connections that are idle close for the sake of its duty, if they do.
    pub fn close_idle_at(&self) -> Option<Instant> {
        self.service.get().close_idle_at().map(|at| self.driver.clock.instant(at))
    }

    /// Changes what it is there for; connections look at it at once.
    pub fn update_service<T>(&self, change: impl FnOnce(&mut Service) -> T) -> T {
        let mut service = self.service.get();
        let told = change(&mut service);
        self.service.set(service);
        self.changed.send_replace(());
        told
    }

    /// From now on it serves so many connections at a time; those that it has go on.
    pub fn set_max_connections(&self, connections: usize) {
        self.limit.set(connections);
    }

    /// Takes no new connection from now on, but those that have come already if it drains.
    pub fn stop_accepting(&self, how: Accepting) {
        self.accepting.send_replace(how);
    }

    /// Refuses what is not complete, for the process ends: whatever comes of it from now on has its answer.
    pub fn refuse_incomplete(&self) {
        self.ending.send_replace(true);
    }

    /// Reads no further request: connections that owe no response close, the others once they have written it. What has
    /// arrived and was not read is left to the kernel, so its client knows that it was not accepted.
    pub fn close_connections(&self) {
        self.closing.send_replace(true);
    }

    /// Waits until what is not complete is refused.
    async fn process_ends(&self) {
        until_set(&self.ending).await;
    }

    /// Connections of clients at present.
    pub fn connections(&self) -> usize {
        self.held.borrow().len()
    }

    /// Whether any request is on its way in or has no answer yet. One may be on its way over a connection that is
    /// so fresh that its first byte has not come.
    pub fn is_busy(&self) -> bool {
        let busy = |held: &HeldConnection| {
            let (state, since) = held.client.state();
            may_owe_response(state, since.elapsed())
        };
        self.held.borrow().values().any(busy)
    }

    async fn connection(
        self: Rc<Self>,
        stream: Stream<TcpStream>,
        client: Rc<ClientConnection>,
        leave: Rc<Notify>,
    ) -> CloseReason {
        let (stream, taken) = (Rc::new(stream), Instant::now());
        let mut changed = self.changed.subscribe();
        let (server, read) = (self.clone(), client.clone());
        let service = service_fn(move |request| server.clone().answer(request, read.clone()));
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES).max_header_size(MAX_HEAD_BYTES);
        let framing_io = RequestFraming::new(stream.clone(), client.clone());
        let mut connection = pin!(builder.serve_connection(framing_io, service));
        let mut leaving = pin!(client_disconnected(&stream, &client));
        let mut ending = pin!(self.process_ends());
        let mut closing = pin!(until_set(&self.closing));
        let mut refused = false;
        loop {
            // Before the connection is polled, which may read a request.
            if *self.closing.borrow() && Guard::may_close(client.state().0) {
                return CloseReason::Shutdown;
            }
            let until = self.expires_at(&client, taken);
            if Instant::now() >= until {
                return CloseReason::TimedOut;
            }
            // What has come is looked at before the connection's time.
            tokio::select! {
                biased;
                () = closing.as_mut(), if !*self.closing.borrow() => {}
                // An error here is the client's leaving or its bad bytes; both concern this connection alone.
                _ = connection.as_mut() => return CloseReason::Finished,
                () = leave.notified() => {
                    // A request may have come since it was chosen.
                    if can_be_spared(&client) {
                        return CloseReason::Evicted;
                    }
                }
                // A client that closes its side has gone away (the protocol's page): what it waits for ends with it.
                () = leaving.as_mut() => return CloseReason::ClientDisconnected,
                () = ending.as_mut(), if !refused => {
                    refused = true;
                    if client.state().0 == ConnectionState::ReceivingHead {
                        break;
                    }
                }
                // What is idle may have to close; a request that is on its way, or is the first, is still answered.
                _ = changed.changed() => {}
                () = sleep_until(until.min(Instant::now() + STATE_CHECK_INTERVAL)) => {}
            }
        }
        // Nothing else is being written: a head that is not complete comes only after the answer before it.
        refuse_incomplete_head(&stream).await;
        CloseReason::Shutdown
    }
}

/// Answers a request whose head is not complete, and reads away what still comes of it: were the socket closed on unread
/// bytes, the kernel would take the answer back.
async fn refuse_incomplete_head(stream: &Stream<TcpStream>) {
    if stream.write_now(PROCESS_ENDS_RESPONSE).is_err() || stream.shutdown_write().is_err() {
        return;
    }
    let mut rest = [0; DISCARD_CHUNK_BYTES];
    while poll_fn(|cx| stream.poll_read(cx, &mut rest)).await.is_ok_and(|count| count > 0) {}
}

/// Waits until a flag is set; the flag outlives the wait.
async fn until_set(flag: &watch::Sender<bool>) {
    let is_set = flag.subscribe().wait_for(|is_set| *is_set).await.is_ok();
    if !is_set {
        std::future::pending::<()>().await;
    }
}

/// Whether a connection that has been in this phase for so long may still owe an answer.
fn may_owe_response(state: ConnectionState, for_so_long: Duration) -> bool {
    match state {
        ConnectionState::ReceivingHead | ConnectionState::ReceivingBody | ConnectionState::Pending => true,
        ConnectionState::Unused => for_so_long < FIRST_BYTE_TIMEOUT,
        ConnectionState::Idle => false,
    }
}

#[cfg(test)]
#[path = "../../tests/unit/downstream.rs"]
mod tests;
