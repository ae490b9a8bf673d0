//! Takes requests in: whether one is let in at all, held for a moment, or refused at once.

use super::tuning::*;
use crate::api::*;
use crate::records::*;

/// Votes that a class's usual wait can gather; a new habit of the clients is believed after as many.
const VOTES_MOST: u32 = 50;
/// Traffic is counted over about this many milliseconds.
const COUNT_MS: f64 = 3000.0;
/// A tenant is over its share at this multiple of its fraction; usage wobbles without anyone flooding.
const SHARE_SLACK: f64 = 1.4;
/// Longest local queue, in requests.
const HELD_MOST: usize = 500;

impl Balancer {
    pub(super) fn arrive(&mut self, now: Time, request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        let Some(class) = self.settings.classes.get(request.class.0) else {
            out.push(Action::Shed { request: id, retry_after: None });
            return;
        };
        if self.live.contains_key(&id) {
            return;
        }
        // First tries of a class wait alike; another wait is what earlier tries have left of the deadline.
        let period = self.settings.event_interval;
        let (usual, votes) = &mut self.usual_wait[request.class.0];
        let near = request.time_left.saturating_sub(*usual) <= period
            && usual.saturating_sub(request.time_left) <= period;
        let alike = near || *votes == 0 || request.streaming;
        match *votes {
            _ if request.streaming => {}
            0 => (*usual, *votes) = (request.time_left, 1),
            _ if alike => *votes = (*votes + 1).min(VOTES_MOST),
            _ => *votes -= 1,
        }
        let spent = if alike { Micros::ZERO } else { class.deadline.saturating_sub(request.time_left) };
        let deadline = now + request.time_left.min(request.limits().timeout);
        let wanted =
            if request.streaming { request.time_left } else { class.latency_objective.saturating_sub(spent) };
        let wanted_by = (now + wanted).min(deadline);
        self.count(now, &request);
        let over_share = self.over_share(&request);
        let (attempts, held_since, bound, spent) = (Vec::new(), None, false, false);
        let live = Live { request, deadline, wanted_by, attempts, bound, spent, over_share, held_since };
        let hopeless = self.hopeless(now, &live);
        let class = live.request.class.0;
        self.earn(live.request.limits());
        self.live.insert(id, live);
        self.tell_bytes = (self.tell_bytes + TELL_EARN).min(TELL_SAVED);
        if hopeless || !self.admits(now, class) || self.marooned(now) {
            self.end(now, id, out);
        } else if !self.place(now, id, out) {
            self.hold(now, id, out);
        }
    }

    /// A request that was passed on as it came is whole: only now does its server have it, and its time run.
    pub(super) fn whole(&mut self, now: Time, id: RequestId, time_left: Micros) {
        let Some(live) = self.live.get_mut(&id).filter(|live| live.request.streaming) else { return };
        live.request.streaming = false;
        live.deadline = now + time_left.min(live.request.limits().timeout);
        live.wanted_by =
            (now + self.settings.classes[live.request.class.0].latency_objective).min(live.deadline);
        for (_, flight) in self.flights.range_mut((id, 0)..=(id, u32::MAX)).filter(|(_, f)| f.coming) {
            (flight.coming, flight.sent) = (false, now);
            self.servers[flight.server].in_flight += 1;
        }
    }

    /// Where a balancer meets a server once in many seconds, limits per server bind nothing: in a jam of the
    /// fleet it lets in only a part of its requests, by chance, first of the classes that are refused last.
    pub(super) fn admits(&mut self, now: Time, class: usize) -> bool {
        let open = if self.blind { self.open(now) } else { 1.0 }.min(self.bearable);
        if open >= 1.0 {
            return true;
        }
        let work = |c: usize| self.asked[c] * self.usual(c);
        let spared: f64 = (0..self.asked.len()).filter(|&c| self.spared[c]).map(work).sum();
        let spared = spared / (0..self.asked.len()).map(work).sum::<f64>().max(1e-9);
        let part =
            if self.spared[class] { open / spared } else { (open - spared) / (1.0 - spared).max(1e-9) };
        self.rng.f64() < part.max(LEVEL_LEAST)
    }

