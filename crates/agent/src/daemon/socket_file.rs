//! Unix sockets with a file: made under a temporary name, and removed unless another process has replaced them.
//!
//! Making and removing a file waits for the disk. A process that serves clients does both on another thread
//! ([`super::disk`]).

use super::disk;
use std::fs::Permissions;
use std::io;
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::os::unix::net::UnixListener;
use std::path::{Path, PathBuf};
use tokio::task::JoinHandle;

/// The file of a Unix socket that this process has made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SocketFile {
    path: PathBuf,
    device: u64,
    inode: u64,
}

impl SocketFile {
    fn at(path: PathBuf) -> io::Result<Self> {
        let metadata = std::fs::symlink_metadata(&path)?;
        Ok(SocketFile { path, device: metadata.dev(), inode: metadata.ino() })
    }

    /// Whether the file is still there and no other process has replaced it.
    pub fn is_current(&self) -> bool {
        SocketFile::at(self.path.clone()).is_ok_and(|present| present == *self)
    }
}

/// Removes the file when it is dropped, unless another process has replaced it.
#[derive(Debug)]
struct RemoveOnDrop(SocketFile);

impl Drop for RemoveOnDrop {
    fn drop(&mut self) {
        if self.0.is_current() {
            let _ = std::fs::remove_file(&self.0.path);
        }
    }
}

/// A listening Unix socket that is not served yet; dropping it removes its file.
#[derive(Debug)]
pub struct BoundSocket {
    listener: UnixListener,
    file: RemoveOnDrop,
}

impl BoundSocket {
    /// Makes a socket at `path` with mode 0600, atomically in place of another process's: each client reaches exactly one of the two.
    ///
    /// # Errors
    ///
    /// The file cannot be made.
    pub fn bind(path: &Path) -> io::Result<Self> {
        let temporary = path.with_extension("new");
        let _ = std::fs::remove_file(&temporary);
        let listener = bellcroft_net::listen_unix(&temporary)?;
        std::fs::set_permissions(&temporary, Permissions::from_mode(0o600))?;
        // The socket gets its final name only with its final mode.
        let file = SocketFile { path: path.to_owned(), ..SocketFile::at(temporary.clone())? };
        std::fs::rename(&temporary, path)?;
        Ok(BoundSocket { listener, file: RemoveOnDrop(file) })
    }

    /// Serves the socket by the task that `accept` starts.
    ///
    /// # Errors
    ///
    /// No descriptor is left, or the runtime cannot watch the socket.
    pub fn serve(
        self,
        accept: impl FnOnce(tokio::net::UnixListener) -> JoinHandle<()>,
    ) -> io::Result<ServedSocket> {
        let last_copy = self.listener.try_clone()?;
        let task = accept(tokio::net::UnixListener::from_std(self.listener)?);
        Ok(ServedSocket { task, _last_copy: last_copy, file: self.file })
    }
}

/// A Unix socket that is served. Dropping it ends the service and removes its file, which waits for the disk.
#[derive(Debug)]
pub struct ServedSocket {
    task: JoinHandle<()>,
    /// Open for as long as the task's own descriptor: closing a socket whose file has been removed waits for the disk.
    _last_copy: UnixListener,
    file: RemoveOnDrop,
}

impl Drop for ServedSocket {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ServedSocket {
    /// The socket's file.
    pub fn file(&self) -> SocketFile {
        self.file.0.clone()
    }

    /// Ends the service; what waits for the disk is left to another thread.
    pub fn close(mut self) {
        self.task.abort();
        tokio::task::spawn_local(async move {
            // Its descriptor is closed then.
            let _ = (&mut self.task).await;
            disk::spawn(move || drop(self));
        });
    }
}
