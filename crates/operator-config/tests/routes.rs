//! Routes as operators write them: bad files, each with its message, and files out of a grammar.

use bellcroft_balancer::{Class, DedupScope, Micros, RetrySafety, Settings, Tenant};
use bellcroft_operator_config::AgentFile;
use bellcroft_routes::{check, Platform, RouteTable};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

const CLASSES: [&str; 4] = ["read", "log", "assign", "pay"];

/// Deadlines of 10 s, repeats dropped for 7.5 s everywhere (`log`) or for 1 s in a zone (`assign`).
fn settings() -> Settings {
    let class = |effect| Class {
        retry_safety: effect,
        latency_objective: Micros::from_ms(500.0),
        deadline: Micros::from_ms(10_000.0),
        ..Class::default()
    };
    let keyed = |group, ms| RetrySafety::Deduplicated { scope: group, window: Micros::from_ms(ms) };
    Settings {
        classes: vec![
            class(RetrySafety::Idempotent),
            class(keyed(DedupScope::All, 7500.0)),
            class(keyed(DedupScope::Zone, 1000.0)),
            class(RetrySafety::AtMostOnce),
        ],
        tenants: vec![Tenant { fraction: 1.0, allowance_per_s: 100.0 }],
        max_attempts: 4,
        hedging: true,
        drain_grace_period: Micros::from_ms(2000.0),
        ..Settings::default()
    }
}

/// All that is wrong with a text, as `bellcroft check` tells it.
fn wrong(text: &str) -> Vec<String> {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let file: PathBuf =
        std::env::temp_dir().join(format!("bellcroft-routes-{}-{number}.toml", std::process::id()));
    std::fs::write(&file, text).expect("a file");
    let read = AgentFile::read(&file);
    std::fs::remove_file(&file).expect("it was there");
    let settings = settings();
    let classes = CLASSES.map(str::to_owned);
    let tenants = ["acme".to_owned()];
    let connect_timeout = Micros::from_ms(2500.0);
    let platform = Platform { settings: &settings, classes: &classes, tenants: &tenants, connect_timeout };
    match read {
        Err(faults) => {
            let name = file.display().to_string();
            faults.iter().map(|fault| fault.to_string().replacen(&format!("{name}:"), "", 1)).collect()
        }
        Ok(file) => check(&file.routes, &platform).iter().map(ToString::to_string).collect(),
    }
}

/// One route of this class with these lines, which begin in line 4.
fn route(class: &str, more: &str) -> String {
    format!("[[route]]\nname = \"r\"\nmatch = {{ class = \"{class}\" }}\n{more}\n")
}

mod bad_routes;

#[test]
fn invalid_routes_are_rejected_with_messages() {
    let mut failures = Vec::new();
    let cases = bad_routes::cases();
    assert!(cases.len() >= 60, "{}", cases.len());
    for (text, expected) in &cases {
        let found = wrong(text);
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
        assert_eq!(wrong(&text), Vec::<String>::new(), "{text}");
    }
}

/// The example files keep the rules of the booking service's classes.
#[test]
fn example_files_are_valid() {
    let class = |effect, deadline| Class {
        retry_safety: effect,
        latency_objective: Micros::from_ms(250.0),
        deadline: Micros::from_ms(deadline),
        ..Class::default()
    };
    let keyed = |group, ms| RetrySafety::Deduplicated { scope: group, window: Micros::from_ms(ms) };
    let settings = Settings {
        classes: vec![
            class(RetrySafety::Idempotent, 1500.0),
            class(keyed(DedupScope::All, 7500.0), 2500.0),
            class(keyed(DedupScope::Zone, 1000.0), 2500.0),
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
        let file = AgentFile::read(&file).expect("it is good");
        assert_eq!(check(&file.routes, &platform), [], "{name}");
        assert!(!file.routes.routes.is_empty());
    }
}

/// Files out of a grammar, most of them nearly valid: reading and checking one never panics, and what is accepted
/// can be made a table.
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
    let (mut good, mut bad) = (0, 0);
    for seed in 0..3000 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut text = String::new();
        for n in 0..random.usize(0..4) {
            text.push_str(&format!("[[route]]\nname = \"r{}\"\n", if random.u8(0..9) == 0 { 0 } else { n }));
            for (key, values) in &keys {
                // A file with few keys has a chance to be good.
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
        if wrong(&text).is_empty() {
            good += 1;
        } else {
            bad += 1;
        }
    }
    assert!(good > 300 && bad > 300, "{good} good, {bad} bad: the grammar shows little");
}

/// Ten thousand routes are checked and looked up without each being compared with each.
#[test]
fn many_routes_are_checked_and_matched() {
    let route = |n: usize| format!("[[route]]\nname = \"r{n}\"\nmatch = {{ path = \"/read/{n:05}\" }}\n");
    let text: String = (0..2000).map(route).collect();
    assert_eq!(wrong(&text), Vec::<String>::new());
    let spec = bellcroft_routes::RoutesConfig {
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
    let table = RouteTable::unchecked(&spec, &mut bellcroft_routes::BudgetIds::default());
    assert_eq!(table.len(), 10_000);
    let found = table.lookup("read", Some("acme"), "/read/09999/x").map(|route| route.name.clone());
    assert_eq!(found.as_deref(), Some("9999"));
    assert!(table.lookup("read", None, "/read/1").is_none());
}
