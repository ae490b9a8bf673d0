//! Folders and a service manager for daemons.

use crate::http::soon;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::net::UnixDatagram;

/// A folder of its own, which ends with its owner.
pub struct Folder(PathBuf);

impl Folder {
    /// Makes one; its path is short, for sockets below it have short names.
    pub fn new() -> Self {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("bellcroft-testbed-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    /// Its path.
    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Writes a file in it and gives its path.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let file = self.0.join(name);
        std::fs::write(&file, text).expect("a file");
        file
    }
}

impl Default for Folder {
    fn default() -> Self {
        Self::new()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A service manager's end of sd_notify(3).
pub struct Manager {
    socket: UnixDatagram,
    /// What `NOTIFY_SOCKET` names.
    pub address: PathBuf,
}

impl Manager {
    /// Listens in a folder.
    pub fn listen(folder: &Folder) -> Self {
        let address = folder.path().join("notify");
        Manager { socket: UnixDatagram::bind(&address).expect("a socket"), address }
    }

    /// The next message's lines.
    pub async fn next(&self) -> Vec<String> {
        let mut bytes = [0; 4096];
        let read =
            soon("a message to the service manager", self.socket.recv(&mut bytes)).await.expect("a message");
        String::from_utf8_lossy(&bytes[..read]).lines().map(str::to_owned).collect()
    }

    /// The next message that has this line, those before it left out.
    pub async fn until(&self, line: &str) -> Vec<String> {
        loop {
            let lines = self.next().await;
            if lines.iter().any(|l| l == line) {
                return lines;
            }
        }
    }
}
