//! The state of a balancer: servers, requests, attempts in flight and running averages. Decisions are in
//! `src/decisions/`.

mod averages;
mod reconfigure;
mod requests;
mod servers;

pub(crate) use averages::{exponential_average, median, DecayingSum};
pub(crate) use requests::{
    AllowedActions, Attempt, AttemptKey, AttemptState, AwaitingHealthChecks, InFlightAttempt, PendingRequest,
    SendScope,
};
pub(crate) use servers::{Ejection, MachineTypeLatency, Reachability, Server};

use crate::api::*;
use crate::decisions::{ConcurrencyUsage, FleetLoad, RetryBalances, SlowStart, Traffic};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of stored samples. If the host does not collect them, the oldest are discarded.
const MAX_PENDING_SAMPLES: usize = 64;

/// Assumed latency of a class and of the fleet before the first response, as a fraction of the objective.
const INITIAL_LATENCY: f64 = 0.2;

/// Running statistics of a request class.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClassStats {
    /// Latency over all servers, as a fraction of the objective. It follows decreases faster than increases, so that
    /// congestion does not become the baseline.
    pub(crate) baseline_latency: f64,
    /// Recent latency over all servers, as a fraction of the objective. It follows increases as fast as decreases.
    pub(crate) recent_latency: f64,
    /// Time left that most requests of the class arrive with, which is that of a client's first try.
    pub(crate) usual_time_left: Micros,
    /// Votes for `usual_time_left`: requests that arrived with it, less those that did not.
    pub(crate) usual_time_left_votes: u32,
    /// Recent requests that were shed or failed and that no client's retry has followed yet.
    pub(crate) awaited_client_retries: DecayingSum,
    /// True if the requests of the class are shed last.
    pub(crate) is_protected: bool,
}

impl ClassStats {
    const INITIAL: ClassStats = ClassStats {
        baseline_latency: INITIAL_LATENCY,
        recent_latency: INITIAL_LATENCY,
        usual_time_left: Micros::ZERO,
        usual_time_left_votes: 0,
        awaited_client_retries: DecayingSum::ZERO,
        is_protected: false,
    };
}

/// The state of the watch on the endpoint list.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WatchState {
    /// Backoff after the next failure.
    pub(crate) backoff: Micros,
    /// Time at which a failed watch is retried.
    pub(crate) retry_at: Option<Time>,
    /// Time at which the watch was last started.
    pub(crate) started_at: Time,
}

/// The load-balancing decisions of one client process: where, when and how often its requests are sent.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    /// All known servers and free slots; the other fields refer to servers by their slot, the index in this vector.
    pub(crate) servers: Vec<Server>,
    /// Slots of the known servers.
    pub(crate) slots: BTreeMap<ServerId, usize>,
    /// Slots of `servers` that may be reused because nothing refers to them.
    pub(crate) free_slots: Vec<usize>,
    /// Servers with status [`Status::Serving`].
    pub(crate) serving: Vec<usize>,
    /// Maximum of `serving.len()` so far.
    pub(crate) max_serving: usize,
    /// True for a sparse balancer: there are more balancers than servers, so that most of a server's load comes from other
    /// balancers and this balancer's own counts of requests in flight hardly differ. It is derived from `max_serving`, so
    /// that a temporary decrease of the fleet does not set it.
    pub(crate) is_sparse: bool,
    /// Servers that the last selections chose as the least loaded.
    pub(crate) remembered: Vec<usize>,
    /// Server that each key was last sent to, if the service has key affinity.
    pub(crate) key_servers: BTreeMap<KeyId, usize>,
    /// Requests without a final response.
    pub(crate) requests: BTreeMap<RequestId, PendingRequest>,
    pub(crate) in_flight: BTreeMap<AttemptKey, InFlightAttempt>,
    /// Queued requests, newest first within each priority.
    pub(crate) queue: Vec<RequestId>,
    /// Requests that wait for the health checks of their candidates.
    pub(crate) awaiting_health_checks: Vec<AwaitingHealthChecks>,
    /// Times at which requests may be hedged.
    pub(crate) hedge_schedule: BTreeSet<(Time, RequestId)>,
    pub(crate) classes: Vec<ClassStats>,
    pub(crate) traffic: Traffic,
    pub(crate) slow_start: SlowStart,
    pub(crate) fleet_load: FleetLoad,
    pub(crate) retry_balances: RetryBalances,
    pub(crate) concurrency: ConcurrencyUsage,
    /// Median latency of the serving servers, as a fraction of the objective.
    pub(crate) median_latency: f64,
    /// Factor on the concurrency limits of all servers. A balancer receives few responses from each server but many from
    /// the fleet, so that this factor reacts to fleet-wide congestion within a few round trips, where the limits per server
    /// would take half a minute.
    pub(crate) limit_scale: f64,
    pub(crate) machine_types: BTreeMap<MachineTypeId, MachineTypeLatency>,
    pub(crate) zones: BTreeMap<ZoneId, Reachability>,
    /// Time from which a request may be sent although all zones are considered unreachable.
    pub(crate) next_unreachable_attempt: Time,
    /// Number of bytes that may be spent on hints to peers.
    pub(crate) hint_budget: f64,
    /// Samples that the host has not collected yet.
    pub(crate) pending_samples: Vec<ResponseSample>,
    /// Running average of the reported loads of all servers.
    pub(crate) average_reported_load: f64,
    pub(crate) watch: WatchState,
    pub(crate) next_tick: Time,
}

