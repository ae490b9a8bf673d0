//! Finds the beginning and the end of each request on a client's connection before hyper reads it.
//!
//! hyper ignores a `Content-Length` beside a `Transfer-Encoding`, and accepts repeated equal lengths, so its requests
//! no longer show that a server might interpret the message differently. It also reads ahead, so that an idle
//! connection cannot be distinguished from one on which a request is arriving. [`RequestFraming`] passes one complete
//! head to hyper, then as many bytes as the body has, and nothing after them until the request has its response.

use super::arrival::ArrivalTimes;
use super::connection::{ClientConnection, RequestRejection};
use super::head::{parse_framing, HeadFraming};
use super::receive_buffer::ReceiveBuffer;
use super::sound_request::{may_begin_request, UnsoundRequest};
use crate::memory::Memory;
use bellcroft_agent_core::body_limits::{ProgressTimeout, MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES};
use bellcroft_agent_core::chunks::{ChunkedBodyScanner, InvalidChunkedBody};
use bellcroft_agent_core::guard::ConnectionState;
use bellcroft_agent_core::memory_budget::MemoryUse;
use bellcroft_net::Stream;
use hyper::rt::{Read, ReadBufCursor, Write};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant, Sleep};

/// The maximum length of a request's head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// The size of a read.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// The maximum number of buffered bytes after a request that has no response yet: enough for the longest request that is
/// buffered completely.
const MAX_BUFFERED_BYTES: usize = MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES;
/// The maximum number of discarded bytes on a connection; the connection is no longer read after that.
const MAX_DISCARDED_BYTES: u64 = MAX_BODY_BYTES;
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

/// The position in the current request.
enum Stage {
    /// In the head.
    Head,
    /// In a body of known length: the number of bytes that are still to come.
    Body(u64),
    /// In a chunked body.
    Chunked(ChunkedBodyScanner),
    /// After the end of the request: following bytes belong to the next request, or the stream ends.
    Complete,
    /// After the end of the last request: all following bytes are ignored.
    Closed,
}

/// A client's connection as hyper reads it: request by request.
pub struct RequestFraming {
    io: Rc<Stream<TcpStream>>,
    client: Rc<ClientConnection>,
    stage: Stage,
    /// Bytes that have been read from the socket and not been passed to hyper.
    buffered: ReceiveBuffer,
    /// Rechecks the bytes that were left unread behind a request without a response.
    unread_check: Pin<Box<Sleep>>,
    /// The time since which bytes of the next request have been left unread; none if none were.
    unread_since: Option<Instant>,
    /// The number of bytes at the beginning of `buffered` that hyper may read.
    readable: usize,
    /// The length of `buffered` when an incomplete head was parsed; it is not parsed again before more bytes have been read.
    parsed_len: usize,
    /// Whether the end of the stream has been read.
    eof: bool,
    /// The number of bytes after `buffered` that were discarded. Once it is not 0, the stream ends for hyper after
    /// `buffered`.
    discarded: u64,
    /// The number of bytes that have been passed to hyper.
    passed: u64,
    /// The arrival times of the bytes in `buffered`.
    arrivals: ArrivalTimes,
    /// Whether there are bytes that can have arrived before the connection was accepted: until a read that waits follows one
    /// that did not.
    reads_queued_bytes: bool,
}

impl RequestFraming {
    /// Wraps a connection.
    pub fn new(stream: Rc<Stream<TcpStream>>, client: Rc<ClientConnection>, memory: &Memory) -> Self {
        RequestFraming {
            io: stream,
            client,
            stage: Stage::Head,
            buffered: ReceiveBuffer::new(memory),
            unread_check: Box::pin(sleep(Duration::ZERO)),
            unread_since: None,
            readable: 0,
            parsed_len: 0,
            eof: false,
            discarded: 0,
            passed: 0,
            arrivals: ArrivalTimes::default(),
            reads_queued_bytes: true,
        }
    }

