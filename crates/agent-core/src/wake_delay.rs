//! How late the event loop woke, and how much of that time the process was not running.
//!
//! The loop says when it has to wake ([`WakeDelays::on_sleep`]) and that it woke ([`WakeDelays::on_wake`]). Of a wake that is
//! late, the part in which the loop's thread used no processor is a pause: the process was stopped, or the machine had no
//! processor for it. The rest is the process's own work.
//!
//! The loop has to wake at short intervals for a pause to be seen from near its beginning.

use bellcroft_balancer::{Micros, Time};
use std::collections::VecDeque;

/// The number of pauses that are remembered.
const MAX_PAUSES: usize = 8;
/// Shorter pauses are those of any scheduler.
const MIN_PAUSE: Micros = Micros(1_000);
/// After a pause, what happened during it is known within this time.
const JUST_ENDED: Micros = Micros(20_000);
/// A sample of the processor time is used again for so long: reading it is a system call.
const SAMPLE_INTERVAL: Micros = Micros(5_000);

/// A reading of the processor time that the loop's thread has used.
#[derive(Debug, Clone, Copy)]
struct ProcessorSample {
    at: Time,
    used: Micros,
}

/// A wake that was late.
#[derive(Debug, Clone, Copy)]
struct Pause {
    due: Time,
    woke: Time,
    /// The time within it in which the thread used no processor.
    idle: Micros,
}

impl Pause {
    fn within(&self, from: Time, until: Time) -> Micros {
        self.woke.min(until).since(self.due.max(from)).min(self.idle)
    }
}

/// The late wakes of an event loop.
#[derive(Debug, Default)]
pub struct WakeDelays {
    due: Option<Time>,
    sample: Option<ProcessorSample>,
    pauses: VecDeque<Pause>,
}

impl WakeDelays {
    /// The loop sleeps from now on, and has to wake at `due`. `processor_time` reads what its thread has used.
    pub fn on_sleep(&mut self, now: Time, due: Time, processor_time: impl FnOnce() -> Micros) {
        self.due = Some(due);
        if self.sample.is_none_or(|sample| now.since(sample.at) >= SAMPLE_INTERVAL) {
            self.sample = Some(ProcessorSample { at: now, used: processor_time() });
        }
    }

    /// The loop woke.
    pub fn on_wake(&mut self, now: Time, processor_time: impl FnOnce() -> Micros) {
        let pause = self.current(now, processor_time);
        self.due = None;
        if let Some(pause) = pause.filter(|pause| pause.idle >= MIN_PAUSE) {
            self.pauses.truncate(MAX_PAUSES - 1);
            self.pauses.push_front(pause);
        }
    }

    /// How long the process was paused between `from` and now, as far as late wakes show it. A loop that has not woken
    /// although it is due is paused at present.
    pub fn paused_since(&self, from: Time, now: Time, processor_time: impl FnOnce() -> Micros) -> Micros {
        let pauses = self.current(now, processor_time).into_iter().chain(self.pauses.iter().copied());
        Micros(pauses.map(|pause| pause.within(from, now).0).sum())
    }

    /// How long the pause lasted that ended just now.
    pub fn latest_pause(&self, now: Time, processor_time: impl FnOnce() -> Micros) -> Micros {
        let pause = self.current(now, processor_time).or_else(|| self.pauses.front().copied());
        pause.filter(|pause| now.since(pause.woke) < JUST_ENDED).map_or(Micros::ZERO, |pause| pause.idle)
    }

    /// The pause that ends now, if the loop is late. Work that was done between the sample and the due time counts as work
    /// of the late wake, so the pause is never overestimated.
    fn current(&self, now: Time, processor_time: impl FnOnce() -> Micros) -> Option<Pause> {
        let due = self.due.filter(|due| now.since(*due) >= MIN_PAUSE)?;
        let worked = processor_time().saturating_sub(self.sample?.used);
        Some(Pause { due, woke: now, idle: now.since(due).saturating_sub(worked) })
    }
}
