//! Judges what stands behind an open request by the whole definition of a sound request.
//!
//! Each byte is judged once, in the order of the connection, also if the requests before it get their responses meanwhile. Only what is
//! certain counts: the beginning of a request that may become sound is no reason to refuse the open one.

use super::head::{id_in_head, parse_framing, parse_lines, parse_trailer_names, HeadFraming};
use crate::sound_request::{is_trailer, may_begin_request, request_id, UnsoundRequest};
use bellcroft_agent_core::body_limits;
use bellcroft_agent_core::chunks::{ChunkedBodyScanner, InvalidChunkedBody};
use bellcroft_agent_core::request_claims::RequestIdHash;
use bellcroft_platform_settings::fnv1a;
use hyper::http::request::Parts;
use std::collections::VecDeque;
use std::rc::Rc;

/// The end of a line, and by itself an empty line, which a server ignores before a request (RFC 9112, section 2.2).
const LINE_END: &[u8] = b"\r\n";

/// Checks heads by the classes and tenants of a process.
pub trait CheckHead {
    /// Checks the head of a request. `has_body` states whether it declares a body that is not empty.
    ///
    /// # Errors
    ///
    /// Returns the rule that the head violates.
    fn check_head(&self, head: &Parts, has_body: bool) -> Result<(), UnsoundRequest>;
}

/// The position in the request that is judged.
#[derive(Clone, Copy)]
enum Stage {
    Head,
    /// In a body of known length: the number of bytes that are still to come.
    Body(u64),
    /// In the chunks of a body.
    Chunks(ChunkedBodyScanner),
    /// At the beginning of the trailer section.
    Trailers(ChunkedBodyScanner),
}

/// A request of a connection that has no response yet. Positions count from the connection's first byte.
struct UnansweredRequest {
    starts_at: u64,
    id: RequestIdHash,
}

/// The requests behind an open one, as far as they have been judged.
pub(super) struct FollowingRequests {
    checks: Rc<dyn CheckHead>,
    /// The position up to which the connection has been judged.
    judged_to: u64,
    stage: Stage,
    /// The length of an incomplete head when it was parsed; it is not parsed again before more bytes have come.
    parsed_len: usize,
    /// The open request and those behind it that have been judged, in their order.
    unanswered: VecDeque<UnansweredRequest>,
}

impl FollowingRequests {
    pub(super) fn new(checks: Rc<dyn CheckHead>) -> Self {
        FollowingRequests {
            checks,
            judged_to: 0,
            stage: Stage::Head,
            parsed_len: 0,
            unanswered: VecDeque::new(),
        }
    }

    /// Called with the complete head of the next request that is handled, which starts at this position.
    pub(super) fn on_request(&mut self, starts_at: u64, head: &[u8]) {
        while self.unanswered.front().is_some_and(|request| request.starts_at < starts_at) {
            self.unanswered.pop_front();
        }
        let ends_at = starts_at + head.len() as u64;
        let is_known = self.unanswered.front().is_some_and(|request| request.starts_at < ends_at);
        if let Some(id) = id_in_head(head).filter(|_| !is_known) {
            self.unanswered.push_front(UnansweredRequest { starts_at, id });
        }
    }

    /// Judges these bytes behind the open request, which ends at this position, as far as they have not been judged.
    ///
    /// # Errors
    ///
    /// Returns the rule that they violate, whatever bytes come behind them.
    pub(super) fn judge(&mut self, request_end: u64, bytes: &[u8]) -> Result<(), UnsoundRequest> {
        if self.judged_to < request_end {
            self.judged_to = request_end;
            self.stage = Stage::Head;
            self.parsed_len = 0;
        }
        loop {
            let judged_len = (self.judged_to - request_end) as usize;
            let rest = bytes.get(judged_len..).unwrap_or_default();
            let judged = match self.stage {
                Stage::Head => self.judge_head(rest)?,
                Stage::Body(left) => self.pass_body(left, rest),
                Stage::Chunks(chunks) => self.judge_chunks(chunks, rest)?,
                Stage::Trailers(trailers) => self.judge_trailers(trailers, rest)?,
            };
            if judged == 0 {
                return Ok(());
            }
            self.judged_to += judged as u64;
        }
    }

