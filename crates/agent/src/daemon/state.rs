//! An instance's state directory: the lock, the status file, the place of the control socket.
//!
//! The directory is the process's own (mode 0700) and the lock is the kernel's (`flock`), so it ends with the process
//! however that ends. Nothing on the way of a request touches the directory: files are written by a thread of their
//! own, and what cannot be written is a problem that the status tells, not a reason to stop serving.

use std::fmt;
use std::fs::{DirBuilder, File, OpenOptions, Permissions, TryLockError};
use std::io::{self, Read, Write};
use std::os::unix::fs::{DirBuilderExt, MetadataExt, OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The status file's name in a state directory.
pub const STATUS_FILE: &str = "status.json";
/// The control socket's name.
pub const CONTROL_SOCKET: &str = "control.sock";
/// The lock's name.
const LOCK: &str = "lock";
/// A Unix socket's path has 107 bytes at most (`sun_path`, unix(7)), and the socket is made under a longer name.
pub const MAX_PATH_BYTES: usize = 107 - "/control.sock.new".len();

/// A lock that is taken is tried again so often: whoever looks whether it is free holds it for that moment.
const TRIES: u32 = 10;
const TRY_AGAIN: Duration = Duration::from_millis(10);

/// Why a state directory is not this process's.
#[derive(Debug)]
pub enum StateDirError {
    /// Another process holds it; its id, where its lock file tells.
    Held(Option<u32>),
    /// It cannot be used, for this reason.
    Unusable(String),
}

impl fmt::Display for StateDirError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StateDirError::Held(Some(id)) => write!(f, "already running as process {id}"),
            StateDirError::Held(None) => write!(f, "already running"),
            StateDirError::Unusable(why) => f.write_str(why),
        }
    }
}

/// A state directory that this process holds until it ends.
#[derive(Debug)]
pub struct StateDir {
    path: PathBuf,
    _lock: File,
}

impl StateDir {
    /// Takes the directory, and makes it if it is missing.
    ///
    /// # Errors
    ///
    /// [`Refused::Held`] if another process has it, in which case nothing has been touched.
    pub fn acquire(path: &Path) -> Result<Self, StateDirError> {
        let unusable =
            |what: &str, e: io::Error| StateDirError::Unusable(format!("{}: {what}: {e}", path.display()));
        match DirBuilder::new().recursive(true).mode(0o700).create(path) {
            Ok(()) => {}
            Err(e) => return Err(unusable("cannot be made", e)),
        }
        let about = std::fs::metadata(path).map_err(|e| unusable("cannot be looked at", e))?;
        let own = rustix::process::geteuid().as_raw();
        if about.uid() != own {
            let why = format!("{}: belongs to user {}, not to user {own}", path.display(), about.uid());
            return Err(StateDirError::Unusable(why));
        }
        // A lock file that is there is enough where nothing new can be written.
        let file = path.join(LOCK);
        let open =
            OpenOptions::new().read(true).write(true).create(true).truncate(false).mode(0o600).open(&file);
        let lock = open.or_else(|e| File::open(&file).map_err(|_| e)).map_err(|e| unusable("lock", e))?;
        let mut tries = TRIES;
        loop {
            match lock.try_lock() {
                Ok(()) => break,
                // It may be no more than a look (`held`), which is over in microseconds.
                Err(TryLockError::WouldBlock) if tries > 0 => {
                    tries -= 1;
                    std::thread::sleep(TRY_AGAIN);
                }
                Err(TryLockError::WouldBlock) => return Err(StateDirError::Held(holder(path))),
                Err(TryLockError::Error(e)) => return Err(unusable("lock", e)),
            }
        }
        if about.mode() & 0o077 != 0 {
            std::fs::set_permissions(path, Permissions::from_mode(0o700))
                .map_err(|e| unusable("others may enter it, and that cannot be changed", e))?;
        }
        // For people; nothing is decided by it, for a number outlives its process.
        let mut text = &lock;
        let _ = lock.set_len(0).and_then(|()| writeln!(text, "{}", std::process::id()));
        Ok(StateDir { path: path.to_owned(), _lock: lock })
    }

