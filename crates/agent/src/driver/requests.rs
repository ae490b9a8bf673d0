//! Requests of clients: accepted from downstream, handed to the balancer, and each given one final response.

use super::{duration, Driver, State};
use crate::request_log::ResponseReason;
use crate::streaming_body::StreamingBody;
use crate::telemetry::{PendingTimer, NO_ROUTE};
use crate::upstream::Content;
use bellcroft_agent_core::guard::AttemptHistory;
use bellcroft_balancer::{
    ClassId, Event, KeyId, Limits, Micros, Request, RequestId, RetrySafety, TenantId, Time,
};
use bellcroft_routes::{HedgePolicy, Route};
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, StatusCode, Uri};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The longest time in which a streaming request body may arrive; progress time-outs apply as well.
pub const MAX_UPLOAD_TIME: Duration = Duration::from_secs(900);

/// The body of a request.
pub enum RequestBody {
    /// All bytes have been received.
    Complete(Bytes),
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
    /// The request target.
    pub uri: Uri,
    /// The headers that are forwarded.
    pub headers: HeaderMap,
    /// The body.
    pub body: RequestBody,
    /// The class whose rules apply.
    pub class: ClassId,
    /// The tenant, if the request names one.
    pub tenant: Option<TenantId>,
    /// The affinity key, if the request has one.
    pub key: Option<KeyId>,
    /// The client's estimate of the server time that the request needs.
    pub cost_hint: Option<Micros>,
    /// Whether the client marks the request as a retry of its own.
    pub is_retry: bool,
    /// When the response is due; for a streaming body, when its last byte is due.
    pub deadline: Instant,
    /// How long the response may take from the last byte of the request.
    pub response_timeout: Duration,
    /// When the request was complete, or the buffered part of a streaming one.
    pub received_at: Instant,
    /// When the client stops waiting.
    pub client_deadline: Instant,
    /// The `X-Request-ID` header.
    pub request_id: Rc<str>,
    /// The route that matched when the request arrived; a reload does not change it.
    pub route: Option<Arc<Route>>,
}

impl IncomingRequest {
    /// The route's name, as a label.
    pub(super) fn route_name(&self) -> &str {
        self.route.as_ref().map_or(NO_ROUTE, |route| &route.name)
    }
}

/// The one final response to a request.
pub enum FinalResponse {
    /// A server's response: its content type and its body.
    Served(Option<HeaderValue>, Content),
    /// Load was shed; nothing was executed. The client may retry after the given time.
    Rejected(Option<Micros>),
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
    /// Measures the request until its response is written; none without telemetry.
    pub timer: Option<PendingTimer>,
}

/// A request without a final response.
pub(super) struct PendingRequest {
    pub(super) request: Rc<IncomingRequest>,
    /// The number of attempts that the balancer has scheduled.
    pub(super) attempts: u32,
    pub(super) history: AttemptHistory,
    /// Whether the attempt that finished last timed out.
    pub(super) last_timed_out: bool,
    response: oneshot::Sender<FinalResponse>,
}

impl PendingRequest {
    /// Whether a part of a streaming body has been forwarded, so that no further attempt can send it.
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

    pub(super) fn is_partly_sent(&self, id: RequestId) -> bool {
        self.pending.get(&id).is_some_and(PendingRequest::is_partly_sent)
    }

    /// Whether the attempt of a request that finished last timed out.
    fn last_timed_out(&self, id: RequestId) -> bool {
        self.pending.get(&id).is_some_and(|pending| pending.last_timed_out)
    }
}

impl Driver {
    /// Hands a request to the balancer.
    pub fn submit(self: &Rc<Self>, incoming: IncomingRequest) -> SubmittedRequest {
        let (sender, response) = oneshot::channel();
        let (id, timer) = self.accept(incoming, sender);
        self.pump();
        SubmittedRequest { id, response, timer }
    }

    fn accept(
        &self,
        incoming: IncomingRequest,
        response: oneshot::Sender<FinalResponse>,
    ) -> (RequestId, Option<PendingTimer>) {
        let mut state = self.state.borrow_mut();
        let id = state.requests.allocate_id();
        let now = self.clock.now();
        let time_left = self.answer_by(incoming.deadline).since(now);
        self.request_log.on_request(&incoming.request_id, incoming.class, duration(time_left));
        let request = state.balancer_request(id, &incoming, time_left, now);
        let timer = self.start_pending_timer(id, &incoming);
        let history = AttemptHistory::new(state.retry_safety(incoming.class));
        let pending = PendingRequest {
            request: Rc::new(incoming),
            attempts: 0,
            history,
            last_timed_out: false,
            response,
        };
        state.requests.pending.insert(id, pending);
        if self.guard.borrow().must_answer_all(now) {
            // No attempt of it has been sent, so the rejection is safe to retry.
            self.respond(&mut state, id, FinalResponse::Rejected(None), ResponseReason::Shutdown);
        } else {
            state.events.push_back(Event::Request(request));
        }
        if let Some(peers) = &*self.peers.borrow() {
            peers.on_request_received();
        }
        (id, timer)
    }

