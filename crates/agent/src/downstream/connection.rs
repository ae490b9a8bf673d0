//! The state of a client's connection, shared by its framing and its owner, and the detection of disconnects.

use super::eviction::LATE_RESPONSE_ALLOWANCE;
use crate::accept_delay::AcceptDelay;
use crate::client_presence::ClientPresence;
use crate::sound_request::UnsoundFinding;
use crate::telemetry::PendingTimer;
use bellcroft_agent_core::body_limits::ProgressTimeout;
use bellcroft_agent_core::guard::ConnectionState;
use bellcroft_balancer::Time;
use bellcroft_net::Stream;
use std::cell::{Cell, OnceCell};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Why a request is rejected by what was received of it, before it is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestRejection {
    /// It is not sound, or what stands behind it is not.
    Unsound(UnsoundFinding),
    /// There is no memory for its head.
    OutOfMemory,
}

/// The state of a client's connection, shared by [`super::framing::RequestFraming`] and the connection's owner.
pub struct ClientConnection {
    /// The connection's number, in the order of accepting.
    number: u64,
    /// The client's address; none if the kernel no longer knew it.
    peer: Option<SocketAddr>,
    /// The state, and the time at which it began.
    state: Cell<(ConnectionState, Instant)>,
    /// Why the current request is rejected; none if it is not.
    rejection: Cell<Option<RequestRejection>>,
    /// Notified when `rejection` is set.
    rejected: Notify,
    /// The number of bytes that have come behind the current request.
    following_bytes: Cell<u64>,
    /// Whether the response to the current request is there, written or not.
    has_response: Cell<bool>,
    /// Whether a response has been written since the framing last checked.
    pub(super) response_written: Cell<bool>,
    /// Whether hyper has the complete body of the current response; its last bytes may not have been written.
    response_body_finished: Cell<bool>,
    /// The timeout of the current request's body.
    body_timeout: Cell<ProgressTimeout>,
    /// The time at which the connection was accepted; the times of `body_timeout` count from it.
    created_at: Instant,
    /// The time since which the client has read no byte of its response; none if no write is stalled.
    write_stalled_since: Cell<Option<Instant>>,
    /// The time since which the rest of a request has been read and discarded; none if it is not.
    lingering_since: Cell<Option<Instant>>,
    /// The timer of the response that is being written.
    response_timer: Cell<Option<PendingTimer>>,
    /// Whether any response has been written over the connection.
    has_written_response: Cell<bool>,
    /// How long the connection can have waited until it was accepted.
    accept_delay: AcceptDelay,
    /// The time by which responses may be late because the first request waited for the accept; later requests keep it.
    late_allowance: Cell<Duration>,
    /// The time at which the last byte was read.
    last_byte_at: Cell<Instant>,
    /// The time at which the last byte of the current request arrived; that of the previous one before.
    request_received_at: Cell<Instant>,
    /// The time at which the client stops waiting for the current response; none before the response is decided.
    response_deadline: Cell<Option<Instant>>,
    /// Whether the current request, whose body is incomplete, is refused.
    is_refused: Cell<bool>,
    /// Notified when `is_refused` is set.
    refusal: Notify,
    /// The number of buffered bytes of the current request's body.
    buffered_body: Cell<usize>,
    /// Notified when `lingering_since` is set.
    lingering: Notify,
    /// Notified when there is no memory for the rest of the current head.
    out_of_memory: Notify,
    /// Whether the client may have closed the connection; none before the connection is served.
    presence: OnceCell<Rc<ClientPresence>>,
    /// Whether the last head could not be parsed, so that hyper has responded to it.
    has_unreadable_head: Cell<bool>,
}

impl ClientConnection {
    /// A connection that has just been accepted.
    pub fn new(number: u64, peer: Option<SocketAddr>, accept_delay: AcceptDelay) -> Rc<Self> {
        let now = Instant::now();
        Rc::new(ClientConnection {
            number,
            peer,
            state: Cell::new((ConnectionState::Unused, now)),
            rejection: Cell::new(None),
            rejected: Notify::new(),
            following_bytes: Cell::new(0),
            has_response: Cell::new(false),
            response_written: Cell::new(false),
            response_body_finished: Cell::new(false),
            body_timeout: Cell::default(),
            created_at: now,
            write_stalled_since: Cell::new(None),
            lingering_since: Cell::new(None),
            response_timer: Cell::new(None),
            has_written_response: Cell::new(false),
            accept_delay,
            late_allowance: Cell::new(accept_delay.assumed),
            last_byte_at: Cell::new(now),
            request_received_at: Cell::new(now),
            response_deadline: Cell::new(None),
            is_refused: Cell::new(false),
            refusal: Notify::new(),
            buffered_body: Cell::new(0),
            lingering: Notify::new(),
            out_of_memory: Notify::new(),
            presence: OnceCell::new(),
            has_unreadable_head: Cell::new(false),
        })
    }

