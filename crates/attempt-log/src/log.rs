//! Writing segments, and reading them back at a start.

use crate::disk::Disk;
use crate::record::{Record, Start};
use crate::segment::{self, Header, Item, Unreadable};
use std::io;

/// Names of segments begin and end like this, with the start and the number between.
const PREFIX: &str = "ledger-";
const SUFFIX: &str = ".log";
/// What was cut off a segment is kept under its name and this.
const ASIDE: &str = ".spoilt";

/// What a loss of power may take with it. A killed process takes nothing in any of them: what was handed over is the
/// operating system's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sync {
    /// All that the operating system has not written by itself.
    None,
    /// What came since the last [`Log::sync`].
    Interval,
    /// Nothing that [`Log::write`] returned for.
    Each,
}

/// How segments are kept.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// What may be lost with power.
    pub sync: Sync,
    /// A segment is full at this length.
    pub segment_bytes: usize,
    /// All segments together; the oldest go.
    pub keep_bytes: usize,
}

impl Default for Policy {
    fn default() -> Self {
        Policy { sync: Sync::Interval, segment_bytes: 16 << 20, keep_bytes: 1 << 30 }
    }
}

/// Records that could not be written.
#[derive(Debug, Clone, Copy)]
struct Lost {
    count: u64,
    from_us: u64,
}

/// A start's journal.
#[derive(Debug)]
pub struct Log {
    header: Header,
    policy: Policy,
    /// Bytes of the present segment that are whole; none before the first.
    length: Option<usize>,
    /// Segments that are full, the oldest first, with their lengths.
    full: Vec<(String, usize)>,
    lost: Option<Lost>,
}

fn name(start: Start, number: u64) -> String {
    format!("{PREFIX}{:016x}-{number:08}{SUFFIX}", start.0)
}

fn is_segment(name: &str) -> bool {
    name.starts_with(PREFIX) && name.ends_with(SUFFIX)
}

impl Log {
    /// A journal of a start, beside the segments that [`recover`] found. Nothing is written before the first record.
    pub fn new(start: Start, instance: &str, wall_ms: u64, policy: Policy, found: &Recovered) -> Self {
        let header = Header { start, number: 0, instance: instance.to_owned(), wall_ms };
        let full = found.segments.iter().map(|s| (s.name.clone(), s.length)).collect();
        Log { header, policy, length: None, full, lost: None }
    }

    /// Hands records over to the disk, in one piece. When it returns well they outlive this process, and with
    /// [`Sync::Each`] a loss of power.
    ///
    /// # Errors
    ///
    /// As the disk has it. The records are counted as lost, and a gap is written before the next that can be.
    pub fn write(&mut self, disk: &mut impl Disk, now_us: u64, records: &[Record]) -> io::Result<()> {
        let written = self.try_write(disk, now_us, records);
        if written.is_err() {
            let lost = self.lost.get_or_insert(Lost { count: 0, from_us: now_us });
            lost.count += records.len() as u64;
            // What is in the segment may end in half a frame: the next goes into a new one, behind whose header all is
            // known.
            self.rotate();
        }
        written
    }

    fn try_write(&mut self, disk: &mut impl Disk, now_us: u64, records: &[Record]) -> io::Result<()> {
        if self.length.is_some_and(|length| length >= self.policy.segment_bytes) {
            self.rotate();
        }
        let mut bytes = match self.length {
            Some(_) => Vec::new(),
            None => segment::begin(&self.header),
        };
        if let Some(lost) = self.lost {
            let gap = Record::Gap { lost: lost.count, from_us: lost.from_us, to_us: now_us };
            segment::put(&gap, &mut bytes);
        }
        records.iter().for_each(|record| segment::put(record, &mut bytes));
        let file = name(self.header.start, self.header.number);
        disk.append(&file, &bytes)?;
        if self.policy.sync == Sync::Each {
            disk.sync(&file)?;
        }
        self.length = Some(self.length.unwrap_or(0) + bytes.len());
        self.lost = None;
        self.retain(disk);
        Ok(())
    }

