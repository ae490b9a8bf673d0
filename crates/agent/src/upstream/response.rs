//! One request over a connection, and what its response means.

use super::attempt::{AttemptResult, ResponseBody};
use super::connection::Connection;
use super::load_report::parse_load_report;
use super::relay::Relay;
use super::Upstream;
use crate::streaming_body::OutgoingBody;
use bellcroft_agent_core::body_limits::{
    forwarding_mode, BufferingPhase, MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES,
};
use bellcroft_balancer::{Outcome, Time};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode};
use std::time::Duration;
use tokio::time::{timeout, timeout_at, Instant};

/// The longest head of a response, and the most that hyper buffers.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// All bytes that one response may bring: its body, what its framing adds, and heads, those of 1xx responses ahead of it
/// among them. A backend that goes on past that is noise, however well formed.
const MAX_RESPONSE_BYTES: u64 = 2 * (MAX_BUFFERED_BODY_BYTES + MAX_HEAD_BYTES) as u64;
/// The same for one that is passed on: pieces of a single byte each carry six of framing.
pub const MAX_RELAYED_BYTES: u64 = 8 * MAX_BODY_BYTES;

/// The start of a body: all of a short one, or as much of a long one as is kept back before it goes on.
pub struct BodyStart {
    /// What has come.
    pub bytes: Bytes,
    /// That is all of it.
    complete: bool,
}

impl Upstream {
    /// One request and its response over a connection, complete or well begun; `None` if that broke on the way.
    pub(super) async fn exchange(
        &self,
        mut connection: Connection,
        request: Request<OutgoingBody>,
        first_byte_timeout: Option<Duration>,
    ) -> Option<AttemptResult> {
        connection.progress.read_budget.set(MAX_RESPONSE_BYTES);
        let response = connection.sender.send_request(request);
        let response = match first_byte_timeout {
            Some(most) => match timeout(most, response).await {
                Ok(response) => response,
                Err(_) => return Some(AttemptResult::without_response(Outcome::TimedOut)),
            },
            None => response.await,
        };
        let response = response.ok()?;
        let length = response.body().size_hint().exact();
        if has_ambiguous_length(&response) || forwarding_mode(length).is_err() {
            return None;
        }
        let outcome = outcome_of(&response);
        let report = self.load_report_of(&response);
        let content_type = response.headers().get(CONTENT_TYPE).cloned();
        let mut rest = response.into_body();
        let start = read_start(&mut rest, length).await?;
        let content = if start.complete {
            self.pool.release_after_response(connection);
            ResponseBody::Complete(start.bytes)
        } else if outcome == Outcome::Success {
            ResponseBody::Streaming(Box::new(Relay::new(
                start,
                rest,
                length,
                (self.pool.clone(), connection),
            )?))
        } else {
            return None;
        };
        let response = (outcome == Outcome::Success).then_some((content_type, content));
        Some(AttemptResult { outcome, report, response })
    }

    fn load_report_of<B>(&self, response: &Response<B>) -> Option<Vec<f64>> {
        let text = response.headers().get("x-server-load")?.to_str().ok()?;
        parse_load_report(text, &self.report_fields.borrow())
    }
}

/// Two lengths are none: hyper would go by one of them, and what it then took for the response need not be.
fn has_ambiguous_length<B>(response: &Response<B>) -> bool {
    let headers = response.headers();
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    lengths > 1 || (lengths == 1 && headers.contains_key(TRANSFER_ENCODING))
}

/// What a response means. Only a rejection that says so proves that the request has not run: a bare 503 may come from
/// something that ran it.
fn outcome_of<B>(response: &Response<B>) -> Outcome {
    let not_processed = response.headers().get("x-not-processed").is_some_and(|v| v.as_bytes() == b"1");
    match response.status() {
        StatusCode::OK => Outcome::Success,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_processed => Outcome::Rejected,
        _ => Outcome::ServerError,
    }
}

/// Reads the start of a body; `None` if it broke.
async fn read_start(body: &mut Incoming, length: Option<u64>) -> Option<BodyStart> {
    let head = Instant::now();
    let now = || Time(head.elapsed().as_micros() as u64);
    let mut begin = BufferingPhase::new(length, now());
    let mut parts: Vec<Bytes> = Vec::new();
    let complete = loop {
        let next = match begin.deadline().filter(|_| !parts.is_empty()) {
            Some(until) => timeout_at(head + Duration::from_micros(until.0), body.frame()).await,
            None => Ok(body.frame().await),
        };
        let more = match next {
            Ok(None) => break true,
            Ok(Some(frame)) => frame.ok()?.into_data().unwrap_or_default(),
            Err(_) => Bytes::new(),
        };
        let goes_on = begin.on_bytes(more.len(), now());
        if !more.is_empty() {
            parts.push(more);
        }
        if goes_on {
            break body.is_end_stream();
        }
    };
    Some(BodyStart { bytes: concat_chunks(parts), complete })
}

/// Pieces as one; a single one is not copied.
pub fn concat_chunks(mut parts: Vec<Bytes>) -> Bytes {
    if parts.len() == 1 {
        return parts.remove(0);
    }
    let mut all = BytesMut::with_capacity(parts.iter().map(Bytes::len).sum());
    parts.iter().for_each(|part| all.extend_from_slice(part));
    all.freeze()
}
