//! What an instance's membership goes by.

use crate::member::{Duty, Id};
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
    pub duty: Duty,
    /// From one probe to the next.
    pub probe_every: Micros,
    /// A probe has failed that was not answered for so many periods.
    pub patience: f64,
    /// A suspicion lasts at least this many periods for each power of ten of the fleet's size ...
    pub suspicion_least: f64,
    /// ... and at most this many times as long, where nobody else shares it.
    pub suspicion_most: f64,
    /// Members that are held at most; where there are more, they are a sample.
    pub view_most: usize,
    /// Numbers of the fleet's size are believed for this long after they were last seen.
    pub believe_for: Micros,
    /// Members that are not in the roster are forgotten this long after their end.
    pub forget_after: Micros,
    /// Local health awareness; only comparisons switch it off.
    pub self_doubt: bool,
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
            duty: Duty::Agent,
            probe_every: Micros::from_ms(500.0),
            patience: 3.0,
            suspicion_least: 3.0,
            suspicion_most: 3.0,
            view_most: 256,
            believe_for: Micros::from_ms(60_000.0),
            forget_after: Micros::from_ms(600_000.0),
            self_doubt: true,
        }
    }

    /// Without an event for this long, the process itself has stood still.
    pub fn stall(&self) -> Micros {
        (self.probe_every * 2.0).max(Micros::from_ms(1000.0))
    }

    /// Whoever has just started, or woken, speaks of nobody for this long.
    pub fn settle(&self) -> Micros {
        self.probe_every * 6.0
    }

    /// How many instances there are to be.
    pub fn expected(&self) -> u32 {
        self.instances.max(self.roster.len() as u32).max(1)
    }

    /// An upper bound of the time after which a member that is killed is dead to all others of a fleet of this size, with
    /// healthy links: it is probed within two periods, the probe fails, the suspicion runs out, and the word is passed
    /// on, which takes a period a doubling.
    pub fn detects_within(&self, members: u32) -> Micros {
        let size = f64::from(members.max(2));
        let suspicion = self.suspicion_least * size.log10().max(1.0) * self.suspicion_most;
        self.probe_every * (2.0 + self.patience + suspicion + size.log2().ceil() + self.patience)
    }
}
