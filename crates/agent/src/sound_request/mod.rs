//! The definition of a sound request. Whatever is outside of it gets an error, and nothing of it is forwarded.
//!
//! | part | class that is safe to repeat | with an idempotency key | unsafe to repeat |
//! | --- | --- | --- | --- |
//! | method | `GET` | `POST` | `POST` |
//! | `Idempotency-Key` | none | one word | none |
//! | body | none | any | any |
//!
//! For each class: HTTP/1.1; a target whose first part is the class ([`target`]); `Host` once, the same as the target's authority if
//! that has one; the platform's fields once, each in its form ([`platform_fields`]); one length or one coding (`crate::downstream::head`); no
//! bytes behind it that cannot begin the next request ([`following_bytes`]). Other fields are allowed where RFC 9110 lets a recipient
//! ignore them.
//!
//! What stands behind a request that has no response yet is judged by the same definition, as far as it has come:
//!
//! | behind an open request | the open request |
//! | --- | --- |
//! | nothing, or the beginning of a request that may become sound | waits for its response |
//! | sound requests, each with an id of its own | the same; they are served in order |
//! | a request that is certainly not sound, wherever among them it stands | gets an error, and no attempt begins any more |
//! | a request under the id of one before it that has no response yet | the same: an id is new with every request |
//!
//! A client that has one request at a time on a connection, as the platform's protocol says, has no request in the last two rows.

mod following_bytes;
mod platform_fields;
mod target;
mod unsound;

pub(crate) use following_bytes::may_begin_request;
pub(crate) use platform_fields::{header_text, request_id, PlatformFields};
pub(crate) use target::{affinity_key, class_name, is_target};
pub use unsound::{RequestPosition, UnsoundFinding, UnsoundRequest};

use bytes::Bytes;
use hyper::body::Frame;
use hyper::header::{HeaderMap, HeaderName, CONNECTION, EXPECT, HOST, UPGRADE};
use hyper::http::request::Parts;
use hyper::{Method, Version};

/// Fields that a request has once at most, and that all of its recipients need.
const SINGLE_FIELDS: [&str; 9] = [
    "host",
    "content-type",
    IDEMPOTENCY_KEY,
    "x-cost",
    "x-priority-class",
    "x-request-id",
    "x-retried",
    "x-tenant-id",
    "x-timeout",
];
/// Fields that all recipients of a request need, which the `Connection` field therefore cannot name, beside [`SINGLE_FIELDS`].
const END_TO_END_FIELDS: [&str; 2] = ["content-length", "x-attrs"];
/// Fields that must not come in a trailer section (RFC 9110, section 6.5.1), beside [`SINGLE_FIELDS`] and [`END_TO_END_FIELDS`].
const HEADER_SECTION_FIELDS: [&str; 2] = ["expect", "transfer-encoding"];
/// The field by which a keyed request may be repeated.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Checks what does not depend on the class of a request. `has_body` states whether it declares a body that is not empty.
pub(crate) fn check_head(head: &Parts, has_body: bool) -> Result<(), UnsoundRequest> {
    if head.version != Version::HTTP_11 {
        return Err(UnsoundRequest::Version);
    }
    target::check(&head.uri)?;
    if let Some(name) = SINGLE_FIELDS.into_iter().find(|name| count(&head.headers, name) > 1) {
        return Err(UnsoundRequest::RepeatedField(name));
    }
    check_host(head)?;
    if !is_connection_sound(&head.headers) {
        return Err(UnsoundRequest::Connection);
    }
    check_upgrade(&head.headers)?;
    check_expectation(&head.headers, has_body)?;
    if head.method == Method::GET && has_body {
        return Err(UnsoundRequest::BodyOfGet);
    }
    let key = head.headers.get(IDEMPOTENCY_KEY);
    if key.is_some_and(|key| !platform_fields::is_word(key.as_bytes())) {
        return Err(UnsoundRequest::InvalidKey);
    }
    Ok(())
}

