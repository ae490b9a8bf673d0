//! The times of a graceful shutdown.
//!
//! The platform sends SIGTERM, and SIGKILL no sooner than the longest deadline (3 s at most) and 0.7 s more after it. The
//! process reads the signal up to [`MAX_STALL`] after it was sent, or later where it was paused for longer; a response may be
//! written [`MAX_STALL`] after it was due.

use bellcroft_balancer::{Micros, Time};

/// The longest request deadline that the platform waits for.
pub const MAX_PLATFORM_DEADLINE: Micros = Micros(3_000_000);
/// The time that the platform waits beyond the longest deadline.
pub const PLATFORM_KILL_MARGIN: Micros = Micros(700_000);
/// The longest pause of this process between reading its clock and writing.
pub const MAX_STALL: Micros = Micros(150_000);
/// The time for writing the responses to all clients.
pub const WRITE_RESERVE: Micros = Micros(50_000);
/// The time in which connections are accepted: new ones arrive for 0.4 s after SIGTERM.
pub const ACCEPT_TIMEOUT: Micros = Micros(650_000);
/// The time between the last responses and the exit, in which requests are rejected at once.
pub const EXIT_RESERVE: Micros = Micros(100_000);

/// A request to shut down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownSignal {
    /// When the process read it.
    pub read_at: Time,
    /// The pause of the process that ended as it read the signal; the signal may have been sent at its beginning.
    pub paused: Micros,
}

impl ShutdownSignal {
    /// A signal that was read at once, or within [`MAX_STALL`].
    pub fn read_at(read_at: Time) -> Self {
        ShutdownSignal { read_at, paused: Micros::ZERO }
    }
}

/// The times of one shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownSchedule {
    signalled: Time,
    respond_by: Time,
}

impl ShutdownSchedule {
    /// The schedule after a signal, with the longest deadline of the settings at that time. An operator may shorten the
    /// shutdown: `operator_limit` counts from the end of accepting.
    pub fn new(signal: ShutdownSignal, longest_deadline: Micros, operator_limit: Option<Micros>) -> Self {
        let respond_by = |sent_at: Time| {
            let killed_at = sent_at + longest_deadline.min(MAX_PLATFORM_DEADLINE) + PLATFORM_KILL_MARGIN;
            killed_at - MAX_STALL - MAX_STALL - WRITE_RESERVE
        };
        let signalled = signal.read_at;
        // The signal may have been sent at the beginning of the pause, or at its end: then new connections still arrive.
        let earliest_sent = signalled - signal.paused.saturating_sub(MAX_STALL);
        let accepted = respond_by(signalled).min(signalled + ACCEPT_TIMEOUT);
        let platform = respond_by(earliest_sent).max(accepted);
        let operator = operator_limit.map_or(platform, |limit| signalled + ACCEPT_TIMEOUT + limit);
        ShutdownSchedule { signalled, respond_by: platform.min(operator) }
    }

    /// When the signal was read.
    pub fn signalled(&self) -> Time {
        self.signalled
    }

    /// The end of accepting connections.
    pub fn accept_until(&self) -> Time {
        (self.signalled + ACCEPT_TIMEOUT).min(self.exit_by())
    }

    /// When the responses to all accepted requests are due; later requests are rejected at once.
    pub fn respond_by(&self) -> Time {
        self.respond_by
    }

    /// When the process exits at the latest.
    pub fn exit_by(&self) -> Time {
        self.respond_by + EXIT_RESERVE
    }
}
