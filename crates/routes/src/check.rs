//! Whether routes keep the four rules.

use crate::config::{HedgePolicy, PoolConfig, RetryScope, RouteConfig, RouteMatch, RoutesConfig};
use crate::table::Index;
use crate::timeline::{round_down, AttemptTimeline, NETWORK_DELAY, SCHEDULING_DELAY};
use crate::words;
use bellcroft_balancer::{Class, DedupScope, Micros, RetrySafety, Settings};
use std::collections::HashMap;
use std::fmt;

/// What the platform says.
#[derive(Debug, Clone, Copy)]
pub struct Platform<'a> {
    /// Its settings.
    pub settings: &'a Settings,
    /// The classes' names, in the settings' order.
    pub classes: &'a [String],
    /// The tenants' names.
    pub tenants: &'a [String],
    /// How long a connection may take.
    pub connect_timeout: Micros,
}

/// What cannot stand in a file, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// Its line.
    pub line: usize,
    /// Route or pool, what is wrong, what would be right.
    pub what: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.line, self.what)
    }
}

/// Which rules are checked. All are, but for tests that show what a check is there for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EnabledChecks {
    /// Rule 2: repeats arrive while servers drop them.
    pub window: bool,
    /// Rule 2: repeats stay with the servers that share a memory.
    pub group: bool,
    /// Rule 2: what must not run twice is not repeated.
    pub effect: bool,
    /// Rule 3: nothing arrives at a server that drains longer than its grace.
    pub drain: bool,
}

impl EnabledChecks {
    /// All of them.
    pub const ALL: EnabledChecks = EnabledChecks { window: true, group: true, effect: true, drain: true };
}

/// Everything that could break a rule, makes no sense or never takes effect, in the order of the file's lines.
pub fn check(config: &RoutesConfig, platform: &Platform) -> Vec<Diagnostic> {
    check_only(config, platform, EnabledChecks::ALL)
}

/// As [`check`], with some of the rules left out.
pub fn check_only(config: &RoutesConfig, platform: &Platform, checks: EnabledChecks) -> Vec<Diagnostic> {
    let mut checker = Checker { platform, checks, refusals: Vec::new() };
    checker.names(config);
    for route in &config.routes {
        let classes = classes_of(route, platform);
        checker.matches(route, &classes);
        let longest = classes.iter().map(|class| platform.settings.classes[*class].deadline).max();
        if let Some(longest) = longest {
            checker.times(route, longest);
            if checks.drain {
                checker.drain(route);
            }
        }
        checker.copies(route, longest.unwrap_or_default());
        for class in classes {
            checker.rules(route, class);
        }
    }
    checker.unreachable(config);
    checker.pools(config);
    checker.refusals.sort_by_key(|refusal| refusal.line);
    checker.refusals
}

/// The classes that a route's requests can be of.
pub(crate) fn classes_of(route: &RouteConfig, platform: &Platform) -> Vec<usize> {
    let first = route.matches.path.as_deref().and_then(|path| path.strip_prefix('/'));
    (0..platform.classes.len())
        .filter(|&class| {
            let name = platform.classes[class].as_str();
            let named = route.matches.class.as_deref().is_none_or(|own| own == name);
            // The class is the first part of the path: a prefix of that part leaves it open.
            let on_path = first.is_none_or(|path| match path.split_once(['/', '?']) {
                Some((part, _)) => part == name,
                None => name.starts_with(path),
            });
            named && on_path
        })
        .collect()
}

struct Checker<'a> {
    platform: &'a Platform<'a>,
    checks: EnabledChecks,
    refusals: Vec<Diagnostic>,
}

