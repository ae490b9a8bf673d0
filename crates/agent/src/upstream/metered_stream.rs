//! A stream that counts its bytes, so that it is known whether a broken attempt may have been executed, and that can be
//! stopped from writing.

use crate::telemetry::FirstByteReport;
use bellcroft_agent_core::guard::AttemptWindow;
use bellcroft_net::Stream;
use hyper::rt::{Read, ReadBufCursor, Write};
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The size of a read.
const READ_CHUNK_BYTES: usize = 16 << 10;

/// The state that a connection's task shares with the user of the connection: the number of written bytes, the number of bytes
/// that may still be read, and the permission to write.
pub struct StreamProgress {
    /// The number of bytes that the kernel has accepted.
    pub written: Cell<u64>,
    /// The number of bytes that may still be read.
    pub read_budget: Cell<u64>,
    /// Whether nothing more may be written.
    pub writes_stopped: Cell<bool>,
    /// The count of written bytes at the start of an attempt, and the window in which its first byte may be written.
    pub start_window: Cell<Option<(u64, AttemptWindow<Instant>)>>,
    /// Notified when the next byte is written.
    pub first_byte: Cell<Option<FirstByteReport>>,
    /// The count of written bytes at the end of an attempt; `u64::MAX` while none is being written, or its end is unknown.
    pub request_end: Cell<u64>,
    /// The number of attempts that were written completely, over all connections.
    written_attempts: Rc<Cell<u64>>,
}

impl StreamProgress {
    /// The state of a connection over which nothing has been written.
    pub fn new(written_attempts: Rc<Cell<u64>>) -> Self {
        StreamProgress {
            written: Cell::new(0),
            read_budget: Cell::new(0),
            writes_stopped: Cell::new(false),
            start_window: Cell::new(None),
            first_byte: Cell::new(None),
            request_end: Cell::new(u64::MAX),
            written_attempts,
        }
    }

    fn record_write(&self, count: usize) -> usize {
        self.written.set(self.written.get() + count as u64);
        if let Some(first_byte) = self.first_byte.take().filter(|_| count > 0) {
            first_byte.on_written();
        }
        if self.written.get() >= self.request_end.get() {
            self.request_end.set(u64::MAX);
            self.written_attempts.set(self.written_attempts.get() + 1);
        }
        count
    }

    /// Fails if nothing may be written: the attempt is cancelled, or its latest start has passed. Bytes that hyper has queued
    /// already are not written either.
    fn check_write_allowed(&self) -> io::Result<()> {
        // The start window is checked at the write itself, since connecting may have taken long, or this task may have run late.
        let is_late = |(start, window): (u64, AttemptWindow<Instant>)| {
            self.written.get() == start && !window.may_start(Instant::now())
        };
        if self.writes_stopped.get() || self.start_window.get().is_some_and(is_late) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }
}

/// A stream that updates its [`StreamProgress`].
pub struct MeteredStream {
    io: Stream<TcpStream>,
    progress: Rc<StreamProgress>,
}

impl MeteredStream {
    /// Wraps a connected stream.
    pub fn new(io: Stream<TcpStream>, progress: Rc<StreamProgress>) -> Self {
        MeteredStream { io, progress }
    }
}

impl Read for MeteredStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let size = chunk.len().min(buf.remaining());
        let count = ready!(self.io.poll_read(cx, &mut chunk[..size]))?;
        let budget = self.progress.read_budget.get().checked_sub(count as u64);
        self.progress.read_budget.set(budget.ok_or(io::ErrorKind::InvalidData)?);
        buf.put_slice(&chunk[..count]);
        Poll::Ready(Ok(()))
    }
}

impl Write for MeteredStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.progress.check_write_allowed()?;
        let count = ready!(self.io.poll_write(cx, buf))?;
        Poll::Ready(Ok(self.progress.record_write(count)))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.io.shutdown_write())
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.progress.check_write_allowed()?;
        let count = ready!(self.io.poll_write_vectored(cx, bufs))?;
        Poll::Ready(Ok(self.progress.record_write(count)))
    }
}
