//! The agent's side of telemetry: the series of an instance, samples of membership, and the timers of requests and attempts.
//!
//! All counters are of the process's life. Durations are from the request's last byte to the last byte of its response.

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
use std::rc::Rc;
use tokio::time::Instant;

/// The route label of requests without a route.
pub const NO_ROUTE: &str = "none";
/// The retries that each request without a retry budget of its own adds to the common budget; as in the balancer.
const COMMON_RETRY_RATIO: f64 = 0.1;

/// The states of a member, in the order of [`Peers::states`].
const STATES: [State; 5] = [State::Absent, State::Alive, State::Suspect, State::Dead, State::Left];

/// The labels of received hints, in the order of [`PeerCounters::hint_verdicts`].
const RECEIVED_HINTS: [&str; 4] = ["taken", "too_often", "too_many", "alone"];

/// The series of an instance; none without remote write.
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

/// Publishes the budgets of the routes as gauges, beside the counters of what they spend.
pub fn publish_budgets(instance: &Instance, config: &Config) {
    let mut route_budgets =
        vec![RouteBudget { route: NO_ROUTE, retry_ratio: COMMON_RETRY_RATIO, hedge_ratio: None }];
    for route in &config.routes.routes {
        let pool = route.pool.as_ref().and_then(|name| config.routes.pools.iter().find(|p| p.name == *name));
        let budgets = [route.retry_budget, pool.and_then(|pool| pool.retry_budget)];
        // A retry is charged to each budget, so the smallest one limits it.
        let retries = budgets.into_iter().flatten().map(|b| b.ratio).reduce(f64::min);
        let hedge_shares = [route.max_hedge_ratio, pool.and_then(|pool| pool.max_hedge_ratio)];
        let hedges = hedge_shares.into_iter().flatten().reduce(f64::min);
        route_budgets.push(RouteBudget {
            route: &route.name,
            retry_ratio: retries.unwrap_or(COMMON_RETRY_RATIO),
            hedge_ratio: hedges.filter(|_| route.hedge != HedgePolicy::Never),
        });
    }
    instance.set_route_budgets(&route_budgets);
}

/// The labels of all series: the operator's, and job and instance unless the operator sets them.
fn external_labels(remote: &RemoteWrite, name: &str) -> Vec<(String, String)> {
    let own = [("job", "bellcroft"), ("instance", name)].map(|(n, v)| (n.to_owned(), v.to_owned()));
    let is_set = |name: &str| remote.labels.iter().any(|(n, _)| n == name);
    own.into_iter().filter(|(n, _)| !is_set(n)).chain(remote.labels.iter().cloned()).collect()
}

/// Samples what membership knows of the other instances; `stalls` are those that the driver detected. Counters are those of
/// the process's life.
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

/// Writes a sample into the series of a registry.
struct PeerSample<'a> {
    registry: &'a Registry,
}

