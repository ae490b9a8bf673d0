//! The compiled route table that the agent consults for each request.

use crate::check::{check, Diagnostic};
use crate::config::{HedgePolicy, RetryBudgetConfig, RetryScope, RouteConfig, RoutesConfig};
use crate::index::RouteIndex;
use crate::platform::Platform;
use bellcroft_balancer::{ConcurrencyLimit, Limits, Micros, RetryBudget, RetryOn};
use std::collections::HashMap;
use std::sync::Arc;

/// Identifiers of budgets and concurrency limits, by the name of their route or pool. They are stable across reloads, so
/// that a reload neither refills a budget nor resets the number of attempts in flight.
#[derive(Debug, Clone, Default)]
pub struct BudgetIds {
    assigned: HashMap<String, u32>,
}

impl BudgetIds {
    /// The identifier of `name`, assigned on first use. 0 is reserved for the budget of requests without a route.
    fn id_for(&mut self, name: String) -> u32 {
        let next = self.assigned.len() as u32 + 1;
        *self.assigned.entry(name).or_insert(next)
    }
}

/// A compiled route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// Limits that the balancer enforces for the route's requests.
    pub limits: Arc<Limits>,
    /// Maximum time from the send decision to an established connection.
    pub connect_timeout: Option<Micros>,
    /// Maximum time from the write of the request on an established connection to the end of the response head.
    pub first_byte_timeout: Option<Micros>,
    /// When a hedged request is sent.
    pub hedge: HedgePolicy,
}

/// The compiled routes of a file. The table is immutable.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    routes: Vec<Arc<Route>>,
    index: RouteIndex,
}

impl RouteTable {
    /// Checks and compiles a configuration.
    ///
    /// # Errors
    ///
    /// Returns the diagnostics of [`check`] if there are any.
    pub fn compile(
        config: &RoutesConfig,
        platform: &Platform,
        ids: &mut BudgetIds,
    ) -> Result<Self, Vec<Diagnostic>> {
        let diagnostics = check(config, platform);
        if !diagnostics.is_empty() {
            return Err(diagnostics);
        }
        Ok(Self::unchecked(config, ids))
    }

    /// Compiles a configuration without a check, for one that has been checked before, and for tests of the enforcement at
    /// run time.
    pub fn unchecked(config: &RoutesConfig, ids: &mut BudgetIds) -> Self {
        let mut index = RouteIndex::default();
        let mut routes = Vec::with_capacity(config.routes.len());
        for (position, route) in config.routes.iter().enumerate() {
            index.insert(&route.matches, position);
            routes.push(Arc::new(compile_route(route, config, ids)));
        }
        RouteTable { routes, index }
    }

    /// The number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Finds the first route, in the file's order, that matches a request.
    pub fn lookup(&self, class: &str, tenant: Option<&str>, path: &str) -> Option<&Arc<Route>> {
        if self.routes.is_empty() {
            return None;
        }
        self.index.first(Some(class), tenant, path).map(|position| &self.routes[position])
    }
}

/// Budgets and concurrency limits of one route or pool.
struct SharedLimits {
    /// The owner in the form `route NAME` or `pool NAME`, the prefix of the names of its identifiers.
    owner: String,
    retry_budget: Option<RetryBudgetConfig>,
    max_hedge_ratio: Option<f64>,
    max_in_flight: Option<u32>,
    max_queued: Option<u32>,
}

impl SharedLimits {
    /// Adds the configured budgets and limits to those of a route.
    fn add_to(self, limits: &mut Limits, ids: &mut BudgetIds) {
        let owner = self.owner;
        if let Some(RetryBudgetConfig { ratio, burst }) = self.retry_budget {
            let id = ids.id_for(format!("{owner} retries"));
            limits.retry_budgets.push(RetryBudget { id, ratio, burst, strict: true });
        }
        if let Some(ratio) = self.max_hedge_ratio {
            let id = ids.id_for(format!("{owner} hedges"));
            // With a burst below 1 the budget would never allow a hedged request.
            limits.hedge_budgets.push(RetryBudget { id, ratio, burst: 1.0, strict: true });
        }
        if self.max_in_flight.is_some() || self.max_queued.is_some() {
            limits.concurrency_limits.push(ConcurrencyLimit {
                id: ids.id_for(format!("{owner} concurrency")),
                max_in_flight: self.max_in_flight.unwrap_or(u32::MAX),
                max_queued: self.max_queued.unwrap_or(u32::MAX),
            });
        }
    }
}

fn compile_route(route: &RouteConfig, config: &RoutesConfig, ids: &mut BudgetIds) -> Route {
    let pool = route.pool.as_ref().and_then(|name| config.pools.iter().find(|pool| pool.name == *name));
    let standard = Limits::STANDARD;
    let mut limits = Limits {
        timeout: route.timeout.unwrap_or(standard.timeout),
        attempt_timeout: route.attempt_timeout.unwrap_or(standard.attempt_timeout),
        queue_timeout: route.queue_timeout.unwrap_or(standard.queue_timeout),
        max_attempts: route.attempts.unwrap_or(standard.max_attempts),
        retry_on: route.retry_on.unwrap_or(RetryOn::ALL),
        same_zone: route.retry_within == Some(RetryScope::Zone),
        ..standard
    };
    let of_route = SharedLimits {
        owner: format!("route {}", route.name),
        retry_budget: route.retry_budget,
        max_hedge_ratio: route.max_hedge_ratio,
        max_in_flight: route.max_in_flight,
        max_queued: route.max_queued,
    };
    of_route.add_to(&mut limits, ids);
    if let Some(pool) = pool {
        let of_pool = SharedLimits {
            owner: format!("pool {}", pool.name),
            retry_budget: pool.retry_budget,
            max_hedge_ratio: pool.max_hedge_ratio,
            max_in_flight: pool.max_in_flight,
            max_queued: pool.max_queued,
        };
        of_pool.add_to(&mut limits, ids);
    }
    Route {
        name: route.name.clone(),
        limits: Arc::new(limits),
        connect_timeout: route.connect_timeout,
        first_byte_timeout: route.first_byte_timeout,
        hedge: route.hedge,
    }
}

#[cfg(test)]
#[path = "../tests/unit/table.rs"]
mod tests;
