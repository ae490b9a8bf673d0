//! Simulates random routes that the check accepts, with the real balancer, slow connections, late outcomes and draining
//! servers. An observer that knows only the platform's rules checks every write.

mod simulation;

use bellcroft_balancer::*;
use bellcroft_routes::*;
use simulation::simulate;

/// Length of a simulation, in steps of 1 ms.
const STEPS: u32 = 4800;
/// Number of steps in which new requests arrive.
const ARRIVAL_STEPS: u32 = 1600;

/// The agent's enforcement at run time that a simulation disables, to show its effect.
#[derive(Clone, Copy, Default)]
struct DisabledEnforcement {
    /// Whether the agent writes even after `write_by`.
    write_by: bool,
}

/// Client deadline of all classes.
const DEADLINE_MS: f64 = 3000.0;
/// Deduplication window of the deduplicated classes.
const DEDUP_WINDOW_MS: f64 = 1500.0;
const DRAIN_GRACE_PERIOD_MS: f64 = 600.0;
/// The platform's connect timeout. It exceeds the drain grace period, so that a connect timeout can violate rule 3.
const CONNECT_TIMEOUT_MS: f64 = 900.0;

fn settings() -> Settings {
    let class = |retry_safety| Class {
        retry_safety,
        latency_objective: Micros::from_ms(2500.0),
        deadline: Micros::from_ms(DEADLINE_MS),
        late_weight: 1.0,
        ..Class::default()
    };
    let deduplicated = |scope| RetrySafety::Deduplicated { scope, window: Micros::from_ms(DEDUP_WINDOW_MS) };
    Settings {
        classes: vec![
            class(RetrySafety::Idempotent),
            class(deduplicated(DedupScope::All)),
            class(deduplicated(DedupScope::Zone)),
            class(RetrySafety::AtMostOnce),
        ],
        max_attempts: 5,
        hedging: true,
        drain_grace_period: Micros::from_ms(DRAIN_GRACE_PERIOD_MS),
        ..Settings::default()
    }
}

fn class_names() -> Vec<String> {
    ["read", "log", "assign", "pay"].map(str::to_owned).to_vec()
}

fn with_platform<T>(run: impl FnOnce(&Platform) -> T) -> T {
    let (settings, classes) = (settings(), class_names());
    let connect_timeout = Micros::from_ms(CONNECT_TIMEOUT_MS);
    run(&Platform { settings: &settings, classes: &classes, tenants: &[], connect_timeout })
}

/// A random route for one class. Its timeouts lie on both sides of the limits that the rules set.
fn random_route(class: usize, random: &mut fastrand::Rng) -> RouteConfig {
    let time = |random: &mut fastrand::Rng, max_ms: u64| {
        (random.u8(0..3) > 0).then(|| Micros(random.u64(10..max_ms) * 1000))
    };
    let mut flag = || random.bool();
    let retry_on =
        RetryOn { connect: flag(), rejected: flag(), reset: flag(), timeout: flag(), error: flag() };
    RouteConfig {
        name: "r".into(),
        matches: RouteMatch { class: Some(class_names()[class].clone()), ..RouteMatch::default() },
        timeout: time(random, 3000),
        attempt_timeout: time(random, 900),
        connect_timeout: time(random, 900),
        queue_timeout: time(random, 300),
        attempts: (random.u8(0..4) > 0).then(|| random.u32(1..6)),
        retry_on: random.bool().then_some(retry_on),
        retry_within: [None, None, Some(RetryScope::Zone), Some(RetryScope::Any)][random.usize(0..4)],
        hedge: match random.u8(0..4) {
            0 => HedgePolicy::After(Micros(random.u64(5..400) * 1000)),
            _ => HedgePolicy::Never,
        },
        ..RouteConfig::default()
    }
}

fn is_accepted(route: &RouteConfig, checks: EnabledChecks) -> bool {
    let config = RoutesConfig { routes: vec![route.clone()], pools: Vec::new() };
    with_platform(|platform| check_only(&config, platform, checks).is_empty())
}

#[test]
fn accepted_route_violates_no_rule() {
    let (mut simulated, mut with_retry) = (0, 0);
    for seed in 0..40_000 {
        let mut random = fastrand::Rng::with_seed(seed);
        let class = random.usize(0..4);
        let route = random_route(class, &mut random);
        if !is_accepted(&route, EnabledChecks::ALL) || simulated >= 1000 {
            continue;
        }
        simulated += 1;
        let (violations, latest_retry) = simulate(&route, class, seed, DisabledEnforcement::default());
        with_retry += usize::from(latest_retry > Micros::ZERO);
        assert!(violations.is_empty(), "{route:#?}\n{violations:#?}");
    }
    assert!(
        simulated >= 1000 && with_retry >= 300,
        "{simulated} routes simulated, {with_retry} of them with a retry"
    );
}

