//! All series of a process, stored by the `prometheus` library, with additional limits on labels and on numbers of series.
//!
//! The handles [`Counter`], [`Gauge`] and [`Histogram`] are those of the library. A handle is made once, when its labels
//! are known; an update is then an atomic addition. [`Registry::gather`] converts series to samples.

use prometheus::core::Collector;
use prometheus::proto::{LabelPair, MetricFamily, MetricType};
pub use prometheus::{Counter, Gauge, Histogram};
use prometheus::{CounterVec, GaugeVec, HistogramOpts, HistogramVec, Opts};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

/// Longest value of a label, in bytes; a longer one is truncated at a character boundary.
pub const MAX_LABEL_BYTES: usize = 128;
/// Value of the last label of all series beyond the limit of their family.
pub(crate) const OTHER: &str = "other";

/// The type of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Only increases, from 0 when the process starts.
    Counter,
    /// Increases and decreases.
    Gauge,
    /// Counts observations in buckets, and holds their sum.
    Histogram,
}

/// A metric family: series with one name, one help text and the same label names.
#[derive(Debug, Clone)]
pub struct Family {
    /// Name by the conventions of Prometheus: base units, `_total` for counters.
    pub name: &'static str,
    /// Help text.
    pub help: &'static str,
    /// Type of its series.
    pub kind: Kind,
    /// Names of the labels.
    pub labels: &'static [&'static str],
    /// Limit of the number of series. Beyond it the last label of a new series is `other`.
    pub max_series: usize,
    /// Upper bounds of a histogram's buckets, in ascending order, without the infinite one.
    pub bounds: Vec<f64>,
}

enum MetricVec {
    Counters(CounterVec),
    Gauges(GaugeVec),
    Histograms(HistogramVec),
}

impl MetricVec {
    /// # Panics
    ///
    /// If the name or a label's name is invalid. Both are constants of the program.
    fn new(family: &Family) -> Self {
        let opts = Opts::new(family.name, family.help);
        match family.kind {
            Kind::Counter => CounterVec::new(opts, family.labels).map(MetricVec::Counters),
            Kind::Gauge => GaugeVec::new(opts, family.labels).map(MetricVec::Gauges),
            Kind::Histogram => {
                let opts = HistogramOpts::from(opts).buckets(family.bounds.clone());
                HistogramVec::new(opts, family.labels).map(MetricVec::Histograms)
            }
        }
        .unwrap_or_else(|e| panic!("{}: {e}", family.name))
    }

    fn remove(&self, values: &[&str]) {
        // An error means that the series is not there any more.
        let _ = match self {
            MetricVec::Counters(vector) => vector.remove_label_values(values),
            MetricVec::Gauges(vector) => vector.remove_label_values(values),
            MetricVec::Histograms(vector) => vector.remove_label_values(values),
        };
    }

    fn collect(&self) -> Vec<MetricFamily> {
        match self {
            MetricVec::Counters(vector) => vector.collect(),
            MetricVec::Gauges(vector) => vector.collect(),
            MetricVec::Histograms(vector) => vector.collect(),
        }
    }
}

struct RegisteredFamily {
    family: Family,
    vector: MetricVec,
    /// Label values of the existing series, counted against the family's limit.
    series: BTreeSet<Vec<String>>,
}

/// The value of a series at one time.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// Labels of the series, including `__name__`, sorted by name as remote write requires.
    pub labels: Vec<(String, String)>,
    /// Value of the series.
    pub value: f64,
    /// Type of the family.
    pub kind: Kind,
    /// Name of the family.
    pub family: &'static str,
    /// Help text of the family.
    pub help: &'static str,
}

/// All series of a process.
pub struct Registry {
    families: RefCell<BTreeMap<&'static str, RegisteredFamily>>,
    external: RefCell<Vec<(String, String)>>,
}

impl Registry {
    /// An empty registry. The `external` labels are added to every series that has no label of the same name.
    pub fn new(external: &[(String, String)]) -> Self {
        Registry { families: RefCell::default(), external: RefCell::new(external.to_vec()) }
    }

