//! Plays a timeline and judges what came of it.

use super::cluster::{Cluster, Shape};
use super::journal::Entry;
use super::timeline::Timeline;
use crate::server::Plan;
use crate::traffic::{fates, Load, Record, Traffic};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// Clients' connections to each instance.
const CLIENTS: usize = 2;
/// In the quiet tail all must agree within this.
pub const AGREE_WITHIN: Duration = Duration::from_secs(45);
/// The rig itself lags if its own clock's ticks come this late; what it saw then is not the programs' doing.
const LAG_MOST: Duration = Duration::from_millis(500);

/// What came of a play.
#[derive(Debug, Clone, Serialize)]
pub struct Verdict {
    /// Requests by what became of them.
    pub requests: BTreeMap<String, usize>,
    /// Breaches of the rules, by clients' and servers' own records.
    pub breaches: Vec<String>,
    /// Requests that no final answer came to though their instance ran and could be reached all the while.
    pub unanswered: Vec<String>,
    /// Seconds into the quiet tail until all held one true view; none if they never did.
    pub agreed_after: Option<f64>,
    /// Members that were called dead and had never been killed, stopped or cut, by who said so.
    pub mistaken: Vec<String>,
    /// The worst lag of the rig's own clock in milliseconds.
    pub lag_ms: f64,
}

impl Verdict {
    /// Nothing is wrong.
    pub fn good(&self) -> bool {
        self.breaches.is_empty() && self.unanswered.is_empty() && self.agreed_after.is_some()
    }

    /// The machine was too busy for the play to tell anything.
    pub fn starved(&self) -> bool {
        self.lag_ms > LAG_MOST.as_secs_f64() * 1e3
    }
}

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
            *n == record.instance
                && *away <= until
                && back.is_none_or(|back| back + Duration::from_millis(500) >= from)
        })
    }
}

/// Plays a timeline to its end; `live` hears of each second and of what happened in it.
pub async fn play(timeline: &Timeline, mut live: impl FnMut(f64, &[Entry], usize)) -> (Verdict, Vec<Entry>) {
    use bellcroft_model::What;
    let plan = Plan { seed: timeline.seed, ..Plan::default() };
    let shape = Shape {
        instances: timeline.instances,
        servers: timeline.servers,
        plan,
        seed: timeline.seed,
        ..Shape::default()
    };
    let mut cluster = Cluster::start(shape).await;
    let _ = cluster.agree(AGREE_WITHIN).await;
    let most = (timeline.rate * (timeline.seconds + 120.0)) as usize;
    let load = Load {
        agents: cluster.addresses(),
        clients: CLIENTS,
        rate: timeline.rate,
        seed: timeline.seed,
        most,
    };
    let traffic = Traffic::start(&load);
    let begin = Instant::now();
    let offset = cluster.journal.now();
    let mut away = Away::default();
    let (mut lag, mut told) = (Duration::ZERO, 0);
    let mut troubles = timeline.troubles.iter().peekable();
    let mut second = 0.0;
    while second < timeline.seconds {
        let next = troubles.peek().map_or(f64::INFINITY, |trouble| trouble.at);
        let at = (second + 1.0).min(next).min(timeline.seconds);
        let due = begin + Duration::from_secs_f64(at);
        if due > Instant::now() {
            sleep_until(due).await;
            lag = lag.max(due.elapsed());
        }
        if next <= at {
            if let Some(trouble) = troubles.next() {
                match &trouble.what {
                    What::Kill { instances }
                    | What::Term { instances }
                    | What::Restart { instances }
                    | What::Stop { instances, on: true } => {
                        instances.iter().for_each(|n| away.from(*n));
                    }
                    _ => {}
                }
                cluster.suffer(&trouble.what).await;
                match &trouble.what {
                    What::Restart { instances } | What::Stop { instances, on: false } => {
                        instances.iter().for_each(|n| away.back(*n));
                    }
                    _ => {}
                }
            }
        }
        if at >= second + 1.0 || at >= timeline.seconds {
            second = at;
            let entries = cluster.journal.entries();
            live(second, &entries[told.min(entries.len())..], traffic.count());
            told = entries.len();
        }
    }
    cluster.heal().await;
    (0..timeline.instances).for_each(|n| away.back(n));
    let agreed = cluster.agree(AGREE_WITHIN).await;
    let records = traffic.finish().await;
    let entries = cluster.journal.entries();
    let breaches = cluster.world.audit_but(&records, |record| away.during(record) && record.crossed);
    let unanswered = records.iter().filter(|record| !record.fate.is_answer() && !away.during(record));
    let troubled: Vec<usize> = timeline
        .troubles
        .iter()
        .flat_map(|trouble| match &trouble.what {
            What::Kill { instances }
            | What::Term { instances }
            | What::Restart { instances }
            | What::Stop { instances, .. } => instances.clone(),
            What::Link { .. } => (0..timeline.instances).collect(),
            _ => Vec::new(),
        })
        .collect();
    let mistaken = entries.iter().filter(|entry| {
        let dead = entry.what.split_once("member ").and_then(|(_, rest)| rest.split_once(" is dead"));
        dead.and_then(|(number, _)| number.parse().ok()).is_some_and(|n: usize| !troubled.contains(&n))
    });
    let verdict = Verdict {
        requests: fates(&records)
            .into_iter()
            .map(|(fate, n)| (format!("{fate:?}").to_lowercase(), n))
            .collect(),
        breaches,
        unanswered: unanswered.map(|r| format!("{} of i{}: {:?}", r.id, r.instance, r.fate)).collect(),
        agreed_after: agreed.map(|took| took.as_secs_f64()),
        mistaken: mistaken
            .map(|entry| format!("{:.1} s, {}: {}", entry.at - offset, entry.who, entry.what))
            .collect(),
        lag_ms: lag.as_secs_f64() * 1e3,
    };
    (verdict, entries)
}
