//! When a response that is forwarded while its server sends it ends without being complete.
//!
//! Bodies of the platform hold at most 64 KiB. Whether a response is one of them decides how long its client waits for the rest:
//!
//! | what is known of the response | [`Extent`] | silence of its server | least rate |
//! | --- | --- | --- | --- |
//! | a declared length of up to 64 KiB | `Short` | none | |
//! | no declared length, up to 32 KiB received | `Undetermined` | 0.35 s | 64 KiB in 3 s |
//! | no declared length, up to 64 KiB received | `ProbablyLong` | 2 s, behind what came at the least rate | 64 KiB in 3 s |
//! | a longer declared length, or more received | `Long` | 2 s | 4 KiB a second |
//!
//! No response ends before its deadline and [`OVERDUE_GRACE`]. Only time in which the client waits for the server counts, and a pause
//! before the deadline does not end a response that goes on after it.

use crate::body_limits::{MAX_BUFFERED_BODY_BYTES, MIN_BYTES_PER_SECOND, PROGRESS_TIMEOUT};
use crate::shutdown::MAX_STALL;
use bellcroft_balancer::{Micros, Time};

/// Time after its deadline for which a request is still owed its final response.
const OVERDUE_RESPONSE_LIMIT: Micros = Micros(500_000);
/// Time after the deadline for which any response may still arrive: a process that is held up for [`MAX_STALL`] then still ends it
/// while its client is owed the end.
pub const OVERDUE_GRACE: Micros = Micros(OVERDUE_RESPONSE_LIMIT.0 - MAX_STALL.0);
/// The time that a wait before the deadline, or a pause of a long response, leaves at least for the next wait.
const MIN_PATIENCE_AFTER_PAUSE: Micros = Micros(200_000);
/// The longest body of the platform.
const PLATFORM_BODY_BYTES: u64 = MAX_BUFFERED_BODY_BYTES as u64;
/// The longest deadline of the platform, within which it expects a whole body.
const LONGEST_DEADLINE: Micros = Micros(3_000_000);
/// A response without a declared length that has brought more than this is taken for a long one.
const PROBABLY_LONG_BYTES: u64 = PLATFORM_BODY_BYTES / 2;

/// What is known of the length of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Extent {
    /// It is a body of the platform.
    Short,
    /// It may be one; less than half of one has been received.
    Undetermined,
    /// It may be one; more than half of one has been received.
    ProbablyLong,
    /// It is longer than any body of the platform.
    Long,
}

impl Extent {
    fn of(declared_length: Option<u64>, received: u64) -> Self {
        match declared_length {
            Some(length) if length <= PLATFORM_BODY_BYTES => Extent::Short,
            Some(_) => Extent::Long,
            None if received > PLATFORM_BODY_BYTES => Extent::Long,
            None if received > PROBABLY_LONG_BYTES => Extent::ProbablyLong,
            None => Extent::Undetermined,
        }
    }

    /// The longest wait for more bytes that received ones can allow.
    fn max_patience(self) -> Micros {
        match self {
            Extent::Short => Micros::ZERO,
            Extent::Undetermined | Extent::ProbablyLong => OVERDUE_GRACE,
            Extent::Long => PROGRESS_TIMEOUT,
        }
    }

    /// The time by which received bytes extend the wait for more, up to the longest wait.
    fn extension(self, bytes: u64) -> Micros {
        match self {
            Extent::Short => Micros::ZERO,
            Extent::Undetermined | Extent::ProbablyLong => {
                Micros(bytes * LONGEST_DEADLINE.0 / PLATFORM_BODY_BYTES)
            }
            Extent::Long => Micros(bytes * 1_000_000 / MIN_BYTES_PER_SECOND),
        }
    }
}

/// The progress of a response that is forwarded while its server sends it.
#[derive(Debug, Clone, Copy)]
pub struct ResponseProgress {
    declared_length: Option<u64>,
    deadline: Time,
    received: u64,
    extent: Extent,
    /// The time for which the client still waits for the server, from `waiting_since` on.
    patience: Micros,
    /// Start of the present wait for the server; none while the client does not wait for it.
    waiting_since: Option<Time>,
}

impl ResponseProgress {
    /// A response to a request with this deadline, of which so many bytes have been received.
    pub fn new(declared_length: Option<u64>, deadline: Time, received: u64) -> Self {
        let extent = Extent::of(declared_length, received);
        let patience = extent.max_patience();
        ResponseProgress { declared_length, deadline, received, extent, patience, waiting_since: None }
    }

    /// What is known of the length.
    pub fn extent(&self) -> Extent {
        self.extent
    }

    /// Records that the client waits for the server.
    pub fn on_wait(&mut self, now: Time) {
        self.waiting_since.get_or_insert(now);
    }

    /// Records that more bytes have been received.
    pub fn on_bytes(&mut self, received: usize, now: Time) {
        self.received += received as u64;
        if let Some(since) = self.waiting_since.take() {
            self.end_wait(since, now);
        }
        let extent = Extent::of(self.declared_length, self.received);
        let has_become_long = extent == Extent::Long && self.extent != Extent::Long;
        self.extent = extent;
        self.patience = match has_become_long {
            true => extent.max_patience(),
            false => Micros(self.patience.0 + extent.extension(received as u64).0).min(extent.max_patience()),
        };
    }

    fn end_wait(&mut self, since: Time, now: Time) {
        let left = self.patience.saturating_sub(now.since(since));
        let is_pause = since < self.deadline || self.may_pause();
        let least = if is_pause { MIN_PATIENCE_AFTER_PAUSE } else { Micros::ZERO };
        self.patience = left.max(least.min(self.patience));
    }

    /// Whether the response is probably long and has come at the least rate up to now.
    fn may_pause(&self) -> bool {
        self.extent == Extent::ProbablyLong && self.patience == self.extent.max_patience()
    }

    /// The time at which the response ends if no more bytes are received; none while the client does not wait for the server.
    pub fn ends_at(&self) -> Option<Time> {
        let earliest = self.deadline + OVERDUE_GRACE;
        let patience = if self.may_pause() { PROGRESS_TIMEOUT } else { self.patience };
        self.waiting_since.map(|since| earliest.max(since + patience))
    }
}
