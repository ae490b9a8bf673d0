//! Why a call to discovery failed.

use std::fmt;
use std::io;

/// Why a call to discovery brought no list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// No connection came up.
    ConnectFailed(String),
    /// The connection was reset or closed before an answer began.
    Reset,
    /// It answered with another status than 200.
    Status(u16),
    /// No complete answer came in time.
    Timeout,
    /// The connection ended within the body.
    TruncatedBody,
    /// The body is longer than is read.
    TooLong,
    /// The body is no endpoint list; what is wrong with it.
    Unreadable(String),
    /// Changes came where a full snapshot was asked for.
    NoSnapshot,
}

impl CallError {
    /// The causes by which failed calls are counted, in the order of [`CallError::cause`].
    pub const CAUSES: [&'static str; 8] =
        ["refused", "reset", "status", "timeout", "truncated_body", "too_long", "unreadable", "no_snapshot"];

    /// The place of its cause in [`CallError::CAUSES`].
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

    /// One word for its cause, as counted and logged.
    pub fn cause(&self) -> &'static str {
        Self::CAUSES[self.cause_index()]
    }

    /// A connection that did not come up.
    pub(crate) fn connect(error: &io::Error) -> Self {
        CallError::ConnectFailed(error.kind().to_string())
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::ConnectFailed(why) => write!(f, "refused: {why}"),
            CallError::Status(status) => write!(f, "status: {status}"),
            CallError::Unreadable(why) => write!(f, "unreadable: {why}"),
            other => f.write_str(other.cause()),
        }
    }
}
