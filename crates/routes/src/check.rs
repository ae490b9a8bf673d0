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

/// Which rules are checked: all in production; tests disable single ones to show their effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EnabledChecks {
    /// Rule 2: retries arrive within the deduplication window.
    pub dedup_window: bool,
    /// Rule 2: retries stay within the servers that deduplicate together.
    pub dedup_scope: bool,
    /// Rule 2: at-most-once requests are not retried after they may have run.
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

/// As [`check`], restricted to the enabled rules.
pub fn check_only(config: &RoutesConfig, platform: &Platform, checks: EnabledChecks) -> Vec<Diagnostic> {
    let mut checker = Checker { platform, checks, diagnostics: Vec::new() };
    checker.check_names(config);
    for route in &config.routes {
        let classes = matching_classes(route, platform);
        checker.check_match(route, &classes);
        let longest = classes.iter().map(|class| platform.settings.classes[*class].deadline).max();
        if let Some(longest) = longest {
            checker.check_timeouts(route, longest);
            if checks.drain_grace {
                checker.check_drain(route);
            }
        }
        checker.check_hedging(route, longest.unwrap_or_default());
        for class in classes {
            checker.check_retry_safety(route, class);
        }
    }
    checker.check_reachable(config);
    checker.check_pools(config);
    checker.diagnostics.sort_by_key(|diagnostic| diagnostic.line);
    checker.diagnostics
}

