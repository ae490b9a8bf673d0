//! A write-ahead log of attempts whose requests must not run twice. After a crash it shows which attempts were sent to
//! which servers, and which of them got a response.
//!
//! - [`Record`]: one event of a request or attempt. Times are in microseconds since the process started, wall-clock times
//!   in Unix milliseconds. Of a request's headers only the id and the idempotency key are stored, and no body.
//! - [`segment`]: append-only files of frames with a checksum each, so that a truncation or corruption loses only the
//!   frames that it covers.
//! - [`LogWriter`]: writes segments to a [`Storage`], whose calls may fail.
//! - [`recover`]: reads the segments of earlier processes, and quarantines corrupt tails.
//! - [`HistoryIndex`]: the history and state of each request, and of all requests with one idempotency key.
//!
//! Requests do not depend on the log: if a write fails, the writer counts the records as lost, and the caller continues.

mod history;
mod record;
mod recovery;
pub mod segment;
mod storage;
mod writer;

pub use history::{AttemptHistory, HistoryIndex, RequestHistory, State};
pub use record::{FinalResponse, Incarnation, Outcome, Record, MAX_NAME_BYTES};
pub use recovery::{recover, QuarantinedTail, RecoveredSegment, Recovery, UnreadableFile};
pub use storage::Storage;
pub use writer::{LogPolicy, LogWriter, SyncPolicy};
