//! Decides what a fleet of instances does next, without I/O.
//!
//! A [`Supervisor`] takes an [`Event`] and its time (since any fixed moment) and returns the [`Action`]s to perform. It owns
//! no clock, process or file. The caller performs each action and reports its result as an event; between events it calls
//! with [`Event::Tick`] at [`Supervisor::next_wake`].
//!
//! # States of an instance
//!
//! ```text
//!             +-------------- back-off over ---------------+
//!             v                                            |
//!  Waiting -> Starting -> Proving -> Ready -> Stopping -> (exit) -> Stopped
//!     ^           |           |        |          |
//!     |           +--- exit --+--------+          +- the roll continues: Starting
//!     +---- back-off, or Failed after too many deaths in a row
//! ```
//!
//! # Invariants
//!
//! - Never two processes of one instance: a start follows the exit of the previous process.
//! - At most [`Policy::roll_at_once`] instances are down for a roll. A roll continues only when the last one is ready and
//!   has been proved to serve, and stops with the reason when one is not.
//! - Starts are [`Policy::start_every`] apart. A death is followed by a back-off that doubles, with jitter, up to
//!   [`Restart::max`]; more than [`Restart::limit`] deaths without [`Restart::forgive_after`] of readiness between them
//!   make the instance [`Phase::Failed`], and the others continue.
//! - After a stop command it finishes: an instance that takes longer than [`Policy::stop_within`] is killed.

mod actions;
mod events;
mod machine;
mod policy;
mod roll;
mod states;

pub use actions::{Action, Refusal, Report, RollError};
pub use events::{Command, Event};
pub use machine::Supervisor;
pub use policy::{Policy, Restart};
pub use states::{InstanceId, Phase, ReleaseId, Time};
