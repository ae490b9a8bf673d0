//! The settings of a balancer: request classes, tenants, objective, costs and the capabilities of the platform.

use super::{Micros, SettingsError, ZoneId};

/// Whether and where a request may be retried without running twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum RetrySafety {
    /// Idempotent: may be retried anywhere.
    #[default]
    Idempotent,
    /// Carries an idempotency key: the servers of `scope` drop duplicates for `window` from the first send on.
    Deduplicated {
        /// The servers that share their deduplication state.
        scope: DedupScope,
        /// How long duplicates are dropped, from the first send on.
        window: Micros,
    },
    /// Must not run twice.
    AtMostOnce,
}

/// The servers that share their deduplication state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DedupScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one deduplication group.
    Group,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Whether and where its requests may be retried.
    pub retry_safety: RetrySafety,
    /// A response within this time earns the full `priority_weight`.
    pub latency_objective: Micros,
    /// The latency objective grows by this multiple of the request's own work, up to the deadline.
    pub objective_stretch: f64,
    /// How long a client waits in total, over all its own retries.
    pub deadline: Micros,
    /// The value of a response within the latency objective.
    pub priority_weight: f64,
    /// The fraction of `priority_weight` earned by a response between the latency objective and the deadline.
    pub late_weight: f64,
    /// The response is a stream, announced by [`Event::FirstByte`](crate::Event::FirstByte).
    pub stream: bool,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            retry_safety: RetrySafety::Idempotent,
            latency_objective: Micros::from_ms(500.0),
            objective_stretch: 0.0,
            deadline: Micros::from_ms(1000.0),
            priority_weight: 1.0,
            late_weight: 0.0,
            stream: false,
        }
    }
}

/// A tenant with a quota of the service.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Tenant {
    /// Its quota, as a fraction of the service.
    pub fraction: f64,
    /// Its quota in requests per second, over all balancers.
    pub allowance_per_s: f64,
}

/// A value of a server's load report; [`Settings::report_fields`] gives their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LoadReportField {
    /// Requests in flight at the server.
    InFlight,
    /// Requests queued at the server.
    Queue,
    /// Utilisation of its cores, as a fraction.
    Utilisation,
    /// Recent service time in milliseconds, without queueing.
    ServiceTime,
    /// Responses per second.
    Rate,
    /// Errors per second.
    Errors,
    /// A value that the balancer does not use.
    Other,
}

/// Upper bound of the time between the start of a failed watch and its retry, unless [`MIN_WATCH_RETRY_DELAY`] after the
/// failure is later; jitter and the tick interval of the balancer are included. Two retries fit into the 6 s within which
/// the platform counts a change as delivered once discovery is reachable again; a discovery service that rejects
/// calls is given time to recover.
pub const MAX_WATCH_RETRY_DELAY: Micros = Micros(3_750_000);

/// The backoff after the first failed watch; it doubles with each further failure. Also the minimum backoff after a call
/// that timed out, before jitter.
pub const MIN_WATCH_RETRY_DELAY: Micros = Micros(600_000);

/// How changes of the endpoint list reach the balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Discovery {
    /// The host pushes them without a request.
    #[default]
    Pushed,
    /// Only after [`Action::Watch`](crate::Action::Watch) or [`Action::FetchEndpoints`](crate::Action::FetchEndpoints).
    OnRequest,
}

/// Where load reports come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum LoadReportSource {
    /// There are none.
    #[default]
    None,
    /// With outcomes and with health-check results.
    Responses,
    /// With health-check results only.
    HealthChecks,
}

/// The meaning of [`Endpoint::weight`](crate::Endpoint::weight).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Weights {
    /// None: weights are ignored.
    #[default]
    None,
    /// The capacity of the machine, exact or approximate.
    Size,
    /// The capacity divided by a past load.
    Live,
}

/// How the service weighs its results; the weights need not add up to one.
#[derive(Debug, Clone, PartialEq)]
pub struct Objective {
    /// All requests together.
    pub all_requests: f64,
    /// The worst time window.
    pub worst_window: f64,
    /// The class with the worst result.
    pub worst_class: f64,
    /// The tenant with the worst result within its quota.
    pub worst_tenant: f64,
}

impl Default for Objective {
    fn default() -> Self {
        Objective { all_requests: 1.0, worst_window: 0.0, worst_class: 0.0, worst_tenant: 0.0 }
    }
}

/// Costs, each as a fraction of the result at one occurrence per request.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Costs {
    /// An attempt that leaves the balancer's zone.
    pub cross_zone: f64,
    /// A health check.
    pub health_check: f64,
    /// A new connection.
    pub handshake: f64,
    /// Open connections, in units of one hundred per server.
    pub connection: f64,
    /// Work whose response was not used.
    pub waste: f64,
    /// A request that fails after its latency objective.
    pub late_fail: f64,
}

