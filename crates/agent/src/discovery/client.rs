//! A single call to discovery over HTTP/1.1. The caller applies the timeout.

use super::codec::{parse_list, EndpointList};
use super::error::CallError;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, StatusCode};
use std::net::SocketAddr;
use tokio::task::JoinHandle;

/// The maximum size of a response body.
const MAX_LIST_BYTES: usize = 4 << 20;

pub(crate) type Connection = (SendRequest<Empty<Bytes>>, AbortOnDrop);

/// A task that is aborted when this handle is dropped.
pub(crate) struct AbortOnDrop(pub(crate) JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends a GET request for `path` and reads the endpoint list from the response. Uses the connection in `reusable` if
/// it is open, and stores the connection there for the next call only if this call succeeds.
pub(crate) async fn call(
    address: SocketAddr,
    reusable: &mut Option<Connection>,
    path: &str,
) -> Result<EndpointList, CallError> {
    let mut connection = match reusable.take() {
        Some(open) if !open.0.is_closed() => open,
        _ => connect(address).await?,
    };
    let sender = &mut connection.0;
    sender.ready().await.map_err(|_| CallError::Reset)?;
    let request = Request::get(path).header("host", address.to_string()).body(Empty::new());
    let request = request.map_err(|e| CallError::Unreadable(e.to_string()))?;
    let response = sender.send_request(request).await.map_err(|e| response_error(&e))?;
    if response.status() != StatusCode::OK {
        return Err(CallError::Status(response.status().as_u16()));
    }
    let list = read_list(response.into_body()).await?;
    *reusable = Some(connection);
    Ok(list)
}

async fn connect(address: SocketAddr) -> Result<Connection, CallError> {
    let stream = bellcroft_net::connect(address).await.map_err(|e| CallError::connect(e.cause()))?;
    let (sender, connection) = handshake(stream).await.map_err(|_| CallError::Reset)?;
    let task = tokio::task::spawn_local(async move {
        // The sender reports an error of the connection to its user.
        let _ = connection.await;
    });
    Ok((sender, AbortOnDrop(task)))
}

async fn read_list(body: Incoming) -> Result<EndpointList, CallError> {
    let body = Limited::new(body, MAX_LIST_BYTES).collect().await.map_err(|error| match error
        .downcast_ref::<LengthLimitError>()
    {
        Some(_) => CallError::TooLong,
        None => CallError::TruncatedBody,
    })?;
    let unreadable = |reason: String| CallError::Unreadable(reason);
    let value = serde_json::from_slice(&body.to_bytes()).map_err(|e| unreadable(e.to_string()))?;
    parse_list(&value).map_err(|e| unreadable(e.to_string()))
}

/// The cause of a missing response: an invalid response head, or any other error, which counts as a closed
/// connection.
fn response_error(error: &hyper::Error) -> CallError {
    if error.is_parse() {
        return CallError::Unreadable("response head is not valid HTTP".to_owned());
    }
    CallError::Reset
}
