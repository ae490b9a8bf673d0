//! `bellcroft fleet`: runs the supervisor of a fleet, or sends commands to a running one.

use crate::daemon::control::{self, ControlError};
use crate::daemon::state;
use crate::exit::{self, block_on};
use crate::fleet::commands::{FleetRequest, FleetStatus, ReloadProgress};
use bellcroft_operator_config::FleetFile;
use clap::{Args, Subcommand};
use serde_json::Value;
use std::fmt::Display;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

#[derive(Subcommand)]
pub enum Command {
    /// Run the fleet in the foreground until SIGTERM or `fleet stop`; adopt what an earlier supervisor left running.
    Run(FileArg),
    /// Tell what its instances are doing.
    Status {
        #[command(flatten)]
        file: FileArg,
        /// For programs: the status as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Have all instances read their files again, and wait for what they say.
    Reload(FileArg),
    /// Restart all instances, a few at a time, and wait for the end.
    Restart {
        #[command(flatten)]
        file: FileArg,
        /// The program that they run from now on; an instance that does not serve with it goes back.
        #[arg(long, value_name = "PATH")]
        program: Option<PathBuf>,
    },
    /// End all instances and the supervisor, and wait for it.
    Stop(FileArg),
}

#[derive(Args)]
pub struct FileArg {
    /// The fleet's file (deploy/fleet.toml shows one).
    file: PathBuf,
}

/// Interval at which the supervisor is asked for its progress.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Executes a command on the fleet that its file describes.
pub fn run(command: Command) -> ExitCode {
    let file = match &command {
        Command::Run(file) | Command::Reload(file) | Command::Stop(file) => file,
        Command::Status { file, .. } | Command::Restart { file, .. } => file,
    };
    if let Command::Run(_) = command {
        return crate::fleet::run(&file.file);
    }
    let fleet = match FleetFile::read(&file.file) {
        Ok(fleet) => fleet,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            return ExitCode::from(exit::BAD_INPUT);
        }
    };
    let dir = fleet.state.as_path();
    let result = block_on(async {
        match command {
            Command::Run(_) => Ok(ExitCode::SUCCESS),
            Command::Status { json, .. } => show_status(dir, json).await,
            Command::Reload(_) => reload(dir).await,
            Command::Restart { program, .. } => restart(dir, program).await,
            Command::Stop(_) => stop(dir).await,
        }
    });
    match result {
        Ok(Ok(code)) => code,
        Ok(Err(CommandError::Control(ControlError::NotRunning))) => {
            report_not_running(&fleet);
            ExitCode::from(exit::NOT_RUNNING)
        }
        Ok(Err(error)) => fail(error),
        Err(error) => fail(error),
    }
}

/// Prints an error; the exit code is [`exit::FAILED`].
fn fail(error: impl Display) -> ExitCode {
    eprintln!("bellcroft: {error}");
    ExitCode::from(exit::FAILED)
}

/// Prints that no supervisor is running, and how many instances are.
fn report_not_running(fleet: &FleetFile) {
    let running_members =
        fleet.instances.iter().filter(|member| state::is_locked(&crate::fleet::instance_dir(fleet, member)));
    eprintln!(
        "bellcroft: {}: no supervisor is running; {} of {} instances are. `bellcroft fleet run` adopts them",
        fleet.state.display(),
        running_members.count(),
        fleet.instances.len()
    );
}

/// An error that kept a command from completing.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    /// The exchange with the supervisor failed.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// The path given by `--program` cannot be made absolute.
    #[error("--program: {0}")]
    Program(#[source] io::Error),
    /// The supervisor's status cannot be deserialized.
    #[error(transparent)]
    Status(#[from] serde_json::Error),
}

async fn status_reply(dir: &Path) -> Result<Value, ControlError> {
    control::request(dir, &FleetRequest::Status).await.map(|reply| reply.value)
}

async fn status(dir: &Path) -> Result<FleetStatus, CommandError> {
    Ok(serde_json::from_value(status_reply(dir).await?)?)
}

async fn show_status(dir: &Path, json: bool) -> Result<ExitCode, CommandError> {
    let reply = status_reply(dir).await?;
    if json {
        // The reply is printed as received, because a newer supervisor may send more keys.
        println!("{reply}");
        return Ok(ExitCode::SUCCESS);
    }
    print_status(&serde_json::from_value(reply)?);
    Ok(ExitCode::SUCCESS)
}

fn print_status(status: &FleetStatus) {
    println!("{:<24} {:<10} {:>8} {:>22} {:>7}", "instance", "phase", "process", "listens on", "starts");
    for instance in &status.instances {
        println!(
            "{:<24} {:<10} {:>8} {:>22} {:>7}{}",
            instance.name,
            instance.phase,
            instance.pid.map_or("-".to_owned(), |pid| pid.to_string()),
            instance.listen,
            instance.starts,
            instance.failure.as_ref().map(|reason| format!("  {reason}")).unwrap_or_default()
        );
    }
    if let Some(roll) = &status.roll {
        println!("rolling: {} of {}", roll.renewed, roll.total);
    }
    if let Some(reason) = status.last_roll.as_ref().and_then(|roll| roll.failure.as_ref()) {
        println!("the last roll stopped: {reason}");
    }
}

/// Reloads all instances and waits until each has accepted or rejected its files.
async fn reload(dir: &Path) -> Result<ExitCode, CommandError> {
    let reloads_before = status(dir).await?.begun_reloads;
    control::request(dir, &FleetRequest::Reload).await?;
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let status = status(dir).await?;
        if status.begun_reloads == reloads_before {
            continue;
        }
        let ReloadProgress { requested, accepted, rejected } = status.reload;
        if accepted + rejected.len() as u64 >= requested {
            println!("{accepted} of {requested} have reloaded");
            rejected.iter().for_each(|rejection| eprintln!("{}: {}", rejection.name, rejection.reason));
            return Ok(if rejected.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(exit::FAILED) });
        }
    }
}

/// Restarts all instances, printing progress, and waits until the rolling restart has finished.
async fn restart(dir: &Path, program: Option<PathBuf>) -> Result<ExitCode, CommandError> {
    let program = program.map(std::path::absolute).transpose().map_err(CommandError::Program)?;
    let rolls_before = status(dir).await?.ended_rolls;
    control::request(dir, &FleetRequest::Restart { program }).await?;
    let mut last_printed = None;
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let status = status(dir).await?;
        if let Some(roll) = status.roll {
            if last_printed.replace(roll.renewed) != Some(roll.renewed) {
                println!("{} of {} renewed", roll.renewed, roll.total);
            }
            continue;
        }
        if status.ended_rolls == rolls_before {
            continue;
        }
        return Ok(match status.last_roll.and_then(|roll| roll.failure) {
            None => {
                println!("all are renewed");
                ExitCode::SUCCESS
            }
            Some(reason) => {
                eprintln!("bellcroft: the roll has stopped: {reason}");
                ExitCode::from(exit::FAILED)
            }
        });
    }
}

/// Stops the fleet, printing progress, and waits until the supervisor has released the state directory.
async fn stop(dir: &Path) -> Result<ExitCode, CommandError> {
    control::request(dir, &FleetRequest::Stop).await?;
    let mut last_printed = None;
    while state::is_locked(dir) {
        if let Ok(status) = status(dir).await {
            let running = status.instances.iter().filter(|instance| instance.phase != "stopped").count();
            if last_printed.replace(running) != Some(running) {
                println!("{running} still run");
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    println!("the fleet has ended");
    Ok(ExitCode::SUCCESS)
}
