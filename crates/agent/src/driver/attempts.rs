//! Starts the attempts and health checks that the balancer schedules, and queues their outcomes as events.

use super::requests::{FinalResponse, IncomingRequest, RequestBody};
use super::{duration, Driver, State};
use crate::request_log::ResponseReason;
use crate::streaming_body::OutgoingBody;
use crate::telemetry::FirstByteReport;
use crate::upstream::{AttemptLimits, AttemptProgress, AttemptResult};
use bellcroft_agent_core::guard::AttemptWindow;
use bellcroft_balancer::{AttemptNo, ClassId, Event, Micros, Outcome, RequestId, ServerId, Time};
use hyper::header::{HeaderValue, CONTENT_LENGTH};
use hyper::{Method, Request, Uri};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::time::Instant;

/// Identifies an attempt by its request and its number within the request, counted from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct AttemptKey {
    pub(super) request: RequestId,
    pub(super) attempt: u32,
}

/// An attempt that the balancer has scheduled.
pub(super) struct ScheduledAttempt {
    pub(super) key: AttemptKey,
    pub(super) server: ServerId,
    /// Time at which the attempt times out.
    pub(super) timeout_at: Time,
    /// Latest time at which the first byte of the attempt may be written.
    pub(super) write_by: Time,
}

/// An attempt that was sent.
struct SentAttempt {
    key: AttemptKey,
    class: ClassId,
    server: ServerId,
    /// Time from which the server's response time is measured: when the last byte of a streaming body was received, for
    /// other requests the start of the attempt.
    sent_at: Instant,
}

/// The attempts in flight: started, and without an outcome.
#[derive(Default)]
pub(super) struct AttemptsInFlight {
    progress: HashMap<AttemptKey, Rc<AttemptProgress>>,
}

impl AttemptsInFlight {
    /// Cancels an attempt, if it is in flight.
    pub(super) fn cancel(&self, key: AttemptKey) {
        if let Some(progress) = self.progress.get(&key) {
            progress.cancel();
        }
    }

    /// Cancels those of a request's first `attempts` attempts that are not completely written. The others may be
    /// executed by their servers, so they continue.
    pub(super) fn cancel_unwritten(&self, request: RequestId, attempts: u32) {
        for progress in self.of_request(request, attempts).filter(|progress| !progress.may_have_run()) {
            progress.cancel();
        }
    }

    /// Sets the time at which a request's first `attempts` attempts time out.
    pub(super) fn set_deadline(&self, request: RequestId, attempts: u32, deadline: Instant) {
        for progress in self.of_request(request, attempts) {
            progress.set_deadline(deadline);
        }
    }

    /// The number of a request's first `attempts` attempts that are in flight.
    pub(super) fn count(&self, request: RequestId, attempts: u32) -> usize {
        self.of_request(request, attempts).count()
    }

    fn of_request(&self, request: RequestId, attempts: u32) -> impl Iterator<Item = &Rc<AttemptProgress>> {
        (0..attempts).filter_map(move |attempt| self.progress.get(&AttemptKey { request, attempt }))
    }
}

impl Driver {
    /// Starts an attempt, unless its request is no longer pending or the guard denies the attempt.
    pub(super) fn start_attempt(self: &Rc<Self>, state: &mut State, scheduled: ScheduledAttempt) {
        let ScheduledAttempt { key, server, timeout_at, write_by } = scheduled;
        let now = self.clock.now();
        let window = self.guard.borrow().window(write_by, timeout_at);
        let Some(pending) = state.requests.get_mut(key.request) else {
            // The request got its response, or its client disconnected, while decisions were deferred. The balancer has
            // not handled the event for that yet.
            return state.on_not_sent(key);
        };
        pending.attempts = key.attempt + 1;
        let groups = state.endpoints.groups(server);
        let id = pending.request.request_id.clone();
        if let Err(denied) = self.guard.borrow_mut().may_send(now, &pending.history, groups) {
            self.request_log.on_attempt_denied(&id, key.attempt, server, denied);
            return state.on_not_sent(key);
        }
        pending.history.on_sent(key.attempt, now, groups);
        if key.attempt == 0 && pending.history.may_have_run() {
            self.on_first_attempt(&id);
        }
        let timeout = duration(window.end_by.since(now));
        self.request_log.on_attempt_sent(&id, key.attempt, server, timeout);
        let started_at = Instant::now();
        let request = pending.request.clone();
        let first_byte = self.count_attempt(state, key, server, &request);
        let progress =
            Rc::new(AttemptProgress::new(first_byte, request.body.upload().cloned(), request.client.clone()));
        state.attempts.progress.insert(key, progress.clone());
        let attempt = SentAttempt { key, class: request.class.id(), server, sent_at: started_at };
        self.spawn_attempt(attempt, &request, self.attempt_limits(&request, window), progress);
    }

    /// Counts an attempt in telemetry; the returned value counts its first byte when that is written.
    fn count_attempt(
        &self,
        state: &State,
        key: AttemptKey,
        server: ServerId,
        request: &IncomingRequest,
    ) -> Option<FirstByteReport> {
        let telemetry = self.telemetry.clone()?;
        let is_hedge = state.attempts.of_request(key.request, key.attempt).next().is_some();
        telemetry.attempt_started(server.0, request.route_name(), key.attempt, is_hedge);
        let AttemptKey { request, attempt } = key;
        Some(FirstByteReport { instance: telemetry, clock: self.clock, request, attempt, server })
    }

