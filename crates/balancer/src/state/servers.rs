//! The known servers and the reachability of their zones; removal of servers that are no longer listed.

use super::{Balancer, DecayingSum};
use crate::api::*;
use std::collections::{BTreeMap, BTreeSet};

/// Time for which a removed server is kept: one that a list omits by mistake usually returns within seconds.
const REMOVED_RETENTION: Micros = Micros(10_000_000);

/// The reachability of a zone.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Reachability {
    /// Number of consecutive connection failures to servers of the zone.
    pub(crate) failures: u32,
    /// Time until which the zone is considered unreachable.
    pub(crate) unreachable_until: Time,
    /// Time at which a server of the zone last responded; the epoch if none has.
    pub(crate) last_response: Time,
}

impl Reachability {
    /// Whether a server of the zone has responded at `at` or later.
    pub(crate) fn responded_since(self, at: Time) -> bool {
        self.last_response >= at
    }
}

/// The ejection of an outlier. An ejected server receives only trials.
pub(crate) struct Ejection {
    pub(crate) next_trial: Time,
    /// Time between two trials.
    pub(crate) backoff: Micros,
    pub(crate) trial_in_flight: bool,
}

/// Average latency of the servers of a machine type.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MachineTypeLatency {
    /// Latency as a fraction of the objective.
    pub(crate) latency: f64,
    /// Number of samples in the average, up to a limit.
    pub(crate) samples: f64,
}

/// A known server.
pub(crate) struct Server {
    pub(crate) endpoint: Endpoint,
    /// Number of this balancer's attempts in flight.
    pub(crate) in_flight: u32,
    /// Latency relative to the baseline latency of the request's class; it follows decreases faster than increases.
    pub(crate) slowness: f64,
    /// Smoothed latency as a fraction of the objective.
    pub(crate) latency: f64,
    pub(crate) samples: u32,
    /// Number of consecutive failures.
    pub(crate) failures: u32,
    pub(crate) last_response: Time,
    /// Maximum number of this balancer's attempts in flight; below one, a pause follows each response.
    pub(crate) limit: f64,
    /// Time until which no request is sent to the server.
    pub(crate) paused_until: Time,
    pub(crate) last_sample_at: Time,
    /// Duration of the attempt that gave the last sample.
    pub(crate) last_sample_ms: f64,
    pub(crate) ejection: Option<Ejection>,
    /// Time until which a sparse balancer sends the server a reduced share, due to its own evidence or a peer's hint.
    pub(crate) deprioritized_until: Time,
    /// Work sent to the server during slow start, in milliseconds.
    pub(crate) slow_start_work: DecayingSum,
    /// Load according to the server's last report.
    pub(crate) reported_load: f64,
    pub(crate) reported_at: Option<Time>,
    pub(crate) sends_since_report: u32,
    /// Time at which the server was first found to be removed from the list.
    pub(crate) removed_at: Option<Time>,
}

impl Server {
    pub(crate) fn new(endpoint: Endpoint, limit: f64, now: Time) -> Self {
        Server {
            endpoint,
            in_flight: 0,
            slowness: 1.0,
            latency: 0.0,
            samples: 0,
            failures: 0,
            last_response: now,
            limit,
            paused_until: now,
            last_sample_at: now,
            last_sample_ms: 0.0,
            ejection: None,
            deprioritized_until: now,
            slow_start_work: DecayingSum::default(),
            reported_load: 0.0,
            reported_at: None,
            sends_since_report: 0,
            removed_at: None,
        }
    }

    /// The load according to the server's last report, plus the attempts sent since.
    pub(crate) fn estimated_load(&self) -> f64 {
        self.reported_load + f64::from(self.sends_since_report)
    }

    /// The reachability of the server's zone.
    pub(crate) fn reachability(&self, zones: &BTreeMap<ZoneId, Reachability>) -> Reachability {
        zones.get(&self.endpoint.zone).copied().unwrap_or_default()
    }
}

impl Balancer {
    /// Whether the zone of a server is considered unreachable.
    pub(crate) fn is_unreachable(&self, server: &Server, now: Time) -> bool {
        now < server.reachability(&self.zones).unreachable_until
    }

    /// Adds a server that is listed for the first time.
    pub(crate) fn add_server(&mut self, server: Server) {
        let id = server.endpoint.server;
        let slot = match self.free_slots.pop() {
            Some(slot) => {
                self.servers[slot] = server;
                slot
            }
            None => {
                self.servers.push(server);
                self.servers.len() - 1
            }
        };
        self.slots.insert(id, slot);
    }

    /// Discards servers that were removed at least [`REMOVED_RETENTION`] ago and have no attempts in flight.
    pub(crate) fn discard_removed_servers(&mut self, now: Time) {
        for server in &mut self.servers {
            let is_removed = server.endpoint.status == Status::Removed;
            server.removed_at = is_removed.then(|| server.removed_at.unwrap_or(now));
        }
        let is_expired = |server: &Server| {
            server.removed_at.is_some_and(|at| now.since(at) >= REMOVED_RETENTION) && server.in_flight == 0
        };
        let expired = self.slots.iter().filter(|(_, &slot)| is_expired(&self.servers[slot]));
        let expired: Vec<(ServerId, usize)> = expired.map(|(id, slot)| (*id, *slot)).collect();
        if expired.is_empty() {
            return;
        }
        let referenced = self.referenced_slots();
        for (id, slot) in expired.into_iter().filter(|(_, slot)| !referenced.contains(slot)) {
            self.slots.remove(&id);
            self.free_slots.push(slot);
            self.remembered.retain(|remembered| *remembered != slot);
            self.key_servers.retain(|_, server| *server != slot);
        }
        self.discard_unused_zones_and_types();
    }

    /// The slots of `servers` that requests and attempts refer to. Such a slot must not be reused, or the results of the old
    /// server would be counted for the new one.
    fn referenced_slots(&self) -> BTreeSet<usize> {
        let mut slots: BTreeSet<usize> = self
            .awaiting_health_checks
            .iter()
            .flat_map(|waiting| waiting.candidates.iter().copied())
            .collect();
        let attempts = self.requests.values().flat_map(|pending| &pending.attempts);
        slots.extend(attempts.map(|attempt| attempt.server));
        // Attempts of streaming requests are not counted in `Server::in_flight` and may outlive their request.
        slots.extend(self.in_flight.values().map(|attempt| attempt.server));
        slots
    }

    fn discard_unused_zones_and_types(&mut self) {
        let endpoints = || self.slots.values().map(|&slot| &self.servers[slot].endpoint);
        let zones: BTreeSet<ZoneId> = endpoints().map(|endpoint| endpoint.zone).collect();
        let types: BTreeSet<MachineTypeId> = endpoints().map(|endpoint| endpoint.machine_type).collect();
        self.zones.retain(|zone, _| zones.contains(zone));
        self.machine_types.retain(|machine_type, _| types.contains(machine_type));
    }
}
