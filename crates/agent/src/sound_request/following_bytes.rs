//! The bytes behind the end of a request, which come together with it or while it has no response.
//!
//! They begin the next request (RFC 9112, section 6.3). Where they cannot, the client means something else by them, such as a body
//! without a length, so the end of the request is in doubt.

use super::target::{begins_target, is_target};

/// The methods of requests for a path (RFC 9110, section 9.3, and RFC 5789).
const METHODS: [&[u8]; 8] = [b"GET", b"HEAD", b"POST", b"PUT", b"DELETE", b"OPTIONS", b"TRACE", b"PATCH"];
const VERSION: &[u8] = b"HTTP/1.1";
const LINE_END: &[u8] = b"\r\n";

/// Whether these bytes are nothing, or the beginning of a request. Other methods than the known ones do not count: a method may also
/// be the end of other bytes and the method of a request behind them.
pub(crate) fn may_begin_request(mut bytes: &[u8]) -> bool {
    // A server ignores empty lines before a request (RFC 9112, section 2.2).
    while let Some(rest) = bytes.strip_prefix(LINE_END) {
        bytes = rest;
    }
    match bytes.windows(LINE_END.len()).position(|window| window == LINE_END) {
        Some(end) => is_request_line(&bytes[..end]),
        None => begins_request_line(bytes.strip_suffix(b"\r").unwrap_or(bytes)),
    }
}

fn is_request_line(line: &[u8]) -> bool {
    let mut parts = line.split(|byte| *byte == b' ');
    let (method, target, version) = (parts.next(), parts.next(), parts.next());
    parts.next().is_none()
        && method.is_some_and(|method| METHODS.contains(&method))
        && target.is_some_and(is_target)
        && version == Some(VERSION)
}

fn begins_request_line(bytes: &[u8]) -> bool {
    let mut parts = bytes.split(|byte| *byte == b' ');
    let method = parts.next().unwrap_or_default();
    let Some(target) = parts.next() else { return METHODS.iter().any(|known| known.starts_with(method)) };
    let has_target = match parts.next() {
        None => begins_target(target),
        Some(version) => is_target(target) && VERSION.starts_with(version),
    };
    parts.next().is_none() && METHODS.contains(&method) && has_target
}
