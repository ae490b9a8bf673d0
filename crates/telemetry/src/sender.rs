//! Decides when samples are sent to a receiver, and which ones are retried or dropped.
//!
//! Batches are sent in the order in which they were made, one request at a time, so the samples of a series arrive in
//! order whatever the receiver does. The queue is limited in bytes; beyond that the oldest batch is dropped, as newer
//! samples matter more.

use crate::registry::Sample;
use crate::wire::{encode, Version, STALE_MARKER_BITS};
use std::collections::{HashSet, VecDeque};
use std::time::Duration;

/// Monotonic time since an origin that the caller chooses.
pub type Time = Duration;

/// Settings of the queue and of retries.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Protocol version until the receiver turns out not to support it.
    pub version: Version,
    /// Limit of the queue. The newest batch and the one that is being sent stay in any case.
    pub queue_bytes: usize,
    /// Delay after the first failure; doubled after each further one.
    pub initial_backoff: Duration,
    /// Limit of the delay.
    pub max_backoff: Duration,
    /// Limit of the delay that a receiver can request by `Retry-After`.
    pub max_retry_after: Duration,
    /// Time for sending the queue after a stop.
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

/// Input of the sender.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// New samples, with their timestamp in Unix milliseconds.
    Samples(Vec<Sample>, i64),
    /// The receiver's response to the current request.
    Response {
        /// The HTTP status.
        status: u16,
        /// The delay of `Retry-After`.
        retry_after: Option<Duration>,
        /// The value of `X-Prometheus-Remote-Write-Samples-Written`.
        written: Option<u64>,
    },
    /// The current request got no complete response in time, for this reason.
    Failed(String),
    /// The time of [`Sender::next_wake`] has come.
    Tick,
    /// The configuration has changed. A new receiver gets the whole queue, including the batch of the current request to
    /// the old one, which the caller has cancelled.
    PolicyChanged {
        /// The new policy.
        policy: Policy,
        /// Whether samples go to another receiver from now on.
        receiver_changed: bool,
    },
    /// The process shuts down; its series end at this timestamp, in Unix milliseconds.
    Stop(i64),
}

/// A request to send.
#[derive(Debug, Clone, PartialEq)]
pub struct Post {
    /// Protocol version of the body.
    pub version: Version,
    /// Compressed body.
    pub body: Vec<u8>,
}

/// Output of the sender.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send this request, and report [`Event::Response`] or [`Event::Failed`].
    Post(Post),
    /// A log message for operators.
    Log(String),
    /// After a stop: the queue is empty, or its flush timed out.
    Finished,
}

/// Counts of samples by what happened to them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Accepted by the receiver.
    pub sent: u64,
    /// Sent again after a failure, counted each time.
    pub retried: u64,
    /// Dropped because the queue was full.
    pub dropped_full: u64,
    /// Dropped because the receiver refused them with a status that is not retried.
    pub dropped_refused: u64,
    /// Dropped because the flush at shutdown timed out.
    pub dropped_at_shutdown: u64,
    /// Sent, but not written as the receiver reports.
    pub unwritten: u64,
}

/// The samples of one time.
struct Batch {
    samples: Vec<Sample>,
    at_ms: i64,
    made: Time,
    /// Estimated size.
    bytes: usize,
    attempts: u32,
}

/// The queue of samples for a receiver, as a state machine without I/O.
pub struct Sender {
    policy: Policy,
    random: fastrand::Rng,
    created_ms: i64,
    version: Version,
    queue: VecDeque<Batch>,
    bytes: usize,
    /// The first batch of the queue is being sent.
    is_sending: bool,
    /// Failures in a row.
    failures: u32,
    /// Time of the next request at the earliest.
    not_before: Time,
    counts: Counts,
    /// The latest samples, to mark the end of series that are removed later.
    last: Vec<Sample>,
    /// End of the flush after a stop.
    flush_until: Option<Time>,
    is_finished: bool,
    /// Refused samples are logged once, so that they do not flood the log.
    has_logged_refused: bool,
    /// Unwritten samples are logged once.
    has_logged_unwritten: bool,
}

