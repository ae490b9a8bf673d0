//! What can be wrong with a file.

use std::fmt;
use std::path::PathBuf;

/// One thing that is wrong with a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileError {
    /// The file.
    pub file: PathBuf,
    /// The line, counted from 1; 0 if the fault has none.
    pub line: usize,
    /// The key with its sections, such as `daemon.state`; empty if the fault has none.
    pub key: String,
    /// What is wrong, and what would be right.
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
