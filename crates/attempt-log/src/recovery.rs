//! Reading back what earlier processes wrote.

use crate::record::Record;
use crate::segment::{self, Header, Item, ReadError};
use crate::storage::Storage;
use crate::writer::is_segment;
use std::io;

/// A corrupt tail is kept under its segment's name and this.
const QUARANTINE_SUFFIX: &str = ".spoilt";

/// A segment that was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecoveredSegment {
    /// Its file.
    pub name: String,
    /// Its length without the quarantined tail.
    pub bytes: usize,
    /// Which process wrote it.
    pub header: Header,
    /// Its records.
    pub records: Vec<Record>,
    /// Bytes that are corrupt: which records they were is not known.
    pub corrupt_bytes: usize,
}

/// A tail that was moved out of its segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantinedTail {
    /// The segment's file.
    pub segment: String,
    /// The tail's length.
    pub bytes: usize,
}

/// A file that can't be read; it stays as it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreadableFile {
    /// Its name.
    pub name: String,
    /// Why.
    pub error: ReadError,
}

/// What a process finds of those before it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recovery {
    /// The segments, by their processes' start and their sequence.
    pub segments: Vec<RecoveredSegment>,
    /// Tails that were quarantined.
    pub quarantined: Vec<QuarantinedTail>,
    /// Files that can't be read.
    pub unreadable: Vec<UnreadableFile>,
}

impl Recovery {
    /// The number of places where an unknown number of records may be missing.
    pub fn unknown_gaps(&self) -> usize {
        let corrupt = self.segments.iter().filter(|segment| segment.corrupt_bytes > 0).count();
        corrupt + self.quarantined.len() + self.unreadable.len()
    }
}

/// Reads all segments of a folder and quarantines corrupt tails. It is idempotent: done twice, or stopped anywhere and done
/// again, it finds the same records.
///
/// # Errors
///
/// The folder can't be listed. A single file that can't be read is listed in the result.
pub fn recover(storage: &mut impl Storage) -> io::Result<Recovery> {
    let mut recovery = Recovery::default();
    let mut names: Vec<String> = storage.list()?.into_iter().filter(|name| is_segment(name)).collect();
    names.sort();
    for name in names {
        match read_segment(storage, &name) {
            Ok((segment, quarantined)) => {
                recovery.segments.push(segment);
                recovery.quarantined.extend(quarantined);
            }
            Err(error) => recovery.unreadable.push(UnreadableFile { name, error }),
        }
    }
    recovery.segments.sort_by_key(|s| (s.header.started_ms, s.header.incarnation, s.header.sequence));
    Ok(recovery)
}

fn read_segment(
    storage: &mut impl Storage,
    name: &str,
) -> Result<(RecoveredSegment, Option<QuarantinedTail>), ReadError> {
    let bytes = storage.read(name).map_err(|_| ReadError::CorruptHeader)?;
    let (header, items) = segment::open(&bytes)?;
    let mut segment = RecoveredSegment {
        name: name.to_owned(),
        bytes: bytes.len(),
        header,
        records: Vec::new(),
        corrupt_bytes: 0,
    };
    let mut tail_at = bytes.len();
    for item in items {
        match item {
            Item::Record(record, _) => segment.records.push(record),
            Item::Corrupt(range) => segment.corrupt_bytes += range.len(),
            Item::Tail(at) => tail_at = at,
        }
    }
    let tail = &bytes[tail_at..];
    if tail.is_empty() {
        return Ok((segment, None));
    }
    // First the copy, then the cut: a crash between them leaves the tail in the segment, to be found again.
    let copied = storage.append(&format!("{name}{QUARANTINE_SUFFIX}"), tail);
    if copied.and_then(|()| storage.truncate(name, tail_at)).is_ok() {
        segment.bytes = tail_at;
        let quarantined = QuarantinedTail { segment: name.to_owned(), bytes: tail.len() };
        Ok((segment, Some(quarantined)))
    } else {
        segment.corrupt_bytes += tail.len();
        Ok((segment, None))
    }
}
