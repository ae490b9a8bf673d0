//! Client requests: each is accepted from downstream, passed to the balancer, and gets exactly one final response.

use super::claims::Claim;
use super::{duration, Driver, State};
use crate::client_presence::ClientPresence;
use crate::memory::BodyBytes;
use crate::request_log::ResponseReason;
use crate::streaming_body::{BrokenUpload, StreamingBody};
use crate::telemetry::{PendingTimer, NO_ROUTE};
use crate::upstream::ResponseBody;
use bellcroft_agent_core::guard::AttemptHistory;
use bellcroft_agent_core::reconfigure::{ClassHandle, ClassSignature};
use bellcroft_balancer::{
    ClassId, Event, KeyId, Limits, Micros, Request, RequestId, RetrySafety, TenantId, Time,
};
use bellcroft_routes::{HedgePolicy, Route};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, StatusCode};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Maximum time for receiving a streaming request body. Progress timeouts apply as well.
pub const MAX_UPLOAD_TIME: Duration = Duration::from_secs(900);

/// The body of a request.
pub enum RequestBody {
    /// All bytes have been received.
    Complete(BodyBytes),
    /// The body is still being received, and is forwarded as it arrives.
    Streaming(Rc<StreamingBody>),
}

impl RequestBody {
    /// The body, if it is still being received.
    pub fn upload(&self) -> Option<&Rc<StreamingBody>> {
        match self {
            RequestBody::Complete(_) => None,
            RequestBody::Streaming(upload) => Some(upload),
        }
    }
}

/// A request as the client sent it, with the limits that apply to it.
pub struct IncomingRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path and query of the target.
    pub target: PathAndQuery,
    /// The headers that are forwarded.
    pub headers: HeaderMap,
    /// The body.
    pub body: RequestBody,
    /// The class whose settings apply, held until the last attempt has ended.
    pub class: ClassHandle,
    /// The tenant, if the request names one.
    pub tenant: Option<TenantId>,
    /// The affinity key, if the request has one.
    pub key: Option<KeyId>,
    /// The client's estimate of the server time that the request needs.
    pub cost_hint: Option<Micros>,
    /// Whether the client marks the request as a retry of its own.
    pub is_retry: bool,
    /// Time by which the response is due; for a streaming body, time by which its last byte is due.
    pub deadline: Instant,
    /// Maximum time from the last byte of the request to the response.
    pub response_timeout: Duration,
    /// Time at which the request was complete; for a streaming body, time at which its buffered part was complete.
    pub received_at: Instant,
    /// Time at which the client stops waiting for the response.
    pub client_deadline: Instant,
    /// The value of the `X-Request-ID` header.
    pub request_id: Rc<str>,
    /// The route that matched when the request arrived; a reload does not change it.
    pub route: Option<Arc<Route>>,
    /// Whether the client may have closed its connection.
    pub client: Option<Rc<ClientPresence>>,
}

impl IncomingRequest {
    /// The retry safety that the guard enforces. The signature is a second source beside the class: without it, a request under a
    /// wrong class would also be guarded by that class.
    fn guarded_retry_safety(&self, of_class: RetrySafety) -> RetrySafety {
        match class_signature(&self.method, &self.headers) {
            ClassSignature::WithoutIdempotencyKey => RetrySafety::AtMostOnce,
            ClassSignature::SafeMethod | ClassSignature::WithIdempotencyKey => of_class,
        }
    }

    /// The name of the route as a metric label.
    pub(super) fn route_name(&self) -> &str {
        self.route.as_ref().map_or(NO_ROUTE, |route| &route.name)
    }
}

/// The properties of a request that indicate its retry safety.
pub fn class_signature(method: &Method, headers: &HeaderMap) -> ClassSignature {
    let has_key = headers.get("idempotency-key").is_some_and(|key| !key.is_empty());
    match (method == Method::POST, has_key) {
        (true, true) => ClassSignature::WithIdempotencyKey,
        (true, false) => ClassSignature::WithoutIdempotencyKey,
        (false, _) => ClassSignature::SafeMethod,
    }
}

/// The one final response to a request.
pub enum FinalResponse {
    /// A server's response: its content type and its body.
    Served(Option<HeaderValue>, ResponseBody),
    /// The request was shed and has not been executed. Holds the time after which the client may retry.
    Shed(Option<Micros>),
    /// The request failed, and may have been executed.
    Failed(StatusCode),
}

