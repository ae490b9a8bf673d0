//! Members, their states and their incarnations.

use bellcroft_balancer::Time;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A member's number: its index in the roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(pub u32);

/// A member's incarnation: orders updates about the member, by epoch first and then by counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Incarnation {
    /// Start of the member's process in Unix milliseconds by its own clock, or a later time that exceeds the epoch of a
    /// former process.
    pub epoch: u64,
    /// Counter within the epoch, raised by each refutation and by leaving.
    pub counter: u32,
}

/// Epochs from this one on are rejected: no real clock shows them (2^47 ms is the year 6429), and a member could not
/// choose a later one.
pub(crate) const MAX_EPOCH: u64 = 1 << 47;

/// The role of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Serves an application's requests.
    Agent,
    /// Takes part in membership only, and receives no digests.
    Observer,
}

/// The state of a member, as known to one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// The roster lists the member, and this instance has never seen it.
    Absent,
    /// The member acks probes, or was reported alive without evidence against it.
    Alive,
    /// The member was accused, and can still refute the accusation.
    Suspect,
    /// The suspicion timed out, and a probe by this instance failed.
    Dead,
    /// The member has reported that it leaves.
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

    /// Whether the member is alive or suspect: a suspect counts as reachable until it is declared dead.
    pub fn is_reachable(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// A member, as known to one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Number of the member.
    pub id: Id,
    /// Latest known incarnation.
    pub incarnation: Incarnation,
    /// Current state.
    pub state: State,
    /// Time of the last change of `state`.
    pub since: Time,
    /// Member whose observation led to the state; the member itself for its own reports.
    pub reported_by: Id,
    /// Address of the member.
    pub address: SocketAddr,
    /// Number of the member's site in the platform's settings.
    pub site: u8,
    /// Role of the member.
    pub role: Role,
    /// Time of the last ack of a ping by this instance, in the member's current epoch.
    pub last_ack: Option<Time>,
}
