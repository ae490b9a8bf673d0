//! Recovery of the segments that earlier processes wrote.

use crate::record::Record;
use crate::segment::{self, Header, Item, ReadError};
use crate::storage::Storage;
use crate::writer::is_segment;
use std::io;

/// Suffix of the file that keeps a segment's corrupt tail, after the segment's name.
const QUARANTINE_SUFFIX: &str = ".spoilt";

/// A segment that was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecoveredSegment {
    /// File name.
    pub name: String,
    /// Length in bytes without the quarantined tail.
    pub bytes: usize,
    /// Header, which identifies the process that wrote the segment.
    pub header: Header,
    /// Valid records.
    pub records: Vec<Record>,
    /// Number of corrupt bytes, whose records are unknown.
    pub corrupt_bytes: usize,
}

/// A tail that was moved out of its segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantinedTail {
    /// File name of the segment.
    pub segment: String,
    /// Length of the tail.
    pub bytes: usize,
}

/// A file that can't be read. It is left unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreadableFile {
    /// File name.
    pub name: String,
    /// Reason.
    pub error: ReadError,
}

/// What a new process finds of earlier ones.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recovery {
    /// Segments, ordered by the start of their process and by their sequence number.
    pub segments: Vec<RecoveredSegment>,
    /// Tails that were quarantined by this recovery.
    pub quarantined: Vec<QuarantinedTail>,
    /// Files that can't be read.
    pub unreadable: Vec<UnreadableFile>,
}

impl Recovery {
    /// Number of places where an unknown number of records may be missing.
    pub fn unknown_gaps(&self) -> usize {
        let corrupt = self.segments.iter().filter(|segment| segment.corrupt_bytes > 0).count();
        corrupt + self.quarantined.len() + self.unreadable.len()
    }
}

/// Reads all segments of a folder and quarantines corrupt tails. Recovery is idempotent: if it is repeated, also after a
/// crash at any point, it finds the same records.
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
    // The tail is copied before it is truncated, so that after a crash in between it is still found in the segment.
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
