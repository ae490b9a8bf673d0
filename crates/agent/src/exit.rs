//! The exit codes shared by all commands, and the runtime for commands that do I/O.

use crate::log::print_error;
use std::fmt::Display;
use std::future::Future;
use std::io;
use std::process::ExitCode;

/// The command was valid but failed.
pub(crate) const FAILED: u8 = 1;
/// A file, an option or the environment is invalid.
pub(crate) const BAD_INPUT: u8 = 2;
/// Another process holds the state directory.
pub(crate) const ALREADY_RUNNING: u8 = 3;
/// No process holds the state directory.
pub(crate) const NOT_RUNNING: u8 = 4;

/// The async runtime could not be started.
#[derive(Debug, thiserror::Error)]
#[error("cannot start the runtime: {0}")]
pub(crate) struct RuntimeError(#[from] io::Error);

/// Runs a future to completion on this thread, within a [`LocalSet`](tokio::task::LocalSet). One thread suffices because
/// neither an instance nor a supervisor shares state between threads.
pub(crate) fn block_on<T>(work: impl Future<Output = T>) -> Result<T, RuntimeError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(tokio::task::LocalSet::new().block_on(&runtime, work))
}

/// Runs a future as [`block_on`] does. An error is printed and becomes the exit code [`BAD_INPUT`].
pub(crate) fn run<E: Display>(work: impl Future<Output = Result<(), E>>) -> ExitCode {
    match block_on(work) {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) => fail(error),
        Err(error) => fail(error),
    }
}

fn fail(error: impl Display) -> ExitCode {
    print_error(format_args!("bellcroft: {error}"));
    ExitCode::from(BAD_INPUT)
}