    /// Its path.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

/// Whether some process holds this directory.
pub fn is_locked(path: &Path) -> bool {
    let Ok(lock) = File::open(path.join(LOCK)) else { return false };
    matches!(lock.try_lock_shared(), Err(TryLockError::WouldBlock))
}

/// The process that the lock file names, which need not live any more.
fn holder(path: &Path) -> Option<u32> {
    let mut text = String::new();
    File::open(path.join(LOCK)).ok()?.take(32).read_to_string(&mut text).ok()?;
    text.trim().parse().ok()
}

/// Replaces a file whole: a reader finds the old one or the new one, and a crash leaves one of them.
pub fn write_atomically(file: &Path, text: &[u8]) -> io::Result<()> {
    let mut name = file.file_name().unwrap_or_default().to_owned();
    name.push(".new");
    let fresh = file.with_file_name(name);
    let write = || {
        let mut opened =
            OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(&fresh)?;
        opened.write_all(text)?;
        drop(opened);
        std::fs::rename(&fresh, file)
    };
    write().inspect_err(|_| {
        // Half a file is worth nothing, and takes room on a disk that may be full.
        let _ = std::fs::remove_file(&fresh);
    })
}

/// Writes the status file from a thread of its own, so that a slow disk is waited for by nobody else. What comes while
/// it waits replaces what has come before: only the latest status is worth writing.
pub struct StatusWriter {
    shared: Arc<Shared>,
    thread: JoinHandle<()>,
}

#[derive(Default)]
struct Shared {
    slot: Mutex<Slot>,
    filled: Condvar,
}

#[derive(Default)]
struct Slot {
    text: Option<Vec<u8>>,
    closed: bool,
    /// Since when the disk is being waited for.
    busy: Option<Instant>,
    problem: Option<String>,
}

impl Shared {
    fn slot(&self) -> MutexGuard<'_, Slot> {
        self.slot.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How long the end waits for the last status to be written.
const LAST_WRITE: Duration = Duration::from_millis(500);
/// A disk that takes longer for one small file is worth telling.
const SLOW_DISK: Duration = Duration::from_secs(2);

impl StatusWriter {
    /// A writer of `dir`'s status file.
    ///
    /// # Errors
    ///
    /// The system has no thread for it.
    pub fn start(dir: &Path) -> io::Result<Self> {
        let shared = Arc::<Shared>::default();
        let (file, own) = (dir.join(STATUS_FILE), shared.clone());
        let thread = std::thread::Builder::new()
            .name("status".into())
            .stack_size(128 << 10)
            .spawn(move || write_all(&file, &own))?;
        Ok(StatusWriter { shared, thread })
    }

    /// Has a status written, in place of one that still waits.
    pub fn write(&self, text: Vec<u8>) {
        self.shared.slot().text = Some(text);
        self.shared.filled.notify_one();
    }

    /// Why the last one could not be written, or is not yet.
    pub fn problem(&self) -> Option<String> {
        let slot = self.shared.slot();
        let slow = slot.busy.is_some_and(|since| since.elapsed() >= SLOW_DISK);
        if slow {
            Some(format!("{STATUS_FILE}: the disk does not answer"))
        } else {
            slot.problem.clone()
        }
    }

