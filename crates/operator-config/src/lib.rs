//! The files that an operator owns: `agent.toml` for an instance ([`AgentFile`]), `fleet.toml` for a fleet of them
//! ([`FleetFile`]).
//!
//! A file is checked completely: either every value in it is valid, or the result is the list of all faults, each
//! [`FileError`] with its line, its key, what is wrong and what was expected. An unknown key is a fault. Each subsystem reads
//! its own section through [`Section`], which records the keys that it was asked for.

mod agent;
mod errors;
mod fleet;
mod membership;
mod reader;
mod routes;
mod section;
mod telemetry;
mod values;

pub use agent::{AgentFile, Daemon, Instance};
pub use errors::FileError;
pub use fleet::{FleetFile, FleetInstance};
pub use membership::Membership;
pub use reader::{load, parse};
pub use section::Section;
pub use telemetry::RemoteWrite;
