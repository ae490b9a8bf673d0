//! Attempts: one request to one backend, within its limits, until it ends or is cancelled.

use super::connection::Connection;
use super::metered_stream::StreamProgress;
use super::pool::SpareConnections;
use super::relay::Relay;
use super::Upstream;
use crate::streaming_body::{OutgoingBody, StreamingBody};
use crate::telemetry::FirstByte;
use bellcroft_agent_core::guard::AttemptWindow;
use bellcroft_balancer::{Outcome, ServerId};
use bytes::Bytes;
use hyper::body::Body;
use hyper::header::{HeaderName, HeaderValue};
use hyper::Request;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout_at, Instant};

/// Tells a backend how long the agent will wait.
const TIMEOUT_HEADER: HeaderName = HeaderName::from_static("x-timeout");

/// Until when an attempt may do what.
pub struct AttemptLimits {
    /// When it may begin, and when it ends.
    pub window: AttemptWindow<Instant>,
    /// The longest time that its backend is told, if it is told less than is left: of a body that is still coming.
    pub max_timeout: Option<Duration>,
    /// From its start to an open connection, if its route is stricter than the platform.
    pub connect_timeout: Option<Duration>,
    /// From its hand-over to an open connection to the end of the response's head.
    pub first_byte_timeout: Option<Duration>,
}

impl AttemptLimits {
    /// Tells the backend how long the agent will wait from now on.
    fn tell_timeout(&self, request: &mut Request<OutgoingBody>, now: Instant) {
        let left = self.window.end_by.saturating_duration_since(now);
        let timeout = self.max_timeout.map_or(left, |most| left.min(most));
        if let Ok(timeout) = HeaderValue::from_str(&format!("{}u", timeout.as_micros().max(1))) {
            request.headers_mut().insert(TIMEOUT_HEADER, timeout);
        }
    }
}

/// How an exchange ended.
pub struct AttemptResult {
    /// The outcome in the balancer's terms.
    pub outcome: Outcome,
    /// The load report that came along.
    pub report: Option<Vec<f64>>,
    /// The answer of a served request: its content type and its body.
    pub response: Option<(Option<HeaderValue>, ResponseBody)>,
}

impl AttemptResult {
    /// An exchange with no answer for the client.
    pub fn without_response(outcome: Outcome) -> Self {
        AttemptResult { outcome, report: None, response: None }
    }
}

/// The body of a served request's answer.
pub enum ResponseBody {
    /// It has come completely.
    Complete(Bytes),
    /// It is long, and has begun.
    Streaming(Box<Relay>),
}

/// How far an attempt has come, shared by the driver and the attempt's task.
#[derive(Default)]
pub struct AttemptProgress {
    /// The stream that it goes over, and the count there when its last byte is written.
    stream: RefCell<Option<(Rc<StreamProgress>, u64)>>,
    cancelled: Cell<bool>,
    cancel: Notify,
    /// Notified of its first byte.
    first_byte: Cell<Option<FirstByte>>,
    /// Its body, if that is still coming when it starts.
    upload: Option<Rc<StreamingBody>>,
    /// A time for its end that has become known since it started.
    deadline: Cell<Option<Instant>>,
    deadline_changed: Notify,
}

impl AttemptProgress {
    /// An attempt that has not started.
    pub fn new(first_byte: Option<FirstByte>, upload: Option<Rc<StreamingBody>>) -> Self {
        AttemptProgress { first_byte: Cell::new(first_byte), upload, ..AttemptProgress::default() }
    }

    /// Its last byte may be written: from here on it may have run.
    pub fn may_have_run(&self) -> bool {
        // Of a body that did not tell its length, the last byte is known only when it has come.
        let upload_complete = || self.upload.as_ref().is_some_and(|u| u.completed_at().is_some());
        let written = |(stream, end): &(Rc<StreamProgress>, u64)| {
            stream.written.get() >= *end || (*end == u64::MAX && upload_complete())
        };
        self.stream.borrow().as_ref().is_some_and(written)
    }

    /// Its request is complete, and its time runs: it ends by then.
    pub fn set_deadline(&self, deadline: Instant) {
        self.deadline.set(Some(deadline));
        self.deadline_changed.notify_one();
    }

    /// Gives the attempt up. What has not been written stays unwritten.
    pub fn cancel(&self) {
        self.cancelled.set(true);
        if let Some((stream, _)) = &*self.stream.borrow() {
            stream.writes_stopped.set(true);
        }
        self.cancel.notify_one();
    }

    /// Waits for its time to be over.
    async fn expired(&self, first_deadline: Instant) {
        loop {
            let deadline = self.deadline.get().unwrap_or(first_deadline);
            tokio::select! {
                () = sleep_until(deadline) => return,
                () = self.deadline_changed.notified() => {}
            }
        }
    }

    /// Its body can't be completed, by its client's fault.
    fn upload_broken(&self) -> bool {
        self.upload.as_ref().is_some_and(|upload| upload.is_broken())
    }

