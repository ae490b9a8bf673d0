//! Timestamps of samples.

use std::time::Duration;

/// A larger difference from the wall clock counts as a step; smaller ones come from its gradual correction.
const MIN_STEP: Duration = Duration::from_secs(2);

/// Timestamps in Unix milliseconds that never go back.
///
/// Timestamps begin at the wall clock's time and advance with the monotonic clock. They follow a forward step of the wall
/// clock, but not a backward one: receivers refuse samples that are older than the last one of their series, and a series
/// without samples for an hour is worse than one whose times are an hour ahead.
#[derive(Debug)]
pub struct Timeline {
    wall_ms: i64,
    /// Monotonic time at `wall_ms`.
    since: Duration,
    last_ms: i64,
    steps: u64,
    /// The wall clock has been stepped back, and the timestamps are ahead of it.
    ahead: bool,
}

impl Timeline {
    /// A timeline that begins at `wall_ms`; `monotonic` is the time since a fixed origin.
    pub fn new(wall_ms: i64, monotonic: Duration) -> Self {
        Timeline { wall_ms, since: monotonic, last_ms: wall_ms - 1, steps: 0, ahead: false }
    }

    /// Returns a timestamp that is later than all earlier ones.
    pub fn next_timestamp(&mut self, wall_ms: i64, monotonic: Duration) -> i64 {
        let run = i64::try_from(monotonic.saturating_sub(self.since).as_millis()).unwrap_or(i64::MAX);
        let mut at = self.wall_ms.saturating_add(run);
        let step = MIN_STEP.as_millis() as i64;
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

    /// Number of detected steps of the wall clock.
    pub fn steps(&self) -> u64 {
        self.steps
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HOUR: i64 = 3_600_000;

    /// Eight timestamps at intervals of 10 s, where the wall clock steps by `step` ms after the third.
    fn timestamps_around_step(step: i64) -> (Vec<i64>, u64) {
        let mut timeline = Timeline::new(1_000_000, Duration::ZERO);
        let stamps = (0..8)
            .map(|n| {
                let wall = 1_000_000 + n * 10_000 + if n >= 3 { step } else { 0 };
                timeline.next_timestamp(wall, Duration::from_secs(n as u64 * 10))
            })
            .collect();
        (stamps, timeline.steps())
    }

    #[test]
    fn timestamps_keep_their_interval_after_backward_step() {
        let (stamps, steps) = timestamps_around_step(-HOUR);
        assert!(stamps.windows(2).all(|pair| pair[1] - pair[0] == 10_000), "{stamps:?}");
        assert_eq!(steps, 1);
    }

    #[test]
    fn timestamps_follow_forward_step_once() {
        let (stamps, steps) = timestamps_around_step(HOUR);
        assert_eq!(stamps[3] - stamps[2], HOUR + 10_000);
        assert!(stamps[3..].windows(2).all(|pair| pair[1] - pair[0] == 10_000), "{stamps:?}");
        assert_eq!(steps, 1);
    }

    #[test]
    fn timestamps_of_one_moment_are_distinct() {
        let mut timeline = Timeline::new(5, Duration::ZERO);
        let stamps: Vec<i64> = (0..3).map(|_| timeline.next_timestamp(5, Duration::ZERO)).collect();
        assert_eq!(stamps, [5, 6, 7]);
    }
}
