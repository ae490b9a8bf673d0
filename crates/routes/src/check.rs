//! Static check of routes against the platform's settings: whether any configured timing or scope can break a retry
//! safety rule, and whether every setting can take effect.

use crate::config::{HedgePolicy, PoolConfig, RetryScope, RouteConfig, RouteMatch, RoutesConfig};
use crate::duration::{format_duration, round_down};
use crate::index::RouteIndex;
use crate::platform::Platform;
use crate::timeline::{AttemptTimeline, NETWORK_DELAY, SCHEDULING_DELAY};
use bellcroft_balancer::{Class, DedupScope, Micros, RetrySafety};
use std::collections::HashMap;
use std::fmt;

/// A rejected setting and the reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// Line in the file, counted from 1.
    pub line: usize,
    /// Route or pool, what is wrong, and the accepted values.
    pub message: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.line, self.message)
    }
}

/// The rules that are checked. All are enabled in production; tests disable single rules to show their effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EnabledChecks {
    /// Rule 2: retries arrive within the dedup window.
    pub dedup_window: bool,
    /// Rule 2: retries are sent only to servers that share their deduplication state.
    pub dedup_scope: bool,
    /// Rule 2: at-most-once requests are not retried once they may have been executed.
    pub at_most_once: bool,
    /// Rule 3: no request arrives at a draining server after its grace period.
    pub drain_grace: bool,
}

impl EnabledChecks {
    /// All rules.
    pub const ALL: EnabledChecks =
        EnabledChecks { dedup_window: true, dedup_scope: true, at_most_once: true, drain_grace: true };
}

/// Reports all settings that can break a rule, are contradictory or never take effect, ordered by line.
pub fn check(config: &RoutesConfig, platform: &Platform) -> Vec<Diagnostic> {
    check_only(config, platform, EnabledChecks::ALL)
}

/// Like [`check`], with only the given rules enabled.
pub fn check_only(config: &RoutesConfig, platform: &Platform, checks: EnabledChecks) -> Vec<Diagnostic> {
    let mut checker = Checker { platform, checks, diagnostics: Vec::new() };
    checker.check_names(config);
    for route in &config.routes {
        let classes = matching_classes(route, platform);
        checker.check_match(route, &classes);
        let longest_deadline = classes.iter().map(|class| platform.settings.classes[*class].deadline).max();
        if let Some(longest_deadline) = longest_deadline {
            checker.check_timeouts(route, longest_deadline);
            if checks.drain_grace {
                checker.check_drain(route);
            }
        }
        checker.check_hedging(route, longest_deadline.unwrap_or_default());
        for class in classes {
            checker.check_retry_safety(route, class);
        }
    }
    checker.check_reachable(config);
    checker.check_pools(config);
    checker.diagnostics.sort_by_key(|diagnostic| diagnostic.line);
    checker.diagnostics
}

/// Indexes of the classes that a route can match.
pub(crate) fn matching_classes(route: &RouteConfig, platform: &Platform) -> Vec<usize> {
    let path = route.matches.path.as_deref().and_then(|path| path.strip_prefix('/'));
    (0..platform.classes.len())
        .filter(|&class| {
            let name = platform.classes[class].as_str();
            let class_matches = route.matches.class.as_deref().is_none_or(|class| class == name);
            // The first path segment is the class; an incomplete segment can match several classes.
            let path_matches = path.is_none_or(|path| match path.split_once(['/', '?']) {
                Some((segment, _)) => segment == name,
                None => name.starts_with(path),
            });
            class_matches && path_matches
        })
        .collect()
}

/// Collects the diagnostics of one run of the check.
struct Checker<'a> {
    platform: &'a Platform<'a>,
    checks: EnabledChecks,
    diagnostics: Vec<Diagnostic>,
}