    /// Judges a head at the beginning of these bytes, or passes an empty line; returns the number of judged bytes.
    fn judge_head(&mut self, bytes: &[u8]) -> Result<usize, UnsoundRequest> {
        if bytes.starts_with(LINE_END) {
            return Ok(LINE_END.len());
        }
        if bytes.len() == self.parsed_len {
            return Ok(0);
        }
        self.parsed_len = bytes.len();
        if !may_begin_request(bytes) {
            return Err(UnsoundRequest::FollowingBytes);
        }
        let (head, body_length) = match parse_framing(bytes) {
            HeadFraming::Partial => return Ok(0),
            HeadFraming::Unreadable | HeadFraming::Malformed(_) => return Err(UnsoundRequest::Head),
            HeadFraming::Ambiguous(_) => return Err(UnsoundRequest::AmbiguousLength),
            HeadFraming::Sized(head, length) => (head, Some(length)),
            HeadFraming::Chunked(head) => (head, None),
        };
        let parts = parse_lines(&bytes[..head]).ok_or(UnsoundRequest::Head)?;
        self.checks.check_head(&parts, body_length != Some(0))?;
        body_limits::forwarding_mode(body_length).map_err(|_| UnsoundRequest::BodyTooLarge)?;
        if let Some(id) = request_id(&parts.headers) {
            self.add_unanswered(RequestIdHash(fnv1a(id)))?;
        }
        self.parsed_len = 0;
        self.stage = match body_length {
            Some(0) => Stage::Head,
            Some(length) => Stage::Body(length),
            None => Stage::Chunks(ChunkedBodyScanner::default()),
        };
        Ok(head)
    }

    /// Adds the request that starts where the judged bytes end.
    fn add_unanswered(&mut self, id: RequestIdHash) -> Result<(), UnsoundRequest> {
        if self.unanswered.iter().any(|request| request.id == id) {
            return Err(UnsoundRequest::RepeatedId);
        }
        self.unanswered.push_back(UnansweredRequest { starts_at: self.judged_to, id });
        Ok(())
    }

    /// Passes the bytes of a body of which so many are left; returns their number.
    fn pass_body(&mut self, left: u64, bytes: &[u8]) -> usize {
        let passed = left.min(bytes.len() as u64);
        self.stage = if passed == left { Stage::Head } else { Stage::Body(left - passed) };
        passed as usize
    }

    /// Judges the chunks of a body; returns the number of judged bytes.
    fn judge_chunks(
        &mut self,
        mut chunks: ChunkedBodyScanner,
        bytes: &[u8],
    ) -> Result<usize, UnsoundRequest> {
        let judged =
            chunks.advance_to_trailers(bytes).map_err(|InvalidChunkedBody| UnsoundRequest::IncompleteBody)?;
        self.stage = if chunks.is_in_trailers() { Stage::Trailers(chunks) } else { Stage::Chunks(chunks) };
        Ok(judged)
    }

    /// Judges a trailer section at the beginning of these bytes, once it is complete; returns its length.
    fn judge_trailers(
        &mut self,
        mut trailers: ChunkedBodyScanner,
        bytes: &[u8],
    ) -> Result<usize, UnsoundRequest> {
        let length = trailers.advance(bytes).map_err(|InvalidChunkedBody| UnsoundRequest::IncompleteBody)?;
        if !trailers.is_complete() {
            return Ok(0);
        }
        let names = parse_trailer_names(&bytes[..length]).ok_or(UnsoundRequest::IncompleteBody)?;
        if !names.into_iter().all(is_trailer) {
            return Err(UnsoundRequest::Trailer);
        }
        self.stage = Stage::Head;
        Ok(length)
    }
}
