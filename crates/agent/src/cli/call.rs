//! `bellcroft call`: one call over an instance's second address.

use crate::exit::{self, block_on};
use bellcroft_agent_core::admin::AdminRequest;
use bellcroft_operator_config::AgentFile;
use serde_json::{Map, Value};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

/// An instance answers at once, however busy; one that does not by then is in trouble.
const ANSWER_WITHIN: Duration = Duration::from_secs(3);
/// The longest answer that is read.
const ANSWER_MOST: u64 = 4 << 20;

/// What can be asked.
#[derive(Debug, Clone, Copy, clap::ValueEnum)]
pub enum AdminCommand {
    /// Whether it takes clients.
    Ready,
    /// The figures.
    ShowStat,
    /// Take it out of service; it goes on running.
    Drain,
    /// Put it back.
    Resume,
}

impl AdminCommand {
    fn text(self) -> &'static str {
        let call = match self {
            AdminCommand::Ready => AdminRequest::Ready,
            AdminCommand::ShowStat => AdminRequest::ShowStat,
            AdminCommand::Drain => AdminRequest::Drain,
            AdminCommand::Resume => AdminRequest::Resume,
        };
        AdminRequest::ALL.iter().find(|(_, known)| *known == call).map_or("", |(word, _)| word)
    }
}

pub fn run(
    word: AdminCommand,
    console: Option<SocketAddr>,
    operator: Option<PathBuf>,
    json: bool,
) -> ExitCode {
    let address = match (console, operator) {
        (Some(address), _) => Some(address),
        (None, Some(operator)) => match AgentFile::read(&operator) {
            Ok(file) => file.instance.console,
            Err(faults) => {
                faults.iter().for_each(|fault| eprintln!("{fault}"));
                return ExitCode::from(exit::BAD_INPUT);
            }
        },
        (None, None) => None,
    };
    let Some(address) = address else {
        eprintln!("bellcroft: the operator's file names no instance.console");
        return ExitCode::from(exit::BAD_INPUT);
    };
    let answer = match block_on(ask(address, word.text())) {
        Ok(Ok(answer)) => answer,
        Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
            eprintln!("bellcroft: nobody answers on {address}");
            return ExitCode::from(exit::NOT_RUNNING);
        }
        Ok(Err(e)) => {
            eprintln!("bellcroft: {address}: {e}");
            return ExitCode::from(exit::NOT_DONE);
        }
        Err(why) => {
            eprintln!("bellcroft: {why}");
            return ExitCode::from(exit::NOT_DONE);
        }
    };
    let (first, rest) = answer.split_once('\n').unwrap_or((&answer, ""));
    let good = first.starts_with("200");
    let says = first.get(4..).unwrap_or_default();
    if json {
        println!("{}", value(good, says, rest));
    } else if rest.is_empty() {
        println!("{says}");
    } else {
        rest.lines().filter(|line| *line != "EOF").for_each(|line| println!("{line}"));
    }
    if good {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(exit::NOT_DONE)
    }
}

fn value(good: bool, says: &str, rest: &str) -> Value {
    let figure = |line: &str| {
        let (name, value) = line.split_once('=')?;
        Some((name.to_owned(), Value::from(value.parse::<u64>().ok()?)))
    };
    let mut object = Map::from_iter([("ok".into(), good.into()), ("says".into(), says.into())]);
    let figures: Map<String, Value> = rest.lines().filter_map(figure).collect();
    if !figures.is_empty() {
        object.insert("figures".into(), figures.into());
    }
    object.into()
}

async fn ask(address: SocketAddr, word: &str) -> io::Result<String> {
    let exchange = async {
        let mut stream = bellcroft_net::connect(address).await?;
        stream.write_all(format!("{word}\n").as_bytes()).await?;
        let mut answer = String::new();
        (&mut stream).take(ANSWER_MOST).read_to_string(&mut answer).await?;
        Ok(answer)
    };
    let late = || io::Error::new(io::ErrorKind::TimedOut, format!("no answer within {ANSWER_WITHIN:?}"));
    timeout(ANSWER_WITHIN, exchange).await.unwrap_or_else(|_| Err(late()))
}
