//! Reading TOML section by section, with every fault kept.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// The longest file that is read; an operator's file is a few kilobytes.
const FILE_MOST: u64 = 1 << 20;

/// Something that is wrong with a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The file.
    pub file: PathBuf,
    /// The line, counted from 1; 0 where the fault is the file's as a whole.
    pub line: usize,
    /// The key with its sections, such as `daemon.state`; empty where there is none.
    pub key: String,
    /// What is wrong, and what would be right.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.file.display())?;
        if self.line > 0 {
            write!(f, "{}:", self.line)?;
        }
        if !self.key.is_empty() {
            write!(f, " {}:", self.key)?;
        }
        write!(f, " {}", self.what)
    }
}

impl std::error::Error for Fault {}

/// Reads a file's text.
///
/// # Errors
///
/// It cannot be read, is too long, or is no text.
pub fn load(file: &Path) -> Result<String, Vec<Fault>> {
    let whole = |what: String| vec![Fault { file: file.to_owned(), line: 0, key: String::new(), what }];
    let size = std::fs::metadata(file).map_err(|e| whole(format!("cannot be read: {e}")))?;
    if !size.is_file() {
        return Err(whole("is no plain file".into()));
    }
    if size.len() > FILE_MOST {
        return Err(whole(format!("is {} bytes long; at most {FILE_MOST} are read", size.len())));
    }
    let bytes = std::fs::read(file).map_err(|e| whole(format!("cannot be read: {e}")))?;
    String::from_utf8(bytes).map_err(|e| {
        let line = 1 + e.as_bytes()[..e.utf8_error().valid_up_to()].iter().filter(|b| **b == b'\n').count();
        vec![Fault { file: file.to_owned(), line, key: String::new(), what: "is not UTF-8 text".into() }]
    })
}

/// Hands the top section of a file's text to `schema`; the error is all that is wrong with it, in the order of its
/// lines. What `schema` makes counts only if nothing is wrong.
pub fn parse<T>(file: &Path, text: &str, schema: impl FnOnce(&Section) -> T) -> Result<T, Vec<Fault>> {
    let (table, errors) = DeTable::parse_recoverable(text);
    let ends = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n').map(|(at, _)| at + 1);
    let starts = std::iter::once(0).chain(ends).collect();
    let source = Source { file, starts, faults: RefCell::default() };
    for error in errors {
        source.fault(error.span().map_or(0, |span| span.start), "", error.message().to_owned());
    }
    // A text that cannot be read has no keys to speak of: what its schema would miss is noise.
    let broken = !source.faults.borrow().is_empty();
    let value = {
        let top = Section::new(&source, String::new(), Some(table.get_ref()), 0);
        schema(&top)
    };
    let mut faults = source.faults.into_inner();
    if broken {
        faults.retain(|(_, fault)| fault.key.is_empty());
    }
    if faults.is_empty() {
        return Ok(value);
    }
    faults.sort_by_key(|(at, _)| *at);
    Err(faults.into_iter().map(|(_, fault)| fault).collect())
}

struct Source<'i> {
    file: &'i Path,
    /// Where each line begins.
    starts: Vec<usize>,
    faults: RefCell<Vec<(usize, Fault)>>,
}

impl Source<'_> {
    fn line(&self, at: usize) -> usize {
        self.starts.partition_point(|start| *start <= at).max(1)
    }

    fn fault(&self, at: usize, key: &str, what: String) {
        let line = self.line(at);
        let fault = Fault { file: self.file.to_owned(), line, key: key.to_owned(), what };
        self.faults.borrow_mut().push((at, fault));
    }
}

/// A section of a file. Each getter names a key, and what is wrong with its value is noted; at the section's end, the
/// keys that no getter named are noted as unknown.
pub struct Section<'i> {
    source: &'i Source<'i>,
    path: String,
    table: Option<&'i DeTable<'i>>,
    at: usize,
    asked: RefCell<Vec<&'static str>>,
    /// Its keys are names of the operator's own.
    named: Cell<bool>,
}

impl<'i> Section<'i> {
    fn new(source: &'i Source<'i>, path: String, table: Option<&'i DeTable<'i>>, at: usize) -> Self {
        Section { source, path, table, at, asked: RefCell::default(), named: Cell::new(false) }
    }

    /// The file itself or its section is there.
    pub fn present(&self) -> bool {
        self.table.is_some()
    }

    /// The folder that relative paths of this file start from: its own.
    fn folder(&self) -> &Path {
        self.source.file.parent().unwrap_or(Path::new(""))
    }

