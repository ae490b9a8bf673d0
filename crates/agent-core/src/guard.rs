//! The one guard that is asked before anything is sent, repeated or closed and before the process ends, and that is told
//! what was done.
//!
//! Every limit is derived here, from the client's deadline, the time by which a server may be sent anything new, the effect
//! of the request, and the end of the process; the earliest one binds. What happens against a limit all the same is counted
//! as a [`Violation`].

use crate::shutdown::ShutdownSchedule;
use bellcroft_balancer::{DedupScope, Micros, Outcome, RetrySafety, Time};

/// What sockets and clocks may add to a limit before it counts as broken; the platform's own measure.
const SLACK: Micros = Micros(50_000);

/// When an attempt may begin and when it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptWindow<T> {
    /// Its first byte is written by then, or none is.
    pub start_by: T,
    /// It ends by then.
    pub end_by: T,
}

impl<T: Copy + Ord> AttemptWindow<T> {
    /// Whether its first byte may be written now. A process that was held up may ask after its end.
    pub fn may_start(&self, now: T) -> bool {
        now <= self.start_by && now <= self.end_by
    }
}

/// A server as far as repeats are concerned: the groups that it drops repeats with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerGroups {
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
}

/// The attempts of one request that may have run, or still may, as far as they bind later ones.
#[derive(Debug, Clone, Default)]
pub struct AttemptHistory {
    effect: RetrySafety,
    attempts: Vec<PriorAttempt>,
}

#[derive(Debug, Clone, Copy)]
struct PriorAttempt {
    number: u32,
    sent: Time,
    groups: ServerGroups,
}

impl AttemptHistory {
    /// Of a request with this effect that has not been sent.
    pub fn new(effect: RetrySafety) -> Self {
        AttemptHistory { effect, attempts: Vec::new() }
    }

    /// An attempt goes out.
    pub fn on_sent(&mut self, number: u32, sent: Time, groups: ServerGroups) {
        if self.effect != RetrySafety::Idempotent {
            self.attempts.push(PriorAttempt { number, sent, groups });
        }
    }

    /// An attempt is over. One that never ran binds no later one.
    pub fn on_outcome(&mut self, number: u32, outcome: Outcome) {
        if outcome.never_ran() {
            self.attempts.retain(|attempt| attempt.number != number);
        }
    }
}

/// Why nothing is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendDenied {
    /// The request could run twice.
    MayRunTwice,
    /// Servers may no longer drop the repeat.
    OutsideDedupWindow,
    /// The server does not know what the earlier one has run.
    OutsideDedupGroup,
    /// The process ends before there could be an answer.
    ProcessEnding,
}

/// What a client's connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// Nothing has come over it yet.
    Unused,
    /// A request's head is on its way.
    ReceivingHead,
    /// Its body is.
    ReceivingBody,
    /// A request is complete and has no answer yet.
    Pending,
    /// All that came has its answer.
    Idle,
}

/// Something that was done against a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// An answer was decided after its client's time.
    LateAnswer,
    /// The decisions wanted to send what could have run twice; it was not sent.
    UnsafeRepeat,
    /// A connection with a complete request was closed without an answer.
    ClosedWhilePending,
    /// The process ended with requests that had no answer.
    EndedWhilePending,
}

impl Violation {
    /// All of them, in their order.
    pub const ALL: [Violation; 4] = [
        Violation::LateAnswer,
        Violation::UnsafeRepeat,
        Violation::ClosedWhilePending,
        Violation::EndedWhilePending,
    ];

    /// Its name in the status and in the log.
    pub fn name(self) -> &'static str {
        match self {
            Violation::LateAnswer => "late_answer",
            Violation::UnsafeRepeat => "unsafe_repeat",
            Violation::ClosedWhilePending => "closed_while_pending",
            Violation::EndedWhilePending => "ended_while_pending",
        }
    }
}

/// The guard of one process.
#[derive(Debug, Default)]
pub struct Guard {
    shutdown: Option<ShutdownSchedule>,
    violations: [u64; Violation::ALL.len()],
}

impl Guard {
    /// The process has been told to end. A second time changes nothing.
    pub fn begin_shutdown(&mut self, schedule: ShutdownSchedule) {
        self.shutdown.get_or_insert(schedule);
    }

