//! Which calls to discovery are made when, as a state machine without sockets or a clock of its own.
//!
//! One watch at a time waits for changes. When it falls silent it stays open, and calls that ask for an answer at once
//! are made beside it on connections of their own,
//! [`MAX_IMMEDIATE_CALLS`] of them; the first complete answer wins. After a failure
//! too it begins with a watch, which is answered at once if there is something newer: a call for an answer at once, or a
//! shorter wait, would have a shared service that turns calls away take in two calls for each instance.

use super::error::CallError;
use super::policy::{WatchPolicy, MAX_IMMEDIATE_CALLS};
use std::time::Duration;

/// The number of a call, unique within its schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// What a call asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Query {
    /// The full snapshot, at once.
    Snapshot,
    /// What is newer than this version, at once.
    Delta {
        /// The version that is known.
        after: u64,
    },
    /// What is newer than this version, as soon as there is something or the wait is over.
    Watch {
        /// The version that is known.
        after: u64,
        /// The wait.
        wait: Duration,
    },
}

impl Query {
    /// The path that asks this.
    pub fn path(&self) -> String {
        match self {
            Query::Snapshot => "/v1/endpoints".to_owned(),
            Query::Delta { after } => format!("/v1/endpoints?after={after}&wait_ms=0"),
            Query::Watch { after, wait } => {
                format!("/v1/endpoints?after={after}&wait_ms={}", wait.as_millis())
            }
        }
    }
}

/// The version of an answer, and whether it is a full snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseVersion {
    /// Its version.
    pub version: u64,
    /// Whether it is the full snapshot.
    pub is_snapshot: bool,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Make this call.
    Call {
        /// Its number.
        id: CallId,
        /// What it asks for.
        query: Query,
    },
    /// End this call, without an answer.
    Cancel(CallId),
    /// Take in the list of this answer.
    Deliver(CallId),
    /// Report that the watch of this version has fallen silent, so long after it began.
    WatchSilent {
        /// The version that it asked after.
        version: u64,
        /// The time since it began.
        elapsed: Duration,
    },
    /// Report that a call failed.
    CallFailed {
        /// How long it was open, if it was a watch.
        watch: Option<Duration>,
        /// Why.
        error: CallError,
    },
    /// Nothing is asked any more until the schedule is begun again, here or by the balancer.
    Idle,
}

struct OpenCall {
    id: CallId,
    query: Query,
    began: Duration,
    deadline: Duration,
}

/// The calls that are open, and when the next are due. Times are counted from any fixed moment.
pub struct WatchSchedule {
    policy: WatchPolicy,
    random: fastrand::Rng,
    version: Option<u64>,
    calls: Vec<OpenCall>,
    next_id: u64,
    /// When the watch falls silent.
    silent_at: Option<Duration>,
    /// Calls for an answer at once that this round has made.
    asks: u32,
    /// When the next of them is due, if none is answered.
    hedge_at: Option<Duration>,
    restart_at: Option<Duration>,
}

impl WatchSchedule {
    /// A schedule that knows this version of the list, and asks nothing yet.
    pub fn new(policy: WatchPolicy, version: Option<u64>, seed: u64) -> Self {
        WatchSchedule {
            policy,
            random: fastrand::Rng::with_seed(seed),
            version,
            calls: Vec::new(),
            next_id: 0,
            silent_at: None,
            asks: 0,
            hedge_at: None,
            restart_at: None,
        }
    }

    /// Begins: with a watch, or where no version is known with a call for the full snapshot.
    pub fn begin(&mut self, now: Duration, steps: &mut Vec<Step>) {
        self.cancel_all(steps);
        match self.version {
            Some(version) => self.watch(now, version, steps),
            None => self.ask(now, steps),
        }
    }

    /// The next moment at which [`WatchSchedule::on_timer`] has something to do.
    pub fn next_due(&self) -> Option<Duration> {
        let deadlines = self.calls.iter().map(|call| call.deadline);
        let timers = [self.silent_at, self.hedge_at, self.restart_at];
        deadlines.chain(timers.into_iter().flatten()).min()
    }

