//! Request bodies that are sent to a server, buffered ([`OutgoingBody::Complete`]) or streamed ([`StreamingBody`]).
//!
//! The first part of a streaming body, mostly all of it, is received before an attempt begins, so that nothing of a body that breaks
//! off there is forwarded. The rest is read ahead of its server as far as the memory budget allows, so that its end, from which its client's
//! timeout counts, shows although the server reads slowly. Until bytes after its buffered beginning have been forwarded, another
//! attempt can send it from the start.

use crate::clock::Clock;
use crate::memory::{BodyBytes, Memory, Reservation};
use crate::read_ahead::ReadAhead;
use crate::sound_request::has_sound_trailers;
use bellcroft_agent_core::body_limits::{BodyTooLarge, ForwardedBytes};
use bellcroft_agent_core::upload_clock::UploadClock;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// The bytes of a body that are received before an attempt begins, if the memory budget allows.
const MAX_HELD_BYTES: u64 = 512 << 10;

/// Why a body cannot be completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenUpload {
    /// It ended early, or its framing is invalid.
    Malformed,
    /// It exceeds the maximum length of a body.
    TooLarge,
}

/// How the receiving of a body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UploadEnd {
    /// Its last byte was received, and its client may have written it at this time.
    Complete(Instant),
    /// It cannot be completed.
    Broken(BrokenUpload),
    /// Its server takes no more, no memory is left to read ahead, and its client's timeout may have expired meanwhile.
    HeldUp,
}

/// The part of a body that has been received, and where the rest comes from.
pub struct ReceivedBody {
    /// The length that the client declared.
    pub length: Option<u64>,
    /// The buffered beginning.
    pub beginning: BodyBytes,
    /// The bytes after the beginning that have been received too.
    pub more: Bytes,
    /// Bytes after those, as the client sends them.
    pub incoming: Incoming,
}

/// A request body that is still being received, and becomes either complete or broken. One attempt at a time reads it.
pub struct StreamingBody {
    /// Length that the client declared.
    length: Option<u64>,
    /// Bytes after the beginning, as the client sends them.
    incoming: RefCell<Incoming>,
    /// The buffered beginning; none once bytes after it have been forwarded.
    beginning: RefCell<Option<BodyBytes>>,
    /// Bytes after the beginning that no attempt has taken.
    read_ahead: RefCell<ReadAhead>,
    memory: Memory,
    _reservation: Reservation,
    /// Count of bytes received, including the beginning, against the maximum length of a body.
    received: Cell<ForwardedBytes>,
    clock: Clock,
    upload_clock: Cell<UploadClock>,
    /// How the receiving ended; none before.
    end: Cell<Option<UploadEnd>>,
    /// Wakes the attempt that reads the body.
    attempt: RefCell<Option<Waker>>,
    /// Notified when an attempt has taken bytes.
    taken: Notify,
}

impl StreamingBody {
    /// Creates a body of which this has been received. The reservation is held until it is dropped.
    pub fn new(body: ReceivedBody, memory: &Memory, reservation: Reservation, clock: Clock) -> Rc<Self> {
        let ReceivedBody { length, beginning, more, incoming } = body;
        let mut received = ForwardedBytes::default();
        // This cannot fail: the buffer is far smaller than the maximum length of a body.
        let _ = received.add(beginning.len() + more.len());
        Rc::new(StreamingBody {
            length,
            incoming: RefCell::new(incoming),
            beginning: RefCell::new(Some(beginning)),
            read_ahead: RefCell::new(ReadAhead::new(memory, more)),
            memory: memory.clone(),
            _reservation: reservation,
            received: Cell::new(received),
            clock,
            upload_clock: Cell::default(),
            end: Cell::new(None),
            attempt: RefCell::new(None),
            taken: Notify::new(),
        })
    }

    /// Length that the client declared.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Time at which the last byte may have been written; none before it has been received.
    pub fn completed_at(&self) -> Option<Instant> {
        match self.end.get() {
            Some(UploadEnd::Complete(at)) => Some(at),
            Some(UploadEnd::Broken(_) | UploadEnd::HeldUp) | None => None,
        }
    }

    /// Why the body cannot be completed; none if it can be, or if that is not known yet.
    pub fn broken(&self) -> Option<BrokenUpload> {
        match self.end.get() {
            Some(UploadEnd::Broken(broken)) => Some(broken),
            Some(UploadEnd::Complete(_) | UploadEnd::HeldUp) | None => None,
        }
    }

    /// Whether the body cannot be completed.
    pub fn is_broken(&self) -> bool {
        matches!(self.end.get(), Some(UploadEnd::Broken(_) | UploadEnd::HeldUp))
    }

    /// Whether bytes after the beginning have been forwarded, so that no other attempt can send the body.
    pub fn is_partly_sent(&self) -> bool {
        self.beginning.borrow().is_none()
    }

    /// Whether an attempt has taken the last byte, so that it may have been written.
    pub fn is_taken(&self) -> bool {
        self.completed_at().is_some() && self.read_ahead.borrow().is_empty()
    }

    /// Reads the body ahead, before any attempt, up to its end or as far as [`MAX_HELD_BYTES`] and the memory budget allow, unless it is
    /// declared to be longer. No byte of a body that breaks off so early is forwarded. `is_whole` is that of [`StreamingBody::receive`].
    pub async fn receive_beginning(&self, is_whole: impl Fn() -> bool) {
        if self.length.is_some_and(|length| length > MAX_HELD_BYTES) {
            return;
        }
        while self.end.get().is_none() && self.received.get().total() < MAX_HELD_BYTES {
            if !self.read_ahead.borrow_mut().make_room() {
                return;
            }
            self.receive_next(&is_whole).await;
        }
    }

