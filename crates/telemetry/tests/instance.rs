//! The series of an instance: their number under churn of servers, unusual label values, margins and budgets.

use bellcroft_balancer::{Micros, Outcome, Settings, Time};
use bellcroft_telemetry::*;
use testbed::Store;

fn at(ms: u64) -> Time {
    Time(1_000_000_000 + ms * 1000)
}

fn instance(classes: &[String], tenants: &[String], server_names: usize) -> Instance {
    let settings = Settings {
        classes: vec![bellcroft_balancer::Class::default(); classes.len()],
        tenants: vec![bellcroft_balancer::Tenant { fraction: 1.0, allowance_per_s: 10.0 }; tenants.len()],
        balancers: 2,
        ..Settings::default()
    };
    Instance::new(&InstanceInfo {
        settings: &settings,
        classes,
        tenants,
        zones: &["north".into()],
        version: "0",
        started: 5.0,
        external: &[("instance".into(), "n0".into())],
        server_names,
    })
}

fn endpoint(server: u32, name: &str, is_serving: bool) -> EndpointEntry<'_> {
    EndpointEntry { server, name, zone: 0, dedup_group: 0, is_serving, is_listed: is_serving, started: None }
}

fn value(samples: &[Sample], name: &str, labels: &[(&str, &str)]) -> Option<f64> {
    let has_label =
        |sample: &Sample, name: &str, value: &str| sample.labels.iter().any(|(n, v)| n == name && v == value);
    let sample = samples
        .iter()
        .find(|s| has_label(s, "__name__", name) && labels.iter().all(|(n, v)| has_label(s, n, v)));
    sample.map(|sample| sample.value)
}

#[test]
fn server_churn_keeps_series_bounded_and_counts_complete() {
    let classes = ["read".to_owned()];
    let instance = instance(&classes, &[], 5);
    let mut most = 0;
    for n in 0..10_000_u32 {
        let now = at(u64::from(n) * 8640);
        let name = format!("server-{n}");
        instance.endpoint_listed(now, endpoint(n, &name, true));
        instance.attempt_finished((u64::from(n), 0), 0, n, Outcome::Success, Micros(1000));
        // Eight servers are listed at a time: five have their own names, three share `other`.
        if n >= 8 {
            instance.endpoint_removed(now, n - 8);
            instance.forget(n - 8);
        }
        if n % 500 == 0 {
            most = most.max(instance.gather(now).len());
        }
    }
    let samples = instance.gather(at(86_400_000));
    // Five names and `other` have eight outcomes and a time each. The rest are the series that do not depend on servers.
    let by_server = samples.iter().filter(|s| s.labels.iter().any(|(n, _)| n == "server")).count();
    assert!(by_server <= 6 * 9 && most < 200, "{by_server} {most}");
    assert_eq!(value(&samples, "bellcroft_attempts_total", &[("outcome", "served")]), Some(10_000.0));
    assert!(
        value(&samples, "bellcroft_server_attempts_total", &[("server", "other"), ("outcome", "served")])
            > Some(0.0)
    );
}

#[test]
fn forgotten_server_frees_its_name_for_next_server() {
    let classes = ["read".to_owned()];
    let instance = instance(&classes, &[], 1);
    for (server, name) in [(0, "a"), (1, "b"), (2, "c")] {
        instance.endpoint_listed(at(1), endpoint(server, name, true));
        instance.attempt_finished((u64::from(server), 0), 0, server, Outcome::Success, Micros(1000));
    }
    let value_of = |name: &str| {
        value(
            &instance.gather(at(2)),
            "bellcroft_server_attempts_total",
            &[("server", name), ("outcome", "served")],
        )
    };
    assert_eq!(
        (value_of("a"), value_of("b"), value_of("c"), value_of("other")),
        (Some(1.0), None, None, Some(2.0))
    );
    // A server whose own name is `other` shares that series as well.
    instance.endpoint_listed(at(2), endpoint(4, "other", true));
    instance.forget(4);
    instance.forget(1);
    assert_eq!(value_of("other"), Some(2.0), "the shared series must stay");
    instance.forget(0);
    instance.endpoint_listed(at(3), endpoint(3, "d", true));
    instance.attempt_finished((3, 0), 0, 3, Outcome::Success, Micros(1000));
    assert_eq!((value_of("a"), value_of("d")), (None, Some(1.0)));
}

