//! Logging to standard error, as text lines or JSON.
//!
//! Events carry their level, their target (part of the program) and fields such as `instance` and `server`. A request
//! that succeeds logs nothing.

use std::fmt::Display;
use std::io::{self, Write};
use std::sync::OnceLock;
use tracing_subscriber::filter::{ParseError, Targets};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::Layer;

/// Environment variable for the log format; a fleet's supervisor sets it for its instances.
pub(crate) const FORMAT_VARIABLE: &str = "BELLCROFT_LOG_FORMAT";
/// Environment variable for the log levels; a fleet's supervisor sets it for its instances.
pub(crate) const LEVELS_VARIABLE: &str = "BELLCROFT_LOG";

/// An error in the log settings.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LogSettingsError {
    /// [`FORMAT_VARIABLE`] has an unknown value.
    #[error("{variable} is {0:?}; text or json was expected", variable = FORMAT_VARIABLE)]
    Format(String),
    /// The levels cannot be parsed.
    #[error(
        "log levels are {levels:?}: {source}; such as info, or info,bellcroft::discovery=debug, was expected"
    )]
    Levels {
        /// The given levels.
        levels: String,
        /// The parser's error.
        source: ParseError,
    },
}

/// The format of log lines.
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

/// Log format and levels of this process, which the instances that it starts inherit.
static SETTINGS: OnceLock<(Format, String)> = OnceLock::new();

/// Environment variables that give a child process the log settings of this process.
pub(crate) fn variables() -> Vec<(&'static str, String)> {
    let variables = |(format, levels): &(Format, String)| {
        vec![(FORMAT_VARIABLE, format.as_str().to_owned()), (LEVELS_VARIABLE, levels.clone())]
    };
    SETTINGS.get().map(variables).unwrap_or_default()
}

/// A writer to standard error that ignores write errors: a full disk or a closed pipe must not terminate the process.
struct BestEffortStderr;

impl Write for BestEffortStderr {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = io::stderr().write_all(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for BestEffortStderr {
    type Writer = BestEffortStderr;

    fn make_writer(&'a self) -> BestEffortStderr {
        BestEffortStderr
    }
}

/// Installs the logger. Arguments take precedence over the environment variables. Examples of `levels` are `info` and
/// `info,bellcroft::discovery=debug`.
///
/// # Errors
///
/// Fails if the format or the levels are invalid.
pub(crate) fn start(format: Option<Format>, levels: Option<String>) -> Result<(), LogSettingsError> {
    let non_empty_variable = |name: &str| std::env::var(name).ok().filter(|value| !value.is_empty());
    let format = match (format, non_empty_variable(FORMAT_VARIABLE).as_deref()) {
        (Some(format), _) => format,
        (None, None | Some("text")) => Format::Text,
        (None, Some("json")) => Format::Json,
        (None, Some(other)) => return Err(LogSettingsError::Format(other.to_owned())),
    };
    let levels = levels.or_else(|| non_empty_variable(LEVELS_VARIABLE)).unwrap_or_else(|| "info".to_owned());
    let filter: Targets =
        levels.parse().map_err(|source| LogSettingsError::Levels { levels: levels.clone(), source })?;
    let layer = tracing_subscriber::fmt::layer().with_writer(BestEffortStderr).with_ansi(false);
    let layer = match format {
        Format::Text => layer.boxed(),
        Format::Json => layer.json().flatten_event(true).boxed(),
    };
    // A second call in one process, as in tests, keeps the first logger.
    let _ = tracing_subscriber::registry().with(layer.with_filter(filter)).try_init();
    let _ = SETTINGS.set((format, levels));
    Ok(())
}

/// Prints a line without level or time on standard error. Used for errors of commands and for errors at a start before the
/// logger is installed.
pub(crate) fn print_error(line: impl Display) {
    let _ = writeln!(BestEffortStderr, "{line}");
}
