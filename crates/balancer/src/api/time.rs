//! Points in time and durations in microseconds of the caller's clock.

use std::ops::{Add, Mul, Sub};

/// A point in time on the caller's clock, in microseconds since any fixed epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub u64);

/// A duration in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Micros(pub u64);

impl Time {
    /// The time `ms` milliseconds after the epoch; a negative value or NaN yields the epoch.
    pub fn from_ms(ms: f64) -> Self {
        Time(Micros::from_ms(ms).0)
    }
    /// Milliseconds since the epoch.
    pub fn ms(self) -> f64 {
        self.0 as f64 / 1e3
    }
    /// The duration since `earlier`; zero if `earlier` lies in the future.
    pub fn since(self, earlier: Time) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}

impl Micros {
    /// The duration zero.
    pub const ZERO: Micros = Micros(0);
    /// `ms` milliseconds, rounded to the microsecond; a negative value or NaN yields zero.
    pub fn from_ms(ms: f64) -> Self {
        Micros((ms * 1e3).round() as u64)
    }
    /// The duration in milliseconds.
    pub fn ms(self) -> f64 {
        self.0 as f64 / 1e3
    }
    /// This duration minus `other`, or zero if `other` is longer.
    #[must_use]
    pub fn saturating_sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}

impl Add<Micros> for Time {
    type Output = Time;
    fn add(self, duration: Micros) -> Time {
        Time(self.0.saturating_add(duration.0))
    }
}

impl Sub<Micros> for Time {
    type Output = Time;
    fn sub(self, duration: Micros) -> Time {
        Time(self.0.saturating_sub(duration.0))
    }
}

impl Mul<f64> for Micros {
    type Output = Micros;
    fn mul(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor).round() as u64)
    }
}
