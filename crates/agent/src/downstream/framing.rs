//! Finds the beginning and the end of each request on a client's connection before hyper reads it.
//!
//! hyper ignores a `Content-Length` beside a `Transfer-Encoding`, and accepts repeated equal lengths, so its requests
//! no longer show that a server might interpret the message differently. It also reads ahead, so that an idle
//! connection cannot be distinguished from one on which a request is arriving. [`RequestFraming`] passes one complete
//! head to hyper, then as many bytes as the body has, and nothing after them until the request has its response.

mod reading;
mod writing;

use super::arrival::ArrivalTimes;
use super::connection::{ClientConnection, RequestRejection};
use super::following::{CheckHead, FollowingRequests};
use super::head::{parse_framing, HeadFraming};
use super::receive_buffer::ReceiveBuffer;
use crate::memory::Memory;
use crate::sound_request::{UnsoundFinding, UnsoundRequest};
use bellcroft_agent_core::body_limits::{ProgressTimeout, MAX_BODY_BYTES};
use bellcroft_agent_core::chunks::{ChunkedBodyScanner, InvalidChunkedBody};
use bellcroft_agent_core::guard::ConnectionState;
use bellcroft_net::Stream;
use hyper::rt::{Read, ReadBufCursor};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant, Sleep};

/// The maximum number of discarded bytes on a connection; the connection is no longer read after that.
const MAX_DISCARDED_BYTES: u64 = MAX_BODY_BYTES;

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
    /// What stands behind the current request.
    following: FollowingRequests,
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
    /// Wraps a connection; `checks` judge the requests behind an open one.
    pub fn new(
        stream: Rc<Stream<TcpStream>>,
        client: Rc<ClientConnection>,
        checks: Rc<dyn CheckHead>,
        memory: &Memory,
    ) -> Self {
        RequestFraming {
            io: stream,
            client,
            stage: Stage::Head,
            buffered: ReceiveBuffer::new(memory),
            unread_check: Box::pin(sleep(Duration::ZERO)),
            unread_since: None,
            readable: 0,
            parsed_len: 0,
            following: FollowingRequests::new(checks),
            eof: false,
            discarded: 0,
            passed: 0,
            arrivals: ArrivalTimes::default(),
            reads_queued_bytes: true,
        }
    }

    /// Rejects the complete request if bytes behind it, which came later, are not sound, and its response has not begun.
    fn check_following(&mut self) {
        let is_open = matches!(self.stage, Stage::Complete) && !self.client.has_response();
        if !is_open {
            return;
        }
        self.client.set_following_bytes(self.buffered.len() as u64 + self.discarded);
        if let Err(rule) = self.judge_following(0) {
            self.reject_following(rule);
        }
    }

    /// Rejects the current request for what stands behind it; the bytes that follow are ignored.
    fn reject_following(&mut self, rule: UnsoundRequest) {
        self.stage = Stage::Closed;
        self.client.reject_request(RequestRejection::Unsound(UnsoundFinding::following(rule)));
    }

    /// Judges the buffered bytes behind the current request, which ends after so many of them.
    fn judge_following(&mut self, request_end: usize) -> Result<(), UnsoundRequest> {
        self.following.judge(self.passed + request_end as u64, &self.buffered[request_end..])
    }

    /// Handles the last byte of the current request, which is the last one that hyper may read.
    fn complete_request(&mut self) {
        self.stage = Stage::Complete;
        let end = self.passed + self.readable as u64;
        self.client.set_following_bytes((self.buffered.len() - self.readable) as u64);
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
        let framing = parse_framing(&self.buffered);
        if let HeadFraming::Sized(head, _) | HeadFraming::Chunked(head) = framing {
            self.following.on_request(self.passed, &self.buffered[..head]);
        }
        match framing {
            HeadFraming::Partial => return false,
            // hyper responds to an invalid or too long head itself, and closes the connection.
            HeadFraming::Unreadable => {
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
        match self.judge_following(head) {
            Ok(()) => {
                self.readable = head;
                self.complete_request();
            }
            Err(rule) => self.reject_unsound(head, UnsoundFinding::following(rule)),
        }
    }

    fn reject_unsound(&mut self, head: usize, unsound: impl Into<UnsoundFinding>) {
        self.reject_request(head, RequestRejection::Unsound(unsound.into()));
    }

    /// Handles a body that ends with the readable bytes. If the bytes behind it are not sound, hyper does not get its end, so that
    /// no server gets the request whole.
    fn complete_body(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        self.read_following(cx, self.readable);
        let Err(rule) = self.judge_following(self.readable) else {
            self.complete_request();
            return Ok(());
        };
        self.readable = 0;
        self.reject_following(rule);
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
        self.client.set_following_bytes(0);
        self.buffered.release_head();
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
