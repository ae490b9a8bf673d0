//! Histories of requests, and of all requests with one idempotency key, built from recovered records.

use crate::record::{FinalResponse, Incarnation, Outcome, Record};
use crate::recovery::Recovery;
use std::collections::BTreeMap;

/// What the records say about an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Number within the request.
    pub attempt: u32,
    /// Name of the server.
    pub server: String,
    /// Address of the server.
    pub address: String,
    /// Time of the decision to send it, in microseconds since the process started.
    pub at_us: u64,
    /// Rest of the dedup window at that time; none if servers do not deduplicate.
    pub remaining_window_us: Option<u64>,
    /// The attempt was sent before its intent was written, so a missing intent would not have proved that it was not sent.
    pub written_late: bool,
    /// Outcome; none if it was not recorded.
    pub outcome: Option<Outcome>,
}

/// The state of a request, as far as the records prove it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// A server's response arrived.
    Answered,
    /// The request was shed: no attempt ran, or a retry is harmless.
    Rejected,
    /// The request failed, and may have run.
    Failed,
    /// The request was sent, but its outcome was not recorded: it may have run.
    Unknown,
    /// No attempt was sent: an intent is recorded before the first byte of each attempt.
    NeverSent,
}

/// What the records say about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHistory {
    /// Incarnation of the process that received the request.
    pub incarnation: Incarnation,
    /// Start of that process, in Unix milliseconds.
    pub started_ms: u64,
    /// Value of `X-Request-ID`; empty if the first record is missing.
    pub id: Vec<u8>,
    /// Value of `Idempotency-Key`; empty for none.
    pub key: Vec<u8>,
    /// Name of the class.
    pub class: String,
    /// Name of the tenant; empty for none.
    pub tenant: String,
    /// Wall-clock time at which the request was received, in Unix milliseconds.
    pub wall_ms: u64,
    /// Time at which the request was received, in microseconds since the process started.
    pub at_us: u64,
    /// Attempts of the request.
    pub attempts: Vec<AttemptHistory>,
    /// Final response; none if it was not recorded.
    pub response: Option<FinalResponse>,
    /// The client disconnected before it got a response.
    pub client_disconnected: bool,
    /// Records of the incarnation were lost after the request was received, or are corrupt. A missing intent does not prove
    /// then that an attempt was not sent.
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

    /// The state of the request. A recorded response of a server decides it, and otherwise the attempt about which the least
    /// is known.
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

    /// Attempts that may have run.
    pub fn may_have_run(&self) -> impl Iterator<Item = &AttemptHistory> {
        self.attempts.iter().filter(|a| a.outcome.is_none_or(|outcome| !outcome.never_ran()))
    }

    /// Time until which a retry is deduplicated for every attempt that may have run, in Unix milliseconds. None if one of
    /// them is not deduplicated, or no attempt may have run.
    pub fn retry_safe_until_ms(&self) -> Option<u64> {
        let until = |a: &AttemptHistory| Some(self.started_ms + (a.at_us + a.remaining_window_us?) / 1000);
        self.may_have_run().map(until).min().flatten()
    }

    fn on_outcome(&mut self, attempt: u32, outcome: Outcome, at_us: u64) {
        match self.attempts.iter_mut().find(|a| a.attempt == attempt) {
            Some(known) => known.outcome = Some(outcome),
            // The intent is lost, but the outcome proves that the attempt was made.
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

/// The histories of all requests of all incarnations.
#[derive(Debug, Clone, Default)]
pub struct HistoryIndex {
    requests: BTreeMap<(Incarnation, u64), RequestHistory>,
    /// Number of lost records according to the recorded gaps.
    pub lost_records: u64,
    /// Number of places where an unknown number of records may be missing. If it is not 0, [`State::NeverSent`] is not
    /// reliable.
    pub unknown_gaps: usize,
}

impl HistoryIndex {
    /// Builds the index. The records of a request may be in different segments of its incarnation.
    pub fn new(recovery: &Recovery) -> Self {
        let mut index = HistoryIndex { unknown_gaps: recovery.unknown_gaps(), ..HistoryIndex::default() };
        // For each incarnation, the time until which records may be missing.
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

    /// All requests, ordered by incarnation and number.
    pub fn iter(&self) -> impl Iterator<Item = &RequestHistory> {
        self.requests.values()
    }

    /// All requests with an idempotency key, ordered by time. A client's retry has a new id and the same key.
    pub fn with_key(&self, key: &[u8]) -> Vec<&RequestHistory> {
        let mut requests: Vec<&RequestHistory> = self.iter().filter(|request| request.key == key).collect();
        requests.sort_by_key(|request| request.wall_ms);
        requests
    }

    /// The combined state of all requests with a key. A request with a response takes precedence, then one that may have
    /// run, then one that did not run.
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
