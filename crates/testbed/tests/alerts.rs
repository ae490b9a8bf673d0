//! The shipped alert rules, and the evaluator that they are held against.

use bellcroft_telemetry::families;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use testbed::*;

fn root(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").join(path)
}

fn rules() -> RuleFile {
    RuleFile::load(&root("deploy/alerts/bellcroft.rules.yml")).expect("a rule file")
}

fn vector(text: &str, store: &Store, at: i64) -> Vec<(Labels, f64)> {
    match evaluate(text, store, at, 1.0) {
        Ok(Value::Vector(mut vector)) => {
            vector.sort_by(|a, b| a.0.cmp(&b.0));
            vector
        }
        other => panic!("{text}: {other:?}"),
    }
}

fn pairs(pairs: &[(&str, &str)]) -> Labels {
    pairs.iter().map(|(n, v)| ((*n).to_owned(), (*v).to_owned())).collect()
}

#[test]
fn the_shipped_unit_tests_pass() {
    let tally = run_unit_tests(&root("deploy/alerts/bellcroft.test.yml")).expect("a file of tests");
    assert_eq!(tally.failed, Vec::<String>::new());
    assert!(tally.checked >= 50, "{}", tally.checked);
}

/// A rule that always fires and one that never does must each be noticed, or the unit tests test nothing.
#[test]
fn the_unit_tests_notice_each_rule_that_never_or_always_fires() {
    let file = root("deploy/alerts/bellcroft.test.yml");
    for rule in rules().rules {
        for expr in ["vector(0) > 1", "vector(1)"] {
            let tally = run_unit_tests_replaced(&file, &rule.name, expr).expect("it runs");
            assert!(!tally.failed.is_empty(), "{} as {expr} goes unnoticed", rule.name);
        }
    }
}

#[test]
fn each_alert_tells_people_what_and_where_to_read_on() {
    let page = std::fs::read_to_string(root("docs/operate/alerts.md")).expect("a page");
    let mut names = BTreeSet::new();
    for rule in rules().rules {
        assert!(names.insert(rule.name.clone()), "{} is there twice", rule.name);
        for annotation in ["summary", "description", "runbook_url"] {
            assert!(
                rule.annotations.get(annotation).is_some_and(|t| t.len() > 5),
                "{}: {annotation}",
                rule.name
            );
        }
        let severity = rule.labels.get("severity").map(String::as_str);
        assert!(matches!(severity, Some("page" | "ticket")), "{}: {severity:?}", rule.name);
        let anchor =
            rule.annotations["runbook_url"].strip_prefix("docs/operate/alerts.md#").expect("our page");
        let slug = |line: &str| line.trim_start_matches('#').trim().to_lowercase().replace(' ', "-");
        let headings: Vec<String> = page.lines().filter(|l| l.starts_with('#')).map(slug).collect();
        assert!(headings.iter().any(|h| h == anchor), "{}: no heading makes #{anchor}", rule.name);
        assert!(page.contains(&format!("`{}`", rule.name)), "{} is not on the page", rule.name);
        let known = |word: &&str| {
            let plain =
                ["_bucket", "_sum", "_count"].iter().find_map(|end| word.strip_suffix(end)).unwrap_or(word);
            families::ALL.iter().any(|f| f.name == *word || f.name == plain)
        };
        let words = rule.text.split(|c: char| !c.is_ascii_alphanumeric() && c != '_');
        for word in words.filter(|w| w.starts_with("bellcroft_")) {
            assert!(known(&word), "{} speaks of {word}, which nobody counts", rule.name);
        }
    }
}

#[test]
fn every_series_is_on_the_operators_page() {
    let page = std::fs::read_to_string(root("docs/operate/metrics.md")).expect("a page");
    for line in metrics_table().lines() {
        assert!(page.lines().any(|l| l == line), "missing or other: {line}");
    }
    assert!(families::ALL.len() > 30);
}

/// The example of Prometheus' page "Unit testing for rules".
#[test]
fn the_documented_example_of_unit_tests_passes_and_another_expectation_fails() {
    let folder = Folder::new();
    folder.write(
        "alerts.yml",
        "groups:\n  - name: example\n    rules:\n      - alert: InstanceDown\n        expr: up == 0\n        for: 5m\n\
         \x20       labels:\n          severity: page\n        annotations:\n\
         \x20         summary: \"Instance {{ $labels.instance }} down\"\n\
         \x20         description: \"{{ $labels.instance }} of job {{ $labels.job }} has been down for more than 5 minutes.\"\n",
    );
    let text = r#"
rule_files: [alerts.yml]
evaluation_interval: 1m
tests:
  - interval: 1m
    input_series:
      - series: 'up{job="prometheus", instance="localhost:9090"}'
        values: '0 0 0 0 0 0 0 0 0 0 0 0 0 0 0'
      - series: 'up{job="node_exporter", instance="localhost:9100"}'
        values: '1+0x6 0 0 0 0 0 0 0 0'
      - series: 'go_goroutines{job="prometheus", instance="localhost:9090"}'
        values: '10+10x2 30+20x5'
      - series: 'go_goroutines{job="node_exporter", instance="localhost:9100"}'
        values: '10+10x7 10+30x4'
    alert_rule_test:
      - eval_time: 10m
        alertname: InstanceDown
        exp_alerts:
          - exp_labels: {severity: page, instance: localhost:9090, job: prometheus}
            exp_annotations:
              summary: "Instance localhost:9090 down"
              description: "localhost:9090 of job prometheus has been down for more than 5 minutes."
    promql_expr_test:
      - expr: go_goroutines > 5
        eval_time: 4m
        exp_samples:
          - labels: 'go_goroutines{job="prometheus",instance="localhost:9090"}'
            value: 50
          - labels: 'go_goroutines{job="node_exporter",instance="localhost:9100"}'
            value: 50
"#;
    let good = run_unit_tests(&folder.write("good.yml", text)).expect("it runs");
    assert_eq!(good, Tally { checked: 2, failed: Vec::new() });
    for (from, to) in [("value: 50", "value: 51"), ("localhost:9090 down", "nobody down"), ("10m", "3m")] {
        let bad = run_unit_tests(&folder.write("bad.yml", &text.replacen(from, to, 1))).expect("it runs");
        assert_eq!(bad.failed.len(), 1, "{to}");
    }
}

