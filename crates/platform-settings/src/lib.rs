//! Reads the settings object that an instance is given: in the simulator's first message, and in a real
//! agent's configuration. The one place where its words are known.

use bellcroft_balancer::*;
use serde::Deserialize;

/// An instance's settings. Absent keys take the values of [`Default`]; unknown ones are skipped.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Params {
    pub(crate) balancers: Option<u32>,
    pub(crate) classes: Vec<ClassParams>,
    pub(crate) discovery: Option<DiscoveryWord>,
    pub(crate) family_info: FamilyInfo,
    pub(crate) feedback: Feedback,
    pub(crate) goal: GoalParams,
    pub(crate) limits: Limits,
    pub(crate) over_share_worth: Option<f64>,
    pub(crate) parties: Vec<Party>,
    pub(crate) penalties: Penalties,
    pub(crate) period_ms: Option<f64>,
    pub(crate) rules: Rules,
    pub(crate) weights: Option<WeightsWord>,
    pub(crate) worth_by: Option<WorthBy>,
    pub(crate) zone: u32,
    pub(crate) zones: Vec<String>,
    pub(crate) kinds: Vec<String>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct ClassParams {
    pub(crate) aim_stretch: Option<f64>,
    pub(crate) aim_ms: f64,
    pub(crate) deadline_ms: f64,
    pub(crate) effect: EffectWord,
    pub(crate) name: String,
    pub(crate) group: Option<GroupWord>,
    pub(crate) late_worth: f64,
    pub(crate) stream: bool,
    pub(crate) dedup_window_ms: f64,
    pub(crate) points: f64,
}