/// Indices of the classes that a route can match.
pub(crate) fn matching_classes(route: &RouteConfig, platform: &Platform) -> Vec<usize> {
    let first = route.matches.path.as_deref().and_then(|path| path.strip_prefix('/'));
    (0..platform.classes.len())
        .filter(|&class| {
            let name = platform.classes[class].as_str();
            let named = route.matches.class.as_deref().is_none_or(|own| own == name);
            // The first path segment is the class; an incomplete segment can match several classes.
            let on_path = first.is_none_or(|path| match path.split_once(['/', '?']) {
                Some((part, _)) => part == name,
                None => name.starts_with(path),
            });
            named && on_path
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
        let mut seen: HashMap<&str, usize> = HashMap::new();
        for route in &config.routes {
            if let Some(line) = seen.insert(&route.name, route.lines.section) {
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

    /// Rejects timeouts longer than an outer bound: they would have no effect.
    fn check_timeouts(&mut self, route: &RouteConfig, longest: Micros) {
        let timeout = route.timeout.unwrap_or(longest);
        let attempt = route.attempt_timeout.unwrap_or(timeout);
        let platform = self.platform.connect_timeout;
        for (key, value, bound, what) in [
            ("timeout", route.timeout, longest, "clients wait"),
            ("attempt_timeout", route.attempt_timeout, timeout, "the request may take"),
            ("queue_timeout", route.queue_timeout, timeout, "the request may take"),
            ("connect_timeout", route.connect_timeout, attempt, "an attempt may take"),
            ("connect_timeout", route.connect_timeout, platform, "the platform lets a connection take"),
            ("first_byte_timeout", route.first_byte_timeout, attempt, "an attempt may take"),
        ] {
            if let Some(value) = value.filter(|value| *value > bound) {
                let (value, bound) = (format_duration(value), format_duration(bound));
                let message = format!("{key} = {value} is longer than {what}; at most {bound}");
                self.report_route(route, key, message);
            }
        }
        let max_attempts = self.platform.settings.max_attempts;
        if let Some(attempts) = route.attempts.filter(|attempts| *attempts > max_attempts) {
            let message = format!("attempts = {attempts}; the platform allows {max_attempts} at most");
            self.report_route(route, "attempts", message);
        }
    }

    fn check_hedging(&mut self, route: &RouteConfig, longest: Micros) {
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
        let attempt = route.attempt_timeout.or(route.timeout).unwrap_or(longest);
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
        let repeats = route.retry_on.is_none_or(bellcroft_balancer::RetryOn::retries_possibly_processed);
        let copies = route.hedge != HedgePolicy::Never;
        match class.retry_safety {
            RetrySafety::Idempotent => {}
            RetrySafety::AtMostOnce => {
                if self.checks.at_most_once && copies {
                    let message =
                        format!("{name} must not run twice (rule 2), and a second copy would; \"never\"");
                    self.report_route(route, "second_copy_after", message);
                }
                // Without an explicit retry_on the balancer never retries an at-most-once request that may have run.
                if self.checks.at_most_once && route.retry_on.is_some() && repeats {
                    let message = format!(
                        "{name} must not run twice (rule 2), and after a reset, a time-out or an error it may have \
                         run; at most retry_on = [\"connect\", \"rejected\"]"
                    );
                    self.report_route(route, "retry_on", message);
                }
            }
            RetrySafety::Deduplicated { scope, window } => {
                if self.checks.dedup_scope && (repeats || copies) {
                    self.check_dedup_scope(route, name, scope);
                }
                if self.checks.dedup_window && (repeats || copies) && !route.has_default_retries() {
                    self.check_dedup_window(route, name, class, window);
                }
            }
        }
    }

    fn check_dedup_scope(&mut self, route: &RouteConfig, name: &str, scope: DedupScope) {
        let reach = match (scope, route.retry_within) {
            (DedupScope::Zone, Some(RetryScope::Any)) => "servers of one zone",
            (DedupScope::Group, Some(RetryScope::Any | RetryScope::Zone)) => "servers of one cell",
            _ => return,
        };
        let accepted = if scope == DedupScope::Zone { "retry_within = \"zone\"" } else { "no retry_within" };
        let message = format!(
            "only {reach} drop repeats of {name} together (rule 2), and a repeat may go further; {accepted}, or \
             retry_on = [\"connect\", \"rejected\"] without second copies"
        );
        self.report_route(route, "retry_within", message);
    }

    fn check_dedup_window(&mut self, route: &RouteConfig, name: &str, class: &Class, window: Micros) {
        let timeline = AttemptTimeline::new(route, class, self.platform);
        let Some(arrives) = timeline.latest_retry_arrival().filter(|arrives| *arrives > window) else {
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
        let held = match timeline.queue_timeout {
            Some(_) => "",
            None => ", held back as long as its client waits (no queue_timeout)",
        };
        let message = format!(
            "attempts = {n}{attempt} can send a repeat that arrives {} after the first{held}; {name}'s servers drop \
             repeats for {} (rule 2). At most {}",
            format_duration(arrives),
            format_duration(window),
            accepted.join(", or ")
        );
        let key = if route.attempts.is_some() { "attempts" } else { "attempt_timeout" };
        self.report_route(route, key, message);
    }

    /// A server can begin to drain right after its selection: a request written once the connection is established
    /// must still arrive within the grace period.
    fn check_drain(&mut self, route: &RouteConfig) {
        let grace = self.platform.settings.drain_grace_period;
        let Some(connect) = route.connect_timeout else { return };
        let arrives = Micros(connect.0 + SCHEDULING_DELAY.0 + NETWORK_DELAY.0);
        if arrives > grace {
            let message = format!(
                "connect_timeout = {} lets a request reach a server {} after that began to drain, and the grace is {} \
                 (rule 3). At most {}",
                format_duration(connect),
                format_duration(arrives),
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
            if let Some(before) = index.first(class, tenant, path) {
                let before = &config.routes[before];
                let message = format!(
                    "it can never match: route {:?} in line {} matches all that it does and stands before it",
                    before.name, before.lines.section
                );
                self.report_route(route, "match", message);
            }
            index.insert(&route.matches, position);
        }
    }

    fn check_pools(&mut self, config: &RoutesConfig) {
        for pool in &config.pools {
            let routes: Vec<&RouteConfig> =
                config.routes.iter().filter(|route| route.pool.as_ref() == Some(&pool.name)).collect();
            let sum = |of: fn(&RouteConfig) -> Option<f64>| {
                routes.iter().filter_map(|route| of(route)).sum::<f64>()
            };
            for (key, own, all) in [
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
                if let Some(own) = own.filter(|own| all > own * (1.0 + 1e-9)) {
                    let all = (all * 1e6).round() / 1e6;
                    let message = format!("its routes' {key} add up to {all}, more than its own {own}");
                    self.report_pool(pool, key, message);
                }
            }
        }
    }
}
