//! All series of a process: counted by the `prometheus` library, with bounds on labels of our own.
//!
//! A handle ([`Counter`], [`Gauge`], [`Histogram`]) is the library's: made once, when its labels become known, and an
//! atomic addition from then on. [`Registry::gather`] is the one place where series become samples.

use prometheus::core::Collector;
use prometheus::proto::{LabelPair, MetricFamily, MetricType};
pub use prometheus::{Counter, Gauge, Histogram};
use prometheus::{CounterVec, GaugeVec, HistogramOpts, HistogramVec, Opts};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

/// The longest value of a label, in bytes; a longer one is cut at a character.
pub const MAX_LABEL_BYTES: usize = 128;
/// What stands in a label that has had its share of values.
pub(crate) const OTHER: &str = "other";

/// What a series counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Only grows, from 0 at the process's start.
    Counter,
    /// Goes up and down.
    Gauge,
    /// Counts by upper bounds, with a sum.
    Histogram,
}

/// A family of series: one name, one meaning, one set of labels.
#[derive(Debug, Clone)]
pub struct Family {
    /// Its name, by the conventions: base units, `_total` for counters.
    pub name: &'static str,
    /// What it means.
    pub help: &'static str,
    /// What it counts.
    pub kind: Kind,
    /// Its labels' names.
    pub labels: &'static [&'static str],
    /// Series at the most. Past that the last label of a new one is `other`.
    pub max_series: usize,
    /// Upper bounds of a histogram's buckets, ascending, without the infinite one.
    pub bounds: Vec<f64>,
}

enum Vector {
    Counters(CounterVec),
    Gauges(GaugeVec),
    Histograms(HistogramVec),
}

impl Vector {
    /// What the library makes of a family. It refuses names and labels that are none, which here are the program's own.
    fn new(family: &Family) -> Self {
        let opts = Opts::new(family.name, family.help);
        match family.kind {
            Kind::Counter => CounterVec::new(opts, family.labels).map(Vector::Counters),
            Kind::Gauge => GaugeVec::new(opts, family.labels).map(Vector::Gauges),
            Kind::Histogram => {
                let opts = HistogramOpts::from(opts).buckets(family.bounds.clone());
                HistogramVec::new(opts, family.labels).map(Vector::Histograms)
            }
        }
        .unwrap_or_else(|e| panic!("{}: {e}", family.name))
    }

    fn remove(&self, values: &[&str]) {
        // One that is not there has been removed already.
        let _ = match self {
            Vector::Counters(vector) => vector.remove_label_values(values),
            Vector::Gauges(vector) => vector.remove_label_values(values),
            Vector::Histograms(vector) => vector.remove_label_values(values),
        };
    }

    fn collect(&self) -> Vec<MetricFamily> {
        match self {
            Vector::Counters(vector) => vector.collect(),
            Vector::Gauges(vector) => vector.collect(),
            Vector::Histograms(vector) => vector.collect(),
        }
    }
}

struct Known {
    family: Family,
    vector: Vector,
    /// The label values that are taken; what the bound is held against.
    series: BTreeSet<Vec<String>>,
}

/// A value at one moment. Labels are sorted by name, `__name__` among them, as receivers want them.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// The series.
    pub labels: Vec<(String, String)>,
    /// Its value.
    pub value: f64,
    /// What the family counts.
    pub kind: Kind,
    /// The family's name.
    pub family: &'static str,
    /// The family's help.
    pub help: &'static str,
}

/// The one owner of all series of a process.
pub struct Registry {
    families: RefCell<BTreeMap<&'static str, Known>>,
    external: RefCell<Vec<(String, String)>>,
}

impl Registry {
    /// An empty registry; every series carries these labels too, but where it has one of that name itself.
    pub fn new(external: &[(String, String)]) -> Self {
        Registry { families: RefCell::default(), external: RefCell::new(external.to_vec()) }
    }

    /// From now on every series carries these labels, and no longer those it had.
    pub fn relabel(&self, external: &[(String, String)]) {
        *self.external.borrow_mut() = external.to_vec();
    }

    /// A counter of a family, which is new or the one that it was.
    pub fn counter(&self, family: &Family, values: &[&str]) -> Counter {
        match self.handle(family, values, |vector, values| match vector {
            Vector::Counters(vector) => Some(vector.with_label_values(values)),
            _ => None,
        }) {
            Some(counter) => counter,
            None => panic!("{} is no counter", family.name),
        }
    }

    /// A gauge of a family.
    pub fn gauge(&self, family: &Family, values: &[&str]) -> Gauge {
        match self.handle(family, values, |vector, values| match vector {
            Vector::Gauges(vector) => Some(vector.with_label_values(values)),
            _ => None,
        }) {
            Some(gauge) => gauge,
            None => panic!("{} is no gauge", family.name),
        }
    }

