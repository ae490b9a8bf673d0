//! The log of requests: each event of a request's life with its id, for whoever has to follow one through a fault.
//!
//! At level `debug` while the process serves (`--log-level info,bellcroft::requests=debug`), and at `info` from the moment
//! in which it was told to end: a shutdown is short, and what it leaves unanswered can't be asked for later.

use bellcroft_agent_core::guard::{ConnectionState, SendDenied};
use bellcroft_balancer::Outcome;
use std::cell::Cell;
use std::time::Duration;
use tracing::{debug, info, warn};

/// Logs one event at the level of the moment.
macro_rules! event {
    ($log:expr, $($fields:tt)*) => {
        if $log.shutting_down.get() {
            info!(target: "bellcroft::requests", $($fields)*);
        } else {
            debug!(target: "bellcroft::requests", $($fields)*);
        }
    };
}

/// Why a client's connection is closed by this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// Its time in the state that it is in is over.
    Expired,
    /// Another client needs its place.
    Evicted,
    /// Its client has closed its side while a request of it waited.
    ClientLeft,
    /// HTTP's end of it: the last answer is out, or the client has closed, or its bytes are wrong.
    Finished,
    /// The process ends.
    ProcessEnds,
}

/// Why a request has its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerReason {
    /// A server's answer.
    Served,
    /// The decisions refused it.
    Refused,
    /// The decisions gave it up.
    Failed,
    /// The process ends before its deadline.
    ProcessEnds,
}

/// The log of requests of one process.
#[derive(Debug, Default)]
pub struct RequestLog {
    shutting_down: Cell<bool>,
}

impl RequestLog {
    /// From now on events are logged at level `info`.
    pub fn begin_shutdown(&self) {
        self.shutting_down.set(true);
    }

    /// A request has been taken.
    pub fn taken(&self, id: &str, class: usize, time_left: Duration) {
        event!(self, id, class, ?time_left, "request taken");
    }

    /// An attempt is sent.
    pub fn attempt_sent(&self, id: &str, attempt: u32, server: u32, timeout: Duration) {
        event!(self, id, attempt, server, ?timeout, "attempt sent");
    }

    /// An attempt of the decisions' is not sent.
    pub fn attempt_denied(&self, id: &str, attempt: u32, server: u32, reason: SendDenied) {
        match reason {
            SendDenied::ProcessEnding => event!(self, id, attempt, server, ?reason, "attempt not sent"),
            _ => {
                warn!(target: "bellcroft::requests", id, attempt, server, ?reason, "attempt not sent")
            }
        }
    }

    /// An attempt is over.
    pub fn attempt_ended(&self, id: &str, attempt: u32, outcome: Outcome, elapsed: Duration) {
        event!(self, id, attempt, ?outcome, ?elapsed, "attempt ended");
    }

    /// A request has its answer.
    pub fn answered(&self, id: &str, reason: AnswerReason) {
        event!(self, id, ?reason, "request answered");
    }

    /// A request's client has left before its answer.
    pub fn client_left(&self, id: &str) {
        event!(self, id, "request's client left");
    }

    /// A client's connection is closed by this process.
    pub fn closed(&self, connection: u64, state: ConnectionState, reason: CloseReason) {
        event!(self, connection, ?state, ?reason, "client's connection closed");
    }
}
