//! Getters of [`Section`] for typed values. Each returns None if the key is absent or its value is invalid.

use crate::section::Section;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;
use toml::de::DeValue;
use toml::Spanned;

/// Maximum length of a name in bytes.
const MAX_NAME_BYTES: usize = 64;

impl<'i> Section<'i> {
    /// Returns the value of a key if it is present and `read` accepts it. `expected` describes valid values in the error.
    pub(crate) fn value<T>(
        &self,
        key: &'static str,
        expected: &str,
        read: impl FnOnce(&DeValue<'i>) -> Option<T>,
    ) -> Option<T> {
        let value = self.get(key)?;
        let read = read(value.get_ref());
        if read.is_none() {
            let found = describe(value.get_ref());
            self.report(key, format!("is {found}; {expected} was expected"));
        }
        read
    }

    /// Returns a string that is not blank.
    pub fn text(&self, key: &'static str) -> Option<String> {
        self.value(key, "a text that is not empty", |value| {
            value.as_str().filter(|text| !text.trim().is_empty()).map(str::to_owned)
        })
    }

    /// Returns a path. Relative paths start from the file's directory.
    pub fn path(&self, key: &'static str) -> Option<PathBuf> {
        self.text(key).map(|text| self.base_dir().join(text))
    }

    /// Returns an address such as `127.0.0.1:8443`.
    pub fn address(&self, key: &'static str) -> Option<SocketAddr> {
        self.value(key, "an address such as \"127.0.0.1:8443\"", |value| value.as_str()?.parse().ok())
    }

    /// Returns a list of addresses; empty if it is absent or invalid.
    pub fn addresses(&self, key: &'static str) -> Vec<SocketAddr> {
        let read = |value: &DeValue<'i>| {
            let DeValue::Array(list) = value else { return None };
            list.iter().map(|item| item.get_ref().as_str()?.parse().ok()).collect()
        };
        self.value(key, "a list of addresses such as [\"127.0.0.1:7946\"]", read).unwrap_or_default()
    }

    /// Returns a duration such as `"200ms"` or `"1m 30s"`, within bounds.
    pub fn time(&self, key: &'static str, within: RangeInclusive<Duration>) -> Option<Duration> {
        let expected = format!(
            "a time such as \"200ms\" or \"2s\", from {} to {},",
            humantime::format_duration(*within.start()),
            humantime::format_duration(*within.end())
        );
        self.value(key, &expected, |value| {
            let time = humantime::parse_duration(value.as_str()?).ok()?;
            within.contains(&time).then_some(time)
        })
    }

    /// Returns an integer within bounds.
    pub fn count(&self, key: &'static str, within: RangeInclusive<u64>) -> Option<u64> {
        let expected = format!("a whole number from {} to {}", within.start(), within.end());
        self.value(key, &expected, |value| match value {
            DeValue::Integer(number) => {
                let number = u64::from_str_radix(number.as_str(), number.radix()).ok()?;
                within.contains(&number).then_some(number)
            }
            _ => None,
        })
    }

    /// Returns a fraction from 0 to 1.
    pub fn fraction(&self, key: &'static str) -> Option<f64> {
        self.value(key, "a number from 0.0 to 1.0", |value| {
            number(value).filter(|number| (0.0..=1.0).contains(number))
        })
    }

    /// Returns a number within bounds.
    pub fn number(&self, key: &'static str, within: RangeInclusive<f64>) -> Option<f64> {
        let expected = format!("a number from {} to {}", within.start(), within.end());
        self.value(key, &expected, |value| number(value).filter(|number| within.contains(number)))
    }

    /// Returns a list of words from `known`, as indices into `known`.
    pub fn choices(&self, key: &'static str, known: &[&str]) -> Option<Vec<usize>> {
        let expected = format!("a list out of {known:?}");
        self.value(key, &expected, |value| {
            let DeValue::Array(list) = value else { return None };
            let index =
                |item: &Spanned<DeValue>| known.iter().position(|k| Some(*k) == item.get_ref().as_str());
            list.iter().map(index).collect()
        })
    }

    /// Returns the value that `read` parses from a string. `expected` describes valid values in the error.
    pub fn parsed<T>(
        &self,
        key: &'static str,
        expected: &str,
        read: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        self.value(key, expected, |value| read(value.as_str()?))
    }

    /// Returns all entries of a section whose keys the operator chooses and whose values are strings.
    pub fn texts(&self) -> Vec<(String, String)> {
        let mut texts = Vec::new();
        for (name, value) in self.free_entries() {
            match value.get_ref().as_str() {
                Some(text) => texts.push((name, text.to_owned())),
                None => self.report(&name, "is not a string"),
            }
        }
        texts
    }

    /// Returns the value of the key `name`, which must be usable in paths and logs.
    pub(crate) fn name(&self) -> Option<String> {
        let name = self.text("name")?;
        if is_valid_name(&name) {
            return Some(name);
        }
        self.report(
            "name",
            format!("is {name:?}; at most 64 letters, digits, '-', '_' and '.' were expected"),
        );
        None
    }
}

/// Returns whether a name is usable in paths and logs.
pub(crate) fn is_valid_name(name: &str) -> bool {
    let valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    name.len() <= MAX_NAME_BYTES && name.chars().all(valid) && !name.starts_with('.')
}

/// Describes a value for an error message.
fn describe(value: &DeValue) -> String {
    match value {
        DeValue::String(text) => format!("{:?}", text.as_ref()),
        DeValue::Integer(number) => number.to_string(),
        DeValue::Float(number) => number.to_string(),
        DeValue::Boolean(on) => on.to_string(),
        DeValue::Datetime(_) => "a date".to_owned(),
        DeValue::Array(_) => "a list".to_owned(),
        DeValue::Table(_) => "a table".to_owned(),
    }
}

fn number(value: &DeValue) -> Option<f64> {
    match value {
        DeValue::Integer(number) => number.as_str().parse().ok(),
        DeValue::Float(number) => number.as_str().parse().ok(),
        _ => None,
    }
}
