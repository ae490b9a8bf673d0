//! Long responses that are passed on to the client as they come.

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

/// A backend that has begun a long response and sends nothing for this long, or next to nothing, will not end it.
const STALL_TIMEOUT: Micros = Micros(30_000_000);

/// A long response that is passed on as it comes. Its connection serves the next attempt once it is over, and ends if it
/// is dropped before.
pub struct Relay {
    first: Option<Bytes>,
    rest: Incoming,
    length: Option<u64>,
    passed: ForwardedBytes,
    /// A body of unknown length that is not long yet has its request's time, and no other.
    until: Instant,
    begin: Instant,
    patience: ProgressTimeout,
    wake: Pin<Box<Sleep>>,
    /// None once it is over.
    connection: Option<(Rc<ConnectionPool>, Connection)>,
}

impl Relay {
    /// A response whose body has started; `None` if that is longer than what is carried.
    pub fn new(
        start: BodyStart,
        rest: Incoming,
        length: Option<u64>,
        connection: (Rc<ConnectionPool>, Connection),
    ) -> Option<Self> {
        let mut passed = ForwardedBytes::default();
        passed.add(start.bytes.len()).ok()?;
        connection.1.progress.read_budget.set(MAX_RELAYED_BYTES);
        Some(Relay {
            first: Some(start.bytes),
            rest,
            length,
            passed,
            until: Instant::now(),
            begin: Instant::now(),
            patience: ProgressTimeout::new(STALL_TIMEOUT),
            wake: Box::pin(sleep_until(Instant::now())),
            connection: Some(connection),
        })
    }

    /// Sets the time of its request.
    pub fn set_deadline(&mut self, until: Instant) {
        self.until = until;
    }

    /// Its length, if the backend sent it.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// All of it has been passed on. Whoever takes a body of a known length need not ask for more to know.
    pub fn is_finished(&self) -> bool {
        self.connection.is_none()
    }

    /// Whether it may still be one that the platform carries, whose time is that of its last byte.
    fn short(&self) -> bool {
        self.length.is_none() && self.passed.total() <= MAX_BUFFERED_BODY_BYTES as u64
    }

    fn now(&self) -> Time {
        Time(self.begin.elapsed().as_micros() as u64)
    }

    fn finish(&mut self) {
        if let Some((pool, connection)) = self.connection.take() {
            pool.release_after_response(connection);
        }
    }

    /// What comes next; after an error the response will not be complete.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(first)));
        }
        loop {
            if self.short() && Instant::now() >= self.until {
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
                    return Poll::Ready(Some(self.take_data(data)));
                }
            }
        }
    }

    fn take_data(&mut self, data: Bytes) -> io::Result<Bytes> {
        self.passed.add(data.len()).map_err(|_| io::ErrorKind::InvalidData)?;
        if self.length == Some(self.passed.total()) {
            self.finish();
        }
        self.patience.on_bytes(data.len(), self.now());
        Ok(data)
    }

    /// Ready once the backend has been waited for long enough.
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.patience.on_wait(self.now());
        let stalled = self.patience.deadline().map(|at| self.begin + Duration::from_micros(at.0));
        let stalled = stalled.unwrap_or(self.until);
        let at = if self.short() { stalled.min(self.until) } else { stalled };
        if self.wake.deadline() != at {
            self.wake.as_mut().reset(at);
        }
        self.wake.as_mut().poll(cx)
    }
}