    /// Prepares a connection for its request; the end of that in the count of bytes, the maximum if that is not known.
    fn start_on(
        &self,
        connection: &Connection,
        request: &Request<OutgoingBody>,
        window: AttemptWindow<Instant>,
    ) -> u64 {
        let stream = &connection.progress;
        let start = stream.written.get();
        stream.start_window.set(Some((start, window)));
        stream.first_byte.set(self.first_byte.take());
        let end = request_length(request).map_or(u64::MAX, |length| start + length);
        stream.request_end.set(end);
        *self.stream.borrow_mut() = Some((stream.clone(), end));
        end
    }
}

impl Upstream {
    /// Sends an attempt and waits for its end, until the end of its window at the longest.
    pub async fn attempt(
        &self,
        server: ServerId,
        request: Request<OutgoingBody>,
        limits: &AttemptLimits,
        progress: &AttemptProgress,
    ) -> AttemptResult {
        let broken_by = tokio::select! {
            biased;
            () = progress.cancel.notified() => Some(Outcome::Cancelled),
            result = self.send_attempt(server, request, limits, progress) => match result {
                Some(AttemptResult { outcome: Outcome::TimedOut, .. }) => Some(Outcome::TimedOut),
                Some(result) => return result,
                None => None,
            },
            () = progress.expired(limits.window.end_by) => Some(Outcome::TimedOut),
        };
        if progress.upload_broken() && !progress.may_have_run() {
            // It is the client's fault, and no server's.
            return AttemptResult::without_response(Outcome::NotSent);
        }
        // Whether a broken attempt may have run rests on the bytes that were written and on nothing else.
        AttemptResult::without_response(match (progress.may_have_run(), broken_by) {
            (true, outcome) => outcome.unwrap_or(Outcome::ConnectionReset),
            (false, _) if progress.cancelled.get() => Outcome::NotSent,
            (false, _) => Outcome::ConnectFailed,
        })
    }

    /// Sends an attempt over a connection; `None` if that broke on the way.
    async fn send_attempt(
        &self,
        server: ServerId,
        mut request: Request<OutgoingBody>,
        limits: &AttemptLimits,
        progress: &AttemptProgress,
    ) -> Option<AttemptResult> {
        let connection = match self.connect(server, limits).await {
            Ok(connection) => connection,
            Err(outcome) => return Some(AttemptResult::without_response(outcome)),
        };
        if progress.cancelled.get() {
            self.pool.release(connection);
            return None;
        }
        let now = Instant::now();
        if !limits.window.may_start(now) {
            self.pool.release(connection);
            return Some(AttemptResult::without_response(Outcome::NotSent));
        }
        // Told now and not when it was decided: the connection may have come up late.
        limits.tell_timeout(&mut request, now);
        let stream = connection.progress.clone();
        let start = stream.written.get();
        let end = progress.start_on(&connection, &request, limits.window);
        // A body that is still coming takes its client's time, not the backend's.
        let first_byte_timeout = limits.first_byte_timeout.filter(|_| progress.upload.is_none());
        let mut result = self.exchange(connection, request, first_byte_timeout).await;
        if let Some(AttemptResult { response: Some((_, ResponseBody::Streaming(relay))), .. }) = &mut result {
            relay.set_deadline(progress.deadline.get().unwrap_or(limits.window.end_by));
        }
        if end == u64::MAX && progress.may_have_run() {
            self.pool.count_written_attempt();
        }
        let started = stream.written.get() > start;
        if result.is_none() && !started && !limits.window.may_start(Instant::now()) {
            return Some(AttemptResult::without_response(Outcome::NotSent));
        }
        result
    }

    /// A connection within the time to start. Past that it is of no use to the attempt: it has failed, and another one may
    /// still be answered in the wanted time.
    async fn connect(&self, server: ServerId, limits: &AttemptLimits) -> Result<Connection, Outcome> {
        let now = Instant::now();
        let start_by = limits.window.start_by;
        let by = limits.connect_timeout.map_or(start_by, |most| start_by.min(now + most));
        let connection = self.pool.acquire(server, by, SpareConnections::Allowed);
        timeout_at(by, connection).await.unwrap_or(Err(Outcome::ConnectFailed))
    }
}

/// The bytes of a request as they are written, or a few less: short of them, its last byte is not written. None where its
/// body has not told its length.
fn request_length(request: &Request<OutgoingBody>) -> Option<u64> {
    let line =
        request.method().as_str().len() + request.uri().path().len() + " ".len() + " HTTP/1.1\r\n".len();
    let headers: usize =
        request.headers().iter().map(|(n, v)| n.as_str().len() + v.len() + ": \r\n".len()).sum();
    let query = request.uri().query().map_or(0, |q| q.len() + "?".len());
    let body = request.body().size_hint().exact()?;
    Some((line + query + headers + "\r\n".len()) as u64 + body)
}
