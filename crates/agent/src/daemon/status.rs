//! An instance's status, as its status file and its control socket give it, and the counters of requests in it.

use crate::discovery::monitor::DiscoveryStatus;
use crate::peers::status::MembershipStatus;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The version of [`Status`]'s form. A higher one only adds keys.
pub const VERSION: u32 = 1;

/// What an instance is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It knows no server yet.
    Starting,
    /// It serves.
    Ready,
    /// It shuts down, and answers the requests that it has accepted.
    Draining,
    /// It has shut down.
    Stopped,
}

impl Phase {
    /// One word for it.
    pub fn as_str(self) -> &'static str {
        match self {
            Phase::Starting => "starting",
            Phase::Ready => "ready",
            Phase::Draining => "draining",
            Phase::Stopped => "stopped",
        }
    }
}

/// An instance's status. Times are Unix milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// [`VERSION`].
    pub version: u32,
    /// Its name.
    pub name: String,
    /// Its process.
    pub pid: u32,
    /// When it started.
    pub started_ms: u64,
    /// When it first knew a server.
    pub ready_ms: Option<u64>,
    /// When this was written.
    pub written_ms: u64,
    /// What it is doing.
    pub phase: Phase,
    /// Where clients connect.
    pub listen: String,
    /// Its configuration.
    pub config: ConfigStatus,
    /// Its requests by class.
    pub requests: BTreeMap<String, Counts>,
    /// Requests that were malformed or could not be classified.
    pub bad_requests: u64,
    /// Servers by their state in the endpoint list.
    pub servers: Servers,
    /// Connections of clients.
    pub connections: usize,
    /// The requests to discovery.
    #[serde(default)]
    pub discovery: DiscoveryStatus,
    /// The view of the cluster, if the instance has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub membership: Option<MembershipStatus>,
    /// Violations of the rules, by name; empty without any.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub violations: BTreeMap<String, u64>,
    /// Present faults, such as a status file that cannot be written.
    pub problems: Vec<String>,
}

/// The configuration in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// A hash (FNV-1a, 64 bits) of the bytes of the files that are in force.
    pub digest: String,
    /// 1 at the start, one more with each accepted reload.
    pub generation: u64,
    /// Why the last reload was rejected; none if it was accepted.
    pub refused: Option<String>,
}

/// Requests of a class. At any moment `taken` is the sum of the others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Accepted: complete and well-formed.
    pub taken: u64,
    /// Answered with a server's response.
    pub served: u64,
    /// Answered 429.
    pub refused: u64,
    /// Answered with another error.
    pub failed: u64,
    /// Their clients disconnected before the response.
    pub left: u64,
    /// Pending.
    pub open: u64,
}

/// Servers by their state in the endpoint list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Servers {
    /// They take requests.
    pub up: usize,
    /// They take no new requests.
    pub draining: usize,
    /// They have left the list recently.
    pub gone: usize,
}

/// The outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A server's response.
    Served,
    /// Rejected with 429.
    Rejected,
    /// Another error.
    Failed,
    /// The client disconnected first.
    ClientDisconnected,
}

/// Counts requests by class and outcome.
#[derive(Debug)]
pub struct RequestCounters {
    classes: Rc<RefCell<Vec<(String, Counts)>>>,
    bad_requests: std::cell::Cell<u64>,
}

impl RequestCounters {
    /// Counters of these classes.
    pub fn new(classes: &[String]) -> Self {
        let counters = RequestCounters { classes: Rc::default(), bad_requests: std::cell::Cell::new(0) };
        counters.add_classes(classes);
        counters
    }

    /// Adds classes at zero. A class that settings drop keeps its counts.
    pub fn add_classes(&self, classes: &[String]) {
        for name in classes {
            self.index(name);
        }
    }

    fn index(&self, name: &str) -> usize {
        let mut classes = self.classes.borrow_mut();
        let known = classes.iter().position(|(known, _)| known == name);
        known.unwrap_or_else(|| {
            classes.push((name.to_owned(), Counts::default()));
            classes.len() - 1
        })
    }

    /// Counts an accepted request of the class; its outcome is recorded by what this returns.
    pub fn on_request(&self, class: &str) -> PendingGuard {
        let class = self.index(class);
        let counts = &mut self.classes.borrow_mut()[class].1;
        counts.taken += 1;
        counts.open += 1;
        PendingGuard { classes: self.classes.clone(), class, outcome: RequestOutcome::ClientDisconnected }
    }

    /// Counts a malformed request.
    pub fn on_bad_request(&self) {
        self.bad_requests.set(self.bad_requests.get() + 1);
    }

    /// The counts by class, and the count of malformed requests.
    pub fn counts(&self) -> (Vec<(String, Counts)>, u64) {
        (self.classes.borrow().clone(), self.bad_requests.get())
    }
}

/// An accepted request. Dropping this without [`PendingGuard::finish`] counts it as abandoned by its client.
#[derive(Debug)]
pub struct PendingGuard {
    classes: Rc<RefCell<Vec<(String, Counts)>>>,
    class: usize,
    outcome: RequestOutcome,
}

impl PendingGuard {
    /// Records the outcome.
    pub fn finish(mut self, outcome: RequestOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for PendingGuard {
    fn drop(&mut self) {
        let mut classes = self.classes.borrow_mut();
        let counts = &mut classes[self.class].1;
        counts.open -= 1;
        match self.outcome {
            RequestOutcome::Served => counts.served += 1,
            RequestOutcome::Rejected => counts.refused += 1,
            RequestOutcome::Failed => counts.failed += 1,
            RequestOutcome::ClientDisconnected => counts.left += 1,
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/daemon_status.rs"]
mod tests;
