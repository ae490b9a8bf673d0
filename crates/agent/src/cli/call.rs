//! `bellcroft call`: sends one request to an instance's admin console and prints the reply.

use crate::exit::{self, block_on};
use bellcroft_agent_core::admin::AdminRequest;
use serde_json::{Map, Value};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

/// Timeout of a request. An instance replies from its event loop even under load, so a slower one counts as failed.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum length of a reply, in bytes; the rest is not read.
const MAX_REPLY_BYTES: u64 = 4 << 20;

/// A request over the admin console.
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
    /// The request line that the console expects.
    fn request_line(self) -> &'static str {
        let request = match self {
            AdminCommand::Ready => AdminRequest::Ready,
            AdminCommand::ShowStat => AdminRequest::ShowStat,
            AdminCommand::Drain => AdminRequest::Drain,
            AdminCommand::Resume => AdminRequest::Resume,
        };
        AdminRequest::ALL.iter().find(|(_, known)| *known == request).map_or("", |(text, _)| text)
    }
}

/// Sends a request to the console at `console`, or to the address in the operator's file, and prints the reply.
pub fn run(
    command: AdminCommand,
    console: Option<SocketAddr>,
    operator: Option<PathBuf>,
    json: bool,
) -> ExitCode {
    let address = match console_address(console, operator) {
        Ok(address) => address,
        Err(code) => return code,
    };
    match block_on(exchange(address, command.request_line())) {
        Ok(Ok(reply)) => print_reply(&reply, json),
        Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
            eprintln!("bellcroft: nobody answers on {address}");
            ExitCode::from(exit::NOT_RUNNING)
        }
        Ok(Err(e)) => {
            eprintln!("bellcroft: {address}: {e}");
            ExitCode::from(exit::FAILED)
        }
        Err(error) => {
            eprintln!("bellcroft: {error}");
            ExitCode::from(exit::FAILED)
        }
    }
}

/// The console's address from the command line, or else from the operator's file; an error is printed.
fn console_address(console: Option<SocketAddr>, operator: Option<PathBuf>) -> Result<SocketAddr, ExitCode> {
    let address = match (console, operator) {
        (Some(address), _) => Some(address),
        (None, Some(operator)) => super::read_agent_file(&operator)?.instance.console,
        (None, None) => None,
    };
    address.ok_or_else(|| {
        eprintln!("bellcroft: the operator's file names no instance.console");
        ExitCode::from(exit::BAD_INPUT)
    })
}

/// Prints a reply: a line of status code and text, followed for `show-stat` by `name=value` lines up to `EOF`.
fn print_reply(reply: &str, json: bool) -> ExitCode {
    let (status_line, rest) = reply.split_once('\n').unwrap_or((reply, ""));
    let ok = status_line.starts_with("200");
    let text = status_line.get(4..).unwrap_or_default();
    if json {
        println!("{}", json_reply(ok, text, rest));
    } else if rest.is_empty() {
        println!("{text}");
    } else {
        rest.lines().filter(|line| *line != "EOF").for_each(|line| println!("{line}"));
    }
    if ok {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(exit::FAILED)
    }
}

/// A reply as JSON; lines whose value is not an integer are left out.
fn json_reply(ok: bool, text: &str, rest: &str) -> Value {
    let figure = |line: &str| {
        let (name, value) = line.split_once('=')?;
        Some((name.to_owned(), Value::from(value.parse::<u64>().ok()?)))
    };
    let mut object = Map::from_iter([("ok".into(), ok.into()), ("says".into(), text.into())]);
    let figures: Map<String, Value> = rest.lines().filter_map(figure).collect();
    if !figures.is_empty() {
        object.insert("figures".into(), figures.into());
    }
    object.into()
}

/// Sends one request line and reads the reply until the console closes the connection.
async fn exchange(address: SocketAddr, request: &str) -> io::Result<String> {
    let exchange = async {
        let mut stream = bellcroft_net::connect(address).await?;
        stream.write_all(format!("{request}\n").as_bytes()).await?;
        let mut reply = String::new();
        (&mut stream).take(MAX_REPLY_BYTES).read_to_string(&mut reply).await?;
        Ok(reply)
    };
    let timed_out = || io::Error::new(io::ErrorKind::TimedOut, format!("no answer within {REPLY_TIMEOUT:?}"));
    timeout(REPLY_TIMEOUT, exchange).await.unwrap_or_else(|_| Err(timed_out()))
}
