//! What follows an outcome: another attempt, the final answer, and what was held.

use super::*;
use crate::api::*;
use crate::records::*;

/// A held request must have this multiple of its class's present answer time left, or this share of its aim.
const WAIT_MARGIN: f64 = 2.0;
const WAIT_MOST: f64 = 0.7;
/// A refused client is told to come back after this share of the aim: with time left for an answer in it.
const COME_BACK: f64 = 0.25;
/// An open connection to each server, per hundred balancers, and a new one for each request cost this much
/// each where the site names no price; and an idle one lasts about so many seconds.
const UNPRICED: f64 = 0.03;
const IDLE_S: f64 = 10.0;

impl Balancer {
    pub(super) fn outcome(
        &mut self,
        now: Time,
        key: (RequestId, u32),
        ended: Ended,
        closed: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.remove(&key) else { return };
        self.servers[flight.server].in_flight -= u32::from(!flight.coming);
        for bound in flight.limits.iter().flat_map(|limits| &limits.concurrency_limits) {
            self.occupied[bound.id as usize] -= 1;
        }
        let (outcome, elapsed, report) = ended;
        if let Some(report) = report {
            self.read_report(now, flight.server, &report);
        }
        self.learn(now, &flight, outcome, elapsed, out);
        self.let_go(flight.server, out);
        let id = key.0;
        if closed {
            // What is still out for it works for nobody.
            let attempts = self.live.remove(&id).map(|live| live.attempts).unwrap_or_default();
            let others = (0..).zip(&attempts).filter(|(n, a)| *n != key.1 && a.fate == Fate::Out);
            let called = others.filter(|_| self.settings.cancel);
            out.extend(called.map(|(n, _)| Action::Cancel { request: id, attempt: AttemptNo(n) }));
        } else if let Some(live) = self.live.get_mut(&id) {
            let fate = if outcome.never_ran() { Fate::NeverRan } else { Fate::MayHaveRun };
            live.attempts[key.1 as usize].fate = fate;
            self.follow_up(now, id, outcome, out);
        }
        self.pump(now, out);
    }

    /// Fresh draws range over the whole fleet, so kept connections would grow to balancers times servers and
    /// fill the servers' tables. A blind balancer comes by too seldom to be worth a place in each: it keeps
    /// only the connections of the remembered server.
    pub(super) fn let_go(&self, server: usize, out: &mut Vec<Action>) {
        let s = &self.servers[server];
        if s.in_flight == 0 && self.blind && !self.memory.contains(&server) && !self.worth_keeping() {
            out.push(Action::CloseIdle { server: s.listed.server });
        }
    }

    /// Whether a connection to each server costs less than the new ones that it spares.
    pub(super) fn worth_keeping(&self) -> bool {
        let (open, fresh) = (self.settings.costs.connection, self.settings.costs.handshake);
        let (open, fresh) = if open + fresh > 0.0 { (open, fresh) } else { (UNPRICED, UNPRICED) };
        let visits = self.rate() * IDLE_S / self.serving.len().max(1) as f64;
        let reused = 1.0 - (-visits).exp();
        open * f64::from(self.settings.balancers) / 100.0 < fresh * reused
    }

    /// The request still owes its answer after an attempt has failed.
    pub(super) fn follow_up(&mut self, now: Time, id: RequestId, outcome: Outcome, out: &mut Vec<Action>) {
        let live = &self.live[&id];
        if live.attempts.iter().any(|a| a.fate == Fate::Out) {
            return;
        }
        let (limits, free) = (live.request.limits(), outcome.never_ran());
        let again = limits.retry_on.allows(outcome) && self.affords(limits, free);
        if again && self.lawful(live, now).send != Reach::Nowhere && !self.hopeless(now, live) {
            let limits = live.request.limits.clone().unwrap_or_default();
            self.pay(&limits, free);
            if !self.place(now, id, out) {
                self.hold(now, id, out);
            }
        } else {
            self.end(now, id, out);
        }
    }

    /// The final answer from here: a refusal if that is true to the client, else a failure.
    pub(super) fn end(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(live) = self.live.remove(&id) else { return };
        if self.lawful(&live, now).refuse {
            let aim = self.settings.classes[live.request.class.0].latency_objective;
            let advice = (aim * COME_BACK).min(self.settings.max_retry_after);
            let retry_after = self.settings.retry_after.then_some(advice);
            out.push(Action::Shed { request: id, retry_after });
        } else {
            out.push(Action::Fail { request: id });
        }
    }

    /// Sends what is held and can go, newest first, and ends what can no longer be answered in time: first
    /// come first served would let every request wait until it is nearly too late, and then be late.
    pub(super) fn pump(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.held.is_empty() {
            return;
        }
        let mut held = std::mem::take(&mut self.held);
        held.sort_by_cached_key(|id| {
            self.live.get(id).map(|l| (l.over_share, !self.spared[l.request.class.0]))
        });
        held.retain(|&id| {
            let Some(live) = self.live.get(&id) else { return false };
            let class = live.request.class.0;
            let margin = (WAIT_MARGIN * self.class_now[class]).min(WAIT_MOST);
            let waited = live.held_since.map_or(Micros::ZERO, |at| now.since(at));
            let patience = live.request.limits().queue_timeout;
            if waited >= patience
                || self.hopeless(now, live)
                || now + self.settings.classes[class].latency_objective * margin >= live.wanted_by
            {
                self.end(now, id, out);
                return false;
            }
            !self.place(now, id, out)
        });
        self.held = held;
    }
}
