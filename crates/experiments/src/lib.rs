//! Experiments on the simulated deployment.
//!
//! An [`Experiment`] is read from a file with a scenario, policies, seeds and keys to sweep. [`run`] simulates its cells
//! on all cores and stores each result durably in a [`ResultsDir`]. [`report`] renders them as one HTML page, and
//! [`compare`] lists statistically significant differences between two result directories. [`load`] generates load for a
//! real agent with a scenario's request classes, and [`sockets`] runs a scenario with the real program for comparison with
//! the model. [`members`] simulates membership at scale.

mod compare;
mod experiment;
pub mod load;
pub mod members;
mod report;
mod results_dir;
mod run;
pub mod sockets;
mod summary;
pub mod violations;

pub use compare::{compare, Difference};
pub use experiment::{Cell, Experiment, MAX_CELLS};
pub use report::report;
pub use results_dir::{ResultsDir, StoredCell};
pub use run::{run, RunCounts};
pub use summary::{summarise, Interval, Row};
