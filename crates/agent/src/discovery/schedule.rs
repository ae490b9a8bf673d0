//! The schedule of calls to discovery: a state machine without sockets and without a clock of its own.
//!
//! One watch at a time waits for changes. When there is no response in time, the watch stays open, and up to
//! [`MAX_IMMEDIATE_CALLS`] calls for an immediate response are sent concurrently, each on its own connection. The first
//! complete response is used and the other calls are cancelled.
//!
//! The first call after a failure is a watch too, which gets an immediate response if there is a newer version. A call
//! without a wait, or with a shorter one, would cause two calls for each instance at a shared service that rejects calls.

use super::error::CallError;
use super::policy::{WatchPolicy, MAX_IMMEDIATE_CALLS};
use std::time::Duration;

/// The number of a call, unique within its schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// What a call requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Query {
    /// A snapshot, immediately.
    Snapshot,
    /// The changes after a version, immediately.
    Delta {
        /// The version that is known.
        after: u64,
    },
    /// The changes after a version, as soon as there are any or when the wait expires.
    Watch {
        /// The version that is known.
        after: u64,
        /// The maximum wait.
        wait: Duration,
    },
}

impl Query {
    /// The request target.
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

/// The version of a response, and whether it is a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseVersion {
    /// The version of the list.
    pub version: u64,
    /// Whether the response is a snapshot rather than a delta.
    pub is_snapshot: bool,
}

/// What the caller of the schedule has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Send a call.
    Call {
        /// The call's number.
        id: CallId,
        /// What the call requests.
        query: Query,
    },
    /// Cancel this call; its response is not needed.
    Cancel(CallId),
    /// Apply the list that this call returned.
    Deliver(CallId),
    /// Report that a watch has had no response in time; the call stays open.
    WatchSilent {
        /// The version after which the watch requests changes.
        version: u64,
        /// The time since the watch started.
        elapsed: Duration,
    },
    /// Report that a call failed.
    CallFailed {
        /// How long the call was open, if it was a watch.
        watch_elapsed: Option<Duration>,
        /// Why the call failed.
        error: CallError,
    },
    /// No call is open. The next one is sent when the schedule restarts, by its own timer or by the balancer.
    Idle,
}

/// A call without a result.
struct OpenCall {
    id: CallId,
    query: Query,
    started_at: Duration,
    deadline: Duration,
}

/// The open calls and the timers for the next ones. All times are counted from one arbitrary origin.
pub struct WatchSchedule {
    policy: WatchPolicy,
    random: fastrand::Rng,
    /// Version of the cached list; none if a snapshot is needed.
    version: Option<u64>,
    calls: Vec<OpenCall>,
    next_id: u64,
    /// Time after which the watch is considered silent.
    silent_at: Option<Duration>,
    /// Number of calls for an immediate response since the schedule last started.
    immediate_calls: u32,
    /// Time of the next call for an immediate response if no response arrives earlier.
    hedge_at: Option<Duration>,
    /// Time of the restart after a failure, where the schedule restarts by itself.
    restart_at: Option<Duration>,
}

impl WatchSchedule {
    /// A schedule for an agent that has this version of the list. Sends no call before [`WatchSchedule::start`].
    pub fn new(policy: WatchPolicy, version: Option<u64>, seed: u64) -> Self {
        WatchSchedule {
            policy,
            random: fastrand::Rng::with_seed(seed),
            version,
            calls: Vec::new(),
            next_id: 0,
            silent_at: None,
            immediate_calls: 0,
            hedge_at: None,
            restart_at: None,
        }
    }

    /// Cancels all open calls and sends a new one: a watch, or a request for a snapshot if no version is known.
    pub fn start(&mut self, now: Duration, steps: &mut Vec<Step>) {
        self.cancel_all(steps);
        match self.version {
            Some(version) => self.watch(now, version, steps),
            None => self.call_immediately(now, steps),
        }
    }

    /// Whether a call for an immediate response is open.
    pub fn awaits_response(&self) -> bool {
        self.calls.iter().any(|call| !matches!(call.query, Query::Watch { .. }))
    }

    /// The next time at which [`WatchSchedule::on_timer`] has something to do.
    pub fn next_due(&self) -> Option<Duration> {
        let deadlines = self.calls.iter().map(|call| call.deadline);
        let timers = [self.silent_at, self.hedge_at, self.restart_at];
        deadlines.chain(timers.into_iter().flatten()).min()
    }

