//! Where the agent's sockets meet its counts: what is sampled, and the marks that tell the observer what has left.

use crate::clock::Clock;
use crate::daemon::config::Config;
use crate::peers::Peers;
use bellcroft_balancer::{Micros, RequestId, ServerId};
use bellcroft_membership::{QuorumState, RejectReason, State};
use bellcroft_operator_config::RemoteWrite;
use bellcroft_routes::SecondCopy;
use bellcroft_telemetry::{families, About, Allowed, Instance, Over, Policy, Registry, Version};
use families::Family;
use std::rc::Rc;
use tokio::time::Instant;

/// What a request without a route is counted under.
pub const NO_ROUTE: &str = "none";
/// Further attempts that a request without a budget of its own earns; the decisions' own figure.
const COMMON_RATIO: f64 = 0.1;

/// What can be held of a member, in the order of [`Peers::states`].
const STATES: [State; 5] = [State::Absent, State::Alive, State::Suspect, State::Dead, State::Left];

/// The series of an instance whose operator wants them sent.
pub fn instance(config: &Config, started_ms: u64) -> Option<Rc<Instance>> {
    let remote = config.remote_write.as_ref()?;
    let instance = Instance::new(&About {
        settings: &config.settings,
        classes: &config.names.classes,
        tenants: &config.names.tenants,
        zones: &config.names.zones,
        version: env!("CARGO_PKG_VERSION"),
        started: started_ms as f64 / 1e3,
        external: &labels(remote, &config.name),
        server_names: remote.server_names,
    });
    budgets(&instance, config);
    Some(Rc::new(instance))
}

/// What the routes allow, as gauges beside what they spend.
pub fn budgets(instance: &Instance, config: &Config) {
    let mut allowed = vec![Allowed { route: NO_ROUTE, retries: COMMON_RATIO, copies: None }];
    for route in &config.routes.routes {
        let pool = route.pool.as_ref().and_then(|name| config.routes.pools.iter().find(|p| p.name == *name));
        let budgets = [route.retry_budget, pool.and_then(|pool| pool.retry_budget)];
        // Every one of them pays, so the smallest is what is allowed.
        let retries = budgets.into_iter().flatten().map(|b| b.ratio).reduce(f64::min);
        let shares = [route.second_copies_most, pool.and_then(|pool| pool.second_copies_most)];
        let copies = shares.into_iter().flatten().reduce(f64::min);
        allowed.push(Allowed {
            route: &route.name,
            retries: retries.unwrap_or(COMMON_RATIO),
            copies: copies.filter(|_| route.second_copy_after != SecondCopy::Never),
        });
    }
    instance.allowed(&allowed);
}

fn labels(remote: &RemoteWrite, name: &str) -> Vec<(String, String)> {
    let own = [("job", "bellcroft"), ("instance", name)].map(|(n, v)| (n.to_owned(), v.to_owned()));
    let said = |name: &str| remote.labels.iter().any(|(n, _)| n == name);
    own.into_iter().filter(|(n, _)| !said(n)).chain(remote.labels.iter().cloned()).collect()
}

