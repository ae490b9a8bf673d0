//! The times at which the buffered bytes of a connection arrived.
//!
//! A client's timeout counts from the last byte of its request. A pipelined request is parsed only after the response to the
//! one before it, so the time of its arrival has to be recorded when its bytes are read from the socket.

use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Bytes that arrive within this time of each other share one record.
const ARRIVAL_RESOLUTION: Duration = Duration::from_millis(5);
/// The maximum number of records of a connection; further bytes are added to the latest one.
const MAX_ARRIVALS: usize = 64;

/// Bytes that arrived at about the same time.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    /// The position in the stream after the last byte.
    end: u64,
    /// The time at which the first byte arrived.
    at: Instant,
}

/// The arrival times of the bytes of a connection that have not been passed on yet.
#[derive(Debug, Default)]
pub struct ArrivalTimes {
    arrivals: VecDeque<Arrival>,
    /// The number of bytes that have been recorded.
    received: u64,
}

impl ArrivalTimes {
    /// Records that `count` more bytes arrived at `at`.
    pub fn record(&mut self, count: usize, at: Instant) {
        if count == 0 {
            return;
        }
        self.received += count as u64;
        let is_full = self.arrivals.len() >= MAX_ARRIVALS;
        match self.arrivals.back_mut() {
            Some(last) if is_full || at.saturating_duration_since(last.at) <= ARRIVAL_RESOLUTION => {
                last.end = self.received;
            }
            Some(_) | None => self.arrivals.push_back(Arrival { end: self.received, at }),
        }
    }

    /// Whether any bytes have been recorded.
    pub fn has_recorded(&self) -> bool {
        self.received > 0
    }

    /// The time at which the last byte before this position in the stream arrived, and never a later one; none if the position
    /// has not been reached or is forgotten.
    pub fn arrived_at(&self, position: u64) -> Option<Instant> {
        self.arrivals.iter().find(|arrival| position <= arrival.end).map(|arrival| arrival.at)
    }

    /// Forgets the bytes before this position in the stream.
    pub fn forget_before(&mut self, position: u64) {
        while self.arrivals.front().is_some_and(|arrival| arrival.end <= position) {
            self.arrivals.pop_front();
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/arrival.rs"]
mod tests;
