//! The membership part of `status.json` and of the control socket's replies. The serialized names are external:
//! they stay, and the fields have the names of the protocol.

use bellcroft_balancer::{FleetState, Time};
use bellcroft_membership::{Member, Membership, QuorumState, Role};
use serde::{Deserialize, Serialize};

/// An instance's quorum state and its view of the other members.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MembershipStatus {
    /// The cluster.
    pub cluster: String,
    /// This instance's number.
    pub number: u32,
    /// The address that its socket is bound to.
    pub listen: String,
    /// Its quorum state: `waking`, `alone`, `minority`, `majority`, `degraded` or `whole`.
    #[serde(rename = "stance")]
    pub quorum_state: String,
    /// The counts behind the quorum state, as text.
    pub reason: String,
    /// Reachable members, this one included.
    #[serde(rename = "here")]
    pub reachable: u32,
    /// The relative standard error of `reachable`; none where the view holds all members.
    pub size_error: Option<f64>,
    /// Expected number of instances.
    #[serde(rename = "roster")]
    pub expected_size: u32,
    /// The effective size: the number of instances that share limits of the whole fleet.
    #[serde(rename = "reckoned")]
    pub effective_size: u32,
    /// The local health score: 0 (healthy) to 3.
    #[serde(rename = "doubt")]
    pub local_health: u32,
    /// The digest of all servers, as known here.
    pub fleet: DigestStatus,
    /// The same by site.
    pub sites: Vec<SiteStatus>,
    /// The other members that the view holds.
    pub members: Vec<MemberStatus>,
}

/// Averages over servers, decaying by 1/e in 250 ms.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DigestStatus {
    /// The effective number of responses, up to 32.
    #[serde(rename = "answers")]
    pub responses: f64,
    /// Latency of responses, as a share of the latency target.
    #[serde(rename = "took")]
    pub latency: f64,
    /// Latency that the servers' load predicts, likewise.
    #[serde(rename = "full")]
    pub load: f64,
    /// The share of requests that instances reject.
    #[serde(rename = "refused")]
    pub shed_ratio: f64,
}

impl DigestStatus {
    /// Rounded to three decimals.
    pub fn of(state: FleetState) -> Self {
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
    /// Its number in the platform's settings. Responses count for their server's site, rejections for the instance's.
    pub site: u8,
    /// The averages.
    #[serde(flatten)]
    pub digest: DigestStatus,
}

/// A member, as this instance holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its number.
    pub number: u32,
    /// `absent`, `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// Milliseconds since the state began.
    pub since_ms: u64,
    /// The member whose observation led to the state.
    #[serde(rename = "by")]
    pub reported_by: u32,
    /// Its address.
    pub address: String,
    /// Its site.
    pub site: u8,
    /// Its role: `agent` or `observer`.
    #[serde(rename = "duty")]
    pub role: String,
    /// The epoch of its incarnation: its start by its own clock, in Unix milliseconds ...
    #[serde(rename = "life")]
    pub epoch: u64,
    /// ... and the counter.
    #[serde(rename = "round")]
    pub counter: u32,
    /// Milliseconds since it last acked a probe of this instance.
    #[serde(rename = "answered_ms")]
    pub ms_since_ack: Option<u64>,
}

impl MembershipStatus {
    /// The status of a membership whose socket is bound to `listen`.
    pub(super) fn new(membership: &Membership, now: Time, listen: String) -> Self {
        let config = membership.config();
        let (size, size_error) = membership.size();
        let (reachable, expected_size) = (size.round() as u32, membership.roster());
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
            fleet: DigestStatus::of(membership.fleet(now)),
            sites: membership
                .sites()
                .map(|(site, state)| SiteStatus { site, digest: DigestStatus::of(state) })
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

/// A role's external name.
fn role_name(role: Role) -> &'static str {
    match role {
        Role::Agent => "agent",
        Role::Observer => "observer",
    }
}

/// Why an instance has its quorum state, for `status.json` and the log.
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
