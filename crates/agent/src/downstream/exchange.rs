//! Handles a request from its head to its response: submits it to the driver, and withdraws it if its client disconnects.

use super::connection::{ClientConnection, RequestRejection};
use super::request::ReadError;
use super::response::{plain_response, response_for, unsound_response};
use super::response_body::{ClientResponseBody, ResponseCompletion};
use super::{Server, LAST_RESPONSE_SHARE, READINESS_PATH};
use crate::daemon::status::RequestOutcome;
use crate::driver::{Driver, FinalResponse, IncomingRequest, SubmittedRequest};
use crate::request_log::ResponseReason;
use crate::sound_request::{request_id, UnsoundFinding};
use crate::streaming_body::{StreamingBody, UploadEnd};
use bellcroft_balancer::RequestId;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::{Request, Response, StatusCode};
use std::cell::RefCell;
use std::collections::HashSet;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::error::Elapsed;
use tokio::time::{timeout_at, Instant};

/// The time after a request's deadline at which the agent stops waiting for the balancer's response, which is due by the
/// deadline.
const DEADLINE_SLACK: Duration = Duration::from_millis(4);

/// The text of the refusal of a request for whose head there is no memory.
const NO_MEMORY_FOR_HEAD: &str = "no memory is left for a request with so long a head";
/// The text of the refusal of a request for whose body there is no memory.
const NO_MEMORY: &str = "no memory is left for the request's body";
/// The text of the refusal of a request whose connection is evicted before its body is complete.
const INCOMPLETE_REQUEST: &str = "the request is incomplete, and its connection is needed for another client";

