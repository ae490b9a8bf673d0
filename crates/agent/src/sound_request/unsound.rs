//! The rules that a request can violate, and where it shows.

use hyper::StatusCode;

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
