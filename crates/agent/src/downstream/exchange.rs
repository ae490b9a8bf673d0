//! One request from its head to its answer: submitted to the decisions, and withdrawn when its client leaves.

use super::connection::ClientConnection;
use super::reply::{Ending, Reply};
use super::request::header_text;
use super::response::{plain_response, response_for};
use super::{Server, LAST_RESPONSE_SHARE};
use crate::daemon::status::RequestOutcome;
use crate::driver::{Driver, FinalResponse, IncomingRequest, SubmittedRequest};
use bellcroft_balancer::RequestId;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::{Request, Response, StatusCode};
use std::cell::RefCell;
use std::collections::HashSet;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout_at;

/// The balancer ends each request by its deadline; should it not, the agent does, this much later.
const DEADLINE_SLACK: Duration = Duration::from_millis(4);

impl Server {
    pub(super) async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
        client: Rc<ClientConnection>,
    ) -> Result<Response<Reply>, Infallible> {
        let (mut answer, close) = match self.handle(request, &client).await {
            Ok(answer) => {
                (answer, self.service.get().closes_connections() || self.taken(LAST_RESPONSE_SHARE))
            }
            // Who cannot word a request is not trusted with the rest of the connection.
            Err(answer) => {
                self.tally.on_bad_request();
                if let Some(telemetry) = &self.driver.telemetry {
                    telemetry.bad_request();
                }
                (answer, true)
            }
        };
        if close {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer.body_mut().goes_over(&client);
        Ok(answer)
    }

    async fn handle(
        &self,
        request: Request<Incoming>,
        client: &ClientConnection,
    ) -> Result<Response<Reply>, Response<Reply>> {
        if client.ambiguous() {
            return Err(plain_response(
                StatusCode::BAD_REQUEST,
                "the request's length can be read in two ways",
            ));
        }
        if request.uri().path() == "/ready" {
            return Ok(if self.is_ready() {
                plain_response(StatusCode::OK, "ready")
            } else {
                plain_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
            });
        }
        let arrival = tokio::select! {
            biased;
            arrival = self.read(request) => arrival?,
            () = self.process_ends() => {
                return Ok(plain_response(StatusCode::SERVICE_UNAVAILABLE, "this process ends"));
            }
        };
        let Some(open) = self.claim_id(&arrival) else {
            return Err(plain_response(StatusCode::CONFLICT, "a request with this X-Request-ID is open"));
        };
        let (mut deadline, wait) = (arrival.deadline, arrival.response_timeout);
        let mut client_deadline = arrival.client_deadline;
        let upload = arrival.body.upload().cloned();
        if upload.is_none() {
            client.whole();
        }
        let counted = self.tally.on_request(&self.driver.class_name(arrival.class));
        let SubmittedRequest { id, response: mut answer, timer: owing } = self.driver.submit(arrival);
        // When the client leaves, hyper drops this future, and the guard tells the balancer.
        let _owed = PendingGuard(&self.driver, id);
        let mut early = None;
        if let Some(upload) = upload {
            tokio::select! {
                biased;
                answer = &mut answer => early = Some(Ok(answer)),
                () = upload.finished() => {
                    if let Some(whole) = upload.completed_at() {
                        client.whole();
                        deadline = whole + wait;
                        client_deadline = deadline;
                        self.driver.on_body_complete(id, deadline);
                    }
                }
            }
        }
        let answer = match early {
            Some(answer) => answer,
            None => timeout_at(deadline + DEADLINE_SLACK, answer).await,
        };
        self.driver.on_response_decided(open.id(), client.number(), client_deadline);
        let (how, mut response) = match answer {
            Ok(Ok(answer)) => (
                match answer {
                    FinalResponse::Served(..) => RequestOutcome::Served,
                    FinalResponse::Rejected(_) => RequestOutcome::Rejected,
                    FinalResponse::Failed(_) => RequestOutcome::Failed,
                },
                response_for(answer),
            ),
            Ok(Err(_)) => {
                (RequestOutcome::Failed, plain_response(StatusCode::BAD_GATEWAY, "no answer was decided"))
            }
            Err(_) => {
                (RequestOutcome::Failed, plain_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time"))
            }
        };
        response.body_mut().ends(Ending::new(counted, owing, how, open));
        Ok(response)
    }

    /// Marks a request's id as open; none if it is already. Ids are new with every request, and a second one would
    /// disturb the first.
    fn claim_id(&self, arrival: &IncomingRequest) -> Option<OpenId> {
        let id: Box<str> = header_text(&arrival.headers, "x-request-id").unwrap_or_default().into();
        let new = self.ids.borrow_mut().insert(id.clone());
        new.then(|| OpenId(self.ids.clone(), id))
    }
}

/// An id that is open as long as this is.
pub(super) struct OpenId(Rc<RefCell<HashSet<Box<str>>>>, Box<str>);

impl OpenId {
    fn id(&self) -> &str {
        &self.1
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.0.borrow_mut().remove(&self.1);
    }
}

/// Tells the balancer if a request ends without having been given its answer.
struct PendingGuard<'a>(&'a Rc<Driver>, RequestId);

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.0.on_client_disconnected(self.1);
    }
}
