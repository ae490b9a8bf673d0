//! Where each request of a client's connection begins and ends, seen before hyper sees it.
//!
//! hyper drops a `Content-Length` that stands beside a `Transfer-Encoding` and takes equal lengths for one, so
//! what it hands on no longer shows that a peer might read the message otherwise. It also reads ahead, so that
//! an idle connection and one with a request on its way look alike. This wrapper passes on one whole head,
//! then the bytes that its length gives and nothing behind them until the request has its answer.

use super::connection::ClientConnection;
use super::head::{frame, Frame};
use bellcroft_agent_core::body_limits::{ProgressTimeout, MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES};
use bellcroft_agent_core::chunks::{ChunkedBodyScanner, InvalidChunkedBody};
use bellcroft_agent_core::guard::ConnectionState;
use bellcroft_net::Stream;
use bytes::{Buf, BytesMut};
use hyper::rt::{Read, ReadBufCursor, Write};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The longest head of a request.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// Read at a time.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// What is kept of what comes behind a request that waits: the longest one that is taken whole. More is read and dropped,
/// for a client that leaves says so behind all that it has sent, and its kernel can't deliver that word while ours takes
/// nothing.
const MAX_AHEAD_BYTES: usize = MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES;
/// So much is dropped at the most; whoever sends on is no longer read.
const MAX_DROPPED_BYTES: u64 = MAX_BODY_BYTES;

/// How far the present request has been read.
enum Stage {
    /// Its head is coming.
    Head,
    /// This much of its body is yet to be passed on.
    Body(u64),
    /// Its body comes in chunks.
    Chunked(ChunkedBodyScanner),
    /// It is whole; what comes now belongs to the next one, or is the client's leaving.
    Whole,
    /// Nothing that comes is a request any more.
    Shut,
}

/// A client's connection, read request by request.
pub struct RequestFraming {
    io: Rc<Stream<TcpStream>>,
    client: Rc<ClientConnection>,
    stage: Stage,
    /// What has been read and not been passed on; its first `pass` bytes may be.
    ahead: BytesMut,
    pass: usize,
    /// A head that was not whole at this length is not parsed again before more has come.
    parsed: usize,
    ended: bool,
    /// How much behind `ahead` has been dropped; with the first byte the stream ends there for all that follow.
    dropped: u64,
}

impl RequestFraming {
    /// Wraps a connection.
    pub fn new(stream: Rc<Stream<TcpStream>>, client: Rc<ClientConnection>) -> Self {
        RequestFraming {
            io: stream,
            client,
            stage: Stage::Head,
            ahead: BytesMut::new(),
            pass: 0,
            parsed: 0,
            ended: false,
            dropped: 0,
        }
    }

    /// Reads more; false at the end of the stream. Memory is taken only once there is something to read.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        if self.ended {
            return Poll::Ready(Ok(false));
        }
        let mut chunk = [0; READ_CHUNK_BYTES];
        let n = ready!(self.io.poll_read(cx, &mut chunk))?;
        let kept = match self.stage {
            Stage::Whole => n.min(MAX_AHEAD_BYTES.saturating_sub(self.ahead.len())),
            _ => n,
        };
        let kept = if self.dropped > 0 { 0 } else { kept };
        self.ahead.extend_from_slice(&chunk[..kept]);
        self.dropped += (n - kept) as u64;
        if matches!(self.stage, Stage::Body(_) | Stage::Chunked(_)) {
            self.client.body(|patience, now| patience.on_bytes(n, now));
        }
        self.ended = n == 0;
        Poll::Ready(Ok(n > 0))
    }

    /// Takes in what has come of a head; true if some of it can be passed on.
    fn take_head(&mut self) -> bool {
        if self.ahead.is_empty() {
            return false;
        }
        self.client.enter(ConnectionState::ReceivingHead);
        if self.ahead.len() == self.parsed {
            return false;
        }
        self.parsed = self.ahead.len();
        match frame(&self.ahead) {
            Frame::Partial if self.ahead.len() < MAX_HEAD_BYTES => return false,
            // hyper answers what it cannot read, and a head that is too long, in its own words, and closes.
            Frame::Partial | Frame::Unreadable => (self.pass, self.stage) = (self.ahead.len(), Stage::Shut),
            Frame::Ambiguous(head) => {
                self.client.ambiguous.set(true);
                (self.pass, self.stage) = (head, Stage::Shut);
            }
            Frame::Sized(head, 0) => {
                (self.pass, self.stage) = (head, Stage::Whole);
                self.client.enter(ConnectionState::Pending);
            }
            Frame::Sized(head, body) => {
                self.client.patience.take();
                (self.pass, self.stage) = (head, Stage::Body(body));
                self.client.enter(ConnectionState::ReceivingBody);
            }
            Frame::Chunked(head) => {
                self.client.patience.take();
                (self.pass, self.stage) = (head, Stage::Chunked(ChunkedBodyScanner::default()));
                self.client.enter(ConnectionState::ReceivingBody);
            }
        }
        true
    }

    /// The request has been answered: the next head may come, unless its body has not been read to its end.
    fn turn(&mut self) {
        self.stage = match self.stage {
            Stage::Whole | Stage::Head => Stage::Head,
            Stage::Body(_) | Stage::Chunked(_) | Stage::Shut => Stage::Shut,
        };
        self.parsed = 0;
    }

    /// Notes whether the kernel has taken any of what was to be written.
    fn note_write(&self, wrote: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.client.wrote(wrote.is_ready());
        wrote
    }

    /// Reads away what comes of a request that nobody wants any more, until its client has nothing left to say: were the
    /// socket closed on unread bytes, the kernel would take back the answer that tells the client so.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.client.lingers.get().is_none() {
            self.client.lingers.set(Some(Instant::now()));
        }
        loop {
            self.ahead.clear();
            match ready!(self.poll_fill(cx)) {
                Ok(true) => {}
                // It has nothing left to say, or has left.
                Ok(false) | Err(_) => return Poll::Ready(Ok(())),
            }
        }
    }
}

