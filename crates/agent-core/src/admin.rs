//! The admin console: one command line per connection, one reply; and the statistics that `show-stat` returns.
//!
//! The console listens on the instance's second address. Its words, replies and figures are an outer form.

use bellcroft_balancer::{Micros, Time};
use std::fmt;
use std::fmt::Write;

/// The maximum length of a command line, in bytes, without its end.
pub const MAX_LINE_BYTES: usize = 256;
/// The maximum of concurrent sessions. Health checks connect every second or two; the rest is capacity for idle sessions.
pub const MAX_SESSIONS: usize = 12;
/// The time for completing the command line; a session without one is closed then.
pub const REQUEST_TIMEOUT: Micros = Micros(6_000_000);
/// The prefix of every figure.
const STATS_PREFIX: &str = "svc";

/// A command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdminRequest {
    /// Whether this process accepts clients.
    Ready,
    /// Show the statistics.
    ShowStat,
    /// Start draining.
    Drain,
    /// End draining.
    Resume,
}

impl AdminRequest {
    /// Every command, with its word.
    pub const ALL: [(&'static str, AdminRequest); 4] = [
        ("ready", AdminRequest::Ready),
        ("show-stat", AdminRequest::ShowStat),
        ("drain", AdminRequest::Drain),
        ("resume", AdminRequest::Resume),
    ];
}

/// A line that is no command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdminRequestError {
    /// The line is blank.
    Empty,
    /// The line is longer than [`MAX_LINE_BYTES`], or the connection ended before it did.
    LineTooLong,
    /// The line is not UTF-8.
    NotUtf8,
    /// No command has this word.
    UnknownCommand(String),
    /// This command takes no arguments.
    UnexpectedArgument(&'static str),
}

impl fmt::Display for AdminRequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let commands = || AdminRequest::ALL.map(|(word, _)| word).join(", ");
        match self {
            AdminRequestError::Empty => write!(f, "empty; {} can be asked", commands()),
            AdminRequestError::LineTooLong => write!(f, "no line of at most {MAX_LINE_BYTES} bytes"),
            AdminRequestError::NotUtf8 => f.write_str("not text"),
            AdminRequestError::UnknownCommand(word) => {
                write!(f, "no call {word:?}; {} can be asked", commands())
            }
            AdminRequestError::UnexpectedArgument(word) => write!(f, "{word} takes no further words"),
        }
    }
}

impl std::error::Error for AdminRequestError {}

/// Parses a line, with or without its end.
///
/// # Errors
///
/// The line is no command.
pub fn parse(line: &[u8]) -> Result<AdminRequest, AdminRequestError> {
    let text = std::str::from_utf8(line).map_err(|_| AdminRequestError::NotUtf8)?;
    if text.len() > MAX_LINE_BYTES + "\r\n".len() {
        return Err(AdminRequestError::LineTooLong);
    }
    let mut words = text.split_ascii_whitespace();
    let first = words.next().ok_or(AdminRequestError::Empty)?;
    let known = AdminRequest::ALL.iter().find(|(word, _)| *word == first);
    let (word, request) =
        known.ok_or_else(|| AdminRequestError::UnknownCommand(first.chars().take(32).collect()))?;
    match words.next() {
        None => Ok(*request),
        Some(_) => Err(AdminRequestError::UnexpectedArgument(word)),
    }
}

/// Whether a command has succeeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyStatus {
    /// It has: `200`.
    Done,
    /// It has not, or the answer is no: `400`.
    Rejected,
}

/// An answer: a line that begins with `200` or `400`, and what follows it.
pub fn format_reply(status: ReplyStatus, text: impl fmt::Display) -> String {
    let code = match status {
        ReplyStatus::Done => 200,
        ReplyStatus::Rejected => 400,
    };
    format!("{code} {text}\n")
}

/// The finished requests of a class.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClassStats {
    /// The name of the class.
    pub name: String,
    /// Requests with a response from a server.
    pub passed: u64,
    /// Rejected requests.
    pub dropped: u64,
    /// Failed requests.
    pub bad_gateway: u64,
}

/// The statistics of an instance. Counts are of this process, from its start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Stats {
    /// Requests by class.
    pub classes: Vec<ClassStats>,
    /// Attempts that were completely written to a server.
    pub upstream_tries: u64,
    /// Accepted requests that are not finished.
    pub in_progress: u64,
    /// Listed servers.
    pub known_backends: u64,
    /// Listed servers that get no requests at present, or fewer than their weight.
    pub skipped_backends: u64,
    /// Successful reloads.
    pub loads: u64,
    /// Rejected reloads.
    pub load_errors: u64,
}

impl fmt::Display for Stats {
    /// One figure a line, in the form `svc.name=value`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for class in &self.classes {
            let name = &class.name;
            for (word, value) in
                [("passed", class.passed), ("dropped", class.dropped), ("bad_gateway", class.bad_gateway)]
            {
                writeln!(f, "{STATS_PREFIX}.handled.{name}.{word}={value}")?;
            }
        }
        for (word, value) in [
            ("upstream_tries", self.upstream_tries),
            ("in_progress", self.in_progress),
            ("known_backends", self.known_backends),
            ("skipped_backends", self.skipped_backends),
            ("loads", self.loads),
            ("load_errors", self.load_errors),
        ] {
            writeln!(f, "{STATS_PREFIX}.{word}={value}")?;
        }
        Ok(())
    }
}

impl Stats {
    /// The complete reply to `show-stat`: the status line, the figures, `EOF`.
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

/// The open sessions. Idle sessions cannot keep others out: the oldest is evicted if all are taken.
#[derive(Debug, Default)]
pub struct AdminSessions {
    /// The sessions by age, the oldest first.
    sessions: Vec<Session>,
    next: u64,
}

impl AdminSessions {
    /// Opens a session and returns its number, with the number of the session that is evicted for it, if any.
    #[must_use = "an evicted session has to be closed"]
    pub fn open(&mut self, now: Time) -> (u64, Option<u64>) {
        let evicted = (self.sessions.len() >= MAX_SESSIONS).then(|| self.sessions.remove(0).number);
        let number = self.next;
        self.next += 1;
        self.sessions.push(Session { number, opened_at: now });
        (number, evicted)
    }

    /// A session has been answered, or its client has disconnected.
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
