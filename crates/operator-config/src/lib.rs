//! Configuration files that operators write: `agent.toml` for one instance ([`AgentFile`]) and `fleet.toml` for a fleet
//! of instances ([`FleetFile`]).
//!
//! Validation does not stop at the first error: the result is either a file whose values are all valid, or a list of
//! every error, each a [`FileError`] with its line, its key, what is wrong and what was expected. An unknown key is an error.
//! Each subsystem reads its own section through [`Section`], which records the keys that it was asked for.

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
