//! The sections of a file: which keys they have, which are known, and the faults found in them.

use crate::errors::FileError;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::Path;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// An unknown key this close to a known one is taken for a typing error.
const MAX_TYPO_DISTANCE: usize = 2;

/// A file's text and what is wrong with it.
pub(crate) struct Source<'i> {
    file: &'i Path,
    /// The byte offset of each line's start.
    line_starts: Vec<usize>,
    /// With the byte offset of each.
    faults: RefCell<Vec<(usize, FileError)>>,
}

impl<'i> Source<'i> {
    pub(crate) fn new(file: &'i Path, text: &str) -> Self {
        let ends = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n').map(|(offset, _)| offset + 1);
        let line_starts = std::iter::once(0).chain(ends).collect();
        Source { file, line_starts, faults: RefCell::default() }
    }

    pub(crate) fn has_faults(&self) -> bool {
        !self.faults.borrow().is_empty()
    }

    /// The faults with their byte offsets, in the order in which they were recorded.
    pub(crate) fn into_faults(self) -> Vec<(usize, FileError)> {
        self.faults.into_inner()
    }

    /// The line of a byte offset, counted from 1.
    fn line(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset).max(1)
    }

    pub(crate) fn fault(&self, offset: usize, key: &str, message: String) {
        let line = self.line(offset);
        let fault = FileError { file: self.file.to_owned(), line, key: key.to_owned(), message };
        self.faults.borrow_mut().push((offset, fault));
    }
}

/// A section of a file. Each getter names a key and records what is wrong with its value; when the section is dropped, keys
/// that no getter named are recorded as unknown.
pub struct Section<'i> {
    source: &'i Source<'i>,
    /// The key of the section with those around it; empty for the file itself.
    path: String,
    /// None if the file has no such section.
    table: Option<&'i DeTable<'i>>,
    /// The byte offset of its start.
    offset: usize,
    /// The keys that getters have named.
    known: RefCell<Vec<&'static str>>,
    /// Its keys are chosen by the operator.
    free_keys: Cell<bool>,
}

impl<'i> Section<'i> {
    /// The top section of a file.
    pub(crate) fn top(source: &'i Source<'i>, table: &'i DeTable<'i>) -> Self {
        Section::new(source, String::new(), Some(table), 0)
    }

    fn new(source: &'i Source<'i>, path: String, table: Option<&'i DeTable<'i>>, offset: usize) -> Self {
        Section { source, path, table, offset, known: RefCell::default(), free_keys: Cell::new(false) }
    }

    /// Whether the file has this section.
    pub fn is_present(&self) -> bool {
        self.table.is_some()
    }

    /// The base of relative paths: the file's folder.
    pub(crate) fn folder(&self) -> &Path {
        self.source.file.parent().unwrap_or(Path::new(""))
    }

    fn full_key(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Records a fault of a key's value.
    pub fn fault(&self, key: &str, message: impl Into<String>) {
        let offset = self.find(key).map_or(self.offset, |value| value.span().start);
        self.source.fault(offset, &self.full_key(key), message.into());
    }

    fn find(&self, key: &str) -> Option<&'i Spanned<DeValue<'i>>> {
        self.table?.iter().find(|(name, _)| name.get_ref() == key).map(|(_, value)| value)
    }

    /// The value of a key, which is known from now on.
    pub(crate) fn get(&self, key: &'static str) -> Option<&'i Spanned<DeValue<'i>>> {
        self.known.borrow_mut().push(key);
        self.find(key)
    }

    /// The section of a key, which may be absent.
    #[must_use]
    pub fn section(&self, key: &'static str) -> Section<'i> {
        let table = self.value(key, "a section", |value| matches!(value, DeValue::Table(_)).then_some(()));
        let value = self.find(key).filter(|_| table.is_some());
        let table = value.and_then(|value| match value.get_ref() {
            DeValue::Table(table) => Some(table),
            _ => None,
        });
        Section::new(
            self.source,
            self.full_key(key),
            table,
            value.map_or(self.offset, |value| value.span().start),
        )
    }

    /// The sections of a list `[[key]]`; empty if it is absent.
    pub fn sections(&self, key: &'static str) -> Vec<Section<'i>> {
        let Some(value) = self.get(key) else { return Vec::new() };
        let DeValue::Array(list) = value.get_ref() else {
            self.fault(key, format!("is no list of sections; write [[{}]]", self.full_key(key)));
            return Vec::new();
        };
        let mut sections = Vec::new();
        for (index, item) in list.iter().enumerate() {
            match item.get_ref() {
                DeValue::Table(table) => {
                    let name = format!("{}[{index}]", self.full_key(key));
                    sections.push(Section::new(self.source, name, Some(table), item.span().start));
                }
                _ => self.fault(key, format!("item {index} is no section; write [[{}]]", self.full_key(key))),
            }
        }
        sections
    }

    /// The sections of this one, whose names the operator chooses.
    pub fn children(&self) -> Vec<(String, Section<'i>)> {
        let mut children = Vec::new();
        for (name, value) in self.free_entries() {
            match value.get_ref() {
                DeValue::Table(table) => {
                    let section =
                        Section::new(self.source, self.full_key(&name), Some(table), value.span().start);
                    children.push((name, section));
                }
                _ => self.fault(&name, "is no section"),
            }
        }
        children
    }

    /// The entries of this section, whose keys the operator chooses.
    pub(crate) fn free_entries(&self) -> impl Iterator<Item = (String, &'i Spanned<DeValue<'i>>)> + use<'i> {
        self.free_keys.set(true);
        let entries = self.table.into_iter().flat_map(|table| table.iter());
        entries.map(|(name, value)| (name.get_ref().to_string(), value))
    }

    /// The lines of the keys that getters have named and that are present.
    pub fn lines(&self) -> BTreeMap<&'static str, usize> {
        let line = |key: &&'static str| Some((*key, self.source.line(self.find(key)?.span().start)));
        self.known.borrow().iter().filter_map(line).collect()
    }

    /// The line in which the section starts.
    pub fn line(&self) -> usize {
        self.source.line(self.offset)
    }

    /// Records a fault if a required key is missing; `expected` says what is needed.
    pub fn required<T>(&self, key: &'static str, value: Option<T>, expected: &str) -> Option<T> {
        if value.is_none() && self.find(key).is_none() {
            self.source.fault(self.offset, &self.full_key(key), format!("is missing; {expected} is needed"));
        }
        value
    }
}

impl Drop for Section<'_> {
    fn drop(&mut self) {
        let known = self.known.borrow();
        let Some(table) = self.table.filter(|_| !self.free_keys.get()) else { return };
        for (name, _) in table.iter().filter(|(name, _)| !known.contains(&name.get_ref().as_ref())) {
            let similar = known.iter().min_by_key(|key| edit_distance(key, name.get_ref()));
            let similar = similar.filter(|key| edit_distance(key, name.get_ref()) <= MAX_TYPO_DISTANCE);
            let message = match similar {
                Some(similar) => format!("is no known key; did you mean {similar}?"),
                None => format!("is no known key; known are {}", known.join(", ")),
            };
            self.source.fault(name.span().start, &self.full_key(name.get_ref()), message);
        }
    }
}

/// The Levenshtein distance of two keys.
fn edit_distance(a: &str, b: &str) -> usize {
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
#[path = "../tests/unit/section.rs"]
mod tests;
