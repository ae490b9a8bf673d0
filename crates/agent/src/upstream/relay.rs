//! Long responses, which are forwarded to the client while the server sends them.

use super::connection::Connection;
use super::pool::ConnectionPool;
use super::response::{BodyStart, MAX_RELAYED_BYTES};
use crate::client_presence::READ_TIME;
use crate::memory::BodyBytes;
use bellcroft_agent_core::body_limits::ForwardedBytes;
use bellcroft_agent_core::response_end::{Extent, ResponseProgress};
use bellcroft_balancer::Time;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::time::{sleep_until, Instant, Sleep};

/// Why a response that is forwarded while its server sends it stays incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RelayError {
    /// Its server sent nothing more in time; so much has been received of a response of this extent.
    #[error("its server sent nothing more in time ({extent:?}, {received} bytes received)")]
    TimedOut { extent: Extent, received: u64 },
    /// The connection to its server broke, or its framing is invalid.
    #[error("the connection to its server broke")]
    Broken,
    /// It exceeds the maximum length of a body.
    #[error("it exceeds the maximum length of a body")]
    TooLarge,
}

/// A long response that is forwarded while the server sends it. Its connection is reused after the last byte, and closed if
/// the relay is dropped earlier.
pub struct Relay {
    /// The buffered beginning, as far as it has not been forwarded.
    beginning: BodyBytes,
    /// The bytes after the beginning that were received with it, until they are forwarded.
    more: Bytes,
    rest: Incoming,
    length: Option<u64>,
    forwarded: ForwardedBytes,
    progress: ResponseProgress,
    /// The time at which the relay was created; the times of `progress` count from it.
    created_at: Instant,
    timer: Pin<Box<Sleep>>,
    /// Whether the response has timed out and only bytes that have arrived already are still read.
    is_last_read: bool,
    /// The connection and its pool; none once the response is complete.
    connection: Option<(Rc<ConnectionPool>, Connection)>,
}

impl Relay {
    /// A response with this beginning of its body to a request with this deadline; `None` if the beginning exceeds the maximum
    /// length of a body.
    pub fn new(
        start: BodyStart,
        rest: Incoming,
        length: Option<u64>,
        deadline: Instant,
        connection: (Rc<ConnectionPool>, Connection),
    ) -> Option<Self> {
        let mut forwarded = ForwardedBytes::default();
        forwarded.add(start.bytes.len() + start.more.len()).ok()?;
        connection.1.progress.read_budget.set(MAX_RELAYED_BYTES);
        let created_at = Instant::now();
        Some(Relay {
            beginning: start.bytes,
            more: start.more,
            rest,
            length,
            forwarded,
            progress: ResponseProgress::new(length, time_since(created_at, deadline), forwarded.total()),
            created_at,
            timer: Box::pin(sleep_until(created_at)),
            is_last_read: false,
            connection: Some(connection),
        })
    }

    /// The declared length of the body.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Whether the body has been forwarded completely. With a declared length, this is true right after its last byte.
    pub fn is_finished(&self) -> bool {
        self.connection.is_none()
    }

    fn now(&self) -> Time {
        time_since(self.created_at, Instant::now())
    }

    fn finish(&mut self) {
        if let Some((pool, connection)) = self.connection.take() {
            pool.release_after_response(connection);
        }
    }

    /// Returns the next bytes of the body, or none at its end. After an error the response stays incomplete.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, RelayError>>> {
        if let Some(bytes) = self.next_received() {
            return Poll::Ready(Some(Ok(bytes)));
        }
        loop {
            match Pin::new(&mut self.rest).poll_frame(cx) {
                Poll::Pending => {
                    ready!(self.poll_timeout(cx));
                    let (extent, received) = (self.progress.extent(), self.forwarded.total());
                    return Poll::Ready(Some(Err(RelayError::TimedOut { extent, received })));
                }
                Poll::Ready(None) => {
                    self.finish();
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Some(Err(RelayError::Broken))),
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    return Poll::Ready(Some(self.on_data(data)));
                }
            }
        }
    }

    /// The next of the bytes that had been received when the relay was created.
    fn next_received(&mut self) -> Option<Bytes> {
        let more = &mut self.more;
        let next =
            self.beginning.pop().or_else(|| Some(std::mem::take(more)).filter(|more| !more.is_empty()));
        let is_last = self.beginning.is_empty() && self.more.is_empty();
        if next.is_some() && is_last && self.length == Some(self.forwarded.total()) {
            self.finish();
        }
        next
    }

    fn on_data(&mut self, data: Bytes) -> Result<Bytes, RelayError> {
        self.forwarded.add(data.len()).map_err(|_| RelayError::TooLarge)?;
        if self.length == Some(self.forwarded.total()) {
            self.finish();
        }
        let now = self.now();
        self.progress.on_bytes(data.len(), now);
        self.is_last_read = false;
        Ok(data)
    }

    /// Ready once the body has timed out.
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if !self.is_last_read {
            let at = self.ends_at();
            if self.timer.deadline() != at {
                self.timer.as_mut().reset(at);
            }
            ready!(self.timer.as_mut().poll(cx));
            // Bytes may have arrived while the process was held up.
            self.is_last_read = true;
            self.timer.as_mut().reset(Instant::now() + READ_TIME);
        }
        self.timer.as_mut().poll(cx)
    }

    /// Records that the client waits for the server, and returns when the body times out.
    fn ends_at(&mut self) -> Instant {
        let now = self.now();
        self.progress.on_wait(now);
        self.created_at + Duration::from_micros(self.progress.ends_at().unwrap_or(now).0)
    }
}

fn time_since(origin: Instant, instant: Instant) -> Time {
    Time(instant.saturating_duration_since(origin).as_micros() as u64)
}
