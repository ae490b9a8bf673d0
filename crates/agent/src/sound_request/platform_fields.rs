//! The platform's fields of a request, each in the form that the platform's protocol gives.

use super::UnsoundRequest;
use bellcroft_agent_core::chunks::is_token;
use bellcroft_balancer::{Micros, TenantId};
use hyper::header::{HeaderMap, HeaderValue};
use std::time::Duration;

/// The maximum length of a request's id.
const MAX_REQUEST_ID_BYTES: usize = 256;
/// The longest timeout that a request may have.
const MAX_REQUEST_TIMEOUT: Duration = Duration::from_secs(600);

/// The values of the platform's fields, but for the class and the idempotency key.
#[derive(Debug)]
pub(crate) struct PlatformFields<'a> {
    /// The request's id.
    pub(crate) request_id: &'a str,
    /// How long the client waits.
    pub(crate) timeout: Duration,
    /// The tenant; none if the settings have no tenants.
    pub(crate) tenant: Option<TenantId>,
    /// The client's estimate of the server time that the request needs; none for an estimate of zero.
    pub(crate) cost_hint: Option<Micros>,
    /// Whether the client marks the request as a retry of its own.
    pub(crate) is_retry: bool,
}

impl<'a> PlatformFields<'a> {
    /// Parses the fields of a request; the settings have these tenants.
    pub(crate) fn parse(headers: &'a HeaderMap, tenants: &[String]) -> Result<Self, UnsoundRequest> {
        let request_id = request_id(headers).ok_or(UnsoundRequest::RequestId)?;
        let tenant = parse_tenant(headers, tenants)?;
        let timeout = header_text(headers, "x-timeout").and_then(parse_timeout);
        let timeout = timeout.ok_or(UnsoundRequest::Timeout)?;
        let cost_hint = match headers.get("x-cost") {
            None => None,
            Some(cost) => Some(parse_cost(cost).ok_or(UnsoundRequest::Cost)?),
        };
        let is_retry = parse_retry_mark(headers.get("x-retried"))?;
        let attributes_sound = headers.get_all("x-attrs").iter().all(is_attribute_list);
        if !attributes_sound {
            return Err(UnsoundRequest::Attributes);
        }
        let cost_hint = cost_hint.filter(|cost| *cost > Micros::ZERO);
        Ok(PlatformFields { request_id, timeout, tenant, cost_hint, is_retry })
    }
}

/// The value of a header; none if it is missing or not text.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// The id of a request; none if it is missing, or not one word of the allowed length.
pub(crate) fn request_id(headers: &HeaderMap) -> Option<&str> {
    let is_id = |id: &&str| is_word(id.as_bytes()) && id.len() <= MAX_REQUEST_ID_BYTES;
    header_text(headers, "x-request-id").filter(is_id)
}

/// Whether these bytes are one word: visible ASCII characters without a comma, by which a recipient may have joined two lines.
pub(super) fn is_word(bytes: &[u8]) -> bool {
    !bytes.is_empty() && bytes.iter().all(|byte| byte.is_ascii_graphic() && *byte != b',')
}

fn parse_tenant(headers: &HeaderMap, tenants: &[String]) -> Result<Option<TenantId>, UnsoundRequest> {
    if tenants.is_empty() {
        return Ok(None);
    }
    let tenant = header_text(headers, "x-tenant-id");
    let index = tenant.and_then(|tenant| tenants.iter().position(|name| name == tenant));
    index.map(|index| Some(TenantId(index))).ok_or(UnsoundRequest::Tenant)
}

/// `1` marks a retry.
fn parse_retry_mark(value: Option<&HeaderValue>) -> Result<bool, UnsoundRequest> {
    match value.map(HeaderValue::as_bytes) {
        Some(b"1") => Ok(true),
        Some(b"0") | None => Ok(false),
        Some(_) => Err(UnsoundRequest::Retried),
    }
}

/// Whether a line of attributes is empty, or a list such as `name=value,name=value`.
fn is_attribute_list(value: &HeaderValue) -> bool {
    let is_name = |name: &str| !name.is_empty() && name.bytes().all(is_token);
    let is_attribute = |attribute: &str| {
        let pair = attribute.trim().split_once('=');
        pair.is_some_and(|(name, value)| is_name(name) && is_word(value.as_bytes()))
    };
    value.is_empty() || value.to_str().is_ok_and(|text| text.split(',').all(is_attribute))
}

/// Parses a guess at the work of a request, in microseconds.
fn parse_cost(value: &HeaderValue) -> Option<Micros> {
    let micros = parse_decimal(value.to_str().ok()?)?;
    micros.is_finite().then(|| Micros::from_ms(micros / 1e3))
}

/// Parses a timeout such as `480m` (milliseconds) or `900u` (microseconds).
fn parse_timeout(text: &str) -> Option<Duration> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let micros = match unit {
        "m" => 1000.0,
        "u" => 1.0,
        _ => return None,
    };
    let timeout = Duration::try_from_secs_f64(parse_decimal(number)? * micros / 1e6).ok()?;
    (!timeout.is_zero() && timeout <= MAX_REQUEST_TIMEOUT).then_some(timeout)
}

/// Parses a number that consists of digits, with a point and more digits behind it if it has a fraction.
fn parse_decimal(text: &str) -> Option<f64> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let is_digits = |part: &str| !part.is_empty() && part.bytes().all(|byte| byte.is_ascii_digit());
    if !is_digits(whole) || !is_digits(fraction) {
        return None;
    }
    text.parse().ok()
}

#[cfg(test)]
#[path = "../../tests/unit/platform_fields.rs"]
mod tests;
