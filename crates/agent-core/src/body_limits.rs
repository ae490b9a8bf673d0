//! Limits of request and response bodies: which ones are buffered and which are streamed, and timeouts without progress.

use bellcroft_balancer::{Micros, Time};

/// Maximum size of a buffered body. A request whose body is buffered can be retried; longer bodies are streamed.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// Maximum size of a body in either direction.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
/// Maximum time from a response's head for which a body of unknown length is buffered: its client may be waiting for the
/// first bytes.
pub const MAX_BUFFERING_TIME: Micros = Micros(40_000);

/// The time before a response's deadline by which its buffering ends, so that its attempt does not time out first.
const DEADLINE_RESERVE: Micros = Micros(2_000);

/// A body exceeds [`MAX_BODY_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyTooLarge;

/// How a body is forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardingMode {
    /// Buffered up to [`MAX_BUFFERED_BODY_BYTES`]; a longer body is streamed from there.
    Buffered,
    /// Streamed from the first byte: its declared length exceeds the buffer.
    Streamed,
}

/// Selects how a body of this declared length is forwarded.
///
/// # Errors
///
/// Returns [`BodyTooLarge`] if the declared length exceeds [`MAX_BODY_BYTES`].
pub fn forwarding_mode(length: Option<u64>) -> Result<ForwardingMode, BodyTooLarge> {
    match length {
        Some(length) if length > MAX_BODY_BYTES => Err(BodyTooLarge),
        Some(length) if length > MAX_BUFFERED_BODY_BYTES as u64 => Ok(ForwardingMode::Streamed),
        Some(_) | None => Ok(ForwardingMode::Buffered),
    }
}

/// The phase in which a response's body is buffered. It lasts until the body is complete or has to be streamed.
#[derive(Debug, Clone, Copy)]
pub struct BufferingPhase {
    declared_length: Option<u64>,
    /// The end of the phase for a body of unknown length.
    ends_at: Time,
    buffered_bytes: usize,
}

impl BufferingPhase {
    /// Starts the phase of a response whose head has just been received. It ends before the response's deadline: one that has begun
    /// by then is forwarded.
    pub fn new(declared_length: Option<u64>, now: Time, deadline: Time) -> Self {
        let ends_at = (now + MAX_BUFFERING_TIME).min(deadline - DEADLINE_RESERVE);
        BufferingPhase { declared_length, ends_at, buffered_bytes: 0 }
    }

    /// Records that more bytes have been received, or that the deadline has passed. Returns whether the body is streamed
    /// from here on; then the request can no longer be retried.
    ///
    /// A response with a long declared length is streamed from its first byte. One that may be short is buffered, since a
    /// request can be retried after a broken response only while its client has received nothing.
    #[must_use = "a body that is not streamed in time keeps its client waiting"]
    pub fn on_bytes(&mut self, received: usize, now: Time) -> bool {
        self.buffered_bytes += received;
        let is_long = self.declared_length.is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES as u64);
        (is_long && self.buffered_bytes > 0)
            || self.buffered_bytes > MAX_BUFFERED_BODY_BYTES
            || self.is_overdue(now)
    }

    /// The end of the phase; `None` for a response with a declared length.
    pub fn deadline(&self) -> Option<Time> {
        self.declared_length.is_none().then_some(self.ends_at)
    }

    fn is_overdue(&self, now: Time) -> bool {
        self.buffered_bytes > 0 && self.deadline().is_some_and(|until| now >= until)
    }
}

/// Maximum time between two bytes of a body that is being received.
pub const PROGRESS_TIMEOUT: Micros = Micros(2_000_000);
/// Rate at which the received bytes of a body extend the total time that may be spent waiting for it. A slow line is about
/// ten times faster; a slower peer only occupies a connection.
pub(crate) const MIN_BYTES_PER_SECOND: u64 = 4 << 10;

/// Progress timeout of a body that is being received. Only time in which the reader had capacity for more bytes counts: a
/// client is not responsible for a slow server.
#[derive(Debug, Clone, Copy)]
pub struct ProgressTimeout {
    timeout: Micros,
    received_bytes: u64,
    /// Total time spent waiting before `waiting_since`.
    waited: Micros,
    /// Start of the present wait; `None` while the reader is not waiting.
    waiting_since: Option<Time>,
}

impl Default for ProgressTimeout {
    fn default() -> Self {
        ProgressTimeout::new(PROGRESS_TIMEOUT)
    }
}

impl ProgressTimeout {
    /// Creates a timeout that expires after this time without a byte.
    pub fn new(timeout: Micros) -> Self {
        ProgressTimeout { timeout, received_bytes: 0, waited: Micros::ZERO, waiting_since: None }
    }

    /// Records that the reader has capacity for more bytes and none is available.
    pub fn on_wait(&mut self, now: Time) {
        self.waiting_since.get_or_insert(now);
    }

    /// Records that more bytes have been received.
    pub fn on_bytes(&mut self, received: usize, now: Time) {
        self.received_bytes += received as u64;
        if let Some(since) = self.waiting_since.take() {
            self.waited = Micros(self.waited.0 + now.since(since).0);
        }
    }

    /// The time at which the body times out; `None` while its reader is not waiting.
    pub fn deadline(&self) -> Option<Time> {
        let allowance = Micros(self.timeout.0 + self.received_bytes * 1_000_000 / MIN_BYTES_PER_SECOND);
        self.waiting_since.map(|since| since + allowance.saturating_sub(self.waited).min(self.timeout))
    }
}

/// Byte count of a streamed body, limited to [`MAX_BODY_BYTES`].
#[derive(Debug, Clone, Copy, Default)]
pub struct ForwardedBytes(u64);

impl ForwardedBytes {
    /// Adds bytes that are forwarded.
    ///
    /// # Errors
    ///
    /// Returns [`BodyTooLarge`] if the body exceeds the maximum, whatever its declared length.
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
