//! Errors of a session, of a batch and of an event. Their messages include the position in the input.

use bellcroft_balancer::SettingsError;
use std::io;
use thiserror::Error;

/// Errors that end a session before the end of its input.
#[derive(Debug, Error)]
pub enum SessionError {
    #[error("cannot read the input: {0}")]
    Read(#[source] io::Error),
    #[error("{}: invalid batch: {source}", position_after(.last_round))]
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

/// Errors of a batch.
#[derive(Debug, Error)]
pub enum BatchError {
    #[error("tMs is {0}; expected a time of at least 0")]
    InvalidTime(f64),
    #[error("instance {instance}: {source}")]
    Instance { instance: u32, source: EventError },
}

/// Errors of an event.
#[derive(Debug, Error)]
pub enum EventError {
    #[error("event received before ATTACH")]
    NotAttached,
    #[error("REGISTRY refers to no catalog")]
    MissingCatalog,
    #[error("REGISTRY refers to catalog {0}, which no CATALOG has defined")]
    UnknownCatalog(u32),
    #[error("duplicate REQUEST with ticket {0}")]
    DuplicateTicket(String),
    #[error("PROBED refers to backend {0}, which no endpoint list contains")]
    UnknownBackend(String),
    #[error("payload of MAIL is {0:?}; expected an even number of hex digits")]
    InvalidPayload(String),
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
