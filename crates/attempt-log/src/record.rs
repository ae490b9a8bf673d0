//! The records of the log.
//!
//! They are stored in postcard's form, which has no names: the order of variants and fields is the stored form.

use serde::{Deserialize, Serialize};

/// The longest id, key and name that is stored, in bytes; a longer one is cut there.
pub const MAX_NAME_BYTES: usize = 256;

/// One run of a process. Request numbers count within it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The complete response arrived.
    Answered,
    /// The server rejected it before it ran.
    Rejected,
    /// Not all of it was written, so it did not run.
    NotSent,
    /// The connection broke, or the attempt was cancelled, after all of it was written: it may have run.
    Unknown,
    /// The server answered with an error: it may have run.
    ServerError,
}

impl Outcome {
    /// Whether this outcome proves that the attempt did not run.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::NotSent)
    }
}

/// The one final response to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinalResponse {
    /// A server's response.
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
        /// Its number within the incarnation.
        request: u64,
        /// Its `X-Request-ID`.
        #[serde(with = "serde_bytes")]
        id: Vec<u8>,
        /// Its `Idempotency-Key`; empty for none.
        #[serde(with = "serde_bytes")]
        key: Vec<u8>,
        /// Its class.
        class: String,
        /// Its tenant; empty for none.
        tenant: String,
        /// When it was received, by the wall clock in Unix milliseconds.
        wall_ms: u64,
        /// When it was received.
        at_us: u64,
        /// Its deadline.
        deadline_us: u64,
    },
    /// An attempt is about to be sent; this record is passed to the operating system before the attempt's first byte.
    Intent {
        /// The request.
        request: u64,
        /// The attempt's number within the request.
        attempt: u32,
        /// The server's name.
        server: String,
        /// The server's address.
        address: String,
        /// When the attempt was about to be sent.
        at_us: u64,
        /// For how long servers still drop a repeat; none where they never do.
        remaining_window_us: Option<u64>,
        /// The attempt was sent before this record was written, as the disk was slow: for that time the log proves nothing.
        written_late: bool,
    },
    /// An attempt ended.
    Outcome {
        /// The request.
        request: u64,
        /// The attempt's number within the request.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// When it ended.
        at_us: u64,
    },
    /// The request has its final response.
    Completed {
        /// The request.
        request: u64,
        /// Which response.
        response: FinalResponse,
        /// When it was decided.
        at_us: u64,
    },
    /// The client disconnected before it had a response.
    ClientDisconnected {
        /// The request.
        request: u64,
        /// When.
        at_us: u64,
    },
    /// Records could not be written: that one is missing between these two moments proves nothing.
    Gap {
        /// The number of records.
        lost_records: u64,
        /// Begin of the gap.
        from_us: u64,
        /// End of the gap.
        to_us: u64,
    },
}

impl Record {
    /// Cuts names to [`MAX_NAME_BYTES`], so that no client's header makes a record that can't be read back.
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

/// Cuts a text at the last character that ends within the bound.
fn truncate_text(text: &mut String) {
    if text.len() > MAX_NAME_BYTES {
        let end = (0..=MAX_NAME_BYTES).rev().find(|at| text.is_char_boundary(*at)).unwrap_or(0);
        text.truncate(end);
    }
}
