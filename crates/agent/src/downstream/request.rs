//! Reads and checks a client's request.

use super::connection::{ClientConnection, RequestRejection};
use super::following::CheckHead;
use super::{Server, READINESS_PATH};
use crate::driver::{class_signature, IncomingRequest, RequestBody, MAX_UPLOAD_TIME};
use crate::memory::HeldBytes;
use crate::sound_request::{
    affinity_key, check_head, class_name, has_idempotency_key, has_sound_trailers, header_text, request_id,
    PlatformFields, UnsoundFinding, UnsoundRequest,
};
use crate::streaming_body::{BrokenUpload, ReceivedBody, StreamingBody};
use crate::upstream::forwarded_headers;
use bellcroft_agent_core::body_limits::{self, ForwardingMode, MAX_BUFFERED_BODY_BYTES};
use bellcroft_agent_core::memory_budget::MemoryUse;
use bellcroft_agent_core::reconfigure::{ClassHandle, ClassSignature, IncompatibleClass};
use bellcroft_balancer::{Micros, RetrySafety, TenantId};
use bellcroft_routes::Route;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Uri};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// The part of a client's timeout that is reserved for writing the response.
const RESPONSE_WRITE_RESERVE: Duration = Duration::from_millis(6);
/// A request that has waited for less than this since its arrival counts from now: the balancer takes requests with less time
/// left than others of their class for retries.
const MIN_ARRIVAL_DELAY: Duration = Duration::from_millis(20);
/// The memory of a streaming request beyond that of other connections: its attempt, its second connection, and the pieces that are
/// on their way.
const STREAMING_BYTES: usize = 32 << 10;
/// The longest wait for the memory of a request that has been refused.
const ROOM_TIMEOUT: Duration = Duration::from_millis(50);

/// Why a request is not forwarded.
pub(super) enum ReadError {
    /// It is not sound.
    Unsound(UnsoundFinding),
    /// There is no memory for its body.
    OutOfMemory,
}

impl From<UnsoundFinding> for ReadError {
    fn from(unsound: UnsoundFinding) -> Self {
        ReadError::Unsound(unsound)
    }
}

impl From<UnsoundRequest> for ReadError {
    fn from(unsound: UnsoundRequest) -> Self {
        ReadError::Unsound(unsound.into())
    }
}

/// The head of a request, checked. It shares no memory with the connection's buffer, which would be held as long as the request.
struct RequestHead {
    method: Method,
    target: PathAndQuery,
    /// The headers that are forwarded.
    headers: HeaderMap,
    class: ClassHandle,
    tenant: Option<TenantId>,
    timeout: Duration,
    cost_hint: Option<Micros>,
    is_retry: bool,
    request_id: Rc<str>,
    route: Option<Arc<Route>>,
}

impl CheckHead for Server {
    fn check_head(&self, head: &Parts, has_body: bool) -> Result<(), UnsoundRequest> {
        if head.uri.path() == READINESS_PATH {
            return Ok(());
        }
        self.check_fields(head, has_body).map(drop)
    }
}

impl Server {
    /// Reads and checks a request, with its complete body or the beginning of a streaming one.
    pub(super) async fn read_request(
        &self,
        request: Request<Incoming>,
        client: &ClientConnection,
    ) -> Result<IncomingRequest, ReadError> {
        let (head, body) = request.into_parts();
        let has_body = body.size_hint().exact() != Some(0);
        let head = self.parse_head(&head, has_body).inspect_err(|unsound| {
            self.on_unsound(request_id(&head.headers), (*unsound).into());
        })?;
        let body = self.read_body_start(body, client).await.inspect_err(|error| {
            if let ReadError::Unsound(unsound) = error {
                self.on_unsound(Some(&head.request_id), *unsound);
            }
        })?;
        let timeout = head.timeout;
        let response_timeout = timeout - RESPONSE_WRITE_RESERVE.min(timeout / 4);
        let now = Instant::now();
        let received_at = match body {
            RequestBody::Complete(_) if client.request_received_at() + MIN_ARRIVAL_DELAY <= now => {
                client.request_received_at()
            }
            RequestBody::Complete(_) | RequestBody::Streaming(_) => now,
        };
        let time_to_deadline = if body.upload().is_some() { MAX_UPLOAD_TIME } else { response_timeout };
        Ok(IncomingRequest {
            class: head.class,
            tenant: head.tenant,
            key: affinity_key(&head.target),
            cost_hint: head.cost_hint,
            is_retry: head.is_retry,
            deadline: received_at + time_to_deadline,
            response_timeout,
            received_at,
            client_deadline: received_at + timeout,
            request_id: head.request_id,
            route: head.route,
            headers: head.headers,
            method: head.method,
            target: head.target,
            body,
            client: client.presence().cloned(),
        })
    }

