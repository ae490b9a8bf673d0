//! `bellcroft status`.

use crate::daemon::control::{self, ControlError};
use crate::daemon::state::{self, STATUS_FILE};
use crate::daemon::status::Status;
use crate::exit::{self, block_on};
use bellcroft_operator_config::AgentFile;
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// The state directory that the command line names, itself or by an operator's file.
fn directory(state: Option<PathBuf>, operator: Option<PathBuf>) -> Result<PathBuf, ExitCode> {
    let named = match (state, operator) {
        (Some(state), _) => Some(state),
        (None, Some(operator)) => match AgentFile::read(&operator) {
            Ok(file) => file.daemon.state,
            Err(faults) => {
                faults.iter().for_each(|fault| eprintln!("{fault}"));
                return Err(ExitCode::from(exit::BAD_INPUT));
            }
        },
        (None, None) => None,
    };
    named.ok_or_else(|| {
        eprintln!("bellcroft: the operator's file names no daemon.state");
        ExitCode::from(exit::BAD_INPUT)
    })
}

/// Asks a running instance one thing; what went wrong has been said.
pub(super) fn ask(
    command: &str,
    state: Option<PathBuf>,
    operator: Option<PathBuf>,
) -> Result<Value, ExitCode> {
    let dir = directory(state, operator)?;
    match block_on(control::request(&dir, &json!({"command": command}))) {
        Ok(Ok(told)) => Ok(told.value),
        Ok(Err(ControlError::NotRunning)) => {
            eprintln!("bellcroft: {}: not running", dir.display());
            Err(ExitCode::from(exit::NOT_RUNNING))
        }
        Ok(Err(ControlError::Failed(why))) | Err(why) => {
            eprintln!("bellcroft: {}: {why}", dir.display());
            Err(ExitCode::from(exit::NOT_DONE))
        }
    }
}

pub fn run(state: Option<PathBuf>, operator: Option<PathBuf>, json: bool) -> ExitCode {
    let dir = match directory(state, operator) {
        Ok(dir) => dir,
        Err(code) => return code,
    };
    let told = match block_on(control::request(&dir, &json!({"command": "status"}))) {
        Ok(told) => told,
        Err(why) => {
            eprintln!("bellcroft: {why}");
            return ExitCode::from(exit::NOT_DONE);
        }
    };
    match told {
        Ok(told) => match serde_json::from_value::<Status>(told.value.clone()) {
            Ok(status) if !json => {
                print(&status);
                ExitCode::SUCCESS
            }
            // A program reads also what a newer instance says.
            Ok(_) => {
                println!("{}", told.value);
                ExitCode::SUCCESS
            }
            Err(e) => {
                eprintln!("bellcroft: the status is not understood: {e}");
                ExitCode::from(exit::NOT_DONE)
            }
        },
        Err(ControlError::Failed(why)) if state::is_locked(&dir) => {
            eprintln!("bellcroft: {}: runs, and does not answer: {why}", dir.display());
            ExitCode::from(exit::NOT_DONE)
        }
        Err(_) => {
            let last = last(&dir);
            match (json, &last) {
                (true, Ok(status)) => println!("{}", json!({"running": false, "last": status})),
                (true, Err(why)) => println!("{}", json!({"running": false, "last": null, "why": why})),
                (false, Ok(status)) => println!(
                    "{}: not running; last seen {} as process {}, {} ago",
                    status.name,
                    status.phase.as_str(),
                    status.pid,
                    ago(status.written_ms)
                ),
                (false, Err(why)) => println!("{}: not running; {why}", dir.display()),
            }
            ExitCode::from(exit::NOT_RUNNING)
        }
    }
}

/// The last status that was written, if it is whole.
fn last(dir: &Path) -> Result<Status, String> {
    let file = dir.join(STATUS_FILE);
    let text = std::fs::read(&file).map_err(|e| format!("{}: {e}", file.display()))?;
    serde_json::from_slice(&text).map_err(|e| format!("{}: cut off or not a status: {e}", file.display()))
}

fn ago(ms: u64) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    format!("{} s", now.saturating_sub(ms) / 1000)
}

fn print(status: &Status) {
    println!(
        "{}: {}, process {}, up {}",
        status.name,
        status.phase.as_str(),
        status.pid,
        ago(status.started_ms)
    );
    println!("listens on {}; {} client connections", status.listen, status.connections);
    let servers = status.servers;
    println!("servers: {} up, {} draining, {} gone", servers.up, servers.draining, servers.gone);
    println!("configuration: generation {}, digest {}", status.config.generation, status.config.digest);
    if let Some(why) = &status.config.refused {
        println!("last reload refused: {why}");
    }
    println!(
        "{:<24} {:>9} {:>9} {:>9} {:>9} {:>9} {:>6}",
        "class", "taken", "served", "refused", "failed", "left", "open"
    );
    for (class, c) in &status.requests {
        println!(
            "{class:<24} {:>9} {:>9} {:>9} {:>9} {:>9} {:>6}",
            c.taken, c.served, c.refused, c.failed, c.left, c.open
        );
    }
    if status.bad_requests > 0 {
        println!("bad requests: {}", status.bad_requests);
    }
    if let Some(peers) = &status.membership {
        println!("stance: {} ({}); reckoned by {}", peers.stance, peers.reason, peers.reckoned);
    }
    status.problems.iter().for_each(|problem| println!("problem: {problem}"));
}
