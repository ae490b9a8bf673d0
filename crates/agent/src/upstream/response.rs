//! An exchange over a connection: sends a request, reads its response, and determines the outcome.

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

/// The maximum length of a response's head, and of hyper's buffer, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// The maximum number of bytes that are read for one buffered response: its body with chunk framing, its head, and the
/// heads of 1xx responses before it. A server that sends more is faulty, even if the bytes are well-formed.
const MAX_RESPONSE_BYTES: u64 = 2 * (MAX_BUFFERED_BODY_BYTES + MAX_HEAD_BYTES) as u64;
/// The maximum number of bytes that are read for one streamed response. It allows for chunks of one byte, each with another
/// six bytes of framing.
pub const MAX_RELAYED_BYTES: u64 = 8 * MAX_BODY_BYTES;

/// The beginning of a body: a complete short one, or the part of a long one that is buffered before it is streamed.
pub struct BodyStart {
    /// The bytes received so far.
    pub bytes: Bytes,
    /// Whether `bytes` is the complete body.
    complete: bool,
}

impl Upstream {
    /// Sends a request over a connection and reads the response, completely or up to the point from which it is streamed.
    /// `None` if the connection broke, or the response is invalid.
    pub(super) async fn exchange(
        &self,
        mut connection: Connection,
        request: Request<OutgoingBody>,
        first_byte_timeout: Option<Duration>,
    ) -> Option<AttemptResult> {
        connection.progress.read_budget.set(MAX_RESPONSE_BYTES);
        let response = connection.sender.send_request(request);
        let response = match first_byte_timeout {
            Some(first_byte_timeout) => match timeout(first_byte_timeout, response).await {
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
        let start = read_body_start(&mut rest, length).await?;
        let body = if start.complete {
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
        let response = (outcome == Outcome::Success).then_some((content_type, body));
        Some(AttemptResult { outcome, report, response })
    }

    fn load_report_of<B>(&self, response: &Response<B>) -> Option<Vec<f64>> {
        let text = response.headers().get("x-server-load")?.to_str().ok()?;
        parse_load_report(text, &self.report_fields.borrow())
    }
}

/// Whether a response declares its length twice. hyper would use one of the lengths, and could mistake other bytes for the
/// response.
fn has_ambiguous_length<B>(response: &Response<B>) -> bool {
    let headers = response.headers();
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    lengths > 1 || (lengths == 1 && headers.contains_key(TRANSFER_ENCODING))
}

/// The outcome of a response. Only a rejection with `X-Not-Processed: 1` proves that the request was not executed: a 503
/// without it may come from a server that executed the request.
fn outcome_of<B>(response: &Response<B>) -> Outcome {
    let not_processed = response.headers().get("x-not-processed").is_some_and(|v| v.as_bytes() == b"1");
    match response.status() {
        StatusCode::OK => Outcome::Success,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_processed => Outcome::Rejected,
        _ => Outcome::ServerError,
    }
}

/// Reads the beginning of a body; `None` if the connection broke.
async fn read_body_start(body: &mut Incoming, length: Option<u64>) -> Option<BodyStart> {
    let head_received_at = Instant::now();
    let now = || Time(head_received_at.elapsed().as_micros() as u64);
    let mut buffering = BufferingPhase::new(length, now());
    let mut chunks: Vec<Bytes> = Vec::new();
    let complete = loop {
        let next = match buffering.deadline().filter(|_| !chunks.is_empty()) {
            Some(at) => timeout_at(head_received_at + Duration::from_micros(at.0), body.frame()).await,
            None => Ok(body.frame().await),
        };
        let data = match next {
            Ok(None) => break true,
            Ok(Some(frame)) => frame.ok()?.into_data().unwrap_or_default(),
            Err(_) => Bytes::new(),
        };
        let must_stream = buffering.on_bytes(data.len(), now());
        if !data.is_empty() {
            chunks.push(data);
        }
        if must_stream {
            break body.is_end_stream();
        }
    };
    Some(BodyStart { bytes: concat_chunks(chunks), complete })
}

/// Concatenates chunks; a single one is not copied.
pub fn concat_chunks(mut chunks: Vec<Bytes>) -> Bytes {
    if chunks.len() == 1 {
        return chunks.remove(0);
    }
    let mut joined = BytesMut::with_capacity(chunks.iter().map(Bytes::len).sum());
    chunks.iter().for_each(|chunk| joined.extend_from_slice(chunk));
    joined.freeze()
}
