//! What is sent to a receiver, when, and what becomes of what it does not take.
//!
//! Batches leave in the order in which they were made, one request at a time, so a series' samples arrive in order
//! whatever the receiver does. The queue is bounded by bytes; past it the oldest batch goes, for the newest says more.

use crate::registry::Sample;
use crate::wire::{encode, Version, STALE_MARKER_BITS};
use std::collections::{HashSet, VecDeque};
use std::time::Duration;

/// A moment, as the time since any moment that the caller fixes.
pub type Time = Duration;

/// How samples are sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// The version to begin with.
    pub version: Version,
    /// Bytes that may wait, beside the newest moment's samples and those that are out.
    pub queue_bytes: usize,
    /// The pause after a first failure; it doubles with each further one.
    pub initial_backoff: Duration,
    /// The longest pause.
    pub max_backoff: Duration,
    /// A receiver's `Retry-After` is heeded up to this.
    pub max_retry_after: Duration,
    /// After a stop, what waits has this long.
    pub flush_timeout: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            version: Version::V2,
            queue_bytes: 4 << 20,
            initial_backoff: Duration::from_millis(250),
            max_backoff: Duration::from_secs(30),
            max_retry_after: Duration::from_secs(300),
            flush_timeout: Duration::from_secs(2),
        }
    }
}

/// What the sender is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A moment's samples, with their timestamp in Unix milliseconds.
    Samples(Vec<Sample>, i64),
    /// The receiver's answer to the request that is out.
    Response {
        /// Its status.
        status: u16,
        /// Its `Retry-After`.
        retry_after: Option<Duration>,
        /// Its `X-Prometheus-Remote-Write-Samples-Written`.
        written: Option<u64>,
    },
    /// The request that is out got no whole answer in time, for this reason.
    Failed(String),
    /// Time has passed.
    Tick,
    /// The operator's word has changed; if the receiver is another one, what waits goes there, the request that was
    /// out to the old one among it, and the caller has given that up.
    PolicyChanged {
        /// How samples are sent from now on.
        policy: Policy,
        /// The receiver is another one.
        receiver_changed: bool,
    },
    /// The process ends; its series end at this timestamp.
    Stop(i64),
}

/// A request to be made.
#[derive(Debug, Clone, PartialEq)]
pub struct Post {
    /// Its form.
    pub version: Version,
    /// Its body.
    pub body: Vec<u8>,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send this; report [`Event::Response`] or [`Event::Failed`].
    Post(Post),
    /// Something that people on call may want to read.
    Log(String),
    /// After a stop: all is sent, or its time is over.
    Finished,
}

/// What the sender has done, in samples.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Taken by the receiver.
    pub sent: u64,
    /// Sent once more after a failure, each time.
    pub retried: u64,
    /// Dropped because the queue was full.
    pub dropped_full: u64,
    /// Dropped because the receiver refused them for good.
    pub dropped_refused: u64,
    /// Still there when the process's last moment was over.
    pub dropped_at_shutdown: u64,
    /// Of those sent, not written by the receiver's own account.
    pub unwritten: u64,
}

struct Batch {
    samples: Vec<Sample>,
    at_ms: i64,
    made: Time,
    bytes: usize,
    tries: u32,
}

/// The decisions of one receiver's queue.
pub struct Sender {
    policy: Policy,
    random: fastrand::Rng,
    created_ms: i64,
    version: Version,
    queue: VecDeque<Batch>,
    bytes: usize,
    out: bool,
    failures: u32,
    not_before: Time,
    counts: Counts,
    /// The last samples, whose series end with a stop.
    last: Vec<Sample>,
    flush_until: Option<Time>,
    finished: bool,
    /// Refusals and short writes are told once, or a log would fill with them.
    told_refused: bool,
    told_unwritten: bool,
}

impl Sender {
    /// A sender of a process whose counts began at `created_ms`.
    pub fn new(policy: Policy, seed: u64, created_ms: i64) -> Self {
        Sender {
            version: policy.version,
            policy,
            random: fastrand::Rng::with_seed(seed),
            created_ms,
            queue: VecDeque::new(),
            bytes: 0,
            out: false,
            failures: 0,
            not_before: Duration::ZERO,
            counts: Counts::default(),
            last: Vec::new(),
            flush_until: None,
            finished: false,
            told_refused: false,
            told_unwritten: false,
        }
    }

