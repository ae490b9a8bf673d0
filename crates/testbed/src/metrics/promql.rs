//! A small evaluator of PromQL for the functions that our alert rules use, by the public documentation of Prometheus
//! ("Querying": operators, functions, staleness). What it does not know is an error and never a guess.

use super::store::{is_stale, Labels, Store};
use promql_parser::label::Matchers;
use promql_parser::parser::token::*;
use promql_parser::parser::{
    AggregateExpr, BinModifier, BinaryExpr, Call, Expr, LabelModifier, MatrixSelector, Offset,
    VectorMatchCardinality, VectorSelector,
};
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

/// An instant selector looks back this far.
const LOOKBACK: Duration = Duration::from_secs(300);
const NAME: &str = "__name__";

/// What an expression comes to at a moment.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// A number.
    Scalar(f64),
    /// Series, each with its value.
    Vector(Vec<(Labels, f64)>),
}

/// A range of samples of one series, in Unix milliseconds.
type Ranged = (Labels, Vec<(i64, f64)>);
type Stored<'s> = (&'s Labels, &'s Vec<(i64, f64)>);

/// Evaluates an expression at a moment. All ranges and look-backs are divided by `pace`, so that rules written in
/// minutes can be held against a run of seconds.
///
/// # Errors
///
/// The text is no PromQL, or uses what this evaluator does not know.
pub fn evaluate(text: &str, store: &Store, at: i64, pace: f64) -> Result<Value, String> {
    evaluate_parsed(&promql_parser::parser::parse(text)?, store, at, pace)
}

/// As [`evaluate`], of an expression that has been parsed: rules are evaluated many times.
pub(super) fn evaluate_parsed(expr: &Expr, store: &Store, at: i64, pace: f64) -> Result<Value, String> {
    Moment { store, at, pace }.expr(expr)
}

struct Moment<'a> {
    store: &'a Store,
    at: i64,
    pace: f64,
}

fn unknown<T>(what: impl std::fmt::Display) -> Result<T, String> {
    Err(format!("{what} is not known here"))
}

fn number(value: f64) -> bool {
    value != 0.0
}

