//! The body of an answer to a client, and what ends with its last byte.

use super::connection::ClientConnection;
use super::OpenId;
use crate::daemon::status::{self, RequestOutcome};
use crate::telemetry::PendingTimer;
use crate::upstream::Relay;
use bellcroft_telemetry::FinalOutcome;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// A request whose answer is on its way to its client: it is counted, and its id is free again, once that is out.
pub struct Ending {
    counted: Option<status::PendingGuard>,
    owing: Option<PendingTimer>,
    how: RequestOutcome,
    _id: OpenId,
}

impl Ending {
    /// An answer that is decided and ends like this, if it ends whole.
    pub fn new(
        counted: status::PendingGuard,
        owing: Option<PendingTimer>,
        how: RequestOutcome,
        id: OpenId,
    ) -> Self {
        Ending { counted: Some(counted), owing, how, _id: id }
    }

    /// The answer is over: `how` it ended; its last byte is on its way to the socket.
    fn over(&mut self, how: RequestOutcome, client: &ClientConnection) {
        if let Some(counted) = self.counted.take() {
            counted.finish(how);
        }
        if let Some(mut owing) = self.owing.take() {
            owing.set_outcome(match how {
                RequestOutcome::Served => FinalOutcome::Served,
                RequestOutcome::Rejected => FinalOutcome::Shed,
                RequestOutcome::Failed => FinalOutcome::Failed,
                RequestOutcome::ClientDisconnected => FinalOutcome::ClientLeft,
            });
            client.owe(owing);
        }
    }
}

enum Content {
    Whole(Option<Bytes>),
    Passing(Box<Relay>),
}

/// An answer's body.
pub struct Reply {
    content: Content,
    ending: Option<Ending>,
    /// Told once the body is over; none before it belongs to a connection.
    client: Option<Rc<ClientConnection>>,
}

impl Reply {
    /// A body that is here whole.
    pub fn whole(bytes: Bytes) -> Self {
        Reply { content: Content::Whole(Some(bytes)), ending: None, client: None }
    }

    /// One that is passed on as it comes.
    pub fn passing(relay: Box<Relay>) -> Self {
        Reply { content: Content::Passing(relay), ending: None, client: None }
    }

    /// What ends with it.
    pub fn ends(&mut self, ending: Ending) {
        self.ending = Some(ending);
    }

    /// It is the next that goes out over this connection. What is here whole is as good as on its way.
    pub fn goes_over(&mut self, client: &Rc<ClientConnection>) {
        self.client = Some(client.clone());
        if let (Content::Whole(_), Some(mut ending)) = (&self.content, self.ending.take()) {
            let how = ending.how;
            ending.over(how, client);
        }
    }

    fn over(&mut self, how: Option<RequestOutcome>) {
        if let (Some(mut ending), Some(client)) = (self.ending.take(), &self.client) {
            let how = how.unwrap_or(ending.how);
            ending.over(how, client);
        }
    }
}

impl Drop for Reply {
    fn drop(&mut self) {
        // A body that is dropped before its end belongs to a client that has left: its guards say so.
        if let Some(client) = &self.client {
            client.body_over();
        }
    }
}

impl Body for Reply {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let next = match &mut self.content {
            Content::Whole(bytes) => Poll::Ready(bytes.take().filter(|b| !b.is_empty()).map(Ok)),
            Content::Passing(relay) => relay.poll_next(cx),
        };
        match &next {
            Poll::Ready(None) => self.over(None),
            // The client can tell: its answer ends short of its length, or with no last chunk.
            Poll::Ready(Some(Err(_))) => self.over(Some(RequestOutcome::Failed)),
            Poll::Ready(Some(Ok(_))) if self.is_end_stream() => self.over(None),
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        next.map(|next| next.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Content::Passing(relay) => relay.over(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Content::Passing(relay) => relay.length().map(SizeHint::with_exact).unwrap_or_default(),
        }
    }
}
