//! The writer of segments: rotation, gaps of lost records, and removal of old segments.

use crate::record::{Incarnation, Record};
use crate::recovery::Recovery;
use crate::segment::{self, EncodeError, Header};
use crate::storage::Storage;
use std::io;

/// Prefix of the file names of segments, followed by the incarnation, the sequence number and [`SUFFIX`].
const PREFIX: &str = "ledger-";
const SUFFIX: &str = ".log";

/// When written records are flushed to disk, which determines what a power failure may lose. If only the process is killed,
/// nothing is lost under any policy, because written bytes belong to the operating system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyncPolicy {
    /// Never: a power failure loses everything that the operating system has not flushed by itself.
    Never,
    /// At intervals: a power failure loses what was written since the last [`LogWriter::sync`].
    Interval,
    /// At every write: a power failure loses nothing for which [`LogWriter::write`] returned `Ok`.
    EveryWrite,
}

/// Settings of flushing, rotation and removal of segments.
#[derive(Debug, Clone, Copy)]
pub struct LogPolicy {
    /// When written records are flushed.
    pub sync: SyncPolicy,
    /// Length at which a segment is full.
    pub max_segment_bytes: usize,
    /// Limit of all segments together; the oldest ones are removed beyond it.
    pub max_total_bytes: usize,
}

impl Default for LogPolicy {
    fn default() -> Self {
        LogPolicy { sync: SyncPolicy::Interval, max_segment_bytes: 16 << 20, max_total_bytes: 1 << 30 }
    }
}

/// Records that could not be written.
#[derive(Debug, Clone, Copy)]
struct LostRecords {
    count: u64,
    /// Time of the first failed write.
    from_us: u64,
}

/// A segment to which nothing more is appended.
#[derive(Debug)]
struct FullSegment {
    name: String,
    bytes: usize,
}

/// Writes the log of one incarnation.
#[derive(Debug)]
pub struct LogWriter {
    header: Header,
    policy: LogPolicy,
    /// Length of the current segment without incomplete writes; none before its first record.
    current_bytes: Option<usize>,
    /// Full segments, the oldest first.
    full: Vec<FullSegment>,
    /// Lost records whose gap has not been written yet.
    lost: Option<LostRecords>,
}

fn segment_name(incarnation: Incarnation, sequence: u64) -> String {
    format!("{PREFIX}{:016x}-{sequence:08}{SUFFIX}", incarnation.0)
}

/// Whether a file name is that of a segment.
pub(crate) fn is_segment(name: &str) -> bool {
    name.starts_with(PREFIX) && name.ends_with(SUFFIX)
}

impl LogWriter {
    /// A writer for an incarnation that started at `started_ms` (Unix milliseconds). The segments that
    /// [`recover`](crate::recover) found count towards the total size. Nothing is written before the first record.
    pub fn new(
        incarnation: Incarnation,
        instance: &str,
        started_ms: u64,
        policy: LogPolicy,
        recovery: &Recovery,
    ) -> Self {
        let header = Header { incarnation, sequence: 0, instance: instance.to_owned(), started_ms };
        let full = recovery.segments.iter();
        let full =
            full.map(|segment| FullSegment { name: segment.name.clone(), bytes: segment.bytes }).collect();
        LogWriter { header, policy, current_bytes: None, full, lost: None }
    }

    /// Passes records to the operating system in one append. After `Ok` they survive a crash of this process, and with
    /// [`SyncPolicy::EveryWrite`] also a power failure.
    ///
    /// # Errors
    ///
    /// The storage's. The records are counted as lost, and a gap is written before the next record that can be written.
    pub fn write(&mut self, storage: &mut impl Storage, now_us: u64, records: &[Record]) -> io::Result<()> {
        let written = self.try_write(storage, now_us, records);
        if written.is_err() {
            let lost = self.lost.get_or_insert(LostRecords { count: 0, from_us: now_us });
            lost.count += records.len() as u64;
            // The segment may end in an incomplete frame now, so the next record goes into a new segment.
            self.rotate();
        }
        written
    }

    fn try_write(&mut self, storage: &mut impl Storage, now_us: u64, records: &[Record]) -> io::Result<()> {
        if self.current_bytes.is_some_and(|bytes| bytes >= self.policy.max_segment_bytes) {
            self.rotate();
        }
        let bytes = self.encode(now_us, records).map_err(io::Error::other)?;
        let name = self.current_name();
        storage.append(&name, &bytes)?;
        if self.policy.sync == SyncPolicy::EveryWrite {
            storage.sync(&name)?;
        }
        self.current_bytes = Some(self.current_bytes.unwrap_or(0) + bytes.len());
        self.lost = None;
        self.remove_oldest(storage);
        Ok(())
    }

    /// Encodes the bytes of one append: the header of a new segment, the gap of lost records, and the records.
    fn encode(&self, now_us: u64, records: &[Record]) -> Result<Vec<u8>, EncodeError> {
        let mut bytes = match self.current_bytes {
            Some(_) => Vec::new(),
            None => segment::encode_header(&self.header)?,
        };
        if let Some(LostRecords { count, from_us }) = self.lost {
            segment::append_record(&Record::Gap { lost_records: count, from_us, to_us: now_us }, &mut bytes)?;
        }
        for record in records {
            segment::append_record(record, &mut bytes)?;
        }
        Ok(bytes)
    }

    fn current_name(&self) -> String {
        segment_name(self.header.incarnation, self.header.sequence)
    }

    fn rotate(&mut self) {
        if let Some(bytes) = self.current_bytes.take() {
            self.full.push(FullSegment { name: self.current_name(), bytes });
        }
        self.header.sequence += 1;
    }

    /// Removes the oldest segments until the rest is within the limit. A failed removal is retried after the next write.
    fn remove_oldest(&mut self, storage: &mut impl Storage) {
        let full_bytes: usize = self.full.iter().map(|segment| segment.bytes).sum();
        let mut total = self.current_bytes.unwrap_or(0) + full_bytes;
        while total > self.policy.max_total_bytes && !self.full.is_empty() {
            if storage.remove(&self.full[0].name).is_err() {
                return;
            }
            total -= self.full.remove(0).bytes;
        }
    }

    /// Flushes the current segment, for [`SyncPolicy::Interval`]. After `Ok` its records survive a power failure.
    ///
    /// # Errors
    ///
    /// The storage's.
    pub fn sync(&mut self, storage: &mut impl Storage) -> io::Result<()> {
        match self.current_bytes {
            Some(_) => storage.sync(&self.current_name()),
            None => Ok(()),
        }
    }

    /// Number of lost records whose gap has not been written yet.
    pub fn unreported_losses(&self) -> u64 {
        self.lost.map_or(0, |lost| lost.count)
    }
}
