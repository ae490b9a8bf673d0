//! The periodic tick, which does the work that no event triggers.

use super::tuning::*;
use crate::api::*;
use crate::state::*;

/// Lower bound of the median latency, as a fraction of the objective.
const MIN_MEDIAN_LATENCY: f64 = 0.01;

impl Balancer {
    pub(super) fn set_tick(&mut self, now: Time, delay: Micros, actions: &mut Vec<Action>) {
        self.next_tick = now + delay;
        actions.push(Action::SetTimer { at: self.next_tick, timer: TICK_TIMER });
    }

    /// Retries a failed watch, updates the values derived from the statistics, handles overdue attempts and drains the
    /// queue. A timer that fires before the next tick is due belongs to an earlier schedule and is ignored.
    pub(super) fn on_tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now < self.next_tick {
            return;
        }
        if self.watch.retry_at.is_some_and(|at| now >= at) {
            (self.watch.retry_at, self.watch.started_at) = (None, now);
            actions.push(Action::Watch { active: true });
        }
        self.update_median_latency();
        self.update_slow_start(now);
        self.update_protected_classes();
        self.handle_overdue_attempts(now, actions);
        self.drain_queue(now, actions);
        let interval = if self.queue.is_empty() { IDLE_TICK_INTERVAL } else { BUSY_TICK_INTERVAL };
        self.set_tick(now, interval, actions);
    }

    fn update_median_latency(&mut self) {
        let is_measured = |server: &&Server| server.endpoint.status == Status::Serving && server.samples > 0;
        let latencies = self.servers.iter().filter(is_measured).map(|server| server.latency);
        self.median_latency = median(latencies).unwrap_or(self.median_latency).max(MIN_MEDIAN_LATENCY);
    }
}
