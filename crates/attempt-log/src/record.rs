//! What is written down.

use serde::{Deserialize, Serialize};

/// The longest id, key and name that is kept, in bytes; what is longer is cut there.
pub const NAME_MOST: usize = 256;

/// A process's life: records of different ones are never taken for each other's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Start(pub u64);

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// With a whole answer.
    Answered,
    /// It was turned away, and had not run.
    TurnedAway,
    /// Nothing of it was written, or not all of it: it had not run.
    NotSent,
    /// Its connection broke, or it was given up, after all of it was out: it may have run.
    Unanswered,
    /// The server answered with an error: it may have run.
    Error,
}

impl Outcome {
    /// Whether it proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::TurnedAway | Outcome::NotSent)
    }
}

/// The one final answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// A server's.
    Served,
    /// A refusal: a repeat is harmless.
    Refused,
    /// A failure, with no promise.
    Failed,
}

/// One line of the journal. `request` counts within a start; wall times are Unix milliseconds, monotonic ones
/// microseconds since the start. No body and no other header is ever kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A request was taken.
    Taken {
        /// Its number.
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
        /// When, by the wall's clock.
        wall_ms: u64,
        /// When, since the start.
        at_us: u64,
        /// Its deadline, since the start.
        deadline_us: u64,
    },
    /// An attempt is about to leave; this is handed to the operating system before its first byte is.
    Intent {
        /// The request.
        request: u64,
        /// The attempt.
        attempt: u32,
        /// The server's name.
        server: String,
        /// Its address.
        address: String,
        /// When, since the start.
        at_us: u64,
        /// For how long servers still drop a repeat; none where they don't.
        window_left_us: Option<u64>,
        /// The attempt left before this was handed over, for the disk was slow: its proof has a gap.
        late: bool,
    },
    /// An attempt is over.
    Outcome {
        /// The request.
        request: u64,
        /// The attempt.
        attempt: u32,
        /// How.
        outcome: Outcome,
        /// When, since the start.
        at_us: u64,
    },
    /// The final answer.
    Final {
        /// The request.
        request: u64,
        /// Which.
        answer: Answer,
        /// When, since the start.
        at_us: u64,
    },
    /// The client has left.
    Left {
        /// The request.
        request: u64,
        /// When, since the start.
        at_us: u64,
    },
    /// Records could not be written: what is not here between these two moments proves nothing.
    Gap {
        /// How many.
        lost: u64,
        /// From, since the start.
        from_us: u64,
        /// To.
        to_us: u64,
    },
}

impl Record {
    /// Cuts what is longer than is kept, so that no client's header makes a record that can't be read back.
    pub fn bounded(mut self) -> Self {
        let text = |text: &mut String| {
            if text.len() > NAME_MOST {
                let end = (0..=NAME_MOST).rev().find(|at| text.is_char_boundary(*at)).unwrap_or(0);
                text.truncate(end);
            }
        };
        match &mut self {
            Record::Taken { id, key, class, tenant, .. } => {
                id.truncate(NAME_MOST);
                key.truncate(NAME_MOST);
                [class, tenant].into_iter().for_each(text);
            }
            Record::Intent { server, address, .. } => {
                [server, address].into_iter().for_each(text);
            }
            Record::Outcome { .. } | Record::Final { .. } | Record::Left { .. } | Record::Gap { .. } => {}
        }
        self
    }
}
