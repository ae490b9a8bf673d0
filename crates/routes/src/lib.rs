//! Routes: which requests get which time-outs, attempts, second copies and budgets, without I/O.
//!
//! A [`RoutesConfig`] is what an operator wrote. [`check`] proves that it keeps the four rules with the platform's settings,
//! or says line by line what could break one; [`RouteTable::compile`] makes of a good one what the agent looks up for each
//! request. [`LatencyWindow`] knows the percentiles of a class's last answers.
//!
//! The proof is of times. For each route it computes the latest moment at which a byte of the last attempt could reach
//! a server ([`AttemptTimeline`]), and holds it against the window in which servers drop repeats, the grace of a drain and the
//! client's deadline. The same limits are obeyed at run time by `bellcroft-balancer` (which decides) and by the agent (which
//! writes nothing after `write_by`); the proof does not rest on that, nor that on the proof.

mod check;
mod config;
mod explain;
mod latency_window;
mod table;
mod timeline;

pub use check::{check, check_only, Diagnostic, EnabledChecks, Platform};
pub use config::{
    HedgePolicy, PoolConfig, RetryBudgetConfig, RetryScope, RouteConfig, RouteMatch, RoutesConfig,
    SourceLines,
};
pub use explain::explain;
pub use latency_window::LatencyWindow;
pub use table::{BudgetIds, Route, RouteTable};
pub use timeline::{AttemptTimeline, AttemptTiming, NETWORK_DELAY, SCHEDULING_DELAY};

/// A time in the words of the files: `7.5s`, `250ms`.
pub(crate) fn words(span: bellcroft_balancer::Micros) -> String {
    let ms = span.ms();
    if ms >= 1000.0 {
        format!("{}s", (ms / 10.0).round() / 100.0)
    } else {
        format!("{}ms", ms.round())
    }
}
