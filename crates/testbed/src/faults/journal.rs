//! What happened, on one clock.

use serde::Serialize;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::time::Instant;

/// One thing that happened.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Entry {
    /// Seconds since the beginning.
    pub at: f64,
    /// Where: `testbed`, or an instance such as `i3`.
    pub who: String,
    /// `did` for a fault or a process's start and end, `told` for a list, `says` for a line of a process's log.
    pub kind: &'static str,
    /// What.
    pub what: String,
}

/// The merged record of a play.
#[derive(Clone)]
pub struct Journal {
    begin: Instant,
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Journal {
    /// An empty one that begins now.
    pub fn new() -> Self {
        Journal { begin: Instant::now(), entries: Arc::default() }
    }

    /// Seconds since the beginning.
    pub fn now(&self) -> f64 {
        self.begin.elapsed().as_secs_f64()
    }

    /// When it began.
    pub fn begin(&self) -> Instant {
        self.begin
    }

    /// Notes something.
    pub fn note(&self, who: impl Into<String>, kind: &'static str, what: impl Into<String>) {
        let entry = Entry { at: self.now(), who: who.into(), kind, what: what.into() };
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).push(entry);
    }

    /// All of it so far, in the order of its times.
    pub fn entries(&self) -> Vec<Entry> {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner).clone();
        entries.sort_by(|a, b| a.at.total_cmp(&b.at));
        entries
    }

    /// Entries of a place that hold this text, since a moment.
    pub fn count(&self, who: &str, since: f64, text: &str) -> usize {
        let holds = |e: &&Entry| e.who == who && e.at >= since && e.what.contains(text);
        self.entries().iter().filter(holds).count()
    }
}

impl Default for Journal {
    fn default() -> Self {
        Self::new()
    }
}

/// The text of a log line by which a member's state changed; see `bellcroft::membership` in the agent.
pub fn member_change(member: usize, to: &str) -> String {
    format!("member={member} to=\"{to}\"")
}
