//! Conversion to the settings of the balancer.

use crate::params::{
    ClassParams, CostParams, DedupScopeParam, DiscoveryMode, ObjectiveParams, Params, ReportSource,
    RetrySafetyParam, TenantParams, WeightMeaning, WeightUnit,
};
use bellcroft_balancer::*;

/// Converts to the settings of the balancer; absent values are taken from [`Settings::default`].
pub fn settings(params: &Params) -> Settings {
    let default = Settings::default();
    let duration = |ms: Option<f64>, default: Micros| ms.map_or(default, Micros::from_ms);
    let (limits, rules) = (&params.limits, &params.rules);
    Settings {
        balancers: params.balancers.unwrap_or(default.balancers),
        zone: ZoneId(params.zone),
        classes: params.classes.iter().map(class).collect(),
        tenants: params.tenants.iter().map(tenant).collect(),
        over_quota_weight: params.over_quota_weight.unwrap_or(default.over_quota_weight),
        weight_by_work: params.weight_unit == Some(WeightUnit::Work),
        objective: objective(&params.objective),
        costs: costs(&params.costs),
        discovery: discovery(params.discovery),
        poll_interval: duration(rules.poll_interval_ms, default.poll_interval),
        report_source: report_source(params.load_reports.source),
        report_fields: params.load_reports.fields.iter().map(|name| report_field(name)).collect(),
        weights: weights(params.weights),
        key_affinity: params.service.key_affinity,
        max_attempts: limits.max_attempts.unwrap_or(default.max_attempts),
        hedging: limits.hedging,
        cancel: limits.cancel,
        health_checks: limits.health_checks,
        peers: limits.peers,
        retry_after: limits.retry_after,
        max_retry_after: Micros::from_ms(limits.max_retry_after_ms),
        drain_grace_period: duration(rules.drain_grace_period_ms, default.drain_grace_period),
        initial_capacity: rules.initial_capacity.unwrap_or(default.initial_capacity),
        slow_start_window: duration(rules.slow_start_window_ms, default.slow_start_window),
        overload_factor: rules.overload_factor.unwrap_or(default.overload_factor),
        overload_tolerance: duration(rules.fall_after_ms, default.overload_tolerance),
        event_interval: duration(params.event_interval_ms, default.event_interval),
    }
}

fn class(params: &ClassParams) -> Class {
    Class {
        retry_safety: retry_safety(params),
        latency_objective: Micros::from_ms(params.latency_objective_ms),
        objective_stretch: params.objective_stretch.unwrap_or(0.0),
        deadline: Micros::from_ms(params.deadline_ms),
        priority_weight: params.priority_weight,
        late_weight: params.late_weight,
        stream: params.stream,
    }
}

fn retry_safety(params: &ClassParams) -> RetrySafety {
    match params.retry_safety {
        RetrySafetyParam::Idempotent => RetrySafety::Idempotent,
        RetrySafetyParam::AtMostOnce => RetrySafety::AtMostOnce,
        RetrySafetyParam::Deduplicated => RetrySafety::Deduplicated {
            scope: match params.dedup_scope {
                Some(DedupScopeParam::All) => DedupScope::All,
                Some(DedupScopeParam::Zone) => DedupScope::Zone,
                // Without a configured scope, the narrowest one is the safe choice.
                Some(DedupScopeParam::Group) | None => DedupScope::Group,
            },
            window: Micros::from_ms(params.dedup_window_ms),
        },
    }
}

fn tenant(params: &TenantParams) -> Tenant {
    Tenant { fraction: params.fraction, allowance_per_s: params.allowance_per_s }
}

fn objective(params: &ObjectiveParams) -> Objective {
    Objective {
        all_requests: params.whole,
        worst_window: params.worst_window,
        worst_class: params.worst_class,
        worst_tenant: params.worst_tenant,
    }
}

fn costs(params: &CostParams) -> Costs {
    Costs {
        cross_zone: params.cross_zone,
        health_check: params.probe,
        handshake: params.handshake,
        connection: params.connection,
        waste: params.waste,
        late_fail: params.late_fail,
    }
}

fn discovery(mode: Option<DiscoveryMode>) -> Discovery {
    match mode {
        Some(DiscoveryMode::OnRequest) => Discovery::OnRequest,
        Some(DiscoveryMode::Pushed) | None => Discovery::Pushed,
    }
}

fn report_source(source: ReportSource) -> LoadReportSource {
    match source {
        ReportSource::Piggyback => LoadReportSource::Responses,
        ReportSource::Pull => LoadReportSource::HealthChecks,
        ReportSource::Silent => LoadReportSource::None,
    }
}

fn report_field(name: &str) -> LoadReportField {
    match name {
        "inflight" => LoadReportField::InFlight,
        "queue" => LoadReportField::Queue,
        "util" => LoadReportField::Utilisation,
        "latency_ms" => LoadReportField::ServiceTime,
        "qps" => LoadReportField::Rate,
        "eps" => LoadReportField::Errors,
        _ => LoadReportField::Other,
    }
}

fn weights(meaning: Option<WeightMeaning>) -> Weights {
    match meaning {
        Some(WeightMeaning::Nominal | WeightMeaning::Rough) => Weights::Size,
        Some(WeightMeaning::Live) => Weights::Live,
        Some(WeightMeaning::Silent) | None => Weights::None,
    }
}
