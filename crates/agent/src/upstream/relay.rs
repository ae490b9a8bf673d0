//! Long responses, which are forwarded to the client while the server sends them.

use super::connection::Connection;
use super::pool::ConnectionPool;
use super::response::{BodyStart, MAX_RELAYED_BYTES};
use crate::memory::BodyBytes;
use bellcroft_agent_core::body_limits::{ForwardedBytes, ProgressTimeout, ResponseEnd};
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
    /// The buffered beginning, as far as it has not been forwarded.
    beginning: BodyBytes,
    /// The bytes after the beginning that were received with it, until they are forwarded.
    more: Bytes,
    rest: Incoming,
    length: Option<u64>,
    forwarded: ForwardedBytes,
    /// When the response ends, complete or not.
    end: ResponseEnd,
    /// The time at which the relay was created; the times of `end` and `stall_timeout` count from it.
    created_at: Instant,
    stall_timeout: ProgressTimeout,
    timer: Pin<Box<Sleep>>,
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
            end: ResponseEnd::after_deadline(time_since(created_at, deadline)),
            created_at,
            stall_timeout: ProgressTimeout::new(STALL_TIMEOUT),
            timer: Box::pin(sleep_until(Instant::now())),
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
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if let Some(bytes) = self.next_received() {
            return Poll::Ready(Some(Ok(bytes)));
        }
        loop {
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

    fn on_data(&mut self, data: Bytes) -> io::Result<Bytes> {
        self.forwarded.add(data.len()).map_err(|_| io::ErrorKind::InvalidData)?;
        let now = self.now();
        if !self.end.may_forward(self.forwarded.total(), now) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        if self.length == Some(self.forwarded.total()) {
            self.finish();
        }
        self.stall_timeout.on_bytes(data.len(), now);
        Ok(data)
    }

    /// Ready once the body has timed out.
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let at = self.created_at + Duration::from_micros(self.wait().0);
        if self.timer.deadline() != at {
            self.timer.as_mut().reset(at);
        }
        self.timer.as_mut().poll(cx)
    }

    /// Records that the client waits for the server, and returns when the body times out.
    fn wait(&mut self) -> Time {
        let now = self.now();
        self.stall_timeout.on_wait(now);
        self.stall_timeout.deadline().map_or(self.end.at(), |stalled| stalled.min(self.end.at()))
    }
}

fn time_since(origin: Instant, instant: Instant) -> Time {
    Time(instant.saturating_duration_since(origin).as_micros() as u64)
}
