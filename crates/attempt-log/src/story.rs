//! What the records of a request, and of all requests with its key, tell.

use crate::log::Recovered;
use crate::record::{Answer, Outcome, Record, Start};
use std::collections::BTreeMap;

/// An attempt, as far as it is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// Its number.
    pub attempt: u32,
    /// The server.
    pub server: String,
    /// Its address.
    pub address: String,
    /// When it was about to leave, since its start.
    pub at_us: u64,
    /// For how long servers then still dropped a repeat.
    pub window_left_us: Option<u64>,
    /// It left before its record: what is not written proves nothing about it.
    pub late: bool,
    /// How it ended; none if nobody wrote that down.
    pub outcome: Option<Outcome>,
}

/// What is known of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// A server's answer came back.
    Answered,
    /// It was refused: none of its attempts ran, or a repeat is harmless.
    Refused,
    /// It was given up, and may have run.
    Failed,
    /// It was sent, and nobody wrote down what became of it: it may have run.
    Unanswered,
    /// Nothing of it ever left: every intent stands before its first byte.
    NeverSent,
}

/// A request, and all that is known of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Story {
    /// The process that took it.
    pub start: Start,
    /// When that began, in Unix milliseconds.
    pub start_wall_ms: u64,
    /// Its `X-Request-ID`; empty if its first record is missing.
    pub id: Vec<u8>,
    /// Its `Idempotency-Key`; empty for none.
    pub key: Vec<u8>,
    /// Its class.
    pub class: String,
    /// Its tenant.
    pub tenant: String,
    /// When it was taken, by the wall's clock.
    pub wall_ms: u64,
    /// When it was taken, since its start.
    pub at_us: u64,
    /// Its attempts.
    pub attempts: Vec<Attempt>,
    /// Its final answer.
    pub answer: Option<Answer>,
    /// Its client left.
    pub left: bool,
    /// Records of its start were lost after it was taken, or are spoilt: that an intent is not here proves nothing.
    pub unproved: bool,
}

impl Story {
    /// Its state. What proves least about a single attempt decides.
    pub fn state(&self) -> State {
        if self.attempts.iter().any(|a| a.outcome == Some(Outcome::Answered)) {
            return State::Answered;
        }
        if self.attempts.iter().any(|a| a.outcome.is_none()) {
            return State::Unanswered;
        }
        match self.answer {
            Some(Answer::Served) => State::Answered,
            Some(Answer::Refused) => State::Refused,
            Some(Answer::Failed) => State::Failed,
            None if self.unproved || self.may_have_run().next().is_some() => State::Unanswered,
            None => State::NeverSent,
        }
    }

    /// Servers that may have run it.
    pub fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|a| a.outcome.is_none_or(|o| !o.never_ran()))
    }

    /// Until when a repeat is dropped by every server that may have run it, in Unix milliseconds; none if one of them
    /// never drops any.
    pub fn harmless_until_ms(&self) -> Option<u64> {
        let until = |a: &Attempt| Some(self.start_wall_ms + (a.at_us + a.window_left_us?) / 1000);
        self.may_have_run().map(until).min().flatten()
    }
}

/// All requests of all starts.
#[derive(Debug, Clone, Default)]
pub struct Stories {
    all: BTreeMap<(Start, u64), Story>,
    /// Records that are lost, by their starts' own word.
    pub lost: u64,
    /// Places where records may be missing that nobody can name: then "never sent" is what is known, and no proof.
    pub holes: usize,
}

impl Stories {
    /// What was found, put together. Records of one request may stand in any segments of its start.
    pub fn of(found: &Recovered) -> Self {
        let mut stories = Stories { holes: found.holes(), ..Stories::default() };
        // Until when a start's records may be missing, since it began.
        let mut gaps: BTreeMap<Start, u64> = BTreeMap::new();
        for segment in &found.segments {
            let start = segment.header.start;
            for record in &segment.records {
                if let Record::Gap { to_us, .. } = record {
                    gaps.entry(start).and_modify(|to| *to = (*to).max(*to_us)).or_insert(*to_us);
                }
                stories.add(start, segment.header.wall_ms, record);
            }
            if segment.spoilt > 0 {
                gaps.insert(start, u64::MAX);
            }
        }
        for story in stories.all.values_mut() {
            story.unproved = gaps.get(&story.start).is_some_and(|to| *to >= story.at_us);
        }
        stories
    }

    fn story(&mut self, start: Start, start_wall_ms: u64, request: u64) -> &mut Story {
        self.all.entry((start, request)).or_insert_with(|| Story {
            start,
            start_wall_ms,
            id: Vec::new(),
            key: Vec::new(),
            class: String::new(),
            tenant: String::new(),
            wall_ms: 0,
            at_us: 0,
            attempts: Vec::new(),
            answer: None,
            left: false,
            unproved: false,
        })
    }

    fn add(&mut self, start: Start, start_wall_ms: u64, record: &Record) {
        match record {
            Record::Taken { request, id, key, class, tenant, wall_ms, at_us, .. } => {
                let story = self.story(start, start_wall_ms, *request);
                (story.id, story.key) = (id.clone(), key.clone());
                (story.class, story.tenant) = (class.clone(), tenant.clone());
                (story.wall_ms, story.at_us) = (*wall_ms, *at_us);
            }
            Record::Intent { request, attempt, server, address, at_us, window_left_us, late } => {
                self.story(start, start_wall_ms, *request).attempts.push(Attempt {
                    attempt: *attempt,
                    server: server.clone(),
                    address: address.clone(),
                    at_us: *at_us,
                    window_left_us: *window_left_us,
                    late: *late,
                    outcome: None,
                });
            }
            Record::Outcome { request, attempt, outcome, at_us } => {
                let story = self.story(start, start_wall_ms, *request);
                match story.attempts.iter_mut().find(|a| a.attempt == *attempt) {
                    Some(known) => known.outcome = Some(*outcome),
                    // Its intent is lost; that there was one is known.
                    None => story.attempts.push(Attempt {
                        attempt: *attempt,
                        server: String::new(),
                        address: String::new(),
                        at_us: *at_us,
                        window_left_us: None,
                        late: true,
                        outcome: Some(*outcome),
                    }),
                }
            }
            Record::Final { request, answer, .. } => {
                self.story(start, start_wall_ms, *request).answer = Some(*answer);
            }
            Record::Left { request, .. } => self.story(start, start_wall_ms, *request).left = true,
            Record::Gap { lost, .. } => self.lost += lost,
        }
    }

    /// Every request, by start and number.
    pub fn iter(&self) -> impl Iterator<Item = &Story> {
        self.all.values()
    }

    /// All that was asked with a key, the first first: a client's retry has a new id and the same key.
    pub fn with_key(&self, key: &[u8]) -> Vec<&Story> {
        let mut found: Vec<&Story> = self.iter().filter(|story| story.key == key).collect();
        found.sort_by_key(|story| story.wall_ms);
        found
    }

    /// The state of a key: the best that is known of any of its requests, for one answer is enough; what may have run
    /// weighs more than what never left.
    pub fn state_of_key(&self, key: &[u8]) -> Option<State> {
        self.with_key(key).iter().map(|story| story.state()).min_by_key(|state| match state {
            State::Answered => 0,
            State::Unanswered => 1,
            State::Failed => 2,
            State::Refused => 3,
            State::NeverSent => 4,
        })
    }
}