impl Server {
    pub(super) async fn respond(
        self: Rc<Self>,
        request: Request<Incoming>,
        client: Rc<ClientConnection>,
    ) -> Result<Response<ClientResponseBody>, Infallible> {
        let (mut response, close) = match self.handle(request, &client).await {
            Ok(response) => {
                (response, self.service.get().closes_connections() || self.usage_reaches(LAST_RESPONSE_SHARE))
            }
            // After a request that is not sound, the following bytes of the connection cannot be trusted either.
            Err(response) => (response, true),
        };
        if close {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        client.on_response();
        response.body_mut().attach_to(&client);
        Ok(response)
    }

    /// Handles a request; the error is the response to one that is not sound.
    async fn handle(
        &self,
        request: Request<Incoming>,
        client: &ClientConnection,
    ) -> Result<Response<ClientResponseBody>, Response<ClientResponseBody>> {
        match client.rejection() {
            None => {}
            Some(RequestRejection::OutOfMemory) => return Ok(closing_refusal(NO_MEMORY_FOR_HEAD)),
            Some(RequestRejection::Unsound(unsound)) => {
                return Err(self.refuse_unsound(request_id(request.headers()), unsound));
            }
        }
        if request.uri().path() == READINESS_PATH {
            return Ok(if self.is_ready() {
                plain_response(StatusCode::OK, "ready")
            } else {
                plain_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
            });
        }
        let incoming = tokio::select! {
            biased;
            incoming = self.read_request(request, client) => match incoming {
                Ok(incoming) => incoming,
                Err(ReadError::Unsound(unsound)) => return Err(unsound_response(unsound)),
                Err(ReadError::OutOfMemory) => return Ok(closing_refusal(NO_MEMORY)),
            },
            () = self.until_incomplete_refused() => {
                return Ok(plain_response(StatusCode::SERVICE_UNAVAILABLE, "this process ends"));
            }
            () = client.refused() => return Ok(closing_refusal(INCOMPLETE_REQUEST)),
        };
        if let Some(unsound) = client.unsound() {
            return Err(self.refuse_unsound(Some(&incoming.request_id), unsound));
        }
        let Some(open_id) = self.claim_id(&incoming) else {
            self.count_bad_request();
            return Err(plain_response(StatusCode::CONFLICT, "a request with this X-Request-ID is open"));
        };
        let upload = incoming.body.upload().cloned();
        if upload.is_none() {
            client.on_request_complete();
        }
        let mut pending = PendingExchange::new(&incoming);
        let counter = self.request_counters.on_request(&self.driver.class_name(incoming.class.id()));
        let SubmittedRequest { id, response, timer } = if self.is_saturated() {
            self.driver.reject(incoming, ResponseReason::ConnectionLimit)
        } else {
            self.driver.submit(incoming)
        };
        // hyper drops this future when the client disconnects; the guard then notifies the driver.
        let _guard = DisconnectGuard { driver: &self.driver, request: id, client };
        let (outcome, mut response) = tokio::select! {
            biased;
            unsound = client.found_unsound() => {
                self.driver.fail_unsound(id, unsound.status());
                return Err(self.refuse_unsound(Some(open_id.id()), unsound));
            }
            decided = self.await_decision(id, response, upload, &mut pending, client) => decided,
        };
        let latest_deadline = pending.client_deadline + client.late_allowance();
        self.driver.on_response_decided(open_id.id(), client.number(), latest_deadline);
        client.on_response_decided(pending.client_deadline);
        let request_log = self.driver.request_log.clone();
        let completion = ResponseCompletion::new(counter, timer, outcome, open_id, request_log);
        response.body_mut().set_completion(completion);
        if pending.is_malformed {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    /// Counts and logs a request that is not sound, and returns its response; its id is given if it has a sound one.
    fn refuse_unsound(
        &self,
        request_id: Option<&str>,
        unsound: UnsoundFinding,
    ) -> Response<ClientResponseBody> {
        self.on_unsound(request_id, unsound);
        unsound_response(unsound)
    }

    /// Receives the rest of the request, waits for its response, and has read what has arrived behind it by then.
    async fn await_decision(
        &self,
        id: RequestId,
        mut response: oneshot::Receiver<FinalResponse>,
        upload: Option<Rc<StreamingBody>>,
        pending: &mut PendingExchange,
        client: &ClientConnection,
    ) -> DecidedResponse {
        let early = match upload {
            Some(upload) => self.receive_upload(id, &mut response, &upload, pending, client).await,
            None => None,
        };
        let decided = match early {
            Some(response) => Ok(response),
            None => timeout_at(pending.deadline + DEADLINE_SLACK, response).await,
        };
        client.read_arrived().await;
        decided_response(decided)
    }

    /// Receives the rest of the request's body; returns the response if that is decided earlier.
    async fn receive_upload(
        &self,
        id: RequestId,
        response: &mut oneshot::Receiver<FinalResponse>,
        upload: &StreamingBody,
        pending: &mut PendingExchange,
        client: &ClientConnection,
    ) -> Option<ReceivedResponse> {
        let end = tokio::select! {
            biased;
            response = response => return Some(response),
            end = upload.receive(|| client.is_request_received(), pending.response_timeout) => end,
            () = client.refused() => {
                self.driver.fail_incomplete(id);
                return None;
            }
        };
        match end {
            UploadEnd::Complete(completed_at) => {
                client.on_request_complete();
                pending.on_complete(completed_at.min(client.request_received_at()));
                self.driver.on_body_complete(id, pending.deadline);
            }
            UploadEnd::Broken(broken) => {
                pending.is_malformed = true;
                self.driver.fail_broken_upload(id, broken);
            }
            UploadEnd::HeldUp => self.driver.fail_held_up_upload(id),
        }
        None
    }

    /// Marks a request's id as open; none if it is open already. Clients use a new id for each request, and a second open
    /// request with the same id would interfere with the first.
    fn claim_id(&self, incoming: &IncomingRequest) -> Option<OpenRequestId> {
        let id: Box<str> = (*incoming.request_id).into();
        let new = self.open_request_ids.borrow_mut().insert(id.clone());
        new.then(|| OpenRequestId(self.open_request_ids.clone(), id))
    }
}

/// The driver's final response, unless it has dropped the request.
type ReceivedResponse = Result<FinalResponse, oneshot::error::RecvError>;

/// The times of a request that waits for its response, and what became of its body.
struct PendingExchange {
    deadline: Instant,
    client_deadline: Instant,
    response_timeout: Duration,
    /// Whether the request's body has broken off, so that its connection has to be closed.
    is_malformed: bool,
}

impl PendingExchange {
    fn new(incoming: &IncomingRequest) -> Self {
        PendingExchange {
            deadline: incoming.deadline,
            client_deadline: incoming.client_deadline,
            response_timeout: incoming.response_timeout,
            is_malformed: false,
        }
    }

    /// Called when the last byte of a streaming body has been received, which arrived at `completed_at`.
    fn on_complete(&mut self, completed_at: Instant) {
        self.deadline = completed_at + self.response_timeout;
        self.client_deadline = self.deadline;
    }
}

/// The decided response to a request, and what it counts as.
type DecidedResponse = (RequestOutcome, Response<ClientResponseBody>);

fn decided_response(decided: Result<ReceivedResponse, Elapsed>) -> DecidedResponse {
    match decided {
        Ok(Ok(response)) => {
            let outcome = match response {
                FinalResponse::Served(..) => RequestOutcome::Served,
                FinalResponse::Shed(_) => RequestOutcome::Rejected,
                FinalResponse::Failed(_) => RequestOutcome::Failed,
            };
            (outcome, response_for(response))
        }
        Ok(Err(_)) => {
            (RequestOutcome::Failed, plain_response(StatusCode::BAD_GATEWAY, "no answer was decided"))
        }
        Err(_) => (RequestOutcome::Failed, plain_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time")),
    }
}

/// The response to a request of which nothing has been sent to a server, and after which its connection closes.
fn closing_refusal(text: &str) -> Response<ClientResponseBody> {
    let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, text);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// The id of an open request; dropping it makes the id available again.
pub(super) struct OpenRequestId(Rc<RefCell<HashSet<Box<str>>>>, Box<str>);

impl OpenRequestId {
    pub(super) fn id(&self) -> &str {
        &self.1
    }
}

impl Drop for OpenRequestId {
    fn drop(&mut self) {
        self.0.borrow_mut().remove(&self.1);
    }
}

/// Notifies the driver, when dropped, that the client of a request has disconnected; after a response this has no effect.
struct DisconnectGuard<'a> {
    driver: &'a Rc<Driver>,
    request: RequestId,
    client: &'a ClientConnection,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        self.driver.on_client_disconnected(self.request, self.client.following_bytes());
    }
}