    /// Has the last status written, and waits for it for a moment.
    pub async fn finish(self, text: Vec<u8>) {
        self.write(text);
        self.shared.slot().closed = true;
        self.shared.filled.notify_one();
        let until = Instant::now() + LAST_WRITE;
        while !self.thread.is_finished() && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

fn write_all(file: &Path, shared: &Shared) {
    let mut slot = shared.slot();
    loop {
        let Some(text) = slot.text.take() else {
            if slot.closed {
                return;
            }
            slot = shared.filled.wait(slot).unwrap_or_else(PoisonError::into_inner);
            continue;
        };
        slot.busy = Some(Instant::now());
        drop(slot);
        let why = write_atomically(file, &text).err().map(|e| format!("{}: {e}", file.display()));
        slot = shared.slot();
        (slot.busy, slot.problem) = (None, why);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A folder of the test's own, which ends with it.
    struct Folder(PathBuf);

    impl Folder {
        fn new(name: &str) -> Self {
            let path = std::env::temp_dir().join(format!("bellcroft-state-{}-{name}", std::process::id()));
            std::fs::create_dir_all(&path).expect("a folder");
            Folder(path)
        }
    }

    impl Drop for Folder {
        fn drop(&mut self) {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }

    #[test]
    fn a_directory_is_made_private_and_held_once() {
        let folder = Folder::new("held");
        let path = folder.0.join("a/b");
        let state = StateDir::acquire(&path).expect("it is free");
        assert_eq!(std::fs::metadata(&path).expect("it is there").mode() & 0o777, 0o700);
        assert!(is_locked(&path));
        let own = std::process::id();
        assert!(matches!(StateDir::acquire(&path), Err(StateDirError::Held(Some(id))) if id == own));
        drop(state);
        assert!(!is_locked(&path));
        // A wider mode is narrowed.
        std::fs::set_permissions(&path, Permissions::from_mode(0o755)).expect("it is ours");
        let _state = StateDir::acquire(&path).expect("it is free again");
        assert_eq!(std::fs::metadata(&path).expect("it is there").mode() & 0o777, 0o700);
    }

    #[test]
    fn a_look_at_the_lock_does_not_keep_its_owner_out() {
        let folder = Folder::new("look");
        let path = folder.0.join("state");
        drop(StateDir::acquire(&path).expect("it is free"));
        let over = std::sync::atomic::AtomicBool::new(false);
        std::thread::scope(|scope| {
            scope.spawn(|| {
                while !over.load(std::sync::atomic::Ordering::SeqCst) {
                    is_locked(&path);
                }
            });
            let taken: Vec<bool> = (0..200).map(|_| StateDir::acquire(&path).is_ok()).collect();
            over.store(true, std::sync::atomic::Ordering::SeqCst);
            assert!(taken.iter().all(|taken| *taken));
        });
    }

    #[test]
    fn what_cannot_be_a_directory_is_unusable_and_says_why() {
        let folder = Folder::new("unusable");
        let file = folder.0.join("file");
        std::fs::write(&file, "x").expect("a file");
        for path in [file.clone(), file.join("below")] {
            let why = StateDir::acquire(&path).expect_err("no directory").to_string();
            assert!(why.contains("file"), "{why}");
        }
    }

    #[test]
    fn a_file_is_replaced_whole_or_not_at_all() {
        let folder = Folder::new("replace");
        let file = folder.0.join("status.json");
        write_atomically(&file, b"one").expect("it can be written");
        write_atomically(&file, b"two").expect("it can be replaced");
        assert_eq!(std::fs::read(&file).expect("it is there"), b"two");
        // Where the new one cannot be made, the old one stays.
        std::fs::create_dir(folder.0.join("status.json.new")).expect("a folder in its way");
        assert!(write_atomically(&file, b"three").is_err());
        assert_eq!(std::fs::read(&file).expect("it is there"), b"two");
    }

    #[tokio::test]
    async fn a_problem_is_told_and_forgotten_once_it_is_over() {
        let folder = Folder::new("problem");
        let writer = StatusWriter::start(&folder.0).expect("a thread");
        let obstacle = folder.0.join("status.json.new");
        std::fs::create_dir(&obstacle).expect("a folder in its way");
        let settled = |bad: bool| {
            let problem = writer.problem();
            problem.is_some_and(|why| why.contains("status.json")) == bad
        };
        for bad in [true, false] {
            for _ in 0..1000 {
                writer.write(b"{}".to_vec());
                tokio::time::sleep(Duration::from_millis(5)).await;
                if settled(bad) {
                    break;
                }
            }
            assert!(settled(bad), "{bad}");
            let _ = std::fs::remove_dir(&obstacle);
        }
        writer.finish(b"last".to_vec()).await;
        assert_eq!(std::fs::read(folder.0.join(STATUS_FILE)).expect("it is there"), b"last");
    }
}
