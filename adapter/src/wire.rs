//! The simulator's words: what its lines hold, and nothing of what to do about them.

use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// One line of input: what has happened to some of the instances by the time of the clock.
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

/// An event as it stands on the wire.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Incoming<'a> {
    Attach {
        salt: u64,
        params: Box<Params>,
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

/// How a list event relates to the list before it.
#[derive(Debug, Clone, Copy, Deserialize)]
pub enum Form {
    Partial,
    Complete,
    Persisted,
    Error,
}

/// A server as the list names it.
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

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum EntryStatus {
    Serving,
    Draining,
    Deleted,
}

/// How an attempt or a probe ended.
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

/// An instance's settings. Absent keys take the values of [`Default`]; unknown ones are skipped.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Params {
    pub balancers: Option<u32>,
    pub classes: Vec<ClassParams>,
    pub discovery: Option<Discovery>,
    pub family_info: FamilyInfo,
    pub feedback: Feedback,
    pub goal: Goal,
    pub limits: Limits,
    pub over_share_worth: Option<f64>,
    pub parties: Vec<Party>,
    pub penalties: Penalties,
    pub period_ms: Option<f64>,
    pub rules: Rules,
    pub weights: Option<Weights>,
    pub worth_by: Option<WorthBy>,
    pub zone: u32,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ClassParams {
    pub aim_stretch: Option<f64>,
    pub aim_ms: f64,
    pub deadline_ms: f64,
    pub effect: Effect,
    pub group: Option<Group>,
    pub late_worth: f64,
    pub stream: bool,
    pub dedup_window_ms: f64,
    pub points: f64,
}

#[derive(Debug, Default, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    Idempotent,
    Deduplicated,
    #[default]
    AtMostOnce,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Discovery {
    Pushed,
    OnRequest,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Weights {
    Silent,
    Nominal,
    Rough,
    Live,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorthBy {
    Request,
    Work,
}

#[derive(Debug, Default, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    Piggyback,
    Pull,
    #[default]
    Silent,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct FamilyInfo {
    pub warm_keys: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Feedback {
    pub fields: Vec<String>,
    pub source: Source,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Goal {
    pub whole: f64,
    pub worst_class: f64,
    pub worst_tenant: f64,
    pub worst_window: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Limits {
    pub cancel: bool,
    pub max_attempts: Option<u32>,
    pub max_retry_after_ms: f64,
    pub peers: bool,
    pub probes: bool,
    pub retry_after: bool,
    pub second_copies: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Party {
    pub allowance_per_s: f64,
    pub fraction: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Penalties {
    pub connection: f64,
    pub cross_zone: f64,
    pub handshake: f64,
    pub late_fail: f64,
    pub probe: f64,
    pub waste: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Rules {
    pub ask_within_ms: Option<f64>,
    pub cold_share: Option<f64>,
    pub warm_after_ms: Option<f64>,
    pub stop_sending_within_ms: Option<f64>,
    pub overload_factor: Option<f64>,
    pub fall_ms: Option<f64>,
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

/// An action as it stands on the wire.
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