/// A request that the driver has accepted.
#[must_use = "dropping the receiver discards the response"]
pub struct SubmittedRequest {
    /// Identifies the request in calls to the driver.
    pub id: RequestId,
    /// Receives the final response.
    pub response: oneshot::Receiver<FinalResponse>,
    /// Telemetry of the request until its response is written; none without remote write.
    pub timer: Option<PendingTimer>,
}

/// A pending request: one without a final response.
pub(super) struct PendingRequest {
    pub(super) request: Rc<IncomingRequest>,
    /// The number of attempts that have been scheduled so far.
    pub(super) attempts: u32,
    pub(super) history: AttemptHistory,
    /// Whether the request has its id, which no other request may have meanwhile.
    pub(super) holds_claim: bool,
    /// Whether the attempt that finished last timed out.
    pub(super) last_timed_out: bool,
    response: oneshot::Sender<FinalResponse>,
}

impl PendingRequest {
    /// Whether a part of a streaming body has been forwarded and is no longer buffered, so that no further attempt
    /// can send the body.
    fn is_partly_sent(&self) -> bool {
        self.request.body.upload().is_some_and(|upload| upload.is_partly_sent())
    }
}

/// The requests without a final response.
#[derive(Default)]
pub(super) struct PendingRequests {
    next_id: u64,
    pending: HashMap<RequestId, PendingRequest>,
}

impl PendingRequests {
    fn allocate_id(&mut self) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        id
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.pending.get_mut(&id)
    }

    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.pending.contains_key(&id)
    }

    /// Whether the client of a request may have closed its connection, so that no attempt may begin.
    pub(super) fn may_have_been_left(&self, id: RequestId) -> bool {
        let client = self.pending.get(&id).and_then(|pending| pending.request.client.as_ref());
        client.is_some_and(|client| client.may_have_left())
    }

    pub(super) fn is_partly_sent(&self, id: RequestId) -> bool {
        self.pending.get(&id).is_some_and(PendingRequest::is_partly_sent)
    }

    /// Whether the attempt of a request that finished last timed out.
    fn last_timed_out(&self, id: RequestId) -> bool {
        self.pending.get(&id).is_some_and(|pending| pending.last_timed_out)
    }
}

impl Driver {
    /// Passes a request to the balancer.
    pub fn submit(self: &Rc<Self>, incoming: IncomingRequest) -> SubmittedRequest {
        self.accept(incoming, None)
    }

    /// Rejects a request, of which no attempt is sent.
    pub fn reject(self: &Rc<Self>, incoming: IncomingRequest, reason: ResponseReason) -> SubmittedRequest {
        self.accept(incoming, Some(reason))
    }

    fn accept(
        self: &Rc<Self>,
        incoming: IncomingRequest,
        rejection: Option<ResponseReason>,
    ) -> SubmittedRequest {
        let (sender, response) = oneshot::channel();
        let (id, timer) = self.add_request(incoming, rejection, sender);
        self.pump();
        SubmittedRequest { id, response, timer }
    }

    fn add_request(
        &self,
        incoming: IncomingRequest,
        rejection: Option<ResponseReason>,
        response: oneshot::Sender<FinalResponse>,
    ) -> (RequestId, Option<PendingTimer>) {
        let mut state = self.state.borrow_mut();
        let id = state.requests.allocate_id();
        let now = self.clock.now();
        let time_left = self.response_due_at(incoming.deadline).since(now);
        self.request_log.on_request(&incoming.request_id, incoming.class.id(), duration(time_left));
        let request = state.balancer_request(id, &incoming, time_left, now);
        let timer = self.start_pending_timer(id, &incoming);
        let retry_safety = incoming.guarded_retry_safety(state.retry_safety(incoming.class.id()));
        let claim = self.claim_id(&incoming, retry_safety);
        let history = AttemptHistory::new(retry_safety);
        let pending = PendingRequest {
            request: Rc::new(incoming),
            attempts: 0,
            history,
            holds_claim: claim == Some(Claim::Granted),
            last_timed_out: false,
            response,
        };
        state.requests.pending.insert(id, pending);
        match rejection.or_else(|| self.rejection_on_arrival(now, time_left)) {
            _ if claim == Some(Claim::Taken) => {
                let conflict = FinalResponse::Failed(StatusCode::CONFLICT);
                self.respond(&mut state, id, conflict, ResponseReason::AlreadyExecuted);
            }
            _ if claim == Some(Claim::Unavailable) => {
                self.respond(&mut state, id, FinalResponse::Shed(None), ResponseReason::ClaimUnavailable);
            }
            // No attempt of the request has been sent, so the client can safely retry it.
            Some(reason) => self.respond(&mut state, id, FinalResponse::Shed(None), reason),
            None => state.events.push_back(Event::Request(request)),
        }
        if let Some(peers) = &*self.peers.borrow() {
            peers.on_request_received();
        }
        (id, timer)
    }

