//! Route configuration as parsed from the operator's file, before the check.

use bellcroft_balancer::{Micros, RetryOn};
use std::collections::BTreeMap;

/// Line numbers of a section and its keys, counted from 1.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SourceLines {
    /// Line of the section's header.
    pub section: usize,
    /// Line of each key that is set.
    pub keys: BTreeMap<&'static str, usize>,
}

impl SourceLines {
    /// The line of `key`, or of the section if the key is not set.
    pub fn of(&self, key: &str) -> usize {
        self.keys.get(key).copied().unwrap_or(self.section)
    }
}

/// The routes and pools of a file.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RoutesConfig {
    /// Routes in the file's order; the first match applies.
    pub routes: Vec<RouteConfig>,
    /// Pools in the file's order.
    pub pools: Vec<PoolConfig>,
}

/// Match conditions of a route; all of them must hold, and `None` matches any request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RouteMatch {
    /// Class name.
    pub class: Option<String>,
    /// Tenant name.
    pub tenant: Option<String>,
    /// Path prefix.
    pub path: Option<String>,
}

/// Servers that retries and hedged requests may be sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryScope {
    /// Any server.
    Any,
    /// Servers in the zone of the first attempt.
    Zone,
}

/// When a hedged request is sent (key `second_copy_after`).
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum HedgePolicy {
    /// No hedging.
    #[default]
    Never,
    /// After this delay from the send decision of an attempt.
    After(Micros),
    /// After this percentile (0 to 100) of the class's recent response times.
    Percentile(f64),
}

/// A retry budget, such as `{ ratio = 0.1, burst = 5 }`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetConfig {
    /// Number of retries that each request adds to the budget.
    pub ratio: f64,
    /// Maximum balance, in retries.
    pub burst: f64,
}

/// A `[[route]]` section. A setting that is `None` has the same effect as for requests without a route.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RouteConfig {
    /// Name.
    pub name: String,
    /// Match conditions.
    pub matches: RouteMatch,
    /// Upper bound of the client's deadline.
    pub timeout: Option<Micros>,
    /// Maximum time from the send decision to the end of the attempt.
    pub attempt_timeout: Option<Micros>,
    /// Maximum time from the send decision to an established connection.
    pub connect_timeout: Option<Micros>,
    /// Maximum time from the write of the request on an established connection to the end of the response head.
    pub first_byte_timeout: Option<Micros>,
    /// Maximum time in the queue before each attempt.
    pub queue_timeout: Option<Micros>,
    /// Maximum number of attempts, the first one included.
    pub attempts: Option<u32>,
    /// Outcomes after which a retry is allowed.
    pub retry_on: Option<RetryOn>,
    /// Servers that retries may be sent to.
    pub retry_within: Option<RetryScope>,
    /// When a hedged request is sent (key `second_copy_after`).
    pub hedge: HedgePolicy,
    /// Maximum share of the route's requests that are hedged (key `second_copies_most`).
    pub max_hedge_ratio: Option<f64>,
    /// Budget of the route's retries.
    pub retry_budget: Option<RetryBudgetConfig>,
    /// Maximum number of concurrent attempts.
    pub max_in_flight: Option<u32>,
    /// Maximum number of queued requests (key `max_held`).
    pub max_queued: Option<u32>,
    /// Pool whose limits the route shares.
    pub pool: Option<String>,
    /// Line numbers, for diagnostics.
    pub lines: SourceLines,
}

impl RouteConfig {
    /// Whether no setting affects whether or when a request is retried.
    pub fn has_default_retries(&self) -> bool {
        let timeouts = [self.timeout, self.attempt_timeout, self.connect_timeout, self.queue_timeout];
        timeouts.iter().all(Option::is_none)
            && self.attempts.is_none()
            && self.retry_on.is_none()
            && self.hedge == HedgePolicy::Never
    }
}

/// A `[pool.NAME]` section: limits shared by its routes.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PoolConfig {
    /// Name.
    pub name: String,
    /// Budget of the retries of all its routes.
    pub retry_budget: Option<RetryBudgetConfig>,
    /// Maximum share of their requests that are hedged (key `second_copies_most`).
    pub max_hedge_ratio: Option<f64>,
    /// Maximum number of concurrent attempts.
    pub max_in_flight: Option<u32>,
    /// Maximum number of queued requests (key `max_held`).
    pub max_queued: Option<u32>,
    /// Line numbers, for diagnostics.
    pub lines: SourceLines,
}
