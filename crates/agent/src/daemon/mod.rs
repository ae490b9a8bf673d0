//! One instance of the agent: start, serving, reload, control commands, shutdown.
//!
//! [`run`] reads the configuration and locks the state directory; [`serve`] builds an [`instance::Instance`] and runs it
//! until it is asked to shut down; [`shutdown`] finishes the pending requests.

pub(crate) mod commands;
pub(crate) mod config;
pub(crate) mod console;
pub(crate) mod control;
pub(crate) mod descriptors;
mod disk;
mod error;
pub(crate) mod handover;
mod instance;
mod listen;
pub(crate) mod notify;
mod reload;
mod serve;
mod shutdown;
mod socket_file;
pub(crate) mod state;
pub(crate) mod status;
mod takeover;

pub(crate) use crate::control_plane::{variable, StartOptions};
use crate::exit;
use crate::log::print_error;
use config::Config;
pub(crate) use config::ConfigSources;
use state::{StateDir, StateDirError};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// The environment variable by which a supervisor tells a process that it is to replace the one that holds its state directory.
/// Earlier versions do not know it, and exit since the directory is held.
pub(crate) const SUCCESSOR_VARIABLE: &str = "BELLCROFT_SUCCESSOR";

/// What a start has before the runtime exists.
struct Startup {
    config: Config,
    options: StartOptions,
    /// The state directory; none if none is configured or it cannot be used. It is locked, but for a successor, which gets the lock
    /// from its predecessor.
    state: Option<StateDir>,
    /// Faults that do not keep the instance from serving.
    problems: Vec<String>,
    started_ms: u64,
}

/// Runs one instance until it is asked to shut down.
pub(crate) fn run(mut options: StartOptions) -> ExitCode {
    let started_ms = unix_ms();
    let mut config = match Config::load(&options.sources, variable) {
        Ok(config) => config,
        Err(errors) => {
            print_error(format_args!("bellcroft: {errors}"));
            return ExitCode::from(exit::BAD_INPUT);
        }
    };
    config.daemon.state = options.state.clone().or(config.daemon.state);
    let mut problems = Vec::new();
    let mut state = None;
    if let Some(path) = &config.daemon.state {
        options.is_successor = variable(SUCCESSOR_VARIABLE).is_some();
        // The lock comes first: a second instance must not touch the first one's files or its address.
        let acquired =
            if options.is_successor { StateDir::of_predecessor(path) } else { StateDir::acquire(path) };
        match acquired {
            Ok(locked) => state = Some(locked),
            Err(held @ StateDirError::Held(_)) => {
                print_error(format_args!("bellcroft: {}: {held}", path.display()));
                return ExitCode::from(exit::ALREADY_RUNNING);
            }
            Err(unusable) => problems.push(unusable.to_string()),
        }
    }
    exit::run(serve::serve(Startup { config, options, state, problems, started_ms }))
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
