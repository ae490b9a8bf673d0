//! State machine that supervises a fleet of instances, without I/O.
//!
//! A [`Supervisor`] takes an [`Event`] and its time (since any fixed moment) and returns the [`Action`]s to perform. It
//! owns no clock, process or file. The caller performs each action and reports its result as an event; if no other event
//! occurs before [`Supervisor::next_wake`], the caller passes [`Event::Tick`] at that time.
//!
//! # States of an instance
//!
//! ```text
//!             +------------- backoff expired --------------+
//!             v                                            |
//!  Waiting -> Starting -> Proving -> Ready -> Stopping -> (exit) -> Stopped
//!     ^           |           |        |          |
//!     |           +--- exit --+--------+          +- the roll continues: Starting
//!     +---- backoff, or Failed after too many consecutive failures
//! ```
//!
//! # Invariants
//!
//! - An instance has two processes only during a roll: the present one goes on serving until its successor is ready and verified
//!   to serve, and only then is terminated. A successor that fails leaves the present one as it is. Otherwise a new process starts
//!   only after the previous one has exited.
//! - A roll replaces at most [`Policy::roll_at_once`] instances at a time. It continues only when the former process of an instance
//!   has exited, and stops with the reason if a successor does not serve.
//! - While no process of an instance accepts connections and none will soon, its listening socket is closed.
//! - Starts are at least [`Policy::start_every`] apart. A failure is followed by a backoff that doubles, with jitter, up
//!   to [`Restart::max`]. An instance with more than [`Restart::limit`] failures, without [`Restart::forgive_after`] of
//!   readiness between them, becomes [`Phase::Failed`]; the other instances continue.
//! - After a stop command the supervisor always finishes: an instance that takes longer than [`Policy::stop_within`] to
//!   exit is killed.

mod actions;
mod events;
mod listeners;
mod machine;
mod policy;
mod replacement;
mod roll;
mod states;

pub use actions::{Action, Refusal, Report, RollError};
pub use events::{Command, Event, SuccessorEvent};
pub use machine::Supervisor;
pub use policy::{Policy, Restart};
pub use states::{InstanceId, Phase, ReleaseId, Time};