    /// Checks a head. `has_body` states whether it declares a body that is not empty.
    fn check_fields<'a>(
        &self,
        head: &'a Parts,
        has_body: bool,
    ) -> Result<(ClassHandle, PlatformFields<'a>), UnsoundRequest> {
        check_head(head, has_body)?;
        let class_name = class_name(head.uri.path());
        let class = self.class_of(head, class_name)?;
        if header_text(&head.headers, "x-priority-class") != Some(class_name) {
            return Err(UnsoundRequest::PriorityClass);
        }
        Ok((class, PlatformFields::parse(&head.headers, &self.driver.names().tenants)?))
    }

    /// Checks a head, and parses what is needed of it.
    fn parse_head(&self, head: &Parts, has_body: bool) -> Result<RequestHead, UnsoundRequest> {
        let (class, fields) = self.check_fields(head, has_body)?;
        Ok(RequestHead {
            target: detached_target(&head.uri).ok_or(UnsoundRequest::Target)?,
            headers: forwarded_headers(&head.headers),
            route: self.driver.route(class.id(), fields.tenant, head.uri.path()),
            class,
            tenant: fields.tenant,
            timeout: fields.timeout,
            cost_hint: fields.cost_hint,
            is_retry: fields.is_retry,
            request_id: fields.request_id.into(),
            method: head.method.clone(),
        })
    }

    /// The class of a request, from which its method and whether it has an idempotency key follow.
    fn class_of(&self, head: &Parts, class_name: &str) -> Result<ClassHandle, UnsoundRequest> {
        let signature = class_signature(&head.method, &head.headers);
        match self.driver.class(class_name, signature) {
            Ok(class) if signature != ClassSignature::SafeMethod => Ok(class),
            Ok(_) if head.method != Method::GET => Err(UnsoundRequest::Method("GET")),
            Ok(_) if has_idempotency_key(&head.headers) => Err(UnsoundRequest::UnexpectedKey),
            Ok(class) => Ok(class),
            Err(IncompatibleClass::Unknown) => Err(UnsoundRequest::UnknownClass),
            Err(IncompatibleClass::Signature(RetrySafety::Idempotent)) => Err(UnsoundRequest::Method("GET")),
            Err(_) if head.method != Method::POST => Err(UnsoundRequest::Method("POST")),
            Err(IncompatibleClass::Signature(RetrySafety::AtMostOnce)) => Err(UnsoundRequest::UnexpectedKey),
            Err(IncompatibleClass::Signature(RetrySafety::Deduplicated { .. })) => {
                Err(UnsoundRequest::MissingKey)
            }
        }
    }

    /// Counts and logs a request that is not sound; its id is given if it has a sound one.
    pub(super) fn on_unsound(&self, request_id: Option<&str>, unsound: UnsoundFinding) {
        self.count_bad_request();
        self.driver.request_log.on_unsound_request(request_id, unsound);
    }

    /// Counts a request that is answered for what is wrong with it.
    pub(super) fn count_bad_request(&self) {
        self.request_counters.on_bad_request();
        if let Some(telemetry) = &self.driver.telemetry {
            telemetry.bad_request();
        }
    }

    /// Makes room in the memory budget by refusing the request of a client that has stopped within its body. The error means that
    /// there is no such client.
    async fn make_room_in_memory(&self) -> Result<(), ReadError> {
        if !self.refuse_stalled_body() {
            return Err(ReadError::OutOfMemory);
        }
        timeout(ROOM_TIMEOUT, self.driver.memory.released()).await.map_err(|_| ReadError::OutOfMemory)
    }

    /// Reads a complete body, or the beginning of one that will be streamed.
    async fn read_body_start(
        &self,
        mut body: Incoming,
        client: &ClientConnection,
    ) -> Result<RequestBody, ReadError> {
        let length = body.size_hint().exact();
        let mode = body_limits::forwarding_mode(length).map_err(|_| UnsoundRequest::BodyTooLarge)?;
        let memory = &self.driver.memory;
        let mut buffered = HeldBytes::new(memory, MemoryUse::Message);
        let more = loop {
            let mut data = match body.frame().await {
                None if client.is_request_received() => return Ok(RequestBody::Complete(buffered.into())),
                None | Some(Err(_)) => return Err(incomplete_body(client).into()),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    Err(frame) if has_sound_trailers(&frame) => Bytes::new(),
                    Err(_) => return Err(UnsoundRequest::Trailer.into()),
                },
            };
            let mut is_buffered = buffered.take_from(&mut data, MAX_BUFFERED_BODY_BYTES);
            while !is_buffered && mode == ForwardingMode::Buffered && buffered.len() < MAX_BUFFERED_BODY_BYTES
            {
                self.make_room_in_memory().await?;
                is_buffered = buffered.take_from(&mut data, MAX_BUFFERED_BODY_BYTES);
            }
            client.set_buffered_body(buffered.len());
            if !is_buffered || (mode == ForwardingMode::Streamed && buffered.len() == MAX_BUFFERED_BODY_BYTES)
            {
                break data;
            }
        };
        let mut reservation = memory.reservation();
        while !reservation.try_resize(STREAMING_BYTES, MemoryUse::Message) {
            self.make_room_in_memory().await?;
        }
        let received = ReceivedBody { length, beginning: buffered.into(), more, incoming: body };
        let upload = StreamingBody::new(received, memory, reservation, self.driver.clock);
        upload.receive_beginning(|| client.is_request_received()).await;
        match upload.broken() {
            Some(BrokenUpload::Malformed) => Err(incomplete_body(client).into()),
            Some(BrokenUpload::TooLarge) => Err(UnsoundRequest::BodyTooLarge.into()),
            None => Ok(RequestBody::Streaming(upload)),
        }
    }
}

/// What is wrong with a request whose body has broken off.
fn incomplete_body(client: &ClientConnection) -> UnsoundFinding {
    match client.rejection() {
        Some(RequestRejection::Unsound(unsound)) => unsound,
        Some(RequestRejection::OutOfMemory) | None => UnsoundRequest::IncompleteBody.into(),
    }
}

/// The path and query of a target, in memory of their own; none if it has no path.
fn detached_target(uri: &Uri) -> Option<PathAndQuery> {
    uri.path_and_query()?.as_str().parse().ok()
}
