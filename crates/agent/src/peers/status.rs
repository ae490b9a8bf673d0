//! The membership part of `status.json` and of the control socket's replies. Field names are external: they do not change.

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
    pub stance: String,
    /// The counts behind the quorum state, as text.
    pub reason: String,
    /// Reachable members, this one included.
    pub here: u32,
    /// The relative standard error of `here`; none where the view holds all members.
    pub size_error: Option<f64>,
    /// Expected number of instances.
    pub roster: u32,
    /// The effective size: the number of instances that share limits of the whole fleet.
    pub reckoned: u32,
    /// The local health score: 0 (healthy) to 3.
    pub doubt: u32,
    /// The digest of all servers, as known here.
    pub fleet: SeenStatus,
    /// The same by site.
    pub sites: Vec<SiteStatus>,
    /// The other members that the view holds.
    pub members: Vec<MemberStatus>,
}

/// Averages over servers, decaying by 1/e in 250 ms.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SeenStatus {
    /// The effective number of responses, up to 32.
    pub answers: f64,
    /// Latency of responses, as a share of the latency target.
    pub took: f64,
    /// Latency that the servers' load predicts, likewise.
    pub full: f64,
    /// The share of requests that instances reject.
    pub refused: f64,
}

impl SeenStatus {
    /// Rounded to three decimals.
    pub fn of(state: FleetState) -> Self {
        let round = |value: f64| (value * 1e3).round() / 1e3;
        SeenStatus {
            answers: round(state.weight),
            took: round(state.latency),
            full: round(state.load),
            refused: round(state.shed),
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
    pub seen: SeenStatus,
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
    pub by: u32,
    /// Its address.
    pub address: String,
    /// Its site.
    pub site: u8,
    /// Its role: `agent` or `observer`.
    pub duty: String,
    /// The epoch of its incarnation: its start by its own clock, in Unix milliseconds ...
    pub life: u64,
    /// ... and the counter.
    pub round: u32,
    /// Milliseconds since it last acked a probe of this instance.
    pub answered_ms: Option<u64>,
}

impl MembershipStatus {
    /// The status of a membership whose socket is bound to `listen`.
    pub(super) fn new(membership: &Membership, now: Time, listen: String) -> Self {
        let config = membership.config();
        let (size, size_error) = membership.size();
        let (here, roster) = (size.round() as u32, membership.roster());
        let quorum_state = membership.quorum_state();
        MembershipStatus {
            cluster: config.cluster.clone(),
            number: config.number.0,
            listen,
            stance: quorum_state.as_str().to_owned(),
            reason: quorum_reason(quorum_state, here, roster),
            here,
            size_error,
            roster,
            reckoned: membership.effective_size(now),
            doubt: membership.local_health(),
            fleet: SeenStatus::of(membership.fleet(now)),
            sites: membership
                .sites()
                .map(|(site, state)| SiteStatus { site, seen: SeenStatus::of(state) })
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
            by: member.reported_by.0,
            address: member.address.to_string(),
            site: member.site,
            duty: role_name(member.role).to_owned(),
            life: member.incarnation.epoch,
            round: member.incarnation.counter,
            answered_ms: member.last_ack.map(ms_since),
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
pub(super) fn quorum_reason(state: QuorumState, here: u32, roster: u32) -> String {
    let counts = format!("{here} of {roster} are here");
    match state {
        QuorumState::Recovering => format!("just started, or stood still; {counts} by what it holds"),
        QuorumState::Isolated if roster <= 1 => "there is to be one".to_owned(),
        QuorumState::Isolated => format!("nobody else is heard, of {roster}"),
        QuorumState::Minority => format!("{counts}, half or less"),
        QuorumState::Majority => format!("{counts}, more than half, and a quarter or more is missing"),
        QuorumState::Degraded | QuorumState::Complete => counts,
    }
}
