//! The log, on standard error: lines for people, or JSON.
//!
//! Events carry their level, their target (the part of the program) and fields such as `instance` and `server`. None is on
//! the ordinary path of a request.

use std::fmt::Display;
use std::io::{self, Write};
use std::sync::OnceLock;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::Layer;

/// Names the format for the instances of a fleet.
pub(crate) const FORMAT_VARIABLE: &str = "BELLCROFT_LOG_FORMAT";
/// Names the levels for the instances of a fleet.
pub(crate) const LEVELS_VARIABLE: &str = "BELLCROFT_LOG";

/// What a line looks like.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, clap::ValueEnum)]
pub(crate) enum Format {
    /// For people: time, level, part, message, fields.
    #[default]
    Text,
    /// A JSON object a line, for programs.
    Json,
}

impl Format {
    fn word(self) -> &'static str {
        match self {
            Format::Text => "text",
            Format::Json => "json",
        }
    }
}

/// How this process logs; its instances do as it does.
static CHOSEN: OnceLock<(Format, String)> = OnceLock::new();

/// The variables that have an instance log as this process does.
pub(crate) fn variables() -> Vec<(&'static str, String)> {
    let of = |(format, levels): &(Format, String)| {
        vec![(FORMAT_VARIABLE, format.word().to_owned()), (LEVELS_VARIABLE, levels.clone())]
    };
    CHOSEN.get().map(of).unwrap_or_default()
}

/// Standard error whose failures are nobody's: a log that cannot be written, on a full disk or to a reader that has gone,
/// is no reason to end.
struct Unfailing;

impl Write for Unfailing {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = io::stderr().write_all(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Unfailing {
    type Writer = Unfailing;

    fn make_writer(&'a self) -> Unfailing {
        Unfailing
    }
}

/// Begins to log. Levels are such as `info` or `info,bellcroft::discovery=debug`.
///
/// # Errors
///
/// Levels that make no sense.
pub(crate) fn start(format: Option<Format>, levels: Option<String>) -> Result<(), String> {
    let from = |name: &str| std::env::var(name).ok().filter(|value| !value.is_empty());
    let format = match (format, from(FORMAT_VARIABLE).as_deref()) {
        (Some(format), _) => format,
        (None, None | Some("text")) => Format::Text,
        (None, Some("json")) => Format::Json,
        (None, Some(other)) => {
            return Err(format!("{FORMAT_VARIABLE} is {other:?}; text or json was expected"))
        }
    };
    let levels = levels.or_else(|| from(LEVELS_VARIABLE)).unwrap_or_else(|| "info".to_owned());
    let filter: Targets = levels.parse().map_err(|e| {
        format!(
            "log levels are {levels:?}: {e}; such as info, or info,bellcroft::discovery=debug, was expected"
        )
    })?;
    let layer = tracing_subscriber::fmt::layer().with_writer(Unfailing).with_ansi(false);
    let layer = match format {
        Format::Text => layer.boxed(),
        Format::Json => layer.json().flatten_event(true).boxed(),
    };
    // A second start in one process, as tests may have it, keeps the first's.
    let _ = tracing_subscriber::registry().with(layer.with_filter(filter)).try_init();
    let _ = CHOSEN.set((format, levels));
    Ok(())
}

/// A last word before there is a log, or of a command: plain, on standard error.
pub(crate) fn say(line: impl Display) {
    let _ = writeln!(Unfailing, "{line}");
}
