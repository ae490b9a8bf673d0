//! Broken rules by cell, and the story of one want of a cell.

use crate::experiment::Experiment;
use crate::folder::{Folder, Stored};
use bellcroft_simulation::{trace, Breach, Step};
use std::path::Path;

/// Rules that a cell's policy broke although it claims to keep them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broken {
    /// The cell.
    pub cell: String,
    /// Its point, policy and seed, for people.
    pub of: String,
    /// How often.
    pub count: u64,
    /// The first of them.
    pub first: Vec<Breach>,
}

/// The cells whose policy claims the rules and broke one.
pub fn broken(cells: &[Stored]) -> Vec<Broken> {
    let guilty = |s: &&Stored| s.cell.policy.claims_the_rules() && s.outcome.breaches.all() > 0;
    let tell = |s: &Stored| {
        let point: String = s.cell.point.iter().map(|(key, value)| format!(", {key} = {value}")).collect();
        Broken {
            cell: s.cell.id(),
            of: format!("{}, seed {}{point}", s.cell.policy.name(), s.cell.seed),
            count: s.outcome.breaches.all(),
            first: s.outcome.broken.clone(),
        }
    };
    cells.iter().filter(guilty).map(tell).collect()
}

/// Plays a stored cell again and gives the story of what a client came for, by the number of its first request.
///
/// # Errors
///
/// The file is no whole cell, its folder's experiment does not have it, or nobody came with that request.
pub fn story(file: &Path, want: u64) -> Result<(Stored, Vec<Step>), String> {
    let wrong = |why: &str| format!("{}: {why}", file.display());
    let id = file.file_stem().and_then(|stem| stem.to_str()).unwrap_or_default();
    let dir = file.parent().and_then(Path::parent).ok_or_else(|| wrong("lies in no folder of results"))?;
    let folder = Folder::open(dir)?;
    let stored = folder.load(id).ok_or_else(|| wrong("is not there, or no whole cell"))?;
    let experiment = Experiment::parse(folder.experiment()).map_err(|why| wrong(&why))?;
    let cells = experiment.cells();
    let (cell, scenario) = cells
        .iter()
        .find(|(cell, _)| cell.id() == id)
        .ok_or_else(|| wrong("is no cell of its folder's experiment"))?;
    let (outcome, steps) =
        trace(scenario, cell.policy, cell.seed, want).map_err(|e| wrong(&e.to_string()))?;
    if outcome != stored.outcome {
        return Err(wrong("was played by another build; it does not come out the same any more"));
    }
    if steps.is_empty() {
        return Err(wrong(&format!("no client came first with request {want}")));
    }
    Ok((stored, steps))
}
