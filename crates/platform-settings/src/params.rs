//! The settings object in its JSON form, with the platform's keys.

use serde::Deserialize;

/// The settings of an instance. Absent keys take the values of [`Default`]; unknown keys are ignored.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Params {
    pub(crate) balancers: Option<u32>,
    pub(crate) classes: Vec<ClassParams>,
    pub(crate) discovery: Option<DiscoveryMode>,
    #[serde(rename = "familyInfo")]
    pub(crate) service: ServiceParams,
    #[serde(rename = "feedback")]
    pub(crate) load_reports: LoadReportParams,
    #[serde(rename = "goal")]
    pub(crate) objective: ObjectiveParams,
    pub(crate) limits: Limits,
    #[serde(rename = "overShareWorth")]
    pub(crate) over_quota_weight: Option<f64>,
    #[serde(rename = "parties")]
    pub(crate) tenants: Vec<TenantParams>,
    #[serde(rename = "penalties")]
    pub(crate) costs: CostParams,
    #[serde(rename = "periodMs")]
    pub(crate) event_interval_ms: Option<f64>,
    pub(crate) rules: Rules,
    pub(crate) weights: Option<WeightMeaning>,
    #[serde(rename = "worthBy")]
    pub(crate) weight_unit: Option<WeightUnit>,
    pub(crate) zone: u32,
    pub(crate) zones: Vec<String>,
    #[serde(rename = "kinds")]
    pub(crate) machine_types: Vec<String>,
}

/// A request class.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct ClassParams {
    #[serde(rename = "aimStretch")]
    pub(crate) objective_stretch: Option<f64>,
    #[serde(rename = "aimMs")]
    pub(crate) latency_objective_ms: f64,
    pub(crate) deadline_ms: f64,
    #[serde(rename = "effect")]
    pub(crate) retry_safety: RetrySafetyParam,
    pub(crate) name: String,
    #[serde(rename = "group")]
    pub(crate) dedup_scope: Option<DedupScopeParam>,
    #[serde(rename = "lateWorth")]
    pub(crate) late_weight: f64,
    pub(crate) stream: bool,
    pub(crate) dedup_window_ms: f64,
    #[serde(rename = "points")]
    pub(crate) priority_weight: f64,
}

/// Retry safety of the requests of a class.
#[derive(Debug, Default, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RetrySafetyParam {
    Idempotent,
    Deduplicated,
    #[default]
    AtMostOnce,
}

/// The servers that share their deduplication state.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum DedupScopeParam {
    All,
    Zone,
    #[serde(rename = "cell")]
    Group,
}

/// How an instance is notified of changes of the endpoint list.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum DiscoveryMode {
    Pushed,
    OnRequest,
}

/// The meaning of the weights in the endpoint list.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum WeightMeaning {
    Silent,
    Nominal,
    Rough,
    Live,
}

/// The unit that a priority weight applies to: a request, or a unit of its work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum WeightUnit {
    Request,
    Work,
}

/// The source of load reports.
#[derive(Debug, Default, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ReportSource {
    Piggyback,
    Pull,
    #[default]
    Silent,
}

/// Properties of the service.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct ServiceParams {
    #[serde(rename = "warmKeys")]
    pub(crate) key_affinity: bool,
}

/// Load reports of servers.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct LoadReportParams {
    pub(crate) fields: Vec<String>,
    pub(crate) source: ReportSource,
}

/// Weights of the parts of the objective.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct ObjectiveParams {
    pub(crate) whole: f64,
    pub(crate) worst_class: f64,
    pub(crate) worst_tenant: f64,
    pub(crate) worst_window: f64,
}

/// Limits and capabilities of the platform.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct Limits {
    pub(crate) cancel: bool,
    pub(crate) max_attempts: Option<u32>,
    pub(crate) connect_timeout_ms: Option<f64>,
    pub(crate) keepalive_ms: Option<f64>,
    pub(crate) max_retry_after_ms: f64,
    pub(crate) peers: bool,
    #[serde(rename = "probes")]
    pub(crate) health_checks: bool,
    pub(crate) retry_after: bool,
    #[serde(rename = "secondCopies")]
    pub(crate) hedging: bool,
}

/// A tenant.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct TenantParams {
    pub(crate) allowance_per_s: f64,
    pub(crate) fraction: f64,
    pub(crate) name: String,
}

/// Costs, each as a fraction of the result.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct CostParams {
    pub(crate) connection: f64,
    pub(crate) cross_zone: f64,
    pub(crate) handshake: f64,
    pub(crate) late_fail: f64,
    pub(crate) probe: f64,
    pub(crate) waste: f64,
}

/// Parameters of the platform's rules.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct Rules {
    #[serde(rename = "askWithinMs")]
    pub(crate) poll_interval_ms: Option<f64>,
    #[serde(rename = "coldShare")]
    pub(crate) initial_capacity: Option<f64>,
    #[serde(rename = "warmAfterMs")]
    pub(crate) slow_start_window_ms: Option<f64>,
    #[serde(rename = "stopSendingWithinMs")]
    pub(crate) drain_grace_period_ms: Option<f64>,
    pub(crate) overload_factor: Option<f64>,
    #[serde(rename = "fallMs")]
    pub(crate) fall_after_ms: Option<f64>,
}
