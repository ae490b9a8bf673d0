//! Attempts: one send of a request to one server, until its response, its deadline or its cancellation.

use super::connection::Connection;
use super::metered_stream::StreamProgress;
use super::pool::SpareConnections;
use super::relay::Relay;
use super::Upstream;
use crate::client_presence::ClientPresence;
use crate::memory::BodyBytes;
use crate::streaming_body::{OutgoingBody, StreamingBody};
use crate::telemetry::FirstByteReport;
use bellcroft_agent_core::guard::AttemptWindow;
use bellcroft_balancer::{Outcome, ServerId};
use hyper::body::Body;
use hyper::header::{HeaderName, HeaderValue};
use hyper::Request;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout_at, Instant};

/// The header with the time that the agent waits for the response.
const TIMEOUT_HEADER: HeaderName = HeaderName::from_static("x-timeout");

/// The time limits of an attempt.
pub struct AttemptLimits {
    /// The latest start of the attempt, and its end.
    pub window: AttemptWindow<Instant>,
    /// The time by which the request's response is due; later than the window's end if the attempt has a limit of its own.
    pub respond_by: Instant,
    /// The maximum of the timeout that the server receives, for a request whose body is still being received.
    pub max_timeout: Option<Duration>,
    /// The maximum time from the start of the attempt to the open connection, if the route has a limit of its own.
    pub connect_timeout: Option<Duration>,
    /// The maximum time from sending the request over an open connection to the end of the response's head.
    pub first_byte_timeout: Option<Duration>,
}

impl AttemptLimits {
    /// Sets the header that informs the server how long the agent waits from now on.
    /// `deadline` is that of the attempt, if it has replaced the end of the window.
    fn set_timeout_header(
        &self,
        request: &mut Request<OutgoingBody>,
        deadline: Option<Instant>,
        now: Instant,
    ) {
        let end_by = deadline.map_or(self.window.end_by, |deadline| deadline.min(self.window.end_by));
        let remaining = end_by.saturating_duration_since(now);
        let timeout = self.max_timeout.map_or(remaining, |max| remaining.min(max));
        if let Ok(timeout) = HeaderValue::from_str(&format!("{}u", timeout.as_micros().max(1))) {
            request.headers_mut().insert(TIMEOUT_HEADER, timeout);
        }
    }
}

/// The result of an attempt or a health check.
pub struct AttemptResult {
    /// The outcome in the balancer's terms.
    pub outcome: Outcome,
    /// The load report in the response, if it had one.
    pub report: Option<Vec<f64>>,
    /// The response of a served request: its content type and its body.
    pub response: Option<(Option<HeaderValue>, ResponseBody)>,
}

impl AttemptResult {
    /// A result without a response for the client.
    pub fn without_response(outcome: Outcome) -> Self {
        AttemptResult { outcome, report: None, response: None }
    }
}

/// The body of a server's response.
pub enum ResponseBody {
    /// A complete body.
    Complete(BodyBytes),
    /// A long body, of which the server has sent the beginning.
    Streaming(Box<Relay>),
}

/// The progress of an attempt, shared by the driver and the attempt's task.
#[derive(Default)]
pub struct AttemptProgress {
    /// The stream of the attempt's connection, and its count of written bytes at the end of the request.
    stream: RefCell<Option<(Rc<StreamProgress>, u64)>>,
    cancelled: Cell<bool>,
    cancel: Notify,
    /// Notified when the first byte is written.
    first_byte: Cell<Option<FirstByteReport>>,
    /// The request's body, if it is still being received when the attempt starts.
    upload: Option<Rc<StreamingBody>>,
    /// Whether the client may have closed its connection.
    client: Option<Rc<ClientPresence>>,
    /// The deadline that replaces the end of the attempt's window once the request is complete.
    deadline: Cell<Option<Instant>>,
    deadline_changed: Notify,
}

impl AttemptProgress {
    /// An attempt that has not started.
    pub fn new(
        first_byte: Option<FirstByteReport>,
        upload: Option<Rc<StreamingBody>>,
        client: Option<Rc<ClientPresence>>,
    ) -> Self {
        AttemptProgress { first_byte: Cell::new(first_byte), upload, client, ..AttemptProgress::default() }
    }

    /// Whether the last byte of the request may have been written, so that the server may have executed it.
    pub fn may_have_run(&self) -> bool {
        // The last byte of a body without a declared length is known only once it has been taken.
        let upload_taken = || self.upload.as_ref().is_some_and(|upload| upload.is_taken());
        let written = |(stream, end): &(Rc<StreamProgress>, u64)| {
            stream.written.get() >= *end || (*end == u64::MAX && upload_taken())
        };
        self.stream.borrow().as_ref().is_some_and(written)
    }

    /// Sets the deadline of the attempt, which is known once its request is complete.
    pub fn set_deadline(&self, deadline: Instant) {
        self.deadline.set(Some(deadline));
        self.deadline_changed.notify_one();
    }

    /// The time by which the response is due whose first bytes have just arrived. The client of a request that is still being
    /// received has its whole timeout left.
    fn response_deadline(&self, limits: &AttemptLimits) -> Instant {
        let whole_timeout = limits.max_timeout.map(|timeout| Instant::now() + timeout);
        let initial = whole_timeout.map_or(limits.respond_by, |latest| limits.respond_by.min(latest));
        self.deadline.get().unwrap_or(initial)
    }

