//! A cluster under steady traffic, and what is wrong with what came of it.

use super::cluster::{Cluster, Shape};
use crate::traffic::{Load, Record, Traffic, CLASSES};
use bellcroft_simulation::What;
use std::time::Duration;
use tokio::time::Instant;

/// Clients' connections to each instance.
const CLIENTS: usize = 2;
/// What an instance's clients sent in the last moment before it was back may have gone with it.
const SLACK: Duration = Duration::from_secs(1);

/// When an instance could not answer by no fault of its own: it was gone, or stood still.
#[derive(Debug, Clone, Default)]
struct Away(Vec<(usize, Instant, Option<Instant>)>);

impl Away {
    fn from(&mut self, instance: usize) {
        if !self.0.iter().any(|(n, _, until)| *n == instance && until.is_none()) {
            self.0.push((instance, Instant::now(), None));
        }
    }

    fn back(&mut self, instance: usize) {
        for (n, _, until) in &mut self.0 {
            if *n == instance && until.is_none() {
                *until = Some(Instant::now());
            }
        }
    }

    /// Whether the instance was away at some time between a request's send and its outcome, or just before.
    fn during(&self, record: &Record) -> bool {
        let (from, until) = (record.sent, record.sent + record.took);
        self.0.iter().any(|(n, away, back)| {
            *n == record.instance && *away <= until && back.is_none_or(|back| back + SLACK >= from)
        })
    }
}

/// An answer that leaves at the deadline comes a little after it, and later where the machine is busy.
const LATE: Duration = Duration::from_secs(1);

/// A cluster under steady traffic.
pub struct Stage {
    /// The cluster. Kills, stops and starts go by [`Stage::suffer`], which remembers who was away.
    pub cluster: Cluster,
    /// The traffic.
    pub traffic: Traffic,
    away: Away,
}

/// What came of it.
pub struct Findings {
    /// All requests.
    pub records: Vec<Record>,
    /// Breaches of the rules, by clients' and servers' own records.
    pub breaches: Vec<String>,
    /// Requests that no final answer came to, or came to late, though their instance ran all the while.
    pub unanswered: Vec<String>,
}

impl Stage {
    /// Starts a cluster, waits until its programs have found each other, for so long at most, and sends so many requests a
    /// second to each.
    pub async fn start(shape: Shape, rate: f64, most: usize, settle: Duration) -> Self {
        let (seed, membership) = (shape.seed, shape.membership);
        let cluster = Cluster::start(shape).await;
        if membership {
            let _ = cluster.agree(settle).await;
        }
        let load = Load { agents: cluster.addresses(), clients: CLIENTS, rate, seed, most };
        Stage { cluster, traffic: Traffic::start(&load), away: Away::default() }
    }

    /// Does what a timeline says.
    pub async fn suffer(&mut self, what: &What) {
        match what {
            What::Kill { instances }
            | What::Term { instances }
            | What::Restart { instances }
            | What::Stop { instances, on: true } => instances.iter().for_each(|n| self.away.from(*n)),
            _ => {}
        }
        self.cluster.suffer(what).await;
        match what {
            What::Restart { instances } | What::Stop { instances, on: false } => {
                instances.iter().for_each(|n| self.away.back(*n));
            }
            _ => {}
        }
    }

    /// Puts right what is wrong with links and processes.
    pub async fn heal(&mut self) {
        self.cluster.heal().await;
        (0..self.cluster.instances()).for_each(|n| self.away.back(n));
    }

    /// Ends the traffic and judges it.
    pub async fn finish(self) -> (Cluster, Findings) {
        let Stage { cluster, traffic, away } = self;
        let records = traffic.finish().await;
        let breaches = cluster.world.audit_but(&records, |record| away.during(record) && record.crossed);
        let late = |r: &Record| r.took > CLASSES[r.class].deadline + LATE;
        let wanting = |r: &&Record| (!r.fate.is_answer() || late(r)) && !away.during(r);
        let say = |r: &Record| format!("{} of i{}: {:?} after {:?}", r.id, r.instance, r.fate, r.took);
        let unanswered = records.iter().filter(wanting).map(say).collect();
        (cluster, Findings { records, breaches, unanswered })
    }
}
