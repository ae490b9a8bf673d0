//! Playing an experiment's cells on all cores.

use crate::experiment::Experiment;
use crate::folder::{Folder, Stored};
use bellcroft_simulation::play;
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;

/// What was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Done {
    /// Cells that were there already.
    pub there: usize,
    /// Cells that were played.
    pub played: usize,
}

/// Plays each cell that is not stored yet and stores it; a run that was killed goes on where it was.
///
/// # Errors
///
/// The first cell that cannot be stored. All that were stored before stand.
pub fn run(experiment: &Experiment, folder: &Folder, progress: bool) -> Result<Done, String> {
    let all = experiment.cells();
    let count = all.len();
    let open: Vec<_> = all.into_iter().filter(|(cell, _)| folder.load(&cell.id()).is_none()).collect();
    let bar = if progress { ProgressBar::new(count as u64) } else { ProgressBar::hidden() };
    if let Ok(style) =
        ProgressStyle::with_template("{bar:40} {pos} of {len} cells, {elapsed} gone, {eta} to go")
    {
        bar.set_style(style);
    }
    bar.inc((count - open.len()) as u64);
    let played = open.len();
    // Cells share nothing: which thread plays which changes no result.
    open.into_par_iter().try_for_each(|(cell, scenario)| {
        let outcome = play(&scenario, cell.policy, cell.seed).map_err(|e| e.to_string())?;
        folder.store(&Stored { cell, outcome })?;
        bar.inc(1);
        Ok::<(), String>(())
    })?;
    bar.finish_and_clear();
    Ok(Done { there: count - played, played })
}