impl Moment<'_> {
    fn ms(&self, span: Duration) -> i64 {
        (span.as_millis() as f64 / self.pace) as i64
    }

    fn expr(&self, expr: &Expr) -> Result<Value, String> {
        match expr {
            Expr::NumberLiteral(literal) => Ok(Value::Scalar(literal.val)),
            Expr::Paren(paren) => self.expr(&paren.expr),
            Expr::Unary(unary) => Ok(match self.expr(&unary.expr)? {
                Value::Scalar(value) => Value::Scalar(-value),
                Value::Vector(vector) => map(vector, |value| -value),
            }),
            Expr::VectorSelector(selector) => self.instant(selector).map(Value::Vector),
            Expr::Aggregate(aggregate) => self.aggregate(aggregate).map(Value::Vector),
            Expr::Binary(binary) => self.binary(binary),
            Expr::Call(call) => self.call(call),
            Expr::MatrixSelector(_) => unknown("a range outside a function"),
            Expr::Subquery(_) => unknown("a subquery"),
            Expr::StringLiteral(_) => unknown("a text"),
            Expr::Extension(_) => unknown("an extension"),
        }
    }

    fn vector(&self, expr: &Expr) -> Result<Vec<(Labels, f64)>, String> {
        match self.expr(expr)? {
            Value::Vector(vector) => Ok(vector),
            Value::Scalar(_) => Err("a vector was expected".into()),
        }
    }

    fn scalar(&self, expr: &Expr) -> Result<f64, String> {
        match self.expr(expr)? {
            Value::Scalar(value) => Ok(value),
            Value::Vector(_) => Err("a number was expected".into()),
        }
    }

    fn matching<'s>(
        &'s self,
        selector: &'s VectorSelector,
    ) -> Result<impl Iterator<Item = Stored<'s>>, String> {
        if selector.at.is_some() {
            return unknown("@");
        }
        if !selector.matchers.or_matchers.is_empty() {
            return unknown("or among matchers");
        }
        let fits = |labels: &Labels, matchers: &Matchers| {
            let value = |name: &str| labels.get(name).map_or("", String::as_str);
            matchers.matchers.iter().all(|m| m.is_match(value(&m.name)))
        };
        let name = selector.name.as_deref();
        Ok(self.store.series.iter().filter(move |(labels, _)| {
            name.is_none_or(|name| labels.get(NAME).is_some_and(|own| own == name))
                && fits(labels, &selector.matchers)
        }))
    }

    fn moment(&self, selector: &VectorSelector) -> i64 {
        match &selector.offset {
            None => self.at,
            Some(Offset::Pos(span)) => self.at - self.ms(*span),
            Some(Offset::Neg(span)) => self.at + self.ms(*span),
        }
    }

    fn instant(&self, selector: &VectorSelector) -> Result<Vec<(Labels, f64)>, String> {
        let (at, lookback) = (self.moment(selector), self.ms(LOOKBACK));
        let latest = |(labels, samples): (&Labels, &Vec<(i64, f64)>)| {
            let end = samples.partition_point(|(time, _)| *time <= at);
            let (time, value) = *samples[..end].last()?;
            (time > at - lookback && !is_stale(value)).then(|| (labels.clone(), value))
        };
        Ok(self.matching(selector)?.filter_map(latest).collect())
    }

    /// The samples within a range that is open at its begin, and its bounds.
    fn range(&self, matrix: &MatrixSelector) -> Result<(Vec<Ranged>, i64, i64), String> {
        let end = self.moment(&matrix.vs);
        let begin = end - self.ms(matrix.range);
        let within = |(labels, samples): (&Labels, &Vec<(i64, f64)>)| {
            let own = samples.iter().filter(|(at, value)| *at > begin && *at <= end && !is_stale(*value));
            (labels.clone(), own.copied().collect::<Vec<_>>())
        };
        let series = self.matching(&matrix.vs)?.map(within).filter(|(_, samples)| !samples.is_empty());
        Ok((series.collect(), begin, end))
    }

    /// A function of each series' range; the name goes, for the value is another thing than the series.
    fn over(
        &self,
        argument: &Expr,
        of: impl Fn(&[(i64, f64)], i64, i64) -> Option<f64>,
    ) -> Result<Value, String> {
        let Expr::MatrixSelector(matrix) = argument else { return unknown("anything but a range here") };
        let (series, begin, end) = self.range(matrix)?;
        let one = |(mut labels, samples): Ranged| {
            labels.remove(NAME);
            Some((labels, of(&samples, begin, end)?))
        };
        Ok(Value::Vector(series.into_iter().filter_map(one).collect()))
    }

    fn call(&self, call: &Call) -> Result<Value, String> {
        let args = &call.args.args;
        let first =
            || args.first().map(AsRef::as_ref).ok_or_else(|| format!("{} of nothing", call.func.name));
        match call.func.name {
            "time" => Ok(Value::Scalar(self.at as f64 / 1e3)),
            "vector" => Ok(Value::Vector(vec![(Labels::new(), self.scalar(first()?)?)])),
            "rate" => self.over(first()?, |s, begin, end| {
                Some(extrapolated(s, begin, end)? / ((end - begin) as f64 / 1e3))
            }),
            "increase" => self.over(first()?, extrapolated),
            "changes" => self.over(first()?, |s, _, _| {
                Some(s.windows(2).filter(|pair| pair[0].1 != pair[1].1).count() as f64)
            }),
            "resets" => {
                self.over(first()?, |s, _, _| Some(s.windows(2).filter(|p| p[1].1 < p[0].1).count() as f64))
            }
            "max_over_time" => {
                self.over(first()?, |s, _, _| s.iter().map(|(_, value)| *value).reduce(f64::max))
            }
            "min_over_time" => {
                self.over(first()?, |s, _, _| s.iter().map(|(_, value)| *value).reduce(f64::min))
            }
            "count_over_time" => self.over(first()?, |s, _, _| Some(s.len() as f64)),
            "absent" => {
                let argument = first()?;
                if !self.vector(argument)?.is_empty() {
                    return Ok(Value::Vector(Vec::new()));
                }
                // The labels that the selector fixes are known although no series is there.
                let mut labels = Labels::new();
                if let Expr::VectorSelector(selector) = argument {
                    for m in &selector.matchers.matchers {
                        if matches!(m.op, promql_parser::label::MatchOp::Equal) && m.name != NAME {
                            labels.insert(m.name.clone(), m.value.clone());
                        }
                    }
                }
                Ok(Value::Vector(vec![(labels, 1.0)]))
            }
            "clamp_min" => {
                let least = self.scalar(args.get(1).ok_or("clamp_min needs a number")?)?;
                Ok(nameless(self.vector(first()?)?, |value| value.max(least)))
            }
            "abs" => Ok(nameless(self.vector(first()?)?, f64::abs)),
            other => unknown(other),
        }
    }

    fn aggregate(&self, aggregate: &AggregateExpr) -> Result<Vec<(Labels, f64)>, String> {
        let mut groups: BTreeMap<Labels, Vec<f64>> = BTreeMap::new();
        for (labels, value) in self.vector(&aggregate.expr)? {
            let kept = match &aggregate.modifier {
                None => Labels::new(),
                Some(LabelModifier::Include(by)) => keep(&labels, |name| by.labels.iter().any(|l| l == name)),
                Some(LabelModifier::Exclude(out)) => {
                    keep(&labels, |name| name != NAME && !out.labels.iter().any(|l| l == name))
                }
            };
            groups.entry(kept).or_default().push(value);
        }
        let share = match (&aggregate.param, aggregate.op.id()) {
            (Some(param), T_QUANTILE) => self.scalar(param)?,
            (Some(_), _) => return unknown("an aggregation with a parameter"),
            _ => 0.0,
        };
        let of = |values: &mut Vec<f64>| -> Result<f64, String> {
            Ok(match aggregate.op.id() {
                T_SUM => values.iter().sum(),
                T_AVG => values.iter().sum::<f64>() / values.len() as f64,
                T_COUNT => values.len() as f64,
                T_MIN => values.iter().copied().fold(f64::INFINITY, f64::min),
                T_MAX => values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
                T_QUANTILE => {
                    values.sort_by(f64::total_cmp);
                    let place = share * (values.len() - 1) as f64;
                    let (low, high) = (place.floor() as usize, place.ceil() as usize);
                    values[low] + (values[high] - values[low]) * (place - place.floor())
                }
                _ => return unknown(format!("{:?}", aggregate.op)),
            })
        };
        groups.into_iter().map(|(labels, mut values)| Ok((labels, of(&mut values)?))).collect()
    }

    fn binary(&self, binary: &BinaryExpr) -> Result<Value, String> {
        let (left, right) = (self.expr(&binary.lhs)?, self.expr(&binary.rhs)?);
        let op = binary.op.id();
        let bool = binary.modifier.as_ref().is_some_and(|m| m.return_bool);
        match (left, right) {
            (Value::Scalar(a), Value::Scalar(b)) => Ok(Value::Scalar(arithmetic(op, a, b)?)),
            (Value::Vector(vector), Value::Scalar(b)) => one_sided(vector, op, bool, |a| (a, b)),
            (Value::Scalar(a), Value::Vector(vector)) => one_sided(vector, op, bool, |b| (a, b)),
            (Value::Vector(a), Value::Vector(b)) => two_sided(a, b, op, binary.modifier.as_ref()),
        }
    }
}

