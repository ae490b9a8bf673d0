//! Request bodies that are sent to a server, buffered ([`OutgoingBody::Complete`]) or streamed ([`StreamingBody`]).
//!
//! A streaming body is read from the client only as fast as the server accepts it, so memory use does not grow with its
//! length. Until bytes after its buffered beginning have been forwarded, another attempt can send it from the start.

use bellcroft_agent_core::body_limits::{BodyTooLarge, BufferPool, ForwardedBytes};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::sync::Notify;
use tokio::time::Instant;

/// A reservation in the buffer pool for the beginning of a request body; released when dropped.
pub struct ReplayBuffer {
    pool: Rc<RefCell<BufferPool>>,
    capacity: usize,
}

impl ReplayBuffer {
    /// Reserves a buffer, a small one if the pool is nearly full.
    #[must_use = "dropping the reservation releases it"]
    pub fn acquire(pool: &Rc<RefCell<BufferPool>>) -> Self {
        ReplayBuffer { pool: pool.clone(), capacity: pool.borrow_mut().acquire() }
    }

    /// The size of the buffer, in bytes.
    pub fn capacity(&self) -> usize {
        self.capacity
    }
}

impl Drop for ReplayBuffer {
    fn drop(&mut self) {
        self.pool.borrow_mut().release(self.capacity);
    }
}

/// A request body that is still being received, and becomes either complete or broken. One attempt at a time reads it.
pub struct StreamingBody {
    /// Length that the client declared.
    length: Option<u64>,
    /// Bytes after the beginning, as the client sends them.
    remaining: RefCell<Incoming>,
    /// The buffered beginning; none once bytes after it have been forwarded.
    beginning: RefCell<Option<(Bytes, ReplayBuffer)>>,
    /// Count of bytes forwarded, including the beginning, against the maximum length of a body.
    forwarded: Cell<ForwardedBytes>,
    /// Time at which the last byte was received.
    completed_at: Cell<Option<Instant>>,
    /// True if the body ended early or exceeded its maximum length.
    broken: Cell<bool>,
    /// Notified when the body is complete or broken.
    finished: Notify,
}

impl StreamingBody {
    /// Creates a body with this beginning, for which `buffer` is reserved.
    pub fn new(length: Option<u64>, beginning: Bytes, buffer: ReplayBuffer, remaining: Incoming) -> Rc<Self> {
        let mut forwarded = ForwardedBytes::default();
        // This cannot fail: the buffer is far smaller than the maximum length of a body.
        let _ = forwarded.add(beginning.len());
        Rc::new(StreamingBody {
            length,
            remaining: RefCell::new(remaining),
            beginning: RefCell::new(Some((beginning, buffer))),
            forwarded: Cell::new(forwarded),
            completed_at: Cell::new(None),
            broken: Cell::new(false),
            finished: Notify::new(),
        })
    }

    /// Length that the client declared.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Time at which the last byte was received; none before.
    pub fn completed_at(&self) -> Option<Instant> {
        self.completed_at.get()
    }

    /// Whether the body ended early or exceeded its maximum length.
    pub fn is_broken(&self) -> bool {
        self.broken.get()
    }

    /// Whether bytes after the beginning have been forwarded, so that no other attempt can send the body.
    pub fn is_partly_sent(&self) -> bool {
        self.beginning.borrow().is_none()
    }

    /// Waits until the body is complete or broken.
    pub async fn finished(&self) {
        while self.completed_at.get().is_none() && !self.broken.get() {
            self.finished.notified().await;
        }
    }

    /// Polls for the next bytes after the beginning, and records when the body is complete or broken.
    fn poll_remaining(&self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        loop {
            if self.completed_at.get().is_some() {
                return Poll::Ready(None);
            }
            let frame = Pin::new(&mut *self.remaining.borrow_mut()).poll_frame(cx);
            let error_kind = match frame {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => {
                        let mut forwarded = self.forwarded.get();
                        let fits = forwarded.add(data.len());
                        self.forwarded.set(forwarded);
                        // These bytes are not kept, so another attempt cannot send the body even with the beginning.
                        self.beginning.borrow_mut().take();
                        match fits {
                            Ok(()) => return Poll::Ready(Some(Ok(data))),
                            Err(BodyTooLarge) => Some(io::ErrorKind::InvalidData),
                        }
                    }
                    // Trailers are not forwarded, because they may apply only to the client's connection.
                    Err(_) => continue,
                },
                Poll::Ready(Some(Err(_))) => Some(io::ErrorKind::UnexpectedEof),
                Poll::Ready(None) => None,
            };
            match error_kind {
                None => self.completed_at.set(Some(Instant::now())),
                Some(_) => self.broken.set(true),
            }
            self.finished.notify_one();
            return Poll::Ready(error_kind.map(|kind| Err(kind.into())));
        }
    }
}

/// The body of an attempt.
pub enum OutgoingBody {
    /// A complete body; the bytes are empty once the body has been read.
    Complete(Bytes),
    /// A streaming body, and its beginning until the beginning has been read.
    Streaming(Rc<StreamingBody>, Option<Bytes>),
}

impl OutgoingBody {
    /// Creates the body of an attempt from a streaming body, including the beginning if it is still buffered.
    pub fn streaming(upload: &Rc<StreamingBody>) -> Self {
        let beginning = upload.beginning.borrow().as_ref().map(|(beginning, _)| beginning.clone());
        OutgoingBody::Streaming(upload.clone(), beginning)
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let next = match &mut *self {
            OutgoingBody::Complete(bytes) if bytes.is_empty() => Poll::Ready(None),
            OutgoingBody::Complete(bytes) => Poll::Ready(Some(Ok(std::mem::take(bytes)))),
            OutgoingBody::Streaming(upload, beginning) => {
                match beginning.take().filter(|beginning| !beginning.is_empty()) {
                    Some(beginning) => Poll::Ready(Some(Ok(beginning))),
                    None => upload.poll_remaining(cx),
                }
            }
        };
        next.map(|next| next.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, OutgoingBody::Complete(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            OutgoingBody::Complete(bytes) => SizeHint::with_exact(bytes.len() as u64),
            OutgoingBody::Streaming(upload, _) => upload.length.map(SizeHint::with_exact).unwrap_or_default(),
        }
    }
}
