//! Selects a server: random draws and the remembered server, filtered by availability, and the lightest of them.

use super::tuning::*;
use crate::api::*;
use crate::state::*;

/// The factor on the load of a server in another zone grows by this for each 1% of a request that the crossing costs.
const CROSS_ZONE_FACTOR: f64 = 0.25;
/// The maximum of that factor: less than one request in flight against none, so that cost alone does not fill a zone.
const MAX_CROSS_ZONE_FACTOR: f64 = 1.8;
/// The factor on the slowness of a key's last server: it is selected unless its load is clearly higher.
const KEY_AFFINITY_FACTOR: f64 = 0.7;
/// Maximum number of remembered keys; beyond it all are forgotten, at the cost of one cache miss each.
const MAX_KEYS: usize = 10_000;
/// Loads whose logarithms differ by less than this are considered equal: a quarter is within random variation.
const LOAD_RESOLUTION: f64 = 0.25;
/// Time constant of a load report's weight, in milliseconds.
const REPORT_TIME_CONSTANT_MS: f64 = 8000.0;
/// Time constant of the weight of a server's own latency against that of its machine type, in milliseconds.
const OWN_LATENCY_TIME_CONSTANT_MS: f64 = 30_000.0;
/// Attempts to draw a server, per draw that is wanted.
const TRIES_PER_DRAW: usize = 4;
/// Bounds of a request's work relative to the usual work of its class, for the influence of a server's slowness.
const RELATIVE_WORK: (f64, f64) = (1.0, 9.0);
/// The lower bound of a latency that is a divisor, as a fraction of the objective.
const MIN_LATENCY: f64 = 0.01;

/// What the selection of a server needs to know of a request.
pub(super) struct Selection {
    pub(super) id: RequestId,
    scope: SendScope,
    /// The estimated work in milliseconds.
    pub(super) work_ms: f64,
    /// The influence of a server's slowness; grows with the work.
    slowness_exponent: f64,
    is_idempotent: bool,
    key: Option<KeyId>,
    /// The server that its key was last sent to.
    key_server: Option<usize>,
    /// The servers of its earlier attempts.
    tried: Vec<usize>,
    /// Another attempt is in flight: this one must go to a different server.
    pub(super) is_hedge: bool,
    /// It has been neither queued nor sent yet.
    is_first_look: bool,
}

impl Balancer {
    /// Sends a request to the lightest candidate, or probes the candidates first; false if no server is available.
    pub(super) fn try_send(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(pending) = self.requests.get(&id) else { return true };
        let selection = self.selection(now, pending);
        if selection.scope == SendScope::Nowhere || !self.concurrency.has_capacity(pending.request.limits()) {
            return false;
        }
        let candidates = self.candidates(now, &selection);
        if self.probes_candidates() && !candidates.is_empty() {
            self.probe(now, id, candidates, actions);
            return true;
        }
        self.send_to_lightest(now, &selection, &candidates, actions)
    }

    pub(super) fn selection(&self, now: Time, pending: &PendingRequest) -> Selection {
        let class = pending.request.class.0;
        let key = pending.request.key.filter(|_| self.settings.key_affinity);
        let work_ms = self.work_ms(pending);
        let (min, max) = RELATIVE_WORK;
        let relative_work = (work_ms / self.usual_ms(class)).clamp(min, max);
        Selection {
            id: pending.request.id,
            scope: self.allowed_actions(now, pending).send,
            work_ms,
            slowness_exponent: 0.5 * relative_work.sqrt(),
            is_idempotent: self.settings.classes[class].retry_safety == RetrySafety::Idempotent,
            key,
            key_server: key.and_then(|key| self.key_servers.get(&key)).copied(),
            tried: pending.attempts.iter().map(|attempt| attempt.server).collect(),
            is_hedge: pending.has_attempt_in_flight(),
            is_first_look: pending.queued_since.is_none() && pending.attempts.is_empty(),
        }
    }

    /// Sends to the lightest candidate and remembers it; false if there is none.
    pub(super) fn send_to_lightest(
        &mut self,
        now: Time,
        selection: &Selection,
        candidates: &[usize],
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(server) = self.lightest(now, candidates, selection) else { return false };
        self.remember(server, selection.key);
        self.send(now, selection, server, actions);
        true
    }

