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
/// Tells a record from a part of the log that was given back, which reads as zeros.
const CLAIMED: u64 = 1;
const RELEASED: u64 = 2;

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
    /// The kernel has no memory for them.
    pub fn append(&mut self, events: &[ClaimEvent]) -> io::Result<()> {
        for batch in events.chunks(BATCH_RECORDS) {
            let records: Vec<u8> = batch.iter().flat_map(|event| encode(*event)).collect();
            self.file.write_all(&records)?;
        }
        Ok(())
    }

    /// Calls `apply` with each event that no earlier call has read, in the order of the log.
    ///
    /// # Errors
    ///
    /// The log cannot be read.
    pub fn read_new(&mut self, now: Time, mut apply: impl FnMut(ClaimEvent)) -> io::Result<()> {
        self.skip_released_part()?;
        let mut batch = [0; BATCH_RECORDS * RECORD_BYTES];
        loop {
            let read = match self.file.read_at(&mut batch, self.read_to) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                read => read?,
            };
            let records = batch[..read].chunks_exact(RECORD_BYTES);
            let count = records.len();
            records.filter_map(decode).for_each(&mut apply);
            self.read_to += (count * RECORD_BYTES) as u64;
            if count == 0 {
                break;
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
fn decode(record: &[u8]) -> Option<ClaimEvent> {
    let mut fields =
        record.chunks_exact(8).map(|field| u64::from_be_bytes(field.try_into().unwrap_or_default()));
    let (kind, id, by) = (fields.next()?, fields.next()?, fields.next()?);
    match kind {
        CLAIMED => Some(ClaimEvent::Claimed(RequestIdHash(id), Claimant(by))),
        RELEASED => Some(ClaimEvent::Released(RequestIdHash(id), Claimant(by))),
        _ => None,
    }
}

#[cfg(test)]
#[path = "../tests/unit/claim_log.rs"]
mod tests;
