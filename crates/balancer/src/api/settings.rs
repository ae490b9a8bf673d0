//! The settings of a balancer: request classes, tenants, objective, costs and the features that the platform supports.

use super::{Micros, SettingsError, ZoneId};

/// Whether a request may be retried without running twice, and on which servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum RetrySafety {
    /// The request is idempotent and may be retried on any server.
    #[default]
    Idempotent,
    /// The request carries an idempotency key, by which the servers of `scope` discard duplicates within `window`.
    Deduplicated {
        /// The servers that share their deduplication state.
        scope: DedupScope,
        /// The dedup window: the time for which duplicates are discarded, from the first send on.
        window: Micros,
    },
    /// The request must not run twice.
    AtMostOnce,
}

/// The servers that share their deduplication state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DedupScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one dedup group.
    Group,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Whether and where requests of the class may be retried.
    pub retry_safety: RetrySafety,
    /// A response within this time earns the full `priority_weight`.
    pub latency_objective: Micros,
    /// The multiple of the request's own work that is added to the latency objective, up to the deadline.
    pub objective_stretch: f64,
    /// The total time that a client waits, its own retries included.
    pub deadline: Micros,
    /// The value of a response within the latency objective.
    pub priority_weight: f64,
    /// The fraction of `priority_weight` that a response between the latency objective and the deadline earns.
    pub late_weight: f64,
    /// True if the response is a stream, whose start [`Event::FirstByte`](crate::Event::FirstByte) reports.
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

/// A tenant and its quota of the service.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Tenant {
    /// The tenant's quota as a fraction of the service's traffic.
    pub fraction: f64,
    /// The tenant's quota in requests per second, over all balancers.
    pub allowance_per_s: f64,
}

/// The meaning of a value in a server's load report; [`Settings::report_fields`] gives the order of the values.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LoadReportField {
    /// Number of requests in flight at the server.
    InFlight,
    /// Number of requests queued at the server.
    Queue,
    /// Utilisation of the server's cores, as a fraction.
    Utilisation,
    /// Recent service time without queueing, in milliseconds.
    ServiceTime,
    /// Number of responses per second.
    Rate,
    /// Number of errors per second.
    Errors,
    /// A value that the balancer does not use.
    Other,
}

/// Upper bound of the time from the start of a failed watch to its retry, jitter and the tick interval included. If
/// [`MIN_WATCH_RETRY_DELAY`] after the failure is later than this bound, it is the bound instead.
///
/// The platform expects a change to be delivered within 6 s after discovery is reachable again, and two retries fit into
/// this time. A discovery service that rejects calls still has time to recover.
pub const MAX_WATCH_RETRY_DELAY: Micros = Micros(3_750_000);

/// Backoff after the first failed watch; it doubles with each further failure. Also the minimum backoff after a call that
/// timed out, before jitter.
pub const MIN_WATCH_RETRY_DELAY: Micros = Micros(600_000);

/// How the balancer receives changes of the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Discovery {
    /// The host delivers them without being asked.
    #[default]
    Pushed,
    /// The host delivers them only after [`Action::Watch`](crate::Action::Watch) or
    /// [`Action::FetchEndpoints`](crate::Action::FetchEndpoints).
    OnRequest,
}

/// The source of load reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum LoadReportSource {
    /// There are no load reports.
    #[default]
    None,
    /// Load reports come with the outcomes of attempts and of health checks.
    Responses,
    /// Load reports come with the outcomes of health checks only.
    HealthChecks,
}

/// The meaning of [`Endpoint::weight`](crate::Endpoint::weight).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Weights {
    /// Weights have no meaning and are ignored.
    #[default]
    None,
    /// The exact or approximate capacity of the machine.
    Size,
    /// The capacity divided by a past load.
    Live,
}

/// The weights with which the service rates its results; they need not add up to one.
#[derive(Debug, Clone, PartialEq)]
pub struct Objective {
    /// The weight of the result over all requests.
    pub all_requests: f64,
    /// The weight of the worst time window.
    pub worst_window: f64,
    /// The weight of the class with the worst result.
    pub worst_class: f64,
    /// The weight of the tenant with the worst result within its quota.
    pub worst_tenant: f64,
}

impl Default for Objective {
    fn default() -> Self {
        Objective { all_requests: 1.0, worst_window: 0.0, worst_class: 0.0, worst_tenant: 0.0 }
    }
}

/// Costs, each as a fraction of the result that it takes away if it occurs once per request.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Costs {
    /// The cost of an attempt that leaves the balancer's zone.
    pub cross_zone: f64,
    /// The cost of a health check.
    pub health_check: f64,
    /// The cost of a new connection.
    pub handshake: f64,
    /// The cost of open connections, per hundred connections at each server.
    pub connection: f64,
    /// The cost of work whose response is not used.
    pub waste: f64,
    /// The cost of a request that fails after its latency objective.
    pub late_fail: f64,
}

/// The configuration of a balancer.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The number of balancers of this service, this one included.
    pub balancers: u32,
    /// The zone of this balancer.
    pub zone: ZoneId,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The fraction of its weight that a request beyond its tenant's quota keeps.
    pub over_quota_weight: f64,
    /// True if priority weights apply per unit of work instead of per request.
    pub weight_by_work: bool,
    /// The weights with which results are rated.
    pub objective: Objective,
    /// The costs of attempts, connections and health checks.
    pub costs: Costs,
    /// How the balancer receives changes of the endpoint list.
    pub discovery: Discovery,
    /// The maximum interval between polls of the endpoint list without a watch.
    pub poll_interval: Micros,
    /// The source of load reports.
    pub report_source: LoadReportSource,
    /// The values of a load report, in order.
    pub report_fields: Vec<LoadReportField>,
    /// The meaning of the weights in the endpoint list.
    pub weights: Weights,
    /// True if a server that has recently served a key serves it again at lower cost.
    pub key_affinity: bool,
    /// The maximum number of attempts per request.
    pub max_attempts: u32,
    /// True if a request may have two attempts in flight at the same time.
    pub hedging: bool,
    /// True if [`Action::Cancel`](crate::Action::Cancel) is supported.
    pub cancel: bool,
    /// True if [`Action::HealthCheck`](crate::Action::HealthCheck) is supported.
    pub health_checks: bool,
    /// True if [`Action::SendHint`](crate::Action::SendHint) is supported.
    pub peers: bool,
    /// True if clients receive the Retry-After of [`Action::Shed`](crate::Action::Shed).
    pub retry_after: bool,
    /// The longest Retry-After that a client honours.
    pub max_retry_after: Micros,
    /// The time for which a draining or removed server may still receive new requests after the balancer was notified.
    pub drain_grace_period: Micros,
    /// The minimum capacity of a server at its start, as a fraction of its full capacity.
    pub initial_capacity: f64,
    /// The duration of slow start, after which a server has reached its full capacity.
    pub slow_start_window: Micros,
    /// The multiple of its capacity above which a server in slow start is overloaded; it fails if this lasts for
    /// `overload_tolerance`.
    pub overload_factor: f64,
    /// The time for which a server in slow start withstands overload.
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
    /// The first setting that is found to be out of range.
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
        // A fraction may be the sum of others, so a small tolerance allows for rounding.
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
