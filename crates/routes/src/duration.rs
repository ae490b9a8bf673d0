//! Durations as the operator's file writes them: formatting, rounding and saturating addition.

use bellcroft_balancer::Micros;

/// Formats a duration in the file's notation: `7.5s`, `250ms`.
pub(crate) fn format_duration(duration: Micros) -> String {
    let ms = duration.ms();
    if ms >= 1000.0 {
        format!("{}s", (ms / 10.0).round() / 100.0)
    } else {
        format!("{}ms", ms.round())
    }
}

/// Rounds down to a duration that [`format_duration`] prints exactly: 10 ms steps from one second on, 1 ms below.
pub(crate) fn round_down(duration: Micros) -> Micros {
    let granularity = if duration.0 >= 1_000_000 { 10_000 } else { 1000 };
    Micros(duration.0 / granularity * granularity)
}

/// Saturating sum of two durations.
pub(crate) fn saturating_add(a: Micros, b: Micros) -> Micros {
    Micros(a.0.saturating_add(b.0))
}
