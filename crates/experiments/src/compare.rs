//! Statistically significant differences between two result directories.

use crate::results_dir::ResultsDir;
use crate::summary::{summarise, Interval, Row};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// A figure whose means differ significantly.
#[derive(Debug, Clone, PartialEq)]
pub struct Difference {
    /// Description of the policy and the sweep point.
    pub cell: String,
    /// Name of the figure.
    pub figure: &'static str,
    /// The figure in the first directory.
    pub before: Interval,
    /// The figure in the second directory.
    pub after: Interval,
}

/// Tests for a difference of two means at the 99% level, as Welch's test does. With many figures compared at once, 95%
/// would report too many false differences. The standard errors follow from the intervals, whose half-width is t times
/// the error.
fn is_significant(before: Interval, after: Interval, seeds: (usize, usize)) -> bool {
    let (Some(a), Some(b)) = (before.half, after.half) else { return before.mean != after.mean };
    let t = |n: usize, p: f64| {
        StudentsT::new(0.0, 1.0, n as f64 - 1.0).map_or(f64::INFINITY, |t| t.inverse_cdf(p))
    };
    let error = ((a / t(seeds.0, 0.975)).powi(2) + (b / t(seeds.1, 0.975)).powi(2)).sqrt();
    // The smaller sample's degrees of freedom are fewer than Welch's, so the test is conservative.
    let threshold = t(seeds.0.min(seeds.1), 0.995) * error;
    (after.mean - before.mean).abs() > threshold.max(1e-12)
}

/// Returns the figures that differ, and the number of pairs of point and policy that both directories have.
///
/// # Errors
///
/// Returns an error if a directory cannot be read or the directories have no pair of point and policy in common.
pub fn compare(before: &ResultsDir, after: &ResultsDir) -> Result<(Vec<Difference>, usize), String> {
    let rows = |results: &ResultsDir| Ok::<Vec<Row>, String>(summarise(&results.load_all()?.0));
    let (before, after) = (rows(before)?, rows(after)?);
    let (mut differences, mut shared) = (Vec::new(), 0);
    for old in &before {
        let same = |new: &&Row| new.point == old.point && new.policy == old.policy;
        let Some(new) = after.iter().find(same) else { continue };
        shared += 1;
        for (figure, old_value) in &old.figures {
            let Some(new_value) = new.figures.get(figure) else { continue };
            if is_significant(*old_value, *new_value, (old.seeds, new.seeds)) {
                let point: Vec<String> = old.point.iter().map(|(k, v)| format!("{k} = {v}")).collect();
                let cell = format!("{} {}", old.policy.name(), point.join(", "));
                differences.push(Difference { cell, figure, before: *old_value, after: *new_value });
            }
        }
    }
    if shared == 0 {
        return Err("the folders have no point and policy in common".into());
    }
    Ok((differences, shared))
}
