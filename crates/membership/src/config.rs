//! What an instance's membership goes by.

use crate::member::{Id, Role};
use bellcroft_balancer::Micros;
use std::net::SocketAddr;
use std::sync::Arc;

/// What an instance's membership goes by. Its figures are the same at every member, so that the bounds on the page for
/// operators hold for all.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// The cluster's name; datagrams of others are refused.
    pub cluster: String,
    /// Its own number.
    pub number: Id,
    /// The addresses of all members by their numbers, as far as they are known beforehand.
    pub roster: Arc<[SocketAddr]>,
    /// Members that are asked first, where the roster is not known.
    pub seeds: Vec<SocketAddr>,
    /// How many instances there are to be; at least as many as the roster names.
    pub instances: u32,
    /// Its site.
    pub site: u8,
    /// What it is for.
    pub role: Role,
    /// From one probe to the next.
    pub probe_interval: Micros,
    /// A probe has failed that was not answered for so many periods.
    pub probe_timeout_periods: f64,
    /// A suspicion lasts at least this many periods for each power of ten of the fleet's size ...
    pub min_suspicion_periods: f64,
    /// ... and at most this many times as long, where nobody else shares it.
    pub max_suspicion_factor: f64,
    /// Members that are held at most; where there are more, they are a sample.
    pub max_members: usize,
    /// Numbers of the fleet's size are believed for this long after they were last seen.
    pub size_retention: Micros,
    /// Members that are not in the roster are forgotten this long after their end.
    pub member_retention: Micros,
    /// Local health awareness; only comparisons switch it off.
    pub local_health_awareness: bool,
}

impl Config {
    /// The standard figures, for a member of a cluster.
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

    /// Without an event for this long, the process itself has stood still.
    pub fn stall_threshold(&self) -> Micros {
        (self.probe_interval * 2.0).max(Micros::from_ms(1000.0))
    }

    /// Whoever has just started, or woken, speaks of nobody for this long.
    pub fn recovery_time(&self) -> Micros {
        self.probe_interval * 6.0
    }

    /// How many instances there are to be.
    pub fn expected(&self) -> u32 {
        self.instances.max(self.roster.len() as u32).max(1)
    }

    /// An upper bound of the time after which a member that is killed is dead to all others of a fleet of this size, with
    /// healthy links: it is probed within two periods, the probe fails, the suspicion runs out, and the word is passed
    /// on, which takes a period a doubling.
    pub fn detection_bound(&self, members: u32) -> Micros {
        let size = f64::from(members.max(2));
        let suspicion = self.min_suspicion_periods * size.log10().max(1.0) * self.max_suspicion_factor;
        self.probe_interval
            * (2.0 + self.probe_timeout_periods + suspicion + size.log2().ceil() + self.probe_timeout_periods)
    }
}