#[derive(Debug, Default, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum EffectWord {
    Idempotent,
    Deduplicated,
    #[default]
    AtMostOnce,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum GroupWord {
    All,
    Zone,
    Cell,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum DiscoveryWord {
    Pushed,
    OnRequest,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum WeightsWord {
    Silent,
    Nominal,
    Rough,
    Live,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum WorthBy {
    Request,
    Work,
}

#[derive(Debug, Default, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Source {
    Piggyback,
    Pull,
    #[default]
    Silent,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct FamilyInfo {
    pub(crate) warm_keys: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct Feedback {
    pub(crate) fields: Vec<String>,
    pub(crate) source: Source,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct GoalParams {
    pub(crate) whole: f64,
    pub(crate) worst_class: f64,
    pub(crate) worst_tenant: f64,
    pub(crate) worst_window: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct Limits {
    pub(crate) cancel: bool,
    pub(crate) max_attempts: Option<u32>,
    pub(crate) connect_timeout_ms: Option<f64>,
    pub(crate) keepalive_ms: Option<f64>,
    pub(crate) max_retry_after_ms: f64,
    pub(crate) peers: bool,
    pub(crate) probes: bool,
    pub(crate) retry_after: bool,
    pub(crate) second_copies: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct Party {
    pub(crate) allowance_per_s: f64,
    pub(crate) fraction: f64,
    pub(crate) name: String,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct Penalties {
    pub(crate) connection: f64,
    pub(crate) cross_zone: f64,
    pub(crate) handshake: f64,
    pub(crate) late_fail: f64,
    pub(crate) probe: f64,
    pub(crate) waste: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct Rules {
    pub(crate) ask_within_ms: Option<f64>,
    pub(crate) cold_share: Option<f64>,
    pub(crate) warm_after_ms: Option<f64>,
    pub(crate) stop_sending_within_ms: Option<f64>,
    pub(crate) overload_factor: Option<f64>,
    pub(crate) fall_ms: Option<f64>,
}

/// What of the settings a real agent can't go by, by the key that is at fault: a limit or a rule's time that is missing or
/// below zero. What a deployment does not say must not be another one's, as the defaults would be; the simulator says all of
/// them itself.
pub fn faults(params: &Params) -> Vec<(&'static str, String)> {
    let (limits, rules) = (&params.limits, &params.rules);
    let asked = matches!(params.discovery, Some(DiscoveryWord::OnRequest));
    let keys = [
        ("limits.maxAttempts", limits.max_attempts.map(f64::from), true),
        ("limits.connectTimeoutMs", limits.connect_timeout_ms, true),
        ("limits.keepaliveMs", limits.keepalive_ms, true),
        ("limits.maxRetryAfterMs", Some(limits.max_retry_after_ms), false),
        ("rules.askWithinMs", rules.ask_within_ms, asked),
        ("rules.fallMs", rules.fall_ms, false),
        ("rules.stopSendingWithinMs", rules.stop_sending_within_ms, true),
        ("rules.warmAfterMs", rules.warm_after_ms, false),
    ];
    let fault = |(key, value, needed): (&'static str, Option<f64>, bool)| match value {
        None if needed => Some((key, format!("{key} is missing"))),
        Some(value) if value < 0.0 => {
            Some((key, format!("{key} is {value}; a time of at least 0 was expected")))
        }
        _ => None,
    };
    keys.into_iter().filter_map(fault).collect()
}

/// What a real agent needs of the settings beside those that the decisions rest on.
#[derive(Debug, Clone, PartialEq)]
pub struct Names {
    /// The request classes, by [`ClassId`].
    pub classes: Vec<String>,
    /// The tenants, by [`TenantId`].
    pub tenants: Vec<String>,
    /// The zones, by [`ZoneId`].
    pub zones: Vec<String>,
    /// The kinds of machine, by [`MachineTypeId`].
    pub kinds: Vec<String>,
    /// The fields of a load report, in the order of [`Settings::report_fields`].
    pub report_fields: Vec<String>,
    /// A connection that is still not made after this has failed.
    pub connect_timeout: Micros,
    /// A server closes a connection that has stood idle for this long.
    pub keepalive: Micros,
}

/// The names and limits that only real sockets need.
pub fn names(params: &Params) -> Names {
    let span = |ms: Option<f64>, other: f64| Micros::from_ms(ms.unwrap_or(other));
    Names {
        classes: params.classes.iter().map(|c| c.name.clone()).collect(),
        tenants: params.parties.iter().map(|p| p.name.clone()).collect(),
        zones: params.zones.clone(),
        kinds: params.kinds.clone(),
        report_fields: params.feedback.fields.clone(),
        connect_timeout: span(params.limits.connect_timeout_ms, 250.0),
        keepalive: span(params.limits.keepalive_ms, 15_000.0),
    }
}

/// The settings in the library's terms; what is absent keeps the library's default.
pub fn settings(params: &Params) -> Settings {
    let standard = Settings::default();
    let span = |ms: Option<f64>, other: Micros| ms.map_or(other, Micros::from_ms);
    let rules = &params.rules;
    let classes = params.classes.iter().map(class).collect();
    let field = |name: &String| match name.as_str() {
        "inflight" => LoadReportField::InFlight,
        "queue" => LoadReportField::Queue,
        "util" => LoadReportField::Utilisation,
        "latency_ms" => LoadReportField::ServiceTime,
        "qps" => LoadReportField::Rate,
        "eps" => LoadReportField::Errors,
        _ => LoadReportField::Other,
    };
    Settings {
        balancers: params.balancers.unwrap_or(standard.balancers),
        zone: ZoneId(params.zone),
        classes,
        tenants: params
            .parties
            .iter()
            .map(|p| Tenant { fraction: p.fraction, allowance_per_s: p.allowance_per_s })
            .collect(),
        over_quota_weight: params.over_share_worth.unwrap_or(standard.over_quota_weight),
        weight_by_work: params.worth_by == Some(WorthBy::Work),
        objective: Objective {
            whole: params.goal.whole,
            worst_window: params.goal.worst_window,
            worst_class: params.goal.worst_class,
            worst_tenant: params.goal.worst_tenant,
        },
        costs: Costs {
            cross_zone: params.penalties.cross_zone,
            probe: params.penalties.probe,
            handshake: params.penalties.handshake,
            connection: params.penalties.connection,
            waste: params.penalties.waste,
            late_fail: params.penalties.late_fail,
        },
        discovery: match params.discovery {
            Some(DiscoveryWord::OnRequest) => Discovery::OnRequest,
            Some(DiscoveryWord::Pushed) | None => Discovery::Pushed,
        },
        poll_interval: span(rules.ask_within_ms, standard.poll_interval),
        report_source: match params.feedback.source {
            Source::Piggyback => LoadReportSource::Answers,
            Source::Pull => LoadReportSource::Probes,
            Source::Silent => LoadReportSource::None,
        },
        report_fields: params.feedback.fields.iter().map(field).collect(),
        weights: match params.weights {
            Some(WeightsWord::Nominal | WeightsWord::Rough) => Weights::Size,
            Some(WeightsWord::Live) => Weights::Live,
            Some(WeightsWord::Silent) | None => Weights::None,
        },
        key_affinity: params.family_info.warm_keys,
        max_attempts: params.limits.max_attempts.unwrap_or(standard.max_attempts),
        hedging: params.limits.second_copies,
        cancel: params.limits.cancel,
        health_checks: params.limits.probes,
        peers: params.limits.peers,
        retry_after: params.limits.retry_after,
        max_retry_after: Micros::from_ms(params.limits.max_retry_after_ms),
        drain_grace_period: span(rules.stop_sending_within_ms, standard.drain_grace_period),
        initial_capacity: rules.cold_share.unwrap_or(standard.initial_capacity),
        slow_start_window: span(rules.warm_after_ms, standard.slow_start_window),
        overload_factor: rules.overload_factor.unwrap_or(standard.overload_factor),
        fall_after: span(rules.fall_ms, standard.fall_after),
        event_interval: span(params.period_ms, standard.event_interval),
    }
}

fn class(params: &ClassParams) -> Class {
    let effect = match params.effect {
        EffectWord::Idempotent => RetrySafety::Idempotent,
        EffectWord::AtMostOnce => RetrySafety::AtMostOnce,
        EffectWord::Deduplicated => RetrySafety::Deduplicated {
            scope: match params.group {
                Some(GroupWord::All) => DedupScope::All,
                Some(GroupWord::Zone) => DedupScope::Zone,
                // Without a stated group the narrowest one is the safe reading.
                Some(GroupWord::Cell) | None => DedupScope::Group,
            },
            window: Micros::from_ms(params.dedup_window_ms),
        },
    };
    Class {
        retry_safety: effect,
        latency_objective: Micros::from_ms(params.aim_ms),
        objective_stretch: params.aim_stretch.unwrap_or(0.0),
        deadline: Micros::from_ms(params.deadline_ms),
        priority_weight: params.points,
        late_weight: params.late_worth,
        stream: params.stream,
    }
}

/// Keys only need to be told apart; the hash is fixed so that equal keys are equal in every process.
pub fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}
