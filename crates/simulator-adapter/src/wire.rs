//! The simulator's wire format: one JSON object per line. Types that mirror the format keep the simulator's names.

use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// Recipient of an `ANNOUNCE` to all peers.
pub const ALL_PEERS: i64 = -1;

/// One line of input: the events of one or more instances at the same time.
#[derive(Debug, Deserialize)]
pub struct Batch<'a> {
    #[serde(rename = "tMs")]
    pub clock_ms: f64,
    pub round: u64,
    #[serde(borrow)]
    pub parts: Vec<Part<'a>>,
}

/// The events of one instance.
#[derive(Debug, Deserialize)]
pub struct Part<'a> {
    pub who: u32,
    #[serde(borrow)]
    pub inbox: Vec<Incoming<'a>>,
}

/// An event from the simulator.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Incoming<'a> {
    Attach {
        salt: u64,
        params: Box<bellcroft_platform_settings::Params>,
    },
    Retire {},
    #[serde(rename_all = "camelCase")]
    Catalog {
        r#ref: u32,
        #[serde(borrow)]
        members_list: Vec<Entry<'a>>,
    },
    Registry {
        form: Form,
        #[serde(rename = "rev")]
        _rev: i64,
        #[serde(default)]
        r#ref: Option<u32>,
    },
    #[serde(rename_all = "camelCase")]
    Request {
        #[serde(borrow)]
        ticket: Cow<'a, str>,
        #[serde(default)]
        party: Option<usize>,
        cls: usize,
        #[serde(borrow, default)]
        affinity: Option<Cow<'a, str>>,
        #[serde(default)]
        estimate_ms: Option<f64>,
        #[serde(default)]
        opts: Option<u64>,
        expires_in_ms: f64,
    },
    FirstByte {
        #[serde(borrow)]
        ticket: Cow<'a, str>,
        attempt: u32,
    },
    #[serde(rename_all = "camelCase")]
    Done {
        #[serde(borrow)]
        ticket: Cow<'a, str>,
        finished: bool,
        time_taken_ms: f64,
        ending: Ending,
        attempt: u32,
        #[serde(default)]
        gauge: Option<Vec<f64>>,
    },
    Aborted {
        #[serde(borrow)]
        ticket: Cow<'a, str>,
    },
    #[serde(rename_all = "camelCase")]
    Elapsed {
        key_back: u64,
    },
    #[serde(rename_all = "camelCase")]
    Probed {
        #[serde(borrow)]
        backend: Cow<'a, str>,
        ending: Ending,
        time_taken_ms: f64,
        #[serde(default)]
        gauge: Option<Vec<f64>>,
    },
    #[serde(rename_all = "camelCase")]
    Mail {
        src_peer: u32,
        #[serde(borrow)]
        raw: Cow<'a, str>,
    },
}

/// Whether an endpoint list is complete, partial or restored from storage, or discovery has failed.
#[derive(Debug, Clone, Copy, Deserialize)]
pub enum Form {
    Partial,
    Complete,
    Persisted,
    Error,
}

/// An entry of an endpoint list.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Entry<'a> {
    #[serde(borrow)]
    pub backend: Cow<'a, str>,
    #[serde(default)]
    pub campus: u32,
    #[serde(default)]
    pub class_of_host: u32,
    #[serde(default)]
    pub cluster: u32,
    pub status: EntryStatus,
    #[serde(default)]
    pub units: Option<f64>,
    #[serde(default)]
    pub last_start_ms: Option<f64>,
}

/// The lifecycle state of a server.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum EntryStatus {
    Serving,
    Draining,
    Deleted,
}

/// The outcome of an attempt or a health check.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ending {
    Done,
    Err,
    Busy,
    Etimedout,
    Econnrefused,
    Econnreset,
    Ecanceled,
    Skipped,
}

/// One line of output.
#[derive(Debug, Serialize)]
pub struct Reply {
    pub round: u64,
    pub parts: Vec<ReplyPart>,
}

/// The actions of one instance.
#[derive(Debug, Serialize)]
pub struct ReplyPart {
    pub who: u32,
    pub outbox: Vec<Outgoing>,
}

/// An action for the simulator.
#[derive(Debug, PartialEq, Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE", rename_all_fields = "camelCase")]
pub enum Outgoing {
    Route { ticket: String, backend: String, until_ms: f64 },
    Abandon { ticket: String, attempt: u32 },
    OverloadReply { ticket: String, not_before_for_ms: Option<f64> },
    Abort { ticket: String },
    Timer { at_ms: f64, key_back: u64 },
    HealthCheck { backend: String },
    CloseIdle { backend: String },
    Announce { to: i64, raw: String },
    Follow { active: bool },
    Pull {},
    NoteDown { what: String },
    Bug { what: String },
}
