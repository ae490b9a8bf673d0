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
    /// What all instances together see of the servers, as far as it is known here.
    pub fleet: SeenStatus,
    /// The same by the servers' sites.
    pub sites: Vec<SiteStatus>,
    /// The others, as far as they are held.
    pub members: Vec<MemberStatus>,
}

/// What instances see of servers, over the last quarter of a second or so.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SeenStatus {
    /// Answers that it rests on, by how much they still count, up to 32.
    pub answers: f64,
    /// What an answer takes, as a share of its wanted time.
    pub took: f64,
    /// What the servers' load speaks for, likewise.
    pub full: f64,
    /// The share of requests that instances refuse.
    pub refused: f64,
}

impl SeenStatus {
    /// Rounded to what means something.
    pub fn of(state: bellcroft_balancer::FleetState) -> Self {
        let round = |value: f64| (value * 1e3).round() / 1e3;
        SeenStatus {
            answers: round(state.weight),
            took: round(state.latency),
            full: round(state.load),
            refused: round(state.shed),
        }
    }
}

/// What is seen of a site.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SiteStatus {
    /// Its number in the platform's settings. Answers count for the site of their server, refusals for that of the instance.
    pub site: u8,
    /// What is seen.
    #[serde(flatten)]
    pub seen: SeenStatus,
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
