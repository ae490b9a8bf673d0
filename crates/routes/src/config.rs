//! What an operator wrote, as it stands in the file.

use bellcroft_balancer::{Micros, RetryOn};
use std::collections::BTreeMap;

/// The lines of a section's keys, counted from 1.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SourceLines {
    /// The line of the section.
    pub section: usize,
    /// Those of its keys.
    pub keys: BTreeMap<&'static str, usize>,
}

impl SourceLines {
    /// The line of a key, or of the section if the key is not there.
    pub fn of(&self, key: &str) -> usize {
        self.keys.get(key).copied().unwrap_or(self.section)
    }
}

/// All routes and pools of a file.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RoutesConfig {
    /// In the file's order: the first that matches a request is its route.
    pub routes: Vec<RouteConfig>,
    /// `[pool.NAME]`.
    pub pools: Vec<PoolConfig>,
}

/// What a route matches. What is not named matches anything.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RouteMatch {
    /// The class's name.
    pub class: Option<String>,
    /// The tenant's name.
    pub tenant: Option<String>,
    /// What the request's path begins with.
    pub path: Option<String>,
}

/// Where further attempts may go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryScope {
    /// To any server.
    Any,
    /// To servers in the zone of the first attempt.
    Zone,
}

/// When a second copy goes out.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum HedgePolicy {
    /// Never.
    #[default]
    Never,
    /// This long after a send.
    After(Micros),
    /// After this percentile (0 to 100) of the class's recent answer times.
    Percentile(f64),
}

/// `{ ratio = 0.1, burst = 5 }`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetConfig {
    /// Further attempts that a request earns.
    pub ratio: f64,
    /// How many are saved up at most.
    pub burst: f64,
}

/// A `[[route]]`. What is not set is as it is for requests without a route.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RouteConfig {
    /// Its name.
    pub name: String,
    /// What it matches.
    pub matches: RouteMatch,
    /// The client's time-out, as a cap.
    pub timeout: Option<Micros>,
    /// From the decision to send an attempt to its end.
    pub attempt_timeout: Option<Micros>,
    /// From the decision to send an attempt to an open connection.
    pub connect_timeout: Option<Micros>,
    /// From the request's hand-over to an open connection to the end of the answer's head.
    pub first_byte_timeout: Option<Micros>,
    /// How long a request may be held back at a time.
    pub queue_timeout: Option<Micros>,
    /// Attempts in all.
    pub attempts: Option<u32>,
    /// What another attempt may follow.
    pub retry_on: Option<RetryOn>,
    /// Where it may go.
    pub retry_within: Option<RetryScope>,
    /// When a second copy goes out.
    pub hedge: HedgePolicy,
    /// The share of the route's requests that may have one.
    pub max_hedge_ratio: Option<f64>,
    /// What further attempts are paid with.
    pub retry_budget: Option<RetryBudgetConfig>,
    /// Attempts out at a time.
    pub max_in_flight: Option<u32>,
    /// Requests held back at a time.
    pub max_queued: Option<u32>,
    /// The pool that it shares limits with.
    pub pool: Option<String>,
    /// Where it stands.
    pub lines: SourceLines,
}

impl RouteConfig {
    /// Nothing in it bears on whether and when a request is repeated.
    pub fn leaves_repeats_alone(&self) -> bool {
        let times = [self.timeout, self.attempt_timeout, self.connect_timeout, self.queue_timeout];
        times.iter().all(Option::is_none)
            && self.attempts.is_none()
            && self.retry_on.is_none()
            && self.hedge == HedgePolicy::Never
    }
}

/// A `[pool.NAME]`: what its routes share.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PoolConfig {
    /// Its name.
    pub name: String,
    /// What further attempts of all its routes are paid with.
    pub retry_budget: Option<RetryBudgetConfig>,
    /// The share of their requests that may have a second copy.
    pub max_hedge_ratio: Option<f64>,
    /// Attempts out at a time.
    pub max_in_flight: Option<u32>,
    /// Requests held back at a time.
    pub max_queued: Option<u32>,
    /// Where it stands.
    pub lines: SourceLines,
}