    /// Whether a server may be sent this request now.
    pub(super) fn is_available(&self, now: Time, index: usize, selection: &Selection) -> bool {
        let server = &self.servers[index];
        let is_in_scope = match selection.scope {
            SendScope::Nowhere => false,
            SendScope::Anywhere => true,
            SendScope::Zone(zone) => server.endpoint.zone == zone,
            SendScope::Group(group) => server.endpoint.dedup_group == group,
        };
        let may_retry = selection.tried.is_empty()
            || self.slow_start.warm_servers > 0
            || self.settings.balancers <= FEW_BALANCERS;
        let may_try = |ejection: &Ejection| ejection.is_trial_due(now, selection.is_idempotent);
        is_in_scope
            && server.endpoint.status == Status::Serving
            && self.has_capacity(now, server, selection.work_ms)
            && may_retry
            && (self.sparse || server.ejection.as_ref().is_none_or(may_try))
    }

    /// Whether a server is below its concurrency limit and its share in slow start. A sparse balancer, for which limits have
    /// no meaning, only lets a server that was full rest.
    fn has_capacity(&self, now: Time, server: &Server, work_ms: f64) -> bool {
        if self.sparse {
            return now >= server.rest_until;
        }
        // Many balancers with one request each can overload a server too: a limit below one is kept by rests between
        // requests. They follow the present limit; otherwise one late response at a low scale would cause a rest of a minute.
        let limit = server.limit * self.limit_scale;
        let rest_ms = server.last_sample_ms * (1.0 / limit - 1.0).max(0.0);
        let has_rested = now.since(server.last_sample_at).ms() >= rest_ms && now >= server.rest_until;
        let warmth = self.warmth(server, now);
        has_rested
            && !self.slow_start.exceeds_share(now, server, warmth, work_ms)
            && f64::from(server.in_flight) + 1.0 <= (limit * warmth).max(1.0)
    }

    /// Random draws from the available servers, and the remembered ones that are available. Draws are repeated a fixed number
    /// of times, so that a selection costs the same in a large fleet; only if all fail is every server considered.
    fn candidates(&mut self, now: Time, selection: &Selection) -> Vec<usize> {
        let mut candidates: Vec<usize> = Vec::with_capacity(DRAWS + REMEMBERED + 1);
        for _ in 0..TRIES_PER_DRAW * DRAWS {
            if candidates.len() >= DRAWS || self.serving.is_empty() {
                break;
            }
            let server = self.serving[self.rng.usize(0..self.serving.len())];
            if self.is_candidate(now, server, selection) {
                candidates.push(server);
            }
        }
        for server in self.remembered.clone().into_iter().chain(selection.key_server) {
            if self.is_candidate(now, server, selection) {
                candidates.push(server);
            }
        }
        if candidates.is_empty() {
            let available = self.all_available(now, selection);
            let draws = DRAWS.min(available.len());
            candidates.extend((0..draws).map(|_| available[self.rng.usize(0..available.len())]));
        }
        candidates
    }

    fn is_candidate(&mut self, now: Time, server: usize, selection: &Selection) -> bool {
        !selection.tried.contains(&server)
            && self.is_available(now, server, selection)
            && self.passes_slow_start(now, server, selection.is_first_look)
    }

    /// All available servers that have not been tried; if there are none, those that have, except for a hedged request.
    fn all_available(&self, now: Time, selection: &Selection) -> Vec<usize> {
        let available = |server: &usize| self.is_available(now, *server, selection);
        let available = self.serving.iter().copied().filter(available);
        let (tried, untried): (Vec<_>, Vec<_>) =
            available.partition(|server| selection.tried.contains(server));
        let mut servers = if untried.is_empty() && !selection.is_hedge { tried } else { untried };
        let is_warm = |server: &usize| self.warmth(&self.servers[*server], now) >= 1.0;
        // Servers in slow start only on the first look, and only if there are no others.
        if self.sparse && (!selection.is_first_look || servers.iter().any(is_warm)) {
            servers.retain(is_warm);
        }
        servers
    }

    /// Whether a sparse balancer accepts a reachable server as a candidate. An idle server in slow start, remembered by all
    /// balancers, would be overloaded by their sum. Each accepts it with the probability of the capacity it has surely
    /// reached, so that all together send it that part of a warm server's share without any communication. Where an idle
    /// server wins each selection, a candidate counts for as many as it wins over. Only a request's first look is
    /// accepted: one that is queued or rejected elsewhere would be accepted in the end.
    fn passes_slow_start(&mut self, now: Time, server: usize, is_first_look: bool) -> bool {
        if !self.sparse {
            return true;
        }
        let warmth = self.warmth(&self.servers[server], now);
        let is_unreachable = self.is_unreachable(&self.servers[server], now);
        let idle_wins = warmth < 1.0 && (self.probes_candidates() || self.admitted_fraction(now) < 1.0);
        let wins = if idle_wins { DRAWS + REMEMBERED } else { 1 };
        !is_unreachable && (warmth >= 1.0 || (is_first_look && self.rng.f64() * (wins as f64) < warmth))
    }

