//! `testbed measure routes`: troubles with today's defaults and with the example files beside them, and the cost of a
//! look-up.

use bellcroft_routes::{BudgetIds, RouteConfig, RouteMatch, RouteTable, RoutesConfig};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use testbed::write_into;
use testbed::{p99, wanted_share, Agent, Folder, Load, Plan, Record, Server, Traffic, World, CLASSES};
use tokio::time::sleep;

#[derive(clap::Args)]
pub struct Options {
    /// Requests a second.
    #[arg(long, default_value_t = 300.0)]
    rate: f64,
    /// Seconds of each trouble.
    #[arg(long, default_value_t = 4)]
    seconds: u64,
    /// A page to write the tables into, between its markers.
    #[arg(long, value_name = "FILE")]
    into: Option<PathBuf>,
}

const FILES: [(&str, &str); 3] = [
    ("no routes", ""),
    ("routes-budgets.toml", include_str!("../../../deploy/examples/routes-budgets.toml")),
    ("routes-copies.toml", include_str!("../../../deploy/examples/routes-copies.toml")),
];

/// Servers of the staged fleet.
const SERVERS: usize = 10;

/// A trouble's name, and what it does to the servers.
type Trouble = (&'static str, fn(&[Server]));

const TROUBLES: [Trouble; 3] = [
    ("brown-out: all servers 25 times slower", |servers| servers.iter().for_each(|s| s.slow(25.0))),
    ("a tenth: one server 60 times slower", |servers| servers[3].slow(60.0)),
    ("a building cut off: every second server says nothing", |servers| {
        servers.iter().step_by(2).for_each(Server::mute);
    }),
];

pub async fn run(options: &Options) -> ExitCode {
    let mut table = String::from(
        "| trouble | file | requests | further sends | served in the wanted time | p99 read | p99 log | p99 assign | breaches |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let mut breaches = 0;
    for (trouble, make) in TROUBLES {
        for (file, text) in FILES {
            eprintln!("{trouble}, {file} ...");
            let (line, broken) = one(options, make, text).await;
            table.push_str(&format!("| {trouble} | {file} | {line} |\n"));
            breaches += broken;
        }
    }
    table.push_str("\n| routes | a look-up | against one route |\n| --- | --- | --- |\n");
    let times: Vec<(usize, f64)> = [1, 100, 10_000].into_iter().map(|n| (n, lookup(n))).collect();
    for (n, ns) in &times {
        table.push_str(&format!("| {n} | {ns:.0} ns | {:.2} |\n", ns / times[0].1));
    }
    print!("{table}");
    if let Some(page) = &options.into {
        if let Err(why) = write_into(page, "measure:routes", &table) {
            eprintln!("testbed: {why}");
            return ExitCode::from(2);
        }
    }
    if breaches == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

async fn one(options: &Options, make: fn(&[Server]), routes: &str) -> (String, usize) {
    let world = World::start(SERVERS, &Plan { seed: 21, ..Plan::default() }).await;
    let mut config = world.config("measured");
    config["settings"]["limits"]["secondCopies"] = true.into();
    let folder = Folder::new();
    let operator = folder.write("agent.toml", routes);
    let agent = Agent::operated(config, &operator).await;
    agent.ready().await;
    let load = Load { agents: vec![agent.address], clients: 60, rate: options.rate, seed: 22, most: 100_000 };
    let traffic = Traffic::start(&load);
    sleep(Duration::from_secs(2)).await;
    make(&world.servers);
    let (from, copies) = (traffic.count(), world.seen().len());
    sleep(Duration::from_secs(options.seconds)).await;
    let all = traffic.finish().await;
    let further = (world.seen().len() - copies).saturating_sub(all.len() - from);
    let records = &all[from..];
    let good = wanted_share(&records.iter().collect::<Vec<_>>()).unwrap_or(0.0);
    let of_class = |class: usize| {
        let own: Vec<&Record> = records.iter().filter(|r| r.class == class).collect();
        p99(&own).map_or("-".to_owned(), |t| format!("{:.0} ms", t.as_secs_f64() * 1e3))
    };
    let broken = world.audit(&all);
    broken.iter().take(3).for_each(|b| eprintln!("breach: {b}"));
    let times: Vec<String> = (0..CLASSES.len()).map(of_class).collect();
    let line = format!(
        "{} | {further} ({:.1}%) | {:.1}% | {} | {}",
        records.len(),
        further as f64 / records.len().max(1) as f64 * 100.0,
        good * 100.0,
        times.join(" | "),
        broken.len()
    );
    (line, broken.len())
}

/// Nanoseconds of a look-up among so many routes, the last of which matches.
fn lookup(routes: usize) -> f64 {
    let route = |n: usize| RouteConfig {
        name: n.to_string(),
        matches: RouteMatch {
            class: Some("read-schedule".into()),
            path: Some(format!("/read-schedule/{n:06}")),
            ..RouteMatch::default()
        },
        ..RouteConfig::default()
    };
    let spec = RoutesConfig { routes: (0..routes).map(route).collect(), pools: Vec::new() };
    let table = RouteTable::unchecked(&spec, &mut BudgetIds::default());
    let path = format!("/read-schedule/{:06}/today", routes - 1);
    let find =
        || std::hint::black_box(table.lookup("read-schedule", Some("acme"), std::hint::black_box(&path)));
    let mut best = f64::INFINITY;
    for _ in 0..20 {
        let begin = Instant::now();
        (0..10_000).for_each(|_| assert!(find().is_some()));
        best = best.min(begin.elapsed().as_nanos() as f64 / 10_000.0);
    }
    best
}