impl Checker<'_> {
    fn report_route(&mut self, route: &RouteConfig, key: &str, message: String) {
        let message = format!("route {:?}: {message}", route.name);
        self.diagnostics.push(Diagnostic { line: route.lines.of(key), message });
    }

    fn report_pool(&mut self, pool: &PoolConfig, key: &str, message: String) {
        let message = format!("pool {:?}: {message}", pool.name);
        self.diagnostics.push(Diagnostic { line: pool.lines.of(key), message });
    }

    fn check_names(&mut self, config: &RoutesConfig) {
        let mut lines: HashMap<&str, usize> = HashMap::new();
        for route in &config.routes {
            if let Some(line) = lines.insert(&route.name, route.lines.section) {
                self.report_route(
                    route,
                    "name",
                    format!("has the name of the one in line {line}; each needs its own"),
                );
            }
            let known = |name: &String| config.pools.iter().any(|pool| pool.name == *name);
            if let Some(pool) = route.pool.as_ref().filter(|pool| !known(pool)) {
                self.report_route(route, "pool", format!("pool = {pool:?}, and there is no [pool.{pool}]"));
            }
        }
        for pool in &config.pools {
            if !config.routes.iter().any(|route| route.pool.as_ref() == Some(&pool.name)) {
                self.report_pool(pool, "", "no route is in it".into());
            }
        }
    }

    fn check_match(&mut self, route: &RouteConfig, matched_classes: &[usize]) {
        let (classes, tenants) = (self.platform.classes, self.platform.tenants);
        if let Some(class) = route.matches.class.as_ref().filter(|class| !classes.contains(class)) {
            let known = classes.join(", ");
            return self.report_route(
                route,
                "match",
                format!("there is no class {class:?}; there are {known}"),
            );
        }
        if let Some(tenant) = route.matches.tenant.as_ref().filter(|tenant| !tenants.contains(tenant)) {
            return self.report_route(route, "match", format!("there is no tenant {tenant:?}"));
        }
        if let Some(path) = route.matches.path.as_ref().filter(|path| !path.starts_with('/')) {
            return self.report_route(
                route,
                "match",
                format!("path = {path:?} begins with no '/'; no request's path does"),
            );
        }
        if matched_classes.is_empty() {
            let path = route.matches.path.as_deref().unwrap_or_default();
            let message = format!(
                "it can never match: a path's first part is its class, and {path:?} begins with none"
            );
            self.report_route(route, "match", message);
        }
    }

    /// Rejects timeouts that are longer than the time that contains them: they would have no effect.
    fn check_timeouts(&mut self, route: &RouteConfig, longest_deadline: Micros) {
        let timeout = route.timeout.unwrap_or(longest_deadline);
        let attempt = route.attempt_timeout.unwrap_or(timeout);
        let platform = self.platform.connect_timeout;
        for (key, value, bound, bound_description) in [
            ("timeout", route.timeout, longest_deadline, "clients wait"),
            ("attempt_timeout", route.attempt_timeout, timeout, "the request may take"),
            ("queue_timeout", route.queue_timeout, timeout, "the request may take"),
            ("connect_timeout", route.connect_timeout, attempt, "an attempt may take"),
            ("connect_timeout", route.connect_timeout, platform, "the platform lets a connection take"),
            ("first_byte_timeout", route.first_byte_timeout, attempt, "an attempt may take"),
        ] {
            if let Some(value) = value.filter(|value| *value > bound) {
                let (value, bound) = (format_duration(value), format_duration(bound));
                let message = format!("{key} = {value} is longer than {bound_description}; at most {bound}");
                self.report_route(route, key, message);
            }
        }
        let max_attempts = self.platform.settings.max_attempts;
        if let Some(attempts) = route.attempts.filter(|attempts| *attempts > max_attempts) {
            let message = format!("attempts = {attempts}; the platform allows {max_attempts} at most");
            self.report_route(route, "attempts", message);
        }
    }

    fn check_hedging(&mut self, route: &RouteConfig, longest_deadline: Micros) {
        let key = "second_copy_after";
        if route.hedge == HedgePolicy::Never {
            if route.max_hedge_ratio.is_some() {
                let message = "second_copies_most bounds nothing: second_copy_after is \"never\"".to_owned();
                self.report_route(route, "second_copies_most", message);
            }
            return;
        }
        if !self.platform.settings.hedging {
            let message = "the platform allows no second copies; second_copy_after = \"never\"".to_owned();
            self.report_route(route, key, message);
        }
        if route.attempts == Some(1) {
            let message =
                "a second copy is an attempt, and attempts = 1; at least 2, or second_copy_after = \"never\"";
            self.report_route(route, key, message.into());
        }
        let attempt = route.attempt_timeout.or(route.timeout).unwrap_or(longest_deadline);
        if let HedgePolicy::After(after) = route.hedge {
            if after >= attempt {
                let (after, attempt) = (format_duration(after), format_duration(attempt));
                let message =
                    format!("second_copy_after = {after} never comes: an attempt ends after {attempt}; less than that");
                self.report_route(route, key, message);
            }
        }
    }

    /// Checks rule 2 for one of the classes that a route matches.
    fn check_retry_safety(&mut self, route: &RouteConfig, class: usize) {
        let name = &self.platform.classes[class];
        let class = &self.platform.settings.classes[class];
        let retries_after_execution =
            route.retry_on.is_none_or(bellcroft_balancer::RetryOn::retries_possibly_processed);
        let hedges = route.hedge != HedgePolicy::Never;
        match class.retry_safety {
            RetrySafety::Idempotent => {}
            RetrySafety::AtMostOnce => {
                if self.checks.at_most_once && hedges {
                    let message =
                        format!("{name} must not run twice (rule 2), and a second copy would; \"never\"");
                    self.report_route(route, "second_copy_after", message);
                }
                // Without an explicit retry_on the balancer never retries an at-most-once request that may have been
                // executed.
                if self.checks.at_most_once && route.retry_on.is_some() && retries_after_execution {
                    let message = format!(
                        "{name} must not run twice (rule 2), and after a reset, a time-out or an error it may have \
                         run; at most retry_on = [\"connect\", \"rejected\"]"
                    );
                    self.report_route(route, "retry_on", message);
                }
            }
            RetrySafety::Deduplicated { scope, window } => {
                if self.checks.dedup_scope && (retries_after_execution || hedges) {
                    self.check_dedup_scope(route, name, scope);
                }
                if self.checks.dedup_window
                    && (retries_after_execution || hedges)
                    && !route.has_default_retries()
                {
                    self.check_dedup_window(route, name, class, window);
                }
            }
        }
    }

    fn check_dedup_scope(&mut self, route: &RouteConfig, name: &str, scope: DedupScope) {
        let servers = match (scope, route.retry_within) {
            (DedupScope::Zone, Some(RetryScope::Any)) => "servers of one zone",
            (DedupScope::Group, Some(RetryScope::Any | RetryScope::Zone)) => "servers of one cell",
            _ => return,
        };
        let accepted = if scope == DedupScope::Zone { "retry_within = \"zone\"" } else { "no retry_within" };
        let message = format!(
            "only {servers} drop repeats of {name} together (rule 2), and a repeat may go further; {accepted}, or \
             retry_on = [\"connect\", \"rejected\"] without second copies"
        );
        self.report_route(route, "retry_within", message);
    }

    fn check_dedup_window(&mut self, route: &RouteConfig, name: &str, class: &Class, window: Micros) {
        let timeline = AttemptTimeline::new(route, class, self.platform);
        let Some(arrival) = timeline.latest_retry_arrival().filter(|arrival| *arrival > window) else {
            return;
        };
        let n = timeline.attempts.len();
        let attempt = match route.attempt_timeout {
            Some(attempt) => format!(" with attempt_timeout = {}", format_duration(attempt)),
            None => String::new(),
        };
        let mut accepted = Vec::new();
        match timeline.max_attempts_within(window) {
            max if (max as usize) < n => accepted.push(format!("attempts = {max}")),
            _ => {}
        }
        if let Some(attempt) = timeline.max_attempt_timeout_within(window) {
            accepted.push(format!("attempt_timeout = {}", format_duration(attempt)));
        }
        let deadline = round_down(window.saturating_sub(NETWORK_DELAY).saturating_sub(SCHEDULING_DELAY));
        if deadline > Micros::ZERO {
            accepted.push(format!("timeout = {}", format_duration(deadline)));
        }
        let queueing = match timeline.queue_timeout {
            Some(_) => "",
            None => ", held back as long as its client waits (no queue_timeout)",
        };
        let message = format!(
            "attempts = {n}{attempt} can send a repeat that arrives {} after the first{queueing}; {name}'s servers drop \
             repeats for {} (rule 2). At most {}",
            format_duration(arrival),
            format_duration(window),
            accepted.join(", or ")
        );
        let key = if route.attempts.is_some() { "attempts" } else { "attempt_timeout" };
        self.report_route(route, key, message);
    }

    /// Checks rule 3. A server can begin to drain right after its selection; a request that is written once the connection
    /// is established must still arrive within the drain grace period.
    fn check_drain(&mut self, route: &RouteConfig) {
        let grace = self.platform.settings.drain_grace_period;
        let Some(connect) = route.connect_timeout else { return };
        let arrival = Micros(connect.0 + SCHEDULING_DELAY.0 + NETWORK_DELAY.0);
        if arrival > grace {
            let message = format!(
                "connect_timeout = {} lets a request reach a server {} after that began to drain, and the grace is {} \
                 (rule 3). At most {}",
                format_duration(connect),
                format_duration(arrival),
                format_duration(grace),
                format_duration(round_down(grace.saturating_sub(SCHEDULING_DELAY).saturating_sub(NETWORK_DELAY)))
            );
            self.report_route(route, "connect_timeout", message);
        }
    }

    /// Rejects routes that an earlier route covers completely.
    fn check_reachable(&mut self, config: &RoutesConfig) {
        let mut index = RouteIndex::default();
        for (position, route) in config.routes.iter().enumerate() {
            let RouteMatch { class, tenant, path } = &route.matches;
            let (class, tenant, path) =
                (class.as_deref(), tenant.as_deref(), path.as_deref().unwrap_or_default());
            if let Some(earlier) = index.first(class, tenant, path) {
                let earlier = &config.routes[earlier];
                let message = format!(
                    "it can never match: route {:?} in line {} matches all that it does and stands before it",
                    earlier.name, earlier.lines.section
                );
                self.report_route(route, "match", message);
            }
            index.insert(&route.matches, position);
        }
    }

    /// Rejects pools with a limit below the sum of their routes' limits.
    fn check_pools(&mut self, config: &RoutesConfig) {
        for pool in &config.pools {
            let routes: Vec<&RouteConfig> =
                config.routes.iter().filter(|route| route.pool.as_ref() == Some(&pool.name)).collect();
            let sum = |limit: fn(&RouteConfig) -> Option<f64>| {
                routes.iter().filter_map(|route| limit(route)).sum::<f64>()
            };
            for (key, limit, sum_of_routes) in [
                (
                    "retry_budget",
                    pool.retry_budget.map(|b| b.ratio),
                    sum(|r| r.retry_budget.map(|b| b.ratio)),
                ),
                (
                    "retry_budget",
                    pool.retry_budget.map(|b| b.burst),
                    sum(|r| r.retry_budget.map(|b| b.burst)),
                ),
                ("second_copies_most", pool.max_hedge_ratio, sum(|r| r.max_hedge_ratio)),
                ("max_in_flight", pool.max_in_flight.map(f64::from), sum(|r| r.max_in_flight.map(f64::from))),
                ("max_held", pool.max_queued.map(f64::from), sum(|r| r.max_queued.map(f64::from))),
            ] {
                // The relative tolerance covers the rounding error of sums of decimal fractions.
                if let Some(limit) = limit.filter(|limit| sum_of_routes > limit * (1.0 + 1e-9)) {
                    let sum = (sum_of_routes * 1e6).round() / 1e6;
                    let message = format!("its routes' {key} add up to {sum}, more than its own {limit}");
                    self.report_pool(pool, key, message);
                }
            }
        }
    }
}
