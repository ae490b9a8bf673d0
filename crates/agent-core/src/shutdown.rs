//! What a process that was told to end may still do, and until when.
//!
//! The platform sends SIGTERM, and SIGKILL no sooner than the longest deadline (3 s at most) and 0.7 s more after it. All
//! times here are reckoned from the moment in which the process read the signal, which may be [`MAX_STALL`] after it was
//! sent; an answer that is due may be written [`MAX_STALL`] after it was due.

use bellcroft_balancer::{Micros, Time};

/// The platform waits for no deadline that is longer.
pub const MAX_PLATFORM_DEADLINE: Micros = Micros(3_000_000);
/// What it waits beyond the longest deadline.
pub const PLATFORM_KILL_MARGIN: Micros = Micros(700_000);
/// The longest that a process may be held up between reading its clock and writing.
pub const MAX_STALL: Micros = Micros(150_000);
/// For writing what has been decided to all clients.
pub const WRITE_RESERVE: Micros = Micros(50_000);
/// New connections go on coming for 0.4 s after SIGTERM; each is still taken.
pub const ACCEPT_TIMEOUT: Micros = Micros(650_000);
/// Between the last answers and the exit at the latest: whatever comes meanwhile is refused at once.
pub const EXIT_RESERVE: Micros = Micros(100_000);

/// The times of one shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownSchedule {
    signalled: Time,
    answer_by: Time,
}

impl ShutdownSchedule {
    /// Told to end at `signalled`, with `longest_deadline` in the settings that hold then. An operator may want it sooner:
    /// `operator_limit` after no more connections come.
    pub fn new(signalled: Time, longest_deadline: Micros, operator_limit: Option<Micros>) -> Self {
        let killed_at = signalled + longest_deadline.min(MAX_PLATFORM_DEADLINE) + PLATFORM_KILL_MARGIN;
        let platform = killed_at - MAX_STALL - MAX_STALL - WRITE_RESERVE;
        let operator = operator_limit.map_or(platform, |limit| signalled + ACCEPT_TIMEOUT + limit);
        ShutdownSchedule { signalled, answer_by: platform.min(operator) }
    }

    /// When it was told.
    pub fn signalled(&self) -> Time {
        self.signalled
    }

    /// Connections that come by then are taken.
    pub fn accept_until(&self) -> Time {
        (self.signalled + ACCEPT_TIMEOUT).min(self.exit_by())
    }

    /// All requests that were taken have their answer by then; those that come later are refused at once.
    pub fn answer_by(&self) -> Time {
        self.answer_by
    }

    /// The process ends by then.
    pub fn exit_by(&self) -> Time {
        self.answer_by + EXIT_RESERVE
    }
}
