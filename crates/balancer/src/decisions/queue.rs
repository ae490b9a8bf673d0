//! The queue of requests for which no server is available.

use super::tuning::*;
use crate::api::*;
use crate::state::*;

/// Maximum number of queued requests.
const MAX_QUEUED: usize = 500;
/// A queued request gets its final response when the time left to its objective falls below this multiple of the recent
/// latency of its class, or below [`MAX_LATENCY_MARGIN`] if that is less.
const LATENCY_MARGIN: f64 = 2.0;
/// Upper bound of the time left at which a queued request gets its final response, as a fraction of the latency objective.
const MAX_LATENCY_MARGIN: f64 = 0.7;

impl Balancer {
    /// Queues a request. If the queue is full, or one of the request's concurrency limits has its maximum number of queued
    /// requests, the request gets its final response instead.
    pub(super) fn enqueue(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id) else { return };
        let limits = &pending.request.limits().concurrency_limits;
        let is_full = |limit: &ConcurrencyLimit| self.queued_under(limit) >= limit.max_queued as usize;
        if self.queue.len() >= MAX_QUEUED || limits.iter().any(is_full) {
            self.give_final_response(now, id, actions);
            return;
        }
        self.queue.insert(0, id);
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.queued_since.get_or_insert(now);
        }
        // A pending tick is never postponed, or it would never fire while requests keep arriving just before it.
        if self.next_tick > now + BUSY_TICK_INTERVAL {
            self.set_tick(now, BUSY_TICK_INTERVAL, actions);
        }
    }

    /// The number of queued requests under a concurrency limit.
    fn queued_under(&self, limit: &ConcurrencyLimit) -> usize {
        let shares = |pending: &PendingRequest| {
            pending.request.limits().concurrency_limits.iter().any(|other| other.id == limit.id)
        };
        self.queue.iter().filter(|id| self.requests.get(id).is_some_and(shares)).count()
    }

    /// Sends the queued requests that can be sent, newest first, and gives the final response to those that can't get a
    /// response in time. In FIFO order each request would wait until it is nearly too late, and then be late.
    pub(super) fn drain_queue(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        let mut queue = std::mem::take(&mut self.queue);
        queue.sort_by_cached_key(|id| {
            self.requests
                .get(id)
                .map(|pending| (pending.over_quota, !self.classes[pending.request.class.0].is_protected))
        });
        queue.retain(|&id| {
            let Some(pending) = self.requests.get(&id) else { return false };
            if self.has_waited_too_long(now, pending) {
                self.give_final_response(now, id, actions);
                return false;
            }
            !self.try_send(now, id, actions)
        });
        self.queue = queue;
    }

    fn has_waited_too_long(&self, now: Time, pending: &PendingRequest) -> bool {
        let class = pending.request.class.0;
        let margin = (LATENCY_MARGIN * self.classes[class].recent_latency).min(MAX_LATENCY_MARGIN);
        let waited = pending.queued_since.map_or(Micros::ZERO, |at| now.since(at));
        waited >= pending.request.limits().queue_timeout
            || self.is_too_late(now, pending)
            || now + self.settings.classes[class].latency_objective * margin >= pending.objective_deadline
    }
}