    /// Why a request that has just been received is rejected at once; none if it is not.
    fn rejection_on_arrival(&self, now: Time, time_left: Micros) -> Option<ResponseReason> {
        if self.guard.borrow().must_respond_to_all(now) {
            Some(ResponseReason::Shutdown)
        } else if time_left == Micros::ZERO {
            Some(ResponseReason::Expired)
        } else {
            None
        }
    }

    fn start_pending_timer(&self, id: RequestId, incoming: &IncomingRequest) -> Option<PendingTimer> {
        let telemetry = self.telemetry.clone()?;
        let client_deadline = self.clock.at(incoming.client_deadline);
        let tenant = incoming.tenant.map(|tenant| tenant.0);
        telemetry.request_received(
            id.0,
            incoming.class.id().0,
            tenant,
            incoming.route_name(),
            client_deadline,
        );
        Some(PendingTimer::new(telemetry, self.clock, id, incoming.class.id().0, incoming.received_at))
    }

    /// Handles the last byte of a streaming request body; the response is due by `deadline`.
    pub fn on_body_complete(self: &Rc<Self>, id: RequestId, deadline: Instant) {
        {
            let mut state = self.state.borrow_mut();
            let Some(attempts) = state.requests.get_mut(id).map(|pending| pending.attempts) else { return };
            let due_at = self.response_due_at(deadline);
            state.attempts.set_deadline(id, attempts, self.clock.instant(due_at));
            let time_left = due_at.since(self.clock.now());
            state.events.push_back(Event::BodyComplete { request: id, time_left });
        }
        self.pump();
    }

    /// Handles a client that has disconnected or whose deadline has passed, with so many bytes behind its request. Completely written
    /// attempts continue and their outcomes still count; the others are cancelled. Does nothing after the final response.
    pub fn on_client_disconnected(self: &Rc<Self>, id: RequestId, following_bytes: u64) {
        {
            let mut state = self.state.borrow_mut();
            let Some(pending) = state.requests.pending.remove(&id) else { return };
            let IncomingRequest { request_id, received_at, .. } = &*pending.request;
            self.request_log.on_client_disconnected(request_id, received_at.elapsed(), following_bytes);
            self.on_ended(&state, id, &pending);
            state.attempts.cancel_unwritten(id, pending.attempts);
            state.events.push_back(Event::ClientDisconnected { request: id });
        }
        self.pump();
    }

    /// Fails a pending request with 408, since its body is incomplete and its connection is needed for another client.
    pub fn fail_incomplete(self: &Rc<Self>, request: RequestId) {
        self.fail_pending(request, StatusCode::REQUEST_TIMEOUT, ResponseReason::ConnectionLimit);
    }

