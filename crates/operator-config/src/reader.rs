//! Reads a file and passes its top-level section to a function that reads the values.

use crate::errors::FileError;
use crate::section::{Section, Source};
use std::path::Path;
use toml::de::DeTable;

/// Maximum size of a file in bytes; operators' files have a few kilobytes.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Reads the text of a file.
///
/// # Errors
///
/// Returns an error if the file cannot be read, is too long, or is not UTF-8.
pub fn load(file: &Path) -> Result<String, Vec<FileError>> {
    let error =
        |line, message: String| vec![FileError { file: file.to_owned(), line, key: String::new(), message }];
    let size = std::fs::metadata(file).map_err(|e| error(0, format!("cannot be read: {e}")))?;
    if !size.is_file() {
        return Err(error(0, "is not a regular file".into()));
    }
    if size.len() > MAX_FILE_BYTES {
        return Err(error(0, format!("is {} bytes long; at most {MAX_FILE_BYTES} are read", size.len())));
    }
    let bytes = std::fs::read(file).map_err(|e| error(0, format!("cannot be read: {e}")))?;
    String::from_utf8(bytes).map_err(|e| {
        let line = 1 + e.as_bytes()[..e.utf8_error().valid_up_to()].iter().filter(|b| **b == b'\n').count();
        error(line, "is not UTF-8 text".into())
    })
}

/// Parses a file's text, passes its top-level section to `read`, and returns the value of `read` if there is no error.
///
/// # Errors
///
/// Returns every error in the text, in the order of lines.
pub fn parse<T>(file: &Path, text: &str, read: impl FnOnce(&Section) -> T) -> Result<T, Vec<FileError>> {
    let (table, errors) = DeTable::parse_recoverable(text);
    let source = Source::new(file, text);
    for error in errors {
        source.report(error.span().map_or(0, |span| span.start), "", error.message().to_owned());
    }
    // Syntax errors can hide keys, so errors that belong to a key are not reported for malformed text.
    let malformed = source.has_errors();
    let value = {
        let top = Section::top(&source, table.get_ref());
        read(&top)
    };
    let mut errors = source.into_errors();
    if malformed {
        errors.retain(|(_, error)| error.key.is_empty());
    }
    if errors.is_empty() {
        return Ok(value);
    }
    errors.sort_by_key(|(offset, _)| *offset);
    Err(errors.into_iter().map(|(_, error)| error).collect())
}

#[cfg(test)]
#[path = "../tests/unit/reader.rs"]
mod tests;
