//! The actions that a balancer requests of its host.

use super::{AttemptNo, Micros, PeerId, RequestId, ServerId, Time, TimerId};

/// An output of the balancer.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt; the attempts of a request are numbered in the order of their sends.
    Send {
        /// The request.
        request: RequestId,
        /// Its number among the request's attempts. The host reports an outcome for each attempt, also for one that it
        /// does not start because the request has just ended ([`Outcome::NotSent`](crate::Outcome::NotSent)); otherwise
        /// the attempt would count as in flight for ever.
        attempt: AttemptNo,
        /// The destination.
        server: ServerId,
        /// When the attempt times out.
        timeout_at: Time,
        /// The latest time for writing the attempt's first byte. A connection may become ready long after the decision,
        /// when servers no longer drop duplicates or the server is draining; the outcome is then
        /// [`Outcome::NotSent`](crate::Outcome::NotSent). If the connection is not established by then, the outcome is
        /// [`Outcome::ConnectFailed`](crate::Outcome::ConnectFailed), and there may be time for a retry.
        write_by: Time,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Final response: rejected; the client may retry safely.
    Shed {
        /// The request.
        request: RequestId,
        /// The Retry-After for the client, if known.
        retry_after: Option<Micros>,
    },
    /// Final response: failed; the request may have been processed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Deliver [`Event::Timer`](crate::Event::Timer) at this time; timers are never cancelled.
    SetTimer {
        /// When.
        at: Time,
        /// The identifier that the event returns.
        timer: TimerId,
    },
    /// Send a health check.
    HealthCheck {
        /// The destination.
        server: ServerId,
    },
    /// Close this balancer's idle connections to a server.
    CloseIdle {
        /// The server.
        server: ServerId,
    },
    /// Send a hint to one other balancer, or to all.
    SendHint {
        /// The recipient; `None` for all.
        to: Option<PeerId>,
        /// The content.
        payload: Vec<u8>,
    },
    /// Open or close the watch on the endpoint list.
    Watch {
        /// True to open it.
        active: bool,
    },
    /// Fetch the full endpoint list once.
    FetchEndpoints,
    /// Write a log line for operators.
    Log {
        /// The text.
        text: String,
    },
}
