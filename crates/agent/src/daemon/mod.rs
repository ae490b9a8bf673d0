//! One instance of the agent: start, serving, reload, control commands, shutdown.
//!
//! [`run`] reads the configuration and locks the state directory; [`serve`] builds an [`instance::Instance`] and runs it
//! until it is asked to shut down; [`shutdown`] finishes the pending requests.

pub(crate) mod commands;
pub(crate) mod config;
pub(crate) mod console;
pub(crate) mod control;
pub(crate) mod descriptors;
mod error;
pub(crate) mod handover;
mod instance;
mod listen;
pub(crate) mod notify;
mod reload;
mod serve;
mod shutdown;
pub(crate) mod state;
pub(crate) mod status;

pub(crate) use crate::control_plane::{variable, StartOptions};
use crate::exit;
use crate::log::print_error;
use config::Config;
pub(crate) use config::ConfigSources;
use state::{StateDir, StateDirError};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// What a start has before the runtime exists.
struct Startup {
    config: Config,
    options: StartOptions,
    /// The locked state directory; none if none is configured or it cannot be used.
    state: Option<StateDir>,
    /// Faults that do not keep the instance from serving.
    problems: Vec<String>,
    started_ms: u64,
}

/// Runs one instance until it is asked to shut down.
pub(crate) fn run(options: StartOptions) -> ExitCode {
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
        // The lock comes first: a second instance must not touch the first one's files or its address.
        match StateDir::acquire(path) {
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
