//! `testbed measure membership`.

use crate::measure::{memory_kb, table};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use testbed::faults::{Cluster, Shape};
use testbed::{Folder, Load, Plan, Record, Traffic, World, LONG};
use tokio::time::{sleep, timeout};

#[derive(clap::Args)]
pub struct Options {
    /// Programs in each of the two fleets, one that looks for its peers and one that doesn't.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(2..=40))]
    instances: u64,
    /// Rounds; each is played on both fleets, in turn.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(1..=50))]
    rounds: u64,
    /// A page to write the table into, between its markers.
    #[arg(long, value_name = "FILE")]
    into: Option<PathBuf>,
}

/// How long clients ask as fast as they are answered.
const ROUND: Duration = Duration::from_secs(3);
/// Clients of the instance that is loaded.
const CLIENTS: usize = 16;
/// Members of the roster whose memory is measured.
const ROSTER: usize = 2_000;

/// Throughput, median and 99th percentile of a round.
struct Round {
    rate: f64,
    p50: f64,
    p99: f64,
}

/// Clients that ask the first instance as fast as they are answered.
async fn round(cluster: &Cluster, seed: u64) -> Round {
    let agents = vec![cluster.addresses()[0]];
    let load = Load { agents, clients: CLIENTS, rate: 1e6, seed, most: 1_000_000 };
    let traffic = Traffic::start(&load);
    sleep(ROUND).await;
    let records: Vec<Record> = traffic.finish().await;
    let mut times: Vec<f64> = records.iter().map(|r| r.took.as_secs_f64() * 1e3).collect();
    times.sort_by(f64::total_cmp);
    let at = |q: f64| times.get((times.len() as f64 * q) as usize).copied().unwrap_or(f64::NAN);
    Round { rate: records.len() as f64 / ROUND.as_secs_f64(), p50: at(0.5), p99: at(0.99) }
}

/// The median of ratios, and their least and largest.
fn ratios(pairs: &[(Round, Round)], of: fn(&Round) -> f64) -> String {
    let mut ratios: Vec<f64> = pairs.iter().map(|(on, off)| of(on) / of(off)).collect();
    ratios.sort_by(f64::total_cmp);
    let (least, most) = (ratios[0], ratios[ratios.len() - 1]);
    format!("{:.3} ({least:.3} to {most:.3})", ratios[ratios.len() / 2])
}

pub async fn run(options: &Options) -> ExitCode {
    let mut rows = vec![("cores of the machine".to_owned(), crate::measure_telemetry::cores())];
    let shape = |membership| Shape {
        instances: options.instances as usize,
        plan: Plan { cores: 64, service: Duration::from_micros(500), ..Plan::default() },
        membership,
        ..Shape::default()
    };
    eprintln!("two fleets of {} ...", options.instances);
    let (on, off) = (Cluster::start(shape(true)).await, Cluster::start(shape(false)).await);
    if on.agree(LONG).await.is_none() {
        eprintln!("testbed: the instances did not find each other");
        return ExitCode::FAILURE;
    }
    let mut pairs = Vec::new();
    for number in 0..options.rounds {
        eprintln!("round {} of {} ...", number + 1, options.rounds);
        // Which one is first changes, so that whatever drifts falls on both.
        let pair = if number % 2 == 0 {
            let first = round(&on, number).await;
            (first, round(&off, number).await)
        } else {
            let first = round(&off, number).await;
            (round(&on, number).await, first)
        };
        pairs.push(pair);
    }
    let what = format!("with membership against without, {} pairs", options.rounds);
    rows.push((format!("requests a second, {what}"), ratios(&pairs, |r| r.rate)));
    rows.push((format!("p50, {what}"), ratios(&pairs, |r| r.p50)));
    rows.push((format!("p99, {what}"), ratios(&pairs, |r| r.p99)));
    let figures = |on: &Round| format!("{:.0} a second, p50 {:.2} ms, p99 {:.2} ms", on.rate, on.p50, on.p99);
    if let Some((on, off)) = pairs.first() {
        rows.push(("a round with".to_owned(), figures(on)));
        rows.push(("a round without".to_owned(), figures(off)));
    }
    drop((on, off));
    eprintln!("memory ...");
    rows.extend(memory().await);
    let mut text = String::from("| what | measured |\n| --- | --- |\n");
    for (what, figure) in rows {
        text.push_str(&format!("| {what} | {figure} |\n"));
    }
    table(&text, options.into.as_deref(), "measure:membership")
}

/// What a roster of thousands takes, in an instance that finds nobody of it.
async fn memory() -> Vec<(String, String)> {
    let world = World::start(6, &Plan::default()).await;
    let folder = Folder::new();
    let mut private = Vec::new();
    for (name, roster) in [("none", 0), ("twelve", 12), ("thousands", ROSTER)] {
        // Addresses that lead nowhere: a port that nobody has, on as many loopback addresses.
        let peers: Vec<String> = (1..=roster)
            .map(|n| format!("\"{}\"", SocketAddr::from(([127, 1, (n >> 8) as u8, n as u8], 9))))
            .collect();
        let section = format!(
            "[membership]\ncluster = \"testbed\"\nlisten = \"127.0.0.1:0\"\nnumber = 0\npeers = [{}]\n",
            peers.join(", ")
        );
        let operator = folder.write(&format!("{name}.toml"), if roster > 0 { &section } else { "" });
        let mut agent = testbed::Agent::operated(world.config(name), &operator).await;
        agent.ready().await;
        sleep(Duration::from_secs(3)).await;
        let kb = agent.child.id().and_then(memory_kb).map_or(0, |(_, private)| private);
        private.push(kb as f64 / 1024.0);
        agent.term().await;
        let _ = timeout(LONG, agent.child.wait()).await;
    }
    let more = |place: usize| format!("{:+.2} MiB", private[place] - private[0]);
    vec![
        ("private memory, a roster of 12 against none".to_owned(), more(1)),
        (format!("private memory, a roster of {ROSTER} against none"), more(2)),
    ]
}
