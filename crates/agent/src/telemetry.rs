//! The agent's metrics: the series of an instance, samples of membership, and timers of requests and attempts.
//!
//! Counters start at zero with the process. Request durations are measured from the last byte of the request to the last
//! byte of its response.

use crate::clock::Clock;
use crate::daemon::config::Config;
use crate::peers::status::MembershipStatus;
use crate::peers::{PeerCounters, Peers};
use bellcroft_balancer::{Micros, RequestId, ServerId};
use bellcroft_membership::{QuorumState, RejectReason, State, Stats};
use bellcroft_operator_config::RemoteWrite;
use bellcroft_routes::HedgePolicy;
use bellcroft_telemetry::{
    families, FinalOutcome, Instance, InstanceInfo, Policy, Registry, RouteBudget, Version,
};
use families::Family;
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

/// Value of the route label for requests without a route.
pub const NO_ROUTE: &str = "none";
/// Retries that each request adds to the default budget if neither its route nor its pool has a retry budget; the same value
/// as in the balancer.
const DEFAULT_RETRY_RATIO: f64 = 0.1;

/// States of a member, in the order of [`Peers::states`].
const MEMBER_STATES: [State; 5] = [State::Absent, State::Alive, State::Suspect, State::Dead, State::Left];

/// Label values of received hints, in the order of [`PeerCounters::hint_verdicts`].
const HINT_VERDICT_LABELS: [&str; 4] = ["taken", "too_often", "too_many", "alone"];

/// Creates the series of an instance; none without remote write.
pub fn start(config: &Config, started_ms: u64) -> Option<Rc<Instance>> {
    let remote = config.remote_write.as_ref()?;
    let instance = Instance::new(&InstanceInfo {
        settings: &config.settings,
        classes: &config.names.classes,
        tenants: &config.names.tenants,
        zones: &config.names.zones,
        version: env!("CARGO_PKG_VERSION"),
        started: started_ms as f64 / 1e3,
        external: &external_labels(remote, &config.name),
        server_names: remote.server_names,
    });
    publish_budgets(&instance, config);
    Some(Rc::new(instance))
}

/// Publishes the retry and hedge budgets of the routes as gauges, for comparison with the counters of their use.
pub fn publish_budgets(instance: &Instance, config: &Config) {
    let mut route_budgets =
        vec![RouteBudget { route: NO_ROUTE, retry_ratio: DEFAULT_RETRY_RATIO, hedge_ratio: None }];
    for route in &config.routes.routes {
        let pool = route.pool.as_ref().and_then(|name| config.routes.pools.iter().find(|p| p.name == *name));
        let budgets = [route.retry_budget, pool.and_then(|pool| pool.retry_budget)];
        // A retry is charged to each budget, so the smallest one limits it.
        let retries = budgets.into_iter().flatten().map(|b| b.ratio).reduce(f64::min);
        let hedge_shares = [route.max_hedge_ratio, pool.and_then(|pool| pool.max_hedge_ratio)];
        let hedges = hedge_shares.into_iter().flatten().reduce(f64::min);
        route_budgets.push(RouteBudget {
            route: &route.name,
            retry_ratio: retries.unwrap_or(DEFAULT_RETRY_RATIO),
            hedge_ratio: hedges.filter(|_| route.hedge != HedgePolicy::Never),
        });
    }
    instance.set_route_budgets(&route_budgets);
}

/// Labels that all series have: those that the operator sets, and defaults for `job` and `instance`.
fn external_labels(remote: &RemoteWrite, name: &str) -> Vec<(String, String)> {
    let defaults = [("job", "bellcroft"), ("instance", name)].map(|(n, v)| (n.to_owned(), v.to_owned()));
    let is_set = |name: &str| remote.labels.iter().any(|(n, _)| n == name);
    defaults.into_iter().filter(|(n, _)| !is_set(n)).chain(remote.labels.iter().cloned()).collect()
}

/// Samples the metrics of membership and peers. `stalls` is the number of stalls that the driver has detected since the
/// start of the process.
pub fn sample_peers(registry: &Registry, peers: &Peers, stalls: u64) {
    let sample = PeerSample { registry };
    let status = peers.status();
    let (stats, counters) = peers.stats();
    sample.members(peers.states(), &status);
    sample.messages(&stats, counters.unsent_datagrams);
    sample.events(&stats, stalls);
    sample.hints(&counters);
    sample.digests(&stats);
    sample.fleet(&status);
}

/// Writes the values of a sample to the series of a registry.
struct PeerSample<'a> {
    registry: &'a Registry,
}

