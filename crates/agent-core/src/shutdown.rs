//! The schedule of a graceful shutdown.
//!
//! After SIGTERM the platform waits for the longest request deadline (3 s at most) and another 0.7 s before it sends
//! SIGKILL. The process may read SIGTERM up to [`MAX_STALL`] after it was sent, or later if it was paused for longer; a
//! response may be written up to [`MAX_STALL`] after it was due.

use bellcroft_balancer::{Micros, Time};

/// Longest request deadline that the platform waits for.
pub const MAX_PLATFORM_DEADLINE: Micros = Micros(3_000_000);
/// Time that the platform waits beyond the longest deadline.
pub const PLATFORM_KILL_MARGIN: Micros = Micros(700_000);
/// Longest pause of this process, between reading its clock and writing, that is allowed for.
pub const MAX_STALL: Micros = Micros(150_000);
/// Time reserved for writing the responses to all clients.
pub const WRITE_RESERVE: Micros = Micros(50_000);
/// Time after SIGTERM for which connections are accepted: new ones arrive for 0.4 s.
pub const ACCEPT_TIMEOUT: Micros = Micros(650_000);
/// Time between the last responses and the exit, in which requests are rejected at once.
pub const EXIT_RESERVE: Micros = Micros(100_000);

/// A request to shut down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownSignal {
    /// Time at which the process read the signal.
    pub read_at: Time,
    /// Length of the pause of the process that ended when it read the signal. The signal may have been sent at any time of
    /// the pause.
    pub paused: Micros,
}

impl ShutdownSignal {
    /// Creates a signal that was read within [`MAX_STALL`] of being sent.
    pub fn read_at(read_at: Time) -> Self {
        ShutdownSignal { read_at, paused: Micros::ZERO }
    }
}

/// The schedule of one shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownSchedule {
    signalled: Time,
    respond_by: Time,
}

impl ShutdownSchedule {
    /// Computes the schedule from the signal and the longest deadline of the settings at that time. An operator may shorten
    /// the shutdown: `operator_limit` counts from the time at which connections are no longer accepted.
    pub fn new(signal: ShutdownSignal, longest_deadline: Micros, operator_limit: Option<Micros>) -> Self {
        let respond_by = |sent_at: Time| {
            let killed_at = sent_at + longest_deadline.min(MAX_PLATFORM_DEADLINE) + PLATFORM_KILL_MARGIN;
            killed_at - MAX_STALL - MAX_STALL - WRITE_RESERVE
        };
        let signalled = signal.read_at;
        // The signal may have been sent at the start of the pause, or at its end: then new connections still arrive.
        let earliest_sent = signalled - signal.paused.saturating_sub(MAX_STALL);
        let accept_until = respond_by(signalled).min(signalled + ACCEPT_TIMEOUT);
        let platform = respond_by(earliest_sent).max(accept_until);
        let operator = operator_limit.map_or(platform, |limit| signalled + ACCEPT_TIMEOUT + limit);
        ShutdownSchedule { signalled, respond_by: platform.min(operator) }
    }

    /// The time at which the signal was read.
    pub fn signalled(&self) -> Time {
        self.signalled
    }

    /// The time until which connections are accepted.
    pub fn accept_until(&self) -> Time {
        (self.signalled + ACCEPT_TIMEOUT).min(self.exit_by())
    }

    /// The time at which the responses to all accepted requests are due; later requests are rejected at once.
    pub fn respond_by(&self) -> Time {
        self.respond_by
    }

    /// The latest time at which the process exits.
    pub fn exit_by(&self) -> Time {
        self.respond_by + EXIT_RESERVE
    }
}
