//! A route's limits: timeouts, retry conditions, retry budgets and concurrency limits.

use super::{Micros, Outcome};

/// The outcomes of an attempt that may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RetryOn {
    /// The connection failed, or nothing was sent.
    pub connect: bool,
    /// The server rejected the request before processing it.
    pub rejected: bool,
    /// The connection was reset.
    pub reset: bool,
    /// The attempt timed out or was cancelled.
    pub timeout: bool,
    /// The server responded with an error.
    pub error: bool,
}

impl RetryOn {
    /// All of them.
    pub const ALL: RetryOn =
        RetryOn { connect: true, rejected: true, reset: true, timeout: true, error: true };
    /// None of them.
    pub const NONE: RetryOn =
        RetryOn { connect: false, rejected: false, reset: false, timeout: false, error: false };

    /// Whether an attempt with this outcome may be retried.
    pub fn allows(self, outcome: Outcome) -> bool {
        match outcome {
            Outcome::Success => false,
            Outcome::ConnectFailed | Outcome::NotSent => self.connect,
            Outcome::Rejected => self.rejected,
            Outcome::ConnectionReset => self.reset,
            Outcome::TimedOut | Outcome::Cancelled => self.timeout,
            Outcome::ServerError => self.error,
        }
    }

    /// Whether an attempt that may have been processed may be retried.
    pub fn retries_possibly_processed(self) -> bool {
        self.reset || self.timeout || self.error
    }
}

/// A retry budget: a token bucket that requests fill and retries drain.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Its number, chosen by the caller: small, and equal for all requests that share the budget. 0 is the budget of
    /// requests without a route.
    pub id: u32,
    /// Retries earned per request.
    pub ratio: f64,
    /// Maximum balance in retries; also the initial balance.
    pub burst: f64,
    /// Retries of attempts that were never processed are charged as well.
    pub strict: bool,
}

/// A concurrency limit that requests share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConcurrencyLimit {
    /// Its number, chosen by the caller in the same way as that of a [`RetryBudget`].
    pub id: u32,
    /// Maximum number of attempts in flight.
    pub max_in_flight: u32,
    /// Maximum number of queued requests.
    pub max_queued: u32,
}

/// The limits of a route, within those of [`Settings`](crate::Settings). A timeout of the greatest value of [`Micros`]
/// is disabled.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// The request fails after this time, or at the client's deadline if that is earlier.
    pub timeout: Micros,
    /// The timeout of one attempt.
    pub attempt_timeout: Micros,
    /// The maximum time in the queue.
    pub queue_timeout: Micros,
    /// Maximum number of attempts, the first one included.
    pub max_attempts: u32,
    /// The outcomes that may be retried.
    pub retry_on: RetryOn,
    /// Retries stay in the zone of the first attempt.
    pub same_zone: bool,
    /// The budgets that retries and hedged requests are charged to, each of them.
    pub retry_budgets: Vec<RetryBudget>,
    /// Further budgets that hedged requests alone are charged to.
    pub hedge_budgets: Vec<RetryBudget>,
    /// The concurrency limits that apply.
    pub concurrency_limits: Vec<ConcurrencyLimit>,
}

impl Default for Limits {
    fn default() -> Self {
        Limits::STANDARD
    }
}
