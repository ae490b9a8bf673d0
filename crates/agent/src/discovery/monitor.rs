//! Counters and log lines of the calls to discovery. A run of consecutive failures is logged once when it begins and
//! once when it ends; a silent watch is logged unless a run of failures is in progress.

use super::error::CallError;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{info, warn};

/// Counters of the calls to discovery since the process started, for `status.json`. The serialized names are external.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiscoveryStatus {
    /// The version of the cached list; none between a change of discovery's address and the first response from there.
    pub version: Option<u64>,
    /// Calls that were sent.
    pub calls: u64,
    /// Calls that returned a list.
    #[serde(rename = "answered")]
    pub succeeded: u64,
    /// Watches without a response within their wait and the silence timeout.
    pub silent_watches: u64,
    /// Failed calls by cause; causes that have not occurred are missing.
    pub failed: BTreeMap<String, u64>,
    /// Failed calls since the last successful one.
    #[serde(rename = "failed_in_a_row")]
    pub consecutive_failures: u64,
}

/// A run of failed calls without a successful one in between.
struct FailedRun {
    since: Instant,
    calls: u64,
    causes: [u64; CallError::CAUSES.len()],
}

/// Counts and logs calls.
#[derive(Default)]
pub(crate) struct Monitor {
    calls: u64,
    succeeded: u64,
    silent_watches: u64,
    failed: [u64; CallError::CAUSES.len()],
    /// The present run of failed calls; none if the last call succeeded.
    failed_run: Option<FailedRun>,
}

impl Monitor {
    /// Counts a call that is sent.
    pub(crate) fn on_call(&mut self) {
        self.calls += 1;
    }

    /// Counts a call that returned a list of this version, and logs the end of a run of failures.
    pub(crate) fn on_success(&mut self, version: u64) {
        self.succeeded += 1;
        let Some(run) = self.failed_run.take() else { return };
        let causes = CallError::CAUSES.iter().zip(run.causes).filter(|(_, count)| *count > 0);
        let causes: Vec<String> = causes.map(|(cause, count)| format!("{count} {cause}")).collect();
        info!(
            target: "bellcroft::discovery",
            "discovery responds again, with version {version}, after {} failed calls in {} ms: {}",
            run.calls,
            run.since.elapsed().as_millis(),
            causes.join(", ")
        );
    }

    /// Counts and logs a watch without a response in time; its call stays open.
    pub(crate) fn on_silent_watch(&mut self, version: u64, elapsed: Duration) {
        self.silent_watches += 1;
        if self.failed_run.is_some() {
            return;
        }
        let millis = elapsed.as_millis();
        warn!(
            target: "bellcroft::discovery",
            "no response to the watch of version {version} after {millis} ms: calling discovery on another connection"
        );
    }

    /// Counts a failed call, and logs it if it begins a run of failures. `version` is the cached version,
    /// `watch_elapsed` the time that the call was open if it was a watch.
    pub(crate) fn on_failure(
        &mut self,
        version: Option<u64>,
        watch_elapsed: Option<Duration>,
        error: &CallError,
    ) {
        let version = version.map_or("no version".to_owned(), |version| format!("version {version}"));
        let is_first = self.failed_run.is_none();
        let run = self.failed_run.get_or_insert_with(|| FailedRun {
            since: Instant::now(),
            calls: 0,
            causes: Default::default(),
        });
        run.calls += 1;
        run.causes[error.cause_index()] += 1;
        self.failed[error.cause_index()] += 1;
        if !is_first {
            return;
        }
        if let Some(elapsed) = watch_elapsed {
            let millis = elapsed.as_millis();
            warn!(target: "bellcroft::discovery", "the watch of {version} failed after {millis} ms: {error}");
        } else {
            warn!(target: "bellcroft::discovery", "calls to discovery fail, {version} is cached: {error}");
        }
    }

    /// The counters for the status, with the cached version.
    pub(crate) fn status(&self, version: Option<u64>) -> DiscoveryStatus {
        let failed = CallError::CAUSES.iter().zip(self.failed).filter(|(_, count)| *count > 0);
        DiscoveryStatus {
            version,
            calls: self.calls,
            succeeded: self.succeeded,
            silent_watches: self.silent_watches,
            failed: failed.map(|(cause, count)| ((*cause).to_owned(), count)).collect(),
            consecutive_failures: self.failed_run.as_ref().map_or(0, |run| run.calls),
        }
    }
}
