//! The body of a response to a client, and the completion of its request with the last byte.

use super::connection::ClientConnection;
use super::OpenRequestId;
use crate::daemon::status::{self, RequestOutcome};
use crate::memory::BodyBytes;
use crate::request_log::RequestLog;
use crate::telemetry::PendingTimer;
use crate::upstream::{Relay, RelayError};
use bellcroft_telemetry::FinalOutcome;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Completes a request once hyper has its complete response. Holds the request's counter, its timer, and its id, which then
/// becomes available again.
pub struct ResponseCompletion {
    counter: Option<status::PendingGuard>,
    timer: Option<PendingTimer>,
    outcome: RequestOutcome,
    open_id: OpenRequestId,
    request_log: Rc<RequestLog>,
}

impl ResponseCompletion {
    /// The completion of a request whose response is decided; `outcome` applies if the response is sent completely.
    pub fn new(
        counter: status::PendingGuard,
        timer: Option<PendingTimer>,
        outcome: RequestOutcome,
        open_id: OpenRequestId,
        request_log: Rc<RequestLog>,
    ) -> Self {
        ResponseCompletion { counter: Some(counter), timer, outcome, open_id, request_log }
    }

    /// Called when a response begins that goes on while its server sends it.
    fn begin(&self) {
        if let Some(timer) = &self.timer {
            timer.on_response_begun();
        }
    }

    /// Called when a response that has begun stays incomplete.
    fn fail(&mut self, error: RelayError) {
        self.request_log.on_response_cut_off(self.open_id.id(), error);
        if let Some(counter) = self.counter.take() {
            counter.finish(RequestOutcome::Failed);
        }
        if let Some(timer) = self.timer.take() {
            timer.on_response_failed();
        }
    }

    /// Called when the response is finished with this outcome, and its last byte is about to be written.
    fn finish(&mut self, outcome: RequestOutcome, client: &ClientConnection) {
        if let Some(counter) = self.counter.take() {
            counter.finish(outcome);
        }
        if let Some(mut timer) = self.timer.take() {
            timer.set_outcome(match outcome {
                RequestOutcome::Served => FinalOutcome::Served,
                RequestOutcome::Rejected => FinalOutcome::Shed,
                RequestOutcome::Failed => FinalOutcome::Failed,
                RequestOutcome::ClientDisconnected => FinalOutcome::ClientLeft,
            });
            client.set_response_timer(timer);
        }
    }
}

enum BodySource {
    Complete(BodyBytes),
    Relayed(Box<Relay>),
}

/// The body of a response to a client.
pub struct ClientResponseBody {
    source: BodySource,
    completion: Option<ResponseCompletion>,
    /// The connection, which is notified when the body is finished; none until [`ClientResponseBody::attach_to`].
    client: Option<Rc<ClientConnection>>,
}

impl ClientResponseBody {
    /// A complete body.
    pub fn complete(bytes: BodyBytes) -> Self {
        ClientResponseBody { source: BodySource::Complete(bytes), completion: None, client: None }
    }

    /// A body that is forwarded while a server sends it.
    pub fn relayed(relay: Box<Relay>) -> Self {
        ClientResponseBody { source: BodySource::Relayed(relay), completion: None, client: None }
    }

    /// Sets what completes the request when the body is finished.
    pub fn set_completion(&mut self, completion: ResponseCompletion) {
        self.completion = Some(completion);
    }

    /// Sets the connection that the body is written to next. A complete body counts as finished from this call on.
    pub fn attach_to(&mut self, client: &Rc<ClientConnection>) {
        self.client = Some(client.clone());
        match (&self.source, &self.completion) {
            (BodySource::Complete(_), _) => self.on_finished(),
            (BodySource::Relayed(_), Some(completion)) => completion.begin(),
            (BodySource::Relayed(_), None) => {}
        }
    }

    fn on_cut_off(&mut self, error: RelayError) {
        if let Some(mut completion) = self.completion.take() {
            completion.fail(error);
        }
    }

    fn on_finished(&mut self) {
        if let (Some(mut completion), Some(client)) = (self.completion.take(), &self.client) {
            let outcome = completion.outcome;
            completion.finish(outcome, client);
        }
    }
}

impl Drop for ClientResponseBody {
    fn drop(&mut self) {
        // If the body is dropped before its end, the client has disconnected, and the dropped completion records that.
        if let Some(client) = &self.client {
            client.on_response_body_finished();
        }
    }
}

impl Body for ClientResponseBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        let next = match &mut self.source {
            BodySource::Complete(bytes) => Poll::Ready(bytes.pop().map(Ok)),
            BodySource::Relayed(relay) => relay.poll_next(cx),
        };
        match &next {
            Poll::Ready(None) => self.on_finished(),
            // The client detects the failure: the body is shorter than its declared length, or has no last chunk.
            Poll::Ready(Some(Err(error))) => self.on_cut_off(*error),
            Poll::Ready(Some(Ok(_))) if self.is_end_stream() => self.on_finished(),
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        next.map(|next| next.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            BodySource::Complete(bytes) => bytes.is_empty(),
            BodySource::Relayed(relay) => relay.is_finished(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            BodySource::Complete(bytes) => SizeHint::with_exact(bytes.len() as u64),
            BodySource::Relayed(relay) => relay.length().map(SizeHint::with_exact).unwrap_or_default(),
        }
    }
}