    /// Reads more bytes; false at the end of the stream. Memory is allocated only once bytes are available.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
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
    fn read_following(&mut self, cx: &mut Context<'_>, request_end: usize) {
        if self.buffered.len() <= request_end && matches!(self.read_limit(), ReadLimit::Buffer(1..)) {
            // A broken connection shows again at the next read or write.
            let _ = self.poll_fill(cx);
        }
    }

    /// Rejects the complete request if bytes behind it, which came later, begin no request, and its response has not begun.
    fn check_following(&mut self) {
        let is_open = matches!(self.stage, Stage::Complete) && !self.client.has_response();
        if is_open && !may_begin_request(&self.buffered) {
            self.stage = Stage::Closed;
            self.client.reject_request(RequestRejection::Unsound(UnsoundRequest::FollowingBytes));
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

    /// Handles the last byte of the current request, which is the last one that hyper may read.
    fn complete_request(&mut self) {
        self.stage = Stage::Complete;
        let end = self.passed + self.readable as u64;
        self.client.on_last_byte(self.arrivals.arrived_at(end).unwrap_or_else(Instant::now));
    }

    /// Parses the buffered part of a head; true if hyper may read any of it.
    fn parse_head(&mut self, cx: &mut Context<'_>) -> bool {
        if self.buffered.is_empty() {
            return false;
        }
        self.client.set_state(ConnectionState::ReceivingHead);
        if self.buffered.len() == self.parsed_len {
            return false;
        }
        self.parsed_len = self.buffered.len();
        match parse_framing(&self.buffered) {
            HeadFraming::Partial if self.buffered.len() < MAX_HEAD_BYTES => return false,
            // hyper responds to an invalid or too long head itself, and closes the connection.
            HeadFraming::Partial | HeadFraming::Unreadable => {
                self.client.on_unreadable_head();
                (self.readable, self.stage) = (self.buffered.len(), Stage::Closed);
            }
            HeadFraming::Malformed(head) => self.reject_unsound(head, UnsoundRequest::Head),
            HeadFraming::Ambiguous(head) => self.reject_unsound(head, UnsoundRequest::AmbiguousLength),
            HeadFraming::Sized(head, _) | HeadFraming::Chunked(head) if !self.buffered.reserve_head(head) => {
                self.reject_request(head, RequestRejection::OutOfMemory);
            }
            HeadFraming::Sized(head, 0) => self.complete_head_without_body(cx, head),
            HeadFraming::Sized(head, body) => {
                self.client.start_body();
                (self.readable, self.stage) = (head, Stage::Body(body));
            }
            HeadFraming::Chunked(head) => {
                self.client.start_body();
                (self.readable, self.stage) = (head, Stage::Chunked(ChunkedBodyScanner::default()));
            }
        }
        true
    }

    /// Handles a head that is the whole request.
    fn complete_head_without_body(&mut self, cx: &mut Context<'_>, head: usize) {
        self.read_following(cx, head);
        if may_begin_request(&self.buffered[head..]) {
            self.readable = head;
            self.complete_request();
        } else {
            self.reject_unsound(head, UnsoundRequest::FollowingBytes);
        }
    }

    fn reject_unsound(&mut self, head: usize, unsound: UnsoundRequest) {
        self.reject_request(head, RequestRejection::Unsound(unsound));
    }

    /// Handles a body that ends with the readable bytes. If the bytes behind it begin no request, hyper does not get its end, so that
    /// no server gets the request whole.
    fn complete_body(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        self.read_following(cx, self.readable);
        if may_begin_request(&self.buffered[self.readable..]) {
            self.complete_request();
            return Ok(());
        }
        self.stage = Stage::Closed;
        self.readable = 0;
        self.client.reject_request(RequestRejection::Unsound(UnsoundRequest::FollowingBytes));
        Err(io::ErrorKind::InvalidData.into())
    }

    /// Passes the head of a request to hyper that gets an error as its response; nothing after the head is read.
    fn reject_request(&mut self, head: usize, rejection: RequestRejection) {
        self.client.reject_request(rejection);
        (self.readable, self.stage) = (head, Stage::Closed);
    }

    /// Called when the request has its response. The next request may be read, unless the body of this one has not been
    /// read to its end.
    fn start_next_request(&mut self) {
        self.stage = match self.stage {
            Stage::Complete | Stage::Head => Stage::Head,
            Stage::Body(_) | Stage::Chunked(_) | Stage::Closed => Stage::Closed,
        };
        self.parsed_len = 0;
        self.buffered.release_head();
    }

    /// Records whether the kernel accepted any bytes of a write.
    fn record_write(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.client.on_write(result.is_ready());
        result
    }

    /// Reads and discards the rest of a request that already has its response, until the client closes its side. If the socket
    /// were closed with unread bytes, the kernel would reset the connection, and the client could lose the response.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.client.start_lingering();
        while self.discarded < MAX_DISCARDED_BYTES {
            self.buffered.clear();
            match ready!(self.poll_fill(cx)) {
                Ok(true) => {}
                // The client has sent all bytes, or has disconnected.
                Ok(false) | Err(_) => break,
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl Read for RequestFraming {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.client.response_written.take() {
            this.start_next_request();
        }
        loop {
            if this.readable > 0 {
                let n = this.readable.min(buf.remaining());
                buf.put_slice(&this.buffered[..n]);
                this.buffered.advance(n);
                this.readable -= n;
                this.passed += n as u64;
                this.arrivals.forget_before(this.passed);
                return Poll::Ready(Ok(()));
            }
            match this.stage {
                Stage::Head => {
                    if this.parse_head(cx) {
                        continue;
                    }
                    // The bytes after the buffered ones have been discarded, so an incomplete head stays incomplete.
                    if this.discarded > 0 {
                        return Poll::Ready(Ok(()));
                    }
                }
                Stage::Body(left) if !this.buffered.is_empty() => {
                    this.readable = left.min(this.buffered.len() as u64) as usize;
                    this.stage = Stage::Body(left - this.readable as u64);
                    if left == this.readable as u64 {
                        this.complete_body(cx)?;
                    }
                    continue;
                }
                Stage::Chunked(mut chunks) if !this.buffered.is_empty() => {
                    match chunks.advance(&this.buffered) {
                        Ok(n) => {
                            this.readable = n;
                            this.stage = Stage::Chunked(chunks);
                            if chunks.is_complete() {
                                this.complete_body(cx)?;
                            }
                        }
                        // hyper might interpret the bytes differently, so it does not get them.
                        Err(InvalidChunkedBody) => {
                            this.stage = Stage::Closed;
                            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
                        }
                    }
                    continue;
                }
                Stage::Closed => return Poll::Pending,
                Stage::Body(_) | Stage::Chunked(_) if this.discarded > 0 => {
                    return Poll::Ready(Ok(()));
                }
                // Only a disconnect still matters, and `client_disconnected` detects that at the socket.
                Stage::Complete if this.discarded >= MAX_DISCARDED_BYTES => {
                    this.client.on_reader_waits(cx.waker());
                    return Poll::Pending;
                }
                Stage::Body(_) | Stage::Chunked(_) | Stage::Complete => {}
            }
            match this.poll_fill(cx) {
                Poll::Ready(Ok(true)) => this.check_following(),
                Poll::Ready(Ok(false)) => return Poll::Ready(Ok(())),
                Poll::Ready(Err(e)) => return Poll::Ready(Err(e)),
                Poll::Pending => {
                    if matches!(this.stage, Stage::Body(_) | Stage::Chunked(_)) {
                        this.client.update_body_timeout(ProgressTimeout::on_wait);
                    }
                    this.client.on_reader_waits(cx.waker());
                    return Poll::Pending;
                }
            }
        }
    }
}

impl Write for RequestFraming {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.record_write(self.io.poll_write(cx, buf))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes only when it has written all its bytes, and none are buffered here.
        self.client.on_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.client.lingering_since().is_none() {
            self.io.shutdown_write()?;
        }
        match self.stage {
            _ if self.discarded > 0 => self.poll_linger(cx),
            Stage::Body(_) | Stage::Chunked(_) | Stage::Closed => self.poll_linger(cx),
            Stage::Head | Stage::Complete => Poll::Ready(Ok(())),
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.record_write(self.io.poll_write_vectored(cx, bufs))
    }
}
