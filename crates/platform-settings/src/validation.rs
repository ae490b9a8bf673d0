//! Validation for an agent.

use crate::params::{DiscoveryMode, Params};

/// The settings that an agent can't run with, as pairs of key and description: required limits and durations that are missing,
/// and negative values. Defaults are no substitute here, as they would be those of another deployment; the simulator always
/// gives all of them.
pub fn validation_errors(params: &Params) -> Vec<(&'static str, String)> {
    let (limits, rules) = (&params.limits, &params.rules);
    let is_polled = matches!(params.discovery, Some(DiscoveryMode::OnRequest));
    let checks = [
        ("limits.maxAttempts", limits.max_attempts.map(f64::from), true),
        ("limits.connectTimeoutMs", limits.connect_timeout_ms, true),
        ("limits.keepaliveMs", limits.keepalive_ms, true),
        ("limits.maxRetryAfterMs", Some(limits.max_retry_after_ms), false),
        ("rules.askWithinMs", rules.poll_interval_ms, is_polled),
        ("rules.fallMs", rules.fall_after_ms, false),
        ("rules.stopSendingWithinMs", rules.drain_grace_period_ms, true),
        ("rules.warmAfterMs", rules.slow_start_window_ms, false),
    ];
    let fault = |(key, value, is_required): (&'static str, Option<f64>, bool)| match value {
        None if is_required => Some((key, format!("{key} is missing"))),
        Some(value) if value < 0.0 => {
            Some((key, format!("{key} is {value}; a time of at least 0 was expected")))
        }
        _ => None,
    };
    checks.into_iter().filter_map(fault).collect()
}
