//! One call to discovery over HTTP/1.1.

use super::codec::{parse_list, EndpointList};
use crate::prompt::prompt;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// The longest list that is read.
const MAX_LIST_BYTES: usize = 4 << 20;

pub(crate) type Connection = (SendRequest<Empty<Bytes>>, Ended);

/// Ends a connection's task with its last user.
pub(crate) struct Ended(JoinHandle<()>);

impl Drop for Ended {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// One call; `None` if it failed in any way. The connection is kept for the next call only if all went well.
pub(crate) async fn call(
    address: SocketAddr,
    kept: &mut Option<Connection>,
    path: &str,
    within: Duration,
) -> Option<EndpointList> {
    let mut connection = kept.take();
    let exchange = async {
        if connection.as_mut().is_none_or(|(sender, _)| sender.is_closed()) {
            let stream = TcpStream::connect(address).await.ok()?;
            prompt(&stream);
            let (sender, driven) = handshake(TokioIo::new(stream)).await.ok()?;
            let task = tokio::task::spawn_local(async move {
                // Its end shows at the sender.
                let _ = driven.await;
            });
            connection = Some((sender, Ended(task)));
        }
        let (sender, _) = connection.as_mut()?;
        sender.ready().await.ok()?;
        let request = Request::get(path).header("host", address.to_string()).body(Empty::new()).ok()?;
        let response = sender.send_request(request).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect().await.ok()?.to_bytes();
        parse_list(&serde_json::from_slice(&body).ok()?)
    };
    // A cut-off discovery leaves its connection open and mute: no answer in time is a failure like any other.
    let answer = tokio::time::timeout(within, exchange).await.ok().flatten();
    if answer.is_some() {
        *kept = connection;
    }
    answer
}
