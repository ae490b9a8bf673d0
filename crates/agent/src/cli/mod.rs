//! The command line interface: the definition of its arguments, and a module for each command.

mod call;
mod check;
mod fleet;
mod members;
mod status;

use crate::daemon::{self, ConfigSources, StartOptions};
use crate::exit;
use crate::log::{self, Format};
use bellcroft_operator_config::AgentFile;
use clap::{Args, Parser, Subcommand};
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const EXIT_CODES_HELP: &str = "Exit codes:
  0  it went well
  1  what was asked for did not come about (a roll that stopped, a reload that was refused, a call that said no)
  2  a file, an option or the environment is wrong
  3  already running: another process holds the state directory
  4  not running: no process does";

/// A client-side load-balancing agent, alone or as a fleet.
///
/// Without a command it runs one instance as the environment says (PROXY_CONFIG, PROXY_LISTEN, PROXY_DISCOVERY,
/// PROXY_NAME), as `run` does without options.
#[derive(Parser)]
#[command(name = "bellcroft", version, after_help = EXIT_CODES_HELP, max_term_width = 100)]
struct Cli {
    /// What the log's lines look like; BELLCROFT_LOG_FORMAT without. A fleet's instances log as it does.
    #[arg(long, global = true, value_enum)]
    log_format: Option<Format>,
    /// The least level that is logged, by part: such as info, or info,bellcroft::discovery=debug; BELLCROFT_LOG without.
    #[arg(long, global = true, value_name = "LEVELS")]
    log_level: Option<String>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Run one instance in the foreground until SIGTERM.
    Run {
        #[command(flatten)]
        files: ConfigFiles,
        /// Its state directory, before the operator's file.
        #[arg(long, value_name = "DIR")]
        state: Option<PathBuf>,
    },
    /// Check files whole and tell all that is wrong with them, a line each.
    Check {
        #[command(flatten)]
        files: ConfigFiles,
        /// Print each route's life as a time line: the latest moment of each step against window and deadline.
        #[arg(long)]
        explain: bool,
    },
    /// Tell what an instance is doing.
    Status {
        /// Its state directory.
        #[arg(long, value_name = "DIR", required_unless_present = "operator")]
        state: Option<PathBuf>,
        /// The operator's file that names the state directory.
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
        /// For programs: the status as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Tell whom an instance knows of its fleet: who, in what state, since when, by whose word; and its own stance.
    Members {
        /// Its state directory.
        #[arg(long, value_name = "DIR", required_unless_present = "operator")]
        state: Option<PathBuf>,
        /// The operator's file that names the state directory.
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
        /// For programs: the answer as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Ask an instance over its second address, or take it out of service and back.
    Call {
        /// What to ask.
        #[arg(value_enum, value_name = "WORD", id = "word")]
        command: call::AdminCommand,
        /// The instance's second address.
        #[arg(long, value_name = "ADDRESS", required_unless_present = "operator", env = "PROXY_CONSOLE")]
        console: Option<std::net::SocketAddr>,
        /// The operator's file that names it.
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
        /// For programs: the answer as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Run many instances, or command those that run.
    #[command(subcommand)]
    Fleet(fleet::Command),
}

#[derive(Args)]
struct ConfigFiles {
    /// The operator's file (deploy/agent.toml shows one).
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// The platform's configuration, before PROXY_CONFIG and the operator's file.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
}

impl From<ConfigFiles> for ConfigSources {
    fn from(files: ConfigFiles) -> Self {
        ConfigSources { operator: files.operator, config: files.config }
    }
}

/// Reads an operator's file; its errors are printed.
fn read_agent_file(path: &Path) -> Result<AgentFile, ExitCode> {
    AgentFile::read(path).map_err(|faults| {
        faults.iter().for_each(|fault| eprintln!("{fault}"));
        ExitCode::from(exit::BAD_INPUT)
    })
}

/// Runs the program with these arguments, of which the first is the program's name.
pub fn main(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let cli = match Cli::try_parse_from(args) {
        Ok(cli) => cli,
        Err(e) => {
            // clap returns help and version as errors too, and prints them to standard output.
            let _ = e.print();
            return if e.use_stderr() { ExitCode::from(exit::BAD_INPUT) } else { ExitCode::SUCCESS };
        }
    };
    if let Err(error) = log::start(cli.log_format, cli.log_level) {
        log::print_error(format_args!("bellcroft: {error}"));
        return ExitCode::from(exit::BAD_INPUT);
    }
    match cli.command {
        None => daemon::run(StartOptions::default()),
        Some(Command::Run { files, state }) => {
            daemon::run(StartOptions { sources: files.into(), state, is_successor: false })
        }
        Some(Command::Check { files, explain }) => check::run(&files.into(), explain),
        Some(Command::Status { state, operator, json }) => status::run(state, operator, json),
        Some(Command::Members { state, operator, json }) => members::run(state, operator, json),
        Some(Command::Call { command, console, operator, json }) => {
            call::run(command, console, operator, json)
        }
        Some(Command::Fleet(command)) => fleet::run(command),
    }
}

#[cfg(test)]
#[path = "../../tests/unit/command_line.rs"]
mod tests;
