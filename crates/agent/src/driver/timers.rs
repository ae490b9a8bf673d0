//! The balancer's timers, the periodic closing of idle connections, and the deferral of decisions after a stall.

use super::{duration, Driver, State};
use bellcroft_agent_core::stall::{StallDetector, LIST_TIMEOUT};
use bellcroft_balancer::{Event, Micros, Time, TimerId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::warn;

/// Interval between two sweeps of idle connections to servers. Idle connections expire after whole seconds, so a
/// shorter interval is not needed.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// The CPU time that this thread has used.
fn thread_cpu_time() -> Micros {
    let used = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Micros(used.tv_sec as u64 * 1_000_000 + used.tv_nsec as u64 / 1_000)
}

/// The balancer's timers, ordered by time and then by id.
#[derive(Default)]
pub(super) struct TimerQueue {
    timers: BinaryHeap<Reverse<(Time, u64)>>,
}

impl TimerQueue {
    /// Adds a timer; returns whether it is now the earliest one.
    #[must_use = "the driver's task must be woken when the earliest timer changes"]
    pub(super) fn set(&mut self, at: Time, timer: TimerId) -> bool {
        let is_earliest = self.next_due().is_none_or(|next| at < next);
        self.timers.push(Reverse((at, timer.0)));
        is_earliest
    }

    /// The time of the earliest timer.
    fn next_due(&self) -> Option<Time> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes and returns the earliest timer, if it is due.
    fn pop_due(&mut self, now: Time) -> Option<TimerId> {
        self.next_due().filter(|at| *at <= now)?;
        self.timers.pop().map(|Reverse((_, timer))| TimerId(timer))
    }
}

impl Driver {
    /// Fires the balancer's timers and closes expired idle connections. Never returns.
    pub async fn run(self: Rc<Self>) {
        let mut next_sweep = Instant::now() + IDLE_SWEEP_INTERVAL;
        loop {
            let due = self.next_wake(next_sweep);
            self.wake_delays.borrow_mut().on_sleep(self.clock.now(), self.clock.at(due), thread_cpu_time);
            tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                () = self.wake.notified() => {}
            }
            self.wake_delays.borrow_mut().on_wake(self.clock.now(), thread_cpu_time);
            self.queue_due_timers();
            self.pump();
            if Instant::now() >= next_sweep {
                self.upstream.close_expired_idle();
                next_sweep = Instant::now() + IDLE_SWEEP_INTERVAL;
            }
        }
    }

    /// The length of the pause of this process that has just ended; zero if there was none.
    pub fn latest_pause(&self) -> Micros {
        self.wake_delays.borrow().latest_pause(self.clock.now(), thread_cpu_time)
    }

    /// Checks whether a response is later than its client's deadline permits, and logs it if so.
    pub fn on_response_decided(&self, request_id: &str, connection: u64, client_deadline: Instant) {
        let (now, deadline) = (self.clock.now(), self.clock.at(client_deadline));
        if now <= deadline {
            return;
        }
        let paused = self.wake_delays.borrow().paused_since(deadline, now, thread_cpu_time);
        if let Err(late) = self.guard.borrow_mut().on_response(now, deadline, paused) {
            self.request_log.on_late_response(request_id, connection, late);
        }
    }

    /// The next time at which the driver's task has to wake, at the latest for the next sweep. While decisions are
    /// deferred it is the end of the deferral, since timers are not handled earlier; otherwise it is the time of the
    /// earliest timer.
    fn next_wake(&self, next_sweep: Instant) -> Instant {
        let next_timer = self.state.borrow().timers.next_due();
        let deferred_until =
            self.stall_detector.get().and_then(|detector| detector.deferred_until(self.clock.now()));
        let due = deferred_until.or(next_timer).map(|at| self.clock.instant(at));
        due.map_or(next_sweep, |due| due.min(next_sweep))
    }

    fn queue_due_timers(&self) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        while let Some(timer) = state.timers.pop_due(now) {
            state.events.push_back(Event::Timer(timer));
        }
    }

    /// Detects a stall of this process, and returns whether decisions are deferred until a new endpoint list arrives.
    /// Called before any event is handled: after a stall the kernel may deliver a buffered request before a timer
    /// fires.
    pub(super) fn defers_decisions(self: &Rc<Self>, state: &mut State) -> bool {
        let Some(mut detector) = self.stall_detector.get() else { return false };
        let now = self.clock.now();
        if detector.heartbeat(now) {
            let max_wait = duration(LIST_TIMEOUT);
            warn!(?max_wait, "process stood still: decisions deferred until a new endpoint list");
            state.discovery.cancel();
            let address = state.discovery.address();
            self.restart_discovery(state, address);
            self.wake.notify_one();
        }
        self.stall_detector.set(Some(detector));
        detector.deferred_until(now).is_some()
    }

    /// Ends the deferral of decisions, as an endpoint list has arrived.
    pub(super) fn end_deferral(&self) {
        if let Some(mut detector) = self.stall_detector.get() {
            detector.on_endpoint_list();
            self.stall_detector.set(Some(detector));
        }
    }

    pub(super) fn start_stall_detection(&self) {
        self.stall_detector.set(Some(StallDetector::new(self.clock.now())));
    }

    /// The number of stalls of this process; always 0 without configured peers, where stalls are not detected.
    pub fn stalls(&self) -> u64 {
        self.stall_detector.get().map_or(0, |detector| detector.stalls())
    }
}