    /// The candidate with the least own load: requests in flight, scaled by the server's slowness, the cost of crossing zones
    /// and key affinity. Ties are decided by its load report, then at random.
    ///
    /// A sparse balancer compares the plain counts, and the random choice is weighted by each candidate's capacity. As
    /// the last choice is among the candidates, the choices of all balancers together converge to that proportion.
    fn lightest(&mut self, now: Time, candidates: &[usize], selection: &Selection) -> Option<usize> {
        let (is_sparse, probes) = (self.sparse, self.probes_candidates());
        let mut best = None;
        for &candidate in candidates {
            let random = self.rng.f64();
            let server = &self.servers[candidate];
            let report = server.estimated_load();
            let rank = if is_sparse {
                let report = if probes { report.round() as i64 } else { 0 };
                let weighted_random = -(1.0 - random).ln() / self.capacity_weight(server, now);
                (i64::from(server.in_flight), report, weighted_random.to_bits())
            } else {
                let load = self.own_load(candidate, selection).ln();
                ((load / LOAD_RESOLUTION).round() as i64, report.round() as i64, random.to_bits())
            };
            if best.is_none_or(|(least, _)| rank < least) {
                best = Some((rank, candidate));
            }
        }
        best.map(|(_, candidate)| candidate)
    }

    /// The load of a candidate with this request added, in requests at a server of usual speed in the own zone.
    fn own_load(&self, candidate: usize, selection: &Selection) -> f64 {
        let server = &self.servers[candidate];
        let zone_factor = if server.endpoint.zone == self.settings.zone {
            1.0
        } else {
            let cost_percent_factor = 100.0 * CROSS_ZONE_FACTOR * self.settings.costs.cross_zone;
            (1.0 + cost_percent_factor).clamp(1.0, MAX_CROSS_ZONE_FACTOR)
        };
        let key_factor = if selection.key_server == Some(candidate) { KEY_AFFINITY_FACTOR } else { 1.0 };
        // A trial of an ejected server takes precedence: by its statistics it would never be selected.
        let in_flight = if server.ejection.is_some() { 0.0 } else { f64::from(server.in_flight) + 1.0 };
        in_flight * zone_factor * (server.slowness * key_factor).powf(selection.slowness_exponent)
    }

    /// The relative capacity of a server: its listed size over its queue by the last report. The weight of a report decays
    /// towards the average of all servers. Latency counts in its cube: with the plain one slow servers time out while
    /// fast ones are idle.
    fn capacity_weight(&self, server: &Server, now: Time) -> f64 {
        let size = if self.settings.weights == Weights::Size { server.endpoint.weight } else { 1.0 };
        let size = if size.is_finite() && size > 0.0 { size } else { 1.0 };
        let report_weight =
            server.reported_at.map_or(0.0, |at| (-now.since(at).ms() / REPORT_TIME_CONSTANT_MS).exp());
        let load =
            report_weight * server.estimated_load() + (1.0 - report_weight) * self.average_reported_load;
        let is_avoided = self.is_unreachable(server, now) || now < server.deprioritized_until;
        let share = if is_avoided { DEPRIORITIZED_SHARE } else { 1.0 };
        share * size / (1.0 + load) / self.expected_latency(server, now).max(MIN_LATENCY).powi(3)
    }

    /// The latency of a server by its own samples and those of its machine type.
    fn expected_latency(&self, server: &Server, now: Time) -> f64 {
        let machine_type = self.machine_types.get(&server.endpoint.machine_type);
        let type_latency = machine_type.map_or(self.median_latency, |known| known.latency);
        let age_ms = now.since(server.last_sample_at).ms();
        let own_weight =
            f64::from(server.samples).min(MAX_OWN_WEIGHT) * (-age_ms / OWN_LATENCY_TIME_CONSTANT_MS).exp();
        (type_latency * MACHINE_TYPE_WEIGHT + server.latency * own_weight)
            / (MACHINE_TYPE_WEIGHT + own_weight)
    }

    fn remember(&mut self, server: usize, key: Option<KeyId>) {
        if let Some(key) = key {
            if self.key_servers.len() >= MAX_KEYS {
                self.key_servers.clear();
            }
            self.key_servers.insert(key, server);
        }
        self.remembered.retain(|&remembered| remembered != server);
        self.remembered.insert(0, server);
        self.remembered.truncate(REMEMBERED);
    }
}
