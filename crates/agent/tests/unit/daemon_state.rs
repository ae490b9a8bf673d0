//! The state directory: its lock, and files that are replaced atomically.

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
fn state_directory_is_private_and_locked_once() {
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
fn lock_checks_do_not_prevent_acquisition() {
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
fn unusable_directory_reports_reason() {
    let folder = Folder::new("unusable");
    let file = folder.0.join("file");
    std::fs::write(&file, "x").expect("a file");
    for path in [file.clone(), file.join("below")] {
        let why = StateDir::acquire(&path).expect_err("no directory").to_string();
        assert!(why.contains("file"), "{why}");
    }
}

#[test]
fn file_is_replaced_atomically() {
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
async fn write_problem_is_reported_until_resolved() {
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
