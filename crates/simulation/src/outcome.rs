//! What came of a run.

use crate::judge::{Breach, Breaches};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// A class's requests. Times are microseconds from the client's asking to its answer.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassOutcome {
    /// Its name.
    pub name: String,
    /// What clients came for. Where they try again, all tries are one, and how it ended is how the last one did.
    pub asked: u64,
    /// Their further tries.
    pub again: u64,
    /// Answered by a server.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// No answer came before the client left.
    pub left: u64,
    /// Served within the wanted time.
    pub in_wanted: u64,
    /// Mean time of those served.
    pub mean: f64,
    /// The time that half of those served had their answer within.
    pub p50: u64,
    /// Nine of ten.
    pub p90: u64,
    /// 99 of 100.
    pub p99: u64,
    /// The longest.
    pub most: u64,
}

/// What came of the wants that came within a second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Second {
    /// What clients came for.
    pub asked: u64,
    /// Served within the wanted time.
    pub in_wanted: u64,
    /// Refused in the end.
    pub refused: u64,
}

/// A run's outcome: plain numbers, the same to the byte for the same scenario, policy and seed.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// By class.
    pub classes: Vec<ClassOutcome>,
    /// Served within the wanted time, of all that were asked.
    pub wanted_share: f64,
    /// The 99th percentile of all that were served, in microseconds.
    pub p99: u64,
    /// Attempts.
    pub attempts: u64,
    /// Those beyond each request's first.
    pub further: u64,
    /// Connections that were opened.
    pub connections: u64,
    /// Health probes.
    pub probes: u64,
    /// Words from one instance to another.
    #[serde(default)]
    pub hints: u64,
    /// Hand-overs of the fleet's digest from one instance to another.
    #[serde(default)]
    pub digests: u64,
    /// Whole lists that were asked for.
    pub lists: u64,
    /// Requests that each server took.
    pub by_server: Vec<u64>,
    /// The most that any server held at a time.
    pub peak_held: usize,
    /// Work done whose request had its answer, or whose client had left, in seconds of cores.
    pub wasted: f64,
    /// The mean time that requests waited for a core, in seconds.
    pub mean_wait: f64,
    /// Requests that a core has begun.
    pub begun: u64,
    /// Breaches of the rules.
    pub breaches: Breaches,
    /// The first of them, one by one.
    #[serde(default)]
    pub broken: Vec<Breach>,
    /// By second of the run: what came of the wants that came then.
    #[serde(default)]
    pub seconds: Vec<Second>,
    /// Events that were handled.
    pub events: u64,
}

/// Times of requests, kept to three digits.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new(3).unwrap_or_else(|e| unreachable!("three digits are within the bounds: {e:?}"))
}

impl ClassOutcome {
    pub(crate) fn fill(&mut self, times: &Histogram<u64>) {
        (self.p50, self.p90, self.p99) =
            (times.value_at_quantile(0.5), times.value_at_quantile(0.9), times.value_at_quantile(0.99));
        self.most = times.max();
    }
}