    /// Observes from now on whether the client may have closed the connection.
    pub(super) fn observe_presence(&self, stream: &Rc<Stream<TcpStream>>) {
        let connected_at = self.created_at.checked_sub(self.accept_delay.longest).unwrap_or(self.created_at);
        self.presence.get_or_init(|| ClientPresence::new(stream, connected_at));
    }

    /// Whether the client may have closed the connection; none before the connection is served.
    pub fn presence(&self) -> Option<&Rc<ClientPresence>> {
        self.presence.get()
    }

    /// The connection's number, in the order of accepting.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The client's address; none if the kernel no longer knew it.
    pub fn peer(&self) -> Option<SocketAddr> {
        self.peer
    }

    /// The time since the connection was accepted.
    pub fn age(&self) -> Duration {
        self.created_at.elapsed()
    }

    /// How long the connection can have waited until it was accepted.
    pub fn accept_delay(&self) -> AcceptDelay {
        self.accept_delay
    }

    /// The time by which the response to the first request may be late because it waited for the accept: as long as it waited,
    /// if the kernel told, and no longer than [`LATE_RESPONSE_ALLOWANCE`]; otherwise the assumed delay.
    pub fn late_allowance(&self) -> Duration {
        self.late_allowance.get()
    }

    /// Called when the kernel has told that the first bytes waited so long for the accept.
    pub(super) fn on_accept_delay_known(&self, delay: Duration) {
        self.late_allowance.set(delay.min(LATE_RESPONSE_ALLOWANCE));
    }

    /// The time at which the last byte was read; the time of the accept before the first one.
    pub fn last_byte_at(&self) -> Instant {
        self.last_byte_at.get()
    }

    pub(super) fn on_bytes_read(&self) {
        self.last_byte_at.set(Instant::now());
    }

    /// The time at which the last byte of the current request arrived, from which its timeout counts.
    pub fn request_received_at(&self) -> Instant {
        self.request_received_at.get()
    }

    /// The time at which the client stops waiting for the current response; none before the response is decided.
    pub fn response_deadline(&self) -> Option<Instant> {
        self.response_deadline.get()
    }

    /// Called when the current response has been decided, for which the client waits until `deadline`.
    pub fn on_response_decided(&self, deadline: Instant) {
        self.response_deadline.set(Some(deadline));
    }

    /// Refuses the current request, whose body is incomplete.
    pub fn refuse_request(&self) {
        self.is_refused.set(true);
        self.refusal.notify_one();
    }

    /// Waits until the current request is refused.
    pub async fn refused(&self) {
        while !self.is_refused.get() {
            self.refusal.notified().await;
        }
    }

    /// Called when the response has been sent and the rest of the request is discarded.
    pub(super) fn start_lingering(&self) {
        if self.lingering_since.get().is_none() {
            self.lingering_since.set(Some(Instant::now()));
            self.lingering.notify_one();
        }
    }

    /// Waits until the rest of a request is discarded.
    pub(super) async fn lingering_started(&self) {
        self.lingering.notified().await;
    }

    /// The state, and the time at which it began.
    pub fn state(&self) -> (ConnectionState, Instant) {
        self.state.get()
    }

    pub(super) fn set_state(&self, state: ConnectionState) {
        if self.state.get().0 != state {
            self.state.set((state, Instant::now()));
        }
    }

    /// Why the current request is rejected; none if it is not. It does not reach a server as a whole.
    pub fn rejection(&self) -> Option<RequestRejection> {
        self.rejection.get()
    }

    /// Rejects the current request.
    pub(super) fn reject_request(&self, rejection: RequestRejection) {
        self.rejection.set(Some(rejection));
        self.rejected.notify_one();
    }

    /// Why the current request is not sound; none if nothing is known against it.
    pub fn unsound(&self) -> Option<UnsoundFinding> {
        match self.rejection.get() {
            Some(RequestRejection::Unsound(unsound)) => Some(unsound),
            Some(RequestRejection::OutOfMemory) | None => None,
        }
    }

    /// Waits until the current request turns out not to be sound.
    pub async fn found_unsound(&self) -> UnsoundFinding {
        loop {
            if let Some(unsound) = self.unsound() {
                return unsound;
            }
            self.rejected.notified().await;
        }
    }

    /// The number of bytes that have come behind the current request, while it has no response.
    pub fn following_bytes(&self) -> u64 {
        self.following_bytes.get()
    }

    pub(super) fn set_following_bytes(&self, bytes: u64) {
        self.following_bytes.set(bytes);
    }

    /// Has the bytes read that have arrived behind the current request.
    pub async fn read_arrived(&self) {
        if let Some(presence) = self.presence() {
            presence.read_arrived().await;
        }
    }

    /// Called when the task that reads the connection waits for more bytes.
    pub(super) fn on_reader_waits(&self, reader: &Waker) {
        if let Some(presence) = self.presence() {
            presence.on_reader_waits(reader);
        }
    }

    /// Called when the response to the current request is there.
    pub(super) fn on_response(&self) {
        self.has_response.set(true);
    }

    /// Whether the response to the current request is there.
    pub(super) fn has_response(&self) -> bool {
        self.has_response.get()
    }

