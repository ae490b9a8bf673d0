//! The files that an operator owns: `agent.toml` for an instance ([`AgentFile`]), `fleet.toml` for a fleet of them
//! ([`FleetFile`]).
//!
//! A file is read whole and checked whole: either every value in it is good, or the answer is the list of all that
//! is wrong with it, each [`Fault`] with its line, its key, what is wrong and what would be right. Keys that are not
//! known are wrong. Each subsystem reads its own section through [`Section`], which knows the keys that it was asked
//! for.

mod agent;
mod fleet;
mod membership;
mod reader;
mod routes;
mod telemetry;

pub use agent::{AgentFile, Daemon, Instance};
pub use fleet::{FleetFile, Member};
pub use membership::Membership;
pub use reader::{load, parse, Fault, Section};
pub use telemetry::RemoteWrite;