    fn start_pending_timer(&self, id: RequestId, incoming: &IncomingRequest) -> Option<PendingTimer> {
        let telemetry = self.telemetry.clone()?;
        let client_deadline = self.clock.at(incoming.client_deadline);
        let tenant = incoming.tenant.map(|tenant| tenant.0);
        telemetry.request_received(id.0, incoming.class.0, tenant, incoming.route_name(), client_deadline);
        Some(PendingTimer::new(telemetry, self.clock, id, incoming.class.0, incoming.received_at))
    }

    /// The last byte of a streaming request body has been received; the response is due by `deadline`.
    pub fn on_body_complete(self: &Rc<Self>, id: RequestId, deadline: Instant) {
        {
            let mut state = self.state.borrow_mut();
            let Some(attempts) = state.requests.get_mut(id).map(|pending| pending.attempts) else { return };
            let answer_by = self.answer_by(deadline);
            state.attempts.set_deadline(id, attempts, self.clock.instant(answer_by));
            let time_left = answer_by.since(self.clock.now());
            state.events.push_back(Event::BodyComplete { request: id, time_left });
        }
        self.pump();
    }

    /// The client has disconnected, or its deadline has passed. Attempts that are completely written go on and their
    /// outcomes still count; nothing more of the others is written. Does nothing after the final response.
    pub fn on_client_disconnected(self: &Rc<Self>, id: RequestId) {
        {
            let mut state = self.state.borrow_mut();
            let Some(pending) = state.requests.pending.remove(&id) else { return };
            self.request_log.on_client_disconnected(&pending.request.request_id);
            state.attempts.cancel_unwritten(id, pending.attempts);
            state.events.push_back(Event::ClientDisconnected { request: id });
        }
        self.pump();
    }

    /// Fails every pending request: the process ends before their deadlines.
    pub fn fail_pending_requests(self: &Rc<Self>) {
        {
            let mut state = self.state.borrow_mut();
            let pending: Vec<RequestId> = state.requests.pending.keys().copied().collect();
            for request in pending {
                let response = FinalResponse::Failed(StatusCode::GATEWAY_TIMEOUT);
                self.respond(&mut state, request, response, ResponseReason::Shutdown);
                state.events.push_back(Event::ClientDisconnected { request });
            }
        }
        self.pump();
    }

    /// The number of requests without a final response.
    pub fn pending(&self) -> usize {
        self.state.borrow().requests.pending.len()
    }

    /// The ids of the requests without a final response.
    pub fn pending_ids(&self) -> Vec<Rc<str>> {
        let state = self.state.borrow();
        state.requests.pending.values().map(|pending| pending.request.request_id.clone()).collect()
    }

    /// When the response to a request with this deadline is due: no later than the process's shutdown allows.
    fn answer_by(&self, deadline: Instant) -> Time {
        self.guard.borrow().answer_by(self.clock.at(deadline))
    }

    /// The balancer gives a request up.
    pub(super) fn fail(&self, state: &mut State, request: RequestId) {
        let status = match state.requests.last_timed_out(request) {
            true => StatusCode::GATEWAY_TIMEOUT,
            false => StatusCode::BAD_GATEWAY,
        };
        self.respond(state, request, FinalResponse::Failed(status), ResponseReason::Failed);
    }

    /// Gives a request its final response, and stops the writing of its attempts. Does nothing if it has one.
    pub(super) fn respond(
        &self,
        state: &mut State,
        id: RequestId,
        response: FinalResponse,
        reason: ResponseReason,
    ) {
        let Some(pending) = state.requests.pending.remove(&id) else { return };
        self.request_log.on_response(&pending.request.request_id, reason);
        state.attempts.cancel_unwritten(id, pending.attempts);
        // The receiver is gone if the client disconnected at this moment.
        let _ = pending.response.send(response);
    }
}

impl State {
    /// The request in the balancer's terms.
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
            ..Request::new(id, incoming.class, time_left)
        }
    }

    /// The limits of a route, with the former maximum of attempts while a reload's transition lasts.
    fn limits(&self, route: Option<&Route>, now: Time) -> Option<Arc<Limits>> {
        let limits = route.map(|route| route.limits.clone());
        let Some(max_attempts) = self.attempt_limit.max_attempts(now) else { return limits };
        let limits = limits.as_deref().unwrap_or(&Limits::STANDARD).clone();
        let max_attempts = limits.max_attempts.min(max_attempts);
        Some(Arc::new(Limits { max_attempts, ..limits }))
    }

    /// The time after which a hedged request is sent. None for a streaming body, which only one attempt can read.
    fn hedge_delay(&self, incoming: &IncomingRequest) -> Option<Micros> {
        let route = incoming.route.as_ref().filter(|_| incoming.body.upload().is_none())?;
        match route.hedge {
            HedgePolicy::Never => None,
            HedgePolicy::After(delay) => Some(delay),
            HedgePolicy::Percentile(percentile) => {
                self.response_times[incoming.class.0].percentile(percentile)
            }
        }
    }

    /// Whether requests of a class may be executed more than once; at most once for a class without settings.
    fn retry_safety(&self, class: ClassId) -> RetrySafety {
        let class = self.balancer.settings().classes.get(class.0);
        class.map_or(RetrySafety::AtMostOnce, |class| class.retry_safety)
    }
}
