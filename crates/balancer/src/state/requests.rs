//! Pending requests and their attempts.

use crate::api::*;
use std::sync::Arc;

/// The servers that a request may still be sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendScope {
    Nowhere,
    Anywhere,
    Zone(ZoneId),
    Group(DedupGroupId),
}

/// The sends and final responses that can't make a request run twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AllowedActions {
    pub(crate) send: SendScope,
    /// True if the request may be shed, which informs the client that a retry is safe.
    pub(crate) shed: bool,
}

/// Whether an attempt may have been processed by its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptState {
    InFlight,
    NeverRan,
    MayHaveRun,
}

/// An attempt in the history of its request.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) server: usize,
    pub(crate) zone: ZoneId,
    pub(crate) dedup_group: DedupGroupId,
    pub(crate) sent_at: Time,
    pub(crate) state: AttemptState,
}

/// A request without a final response.
pub(crate) struct PendingRequest {
    pub(crate) request: Request,
    pub(crate) deadline: Time,
    /// Time at which the latency objective expires, or the deadline if that is earlier.
    pub(crate) objective_deadline: Time,
    pub(crate) attempts: Vec<Attempt>,
    /// True if the client has received a response to an earlier try and this request is its retry.
    pub(crate) is_client_retry: bool,
    /// True if the request's response stream has begun, after which it can be neither retried nor shed.
    pub(crate) has_response_started: bool,
    /// True if a part of the request's body is no longer buffered, so that no further attempt can be sent.
    pub(crate) is_exhausted: bool,
    /// True if the request belongs to the part of its tenant's traffic that exceeds the quota.
    pub(crate) over_quota: bool,
    /// Time at which the request was first queued; `None` if it is not queued or has been sent since.
    pub(crate) queued_since: Option<Time>,
}

impl PendingRequest {
    /// The first attempt that may have been processed.
    pub(crate) fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.state != AttemptState::NeverRan)
    }

    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state == AttemptState::InFlight)
    }
}

/// Identifies an attempt; ordered by request, then attempt number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptNo,
}

/// An attempt without an outcome. It may outlive its request.
pub(crate) struct InFlightAttempt {
    pub(crate) server: usize,
    pub(crate) class: usize,
    pub(crate) sent_at: Time,
    /// True if the attempt is the trial of an ejected server.
    pub(crate) is_trial: bool,
    /// True if the attempt is not the first one of its request.
    pub(crate) is_retry: bool,
    /// True if the attempt has been counted as late before its outcome.
    pub(crate) counted_as_late: bool,
    /// True while the body of the attempt's request is still arriving: no response is due, and the attempt does not load the
    /// server.
    pub(crate) is_streaming: bool,
    /// Limits of the request's route, which contain the concurrency limits that the attempt counts towards.
    pub(crate) limits: Option<Arc<Limits>>,
}

/// A request that waits for the health checks of its candidates, which report their load.
pub(crate) struct AwaitingHealthChecks {
    pub(crate) id: RequestId,
    pub(crate) candidates: Vec<usize>,
    pub(crate) since: Time,
    pub(crate) until: Time,
}
