//! Validation of the settings of an agent.

use crate::params::{DiscoveryMode, Params};

/// Returns the settings that an agent cannot run with, as pairs of key and description: required limits and durations that
/// are missing, and negative values. Missing values get no defaults here, since a default would be the value of another
/// deployment; the simulator always provides all of them.
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
    let error = |(key, value, is_required): (&'static str, Option<f64>, bool)| match value {
        None if is_required => Some((key, format!("{key} is missing"))),
        Some(value) if value < 0.0 => {
            Some((key, format!("{key} is {value}; expected a value of at least 0")))
        }
        _ => None,
    };
    checks.into_iter().filter_map(error).collect()
}
