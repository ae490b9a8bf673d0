//! `bellcroft status`: prints the status of a running instance, or the status file of one that does not run.

use crate::daemon::commands::InstanceRequest;
use crate::daemon::control::{self, ControlError, ControlReply};
use crate::daemon::state::{self, STATUS_FILE};
use crate::daemon::status::Status;
use crate::exit::{self, block_on};
use serde::Serialize;
use serde_json::Value;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// The state directory from the command line, or else from the operator's file; an error is printed.
fn state_dir(state: Option<PathBuf>, operator: Option<PathBuf>) -> Result<PathBuf, ExitCode> {
    let dir = match (state, operator) {
        (Some(state), _) => Some(state),
        (None, Some(operator)) => super::read_agent_file(&operator)?.daemon.state,
        (None, None) => None,
    };
    dir.ok_or_else(|| {
        eprintln!("bellcroft: the operator's file names no daemon.state");
        ExitCode::from(exit::BAD_INPUT)
    })
}

/// Sends a request to a running instance; an error is printed.
pub(super) fn request_instance(
    request: InstanceRequest,
    state: Option<PathBuf>,
    operator: Option<PathBuf>,
) -> Result<Value, ExitCode> {
    let dir = state_dir(state, operator)?;
    match block_on(control::request(&dir, &request)) {
        Ok(Ok(reply)) => Ok(reply.value),
        Ok(Err(ControlError::NotRunning)) => {
            eprintln!("bellcroft: {}: not running", dir.display());
            Err(ExitCode::from(exit::NOT_RUNNING))
        }
        Ok(Err(ControlError::Failed(error))) => {
            eprintln!("bellcroft: {}: {error}", dir.display());
            Err(ExitCode::from(exit::FAILED))
        }
        Err(error) => {
            eprintln!("bellcroft: {}: {error}", dir.display());
            Err(ExitCode::from(exit::FAILED))
        }
    }
}

/// Prints the status of the instance named on the command line.
pub fn run(state: Option<PathBuf>, operator: Option<PathBuf>, json: bool) -> ExitCode {
    let dir = match state_dir(state, operator) {
        Ok(dir) => dir,
        Err(code) => return code,
    };
    match block_on(control::request(&dir, &InstanceRequest::Status)) {
        Ok(Ok(reply)) => print_reply(&reply, json),
        Ok(Err(ControlError::Failed(error))) if state::is_locked(&dir) => {
            eprintln!("bellcroft: {}: runs, and does not answer: {error}", dir.display());
            ExitCode::from(exit::FAILED)
        }
        Ok(Err(_)) => print_last(&dir, json),
        Err(error) => {
            eprintln!("bellcroft: {error}");
            ExitCode::from(exit::FAILED)
        }
    }
}

fn print_reply(reply: &ControlReply, json: bool) -> ExitCode {
    match serde_json::from_value::<Status>(reply.value.clone()) {
        Ok(status) if !json => {
            print_status(&status);
            ExitCode::SUCCESS
        }
        // The reply is printed as received, because a newer instance may send more keys.
        Ok(_) => {
            println!("{}", reply.value);
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("bellcroft: the status is not understood: {e}");
            ExitCode::from(exit::FAILED)
        }
    }
}

/// The JSON output for an instance that does not run.
#[derive(Serialize)]
struct LastStatus<'a> {
    last: Option<&'a Status>,
    running: bool,
    #[serde(rename = "why", skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

/// Prints the status file of an instance that does not run.
fn print_last(dir: &Path, json: bool) -> ExitCode {
    let last = last_status(dir);
    if json {
        let error = last.as_ref().err().map(ToString::to_string);
        let message = LastStatus { last: last.as_ref().ok(), running: false, error };
        println!("{}", serde_json::to_value(message).unwrap_or_default());
        return ExitCode::from(exit::NOT_RUNNING);
    }
    match last {
        Ok(status) => println!(
            "{}: not running; last seen {} as process {}, {} ago",
            status.name,
            status.phase.as_str(),
            status.pid,
            format_age(status.written_ms)
        ),
        Err(error) => println!("{}: not running; {error}", dir.display()),
    }
    ExitCode::from(exit::NOT_RUNNING)
}

/// An error in reading the status file.
#[derive(Debug, thiserror::Error)]
enum LastStatusError {
    #[error("{}: {source}", file.display())]
    Read { file: PathBuf, source: io::Error },
    #[error("{}: cut off or not a status: {source}", file.display())]
    Parse { file: PathBuf, source: serde_json::Error },
}

/// Reads the last status that the instance wrote.
fn last_status(dir: &Path) -> Result<Status, LastStatusError> {
    let file = dir.join(STATUS_FILE);
    match std::fs::read(&file) {
        Ok(text) => serde_json::from_slice(&text).map_err(|source| LastStatusError::Parse { file, source }),
        Err(source) => Err(LastStatusError::Read { file, source }),
    }
}

/// The time since a Unix time in milliseconds, printed in whole seconds.
fn format_age(since_ms: u64) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    format!("{} s", now.saturating_sub(since_ms) / 1000)
}

fn print_status(status: &Status) {
    println!(
        "{}: {}, process {}, up {}",
        status.name,
        status.phase.as_str(),
        status.pid,
        format_age(status.started_ms)
    );
    println!("listens on {}; {} client connections", status.listen, status.connections);
    let servers = status.servers;
    println!("servers: {} up, {} draining, {} gone", servers.up, servers.draining, servers.gone);
    println!("configuration: generation {}, digest {}", status.config.generation, status.config.digest);
    if let Some(reason) = &status.config.refused {
        println!("last reload refused: {reason}");
    }
    println!(
        "{:<24} {:>9} {:>9} {:>9} {:>9} {:>9} {:>6}",
        "class", "taken", "served", "refused", "failed", "left", "open"
    );
    for (class, counts) in &status.requests {
        println!(
            "{class:<24} {:>9} {:>9} {:>9} {:>9} {:>9} {:>6}",
            counts.taken, counts.served, counts.refused, counts.failed, counts.left, counts.open
        );
    }
    if status.bad_requests > 0 {
        println!("bad requests: {}", status.bad_requests);
    }
    if let Some(peers) = &status.membership {
        println!("stance: {} ({}); reckoned by {}", peers.quorum_state, peers.reason, peers.effective_size);
    }
    status.problems.iter().for_each(|problem| println!("problem: {problem}"));
}
