//! Reads the bytes of a client's connection, as far as there is memory for them.

use super::{RequestFraming, Stage};
use crate::downstream::head::MAX_HEAD_BYTES;
use bellcroft_agent_core::body_limits::MAX_BUFFERED_BODY_BYTES;
use bellcroft_agent_core::memory_budget::MemoryUse;
use std::future::Future;
use std::io;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::Instant;

/// The size of a read.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// The maximum number of buffered bytes after a request that has no response yet: enough for the longest request that is
/// buffered completely.
const MAX_BUFFERED_BYTES: usize = MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES;
/// The maximum number of bytes after a request that has no response yet that are left to the kernel when no memory is left to
/// buffer them. With more, the end of the stream might not arrive for want of room in the receive buffer, so they are discarded.
const MAX_UNREAD_BYTES: usize = 48 << 10;
/// How often bytes that are left to the kernel are counted.
const UNREAD_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// How much may be read of a connection.
enum ReadLimit {
    /// So many bytes, which are buffered.
    Buffer(usize),
    /// Any number of bytes, which are discarded.
    Discard,
    /// Nothing for now: the bytes belong to the next request, and there is no memory for them.
    LeaveUnread,
    /// Nothing: there is no memory for the rest of the head.
    Refuse,
}

impl RequestFraming {
    /// Reads more bytes; false at the end of the stream. Memory is allocated only once bytes are available.
    pub(super) fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        if self.eof {
            return Poll::Ready(Ok(false));
        }
        let (limit, discards) = match self.read_limit() {
            ReadLimit::Buffer(limit) => (limit, false),
            ReadLimit::Discard => (READ_CHUNK_BYTES, true),
            ReadLimit::LeaveUnread => return self.leave_unread(cx),
            ReadLimit::Refuse => {
                self.client.on_memory_exhausted();
                return Poll::Pending;
            }
        };
        let queued_bytes_age = self.queued_bytes_age();
        let mut chunk = [0; READ_CHUNK_BYTES];
        let Poll::Ready(read) = self.poll_read_arrived(cx, &mut chunk[..limit]) else {
            self.reads_queued_bytes &= !self.arrivals.has_recorded();
            self.unread_since = None;
            if let Some(presence) = self.client.presence() {
                presence.on_read_blocked();
            }
            return Poll::Pending;
        };
        let n = read?;
        if let Some(presence) = self.client.presence().filter(|_| n > 0) {
            presence.on_bytes_read();
        }
        self.client.on_bytes_read();
        if discards {
            self.discarded += n as u64;
        } else {
            self.buffered.extend(&chunk[..n]);
            self.arrivals.record(n, self.arrived_by_now(queued_bytes_age));
        }
        if matches!(self.stage, Stage::Body(_) | Stage::Chunked(_)) {
            self.client.update_body_timeout(|timeout, now| timeout.on_bytes(n, now));
        }
        self.eof = n == 0;
        Poll::Ready(Ok(n > 0))
    }

    /// Reads bytes, also such of which the runtime does not know yet.
    fn poll_read_arrived(&self, cx: &mut Context<'_>, chunk: &mut [u8]) -> Poll<io::Result<usize>> {
        let read = self.io.poll_read(cx, chunk);
        if read.is_ready() || self.io.unread_bytes() == 0 {
            return read;
        }
        match self.io.read_arrived(chunk).transpose() {
            Some(read) => Poll::Ready(read),
            None => Poll::Pending,
        }
    }

    /// Reads what has arrived behind the buffered bytes, if the request ends with them: it may show that this end is in doubt.
    pub(super) fn read_following(&mut self, cx: &mut Context<'_>, request_end: usize) {
        if self.buffered.len() <= request_end && matches!(self.read_limit(), ReadLimit::Buffer(1..)) {
            // A broken connection shows again at the next read or write.
            let _ = self.poll_fill(cx);
        }
    }

    /// How much may be read now.
    fn read_limit(&mut self) -> ReadLimit {
        if self.discarded > 0 || self.client.lingering_since().is_some() {
            return ReadLimit::Discard;
        }
        let (wanted, memory_use) = match self.stage {
            // Also the bytes behind the end are read, since they may show that the end is in doubt.
            Stage::Head | Stage::Body(_) | Stage::Chunked(_) | Stage::Closed => {
                (READ_CHUNK_BYTES, MemoryUse::Message)
            }
            Stage::Complete => (
                MAX_BUFFERED_BYTES.saturating_sub(self.buffered.len()).min(READ_CHUNK_BYTES),
                MemoryUse::ReadAhead,
            ),
        };
        if wanted > 0 && self.buffered.reserve(wanted, memory_use) {
            return ReadLimit::Buffer(wanted);
        }
        match self.stage {
            _ if self.buffered.free_bytes() > 0 => ReadLimit::Buffer(wanted.min(self.buffered.free_bytes())),
            Stage::Complete if self.io.unread_bytes() < MAX_UNREAD_BYTES => ReadLimit::LeaveUnread,
            Stage::Complete => ReadLimit::Discard,
            Stage::Head | Stage::Body(_) | Stage::Chunked(_) | Stage::Closed => ReadLimit::Refuse,
        }
    }

    /// Leaves the next request's bytes to the kernel, and has them looked at again soon.
    fn leave_unread(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        self.unread_since.get_or_insert_with(Instant::now);
        self.unread_check.as_mut().reset(Instant::now() + UNREAD_CHECK_INTERVAL);
        // A timer that has just been set is not due.
        let _ = self.unread_check.as_mut().poll(cx);
        Poll::Pending
    }

    /// How long ago the kernel received the bytes that are read next, if they may have waited there and the kernel tells.
    /// An age that they cannot have comes from a wall clock that was set meanwhile.
    fn queued_bytes_age(&self) -> Option<Duration> {
        let longest = match self.unread_since {
            Some(since) => since.elapsed(),
            None if self.reads_queued_bytes && !self.client.accept_delay().longest.is_zero() => {
                self.client.accept_delay().longest + self.client.age()
            }
            None => return None,
        };
        self.io.received_ago().filter(|age| *age <= longest)
    }

    /// The earliest time at which bytes that have just been read can have arrived.
    fn arrived_by_now(&self, queued_bytes_age: Option<Duration>) -> Instant {
        let now = Instant::now();
        if let Some(since) = self.unread_since {
            return queued_bytes_age.and_then(|age| now.checked_sub(age)).unwrap_or(since);
        }
        if !self.reads_queued_bytes {
            return now;
        }
        if let Some(age) = queued_bytes_age {
            self.client.on_accept_delay_known(age);
        }
        let age = queued_bytes_age.unwrap_or(self.client.accept_delay().assumed);
        now.checked_sub(age).unwrap_or(now)
    }
}