impl Read for RequestFraming {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.client.answered.take() {
            this.turn();
        }
        loop {
            if this.pass > 0 {
                let n = this.pass.min(buf.remaining());
                buf.put_slice(&this.ahead[..n]);
                this.ahead.advance(n);
                this.pass -= n;
                return Poll::Ready(Ok(()));
            }
            match this.stage {
                Stage::Head => {
                    if this.take_head() {
                        continue;
                    }
                    // What was behind has been dropped: what has come of a request before it will not become whole.
                    if this.dropped > 0 {
                        return Poll::Ready(Ok(()));
                    }
                }
                Stage::Body(left) if !this.ahead.is_empty() => {
                    this.pass = left.min(this.ahead.len() as u64) as usize;
                    this.stage = Stage::Body(left - this.pass as u64);
                    if left == this.pass as u64 {
                        this.stage = Stage::Whole;
                        this.client.enter(ConnectionState::Pending);
                    }
                    continue;
                }
                Stage::Chunked(mut chunks) if !this.ahead.is_empty() => {
                    match chunks.advance(&this.ahead) {
                        Ok(n) => {
                            this.pass = n;
                            this.stage = Stage::Chunked(chunks);
                            if chunks.is_complete() {
                                this.stage = Stage::Whole;
                                this.client.enter(ConnectionState::Pending);
                            }
                        }
                        // hyper may read it otherwise, and must not get the chance.
                        Err(InvalidChunkedBody) => {
                            this.stage = Stage::Shut;
                            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
                        }
                    }
                    continue;
                }
                Stage::Shut => return Poll::Pending,
                Stage::Body(_) | Stage::Chunked(_) if this.dropped > 0 => {
                    return Poll::Ready(Ok(()));
                }
                // Only its leaving is still of interest, and that shows at the socket (`left`).
                Stage::Whole if this.dropped >= MAX_DROPPED_BYTES => {
                    *this.client.waker.borrow_mut() = Some(cx.waker().clone());
                    return Poll::Pending;
                }
                Stage::Body(_) | Stage::Chunked(_) | Stage::Whole => {}
            }
            match this.poll_fill(cx) {
                Poll::Ready(Ok(true)) => {}
                Poll::Ready(Ok(false)) => return Poll::Ready(Ok(())),
                Poll::Ready(Err(e)) => return Poll::Ready(Err(e)),
                Poll::Pending => {
                    if matches!(this.stage, Stage::Body(_) | Stage::Chunked(_)) {
                        this.client.body(ProgressTimeout::on_wait);
                    }
                    *this.client.waker.borrow_mut() = Some(cx.waker().clone());
                    return Poll::Pending;
                }
            }
        }
    }
}

impl Write for RequestFraming {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.note_write(self.io.poll_write(cx, buf))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes only once it has written all that it had, and nothing is kept back here.
        self.client.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.client.lingers.get().is_none() {
            self.io.shutdown_write()?;
        }
        match self.stage {
            _ if self.dropped > 0 => self.poll_linger(cx),
            Stage::Body(_) | Stage::Chunked(_) => self.poll_linger(cx),
            Stage::Head | Stage::Whole | Stage::Shut => Poll::Ready(Ok(())),
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
        self.note_write(self.io.poll_write_vectored(cx, bufs))
    }
}
