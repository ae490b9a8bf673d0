//! Simulates a fleet in virtual time: many balancers without peer hints, and servers in slow start.
//!
//! Each server sums the work that reaches it in each window of `overload_tolerance` and compares it with the bound by the
//! settings. The balancers know only the settings and the endpoint list.

mod fleet;
mod scenario;
mod server;

pub use fleet::Fleet;
pub use scenario::{Scenario, StartKind};
pub use server::Observed;
