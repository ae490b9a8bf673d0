//! Exit codes, the same for every command, and the runtime that each long one runs on.

use crate::log::say;
use std::future::Future;
use std::process::ExitCode;

/// What was asked for was tried and did not come about.
pub(crate) const NOT_DONE: u8 = 1;
/// A file, an option or the environment is wrong.
pub(crate) const BAD_INPUT: u8 = 2;
/// Another process holds the state directory.
pub(crate) const ALREADY_RUNNING: u8 = 3;
/// Nobody does.
pub(crate) const NOT_RUNNING: u8 = 4;

/// Runs something to its end on this thread. Within [`LocalSet`](tokio::task::LocalSet), for neither an instance nor a
/// supervisor shares anything with other threads.
pub(crate) fn block_on<T>(work: impl Future<Output = T>) -> Result<T, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start the runtime: {e}"))?;
    Ok(tokio::task::LocalSet::new().block_on(&runtime, work))
}

/// As [`block_on`], with what went wrong in the log and in the code.
pub(crate) fn run(work: impl Future<Output = Result<(), String>>) -> ExitCode {
    match block_on(work).and_then(|ended| ended) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            say(format_args!("bellcroft: {why}"));
            ExitCode::from(BAD_INPUT)
        }
    }
}
