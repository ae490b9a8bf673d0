//! Picks a server: candidates, their limits, the lightest of them, and the one that is remembered.

use super::tuning::*;
use crate::api::*;
use crate::records::*;

/// A server in another zone weighs this much more for each 1% of a request that crossing is priced at; never
/// as much as one request more at zero, so that the price alone does not fill a zone.
const AWAY: f64 = 0.25;
const AWAY_MOST: f64 = 1.8;
/// A key's last server weighs this much where keys run warm: it wins unless it holds clearly more.
const WARM: f64 = 0.7;
/// Keys remembered; past that all are forgotten, which costs each of them one cold run.
const KEYS_MOST: usize = 10_000;
/// Loads that differ by less than this (as a logarithm) are alike: a quarter is well within chance.
const ALIKE: f64 = 0.25;
/// The news of a report fades over about this many milliseconds.
const NEWS_MS: f64 = 8000.0;
/// A blind balancer's own answers of a server fade against the kind's over about this many milliseconds.
const PACE_MS: f64 = 30_000.0;

impl Balancer {
    /// Sends a request to the lightest candidate, if any server is open to it; false if none is.
    pub(super) fn place(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(live) = self.live.get(&id) else { return true };
        let pick = self.pick_for(now, live);
        let room =
            |b: &ConcurrencyLimit| self.occupied.get(b.id as usize).is_none_or(|n| *n < b.max_in_flight);
        if pick.reach == Reach::Nowhere || !live.request.limits().concurrency_limits.iter().all(room) {
            return false;
        }
        let candidates = self.candidates(now, &pick);
        if self.asks() && !candidates.is_empty() {
            self.ask(now, id, candidates, out);
            return true;
        }
        self.choose(now, &pick, &candidates, out)
    }

    pub(super) fn pick_for(&self, now: Time, live: &Live) -> Pick {
        let class = live.request.class.0;
        let key = live.request.key.filter(|_| self.settings.key_affinity);
        Pick {
            id: live.request.id,
            class,
            reach: self.lawful(live, now).send,
            work: self.work(live),
            heavy: (self.work(live) / self.usual(class)).clamp(1.0, 9.0).sqrt(),
            safe: self.settings.classes[class].retry_safety == RetrySafety::Idempotent,
            key,
            warm: key.and_then(|k| self.warm_keys.get(&k)).copied(),
            tried: live.attempts.iter().map(|a| a.server).collect(),
            copy: live.attempts.iter().any(|a| a.fate == Fate::Out),
            fresh: live.held_since.is_none() && live.attempts.is_empty(),
        }
    }

    /// Sends to the lightest candidate and remembers it; false if there is none.
    pub(super) fn choose(
        &mut self,
        now: Time,
        pick: &Pick,
        candidates: &[usize],
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(server) = self.lightest(now, candidates, pick) else { return false };
        self.remember(server, pick.key);
        self.send(now, pick, server, out);
        true
    }

    /// Whether a server may be sent this request now.
    pub(super) fn ready(&self, now: Time, i: usize, ask: &Pick) -> bool {
        let s = &self.servers[i];
        let lawful = match ask.reach {
            Reach::Nowhere => false,
            Reach::Anywhere => true,
            Reach::Zone(zone) => s.listed.zone == zone,
            Reach::Cell(cell) => s.listed.dedup_group == cell,
        };
        lawful
            && s.listed.status == Status::Serving
            && self.has_room(now, s, ask.work)
            && (ask.tried.is_empty() || self.warm > 0 || self.settings.balancers <= FEW_BALANCERS)
            && (self.blind || s.suspicion.as_ref().is_none_or(|q| due(q, now, ask.safe)))
    }

    /// Room by the learned limit; where that says nothing, only a server that was full is given a rest. A
    /// cold server has room for its share of what warm ones were sent lately, so that the sum of all
    /// balancers cannot push it over while the warm ones are held back.
    pub(super) fn has_room(&self, now: Time, s: &Server, work: f64) -> bool {
        if self.blind {
            return now >= s.rest_until;
        }
        // Many balancers with one request each are a crowd too: below one, the limit is kept by rests, judged
        // by the limit as it is now; else one late answer at a low level would rest a server for a minute.
        let limit = s.limit * self.level;
        let rested = now.since(s.ended).ms() >= s.took * (1.0 / limit - 1.0).max(0.0) && now >= s.rest_until;
        let warmth = self.warmth(s, now);
        let share = warmth * self.warm_sent.now(now);
        let cold = warmth < 1.0 && self.warm > 0 && s.cold_sent.now(now) + work > share;
        rested && !cold && f64::from(s.in_flight) + 1.0 <= (limit * warmth).max(1.0)
    }

