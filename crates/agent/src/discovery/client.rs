//! One call to discovery over HTTP/1.1; its time limit is its caller's.

use super::codec::{parse_list, EndpointList};
use super::error::CallError;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, StatusCode};
use std::net::SocketAddr;
use tokio::task::JoinHandle;

/// The longest list that is read.
const MAX_LIST_BYTES: usize = 4 << 20;

pub(crate) type Connection = (SendRequest<Empty<Bytes>>, AbortOnDrop);

/// A task that ends with its owner.
pub(crate) struct AbortOnDrop(pub(crate) JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// One call. The connection is kept for the next call only if all went well.
pub(crate) async fn call(
    address: SocketAddr,
    kept: &mut Option<Connection>,
    path: &str,
) -> Result<EndpointList, CallError> {
    let mut connection = match kept.take() {
        Some(open) if !open.0.is_closed() => open,
        _ => connect(address).await?,
    };
    let sender = &mut connection.0;
    sender.ready().await.map_err(|_| CallError::Reset)?;
    let request = Request::get(path).header("host", address.to_string()).body(Empty::new());
    let request = request.map_err(|e| CallError::Unreadable(e.to_string()))?;
    let response = sender.send_request(request).await.map_err(|e| no_answer(&e))?;
    if response.status() != StatusCode::OK {
        return Err(CallError::Status(response.status().as_u16()));
    }
    let list = read_list(response.into_body()).await?;
    *kept = Some(connection);
    Ok(list)
}

async fn connect(address: SocketAddr) -> Result<Connection, CallError> {
    let stream = bellcroft_net::connect(address).await.map_err(|e| CallError::connect(e.cause()))?;
    let (sender, driven) = handshake(stream).await.map_err(|_| CallError::Reset)?;
    let task = tokio::task::spawn_local(async move {
        // Its end shows at the sender.
        let _ = driven.await;
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
    let unreadable = |why: String| CallError::Unreadable(why);
    let value = serde_json::from_slice(&body.to_bytes()).map_err(|e| unreadable(e.to_string()))?;
    parse_list(&value).map_err(|e| unreadable(e.to_string()))
}

/// A head that is no HTTP is told from a connection that ended.
fn no_answer(error: &hyper::Error) -> CallError {
    if error.is_parse() {
        return CallError::Unreadable("its head is no HTTP".to_owned());
    }
    CallError::Reset
}
