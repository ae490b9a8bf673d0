//! The state of a balancer: servers, requests, attempts in flight and running averages. No decision is made here.

mod averages;
mod reconfigure;
mod requests;
mod servers;

pub(crate) use averages::{exponential_average, median, DecayingSum};
pub(crate) use requests::{
    AllowedActions, Attempt, AttemptKey, AttemptState, AwaitingProbes, InFlightAttempt, PendingRequest,
    SendScope,
};
pub(crate) use servers::{Ejection, MachineTypeLatency, Reachability, Server};

use crate::api::*;
use crate::decisions::{ConcurrencyUsage, FleetLoad, RetryBalances, SlowStart, Traffic};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of signals that are stored for a host that does not collect them; the oldest are dropped.
const MAX_PENDING_SAMPLES: usize = 64;

/// The latency that a class or a fleet is assumed to have before its first response, as a fraction of the objective.
const INITIAL_LATENCY: f64 = 0.2;

/// Running statistics of a request class.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClassStats {
    /// The latency over all servers as a fraction of the objective. It follows decreases faster than increases, so that
    /// congestion does not become the baseline.
    pub(crate) baseline_latency: f64,
    /// The recent latency over all servers as a fraction of the objective, with equal weight for slow responses.
    pub(crate) recent_latency: f64,
    /// The time left that most requests of the class arrive with: that of a client's first attempt.
    pub(crate) usual_time_left: Micros,
    /// How many recent requests agree with `usual_time_left`.
    pub(crate) usual_votes: u32,
    /// Requests that were recently rejected or failed and that no client's retry has followed yet.
    pub(crate) retriable_endings: DecayingSum,
    /// Its requests are shed last.
    pub(crate) is_protected: bool,
}

impl ClassStats {
    const INITIAL: ClassStats = ClassStats {
        baseline_latency: INITIAL_LATENCY,
        recent_latency: INITIAL_LATENCY,
        usual_time_left: Micros::ZERO,
        usual_votes: 0,
        retriable_endings: DecayingSum::ZERO,
        is_protected: false,
    };
}

/// The state of the watch on the endpoint list.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WatchState {
    /// The backoff after the next failure.
    pub(crate) backoff: Micros,
    /// When a failed watch is retried.
    pub(crate) retry_at: Option<Time>,
    /// When the watch was last started.
    pub(crate) started_at: Time,
}

/// The load-balancing decisions of one client process: where, when and how often its requests are sent.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    /// All known servers; the other fields refer to them by index.
    pub(crate) servers: Vec<Server>,
    pub(crate) index: BTreeMap<ServerId, usize>,
    /// Free slots of `servers`; nothing refers to them.
    pub(crate) free: Vec<usize>,
    /// The servers with status [`Status::Serving`].
    pub(crate) serving: Vec<usize>,
    /// The maximum of `serving.len()` so far.
    pub(crate) max_serving: usize,
    /// There are more balancers than servers: most of a server's load comes from other balancers, and this balancer's
    /// own counts of requests in flight hardly differ. A temporary decrease of the fleet does not set it.
    pub(crate) sparse: bool,
    /// The servers with the least load of the last selections.
    pub(crate) remembered: Vec<usize>,
    /// The server that each key was last sent to, if the service has key affinity.
    pub(crate) key_servers: BTreeMap<KeyId, usize>,
    /// Requests without a final response.
    pub(crate) requests: BTreeMap<RequestId, PendingRequest>,
    pub(crate) in_flight: BTreeMap<AttemptKey, InFlightAttempt>,
    /// Queued requests, newest first within each priority.
    pub(crate) queue: Vec<RequestId>,
    /// Requests whose candidates have been sent health checks.
    pub(crate) awaiting_probes: Vec<AwaitingProbes>,
    /// When which request may be hedged.
    pub(crate) hedges: BTreeSet<(Time, RequestId)>,
    pub(crate) classes: Vec<ClassStats>,
    pub(crate) traffic: Traffic,
    pub(crate) slow_start: SlowStart,
    pub(crate) fleet_load: FleetLoad,
    pub(crate) retry_balances: RetryBalances,
    pub(crate) concurrency: ConcurrencyUsage,
    /// The median latency of the serving servers, as a fraction of the objective.
    pub(crate) median_latency: f64,
    /// Scales the limits of all servers. A balancer sees few responses of each server but many of the fleet: congestion of
    /// most servers takes effect within a few round trips, where the limits per server would take half a minute.
    pub(crate) limit_scale: f64,
    pub(crate) machine_types: BTreeMap<MachineTypeId, MachineTypeLatency>,
    pub(crate) zones: BTreeMap<ZoneId, Reachability>,
    /// When a request may be sent again although all zones are considered unreachable.
    pub(crate) next_unreachable_attempt: Time,
    /// Bytes that may be spent on hints to peers.
    pub(crate) hint_budget: f64,
    /// Samples that the host has not collected yet.
    pub(crate) pending_samples: Vec<ResponseSample>,
    /// The average load by the last reports of all servers.
    pub(crate) average_reported_load: f64,
    pub(crate) watch: WatchState,
    pub(crate) next_tick: Time,
}

impl Balancer {
    /// A balancer without endpoints or requests.
    pub(crate) fn empty(settings: Settings, seed: u64, hint_budget: f64) -> Self {
        Balancer {
            rng: fastrand::Rng::with_seed(seed),
            servers: Vec::new(),
            index: BTreeMap::new(),
            free: Vec::new(),
            serving: Vec::new(),
            max_serving: 0,
            sparse: false,
            remembered: Vec::new(),
            key_servers: BTreeMap::new(),
            requests: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            queue: Vec::new(),
            awaiting_probes: Vec::new(),
            hedges: BTreeSet::new(),
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

    /// Drains the signals since the last call, at most the latest 64. Empty unless [`Settings::peers`] is set.
    pub fn drain_samples(&mut self) -> std::vec::Drain<'_, ResponseSample> {
        self.pending_samples.drain(..)
    }

    /// Stores a signal for the host to share with the peers.
    pub(crate) fn record_sample(&mut self, sample: ResponseSample) {
        if !self.settings.peers {
            return;
        }
        if self.pending_samples.len() >= MAX_PENDING_SAMPLES {
            self.pending_samples.remove(0);
        }
        self.pending_samples.push(sample);
    }

    /// Whether a request or an attempt of the class is in progress.
    pub fn references_class(&self, class: ClassId) -> bool {
        self.requests.values().any(|pending| pending.request.class == class)
            || self.in_flight.values().any(|attempt| attempt.class == class.0)
    }

    /// The number of listed servers that receive no requests at present, or less than their share: draining servers, and
    /// those that are considered slow, failing, silent or unreachable.
    pub fn avoided_servers(&self, now: Time) -> usize {
        let is_avoided = |server: &Server| match (server.endpoint.status, self.sparse) {
            (Status::Removed, _) => false,
            (Status::Draining, _) => true,
            (Status::Serving, true) => now < server.deprioritized_until || self.is_unreachable(server, now),
            (Status::Serving, false) => server.ejection.is_some(),
        };
        self.index.values().filter(|&&i| is_avoided(&self.servers[i])).count()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/state.rs"]
mod tests;
