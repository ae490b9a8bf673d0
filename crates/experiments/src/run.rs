//! Runs an experiment's cells on all cores.

use crate::experiment::Experiment;
use crate::results_dir::{ResultsDir, StoredCell};
use bellcroft_simulation::play;
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;

/// Numbers of cells of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunCounts {
    /// Cells whose results were stored before the run.
    pub already_stored: usize,
    /// Cells that the run simulated.
    pub played: usize,
}

/// Simulates and stores each cell that is not stored yet, so that an interrupted run is resumed by another call.
///
/// # Errors
///
/// Returns the error of the first cell that cannot be simulated or stored. Cells stored earlier are unaffected.
pub fn run(experiment: &Experiment, results: &ResultsDir, progress: bool) -> Result<RunCounts, String> {
    let all = experiment.cells();
    let count = all.len();
    let missing: Vec<_> = all.into_iter().filter(|(cell, _)| results.load(&cell.id()).is_none()).collect();
    let bar = if progress { ProgressBar::new(count as u64) } else { ProgressBar::hidden() };
    if let Ok(style) =
        ProgressStyle::with_template("{bar:40} {pos} of {len} cells, {elapsed} elapsed, {eta} left")
    {
        bar.set_style(style);
    }
    bar.inc((count - missing.len()) as u64);
    let played = missing.len();
    // Cells share no state, so results do not depend on the thread that runs them.
    missing.into_par_iter().try_for_each(|(cell, scenario)| {
        let outcome = play(&scenario, cell.policy, cell.seed).map_err(|e| e.to_string())?;
        results.store(&StoredCell { cell, outcome })?;
        bar.inc(1);
        Ok::<(), String>(())
    })?;
    bar.finish_and_clear();
    Ok(RunCounts { already_stored: count - played, played })
}
