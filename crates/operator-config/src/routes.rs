//! `[[route]]` and `[pool.NAME]`: routes and the pools whose limits they share.

use crate::section::Section;
use bellcroft_balancer::{Micros, RetryOn};
use bellcroft_routes::{
    HedgePolicy, PoolConfig, RetryBudgetConfig, RetryScope, RouteConfig, RouteMatch, RoutesConfig,
    SourceLines,
};
use std::time::Duration;

/// Bounds of timeouts.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);
const MAX_TIMEOUT: Duration = Duration::from_secs(600);
/// Upper bound of limits that count requests.
const MAX_COUNT: u64 = 1_000_000;

/// Reads the routes and the pools.
pub(crate) fn read_sections(top: &Section) -> RoutesConfig {
    let routes = top.sections("route").iter().map(read_route).collect();
    let pools = top.section("pool");
    let pools = pools.children().into_iter().map(|(name, section)| read_pool(name, &section)).collect();
    RoutesConfig { routes, pools }
}

/// Line numbers of the section and of the keys that have been read so far, for later error messages.
fn source_lines(section: &Section) -> SourceLines {
    SourceLines { section: section.line(), keys: section.key_lines() }
}

fn read_timeout(section: &Section, key: &'static str) -> Option<Micros> {
    section.time(key, MIN_TIMEOUT..=MAX_TIMEOUT).map(micros)
}

fn micros(time: Duration) -> Micros {
    Micros(time.as_micros() as u64)
}

fn read_request_limit(section: &Section, key: &'static str) -> Option<u32> {
    section.count(key, 1..=MAX_COUNT).map(|count| count as u32)
}

fn read_retry_budget(section: &Section, key: &'static str) -> Option<RetryBudgetConfig> {
    let section = section.section(key);
    let ratio = section.fraction("ratio");
    let burst = section.number("burst", 1.0..=1e6);
    if !section.is_present() {
        return None;
    }
    let ratio = section.required("ratio", ratio, "the number of further attempts that each request earns");
    let burst = section.required("burst", burst, "the maximum number of further attempts saved up");
    Some(RetryBudgetConfig { ratio: ratio?, burst: burst? })
}

fn read_route(section: &Section) -> RouteConfig {
    let name = section.name();
    let name = section.required("name", name, "a name");
    let matches = section.section("match");
    let matches = RouteMatch {
        class: matches.text("class"),
        tenant: matches.text("tenant"),
        path: matches.text("path"),
    };
    let conditions = ["connect", "rejected", "reset", "timeout", "error"];
    let retry_on = section.choices("retry_on", &conditions).map(|chosen| {
        let has = |index: usize| chosen.contains(&index);
        RetryOn { connect: has(0), rejected: has(1), reset: has(2), timeout: has(3), error: has(4) }
    });
    let retry_within = section.parsed("retry_within", "\"any\" or \"zone\"", |word| match word {
        "any" => Some(RetryScope::Any),
        "zone" => Some(RetryScope::Zone),
        _ => None,
    });
    let expected =
        "\"never\", a percentile such as \"p95\" (p50 to p99.9), or a time such as \"200ms\" from 1ms to 10m";
    let hedge = section.parsed("second_copy_after", expected, parse_hedge_policy).unwrap_or_default();
    RouteConfig {
        name: name.unwrap_or_default(),
        matches,
        timeout: read_timeout(section, "timeout"),
        attempt_timeout: read_timeout(section, "attempt_timeout"),
        connect_timeout: read_timeout(section, "connect_timeout"),
        first_byte_timeout: read_timeout(section, "first_byte_timeout"),
        queue_timeout: read_timeout(section, "queue_timeout"),
        attempts: section.count("attempts", 1..=100).map(|count| count as u32),
        retry_on,
        retry_within,
        hedge,
        max_hedge_ratio: section.fraction("second_copies_most"),
        retry_budget: read_retry_budget(section, "retry_budget"),
        max_in_flight: read_request_limit(section, "max_in_flight"),
        max_queued: read_request_limit(section, "max_held"),
        pool: section.text("pool"),
        lines: source_lines(section),
    }
}

/// Parses `"never"`, a percentile such as `"p95"`, or a delay such as `"200ms"`.
fn parse_hedge_policy(word: &str) -> Option<HedgePolicy> {
    if word == "never" {
        return Some(HedgePolicy::Never);
    }
    if let Some(percentile) = word.strip_prefix('p') {
        let percentile: f64 = percentile.parse().ok()?;
        return (50.0..=99.9).contains(&percentile).then_some(HedgePolicy::Percentile(percentile));
    }
    let after = humantime::parse_duration(word).ok()?;
    (MIN_TIMEOUT..=MAX_TIMEOUT).contains(&after).then_some(HedgePolicy::After(micros(after)))
}

fn read_pool(name: String, section: &Section) -> PoolConfig {
    PoolConfig {
        name,
        retry_budget: read_retry_budget(section, "retry_budget"),
        max_hedge_ratio: section.fraction("second_copies_most"),
        max_in_flight: read_request_limit(section, "max_in_flight"),
        max_queued: read_request_limit(section, "max_held"),
        lines: source_lines(section),
    }
}
