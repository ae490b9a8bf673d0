//! Results on disk. Each cell has its own file, which is replaced atomically.

use crate::experiment::{Cell, Experiment};
use bellcroft_simulation::Outcome;
use serde::{Deserialize, Serialize};
use std::fs::{self, File, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Version of the storage format. A directory never mixes versions.
const VERSION: u32 = 3;

/// Properties that all cells of a directory share.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Manifest {
    version: u32,
    program: String,
    name: String,
    /// Text of the experiment file.
    experiment: String,
}

/// A cell that has been run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredCell {
    /// The cell.
    pub cell: Cell,
    /// Result of the run.
    pub outcome: Outcome,
}

/// A directory of results. If opened for writing, it is locked against other processes until this is dropped.
#[derive(Debug)]
pub struct ResultsDir {
    path: PathBuf,
    manifest: Manifest,
    _lock: Option<File>,
}

/// Writes a file atomically and durably: a crash leaves either the old file or the complete new one. Writes and syncs a
/// temporary file, renames it, and syncs the directory.
fn write_atomically(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let temporary = path.with_extension("part");
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&temporary, path)?;
    File::open(path.parent().unwrap_or(Path::new(".")))?.sync_all()
}

impl ResultsDir {
    /// Opens a directory to store an experiment's cells, and creates it if necessary.
    ///
    /// # Errors
    ///
    /// Returns an error if the directory cannot be created, is locked by another process, or holds cells of another
    /// experiment file or version.
    pub fn create(path: &Path, experiment: &Experiment) -> Result<Self, String> {
        let error = |e: io::Error| format!("{}: {e}", path.display());
        fs::create_dir_all(path.join("cells")).map_err(error)?;
        let lock = File::create(path.join("lock")).map_err(error)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(format!("{}: another process uses this directory", path.display()))
            }
            Err(TryLockError::Error(e)) => return Err(error(e)),
        }
        let manifest = Manifest {
            version: VERSION,
            program: env!("CARGO_PKG_VERSION").to_owned(),
            name: experiment.name.clone(),
            experiment: experiment.text.clone(),
        };
        let file = path.join("experiment.json");
        if file.exists() {
            let existing = read_manifest(path)?;
            if existing != manifest {
                let what = if existing.experiment == manifest.experiment { "version" } else { "file" };
                return Err(format!(
                    "{}: holds cells of another {what}; use another directory",
                    path.display()
                ));
            }
        } else {
            let text = serde_json::to_vec_pretty(&manifest).map_err(|e| e.to_string())?;
            write_atomically(&file, &text).map_err(error)?;
        }
        Ok(ResultsDir { path: path.to_owned(), manifest, _lock: Some(lock) })
    }

    /// Opens a directory for reading.
    ///
    /// # Errors
    ///
    /// Returns an error if the directory holds no results, or results of a newer format.
    pub fn open(path: &Path) -> Result<Self, String> {
        Ok(ResultsDir { path: path.to_owned(), manifest: read_manifest(path)?, _lock: None })
    }

    /// Returns the experiment's name.
    pub fn name(&self) -> &str {
        &self.manifest.name
    }

    /// Returns the text of the experiment file.
    pub fn experiment(&self) -> &str {
        &self.manifest.experiment
    }

    /// Returns the path of a cell's result.
    pub fn cell_path(&self, id: &str) -> PathBuf {
        self.path.join("cells").join(format!("{id}.json"))
    }

    /// Returns a cell's result if it is present and intact. The file's first line is a hash of the rest.
    pub fn load(&self, id: &str) -> Option<StoredCell> {
        let text = fs::read_to_string(self.cell_path(id)).ok()?;
        let (hash, body) = text.split_once('\n')?;
        if blake3::hash(body.as_bytes()).to_hex().as_str() != hash {
            return None;
        }
        serde_json::from_str(body).ok().filter(|stored: &StoredCell| stored.cell.id() == id)
    }

    /// Stores a cell's result. Once this returns, the result survives a crash of the machine.
    ///
    /// # Errors
    ///
    /// Returns the I/O error with the file's path. Cells stored earlier are unaffected.
    pub fn store(&self, stored: &StoredCell) -> Result<(), String> {
        let body = serde_json::to_string(stored).map_err(|e| e.to_string())?;
        let text = format!("{}\n{body}", blake3::hash(body.as_bytes()).to_hex());
        let file = self.cell_path(&stored.cell.id());
        write_atomically(&file, text.as_bytes()).map_err(|e| format!("{}: {e}", file.display()))
    }

    /// Returns all intact results and the number of damaged files.
    ///
    /// # Errors
    ///
    /// Returns an error if the directory cannot be read.
    pub fn load_all(&self) -> Result<(Vec<StoredCell>, usize), String> {
        let cells = self.path.join("cells");
        let entries = fs::read_dir(&cells).map_err(|e| format!("{}: {e}", cells.display()))?;
        let (mut all, mut damaged) = (Vec::new(), 0);
        for entry in entries.flatten() {
            let path = entry.path();
            let id = path.file_stem().and_then(|stem| stem.to_str()).unwrap_or_default();
            if path.extension().is_none_or(|end| end != "json") {
                continue;
            }
            match self.load(id) {
                Some(stored) => all.push(stored),
                None => damaged += 1,
            }
        }
        all.sort_by_key(|stored| (stored.cell.point.clone(), stored.cell.policy, stored.cell.seed));
        Ok((all, damaged))
    }
}

fn read_manifest(path: &Path) -> Result<Manifest, String> {
    let file = path.join("experiment.json");
    let text = fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
    let manifest: Manifest = serde_json::from_str(&text).map_err(|e| format!("{}: {e}", file.display()))?;
    if manifest.version > VERSION {
        let (found, supported) = (manifest.version, VERSION);
        return Err(format!(
            "{}: has format version {found}; this program supports up to {supported}",
            file.display()
        ));
    }
    Ok(manifest)
}