/// The configuration of a balancer.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Number of balancers of this service, this one included.
    pub balancers: u32,
    /// The zone of this balancer.
    pub zone: ZoneId,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The fraction of its weight that a request over its tenant's quota keeps.
    pub over_quota_weight: f64,
    /// Weights count per unit of work instead of per request.
    pub weight_by_work: bool,
    /// How the results are weighed.
    pub objective: Objective,
    /// What attempts, connections and health checks cost.
    pub costs: Costs,
    /// How changes of the endpoint list reach the balancer.
    pub discovery: Discovery,
    /// Without a watch the endpoint list must be polled at least this often.
    pub poll_interval: Micros,
    /// Where load reports come from.
    pub report_source: LoadReportSource,
    /// The values of a load report, in order.
    pub report_fields: Vec<LoadReportField>,
    /// The meaning of the weights in the endpoint list.
    pub weights: Weights,
    /// A server that served a key recently serves it again at lower cost.
    pub key_affinity: bool,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// A request may have two attempts in flight at once.
    pub hedging: bool,
    /// [`Action::Cancel`](crate::Action::Cancel) is supported.
    pub cancel: bool,
    /// [`Action::HealthCheck`](crate::Action::HealthCheck) is supported.
    pub health_checks: bool,
    /// [`Action::SendHint`](crate::Action::SendHint) is supported.
    pub peers: bool,
    /// Clients receive the Retry-After of [`Action::Shed`](crate::Action::Shed).
    pub retry_after: bool,
    /// The longest Retry-After that a client honours.
    pub max_retry_after: Micros,
    /// A draining or removed server may receive new requests for this long after the balancer was notified.
    pub drain_grace_period: Micros,
    /// The minimum capacity of a server at its start, as a fraction of its full capacity.
    pub initial_capacity: f64,
    /// The duration of slow start, after which a server has its full capacity.
    pub slow_start_window: Micros,
    /// A server in slow start fails when it is sent more than this multiple of its capacity for `overload_tolerance`.
    pub overload_factor: f64,
    /// How long a server in slow start withstands overload.
    pub overload_tolerance: Micros,
    /// The minimum interval between events.
    pub event_interval: Micros,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            balancers: 1,
            zone: ZoneId(0),
            classes: vec![Class::default()],
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            weight_by_work: false,
            objective: Objective::default(),
            costs: Costs::default(),
            discovery: Discovery::Pushed,
            poll_interval: Micros::from_ms(10_000.0),
            report_source: LoadReportSource::None,
            report_fields: Vec::new(),
            weights: Weights::None,
            key_affinity: false,
            max_attempts: 3,
            hedging: false,
            cancel: true,
            health_checks: false,
            peers: false,
            retry_after: false,
            max_retry_after: Micros::from_ms(1000.0),
            drain_grace_period: Micros::from_ms(1000.0),
            initial_capacity: 0.1,
            slow_start_window: Micros::from_ms(20_000.0),
            overload_factor: 2.0,
            overload_tolerance: Micros::from_ms(1000.0),
            event_interval: Micros::from_ms(1.0),
        }
    }
}

impl Settings {
    /// Validates the settings; [`crate::Balancer::new`] calls it.
    ///
    /// # Errors
    ///
    /// The first setting that is out of range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.max_attempts == 0 {
            return Err(SettingsError::NoAttempts);
        }
        for class in &self.classes {
            if class.latency_objective == Micros::ZERO {
                return Err(SettingsError::ZeroDuration { setting: "aim" });
            }
            if class.deadline == Micros::ZERO {
                return Err(SettingsError::ZeroDuration { setting: "deadline" });
            }
            if matches!(class.retry_safety, RetrySafety::Deduplicated { window: Micros::ZERO, .. }) {
                return Err(SettingsError::ZeroDuration { setting: "dedup window" });
            }
        }
        // The tolerance allows for rounding: a fraction may be the sum of others.
        let is_fraction = |value: f64| (0.0..=1.0 + 1e-6).contains(&value);
        if let Some(tenant) = self.tenants.iter().find(|tenant| !is_fraction(tenant.fraction)) {
            return Err(SettingsError::InvalidFraction { value: tenant.fraction });
        }
        let factors = [("cold_share", self.initial_capacity), ("overload_factor", self.overload_factor)];
        let weights = self.classes.iter().map(|class| ("worth", class.priority_weight));
        for (setting, value) in factors.into_iter().chain(weights) {
            if !value.is_finite() || value < 0.0 {
                return Err(SettingsError::InvalidNumber { setting, value });
            }
        }
        Ok(())
    }
}
