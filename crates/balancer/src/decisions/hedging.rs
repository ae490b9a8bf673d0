//! Sends hedged requests.

use super::*;

/// Minimum of the limit scale and of the admitted fraction for requests to be hedged.
const MIN_CAPACITY: f64 = 0.9;

impl Balancer {
    /// Sends the hedged requests that are due. None is sent while requests are queued or responses are slow, since a hedged
    /// request would add to the congestion.
    pub(super) fn send_hedges(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some(&(at, id)) = self.hedge_schedule.first().filter(|(at, _)| *at <= now) {
            self.hedge_schedule.remove(&(at, id));
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