    /// Receives the body to its end. `is_whole` tells whether the client's connection has delivered the last byte of the request;
    /// its client waits for `timeout` from then on.
    pub async fn receive(&self, is_whole: impl Fn() -> bool, timeout: Duration) -> UploadEnd {
        loop {
            if let Some(end) = self.end.get() {
                return end;
            }
            if self.read_ahead.borrow_mut().make_room() {
                self.receive_next(&is_whole).await;
            } else if !self.until_room(timeout).await {
                self.set_end(UploadEnd::HeldUp);
            }
        }
    }

    /// Receives the client's next bytes, or the end of the body; there must be room.
    async fn receive_next(&self, is_whole: &impl Fn() -> bool) {
        match poll_fn(|cx| self.poll_frame(cx)).await {
            Some(Ok(data)) => {
                self.read_ahead.borrow_mut().push(data);
                self.wake_attempt();
            }
            Some(Err(broken)) => self.set_end(UploadEnd::Broken(broken)),
            None if is_whole() => self.set_end(UploadEnd::Complete(self.may_have_ended_at())),
            None => self.set_end(UploadEnd::Broken(BrokenUpload::Malformed)),
        }
    }

    fn set_end(&self, end: UploadEnd) {
        self.end.set(Some(end));
        self.wake_attempt();
    }

    /// Waits until there may be room for the bytes that have been received; false if the client's timeout may have expired before.
    async fn until_room(&self, timeout: Duration) -> bool {
        let mut upload_clock = self.upload_clock.get();
        upload_clock.on_held_up(self.clock.now());
        self.upload_clock.set(upload_clock);
        tokio::select! {
            biased;
            () = self.taken.notified() => true,
            () = self.memory.released() => true,
            () = sleep_until(self.may_have_ended_at() + timeout) => false,
        }
    }

    /// The earliest time at which the client may have written the last byte.
    fn may_have_ended_at(&self) -> Instant {
        self.clock.instant(self.upload_clock.get().may_have_ended_at(self.clock.now()))
    }

    /// Polls for the client's next bytes.
    fn poll_frame(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BrokenUpload>>> {
        let mut upload_clock = self.upload_clock.get();
        let polled = self.poll_data(cx);
        match polled {
            Poll::Pending => upload_clock.on_wait(self.clock.now()),
            Poll::Ready(_) => upload_clock.on_bytes(self.clock.now()),
        }
        self.upload_clock.set(upload_clock);
        polled
    }

    fn poll_data(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BrokenUpload>>> {
        loop {
            return match Pin::new(&mut *self.incoming.borrow_mut()).poll_frame(cx) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(None) => Poll::Ready(None),
                Poll::Ready(Some(Err(_))) => Poll::Ready(Some(Err(BrokenUpload::Malformed))),
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => {
                        let mut received = self.received.get();
                        let fits = received.add(data.len());
                        self.received.set(received);
                        Poll::Ready(Some(fits.map(|()| data).map_err(|BodyTooLarge| BrokenUpload::TooLarge)))
                    }
                    // Trailers are not forwarded, because they may apply only to the client's connection.
                    Err(frame) if has_sound_trailers(&frame) => continue,
                    Err(_) => Poll::Ready(Some(Err(BrokenUpload::Malformed))),
                },
            };
        }
    }

    fn wake_attempt(&self) {
        if let Some(waker) = self.attempt.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Polls for the next bytes after the beginning. A broken body stays broken, whichever attempt reads it.
    fn poll_remaining(&self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if self.is_broken() {
            return Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into())));
        }
        let next = self.read_ahead.borrow_mut().pop();
        if let Some(bytes) = next {
            // These bytes are not kept, so another attempt cannot send the body even with the beginning.
            self.beginning.borrow_mut().take();
            self.taken.notify_one();
            return Poll::Ready(Some(Ok(bytes)));
        }
        if self.completed_at().is_some() {
            return Poll::Ready(None);
        }
        *self.attempt.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    }
}

/// The body of an attempt.
pub enum OutgoingBody {
    /// A complete body, as far as it has not been read.
    Complete(BodyBytes),
    /// A streaming body, and its beginning as far as that has not been read.
    Streaming(Rc<StreamingBody>, BodyBytes),
}

impl OutgoingBody {
    /// Creates the body of an attempt from a streaming body, including the beginning if it is still buffered.
    pub fn streaming(upload: &Rc<StreamingBody>) -> Self {
        let beginning = upload.beginning.borrow().clone().unwrap_or_default();
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
            OutgoingBody::Complete(body) => Poll::Ready(body.pop().map(Ok)),
            OutgoingBody::Streaming(upload, beginning) => match beginning.pop() {
                Some(bytes) => Poll::Ready(Some(Ok(bytes))),
                None => upload.poll_remaining(cx),
            },
        };
        next.map(|next| next.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, OutgoingBody::Complete(body) if body.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            OutgoingBody::Complete(body) => SizeHint::with_exact(body.len() as u64),
            OutgoingBody::Streaming(upload, _) => upload.length.map(SizeHint::with_exact).unwrap_or_default(),
        }
    }
}
