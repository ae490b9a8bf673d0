//! The actions that a balancer requests from its host.

use super::{AttemptNo, Micros, PeerId, RequestId, ServerId, Time, TimerId};

/// An action that the host must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a server.
    Send {
        /// The request.
        request: RequestId,
        /// The number of the attempt, in the order of the request's sends. The host must report an outcome for each
        /// attempt, even if it does not start it because the request has just got its final response
        /// ([`Outcome::NotSent`](crate::Outcome::NotSent)); otherwise the attempt would count as in flight forever.
        attempt: AttemptNo,
        /// The destination.
        server: ServerId,
        /// The time at which the attempt times out.
        timeout_at: Time,
        /// The latest time for writing the attempt's first byte. Later, servers may no longer discard duplicates or the
        /// server may be draining. If the connection becomes ready too late, the outcome is
        /// [`Outcome::NotSent`](crate::Outcome::NotSent). If it is not established by this time, the outcome is
        /// [`Outcome::ConnectFailed`](crate::Outcome::ConnectFailed), and there may be time for a retry.
        write_by: Time,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Give the final response that the request is shed; the client may retry safely.
    Shed {
        /// The request.
        request: RequestId,
        /// The Retry-After for the client, if any.
        retry_after: Option<Micros>,
    },
    /// Give the final response that the request has failed; it may have been processed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Deliver [`Event::Timer`](crate::Event::Timer) at a given time; timers are never cancelled.
    SetTimer {
        /// The time.
        at: Time,
        /// The identifier that the event carries.
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
    /// Send a hint to one other balancer or to all.
    SendHint {
        /// The recipient; `None` for all.
        to: Option<PeerId>,
        /// The content of the hint.
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
