//! Latency percentiles over a class's most recent responses.

use bellcroft_balancer::Micros;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

/// Number of samples in the sliding window.
const MAX_SAMPLES: usize = 512;
/// Minimum number of samples for a percentile; fewer are not significant.
const MIN_SAMPLES: usize = 20;
/// Number of new samples after which the sorted copy is rebuilt; percentiles do not change in between.
const REFRESH_INTERVAL: u32 = 32;

/// Sliding window of a class's response times.
#[derive(Debug, Default)]
pub struct LatencyWindow {
    /// The most recent response times, the oldest first.
    samples: RefCell<VecDeque<Micros>>,
    /// Number of samples added since `sorted` was last rebuilt.
    samples_since_refresh: Cell<u32>,
    /// A sorted copy of `samples`, rebuilt every [`REFRESH_INTERVAL`] samples.
    sorted: RefCell<Vec<Micros>>,
}

impl LatencyWindow {
    /// Records a response time and evicts the oldest sample of a full window.
    pub fn add(&self, latency: Micros) {
        let mut samples = self.samples.borrow_mut();
        if samples.len() >= MAX_SAMPLES {
            samples.pop_front();
        }
        samples.push_back(latency);
        self.samples_since_refresh.set(self.samples_since_refresh.get().saturating_add(1));
    }

    /// The given percentile (0 to 100, nearest rank); `None` below the minimum number of samples.
    pub fn percentile(&self, percentile: f64) -> Option<Micros> {
        let samples = self.samples.borrow();
        if samples.len() < MIN_SAMPLES {
            return None;
        }
        let mut sorted = self.sorted.borrow_mut();
        if sorted.is_empty() || self.samples_since_refresh.get() >= REFRESH_INTERVAL {
            sorted.clear();
            sorted.extend(samples.iter().copied());
            sorted.sort_unstable();
            self.samples_since_refresh.set(0);
        }
        let rank = (percentile / 100.0 * sorted.len() as f64).ceil() as usize;
        sorted.get(rank.clamp(1, sorted.len()) - 1).copied()
    }
}

#[cfg(test)]
#[path = "../tests/unit/latency_window.rs"]
mod tests;
