//! Sends attempts and second copies.

use super::tuning::*;
use crate::api::*;
use crate::records::*;

/// Second copies go out only at this level or more of the common one.
const COPY_LEVEL: f64 = 0.9;
/// The longest that a process may be held up between reading its clock and writing.
const MAX_STALL: Micros = Micros(150_000);

impl Balancer {
    pub(super) fn send(&mut self, now: Time, pick: &Pick, server: usize, out: &mut Vec<Action>) {
        let (id, class) = (pick.id, pick.class);
        let cold = self.warmth(&self.servers[server], now) < 1.0;
        let start_time = self.start_time();
        let Some(live) = self.live.get_mut(&id) else { return };
        let s = &mut self.servers[server];
        let attempt = live.attempts.len() as u32;
        let limits = live.request.limits();
        let timeout_at = live.deadline.min(now + limits.attempt_timeout);
        let patience = (live.wanted_by.since(now) * CONNECT_SHARE).max(CONNECT_LEAST);
        let mut write_by = timeout_at.min(now + start_time.min(patience));
        let first = live.attempts.iter().find(|a| a.fate != Fate::NeverRan);
        if let (Some(first), RetrySafety::Deduplicated { window, .. }) =
            (first, self.settings.classes[class].retry_safety)
        {
            write_by = write_by.min(first.sent + window);
        }
        for bound in &limits.concurrency_limits {
            let place = bound.id as usize;
            self.occupied.resize(self.occupied.len().max(place + 1), 0);
            self.occupied[place] += 1;
        }
        if let (false, Some(after)) = (pick.copy, live.request.hedge_after) {
            self.copies.insert((now + after, id));
            out.push(Action::SetTimer { at: now + after, timer: COPY });
        }
        live.held_since = None;
        let limits = live.request.limits.clone();
        let (zone, cell) = (s.listed.zone, s.listed.dedup_group);
        live.attempts.push(Attempt { server, zone, cell, sent: now, fate: Fate::Out });
        let coming = live.request.streaming;
        s.in_flight += u32::from(!coming);
        s.sent_since += 1;
        let share = pick.work / self.warm.max(1) as f64;
        let (sent, work) = if cold { (&mut s.cold_sent, pick.work) } else { (&mut self.warm_sent, share) };
        sent.add(now, 0.5 * self.settings.fall_after.ms(), work);
        let trial = s.suspicion.is_some();
        s.suspicion.iter_mut().for_each(|q| q.on_trial = true);
        let again = attempt > 0;
        let flight = Flight { server, class, sent: now, trial, again, counted: false, coming, limits };
        self.flights.insert((id, attempt), flight);
        let (attempt, server) = (AttemptNo(attempt), s.listed.server);
        out.push(Action::Send { request: id, attempt, server, timeout_at, write_by });
    }

    /// How long after its decision an attempt may begin. Its server may be told to drain just after the decision, and the
    /// process may be held up between its last look at the clock and the write: the drain grace period covers both.
    fn start_time(&self) -> Micros {
        let grace = self.settings.drain_grace_period;
        grace.saturating_sub(MAX_STALL).max(CONNECT_LEAST.min(grace))
    }

    /// Sends the second copies that are due. They are the first to stop when capacity is short: while
    /// requests are held back or answers come slowly, a copy is one more in the queue.
    pub(super) fn send_copies(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some(&(at, id)) = self.copies.first().filter(|(at, _)| *at <= now) {
            self.copies.remove(&(at, id));
            let Some(live) = self.live.get(&id) else { continue };
            let limits = live.request.limits.clone().unwrap_or_default();
            let alone = live.attempts.iter().filter(|a| a.fate == Fate::Out).count() == 1;
            let short = !self.held.is_empty() || self.level.min(self.open(now)) < COPY_LEVEL;
            let paid =
                self.affords(&limits, false) && limits.hedge_budgets.iter().all(|b| self.saved(b) >= 1.0);
            if alone && !short && paid && !self.hopeless(now, live) && self.place(now, id, out) {
                self.pay(&limits, false);
                limits.hedge_budgets.iter().for_each(|b| self.save(b, self.saved(b) - 1.0));
            }
        }
    }
}
