//! A receiver of remote write, what it keeps, and alert rules over that.
//!
//! Bodies are read by a code path of their own, from the public specifications and not from the sender's declarations.

mod page;
mod promql;
mod receiver;
mod rules;
mod store;
mod unit;
mod wire;

pub use page::metrics_table;
pub use promql::{evaluate, Value};
pub use receiver::{Posted, Receiver, Taking};
pub use rules::{Alert, Alerting, Rule, RuleFile};
pub use store::{labels, Labels, Store};
pub use unit::{run as run_unit_tests, run_replaced as run_unit_tests_replaced, Tally};
