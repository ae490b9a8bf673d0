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

/// What may still be done with a request without running it twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AllowedActions {
    pub(crate) send: SendScope,
    /// The request may be answered with a rejection, which promises that it did not run.
    pub(crate) reject: bool,
}

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
    /// When the latency objective, or the deadline if that is earlier, expires.
    pub(crate) objective_deadline: Time,
    pub(crate) attempts: Vec<Attempt>,
    /// Its client has had an answer to an earlier request for the same.
    pub(crate) is_client_retry: bool,
    /// Its response stream has begun.
    pub(crate) is_bound: bool,
    /// A part of its body is no longer buffered: no further attempt can be sent.
    pub(crate) is_exhausted: bool,
    /// Its tenant had exceeded its quota when it arrived.
    pub(crate) over_quota: bool,
    /// When it was first queued, unless it has been sent since.
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

/// An attempt that has not ended; it may outlive its request.
pub(crate) struct InFlightAttempt {
    pub(crate) server: usize,
    pub(crate) class: usize,
    pub(crate) sent_at: Time,
    /// It is the trial of an ejected server.
    pub(crate) is_trial: bool,
    /// It is not the first attempt of its request.
    pub(crate) is_retry: bool,
    /// It has been counted as late before its outcome.
    pub(crate) counted_as_late: bool,
    /// The body of its request is still arriving: no response is due, and the server is not loaded by it.
    pub(crate) is_streaming: bool,
    /// The limits of its route, for the concurrency that it occupies.
    pub(crate) limits: Option<Arc<Limits>>,
}

/// A request whose candidates have been sent health checks for their load.
pub(crate) struct AwaitingProbes {
    pub(crate) id: RequestId,
    pub(crate) candidates: Vec<usize>,
    pub(crate) since: Time,
    pub(crate) until: Time,
}