    /// Does what is due by now.
    pub fn on_timer(&mut self, now: Duration, steps: &mut Vec<Step>) {
        if take_due(&mut self.silent_at, now) {
            self.on_silence(now, steps);
        }
        if take_due(&mut self.hedge_at, now) {
            self.ask(now, steps);
        }
        while let Some(call) = self.calls.iter().find(|call| call.deadline <= now) {
            let id = call.id;
            steps.push(Step::Cancel(id));
            self.on_response(now, id, Err(CallError::Timeout), steps);
        }
        if take_due(&mut self.restart_at, now) {
            self.begin(now, steps);
        }
    }

    /// A call is over. Answers to calls that were cancelled are ignored.
    pub fn on_response(
        &mut self,
        now: Duration,
        id: CallId,
        answer: Result<ResponseVersion, CallError>,
        steps: &mut Vec<Step>,
    ) {
        let Some(place) = self.calls.iter().position(|call| call.id == id) else { return };
        let call = self.calls.remove(place);
        let answer = answer.and_then(|answer| match call.query {
            // Changes as a first answer would say nothing of the other endpoints.
            Query::Snapshot if !answer.is_snapshot => Err(CallError::NoSnapshot),
            _ => Ok(answer),
        });
        match answer {
            Err(error) => self.on_failure(now, &call, error, steps),
            // A service that has restarted with lower versions: its changes are of a list that nobody here has.
            Ok(answer) if !answer.is_snapshot && self.version.is_some_and(|known| answer.version < known) => {
                self.version = None;
                self.begin(now, steps);
            }
            Ok(answer) => {
                self.version = Some(answer.version);
                steps.push(Step::Deliver(id));
                self.begin(now, steps);
            }
        }
    }

    fn on_silence(&mut self, now: Duration, steps: &mut Vec<Step>) {
        if let Some(OpenCall { query: Query::Watch { after, .. }, began, .. }) = self.calls.first() {
            steps.push(Step::WatchSilent { version: *after, elapsed: now.saturating_sub(*began) });
        }
        self.ask(now, steps);
    }

    fn on_failure(&mut self, now: Duration, call: &OpenCall, error: CallError, steps: &mut Vec<Step>) {
        let watch = matches!(call.query, Query::Watch { .. }).then(|| now.saturating_sub(call.began));
        steps.push(Step::CallFailed { watch, error });
        if !self.calls.is_empty() {
            return;
        }
        (self.silent_at, self.hedge_at) = (None, None);
        if let Some(delay) = self.policy.retry_delay {
            // It costs nothing to ask for all, and it may have restarted.
            self.version = None;
            self.restart_at = Some(now + delay);
        }
        steps.push(Step::Idle);
    }

    fn watch(&mut self, now: Duration, version: u64, steps: &mut Vec<Step>) {
        let part = self.policy.min_wait_fraction + (1.0 - self.policy.min_wait_fraction) * self.random.f64();
        let wait = self.policy.max_wait.mul_f64(part);
        self.silent_at = Some(now + wait + self.policy.silence_timeout);
        let limit = wait + self.policy.silence_timeout + self.policy.call_timeout;
        self.call(now, Query::Watch { after: version, wait }, limit, steps);
    }

    fn ask(&mut self, now: Duration, steps: &mut Vec<Step>) {
        let query = match self.version {
            Some(after) if !self.policy.restarts_watches() => Query::Delta { after },
            _ => Query::Snapshot,
        };
        self.asks += 1;
        self.hedge_at = (self.asks < MAX_IMMEDIATE_CALLS).then(|| now + self.policy.hedge_delay);
        self.call(now, query, self.policy.call_timeout, steps);
    }

    fn call(&mut self, now: Duration, query: Query, limit: Duration, steps: &mut Vec<Step>) {
        let id = CallId(self.next_id);
        self.next_id += 1;
        self.calls.push(OpenCall { id, query, began: now, deadline: now + limit });
        steps.push(Step::Call { id, query });
    }

    fn cancel_all(&mut self, steps: &mut Vec<Step>) {
        steps.extend(self.calls.drain(..).map(|call| Step::Cancel(call.id)));
        (self.silent_at, self.hedge_at, self.restart_at, self.asks) = (None, None, None, 0);
    }
}

/// Whether a timer is due; then it is taken.
fn take_due(timer: &mut Option<Duration>, now: Duration) -> bool {
    timer.take_if(|at| *at <= now).is_some()
}
