//! Means over seeds, with their intervals.

use crate::folder::Stored;
use bellcroft_simulation::Policy;
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::collections::BTreeMap;

/// A mean and half the width of its 95% interval (Student's t); none of a single seed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Interval {
    /// The mean.
    pub mean: f64,
    /// Half the width.
    pub half: Option<f64>,
}

impl Interval {
    /// Of these values; none of none.
    pub fn of(values: &[f64]) -> Option<Self> {
        let n = values.len() as f64;
        let mean = (!values.is_empty()).then(|| values.iter().sum::<f64>() / n)?;
        let half = (values.len() > 1).then(|| {
            let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1.0);
            // The distribution has one degree of freedom or more, so it is there.
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

/// A point of the sweep under one policy, over its seeds.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// The swept keys.
    pub point: BTreeMap<String, String>,
    /// The policy.
    pub policy: Policy,
    /// Seeds.
    pub seeds: usize,
    /// By name: the figure over the seeds.
    pub figures: BTreeMap<&'static str, Interval>,
}

/// What a figure is of a run.
pub(crate) type Figure = fn(&Stored) -> f64;

/// The figures that are shown, and what each is of a run.
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

/// Gathers the seeds of each point and policy.
pub fn summarise(cells: &[Stored]) -> Vec<Row> {
    let mut groups: BTreeMap<(BTreeMap<String, String>, Policy), Vec<&Stored>> = BTreeMap::new();
    for stored in cells {
        groups.entry((stored.cell.point.clone(), stored.cell.policy)).or_default().push(stored);
    }
    let row = |((point, policy), own): ((BTreeMap<String, String>, Policy), Vec<&Stored>)| {
        let figure = |(name, of): &(&'static str, Figure)| {
            let values: Vec<f64> = own.iter().map(|s| of(s)).collect();
            Some((*name, Interval::of(&values)?))
        };
        Row { point, policy, seeds: own.len(), figures: FIGURES.iter().filter_map(figure).collect() }
    };
    groups.into_iter().map(row).collect()
}
