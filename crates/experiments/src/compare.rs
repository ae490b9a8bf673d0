//! What differs between two folders of results beyond noise.

use crate::folder::Folder;
use crate::summary::{summarise, Interval, Row};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// A figure that differs.
#[derive(Debug, Clone, PartialEq)]
pub struct Difference {
    /// Point and policy, in words.
    pub of: String,
    /// The figure.
    pub figure: &'static str,
    /// In the first folder.
    pub before: Interval,
    /// In the second.
    pub after: Interval,
}

/// Half the width of a mean's interval is t times its standard error: the two errors together must be passed by 99%
/// (Welch's test; with many figures side by side, 95% would cry wolf).
fn beyond_noise(before: Interval, after: Interval, seeds: (usize, usize)) -> bool {
    let (Some(a), Some(b)) = (before.half, after.half) else { return before.mean != after.mean };
    let t = |n: usize, p: f64| {
        StudentsT::new(0.0, 1.0, n as f64 - 1.0).map_or(f64::INFINITY, |t| t.inverse_cdf(p))
    };
    let error = ((a / t(seeds.0, 0.975)).powi(2) + (b / t(seeds.1, 0.975)).powi(2)).sqrt();
    // The smaller sample's degrees of freedom: fewer than Welch's, so rather silent than wrong.
    let bound = t(seeds.0.min(seeds.1), 0.995) * error;
    (after.mean - before.mean).abs() > bound.max(1e-12)
}

/// The figures that differ, and how many points the folders share.
///
/// # Errors
///
/// A folder cannot be read, or they share no point.
pub fn compare(before: &Folder, after: &Folder) -> Result<(Vec<Difference>, usize), String> {
    let rows = |folder: &Folder| Ok::<Vec<Row>, String>(summarise(&folder.all()?.0));
    let (before, after) = (rows(before)?, rows(after)?);
    let (mut differences, mut shared) = (Vec::new(), 0);
    for old in &before {
        let same = |new: &&Row| new.point == old.point && new.policy == old.policy;
        let Some(new) = after.iter().find(same) else { continue };
        shared += 1;
        for (figure, old_value) in &old.figures {
            let Some(new_value) = new.figures.get(figure) else { continue };
            if beyond_noise(*old_value, *new_value, (old.seeds, new.seeds)) {
                let point: Vec<String> = old.point.iter().map(|(k, v)| format!("{k} = {v}")).collect();
                let of = format!("{} {}", old.policy.name(), point.join(", "));
                differences.push(Difference { of, figure, before: *old_value, after: *new_value });
            }
        }
    }
    if shared == 0 {
        return Err("the folders have no point and policy in common".into());
    }
    Ok((differences, shared))
}