    fn rotate(&mut self) {
        if let Some(length) = self.length.take() {
            self.full.push((name(self.header.start, self.header.number), length));
        }
        self.header.number += 1;
    }

    /// The oldest segments go until the rest is within its bound. One that can't be removed is tried again later.
    fn retain(&mut self, disk: &mut impl Disk) {
        let mut all = self.length.unwrap_or(0) + self.full.iter().map(|(_, length)| length).sum::<usize>();
        while all > self.policy.keep_bytes && !self.full.is_empty() {
            if disk.remove(&self.full[0].0).is_err() {
                return;
            }
            all -= self.full.remove(0).1;
        }
    }

    /// With [`Sync::Interval`]: all that was written so far outlives a loss of power once this returns well.
    ///
    /// # Errors
    ///
    /// As the disk has it.
    pub fn sync(&mut self, disk: &mut impl Disk) -> io::Result<()> {
        match self.length {
            Some(_) => disk.sync(&name(self.header.start, self.header.number)),
            None => Ok(()),
        }
    }

    /// Records that were lost and whose gap is not written yet.
    pub fn owes(&self) -> u64 {
        self.lost.map_or(0, |lost| lost.count)
    }
}

/// A segment that was found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    /// Its file.
    pub name: String,
    /// Its length, less what was put aside.
    pub length: usize,
    /// Whose it is.
    pub header: Header,
    /// Its records.
    pub records: Vec<Record>,
    /// Bytes in its middle that are spoilt: what they were is not known.
    pub spoilt: usize,
}

/// What a start finds of those before it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The segments, by their starts' first moments and their numbers.
    pub segments: Vec<Segment>,
    /// Tails that were put aside: the file and how many bytes.
    pub aside: Vec<(String, usize)>,
    /// Files that can't be read, and why. They stay as they are.
    pub unreadable: Vec<(String, Unreadable)>,
}

impl Recovered {
    /// Places where records may be missing that nobody can name.
    pub fn holes(&self) -> usize {
        let spoilt = self.segments.iter().filter(|segment| segment.spoilt > 0).count();
        spoilt + self.aside.len() + self.unreadable.len()
    }
}

/// Reads all segments of a folder. A tail that was cut off or spoilt is put aside under another name and cut off its
/// segment; done twice, or stopped anywhere and done again, it finds the same records.
///
/// # Errors
///
/// The folder can't be listed. A single file that can't be read is told in the result.
pub fn recover(disk: &mut impl Disk) -> io::Result<Recovered> {
    let mut found = Recovered::default();
    let mut names: Vec<String> = disk.list()?.into_iter().filter(|name| is_segment(name)).collect();
    names.sort();
    for name in names {
        let Ok(bytes) = disk.read(&name) else {
            found.unreadable.push((name, Unreadable::Header));
            continue;
        };
        let (header, items) = match segment::open(&bytes) {
            Ok(opened) => opened,
            Err(why) => {
                found.unreadable.push((name, why));
                continue;
            }
        };
        let (mut records, mut spoilt, mut length) = (Vec::new(), 0, bytes.len());
        for item in items {
            match item {
                Item::Record(record, _) => records.push(record),
                Item::Spoilt(range) => spoilt += range.len(),
                Item::Tail(at) => length = at,
            }
        }
        if length < bytes.len() {
            let cut = bytes.len() - length;
            // First the copy, then the cut: whoever is stopped between them finds the tail again.
            let kept = disk.append(&format!("{name}{ASIDE}"), &bytes[length..]);
            if kept.and_then(|()| disk.truncate(&name, length)).is_ok() {
                found.aside.push((name.clone(), cut));
            } else {
                spoilt += cut;
                length = bytes.len();
            }
        }
        found.segments.push(Segment { name, length, header, records, spoilt });
    }
    found.segments.sort_by_key(|s| (s.header.wall_ms, s.header.start, s.header.number));
    Ok(found)
}