/// Shows that each check is needed: without it and without the agent's enforcement, rules are violated.
#[test]
fn rejected_route_without_enforcement_violates_rule() {
    let no_write_limit = DisabledEnforcement { write_by: true };
    for (rule, checks) in [
        ("rule 2: retry after", EnabledChecks { dedup_window: false, ..EnabledChecks::ALL }),
        ("rule 3", EnabledChecks { drain_grace: false, ..EnabledChecks::ALL }),
    ] {
        let (mut violating, mut simulated) = (0, 0);
        for seed in 0..20_000 {
            let mut random = fastrand::Rng::with_seed(seed);
            let class = 1 + random.usize(0..2);
            let route = random_route(class, &mut random);
            if is_accepted(&route, checks) && !is_accepted(&route, EnabledChecks::ALL) {
                simulated += 1;
                violating += usize::from(
                    simulate(&route, class, seed, no_write_limit).0.iter().any(|v| v.contains(rule)),
                );
            }
            if simulated >= 200 || violating >= 3 {
                break;
            }
        }
        assert!(violating >= 3, "{rule}: {violating} of {simulated} rejected routes violate it");
    }
}

/// The agent's enforcement alone is sufficient: nothing is written too late, whatever the file contains.
#[test]
fn rejected_route_with_agent_enforcement_violates_no_rule() {
    let no_checks =
        EnabledChecks { dedup_window: false, dedup_scope: false, at_most_once: false, drain_grace: false };
    let mut simulated = 0;
    for seed in 0..4000 {
        let mut random = fastrand::Rng::with_seed(seed);
        let class = random.usize(0..4);
        let route = random_route(class, &mut random);
        if simulated < 60 && is_accepted(&route, no_checks) && !is_accepted(&route, EnabledChecks::ALL) {
            simulated += 1;
            let (violations, _) = simulate(&route, class, seed, DisabledEnforcement::default());
            assert!(violations.is_empty(), "{route:#?}\n{violations:#?}");
        }
    }
    assert!(simulated >= 60, "{simulated} routes simulated");
}

/// Compares the computed latest retry with the latest simulated one: the check is never too lax, nor much too strict.
#[test]
fn computed_latest_retry_is_a_close_upper_bound() {
    let mut lowest_ratio = f64::INFINITY;
    for (attempts, attempt, queue) in [(2, 400.0, 1.0), (3, 300.0, 1.0), (4, 250.0, 1.0)] {
        let route = RouteConfig {
            name: "r".into(),
            matches: RouteMatch { class: Some("read".into()), ..RouteMatch::default() },
            attempts: Some(attempts),
            attempt_timeout: Some(Micros::from_ms(attempt)),
            connect_timeout: Some(Micros::from_ms(100.0)),
            queue_timeout: Some(Micros::from_ms(queue)),
            ..RouteConfig::default()
        };
        assert!(is_accepted(&route, EnabledChecks::ALL));
        let timeline =
            with_platform(|platform| AttemptTimeline::new(&route, &platform.settings.classes[0], platform));
        let bound = timeline.latest_retry_arrival().expect("the route has retries");
        let latest_retry = |seed| simulate(&route, 0, seed, DisabledEnforcement::default()).1;
        let simulated = (0..30).map(latest_retry).max().expect("at least one simulation");
        assert!(simulated <= bound, "{attempts} attempts: {simulated:?} simulated, {bound:?} computed");
        lowest_ratio = lowest_ratio.min(bound.ms() / simulated.ms());
        println!("{attempts} attempts: {:.0} ms computed, {:.0} ms simulated", bound.ms(), simulated.ms());
    }
    assert!(lowest_ratio < 1.5, "the closest bound is {lowest_ratio:.2} times the latest simulated retry");
}

/// Applies each value that a diagnostic suggests and checks the route again.
#[test]
fn suggested_value_is_accepted() {
    let mut applied = 0;
    for seed in 0..4000 {
        let mut random = fastrand::Rng::with_seed(seed);
        let route = random_route(1, &mut random);
        let config = RoutesConfig { routes: vec![route.clone()], pools: Vec::new() };
        let diagnostics = with_platform(|platform| check(&config, platform));
        let [diagnostic] = diagnostics.as_slice() else { continue };
        let Some((_, suggestions)) = diagnostic.message.split_once("(rule 2). At most ") else { continue };
        for suggestion in suggestions.split(", or ") {
            let (key, value) = suggestion.split_once(" = ").expect("a key and a value");
            let duration = |text: &str| match text.strip_suffix("ms") {
                Some(ms) => Micros::from_ms(ms.parse().expect("a number")),
                None => Micros::from_ms(text.trim_end_matches('s').parse::<f64>().expect("a number") * 1e3),
            };
            let mut corrected = route.clone();
            match key {
                "attempts" => corrected.attempts = Some(value.parse().expect("a number")),
                "attempt_timeout" => corrected.attempt_timeout = Some(duration(value)),
                _ => corrected.timeout = Some(duration(value)),
            }
            let config = RoutesConfig { routes: vec![corrected], pools: Vec::new() };
            let remaining = with_platform(|platform| check(&config, platform));
            // A shorter timeout can make another key ineffective, but the route must no longer violate rule 2.
            assert!(
                remaining.iter().all(|d| !d.message.contains("rule 2")),
                "{suggestion}: {remaining:?}\n{route:#?}"
            );
            applied += 1;
        }
    }
    assert!(applied > 200, "{applied} suggestions applied");
}
