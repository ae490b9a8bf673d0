//! The guard: checks every send, retry, close and exit against the limits, and counts violations.
//!
//! All limits are derived here: from the client's deadline, the latest time for a new attempt to a server, the retry safety
//! of the request, and the shutdown of the process. The earliest limit applies. An action that exceeds a limit is counted as
//! a [`Violation`].

use crate::shutdown::{ShutdownSchedule, MAX_STALL};
use bellcroft_balancer::{DedupScope, Micros, Outcome, RetrySafety, Time};

/// Delay of a response after its deadline that is no violation: the platform's own allowance for sockets and clocks.
const RESPONSE_SLACK: Micros = Micros(50_000);

/// The latest start and the end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptWindow<T> {
    /// Latest time for writing the attempt's first byte.
    pub start_by: T,
    /// Time at which the attempt is finished at the latest.
    pub end_by: T,
}

impl<T: Copy + Ord> AttemptWindow<T> {
    /// Whether the first byte may be written now. After a stall, `now` may be later than the attempt's end.
    pub fn may_start(&self, now: T) -> bool {
        now <= self.start_by && now <= self.end_by
    }
}

/// The groups of a server. The servers of a group may share their deduplication state, by the retry safety of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerGroups {
    /// Number of the server's zone.
    pub zone: u32,
    /// Number of the server's dedup group, assigned by discovery.
    pub dedup_group: u32,
}

/// The attempts of one request that may have been executed, or may still be.
#[derive(Debug, Clone, Default)]
pub struct AttemptHistory {
    retry_safety: RetrySafety,
    attempts: Vec<PriorAttempt>,
}

#[derive(Debug, Clone, Copy)]
struct PriorAttempt {
    number: u32,
    sent_at: Time,
    groups: ServerGroups,
}

impl AttemptHistory {
    /// Creates the history of a request that has not been sent.
    pub fn new(retry_safety: RetrySafety) -> Self {
        AttemptHistory { retry_safety, attempts: Vec::new() }
    }

    /// Records that an attempt is sent.
    pub fn on_sent(&mut self, number: u32, sent_at: Time, groups: ServerGroups) {
        if self.retry_safety != RetrySafety::Idempotent {
            self.attempts.push(PriorAttempt { number, sent_at, groups });
        }
    }

    /// Whether an attempt may have been executed, or may still be. Not known for a request that can be executed any number of
    /// times.
    pub fn may_have_run(&self) -> bool {
        !self.attempts.is_empty()
    }

    /// Records the outcome of an attempt. An attempt that was never executed does not restrict later ones.
    pub fn on_outcome(&mut self, number: u32, outcome: Outcome) {
        if outcome.never_ran() {
            self.attempts.retain(|attempt| attempt.number != number);
        }
    }
}

/// Why an attempt is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendDenied {
    /// The request may be executed only once, and an earlier attempt may have been executed.
    MayRunTwice,
    /// The dedup window, in which servers recognise a repeat, has expired.
    OutsideDedupWindow,
    /// An earlier attempt was sent to another dedup group, whose requests this server does not recognise.
    OutsideDedupGroup,
    /// The process exits before a response could arrive.
    ProcessEnding,
}

/// The state of a client's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// No byte has been received.
    Unused,
    /// A request's head is being received.
    ReceivingHead,
    /// A request's body is being received.
    ReceivingBody,
    /// A complete request has been received, and its response is not complete.
    Pending,
    /// All requests have their complete responses.
    Idle,
}

/// Error of a response that was decided too late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LateResponse {
    /// Time since the client's deadline.
    pub late_by: Micros,
    /// Time for which the process was paused since the client's deadline.
    pub paused: Micros,
}

/// A violated limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A response was decided so late after its client's deadline that no pause of the process explains the delay.
    LateAnswer,
    /// The balancer scheduled an attempt that could have executed a request twice; the guard denied it.
    UnsafeRepeat,
    /// A connection with a pending request was closed without a response.
    ClosedWhilePending,
    /// The process exited with pending requests.
    EndedWhilePending,
}

impl Violation {
    /// All violations, in the order of their counters.
    pub const ALL: [Violation; 4] = [
        Violation::LateAnswer,
        Violation::UnsafeRepeat,
        Violation::ClosedWhilePending,
        Violation::EndedWhilePending,
    ];

    /// The name of the violation in the status and in the log.
    pub fn name(self) -> &'static str {
        match self {
            Violation::LateAnswer => "late_answer",
            Violation::UnsafeRepeat => "unsafe_repeat",
            Violation::ClosedWhilePending => "closed_while_pending",
            Violation::EndedWhilePending => "ended_while_pending",
        }
    }
}

/// The guard of one process. During a shutdown it applies a [`ShutdownSchedule`] in addition.
#[derive(Debug, Default)]
pub struct Guard {
    shutdown: Option<ShutdownSchedule>,
    violations: [u64; Violation::ALL.len()],
}