impl Sender {
    /// A sender for counters that count from `created_ms` (Unix milliseconds) on.
    pub fn new(policy: Policy, seed: u64, created_ms: i64) -> Self {
        Sender {
            version: policy.version,
            policy,
            random: fastrand::Rng::with_seed(seed),
            created_ms,
            queue: VecDeque::new(),
            bytes: 0,
            is_sending: false,
            failures: 0,
            not_before: Duration::ZERO,
            counts: Counts::default(),
            last: Vec::new(),
            flush_until: None,
            is_finished: false,
            has_logged_refused: false,
            has_logged_unwritten: false,
        }
    }

    /// Counts of samples so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Estimated size of the queue in bytes.
    pub fn queued_bytes(&self) -> usize {
        self.bytes
    }

    /// Age of the oldest samples in the queue.
    pub fn oldest(&self, now: Time) -> Duration {
        self.queue.front().map_or(Duration::ZERO, |batch| now.saturating_sub(batch.made))
    }

    /// Protocol version of the next request.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Time at which an [`Event::Tick`] is needed if no other event comes first.
    pub fn next_wake(&self) -> Option<Time> {
        let retry = (!self.is_sending && !self.queue.is_empty()).then_some(self.not_before);
        let end = self.flush_until.filter(|_| !self.is_finished);
        retry.into_iter().chain(end).min()
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Samples(samples, at_ms) if self.flush_until.is_none() => {
                let mut batch = self.stale_markers(&samples);
                self.last.clone_from(&samples);
                batch.extend(samples);
                self.push(now, batch, at_ms);
            }
            Event::PolicyChanged { policy, receiver_changed } => {
                if receiver_changed {
                    // The new receiver does not know the series, so their stale markers are not sent to it, and the delay after
                    // failures of the old one does not apply.
                    (self.is_sending, self.failures, self.not_before) = (false, 0, now);
                    (self.has_logged_refused, self.has_logged_unwritten) = (false, false);
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
                self.on_response(now, status, retry_after, written, actions);
            }
            Event::Failed(why) => self.on_failure(now, None, &why, actions),
            Event::Stop(at_ms) if self.flush_until.is_none() => {
                let mut markers = std::mem::take(&mut self.last);
                markers.iter_mut().for_each(|sample| sample.value = f64::from_bits(STALE_MARKER_BITS));
                if !markers.is_empty() {
                    self.push(now, markers, at_ms);
                }
                self.flush_until = Some(now + self.policy.flush_timeout);
                // There is no time left to wait for the end of a delay.
                self.not_before = now;
            }
            Event::Stop(_) => {}
        }
        self.send_next(now, actions);
    }

    fn push(&mut self, now: Time, samples: Vec<Sample>, at_ms: i64) {
        let text = |(name, value): &(String, String)| name.len() + value.len() + 64;
        let bytes = samples.iter().map(|s| s.labels.iter().map(text).sum::<usize>() + 64).sum();
        self.bytes += bytes;
        self.queue.push_back(Batch { samples, at_ms, made: now, bytes, attempts: 0 });
        self.trim();
    }

    /// Stale markers for the series that are in the last samples but not in these (specification 1.0, "Stale Markers").
    fn stale_markers(&self, samples: &[Sample]) -> Vec<Sample> {
        let is_same = self.last.len() == samples.len()
            && self.last.iter().zip(samples).all(|(old, new)| old.labels == new.labels);
        if is_same {
            return Vec::new();
        }
        let current: HashSet<&[(String, String)]> = samples.iter().map(|s| s.labels.as_slice()).collect();
        let ended = self.last.iter().filter(|old| !current.contains(old.labels.as_slice()));
        ended.map(|old| Sample { value: f64::from_bits(STALE_MARKER_BITS), ..old.clone() }).collect()
    }

    /// Drops the oldest batches until the queue is within its limit.
    fn trim(&mut self) {
        while self.bytes > self.policy.queue_bytes {
            // A batch that is being sent stays, as the response will be about it.
            let index = usize::from(self.is_sending);
            // The newest batch stays even if it is larger than the limit, or nothing would ever be sent.
            let old = (index + 1 < self.queue.len()).then(|| self.queue.remove(index)).flatten();
            let Some(old) = old else { break };
            self.bytes -= old.bytes;
            self.counts.dropped_full += old.samples.len() as u64;
        }
    }

