//! An exchange over a connection: sends a request, reads its response, and determines the outcome.

use super::attempt::{AttemptResult, ResponseBody};
use super::connection::Connection;
use super::load_report::parse_load_report;
use super::relay::Relay;
use super::Upstream;
use crate::memory::{BodyBytes, HeldBytes, Memory};
use crate::streaming_body::OutgoingBody;
use bellcroft_agent_core::body_limits::{
    forwarding_mode, BufferingPhase, MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES,
};
use bellcroft_agent_core::memory_budget::MemoryUse;
use bellcroft_balancer::{Outcome, Time};
use bytes::Bytes;
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
    /// The bytes received so far, as far as there was memory to buffer them.
    pub bytes: BodyBytes,
    /// The bytes after those that have been received too.
    pub more: Bytes,
    /// Whether nothing more is to come.
    pub is_complete: bool,
}

impl BodyStart {
    fn new(buffered: HeldBytes, more: Bytes, is_complete: bool) -> Self {
        BodyStart { bytes: buffered.into(), more, is_complete }
    }
}

impl Upstream {
    /// Sends a request over a connection and reads the response, completely or up to the point from which it is streamed.
    /// `respond_by` tells the deadline of a response that is streamed. `None` if the connection broke, or the response is invalid.
    pub(super) async fn exchange(
        &self,
        mut connection: Connection,
        request: Request<OutgoingBody>,
        first_byte_timeout: Option<Duration>,
        respond_by: impl Fn() -> Instant,
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
        let is_served = outcome == Outcome::Success;
        let body_use = if is_served { BodyUse::Forwarded } else { BodyUse::Discarded };
        let start = read_body_start(&mut rest, length, respond_by(), &self.memory, body_use).await?;
        let body = if start.is_complete && start.more.is_empty() {
            self.pool.release_after_response(connection);
            ResponseBody::Complete(start.bytes)
        } else if is_served {
            let connection = (self.pool.clone(), connection);
            ResponseBody::Streaming(Box::new(Relay::new(start, rest, length, respond_by(), connection)?))
        } else {
            return None;
        };
        let response = is_served.then_some((content_type, body));
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

/// What is done with the bytes of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyUse {
    /// They are forwarded.
    Forwarded,
    /// They are only read so that the connection can be reused.
    Discarded,
}

/// Reads the beginning of a body; `None` if the connection broke. Without memory to buffer it, the body is streamed from there.
async fn read_body_start(
    body: &mut Incoming,
    length: Option<u64>,
    respond_by: Instant,
    memory: &Memory,
    body_use: BodyUse,
) -> Option<BodyStart> {
    let head_received_at = Instant::now();
    let now = || Time(head_received_at.elapsed().as_micros() as u64);
    let deadline = Time(respond_by.saturating_duration_since(head_received_at).as_micros() as u64);
    let mut buffering = BufferingPhase::new(length, now(), deadline);
    let mut buffered = HeldBytes::new(memory, MemoryUse::Message);
    let mut has_begun = false;
    loop {
        let next = match buffering.deadline().filter(|_| has_begun) {
            Some(at) => timeout_at(head_received_at + Duration::from_micros(at.0), body.frame()).await,
            None => Ok(body.frame().await),
        };
        let mut data = match next {
            Ok(None) => return Some(BodyStart::new(buffered, Bytes::new(), true)),
            Ok(Some(frame)) => frame.ok()?.into_data().unwrap_or_default(),
            Err(_) => Bytes::new(),
        };
        has_begun |= !data.is_empty();
        let must_stream = buffering.on_bytes(data.len(), now());
        if body_use == BodyUse::Forwarded && !buffered.take_from(&mut data, MAX_BUFFERED_BODY_BYTES) {
            return Some(BodyStart::new(buffered, data, body.is_end_stream()));
        }
        if must_stream {
            return Some(BodyStart::new(buffered, Bytes::new(), body.is_end_stream()));
        }
    }
}
