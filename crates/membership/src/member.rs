//! Members, their states and their incarnations.

use bellcroft_balancer::Time;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A member's number: its index in the roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(pub u32);

/// Orders updates about a member: by its epoch first, then by its counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Incarnation {
    /// The start of its process in Unix milliseconds by its own clock, or later if it had to go past a former epoch.
    pub epoch: u64,
    /// Raised by each refutation.
    pub counter: u32,
}

/// Epochs from here on are rejected: no clock shows them, and no member could go past them. 2^47 ms is the year 6429.
pub(crate) const MAX_EPOCH: u64 = 1 << 47;

/// The role of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Serves an application's requests.
    Agent,
    /// Takes part in membership only; receives no digests.
    Observer,
}

/// The state of a member, as one instance holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// Listed in the roster, and never seen.
    Absent,
    /// Answers, or was reported so without evidence against it.
    Alive,
    /// Accused, and still able to refute.
    Suspect,
    /// The suspicion timed out, and a probe of this instance failed.
    Dead,
    /// Reported its own leave.
    Left,
}

impl State {
    /// The name in `status.json`, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            State::Absent => "absent",
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        }
    }

    /// Alive or suspect: a suspect counts as reachable until it is dead.
    pub fn is_reachable(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// A member, as one instance holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The member's number.
    pub id: Id,
    /// Its latest known incarnation.
    pub incarnation: Incarnation,
    /// What is held of it.
    pub state: State,
    /// Since when it has the state.
    pub since: Time,
    /// The member whose observation led to the state; the member itself for its own reports.
    pub reported_by: Id,
    /// Its address.
    pub address: SocketAddr,
    /// Its site, as the platform's settings number sites.
    pub site: u8,
    /// What it is for.
    pub role: Role,
    /// When it last acked a probe of this instance, in its current epoch.
    pub last_ack: Option<Time>,
}
