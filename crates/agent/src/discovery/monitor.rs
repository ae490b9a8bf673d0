//! What operators see of the calls to discovery: counts by cause, one log line for each watch that ends or falls silent,
//! and two for each run of failed calls.

use super::error::CallError;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{info, warn};

/// The calls to discovery since the start, for the status.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiscoveryStatus {
    /// The version of the list that is held; none before the first answer of a discovery that has moved.
    pub version: Option<u64>,
    /// Calls that were made.
    pub calls: u64,
    /// Calls that were answered with a list.
    pub answered: u64,
    /// Watches that fell silent.
    pub silent_watches: u64,
    /// Failed calls by cause; those that never occurred are missing.
    pub failed: BTreeMap<String, u64>,
    /// Failed calls since the last answer.
    pub failed_in_a_row: u64,
}

/// Calls that failed one after the other, with no answer between.
struct FailedRun {
    since: Instant,
    calls: u64,
    causes: [u64; CallError::CAUSES.len()],
}

/// Counts and logs calls.
#[derive(Default)]
pub(crate) struct Monitor {
    calls: u64,
    answered: u64,
    silent_watches: u64,
    failed: [u64; CallError::CAUSES.len()],
    run: Option<FailedRun>,
}

impl Monitor {
    /// A call goes out.
    pub(crate) fn on_call(&mut self) {
        self.calls += 1;
    }

    /// A call has been answered with this version.
    pub(crate) fn on_answer(&mut self, version: u64) {
        self.answered += 1;
        let Some(run) = self.run.take() else { return };
        let causes = CallError::CAUSES.iter().zip(run.causes).filter(|(_, count)| *count > 0);
        let causes: Vec<String> = causes.map(|(cause, count)| format!("{count} {cause}")).collect();
        info!(
            target: "bellcroft::discovery",
            "discovery answers again, with version {version}, after {} failed calls in {} ms: {}",
            run.calls,
            run.since.elapsed().as_millis(),
            causes.join(", ")
        );
    }

    /// A watch has not answered in time; it stays open.
    pub(crate) fn on_silent_watch(&mut self, version: u64, elapsed: Duration) {
        self.silent_watches += 1;
        if self.run.is_some() {
            return;
        }
        let millis = elapsed.as_millis();
        warn!(
            target: "bellcroft::discovery",
            "the watch of version {version} fell silent: no answer {millis} ms after it began; asking on another connection"
        );
    }

    /// A call has failed.
    pub(crate) fn on_failure(&mut self, version: Option<u64>, watch: Option<Duration>, error: &CallError) {
        let version = version.map_or("no version".to_owned(), |version| format!("version {version}"));
        let first = self.run.is_none();
        let run = self.run.get_or_insert_with(|| FailedRun {
            since: Instant::now(),
            calls: 0,
            causes: Default::default(),
        });
        run.calls += 1;
        run.causes[error.cause_index()] += 1;
        self.failed[error.cause_index()] += 1;
        if !first {
            // A run of failures is logged as it begins and as it ends.
            return;
        }
        if let Some(open) = watch {
            let millis = open.as_millis();
            warn!(target: "bellcroft::discovery", "the watch of {version} ended after {millis} ms: {error}");
        } else {
            warn!(target: "bellcroft::discovery", "calls to discovery fail, {version} is held: {error}");
        }
    }

    /// For the status.
    pub(crate) fn status(&self, version: Option<u64>) -> DiscoveryStatus {
        let failed = CallError::CAUSES.iter().zip(self.failed).filter(|(_, count)| *count > 0);
        DiscoveryStatus {
            version,
            calls: self.calls,
            answered: self.answered,
            silent_watches: self.silent_watches,
            failed: failed.map(|(cause, count)| ((*cause).to_owned(), count)).collect(),
            failed_in_a_row: self.run.as_ref().map_or(0, |run| run.calls),
        }
    }
}
