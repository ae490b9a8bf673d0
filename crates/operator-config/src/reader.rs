//! Reads a file and hands its top section to a schema.

use crate::errors::FileError;
use crate::section::{Section, Source};
use std::path::Path;
use toml::de::DeTable;

/// Longest file in bytes; an operator's file has a few kilobytes.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Reads the text of a file.
///
/// # Errors
///
/// It cannot be read, is too long, or is not UTF-8.
pub fn load(file: &Path) -> Result<String, Vec<FileError>> {
    let fault =
        |line, message: String| vec![FileError { file: file.to_owned(), line, key: String::new(), message }];
    let size = std::fs::metadata(file).map_err(|e| fault(0, format!("cannot be read: {e}")))?;
    if !size.is_file() {
        return Err(fault(0, "is no plain file".into()));
    }
    if size.len() > MAX_FILE_BYTES {
        return Err(fault(0, format!("is {} bytes long; at most {MAX_FILE_BYTES} are read", size.len())));
    }
    let bytes = std::fs::read(file).map_err(|e| fault(0, format!("cannot be read: {e}")))?;
    String::from_utf8(bytes).map_err(|e| {
        let line = 1 + e.as_bytes()[..e.utf8_error().valid_up_to()].iter().filter(|b| **b == b'\n').count();
        fault(line, "is not UTF-8 text".into())
    })
}

/// Hands the top section of a file's text to `schema`, and returns what it makes if nothing is wrong.
///
/// # Errors
///
/// Everything that is wrong with the text, in the order of its lines.
pub fn parse<T>(file: &Path, text: &str, schema: impl FnOnce(&Section) -> T) -> Result<T, Vec<FileError>> {
    let (table, errors) = DeTable::parse_recoverable(text);
    let source = Source::new(file, text);
    for error in errors {
        source.fault(error.span().map_or(0, |span| span.start), "", error.message().to_owned());
    }
    // In a malformed text, missing keys are no faults of their own.
    let malformed = source.has_faults();
    let value = {
        let top = Section::top(&source, table.get_ref());
        schema(&top)
    };
    let mut faults = source.into_faults();
    if malformed {
        faults.retain(|(_, fault)| fault.key.is_empty());
    }
    if faults.is_empty() {
        return Ok(value);
    }
    faults.sort_by_key(|(offset, _)| *offset);
    Err(faults.into_iter().map(|(_, fault)| fault).collect())
}

#[cfg(test)]
#[path = "../tests/unit/reader.rs"]
mod tests;