    /// Whether no way leads to any server, and it is not yet time to try again.
    pub(super) fn marooned(&mut self, now: Time) -> bool {
        let open = |i: &usize| !self.cut_off(&self.servers[*i], now);
        if !self.blind || self.zones.values().all(|way| way.cut_until <= now) || self.serving.iter().any(open)
        {
            return false;
        }
        let early = now < self.try_at;
        self.try_at = if early { self.try_at } else { now + TRIAL_FIRST };
        early
    }

    /// Requests that come to this balancer a second.
    pub(super) fn rate(&self) -> f64 {
        self.asked.iter().sum::<f64>() * 1e3 / COUNT_MS
    }

    /// Keeps the traffic of the last seconds by class and by tenant.
    pub(super) fn count(&mut self, now: Time, request: &Request) {
        let keep = (-now.since(self.counted_at).ms() / COUNT_MS).exp();
        self.counted_at = now;
        self.asked.iter_mut().chain(&mut self.tenant_asked).for_each(|n| *n *= keep);
        self.asked[request.class.0] += 1.0;
        if let Some(n) = request.tenant.and_then(|t| self.tenant_asked.get_mut(t.0)) {
            *n += 1.0;
        }
    }

    /// Of a tenant that takes more than its fraction of this balancer's traffic, the excess is over share.
    /// No balancer sees the whole; its own traffic is the sample that it has.
    pub(super) fn over_share(&mut self, request: &Request) -> bool {
        let Some(tenant) = request.tenant.filter(|t| t.0 < self.settings.tenants.len()) else { return false };
        let all: f64 = self.tenant_asked.iter().sum();
        let fair = SHARE_SLACK * self.settings.tenants[tenant.0].fraction * all;
        self.settings.over_quota_weight < 1.0 && self.rng.f64() * self.tenant_asked[tenant.0] > fair.max(1.0)
    }

    /// Classes to be refused last. Refusing a set of classes costs their worth and, once, the part of the
    /// goal that hangs on the worst class; the set that frees most work for its cost gives way.
    pub(super) fn rank_classes(&mut self) {
        let classes = &self.settings.classes;
        let work = |c: usize| self.asked[c] * self.usual(c);
        let worth = |c: usize| {
            classes[c].priority_weight * if self.settings.weight_by_work { work(c) } else { self.asked[c] }
        };
        let mut order: Vec<usize> = (0..classes.len()).filter(|&c| work(c) > 0.0).collect();
        order.sort_by(|&a, &b| (worth(a) / work(a)).total_cmp(&(worth(b) / work(b))));
        let total: f64 = order.iter().map(|&c| worth(c)).sum();
        let goal = &self.settings.objective;
        let (mut lost, mut freed, mut least, mut giving) = (goal.worst_class * total, 0.0, f64::INFINITY, 0);
        for (i, &c) in order.iter().enumerate() {
            lost += (goal.whole + goal.worst_window) * worth(c);
            freed += work(c);
            if lost / freed < least {
                (least, giving) = (lost / freed, i + 1);
            }
        }
        self.spared = vec![false; classes.len()];
        order[giving..].iter().for_each(|&c| self.spared[c] = true);
    }

    /// Sent now, it would not be answered while that is worth something.
    pub(super) fn hopeless(&self, now: Time, live: &Live) -> bool {
        let c = &self.settings.classes[live.request.class.0];
        let soon = c.latency_objective * (0.7 * self.class_pace[live.request.class.0]);
        now + soon >= if c.late_weight > 0.0 { live.deadline } else { live.wanted_by }
    }

    /// Keeps a request for later, or ends it if that is hopeless.
    pub(super) fn hold(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(live) = self.live.get(&id) else { return };
        let shares = |other: &RequestId, bound: &ConcurrencyLimit| {
            self.live
                .get(other)
                .is_some_and(|o| o.request.limits().concurrency_limits.iter().any(|b| b.id == bound.id))
        };
        let full = |b: &ConcurrencyLimit| {
            self.held.iter().filter(|other| shares(other, b)).count() >= b.max_queued as usize
        };
        if self.held.len() >= HELD_MOST || live.request.limits().concurrency_limits.iter().any(full) {
            self.end(now, id, out);
            return;
        }
        self.held.insert(0, id);
        self.live.entry(id).and_modify(|live| live.held_since = live.held_since.or(Some(now)));
        // A tick that is due is never put off: requests held at each tick would starve it and lose requests.
        if self.tick_at > now + TICK_BUSY {
            self.set_tick(now, TICK_BUSY, out);
        }
    }
}
