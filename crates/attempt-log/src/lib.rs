//! A write-ahead log of attempts whose request must not run twice: what was sent where, and whether a response came back,
//! after any crash.
//!
//! - [`Record`]: one event of a request or attempt. Times are microseconds since the process started, wall times Unix
//!   milliseconds; no body and no other header is stored.
//! - [`segment`]: append-only files whose every frame carries a checksum, so that a truncated or corrupt place costs the
//!   frames that it covers and nothing else.
//! - [`LogWriter`]: writes segments through a [`Storage`], which may fail at any call.
//! - [`recover`]: reads the segments of earlier processes back and quarantines a corrupt tail.
//! - [`HistoryIndex`]: the history and state of each request, and of all requests with one idempotency key.
//!
//! No rule rests on the log: if a write fails, the writer counts the records as lost and the caller goes on.

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
