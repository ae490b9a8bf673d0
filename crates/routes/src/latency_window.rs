//! Percentiles of a class's recent answers.

use bellcroft_balancer::Micros;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

/// Answers that are remembered.
const KEPT: usize = 512;
/// Fewer say nothing of a percentile.
const LEAST: usize = 20;
/// A percentile is computed anew after so many answers; meanwhile it stands.
const REFRESH: u32 = 32;

/// The times of a class's last answers.
#[derive(Debug, Default)]
pub struct LatencyWindow {
    times: RefCell<VecDeque<Micros>>,
    /// Answers since the order was made.
    since: Cell<u32>,
    sorted: RefCell<Vec<Micros>>,
}

impl LatencyWindow {
    /// An answer took this long.
    pub fn add(&self, took: Micros) {
        let mut times = self.times.borrow_mut();
        if times.len() >= KEPT {
            times.pop_front();
        }
        times.push_back(took);
        self.since.set(self.since.get().saturating_add(1));
    }

    /// The time that this percentile (0 to 100) of the answers stayed within; none before there are enough of them.
    pub fn percentile(&self, percentile: f64) -> Option<Micros> {
        let times = self.times.borrow();
        if times.len() < LEAST {
            return None;
        }
        let mut sorted = self.sorted.borrow_mut();
        if sorted.is_empty() || self.since.get() >= REFRESH {
            sorted.clear();
            sorted.extend(times.iter().copied());
            sorted.sort_unstable();
            self.since.set(0);
        }
        let rank = (percentile / 100.0 * sorted.len() as f64).ceil() as usize;
        sorted.get(rank.clamp(1, sorted.len()) - 1).copied()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn percentiles_are_of_the_last_answers_and_none_before_there_are_enough() {
        let recent = LatencyWindow::default();
        for ms in 1..20 {
            recent.add(Micros::from_ms(f64::from(ms)));
            assert_eq!(recent.percentile(50.0), None);
        }
        recent.add(Micros::from_ms(20.0));
        assert_eq!(recent.percentile(50.0), Some(Micros::from_ms(10.0)));
        assert_eq!(recent.percentile(95.0), Some(Micros::from_ms(19.0)));
        assert_eq!(recent.percentile(100.0), Some(Micros::from_ms(20.0)));
        assert_eq!(recent.percentile(0.0), Some(Micros::from_ms(1.0)));
        for _ in 0..KEPT {
            recent.add(Micros::from_ms(7.0));
        }
        assert_eq!(recent.percentile(1.0), Some(Micros::from_ms(7.0)), "the old ones are forgotten");
    }
}
