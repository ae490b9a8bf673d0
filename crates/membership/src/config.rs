//! The configuration of an instance's membership.

use crate::member::{Id, Role};
use bellcroft_balancer::Micros;
use std::net::SocketAddr;
use std::sync::Arc;

/// The configuration of an instance's membership. Durations, factors and limits must be equal at all members:
/// [`Config::detection_bound`] assumes so.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Name of the cluster; datagrams of other clusters are rejected.
    pub cluster: String,
    /// Member number of this instance.
    pub number: Id,
    /// Addresses of all members by number; empty if only seeds are configured.
    pub roster: Arc<[SocketAddr]>,
    /// Addresses that an instance without a roster contacts to join.
    pub seeds: Vec<SocketAddr>,
    /// Expected number of instances; at least the roster's length.
    pub instances: u32,
    /// Site of this instance.
    pub site: u8,
    /// Role of this instance.
    pub role: Role,
    /// Protocol period: the time from one probe to the next.
    pub probe_interval: Micros,
    /// Timeout of a probe, in protocol periods.
    pub probe_timeout_periods: f64,
    /// Minimum timeout of a suspicion, in protocol periods for each power of ten of the fleet's size.
    pub min_suspicion_periods: f64,
    /// Maximum timeout of a suspicion, for an unconfirmed one, as a multiple of the minimum.
    pub max_suspicion_factor: f64,
    /// Capacity of the view; in a larger fleet the view is a sample.
    pub max_members: usize,
    /// Time for which an observed fleet size counts after its last observation.
    pub size_retention: Micros,
    /// Time after which an unreachable member that the roster does not list is removed from the view.
    pub member_retention: Micros,
    /// Whether Lifeguard's local health awareness is on; off only in experiments that compare protocols.
    pub local_health_awareness: bool,
}

impl Config {
    /// The default configuration of a member.
    pub fn new(cluster: &str, number: u32, roster: impl Into<Arc<[SocketAddr]>>) -> Self {
        let roster = roster.into();
        Config {
            cluster: cluster.to_owned(),
            number: Id(number),
            instances: roster.len() as u32,
            roster,
            seeds: Vec::new(),
            site: 0,
            role: Role::Agent,
            probe_interval: Micros::from_ms(500.0),
            probe_timeout_periods: 3.0,
            min_suspicion_periods: 3.0,
            max_suspicion_factor: 3.0,
            max_members: 256,
            size_retention: Micros::from_ms(60_000.0),
            member_retention: Micros::from_ms(600_000.0),
            local_health_awareness: true,
        }
    }

    /// The shortest gap between two events that counts as a stall of the process.
    pub fn stall_threshold(&self) -> Micros {
        (self.probe_interval * 2.0).max(Micros::from_ms(1000.0))
    }

    /// The time after a start or a stall in which an instance suspects no member.
    pub fn recovery_time(&self) -> Micros {
        self.probe_interval * 6.0
    }

    /// Expected number of instances.
    pub fn expected(&self) -> u32 {
        self.instances.max(self.roster.len() as u32).max(1)
    }

    /// An upper bound of the time from a member's crash until all others in a fleet of this size have declared it dead,
    /// on healthy links: two periods until it is probed, the probe's timeout, the longest suspicion, gossip to all
    /// members (one period for each doubling), and a failed probe by each receiver.
    pub fn detection_bound(&self, members: u32) -> Micros {
        let size = f64::from(members.max(2));
        let suspicion = self.min_suspicion_periods * size.log10().max(1.0) * self.max_suspicion_factor;
        self.probe_interval
            * (2.0 + self.probe_timeout_periods + suspicion + size.log2().ceil() + self.probe_timeout_periods)
    }
}
