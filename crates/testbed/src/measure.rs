//! `testbed measure`: figures for the pages, as ratios within one run where they depend on the machine.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use testbed::{Fleet, Load, Plan, Record, Traffic, World};
use tokio::time::{sleep, Instant};

#[derive(clap::Subcommand)]
pub enum What {
    /// Memory, CPU and starts of a fleet of idle instances, and a rolling restart under traffic.
    Fleet(FleetOptions),
    /// What counting and sending cost, in CPU, bytes and memory, and clients beside a receiver that fails.
    Telemetry(crate::measure_telemetry::Options),
    /// Incidents staged on loopback against the shipped alert rules.
    Alerts(crate::measure_telemetry::AlertOptions),
    /// Troubles with and without the example routes, and the cost of a look-up.
    Routes(crate::measure_routes::Options),
    /// What two programs add to a request's time, its CPU and the backends' connections, beside each other.
    Path(crate::measure_path::Options),
    /// What looking for peers costs: requests, time to answer, memory.
    Membership(crate::measure_membership::Options),
}

#[derive(clap::Args)]
pub struct FleetOptions {
    /// Instances.
    #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u64).range(2..=500))]
    instances: u64,
    /// Requests a second to each of them during the roll.
    #[arg(long, default_value_t = 10.0)]
    rate: f64,
    /// Instances that may be down at a time.
    #[arg(long, default_value_t = 5)]
    at_once: u64,
    /// The program to measure; the testbed's own binary plays it otherwise, which is larger.
    #[arg(long, value_name = "PATH")]
    pub program: Option<PathBuf>,
    /// A page to write the table into, between its markers.
    #[arg(long, value_name = "FILE")]
    into: Option<PathBuf>,
}

/// Idle time over which CPU is counted.
const IDLE: Duration = Duration::from_secs(10);
/// Clock ticks a second in /proc/PID/stat, the same on every Linux.
const TICKS: f64 = 100.0;

