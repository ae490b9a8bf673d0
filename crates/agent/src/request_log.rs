//! The request log: each event of a request with its id, for following one request through a fault.
//!
//! Events are logged at level `debug` while the process serves (`--log-level info,bellcroft::requests=debug`), and at `info`
//! from the start of a shutdown: that is short, and its pending requests cannot be traced afterwards. A denied attempt is a
//! warning, unless the shutdown denies it.

use bellcroft_agent_core::guard::{ConnectionState, SendDenied};
use bellcroft_balancer::{ClassId, Outcome, ServerId};
use std::cell::Cell;
use std::time::Duration;
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

/// The request log of a process.
#[derive(Debug, Default)]
pub struct RequestLog {
    shutting_down: Cell<bool>,
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

    /// A client's connection has ended in this state.
    pub fn on_connection_closed(&self, connection: u64, state: ConnectionState, reason: CloseReason) {
        event!(self, connection, ?state, ?reason, "downstream connection closed");
    }
}
