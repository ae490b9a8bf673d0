//! Experiments on the model of the deployment.
//!
//! An [`Experiment`] is a file: a scenario, the policies, the seeds, and keys to sweep. [`run`] plays its cells on all
//! cores and stores each durably in a [`Folder`]; [`report`] writes one HTML page of them, [`compare`] names what differs
//! between two folders beyond noise. [`load`] loads a real agent on the schedule of the same classes,
//! and [`sockets`] plays a scenario with the real program and sets it beside the model.

mod compare;
mod experiment;
mod folder;
pub mod load;
pub mod members;
mod report;
mod run;
pub mod sockets;
pub mod story;
mod summary;

pub use compare::{compare, Difference};
pub use experiment::{Cell, Experiment, CELLS_MOST};
pub use folder::{Folder, Stored};
pub use report::report;
pub use run::{run, Done};
pub use summary::{summarise, Interval, Row};
