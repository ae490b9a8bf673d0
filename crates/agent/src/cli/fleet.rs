//! `bellcroft fleet`.

use crate::daemon::control::{self, ControlError};
use crate::daemon::state;
use crate::exit::{self, block_on};
use bellcroft_operator_config::FleetFile;
use clap::{Args, Subcommand};
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

#[derive(Subcommand)]
pub enum Command {
    /// Run the fleet in the foreground until SIGTERM or `fleet stop`; adopt what an earlier supervisor left running.
    Run(File),
    /// Tell what its instances are doing.
    Status {
        #[command(flatten)]
        file: File,
        /// For programs: the status as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Have all instances read their files again, and wait for what they say.
    Reload(File),
    /// Restart all instances, a few at a time, and wait for the end.
    Restart {
        #[command(flatten)]
        file: File,
        /// The program that they run from now on; an instance that does not serve with it goes back.
        #[arg(long, value_name = "PATH")]
        program: Option<PathBuf>,
    },
    /// End all instances and the supervisor, and wait for it.
    Stop(File),
}

#[derive(Args)]
pub struct File {
    /// The fleet's file (deploy/fleet.toml shows one).
    file: PathBuf,
}

/// How often the supervisor is asked how far it is.
const LOOK: Duration = Duration::from_millis(100);

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
    let done = block_on(async {
        match command {
            Command::Run(_) => Ok(ExitCode::SUCCESS),
            Command::Status { json, .. } => show(dir, json).await,
            Command::Reload(_) => reload(dir).await,
            Command::Restart { program, .. } => restart(dir, program).await,
            Command::Stop(_) => stop(dir).await,
        }
    });
    match done {
        Ok(Ok(code)) => code,
        Ok(Err(ControlError::NotRunning)) => {
            let alive =
                fleet.members.iter().filter(|m| state::is_locked(&crate::fleet::instance_dir(&fleet, m)));
            eprintln!(
                "bellcroft: {}: no supervisor is running; {} of {} instances are. `bellcroft fleet run` adopts them",
                dir.display(),
                alive.count(),
                fleet.members.len()
            );
            ExitCode::from(exit::NOT_RUNNING)
        }
        Ok(Err(ControlError::Failed(why))) | Err(why) => {
            eprintln!("bellcroft: {why}");
            ExitCode::from(exit::NOT_DONE)
        }
    }
}

async fn status(dir: &Path) -> Result<Value, ControlError> {
    control::request(dir, &json!({"command": "status"})).await.map(|told| told.value)
}

async fn show(dir: &Path, json: bool) -> Result<ExitCode, ControlError> {
    let status = status(dir).await?;
    if json {
        println!("{status}");
        return Ok(ExitCode::SUCCESS);
    }
    let text = |value: &Value| match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    };
    println!("{:<24} {:<10} {:>8} {:>22} {:>7}", "instance", "phase", "process", "listens on", "starts");
    for instance in status["instances"].as_array().into_iter().flatten() {
        println!(
            "{:<24} {:<10} {:>8} {:>22} {:>7}{}",
            text(&instance["name"]),
            text(&instance["phase"]),
            text(&instance["pid"]),
            text(&instance["listen"]),
            text(&instance["starts"]),
            instance["why"].as_str().map(|why| format!("  {why}")).unwrap_or_default()
        );
    }
    if let Some(roll) = status["roll"].as_object() {
        println!("rolling: {} of {}", roll["done"], roll["all"]);
    }
    if let Some(why) = status["last_roll"]["why"].as_str() {
        println!("the last roll stopped: {why}");
    }
    Ok(ExitCode::SUCCESS)
}

async fn reload(dir: &Path) -> Result<ExitCode, ControlError> {
    let before = status(dir).await?["reloads"].as_u64();
    control::request(dir, &json!({"command": "reload"})).await?;
    loop {
        tokio::time::sleep(LOOK).await;
        let status = status(dir).await?;
        if status["reloads"].as_u64() == before {
            continue;
        }
        let reload = &status["reload"];
        let (asked, taken) = (reload["asked"].as_u64().unwrap_or(0), reload["taken"].as_u64().unwrap_or(0));
        let refused = reload["refused"].as_array().map(Vec::as_slice).unwrap_or_default();
        if taken + refused.len() as u64 >= asked {
            println!("{taken} of {asked} have reloaded");
            for one in refused {
                let text = |key: &str| one[key].as_str().unwrap_or_default().to_owned();
                eprintln!("{}: {}", text("name"), text("why"));
            }
            return Ok(if refused.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(exit::NOT_DONE) });
        }
    }
}

async fn restart(dir: &Path, program: Option<PathBuf>) -> Result<ExitCode, ControlError> {
    let program = match program.map(std::path::absolute).transpose() {
        Ok(program) => program,
        Err(e) => return Err(ControlError::Failed(format!("--program: {e}"))),
    };
    let before = status(dir).await?["rolls"].as_u64();
    control::request(dir, &json!({"command": "restart", "program": program})).await?;
    let mut told = None;
    loop {
        tokio::time::sleep(LOOK).await;
        let status = status(dir).await?;
        if let Some(roll) = status["roll"].as_object() {
            let done = roll["done"].as_u64();
            if done != told {
                println!("{} of {} renewed", roll["done"], roll["all"]);
                told = done;
            }
            continue;
        }
        if status["rolls"].as_u64() == before {
            continue;
        }
        return Ok(match status["last_roll"]["why"].as_str() {
            None => {
                println!("all are renewed");
                ExitCode::SUCCESS
            }
            Some(why) => {
                eprintln!("bellcroft: the roll has stopped: {why}");
                ExitCode::from(exit::NOT_DONE)
            }
        });
    }
}

async fn stop(dir: &Path) -> Result<ExitCode, ControlError> {
    control::request(dir, &json!({"command": "stop"})).await?;
    let mut told = None;
    while state::is_locked(dir) {
        if let Ok(status) = status(dir).await {
            let left = status["instances"].as_array().into_iter().flatten();
            let left = left.filter(|i| i["phase"] != "stopped").count();
            if told.replace(left) != Some(left) {
                println!("{left} still run");
            }
        }
        tokio::time::sleep(LOOK).await;
    }
    println!("the fleet has ended");
    Ok(ExitCode::SUCCESS)
}
