//! Running sums, averages and the median.

use crate::api::Time;

/// A sum whose terms decay exponentially with time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayingSum {
    sum: f64,
    time_constant_ms: f64,
    updated_at: Time,
}

impl DecayingSum {
    /// An empty sum.
    pub(crate) const ZERO: DecayingSum = DecayingSum { sum: 0.0, time_constant_ms: 0.0, updated_at: Time(0) };

    /// The decayed value at `now`.
    pub(crate) fn value_at(&self, now: Time) -> f64 {
        self.sum * (-now.since(self.updated_at).ms() / self.time_constant_ms.max(1.0)).exp()
    }

    /// Adds a term and sets the time constant of the decay from now on.
    pub(crate) fn add(&mut self, now: Time, time_constant_ms: f64, term: f64) {
        *self = DecayingSum { sum: self.value_at(now) + term, time_constant_ms, updated_at: now };
    }
}

/// Divisor of the gain for increases, so that congestion does not become the baseline.
const INCREASE_DIVISOR: f64 = 4.0;

/// Moves `average` towards `sample` by `gain`, or by a quarter of it if the sample is higher.
pub(crate) fn exponential_average(average: &mut f64, sample: f64, gain: f64) {
    let gain = if sample < *average { gain } else { gain / INCREASE_DIVISOR };
    *average += gain * (sample - *average);
}

/// The median of the values; the upper of the two middle ones if their number is even. `None` if there are none.
pub(crate) fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