impl Guard {
    /// Starts the shutdown of the process. If it has been started before, the first schedule remains in effect.
    pub fn begin_shutdown(&mut self, schedule: ShutdownSchedule) {
        self.shutdown.get_or_insert(schedule);
    }

    /// The schedule of the shutdown, once it has begun.
    pub fn shutdown(&self) -> Option<ShutdownSchedule> {
        self.shutdown
    }

    /// The time at which a response is due: its deadline, or the earlier time that the shutdown sets.
    pub fn respond_by(&self, deadline: Time) -> Time {
        self.shutdown.map_or(deadline, |shutdown| deadline.min(shutdown.respond_by()))
    }

    /// Limits the window of an attempt by the shutdown.
    pub fn window(&self, start_by: Time, end_by: Time) -> AttemptWindow<Time> {
        let end_by = self.respond_by(end_by);
        AttemptWindow { start_by: start_by.min(end_by), end_by }
    }

    /// Checks whether an attempt may be sent to a server of these groups, after the earlier attempts of its request.
    ///
    /// # Errors
    ///
    /// Returns the reason why the attempt must not be sent. Unless the process is shutting down, this counts as a violation
    /// by the balancer.
    pub fn may_send(
        &mut self,
        now: Time,
        history: &AttemptHistory,
        groups: ServerGroups,
    ) -> Result<(), SendDenied> {
        if self.shutdown.is_some_and(|shutdown| now >= shutdown.respond_by()) {
            return Err(SendDenied::ProcessEnding);
        }
        let denial = |prior| may_repeat(now, history.retry_safety, prior, groups).err();
        let denied = history.attempts.iter().find_map(denial);
        match denied {
            None => Ok(()),
            Some(denied) => {
                self.record(Violation::UnsafeRepeat);
                Err(denied)
            }
        }
    }

    /// Whether a client's connection can be closed without losing a request.
    pub fn may_close(state: ConnectionState) -> bool {
        match state {
            ConnectionState::Unused | ConnectionState::Idle => true,
            ConnectionState::ReceivingHead | ConnectionState::ReceivingBody | ConnectionState::Pending => {
                false
            }
        }
    }

    /// Whether the process must exit now, even if requests are pending.
    pub fn must_exit(&self, now: Time) -> bool {
        self.shutdown.is_some_and(|shutdown| now >= shutdown.exit_by())
    }

    /// Whether final responses must be sent for all pending requests now.
    pub fn must_respond_to_all(&self, now: Time) -> bool {
        self.shutdown.is_some_and(|shutdown| now >= shutdown.respond_by())
    }

    /// Records that a response has been decided. Its client waits until `client_deadline`; since then the process has been
    /// paused for `paused`. A pause of up to [`MAX_STALL`] extends the allowed delay.
    ///
    /// # Errors
    ///
    /// Returns [`LateResponse`] if the response is late, which counts as a violation.
    pub fn on_response(
        &mut self,
        now: Time,
        client_deadline: Time,
        paused: Micros,
    ) -> Result<(), LateResponse> {
        if now <= client_deadline + RESPONSE_SLACK + paused.min(MAX_STALL) {
            return Ok(());
        }
        self.record(Violation::LateAnswer);
        Err(LateResponse { late_by: now.since(client_deadline), paused })
    }

    /// Records that this process closes a client's connection in this state. Returns whether that is a violation.
    #[must_use = "a violation is logged"]
    pub fn on_close(&mut self, state: ConnectionState) -> bool {
        let is_violation = state == ConnectionState::Pending;
        if is_violation {
            self.record(Violation::ClosedWhilePending);
        }
        is_violation
    }

    /// Records that the process exits with this number of pending requests.
    pub fn on_exit(&mut self, pending: usize) {
        self.violations[Violation::EndedWhilePending as usize] += pending as u64;
    }

    /// The counts of violations so far.
    pub fn violations(&self) -> impl Iterator<Item = (Violation, u64)> + '_ {
        Violation::ALL.into_iter().map(|violation| (violation, self.violations[violation as usize]))
    }

    fn record(&mut self, violation: Violation) {
        self.violations[violation as usize] += 1;
    }
}

/// Checks whether a request may be sent although an earlier attempt may have been executed.
fn may_repeat(
    now: Time,
    retry_safety: RetrySafety,
    prior: &PriorAttempt,
    groups: ServerGroups,
) -> Result<(), SendDenied> {
    match retry_safety {
        RetrySafety::Idempotent => Ok(()),
        RetrySafety::AtMostOnce => Err(SendDenied::MayRunTwice),
        RetrySafety::Deduplicated { window, .. } if now > prior.sent_at + window => {
            Err(SendDenied::OutsideDedupWindow)
        }
        RetrySafety::Deduplicated { scope, .. } => {
            let is_recognised = match scope {
                DedupScope::All => true,
                DedupScope::Zone => groups.zone == prior.groups.zone,
                DedupScope::Group => groups.dedup_group == prior.groups.dedup_group,
            };
            if is_recognised {
                Ok(())
            } else {
                Err(SendDenied::OutsideDedupGroup)
            }
        }
    }
}
