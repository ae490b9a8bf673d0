//! Simulates a fleet in virtual time: many balancers side by side, without peers, and servers in slow start.
//!
//! Each server counts the work that reaches it and compares each window of `overload_tolerance` with the bound by the settings. The
//! balancers know only the settings and the endpoint list.

mod fleet;
mod scenario;
mod server;

pub use fleet::Fleet;
pub use scenario::{Scenario, StartKind};
pub use server::Observed;
