//! Routes in `agent.toml`: the errors of invalid files, valid files, and files generated from a grammar.

use bellcroft_balancer::{Class, DedupScope, Micros, RetrySafety, Settings, Tenant};
use bellcroft_operator_config::AgentFile;
use bellcroft_routes::{check, Platform, RouteTable};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

const CLASSES: [&str; 4] = ["read", "log", "assign", "pay"];

/// Settings with deadlines of 10 s and dedup windows of 7.5 s across all servers (`log`) or 1 s within a zone (`assign`).
fn settings() -> Settings {
    let class = |retry_safety| Class {
        retry_safety,
        latency_objective: Micros::from_ms(500.0),
        deadline: Micros::from_ms(10_000.0),
        ..Class::default()
    };
    let deduplicated = |scope, ms| RetrySafety::Deduplicated { scope, window: Micros::from_ms(ms) };
    Settings {
        classes: vec![
            class(RetrySafety::Idempotent),
            class(deduplicated(DedupScope::All, 7500.0)),
            class(deduplicated(DedupScope::Zone, 1000.0)),
            class(RetrySafety::AtMostOnce),
        ],
        tenants: vec![Tenant { fraction: 1.0, allowance_per_s: 100.0 }],
        max_attempts: 4,
        hedging: true,
        drain_grace_period: Micros::from_ms(2000.0),
        ..Settings::default()
    }
}

/// All errors in a text, in the form in which `bellcroft check` prints them.
fn errors(text: &str) -> Vec<String> {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let file: PathBuf =
        std::env::temp_dir().join(format!("bellcroft-routes-{}-{number}.toml", std::process::id()));
    std::fs::write(&file, text).expect("the file should be writable");
    let read = AgentFile::read(&file);
    std::fs::remove_file(&file).expect("the file should exist");
    let settings = settings();
    let classes = CLASSES.map(str::to_owned);
    let tenants = ["acme".to_owned()];
    let connect_timeout = Micros::from_ms(2500.0);
    let platform = Platform { settings: &settings, classes: &classes, tenants: &tenants, connect_timeout };
    match read {
        Err(errors) => {
            let name = file.display().to_string();
            errors.iter().map(|error| error.to_string().replacen(&format!("{name}:"), "", 1)).collect()
        }
        Ok(file) => check(&file.routes, &platform).iter().map(ToString::to_string).collect(),
    }
}

/// A route of `class` with the lines `more`, which start in line 4.
fn route(class: &str, more: &str) -> String {
    format!("[[route]]\nname = \"r\"\nmatch = {{ class = \"{class}\" }}\n{more}\n")
}

mod bad_routes;

