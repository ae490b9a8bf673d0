//! Selects the server for an attempt: the least loaded of several random draws and the remembered server, as far as these
//! are available.

use super::tuning::*;
use crate::api::*;
use crate::state::*;

/// Increase of the factor on the load of a server in another zone, per 1% of a request that crossing zones costs.
const CROSS_ZONE_FACTOR: f64 = 0.25;
/// Maximum factor on the load of a server in another zone. It is less than 2, the ratio of the loads with one request
/// in flight and with none, so that the cost alone does not let a zone fill up.
const MAX_CROSS_ZONE_FACTOR: f64 = 1.8;
/// Factor on the slowness of the server that a key was last sent to: it is preferred unless its load is clearly higher.
const KEY_AFFINITY_FACTOR: f64 = 0.7;
/// Maximum number of keys whose server is remembered. When it is reached, all are forgotten, which costs each of them one
/// cache miss.
const MAX_KEYS: usize = 10_000;
/// Resolution of the logarithm of a load in comparisons: a difference of a quarter is within random variation.
const LOAD_RESOLUTION: f64 = 0.25;
/// Time constant with which the weight of a load report decays, in milliseconds.
const REPORT_TIME_CONSTANT_MS: f64 = 8000.0;
/// Time constant with which the weight of a server's own latency decays in favour of its machine type's, in milliseconds.
const OWN_LATENCY_TIME_CONSTANT_MS: f64 = 30_000.0;
/// Maximum number of random draws for each candidate to be found.
const TRIES_PER_DRAW: usize = 4;
/// Bounds of a request's work relative to the usual work of its class, which determines the influence of a server's
/// slowness.
const RELATIVE_WORK: (f64, f64) = (1.0, 9.0);
/// Lower bound of a latency that is used as a divisor, as a fraction of the objective.
const MIN_LATENCY: f64 = 0.01;

/// The properties of a request that the selection of its server depends on.
pub(super) struct Selection {
    pub(super) id: RequestId,
    scope: SendScope,
    /// Estimated work of the request, in milliseconds.
    pub(super) work_ms: f64,
    /// Exponent of a server's slowness in its load; it grows with the work.
    slowness_exponent: f64,
    is_idempotent: bool,
    key: Option<KeyId>,
    /// Server that the key was last sent to.
    key_server: Option<usize>,
    /// Servers of the earlier attempts.
    tried: Vec<usize>,
    /// True if another attempt is in flight, so that this one must go to a different server.
    pub(super) is_hedge: bool,
    /// True if the request has been neither queued nor sent yet.
    is_first_selection: bool,
}

