//! The events that a balancer handles.

use super::{
    AttemptNo, EndpointUpdate, Micros, Outcome, PeerId, Request, RequestId, ServerId, TimerId, ZoneId,
};

/// An input of the balancer.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A client has submitted a request.
    Request(Request),
    /// The body of a streaming request has arrived completely; its deadline runs from here.
    BodyComplete {
        /// The request.
        request: RequestId,
        /// The remaining time until the client's deadline.
        time_left: Micros,
    },
    /// A part of the body was forwarded and is no longer buffered: the request can't be retried.
    AttemptsExhausted {
        /// The request.
        request: RequestId,
    },
    /// A response stream has begun; the request is bound to this attempt.
    FirstByte {
        /// The request.
        request: RequestId,
        /// The attempt that it is bound to.
        attempt: AttemptNo,
    },
    /// An attempt has ended.
    Outcome {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// How it ended.
        outcome: Outcome,
        /// The time since the attempt was sent.
        elapsed: Micros,
        /// The server's load report, if there was one.
        report: Option<Vec<f64>>,
        /// The request has its final response; if false, one is still pending.
        is_final: bool,
    },
    /// The client has disconnected; no response is pending any more.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer has expired.
    Timer(TimerId),
    /// The result of a health check.
    HealthChecked {
        /// The server.
        server: ServerId,
        /// How the health check ended.
        outcome: Outcome,
        /// The time since it was sent.
        elapsed: Micros,
        /// The server's load report, if there was one.
        report: Option<Vec<f64>>,
    },
    /// An update of the endpoint list.
    Endpoints(EndpointUpdate),
    /// A hint from another balancer. The host appends [`UNCONFIRMED_HINT`] to one that no second peer has confirmed.
    PeerMessage {
        /// The sender.
        from: PeerId,
        /// The content.
        payload: Vec<u8>,
    },
    /// The fleet's recent state, aggregated over all balancers, this one included.
    Fleet(FleetState),
}

/// The last byte of a hint about a server that only one balancer has sent: the fault may be on that balancer's link.
pub const UNCONFIRMED_HINT: u8 = 1;

/// A sample taken from one response, for the host to share with the other balancers.
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
    /// The decayed number of responses that it is based on; 0 if there are none.
    pub weight: f64,
    /// The recent response time, as a fraction of the latency objective.
    pub latency: f64,
    /// The response time that the servers' load predicts, as a fraction of the latency objective.
    pub load: f64,
    /// The fraction of requests that are shed.
    pub shed: f64,
}