impl PeerSample<'_> {
    fn gauge(&self, family: &'static Family, labels: &[&str], value: f64) {
        self.registry.gauge(family, labels).set(value);
    }

    /// Raises a counter to `total`; a counter is never lowered.
    fn raise_counter(&self, family: &'static Family, label: &str, total: u64) {
        let counter = self.registry.counter(family, &[label]);
        counter.inc_by((total as f64 - counter.get()).max(0.0));
    }

    fn members(&self, states: [usize; MEMBER_STATES.len()], status: &MembershipStatus) {
        for (state, count) in MEMBER_STATES.iter().zip(states) {
            self.gauge(&families::MEMBERS, &[state.as_str()], count as f64);
        }
        self.gauge(&families::MEMBERS_REACHABLE, &[], status.reachable.into());
        self.gauge(&families::MEMBERS_EFFECTIVE, &[], status.effective_size.into());
        self.gauge(&families::MEMBERS_EXPECTED, &[], status.expected_size.into());
        for quorum in QuorumState::ALL {
            let is_current = quorum.as_str() == status.quorum_state;
            self.gauge(&families::QUORUM_STATE, &[quorum.as_str()], f64::from(is_current));
        }
    }

    fn messages(&self, stats: &Stats, unsent: u64) {
        self.raise_counter(&families::MEMBER_DATAGRAMS, "sent", stats.sent_datagrams);
        self.raise_counter(&families::MEMBER_DATAGRAMS, "unsent", unsent);
        self.raise_counter(&families::MEMBER_DATAGRAMS, "taken", stats.accepted_datagrams);
        for (label, total) in RejectReason::LABELS.iter().zip(stats.rejected) {
            self.raise_counter(&families::MEMBER_DATAGRAMS, label, total);
        }
        self.raise_counter(&families::MEMBER_BYTES, "sent", stats.sent_bytes);
        self.raise_counter(&families::MEMBER_BYTES, "taken", stats.accepted_bytes);
        self.raise_counter(&families::MEMBER_PROBES, "sent", stats.probes_sent);
        self.raise_counter(&families::MEMBER_PROBES, "failed", stats.probes_failed);
    }

    fn events(&self, stats: &Stats, stalls: u64) {
        self.raise_counter(&families::MEMBER_EVENTS, "mistaken", stats.false_deaths);
        self.raise_counter(&families::MEMBER_EVENTS, "refuted", stats.refutations);
        self.raise_counter(&families::MEMBER_EVENTS, "stalled", stats.stalls.max(stalls));
    }

    fn hints(&self, counters: &PeerCounters) {
        self.raise_counter(&families::HINTS, "told", counters.hints_sent);
        self.raise_counter(&families::HINTS, "undelivered", counters.hints_undelivered);
        for (label, total) in HINT_VERDICT_LABELS.iter().zip(counters.hint_verdicts) {
            self.raise_counter(&families::HINTS, label, total);
        }
    }

    fn digests(&self, stats: &Stats) {
        for (label, total) in ["whole", "cut", "refused"].iter().zip(stats.digests) {
            self.raise_counter(&families::DIGESTS, label, total);
        }
    }

    fn fleet(&self, status: &MembershipStatus) {
        self.gauge(&families::FLEET_SEEN, &["took"], status.fleet.latency);
        self.gauge(&families::FLEET_SEEN, &["full"], status.fleet.load);
        self.gauge(&families::FLEET_SEEN, &["refused"], status.fleet.shed_ratio);
    }
}

/// Converts the remote write section of the configuration; none if there is none.
pub fn remote_write(config: &Config) -> Option<bellcroft_telemetry::Config> {
    let remote = config.remote_write.as_ref()?;
    Some(bellcroft_telemetry::Config {
        url: remote.url.clone(),
        token: remote.token.clone(),
        interval: remote.interval,
        timeout: remote.timeout,
        policy: Policy {
            version: if remote.version_2 { Version::V2 } else { Version::V1 },
            queue_bytes: remote.queue_bytes,
            initial_backoff: remote.retry.0,
            max_backoff: remote.retry.1,
            flush_timeout: remote.flush_within,
            ..Policy::default()
        },
        labels: external_labels(remote, &config.name),
    })
}

/// Measures the duration of a request until its response is written. A timer that is dropped earlier counts the request as
/// abandoned by its client.
pub struct PendingTimer {
    instance: Rc<Instance>,
    clock: Clock,
    request: RequestId,
    class: usize,
    received_at: Instant,
    outcome: FinalOutcome,
    has_response_begun: Cell<bool>,
    is_written: bool,
}

impl PendingTimer {
    /// Starts the timer at `received_at`, when the request was complete.
    pub fn new(
        instance: Rc<Instance>,
        clock: Clock,
        request: RequestId,
        class: usize,
        received_at: Instant,
    ) -> Self {
        PendingTimer {
            instance,
            clock,
            request,
            class,
            received_at,
            outcome: FinalOutcome::ClientLeft,
            has_response_begun: Cell::new(false),
            is_written: false,
        }
    }

    /// Records the outcome of the request, once the response has been decided and is being written.
    pub fn set_outcome(&mut self, outcome: FinalOutcome) {
        self.outcome = outcome;
    }

    /// Records that the response has begun, and goes on while its server sends it.
    pub fn on_response_begun(&self) {
        self.has_response_begun.set(true);
        self.instance.response_begun(self.clock.now(), self.request.0);
    }

    /// Records that the response stays incomplete after it has begun.
    pub fn on_response_failed(mut self) {
        self.outcome = FinalOutcome::Failed;
        self.is_written = true;
    }

    /// Records that the last byte of the response was passed to the kernel.
    pub fn on_response_written(mut self) {
        self.is_written = true;
    }
}

impl Drop for PendingTimer {
    fn drop(&mut self) {
        let outcome = if self.is_written { self.outcome } else { FinalOutcome::ClientLeft };
        let now = Instant::now();
        let elapsed = Micros(now.saturating_duration_since(self.received_at).as_micros() as u64);
        if self.has_response_begun.get() {
            self.instance.count_finished_request(self.class, outcome, elapsed);
        } else {
            self.instance.request_finished(self.clock.at(now), self.request.0, self.class, outcome, elapsed);
        }
    }
}

/// Reports to telemetry when the first byte of an attempt is sent.
pub struct FirstByteReport {
    /// Series of this process.
    pub instance: Rc<Instance>,
    /// Clock that the balancer uses.
    pub clock: Clock,
    /// Id of the request.
    pub request: RequestId,
    /// Number of the attempt within the request.
    pub attempt: u32,
    /// Id of the server.
    pub server: ServerId,
}

impl FirstByteReport {
    /// Reports that the first byte was passed to the kernel.
    pub fn on_written(self) {
        self.instance.first_byte(self.clock.now(), self.request.0, self.attempt, self.server.0);
    }
}
