//! The format of segments, and reading them after a crash or a corruption.
//!
//! A segment begins with a magic number, a version and a [`Header`]; frames follow. A frame is a marker, a length, a CRC-32C
//! (Castagnoli; RFC 3720, section 12.1) of length and payload, and the payload. After corrupt bytes, reading resumes at the
//! next marker whose frame is valid, so a corrupt length loses only its own frame.

use crate::record::{Incarnation, Record};
use serde::{Deserialize, Serialize};

/// Magic number at the start of every segment.
pub const MAGIC: [u8; 8] = *b"bcledger";
/// Format version that is written. Older versions are read, newer ones refused.
pub const VERSION: u16 = 1;
/// Limit of a payload. A record with names of the maximum length is far below it.
pub const MAX_PAYLOAD_BYTES: usize = 4 << 10;
/// Marker at the start of every frame.
const MARKER: [u8; 2] = [0xb1, 0x6c];
const LENGTH_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 4;
const FRAME_HEADER_BYTES: usize = MARKER.len() + LENGTH_BYTES + CHECKSUM_BYTES;

/// The first frame of a segment, which identifies the process that wrote it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Sequence number of the segment within the incarnation, from 0.
    pub sequence: u64,
    /// Name of the instance.
    pub instance: String,
    /// Start of the process in Unix milliseconds, the origin of every `at_us`.
    pub started_ms: u64,
}

/// Why a segment can't be read at all.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The magic number is missing.
    #[error("not a segment of an attempt log")]
    NotASegment,
    /// The segment was written by a newer program.
    #[error("format version {0} is not supported; this program reads versions up to {VERSION}")]
    UnsupportedVersion(u16),
    /// The header is truncated or corrupt.
    #[error("the header is truncated or corrupt")]
    CorruptHeader,
}

/// A record could not be encoded.
#[derive(Debug, thiserror::Error)]
#[error("a record cannot be encoded")]
pub struct EncodeError(#[from] postcard::Error);

fn append_frame(payload: &[u8], out: &mut Vec<u8>) {
    let length = (payload.len() as u32).to_le_bytes();
    out.extend(MARKER);
    out.extend(length);
    out.extend(crc32c::crc32c_append(crc32c::crc32c(&length), payload).to_le_bytes());
    out.extend(payload);
}

/// Encodes the start of a segment: magic number, version and header.
///
/// # Errors
///
/// The header cannot be encoded.
pub fn encode_header(header: &Header) -> Result<Vec<u8>, EncodeError> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend(VERSION.to_le_bytes());
    append_frame(&postcard::to_stdvec(header)?, &mut bytes);
    Ok(bytes)
}

/// Appends the frame of a record.
///
/// # Errors
///
/// The record cannot be encoded; nothing is appended then.
pub fn append_record(record: &Record, out: &mut Vec<u8>) -> Result<(), EncodeError> {
    let payload = postcard::to_stdvec(&record.clone().truncated())?;
    append_frame(&payload, out);
    Ok(())
}

/// Returns the payload of the frame at the start of these bytes, if the frame is complete and valid.
fn frame_payload(bytes: &[u8]) -> Option<&[u8]> {
    let header = bytes.get(..FRAME_HEADER_BYTES)?;
    let (marker, rest) = header.split_at(MARKER.len());
    let (length, checksum) = rest.split_at(LENGTH_BYTES);
    if marker != MARKER {
        return None;
    }
    let payload_bytes = u32::from_le_bytes(length.try_into().ok()?) as usize;
    if payload_bytes > MAX_PAYLOAD_BYTES {
        return None;
    }
    let payload = bytes.get(FRAME_HEADER_BYTES..FRAME_HEADER_BYTES + payload_bytes)?;
    let expected = u32::from_le_bytes(checksum.try_into().ok()?);
    let actual = crc32c::crc32c_append(crc32c::crc32c(length), payload);
    (actual == expected).then_some(payload)
}

/// A part of a segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Item {
    /// A record, and the offset of the end of its frame.
    Record(Record, usize),
    /// Corrupt bytes before a valid frame.
    Corrupt(std::ops::Range<usize>),
    /// Offset after which there is no valid frame, because the segment is truncated or corrupt up to its end.
    Tail(usize),
}

/// Reads a segment's header, and returns an iterator over the rest.
///
/// # Errors
///
/// The segment can't be read at all.
pub fn open(bytes: &[u8]) -> Result<(Header, Items<'_>), ReadError> {
    let magic = bytes.get(..MAGIC.len()).ok_or(ReadError::NotASegment)?;
    if magic != MAGIC {
        return Err(ReadError::NotASegment);
    }
    let frames_at = MAGIC.len() + size_of::<u16>();
    let version = bytes.get(MAGIC.len()..frames_at).and_then(|b| b.try_into().ok()).map(u16::from_le_bytes);
    let version = version.ok_or(ReadError::CorruptHeader)?;
    if version > VERSION {
        return Err(ReadError::UnsupportedVersion(version));
    }
    let payload = frame_payload(&bytes[frames_at..]).ok_or(ReadError::CorruptHeader)?;
    let header = postcard::from_bytes(payload).map_err(|_| ReadError::CorruptHeader)?;
    Ok((header, Items { bytes, offset: frames_at + FRAME_HEADER_BYTES + payload.len() }))
}

/// Iterator over the items of a segment.
#[derive(Debug, Clone)]
pub struct Items<'a> {
    bytes: &'a [u8],
    offset: usize,
}

impl Items<'_> {
    /// Returns the record whose frame begins at this offset, and the length of the frame. A payload with trailing bytes is
    /// corrupt.
    fn record_at(&self, offset: usize) -> Option<(Record, usize)> {
        let payload = frame_payload(&self.bytes[offset..])?;
        let (record, rest) = postcard::take_from_bytes::<Record>(payload).ok()?;
        rest.is_empty().then_some((record, FRAME_HEADER_BYTES + payload.len()))
    }
}

impl Iterator for Items<'_> {
    type Item = Item;

    fn next(&mut self) -> Option<Item> {
        if self.offset >= self.bytes.len() {
            return None;
        }
        if let Some((record, length)) = self.record_at(self.offset) {
            self.offset += length;
            return Some(Item::Record(record, self.offset));
        }
        let from = self.offset;
        let mut candidates = (from + 1..self.bytes.len()).filter(|at| self.bytes[*at] == MARKER[0]);
        match candidates.find(|at| self.record_at(*at).is_some()) {
            Some(next) => {
                self.offset = next;
                Some(Item::Corrupt(from..next))
            }
            None => {
                self.offset = self.bytes.len();
                Some(Item::Tail(from))
            }
        }
    }
}
