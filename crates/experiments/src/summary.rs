//! Means over seeds with confidence intervals.

use crate::results_dir::StoredCell;
use bellcroft_simulation::Policy;
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::collections::BTreeMap;

/// A mean and its 95% confidence interval by Student's t.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Interval {
    /// The mean.
    pub mean: f64,
    /// Half the width of the interval; None if there is a single value.
    pub half: Option<f64>,
}

impl Interval {
    /// Returns the interval of these values; None if there are no values.
    pub fn of(values: &[f64]) -> Option<Self> {
        let n = values.len() as f64;
        let mean = (!values.is_empty()).then(|| values.iter().sum::<f64>() / n)?;
        let half = (values.len() > 1).then(|| {
            let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1.0);
            // Two or more values give at least one degree of freedom, so the distribution is valid.
            let t = StudentsT::new(0.0, 1.0, n - 1.0).map_or(f64::INFINITY, |t| t.inverse_cdf(0.975));
            t * (variance / n).sqrt()
        });
        Some(Interval { mean, half })
    }
}

impl std::fmt::Display for Interval {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.half {
            Some(half) => write!(f, "{:.4} ± {half:.4}", self.mean),
            None => write!(f, "{:.4}", self.mean),
        }
    }
}

/// Figures of one point of the sweep under one policy, over all seeds.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// The swept keys and their values.
    pub point: BTreeMap<String, String>,
    /// The balancing policy.
    pub policy: Policy,
    /// Number of seeds.
    pub seeds: usize,
    /// Interval over the seeds of each figure, by the figure's name.
    pub figures: BTreeMap<&'static str, Interval>,
}

/// Computes a figure from a cell's result.
pub(crate) type Figure = fn(&StoredCell) -> f64;

/// The figures of tables and reports, by name.
pub(crate) const FIGURES: [(&str, Figure); 6] = [
    ("wanted share", |s| s.outcome.wanted_share),
    ("p99 ms", |s| s.outcome.p99 as f64 / 1e3),
    ("further attempts", |s| {
        s.outcome.further as f64 / s.outcome.classes.iter().map(|c| c.asked).sum::<u64>().max(1) as f64
    }),
    ("busiest server", |s| {
        let mean = s.outcome.by_server.iter().sum::<u64>() as f64 / s.outcome.by_server.len().max(1) as f64;
        s.outcome.by_server.iter().max().map_or(0.0, |most| *most as f64 / mean.max(1.0))
    }),
    ("connections", |s| s.outcome.connections as f64),
    ("rules broken", |s| s.outcome.breaches.all() as f64),
];

/// Groups cells by point and policy and summarises their figures over the seeds.
pub fn summarise(cells: &[StoredCell]) -> Vec<Row> {
    let mut groups: BTreeMap<(BTreeMap<String, String>, Policy), Vec<&StoredCell>> = BTreeMap::new();
    for stored in cells {
        groups.entry((stored.cell.point.clone(), stored.cell.policy)).or_default().push(stored);
    }
    let row = |((point, policy), own): ((BTreeMap<String, String>, Policy), Vec<&StoredCell>)| {
        let figure = |(name, of): &(&'static str, Figure)| {
            let values: Vec<f64> = own.iter().map(|s| of(s)).collect();
            Some((*name, Interval::of(&values)?))
        };
        Row { point, policy, seeds: own.len(), figures: FIGURES.iter().filter_map(figure).collect() }
    };
    groups.into_iter().map(row).collect()
}
