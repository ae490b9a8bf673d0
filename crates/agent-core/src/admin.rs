//! One line asks, one answer follows: the calls of the second address, and the figures that it shows.

use bellcroft_balancer::{Micros, Time};
use std::fmt;
use std::fmt::Write;

/// The longest line that is read.
pub const MAX_LINE_BYTES: usize = 256;
/// Callers at a time. They come every second or two; the rest is room for those that say nothing.
pub const MAX_SESSIONS: usize = 12;
/// A caller that has not completed its line by then is let go.
pub const REQUEST_TIMEOUT: Micros = Micros(6_000_000);
/// Prefix of every figure.
const PREFIX: &str = "svc";

/// What a line asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdminRequest {
    /// Whether this process takes clients.
    Ready,
    /// The figures.
    ShowStat,
    /// Take it out of service.
    Drain,
    /// Put it back.
    Resume,
}

impl AdminRequest {
    /// Every call, with its word.
    pub const ALL: [(&'static str, AdminRequest); 4] = [
        ("ready", AdminRequest::Ready),
        ("show-stat", AdminRequest::ShowStat),
        ("drain", AdminRequest::Drain),
        ("resume", AdminRequest::Resume),
    ];
}

/// A line that asks for nothing that there is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdminRequestError {
    /// It says nothing.
    Empty,
    /// It is longer than [`MAX_LINE_BYTES`], or ended before its line did.
    LineTooLong,
    /// It is no text.
    NotUtf8,
    /// No call has this word.
    UnknownCommand(String),
    /// The call takes no further words.
    UnexpectedArgument(&'static str),
}

impl fmt::Display for AdminRequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let words = || AdminRequest::ALL.map(|(word, _)| word).join(", ");
        match self {
            AdminRequestError::Empty => write!(f, "empty; {} can be asked", words()),
            AdminRequestError::LineTooLong => write!(f, "no line of at most {MAX_LINE_BYTES} bytes"),
            AdminRequestError::NotUtf8 => f.write_str("not text"),
            AdminRequestError::UnknownCommand(word) => {
                write!(f, "no call {word:?}; {} can be asked", words())
            }
            AdminRequestError::UnexpectedArgument(word) => write!(f, "{word} takes no further words"),
        }
    }
}

impl std::error::Error for AdminRequestError {}

/// Reads a line, with or without its end.
///
/// # Errors
///
/// It asks for nothing that there is.
pub fn parse(line: &[u8]) -> Result<AdminRequest, AdminRequestError> {
    let text = std::str::from_utf8(line).map_err(|_| AdminRequestError::NotUtf8)?;
    if text.len() > MAX_LINE_BYTES + "\r\n".len() {
        return Err(AdminRequestError::LineTooLong);
    }
    let mut words = text.split_ascii_whitespace();
    let first = words.next().ok_or(AdminRequestError::Empty)?;
    let known = AdminRequest::ALL.iter().find(|(word, _)| *word == first);
    let (word, call) =
        known.ok_or_else(|| AdminRequestError::UnknownCommand(first.chars().take(32).collect()))?;
    match words.next() {
        None => Ok(*call),
        Some(_) => Err(AdminRequestError::UnexpectedArgument(word)),
    }
}

/// An answer: a line that begins with `200` or `400`, and what follows it.
pub fn format_reply(good: bool, says: impl fmt::Display) -> String {
    format!("{} {says}\n", if good { 200 } else { 400 })
}

/// Requests of a class that are over.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClassStats {
    /// Its name.
    pub name: String,
    /// Served.
    pub passed: u64,
    /// Refused.
    pub dropped: u64,
    /// Failed.
    pub bad_gateway: u64,
}

/// What an instance shows of itself. Counts are of this process, from its start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Stats {
    /// By class.
    pub classes: Vec<ClassStats>,
    /// Attempts that were written whole to a server.
    pub upstream_tries: u64,
    /// Requests that are taken and not over.
    pub in_progress: u64,
    /// Servers in the list.
    pub known_backends: u64,
    /// Those of them that get nothing at present, or less than their share.
    pub skipped_backends: u64,
    /// Files that were taken at SIGHUP.
    pub loads: u64,
    /// Files that were turned down there.
    pub load_errors: u64,
}