fn keep(labels: &Labels, kept: impl Fn(&str) -> bool) -> Labels {
    labels.iter().filter(|(name, _)| kept(name)).map(|(n, v)| (n.clone(), v.clone())).collect()
}

fn map(vector: Vec<(Labels, f64)>, of: impl Fn(f64) -> f64) -> Value {
    Value::Vector(vector.into_iter().map(|(labels, value)| (labels, of(value))).collect())
}

fn nameless(vector: Vec<(Labels, f64)>, of: impl Fn(f64) -> f64) -> Value {
    map(vector.into_iter().map(|(labels, value)| (keep(&labels, |n| n != NAME), value)).collect(), of)
}

/// A count's growth over a range, resets counted from zero, stretched towards the range's bounds where the samples
/// reach near them (Prometheus documentation, "rate").
fn extrapolated(samples: &[(i64, f64)], begin: i64, end: i64) -> Option<f64> {
    let ((first_at, first), (last_at, _)) = (*samples.first()?, *samples.last()?);
    if samples.len() < 2 {
        return None;
    }
    let grown: f64 = samples
        .windows(2)
        .map(|pair| if pair[1].1 < pair[0].1 { pair[1].1 } else { pair[1].1 - pair[0].1 })
        .sum();
    let sampled = (last_at - first_at) as f64;
    let between = sampled / (samples.len() - 1) as f64;
    let near = between * 1.1;
    let (mut before, mut after) = ((first_at - begin) as f64, (end - last_at) as f64);
    if before >= near {
        before = between / 2.0;
    }
    if grown > 0.0 && first >= 0.0 {
        // A count is never below zero: it can't have begun further back than this.
        before = before.min(sampled * (first / grown));
    }
    if after >= near {
        after = between / 2.0;
    }
    Some(grown * (sampled + before + after) / sampled)
}

fn compares(op: TokenId) -> bool {
    matches!(op, T_EQLC | T_NEQ | T_GTR | T_LSS | T_GTE | T_LTE)
}

