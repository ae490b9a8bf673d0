//! Limits of bodies: which are buffered and which streamed, how long a peer may make no progress, and the memory of buffers.

use bellcroft_balancer::{Micros, Time};

/// The maximum of a buffered body, in bytes; a request with one can be retried. Longer bodies are streamed.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// The maximum of a body in either direction, in bytes.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
/// The first bytes of a request body that are always buffered, however little memory is free.
pub const MIN_BUFFER_BYTES: usize = 4 << 10;
/// The memory of the process is divided by this for the buffers of all request bodies.
pub const POOL_MEMORY_DIVISOR: usize = 4;
/// How long a response of unknown length is buffered, from its head on: its client may be waiting for the first bytes.
pub const MAX_BUFFERING_TIME: Micros = Micros(40_000);

/// A body exceeds [`MAX_BODY_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyTooLarge;

/// How a body is forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardingMode {
    /// Buffered up to [`MAX_BUFFERED_BODY_BYTES`]; streamed from there if it is longer.
    Buffered,
    /// Streamed from the first byte: its declared length exceeds the buffer.
    Streamed,
}

/// How a body of this declared length is forwarded.
///
/// # Errors
///
/// The declared length exceeds [`MAX_BODY_BYTES`].
pub fn forwarding_mode(length: Option<u64>) -> Result<ForwardingMode, BodyTooLarge> {
    match length {
        Some(length) if length > MAX_BODY_BYTES => Err(BodyTooLarge),
        Some(length) if length > MAX_BUFFERED_BODY_BYTES as u64 => Ok(ForwardingMode::Streamed),
        Some(_) | None => Ok(ForwardingMode::Buffered),
    }
}

/// The phase in which a response's body is buffered: until it is complete, or has to be streamed.
#[derive(Debug, Clone, Copy)]
pub struct BufferingPhase {
    length: Option<u64>,
    head_at: Time,
    buffered: usize,
}

impl BufferingPhase {
    /// The phase of a response whose head has just been received.
    pub fn new(length: Option<u64>, now: Time) -> Self {
        BufferingPhase { length, head_at: now, buffered: 0 }
    }

    /// More bytes have been received, or the deadline has passed. Returns whether the body is streamed from here on; then
    /// the request can no longer be retried.
    ///
    /// A response with a long declared length is streamed from its first byte. One that may be short is buffered, since a
    /// request can be retried after a broken response only while its client has received nothing.
    #[must_use = "a body that is not streamed in time keeps its client waiting"]
    pub fn on_bytes(&mut self, more: usize, now: Time) -> bool {
        self.buffered += more;
        let is_long = self.length.is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES as u64);
        (is_long && self.buffered > 0) || self.buffered > MAX_BUFFERED_BODY_BYTES || self.is_overdue(now)
    }

    /// The end of the phase; none for a response with a declared length.
    pub fn deadline(&self) -> Option<Time> {
        self.length.is_none().then(|| self.head_at + MAX_BUFFERING_TIME)
    }

    fn is_overdue(&self, now: Time) -> bool {
        self.buffered > 0 && self.deadline().is_some_and(|until| now >= until)
    }
}

/// The longest time without a byte of a body that is being received.
pub const PROGRESS_TIMEOUT: Micros = Micros(2_000_000);
/// The rate, in bytes per second, at which a body earns further waiting time beyond its time-out. A slow line is about ten
/// times faster; a slower peer only occupies a connection.
const MIN_BYTES_PER_SECOND: u64 = 4 << 10;

/// The time-out of a body that is being received. Only the time counts in which its reader had capacity for more: a client
/// is not responsible for a slow server.
#[derive(Debug, Clone, Copy)]
pub struct ProgressTimeout {
    timeout: Micros,
    received: u64,
    waited: Micros,
    waiting_since: Option<Time>,
}

impl Default for ProgressTimeout {
    fn default() -> Self {
        ProgressTimeout::new(PROGRESS_TIMEOUT)
    }
}

impl ProgressTimeout {
    /// A time-out after this time without a byte.
    pub fn new(timeout: Micros) -> Self {
        ProgressTimeout { timeout, received: 0, waited: Micros::ZERO, waiting_since: None }
    }

    /// The reader has capacity for more, and no byte is available.
    pub fn on_wait(&mut self, now: Time) {
        self.waiting_since.get_or_insert(now);
    }

    /// More bytes have been received.
    pub fn on_bytes(&mut self, more: usize, now: Time) {
        self.received += more as u64;
        if let Some(since) = self.waiting_since.take() {
            self.waited = Micros(self.waited.0 + now.since(since).0);
        }
    }

    /// When the body has timed out; none while its reader does not wait.
    pub fn deadline(&self) -> Option<Time> {
        let earned = Micros(self.timeout.0 + self.received * 1_000_000 / MIN_BYTES_PER_SECOND);
        self.waiting_since.map(|since| since + earned.saturating_sub(self.waited).min(self.timeout))
    }
}

/// The bytes of a streamed body, counted against [`MAX_BODY_BYTES`].
#[derive(Debug, Clone, Copy, Default)]
pub struct ForwardedBytes(u64);

impl ForwardedBytes {
    /// More bytes are forwarded.
    ///
    /// # Errors
    ///
    /// The body exceeds the maximum, whatever its declared length.
    pub fn add(&mut self, more: usize) -> Result<(), BodyTooLarge> {
        self.0 += more as u64;
        if self.0 > MAX_BODY_BYTES {
            return Err(BodyTooLarge);
        }
        Ok(())
    }

    /// The number of forwarded bytes.
    pub fn total(&self) -> u64 {
        self.0
    }
}

/// The memory for the buffered beginnings of all request bodies.
#[derive(Debug)]
pub struct BufferPool {
    capacity: usize,
    in_use: usize,
}

impl BufferPool {
    /// The pool of a process with this memory, in bytes.
    pub fn new(memory: usize) -> Self {
        BufferPool { capacity: memory / POOL_MEMORY_DIVISOR, in_use: 0 }
    }

    /// Reserves a buffer for the next body and returns its size. With a small buffer a body is streamed sooner and its
    /// request cannot be retried as long; no request waits for memory.
    #[must_use = "the buffer has to be released"]
    pub fn acquire(&mut self) -> usize {
        let granted = if self.in_use + MAX_BUFFERED_BODY_BYTES <= self.capacity {
            MAX_BUFFERED_BODY_BYTES
        } else {
            MIN_BUFFER_BYTES
        };
        self.in_use += granted;
        granted
    }

    /// Returns a buffer of this size.
    pub fn release(&mut self, granted: usize) {
        self.in_use = self.in_use.saturating_sub(granted);
    }

    /// The size of all reserved buffers.
    pub fn in_use(&self) -> usize {
        self.in_use
    }
}
