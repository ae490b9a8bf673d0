//! Measures how late the event loop woke, and for how much of that time the process was not running.
//!
//! The loop records when it has to wake ([`WakeDelays::on_sleep`]) and that it woke ([`WakeDelays::on_wake`]). The part of a
//! delay in which the loop's thread used no processor time is a pause: the process was stopped, or the machine had no
//! processor for it. The rest is the process's own work.
//!
//! A pause is measured from the time at which the loop was due to wake, so the loop has to wake at short intervals.

use bellcroft_balancer::{Micros, Time};
use std::collections::VecDeque;

/// Number of pauses that are kept.
const MAX_PAUSES: usize = 8;
/// Shortest delay that counts as a pause; shorter ones are usual scheduling delays.
const MIN_PAUSE: Micros = Micros(1_000);
/// Time after the end of a pause within which this process learns what happened during the pause.
const MAX_LATEST_PAUSE_AGE: Micros = Micros(20_000);
/// Time for which a sample of the processor time is reused: reading the processor time is a system call.
const SAMPLE_INTERVAL: Micros = Micros(5_000);

/// A reading of the processor time that the loop's thread has used.
#[derive(Debug, Clone, Copy)]
struct ProcessorSample {
    at: Time,
    used: Micros,
}

/// A late wake of the loop.
#[derive(Debug, Clone, Copy)]
struct Pause {
    due_at: Time,
    woke_at: Time,
    /// Time between `due_at` and `woke_at` in which the thread used no processor.
    idle: Micros,
}

impl Pause {
    /// The length of the pause between `from` and `until`.
    fn within(&self, from: Time, until: Time) -> Micros {
        self.woke_at.min(until).since(self.due_at.max(from)).min(self.idle)
    }
}

/// Recent late wakes of an event loop.
#[derive(Debug, Default)]
pub struct WakeDelays {
    /// Time at which the sleeping loop has to wake; `None` while the loop is running.
    due_at: Option<Time>,
    sample: Option<ProcessorSample>,
    /// The newest pause comes first.
    pauses: VecDeque<Pause>,
}

impl WakeDelays {
    /// Records that the loop starts to sleep and has to wake at `due_at`. `processor_time` reads the processor time that the
    /// loop's thread has used.
    pub fn on_sleep(&mut self, now: Time, due_at: Time, processor_time: impl FnOnce() -> Micros) {
        self.due_at = Some(due_at);
        if self.sample.is_none_or(|sample| now.since(sample.at) >= SAMPLE_INTERVAL) {
            self.sample = Some(ProcessorSample { at: now, used: processor_time() });
        }
    }

    /// Records that the loop woke.
    pub fn on_wake(&mut self, now: Time, processor_time: impl FnOnce() -> Micros) {
        let pause = self.current_pause(now, processor_time);
        self.due_at = None;
        if let Some(pause) = pause.filter(|pause| pause.idle >= MIN_PAUSE) {
            self.pauses.truncate(MAX_PAUSES - 1);
            self.pauses.push_front(pause);
        }
    }

    /// The total length of the pauses between `from` and now that late wakes reveal. A loop that is due and has not woken
    /// counts as paused.
    pub fn paused_since(&self, from: Time, now: Time, processor_time: impl FnOnce() -> Micros) -> Micros {
        let pauses = self.current_pause(now, processor_time).into_iter().chain(self.pauses.iter().copied());
        Micros(pauses.map(|pause| pause.within(from, now).0).sum())
    }

    /// The length of the pause that has just ended; zero if there is none.
    pub fn latest_pause(&self, now: Time, processor_time: impl FnOnce() -> Micros) -> Micros {
        let pause = self.current_pause(now, processor_time).or_else(|| self.pauses.front().copied());
        pause
            .filter(|pause| now.since(pause.woke_at) < MAX_LATEST_PAUSE_AGE)
            .map_or(Micros::ZERO, |pause| pause.idle)
    }

    /// The pause that ends now, if the loop is late. Work done between the sample and the due time counts as work after the
    /// due time, so a pause is never overestimated.
    fn current_pause(&self, now: Time, processor_time: impl FnOnce() -> Micros) -> Option<Pause> {
        let due_at = self.due_at.filter(|due_at| now.since(*due_at) >= MIN_PAUSE)?;
        let worked = processor_time().saturating_sub(self.sample?.used);
        Some(Pause { due_at, woke_at: now, idle: now.since(due_at).saturating_sub(worked) })
    }
}