fn arithmetic(op: TokenId, a: f64, b: f64) -> Result<f64, String> {
    let truth = |is: bool| f64::from(u8::from(is));
    Ok(match op {
        T_ADD => a + b,
        T_SUB => a - b,
        T_MUL => a * b,
        T_DIV => a / b,
        T_EQLC => truth(a == b),
        T_NEQ => truth(a != b),
        T_GTR => truth(a > b),
        T_LSS => truth(a < b),
        T_GTE => truth(a >= b),
        T_LTE => truth(a <= b),
        _ => return unknown(format!("operator {op}")),
    })
}

/// A vector and a number: a comparison filters and keeps the series as it is, all else gives new values.
fn one_sided(
    vector: Vec<(Labels, f64)>,
    op: TokenId,
    bool: bool,
    sides: impl Fn(f64) -> (f64, f64),
) -> Result<Value, String> {
    let mut result = Vec::new();
    for (labels, value) in vector {
        let (a, b) = sides(value);
        let found = arithmetic(op, a, b)?;
        if !compares(op) || bool {
            result.push((keep(&labels, |n| n != NAME), found));
        } else if number(found) {
            result.push((labels, value));
        }
    }
    Ok(Value::Vector(result))
}

fn two_sided(
    left: Vec<(Labels, f64)>,
    right: Vec<(Labels, f64)>,
    op: TokenId,
    modifier: Option<&BinModifier>,
) -> Result<Value, String> {
    let signature = |labels: &Labels| match modifier.and_then(|m| m.matching.as_ref()) {
        None => keep(labels, |name| name != NAME),
        Some(LabelModifier::Include(on)) => keep(labels, |name| on.labels.iter().any(|l| l == name)),
        Some(LabelModifier::Exclude(out)) => {
            keep(labels, |name| name != NAME && !out.labels.iter().any(|l| l == name))
        }
    };
    let signatures =
        |vector: &[(Labels, f64)]| vector.iter().map(|(l, _)| signature(l)).collect::<HashSet<_>>();
    match op {
        T_LAND | T_LUNLESS => {
            let there = signatures(&right);
            let wanted = op == T_LAND;
            let kept = left.into_iter().filter(|(labels, _)| there.contains(&signature(labels)) == wanted);
            return Ok(Value::Vector(kept.collect()));
        }
        T_LOR => {
            let there = signatures(&left);
            let more = right.into_iter().filter(|(labels, _)| !there.contains(&signature(labels)));
            return Ok(Value::Vector(left.into_iter().chain(more).collect()));
        }
        _ => {}
    }
    let bool = modifier.is_some_and(|m| m.return_bool);
    // The side of many keeps its labels; the other one's are taken in only where the expression names them.
    let (many, one, swapped, extra) = match modifier.map(|m| &m.card) {
        Some(VectorMatchCardinality::ManyToOne(extra)) => (left, right, false, Some(extra)),
        Some(VectorMatchCardinality::OneToMany(extra)) => (right, left, true, Some(extra)),
        _ => (left, right, false, None),
    };
    let mut by_signature = BTreeMap::new();
    for (labels, value) in one {
        if let Some((twin, _)) = by_signature.insert(signature(&labels), (labels.clone(), value)) {
            return Err(format!("{twin:?} and {labels:?} match the same series"));
        }
    }
    let mut taken = HashSet::new();
    let mut result = Vec::new();
    for (labels, value) in many {
        let own = signature(&labels);
        let Some((other_labels, other)) = by_signature.get(&own) else { continue };
        if extra.is_none() && !taken.insert(own.clone()) {
            return Err(format!("{labels:?} is one of many; group_left or group_right is needed"));
        }
        let (a, b) = if swapped { (*other, value) } else { (value, *other) };
        let found = arithmetic(op, a, b)?;
        let filter = compares(op) && !bool;
        if filter && !number(found) {
            continue;
        }
        let mut labels = match (extra, filter) {
            (None, false) => own,
            (None, true) if modifier.is_some_and(|m| m.matching.is_some()) => own,
            (None, true) => labels,
            (Some(_), _) => keep(&labels, |name| name != NAME),
        };
        for name in extra.iter().flat_map(|extra| &extra.labels) {
            match other_labels.get(name) {
                Some(value) => labels.insert(name.clone(), value.clone()),
                None => labels.remove(name),
            };
        }
        result.push((labels, if filter { a } else { found }));
    }
    Ok(Value::Vector(result))
}
