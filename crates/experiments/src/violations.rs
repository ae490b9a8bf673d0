//! Rule violations by cell, and the trace of one client request of a cell.

use crate::experiment::Experiment;
use crate::results_dir::{ResultsDir, StoredCell};
use bellcroft_simulation::{trace, Breach, Step};
use std::path::Path;

/// Rule violations in one cell, by a policy that claims to keep the rules.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CellViolations {
    /// Identifier of the cell.
    pub cell: String,
    /// Description of the cell's policy, seed and point.
    pub description: String,
    /// Number of violations.
    pub count: u64,
    /// The first violations.
    pub first: Vec<Breach>,
}

/// Returns the violations of each cell whose policy claims to keep the rules and broke one.
pub fn violations(cells: &[StoredCell]) -> Vec<CellViolations> {
    let has_violations = |s: &&StoredCell| s.cell.policy.claims_the_rules() && s.outcome.breaches.all() > 0;
    let violations_of = |s: &StoredCell| {
        let point: String = s.cell.point.iter().map(|(key, value)| format!(", {key} = {value}")).collect();
        CellViolations {
            cell: s.cell.id(),
            description: format!("{}, seed {}{point}", s.cell.policy.name(), s.cell.seed),
            count: s.outcome.breaches.all(),
            first: s.outcome.broken.clone(),
        }
    };
    cells.iter().filter(has_violations).map(violations_of).collect()
}

/// Runs a stored cell again and returns the steps of one operation of a client, given the number of its first request.
///
/// # Errors
///
/// Returns an error if the file is not an intact cell, is not part of its directory's experiment, has another outcome in
/// this build, or no client operation started with that request.
pub fn trace_request(file: &Path, first_request: u64) -> Result<(StoredCell, Vec<Step>), String> {
    let error = |reason: &str| format!("{}: {reason}", file.display());
    let id = file.file_stem().and_then(|stem| stem.to_str()).unwrap_or_default();
    let dir = file.parent().and_then(Path::parent).ok_or_else(|| error("is not in a results directory"))?;
    let results = ResultsDir::open(dir)?;
    let stored = results.load(id).ok_or_else(|| error("is missing or not an intact cell"))?;
    let experiment = Experiment::parse(results.experiment()).map_err(|reason| error(&reason))?;
    let cells = experiment.cells();
    let (cell, scenario) = cells
        .iter()
        .find(|(cell, _)| cell.id() == id)
        .ok_or_else(|| error("is not a cell of its directory's experiment"))?;
    let (outcome, steps) =
        trace(scenario, cell.policy, cell.seed, first_request).map_err(|e| error(&e.to_string()))?;
    if outcome != stored.outcome {
        return Err(error("was stored by another build, and this build has another outcome for it"));
    }
    if steps.is_empty() {
        return Err(error(&format!("no client operation started with request {first_request}")));
    }
    Ok((stored, steps))
}
