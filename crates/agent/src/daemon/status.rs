//! What an instance says of itself, in its status file and over its control socket.

use crate::discovery::monitor::DiscoveryStatus;
use crate::peers::status::MembershipStatus;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The form of [`Status`]; a reader of a higher one finds keys that it does not know, and the old ones as they were.
pub const VERSION: u32 = 1;

/// What an instance is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It has no server to send to yet.
    Starting,
    /// It serves.
    Ready,
    /// It has been told to end, and answers what it has taken.
    Draining,
    /// It has ended as it was told to.
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
    /// When it first had a server to send to.
    pub ready_ms: Option<u64>,
    /// When this was written.
    pub written_ms: u64,
    /// What it is doing.
    pub phase: Phase,
    /// Where it takes requests.
    pub listen: String,
    /// What it goes by.
    pub config: ConfigStatus,
    /// Its requests by class.
    pub requests: BTreeMap<String, Counts>,
    /// Requests that were answered with an error before they had a class, or for what was wrong with them.
    pub bad_requests: u64,
    /// Servers by what the list says of them.
    pub servers: Servers,
    /// Connections of clients.
    pub connections: usize,
    /// The calls to discovery.
    #[serde(default)]
    pub discovery: DiscoveryStatus,
    /// The other instances, where they are looked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub membership: Option<MembershipStatus>,
    /// What was done against the rules, by name; empty where nothing was.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub violations: BTreeMap<String, u64>,
    /// What it cannot do at present, such as write its status.
    pub problems: Vec<String>,
}

/// What an instance goes by.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// A hash (FNV-1a, 64 bits) of the bytes of its files as they were last taken.
    pub digest: String,
    /// 1 at the start, one more with each reload that was taken.
    pub generation: u64,
    /// What became of the last reload, if there was one that was not taken.
    pub refused: Option<String>,
}

/// Requests of a class. At any moment `taken` is the sum of the others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// All that have come whole and well-formed.
    pub taken: u64,
    /// Answered with a server's answer.
    pub served: u64,
    /// Answered 429.
    pub refused: u64,
    /// Answered with another error.
    pub failed: u64,
    /// Their clients left before there was an answer.
    pub left: u64,
    /// Owed their answer.
    pub open: u64,
}

/// Servers by what the list says of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Servers {
    /// They take requests.
    pub up: usize,
    /// They finish what they have.
    pub draining: usize,
    /// They have left lately.
    pub gone: usize,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// With a server's answer.
    Served,
    /// Refused.
    Rejected,
    /// With another error.
    Failed,
    /// Its client had gone.
    ClientDisconnected,
}

/// Counts requests by class and outcome.
#[derive(Debug)]
pub struct RequestCounters {
    classes: Rc<RefCell<Vec<(String, Counts)>>>,
    bad: std::cell::Cell<u64>,
}

impl RequestCounters {
    /// A tally of these classes.
    pub fn new(classes: &[String]) -> Self {
        let tally = RequestCounters { classes: Rc::default(), bad: std::cell::Cell::new(0) };
        tally.add_classes(classes);
        tally
    }

    /// These classes show from now on, at zero if nothing was counted yet. One that settings drop keeps its counts.
    pub fn add_classes(&self, classes: &[String]) {
        for name in classes {
            self.place(name);
        }
    }

    fn place(&self, name: &str) -> usize {
        let mut classes = self.classes.borrow_mut();
        let known = classes.iter().position(|(known, _)| known == name);
        known.unwrap_or_else(|| {
            classes.push((name.to_owned(), Counts::default()));
            classes.len() - 1
        })
    }

    /// A request of the class has been taken; how it ended is told to what this returns.
    pub fn on_request(&self, class: &str) -> PendingGuard {
        let class = self.place(class);
        let counts = &mut self.classes.borrow_mut()[class].1;
        counts.taken += 1;
        counts.open += 1;
        PendingGuard { classes: self.classes.clone(), class, ended: RequestOutcome::ClientDisconnected }
    }

    /// A request was wrong.
    pub fn on_bad_request(&self) {
        self.bad.set(self.bad.get() + 1);
    }

    /// The counts by class, and of the bad ones.
    pub fn counts(&self) -> (Vec<(String, Counts)>, u64) {
        (self.classes.borrow().clone(), self.bad.get())
    }
}

/// A request that has been counted as taken. If this ends with nothing said, its client had left.
#[derive(Debug)]
pub struct PendingGuard {
    classes: Rc<RefCell<Vec<(String, Counts)>>>,
    class: usize,
    ended: RequestOutcome,
}

impl PendingGuard {
    /// How it ended.
    pub fn finish(mut self, how: RequestOutcome) {
        self.ended = how;
    }
}

impl Drop for PendingGuard {
    fn drop(&mut self) {
        let mut classes = self.classes.borrow_mut();
        let counts = &mut classes[self.class].1;
        counts.open -= 1;
        match self.ended {
            RequestOutcome::Served => counts.served += 1,
            RequestOutcome::Rejected => counts.refused += 1,
            RequestOutcome::Failed => counts.failed += 1,
            RequestOutcome::ClientDisconnected => counts.left += 1,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_request_is_counted_once_whatever_becomes_of_it() {
        let tally = RequestCounters::new(&["a".to_owned(), "b".to_owned()]);
        let first = tally.on_request("b");
        let second = tally.on_request("b");
        tally.on_request("b").finish(RequestOutcome::Rejected);
        assert_eq!(tally.counts().0[1].1, Counts { taken: 3, open: 2, refused: 1, ..Counts::default() });
        first.finish(RequestOutcome::Served);
        drop(second);
        let expected = Counts { taken: 3, served: 1, refused: 1, left: 1, ..Counts::default() };
        assert_eq!(tally.counts().0, [("a".to_owned(), Counts::default()), ("b".to_owned(), expected)]);
        drop(tally.on_request("c"));
        assert_eq!(tally.counts().0[2].1.left, 1, "a class that new settings bring");
    }
}
