//! Timestamps of samples.

use std::time::Duration;

/// A wall clock that is off by more than this has been stepped; less is its own slow correction.
const STEP: Duration = Duration::from_secs(2);

/// Timestamps in Unix milliseconds that never go back.
///
/// They run with the monotonic clock from the wall clock's time at the start. When the wall clock is stepped forward
/// they jump with it; when it is stepped back they run on, ahead of it, for receivers refuse samples that are older than
/// a series' last, and a series that stands still for an hour is worse than one whose times are off by one.
#[derive(Debug)]
pub struct Timeline {
    wall_ms: i64,
    since: Duration,
    last_ms: i64,
    steps: u64,
    ahead: bool,
}

impl Timeline {
    /// Begins at this wall-clock time, `monotonic` after any fixed moment.
    pub fn new(wall_ms: i64, monotonic: Duration) -> Self {
        Timeline { wall_ms, since: monotonic, last_ms: wall_ms - 1, steps: 0, ahead: false }
    }

    /// The next timestamp, later than all before it.
    pub fn stamp(&mut self, wall_ms: i64, monotonic: Duration) -> i64 {
        let run = i64::try_from(monotonic.saturating_sub(self.since).as_millis()).unwrap_or(i64::MAX);
        let mut at = self.wall_ms.saturating_add(run);
        let step = STEP.as_millis() as i64;
        if wall_ms.saturating_sub(at) > step {
            (self.wall_ms, self.since, at) = (wall_ms, monotonic, wall_ms);
            self.steps += 1;
            self.ahead = false;
        } else if at.saturating_sub(wall_ms) > step {
            self.steps += u64::from(!self.ahead);
            self.ahead = true;
        } else {
            self.ahead = false;
        }
        self.last_ms = at.max(self.last_ms.saturating_add(1));
        self.last_ms
    }

    /// How often the wall clock was seen to step.
    pub fn steps(&self) -> u64 {
        self.steps
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HOUR: i64 = 3_600_000;

    /// Samples each 10 s, with the wall clock stepped by `step` after the third.
    fn stamps(step: i64) -> (Vec<i64>, u64) {
        let mut timeline = Timeline::new(1_000_000, Duration::ZERO);
        let stamps = (0..8)
            .map(|n| {
                let wall = 1_000_000 + n * 10_000 + if n >= 3 { step } else { 0 };
                timeline.stamp(wall, Duration::from_secs(n as u64 * 10))
            })
            .collect();
        (stamps, timeline.steps())
    }

    #[test]
    fn a_clock_that_steps_back_stops_no_series() {
        let (stamps, steps) = stamps(-HOUR);
        assert!(stamps.windows(2).all(|pair| pair[1] - pair[0] == 10_000), "{stamps:?}");
        assert_eq!(steps, 1);
    }

    #[test]
    fn a_clock_that_steps_forward_is_followed_once() {
        let (stamps, steps) = stamps(HOUR);
        assert_eq!(stamps[3] - stamps[2], HOUR + 10_000);
        assert!(stamps[3..].windows(2).all(|pair| pair[1] - pair[0] == 10_000), "{stamps:?}");
        assert_eq!(steps, 1);
    }

    #[test]
    fn two_samples_of_one_moment_differ_in_time() {
        let mut timeline = Timeline::new(5, Duration::ZERO);
        let stamps: Vec<i64> = (0..3).map(|_| timeline.stamp(5, Duration::ZERO)).collect();
        assert_eq!(stamps, [5, 6, 7]);
    }
}
