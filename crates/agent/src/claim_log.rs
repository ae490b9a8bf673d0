//! A log of the claims of all processes of an upgrade to the ids of requests.
//!
//! The log is a file in memory (memfd_create(2)) whose descriptor each process passes on to its successor. Each record is one
//! write to the end of the file (`O_APPEND`), so that the kernel puts the records of all processes into one order: of two claims to an
//! id, the one that stands first in the log holds, and each process sees the same one. A record that has been written outlives the
//! process that wrote it, and no process waits for another.

use bellcroft_agent_core::request_claims::{ClaimEvent, Claimant, RequestIdHash, RETENTION};
use bellcroft_balancer::Time;
use rustix::fs::{FallocateFlags, MemfdFlags, OFlags, SeekFrom};
use std::fs::File;
use std::io::{self, Write};
use std::os::fd::OwnedFd;
use std::os::unix::fs::FileExt;

/// The length of a record. It divides the size of a page, so that the kernel shows no part of a record.
const RECORD_BYTES: usize = 32;
/// The number of records that are read or written at a time.
const BATCH_RECORDS: usize = 512;
/// The length of the part of the log that is given back to the kernel at a time, once its claims have expired.
const RELEASED_BYTES: u64 = 1 << 20;
/// The first field of a record. A part of the log that was given back reads as zeros; anything else is not at the beginning of a record.
const CLAIMED: u64 = u64::from_be_bytes(*b"claimed:");
const RELEASED: u64 = u64::from_be_bytes(*b"released");
const GIVEN_BACK: u64 = 0;

/// The log, as one process reads and writes it.
#[derive(Debug)]
pub struct ClaimLog {
    file: File,
    /// How far the log has been read.
    read_to: u64,
    /// Up to where the log had been read at a time; what stands before is given back once its claims have expired.
    checkpoint: (Time, u64),
}

impl ClaimLog {
    /// An empty log.
    ///
    /// # Errors
    ///
    /// The kernel has no memory or no descriptor for it.
    pub fn create(now: Time) -> io::Result<Self> {
        let file = rustix::fs::memfd_create("bellcroft-claims", MemfdFlags::CLOEXEC)?;
        rustix::fs::fcntl_setfl(&file, OFlags::APPEND)?;
        Ok(ClaimLog::join(file, now))
    }

    /// The log that another process has passed on.
    pub fn join(log: OwnedFd, now: Time) -> Self {
        ClaimLog { file: File::from(log), read_to: 0, checkpoint: (now, 0) }
    }

    /// A descriptor of the log for another process.
    ///
    /// # Errors
    ///
    /// No descriptor is left.
    pub fn share(&self) -> io::Result<OwnedFd> {
        Ok(self.file.try_clone()?.into())
    }

    /// Appends events.
    ///
    /// # Errors
    ///
    /// The kernel has no memory for them. A record that it has written in part makes the log unreadable.
    pub fn append(&mut self, events: &[ClaimEvent]) -> io::Result<()> {
        for batch in events.chunks(BATCH_RECORDS) {
            let records: Vec<u8> = batch.iter().flat_map(|event| encode(*event)).collect();
            self.write_records(&records)?;
        }
        Ok(())
    }

    fn write_records(&mut self, mut records: &[u8]) -> io::Result<()> {
        while !records.is_empty() {
            match self.file.write(records) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Ok(written) if written == 0 || written % RECORD_BYTES != 0 => {
                    return Err(io::ErrorKind::WriteZero.into());
                }
                written => records = &records[written?..],
            }
        }
        Ok(())
    }

    /// Calls `apply` with each event that no earlier call has read, in the order of the log.
    ///
    /// # Errors
    ///
    /// The log cannot be read, or a record was written in part.
    pub fn read_new(&mut self, now: Time, mut apply: impl FnMut(ClaimEvent)) -> io::Result<()> {
        self.skip_released_part()?;
        let mut batch = [0; BATCH_RECORDS * RECORD_BYTES];
        loop {
            let read = match self.file.read_at(&mut batch, self.read_to) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                read => read?,
            };
            if read < RECORD_BYTES {
                break;
            }
            for record in batch[..read].chunks_exact(RECORD_BYTES) {
                decode(record)?.into_iter().for_each(&mut apply);
                self.read_to += RECORD_BYTES as u64;
            }
        }
        self.release_expired_part(now);
        Ok(())
    }

    /// A process that joins late does not read what has been given back.
    fn skip_released_part(&mut self) -> io::Result<()> {
        if self.read_to > 0 {
            return Ok(());
        }
        match rustix::fs::seek(&self.file, SeekFrom::Data(0)) {
            Ok(begin) => self.read_to = begin - begin % RECORD_BYTES as u64,
            // There are no data.
            Err(rustix::io::Errno::NXIO) => {}
            Err(error) => return Err(error.into()),
        }
        Ok(())
    }

    /// Gives the memory of records back whose claims every process has forgotten.
    fn release_expired_part(&mut self, now: Time) {
        let (at, end) = self.checkpoint;
        if self.read_to < end + RELEASED_BYTES || now < at + RETENTION * 2.0 {
            return;
        }
        let flags = FallocateFlags::PUNCH_HOLE | FallocateFlags::KEEP_SIZE;
        if end > 0 {
            // Without it the log is longer than it needs to be.
            let _ = rustix::fs::fallocate(&self.file, flags, 0, end);
        }
        self.checkpoint = (now, self.read_to);
    }
}

fn encode(event: ClaimEvent) -> [u8; RECORD_BYTES] {
    let (kind, RequestIdHash(id), Claimant(by)) = match event {
        ClaimEvent::Claimed(id, by) => (CLAIMED, id, by),
        ClaimEvent::Released(id, by) => (RELEASED, id, by),
    };
    let mut record = [0; RECORD_BYTES];
    for (field, value) in record.chunks_exact_mut(8).zip([kind, id, by]) {
        field.copy_from_slice(&value.to_be_bytes());
    }
    record
}

/// The event of a record; none for one that has been given back.
fn decode(record: &[u8]) -> io::Result<Option<ClaimEvent>> {
    let mut fields = [0; 3];
    for (field, bytes) in fields.iter_mut().zip(record.chunks_exact(8)) {
        *field = u64::from_be_bytes(bytes.try_into().unwrap_or_default());
    }
    let [kind, id, by] = fields;
    let (id, by) = (RequestIdHash(id), Claimant(by));
    match kind {
        CLAIMED => Ok(Some(ClaimEvent::Claimed(id, by))),
        RELEASED => Ok(Some(ClaimEvent::Released(id, by))),
        GIVEN_BACK => Ok(None),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

#[cfg(test)]
#[path = "../tests/unit/claim_log.rs"]
mod tests;
