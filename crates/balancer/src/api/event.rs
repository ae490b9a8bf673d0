//! The events that a balancer handles.

use super::{
    AttemptNo, EndpointUpdate, Micros, Outcome, PeerId, Request, RequestId, ServerId, TimerId, ZoneId,
};

/// An event that the host reports to the balancer.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A client has submitted a request.
    Request(Request),
    /// The body of a streaming request is complete; its deadline starts now.
    BodyComplete {
        /// The request.
        request: RequestId,
        /// The remaining time until the client's deadline.
        time_left: Micros,
    },
    /// A part of the request's body has been forwarded and is no longer buffered, so that the request can't be retried.
    AttemptsExhausted {
        /// The request.
        request: RequestId,
    },
    /// A response stream has begun; the request is bound to this attempt.
    FirstByte {
        /// The request.
        request: RequestId,
        /// The attempt that the request is bound to.
        attempt: AttemptNo,
    },
    /// An attempt has finished.
    Outcome {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// The outcome of the attempt.
        outcome: Outcome,
        /// The duration of the attempt.
        elapsed: Micros,
        /// The server's load report, if there was one.
        report: Option<Vec<f64>>,
        /// True if the request has its final response; if false, it is still pending.
        is_final: bool,
    },
    /// The client has disconnected; the request no longer needs a response.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer has expired.
    Timer(TimerId),
    /// A health check has finished.
    HealthChecked {
        /// The server.
        server: ServerId,
        /// The outcome of the health check.
        outcome: Outcome,
        /// The duration of the health check.
        elapsed: Micros,
        /// The server's load report, if there was one.
        report: Option<Vec<f64>>,
    },
    /// The endpoint list has been updated, or the update has failed.
    Endpoints(EndpointUpdate),
    /// Another balancer has sent a hint. The host appends [`UNCONFIRMED_HINT`] to a hint that no second peer has confirmed.
    PeerMessage {
        /// The sender.
        from: PeerId,
        /// The content of the hint.
        payload: Vec<u8>,
    },
    /// The host has updated the state of the server fleet, aggregated over all balancers including this one.
    Fleet(FleetState),
}

/// Last byte of a hint that only one balancer has sent; the fault may be in that balancer's network instead of the server.
pub const UNCONFIRMED_HINT: u8 = 1;

/// A sample of the fleet's latency and load from one response, which the host shares with the other balancers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResponseSample {
    /// The server's zone.
    pub zone: ZoneId,
    /// The response time, as a fraction of the latency objective.
    pub latency: f64,
    /// The response time that the server's load predicts, as a fraction of the latency objective.
    pub load: f64,
}

/// The state of the server fleet, aggregated over all balancers.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct FleetState {
    /// The decayed number of samples that this state is based on; 0 if there are none.
    pub weight: f64,
    /// The recent response time, as a fraction of the latency objective.
    pub latency: f64,
    /// The response time that the servers' load predicts, as a fraction of the latency objective.
    pub load: f64,
    /// The fraction of requests that are shed.
    pub shed: f64,
}