    /// Replaces the external labels of all series.
    pub fn set_external_labels(&self, external: &[(String, String)]) {
        *self.external.borrow_mut() = external.to_vec();
    }

    /// Returns the counter of a family with these label values, which is created if it does not exist.
    ///
    /// # Panics
    ///
    /// If the family is of another type.
    pub fn counter(&self, family: &Family, values: &[&str]) -> Counter {
        match self.handle(family, values, |vector, values| match vector {
            MetricVec::Counters(vector) => Some(vector.with_label_values(values)),
            _ => None,
        }) {
            Some(counter) => counter,
            None => panic!("{} is not a counter", family.name),
        }
    }

    /// Returns a gauge, as [`counter`](Self::counter) does.
    pub fn gauge(&self, family: &Family, values: &[&str]) -> Gauge {
        match self.handle(family, values, |vector, values| match vector {
            MetricVec::Gauges(vector) => Some(vector.with_label_values(values)),
            _ => None,
        }) {
            Some(gauge) => gauge,
            None => panic!("{} is not a gauge", family.name),
        }
    }

    /// Returns a histogram, as [`counter`](Self::counter) does.
    pub fn histogram(&self, family: &Family, values: &[&str]) -> Histogram {
        match self.handle(family, values, |vector, values| match vector {
            MetricVec::Histograms(vector) => Some(vector.with_label_values(values)),
            _ => None,
        }) {
            Some(histogram) => histogram,
            None => panic!("{} is not a histogram", family.name),
        }
    }

    /// Returns the handle of the series with these label values. Beyond the family's limit, a new series is replaced by
    /// the one whose last label is `other`.
    fn handle<T>(
        &self,
        family: &Family,
        values: &[&str],
        select: impl FnOnce(&MetricVec, &[&str]) -> Option<T>,
    ) -> Option<T> {
        assert_eq!(values.len(), family.labels.len(), "{}: wrong number of label values", family.name);
        let mut families = self.families.borrow_mut();
        let known = families.entry(family.name).or_insert_with(|| RegisteredFamily {
            vector: MetricVec::new(family),
            family: family.clone(),
            series: BTreeSet::new(),
        });
        let mut key: Vec<String> = values.iter().map(|value| label_value(value.as_bytes())).collect();
        if !known.series.contains(&key) && known.series.len() >= family.max_series {
            if let Some(last) = key.last_mut() {
                *last = OTHER.to_owned();
            }
        }
        let handle = select(&known.vector, &key.iter().map(String::as_str).collect::<Vec<_>>());
        known.series.insert(key);
        handle
    }

    /// Removes the series with these label values, which no longer counts against the family's limit. Updates of its
    /// remaining handles have no effect on samples.
    pub fn remove(&self, family: &Family, values: &[&str]) {
        if let Some(known) = self.families.borrow_mut().get_mut(family.name) {
            let key: Vec<String> = values.iter().map(|value| label_value(value.as_bytes())).collect();
            known.vector.remove(&key.iter().map(String::as_str).collect::<Vec<_>>());
            known.series.remove(&key);
        }
    }

    /// Number of series, where each bucket of a histogram counts as one.
    pub fn len(&self) -> usize {
        let families = self.families.borrow();
        let series_of = |known: &RegisteredFamily| match known.family.kind {
            Kind::Counter | Kind::Gauge => known.series.len(),
            // The bounds, the infinite bound, the sum and the count.
            Kind::Histogram => known.series.len() * (known.family.bounds.len() + 3),
        };
        families.values().map(series_of).sum()
    }