impl Balancer {
    /// Creates a balancer without endpoints and requests.
    pub(crate) fn without_endpoints(settings: Settings, seed: u64, hint_budget: f64) -> Self {
        Balancer {
            rng: fastrand::Rng::with_seed(seed),
            servers: Vec::new(),
            slots: BTreeMap::new(),
            free_slots: Vec::new(),
            serving: Vec::new(),
            max_serving: 0,
            is_sparse: false,
            remembered: Vec::new(),
            key_servers: BTreeMap::new(),
            requests: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            queue: Vec::new(),
            awaiting_health_checks: Vec::new(),
            hedge_schedule: BTreeSet::new(),
            classes: vec![ClassStats::INITIAL; settings.classes.len()],
            traffic: Traffic::new(settings.classes.len(), settings.tenants.len()),
            slow_start: SlowStart::default(),
            fleet_load: FleetLoad::default(),
            retry_balances: RetryBalances::default(),
            concurrency: ConcurrencyUsage::default(),
            median_latency: INITIAL_LATENCY,
            limit_scale: 1.0,
            machine_types: BTreeMap::new(),
            zones: BTreeMap::new(),
            next_unreachable_attempt: Time(0),
            hint_budget,
            pending_samples: Vec::new(),
            average_reported_load: 0.0,
            watch: WatchState { backoff: MIN_WATCH_RETRY_DELAY, retry_at: None, started_at: Time(0) },
            next_tick: Time(0),
            settings,
        }
    }

    /// The current settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Drains the samples since the last call, at most the latest 64. There are none unless [`Settings::peers`] is set.
    pub fn drain_samples(&mut self) -> std::vec::Drain<'_, ResponseSample> {
        self.pending_samples.drain(..)
    }

    /// Stores a sample for the host to share with the peers.
    pub(crate) fn record_sample(&mut self, sample: ResponseSample) {
        if !self.settings.peers {
            return;
        }
        if self.pending_samples.len() >= MAX_PENDING_SAMPLES {
            self.pending_samples.remove(0);
        }
        self.pending_samples.push(sample);
    }

    /// Whether a request of the class is pending or an attempt of the class is in flight.
    pub fn references_class(&self, class: ClassId) -> bool {
        self.requests.values().any(|pending| pending.request.class == class)
            || self.in_flight.values().any(|attempt| attempt.class == class.0)
    }

    /// The number of listed servers that currently receive no requests or less than their share: draining servers and those
    /// that are considered slow, failing, silent or unreachable.
    pub fn avoided_servers(&self, now: Time) -> usize {
        let is_avoided = |server: &Server| match (server.endpoint.status, self.is_sparse) {
            (Status::Removed, _) => false,
            (Status::Draining, _) => true,
            (Status::Serving, true) => now < server.deprioritized_until || self.is_unreachable(server, now),
            (Status::Serving, false) => server.ejection.is_some(),
        };
        self.slots.values().filter(|&&i| is_avoided(&self.servers[i])).count()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/state.rs"]
mod tests;
