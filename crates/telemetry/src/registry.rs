//! All series of a process, with bounded labels.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The longest value of a label, in bytes; a longer one is cut at a character.
pub const LABEL_MOST: usize = 128;
/// What stands in a label that has had its share of values.
const OTHER: &str = "other";

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
    pub most: usize,
    /// Upper bounds of a histogram's buckets, ascending, without the infinite one.
    pub bounds: Vec<f64>,
}

/// A count that only grows.
#[derive(Debug, Clone)]
pub struct Counter(Rc<Cell<f64>>);

impl Counter {
    /// One more.
    pub fn inc(&self) {
        self.add(1.0);
    }

    /// So many more; less than none is no count.
    pub fn add(&self, more: f64) {
        self.0.set(self.0.get() + more.max(0.0));
    }

    /// The count.
    pub fn get(&self) -> f64 {
        self.0.get()
    }
}

/// A figure that goes up and down.
#[derive(Debug, Clone)]
pub struct Gauge(Rc<Cell<f64>>);

impl Gauge {
    /// It is this now.
    pub fn set(&self, value: f64) {
        self.0.set(value);
    }
}

/// Counts by upper bounds.
#[derive(Debug, Clone)]
pub struct Histogram(Rc<Buckets>);

#[derive(Debug)]
struct Buckets {
    bounds: Rc<[f64]>,
    /// By bucket and not yet added up; the last is the infinite one.
    counts: Vec<Cell<u64>>,
    sum: Cell<f64>,
}

impl Histogram {
    /// One more of this size.
    pub fn observe(&self, value: f64) {
        let bucket = self.0.bounds.partition_point(|bound| *bound < value);
        let count = &self.0.counts[bucket];
        count.set(count.get() + 1);
        self.0.sum.set(self.0.sum.get() + value);
    }
}

#[derive(Debug, Clone)]
enum Value {
    Number(Rc<Cell<f64>>),
    Buckets(Rc<Buckets>),
}

struct Known {
    family: Family,
    bounds: Rc<[f64]>,
    series: BTreeMap<Vec<String>, Value>,
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
    external: Vec<(String, String)>,
}

impl Registry {
    /// An empty registry; every series carries these labels too, but where it has one of that name itself.
    pub fn new(external: &[(String, String)]) -> Self {
        Registry { families: RefCell::default(), external: external.to_vec() }
    }

    /// A counter of a family, which is new or the one that it was.
    pub fn counter(&self, family: &Family, values: &[&str]) -> Counter {
        Counter(self.number(family, values))
    }

    /// A gauge of a family.
    pub fn gauge(&self, family: &Family, values: &[&str]) -> Gauge {
        Gauge(self.number(family, values))
    }

    /// A histogram of a family.
    pub fn histogram(&self, family: &Family, values: &[&str]) -> Histogram {
        match self.series(family, values) {
            Value::Buckets(buckets) => Histogram(buckets),
            Value::Number(_) => panic!("{} is no histogram", family.name),
        }
    }

    fn number(&self, family: &Family, values: &[&str]) -> Rc<Cell<f64>> {
        match self.series(family, values) {
            Value::Number(number) => number,
            Value::Buckets(_) => panic!("{} is a histogram", family.name),
        }
    }

    /// The series with these values of the family's labels; past the family's bound, the one whose last label is
    /// `other`.
    fn series(&self, family: &Family, values: &[&str]) -> Value {
        assert_eq!(values.len(), family.labels.len(), "{}: a value for each label", family.name);
        let mut families = self.families.borrow_mut();
        let known = families.entry(family.name).or_insert_with(|| Known {
            bounds: family.bounds.clone().into(),
            family: family.clone(),
            series: BTreeMap::new(),
        });
        let mut key: Vec<String> = values.iter().map(|value| label_value(value.as_bytes())).collect();
        if !known.series.contains_key(&key) && known.series.len() >= family.most {
            if let Some(last) = key.last_mut() {
                *last = OTHER.to_owned();
            }
        }
        let bounds = &known.bounds;
        let new = || match family.kind {
            Kind::Counter | Kind::Gauge => Value::Number(Rc::default()),
            Kind::Histogram => Value::Buckets(Rc::new(Buckets {
                bounds: bounds.clone(),
                counts: vec![Cell::new(0); bounds.len() + 1],
                sum: Cell::new(0.0),
            })),
        };
        known.series.entry(key).or_insert_with(new).clone()
    }

    /// How many series there are, a histogram's buckets among them.
    pub fn len(&self) -> usize {
        let families = self.families.borrow();
        let of = |known: &Known| match known.family.kind {
            Kind::Counter | Kind::Gauge => known.series.len(),
            // Each bound, the infinite one, the sum and the count.
            Kind::Histogram => known.series.len() * (known.bounds.len() + 3),
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
        let mut samples = Vec::new();
        for known in families.values() {
            for (values, value) in &known.series {
                match value {
                    Value::Number(number) => samples.push(self.sample(known, "", values, None, number.get())),
                    Value::Buckets(buckets) => {
                        let mut sum = 0;
                        for (place, count) in buckets.counts.iter().enumerate() {
                            sum += count.get();
                            let bound = buckets.bounds.get(place).copied().unwrap_or(f64::INFINITY);
                            samples.push(self.sample(known, "_bucket", values, Some(bound), sum as f64));
                        }
                        samples.push(self.sample(known, "_sum", values, None, buckets.sum.get()));
                        samples.push(self.sample(known, "_count", values, None, sum as f64));
                    }
                }
            }
        }
        samples
    }

    fn sample(&self, known: &Known, end: &str, values: &[String], bound: Option<f64>, value: f64) -> Sample {
        let Family { name, help, kind, labels: names, .. } = known.family;
        let mut labels: BTreeMap<&str, String> =
            self.external.iter().map(|(name, value)| (name.as_str(), value.clone())).collect();
        labels.extend(names.iter().copied().zip(values.iter().cloned()));
        labels.extend(bound.map(|bound| ("le", le(bound))));
        labels.insert("__name__", format!("{name}{end}"));
        // An empty label is the same as none, and receivers refuse it.
        let labels = labels.into_iter().filter(|(_, value)| !value.is_empty());
        let labels = labels.map(|(name, value)| (name.to_owned(), value)).collect();
        Sample { labels, value, kind, family: name, help }
    }
}

/// A bound as Prometheus words it.
fn le(bound: f64) -> String {
    if bound.is_infinite() {
        "+Inf".to_owned()
    } else {
        bound.to_string()
    }
}

/// Any bytes as a label's value: UTF-8, and not longer than [`LABEL_MOST`].
pub fn label_value(bytes: &[u8]) -> String {
    // A prefix is enough: what is cut off is not decoded.
    let head = &bytes[..bytes.len().min(LABEL_MOST + 4)];
    let mut text = String::from_utf8_lossy(head).into_owned();
    let mut end = text.len().min(LABEL_MOST);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.truncate(end);
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    fn family(kind: Kind, most: usize) -> Family {
        let bounds = if kind == Kind::Histogram { vec![0.25, 1.5] } else { Vec::new() };
        Family { name: "bellcroft_x", help: "x", kind, labels: &["class", "server"], most, bounds }
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
        b.add(2.0);
        b.add(-5.0);
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
        assert_eq!(label_value(&vec![b'x'; 10_000]).len(), LABEL_MOST);
        let wide = "é".repeat(5000);
        let cut = label_value(wide.as_bytes());
        assert!(cut.len() <= LABEL_MOST && wide.starts_with(&cut) && cut.len() >= LABEL_MOST - 1);
    }
}
