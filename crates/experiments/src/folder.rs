//! Results on disk: each cell in a file of its own that is there whole or not at all.

use crate::experiment::{Cell, Experiment};
use bellcroft_simulation::Outcome;
use serde::{Deserialize, Serialize};
use std::fs::{self, File, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The form of what is stored. Cells of other forms are not mixed.
const VERSION: u32 = 3;

/// What all cells of a folder share.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Manifest {
    version: u32,
    program: String,
    name: String,
    /// The experiment's file, whole.
    experiment: String,
}

/// A cell that was played.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Stored {
    /// What was played.
    pub cell: Cell,
    /// What came of it.
    pub outcome: Outcome,
}

/// A folder of results. The one that opened it for writing holds its lock for as long as this lives.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    manifest: Manifest,
    _lock: Option<File>,
}

/// Writes a file so that after any crash it is there whole or not at all: beside its place, to the disk, then in one
/// step to its place, then the folder to the disk.
fn write_whole(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let beside = path.with_extension("part");
    let mut file = File::create(&beside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&beside, path)?;
    File::open(path.parent().unwrap_or(Path::new(".")))?.sync_all()
}

impl Folder {
    /// Opens a folder to store an experiment's cells; makes it if it is not there.
    ///
    /// # Errors
    ///
    /// It cannot be made, another process works in it, or it holds cells of another file or version.
    pub fn create(path: &Path, experiment: &Experiment) -> Result<Self, String> {
        let at = |e: io::Error| format!("{}: {e}", path.display());
        fs::create_dir_all(path.join("cells")).map_err(at)?;
        let lock = File::create(path.join("lock")).map_err(at)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(format!("{}: another process is at work here", path.display()))
            }
            Err(TryLockError::Error(e)) => return Err(at(e)),
        }
        let manifest = Manifest {
            version: VERSION,
            program: env!("CARGO_PKG_VERSION").to_owned(),
            name: experiment.name.clone(),
            experiment: experiment.text.clone(),
        };
        let file = path.join("experiment.json");
        if file.exists() {
            let known = read_manifest(path)?;
            if known != manifest {
                let what = if known.experiment == manifest.experiment { "version" } else { "file" };
                return Err(format!("{}: holds cells of another {what}; use another folder", path.display()));
            }
        } else {
            let text = serde_json::to_vec_pretty(&manifest).map_err(|e| e.to_string())?;
            write_whole(&file, &text).map_err(at)?;
        }
        Ok(Folder { path: path.to_owned(), manifest, _lock: Some(lock) })
    }

    /// Opens a folder to read.
    ///
    /// # Errors
    ///
    /// It holds no results, or those of a newer form.
    pub fn open(path: &Path) -> Result<Self, String> {
        Ok(Folder { path: path.to_owned(), manifest: read_manifest(path)?, _lock: None })
    }

    /// The experiment's name.
    pub fn name(&self) -> &str {
        &self.manifest.name
    }

    /// The experiment's file.
    pub fn experiment(&self) -> &str {
        &self.manifest.experiment
    }

    /// Where a cell's result is stored.
    pub fn file(&self, id: &str) -> PathBuf {
        self.path.join("cells").join(format!("{id}.json"))
    }

    /// A cell's result, if it is there and whole: its first line is a hash of the rest.
    pub fn load(&self, id: &str) -> Option<Stored> {
        let text = fs::read_to_string(self.file(id)).ok()?;
        let (hash, body) = text.split_once('\n')?;
        if blake3::hash(body.as_bytes()).to_hex().as_str() != hash {
            return None;
        }
        serde_json::from_str(body).ok().filter(|stored: &Stored| stored.cell.id() == id)
    }

    /// Stores a cell's result; when this returns it outlives a crash of the machine.
    ///
    /// # Errors
    ///
    /// The disk's, with the file. Cells that were stored before stand.
    pub fn store(&self, stored: &Stored) -> Result<(), String> {
        let body = serde_json::to_string(stored).map_err(|e| e.to_string())?;
        let text = format!("{}\n{body}", blake3::hash(body.as_bytes()).to_hex());
        let file = self.file(&stored.cell.id());
        write_whole(&file, text.as_bytes()).map_err(|e| format!("{}: {e}", file.display()))
    }

    /// All whole results, and how many files are none.
    ///
    /// # Errors
    ///
    /// The folder cannot be read.
    pub fn all(&self) -> Result<(Vec<Stored>, usize), String> {
        let cells = self.path.join("cells");
        let entries = fs::read_dir(&cells).map_err(|e| format!("{}: {e}", cells.display()))?;
        let (mut all, mut broken) = (Vec::new(), 0);
        for entry in entries.flatten() {
            let path = entry.path();
            let id = path.file_stem().and_then(|stem| stem.to_str()).unwrap_or_default();
            if path.extension().is_none_or(|end| end != "json") {
                continue;
            }
            match self.load(id) {
                Some(stored) => all.push(stored),
                None => broken += 1,
            }
        }
        all.sort_by_key(|stored| (stored.cell.point.clone(), stored.cell.policy, stored.cell.seed));
        Ok((all, broken))
    }
}

fn read_manifest(path: &Path) -> Result<Manifest, String> {
    let file = path.join("experiment.json");
    let text = fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
    let manifest: Manifest = serde_json::from_str(&text).map_err(|e| format!("{}: {e}", file.display()))?;
    if manifest.version > VERSION {
        let (found, known) = (manifest.version, VERSION);
        return Err(format!("{}: has the form {found}; this program knows up to {known}", file.display()));
    }
    Ok(manifest)
}