impl PeerSample<'_> {
    fn gauge(&self, family: &'static Family, labels: &[&str], value: f64) {
        self.registry.gauge(family, labels).set(value);
    }

    /// Raises a counter to a total.
    fn count(&self, family: &'static Family, label: &str, total: u64) {
        let counter = self.registry.counter(family, &[label]);
        counter.inc_by((total as f64 - counter.get()).max(0.0));
    }

    fn members(&self, states: [usize; STATES.len()], status: &MembershipStatus) {
        for (state, count) in STATES.iter().zip(states) {
            self.gauge(&families::MEMBERS, &[state.as_str()], count as f64);
        }
        self.gauge(&families::MEMBERS_REACHABLE, &[], status.reachable.into());
        self.gauge(&families::MEMBERS_EFFECTIVE, &[], status.effective_size.into());
        self.gauge(&families::MEMBERS_EXPECTED, &[], status.expected_size.into());
        for quorum in QuorumState::ALL {
            let is_present = quorum.as_str() == status.quorum_state;
            self.gauge(&families::QUORUM_STATE, &[quorum.as_str()], f64::from(is_present));
        }
    }

    fn messages(&self, stats: &Stats, unsent: u64) {
        self.count(&families::MEMBER_DATAGRAMS, "sent", stats.sent_datagrams);
        self.count(&families::MEMBER_DATAGRAMS, "unsent", unsent);
        self.count(&families::MEMBER_DATAGRAMS, "taken", stats.accepted_datagrams);
        for (label, total) in RejectReason::LABELS.iter().zip(stats.rejected) {
            self.count(&families::MEMBER_DATAGRAMS, label, total);
        }
        self.count(&families::MEMBER_BYTES, "sent", stats.sent_bytes);
        self.count(&families::MEMBER_BYTES, "taken", stats.accepted_bytes);
        self.count(&families::MEMBER_PROBES, "sent", stats.probes_sent);
        self.count(&families::MEMBER_PROBES, "failed", stats.probes_failed);
    }

    fn events(&self, stats: &Stats, stalls: u64) {
        self.count(&families::MEMBER_EVENTS, "mistaken", stats.false_deaths);
        self.count(&families::MEMBER_EVENTS, "refuted", stats.refutations);
        self.count(&families::MEMBER_EVENTS, "stalled", stats.stalls.max(stalls));
    }

    fn hints(&self, counters: &PeerCounters) {
        self.count(&families::HINTS, "told", counters.hints_sent);
        self.count(&families::HINTS, "undelivered", counters.hints_undelivered);
        for (label, total) in RECEIVED_HINTS.iter().zip(counters.hint_verdicts) {
            self.count(&families::HINTS, label, total);
        }
    }

    fn digests(&self, stats: &Stats) {
        for (label, total) in ["whole", "cut", "refused"].iter().zip(stats.digests) {
            self.count(&families::DIGESTS, label, total);
        }
    }

    fn fleet(&self, status: &MembershipStatus) {
        self.gauge(&families::FLEET_SEEN, &["took"], status.fleet.latency);
        self.gauge(&families::FLEET_SEEN, &["full"], status.fleet.load);
        self.gauge(&families::FLEET_SEEN, &["refused"], status.fleet.shed_ratio);
    }
}

/// The configuration of remote write; none if it is not configured.
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

/// Measures a request until its response is written. Dropped before, it counts the request as left by its client.
pub struct PendingTimer {
    instance: Rc<Instance>,
    clock: Clock,
    request: RequestId,
    class: usize,
    received_at: Instant,
    outcome: FinalOutcome,
    is_written: bool,
}

impl PendingTimer {
    /// Starts at `received_at`, when the request was complete.
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
            is_written: false,
        }
    }

    /// The response has been decided, and is being written.
    pub fn set_outcome(&mut self, outcome: FinalOutcome) {
        self.outcome = outcome;
    }

    /// The kernel has taken the last byte of the response.
    pub fn on_response_written(mut self) {
        self.is_written = true;
    }
}

impl Drop for PendingTimer {
    fn drop(&mut self) {
        let outcome = if self.is_written { self.outcome } else { FinalOutcome::ClientLeft };
        let now = Instant::now();
        let elapsed = Micros(now.saturating_duration_since(self.received_at).as_micros() as u64);
        self.instance.request_finished(self.clock.at(now), self.request.0, self.class, outcome, elapsed);
    }
}

/// Reports the first byte of an attempt.
pub struct FirstByteReport {
    /// The series of this process.
    pub instance: Rc<Instance>,
    /// The balancer's clock.
    pub clock: Clock,
    /// The request.
    pub request: RequestId,
    /// The number of the attempt.
    pub attempt: u32,
    /// The server.
    pub server: ServerId,
}

impl FirstByteReport {
    /// The kernel has taken the first byte.
    pub fn on_written(self) {
        self.instance.first_byte(self.clock.now(), self.request.0, self.attempt, self.server.0);
    }
}
