//! Records of the log.
//!
//! They are stored in postcard's encoding, which contains no names. The order of variants and fields is therefore part of
//! the stored format and must not change.

use serde::{Deserialize, Serialize};

/// Limit of stored ids, keys and names, in bytes; longer ones are truncated.
pub const MAX_NAME_BYTES: usize = 256;

/// Identifier of one run of a process. Request numbers are unique within it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// The outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The complete response was received.
    Answered,
    /// The server rejected it before it ran.
    Rejected,
    /// The request was not written completely, so it did not run.
    NotSent,
    /// The connection failed, or the attempt was cancelled, after the request was written completely: it may have run.
    Unknown,
    /// The server responded with an error: the request may have run.
    ServerError,
}

impl Outcome {
    /// Whether this outcome proves that the attempt did not run.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::NotSent)
    }
}

/// The final response to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinalResponse {
    /// The response of a server.
    Served,
    /// The request was shed: a retry is harmless.
    Rejected,
    /// The request failed, with no promise about its effect.
    Failed,
}

/// One entry of the log. Fields in `_us` are microseconds since the process started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A request was received.
    Received {
        /// Number of the request within the incarnation.
        request: u64,
        /// Value of `X-Request-ID`.
        #[serde(with = "serde_bytes")]
        id: Vec<u8>,
        /// Value of `Idempotency-Key`; empty for none.
        #[serde(with = "serde_bytes")]
        key: Vec<u8>,
        /// Name of the class.
        class: String,
        /// Name of the tenant; empty for none.
        tenant: String,
        /// Wall-clock time at which the request was received, in Unix milliseconds.
        wall_ms: u64,
        /// Time at which the request was received.
        at_us: u64,
        /// Deadline of the request.
        deadline_us: u64,
    },
    /// An attempt is about to be sent. The record is passed to the operating system before the attempt's first byte, unless
    /// `written_late` is set.
    Intent {
        /// The request.
        request: u64,
        /// The attempt's number within the request.
        attempt: u32,
        /// Name of the server.
        server: String,
        /// Address of the server.
        address: String,
        /// Time of the decision to send the attempt.
        at_us: u64,
        /// Rest of the dedup window; none if servers do not deduplicate.
        remaining_window_us: Option<u64>,
        /// The attempt was sent before this record was written, because the disk was slow. Until the record was written,
        /// the log did not show the attempt.
        written_late: bool,
    },
    /// An attempt has finished.
    Outcome {
        /// The request.
        request: u64,
        /// The attempt's number within the request.
        attempt: u32,
        /// Outcome of the attempt.
        outcome: Outcome,
        /// Time at which the attempt finished.
        at_us: u64,
    },
    /// The request has its final response.
    Completed {
        /// The request.
        request: u64,
        /// Kind of the response.
        response: FinalResponse,
        /// Time of the decision on the response.
        at_us: u64,
    },
    /// The client disconnected before it had a response.
    ClientDisconnected {
        /// The request.
        request: u64,
        /// Time of the disconnect.
        at_us: u64,
    },
    /// Records could not be written. A record that is missing between these two times proves nothing.
    Gap {
        /// Number of lost records.
        lost_records: u64,
        /// Start of the gap.
        from_us: u64,
        /// End of the gap.
        to_us: u64,
    },
}

impl Record {
    /// Truncates names to [`MAX_NAME_BYTES`], so that no client's header makes a record that is too long to be read back.
    #[must_use]
    pub fn truncated(mut self) -> Self {
        match &mut self {
            Record::Received { id, key, class, tenant, .. } => {
                id.truncate(MAX_NAME_BYTES);
                key.truncate(MAX_NAME_BYTES);
                [class, tenant].into_iter().for_each(truncate_text);
            }
            Record::Intent { server, address, .. } => {
                [server, address].into_iter().for_each(truncate_text);
            }
            Record::Outcome { .. }
            | Record::Completed { .. }
            | Record::ClientDisconnected { .. }
            | Record::Gap { .. } => {}
        }
        self
    }
}

/// Truncates a text to [`MAX_NAME_BYTES`] at a character boundary.
fn truncate_text(text: &mut String) {
    if text.len() > MAX_NAME_BYTES {
        let end = (0..=MAX_NAME_BYTES).rev().find(|at| text.is_char_boundary(*at)).unwrap_or(0);
        text.truncate(end);
    }
}