/// Whether a frame of a body has no trailer by which recipients frame, route or handle a request.
pub(crate) fn has_sound_trailers(frame: &Frame<Bytes>) -> bool {
    frame.trailers_ref().is_none_or(|trailers| trailers.keys().all(|name| is_trailer(name.as_str())))
}

/// Whether a field may come in a trailer section.
pub(crate) fn is_trailer(name: &str) -> bool {
    let mut header_fields = SINGLE_FIELDS.iter().chain(&END_TO_END_FIELDS).chain(&HEADER_SECTION_FIELDS);
    !header_fields.any(|field| name.eq_ignore_ascii_case(field))
}

/// Whether a request has an idempotency key.
pub(crate) fn has_idempotency_key(headers: &HeaderMap) -> bool {
    headers.contains_key(IDEMPOTENCY_KEY)
}

fn count(headers: &HeaderMap, name: &str) -> usize {
    headers.get_all(name).iter().count()
}

/// `Host` is an authority, and the same as that of an absolute target (RFC 9112, section 3.2).
fn check_host(head: &Parts) -> Result<(), UnsoundRequest> {
    let host = header_text(&head.headers, HOST.as_str()).ok_or(UnsoundRequest::Host)?;
    if !target::is_authority(host.as_bytes()) {
        return Err(UnsoundRequest::Host);
    }
    let is_same = head.uri.authority().is_none_or(|authority| authority.as_str().eq_ignore_ascii_case(host));
    is_same.then_some(()).ok_or(UnsoundRequest::HostOfTarget)
}

/// Whether each option of `Connection` is a token, and none names a field for all recipients (RFC 9110, section 7.6.1).
fn is_connection_sound(headers: &HeaderMap) -> bool {
    list_members(headers, &CONNECTION).all(|option| option.is_some_and(is_own_option))
}

fn is_own_option(option: &str) -> bool {
    let mut needed = SINGLE_FIELDS.iter().chain(&END_TO_END_FIELDS);
    HeaderName::from_bytes(option.as_bytes()).is_ok()
        && !needed.any(|field| option.eq_ignore_ascii_case(field))
}

/// Other protocols may be ignored (RFC 9110, section 7.8), but a WebSocket handshake is not a request of its own.
fn check_upgrade(headers: &HeaderMap) -> Result<(), UnsoundRequest> {
    let is_websocket = |protocol: &str| {
        let name = protocol.split('/').next().unwrap_or_default();
        name.eq_ignore_ascii_case("websocket")
    };
    let has_handshake = list_members(headers, &UPGRADE).flatten().any(is_websocket);
    if has_handshake {
        Err(UnsoundRequest::WebSocketHandshake)
    } else {
        Ok(())
    }
}

fn check_expectation(headers: &HeaderMap, has_body: bool) -> Result<(), UnsoundRequest> {
    let mut has_expectation = false;
    for expectation in list_members(headers, &EXPECT) {
        let is_known = expectation.is_some_and(|text| text.eq_ignore_ascii_case("100-continue"));
        if !is_known {
            return Err(UnsoundRequest::Expectation);
        }
        has_expectation = true;
    }
    if has_expectation && !has_body {
        return Err(UnsoundRequest::ExpectationWithoutBody);
    }
    Ok(())
}

/// The members of a list field that are not empty (RFC 9110, section 5.6.1); none in place of a line that is not ASCII.
fn list_members<'a>(headers: &'a HeaderMap, name: &HeaderName) -> impl Iterator<Item = Option<&'a str>> {
    headers.get_all(name).iter().flat_map(|line| {
        let members = line.to_str().map(|text| text.split(',').map(str::trim));
        let is_text = members.is_ok();
        let members = members.into_iter().flatten().filter(|member| !member.is_empty()).map(Some);
        members.chain((!is_text).then_some(None))
    })
}
