//! What a client's connection is doing, as its framing and its owner both know it, and when its client has gone.

use crate::telemetry::PendingTimer;
use bellcroft_agent_core::body_limits::ProgressTimeout;
use bellcroft_agent_core::guard::ConnectionState;
use bellcroft_balancer::Time;
use bellcroft_net::Stream;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// What the wrapper and the connection's owner know of each other.
pub struct ClientConnection {
    /// Its number, in the order of accepting.
    number: u64,
    /// The client's address; none if the kernel no longer knows it.
    peer: Option<SocketAddr>,
    state: Cell<(ConnectionState, Instant)>,
    pub(super) ambiguous: Cell<bool>,
    pub(super) answered: Cell<bool>,
    /// The body of the present answer has been handed over; its last bytes may not be out.
    body_over: Cell<bool>,
    /// How long more of a body is waited for, and since when the client takes nothing.
    pub(super) patience: Cell<ProgressTimeout>,
    /// The begin of the connection, which the patience counts from.
    begin: Instant,
    stuck: Cell<Option<Instant>>,
    /// Since when the rest of what was not wanted is read away.
    pub(super) lingers: Cell<Option<Instant>>,
    pub(super) waker: RefCell<Option<Waker>>,
    /// The answer whose last byte has not left.
    owing: Cell<Option<PendingTimer>>,
    /// A request has been answered over it.
    used: Cell<bool>,
}

impl ClientConnection {
    /// A connection that has just been accepted.
    pub fn new(number: u64, peer: Option<SocketAddr>) -> Rc<Self> {
        Rc::new(ClientConnection {
            number,
            peer,
            state: Cell::new((ConnectionState::Unused, Instant::now())),
            ambiguous: Cell::new(false),
            answered: Cell::new(false),
            body_over: Cell::new(false),
            patience: Cell::default(),
            begin: Instant::now(),
            stuck: Cell::new(None),
            lingers: Cell::new(None),
            waker: RefCell::new(None),
            owing: Cell::new(None),
            used: Cell::new(false),
        })
    }

    /// Its number, in the order of accepting.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The client's address; none if the kernel no longer knew it.
    pub fn peer(&self) -> Option<SocketAddr> {
        self.peer
    }

    /// What the connection is doing, and since when.
    pub fn state(&self) -> (ConnectionState, Instant) {
        self.state.get()
    }

    pub(super) fn enter(&self, state: ConnectionState) {
        if self.state.get().0 != state {
            self.state.set((state, Instant::now()));
        }
    }

    /// The present request's length can be read in two ways; nothing behind its head is passed on.
    pub fn ambiguous(&self) -> bool {
        self.ambiguous.get()
    }

    /// No request has come whole over it yet.
    pub fn first(&self) -> bool {
        !self.used.get()
    }

    /// Until when more of a body is waited for, if it is.
    pub fn body_until(&self) -> Option<Instant> {
        self.patience.get().deadline().map(|at| self.begin + Duration::from_micros(at.0))
    }

    /// Since when the client takes nothing of its answer.
    pub fn stuck(&self) -> Option<Instant> {
        self.stuck.get()
    }

    /// Since when it is waited for to hear that nobody wants the rest.
    pub fn lingers(&self) -> Option<Instant> {
        self.lingers.get()
    }

    /// Whether a request of it is held by others: its body by whoever takes it in, or all of it until its answer.
    pub fn waits(&self) -> bool {
        matches!(self.state.get().0, ConnectionState::ReceivingBody | ConnectionState::Pending)
            && self.lingers.get().is_none()
    }

    pub(super) fn body(&self, change: impl FnOnce(&mut ProgressTimeout, Time)) {
        let mut patience = self.patience.get();
        change(&mut patience, Time(self.begin.elapsed().as_micros() as u64));
        self.patience.set(patience);
    }

    /// The present request has come whole.
    pub fn whole(&self) {
        self.enter(ConnectionState::Pending);
    }

    /// The present answer's body has been handed over.
    pub fn body_over(&self) {
        self.body_over.set(true);
    }

    /// The present request's answer is the next that is written.
    pub fn owe(&self, owing: PendingTimer) {
        self.owing.set(Some(owing));
    }

    /// Something was to be written: whether any of it has been.
    pub(super) fn wrote(&self, some: bool) {
        let since = (!some).then(|| self.stuck.get().unwrap_or_else(Instant::now));
        self.stuck.set(since);
    }

    /// All that was handed over is out. With the last of an answer, the next request may be read.
    pub(super) fn flushed(&self) {
        self.stuck.set(None);
        if !self.body_over.take() {
            return;
        }
        if let Some(owing) = self.owing.take() {
            owing.on_response_written();
        }
        self.used.set(true);
        self.enter(ConnectionState::Idle);
        self.answered.set(true);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

/// Waits until a client has closed its side while a request of it waits, however much of what it had sent is unread: the
/// end of a stream is read last, and may lie behind a body that nobody reads while its request waits for a backend.
///
/// What the connection does changes only while it is polled, by the same task and before this: so this is looked at as soon
/// as a request begins to wait, with no period in between.
pub async fn client_disconnected(stream: &Stream<TcpStream>, client: &ClientConnection) {
    stream.peer_closed().await;
    poll_fn(|_| if client.waits() { Poll::Ready(()) } else { Poll::Pending }).await;
}
