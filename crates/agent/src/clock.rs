//! The clock of an instance: Unix time that is not affected by steps of the system clock.

use bellcroft_balancer::{Micros, Time};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A clock that adds the monotonic time since its start to the Unix time at its start. Its times are comparable to a
/// server's `born_ms`, and a step of the system clock moves no deadline.
#[derive(Clone, Copy)]
pub struct Clock {
    /// Instant at which the clock was started.
    origin: Instant,
    /// Unix time at `origin`.
    unix_at_origin: Micros,
}

impl Clock {
    /// Starts a clock at the current Unix time.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { origin: Instant::now(), unix_at_origin: Micros(unix.as_micros() as u64) }
    }

    /// The time at `instant`.
    pub fn at(&self, instant: Instant) -> Time {
        Time(self.unix_at_origin.0 + instant.saturating_duration_since(self.origin).as_micros() as u64)
    }

    /// The current time.
    pub fn now(&self) -> Time {
        self.at(Instant::now())
    }

    /// The instant at `time`, bounded so that a distant time does not overflow.
    pub fn instant(&self, time: Time) -> Instant {
        self.origin + Duration::from_micros(time.0.saturating_sub(self.unix_at_origin.0).min(1 << 50))
    }
}
