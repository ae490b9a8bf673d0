//! One line asks, one answer follows: the calls of the second address, and the figures that it shows.

use bellcroft_balancer::{Micros, Time};
use std::fmt;
use std::fmt::Write;

/// The longest line that is read.
pub const LINE_MOST: usize = 256;
/// Callers at a time. They come every second or two; the rest is room for those that say nothing.
pub const CALLERS_MOST: usize = 12;
/// A caller that has not completed its line by then is let go.
pub const SAY_WITHIN: Micros = Micros(6_000_000);
/// Prefix of every figure.
const PREFIX: &str = "svc";

/// What a line asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Whether this process takes clients.
    Ready,
    /// The figures.
    ShowStat,
    /// Take it out of service.
    Drain,
    /// Put it back.
    Resume,
}

impl Call {
    /// Every call, with its word.
    pub const ALL: [(&'static str, Call); 4] = [
        ("ready", Call::Ready),
        ("show-stat", Call::ShowStat),
        ("drain", Call::Drain),
        ("resume", Call::Resume),
    ];
}

/// A line that asks for nothing that there is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BadCall {
    /// It says nothing.
    Empty,
    /// It is longer than [`LINE_MOST`], or ended before its line did.
    NotALine,
    /// It is no text.
    NotText,
    /// No call has this word.
    Unknown(String),
    /// The call takes no further words.
    Surplus(&'static str),
}

impl fmt::Display for BadCall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let words = || Call::ALL.map(|(word, _)| word).join(", ");
        match self {
            BadCall::Empty => write!(f, "empty; {} can be asked", words()),
            BadCall::NotALine => write!(f, "no line of at most {LINE_MOST} bytes"),
            BadCall::NotText => f.write_str("not text"),
            BadCall::Unknown(word) => write!(f, "no call {word:?}; {} can be asked", words()),
            BadCall::Surplus(word) => write!(f, "{word} takes no further words"),
        }
    }
}

impl std::error::Error for BadCall {}

/// Reads a line, with or without its end.
///
/// # Errors
///
/// It asks for nothing that there is.
pub fn read(line: &[u8]) -> Result<Call, BadCall> {
    let text = std::str::from_utf8(line).map_err(|_| BadCall::NotText)?;
    if text.len() > LINE_MOST + "\r\n".len() {
        return Err(BadCall::NotALine);
    }
    let mut words = text.split_ascii_whitespace();
    let first = words.next().ok_or(BadCall::Empty)?;
    let known = Call::ALL.iter().find(|(word, _)| *word == first);
    let (word, call) = known.ok_or_else(|| BadCall::Unknown(first.chars().take(32).collect()))?;
    match words.next() {
        None => Ok(*call),
        Some(_) => Err(BadCall::Surplus(word)),
    }
}

/// An answer: a line that begins with `200` or `400`, and what follows it.
pub fn answer(good: bool, says: impl fmt::Display) -> String {
    format!("{} {says}\n", if good { 200 } else { 400 })
}

/// Requests of a class that are over.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClassFigures {
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
pub struct Figures {
    /// By class.
    pub classes: Vec<ClassFigures>,
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

impl fmt::Display for Figures {
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

impl Figures {
    /// The whole answer to `show-stat`: its line, the figures, `EOF`.
    pub fn answer(&self) -> String {
        let mut text = answer(true, "figures");
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{self}EOF");
        text
    }
}

/// Who is connected: callers that say nothing must not keep out those that do.
#[derive(Debug, Default)]
pub struct Callers {
    /// By number, since when.
    waiting: Vec<(u64, Time)>,
    next: u64,
}

impl Callers {
    /// One has connected. It gets a number; if all places are taken, the one that has waited longest is let go.
    pub fn came(&mut self, now: Time) -> (u64, Option<u64>) {
        let spared = (self.waiting.len() >= CALLERS_MOST).then(|| self.waiting.remove(0).0);
        let number = self.next;
        self.next += 1;
        self.waiting.push((number, now));
        (number, spared)
    }

    /// One has been answered, or has left.
    pub fn left(&mut self, number: u64) {
        self.waiting.retain(|(known, _)| *known != number);
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.waiting.len()
    }

    /// Those whose time is over.
    pub fn overdue(&self, now: Time) -> Vec<u64> {
        let over = |(_, since): &&(u64, Time)| now.since(*since) >= SAY_WITHIN;
        self.waiting.iter().filter(over).map(|(number, _)| *number).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_call_is_read_in_every_form_of_its_line_and_nothing_else_is() {
        for (word, call) in Call::ALL {
            for line in [word.to_owned(), format!("{word}\n"), format!("  {word} \r\n")] {
                assert_eq!(read(line.as_bytes()), Ok(call), "{line:?}");
            }
            assert_eq!(read(format!("{word} now").as_bytes()), Err(BadCall::Surplus(word)));
            assert!(read(word.to_uppercase().as_bytes()).is_err(), "words are as the page has them");
        }
        assert_eq!(read(b"\n"), Err(BadCall::Empty));
        assert_eq!(read(b"GET / HTTP/1.1"), Err(BadCall::Unknown("GET".into())));
        assert_eq!(read(&[0xff, 0xfe, b'\n']), Err(BadCall::NotText));
        assert_eq!(read(&[b'a'; LINE_MOST + 3]), Err(BadCall::NotALine));
        assert!(BadCall::Empty.to_string().contains("ready, show-stat, drain, resume"));
    }

    #[test]
    fn figures_stand_line_by_line_and_end_with_their_word() {
        let class = ClassFigures { name: "pay".into(), passed: 812, dropped: 2, bad_gateway: 1 };
        let figures = Figures { classes: vec![class], in_progress: 14, ..Figures::default() };
        let text = figures.answer();
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
        let mut callers = Callers::default();
        for n in 0..CALLERS_MOST as u64 {
            assert_eq!(callers.came(Time(n)), (n, None));
        }
        callers.left(3);
        assert_eq!(callers.came(Time(100)).1, None, "one has left, there is a place");
        let (number, spared) = callers.came(Time(101));
        assert_eq!((number, spared), (CALLERS_MOST as u64 + 1, Some(0)), "the oldest gives way");
        assert_eq!(callers.count(), CALLERS_MOST);
        let late = Time(SAY_WITHIN.0 + 2);
        assert_eq!(callers.overdue(late), [1, 2], "the others have some time left");
    }
}
