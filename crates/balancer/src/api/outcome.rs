//! The outcome of an attempt or health check and the load report that comes with it.

/// The outcome of an attempt or a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The server responded with a success.
    Success,
    /// The server responded with an error; the request may have been processed.
    ServerError,
    /// The server rejected the request before processing it.
    Rejected,
    /// The attempt timed out; the request may have been processed or may still be running.
    TimedOut,
    /// The connection could not be established in time; nothing was processed.
    ConnectFailed,
    /// The connection was reset; the request may have been processed.
    ConnectionReset,
    /// The attempt was cancelled; the request may have been processed.
    Cancelled,
    /// The attempt was never sent: the request already had its final response, or its attempts or its time were exhausted.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the server is reachable: it responded, or its connection was reset.
    pub(crate) fn proves_reachable(self) -> bool {
        matches!(self, Outcome::Success | Outcome::Rejected | Outcome::ServerError | Outcome::ConnectionReset)
    }

    /// Whether this outcome proves that the request was not processed.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A server's load report: values in the order of [`Settings::report_fields`](crate::Settings::report_fields).
pub type Report = [f64];
