//! The file layer, so that a test can fail any call of it.

use std::io;

/// A folder of files. Any call may fail, and an append may have written a part.
pub trait Disk {
    /// The names of its files, in no order.
    ///
    /// # Errors
    ///
    /// As the file system has it.
    fn list(&self) -> io::Result<Vec<String>>;
    /// A file's bytes.
    ///
    /// # Errors
    ///
    /// As the file system has it.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Appends to a file, which is made if it is not there.
    ///
    /// # Errors
    ///
    /// As the file system has it; a part may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// What has been appended outlives a loss of power once this returns.
    ///
    /// # Errors
    ///
    /// As the file system has it; it may have been lost then.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Cuts a file to a length.
    ///
    /// # Errors
    ///
    /// As the file system has it.
    fn truncate(&mut self, name: &str, length: usize) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    ///
    /// As the file system has it.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}