    /// Fails a pending request whose body cannot be completed, with 400 or 413. No server can have got it whole.
    pub fn fail_broken_upload(self: &Rc<Self>, request: RequestId, broken: BrokenUpload) {
        let (status, reason) = match broken {
            BrokenUpload::Malformed => (StatusCode::BAD_REQUEST, ResponseReason::MalformedBody),
            BrokenUpload::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, ResponseReason::BodyTooLarge),
        };
        self.fail_pending(request, status, reason);
    }

    /// Fails a pending request with this status, since it has turned out not to be sound.
    pub fn fail_unsound(self: &Rc<Self>, request: RequestId, status: StatusCode) {
        self.fail_pending(request, status, ResponseReason::Unsound);
    }

    /// Fails a pending request with 504, since its server has not taken its body, and its client may have waited for its whole
    /// timeout meanwhile.
    pub fn fail_held_up_upload(self: &Rc<Self>, request: RequestId) {
        self.fail_pending(request, StatusCode::GATEWAY_TIMEOUT, ResponseReason::BodyHeldUp);
    }

    fn fail_pending(self: &Rc<Self>, request: RequestId, status: StatusCode, reason: ResponseReason) {
        self.abandon(&mut self.state.borrow_mut(), request, status, reason);
        self.pump();
    }

    /// Fails all pending requests with 504, since the process exits before their deadlines.
    pub fn fail_pending_requests(self: &Rc<Self>) {
        {
            let mut state = self.state.borrow_mut();
            let pending: Vec<RequestId> = state.requests.pending.keys().copied().collect();
            for request in pending {
                self.abandon(&mut state, request, StatusCode::GATEWAY_TIMEOUT, ResponseReason::Shutdown);
            }
        }
        self.pump();
    }

    /// Fails a request without waiting for the balancer, which then forgets it.
    fn abandon(&self, state: &mut State, request: RequestId, status: StatusCode, reason: ResponseReason) {
        self.respond(state, request, FinalResponse::Failed(status), reason);
        state.events.push_back(Event::ClientDisconnected { request });
    }

    /// The number of pending requests.
    pub fn pending_requests(&self) -> usize {
        self.state.borrow().requests.pending.len()
    }

    /// The `X-Request-ID` values of the pending requests.
    pub fn pending_request_ids(&self) -> Vec<Rc<str>> {
        let state = self.state.borrow();
        state.requests.pending.values().map(|pending| pending.request.request_id.clone()).collect()
    }

    /// The time at which the response to a request with this deadline is due. A shutdown of the process may make it
    /// earlier.
    pub(super) fn response_due_at(&self, deadline: Instant) -> Time {
        self.guard.borrow().respond_by(self.clock.at(deadline))
    }

    /// Responds to a request for which the balancer schedules no further attempt: with 504 if its latest outcome is a
    /// timeout, otherwise with 502.
    pub(super) fn fail(&self, state: &mut State, request: RequestId) {
        let status = match state.requests.last_timed_out(request) {
            true => StatusCode::GATEWAY_TIMEOUT,
            false => StatusCode::BAD_GATEWAY,
        };
        self.respond(state, request, FinalResponse::Failed(status), ResponseReason::Failed);
    }

    /// Gives a request its final response and cancels its attempts that are not completely written. Does nothing if the
    /// request already has one.
    pub(super) fn respond(
        &self,
        state: &mut State,
        id: RequestId,
        response: FinalResponse,
        reason: ResponseReason,
    ) {
        let Some(pending) = state.requests.pending.remove(&id) else { return };
        self.request_log.on_response(&pending.request.request_id, reason);
        self.on_ended(state, id, &pending);
        state.attempts.cancel_unwritten(id, pending.attempts);
        // The receiver has been dropped if the client has just disconnected.
        let _ = pending.response.send(response);
    }
}

impl State {
    /// Converts a request to the balancer's type.
    fn balancer_request(
        &self,
        id: RequestId,
        incoming: &IncomingRequest,
        time_left: Micros,
        now: Time,
    ) -> Request {
        Request {
            tenant: incoming.tenant,
            key: incoming.key,
            cost_hint: incoming.cost_hint,
            is_retry: incoming.is_retry,
            streaming: incoming.body.upload().is_some(),
            limits: self.limits(incoming.route.as_deref(), now),
            hedge_after: self.hedge_delay(incoming),
            ..Request::new(id, incoming.class.id(), time_left)
        }
    }

    /// The limits of a route. For some time after a reload, the previous maximum number of attempts applies too.
    fn limits(&self, route: Option<&Route>, now: Time) -> Option<Arc<Limits>> {
        let limits = route.map(|route| route.limits.clone());
        let Some(max_attempts) = self.attempt_limit.max_attempts(now) else { return limits };
        let limits = limits.as_deref().unwrap_or(&Limits::STANDARD).clone();
        let max_attempts = limits.max_attempts.min(max_attempts);
        Some(Arc::new(Limits { max_attempts, ..limits }))
    }

    /// The delay before a hedged request is sent. None for a streaming body, which only one attempt can read.
    fn hedge_delay(&self, incoming: &IncomingRequest) -> Option<Micros> {
        let route = incoming.route.as_ref().filter(|_| incoming.body.upload().is_none())?;
        match route.hedge {
            HedgePolicy::Never => None,
            HedgePolicy::After(delay) => Some(delay),
            HedgePolicy::Percentile(percentile) => {
                self.response_times[incoming.class.id().0].percentile(percentile)
            }
        }
    }

    /// The retry safety of a class; requests of a class without settings may be executed at most once.
    fn retry_safety(&self, class: ClassId) -> RetrySafety {
        let class = self.balancer.settings().classes.get(class.0);
        class.map_or(RetrySafety::AtMostOnce, |class| class.retry_safety)
    }
}