#[test]
fn invalid_routes_are_rejected() {
    let mut failures = Vec::new();
    let cases = bad_routes::cases();
    assert!(cases.len() >= 60, "{}", cases.len());
    for (text, expected) in &cases {
        let found = errors(text);
        assert!(!found.is_empty(), "accepted:\n{text}");
        if found.join("\n") != *expected {
            failures.push(format!("{text}--- expected\n{expected}\n--- found\n{}\n", found.join("\n")));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n==========\n"));
}

#[test]
fn valid_routes_are_accepted() {
    for text in [
        String::new(),
        route("read", ""),
        route("log", ""),
        route("pay", ""),
        route("read", "attempts = 4\nattempt_timeout = \"2.4s\"\nsecond_copy_after = \"p95\""),
        route("log", "attempts = 3\nattempt_timeout = \"2.4s\"\nqueue_timeout = \"100ms\"\nconnect_timeout = \"500ms\""),
        route("log", "timeout = \"7.4s\""),
        route("log", "attempts = 1"),
        route("log", "retry_on = [\"connect\", \"rejected\"]"),
        route("assign", "retry_within = \"zone\"\ntimeout = \"900ms\""),
        route("assign", "retry_within = \"any\"\nretry_on = [\"connect\", \"rejected\"]"),
        route("pay", "retry_on = [\"connect\", \"rejected\"]\nmax_in_flight = 5\nmax_held = 5"),
        route("read", "retry_budget = { ratio = 0.1, burst = 3 }\npool = \"p\"\n[pool.p]\nretry_budget = { ratio = 0.1, burst = 3 }"),
        "[[route]]\nname = \"a\"\nmatch = { path = \"/log/urgent\" }\n[[route]]\nname = \"b\"\n".to_owned(),
    ] {
        assert_eq!(errors(&text), Vec::<String>::new(), "{text}");
    }
}

/// The example files are valid for the request classes of the booking service.
#[test]
fn example_files_are_valid() {
    let class = |retry_safety, deadline| Class {
        retry_safety,
        latency_objective: Micros::from_ms(250.0),
        deadline: Micros::from_ms(deadline),
        ..Class::default()
    };
    let deduplicated = |scope, ms| RetrySafety::Deduplicated { scope, window: Micros::from_ms(ms) };
    let settings = Settings {
        classes: vec![
            class(RetrySafety::Idempotent, 1500.0),
            class(deduplicated(DedupScope::All, 7500.0), 2500.0),
            class(deduplicated(DedupScope::Zone, 1000.0), 2500.0),
        ],
        hedging: true,
        drain_grace_period: Micros::from_ms(2000.0),
        ..Settings::default()
    };
    let classes = ["read-schedule", "log-session", "assign-session"].map(str::to_owned);
    let connect_timeout = Micros::from_ms(500.0);
    let platform = Platform { settings: &settings, classes: &classes, tenants: &[], connect_timeout };
    for name in ["routes-budgets.toml", "routes-copies.toml"] {
        let file = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deploy/examples").join(name);
        let file = AgentFile::read(&file).expect("the file should be valid");
        assert_eq!(check(&file.routes, &platform), [], "{name}");
        assert!(!file.routes.routes.is_empty());
    }
}

/// Reading and validating files that are generated from a grammar, most of them nearly valid, never panics.
#[test]
fn generated_files_never_panic() {
    let times = [
        "\"1ms\"",
        "\"20ms\"",
        "\"900ms\"",
        "\"2.5s\"",
        "\"10s\"",
        "\"0s\"",
        "\"-1s\"",
        "\"1e300s\"",
        "5",
        "\"5\"",
        "nan",
        "inf",
        "\"\"",
        "\"10m\"",
        "[]",
        "\"1ns\"",
    ];
    let lists = ["[]", "[\"connect\"]", "[\"connect\", \"timeout\"]", "[\"error\", 3]", "\"reset\"", "[[]]"];
    let numbers =
        ["0", "1", "3", "99999999999999999999", "-1", "0.5", "1e308", "nan", "0x10", "true", "\"3\""];
    let budgets = [
        "{ ratio = 0.1, burst = 3 }",
        "{ ratio = 2, burst = 0 }",
        "{ ratio = 0.1 }",
        "{}",
        "3",
        "{ ratio = nan, burst = inf }",
    ];
    let words =
        ["\"never\"", "\"p95\"", "\"p\"", "\"p200\"", "\"pNaN\"", "\"200ms\"", "\"any\"", "\"zone\"", "\"\""];
    let matches = [
        "{ class = \"log\" }",
        "{ class = \"x\" }",
        "{ path = \"/read/\" }",
        "{ path = \"\" }",
        "{ tenant = \"acme\", path = \"/é\" }",
        "{}",
        "[]",
        "{ clas = \"log\" }",
    ];
    let keys: [(&str, &[&str]); 16] = [
        ("match", &matches),
        ("timeout", &times),
        ("attempt_timeout", &times),
        ("connect_timeout", &times),
        ("first_byte_timeout", &times),
        ("queue_timeout", &times),
        ("attempts", &numbers),
        ("retry_on", &lists),
        ("retry_within", &words),
        ("second_copy_after", &words),
        ("second_copies_most", &numbers),
        ("retry_budget", &budgets),
        ("max_in_flight", &numbers),
        ("max_held", &numbers),
        ("pool", &words),
        ("typo", &numbers),
    ];
    let (mut valid, mut invalid) = (0, 0);
    for seed in 0..3000 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut text = String::new();
        for n in 0..random.usize(0..4) {
            text.push_str(&format!("[[route]]\nname = \"r{}\"\n", if random.u8(0..9) == 0 { 0 } else { n }));
            for (key, values) in &keys {
                // Few keys for each route, so that some files are valid.
                if random.u8(0..12) == 0 {
                    text.push_str(&format!("{key} = {}\n", values[random.usize(0..values.len())]));
                }
            }
        }
        if random.u8(0..4) == 0 {
            text.push_str("[pool.any]\nmax_held = 3\n");
        }
        if random.u8(0..10) == 0 {
            let mut cut = random.usize(0..=text.len());
            while !text.is_char_boundary(cut) {
                cut -= 1;
            }
            text.truncate(cut);
        }
        if errors(&text).is_empty() {
            valid += 1;
        } else {
            invalid += 1;
        }
    }
    assert!(
        valid > 300 && invalid > 300,
        "{valid} valid, {invalid} invalid: the grammar generates too few files of one kind"
    );
}

/// Validation of 2,000 routes and a table of 10,000 routes work. A comparison of every pair of routes would be too slow.
#[test]
fn many_routes_are_checked_and_matched() {
    let route = |n: usize| format!("[[route]]\nname = \"r{n}\"\nmatch = {{ path = \"/read/{n:05}\" }}\n");
    let text: String = (0..2000).map(route).collect();
    assert_eq!(errors(&text), Vec::<String>::new());
    let config = bellcroft_routes::RoutesConfig {
        routes: (0..10_000)
            .map(|n| bellcroft_routes::RouteConfig {
                name: n.to_string(),
                matches: bellcroft_routes::RouteMatch {
                    path: Some(format!("/read/{n:05}")),
                    ..Default::default()
                },
                ..Default::default()
            })
            .collect(),
        pools: Vec::new(),
    };
    let table = RouteTable::unchecked(&config, &mut bellcroft_routes::BudgetIds::default());
    assert_eq!(table.len(), 10_000);
    let found = table.lookup("read", Some("acme"), "/read/09999/x").map(|route| route.name.clone());
    assert_eq!(found.as_deref(), Some("9999"));
    assert!(table.lookup("read", None, "/read/1").is_none());
}
