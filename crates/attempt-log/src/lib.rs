//! A journal of single-run requests: what was sent where, and whether an answer came back, after any crash.
//!
//! [`Record`]s stand in segments ([`segment`]): append-only files whose every frame carries its checksum, so that a cut or
//! spoilt place costs what it covers and nothing else. [`Log`] writes them through a [`Disk`], which may fail at any call;
//! [`recover`] reads them back, puts a spoilt tail aside, and [`Stories`] tells each request's state.
//!
//! The rules never rest on the journal: whatever happens to it, its writer says so and the caller goes on.

mod disk;
mod log;
mod record;
pub mod segment;
mod story;

pub use disk::Disk;
pub use log::{recover, Log, Policy, Recovered, Sync};
pub use record::{Answer, Outcome, Record, Start, NAME_MOST};
pub use story::{Attempt, State, Stories, Story};
