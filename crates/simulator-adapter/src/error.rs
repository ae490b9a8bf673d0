//! Errors of a session, of a batch and of an event. Their texts include the position in the input.

use bellcroft_balancer::SettingsError;
use std::io;
use thiserror::Error;

/// Why a session ended before the end of its input.
#[derive(Debug, Error)]
pub enum SessionError {
    #[error("cannot read the input: {0}")]
    Read(#[source] io::Error),
    #[error("{}: not a batch: {source}", position_after(.last_round))]
    Decode { last_round: Option<u64>, source: serde_json::Error },
    #[error("round {round}: {source}")]
    Batch { round: u64, source: BatchError },
    #[error("round {round}: {source}")]
    Encode { round: u64, source: serde_json::Error },
    #[error("round {round}: cannot write the reply: {source}")]
    Write { round: u64, source: io::Error },
}

fn position_after(last_round: &Option<u64>) -> String {
    last_round.map_or("the first round".into(), |round| format!("the round after {round}"))
}

/// Why a batch is invalid.
#[derive(Debug, Error)]
pub enum BatchError {
    #[error("tMs is {0}; a time of zero or more was expected")]
    InvalidTime(f64),
    #[error("instance {instance}: {source}")]
    Instance { instance: u32, source: EventError },
}

/// Why an event is invalid.
#[derive(Debug, Error)]
pub enum EventError {
    #[error("an event came before ATTACH")]
    NotAttached,
    #[error("REGISTRY names no catalogue")]
    MissingCatalog,
    #[error("REGISTRY names catalogue {0}, which no CATALOG has set up")]
    UnknownCatalog(u32),
    #[error("REQUEST {0} came twice")]
    DuplicateTicket(String),
    #[error("PROBED names backend {0}, which no list has named")]
    UnknownBackend(String),
    #[error("MAIL holds {0:?}; an even number of hex digits was expected")]
    InvalidPayload(String),
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