    /// Cancels the attempt. No further byte of it is written.
    pub fn cancel(&self) {
        self.cancelled.set(true);
        if let Some((stream, _)) = &*self.stream.borrow() {
            stream.writes_stopped.set(true);
        }
        self.cancel.notify_one();
    }

    /// Waits until the deadline has passed; it may change meanwhile.
    async fn expired(&self, initial_deadline: Instant) {
        loop {
            let deadline = self.deadline.get().unwrap_or(initial_deadline);
            tokio::select! {
                () = sleep_until(deadline) => return,
                () = self.deadline_changed.notified() => {}
            }
        }
    }

    /// Whether an attempt may begin for the client, which may have closed its connection unnoticed.
    async fn is_client_confirmed(&self) -> bool {
        match &self.client {
            Some(client) => client.is_confirmed().await,
            None => true,
        }
    }

    /// Whether the request's body cannot be completed: its client disconnected, or sent too many or invalid bytes.
    fn is_upload_broken(&self) -> bool {
        self.upload.as_ref().is_some_and(|upload| upload.is_broken())
    }

    /// Prepares a connection for the request. Returns the count of written bytes at the end of the request, or `u64::MAX` if
    /// its length is unknown.
    fn prepare_connection(
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
    /// Sends an attempt and waits for its result, at most until its deadline.
    pub async fn attempt(
        &self,
        server: ServerId,
        request: Request<OutgoingBody>,
        limits: &AttemptLimits,
        progress: &AttemptProgress,
    ) -> AttemptResult {
        let ended_by = tokio::select! {
            biased;
            () = progress.cancel.notified() => Some(Outcome::Cancelled),
            result = self.send_attempt(server, request, limits, progress) => match result {
                Some(AttemptResult { outcome: Outcome::TimedOut, .. }) => Some(Outcome::TimedOut),
                Some(result) => return result,
                None => None,
            },
            () = progress.expired(limits.window.end_by) => Some(Outcome::TimedOut),
        };
        if progress.is_upload_broken() && !progress.may_have_run() {
            // The client caused this, so it must not count against the server.
            return AttemptResult::without_response(Outcome::NotSent);
        }
        // Whether a broken attempt may have been executed depends only on the bytes that were written.
        AttemptResult::without_response(match (progress.may_have_run(), ended_by) {
            (true, outcome) => outcome.unwrap_or(Outcome::ConnectionReset),
            (false, _) if progress.cancelled.get() => Outcome::NotSent,
            (false, _) => Outcome::ConnectFailed,
        })
    }

    /// Sends an attempt over a connection; `None` if the attempt was cancelled, or the connection broke.
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
        let is_confirmed = progress.is_client_confirmed().await;
        let now = Instant::now();
        if progress.cancelled.get() || !is_confirmed || !limits.window.may_start(now) {
            self.pool.release(connection);
            return Some(AttemptResult::without_response(Outcome::NotSent));
        }
        // The header is computed only now, since connecting may have taken long.
        limits.set_timeout_header(&mut request, progress.deadline.get(), now);
        let stream = connection.progress.clone();
        let start = stream.written.get();
        let end = progress.prepare_connection(&connection, &request, limits.window);
        // The timeout does not apply to a body that is still being received: it would include the time that the client takes.
        let first_byte_timeout = limits.first_byte_timeout.filter(|_| progress.upload.is_none());
        let respond_by = || progress.response_deadline(limits);
        let result = self.exchange(connection, request, first_byte_timeout, respond_by).await;
        if end == u64::MAX && progress.may_have_run() {
            self.pool.count_written_attempt();
        }
        let started = stream.written.get() > start;
        if result.is_none() && !started && !limits.window.may_start(Instant::now()) {
            return Some(AttemptResult::without_response(Outcome::NotSent));
        }
        result
    }

    /// Acquires a connection before the latest start of the attempt. After that the attempt has failed, and another attempt
    /// may still meet the latency objective.
    async fn connect(&self, server: ServerId, limits: &AttemptLimits) -> Result<Connection, Outcome> {
        let now = Instant::now();
        let start_by = limits.window.start_by;
        let deadline = limits.connect_timeout.map_or(start_by, |timeout| start_by.min(now + timeout));
        let connection = self.pool.acquire(server, deadline, SpareConnections::Allowed);
        timeout_at(deadline, connection).await.unwrap_or(Err(Outcome::ConnectFailed))
    }
}

/// A lower bound of the written length of a request, at most a few bytes too small: until that many bytes are written, the
/// last byte of the request is not written. None if the body has no declared length.
fn request_length(request: &Request<OutgoingBody>) -> Option<u64> {
    let request_line =
        request.method().as_str().len() + request.uri().path().len() + " ".len() + " HTTP/1.1\r\n".len();
    let headers: usize =
        request.headers().iter().map(|(n, v)| n.as_str().len() + v.len() + ": \r\n".len()).sum();
    let query = request.uri().query().map_or(0, |q| q.len() + "?".len());
    let body = request.body().size_hint().exact()?;
    Some((request_line + query + headers + "\r\n".len()) as u64 + body)
}
