//! Sends hedged requests.

use super::*;

/// Requests are hedged only while the limit scale and the admitted fraction are at least this.
const MIN_CAPACITY: f64 = 0.9;

impl Balancer {
    /// Sends the hedged requests that are due. They are the first to stop when capacity is short: while requests are
    /// queued or responses are slow, a hedged request adds to the congestion.
    pub(super) fn send_hedges(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some(&(at, id)) = self.hedges.first().filter(|(at, _)| *at <= now) {
            self.hedges.remove(&(at, id));
            self.send_hedge(now, id, actions);
        }
    }

    fn send_hedge(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id) else { return };
        let limits = pending.request.limits.clone().unwrap_or_default();
        let in_flight = pending.attempts.iter().filter(|attempt| attempt.state == AttemptState::InFlight);
        let has_one_in_flight = in_flight.count() == 1;
        let has_capacity =
            self.queue.is_empty() && self.limit_scale.min(self.admitted_fraction(now)) >= MIN_CAPACITY;
        let can_afford = self.retry_balances.can_afford_hedge(&limits);
        if has_one_in_flight
            && has_capacity
            && can_afford
            && !self.is_too_late(now, pending)
            && self.try_send(now, id, actions)
        {
            self.retry_balances.charge_hedge(&limits);
        }
    }
}
