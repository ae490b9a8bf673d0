//! The log, on standard error.

use std::fmt::Display;
use std::io::Write;

/// Writes a line. A log that cannot be written, on a full disk or to a reader that has gone, is no reason to end:
/// `eprintln!` would panic.
pub(crate) fn say(line: impl Display) {
    let _ = writeln!(std::io::stderr(), "{line}");
}
