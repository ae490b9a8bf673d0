//! The membership part of `status.json` and of the control socket's replies. The serialized names are an external
//! interface and must not change; the fields are named after the protocol's terms.

use bellcroft_balancer::{FleetState, Time};
use bellcroft_membership::{Member, Membership, QuorumState, Role};
use serde::{Deserialize, Serialize};

/// An instance's quorum state and its view of the other members.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MembershipStatus {
    /// The name of the cluster.
    pub cluster: String,
    /// This instance's member number.
    pub number: u32,
    /// The address to which this instance's socket is bound.
    pub listen: String,
    /// The quorum state: `waking`, `alone`, `minority`, `majority`, `degraded` or `whole`.
    #[serde(rename = "stance")]
    pub quorum_state: String,
    /// The reason for the quorum state, as text with the counts.
    pub reason: String,
    /// The number of reachable members, including this one.
    #[serde(rename = "here")]
    pub reachable: u32,
    /// The relative standard error of `reachable`; none if the view contains all members.
    pub size_error: Option<f64>,
    /// The expected number of instances.
    #[serde(rename = "roster")]
    pub expected_size: u32,
    /// The effective size: the number of instances among which the limits of the fleet are divided.
    #[serde(rename = "reckoned")]
    pub effective_size: u32,
    /// The local health score: 0 (healthy) to 3.
    #[serde(rename = "doubt")]
    pub local_health: u32,
    /// The fleet digest over all servers, as known to this instance.
    pub fleet: DigestStatus,
    /// The fleet digest by site.
    pub sites: Vec<SiteStatus>,
    /// The other members in the view.
    pub members: Vec<MemberStatus>,
}

/// Averages over servers, decaying by 1/e in 250 ms.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DigestStatus {
    /// The effective number of responses, up to 32.
    #[serde(rename = "answers")]
    pub responses: f64,
    /// The latency of responses as a fraction of the latency objective.
    #[serde(rename = "took")]
    pub latency: f64,
    /// The latency that the servers' load predicts, as a fraction of the latency objective.
    #[serde(rename = "full")]
    pub load: f64,
    /// The fraction of requests that instances shed.
    #[serde(rename = "refused")]
    pub shed_ratio: f64,
}

impl DigestStatus {
    /// The status of a fleet state, rounded to three decimals.
    pub fn new(state: FleetState) -> Self {
        let round = |value: f64| (value * 1e3).round() / 1e3;
        DigestStatus {
            responses: round(state.weight),
            latency: round(state.latency),
            load: round(state.load),
            shed_ratio: round(state.shed),
        }
    }
}

/// The averages of one site.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SiteStatus {
    /// The number of the site in the platform's settings. Responses count for the server's site, shed requests for the
    /// instance's site.
    pub site: u8,
    /// The averages.
    #[serde(flatten)]
    pub digest: DigestStatus,
}

/// A member as known to this instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member number.
    pub number: u32,
    /// `absent`, `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// Milliseconds since the state began.
    pub since_ms: u64,
    /// The member whose observation led to the state.
    #[serde(rename = "by")]
    pub reported_by: u32,
    /// The member's address.
    pub address: String,
    /// The member's site.
    pub site: u8,
    /// The member's role: `agent` or `observer`.
    #[serde(rename = "duty")]
    pub role: String,
    /// The epoch of the member's incarnation: its start by its own clock, in Unix milliseconds.
    #[serde(rename = "life")]
    pub epoch: u64,
    /// The counter of the member's incarnation.
    #[serde(rename = "round")]
    pub counter: u32,
    /// Milliseconds since the member last acknowledged a probe of this instance.
    #[serde(rename = "answered_ms")]
    pub ms_since_ack: Option<u64>,
}

impl MembershipStatus {
    /// The status of a membership whose socket is bound to `listen`.
    pub(super) fn new(membership: &Membership, now: Time, listen: String) -> Self {
        let config = membership.config();
        let (size, size_error) = membership.size();
        let (reachable, expected_size) = (size.round() as u32, membership.expected_size());
        let quorum_state = membership.quorum_state();
        MembershipStatus {
            cluster: config.cluster.clone(),
            number: config.number.0,
            listen,
            quorum_state: quorum_state.as_str().to_owned(),
            reason: quorum_reason(quorum_state, reachable, expected_size),
            reachable,
            size_error,
            expected_size,
            effective_size: membership.effective_size(now),
            local_health: membership.local_health(),
            fleet: DigestStatus::new(membership.fleet(now)),
            sites: membership
                .sites()
                .map(|(site, state)| SiteStatus { site, digest: DigestStatus::new(state) })
                .collect(),
            members: membership.members().map(|member| MemberStatus::new(member, now)).collect(),
        }
    }
}

impl MemberStatus {
    fn new(member: &Member, now: Time) -> Self {
        let ms_since = |at: Time| now.since(at).0 / 1000;
        MemberStatus {
            number: member.id.0,
            state: member.state.as_str().to_owned(),
            since_ms: ms_since(member.since),
            reported_by: member.reported_by.0,
            address: member.address.to_string(),
            site: member.site,
            role: role_name(member.role).to_owned(),
            epoch: member.incarnation.epoch,
            counter: member.incarnation.counter,
            ms_since_ack: member.last_ack.map(ms_since),
        }
    }
}

/// The external name of a role.
fn role_name(role: Role) -> &'static str {
    match role {
        Role::Agent => "agent",
        Role::Observer => "observer",
    }
}

/// The reason for a quorum state, for the log and for `status.json`. The texts are stored in `status.json`, so they must
/// not change.
pub(super) fn quorum_reason(state: QuorumState, reachable: u32, expected: u32) -> String {
    let counts = format!("{reachable} of {expected} are here");
    match state {
        QuorumState::Recovering => format!("just started, or stood still; {counts} by what it holds"),
        QuorumState::Isolated if expected <= 1 => "there is to be one".to_owned(),
        QuorumState::Isolated => format!("nobody else is heard, of {expected}"),
        QuorumState::Minority => format!("{counts}, half or less"),
        QuorumState::Majority => format!("{counts}, more than half, and a quarter or more is missing"),
        QuorumState::Degraded | QuorumState::Complete => counts,
    }
}
