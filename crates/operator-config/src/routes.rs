//! `[[route]]` and `[pool.NAME]`.

use crate::section::Section;
use bellcroft_balancer::{Micros, RetryOn};
use bellcroft_routes::{
    HedgePolicy, PoolConfig, RetryBudgetConfig, RetryScope, RouteConfig, RouteMatch, RoutesConfig,
    SourceLines,
};
use std::time::Duration;

/// The bounds of time-outs.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);
const MAX_TIMEOUT: Duration = Duration::from_secs(600);
/// The bound of counts of requests.
const MAX_COUNT: u64 = 1_000_000;

/// Reads the routes and the pools.
pub(crate) fn schema(top: &Section) -> RoutesConfig {
    let routes = top.sections("route").iter().map(route).collect();
    let pools = top.section("pool");
    let pools = pools.children().into_iter().map(|(name, section)| pool(name, &section)).collect();
    RoutesConfig { routes, pools }
}

/// The lines of the keys that have been read so far.
fn lines(section: &Section) -> SourceLines {
    SourceLines { section: section.line(), keys: section.lines() }
}

fn time(section: &Section, key: &'static str) -> Option<Micros> {
    section.time(key, MIN_TIMEOUT..=MAX_TIMEOUT).map(micros)
}

fn micros(time: Duration) -> Micros {
    Micros(time.as_micros() as u64)
}

fn count(section: &Section, key: &'static str) -> Option<u32> {
    section.count(key, 1..=MAX_COUNT).map(|count| count as u32)
}

fn budget(section: &Section, key: &'static str) -> Option<RetryBudgetConfig> {
    let section = section.section(key);
    let ratio = section.share("ratio");
    let burst = section.number("burst", 1.0..=1e6);
    if !section.is_present() {
        return None;
    }
    let ratio = section.required("ratio", ratio, "the further attempts that each request earns");
    let burst = section.required("burst", burst, "the further attempts that are saved up at most");
    Some(RetryBudgetConfig { ratio: ratio?, burst: burst? })
}

fn route(section: &Section) -> RouteConfig {
    let own = section.name();
    let own = section.required("name", own, "a name");
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
    let hedge = section.parsed("second_copy_after", expected, second_copy).unwrap_or_default();
    RouteConfig {
        name: own.unwrap_or_default(),
        matches,
        timeout: time(section, "timeout"),
        attempt_timeout: time(section, "attempt_timeout"),
        connect_timeout: time(section, "connect_timeout"),
        first_byte_timeout: time(section, "first_byte_timeout"),
        queue_timeout: time(section, "queue_timeout"),
        attempts: section.count("attempts", 1..=100).map(|count| count as u32),
        retry_on,
        retry_within,
        hedge,
        max_hedge_ratio: section.share("second_copies_most"),
        retry_budget: budget(section, "retry_budget"),
        max_in_flight: count(section, "max_in_flight"),
        max_queued: count(section, "max_held"),
        pool: section.text("pool"),
        lines: lines(section),
    }
}

fn second_copy(word: &str) -> Option<HedgePolicy> {
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

fn pool(name: String, section: &Section) -> PoolConfig {
    PoolConfig {
        name,
        retry_budget: budget(section, "retry_budget"),
        max_hedge_ratio: section.share("second_copies_most"),
        max_in_flight: count(section, "max_in_flight"),
        max_queued: count(section, "max_held"),
        lines: lines(section),
    }
}
