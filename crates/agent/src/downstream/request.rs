//! Reads and checks a client's request.

use super::reply::Reply;
use super::response::plain_response;
use super::Server;
use crate::driver::{IncomingRequest, RequestBody, MAX_UPLOAD_TIME};
use crate::streaming_body::{ReplayBuffer, StreamingBody};
use crate::upstream::{concat_chunks, forwarded_headers};
use bellcroft_agent_core::body_limits::{self, ForwardingMode, MAX_BODY_BYTES};
use bellcroft_agent_core::reconfigure::{ClassSignature, IncompatibleClass};
use bellcroft_balancer::{KeyId, Micros, RetrySafety, TenantId};
use bellcroft_platform_settings::fnv1a;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue, ALLOW};
use hyper::{Method, Request, Response, StatusCode};
use std::time::Duration;
use tokio::time::Instant;

/// The part of a client's wait that is kept for writing the answer.
const RESPONSE_WRITE_RESERVE: Duration = Duration::from_millis(6);
/// The longest wait that a request may ask for.
const MAX_REQUEST_TIMEOUT: Duration = Duration::from_secs(600);
/// The longest id of a request that is kept.
const MAX_REQUEST_ID_BYTES: usize = 256;

impl Server {
    /// Reads a request, whole or as much of it as is taken before it goes on; the error is the answer to a bad one.
    pub(super) async fn read(&self, request: Request<Incoming>) -> Result<IncomingRequest, Response<Reply>> {
        let bad = |why: &str| plain_response(StatusCode::BAD_REQUEST, why);
        let (head, body) = request.into_parts();
        let names = self.driver.names();
        let path = head.uri.path();
        let first = path.trim_start_matches('/').split('/').next().unwrap_or_default();
        let keyed = head.headers.get("idempotency-key").is_some_and(|key| !key.is_empty());
        let form = match (head.method == Method::POST, keyed) {
            (true, true) => ClassSignature::WithIdempotencyKey,
            (true, false) => ClassSignature::WithoutIdempotencyKey,
            (false, _) => ClassSignature::SafeMethod,
        };
        let found = self.driver.class(first, form);
        if found == Err(IncompatibleClass::Unknown) {
            return Err(plain_response(StatusCode::NOT_FOUND, "no such class of request"));
        }
        if header_text(&head.headers, "x-priority-class") != Some(first) {
            return Err(bad("X-Priority-Class must be the first part of the path"));
        }
        if header_text(&head.headers, "x-request-id")
            .is_none_or(|id| id.is_empty() || id.len() > MAX_REQUEST_ID_BYTES)
        {
            return Err(bad("X-Request-ID is missing or too long"));
        }
        let tenant = match header_text(&head.headers, "x-tenant-id") {
            _ if names.tenants.is_empty() => None,
            Some(tenant) => names.tenants.iter().position(|name| name == tenant).map(TenantId),
            None => None,
        };
        if tenant.is_none() && !names.tenants.is_empty() {
            return Err(bad("X-Tenant-Id names no tenant"));
        }
        let wait = header_text(&head.headers, "x-timeout").and_then(parse_timeout);
        let wait = wait.ok_or_else(|| bad("X-Timeout must be a time such as 480m or 900u"))?;
        let other_method = |allow: &'static str| {
            let mut answer = plain_response(StatusCode::METHOD_NOT_ALLOWED, "this class has another method");
            answer.headers_mut().insert(ALLOW, HeaderValue::from_static(allow));
            answer
        };
        let class = match found {
            Ok(_) if form == ClassSignature::SafeMethod && head.method != Method::GET => {
                return Err(other_method("GET"))
            }
            Ok(class) => class,
            Err(IncompatibleClass::Signature(RetrySafety::Idempotent)) => return Err(other_method("GET")),
            Err(_) if head.method != Method::POST => return Err(other_method("POST")),
            Err(_) => return Err(bad("this class needs an Idempotency-Key")),
        };
        let route = self.driver.route(class, tenant, path);
        let body = self.read_body_start(body).await?;
        let room = RESPONSE_WRITE_RESERVE.min(wait / 4);
        let whole = Instant::now();
        let query = head.uri.query().unwrap_or_default();
        let key = query.split('&').find_map(|pair| pair.strip_prefix("key="));
        let cost = header_text(&head.headers, "x-cost").and_then(|cost| cost.parse::<f64>().ok());
        Ok(IncomingRequest {
            class,
            tenant,
            key: key.map(|key| KeyId(fnv1a(key))),
            cost_hint: cost.filter(|us| *us > 0.0 && us.is_finite()).map(|us| Micros::from_ms(us / 1e3)),
            is_retry: header_text(&head.headers, "x-retried") == Some("1"),
            deadline: whole + if body.upload().is_some() { MAX_UPLOAD_TIME } else { wait - room },
            response_timeout: wait - room,
            received_at: whole,
            client_deadline: whole + wait,
            request_id: header_text(&head.headers, "x-request-id").unwrap_or_default().into(),
            route,
            headers: forwarded_headers(&head.headers),
            method: head.method,
            uri: head.uri,
            body,
        })
    }

    /// Takes a body whole, or the begin of one that is passed on as it comes.
    async fn read_body_start(&self, mut body: Incoming) -> Result<RequestBody, Response<Reply>> {
        let length = body.size_hint().exact();
        let way = body_limits::forwarding_mode(length).map_err(|_| {
            let text = format!("a body holds at most {} MiB", MAX_BODY_BYTES >> 20);
            plain_response(StatusCode::PAYLOAD_TOO_LARGE, &text)
        })?;
        let kept = ReplayBuffer::acquire(&self.store);
        // What says of itself that it is short is taken whole however little memory there is: it can be tried again.
        let most = match (way, length) {
            (ForwardingMode::Buffered, Some(length)) => length as usize,
            (ForwardingMode::Buffered | ForwardingMode::Streamed, _) => kept.capacity(),
        };
        let (mut parts, mut gathered) = (Vec::new(), 0);
        loop {
            match body.frame().await {
                None => return Ok(RequestBody::Complete(concat_chunks(parts))),
                Some(Err(_)) => {
                    return Err(plain_response(StatusCode::BAD_REQUEST, "the body did not come whole"))
                }
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    gathered += data.len();
                    parts.push(data);
                }
            }
            if gathered > most || (way == ForwardingMode::Streamed && gathered >= most) {
                return Ok(RequestBody::Streaming(StreamingBody::new(
                    length,
                    concat_chunks(parts),
                    kept,
                    body,
                )));
            }
        }
    }
}

/// A header's value, where it is text.
pub(super) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Reads a wait such as `480m` (milliseconds) or `900u` (microseconds).
fn parse_timeout(text: &str) -> Option<Duration> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let micros = match unit {
        "m" => 1000.0,
        "u" => 1.0,
        _ => return None,
    };
    if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_digit() || b == b'.') {
        return None;
    }
    let wait = Duration::try_from_secs_f64(digits.parse::<f64>().ok()? * micros / 1e6).ok()?;
    (!wait.is_zero() && wait <= MAX_REQUEST_TIMEOUT).then_some(wait)
}

#[cfg(test)]
#[path = "../../tests/unit/request.rs"]
mod tests;
