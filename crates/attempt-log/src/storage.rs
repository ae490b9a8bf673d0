//! The file layer of the log, so that a test can fail any call of it.

use std::io;

/// A folder of files. Any call may fail, and a failed append may have written a part.
pub trait Storage {
    /// The names of the files, in no order.
    ///
    /// # Errors
    ///
    /// The file system's.
    fn list(&self) -> io::Result<Vec<String>>;
    /// A file's bytes.
    ///
    /// # Errors
    ///
    /// The file system's.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Appends to a file, which is created if it is missing.
    ///
    /// # Errors
    ///
    /// The file system's; a part may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes what has been appended survive a loss of power.
    ///
    /// # Errors
    ///
    /// The file system's; what was appended may be lost then.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Cuts a file to a length.
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
