//! A randomized soak: many real processes, faults that overlap in time, and the rules as its oracle.
//!
//! Everything is drawn from one seed: the timeline (`timeline`), the failing system calls of each process, what each client
//! does (`clients`). The verdict (`oracle`) comes from the clients' and the servers' own records; the processes' logs add
//! what their guards have counted.

mod clients;
mod cluster;
mod crowd;
mod oracle;
mod records;
mod responses;
mod slot;
mod timeline;

use crate::traffic::Class;
use cluster::SoakCluster;
use records::SoakRecord;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How large a soak is.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct SoakPlan {
    /// All draws come from it.
    pub seed: u64,
    /// Processes of the program.
    pub instances: usize,
    /// Stand-in servers.
    pub servers: usize,
    /// Seconds of faults; a quiet tail follows.
    pub seconds: f64,
    /// Clients of each process. Each has one request out at a time.
    pub clients: usize,
    /// Whether system calls of the processes fail.
    pub failing_calls: bool,
}

/// The deadlines of the traffic's classes are multiplied by one of these: past the longest that the platform waits for at a
/// planned restart, and so short that accepting takes up much of them.
const DEADLINE_FACTORS: [f64; 3] = [1.0, 1.8, 0.25];

impl SoakPlan {
    /// The deadline of a class.
    fn deadline(&self, class: &Class) -> Duration {
        class.deadline.mul_f64(DEADLINE_FACTORS[self.seed as usize % DEADLINE_FACTORS.len()])
    }
}

/// What came of a soak.
#[derive(Debug, Clone, Serialize)]
pub struct SoakReport {
    /// The plan.
    pub plan: SoakPlan,
    /// Faults by kind.
    pub faults: BTreeMap<String, usize>,
    /// Failed system calls.
    pub failed_calls: usize,
    /// Requests by what became of them.
    pub requests: BTreeMap<String, usize>,
    /// Requests sent in each tenth of a second after their process's SIGTERM.
    pub begun_after_sigterm: Vec<usize>,
    /// What broke a rule, each with its request's last log lines.
    pub violations: Vec<String>,
    /// The worst lag of the soak's own clock in milliseconds.
    pub lag_ms: f64,
    /// The log of each slot's processes.
    #[serde(skip)]
    pub logs: Vec<Vec<String>>,
}

/// With a lag of more than this the soak saw its own machine and not the program.
const MAX_LAG: Duration = Duration::from_millis(300);
/// The lag is measured this often.
const LAG_INTERVAL: Duration = Duration::from_millis(20);
/// Lines of a request's log that a violation shows.
const MAX_LOG_LINES: usize = 10;
/// After the last fault.
const QUIET_TAIL: Duration = Duration::from_secs(2);

impl SoakReport {
    /// No rule was broken.
    pub fn passed(&self) -> bool {
        self.violations.is_empty()
    }

    /// The machine was too busy for a verdict.
    pub fn starved(&self) -> bool {
        self.lag_ms > MAX_LAG.as_secs_f64() * 1e3
    }
}

/// Runs a soak to its end.
pub async fn run(plan: SoakPlan) -> SoakReport {
    let worst_lag = Arc::<AtomicU64>::default();
    let measuring = tokio::spawn(measure_lag(worst_lag.clone()));
    let mut cluster = SoakCluster::start(plan).await;
    let events = timeline::draw(&plan);
    let mut faults = BTreeMap::new();
    let clients = clients::start(&plan, &cluster.slots);
    let begin = Instant::now();
    for event in events {
        tokio::time::sleep_until(begin + event.at).await;
        *faults.entry(event.fault.name().to_owned()).or_default() += 1;
        cluster.apply(event.fault).await;
    }
    cluster.settle().await;
    tokio::time::sleep(QUIET_TAIL).await;
    let records = clients.finish().await;
    measuring.abort();
    let lag = Duration::from_micros(worst_lag.load(Ordering::Relaxed));
    let failed_calls = cluster.failed_calls();
    let (mut violations, logs) = cluster.end().await;
    violations.retain(|report| !oracle::is_response_cut_by_exit(report, &records));
    violations.extend(oracle::judge(&cluster, &records, &logs, lag));
    let violations = violations.into_iter().map(|violation| with_log(violation, &logs)).collect();
    let begun_after_sigterm = count_after_sigterm(&cluster, &records);
    let mut requests = BTreeMap::new();
    for record in &records {
        *requests.entry(record.fate.name().to_owned()).or_default() += 1;
    }
    SoakReport {
        plan,
        faults,
        failed_calls,
        requests,
        begun_after_sigterm,
        violations,
        lag_ms: lag.as_secs_f64() * 1e3,
        logs,
    }
}

/// Requests by the tenth of a second after their process's SIGTERM in which they were sent.
fn count_after_sigterm(cluster: &SoakCluster, records: &[SoakRecord]) -> Vec<usize> {
    let mut counts = Vec::new();
    for record in records {
        let Some(since) = cluster.slots[record.slot].since_termination(record.sent) else { continue };
        let tenth = (since.as_secs_f64() * 10.0) as usize;
        if counts.len() <= tenth {
            counts.resize(tenth + 1, 0);
        }
        counts[tenth] += 1;
    }
    counts
}

/// A violation with the last lines that its request has in the processes' logs.
fn with_log(violation: String, logs: &[Vec<String>]) -> String {
    let is_id =
        |word: &&str| word.starts_with('c') && word[1..].split('-').all(|part| part.parse::<u64>().is_ok());
    let words = violation.split(|c: char| !c.is_ascii_alphanumeric() && c != '-');
    let Some(id) = words.filter(|word| word.contains('-')).find(is_id) else { return violation };
    let quoted = format!("id=\"{id}\"");
    let lines: Vec<&str> =
        logs.iter().flatten().filter(|line| line.contains(&quoted)).map(String::as_str).collect();
    let last = &lines[lines.len().saturating_sub(MAX_LOG_LINES)..];
    let excerpt: String = last.iter().map(|line| format!("\n    {line}")).collect();
    format!("{violation}{excerpt}")
}

/// Notes how late the caller's own clock is at worst, in microseconds; it does not end.
pub async fn measure_lag(worst: Arc<AtomicU64>) {
    loop {
        let due = Instant::now() + LAG_INTERVAL;
        tokio::time::sleep_until(due).await;
        worst.fetch_max(due.elapsed().as_micros() as u64, Ordering::Relaxed);
    }
}
