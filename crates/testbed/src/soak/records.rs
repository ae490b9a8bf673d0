//! What the clients of a soak do, and what they record of it.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// What a client does with its next request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behavior {
    /// Sends it at once, over the connection that it has kept.
    KeepAlive,
    /// Sends it in pieces, over a new connection.
    SlowWriter,
    /// Connects, and sends it later.
    Resting,
    /// Sends it and closes before there is an answer.
    Leaving,
    /// Sends half of it and stays.
    Stalled,
    /// Has next to no time for it.
    ShortDeadline,
    /// Sends one that is not sound, alone or in one write behind a sound one.
    Unsound,
    /// Sends it, closes before there is an answer, and sends it again under its id.
    Returning,
    /// Sends it, and in a write of its own what is not sound behind it: bytes that begin no request, or an unsound one.
    BytesBehind,
    /// Asks for a response that goes on past its deadline, or never ends.
    LongResponse,
}

/// The end of the id of a request that is not sound and stands behind another one.
pub const UNSOUND_BEHIND: &str = "-behind";

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakFate {
    /// Answered with 200 and its own id.
    Served,
    /// Answered with 429 or 503.
    Refused,
    /// Another answer.
    Failed,
    /// Its connection ended and it had no answer.
    Lost,
    /// No answer came.
    Unanswered,
    /// It crossed the end of its connection and went out once more, under an id of its own.
    Crossed,
    /// Its connection was refused while the process had to accept it.
    NotAccepted,
    /// Its client left.
    Left,
    /// It was never complete, and its connection was answered or closed in time.
    NeverComplete,
    /// It was never complete, and its connection was left open for too long.
    StalledTooLong,
    /// It was not sound, and got an error or a close.
    Rejected,
    /// It was not sound, and was answered as served.
    UnsoundServed,
    /// Its long response was cut off or changed.
    CutOff,
    /// Its response never ends, and was ended in time.
    EndlessEnded,
    /// Its response never ends, and was ended too late.
    EndlessTooLong,
}

impl SoakFate {
    /// That of a request whose answer has this status, which is not 200.
    pub fn of_error(status: u16) -> Self {
        match status {
            429 | 503 => SoakFate::Refused,
            _ => SoakFate::Failed,
        }
    }

    /// Its name in the report.
    pub fn name(self) -> &'static str {
        match self {
            SoakFate::Served => "served",
            SoakFate::Refused => "refused",
            SoakFate::Failed => "failed",
            SoakFate::Lost => "lost",
            SoakFate::Unanswered => "unanswered",
            SoakFate::Crossed => "crossed",
            SoakFate::NotAccepted => "not accepted",
            SoakFate::Left => "left",
            SoakFate::NeverComplete => "never complete",
            SoakFate::StalledTooLong => "stalled too long",
            SoakFate::Rejected => "rejected",
            SoakFate::UnsoundServed => "unsound and served",
            SoakFate::CutOff => "cut off",
            SoakFate::EndlessEnded => "endless and ended",
            SoakFate::EndlessTooLong => "endless for too long",
        }
    }
}

/// A request and its end, as its client knows them.
#[derive(Debug, Clone)]
pub struct SoakRecord {
    /// The slot of the process.
    pub slot: usize,
    /// Its `X-Request-ID`.
    pub id: String,
    /// The client's address.
    pub client: Option<SocketAddr>,
    /// Its place in [`CLASSES`].
    pub class: usize,
    /// What its client did.
    pub behavior: Behavior,
    /// When its client took a connection for it.
    pub began: Instant,
    /// When its last byte was written, or the last that was.
    pub sent: Instant,
    /// When its last byte was written once more under the same id, if the record is that of the first time.
    pub sent_again: Option<Instant>,
    /// When bytes were written behind it that are not sound there.
    pub unsound_since: Option<Instant>,
    /// How long its client waits.
    pub wait: Duration,
    /// When it ended.
    pub ended: Instant,
    /// What became of it.
    pub fate: SoakFate,
    /// The status of its answer; 0 for none.
    pub status: u16,
}