impl fmt::Display for Stats {
    /// A line a figure, in the form `svc.name=value`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for class in &self.classes {
            let name = &class.name;
            for (word, value) in
                [("passed", class.passed), ("dropped", class.dropped), ("bad_gateway", class.bad_gateway)]
            {
                writeln!(f, "{PREFIX}.handled.{name}.{word}={value}")?;
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
            writeln!(f, "{PREFIX}.{word}={value}")?;
        }
        Ok(())
    }
}

impl Stats {
    /// The whole answer to `show-stat`: its line, the figures, `EOF`.
    pub fn reply(&self) -> String {
        let mut text = format_reply(true, "figures");
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{self}EOF");
        text
    }
}

/// Who is connected: callers that say nothing must not keep out those that do.
#[derive(Debug, Default)]
pub struct AdminSessions {
    /// By number, since when.
    waiting: Vec<(u64, Time)>,
    next: u64,
}

impl AdminSessions {
    /// One has connected. It gets a number; if all places are taken, the one that has waited longest is let go.
    pub fn open(&mut self, now: Time) -> (u64, Option<u64>) {
        let spared = (self.waiting.len() >= MAX_SESSIONS).then(|| self.waiting.remove(0).0);
        let number = self.next;
        self.next += 1;
        self.waiting.push((number, now));
        (number, spared)
    }

    /// One has been answered, or has left.
    pub fn close(&mut self, number: u64) {
        self.waiting.retain(|(known, _)| *known != number);
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.waiting.len()
    }

    /// Those whose time is over.
    pub fn expired(&self, now: Time) -> Vec<u64> {
        let over = |(_, since): &&(u64, Time)| now.since(*since) >= REQUEST_TIMEOUT;
        self.waiting.iter().filter(over).map(|(number, _)| *number).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_call_is_read_in_every_form_of_its_line_and_nothing_else_is() {
        for (word, call) in AdminRequest::ALL {
            for line in [word.to_owned(), format!("{word}\n"), format!("  {word} \r\n")] {
                assert_eq!(parse(line.as_bytes()), Ok(call), "{line:?}");
            }
            assert_eq!(
                parse(format!("{word} now").as_bytes()),
                Err(AdminRequestError::UnexpectedArgument(word))
            );
            assert!(parse(word.to_uppercase().as_bytes()).is_err(), "words are as the page has them");
        }
        assert_eq!(parse(b"\n"), Err(AdminRequestError::Empty));
        assert_eq!(parse(b"GET / HTTP/1.1"), Err(AdminRequestError::UnknownCommand("GET".into())));
        assert_eq!(parse(&[0xff, 0xfe, b'\n']), Err(AdminRequestError::NotUtf8));
        assert_eq!(parse(&[b'a'; MAX_LINE_BYTES + 3]), Err(AdminRequestError::LineTooLong));
        assert!(AdminRequestError::Empty.to_string().contains("ready, show-stat, drain, resume"));
    }

    #[test]
    fn figures_stand_line_by_line_and_end_with_their_word() {
        let class = ClassStats { name: "pay".into(), passed: 812, dropped: 2, bad_gateway: 1 };
        let figures = Stats { classes: vec![class], in_progress: 14, ..Stats::default() };
        let text = figures.reply();
        let lines: Vec<&str> = text.lines().collect();
        assert!(lines[0].starts_with("200"));
        assert_eq!(
            lines[1..4],
            ["svc.handled.pay.passed=812", "svc.handled.pay.dropped=2", "svc.handled.pay.bad_gateway=1"]
        );
        assert!(lines.contains(&"svc.in_progress=14"));
        assert_eq!((lines.len(), lines.last()), (1 + 3 + 6 + 1, Some(&"EOF")));
        assert!(text.ends_with("EOF\n"));
    }

    #[test]
    fn callers_that_say_nothing_keep_nobody_out() {
        let mut callers = AdminSessions::default();
        for n in 0..MAX_SESSIONS as u64 {
            assert_eq!(callers.open(Time(n)), (n, None));
        }
        callers.close(3);
        assert_eq!(callers.open(Time(100)).1, None, "one has left, there is a place");
        let (number, spared) = callers.open(Time(101));
        assert_eq!((number, spared), (MAX_SESSIONS as u64 + 1, Some(0)), "the oldest gives way");
        assert_eq!(callers.count(), MAX_SESSIONS);
        let late = Time(REQUEST_TIMEOUT.0 + 2);
        assert_eq!(callers.expired(late), [1, 2], "the others have some time left");
    }
}