/// What is known of the other instances, as series; the counts are those of the process's life.
pub fn peers(registry: &Registry, peers: &Peers, stalls: u64) {
    let gauge = |family: &'static Family, labels: &[&str], value: f64| {
        registry.gauge(family, labels).set(value);
    };
    for (state, count) in STATES.iter().zip(peers.states()) {
        gauge(&families::MEMBERS, &[state.as_str()], count as f64);
    }
    let status = peers.status();
    gauge(&families::MEMBERS_HERE, &[], status.reachable.into());
    gauge(&families::MEMBERS_RECKONED, &[], status.effective_size.into());
    gauge(&families::MEMBERS_ROSTER, &[], status.expected_size.into());
    for stance in QuorumState::ALL {
        gauge(&families::STANCE, &[stance.as_str()], f64::from(stance.as_str() == status.quorum_state));
    }
    let (figures, counters) = peers.stats();
    let count = |family: &'static Family, label: &str, total: u64| {
        let counter = registry.counter(family, &[label]);
        counter.inc_by((total as f64 - counter.get()).max(0.0));
    };
    for (word, total) in [
        ("sent", figures.sent_datagrams),
        ("unsent", counters.unsent_datagrams),
        ("taken", figures.accepted_datagrams),
    ] {
        count(&families::MEMBER_DATAGRAMS, word, total);
    }
    for (word, total) in RejectReason::LABELS.iter().zip(figures.rejected) {
        count(&families::MEMBER_DATAGRAMS, word, total);
    }
    count(&families::MEMBER_BYTES, "sent", figures.sent_bytes);
    count(&families::MEMBER_BYTES, "taken", figures.accepted_bytes);
    count(&families::MEMBER_PROBES, "sent", figures.probes_sent);
    count(&families::MEMBER_PROBES, "failed", figures.probes_failed);
    for (word, total) in [
        ("mistaken", figures.false_deaths),
        ("refuted", figures.refutations),
        ("stalled", figures.stalls.max(stalls)),
    ] {
        count(&families::MEMBER_EVENTS, word, total);
    }
    let verdicts = counters.hint_verdicts;
    for (word, total) in [
        ("told", counters.hints_sent),
        ("undelivered", counters.hints_undelivered),
        ("taken", verdicts[0]),
        ("too_often", verdicts[1]),
        ("too_many", verdicts[2]),
        ("alone", verdicts[3]),
    ] {
        count(&families::HINTS, word, total);
    }
    for (word, total) in ["whole", "cut", "refused"].iter().zip(figures.digests) {
        count(&families::DIGESTS, word, total);
    }
    let seen = [
        ("took", status.fleet.latency),
        ("full", status.fleet.load),
        ("refused", status.fleet.rejection_ratio),
    ];
    for (word, value) in seen {
        gauge(&families::FLEET_SEEN, &[word], value);
    }
}

/// What the task that sends goes by.
pub fn remote(config: &Config) -> Option<bellcroft_telemetry::Config> {
    let remote = config.remote_write.as_ref()?;
    Some(bellcroft_telemetry::Config {
        url: remote.url.clone(),
        token: remote.token.clone(),
        interval: remote.interval,
        timeout: remote.timeout,
        policy: Policy {
            version: if remote.version_2 { Version::V2 } else { Version::V1 },
            queue_bytes: remote.queue_bytes,
            backoff_first: remote.retry.0,
            backoff_most: remote.retry.1,
            flush_within: remote.flush_within,
            ..Policy::default()
        },
        labels: labels(remote, &config.name),
    })
}

/// A request that is not over yet. Dropped before its answer has left, it was left by its client.
pub struct PendingTimer {
    instance: Rc<Instance>,
    clock: Clock,
    id: RequestId,
    class: usize,
    from: Instant,
    over: Over,
    out: bool,
}

impl PendingTimer {
    /// A request that came whole at `from`.
    pub fn new(instance: Rc<Instance>, clock: Clock, id: RequestId, class: usize, from: Instant) -> Self {
        PendingTimer { instance, clock, id, class, from, over: Over::Left, out: false }
    }

    /// Its answer is decided and on its way to the socket.
    pub fn set_outcome(&mut self, over: Over) {
        self.over = over;
    }

    /// The last byte of its answer has been taken by the kernel.
    pub fn left(mut self) {
        self.out = true;
    }
}

impl Drop for PendingTimer {
    fn drop(&mut self) {
        let over = if self.out { self.over } else { Over::Left };
        let now = Instant::now();
        let took = Micros(now.saturating_duration_since(self.from).as_micros() as u64);
        self.instance.over(self.clock.at(now), self.id.0, self.class, over, took);
    }
}

/// An attempt whose first byte has not left.
pub struct FirstByte {
    /// Who is told.
    pub instance: Rc<Instance>,
    /// The decisions' clock.
    pub clock: Clock,
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: u32,
    /// The server.
    pub server: ServerId,
}

impl FirstByte {
    /// It has.
    pub fn left(self) {
        self.instance.first_byte(self.clock.now(), self.request.0, self.attempt, self.server.0);
    }
}