    /// Whether there are no series.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The current values of all series, always in the same order.
    pub fn gather(&self) -> Vec<Sample> {
        let families = self.families.borrow();
        let external = self.external.borrow();
        let mut samples = Vec::new();
        for known in families.values() {
            for mut collected in known.vector.collect() {
                let mut metrics = collected.take_metric();
                // The library stores them in a hash map, without an order.
                metrics.sort_by(|a, b| {
                    let values = |m: &prometheus::proto::Metric| -> Vec<String> {
                        m.get_label().iter().map(|l| l.value().to_owned()).collect()
                    };
                    values(a).cmp(&values(b))
                });
                for metric in &metrics {
                    let mut add = |suffix: &str, bound: Option<f64>, value: f64| {
                        samples.push(sample(
                            &known.family,
                            &external,
                            suffix,
                            metric.get_label(),
                            bound,
                            value,
                        ));
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
    suffix: &str,
    own: &[LabelPair],
    bound: Option<f64>,
    value: f64,
) -> Sample {
    let Family { name, help, kind, .. } = *family;
    let mut labels: BTreeMap<&str, String> =
        external.iter().map(|(name, value)| (name.as_str(), value.clone())).collect();
    labels.extend(own.iter().map(|label| (label.name(), label.value().to_owned())));
    labels.extend(bound.map(|bound| ("le", le_value(bound))));
    labels.insert("__name__", format!("{name}{suffix}"));
    // An empty label means the same as a missing one, and receivers refuse it.
    let labels = labels.into_iter().filter(|(_, value)| !value.is_empty());
    let labels = labels.map(|(name, value)| (name.to_owned(), value)).collect();
    Sample { labels, value, kind, family: name, help }
}

/// The value of the label `le` for a bucket's upper bound.
fn le_value(bound: f64) -> String {
    if bound.is_infinite() {
        "+Inf".to_owned()
    } else {
        bound.to_string()
    }
}

/// Converts any bytes to a label's value: valid UTF-8, and not longer than [`MAX_LABEL_BYTES`].
pub fn label_value(bytes: &[u8]) -> String {
    // A prefix is enough, which saves decoding the rest.
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
    fn handles_of_one_series_share_count() {
        let registry = Registry::new(&[]);
        let family = family(Kind::Counter, 10);
        let (a, b) = (registry.counter(&family, &["read", "s"]), registry.counter(&family, &["read", "s"]));
        a.inc();
        b.inc_by(2.0);
        assert_eq!(registry.gather()[0].value, 3.0);
        assert_eq!(registry.len(), 1);
    }

    #[test]
    fn series_beyond_limit_are_counted_as_other() {
        let registry = Registry::new(&[]);
        let family = family(Kind::Counter, 50);
        for n in 0..10_000 {
            registry.counter(&family, &["read", &format!("server-{n}")]).inc();
        }
        assert_eq!(registry.len(), 51);
        let samples = registry.gather();
        assert_eq!(samples.iter().map(|s| s.value).sum::<f64>(), 10_000.0);
        let other =
            samples.iter().find(|s| label(s, "server") == Some("other")).expect("a series for other names");
        assert_eq!(other.value, 9_950.0);
    }

    #[test]
    fn removed_series_frees_its_place_and_restarts_at_zero() {
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
    fn histogram_buckets_are_cumulative_and_include_their_bound() {
        let registry = Registry::new(&[]);
        let histogram = registry.histogram(&family(Kind::Histogram, 10), &["read", "s"]);
        for value in [0.1, 0.25, 0.3, 1.5, 9.0] {
            histogram.observe(value);
        }
        let samples = registry.gather();
        let actual: Vec<(String, f64)> = samples
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
        for ((name, value), (expected_name, expected_value)) in actual.iter().zip(expected) {
            assert_eq!(name, expected_name);
            assert!((value - expected_value).abs() < 1e-9, "{name}: {value}");
        }
        assert_eq!(registry.len(), samples.len());
    }

    #[test]
    fn labels_are_sorted_and_external_ones_do_not_override() {
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
    fn arbitrary_bytes_become_valid_label_values() {
        assert_eq!(label_value(b"a\"b\nc\\"), "a\"b\nc\\");
        assert_eq!(label_value(b"a\xffb"), "a\u{fffd}b");
        assert_eq!(label_value(&vec![b'x'; 10_000]).len(), MAX_LABEL_BYTES);
        let wide = "é".repeat(5000);
        let cut = label_value(wide.as_bytes());
        assert!(cut.len() <= MAX_LABEL_BYTES && wide.starts_with(&cut) && cut.len() >= MAX_LABEL_BYTES - 1);
    }
}