    /// Handles the timers that are due at `now`.
    pub fn on_timer(&mut self, now: Duration, steps: &mut Vec<Step>) {
        if take_due(&mut self.silent_at, now) {
            self.on_silent_watch(now, steps);
        }
        if take_due(&mut self.hedge_at, now) {
            self.call_immediately(now, steps);
        }
        while let Some(call) = self.calls.iter().find(|call| call.deadline <= now) {
            let id = call.id;
            steps.push(Step::Cancel(id));
            self.on_result(now, id, Err(CallError::Timeout), steps);
        }
        if take_due(&mut self.restart_at, now) {
            self.start(now, steps);
        }
    }

    /// Handles the result of a call. Results of cancelled calls are ignored.
    pub fn on_result(
        &mut self,
        now: Duration,
        id: CallId,
        response: Result<ResponseVersion, CallError>,
        steps: &mut Vec<Step>,
    ) {
        let Some(index) = self.calls.iter().position(|call| call.id == id) else { return };
        let call = self.calls.remove(index);
        let response = response.and_then(|response| match call.query {
            // A delta without a known base would leave out the unchanged endpoints.
            Query::Snapshot if !response.is_snapshot => Err(CallError::NoSnapshot),
            _ => Ok(response),
        });
        match response {
            Err(error) => self.on_failure(now, &call, error, steps),
            // The service has restarted with lower versions: this agent does not have the list that the delta changes.
            Ok(response)
                if !response.is_snapshot && self.version.is_some_and(|known| response.version < known) =>
            {
                self.version = None;
                self.start(now, steps);
            }
            Ok(response) => {
                self.version = Some(response.version);
                steps.push(Step::Deliver(id));
                self.start(now, steps);
            }
        }
    }

    fn on_silent_watch(&mut self, now: Duration, steps: &mut Vec<Step>) {
        if let Some(OpenCall { query: Query::Watch { after, .. }, started_at, .. }) = self.calls.first() {
            steps.push(Step::WatchSilent { version: *after, elapsed: now.saturating_sub(*started_at) });
        }
        self.call_immediately(now, steps);
    }

    fn on_failure(&mut self, now: Duration, call: &OpenCall, error: CallError, steps: &mut Vec<Step>) {
        let is_watch = matches!(call.query, Query::Watch { .. });
        let watch_elapsed = is_watch.then(|| now.saturating_sub(call.started_at));
        steps.push(Step::CallFailed { watch_elapsed, error });
        if !self.calls.is_empty() {
            return;
        }
        (self.silent_at, self.hedge_at) = (None, None);
        if let Some(delay) = self.policy.retry_delay {
            // The discovery on this machine may have restarted, and a snapshot from it is cheap.
            self.version = None;
            self.restart_at = Some(now + delay);
        }
        steps.push(Step::Idle);
    }

    fn watch(&mut self, now: Duration, version: u64, steps: &mut Vec<Step>) {
        let fraction =
            self.policy.min_wait_fraction + (1.0 - self.policy.min_wait_fraction) * self.random.f64();
        let wait = self.policy.max_wait.mul_f64(fraction);
        self.silent_at = Some(now + wait + self.policy.silence_timeout);
        let timeout = wait + self.policy.silence_timeout + self.policy.call_timeout;
        self.call(now, Query::Watch { after: version, wait }, timeout, steps);
    }

    /// Sends a call for an immediate response, and sets the timer for a second one.
    fn call_immediately(&mut self, now: Duration, steps: &mut Vec<Step>) {
        let query = match self.version {
            Some(after) if !self.policy.restarts_watches() => Query::Delta { after },
            _ => Query::Snapshot,
        };
        self.immediate_calls += 1;
        self.hedge_at = (self.immediate_calls < MAX_IMMEDIATE_CALLS).then(|| now + self.policy.hedge_delay);
        self.call(now, query, self.policy.call_timeout, steps);
    }

    fn call(&mut self, now: Duration, query: Query, timeout: Duration, steps: &mut Vec<Step>) {
        let id = CallId(self.next_id);
        self.next_id += 1;
        self.calls.push(OpenCall { id, query, started_at: now, deadline: now + timeout });
        steps.push(Step::Call { id, query });
    }

    fn cancel_all(&mut self, steps: &mut Vec<Step>) {
        steps.extend(self.calls.drain(..).map(|call| Step::Cancel(call.id)));
        (self.silent_at, self.hedge_at, self.restart_at, self.immediate_calls) = (None, None, None, 0);
    }
}

/// Clears a timer that is due; returns whether it was.
fn take_due(timer: &mut Option<Duration>, now: Duration) -> bool {
    timer.take_if(|at| *at <= now).is_some()
}
