//! Sends attempts to the selected server and records them.

use super::selection::Selection;
use super::tuning::*;
use crate::api::*;
use crate::state::*;

/// Longest stall of the process, between reading the clock and writing to the connection, that the drain grace period must
/// cover.
const MAX_STALL: Micros = Micros(150_000);
/// Time constant of the sums of sent work, as a fraction of [`Settings::overload_tolerance`].
const SENT_WORK_TIME_CONSTANT: f64 = 0.5;

/// Number of attempts in flight under each concurrency limit, indexed by the limit's id.
#[derive(Default)]
pub(crate) struct ConcurrencyUsage(Vec<u32>);

impl ConcurrencyUsage {
    fn acquire(&mut self, limits: &Limits) {
        for limit in &limits.concurrency_limits {
            let slot = limit.id as usize;
            self.0.resize(self.0.len().max(slot + 1), 0);
            self.0[slot] += 1;
        }
    }

    pub(super) fn release(&mut self, limits: &Limits) {
        for limit in &limits.concurrency_limits {
            self.0[limit.id as usize] -= 1;
        }
    }

    /// Whether all limits admit another attempt.
    pub(super) fn has_capacity(&self, limits: &Limits) -> bool {
        let is_below = |limit: &ConcurrencyLimit| {
            self.0.get(limit.id as usize).is_none_or(|in_flight| *in_flight < limit.max_in_flight)
        };
        limits.concurrency_limits.iter().all(is_below)
    }
}

impl Balancer {
    pub(super) fn send(
        &mut self,
        now: Time,
        selection: &Selection,
        server: usize,
        actions: &mut Vec<Action>,
    ) {
        let id = selection.id;
        let Some(pending) = self.requests.get(&id) else { return };
        let timeout_at = pending.deadline.min(now + pending.request.limits().attempt_timeout);
        let write_by = self.write_deadline(now, pending, timeout_at);
        let attempt = AttemptNo(pending.attempts.len() as u32);
        self.concurrency.acquire(pending.request.limits());
        if let (false, Some(delay)) = (selection.is_hedge, pending.request.hedge_after) {
            self.hedge_schedule.insert((now + delay, id));
            actions.push(Action::SetTimer { at: now + delay, timer: HEDGE_TIMER });
        }
        self.record_sent_work(now, server, selection.work_ms);
        self.record_attempt(now, AttemptKey { request: id, attempt }, server);
        actions.push(Action::Send {
            request: id,
            attempt,
            server: self.servers[server].endpoint.server,
            timeout_at,
            write_by,
        });
    }

    /// Latest time for writing the first byte of an attempt. It lies within the connect timeout, the drain grace period and
    /// the dedup window, which begins with the first attempt that may have run.
    fn write_deadline(&self, now: Time, pending: &PendingRequest, timeout_at: Time) -> Time {
        let time_to_objective = pending.objective_deadline.since(now);
        let connect_timeout = (time_to_objective * CONNECT_TIMEOUT_FRACTION).max(MIN_CONNECT_TIMEOUT);
        let write_by = timeout_at.min(now + self.max_start_delay().min(connect_timeout));
        let retry_safety = self.settings.classes[pending.request.class.0].retry_safety;
        match (pending.first_that_may_have_run(), retry_safety) {
            (Some(first), RetrySafety::Deduplicated { window, .. }) => write_by.min(first.sent_at + window),
            _ => write_by,
        }
    }

    /// Maximum delay between the decision to send an attempt and its first byte. The server may start draining right after
    /// the decision and the process may stall before the write; the drain grace period must cover both.
    fn max_start_delay(&self) -> Micros {
        let grace = self.settings.drain_grace_period;
        grace.saturating_sub(MAX_STALL).max(MIN_CONNECT_TIMEOUT.min(grace))
    }

    fn record_sent_work(&mut self, now: Time, server: usize, work_ms: f64) {
        let is_warm = self.guaranteed_capacity(&self.servers[server], now) >= 1.0;
        let time_constant_ms = SENT_WORK_TIME_CONSTANT * self.settings.overload_tolerance.ms();
        let server = &mut self.servers[server];
        server.sends_since_report += 1;
        if is_warm {
            self.slow_start.record_warm_work(now, time_constant_ms, work_ms);
        } else {
            server.slow_start_work.add(now, time_constant_ms, work_ms);
        }
    }

    fn record_attempt(&mut self, now: Time, key: AttemptKey, index: usize) {
        let Some(pending) = self.requests.get_mut(&key.request) else { return };
        let server = &mut self.servers[index];
        pending.queued_since = None;
        pending.attempts.push(Attempt {
            server: index,
            zone: server.endpoint.zone,
            dedup_group: server.endpoint.dedup_group,
            sent_at: now,
            state: AttemptState::InFlight,
        });
        let is_streaming = pending.request.streaming;
        server.in_flight += u32::from(!is_streaming);
        if let Some(ejection) = &mut server.ejection {
            ejection.trial_in_flight = true;
        }
        let attempt = InFlightAttempt {
            server: index,
            class: pending.request.class.0,
            sent_at: now,
            is_trial: server.ejection.is_some(),
            is_retry: key.attempt.0 > 0,
            counted_as_late: false,
            is_streaming,
            limits: pending.request.limits.clone(),
        };
        self.in_flight.insert(key, attempt);
    }
}