    fn attempt_limits(&self, request: &IncomingRequest, window: AttemptWindow<Time>) -> AttemptLimits {
        let route = request.route.as_ref();
        AttemptLimits {
            window: AttemptWindow {
                start_by: self.clock.instant(window.start_by),
                end_by: self.clock.instant(window.end_by),
            },
            respond_by: self.clock.instant(self.response_due_at(request.deadline)),
            max_timeout: request.body.upload().map(|_| request.response_timeout),
            connect_timeout: route.and_then(|route| route.connect_timeout).map(duration),
            first_byte_timeout: route.and_then(|route| route.first_byte_timeout).map(duration),
        }
    }

    fn spawn_attempt(
        self: &Rc<Self>,
        mut attempt: SentAttempt,
        request: &IncomingRequest,
        limits: AttemptLimits,
        progress: Rc<AttemptProgress>,
    ) {
        let driver = self.clone();
        let outgoing = outgoing_request(request);
        let (id, upload) = (request.request_id.clone(), request.body.upload().cloned());
        tokio::task::spawn_local(async move {
            let result = driver.upstream.attempt(attempt.server, outgoing, &limits, &progress).await;
            if let Some(upload) = upload {
                let completed_at = upload.completed_at().unwrap_or_else(Instant::now);
                attempt.sent_at = attempt.sent_at.max(completed_at);
            }
            let elapsed = attempt.sent_at.elapsed();
            driver.request_log.on_attempt_finished(&id, attempt.key.attempt, result.outcome, elapsed);
            driver.on_attempt_finished(attempt, result);
        });
    }

    /// Handles the outcome of an attempt. The first response of a server becomes the request's final response.
    fn on_attempt_finished(self: &Rc<Self>, attempt: SentAttempt, result: AttemptResult) {
        let SentAttempt { key, class, server, sent_at } = attempt;
        let outcome = result.outcome;
        let elapsed = micros_since(sent_at);
        if let Some(telemetry) = &self.telemetry {
            telemetry.attempt_finished((key.request.0, key.attempt), class.0, server.0, outcome, elapsed);
        }
        {
            let mut state = self.state.borrow_mut();
            if outcome == Outcome::Success {
                state.response_times[class.0].add(elapsed);
            }
            state.attempts.progress.remove(&key);
            if !state.requests.contains(key.request) {
                self.on_late_outcome(key.request, key.attempt, outcome);
            }
            if let Some((content_type, body)) = result.response {
                let response = FinalResponse::Served(content_type, body);
                self.respond(&mut state, key.request, response, ResponseReason::Served);
            }
            if let Some(pending) = state.requests.get_mut(key.request) {
                pending.history.on_outcome(key.attempt, outcome);
                pending.last_timed_out = outcome == Outcome::TimedOut;
            }
            let may_be_left = outcome == Outcome::NotSent && state.requests.may_have_been_left(key.request);
            if may_be_left || state.requests.is_partly_sent(key.request) {
                state.events.push_back(Event::AttemptsExhausted { request: key.request });
            }
            state.queue_outcome(key, outcome, elapsed, result.report);
        }
        self.pump();
    }

    /// Sends a health check to a server.
    pub(super) fn check_health(self: &Rc<Self>, server: ServerId) {
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            let sent_at = Instant::now();
            let AttemptResult { outcome, report, .. } = driver.upstream.check_health(server).await;
            let elapsed = micros_since(sent_at);
            if let Some(telemetry) = &driver.telemetry {
                telemetry.health_check_finished(outcome);
            }
            let event = Event::HealthChecked { server, outcome, elapsed, report };
            driver.state.borrow_mut().events.push_back(event);
            driver.pump();
        });
    }
}

impl State {
    /// Queues the outcome of a scheduled attempt that was not sent.
    fn on_not_sent(&mut self, key: AttemptKey) {
        self.queue_outcome(key, Outcome::NotSent, Micros::ZERO, None);
    }

    fn queue_outcome(
        &mut self,
        key: AttemptKey,
        outcome: Outcome,
        elapsed: Micros,
        report: Option<Vec<f64>>,
    ) {
        self.events.push_back(Event::Outcome {
            request: key.request,
            attempt: AttemptNo(key.attempt),
            outcome,
            elapsed,
            report,
            is_final: !self.requests.contains(key.request),
        });
    }
}

fn micros_since(start: Instant) -> Micros {
    Micros(start.elapsed().as_micros() as u64)
}

/// Builds the forwarded request: the client's request with the origin form of its target and with its body length. The
/// upstream adds the timeout header.
fn outgoing_request(incoming: &IncomingRequest) -> Request<OutgoingBody> {
    let (body, length) = match &incoming.body {
        RequestBody::Complete(body) => (OutgoingBody::Complete(body.clone()), Some(body.len() as u64)),
        RequestBody::Streaming(upload) => (OutgoingBody::streaming(upload), upload.length()),
    };
    let mut request = Request::new(body);
    *request.method_mut() = incoming.method.clone();
    // A client may send the absolute form (RFC 9112, section 3.2.2); servers get the origin form.
    *request.uri_mut() = Uri::from(incoming.target.clone());
    *request.headers_mut() = incoming.headers.clone();
    if let Some(length) = length.filter(|length| incoming.method != Method::GET || *length > 0) {
        request.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    request
}
