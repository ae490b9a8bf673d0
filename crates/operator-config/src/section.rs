//! Access to the sections of a file, with reporting of invalid values and unknown keys.

use crate::errors::FileError;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::Path;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// Maximum edit distance at which the error for an unknown key suggests a known one.
const MAX_TYPO_DISTANCE: usize = 2;

/// Line positions of a file's text and the errors found in it.
pub(crate) struct Source<'i> {
    file: &'i Path,
    /// Byte offset of the start of each line.
    line_starts: Vec<usize>,
    /// Errors with their byte offsets.
    errors: RefCell<Vec<(usize, FileError)>>,
}

impl<'i> Source<'i> {
    pub(crate) fn new(file: &'i Path, text: &str) -> Self {
        let ends = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n').map(|(offset, _)| offset + 1);
        let line_starts = std::iter::once(0).chain(ends).collect();
        Source { file, line_starts, errors: RefCell::default() }
    }

    pub(crate) fn has_errors(&self) -> bool {
        !self.errors.borrow().is_empty()
    }

    /// Returns the errors with their byte offsets, in the order in which they were reported.
    pub(crate) fn into_errors(self) -> Vec<(usize, FileError)> {
        self.errors.into_inner()
    }

    /// Returns the line number of a byte offset, counted from 1.
    fn line(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset).max(1)
    }

    pub(crate) fn report(&self, offset: usize, key: &str, message: String) {
        let line = self.line(offset);
        let error = FileError { file: self.file.to_owned(), line, key: key.to_owned(), message };
        self.errors.borrow_mut().push((offset, error));
    }
}

/// A section of a file. Each getter reads the value of one key and reports an error if the value is invalid. When the
/// section is dropped, keys that no getter has read are reported as unknown.
pub struct Section<'i> {
    source: &'i Source<'i>,
    /// Full key of the section, such as `remote_write.labels`; empty for the file's top level.
    path: String,
    /// The section's entries; None if the file has no such section.
    table: Option<&'i DeTable<'i>>,
    /// Byte offset of the section's start; that of the enclosing section if this one is absent.
    offset: usize,
    /// Keys that getters have read.
    known: RefCell<Vec<&'static str>>,
    /// Whether the operator chooses the section's keys, so that none is unknown.
    free_keys: Cell<bool>,
}

impl<'i> Section<'i> {
    /// Returns the top-level section of a file.
    pub(crate) fn top(source: &'i Source<'i>, table: &'i DeTable<'i>) -> Self {
        Section::new(source, String::new(), Some(table), 0)
    }

    fn new(source: &'i Source<'i>, path: String, table: Option<&'i DeTable<'i>>, offset: usize) -> Self {
        Section { source, path, table, offset, known: RefCell::default(), free_keys: Cell::new(false) }
    }

    /// Returns whether the file has this section.
    pub fn is_present(&self) -> bool {
        self.table.is_some()
    }

    /// Returns the directory of the file, which relative paths start from.
    pub(crate) fn base_dir(&self) -> &Path {
        self.source.file.parent().unwrap_or(Path::new(""))
    }

    fn full_key(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Reports an error in a key's value, or in the section itself if the key is absent.
    pub fn report(&self, key: &str, message: impl Into<String>) {
        let offset = self.find(key).map_or(self.offset, |value| value.span().start);
        self.source.report(offset, &self.full_key(key), message.into());
    }

    fn find(&self, key: &str) -> Option<&'i Spanned<DeValue<'i>>> {
        self.table?.iter().find(|(name, _)| name.get_ref() == key).map(|(_, value)| value)
    }

    /// Returns the value of a key and marks the key as known.
    pub(crate) fn get(&self, key: &'static str) -> Option<&'i Spanned<DeValue<'i>>> {
        self.known.borrow_mut().push(key);
        self.find(key)
    }

    /// Returns the section at a key; see [`Section::is_present`] for one that is absent.
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

    /// Returns the sections of a list `[[key]]`; empty if the list is absent.
    pub fn sections(&self, key: &'static str) -> Vec<Section<'i>> {
        let Some(value) = self.get(key) else { return Vec::new() };
        let DeValue::Array(list) = value.get_ref() else {
            self.report(key, format!("is not a list of sections; write [[{}]]", self.full_key(key)));
            return Vec::new();
        };
        let mut sections = Vec::new();
        for (index, item) in list.iter().enumerate() {
            match item.get_ref() {
                DeValue::Table(table) => {
                    let name = format!("{}[{index}]", self.full_key(key));
                    sections.push(Section::new(self.source, name, Some(table), item.span().start));
                }
                _ => self
                    .report(key, format!("item {index} is not a section; write [[{}]]", self.full_key(key))),
            }
        }
        sections
    }

    /// Returns the subsections with their names, which the operator chooses.
    pub fn children(&self) -> Vec<(String, Section<'i>)> {
        let mut children = Vec::new();
        for (name, value) in self.free_entries() {
            match value.get_ref() {
                DeValue::Table(table) => {
                    let section =
                        Section::new(self.source, self.full_key(&name), Some(table), value.span().start);
                    children.push((name, section));
                }
                _ => self.report(&name, "is not a section"),
            }
        }
        children
    }

    /// Returns the entries of a section whose keys the operator chooses; none of its keys is then unknown.
    pub(crate) fn free_entries(&self) -> impl Iterator<Item = (String, &'i Spanned<DeValue<'i>>)> + use<'i> {
        self.free_keys.set(true);
        let entries = self.table.into_iter().flat_map(|table| table.iter());
        entries.map(|(name, value)| (name.get_ref().to_string(), value))
    }

    /// Returns the line numbers of the present keys that getters have read.
    pub fn key_lines(&self) -> BTreeMap<&'static str, usize> {
        let line = |key: &&'static str| Some((*key, self.source.line(self.find(key)?.span().start)));
        self.known.borrow().iter().filter_map(line).collect()
    }

    /// Returns the number of the line in which the section starts.
    pub fn line(&self) -> usize {
        self.source.line(self.offset)
    }

    /// Returns `value`, and reports an error if the required key is absent. `expected` describes the needed value.
    pub fn required<T>(&self, key: &'static str, value: Option<T>, expected: &str) -> Option<T> {
        if value.is_none() && self.find(key).is_none() {
            self.source.report(self.offset, &self.full_key(key), format!("is missing; {expected} is needed"));
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
            self.source.report(name.span().start, &self.full_key(name.get_ref()), message);
        }
    }
}

/// Returns the Levenshtein distance of two keys.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let substituted = diagonal + usize::from(x != *y);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}

#[cfg(test)]
#[path = "../tests/unit/section.rs"]
mod tests;