    /// Fresh uniform draws from the servers that are ready for the request, and the remembered ones that are.
    /// Draws are by rejection, four tries each, so that a pick costs the same in a large fleet; only if all
    /// fail is each server looked at, and those that were tried before come last.
    pub(super) fn candidates(&mut self, now: Time, ask: &Pick) -> Vec<usize> {
        let mut found: Vec<usize> = Vec::with_capacity(DRAWS + REMEMBERED + 1);
        for _ in 0..4 * DRAWS {
            if found.len() >= DRAWS || self.serving.is_empty() {
                break;
            }
            let i = self.serving[self.rng.usize(0..self.serving.len())];
            if !ask.tried.contains(&i) && self.ready(now, i, ask) && self.passes(now, i, ask.fresh) {
                found.push(i);
            }
        }
        for m in self.memory.clone().into_iter().chain(ask.warm) {
            if !ask.tried.contains(&m) && self.ready(now, m, ask) && self.passes(now, m, ask.fresh) {
                found.push(m);
            }
        }
        if found.is_empty() {
            let ready = |i: &usize| self.ready(now, *i, ask);
            let open = self.serving.iter().copied().filter(ready);
            let (again, fresh): (Vec<_>, Vec<_>) = open.partition(|i| ask.tried.contains(i));
            let mut open = if fresh.is_empty() && !ask.copy { again } else { fresh };
            let warm = |i: &usize| self.warmth(&self.servers[*i], now) >= 1.0;
            // Cold servers only on the first look, and only if there is nothing else.
            if self.blind && (!ask.fresh || open.iter().any(warm)) {
                open.retain(warm);
            }
            found.extend((0..DRAWS.min(open.len())).map(|_| open[self.rng.usize(0..open.len())]));
        }
        found
    }

    /// A cold server, empty and remembered by all, would be pushed over by the sum of all balancers. Each
    /// lets it be a candidate only as often as the part of its capacity that it surely has, so that all
    /// together send it that part of a warm server's share, and no talk among them is needed. Where being
    /// empty wins the pick, a candidate counts for as many as it wins over. Only a request's first look has a
    /// `ticket`: one that is held back, or turned away elsewhere, would pass in the end.
    pub(super) fn passes(&mut self, now: Time, i: usize, ticket: bool) -> bool {
        if !self.blind {
            return true;
        }
        let (warmth, cut) = (self.warmth(&self.servers[i], now), self.cut_off(&self.servers[i], now));
        let wins = if warmth < 1.0 && (self.asks() || self.open(now) < 1.0) { DRAWS + REMEMBERED } else { 1 };
        !cut && (warmth >= 1.0 || (ticket && self.rng.f64() * (wins as f64) < warmth))
    }

    /// The candidate with the least own load: requests in flight, scaled by what the machine costs (how slow
    /// it has shown itself, a priced crossing, a warm key). Ties fall by its report; a coin is last.
    ///
    /// A blind balancer compares the plain counts, and the coin is weighed by what each candidate can bear.
    /// As the last choice is among the candidates, the choices of all together settle in proportion to that.
    pub(super) fn lightest(&mut self, now: Time, candidates: &[usize], pick: &Pick) -> Option<usize> {
        let away = (1.0 + 100.0 * AWAY * self.settings.costs.cross_zone).clamp(1.0, AWAY_MOST);
        let (blind, asks) = (self.blind, self.asks());
        let mut best = None;
        for &c in candidates {
            let coin = self.rng.f64();
            let s = &self.servers[c];
            let report = s.reported + f64::from(s.sent_since);
            let key = if blind {
                let told = if asks { report.round() as i64 } else { 0 };
                (i64::from(s.in_flight), told, (-(1.0 - coin).ln() / self.bears(s, now)).to_bits())
            } else {
                let far = if s.listed.zone == self.settings.zone { 1.0 } else { away };
                let known = if pick.warm == Some(c) { WARM } else { 1.0 };
                // A suspect drawn for its trial goes first: by its own record it would never be tried.
                let count = if s.suspicion.is_some() { 0.0 } else { f64::from(s.in_flight) + 1.0 };
                let load = (count * far * (s.stretch * known).powf(0.5 * pick.heavy)).ln();
                ((load / ALIKE).round() as i64, report.round() as i64, coin.to_bits())
            };
            if best.is_none_or(|(least, _)| key < least) {
                best = Some((key, c));
            }
        }
        best.map(|(_, c)| c)
    }

    /// What a server can bear next to others: its listed size over what waits there by its report. A report's
    /// news fades, and what is not known is as crowded as the rest.
    /// The pace counts in its cube: by the plain one slow machines time out while fast ones idle.
    pub(super) fn bears(&self, s: &Server, now: Time) -> f64 {
        let size = if self.settings.weights == Weights::Size { s.listed.weight } else { 1.0 };
        let size = if size.is_finite() && size > 0.0 { size } else { 1.0 };
        let news = s.reported_at.map_or(0.0, |at| (-now.since(at).ms() / NEWS_MS).exp());
        let waiting = news * (s.reported + f64::from(s.sent_since)) + (1.0 - news) * self.crowd;
        let doubt = if self.cut_off(s, now) || now < s.doubted_until { DOUBTED } else { 1.0 };
        let kind = self.kinds.get(&s.listed.machine_type).map_or(self.median, |k| k.0);
        let own = f64::from(s.samples).min(OWN_MOST) * (-now.since(s.ended).ms() / PACE_MS).exp();
        let pace = (kind * KIND_WORTH + s.pace * own) / (KIND_WORTH + own);
        doubt * size / (1.0 + waiting) / pace.max(0.01).powi(3)
    }

    pub(super) fn remember(&mut self, server: usize, key: Option<KeyId>) {
        if let Some(key) = key {
            if self.warm_keys.len() >= KEYS_MOST {
                self.warm_keys.clear();
            }
            self.warm_keys.insert(key, server);
        }
        self.memory.retain(|&m| m != server);
        self.memory.insert(0, server);
        self.memory.truncate(REMEMBERED);
    }
}

/// Whether a request may try the server. Safe ones first; any will do once none has come for two pauses,
/// or a site without a safe class would never take a server back.
pub(super) fn due(q: &Suspicion, now: Time, safe: bool) -> bool {
    let at = if safe { q.next_trial } else { q.next_trial + q.pause * 2.0 };
    !q.on_trial && now >= at
}