    fn on_response(
        &mut self,
        now: Time,
        status: u16,
        retry_after: Option<Duration>,
        written: Option<u64>,
        actions: &mut Vec<Action>,
    ) {
        // A receiver that supports 2.0 reports what it has written. One that does not supports only 1.0, and has ignored the
        // body (specification 2.0, "Required Written Response Headers").
        let is_v1_receiver = self.version == Version::V2 && written.is_none();
        match status {
            200..=299 if is_v1_receiver => {
                self.fall_back("the response does not say what was written", actions);
            }
            200..=299 => {
                let Some(batch) = self.take_first() else { return };
                let all = batch.samples.len() as u64;
                self.counts.sent += all;
                self.failures = 0;
                let unwritten =
                    written.filter(|_| self.version == Version::V2).map_or(0, |n| all.saturating_sub(n));
                self.counts.unwritten += unwritten;
                if unwritten > 0 && !std::mem::replace(&mut self.has_logged_unwritten, true) {
                    actions.push(Action::Log(format!(
                        "remote write: {unwritten} of {all} samples were not written"
                    )));
                }
            }
            415 if self.version == Version::V2 => self.fall_back("status 415", actions),
            429 => self.on_failure(now, retry_after, "the receiver responded with 429", actions),
            500..=599 => {
                self.on_failure(now, retry_after, &format!("the receiver responded with {status}"), actions);
            }
            // A retry would get the same response. Redirects are not followed, because the operator configures the address.
            _ => {
                let Some(batch) = self.take_first() else { return };
                self.counts.dropped_refused += batch.samples.len() as u64;
                self.failures = 0;
                if !std::mem::replace(&mut self.has_logged_refused, true) {
                    let text = format!(
                        "remote write: the receiver responded with {status}; what it refuses is dropped"
                    );
                    actions.push(Action::Log(text));
                }
            }
        }
    }

    /// Removes the batch that is being sent from the queue.
    fn take_first(&mut self) -> Option<Batch> {
        if !std::mem::take(&mut self.is_sending) {
            return None;
        }
        let batch = self.queue.pop_front()?;
        self.bytes -= batch.bytes;
        Some(batch)
    }

    /// Sends in version 1.0 from now on, since the receiver does not support 2.0.
    fn fall_back(&mut self, why: &str, actions: &mut Vec<Action>) {
        self.is_sending = false;
        self.version = Version::V1;
        actions.push(Action::Log(format!(
            "remote write: the receiver does not support 2.0 ({why}); using 1.0 from now on"
        )));
    }

    /// Delays the next request after a failure.
    fn on_failure(&mut self, now: Time, retry_after: Option<Duration>, why: &str, actions: &mut Vec<Action>) {
        if !std::mem::take(&mut self.is_sending) {
            return;
        }
        self.failures = self.failures.saturating_add(1);
        if self.failures == 1 {
            actions.push(Action::Log(format!("remote write: {why}; retrying")));
        }
        let doubled =
            2_f64.powi((self.failures - 1).min(30) as i32) * self.policy.initial_backoff.as_secs_f64();
        let max_delay = doubled.min(self.policy.max_backoff.as_secs_f64());
        // Random from half of it to all of it, so that the instances of a fleet do not retry at the same time.
        let delay = Duration::from_secs_f64(max_delay * (0.5 + 0.5 * self.random.f64()));
        let delay = retry_after.map_or(delay, |after| after.min(self.policy.max_retry_after).max(delay));
        self.not_before = now + delay;
    }

    /// Sends the first batch if it may be sent now, and finishes after a stop.
    fn send_next(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.is_finished {
            return;
        }
        let is_timed_out = self.flush_until.is_some_and(|until| now >= until);
        if is_timed_out || (self.flush_until.is_some() && self.queue.is_empty()) {
            self.counts.dropped_at_shutdown += self.queue.iter().map(|b| b.samples.len() as u64).sum::<u64>();
            self.queue.clear();
            self.bytes = 0;
            self.is_finished = true;
            return actions.push(Action::Finished);
        }
        if self.is_sending || now < self.not_before {
            return;
        }
        let Some(batch) = self.queue.front_mut() else { return };
        if batch.attempts > 0 {
            self.counts.retried += batch.samples.len() as u64;
        }
        batch.attempts += 1;
        self.is_sending = true;
        let body = encode(self.version, &batch.samples, batch.at_ms, self.created_ms);
        actions.push(Action::Post(Post { version: self.version, body }));
    }
}
