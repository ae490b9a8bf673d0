use std::time::Duration;

/// How a fleet is kept.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Starts are at least this far apart.
    pub start_every: Duration,
    /// An instance that is not ready this long after its start is ended.
    pub ready_within: Duration,
    /// One that has said that it is ready must be proved to serve within this.
    pub prove_within: Duration,
    /// One that has been told to end and still runs after this is killed.
    pub stop_within: Duration,
    /// At most this many are down for a roll at a time.
    pub roll_at_once: usize,
    /// What follows a death.
    pub restart: Restart,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            start_every: Duration::from_millis(20),
            ready_within: Duration::from_secs(10),
            prove_within: Duration::from_secs(5),
            stop_within: Duration::from_secs(10),
            roll_at_once: 1,
            restart: Restart::default(),
        }
    }
}

/// How deaths are answered.
#[derive(Debug, Clone, PartialEq)]
pub struct Restart {
    /// The pause after the first death; it doubles with each further one in a row.
    pub first: Duration,
    /// The longest pause.
    pub most: Duration,
    /// The pause is drawn from this share below it to it, so that what died together does not return together.
    pub jitter: f64,
    /// More deaths in a row than this, and the instance has failed.
    pub limit: u32,
    /// An instance that was ready for this long has no deaths behind it.
    pub forgive_after: Duration,
}

impl Default for Restart {
    fn default() -> Self {
        Restart {
            first: Duration::from_millis(200),
            most: Duration::from_secs(30),
            jitter: 0.25,
            limit: 6,
            forgive_after: Duration::from_secs(30),
        }
    }
}

impl Restart {
    /// The pause after this many deaths in a row; `draw` lies in 0 to 1.
    pub fn pause(&self, deaths: u32, draw: f64) -> Duration {
        let doubled = 2_f64.powi(deaths.saturating_sub(1).min(40) as i32) * self.first.as_secs_f64();
        let longest = doubled.min(self.most.as_secs_f64());
        Duration::from_secs_f64(longest * (1.0 - self.jitter.clamp(0.0, 1.0) * draw))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn pauses_double_up_to_a_bound_and_jitter_only_shortens_them() {
        let restart = Restart::default();
        let full: Vec<u128> = (1..=10).map(|n| restart.pause(n, 0.0).as_millis()).collect();
        assert_eq!(full, [200, 400, 800, 1600, 3200, 6400, 12800, 25600, 30000, 30000]);
        for deaths in 1..=10 {
            let least = restart.pause(deaths, 1.0).as_secs_f64() / restart.pause(deaths, 0.0).as_secs_f64();
            assert!((least - 0.75).abs() < 1e-6, "{least}");
        }
        assert_eq!(restart.pause(u32::MAX, 0.0), restart.most);
    }
}
