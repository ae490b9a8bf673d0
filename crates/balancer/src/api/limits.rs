//! The limits of a route: timeouts, retry conditions, retry budgets and concurrency limits.

use super::{Micros, Outcome};

/// The outcomes after which an attempt may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RetryOn {
    /// The connection failed or the attempt was not sent.
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
    /// Retries after all outcomes.
    pub const ALL: RetryOn =
        RetryOn { connect: true, rejected: true, reset: true, timeout: true, error: true };
    /// No retries.
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

    /// Whether retries are allowed after any outcome that leaves it open whether the request was processed.
    pub fn retries_possibly_processed(self) -> bool {
        self.reset || self.timeout || self.error
    }
}

/// A retry budget: a token bucket that requests fill and that retries take tokens from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// The budget's id, chosen by the caller and equal for all requests that share the budget. Ids must be small
    /// because they are used as indices. 0 is the default budget.
    pub id: u32,
    /// Number of retries that each request adds to the balance.
    pub ratio: f64,
    /// Maximum balance in retries; also the initial balance.
    pub burst: f64,
    /// True if retries after attempts that never ran are charged as well.
    pub strict: bool,
}

/// A concurrency limit that requests share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConcurrencyLimit {
    /// The limit's id, chosen by the caller in the same way as that of a [`RetryBudget`].
    pub id: u32,
    /// Maximum number of attempts in flight.
    pub max_in_flight: u32,
    /// Maximum number of queued requests.
    pub max_queued: u32,
}

/// The limits of a route, which apply in addition to those of [`Settings`](crate::Settings). The maximum value of
/// [`Micros`] disables a timeout.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// The timeout of the request; the client's deadline applies if it is earlier.
    pub timeout: Micros,
    /// The timeout of one attempt.
    pub attempt_timeout: Micros,
    /// The maximum time in the queue.
    pub queue_timeout: Micros,
    /// Maximum number of attempts, the first one included.
    pub max_attempts: u32,
    /// The outcomes after which an attempt may be retried.
    pub retry_on: RetryOn,
    /// True if retries must stay in the zone of the first attempt.
    pub same_zone: bool,
    /// The budgets that retries and hedged requests are charged to. Each of them must allow the retry.
    pub retry_budgets: Vec<RetryBudget>,
    /// Additional budgets that only hedged requests are charged to.
    pub hedge_budgets: Vec<RetryBudget>,
    /// The concurrency limits that apply.
    pub concurrency_limits: Vec<ConcurrencyLimit>,
}

impl Default for Limits {
    fn default() -> Self {
        Limits::STANDARD
    }
}
