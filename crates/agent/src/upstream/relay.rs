//! Long responses, which are forwarded to the client while the server sends them.

use super::connection::Connection;
use super::pool::ConnectionPool;
use super::response::{BodyStart, MAX_RELAYED_BYTES};
use bellcroft_agent_core::body_limits::{ForwardedBytes, ProgressTimeout, MAX_BUFFERED_BODY_BYTES};
use bellcroft_balancer::{Micros, Time};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::time::{sleep_until, Instant, Sleep};

/// The timeout of a long response: a server that sends no bytes for this long, or very few, is not expected to complete it.
const STALL_TIMEOUT: Micros = Micros(30_000_000);

/// A long response that is forwarded while the server sends it. Its connection is reused after the last byte, and closed if
/// the relay is dropped earlier.
pub struct Relay {
    /// The buffered beginning, until it is forwarded.
    beginning: Option<Bytes>,
    rest: Incoming,
    length: Option<u64>,
    forwarded: ForwardedBytes,
    /// The request's deadline. It applies to a body of unknown length while the body may still be a short one.
    deadline: Instant,
    created_at: Instant,
    stall_timeout: ProgressTimeout,
    timer: Pin<Box<Sleep>>,
    /// The connection and its pool; none once the response is complete.
    connection: Option<(Rc<ConnectionPool>, Connection)>,
}

impl Relay {
    /// A response with this beginning of its body; `None` if the beginning exceeds the maximum length of a body.
    pub fn new(
        start: BodyStart,
        rest: Incoming,
        length: Option<u64>,
        connection: (Rc<ConnectionPool>, Connection),
    ) -> Option<Self> {
        let mut forwarded = ForwardedBytes::default();
        forwarded.add(start.bytes.len()).ok()?;
        connection.1.progress.read_budget.set(MAX_RELAYED_BYTES);
        Some(Relay {
            beginning: Some(start.bytes),
            rest,
            length,
            forwarded,
            deadline: Instant::now(),
            created_at: Instant::now(),
            stall_timeout: ProgressTimeout::new(STALL_TIMEOUT),
            timer: Box::pin(sleep_until(Instant::now())),
            connection: Some(connection),
        })
    }

    /// Sets the request's deadline.
    pub fn set_deadline(&mut self, deadline: Instant) {
        self.deadline = deadline;
    }

    /// The declared length of the body.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Whether the body has been forwarded completely. With a declared length, this is true right after its last byte.
    pub fn is_finished(&self) -> bool {
        self.connection.is_none()
    }

    /// Whether the body may still be a short one, whose last byte is due by the request's deadline.
    fn has_request_deadline(&self) -> bool {
        self.length.is_none() && self.forwarded.total() <= MAX_BUFFERED_BODY_BYTES as u64
    }

    fn now(&self) -> Time {
        Time(self.created_at.elapsed().as_micros() as u64)
    }

    fn finish(&mut self) {
        if let Some((pool, connection)) = self.connection.take() {
            pool.release_after_response(connection);
        }
    }

    /// Returns the next bytes of the body, or none at its end. After an error the response stays incomplete.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if let Some(beginning) = self.beginning.take() {
            return Poll::Ready(Some(Ok(beginning)));
        }
        loop {
            if self.has_request_deadline() && Instant::now() >= self.deadline {
                return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
            }
            match Pin::new(&mut self.rest).poll_frame(cx) {
                Poll::Pending => {
                    ready!(self.poll_timeout(cx));
                    return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
                }
                Poll::Ready(None) => {
                    self.finish();
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(_))) => {
                    return Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into())))
                }
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    return Poll::Ready(Some(self.on_data(data)));
                }
            }
        }
    }

    fn on_data(&mut self, data: Bytes) -> io::Result<Bytes> {
        self.forwarded.add(data.len()).map_err(|_| io::ErrorKind::InvalidData)?;
        if self.length == Some(self.forwarded.total()) {
            self.finish();
        }
        self.stall_timeout.on_bytes(data.len(), self.now());
        Ok(data)
    }

    /// Ready once the body has timed out.
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.stall_timeout.on_wait(self.now());
        let stalled_at =
            self.stall_timeout.deadline().map(|at| self.created_at + Duration::from_micros(at.0));
        let stalled_at = stalled_at.unwrap_or(self.deadline);
        let at = if self.has_request_deadline() { stalled_at.min(self.deadline) } else { stalled_at };
        if self.timer.deadline() != at {
            self.timer.as_mut().reset(at);
        }
        self.timer.as_mut().poll(cx)
    }
}
