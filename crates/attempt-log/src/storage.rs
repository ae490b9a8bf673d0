//! The file system of the log, as a trait, so that tests can make any call fail.

use std::io;

/// A folder of files. Any call may fail, and a failed append may have written a part of its bytes.
pub trait Storage {
    /// The names of the files, in any order.
    ///
    /// # Errors
    ///
    /// The file system's.
    fn list(&self) -> io::Result<Vec<String>>;
    /// The content of a file.
    ///
    /// # Errors
    ///
    /// The file system's.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Appends to a file, which is created if it is missing.
    ///
    /// # Errors
    ///
    /// The file system's; a part of the bytes may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Flushes a file, so that the appended bytes survive a power failure.
    ///
    /// # Errors
    ///
    /// The file system's; the appended bytes may be lost then.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Truncates a file to a length.
    ///
    /// # Errors
    ///
    /// The file system's.
    fn truncate(&mut self, name: &str, length: usize) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    ///
    /// The file system's.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}
