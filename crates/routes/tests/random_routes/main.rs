//! Random routes that the check accepts, played through the real balancer with slow connections, late outcomes and
//! draining servers. An observer that knows only the rules checks every write.

mod simulation;

use bellcroft_balancer::*;
use bellcroft_routes::*;
use simulation::play;

/// Length of a simulation, in steps of 1 ms.
const STEPS: u32 = 4800;
/// Steps in which new requests arrive.
const ARRIVAL_STEPS: u32 = 1600;

/// Run-time enforcement that is disabled, to show its effect.
#[derive(Clone, Copy, Default)]
struct Disabled {
    /// The agent writes even after `write_by`.
    write_by: bool,
}

/// Client deadline of all classes, in ms.
const DEADLINE: f64 = 3000.0;
/// Deduplication window, in ms.
const WINDOW: f64 = 1500.0;
/// Drain grace period, in ms.
const GRACE: f64 = 600.0;
/// The platform's connect timeout, in ms; deliberately longer than the drain grace period.
const CONNECT: f64 = 900.0;

fn settings() -> Settings {
    let class = |retry_safety| Class {
        retry_safety,
        latency_objective: Micros::from_ms(2500.0),
        deadline: Micros::from_ms(DEADLINE),
        late_weight: 1.0,
        ..Class::default()
    };
    let deduplicated = |scope| RetrySafety::Deduplicated { scope, window: Micros::from_ms(WINDOW) };
    Settings {
        classes: vec![
            class(RetrySafety::Idempotent),
            class(deduplicated(DedupScope::All)),
            class(deduplicated(DedupScope::Zone)),
            class(RetrySafety::AtMostOnce),
        ],
        max_attempts: 5,
        hedging: true,
        drain_grace_period: Micros::from_ms(GRACE),
        ..Settings::default()
    }
}

fn names() -> Vec<String> {
    ["read", "log", "assign", "pay"].map(str::to_owned).to_vec()
}

fn with_platform<T>(run: impl FnOnce(&Platform) -> T) -> T {
    let (settings, classes) = (settings(), names());
    let connect_timeout = Micros::from_ms(CONNECT);
    run(&Platform { settings: &settings, classes: &classes, tenants: &[], connect_timeout })
}

