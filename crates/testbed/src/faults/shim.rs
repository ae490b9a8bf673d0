//! Starts the real program under `bellcroft-fault-injector`: system calls that fail, stall or do less, by a specification.

use crate::{write_config, Agent};
use serde_json::Value;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A specification (`bellcroft_fault_injector::spec`) and the file that counts the faults which it brought.
#[derive(Debug)]
pub struct Shim {
    specification: String,
    counts: PathBuf,
}

impl Shim {
    /// Faults by this specification.
    pub fn new(specification: &str) -> Self {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let name = format!("bellcroft-faults-{}-{number}", std::process::id());
        Shim { specification: specification.to_owned(), counts: std::env::temp_dir().join(name) }
    }

    /// The library, which cargo builds beside the test that depends on it.
    fn library() -> PathBuf {
        const NAME: &str = "libbellcroft_fault_injector.so";
        let own = std::env::current_exe().expect("a path");
        let folder = own.parent().expect("a folder");
        let places = [folder.join(NAME), folder.join("deps").join(NAME)];
        let found = places.iter().find(|place| place.is_file());
        found.unwrap_or_else(|| panic!("{NAME} is not in {}", folder.display())).clone()
    }

    /// The variables that load it.
    pub fn variables(&self) -> [(&'static str, std::ffi::OsString); 3] {
        [
            ("LD_PRELOAD", Self::library().into()),
            ("FAULTSHIM", self.specification.clone().into()),
            ("FAULTSHIM_COUNTS", self.counts.clone().into()),
        ]
    }

    /// Starts the program under it.
    pub async fn start(&self, config: Value) -> Agent {
        Agent::with(config, |command| {
            command.envs(self.variables());
        })
        .await
    }

    /// Runs the program to its end, with a configuration that is not looked at before the specification is.
    pub async fn output(&self) -> std::process::Output {
        let file = write_config("{}");
        let mut command = crate::command(&file);
        let output = command.envs(self.variables()).output().await.expect("it runs");
        let _ = std::fs::remove_file(&file);
        output
    }

    /// Faults so far.
    pub fn faults(&self) -> usize {
        std::fs::read_to_string(&self.counts).map_or(0, |text| text.lines().count())
    }
}

impl Drop for Shim {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.counts);
    }
}
