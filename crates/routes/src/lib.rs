//! Routes: timeouts, attempts, hedging and retry budgets per class, tenant and path prefix, without I/O.
//!
//! The crate owns the parsed route configuration ([`RoutesConfig`]), its static check ([`check`]), the compiled
//! [`RouteTable`] that the agent consults for each request, and the [`LatencyWindow`] from which percentile hedge
//! delays are resolved. It does not parse files (`bellcroft-operator-config`), decide on attempts
//! (`bellcroft-balancer`) or write bytes (the agent).
//!
//! # Check
//!
//! For each route and class the check computes the latest moment at which a byte of the last attempt can reach a
//! server ([`AttemptTimeline`]) and compares it with the dedup window, the drain grace period and the client's
//! deadline. The balancer and the agent enforce the same limits at run time (no byte leaves after `write_by`); neither
//! the check nor the enforcement relies on the other.
//!
//! # States
//!
//! A [`RouteTable`] is immutable; a reload compiles a new one, and pending requests keep their `Arc` of the old limits.
//! [`BudgetIds`] are kept until the process exits, so that budgets keep their balance over reloads. [`LatencyWindow`] is
//! single-threaded (interior mutability through cells).
//!
//! # Errors and units
//!
//! A rejected configuration is reported as a list of [`Diagnostic`]s, each with a line number counted from 1. Durations are
//! `Micros` (microseconds); percentiles run from 0 to 100; hedge ratios are shares of a route's requests.

mod check;
mod config;
mod duration;
mod explain;
mod index;
mod latency_window;
mod platform;
mod table;
mod timeline;

pub use check::{check, check_only, Diagnostic, EnabledChecks};
pub use config::{
    HedgePolicy, PoolConfig, RetryBudgetConfig, RetryScope, RouteConfig, RouteMatch, RoutesConfig,
    SourceLines,
};
pub use explain::explain;
pub use latency_window::LatencyWindow;
pub use platform::Platform;
pub use table::{BudgetIds, Route, RouteTable};
pub use timeline::{AttemptTimeline, AttemptTiming, NETWORK_DELAY, SCHEDULING_DELAY};
