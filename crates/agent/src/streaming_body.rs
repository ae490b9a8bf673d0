//! Request bodies on their way to a server, buffered ([`OutgoingBody::Complete`]) or streamed ([`StreamingBody`]).
//!
//! A streaming body is read from its client only as its server takes it, so memory does not grow with its length. Until bytes
//! behind its buffered beginning have been forwarded, another attempt can send it from the start.

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

/// A reservation for the buffered beginning of a request body; released when dropped.
pub struct ReplayBuffer {
    pool: Rc<RefCell<BufferPool>>,
    capacity: usize,
}

impl ReplayBuffer {
    /// Reserves a buffer; it is small if the pool is nearly full.
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

/// A request body that is still being received: it ends complete, or broken. One attempt at a time reads it.
pub struct StreamingBody {
    /// The declared length.
    length: Option<u64>,
    rest: RefCell<Incoming>,
    /// The buffered beginning; none once bytes behind it have been forwarded.
    beginning: RefCell<Option<(Bytes, ReplayBuffer)>>,
    forwarded: Cell<ForwardedBytes>,
    completed_at: Cell<Option<Instant>>,
    broken: Cell<bool>,
    /// Notified when the body is complete or broken.
    ended: Notify,
}

impl StreamingBody {
    /// A body with this beginning, held in `buffer`.
    pub fn new(length: Option<u64>, beginning: Bytes, buffer: ReplayBuffer, rest: Incoming) -> Rc<Self> {
        let mut forwarded = ForwardedBytes::default();
        // The buffer is far smaller than the maximum of a body.
        let _ = forwarded.add(beginning.len());
        Rc::new(StreamingBody {
            length,
            rest: RefCell::new(rest),
            beginning: RefCell::new(Some((beginning, buffer))),
            forwarded: Cell::new(forwarded),
            completed_at: Cell::new(None),
            broken: Cell::new(false),
            ended: Notify::new(),
        })
    }

    /// The declared length.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// When the last byte was received; none before.
    pub fn completed_at(&self) -> Option<Instant> {
        self.completed_at.get()
    }

    /// Whether the body ended incomplete, or exceeded its maximum.
    pub fn is_broken(&self) -> bool {
        self.broken.get()
    }

    /// Whether bytes behind the beginning have been forwarded, so that no other attempt can send the body.
    pub fn is_partly_sent(&self) -> bool {
        self.beginning.borrow().is_none()
    }

    /// Waits until the body is complete or broken.
    pub async fn finished(&self) {
        while self.completed_at.get().is_none() && !self.broken.get() {
            self.ended.notified().await;
        }
    }

    fn poll_rest(&self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        loop {
            if self.completed_at.get().is_some() {
                return Poll::Ready(None);
            }
            let frame = Pin::new(&mut *self.rest.borrow_mut()).poll_frame(cx);
            let ended = match frame {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => {
                        let mut forwarded = self.forwarded.get();
                        let fits = forwarded.add(data.len());
                        self.forwarded.set(forwarded);
                        // These bytes are gone, so the beginning is of no use to another attempt.
                        self.beginning.borrow_mut().take();
                        match fits {
                            Ok(()) => return Poll::Ready(Some(Ok(data))),
                            Err(BodyTooLarge) => Some(io::ErrorKind::InvalidData),
                        }
                    }
                    // Trailers are not forwarded: they may concern the client's connection.
                    Err(_) => continue,
                },
                Poll::Ready(Some(Err(_))) => Some(io::ErrorKind::UnexpectedEof),
                Poll::Ready(None) => None,
            };
            match ended {
                None => self.completed_at.set(Some(Instant::now())),
                Some(_) => self.broken.set(true),
            }
            self.ended.notify_one();
            return Poll::Ready(ended.map(|kind| Err(kind.into())));
        }
    }
}

/// The body of an attempt.
pub enum OutgoingBody {
    /// A complete body; empty once it has been read.
    Complete(Bytes),
    /// A streaming body, and its beginning until that has been read.
    Streaming(Rc<StreamingBody>, Option<Bytes>),
}

impl OutgoingBody {
    /// The body of an attempt that reads a streaming body, from the beginning if that is still buffered.
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
                    None => upload.poll_rest(cx),
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
