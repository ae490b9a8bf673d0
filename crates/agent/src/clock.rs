//! The clock of an instance.

use bellcroft_balancer::{Micros, Time};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Unix time at the start, advanced by the monotonic clock. A server's `born_ms` is comparable to it, and a step of the
/// system's clock moves no deadline.
#[derive(Clone, Copy)]
pub struct Clock {
    origin: Instant,
    unix: Micros,
}

impl Clock {
    /// Starts a clock at the present Unix time.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { origin: Instant::now(), unix: Micros(unix.as_micros() as u64) }
    }

    /// The time at `instant`.
    pub fn at(&self, instant: Instant) -> Time {
        Time(self.unix.0 + instant.saturating_duration_since(self.origin).as_micros() as u64)
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.at(Instant::now())
    }

    /// The instant of `time`.
    pub fn instant(&self, time: Time) -> Instant {
        self.origin + Duration::from_micros(time.0.saturating_sub(self.unix.0).min(1 << 50))
    }
}
