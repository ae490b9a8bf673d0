//! The request log: each event of a request with its id, for following one request through a fault.
//!
//! Events are logged at level `debug` while the process serves (`--log-level info,bellcroft::requests=debug`), and at `info`
//! from the start of a shutdown: that is short, and its pending requests cannot be traced afterwards. A denied attempt is a
//! warning, unless the shutdown denies it.

use bellcroft_agent_core::guard::{ConnectionState, LateResponse, SendDenied, Violation};
use bellcroft_balancer::{ClassId, Outcome, ServerId};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{debug, info, warn};

/// Logs an event at the present level.
macro_rules! event {
    ($log:expr, $($fields:tt)*) => {
        if $log.shutting_down.get() {
            info!(target: "bellcroft::requests", $($fields)*);
        } else {
            debug!(target: "bellcroft::requests", $($fields)*);
        }
    };
}

/// Why a client's connection has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The time-out of the connection's state has passed.
    TimedOut,
    /// It made way for another client at the connection limit.
    Evicted,
    /// The client closed its side while a request was pending.
    ClientDisconnected,
    /// The HTTP connection ended: after the last response, by the client, or by invalid bytes.
    Finished,
    /// The process shuts down.
    Shutdown,
}

/// Why a request got its final response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseReason {
    /// A server responded.
    Served,
    /// The balancer rejected the request.
    Rejected,
    /// The balancer gave the request up.
    Failed,
    /// The process ends before the request's deadline.
    Shutdown,
}

/// Violations of one kind are logged once in this time; those in between are counted.
const VIOLATION_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The number of requests that one line names.
const MAX_LOGGED_IDS: usize = 10;

/// Limits how often violations of one kind are logged.
#[derive(Debug, Default)]
struct ViolationReports {
    logged_at: Cell<Option<Instant>>,
    not_logged: Cell<u64>,
}

impl ViolationReports {
    /// A violation has happened. The number to log now, with those that were not logged; none if it is too soon.
    fn next(&self) -> Option<u64> {
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
    late_answers: ViolationReports,
    closed_while_pending: ViolationReports,
    unsafe_repeats: ViolationReports,
}

impl RequestLog {
    /// Logs events at level `info` from now on.
    pub fn on_shutdown(&self) {
        self.shutting_down.set(true);
    }

    /// A request has been received, and is due within `time_left`.
    pub fn on_request(&self, id: &str, class: ClassId, time_left: Duration) {
        event!(self, id, class = class.0, ?time_left, "request received");
    }

    /// An attempt is sent, and ends within `timeout`.
    pub fn on_attempt_sent(&self, id: &str, attempt: u32, server: ServerId, timeout: Duration) {
        event!(self, id, attempt, server = server.0, ?timeout, "attempt sent");
    }

    /// An attempt that the balancer scheduled is not sent.
    pub fn on_attempt_denied(&self, id: &str, attempt: u32, server: ServerId, reason: SendDenied) {
        let server = server.0;
        match reason {
            SendDenied::ProcessEnding => event!(self, id, attempt, server, ?reason, "attempt denied"),
            SendDenied::MayRunTwice | SendDenied::OutsideDedupWindow | SendDenied::OutsideDedupGroup => {
                warn!(target: "bellcroft::requests", id, attempt, server, ?reason, "attempt denied");
                if let Some(count) = self.unsafe_repeats.next() {
                    let rule = Violation::UnsafeRepeat.name();
                    warn!(target: "bellcroft::requests", rule, id, attempt, ?reason, count, "rule violation");
                }
            }
        }
    }

    /// An attempt has its outcome, `elapsed` after it was sent.
    pub fn on_attempt_finished(&self, id: &str, attempt: u32, outcome: Outcome, elapsed: Duration) {
        event!(self, id, attempt, ?outcome, ?elapsed, "attempt finished");
    }

    /// The final response to a request has been decided.
    pub fn on_response(&self, id: &str, reason: ResponseReason) {
        event!(self, id, ?reason, "response decided");
    }

    /// The client of a request has disconnected, or has stopped waiting, before the final response.
    pub fn on_client_disconnected(&self, id: &str) {
        event!(self, id, "client disconnected");
    }

    /// A response was decided after its client's deadline.
    pub fn on_late_response(&self, id: &str, connection: u64, late: LateResponse) {
        let Some(count) = self.late_answers.next() else { return };
        let rule = Violation::LateAnswer.name();
        let late_by = Duration::from_micros(late.late_by.0);
        let paused = Duration::from_micros(late.paused.0);
        warn!(target: "bellcroft::requests", rule, id, connection, ?late_by, ?paused, count, "rule violation");
    }

    /// A connection was closed by this process while a request had no response.
    pub fn on_closed_while_pending(&self, connection: u64, close_reason: CloseReason) {
        let Some(count) = self.closed_while_pending.next() else { return };
        let rule = Violation::ClosedWhilePending.name();
        warn!(target: "bellcroft::requests", rule, connection, ?close_reason, count, "rule violation");
    }

    /// The process ends while these requests have no response.
    pub fn on_ended_while_pending(&self, ids: &[Rc<str>]) {
        if ids.is_empty() {
            return;
        }
        let (rule, count) = (Violation::EndedWhilePending.name(), ids.len());
        let ids = &ids[..count.min(MAX_LOGGED_IDS)];
        warn!(target: "bellcroft::requests", rule, ?ids, count, "rule violation");
    }

    /// A client's connection has ended in this state. No byte of a request was read and not answered if it was unused or
    /// idle.
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
