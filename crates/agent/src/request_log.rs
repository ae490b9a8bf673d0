//! The request log: events of requests with the request id, so that one request can be traced during a fault.
//!
//! Events are logged at level `debug` while the process serves (`--log-level info,bellcroft::requests=debug`), and at `info`
//! from the start of a shutdown, which is short and whose pending requests cannot be traced afterwards. A denied attempt
//! is logged as a warning, unless it was denied because of the shutdown.

use crate::accept_delay::AcceptDelay;
use crate::sound_request::{UnsoundFinding, UnsoundRequest};
use crate::upstream::RelayError;
use bellcroft_agent_core::guard::{ConnectionState, LateResponse, SendDenied, Violation};
use bellcroft_balancer::{ClassId, Outcome, ServerId};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{debug, info, warn};

/// Logs an event at the current level: `debug`, or `info` during a shutdown.
macro_rules! event {
    ($log:expr, $($fields:tt)*) => {
        if $log.shutting_down.get() {
            info!(target: "bellcroft::requests", $($fields)*);
        } else {
            debug!(target: "bellcroft::requests", $($fields)*);
        }
    };
}

/// The reason why a client's connection was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The timeout of the connection's state expired.
    TimedOut,
    /// The connection was closed at the connection limit in favour of a new client.
    Evicted,
    /// The client closed its side while a request was pending.
    ClientDisconnected,
    /// The HTTP connection finished after the last response, was closed by the client, or received invalid bytes.
    Finished,
    /// The process shuts down.
    Shutdown,
    /// There was no memory for the rest of a request's head, which was refused.
    OutOfMemory,
}

/// The reason for the final response to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseReason {
    /// A server responded.
    Served,
    /// The balancer rejected the request.
    Rejected,
    /// The balancer gave up on the request.
    Failed,
    /// The process exits before the request's deadline.
    Shutdown,
    /// The request's time was over when it was read.
    Expired,
    /// The request's connection is needed for another client.
    ConnectionLimit,
    /// A request with this id may have been executed before.
    AlreadyExecuted,
    /// The other processes of an upgrade cannot be told of the request's id.
    ClaimUnavailable,
    /// The request's body ended early, or its framing is invalid.
    MalformedBody,
    /// The request's body exceeds the maximum length.
    BodyTooLarge,
    /// Bytes behind the request, which came after it was accepted, show that it is not sound.
    Unsound,
    /// The server did not take the request's body while the client may have waited for its whole timeout.
    BodyHeldUp,
}

/// Minimum interval between two log lines for violations of one kind; those in between are only counted.
const VIOLATION_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of request ids in a log line.
const MAX_LOGGED_IDS: usize = 10;

/// Limits how often violations of one kind are logged.
#[derive(Debug, Default)]
struct ViolationLogLimiter {
    /// Time of the last log line.
    logged_at: Cell<Option<Instant>>,
    /// Number of violations since the last log line.
    not_logged: Cell<u64>,
}

impl ViolationLogLimiter {
    /// Counts a violation. If a log line is due, returns the number of violations since the last one.
    fn record(&self) -> Option<u64> {
        let count = self.not_logged.get() + 1;
        let is_due = self.logged_at.get().is_none_or(|at| at.elapsed() >= VIOLATION_LOG_INTERVAL);
        self.not_logged.set(if is_due { 0 } else { count });
        if is_due {
            self.logged_at.set(Some(Instant::now()));
        }
        is_due.then_some(count)
    }
}

/// The request log of a process.
#[derive(Debug, Default)]
pub struct RequestLog {
    shutting_down: Cell<bool>,
    late_responses: ViolationLogLimiter,
    closed_while_pending: ViolationLogLimiter,
    unsafe_repeats: ViolationLogLimiter,
    /// The requests that were not sound, by reason.
    unsound_requests: RefCell<HashMap<UnsoundRequest, LimitedCount>>,
    /// The responses that were cut off after they had begun.
    cut_off_responses: RefCell<LimitedCount>,
    /// The clients that disconnected with bytes behind their request.
    disconnects_with_following_bytes: RefCell<LimitedCount>,
}

/// A count of events, of which not every one is logged at level `info`.
#[derive(Debug, Default)]
struct LimitedCount {
    total: u64,
    logged: ViolationLogLimiter,
}

impl LimitedCount {
    /// Counts an event. Returns the total, and whether a log line at level `info` is due.
    fn record(&mut self) -> (u64, bool) {
        self.total += 1;
        (self.total, self.logged.record().is_some())
    }
}

impl RequestLog {
    /// Logs events at level `info` from now on.
    pub fn on_shutdown(&self) {
        self.shutting_down.set(true);
    }

    /// Logs that a request was received, whose deadline is in `time_left`.
    pub fn on_request(&self, id: &str, class: ClassId, time_left: Duration) {
        event!(self, id, class = class.0, ?time_left, "request received");
    }

    /// Logs that an attempt was sent, which times out after `timeout`.
    pub fn on_attempt_sent(&self, id: &str, attempt: u32, server: ServerId, timeout: Duration) {
        event!(self, id, attempt, server = server.0, ?timeout, "attempt sent");
    }