impl Balancer {
    /// Sends a request to the least loaded candidate, or sends health checks to the candidates first. Returns false if no
    /// server is available.
    pub(super) fn try_send(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(pending) = self.requests.get(&id) else { return true };
        let selection = self.selection(now, pending);
        if selection.scope == SendScope::Nowhere || !self.concurrency.has_capacity(pending.request.limits()) {
            return false;
        }
        let candidates = self.candidates(now, &selection);
        if self.checks_candidates() && !candidates.is_empty() {
            self.check_candidates(now, id, candidates, actions);
            return true;
        }
        self.send_to_least_loaded(now, &selection, &candidates, actions)
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
            is_first_selection: pending.queued_since.is_none() && pending.attempts.is_empty(),
        }
    }

    /// Sends to the least loaded candidate and remembers it. Returns false if there are no candidates.
    pub(super) fn send_to_least_loaded(
        &mut self,
        now: Time,
        selection: &Selection,
        candidates: &[usize],
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(server) = self.least_loaded(now, candidates, selection) else { return false };
        self.remember(server, selection.key);
        self.send(now, selection, server, actions);
        true
    }

    /// Whether this request may be sent to a server now.
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
            && (self.is_sparse || server.ejection.as_ref().is_none_or(may_try))
    }

    /// Whether a server is below its concurrency limit and, in slow start, below its share. Concurrency limits have no
    /// effect at a sparse balancer, which only pauses sends to a server that has rejected a request.
    fn has_capacity(&self, now: Time, server: &Server, work_ms: f64) -> bool {
        if self.is_sparse {
            return now >= server.paused_until;
        }
        // Many balancers with one request each can overload a server too, so a limit below one is enforced by a pause after
        // each response. The pause is computed from the current limit: if it were fixed at the response, one late response at
        // a low limit scale would cause a pause of a minute.
        let limit = server.limit * self.limit_scale;
        let pause_ms = server.last_sample_ms * (1.0 / limit - 1.0).max(0.0);
        let is_pause_over = now.since(server.last_sample_at).ms() >= pause_ms && now >= server.paused_until;
        let guaranteed_capacity = self.guaranteed_capacity(server, now);
        is_pause_over
            && !self.slow_start.exceeds_share(now, server, guaranteed_capacity, work_ms)
            && f64::from(server.in_flight) + 1.0 <= (limit * guaranteed_capacity).max(1.0)
    }

    /// The candidates: random draws from the serving servers, the remembered server and the last server of the key, if they
    /// are available. The number of draws is bounded, so that a selection costs the same in a large fleet; all servers are
    /// examined only if this finds no candidate.
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
            && self.passes_slow_start(now, server, selection.is_first_selection)
    }

    /// All available servers that have not been tried. If there are none, those that have been tried, unless this is a hedged
    /// request.
    fn all_available(&self, now: Time, selection: &Selection) -> Vec<usize> {
        let available = |server: &usize| self.is_available(now, *server, selection);
        let available = self.serving.iter().copied().filter(available);
        let (tried, untried): (Vec<_>, Vec<_>) =
            available.partition(|server| selection.tried.contains(server));
        let mut servers = if untried.is_empty() && !selection.is_hedge { tried } else { untried };
        let is_warm = |server: &usize| self.guaranteed_capacity(&self.servers[*server], now) >= 1.0;
        // A sparse balancer uses servers in slow start only on the first selection, and only if no warm server is available.
        if self.is_sparse && (!selection.is_first_selection || servers.iter().any(is_warm)) {
            servers.retain(is_warm);
        }
        servers
    }

    /// Whether a sparse balancer accepts a server as a candidate: it must be reachable and, in slow start, pass a random test.
    ///
    /// An idle server in slow start would be remembered by all balancers and overloaded by their sum. Each balancer therefore
    /// accepts it with a probability equal to the fraction of its capacity that it is guaranteed to have reached, so that all
    /// of them together send it that fraction of a warm server's share without communicating. With health checks of the
    /// candidates, and during congestion, an idle server wins every selection that it is a candidate in; the probability is
    /// then divided by the number of candidates. Only the first selection for a request may accept such a server, since a
    /// request that is queued or rejected elsewhere would pass the test sooner or later.
    fn passes_slow_start(&mut self, now: Time, server: usize, is_first_selection: bool) -> bool {
        if !self.is_sparse {
            return true;
        }
        let guaranteed_capacity = self.guaranteed_capacity(&self.servers[server], now);
        let is_unreachable = self.is_unreachable(&self.servers[server], now);
        let idle_wins =
            guaranteed_capacity < 1.0 && (self.checks_candidates() || self.admitted_fraction(now) < 1.0);
        let wins = if idle_wins { DRAWS + REMEMBERED } else { 1 };
        !is_unreachable
            && (guaranteed_capacity >= 1.0
                || (is_first_selection && self.rng.f64() * (wins as f64) < guaranteed_capacity))
    }

    /// The candidate with the least own load: its requests in flight, scaled by the server's slowness, the cost of crossing
    /// zones and key affinity. Ties are broken by the last load report, then at random.
    ///
    /// A sparse balancer compares the unscaled counts and breaks ties at random, weighted by the capacity of the candidates.
    /// Since the server selected last is among the candidates, the selections of all balancers together converge to the
    /// proportions of these weights.
    fn least_loaded(&mut self, now: Time, candidates: &[usize], selection: &Selection) -> Option<usize> {
        let (is_sparse, checks) = (self.is_sparse, self.checks_candidates());
        let mut best = None;
        for &candidate in candidates {
            let random = self.rng.f64();
            let server = &self.servers[candidate];
            let report = server.estimated_load();
            let rank = if is_sparse {
                let report = if checks { report.round() as i64 } else { 0 };
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

    /// The load of a candidate with this request added, in requests at a server of usual speed in this balancer's zone.
    fn own_load(&self, candidate: usize, selection: &Selection) -> f64 {
        let server = &self.servers[candidate];
        let zone_factor = if server.endpoint.zone == self.settings.zone {
            1.0
        } else {
            let cost_percent_factor = 100.0 * CROSS_ZONE_FACTOR * self.settings.costs.cross_zone;
            (1.0 + cost_percent_factor).clamp(1.0, MAX_CROSS_ZONE_FACTOR)
        };
        let key_factor = if selection.key_server == Some(candidate) { KEY_AFFINITY_FACTOR } else { 1.0 };
        // A due trial takes precedence: by its statistics an ejected server would never be selected.
        let in_flight = if server.ejection.is_some() { 0.0 } else { f64::from(server.in_flight) + 1.0 };
        in_flight * zone_factor * (server.slowness * key_factor).powf(selection.slowness_exponent)
    }

    /// The weight of a server in the random selection: its listed size over its load and the cube of its latency. The load is
    /// that of the last report, whose weight decays in favour of the average load of all servers. With the plain latency
    /// instead of its cube, slow servers time out while fast ones are idle.
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

    /// The latency of a server, estimated from its own samples and those of its machine type.
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