    /// A histogram of a family.
    pub fn histogram(&self, family: &Family, values: &[&str]) -> Histogram {
        match self.handle(family, values, |vector, values| match vector {
            Vector::Histograms(vector) => Some(vector.with_label_values(values)),
            _ => None,
        }) {
            Some(histogram) => histogram,
            None => panic!("{} is no histogram", family.name),
        }
    }

    /// The handle of the series with these values of the family's labels; past the family's bound, of the one whose
    /// last label is `other`.
    fn handle<T>(
        &self,
        family: &Family,
        values: &[&str],
        of: impl FnOnce(&Vector, &[&str]) -> Option<T>,
    ) -> Option<T> {
        assert_eq!(values.len(), family.labels.len(), "{}: a value for each label", family.name);
        let mut families = self.families.borrow_mut();
        let known = families.entry(family.name).or_insert_with(|| Known {
            vector: Vector::new(family),
            family: family.clone(),
            series: BTreeSet::new(),
        });
        let mut key: Vec<String> = values.iter().map(|value| label_value(value.as_bytes())).collect();
        if !known.series.contains(&key) && known.series.len() >= family.max_series {
            if let Some(last) = key.last_mut() {
                *last = OTHER.to_owned();
            }
        }
        let handle = of(&known.vector, &key.iter().map(String::as_str).collect::<Vec<_>>());
        known.series.insert(key);
        handle
    }

    /// Ends the series of a family with these values, which frees their place under its bound. Handles that are left
    /// count for nobody.
    pub fn remove(&self, family: &Family, values: &[&str]) {
        if let Some(known) = self.families.borrow_mut().get_mut(family.name) {
            let key: Vec<String> = values.iter().map(|value| label_value(value.as_bytes())).collect();
            known.vector.remove(&key.iter().map(String::as_str).collect::<Vec<_>>());
            known.series.remove(&key);
        }
    }

    /// How many series there are, a histogram's buckets among them.
    pub fn len(&self) -> usize {
        let families = self.families.borrow();
        let of = |known: &Known| match known.family.kind {
            Kind::Counter | Kind::Gauge => known.series.len(),
            // Each bound, the infinite one, the sum and the count.
            Kind::Histogram => known.series.len() * (known.family.bounds.len() + 3),
        };
        families.values().map(of).sum()
    }

    /// There is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The value of every series now, always in the same order.
    pub fn gather(&self) -> Vec<Sample> {
        let families = self.families.borrow();
        let external = self.external.borrow();
        let mut samples = Vec::new();
        for known in families.values() {
            for mut collected in known.vector.collect() {
                let mut metrics = collected.take_metric();
                // The library keeps them in a hash map, in no order at all.
                metrics.sort_by(|a, b| {
                    let values = |m: &prometheus::proto::Metric| -> Vec<String> {
                        m.get_label().iter().map(|l| l.value().to_owned()).collect()
                    };
                    values(a).cmp(&values(b))
                });
                for metric in &metrics {
                    let mut add = |end: &str, bound: Option<f64>, value: f64| {
                        samples.push(sample(&known.family, &external, end, metric.get_label(), bound, value));
                    };
                    match collected.get_field_type() {
                        MetricType::HISTOGRAM => {
                            let histogram = metric.get_histogram();
                            for bucket in histogram.get_bucket() {
                                add("_bucket", Some(bucket.upper_bound()), bucket.cumulative_count() as f64);
                            }
                            let count = histogram.get_sample_count() as f64;
                            add("_bucket", Some(f64::INFINITY), count);
                            add("_sum", None, histogram.get_sample_sum());
                            add("_count", None, count);
                        }
                        MetricType::COUNTER => add("", None, metric.get_counter().get_value()),
                        _ => add("", None, metric.get_gauge().get_value()),
                    }
                }
            }
        }
        samples
    }
}

fn sample(
    family: &Family,
    external: &[(String, String)],
    end: &str,
    own: &[LabelPair],
    bound: Option<f64>,
    value: f64,
) -> Sample {
    let Family { name, help, kind, .. } = *family;
    let mut labels: BTreeMap<&str, String> =
        external.iter().map(|(name, value)| (name.as_str(), value.clone())).collect();
    labels.extend(own.iter().map(|label| (label.name(), label.value().to_owned())));
    labels.extend(bound.map(|bound| ("le", le(bound))));
    labels.insert("__name__", format!("{name}{end}"));
    // An empty label is the same as none, and receivers refuse it.
    let labels = labels.into_iter().filter(|(_, value)| !value.is_empty());
    let labels = labels.map(|(name, value)| (name.to_owned(), value)).collect();
    Sample { labels, value, kind, family: name, help }
}

/// A bound as Prometheus words it.
fn le(bound: f64) -> String {
    if bound.is_infinite() {
        "+Inf".to_owned()
    } else {
        bound.to_string()
    }
}