    /// Logs that an attempt scheduled by the balancer is not sent.
    pub fn on_attempt_denied(&self, id: &str, attempt: u32, server: ServerId, reason: SendDenied) {
        let server = server.0;
        match reason {
            SendDenied::ProcessEnding => event!(self, id, attempt, server, ?reason, "attempt denied"),
            SendDenied::MayRunTwice | SendDenied::OutsideDedupWindow | SendDenied::OutsideDedupGroup => {
                warn!(target: "bellcroft::requests", id, attempt, server, ?reason, "attempt denied");
                if let Some(count) = self.unsafe_repeats.record() {
                    let rule = Violation::UnsafeRepeat.name();
                    warn!(target: "bellcroft::requests", rule, id, attempt, ?reason, count, "rule violation");
                }
            }
        }
    }

    /// Logs the outcome of an attempt, `elapsed` after it was sent.
    pub fn on_attempt_finished(&self, id: &str, attempt: u32, outcome: Outcome, elapsed: Duration) {
        event!(self, id, attempt, ?outcome, ?elapsed, "attempt finished");
    }

    /// Logs that a request was not sound; `id` is given if it has a sound one. `total` in the line counts those with the same reason
    /// since the process started, also those between two lines.
    pub fn on_unsound_request(&self, id: Option<&str>, finding: UnsoundFinding) {
        let UnsoundFinding { rule: reason, position } = finding;
        let mut counts = self.unsound_requests.borrow_mut();
        let (total, is_due) = counts.entry(reason).or_default().record();
        if is_due {
            info!(target: "bellcroft::requests", id, ?reason, ?position, rule = %reason, total, "unsound request");
        } else {
            event!(self, id, ?reason, ?position, total, "unsound request");
        }
    }

    /// Logs that a response that has begun stays incomplete. `total` counts those since the process started, also those between two
    /// lines.
    pub fn on_response_cut_off(&self, id: &str, reason: RelayError) {
        let (total, is_due) = self.cut_off_responses.borrow_mut().record();
        if is_due {
            info!(target: "bellcroft::requests", id, ?reason, rule = %reason, total, "response cut off");
        } else {
            event!(self, id, ?reason, total, "response cut off");
        }
    }

    /// The responses that were cut off since the process started.
    pub fn cut_off_responses(&self) -> u64 {
        self.cut_off_responses.borrow().total
    }

    /// Logs that the final response to a request was decided.
    pub fn on_response(&self, id: &str, reason: ResponseReason) {
        event!(self, id, ?reason, "response decided");
    }

    /// Logs that the client of a request disconnected, or stopped waiting, before the final response: after `waited`, and with so many
    /// bytes behind the request. `total` counts the clients with any since the process started, also those between two lines.
    pub fn on_client_disconnected(&self, id: &str, waited: Duration, following_bytes: u64) {
        if following_bytes == 0 {
            event!(self, id, ?waited, "client disconnected");
            return;
        }
        let (total, is_due) = self.disconnects_with_following_bytes.borrow_mut().record();
        if is_due {
            info!(target: "bellcroft::requests", id, ?waited, following_bytes, total, "client disconnected");
        } else {
            event!(self, id, ?waited, following_bytes, total, "client disconnected");
        }
    }

    /// Logs that a response was decided after the client's deadline.
    pub fn on_late_response(&self, id: &str, connection: u64, late: LateResponse) {
        let Some(count) = self.late_responses.record() else { return };
        let rule = Violation::LateAnswer.name();
        let late_by = Duration::from_micros(late.late_by.0);
        let paused = Duration::from_micros(late.paused.0);
        warn!(target: "bellcroft::requests", rule, id, connection, ?late_by, ?paused, count, "rule violation");
    }

    /// Logs that this process closed a connection on which a request was pending.
    pub fn on_closed_while_pending(&self, connection: u64, close_reason: CloseReason) {
        let Some(count) = self.closed_while_pending.record() else { return };
        let rule = Violation::ClosedWhilePending.name();
        warn!(target: "bellcroft::requests", rule, connection, ?close_reason, count, "rule violation");
    }

    /// Logs that the process exits while these requests are pending.
    pub fn on_ended_while_pending(&self, ids: &[Rc<str>]) {
        if ids.is_empty() {
            return;
        }
        let (rule, count) = (Violation::EndedWhilePending.name(), ids.len());
        let ids = &ids[..count.min(MAX_LOGGED_IDS)];
        warn!(target: "bellcroft::requests", rule, ?ids, count, "rule violation");
    }

    /// Logs that a client's connection was accepted, as one of `open`, after this delay.
    pub fn on_connection_accepted(
        &self,
        connection: u64,
        peer: Option<SocketAddr>,
        open: usize,
        delay: AcceptDelay,
    ) {
        let peer = peer.map(tracing::field::display);
        let AcceptDelay { longest, assumed } = delay;
        event!(
            self,
            connection,
            peer,
            open,
            longest_delay = ?longest,
            assumed_delay = ?assumed,
            "downstream connection accepted"
        );
    }

    /// Logs that a client's connection was closed in this state. On an unused or idle connection, no received byte belongs
    /// to a request without a response.
    pub fn on_connection_closed(
        &self,
        connection: u64,
        peer: Option<SocketAddr>,
        state: ConnectionState,
        reason: CloseReason,
    ) {
        let peer = peer.map(tracing::field::display);
        event!(self, connection, peer, ?state, ?reason, "downstream connection closed");
    }
}
