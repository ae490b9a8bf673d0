//! The history of a request, and of all requests with its idempotency key, from recovered records.

use crate::record::{FinalResponse, Incarnation, Outcome, Record};
use crate::recovery::Recovery;
use std::collections::BTreeMap;

/// An attempt, as far as it is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Its number within the request.
    pub attempt: u32,
    /// The server's name.
    pub server: String,
    /// The server's address.
    pub address: String,
    /// When it was about to be sent, in microseconds since the process started.
    pub at_us: u64,
    /// For how long servers then still dropped a repeat.
    pub remaining_window_us: Option<u64>,
    /// It was sent before its record was written: a missing record proves nothing about it.
    pub written_late: bool,
    /// How it ended; none if that was not recorded.
    pub outcome: Option<Outcome>,
}

/// What is known of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// A server's response arrived.
    Answered,
    /// It was shed: no attempt ran, or a retry is harmless.
    Rejected,
    /// It failed, and may have run.
    Failed,
    /// It was sent, and its outcome was not recorded: it may have run.
    Unknown,
    /// Nothing of it was sent: every intent is recorded before its first byte.
    NeverSent,
}

/// A request with all that is known of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHistory {
    /// The process that received it.
    pub incarnation: Incarnation,
    /// When that process started, in Unix milliseconds.
    pub started_ms: u64,
    /// Its `X-Request-ID`; empty if its first record is missing.
    pub id: Vec<u8>,
    /// Its `Idempotency-Key`; empty for none.
    pub key: Vec<u8>,
    /// Its class.
    pub class: String,
    /// Its tenant.
    pub tenant: String,
    /// When it was received, by the wall clock in Unix milliseconds.
    pub wall_ms: u64,
    /// When it was received, in microseconds since the process started.
    pub at_us: u64,
    /// Its attempts.
    pub attempts: Vec<AttemptHistory>,
    /// Its final response.
    pub response: Option<FinalResponse>,
    /// Its client disconnected.
    pub client_disconnected: bool,
    /// Records of its incarnation were lost after it was received, or are corrupt: that an intent is missing proves nothing.
    pub incomplete: bool,
}

impl RequestHistory {
    fn new(incarnation: Incarnation, started_ms: u64) -> Self {
        RequestHistory {
            incarnation,
            started_ms,
            id: Vec::new(),
            key: Vec::new(),
            class: String::new(),
            tenant: String::new(),
            wall_ms: 0,
            at_us: 0,
            attempts: Vec::new(),
            response: None,
            client_disconnected: false,
            incomplete: false,
        }
    }

    /// Its state. The attempt that is known least decides.
    pub fn state(&self) -> State {
        if self.attempts.iter().any(|a| a.outcome == Some(Outcome::Answered)) {
            return State::Answered;
        }
        if self.attempts.iter().any(|a| a.outcome.is_none()) {
            return State::Unknown;
        }
        match self.response {
            Some(FinalResponse::Served) => State::Answered,
            Some(FinalResponse::Rejected) => State::Rejected,
            Some(FinalResponse::Failed) => State::Failed,
            None if self.incomplete || self.may_have_run().next().is_some() => State::Unknown,
            None => State::NeverSent,
        }
    }

    /// The attempts that may have run.
    pub fn may_have_run(&self) -> impl Iterator<Item = &AttemptHistory> {
        self.attempts.iter().filter(|a| a.outcome.is_none_or(|outcome| !outcome.never_ran()))
    }

    /// Until when every server that may have run it drops a repeat, in Unix milliseconds; none if one of them never does.
    pub fn retry_safe_until_ms(&self) -> Option<u64> {
        let until = |a: &AttemptHistory| Some(self.started_ms + (a.at_us + a.remaining_window_us?) / 1000);
        self.may_have_run().map(until).min().flatten()
    }

    fn on_outcome(&mut self, attempt: u32, outcome: Outcome, at_us: u64) {
        match self.attempts.iter_mut().find(|a| a.attempt == attempt) {
            Some(known) => known.outcome = Some(outcome),
            // The record of its intent is lost; that there was one is known.
            None => self.attempts.push(AttemptHistory {
                attempt,
                server: String::new(),
                address: String::new(),
                at_us,
                remaining_window_us: None,
                written_late: true,
                outcome: Some(outcome),
            }),
        }
    }
}