    /// What it has done.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Bytes that wait.
    pub fn queued_bytes(&self) -> usize {
        self.bytes
    }

    /// How old the oldest samples are that wait.
    pub fn oldest(&self, now: Time) -> Duration {
        self.queue.front().map_or(Duration::ZERO, |batch| now.saturating_sub(batch.made))
    }

    /// The version that it sends at present.
    pub fn version(&self) -> Version {
        self.version
    }

    /// When it wants to be woken, if nothing else happens.
    pub fn next_wake(&self) -> Option<Time> {
        let retry = (!self.out && !self.queue.is_empty()).then_some(self.not_before);
        let end = self.flush_until.filter(|_| !self.finished);
        retry.into_iter().chain(end).min()
    }

    /// Takes in what has happened and says what to do.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Samples(samples, at_ms) if self.flush_until.is_none() => {
                let mut ended = self.vanished(&samples);
                self.last.clone_from(&samples);
                ended.extend(samples);
                self.push(now, ended, at_ms);
            }
            Event::PolicyChanged { policy, receiver_changed } => {
                if receiver_changed {
                    // It has never heard of these series: it is owed neither their ends nor the old one's pauses.
                    (self.out, self.failures, self.not_before) = (false, 0, now);
                    (self.told_refused, self.told_unwritten) = (false, false);
                    self.version = policy.version;
                    self.last.clear();
                } else if policy.version != self.policy.version {
                    self.version = policy.version;
                }
                self.policy = policy;
                self.trim();
            }
            Event::Samples(..) | Event::Tick => {}
            Event::Response { status, retry_after, written } => {
                self.answered(now, status, retry_after, written, actions);
            }
            Event::Failed(why) => self.failed(now, None, &why, actions),
            Event::Stop(at_ms) if self.flush_until.is_none() => {
                let mut ends = std::mem::take(&mut self.last);
                ends.iter_mut().for_each(|sample| sample.value = f64::from_bits(STALE_MARKER_BITS));
                if !ends.is_empty() {
                    self.push(now, ends, at_ms);
                }
                self.flush_until = Some(now + self.policy.flush_timeout);
                // What a pause put off has no later.
                self.not_before = now;
            }
            Event::Stop(_) => {}
        }
        self.go_on(now, actions);
    }

    fn push(&mut self, now: Time, samples: Vec<Sample>, at_ms: i64) {
        let text = |(name, value): &(String, String)| name.len() + value.len() + 64;
        let bytes = samples.iter().map(|s| s.labels.iter().map(text).sum::<usize>() + 64).sum();
        self.bytes += bytes;
        self.queue.push_back(Batch { samples, at_ms, made: now, bytes, tries: 0 });
        self.trim();
    }

    /// The ends of the series that were there and are no more (specification 1.0, "Stale Markers").
    fn vanished(&self, samples: &[Sample]) -> Vec<Sample> {
        let same = self.last.len() == samples.len()
            && self.last.iter().zip(samples).all(|(old, new)| old.labels == new.labels);
        if same {
            return Vec::new();
        }
        let now: HashSet<&[(String, String)]> = samples.iter().map(|s| s.labels.as_slice()).collect();
        let gone = self.last.iter().filter(|old| !now.contains(old.labels.as_slice()));
        gone.map(|old| Sample { value: f64::from_bits(STALE_MARKER_BITS), ..old.clone() }).collect()
    }

    fn trim(&mut self) {
        while self.bytes > self.policy.queue_bytes {
            // The first is out: it can't be called back, and its answer is for it.
            let place = usize::from(self.out);
            // The newest stays even where it is larger than the bound, or nothing would ever be sent.
            let old = (place + 1 < self.queue.len()).then(|| self.queue.remove(place)).flatten();
            let Some(old) = old else { break };
            self.bytes -= old.bytes;
            self.counts.dropped_full += old.samples.len() as u64;
        }
    }

    fn answered(
        &mut self,
        now: Time,
        status: u16,
        retry_after: Option<Duration>,
        written: Option<u64>,
        actions: &mut Vec<Action>,
    ) {
        // A receiver of 2.0 says what it has written; one that does not say is of 1.0 and has understood nothing
        // (specification 2.0, "Required Written Response Headers").
        let mute = self.version == Version::V2 && written.is_none();
        match status {
            200..=299 if mute => self.fall_back("its answer does not say what was written", actions),
            200..=299 => {
                let Some(batch) = self.take_first() else { return };
                let all = batch.samples.len() as u64;
                self.counts.sent += all;
                self.failures = 0;
                let short =
                    written.filter(|_| self.version == Version::V2).map_or(0, |n| all.saturating_sub(n));
                self.counts.unwritten += short;
                if short > 0 && !std::mem::replace(&mut self.told_unwritten, true) {
                    actions.push(Action::Log(format!(
                        "remote write: {short} of {all} samples were not written"
                    )));
                }
            }
            415 if self.version == Version::V2 => self.fall_back("it answers 415", actions),
            429 => self.failed(now, retry_after, "it answers 429", actions),
            500..=599 => self.failed(now, retry_after, &format!("it answers {status}"), actions),
            // Another try would be answered alike. A redirect is not followed: the address is the operator's word.
            _ => {
                let Some(batch) = self.take_first() else { return };
                self.counts.dropped_refused += batch.samples.len() as u64;
                self.failures = 0;
                if !std::mem::replace(&mut self.told_refused, true) {
                    let text =
                        format!("remote write: the receiver answers {status}; what it refuses is dropped");
                    actions.push(Action::Log(text));
                }
            }
        }
    }

    fn take_first(&mut self) -> Option<Batch> {
        if !std::mem::take(&mut self.out) {
            return None;
        }
        let batch = self.queue.pop_front()?;
        self.bytes -= batch.bytes;
        Some(batch)
    }

    /// The receiver does not know 2.0: from now on it is sent 1.0.
    fn fall_back(&mut self, why: &str, actions: &mut Vec<Action>) {
        self.out = false;
        self.version = Version::V1;
        actions.push(Action::Log(format!(
            "remote write: the receiver does not take 2.0 ({why}); 1.0 from now on"
        )));
    }

    fn failed(&mut self, now: Time, after: Option<Duration>, why: &str, actions: &mut Vec<Action>) {
        if !std::mem::take(&mut self.out) {
            return;
        }
        self.failures = self.failures.saturating_add(1);
        if self.failures == 1 {
            actions.push(Action::Log(format!("remote write: {why}; it is tried again")));
        }
        let doubled =
            2_f64.powi((self.failures - 1).min(30) as i32) * self.policy.initial_backoff.as_secs_f64();
        let longest = doubled.min(self.policy.max_backoff.as_secs_f64());
        // From half to all of it, so that a fleet does not return together.
        let pause = Duration::from_secs_f64(longest * (0.5 + 0.5 * self.random.f64()));
        let pause = after.map_or(pause, |after| after.min(self.policy.max_retry_after).max(pause));
        self.not_before = now + pause;
    }

    fn go_on(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.finished {
            return;
        }
        let late = self.flush_until.is_some_and(|until| now >= until);
        if late || (self.flush_until.is_some() && self.queue.is_empty()) {
            self.counts.dropped_at_shutdown += self.queue.iter().map(|b| b.samples.len() as u64).sum::<u64>();
            self.queue.clear();
            self.bytes = 0;
            self.finished = true;
            return actions.push(Action::Finished);
        }
        if self.out || now < self.not_before {
            return;
        }
        let Some(batch) = self.queue.front_mut() else { return };
        if batch.tries > 0 {
            self.counts.retried += batch.samples.len() as u64;
        }
        batch.tries += 1;
        self.out = true;
        let body = encode(self.version, &batch.samples, batch.at_ms, self.created_ms);
        actions.push(Action::Post(Post { version: self.version, body }));
    }
}
