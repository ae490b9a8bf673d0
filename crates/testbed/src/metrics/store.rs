//! What a strict receiver keeps.

use super::wire;
use std::collections::BTreeMap;

/// A series' labels, `__name__` among them.
pub type Labels = BTreeMap<String, String>;

/// The value that ends a series (Remote-Write 1.0 specification, "Stale Markers").
pub(super) const STALE: u64 = 0x7ff0_0000_0000_0002;

/// Series and their samples, in the order of their times; refuses what a strict receiver refuses.
#[derive(Debug, Clone, Default)]
pub struct Store {
    /// All series.
    pub series: BTreeMap<Labels, Vec<(i64, f64)>>,
    /// All that was wrong with what came.
    pub wrong: Vec<String>,
    /// The created timestamps that came, in Unix milliseconds.
    pub created: Vec<i64>,
}

/// Labels of a name and pairs.
pub fn labels(name: &str, pairs: &[(&str, &str)]) -> Labels {
    let pairs = pairs.iter().copied().chain([("__name__", name)]);
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}

impl Store {
    /// Takes in a compressed body; how many samples it has written. What is out of order, there twice, or badly
    /// labelled is left out and noted.
    ///
    /// # Errors
    ///
    /// The body cannot be read at all.
    pub fn take(&mut self, version_2: bool, body: &[u8]) -> Result<usize, String> {
        let plain = snap::raw::Decoder::new().decompress_vec(body).map_err(|e| e.to_string())?;
        let mut written = 0;
        for series in wire::read(version_2, &plain)? {
            let names: Vec<&str> = series.labels.iter().map(|(name, _)| name.as_str()).collect();
            if names.windows(2).any(|pair| pair[0] >= pair[1]) {
                self.wrong.push(format!("labels are not sorted: {names:?}"));
                continue;
            }
            if !names.contains(&"__name__") || series.labels.iter().any(|(_, value)| value.is_empty()) {
                self.wrong.push(format!("bad labels: {:?}", series.labels));
                continue;
            }
            self.created.extend(series.created.filter(|at| *at != 0));
            let labels: Labels = series.labels.into_iter().collect();
            for (at, value) in series.samples {
                written += usize::from(self.put(&labels, at, value));
            }
        }
        Ok(written)
    }

    /// One more sample of a series; false if it is no later than the last.
    pub fn put(&mut self, labels: &Labels, at: i64, value: f64) -> bool {
        if !self.series.contains_key(labels) {
            self.series.insert(labels.clone(), Vec::new());
        }
        let Some(own) = self.series.get_mut(labels) else { return false };
        if let Some((last, _)) = own.last().filter(|(last, _)| *last >= at) {
            self.wrong.push(format!("{labels:?}: {at} is not after {last}"));
            return false;
        }
        own.push((at, value));
        true
    }

    /// The latest values of the series of this name that have these labels, ended ones left out.
    pub fn latest(&self, name: &str, pairs: &[(&str, &str)]) -> Vec<f64> {
        let wanted = labels(name, pairs);
        let own =
            self.series.iter().filter(|(labels, _)| wanted.iter().all(|(n, v)| labels.get(n) == Some(v)));
        own.filter_map(|(_, samples)| samples.last().map(|(_, value)| *value))
            .filter(|v| !is_stale(*v))
            .collect()
    }

    /// The sum of [`Store::latest`].
    pub fn sum(&self, name: &str, pairs: &[(&str, &str)]) -> f64 {
        self.latest(name, pairs).into_iter().sum()
    }

    /// The times of the first and the last sample.
    pub fn span(&self) -> Option<(i64, i64)> {
        let first = self.series.values().filter_map(|s| s.first()).map(|(at, _)| *at).min()?;
        let last = self.series.values().filter_map(|s| s.last()).map(|(at, _)| *at).max()?;
        Some((first, last))
    }
}

/// The sample ends its series.
pub(super) fn is_stale(value: f64) -> bool {
    value.to_bits() == STALE
}
