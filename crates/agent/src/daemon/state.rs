//! A state directory: the lock, the status file, the path of the control socket.
//!
//! The directory belongs to the process's user alone (mode 0700). The lock is the kernel's (`flock`), so it is released
//! when the process exits for whatever reason. Nothing on the request path touches the directory: the status file is
//! written by a thread of its own, and a failed write is a problem in the status, not a reason to stop serving.

use super::handover;
use super::socket_file::SocketFile;
use std::fs::{DirBuilder, File, OpenOptions, Permissions, TryLockError};
use std::io::{self, Read, Seek, Write};
use std::os::fd::OwnedFd;
use std::os::unix::fs::{DirBuilderExt, MetadataExt, OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The name of the status file in a state directory.
pub const STATUS_FILE: &str = "status.json";
/// The name of the socket over which a successor takes over.
pub const HANDOVER_SOCKET: &str = "handover.sock";
/// The name of the control socket.
pub const CONTROL_SOCKET: &str = "control.sock";
/// The name of the lock file.
const LOCK_FILE: &str = "lock";
/// A Unix socket's path has 107 bytes at most (`sun_path`, unix(7)), and earlier versions make the socket under this name.
pub const MAX_PATH_BYTES: usize = 107 - "/control.sock.new".len();

/// Attempts to take a lock that is held: [`is_locked`] of another process holds it for microseconds.
const LOCK_RETRIES: u32 = 10;
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Why a state directory could not be acquired.
#[derive(Debug, thiserror::Error)]
pub enum StateDirError {
    /// Another process holds the lock; its id, if the lock file has one.
    #[error("already running{}", .0.map(|pid| format!(" as process {pid}")).unwrap_or_default())]
    Held(Option<u32>),
    /// The system does not let this process use it.
    #[error("{}: {operation}: {source}", path.display())]
    Unusable {
        /// The directory.
        path: PathBuf,
        /// What failed.
        operation: &'static str,
        /// The system's error.
        source: io::Error,
    },
    /// It belongs to another user.
    #[error("{}: belongs to user {owner}, not to user {own}", path.display())]
    NotOwned {
        /// The directory.
        path: PathBuf,
        /// The user who owns it.
        owner: u32,
        /// The user of this process.
        own: u32,
    },
}

/// A state directory that this process holds until it exits, or will hold once it has its predecessor's lock.
#[derive(Debug)]
pub struct StateDir {
    path: PathBuf,
    /// The lock, which a predecessor and its successor share: it is held until both have exited. None before the successor has it.
    lock: Option<File>,
}

impl StateDir {
    /// Locks the directory, and creates it if it is missing.
    ///
    /// # Errors
    ///
    /// [`StateDirError::Held`] if another process holds it, in which case nothing has been changed.
    pub fn acquire(path: &Path) -> Result<Self, StateDirError> {
        let unusable =
            |operation, source| StateDirError::Unusable { path: path.to_owned(), operation, source };
        DirBuilder::new()
            .recursive(true)
            .mode(0o700)
            .create(path)
            .map_err(|e| unusable("cannot be made", e))?;
        let metadata = std::fs::metadata(path).map_err(|e| unusable("cannot be looked at", e))?;
        let own = rustix::process::geteuid().as_raw();
        if metadata.uid() != own {
            return Err(StateDirError::NotOwned { path: path.to_owned(), owner: metadata.uid(), own });
        }
        let lock = open_lock_file(path).map_err(|e| unusable("lock", e))?;
        match lock_with_retries(&lock) {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(StateDirError::Held(lock_holder(path))),
            Err(TryLockError::Error(e)) => return Err(unusable("lock", e)),
        }
        if metadata.mode() & 0o077 != 0 {
            std::fs::set_permissions(path, Permissions::from_mode(0o700))
                .map_err(|e| unusable("others may enter it, and that cannot be changed", e))?;
        }
        write_process_id(&lock);
        Ok(StateDir { path: path.to_owned(), lock: Some(lock) })
    }

    /// The directory of a running process, which will pass its lock on to this one.
    ///
    /// # Errors
    ///
    /// [`StateDirError::Held`] if that process serves no handover socket: it is of an earlier version, or shutting down.
    pub fn of_predecessor(path: &Path) -> Result<Self, StateDirError> {
        if !handover::is_served(&path.join(HANDOVER_SOCKET)) {
            return Err(StateDirError::Held(lock_holder(path)));
        }
        Ok(StateDir { path: path.to_owned(), lock: None })
    }

    /// Whether this process has the lock.
    pub fn is_locked(&self) -> bool {
        self.lock.is_some()
    }

    /// Takes the lock that the predecessor has passed on.
    pub fn set_lock(&mut self, lock: OwnedFd) {
        self.lock = Some(File::from(lock));
    }

    /// A descriptor of the lock for a successor.
    ///
    /// # Errors
    ///
    /// This process does not have it, or no descriptor is left.
    pub fn share_lock(&self) -> io::Result<OwnedFd> {
        let lock = self.lock.as_ref().ok_or(io::ErrorKind::NotFound)?;
        Ok(lock.try_clone()?.into())
    }

    /// Its path.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

/// Writes the id of this process into the lock file, for people only: an id can be reused, so nothing is decided by it.
pub fn write_process_id(mut lock: &File) {
    let _ = lock.set_len(0).and_then(|()| lock.rewind());
    let _ = writeln!(lock, "{}", std::process::id());
}

/// Opens the lock file; an existing one is enough where nothing can be written.
fn open_lock_file(dir: &Path) -> io::Result<File> {
    let file = dir.join(LOCK_FILE);
    let open = OpenOptions::new().read(true).write(true).create(true).truncate(false).mode(0o600).open(&file);
    open.or_else(|e| File::open(&file).map_err(|_| e))
}

fn lock_with_retries(lock: &File) -> Result<(), TryLockError> {
    let mut retries = LOCK_RETRIES;
    loop {
        match lock.try_lock() {
            Err(TryLockError::WouldBlock) if retries > 0 => {
                retries -= 1;
                std::thread::sleep(LOCK_RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}

/// Whether some process holds this directory.
pub fn is_locked(path: &Path) -> bool {
    let Ok(lock) = File::open(path.join(LOCK_FILE)) else { return false };
    matches!(lock.try_lock_shared(), Err(TryLockError::WouldBlock))
}

/// The process that the lock file names, which may have exited.
fn lock_holder(path: &Path) -> Option<u32> {
    let mut text = String::new();
    File::open(path.join(LOCK_FILE)).ok()?.take(32).read_to_string(&mut text).ok()?;
    text.trim().parse().ok()
}

/// Replaces a file atomically: a reader finds the old contents or the new ones, also after a crash.
pub fn write_atomically(file: &Path, text: &[u8]) -> io::Result<()> {
    let mut name = file.file_name().unwrap_or_default().to_owned();
    name.push(".new");
    let temporary = file.with_file_name(name);
    let write = || {
        let mut opened =
            OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(&temporary)?;
        opened.write_all(text)?;
        drop(opened);
        std::fs::rename(&temporary, file)
    };
    write().inspect_err(|_| {
        // An incomplete file is useless and takes space on a disk that may be full.
        let _ = std::fs::remove_file(&temporary);
    })
}

/// Writes the status file from a thread of its own, so that a slow disk delays nothing else. A status that arrives while
/// another one waits replaces it: only the latest one is written, and none once another process serves the directory's control
/// socket.
pub struct StatusWriter {
    shared: Arc<Shared>,
    thread: JoinHandle<()>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<WriterState>,
    changed: Condvar,
}

#[derive(Default)]
struct WriterState {
    /// The status to be written next.
    pending: Option<Vec<u8>>,
    closed: bool,
    /// Since when a write is in progress.
    writing_since: Option<Instant>,
    /// Why the last write failed.
    problem: Option<String>,
    /// The control socket of this process; none before it is served, and if it cannot be made.
    control_socket: Option<SocketFile>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, WriterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How long a shutdown waits for the last status to be written.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// A write that takes longer is reported as a problem.
const SLOW_WRITE_THRESHOLD: Duration = Duration::from_secs(2);

impl StatusWriter {
    /// Starts the writer of `dir`'s status file.
    ///
    /// # Errors
    ///
    /// No thread can be started.
    pub fn start(dir: &Path) -> io::Result<Self> {
        let shared = Arc::<Shared>::default();
        let (file, own) = (dir.join(STATUS_FILE), shared.clone());
        let thread = std::thread::Builder::new()
            .name("status".into())
            .stack_size(128 << 10)
            .spawn(move || write_all(&file, &own))?;
        Ok(StatusWriter { shared, thread })
    }

    /// Sets the control socket of this process.
    pub fn set_control_socket(&self, file: SocketFile) {
        self.shared.lock().control_socket = Some(file);
    }

    /// Queues a status, in place of one that still waits.
    pub fn write(&self, text: Vec<u8>) {
        self.shared.lock().pending = Some(text);
        self.shared.changed.notify_one();
    }

    /// Why the last write failed or is late.
    pub fn problem(&self) -> Option<String> {
        let state = self.shared.lock();
        let slow = state.writing_since.is_some_and(|since| since.elapsed() >= SLOW_WRITE_THRESHOLD);
        if slow {
            Some(format!("{STATUS_FILE}: the disk does not answer"))
        } else {
            state.problem.clone()
        }
    }

    /// Writes the last status; waits for it up to [`FINAL_WRITE_TIMEOUT`].
    pub async fn finish(self, text: Vec<u8>) {
        self.write(text);
        self.shared.lock().closed = true;
        self.shared.changed.notify_one();
        let deadline = Instant::now() + FINAL_WRITE_TIMEOUT;
        while !self.thread.is_finished() && Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

/// The writer thread: writes each status that is queued, until the writer is closed.
fn write_all(file: &Path, shared: &Shared) {
    let mut state = shared.lock();
    loop {
        let Some(text) = state.pending.take() else {
            if state.closed {
                return;
            }
            state = shared.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
            continue;
        };
        state.writing_since = Some(Instant::now());
        let control_socket = state.control_socket.clone();
        drop(state);
        let is_replaced = control_socket.is_some_and(|socket| !socket.is_current());
        let written = if is_replaced { Ok(()) } else { write_atomically(file, &text) };
        let problem = written.err().map(|e| format!("{}: {e}", file.display()));
        state = shared.lock();
        (state.writing_since, state.problem) = (None, problem);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/daemon_state.rs"]
mod tests;