/// All requests of all incarnations.
#[derive(Debug, Clone, Default)]
pub struct HistoryIndex {
    requests: BTreeMap<(Incarnation, u64), RequestHistory>,
    /// Records that are lost, by the gaps that were written.
    pub lost_records: u64,
    /// Places where an unknown number of records may be missing. If there are any, [`State::NeverSent`] is no proof.
    pub unknown_gaps: usize,
}

impl HistoryIndex {
    /// The index of what was recovered. Records of one request may stand in any segments of its incarnation.
    pub fn new(recovery: &Recovery) -> Self {
        let mut index = HistoryIndex { unknown_gaps: recovery.unknown_gaps(), ..HistoryIndex::default() };
        // Up to when an incarnation's records may be missing.
        let mut gaps_until: BTreeMap<Incarnation, u64> = BTreeMap::new();
        for segment in &recovery.segments {
            let incarnation = segment.header.incarnation;
            for record in &segment.records {
                if let Record::Gap { to_us, .. } = record {
                    let until = gaps_until.entry(incarnation).or_insert(*to_us);
                    *until = (*until).max(*to_us);
                }
                index.add(incarnation, segment.header.started_ms, record);
            }
            if segment.corrupt_bytes > 0 {
                gaps_until.insert(incarnation, u64::MAX);
            }
        }
        for request in index.requests.values_mut() {
            request.incomplete =
                gaps_until.get(&request.incarnation).is_some_and(|until| *until >= request.at_us);
        }
        index
    }

    fn entry(&mut self, incarnation: Incarnation, started_ms: u64, request: u64) -> &mut RequestHistory {
        let new = || RequestHistory::new(incarnation, started_ms);
        self.requests.entry((incarnation, request)).or_insert_with(new)
    }

    fn add(&mut self, incarnation: Incarnation, started_ms: u64, record: &Record) {
        match record {
            Record::Received { request, id, key, class, tenant, wall_ms, at_us, .. } => {
                let history = self.entry(incarnation, started_ms, *request);
                (history.id, history.key) = (id.clone(), key.clone());
                (history.class, history.tenant) = (class.clone(), tenant.clone());
                (history.wall_ms, history.at_us) = (*wall_ms, *at_us);
            }
            Record::Intent {
                request,
                attempt,
                server,
                address,
                at_us,
                remaining_window_us,
                written_late,
            } => {
                self.entry(incarnation, started_ms, *request).attempts.push(AttemptHistory {
                    attempt: *attempt,
                    server: server.clone(),
                    address: address.clone(),
                    at_us: *at_us,
                    remaining_window_us: *remaining_window_us,
                    written_late: *written_late,
                    outcome: None,
                });
            }
            Record::Outcome { request, attempt, outcome, at_us } => {
                self.entry(incarnation, started_ms, *request).on_outcome(*attempt, *outcome, *at_us);
            }
            Record::Completed { request, response, .. } => {
                self.entry(incarnation, started_ms, *request).response = Some(*response);
            }
            Record::ClientDisconnected { request, .. } => {
                self.entry(incarnation, started_ms, *request).client_disconnected = true;
            }
            Record::Gap { lost_records, .. } => self.lost_records += lost_records,
        }
    }

    /// Every request, by incarnation and number.
    pub fn iter(&self) -> impl Iterator<Item = &RequestHistory> {
        self.requests.values()
    }

    /// All requests with an idempotency key, the first first: a client's retry has a new id and the same key.
    pub fn with_key(&self, key: &[u8]) -> Vec<&RequestHistory> {
        let mut found: Vec<&RequestHistory> = self.iter().filter(|request| request.key == key).collect();
        found.sort_by_key(|request| request.wall_ms);
        found
    }

    /// The state of a key. One answered request is enough; then a request that may have run outweighs one that never did.
    pub fn state_of_key(&self, key: &[u8]) -> Option<State> {
        self.with_key(key).iter().map(|request| request.state()).min_by_key(|state| match state {
            State::Answered => 0,
            State::Unknown => 1,
            State::Failed => 2,
            State::Rejected => 3,
            State::NeverSent => 4,
        })
    }
}
