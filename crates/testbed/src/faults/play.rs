//! Plays a timeline and judges what came of it.

use super::cluster::Shape;
use super::journal::Entry;
use super::stage::Stage;
use super::timeline::Timeline;
use crate::server::Plan;
use crate::traffic::fates;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// In the quiet tail all must agree within this.
pub const AGREE_WITHIN: Duration = Duration::from_secs(45);
/// The testbed itself lags if its own clock's ticks come this late; what it saw then is not the programs' doing.
const LAG_MOST: Duration = Duration::from_millis(500);

/// What came of a play.
#[derive(Debug, Clone, Serialize)]
pub struct Verdict {
    /// Requests by what became of them.
    pub requests: BTreeMap<String, usize>,
    /// Breaches of the rules, by clients' and servers' own records.
    pub breaches: Vec<String>,
    /// Requests that no final answer came to in time though their instance ran all the while.
    pub unanswered: Vec<String>,
    /// Seconds into the quiet tail until all held one true view; none if they never did.
    pub agreed_after: Option<f64>,
    /// Members that were called dead and had never been killed, stopped or cut, by who said so.
    pub mistaken: Vec<String>,
    /// The worst lag of the testbed's own clock in milliseconds.
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

/// Plays a timeline to its end; `live` hears of each second and of what happened in it.
pub async fn play(timeline: &Timeline, mut live: impl FnMut(f64, &[Entry], usize)) -> (Verdict, Vec<Entry>) {
    use bellcroft_simulation::What;
    let plan = Plan { seed: timeline.seed, ..Plan::default() };
    let shape = Shape {
        instances: timeline.instances,
        servers: timeline.servers,
        plan,
        seed: timeline.seed,
        ..Shape::default()
    };
    let most = (timeline.rate * (timeline.seconds + 120.0)) as usize;
    let mut stage = Stage::start(shape, timeline.rate, most, AGREE_WITHIN).await;
    let begin = Instant::now();
    let offset = stage.cluster.journal.now();
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
                stage.suffer(&trouble.what).await;
            }
        }
        if at >= second + 1.0 || at >= timeline.seconds {
            second = at;
            let entries = stage.cluster.journal.entries();
            live(second, &entries[told.min(entries.len())..], stage.traffic.count());
            told = entries.len();
        }
    }
    stage.heal().await;
    let agreed = stage.cluster.agree(AGREE_WITHIN).await;
    let (cluster, findings) = stage.finish().await;
    let entries = cluster.journal.entries();
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
        let dead = entry.what.split_once("member=").and_then(|(_, rest)| rest.split_once(" to=\"dead\""));
        dead.and_then(|(number, _)| number.parse().ok()).is_some_and(|n: usize| !troubled.contains(&n))
    });
    let verdict = Verdict {
        requests: fates(&findings.records)
            .into_iter()
            .map(|(fate, n)| (format!("{fate:?}").to_lowercase(), n))
            .collect(),
        breaches: findings.breaches,
        unanswered: findings.unanswered,
        agreed_after: agreed.map(|took| took.as_secs_f64()),
        mistaken: mistaken
            .map(|entry| format!("{:.1} s, {}: {}", entry.at - offset, entry.who, entry.what))
            .collect(),
        lag_ms: lag.as_secs_f64() * 1e3,
    };
    (verdict, entries)
}
