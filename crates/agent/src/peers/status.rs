//! What an instance tells of the others.

use serde::{Deserialize, Serialize};

/// What an instance holds of the others, and of itself among them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MembershipStatus {
    /// The cluster.
    pub cluster: String,
    /// This instance's number.
    pub number: u32,
    /// Where it hears the others.
    pub listen: String,
    /// What it holds of itself: `waking`, `alone`, `minority`, `majority`, `degraded` or `whole`.
    pub stance: String,
    /// Why.
    pub reason: String,
    /// Members here, this one among them.
    pub here: u32,
    /// The relative standard error of that; none where all are held.
    pub size_error: Option<f64>,
    /// How many there are to be.
    pub roster: u32,
    /// By how many it reckons what is counted for the whole fleet.
    pub reckoned: u32,
    /// How much it doubts its own hearing, 0 to 3.
    pub doubt: u32,
    /// The others, as far as they are held.
    pub members: Vec<MemberStatus>,
}

/// What is held of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its number.
    pub number: u32,
    /// `absent`, `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// For how many milliseconds.
    pub since_ms: u64,
    /// By whose word.
    pub by: u32,
    /// Where it is reached.
    pub address: String,
    /// Its site.
    pub site: u8,
    /// What it is for.
    pub duty: String,
    /// When it started, by its own clock (Unix milliseconds) ...
    pub life: u64,
    /// ... and how often it has refuted since.
    pub round: u32,
    /// Milliseconds since it last answered a probe from here.
    pub answered_ms: Option<u64>,
}