    /// The times of the shutdown, once it has begun.
    pub fn shutdown(&self) -> Option<ShutdownSchedule> {
        self.shutdown
    }

    /// When a request has its answer: by its own deadline, and before the process ends.
    pub fn answer_by(&self, deadline: Time) -> Time {
        self.shutdown.map_or(deadline, |shutdown| deadline.min(shutdown.answer_by()))
    }

    /// When an attempt may begin, and when it ends.
    pub fn window(&self, start_by: Time, end_by: Time) -> AttemptWindow<Time> {
        let end_by = self.answer_by(end_by);
        AttemptWindow { start_by: start_by.min(end_by), end_by }
    }

    /// Whether an attempt may go out to a server of these groups, after what went out before it.
    ///
    /// # Errors
    ///
    /// It must not; what the decisions should have known is counted.
    pub fn may_send(
        &mut self,
        now: Time,
        history: &AttemptHistory,
        groups: ServerGroups,
    ) -> Result<(), SendDenied> {
        if self.shutdown.is_some_and(|shutdown| now >= shutdown.answer_by()) {
            return Err(SendDenied::ProcessEnding);
        }
        let denial = |prior| may_repeat(now, history.effect, prior, groups).err();
        let denied = history.attempts.iter().find_map(denial);
        match denied {
            None => Ok(()),
            Some(denied) => {
                self.record(Violation::UnsafeRepeat);
                Err(denied)
            }
        }
    }

    /// Whether a client's connection may be closed as it is, with nothing lost.
    pub fn may_close(state: ConnectionState) -> bool {
        match state {
            ConnectionState::Unused | ConnectionState::Idle => true,
            ConnectionState::ReceivingHead | ConnectionState::ReceivingBody | ConnectionState::Pending => {
                false
            }
        }
    }

    /// Whether the process must end now, whatever still hangs.
    pub fn must_end(&self, now: Time) -> bool {
        self.shutdown.is_some_and(|shutdown| now >= shutdown.exit_by())
    }

    /// Whether requests that have no answer are given up now.
    pub fn must_answer_all(&self, now: Time) -> bool {
        self.shutdown.is_some_and(|shutdown| now >= shutdown.answer_by())
    }

    /// A request has its answer, and its client waits until `client_deadline`.
    pub fn on_answer(&mut self, now: Time, client_deadline: Time) {
        if now > client_deadline + SLACK {
            self.record(Violation::LateAnswer);
        }
    }

    /// This process closes a client's connection in this state.
    pub fn on_close(&mut self, state: ConnectionState) {
        if state == ConnectionState::Pending {
            self.record(Violation::ClosedWhilePending);
        }
    }

    /// The process ends with so many requests that have no answer.
    pub fn on_end(&mut self, pending: usize) {
        self.violations[Violation::EndedWhilePending as usize] += pending as u64;
    }

    /// What was done against the limits so far.
    pub fn violations(&self) -> impl Iterator<Item = (Violation, u64)> + '_ {
        Violation::ALL.into_iter().map(|violation| (violation, self.violations[violation as usize]))
    }

    fn record(&mut self, violation: Violation) {
        self.violations[violation as usize] += 1;
    }
}

/// Whether a request may go out though an earlier attempt of it may have run.
fn may_repeat(
    now: Time,
    effect: RetrySafety,
    prior: &PriorAttempt,
    groups: ServerGroups,
) -> Result<(), SendDenied> {
    match effect {
        RetrySafety::Idempotent => Ok(()),
        RetrySafety::AtMostOnce => Err(SendDenied::MayRunTwice),
        RetrySafety::Deduplicated { window, .. } if now > prior.sent + window => {
            Err(SendDenied::OutsideDedupWindow)
        }
        RetrySafety::Deduplicated { scope: group, .. } => {
            let shared = match group {
                DedupScope::All => true,
                DedupScope::Zone => groups.zone == prior.groups.zone,
                DedupScope::Group => groups.cell == prior.groups.cell,
            };
            if shared {
                Ok(())
            } else {
                Err(SendDenied::OutsideDedupGroup)
            }
        }
    }
}
