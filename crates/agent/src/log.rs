//! The log, on standard error: lines for people, or JSON.
//!
//! Events carry their level, their target (the part of the program) and fields such as `instance` and `server`. A request
//! that succeeds logs nothing.

use std::fmt::Display;
use std::io::{self, Write};
use std::sync::OnceLock;
use tracing_subscriber::filter::{ParseError, Targets};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::Layer;

/// The variable of the format, which a fleet sets for its instances.
pub(crate) const FORMAT_VARIABLE: &str = "BELLCROFT_LOG_FORMAT";
/// The variable of the levels, which a fleet sets for its instances.
pub(crate) const LEVELS_VARIABLE: &str = "BELLCROFT_LOG";

/// Why the logger cannot be installed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LogSettingsError {
    /// The variable of the format has an unknown value.
    #[error("{variable} is {0:?}; text or json was expected", variable = FORMAT_VARIABLE)]
    Format(String),
    /// The levels cannot be parsed.
    #[error(
        "log levels are {levels:?}: {source}; such as info, or info,bellcroft::discovery=debug, was expected"
    )]
    Levels {
        /// The levels as they were given.
        levels: String,
        /// The parser's error.
        source: ParseError,
    },
}

/// The format of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, clap::ValueEnum)]
pub(crate) enum Format {
    /// For people: time, level, part, message, fields.
    #[default]
    Text,
    /// A JSON object a line, for programs.
    Json,
}

impl Format {
    fn as_str(self) -> &'static str {
        match self {
            Format::Text => "text",
            Format::Json => "json",
        }
    }
}

/// Format and levels of this process, which its instances inherit.
static SETTINGS: OnceLock<(Format, String)> = OnceLock::new();

/// The variables that make an instance log as this process does.
pub(crate) fn variables() -> Vec<(&'static str, String)> {
    let variables = |(format, levels): &(Format, String)| {
        vec![(FORMAT_VARIABLE, format.as_str().to_owned()), (LEVELS_VARIABLE, levels.clone())]
    };
    SETTINGS.get().map(variables).unwrap_or_default()
}

/// Standard error, ignoring write errors: a full disk or a closed pipe must not end the process.
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

/// Installs the logger. Levels are such as `info` or `info,bellcroft::discovery=debug`.
///
/// # Errors
///
/// The format or the levels are invalid.
pub(crate) fn start(format: Option<Format>, levels: Option<String>) -> Result<(), LogSettingsError> {
    let from = |name: &str| std::env::var(name).ok().filter(|value| !value.is_empty());
    let format = match (format, from(FORMAT_VARIABLE).as_deref()) {
        (Some(format), _) => format,
        (None, None | Some("text")) => Format::Text,
        (None, Some("json")) => Format::Json,
        (None, Some(other)) => return Err(LogSettingsError::Format(other.to_owned())),
    };
    let levels = levels.or_else(|| from(LEVELS_VARIABLE)).unwrap_or_else(|| "info".to_owned());
    let filter: Targets =
        levels.parse().map_err(|source| LogSettingsError::Levels { levels: levels.clone(), source })?;
    let layer = tracing_subscriber::fmt::layer().with_writer(Unfailing).with_ansi(false);
    let layer = match format {
        Format::Text => layer.boxed(),
        Format::Json => layer.json().flatten_event(true).boxed(),
    };
    // A second call in one process, as in tests, keeps the first logger.
    let _ = tracing_subscriber::registry().with(layer.with_filter(filter)).try_init();
    let _ = SETTINGS.set((format, levels));
    Ok(())
}

/// Prints a line without level or time on standard error: errors of commands, and of a start before the logger.
pub(crate) fn print_error(line: impl Display) {
    let _ = writeln!(Unfailing, "{line}");
}