pub async fn fleet(options: &FleetOptions) -> ExitCode {
    let count = options.instances as usize;
    let plan = Plan { cores: 8, ..Plan::default() };
    let world = World::start(8, &plan).await;
    let more = format!("roll_at_once = {}\nready_within = \"60s\"\nprove_within = \"60s\"", options.at_once);
    let mut fleet = Fleet::new(&world, count, &more);
    eprintln!("starting {count} instances ...");
    let begin = Instant::now();
    fleet.run();
    let addresses = fleet.ready().await;
    let all_ready = begin.elapsed();
    let mut starts = Vec::new();
    for name in &fleet.names {
        let status = fleet.instance(name).await.unwrap_or_default();
        let (from, to) = (status["started_ms"].as_u64(), status["ready_ms"].as_u64());
        starts.extend(from.zip(to).map(|(from, to)| to.saturating_sub(from)));
    }
    starts.sort_unstable();
    let pids: Vec<u32> = fleet.pids().await.into_values().collect();
    let supervisor = fleet.supervisor.as_ref().and_then(tokio::process::Child::id).unwrap_or(0);
    eprintln!("idle for {} s ...", IDLE.as_secs());
    let ticks = |pids: &[u32]| pids.iter().filter_map(|pid| cpu_ticks(*pid)).sum::<u64>();
    let (before, own) = (ticks(&pids), ticks(&[supervisor]));
    sleep(IDLE).await;
    let share = |ticks: u64| ticks as f64 / TICKS / IDLE.as_secs_f64() * 100.0;
    let (idle, own) = (share(ticks(&pids) - before), share(ticks(&[supervisor]) - own));
    let memory: Vec<(u64, u64)> = pids.iter().filter_map(|pid| memory_kb(*pid)).collect();
    let mean = |of: fn(&(u64, u64)) -> u64| {
        memory.iter().map(of).sum::<u64>() as f64 / memory.len().max(1) as f64 / 1024.0
    };

    let load = Load { agents: addresses, clients: 3, rate: options.rate, seed: 5, most: 100_000 };
    eprintln!("traffic with a rolling restart ...");
    let traffic = Traffic::start(&load);
    sleep(Duration::from_secs(2)).await;
    let from = traffic.count();
    let begin = Instant::now();
    let rolled = fleet.command("restart", &[]).await;
    let roll = begin.elapsed();
    let during = traffic.records().split_off(from);
    let records = traffic.finish().await;
    let mut breaches = world.audit(&records).len();
    eprintln!("the same without one, for {roll:.1?} ...");
    let traffic = Traffic::start(&load);
    sleep(Duration::from_secs(2)).await;
    let from = traffic.count();
    sleep(roll).await;
    let calm = traffic.records().split_off(from);
    let all = traffic.finish().await;
    // The servers' records are of both runs.
    let mut both = records;
    both.extend(all);
    breaches = breaches.max(world.audit(&both).len());
    let stopped = fleet.command("stop", &[]).await;

    let cores = std::thread::available_parallelism().map_or(0, std::num::NonZero::get);
    let at = |share: f64| starts.get(((starts.len() as f64 * share) as usize).min(starts.len() - 1)).copied();
    let rows = [
        ("cores of the machine".to_owned(), cores.to_string()),
        (
            format!("{count} instances, from the supervisor's start to all ready"),
            format!("{:.2} s", all_ready.as_secs_f64()),
        ),
        ("an instance's start to ready, median".into(), format!("{} ms", at(0.5).unwrap_or(0))),
        ("an instance's start to ready, worst".into(), format!("{} ms", at(1.0).unwrap_or(0))),
        ("memory an idle instance, resident".into(), format!("{:.2} MiB", mean(|m| m.0))),
        ("memory an idle instance, private".into(), format!("{:.2} MiB", mean(|m| m.1))),
        (format!("CPU of {count} idle instances together"), format!("{idle:.2}% of a core")),
        ("CPU of the supervisor meanwhile".into(), format!("{own:.2}% of a core")),
        (
            format!("rolling restart, {} at once, {} requests/s on each", options.at_once, options.rate),
            format!("{:.1} s", roll.as_secs_f64()),
        ),
        row("late during it, of requests", &during, Record::late),
        row("late in the same time without it", &calm, Record::late),
        row("past their wanted time during it", &during, |r| !r.in_wanted_time()),
        row("past their wanted time without it", &calm, |r| !r.in_wanted_time()),
        row("lost, unanswered or not connected during it", &during, |r| !r.fate.is_answer()),
        ("breaches of the rules in both runs".into(), breaches.to_string()),
    ];
    let mut table = String::from("| what | measured |\n| --- | --- |\n");
    for (what, figure) in &rows {
        table.push_str(&format!("| {what} | {figure} |\n"));
    }
    print!("{table}");
    if let Some(page) = &options.into {
        if let Err(why) = testbed::write_into(page, "measure:fleet", &table) {
            eprintln!("testbed: {why}");
            return ExitCode::from(2);
        }
    }
    if rolled.status.success() && stopped.status.success() && breaches == 0 {
        ExitCode::SUCCESS
    } else {
        eprintln!("{}{}", String::from_utf8_lossy(&rolled.stderr), String::from_utf8_lossy(&stopped.stderr));
        ExitCode::FAILURE
    }
}

fn row(what: &str, records: &[Record], of: impl Fn(&Record) -> bool) -> (String, String) {
    let count = records.iter().filter(|r| of(r)).count();
    let share = count as f64 / records.len().max(1) as f64 * 100.0;
    (what.to_owned(), format!("{count} of {} ({share:.2}%)", records.len()))
}

/// User and system time of a process (proc_pid_stat(5), fields 14 and 15).
fn cpu_ticks(pid: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let rest = text.rsplit_once(") ")?.1;
    let field = |n: usize| rest.split(' ').nth(n)?.parse::<u64>().ok();
    Some(field(11)? + field(12)?)
}

/// Resident and private memory (proc_pid_smaps(5)).
pub fn memory_kb(pid: u32) -> Option<(u64, u64)> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/smaps_rollup")).ok()?;
    let line = |name: &str| {
        let line = text.lines().find(|line| line.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse::<u64>().ok()
    };
    Some((line("Rss:")?, line("Private_Clean:")? + line("Private_Dirty:")?))
}

/// Prints a table, and writes it into a page if there is one.
pub fn table(table: &str, page: Option<&Path>, marker: &str) -> ExitCode {
    print!("{table}");
    match page.map(|page| testbed::write_into(page, marker, table)) {
        Some(Err(why)) => {
            eprintln!("testbed: {why}");
            ExitCode::from(2)
        }
        _ => ExitCode::SUCCESS,
    }
}
