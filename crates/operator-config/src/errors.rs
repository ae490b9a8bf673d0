//! Errors found in an operator's file.

use std::fmt;
use std::path::PathBuf;

/// One error found in a file, displayed as `FILE:LINE: KEY: MESSAGE`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileError {
    /// Path of the file.
    pub file: PathBuf,
    /// Line number, counted from 1; 0 if the error belongs to no line.
    pub line: usize,
    /// Full key, such as `daemon.state`; empty if the error belongs to no key.
    pub key: String,
    /// What is wrong and what was expected.
    pub message: String,
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.file.display())?;
        if self.line > 0 {
            write!(f, "{}:", self.line)?;
        }
        if !self.key.is_empty() {
            write!(f, " {}:", self.key)?;
        }
        write!(f, " {}", self.message)
    }
}

impl std::error::Error for FileError {}