impl Checker<'_> {
    fn route(&mut self, route: &RouteConfig, key: &str, what: String) {
        let what = format!("route {:?}: {what}", route.name);
        self.refusals.push(Diagnostic { line: route.lines.of(key), what });
    }

    fn pool(&mut self, pool: &PoolConfig, key: &str, what: String) {
        let what = format!("pool {:?}: {what}", pool.name);
        self.refusals.push(Diagnostic { line: pool.lines.of(key), what });
    }

    fn names(&mut self, config: &RoutesConfig) {
        let mut seen: HashMap<&str, usize> = HashMap::new();
        for route in &config.routes {
            if let Some(line) = seen.insert(&route.name, route.lines.section) {
                self.route(
                    route,
                    "name",
                    format!("has the name of the one in line {line}; each needs its own"),
                );
            }
            let known = |name: &String| config.pools.iter().any(|pool| pool.name == *name);
            if let Some(pool) = route.pool.as_ref().filter(|pool| !known(pool)) {
                self.route(route, "pool", format!("pool = {pool:?}, and there is no [pool.{pool}]"));
            }
        }
        for pool in &config.pools {
            if !config.routes.iter().any(|route| route.pool.as_ref() == Some(&pool.name)) {
                self.pool(pool, "", "no route is in it".into());
            }
        }
    }

    fn matches(&mut self, route: &RouteConfig, of: &[usize]) {
        let (classes, tenants) = (self.platform.classes, self.platform.tenants);
        if let Some(class) = route.matches.class.as_ref().filter(|class| !classes.contains(class)) {
            let known = classes.join(", ");
            return self.route(route, "match", format!("there is no class {class:?}; there are {known}"));
        }
        if let Some(tenant) = route.matches.tenant.as_ref().filter(|tenant| !tenants.contains(tenant)) {
            return self.route(route, "match", format!("there is no tenant {tenant:?}"));
        }
        if let Some(path) = route.matches.path.as_ref().filter(|path| !path.starts_with('/')) {
            return self.route(
                route,
                "match",
                format!("path = {path:?} begins with no '/'; no request's path does"),
            );
        }
        if of.is_empty() {
            let path = route.matches.path.as_deref().unwrap_or_default();
            let why = format!(
                "it can never match: a path's first part is its class, and {path:?} begins with none"
            );
            self.route(route, "match", why);
        }
    }

    /// Times that take no effect are mistakes: whoever wrote them thinks that they do.
    fn times(&mut self, route: &RouteConfig, longest: Micros) {
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
                let (value, bound) = (words(value), words(bound));
                let why = format!("{key} = {value} is longer than {what}; at most {bound}");
                self.route(route, key, why);
            }
        }
        let most = self.platform.settings.max_attempts;
        if let Some(attempts) = route.attempts.filter(|attempts| *attempts > most) {
            let why = format!("attempts = {attempts}; the platform allows {most} at most");
            self.route(route, "attempts", why);
        }
    }

    fn copies(&mut self, route: &RouteConfig, longest: Micros) {
        let key = "second_copy_after";
        if route.hedge == HedgePolicy::Never {
            if route.max_hedge_ratio.is_some() {
                let why = "second_copies_most bounds nothing: second_copy_after is \"never\"".to_owned();
                self.route(route, "second_copies_most", why);
            }
            return;
        }
        if !self.platform.settings.hedging {
            let why = "the platform allows no second copies; second_copy_after = \"never\"".to_owned();
            self.route(route, key, why);
        }
        if route.attempts == Some(1) {
            let why =
                "a second copy is an attempt, and attempts = 1; at least 2, or second_copy_after = \"never\"";
            self.route(route, key, why.into());
        }
        let attempt = route.attempt_timeout.or(route.timeout).unwrap_or(longest);
        if let HedgePolicy::After(after) = route.hedge {
            if after >= attempt {
                let (after, attempt) = (words(after), words(attempt));
                let why =
                    format!("second_copy_after = {after} never comes: an attempt ends after {attempt}; less than that");
                self.route(route, key, why);
            }
        }
    }

    /// The rules, for the route's requests of one class.
    fn rules(&mut self, route: &RouteConfig, class: usize) {
        let name = &self.platform.classes[class];
        let class = &self.platform.settings.classes[class];
        let repeats = route.retry_on.is_none_or(|on| on.after_it_may_have_run());
        let copies = route.hedge != HedgePolicy::Never;
        match class.retry_safety {
            RetrySafety::Idempotent => {}
            RetrySafety::AtMostOnce => {
                if self.checks.effect && copies {
                    let why =
                        format!("{name} must not run twice (rule 2), and a second copy would; \"never\"");
                    self.route(route, "second_copy_after", why);
                }
                // What is not written is as without a route: the module repeats nothing that may have run.
                if self.checks.effect && route.retry_on.is_some() && repeats {
                    let why = format!(
                        "{name} must not run twice (rule 2), and after a reset, a time-out or an error it may have \
                         run; at most retry_on = [\"connect\", \"rejected\"]"
                    );
                    self.route(route, "retry_on", why);
                }
            }
            RetrySafety::Deduplicated { scope: group, window } => {
                if self.checks.group && (repeats || copies) {
                    self.group(route, name, group);
                }
                if self.checks.window && (repeats || copies) && !route.leaves_repeats_alone() {
                    self.window(route, name, class, window);
                }
            }
        }
    }

    fn group(&mut self, route: &RouteConfig, name: &str, group: DedupScope) {
        let reach = match (group, route.retry_within) {
            (DedupScope::Zone, Some(RetryScope::Any)) => "servers of one zone",
            (DedupScope::Group, Some(RetryScope::Any | RetryScope::Zone)) => "servers of one cell",
            _ => return,
        };
        let right = if group == DedupScope::Zone { "retry_within = \"zone\"" } else { "no retry_within" };
        let why = format!(
            "only {reach} drop repeats of {name} together (rule 2), and a repeat may go further; {right}, or \
             retry_on = [\"connect\", \"rejected\"] without second copies"
        );
        self.route(route, "retry_within", why);
    }

    fn window(&mut self, route: &RouteConfig, name: &str, class: &Class, window: Micros) {
        let timeline = AttemptTimeline::of(route, class, self.platform);
        let Some(arrives) = timeline.last_repeat().filter(|arrives| *arrives > window) else { return };
        let n = timeline.steps.len();
        let attempt = match route.attempt_timeout {
            Some(attempt) => format!(" with attempt_timeout = {}", words(attempt)),
            None => String::new(),
        };
        let mut right = Vec::new();
        match timeline.attempts_within(window) {
            most if (most as usize) < n => right.push(format!("attempts = {most}")),
            _ => {}
        }
        if let Some(attempt) = timeline.attempt_within(window) {
            right.push(format!("attempt_timeout = {}", words(attempt)));
        }
        let deadline = round_down(window.saturating_sub(NETWORK_DELAY).saturating_sub(SCHEDULING_DELAY));
        if deadline > Micros::ZERO {
            right.push(format!("timeout = {}", words(deadline)));
        }
        let held = match timeline.queue {
            Some(_) => "",
            None => ", held back as long as its client waits (no queue_timeout)",
        };
        let why = format!(
            "attempts = {n}{attempt} can send a repeat that arrives {} after the first{held}; {name}'s servers drop \
             repeats for {} (rule 2). At most {}",
            words(arrives),
            words(window),
            right.join(", or ")
        );
        let key = if route.attempts.is_some() { "attempts" } else { "attempt_timeout" };
        self.route(route, key, why);
    }

    /// A server may be told to drain right after it was chosen: what leaves when its connection is up must still come
    /// within the grace.
    fn drain(&mut self, route: &RouteConfig) {
        let grace = self.platform.settings.drain_grace_period;
        let Some(connect) = route.connect_timeout else { return };
        let arrives = Micros(connect.0 + SCHEDULING_DELAY.0 + NETWORK_DELAY.0);
        if arrives > grace {
            let why = format!(
                "connect_timeout = {} lets a request reach a server {} after that began to drain, and the grace is {} \
                 (rule 3). At most {}",
                words(connect),
                words(arrives),
                words(grace),
                words(round_down(grace.saturating_sub(SCHEDULING_DELAY).saturating_sub(NETWORK_DELAY)))
            );
            self.route(route, "connect_timeout", why);
        }
    }

    /// A route behind one that matches all that it could match never takes effect.
    fn unreachable(&mut self, config: &RoutesConfig) {
        let mut index = Index::default();
        for (place, route) in config.routes.iter().enumerate() {
            let RouteMatch { class, tenant, path } = &route.matches;
            let (class, tenant, path) =
                (class.as_deref(), tenant.as_deref(), path.as_deref().unwrap_or_default());
            if let Some(before) = index.first(class, tenant, path) {
                let before = &config.routes[before];
                let why = format!(
                    "it can never match: route {:?} in line {} matches all that it does and stands before it",
                    before.name, before.lines.section
                );
                self.route(route, "match", why);
            }
            index.insert(&route.matches, place);
        }
    }

    fn pools(&mut self, config: &RoutesConfig) {
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
                // Sums of decimal fractions come out a little over.
                if let Some(own) = own.filter(|own| all > own * (1.0 + 1e-9)) {
                    let all = (all * 1e6).round() / 1e6;
                    let why = format!("its routes' {key} add up to {all}, more than its own {own}");
                    self.pool(pool, key, why);
                }
            }
        }
    }
}