/// Any bytes as a label's value: UTF-8, and not longer than [`MAX_LABEL_BYTES`].
pub fn label_value(bytes: &[u8]) -> String {
    // A prefix is enough: what is cut off is not decoded.
    let head = &bytes[..bytes.len().min(MAX_LABEL_BYTES + 4)];
    let mut text = String::from_utf8_lossy(head).into_owned();
    let mut end = text.len().min(MAX_LABEL_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.truncate(end);
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    fn family(kind: Kind, max_series: usize) -> Family {
        let bounds = if kind == Kind::Histogram { vec![0.25, 1.5] } else { Vec::new() };
        Family { name: "bellcroft_x", help: "x", kind, labels: &["class", "server"], max_series, bounds }
    }

    fn label<'a>(sample: &'a Sample, name: &str) -> Option<&'a str> {
        sample.labels.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    #[test]
    fn handles_of_one_series_count_together() {
        let registry = Registry::new(&[]);
        let family = family(Kind::Counter, 10);
        let (a, b) = (registry.counter(&family, &["read", "s"]), registry.counter(&family, &["read", "s"]));
        a.inc();
        b.inc_by(2.0);
        assert_eq!(registry.gather()[0].value, 3.0);
        assert_eq!(registry.len(), 1);
    }

    #[test]
    fn ten_thousand_names_stay_under_the_cap_and_none_of_their_counts_is_lost() {
        let registry = Registry::new(&[]);
        let family = family(Kind::Counter, 50);
        for n in 0..10_000 {
            registry.counter(&family, &["read", &format!("server-{n}")]).inc();
        }
        assert_eq!(registry.len(), 51);
        let samples = registry.gather();
        assert_eq!(samples.iter().map(|s| s.value).sum::<f64>(), 10_000.0);
        let other = samples.iter().find(|s| label(s, "server") == Some("other")).expect("there is one");
        assert_eq!(other.value, 9_950.0);
    }

    #[test]
    fn a_series_that_is_removed_frees_its_place_and_begins_anew() {
        let registry = Registry::new(&[]);
        let family = family(Kind::Counter, 2);
        for round in 0..100 {
            let name = format!("server-{round}");
            registry.counter(&family, &["read", &name]).inc();
            assert_eq!(registry.len(), 1);
            registry.remove(&family, &["read", &name]);
        }
        assert!(registry.gather().is_empty());
        registry.counter(&family, &["read", "server-0"]).inc();
        assert_eq!(registry.gather()[0].value, 1.0);
    }

    #[test]
    fn a_histogram_adds_up_and_a_value_on_its_bound_is_within() {
        let registry = Registry::new(&[]);
        let histogram = registry.histogram(&family(Kind::Histogram, 10), &["read", "s"]);
        for value in [0.1, 0.25, 0.3, 1.5, 9.0] {
            histogram.observe(value);
        }
        let samples = registry.gather();
        let found: Vec<(String, f64)> = samples
            .iter()
            .map(|s| {
                (format!("{} {}", label(s, "__name__").unwrap_or(""), label(s, "le").unwrap_or("")), s.value)
            })
            .collect();
        let expected = [
            ("bellcroft_x_bucket 0.25", 2.0),
            ("bellcroft_x_bucket 1.5", 4.0),
            ("bellcroft_x_bucket +Inf", 5.0),
            ("bellcroft_x_sum ", 11.15),
            ("bellcroft_x_count ", 5.0),
        ];
        for ((name, value), (own, wanted)) in found.iter().zip(expected) {
            assert_eq!(name, own);
            assert!((value - wanted).abs() < 1e-9, "{name}: {value}");
        }
        assert_eq!(registry.len(), samples.len());
    }

    #[test]
    fn labels_are_sorted_the_series_own_win_and_empty_ones_are_left_out() {
        let external = [("zone", "north"), ("class", "theirs"), ("__name__", "theirs"), ("empty", "")];
        let external: Vec<_> = external.iter().map(|(n, v)| ((*n).to_owned(), (*v).to_owned())).collect();
        let registry = Registry::new(&external);
        registry.gauge(&family(Kind::Gauge, 10), &["read", ""]).set(-1.0);
        let sample = &registry.gather()[0];
        let names: Vec<&str> = sample.labels.iter().map(|(n, _)| n.as_str()).collect();
        assert_eq!(names, ["__name__", "class", "zone"]);
        assert_eq!((label(sample, "class"), label(sample, "__name__")), (Some("read"), Some("bellcroft_x")));
    }

    #[test]
    fn any_bytes_make_a_label_value() {
        assert_eq!(label_value(b"a\"b\nc\\"), "a\"b\nc\\");
        assert_eq!(label_value(b"a\xffb"), "a\u{fffd}b");
        assert_eq!(label_value(&vec![b'x'; 10_000]).len(), MAX_LABEL_BYTES);
        let wide = "é".repeat(5000);
        let cut = label_value(wide.as_bytes());
        assert!(cut.len() <= MAX_LABEL_BYTES && wide.starts_with(&cut) && cut.len() >= MAX_LABEL_BYTES - 1);
    }
}
