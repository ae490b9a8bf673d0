//! Bodies that are passed on as they come: a request's to a server ([`Upload`]), an answer's to a client. Neither side is
//! read before the other one takes, so memory does not grow with a body's length.

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

/// What a request has kept of its begin, given back with it.
pub struct ReplayBuffer {
    store: Rc<RefCell<BufferPool>>,
    granted: usize,
}

impl ReplayBuffer {
    /// What the next one may keep.
    pub fn acquire(store: &Rc<RefCell<BufferPool>>) -> Self {
        ReplayBuffer { store: store.clone(), granted: store.borrow_mut().acquire() }
    }

    /// How much that is.
    pub fn capacity(&self) -> usize {
        self.granted
    }
}

impl Drop for ReplayBuffer {
    fn drop(&mut self) {
        self.store.borrow_mut().release(self.granted);
    }
}

/// A request's body that is passed on as it comes. One attempt at a time reads it.
pub struct StreamingBody {
    /// Its length, if it was told.
    length: Option<u64>,
    rest: RefCell<Incoming>,
    /// What came first, as long as nothing behind it has been passed on.
    first: RefCell<Option<(Bytes, ReplayBuffer)>>,
    passed: Cell<ForwardedBytes>,
    whole: Cell<Option<Instant>>,
    broken: Cell<bool>,
    /// Told when it is whole or broken.
    ended: Notify,
}

impl StreamingBody {
    /// A body that has begun with `first`.
    pub fn new(length: Option<u64>, first: Bytes, kept: ReplayBuffer, rest: Incoming) -> Rc<Self> {
        let mut passed = ForwardedBytes::default();
        // What has been gathered is far below what is carried.
        let _ = passed.add(first.len());
        Rc::new(StreamingBody {
            length,
            rest: RefCell::new(rest),
            first: RefCell::new(Some((first, kept))),
            passed: Cell::new(passed),
            whole: Cell::new(None),
            broken: Cell::new(false),
            ended: Notify::new(),
        })
    }

    /// Its length, if it was told.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// When its last byte had come.
    pub fn completed_at(&self) -> Option<Instant> {
        self.whole.get()
    }

    /// It ended before it was whole, by its client's fault.
    pub fn is_broken(&self) -> bool {
        self.broken.get()
    }

    /// A part of it is gone: nothing can begin anew with it.
    pub fn is_partly_sent(&self) -> bool {
        self.first.borrow().is_none()
    }

    /// Waits until it is whole or broken.
    pub async fn finished(&self) {
        while self.whole.get().is_none() && !self.broken.get() {
            self.ended.notified().await;
        }
    }

    fn poll_rest(&self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        loop {
            if self.whole.get().is_some() {
                return Poll::Ready(None);
            }
            let frame = Pin::new(&mut *self.rest.borrow_mut()).poll_frame(cx);
            let ended = match frame {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => {
                        let mut passed = self.passed.get();
                        let fits = passed.add(data.len());
                        self.passed.set(passed);
                        // From here on what came first cannot be followed by this again.
                        self.first.borrow_mut().take();
                        match fits {
                            Ok(()) => return Poll::Ready(Some(Ok(data))),
                            Err(BodyTooLarge) => Some(io::ErrorKind::InvalidData),
                        }
                    }
                    // Trailers speak of the connection that they came over.
                    Err(_) => continue,
                },
                Poll::Ready(Some(Err(_))) => Some(io::ErrorKind::UnexpectedEof),
                Poll::Ready(None) => None,
            };
            match ended {
                None => self.whole.set(Some(Instant::now())),
                Some(_) => self.broken.set(true),
            }
            self.ended.notify_one();
            return Poll::Ready(ended.map(|kind| Err(kind.into())));
        }
    }
}

/// What an attempt sends.
pub enum OutgoingBody {
    /// A body that is here whole; none once it has been taken.
    Complete(Bytes),
    /// One that is coming; first what is kept of it.
    Streaming(Rc<StreamingBody>, Option<Bytes>),
}

impl OutgoingBody {
    /// An attempt's view of a body that is coming. It begins with what is kept, and is for nothing if that is gone.
    pub fn streaming(upload: &Rc<StreamingBody>) -> Self {
        let first = upload.first.borrow().as_ref().map(|(first, _)| first.clone());
        OutgoingBody::Streaming(upload.clone(), first)
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
            OutgoingBody::Streaming(upload, first) => match first.take().filter(|first| !first.is_empty()) {
                Some(first) => Poll::Ready(Some(Ok(first))),
                None => upload.poll_rest(cx),
            },
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
