//! The headers of a request that are forwarded to a server.

use bytes::BytesMut;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};

/// Headers that concern a single connection, or that the agent sets itself.
const NOT_FORWARDED: [&str; 12] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
    "x-timeout",
];

/// Returns the headers that are forwarded: all but those that concern a single connection, among them those that the
/// `Connection` header names, and those that the agent sets itself. The values are copied, so that they do not hold the buffer
/// that the request was received in.
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let named_by_connection: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let is_forwarded =
        |name: &str| !NOT_FORWARDED.contains(&name) && !named_by_connection.iter().any(|n| n == name);
    let forwarded = || headers.iter().filter(|(name, _)| is_forwarded(name.as_str()));
    let mut values = BytesMut::with_capacity(forwarded().map(|(_, value)| value.len()).sum());
    forwarded().for_each(|(_, value)| values.extend_from_slice(value.as_bytes()));
    let mut values = values.freeze();
    let copy = |(name, value): (&HeaderName, &HeaderValue)| {
        // A copy of a valid value is valid.
        let copied =
            HeaderValue::from_maybe_shared(values.split_to(value.len())).unwrap_or_else(|_| value.clone());
        (name.clone(), copied)
    };
    forwarded().map(copy).collect()
}

#[cfg(test)]
#[path = "../../tests/unit/forwarded_headers.rs"]
mod tests;
