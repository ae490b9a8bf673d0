//! Rule files of Prometheus ("Alerting rules", "Recording rules"): reading them, and what fires when.

use super::promql::{evaluate_parsed, Value};
use super::store::{Labels, Store};
use promql_parser::parser::Expr;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    groups: Vec<Group>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Group {
    #[serde(rename = "name")]
    _name: String,
    #[serde(rename = "interval")]
    _interval: Option<String>,
    rules: Vec<Entry>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Entry {
    alert: Option<String>,
    record: Option<String>,
    expr: String,
    #[serde(rename = "for")]
    wait: Option<String>,
    #[serde(default)]
    labels: Labels,
    #[serde(default)]
    annotations: BTreeMap<String, String>,
}

/// A rule.
#[derive(Debug, Clone)]
pub struct Rule {
    /// The alert's name, or the recorded series'.
    pub name: String,
    /// It records a series and alerts nobody.
    pub records: bool,
    /// Its expression.
    pub text: String,
    expr: Expr,
    /// How long it must hold.
    pub wait: Duration,
    /// Labels that it adds.
    pub labels: Labels,
    /// What people are told, with templates.
    pub annotations: BTreeMap<String, String>,
}

impl Rule {
    /// Holds another expression, at once.
    ///
    /// # Errors
    ///
    /// It is no PromQL.
    pub fn replace(&mut self, text: &str) -> Result<(), String> {
        self.expr = promql_parser::parser::parse(text)?;
        (self.text, self.wait) = (text.to_owned(), Duration::ZERO);
        Ok(())
    }
}

/// The rules of a file, in their order.
#[derive(Debug, Clone, Default)]
pub struct RuleFile {
    /// All of them.
    pub rules: Vec<Rule>,
}

impl RuleFile {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// It cannot be read, is no rule file, or an expression is no PromQL.
    pub fn load(file: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        Self::parse(&text).map_err(|why| format!("{}: {why}", file.display()))
    }

    /// Reads a file's text.
    ///
    /// # Errors
    ///
    /// As of [`RuleFile::load`].
    pub fn parse(text: &str) -> Result<Self, String> {
        let file: File = serde_yaml_ng::from_str(text).map_err(|e| e.to_string())?;
        let mut rules = Vec::new();
        for entry in file.groups.into_iter().flat_map(|group| group.rules) {
            let (name, records) = match (entry.alert, entry.record) {
                (Some(name), None) => (name, false),
                (None, Some(name)) => (name, true),
                _ => return Err(format!("{}: a rule alerts or records, one of the two", entry.expr)),
            };
            let expr = promql_parser::parser::parse(&entry.expr).map_err(|e| format!("{name}: {e}"))?;
            let wait = entry.wait.as_deref().map(promql_parser::util::parse_duration).transpose();
            let wait = wait.map_err(|e| format!("{name}: for: {e}"))?.unwrap_or_default();
            let (text, labels, annotations) = (entry.expr, entry.labels, entry.annotations);
            rules.push(Rule { name, records, text, expr, wait, labels, annotations });
        }
        Ok(RuleFile { rules })
    }
}

/// An alert that holds.
#[derive(Debug, Clone, PartialEq)]
pub struct Alert {
    /// Its rule.
    pub name: String,
    /// Its series' labels and its rule's, `alertname` left out.
    pub labels: Labels,
    /// What people are told.
    pub annotations: BTreeMap<String, String>,
    /// Since when its expression holds, in Unix milliseconds.
    pub since: i64,
    /// It has held for as long as its rule wants.
    pub firing: bool,
}

/// The state of a file's alerts as time passes.
#[derive(Debug)]
pub struct Alerting {
    file: RuleFile,
    pace: f64,
    since: BTreeMap<(usize, Labels), i64>,
    /// When each alert first fired, in Unix milliseconds.
    pub fired: BTreeMap<String, i64>,
}

impl Alerting {
    /// Of a file whose times are all divided by `pace`.
    pub fn new(file: RuleFile, pace: f64) -> Self {
        Alerting { file, pace, since: BTreeMap::new(), fired: BTreeMap::new() }
    }

    /// Evaluates all rules at a moment, in their order; what they record goes into the store.
    ///
    /// # Errors
    ///
    /// A rule that cannot be evaluated, by its name.
    pub fn step(&mut self, store: &mut Store, at: i64) -> Result<Vec<Alert>, String> {
        let (mut alerts, mut still) = (Vec::new(), BTreeMap::new());
        for (place, rule) in self.file.rules.iter().enumerate() {
            let wrong = |why: String| format!("{}: {why}", rule.name);
            let vector = match evaluate_parsed(&rule.expr, store, at, self.pace).map_err(wrong)? {
                Value::Vector(vector) => vector,
                Value::Scalar(value) => vec![(Labels::new(), value)],
            };
            for (mut labels, value) in vector {
                labels.remove("__name__");
                let series = labels.clone();
                for (name, text) in &rule.labels {
                    labels.insert(name.clone(), expand(text, &series, value).map_err(wrong)?);
                }
                if rule.records {
                    labels.insert("__name__".into(), rule.name.clone());
                    store.put(&labels, at, value);
                    continue;
                }
                let key = (place, labels.clone());
                let since = self.since.get(&key).copied().unwrap_or(at);
                if still.insert(key, since).is_some() {
                    return Err(format!("{}: two series have the labels {labels:?}", rule.name));
                }
                let firing = at - since >= (rule.wait.as_millis() as f64 / self.pace) as i64;
                if firing {
                    self.fired.entry(rule.name.clone()).or_insert(at);
                }
                let annotations = rule
                    .annotations
                    .iter()
                    .map(|(name, text)| Ok((name.clone(), expand(text, &series, value).map_err(wrong)?)));
                let annotations = annotations.collect::<Result<_, String>>()?;
                alerts.push(Alert { name: rule.name.clone(), labels, annotations, since, firing });
            }
        }
        self.since = still;
        Ok(alerts)
    }
}

/// Fills `{{ $labels.x }}` and `{{ $value }}`, with the pipes that our rules use.
fn expand(text: &str, labels: &Labels, value: f64) -> Result<String, String> {
    let (mut out, mut rest) = (String::new(), text);
    while let Some(begin) = rest.find("{{") {
        out.push_str(&rest[..begin]);
        let end = rest[begin..].find("}}").ok_or("a template is not closed")? + begin;
        let mut parts = rest[begin + 2..end].split('|').map(str::trim);
        let subject = parts.next().unwrap_or_default();
        let text = match subject.strip_prefix("$labels.") {
            Some(name) => labels.get(name).cloned().unwrap_or_default(),
            None if subject == "$value" => value.to_string(),
            None => return Err(format!("{subject} is no template that is known here")),
        };
        out.push_str(&match parts.next() {
            None => text,
            Some("humanizePercentage") => format!("{:.4}%", value * 100.0).replace(".0000%", "%"),
            Some("humanizeDuration") => format!("{}s", (value * 1000.0).round() / 1000.0),
            Some("humanize") => format!("{}", (value * 1000.0).round() / 1000.0),
            Some(other) => return Err(format!("{other} is no pipe that is known here")),
        });
        rest = &rest[end + 2..];
    }
    out.push_str(rest);
    Ok(out)
}
