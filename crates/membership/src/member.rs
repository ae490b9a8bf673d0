//! A member as the others know it.

use bellcroft_balancer::Time;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A member's number: its place in the roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(pub u32);

/// Which word on a member is the later one: first by its life, then by how often it has spoken up in that life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Incarnation {
    /// When its process started, in Unix milliseconds by its own clock, or later where a former life claims that.
    pub epoch: u64,
    /// How often it has refuted what was said of it.
    pub counter: u32,
}

/// Lives from here on are refused: no clock shows them, and nothing could go past them.
pub(crate) const MAX_EPOCH: u64 = 1 << 47;

/// What a member is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// It serves an application.
    Agent,
    /// It watches and takes no requests.
    Observer,
}

/// What is held of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// The roster names it, and nothing was heard of it yet.
    Absent,
    /// It answers, or somebody said so and nothing speaks against it.
    Alive,
    /// It is accused, and may still refute it.
    Suspect,
    /// It has not refuted in time, and has not answered here.
    Dead,
    /// It said that it leaves.
    Left,
}

impl State {
    /// One word for it.
    pub fn as_str(self) -> &'static str {
        match self {
            State::Absent => "absent",
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        }
    }

    /// It counts as there: an accused member is, until it is dead.
    pub fn is_reachable(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// A member, as it is held here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its number.
    pub id: Id,
    /// The latest that is known of it.
    pub incarnation: Incarnation,
    /// What is held of it.
    pub state: State,
    /// Since when.
    pub since: Time,
    /// By whose word; its own for what it said itself.
    pub reported_by: Id,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its site, as the platform's settings number them.
    pub site: u8,
    /// What it is for.
    pub role: Role,
    /// When it last answered a probe from here.
    pub last_ack: Option<Time>,
}
