//! The configuration of an instance's membership.

use crate::member::{Id, Role};
use bellcroft_balancer::Micros;
use std::net::SocketAddr;
use std::sync::Arc;

/// The configuration of an instance's membership. Durations, factors and limits must be equal at all members: the bounds on
/// the operators' page rest on them.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// The cluster's name; datagrams of other clusters are rejected.
    pub cluster: String,
    /// This instance's own number.
    pub number: Id,
    /// The addresses of all members by number; empty where only seeds are configured.
    pub roster: Arc<[SocketAddr]>,
    /// Addresses to contact first, without a roster.
    pub seeds: Vec<SocketAddr>,
    /// Expected number of instances; the roster's length is its lower bound.
    pub instances: u32,
    /// This instance's site.
    pub site: u8,
    /// This instance's role.
    pub role: Role,
    /// The protocol period: time from one probe to the next.
    pub probe_interval: Micros,
    /// Timeout of a probe, in protocol periods.
    pub probe_timeout_periods: f64,
    /// Minimum timeout of a suspicion, in protocol periods for each power of ten of the fleet's size ...
    pub min_suspicion_periods: f64,
    /// ... and its maximum, for an unconfirmed suspicion, as a multiple of the minimum.
    pub max_suspicion_factor: f64,
    /// Capacity of the view; in a larger fleet the view is a sample.
    pub max_members: usize,
    /// How long an observed fleet size counts after the last time it was observed.
    pub size_retention: Micros,
    /// How long an unreachable member outside of the roster is kept.
    pub member_retention: Micros,
    /// Lifeguard's local health awareness; only comparisons switch it off.
    pub local_health_awareness: bool,
}

impl Config {
    /// The defaults, for a member of a cluster.
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

    /// A gap of this length between two events means a stall of the process.
    pub fn stall_threshold(&self) -> Micros {
        (self.probe_interval * 2.0).max(Micros::from_ms(1000.0))
    }

    /// How long an instance suspects no member after a start or a stall.
    pub fn recovery_time(&self) -> Micros {
        self.probe_interval * 6.0
    }

    /// Expected number of instances.
    pub fn expected(&self) -> u32 {
        self.instances.max(self.roster.len() as u32).max(1)
    }

    /// An upper bound of the time from a member's crash until all others in a fleet of this size hold it for dead, on healthy
    /// links: two periods until it is probed, the probe's timeout, the longest suspicion, gossip to all (one period for each
    /// doubling), and a failed probe of each receiver.
    pub fn detection_bound(&self, members: u32) -> Micros {
        let size = f64::from(members.max(2));
        let suspicion = self.min_suspicion_periods * size.log10().max(1.0) * self.max_suspicion_factor;
        self.probe_interval
            * (2.0 + self.probe_timeout_periods + suspicion + size.log2().ceil() + self.probe_timeout_periods)
    }
}