    fn name(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Notes that a key's value cannot be, and why.
    pub fn fault(&self, key: &str, what: impl Into<String>) {
        let at = self.find(key).map_or(self.at, |value| value.span().start);
        self.source.fault(at, &self.name(key), what.into());
    }

    fn find(&self, key: &str) -> Option<&'i Spanned<DeValue<'i>>> {
        self.table?.iter().find(|(name, _)| name.get_ref() == key).map(|(_, value)| value)
    }

    fn ask(&self, key: &'static str) -> Option<&'i Spanned<DeValue<'i>>> {
        self.asked.borrow_mut().push(key);
        self.find(key)
    }

    /// The value of a key, if it is there and `read` makes something of it; `right` says what it should be.
    fn value<T>(
        &self,
        key: &'static str,
        right: &str,
        read: impl FnOnce(&DeValue<'i>) -> Option<T>,
    ) -> Option<T> {
        let value = self.ask(key)?;
        let read = read(value.get_ref());
        if read.is_none() {
            let wrong = match value.get_ref() {
                DeValue::String(text) => format!("{:?}", text.as_ref()),
                DeValue::Integer(number) => number.to_string(),
                DeValue::Float(number) => number.to_string(),
                DeValue::Boolean(on) => on.to_string(),
                DeValue::Datetime(_) => "a date".to_owned(),
                DeValue::Array(_) => "a list".to_owned(),
                DeValue::Table(_) => "a table".to_owned(),
            };
            self.fault(key, format!("is {wrong}; {right} was expected"));
        }
        read
    }

    /// A text that is not empty.
    pub fn text(&self, key: &'static str) -> Option<String> {
        self.value(key, "a text that is not empty", |value| {
            value.as_str().filter(|text| !text.trim().is_empty()).map(str::to_owned)
        })
    }

    /// A path; one that is relative starts from the file's folder.
    pub fn path(&self, key: &'static str) -> Option<PathBuf> {
        self.text(key).map(|text| self.folder().join(text))
    }

    /// An address such as `127.0.0.1:8443`.
    pub fn address(&self, key: &'static str) -> Option<SocketAddr> {
        self.value(key, "an address such as \"127.0.0.1:8443\"", |value| value.as_str()?.parse().ok())
    }

    /// A list of addresses; empty without.
    pub fn addresses(&self, key: &'static str) -> Vec<SocketAddr> {
        let read = |value: &DeValue<'i>| {
            let DeValue::Array(list) = value else { return None };
            list.iter().map(|item| item.get_ref().as_str()?.parse().ok()).collect()
        };
        self.value(key, "a list of addresses such as [\"127.0.0.1:7946\"]", read).unwrap_or_default()
    }

    /// A time such as `"200ms"` or `"1m 30s"`, within bounds.
    pub fn time(&self, key: &'static str, within: RangeInclusive<Duration>) -> Option<Duration> {
        let right = format!(
            "a time such as \"200ms\" or \"2s\", from {} to {},",
            humantime::format_duration(*within.start()),
            humantime::format_duration(*within.end())
        );
        self.value(key, &right, |value| {
            let time = humantime::parse_duration(value.as_str()?).ok()?;
            within.contains(&time).then_some(time)
        })
    }

    /// A whole number within bounds.
    pub fn count(&self, key: &'static str, within: RangeInclusive<u64>) -> Option<u64> {
        let right = format!("a whole number from {} to {}", within.start(), within.end());
        self.value(key, &right, |value| match value {
            DeValue::Integer(number) => {
                let number = u64::from_str_radix(number.as_str(), number.radix()).ok()?;
                within.contains(&number).then_some(number)
            }
            _ => None,
        })
    }

    /// A share within 0 to 1.
    pub fn share(&self, key: &'static str) -> Option<f64> {
        self.value(key, "a number from 0.0 to 1.0", |value| {
            number(value).filter(|number| (0.0..=1.0).contains(number))
        })
    }

    /// The section of that name, which may be absent.
    pub fn section(&self, key: &'static str) -> Section<'i> {
        let table = self.value(key, "a section", |value| matches!(value, DeValue::Table(_)).then_some(()));
        let value = self.find(key).filter(|_| table.is_some());
        let table = value.and_then(|value| match value.get_ref() {
            DeValue::Table(table) => Some(table),
            _ => None,
        });
        Section::new(self.source, self.name(key), table, value.map_or(self.at, |value| value.span().start))
    }

    /// The sections of a list `[[key]]`, which may be absent.
    pub fn sections(&self, key: &'static str) -> Vec<Section<'i>> {
        let Some(value) = self.ask(key) else { return Vec::new() };
        let DeValue::Array(list) = value.get_ref() else {
            self.fault(key, format!("is no list of sections; write [[{}]]", self.name(key)));
            return Vec::new();
        };
        let mut sections = Vec::new();
        for (number, item) in list.iter().enumerate() {
            match item.get_ref() {
                DeValue::Table(table) => {
                    let name = format!("{}[{number}]", self.name(key));
                    sections.push(Section::new(self.source, name, Some(table), item.span().start));
                }
                _ => self.fault(key, format!("item {number} is no section; write [[{}]]", self.name(key))),
            }
        }
        sections
    }

    /// The sections of this one, whose names are the operator's own.
    pub fn children(&self) -> Vec<(String, Section<'i>)> {
        self.named.set(true);
        let mut children = Vec::new();
        for (name, value) in self.table.into_iter().flat_map(|table| table.iter()) {
            let name = name.get_ref().to_string();
            match value.get_ref() {
                DeValue::Table(table) => {
                    let section =
                        Section::new(self.source, self.name(&name), Some(table), value.span().start);
                    children.push((name, section));
                }
                _ => self.fault(&name, "is no section"),
            }
        }
        children
    }

    /// The texts of this section, whose names are the operator's own.
    pub fn texts(&self) -> Vec<(String, String)> {
        self.named.set(true);
        let mut texts = Vec::new();
        for (name, value) in self.table.into_iter().flat_map(|table| table.iter()) {
            let name = name.get_ref().to_string();
            match value.get_ref().as_str() {
                Some(text) => texts.push((name, text.to_owned())),
                None => self.fault(&name, "is no text"),
            }
        }
        texts
    }

    /// The lines of the keys that have been asked for and are there.
    pub fn lines(&self) -> BTreeMap<&'static str, usize> {
        let line = |key: &&'static str| Some((*key, self.source.line(self.find(key)?.span().start)));
        self.asked.borrow().iter().filter_map(line).collect()
    }

    /// The line that the section begins in.
    pub fn begins(&self) -> usize {
        self.source.line(self.at)
    }

    /// A number within bounds.
    pub fn number(&self, key: &'static str, within: RangeInclusive<f64>) -> Option<f64> {
        let right = format!("a number from {} to {}", within.start(), within.end());
        self.value(key, &right, |value| number(value).filter(|number| within.contains(number)))
    }

    /// A list of words out of `known`; the places there of those that it names.
    pub fn words(&self, key: &'static str, known: &[&str]) -> Option<Vec<usize>> {
        let right = format!("a list out of {known:?}");
        self.value(key, &right, |value| {
            let DeValue::Array(list) = value else { return None };
            let place =
                |item: &Spanned<DeValue>| known.iter().position(|k| Some(*k) == item.get_ref().as_str());
            list.iter().map(place).collect()
        })
    }

    /// A value that `read` makes out of a text; `right` says what it should be.
    pub fn read<T>(&self, key: &'static str, right: &str, read: impl FnOnce(&str) -> Option<T>) -> Option<T> {
        self.value(key, right, |value| read(value.as_str()?))
    }

    /// A value that must be there.
    pub fn required<T>(&self, key: &'static str, value: Option<T>, right: &str) -> Option<T> {
        if value.is_none() && self.find(key).is_none() {
            self.source.fault(self.at, &self.name(key), format!("is missing; {right} is needed"));
        }
        value
    }
}

impl Drop for Section<'_> {
    fn drop(&mut self) {
        let asked = self.asked.borrow();
        let Some(table) = self.table.filter(|_| !self.named.get()) else { return };
        for (name, _) in table.iter().filter(|(name, _)| !asked.contains(&name.get_ref().as_ref())) {
            let near = asked.iter().min_by_key(|known| distance(known, name.get_ref()));
            let near = near.filter(|known| distance(known, name.get_ref()) <= 2);
            let what = match near {
                Some(near) => format!("is no known key; did you mean {near}?"),
                None => format!("is no known key; known are {}", asked.join(", ")),
            };
            self.source.fault(name.span().start, &self.name(name.get_ref()), what);
        }
    }
}

fn number(value: &DeValue) -> Option<f64> {
    match value {
        DeValue::Integer(number) => number.as_str().parse().ok(),
        DeValue::Float(number) => number.as_str().parse().ok(),
        _ => None,
    }
}

/// How many letters set two words apart (Levenshtein).
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut corner = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let replaced = corner + usize::from(x != *y);
            corner = row[j + 1];
            row[j + 1] = replaced.min(corner + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn words_are_set_apart_by_letters() {
        for (a, b, far) in
            [("state", "state", 0), ("state", "sate", 1), ("state", "stats", 1), ("", "abc", 3)]
        {
            assert_eq!(distance(a, b), far, "{a} {b}");
        }
    }

    #[test]
    fn all_faults_come_at_once_each_with_its_line() {
        let text = "a = 1\n[daemon]\nstte = \"x\"\nevery = \"soon\"\ncount = 70000\n";
        let faults = parse(Path::new("f.toml"), text, |top| {
            let daemon = top.section("daemon");
            daemon.path("state");
            daemon.time("every", Duration::from_millis(1)..=Duration::from_secs(1));
            daemon.count("count", 1..=100);
        })
        .expect_err("it is bad");
        let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
        assert_eq!(lines, [
            "f.toml:1: a: is no known key; known are daemon",
            "f.toml:3: daemon.stte: is no known key; did you mean state?",
            "f.toml:4: daemon.every: is \"soon\"; a time such as \"200ms\" or \"2s\", from 1ms to 1s, was expected",
            "f.toml:5: daemon.count: is 70000; a whole number from 1 to 100 was expected",
        ]);
    }

    #[test]
    fn a_text_that_is_no_toml_says_where_and_nothing_of_missing_keys() {
        let faults = parse(Path::new("f.toml"), "[daemon\nx = = 1\n", |top| {
            let section = top.section("daemon");
            let state = section.path("state");
            section.required("state", state, "a path");
        })
        .expect_err("it is bad");
        assert!(faults.iter().all(|f| f.key.is_empty() && f.line > 0), "{faults:?}");
        assert!(faults.len() >= 2, "both lines are bad: {faults:?}");
    }
}
