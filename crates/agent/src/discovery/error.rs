//! Errors of calls to discovery.

use std::fmt;
use std::io;

/// Why a call to discovery returned no endpoint list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// The connection could not be established; holds the kind of the I/O error.
    ConnectFailed(String),
    /// The connection was reset or closed before the response head arrived.
    Reset,
    /// The response has a status other than 200.
    Status(u16),
    /// No complete response arrived before the timeout.
    Timeout,
    /// The connection was closed before the end of the body.
    TruncatedBody,
    /// The body exceeds the maximum size.
    TooLong,
    /// The response is not valid HTTP or its body is not an endpoint list; holds the reason.
    Unreadable(String),
    /// The response to a request for a snapshot is a delta.
    NoSnapshot,
}

impl CallError {
    /// The causes by which failed calls are counted, in the order of [`CallError::cause_index`].
    pub const CAUSES: [&'static str; 8] =
        ["refused", "reset", "status", "timeout", "truncated_body", "too_long", "unreadable", "no_snapshot"];

    /// The index of the cause in [`CallError::CAUSES`].
    pub fn cause_index(&self) -> usize {
        match self {
            CallError::ConnectFailed(_) => 0,
            CallError::Reset => 1,
            CallError::Status(_) => 2,
            CallError::Timeout => 3,
            CallError::TruncatedBody => 4,
            CallError::TooLong => 5,
            CallError::Unreadable(_) => 6,
            CallError::NoSnapshot => 7,
        }
    }

    /// The name of the cause in counters and logs.
    pub fn cause(&self) -> &'static str {
        Self::CAUSES[self.cause_index()]
    }

    /// The error for a connection that could not be established.
    pub(crate) fn connect(error: &io::Error) -> Self {
        CallError::ConnectFailed(error.kind().to_string())
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::ConnectFailed(reason) => write!(f, "refused: {reason}"),
            CallError::Status(status) => write!(f, "status: {status}"),
            CallError::Unreadable(reason) => write!(f, "unreadable: {reason}"),
            other => f.write_str(other.cause()),
        }
    }
}
