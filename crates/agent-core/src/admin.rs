//! The protocol of the admin console: each connection carries one command line and one reply. The module also formats the
//! statistics that `show-stat` returns.
//!
//! The console listens on the instance's second address. Its commands, replies and statistics are a public interface.

use bellcroft_balancer::{Micros, Time};
use std::fmt;
use std::fmt::Write;

/// Maximum length of a command line, without its line ending.
pub const MAX_LINE_BYTES: usize = 256;
/// Maximum number of concurrent sessions. Health checks connect every second or two; the rest is capacity for idle sessions.
pub const MAX_SESSIONS: usize = 12;
/// Time after which a session without a complete command line is closed.
pub const REQUEST_TIMEOUT: Micros = Micros(6_000_000);
/// Prefix of every statistic's name.
const STATS_PREFIX: &str = "svc";

/// A command of the console.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdminRequest {
    /// Reports whether this process accepts clients.
    Ready,
    /// Shows the statistics.
    ShowStat,
    /// Starts draining.
    Drain,
    /// Ends draining.
    Resume,
}

impl AdminRequest {
    /// All commands with their names.
    pub const ALL: [(&'static str, AdminRequest); 4] = [
        ("ready", AdminRequest::Ready),
        ("show-stat", AdminRequest::ShowStat),
        ("drain", AdminRequest::Drain),
        ("resume", AdminRequest::Resume),
    ];
}

/// Why a line is not a valid command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdminRequestError {
    /// The line is blank.
    Empty,
    /// The line is longer than [`MAX_LINE_BYTES`], or the connection was closed before the line was complete.
    LineTooLong,
    /// The line is not UTF-8.
    NotUtf8,
    /// There is no command of this name.
    UnknownCommand(String),
    /// The command of this name takes no arguments.
    UnexpectedArgument(&'static str),
}

impl fmt::Display for AdminRequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let commands = || AdminRequest::ALL.map(|(name, _)| name).join(", ");
        match self {
            AdminRequestError::Empty => write!(f, "empty; {} can be asked", commands()),
            AdminRequestError::LineTooLong => write!(f, "no line of at most {MAX_LINE_BYTES} bytes"),
            AdminRequestError::NotUtf8 => f.write_str("not text"),
            AdminRequestError::UnknownCommand(name) => {
                write!(f, "no call {name:?}; {} can be asked", commands())
            }
            AdminRequestError::UnexpectedArgument(name) => write!(f, "{name} takes no further words"),
        }
    }
}

impl std::error::Error for AdminRequestError {}

/// Parses a command line, with or without its line ending.
///
/// # Errors
///
/// Returns the reason why the line is not a valid command.
pub fn parse(line: &[u8]) -> Result<AdminRequest, AdminRequestError> {
    let text = std::str::from_utf8(line).map_err(|_| AdminRequestError::NotUtf8)?;
    if text.len() > MAX_LINE_BYTES + "\r\n".len() {
        return Err(AdminRequestError::LineTooLong);
    }
    let mut words = text.split_ascii_whitespace();
    let first = words.next().ok_or(AdminRequestError::Empty)?;
    let known = AdminRequest::ALL.iter().find(|(name, _)| *name == first);
    let (name, request) =
        known.ok_or_else(|| AdminRequestError::UnknownCommand(first.chars().take(32).collect()))?;
    match words.next() {
        None => Ok(*request),
        Some(_) => Err(AdminRequestError::UnexpectedArgument(name)),
    }
}

/// Status of a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyStatus {
    /// The command has succeeded: `200`.
    Done,
    /// The command has been rejected, or its result is negative: `400`.
    Rejected,
}

/// Formats a reply: its first line begins with the status code, `200` or `400`.
pub fn format_reply(status: ReplyStatus, text: impl fmt::Display) -> String {
    let code = match status {
        ReplyStatus::Done => 200,
        ReplyStatus::Rejected => 400,
    };
    format!("{code} {text}\n")
}

/// Counts of the finished requests of a class.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClassStats {
    /// Name of the class.
    pub name: String,
    /// Number of requests with a response from a server.
    pub passed: u64,
    /// Number of shed requests.
    pub dropped: u64,
    /// Number of failed requests.
    pub bad_gateway: u64,
}

/// Statistics of an instance, counted since the start of this process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Stats {
    /// Finished requests by class.
    pub classes: Vec<ClassStats>,
    /// Number of attempts that were completely written to a server.
    pub upstream_tries: u64,
    /// Number of accepted requests that are not finished.
    pub in_progress: u64,
    /// Number of listed servers.
    pub known_backends: u64,
    /// Number of listed servers that get no requests at present, or fewer than their weight.
    pub skipped_backends: u64,
    /// Number of successful reloads.
    pub loads: u64,
    /// Number of rejected reloads.
    pub load_errors: u64,
}

impl fmt::Display for Stats {
    /// Writes one line for each statistic, in the form `svc.name=value`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for class in &self.classes {
            let name = &class.name;
            for (counter, value) in
                [("passed", class.passed), ("dropped", class.dropped), ("bad_gateway", class.bad_gateway)]
            {
                writeln!(f, "{STATS_PREFIX}.handled.{name}.{counter}={value}")?;
            }
        }
        for (counter, value) in [
            ("upstream_tries", self.upstream_tries),
            ("in_progress", self.in_progress),
            ("known_backends", self.known_backends),
            ("skipped_backends", self.skipped_backends),
            ("loads", self.loads),
            ("load_errors", self.load_errors),
        ] {
            writeln!(f, "{STATS_PREFIX}.{counter}={value}")?;
        }
        Ok(())
    }
}

impl Stats {
    /// The complete reply to `show-stat`: the status line, the statistics, and `EOF`.
    pub fn reply(&self) -> String {
        let mut text = format_reply(ReplyStatus::Done, "figures");
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{self}EOF");
        text
    }
}

#[derive(Debug)]
struct Session {
    number: u64,
    opened_at: Time,
}

/// The open sessions. Idle sessions cannot block new ones: at the maximum, the oldest session is evicted for a new one.
#[derive(Debug, Default)]
pub struct AdminSessions {
    /// The open sessions, the oldest first.
    sessions: Vec<Session>,
    next_number: u64,
}

impl AdminSessions {
    /// Opens a session. Returns its number, and the number of the session that is evicted for it, if any.
    #[must_use = "an evicted session has to be closed"]
    pub fn open(&mut self, now: Time) -> (u64, Option<u64>) {
        let evicted = (self.sessions.len() >= MAX_SESSIONS).then(|| self.sessions.remove(0).number);
        let number = self.next_number;
        self.next_number += 1;
        self.sessions.push(Session { number, opened_at: now });
        (number, evicted)
    }

    /// Records that a session's reply has been sent, or that its client has disconnected.
    pub fn close(&mut self, number: u64) {
        self.sessions.retain(|session| session.number != number);
    }

    /// The number of open sessions.
    pub fn count(&self) -> usize {
        self.sessions.len()
    }

    /// The sessions whose [`REQUEST_TIMEOUT`] has passed.
    pub fn expired(&self, now: Time) -> Vec<u64> {
        let is_expired = |session: &&Session| now.since(session.opened_at) >= REQUEST_TIMEOUT;
        self.sessions.iter().filter(is_expired).map(|session| session.number).collect()
    }
}