/// The example of "Operators: vector matching" in the documentation of Prometheus.
#[test]
fn the_documented_example_of_vector_matching_comes_out() {
    let mut store = Store::default();
    let errors = [
        ("get", "500", 24.0),
        ("get", "404", 30.0),
        ("put", "501", 3.0),
        ("post", "500", 6.0),
        ("post", "404", 21.0),
    ];
    for (method, code, value) in errors {
        store.put(&labels("method_code:http_errors:rate5m", &[("method", method), ("code", code)]), 0, value);
    }
    for (method, value) in [("get", 600.0), ("del", 34.0), ("post", 120.0)] {
        store.put(&labels("method:http_requests:rate5m", &[("method", method)]), 0, value);
    }
    let one = "method_code:http_errors:rate5m{code=\"500\"} / ignoring(code) method:http_requests:rate5m";
    let expected = vec![(pairs(&[("method", "get")]), 0.04), (pairs(&[("method", "post")]), 0.05)];
    assert_eq!(vector(one, &store, 0), expected);
    let many = "method_code:http_errors:rate5m / ignoring(code) group_left method:http_requests:rate5m";
    let expected =
        [("404", "get", 0.05), ("404", "post", 0.175), ("500", "get", 0.04), ("500", "post", 0.05)];
    let found = vector(many, &store, 0);
    let expected: Vec<_> =
        expected.iter().map(|(c, m, v)| (pairs(&[("code", c), ("method", m)]), *v)).collect();
    assert_eq!(found, expected);
    // Without the word that allows it, many series on one side are an error.
    assert!(evaluate(&many.replace("group_left", ""), &store, 0, 1.0).is_err());
}

/// The examples of `absent` in the documentation of Prometheus.
#[test]
fn the_documented_examples_of_absent_come_out() {
    let store = Store::default();
    for text in ["absent(nonexistent{job=\"myjob\"})", "absent(nonexistent{job=\"myjob\",instance=~\".*\"})"]
    {
        assert_eq!(vector(text, &store, 0), [(pairs(&[("job", "myjob")]), 1.0)], "{text}");
    }
    assert_eq!(vector("absent(sum(nonexistent{job=\"myjob\"}))", &store, 0), [(Labels::new(), 1.0)]);
}

#[test]
fn growth_is_stretched_to_the_ranges_bounds_and_never_below_zero() {
    let mut store = Store::default();
    let name = labels("x_total", &[]);
    // A sample each 10 s from 10 s on, with a restart behind the fourth.
    for (at, value) in [(10, 0.0), (20, 10.0), (30, 20.0), (40, 30.0), (50, 4.0), (60, 14.0)] {
        store.put(&name, at * 1000, value);
    }
    let increase =
        |range: &str, at: i64| vector(&format!("increase(x_total[{range}])"), &store, at * 1000)[0].1;
    // 10 to 40 s are three steps of ten; the count was zero at its begin, so nothing is added in front.
    assert!((increase("40s", 40) - 30.0).abs() < 1e-9);
    // (20 s, 60 s]: 30, 40, 50, 60 grew 10 + 4 + 10 over 30 s; the range begins one step earlier, within reach.
    assert!((increase("40s", 60) - 24.0 * 40.0 / 30.0).abs() < 1e-9);
    let rate = vector("rate(x_total[40s])", &store, 60_000)[0].1;
    assert!((rate - increase("40s", 60) / 40.0).abs() < 1e-12);
    assert_eq!(vector("resets(x_total[1m])", &store, 60_000)[0].1, 1.0);
    assert_eq!(vector("changes(x_total[1m])", &store, 60_000)[0].1, 5.0);
    // One sample is no growth, and what ended five minutes ago is not there.
    assert!(vector("increase(x_total[10s])", &store, 15_000).is_empty());
    assert!(vector("x_total", &store, 400_000).is_empty());
}

#[test]
fn what_is_not_known_is_an_error_and_never_a_guess() {
    let store = Store::default();
    for text in [
        "holt_winters(x[5m], 0.5, 0.5)",
        "x @ 5",
        "max_over_time(x[5m:1m])",
        "topk(3, x)",
        "x[5m]",
        "deriv(x[5m])",
        "(",
    ] {
        assert!(evaluate(text, &store, 0, 1.0).is_err(), "{text}");
    }
    for text in [
        "groups: [{name: g, rules: [{expr: up}]}]",
        "groups: [{name: g, rules: [{alert: A, record: b, expr: up}]}]",
        "groups: [{name: g, rules: [{alert: A, expr: 'up =='}]}]",
        "groups: [{name: g, rules: [{alert: A, expr: up, for: soon}]}]",
        "groups: [{name: g, rules: [{alert: A, expr: up, fro: 5m}]}]",
        "group: []",
    ] {
        assert!(RuleFile::parse(text).is_err(), "{text}");
    }
}
