//! The platform's settings against which routes are checked.

use bellcroft_balancer::{Micros, Settings};

/// Platform settings and names, borrowed for the duration of one check.
#[derive(Debug, Clone, Copy)]
pub struct Platform<'a> {
    /// Balancer settings: classes, attempt limit, hedging, drain grace period.
    pub settings: &'a Settings,
    /// Class names, in the order of `settings.classes`.
    pub classes: &'a [String],
    /// Tenant names.
    pub tenants: &'a [String],
    /// Connect timeout where a route sets none.
    pub connect_timeout: Micros,
}