    /// Called when a head cannot be parsed, to which hyper responds.
    pub(super) fn on_unreadable_head(&self) {
        self.has_unreadable_head.set(true);
    }

    /// Whether the last head could not be parsed.
    pub(super) fn has_unreadable_head(&self) -> bool {
        self.has_unreadable_head.get()
    }

    /// Called when there is no memory for the rest of the current head.
    pub(super) fn on_memory_exhausted(&self) {
        self.out_of_memory.notify_one();
    }

    /// Waits until there is no memory for the rest of the current head.
    pub(super) async fn memory_exhausted(&self) {
        self.out_of_memory.notified().await;
    }

    /// Whether no response has been written yet, so that the current request is the connection's first.
    pub fn is_first_request(&self) -> bool {
        !self.has_written_response.get()
    }

    /// The time at which the body of the current request times out; none while the body is not read.
    pub fn body_deadline(&self) -> Option<Instant> {
        self.body_timeout.get().deadline().map(|at| self.created_at + Duration::from_micros(at.0))
    }

    /// The time since which the client has read no byte of its response; none if no write is stalled.
    pub fn write_stalled_since(&self) -> Option<Instant> {
        self.write_stalled_since.get()
    }

    /// The time since which the rest of a request has been read and discarded while the client reads its response; none if it
    /// is not.
    pub fn lingering_since(&self) -> Option<Instant> {
        self.lingering_since.get()
    }

    /// Whether a request is in progress: its body is being received, or it has no response yet.
    pub fn has_open_request(&self) -> bool {
        matches!(self.state.get().0, ConnectionState::ReceivingBody | ConnectionState::Pending)
            && self.lingering_since.get().is_none()
    }

    pub(super) fn update_body_timeout(&self, change: impl FnOnce(&mut ProgressTimeout, Time)) {
        let mut timeout = self.body_timeout.get();
        change(&mut timeout, Time(self.created_at.elapsed().as_micros() as u64));
        self.body_timeout.set(timeout);
    }

    /// Called when the head of a request with a body has been read.
    pub(super) fn start_body(&self) {
        self.body_timeout.take();
        self.buffered_body.set(0);
        self.set_state(ConnectionState::ReceivingBody);
    }

    /// Called when the last byte of the current request has been read, which arrived at `received_at`.
    pub(super) fn on_last_byte(&self, received_at: Instant) {
        self.request_received_at.set(received_at);
        self.is_refused.set(false);
        self.set_state(ConnectionState::Pending);
    }

    /// Records how much of the current request's body is buffered.
    pub(super) fn set_buffered_body(&self, bytes: usize) {
        self.buffered_body.set(bytes);
    }

    /// The number of bytes of an incomplete body that are buffered; none if the request is refused or no body is incomplete.
    pub fn incomplete_body(&self) -> Option<usize> {
        let is_receiving = self.state.get().0 == ConnectionState::ReceivingBody;
        (is_receiving && !self.is_refused.get()).then(|| self.buffered_body.get())
    }

    /// Whether the last byte of the current request has been read from the connection.
    pub fn is_request_received(&self) -> bool {
        self.state.get().0 == ConnectionState::Pending
    }

    /// Called when the current request has been received completely.
    pub fn on_request_complete(&self) {
        self.set_state(ConnectionState::Pending);
    }

    /// Called when hyper has the complete body of the current response.
    pub fn on_response_body_finished(&self) {
        self.response_body_finished.set(true);
    }

    /// Sets the timer of the current response; it stops once the response has been written.
    pub fn set_response_timer(&self, timer: PendingTimer) {
        self.response_timer.set(Some(timer));
    }

    /// Called after a write by hyper; `progressed` states whether the kernel accepted any of the bytes.
    pub(super) fn on_write(&self, progressed: bool) {
        let since = (!progressed).then(|| self.write_stalled_since.get().unwrap_or_else(Instant::now));
        self.write_stalled_since.set(since);
    }

    /// Called when all bytes of hyper have been written. If they complete a response, the next request may be read.
    pub(super) fn on_flushed(&self) {
        self.write_stalled_since.set(None);
        if !self.response_body_finished.take() {
            return;
        }
        if let Some(timer) = self.response_timer.take() {
            timer.on_response_written();
        }
        self.has_written_response.set(true);
        self.has_response.set(false);
        self.response_deadline.set(None);
        self.set_state(ConnectionState::Idle);
        self.response_written.set(true);
        if let Some(presence) = self.presence() {
            presence.wake_reader();
        }
    }
}

/// Waits until a client has closed its side of the connection while one of its requests is in progress. The close is
/// detected even if bytes before it are unread: a read would return the end of the stream only after them, and a body
/// is not read while its request waits for a server.
///
/// The connection's state changes only when the connection is polled, which the same task does before it polls this future.
/// The state is therefore checked as soon as a request is in progress, without a polling interval.
pub async fn client_disconnected(stream: &Stream<TcpStream>, client: &ClientConnection) {
    stream.peer_closed().await;
    poll_fn(|_| if client.has_open_request() { Poll::Ready(()) } else { Poll::Pending }).await;
}
