//! Unit tests of rules, in the format of Prometheus ("Unit testing for rules").

use super::promql::{evaluate, Value};
use super::rules::{Alerting, RuleFile};
use super::store::{Labels, Store, STALE};
use promql_parser::label::MatchOp;
use promql_parser::parser::Expr;
use promql_parser::util::parse_duration;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    rule_files: Vec<String>,
    evaluation_interval: Option<String>,
    tests: Vec<Test>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Test {
    #[serde(default)]
    name: String,
    interval: Option<String>,
    input_series: Vec<Input>,
    #[serde(default)]
    alert_rule_test: Vec<AlertTest>,
    #[serde(default)]
    promql_expr_test: Vec<ExprTest>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Input {
    series: String,
    values: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct AlertTest {
    eval_time: String,
    alertname: String,
    #[serde(default)]
    exp_alerts: Vec<Expected>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Expected {
    #[serde(default)]
    exp_labels: Labels,
    #[serde(default)]
    exp_annotations: Option<BTreeMap<String, String>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ExprTest {
    expr: String,
    eval_time: String,
    #[serde(default)]
    exp_samples: Vec<ExpectedSample>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ExpectedSample {
    #[serde(default)]
    labels: String,
    value: f64,
}

/// What came of a file of tests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally {
    /// Expectations that were held against the rules.
    pub checked: usize,
    /// Those that were not met, in words.
    pub failed: Vec<String>,
}

fn ms(text: &str) -> Result<i64, String> {
    if text.trim() == "0" {
        return Ok(0);
    }
    parse_duration(text).map(|span| span.as_millis() as i64).map_err(|e| format!("{text}: {e}"))
}

/// `name{label="value"}`.
fn series(text: &str) -> Result<Labels, String> {
    let Expr::VectorSelector(selector) = promql_parser::parser::parse(text)? else {
        return Err(format!("{text} is no series"));
    };
    let mut labels: Labels = selector.name.into_iter().map(|name| ("__name__".to_owned(), name)).collect();
    for matcher in selector.matchers.matchers {
        if !matches!(matcher.op, MatchOp::Equal) {
            return Err(format!("{text}: a series has labels and no conditions"));
        }
        labels.insert(matcher.name, matcher.value);
    }
    Ok(labels)
}

/// The expanding notation: `1 2`, `0+10x5`, `_`, `_x3`, `stale`.
fn values(text: &str) -> Result<Vec<Option<f64>>, String> {
    let mut values = Vec::new();
    for word in text.split_whitespace() {
        let wrong = || format!("{word} is no value");
        if word == "stale" {
            values.push(Some(f64::from_bits(STALE)));
            continue;
        }
        let (what, times) = match word.split_once('x') {
            Some((what, times)) => (what, Some(times.parse::<usize>().map_err(|_| wrong())?)),
            None => (word, None),
        };
        if what == "_" {
            values.extend(std::iter::repeat_n(None, times.unwrap_or(1)));
            continue;
        }
        // A sign behind the first letter sets the step apart.
        let step = what
            .char_indices()
            .skip(1)
            .find(|(at, c)| matches!(c, '+' | '-') && !what[..*at].ends_with(['e', 'E']));
        let (from, step) = match (step, times) {
            (Some((at, _)), Some(_)) => (&what[..at], what[at..].parse::<f64>().map_err(|_| wrong())?),
            (None, _) => (what, 0.0),
            (Some(_), None) => return Err(wrong()),
        };
        let from: f64 = from.parse().map_err(|_| wrong())?;
        values.extend((0..=times.unwrap_or(0)).map(|n| Some(from + step * n as f64)));
    }
    Ok(values)
}

/// Runs a file of tests.
///
/// # Errors
///
/// The file, or a rule file that it names, cannot be read or evaluated.
pub fn run(file: &Path) -> Result<Tally, String> {
    run_with(file, None)
}

/// Runs what a file's tests say of one alert, with another expression in its rule: a test of the tests, which must
/// fail then.
///
/// # Errors
///
/// As of [`run`].
pub fn run_replaced(file: &Path, alert: &str, expr: &str) -> Result<Tally, String> {
    run_with(file, Some((alert, expr)))
}

fn run_with(file: &Path, replaced: Option<(&str, &str)>) -> Result<Tally, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let mut tests: File = serde_yaml_ng::from_str(&text).map_err(|e| format!("{}: {e}", file.display()))?;
    let folder = file.parent().unwrap_or(Path::new(""));
    let mut rules = RuleFile::default();
    for name in &tests.rule_files {
        rules.rules.extend(RuleFile::load(&folder.join(name))?.rules);
    }
    if let Some((alert, expr)) = replaced {
        rules.rules.retain(|rule| rule.name == alert);
        rules.rules.iter_mut().try_for_each(|rule| rule.replace(expr))?;
        for test in &mut tests.tests {
            test.alert_rule_test.retain(|t| t.alertname == alert);
            test.promql_expr_test.clear();
        }
        tests.tests.retain(|test| !test.alert_rule_test.is_empty());
    }
    let every = ms(tests.evaluation_interval.as_deref().unwrap_or("1m"))?;
    let mut tally = Tally::default();
    for (number, test) in tests.tests.iter().enumerate() {
        let name = if test.name.is_empty() { format!("test {}", number + 1) } else { test.name.clone() };
        one(test, &name, &rules, every, &mut tally).map_err(|why| format!("{name}: {why}"))?;
    }
    Ok(tally)
}

fn one(test: &Test, name: &str, rules: &RuleFile, every: i64, tally: &mut Tally) -> Result<(), String> {
    let interval = test.interval.as_deref().map_or(Ok(every), ms)?;
    let mut store = Store::default();
    for input in &test.input_series {
        let labels = series(&input.series)?;
        for (place, value) in values(&input.values)?.into_iter().enumerate() {
            if let Some(value) = value {
                store.put(&labels, place as i64 * interval, value);
            }
        }
    }
    for rule in test.alert_rule_test.iter().map(|t| &t.alertname) {
        if !rules.rules.iter().any(|known| !known.records && known.name == *rule) {
            return Err(format!("no rule is called {rule}"));
        }
    }
    let mut times = BTreeMap::new();
    for alert in &test.alert_rule_test {
        times.entry(ms(&alert.eval_time)?).or_insert_with(Vec::new).push(alert);
    }
    let exprs = test.promql_expr_test.iter().map(|expr| Ok((ms(&expr.eval_time)?, expr)));
    let exprs = exprs.collect::<Result<Vec<_>, String>>()?;
    let last = times.keys().chain(exprs.iter().map(|(at, _)| at)).max().copied().unwrap_or(0);
    let mut alerting = Alerting::new(rules.clone(), 1.0);
    let mut at = 0;
    while at <= last {
        let alerts = alerting.step(&mut store, at)?;
        // An expectation between two evaluations is of the earlier one.
        for test in times.range(at..at + every).flat_map(|(_, tests)| tests) {
            tally.checked += 1;
            let firing = alerts.iter().filter(|a| a.firing && a.name == test.alertname);
            let found: BTreeSet<_> = firing
                .map(|a| {
                    let mut labels = a.labels.clone();
                    labels.remove("alertname");
                    (labels, a.annotations.clone())
                })
                .collect();
            let wanted: BTreeSet<_> = test
                .exp_alerts
                .iter()
                .map(|e| (e.exp_labels.clone(), e.exp_annotations.clone().unwrap_or_default()))
                .collect();
            // Annotations are compared where the test gives them.
            let bare = test.exp_alerts.iter().all(|e| e.exp_annotations.is_none());
            let only =
                |set: &BTreeSet<(Labels, _)>| set.iter().map(|(l, _)| l.clone()).collect::<BTreeSet<_>>();
            let same = if bare { only(&found) == only(&wanted) } else { found == wanted };
            if !same {
                let (at, alert) = (&test.eval_time, &test.alertname);
                tally.failed.push(format!("{name}: {alert} at {at}: expected {wanted:?}, found {found:?}"));
            }
        }
        for (_, test) in exprs.iter().filter(|(time, _)| (at..at + every).contains(time)) {
            tally.checked += 1;
            let found = match evaluate(&test.expr, &store, ms(&test.eval_time)?, 1.0)? {
                Value::Vector(vector) => vector,
                Value::Scalar(value) => vec![(Labels::new(), value)],
            };
            let mut wanted = Vec::new();
            for sample in &test.exp_samples {
                let labels = if sample.labels.is_empty() || sample.labels == "{}" {
                    Labels::new()
                } else {
                    series(&sample.labels)?
                };
                wanted.push((labels, sample.value));
            }
            let near = |a: f64, b: f64| (a - b).abs() <= 1e-6 * b.abs().max(1.0);
            let met = found.len() == wanted.len()
                && wanted.iter().all(|(l, v)| found.iter().any(|(fl, fv)| fl == l && near(*fv, *v)));
            if !met {
                tally.failed.push(format!("{name}: {}: expected {wanted:?}, found {found:?}", test.expr));
            }
        }
        at += every;
    }
    Ok(())
}