/// A route for one class, with timeouts on both sides of the rules' limits.
fn random_route(class: usize, random: &mut fastrand::Rng) -> RouteConfig {
    let time = |random: &mut fastrand::Rng, max_ms: u64| {
        (random.u8(0..3) > 0).then(|| Micros(random.u64(10..max_ms) * 1000))
    };
    let mut flag = || random.bool();
    let retry_on =
        RetryOn { connect: flag(), rejected: flag(), reset: flag(), timeout: flag(), error: flag() };
    RouteConfig {
        name: "r".into(),
        matches: RouteMatch { class: Some(names()[class].clone()), ..RouteMatch::default() },
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

fn accepted(route: &RouteConfig, checks: EnabledChecks) -> bool {
    let config = RoutesConfig { routes: vec![route.clone()], pools: Vec::new() };
    with_platform(|platform| check_only(&config, platform, checks).is_empty())
}

#[test]
fn accepted_route_violates_no_rule() {
    let (mut played, mut repeated) = (0, 0);
    for seed in 0..40_000 {
        let mut random = fastrand::Rng::with_seed(seed);
        let class = random.usize(0..4);
        let route = random_route(class, &mut random);
        if !accepted(&route, EnabledChecks::ALL) || played >= 1000 {
            continue;
        }
        played += 1;
        let (violations, latest) = play(&route, class, seed, Disabled::default());
        repeated += usize::from(latest > Micros::ZERO);
        assert!(violations.is_empty(), "{route:#?}\n{violations:#?}");
    }
    assert!(played >= 1000 && repeated >= 300, "{played} played, {repeated} of them with a repeat");
}

/// Shows that each check is needed: without it and without the agent's enforcement, rules are violated.
#[test]
fn refused_route_without_enforcement_violates_rule() {
    let no_write_limit = Disabled { write_by: true };
    for (rule, checks) in [
        ("rule 2: a repeat after", EnabledChecks { dedup_window: false, ..EnabledChecks::ALL }),
        ("rule 3", EnabledChecks { drain_grace: false, ..EnabledChecks::ALL }),
    ] {
        let (mut found, mut tried) = (0, 0);
        for seed in 0..20_000 {
            let mut random = fastrand::Rng::with_seed(seed);
            let class = 1 + random.usize(0..2);
            let route = random_route(class, &mut random);
            if accepted(&route, checks) && !accepted(&route, EnabledChecks::ALL) {
                tried += 1;
                found +=
                    usize::from(play(&route, class, seed, no_write_limit).0.iter().any(|b| b.contains(rule)));
            }
            if tried >= 200 || found >= 3 {
                break;
            }
        }
        assert!(found >= 3, "{rule}: {found} of {tried} refused routes break it");
    }
}

/// The agent's enforcement alone is sufficient: nothing is written too late, whatever the file contains.
#[test]
fn refused_route_with_agent_enforcement_violates_no_rule() {
    let none =
        EnabledChecks { dedup_window: false, dedup_scope: false, at_most_once: false, drain_grace: false };
    let mut played = 0;
    for seed in 0..4000 {
        let mut random = fastrand::Rng::with_seed(seed);
        let class = random.usize(0..4);
        let route = random_route(class, &mut random);
        if played < 60 && accepted(&route, none) && !accepted(&route, EnabledChecks::ALL) {
            played += 1;
            let (violations, _) = play(&route, class, seed, Disabled::default());
            assert!(violations.is_empty(), "{route:#?}\n{violations:#?}");
        }
    }
    assert!(played >= 60, "{played}");
}

/// Compares the computed latest retry with the latest simulated one: the check is never too lax, nor much too strict.
#[test]
fn computed_latest_retry_is_a_close_upper_bound() {
    let mut closest = f64::INFINITY;
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
        assert!(accepted(&route, EnabledChecks::ALL));
        let timeline =
            with_platform(|platform| AttemptTimeline::new(&route, &platform.settings.classes[0], platform));
        let bound = timeline.latest_retry_arrival().expect("there are repeats");
        let played = (0..30).map(|seed| play(&route, 0, seed, Disabled::default()).1).max().expect("some");
        assert!(played <= bound, "{attempts}: {played:?} played, {bound:?} computed");
        closest = closest.min(bound.ms() / played.ms());
        println!("{attempts} attempts: {:.0} ms computed, {:.0} ms played", bound.ms(), played.ms());
    }
    assert!(closest < 1.5, "the closest bound is {closest:.2} times what was played");
}

/// Applies each value that a diagnostic suggests and checks the route again.
#[test]
fn suggested_value_is_accepted() {
    let mut followed = 0;
    for seed in 0..4000 {
        let mut random = fastrand::Rng::with_seed(seed);
        let route = random_route(1, &mut random);
        let config = RoutesConfig { routes: vec![route.clone()], pools: Vec::new() };
        let diagnostics = with_platform(|platform| check(&config, platform));
        let [one] = diagnostics.as_slice() else { continue };
        let Some((_, suggestions)) = one.message.split_once("(rule 2). At most ") else { continue };
        for part in suggestions.split(", or ") {
            let (key, value) = part.split_once(" = ").expect("a key and a value");
            let time = |text: &str| match text.strip_suffix("ms") {
                Some(ms) => Micros::from_ms(ms.parse().expect("a number")),
                None => Micros::from_ms(text.trim_end_matches('s').parse::<f64>().expect("a number") * 1e3),
            };
            let mut corrected = route.clone();
            match key {
                "attempts" => corrected.attempts = Some(value.parse().expect("a number")),
                "attempt_timeout" => corrected.attempt_timeout = Some(time(value)),
                _ => corrected.timeout = Some(time(value)),
            }
            let config = RoutesConfig { routes: vec![corrected], pools: Vec::new() };
            let left = with_platform(|platform| check(&config, platform));
            // A shorter timeout can make another key ineffective, but must no longer violate the rule.
            assert!(left.iter().all(|d| !d.message.contains("rule 2")), "{part}: {left:?}\n{route:#?}");
            followed += 1;
        }
    }
    assert!(followed > 200, "{followed}");
}