#[test]
fn strict_receiver_accepts_arbitrary_names_in_both_versions() {
    let classes =
        ["quote\"s".to_owned(), "new\nline".to_owned(), "x".repeat(10_000), "back\\slash".to_owned()];
    let tenants = [String::from_utf8_lossy(b"not \xff UTF-8").into_owned(), "\u{1f600}".repeat(3000)];
    let instance = instance(&classes, &tenants, 3);
    instance.endpoint_listed(at(1), endpoint(0, &"y".repeat(10_000), true));
    instance.request_received(1, 2, Some(1), "no \"route\"\n", at(500));
    instance.request_finished(at(10), 1, 2, FinalOutcome::Served, Micros(9000));
    let samples = instance.gather(at(20));
    for version in [Version::V1, Version::V2] {
        let mut store = Store::default();
        let written = store.take(version == Version::V2, &encode(version, &samples, 5, 1)).expect("a body");
        assert_eq!((written, store.wrong.as_slice()), (samples.len(), [].as_slice()));
        assert!(store.series.keys().flat_map(|l| l.values()).all(|v| v.len() <= MAX_LABEL_BYTES));
        assert_eq!(store.sum("bellcroft_requests_total", &[("outcome", "served")]), 1.0);
        assert_eq!(
            store.latest("bellcroft_requests_total", &[("class", "new\nline"), ("outcome", "left")]),
            [0.0]
        );
    }
}

#[test]
fn margins_are_reset_by_sample_and_near_misses_are_not_breaches() {
    let classes = ["read".to_owned()];
    let instance = instance(&classes, &[], 0);
    let respond = |id: u64, deadline: u64, now: u64| {
        instance.request_received(id, 0, None, "none", at(deadline));
        instance.request_finished(at(now), id, 0, FinalOutcome::Served, Micros(1000));
    };
    let margin = |samples: &[Sample]| value(samples, "bellcroft_rule_margin_seconds", &[("rule", "answer")]);
    respond(1, 1000, 400);
    respond(2, 1000, 900);
    let is_near = |value: Option<f64>, expected: f64| value.is_some_and(|v| (v - expected).abs() < 1e-6);
    assert!(is_near(margin(&instance.gather(at(1000))), 0.1));
    respond(3, 2000, 1500);
    assert!(is_near(margin(&instance.gather(at(2000))), 0.5));
    assert_eq!(margin(&instance.gather(at(2100))), None, "no response since the last sample");
    respond(4, 3000, 3020);
    let samples = instance.gather(at(3100));
    let value_of = |name: &str| value(&samples, name, &[("rule", "answer")]);
    assert_eq!(
        (value_of("bellcroft_rule_near_misses_total"), value_of("bellcroft_rule_breaches_total")),
        (Some(1.0), Some(0.0))
    );
    respond(5, 4000, 4060);
    let samples = instance.gather(at(4100));
    let value_of = |name: &str| value(&samples, name, &[("rule", "answer")]);
    assert_eq!(
        (value_of("bellcroft_rule_near_misses_total"), value_of("bellcroft_rule_breaches_total")),
        (Some(1.0), Some(1.0))
    );
    assert_eq!(instance.observer().margin(Rule::Response).breaches, 1);
}

#[test]
fn removed_routes_lose_budget_gauges_and_keep_counters() {
    let classes = ["read".to_owned()];
    let instance = instance(&classes, &[], 0);
    let route_budget = |route, retry_ratio, hedge_ratio| RouteBudget { route, retry_ratio, hedge_ratio };
    instance.set_route_budgets(&[route_budget("none", 0.1, None), route_budget("read", 0.2, Some(0.05))]);
    instance.attempt_started(0, "read", 1, false);
    instance.attempt_started(0, "read", 2, true);
    let value_of =
        |name: &str, kind: &str| value(&instance.gather(at(1)), name, &[("route", "read"), ("kind", kind)]);
    let (budget, attempts) = ("bellcroft_further_attempts_allowed_ratio", "bellcroft_further_attempts_total");
    assert_eq!((value_of(budget, "retry"), value_of(budget, "second_copy")), (Some(0.2), Some(0.05)));
    instance.set_route_budgets(&[route_budget("none", 0.1, None)]);
    assert_eq!((value_of(budget, "retry"), value_of(budget, "second_copy")), (None, None));
    assert_eq!((value_of(attempts, "retry"), value_of(attempts, "second_copy")), (Some(1.0), Some(1.0)));
}
