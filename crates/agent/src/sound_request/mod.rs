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

pub(crate) use following_bytes::may_begin_request;
pub(crate) use platform_fields::{header_text, request_id, PlatformFields};
pub(crate) use target::{affinity_key, class_name, is_target};

use bytes::Bytes;
use hyper::body::Frame;
use hyper::header::{HeaderMap, HeaderName, CONNECTION, EXPECT, HOST, UPGRADE};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode, Version};

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

/// What is wrong with a request. The text names the rule that it violates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum UnsoundRequest {
    /// Its head does not follow the grammar of HTTP/1.1.
    #[error("the head is malformed (RFC 9112, sections 2 to 5)")]
    Head,
    /// Its version is not HTTP/1.1.
    #[error("the protocol is HTTP/1.1 (RFC 9112, section 2.3)")]
    Version,
    /// The length of its body can be interpreted in two ways.
    #[error("the request's length can be read in two ways (RFC 9112, section 6.3)")]
    AmbiguousLength,
    /// Its body ends early, or has an invalid chunk.
    #[error("the body did not come whole (RFC 9112, sections 6.3 and 7.1)")]
    IncompleteBody,
    /// Its trailer section has a field that belongs into its head.
    #[error("a trailer must not have fields of the head (RFC 9110, section 6.5.1)")]
    Trailer,
    /// The bytes that came with it cannot begin the next request.
    #[error("the bytes behind the request begin no request (RFC 9112, section 6.3)")]
    FollowingBytes,
    /// A request that came before it over the same connection has the same id, and no response yet.
    #[error("X-Request-ID must be new with every request")]
    RepeatedId,
    /// Its target has another scheme than http, user information, or no path.
    #[error(
        "the target must be a path, or a URI of scheme http without user information (RFC 9112, section 3.2)"
    )]
    Target,
    /// Its path leads out of its class.
    #[error(
        "the path's first part must be the class, also without dot segments (RFC 3986, section 6.2.2.3)"
    )]
    DotSegments,
    /// Its query has the affinity key twice.
    #[error("the query must have the parameter key once at most")]
    RepeatedAffinityKey,
    /// Its `Host` is missing or invalid.
    #[error(
        "Host must be given once, as a name or an address with an optional port (RFC 9112, section 3.2)"
    )]
    Host,
    /// Its `Host` is not the authority of its target.
    #[error("Host must be the authority of the target (RFC 9112, section 3.2)")]
    HostOfTarget,
    /// A field that it has once at most is repeated.
    #[error("{0} must be given once (RFC 9110, section 5.3)")]
    RepeatedField(&'static str),
    /// Its `Connection` is invalid, or names a field that is not the connection's own.
    #[error("Connection must name only the connection's own fields (RFC 9110, section 7.6.1)")]
    Connection,
    /// It is the handshake of a protocol that this server does not speak.
    #[error("this server accepts no WebSocket handshake (RFC 6455, section 4.2.2)")]
    WebSocketHandshake,
    /// It has an expectation that is not known.
    #[error("the only known expectation is 100-continue (RFC 9110, section 10.1.1)")]
    Expectation,
    /// It expects 100-continue and has no body.
    #[error("a request without a body must not expect 100-continue (RFC 9110, section 10.1.1)")]
    ExpectationWithoutBody,
    /// No class has the name.
    #[error("no such class of request")]
    UnknownClass,
    /// The class has this other method.
    #[error("this class has another method: {0}")]
    Method(&'static str),
    /// The class needs an idempotency key.
    #[error("this class needs an Idempotency-Key")]
    MissingKey,
    /// Its idempotency key is not one word.
    #[error("Idempotency-Key must be one word of visible ASCII characters without a comma")]
    InvalidKey,
    /// The class has no idempotency key.
    #[error("a request of this class has no Idempotency-Key")]
    UnexpectedKey,
    /// It is a GET with a body.
    #[error("a GET has no body")]
    BodyOfGet,
    /// Its body exceeds the maximum length.
    #[error("a body holds at most 32 MiB")]
    BodyTooLarge,
    /// Its class field is missing or is not the class of its path.
    #[error("X-Priority-Class must be the first part of the path")]
    PriorityClass,
    /// Its id is missing or not one word, or too long.
    #[error("X-Request-ID must be one word of up to 256 visible ASCII characters without a comma")]
    RequestId,
    /// Its tenant is missing or unknown.
    #[error("X-Tenant-Id names no tenant")]
    Tenant,
    /// Its timeout is missing or not in the platform's form.
    #[error("X-Timeout must be a time such as 480m or 900u")]
    Timeout,
    /// Its cost is not a decimal number.
    #[error("X-Cost must be a number")]
    Cost,
    /// Its mark of a retry is not in the platform's form.
    #[error("X-Retried must be 1, or 0")]
    Retried,
    /// Its attributes are not in the platform's form.
    #[error("X-Attrs must be a list such as name=value,name=value")]
    Attributes,
}

/// Where it shows that a request is not sound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestPosition {
    /// In the request itself.
    Own,
    /// In what came behind it before it had its response.
    Following,
}

/// Why a request gets an error without being handled any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnsoundFinding {
    /// The rule that is violated.
    pub rule: UnsoundRequest,
    /// Where it is violated.
    pub position: RequestPosition,
}

impl UnsoundFinding {
    /// A rule that is violated behind an open request.
    pub(crate) fn following(rule: UnsoundRequest) -> Self {
        UnsoundFinding { rule, position: RequestPosition::Following }
    }

    /// The status of the response.
    pub(crate) fn status(self) -> StatusCode {
        match self.position {
            RequestPosition::Own => self.rule.status(),
            RequestPosition::Following => StatusCode::BAD_REQUEST,
        }
    }
}

impl From<UnsoundRequest> for UnsoundFinding {
    fn from(rule: UnsoundRequest) -> Self {
        UnsoundFinding { rule, position: RequestPosition::Own }
    }
}

impl std::fmt::Display for UnsoundFinding {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.position {
            RequestPosition::Own => self.rule.fmt(formatter),
            RequestPosition::Following => write!(formatter, "behind the request: {}", self.rule),
        }
    }
}

impl UnsoundRequest {
    /// The status of the response.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            UnsoundRequest::Version => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            UnsoundRequest::Expectation => StatusCode::EXPECTATION_FAILED,
            UnsoundRequest::UnknownClass => StatusCode::NOT_FOUND,
            UnsoundRequest::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
            UnsoundRequest::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

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
