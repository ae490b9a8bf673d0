//! Segments: the bytes of a file, and how they are read back whatever happened to them.
//!
//! A segment begins with [`Header`]; frames follow. A frame is a marker, a length, a CRC-32C (Castagnoli; RFC 3720, section
//! 12.1) of length and payload, and the payload. After a spoilt place reading goes on at the next marker whose frame
//! holds: a wrong length can hide no more than itself.

use crate::record::{Record, Start};
use serde::{Deserialize, Serialize};

/// The first bytes of every segment.
pub const MAGIC: [u8; 8] = *b"bcledger";
/// The form that is written; older ones are read, newer ones refused.
pub const VERSION: u16 = 1;
/// The first bytes of every frame.
const MARKER: [u8; 2] = [0xb1, 0x6c];
/// Marker, length, checksum.
const FRAME_HEAD: usize = 2 + 4 + 4;
/// The longest payload: a record with all its names at their longest is well below.
pub const PAYLOAD_MOST: usize = 4 << 10;

/// Whose a segment is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The process's life.
    pub start: Start,
    /// Its place among the start's segments, counted from 0.
    pub number: u64,
    /// The instance's name.
    pub instance: String,
    /// When the start began, in Unix milliseconds: what `at_us` counts from.
    pub wall_ms: u64,
}

/// Why a segment can't be read at all.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Unreadable {
    /// It is no segment.
    NoSegment,
    /// It is of a newer form.
    Newer(u16),
    /// Its header is cut off or spoilt.
    Header,
}

impl std::fmt::Display for Unreadable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Unreadable::NoSegment => f.write_str("it is no segment of a ledger"),
            Unreadable::Newer(version) => {
                write!(f, "it is of form {version}; this program reads up to {VERSION}")
            }
            Unreadable::Header => f.write_str("its header is cut off or spoilt"),
        }
    }
}

impl std::error::Error for Unreadable {}

fn frame(payload: &[u8], out: &mut Vec<u8>) {
    let length = (payload.len() as u32).to_le_bytes();
    out.extend(MARKER);
    out.extend(length);
    out.extend(crc32c::crc32c_append(crc32c::crc32c(&length), payload).to_le_bytes());
    out.extend(payload);
}

/// A segment's first bytes.
pub fn begin(header: &Header) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend(VERSION.to_le_bytes());
    // Plain data in a growing vector: it cannot fail.
    frame(&postcard::to_stdvec(header).unwrap_or_default(), &mut bytes);
    bytes
}

/// Appends a record's frame.
pub fn put(record: &Record, out: &mut Vec<u8>) {
    frame(&postcard::to_stdvec(&record.clone().bounded()).unwrap_or_default(), out);
}

/// The frame at the begin of these bytes, if there is a whole one: its payload.
fn frame_at(bytes: &[u8]) -> Option<&[u8]> {
    let head = bytes.get(..FRAME_HEAD)?;
    if head[..2] != MARKER {
        return None;
    }
    let word = |at: usize| head.get(at..at + 4).and_then(|b| b.try_into().ok()).map(u32::from_le_bytes);
    let length = word(2)? as usize;
    if length > PAYLOAD_MOST {
        return None;
    }
    let payload = bytes.get(FRAME_HEAD..FRAME_HEAD + length)?;
    let sum = crc32c::crc32c_append(crc32c::crc32c(&head[2..6]), payload);
    (sum == word(6)?).then_some(payload)
}

/// What stands in a segment, place by place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Item {
    /// A record, and where its frame ends.
    Record(Record, usize),
    /// Bytes that are no frame; whole frames stand behind them.
    Spoilt(std::ops::Range<usize>),
    /// The rest is no frame: it was cut off, or spoilt to its end.
    Tail(usize),
}

/// Reads a segment's header.
///
/// # Errors
///
/// It can't be read.
pub fn open(bytes: &[u8]) -> Result<(Header, Items<'_>), Unreadable> {
    let magic = bytes.get(..MAGIC.len()).ok_or(Unreadable::NoSegment)?;
    if magic != MAGIC {
        return Err(Unreadable::NoSegment);
    }
    let at = MAGIC.len() + 2;
    let version = bytes.get(MAGIC.len()..at).and_then(|b| b.try_into().ok()).map(u16::from_le_bytes);
    let version = version.ok_or(Unreadable::Header)?;
    if version > VERSION {
        return Err(Unreadable::Newer(version));
    }
    let payload = frame_at(&bytes[at..]).ok_or(Unreadable::Header)?;
    let header = postcard::from_bytes(payload).map_err(|_| Unreadable::Header)?;
    Ok((header, Items { bytes, at: at + FRAME_HEAD + payload.len() }))
}

/// The items of a segment, in their order.
#[derive(Debug, Clone)]
pub struct Items<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Items<'_> {
    /// The record whose frame begins here, and its frame's length. Bytes that a record leaves over are no record's.
    fn record_at(&self, at: usize) -> Option<(Record, usize)> {
        let payload = frame_at(&self.bytes[at..])?;
        let (record, rest) = postcard::take_from_bytes::<Record>(payload).ok()?;
        rest.is_empty().then_some((record, FRAME_HEAD + payload.len()))
    }
}

impl Iterator for Items<'_> {
    type Item = Item;

    fn next(&mut self) -> Option<Item> {
        if self.at >= self.bytes.len() {
            return None;
        }
        if let Some((record, length)) = self.record_at(self.at) {
            self.at += length;
            return Some(Item::Record(record, self.at));
        }
        let from = self.at;
        let marks = (from + 1..self.bytes.len()).filter(|at| self.bytes[*at] == MARKER[0]);
        match marks.into_iter().find(|at| self.record_at(*at).is_some()) {
            Some(next) => {
                self.at = next;
                Some(Item::Spoilt(from..next))
            }
            None => {
                self.at = self.bytes.len();
                Some(Item::Tail(from))
            }
        }
    }
}
