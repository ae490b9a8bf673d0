//! `testbed measure telemetry` and `testbed measure alerts`.

use crate::measure::{memory_kb, table};
use bellcroft_telemetry::{encode, families, Family, Kind, Registry, Version};
use serde_json::json;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use testbed::{
    p99, stage, Agent, Folder, Incident, Load, Plan, Receiver, Record, RuleFile, Taking, Traffic, World,
};
use tokio::time::sleep;

#[derive(clap::Args)]
pub struct Options {
    /// Requests a second.
    #[arg(long, default_value_t = 1000.0)]
    rate: f64,
    /// Rounds for the cost of a request; each is played with and without telemetry.
    #[arg(long, default_value_t = 5)]
    rounds: u64,
    /// Seconds that the receiver fails for.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// A page to write the table into, between its markers.
    #[arg(long, value_name = "FILE")]
    into: Option<PathBuf>,
}

#[derive(clap::Args)]
pub struct AlertOptions {
    /// The rules.
    #[arg(long, value_name = "FILE", default_value = "deploy/alerts/bellcroft.rules.yml")]
    rules: PathBuf,
    /// Seconds of each incident; the rules' times are divided by 20.
    #[arg(long, default_value_t = 15)]
    seconds: u64,
    /// A page to write the table into, between its markers.
    #[arg(long, value_name = "FILE")]
    into: Option<PathBuf>,
}

/// Requests of one round.
const ROUND: Duration = Duration::from_secs(3);

pub async fn run(options: &Options) -> ExitCode {
    let mut rows = vec![("cores of the machine".to_owned(), cores())];
    eprintln!("cost of a request ...");
    rows.extend(cost(options).await);
    eprintln!("bytes on the wire ...");
    rows.extend(bytes());
    eprintln!("memory ...");
    rows.extend(memory().await);
    eprintln!("a receiver that fails for {} s ...", options.seconds);
    rows.extend(failing(options).await);
    let mut text = String::from("| what | measured |\n| --- | --- |\n");
    for (what, figure) in rows {
        text.push_str(&format!("| {what} | {figure} |\n"));
    }
    table(&text, options.into.as_deref(), "measure:telemetry")
}

pub fn cores() -> String {
    std::thread::available_parallelism().map_or(0, std::num::NonZero::get).to_string()
}

fn operator(receiver: &Receiver, more: &str) -> String {
    format!("[remote_write]\nurl = \"{}\"\ninterval = \"1s\"\n{more}", receiver.url())
}

/// Time that a process's threads have run, in seconds (proc_pid_schedstat, first field, nanoseconds).
fn cpu(pid: u32) -> f64 {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task"));
    let own = tasks.into_iter().flatten().flatten().filter_map(|task| {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<f64>().ok()
    });
    own.sum::<f64>() / 1e9
}

async fn cost(options: &Options) -> Vec<(String, String)> {
    let world = World::start(10, &Plan { cores: 16, ..Plan::default() }).await;
    let receiver = Receiver::start().await;
    let folder = Folder::new();
    let mut agents = Vec::new();
    for (name, text) in [
        ("off", String::new()),
        ("on", operator(&receiver, "")),
        ("named", operator(&receiver, "server_names = 10\n")),
    ] {
        let file = folder.write(&format!("{name}.toml"), &text);
        let mut config = world.config(name);
        config["settings"]["parties"][0]["allowancePerS"] = json!(1e6);
        let agent = Agent::operated(config, &file).await;
        agent.ready().await;
        agents.push(agent);
    }
    // In turn, so that what else the machine does falls on all alike.
    let mut spent = vec![Vec::new(); agents.len()];
    for round in 0..=options.rounds {
        for (agent, spent) in agents.iter().zip(&mut spent) {
            let pid = agent.child.id().unwrap_or(0);
            let load = Load {
                agents: vec![agent.address],
                clients: 50,
                rate: options.rate,
                seed: round,
                most: 100_000,
            };
            let before = cpu(pid);
            let traffic = Traffic::start(&load);
            sleep(ROUND).await;
            let records = traffic.finish().await;
            // The first round only warms up.
            if round > 0 {
                spent.push((cpu(pid) - before) / records.len().max(1) as f64 * 1e6);
            }
        }
    }
    let median = |values: &Vec<f64>| {
        let mut values = values.clone();
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    let ratio = |with: &Vec<f64>| {
        let ratios: Vec<f64> = with.iter().zip(&spent[0]).map(|(with, without)| with / without).collect();
        let (least, most) =
            (ratios.iter().copied().fold(f64::MAX, f64::min), ratios.iter().copied().fold(0.0, f64::max));
        format!("{:.3} ({least:.3} to {most:.3})", median(&ratios))
    };
    vec![
        (
            format!("CPU a request without telemetry, {} requests/s", options.rate),
            format!("{:.1} \u{b5}s", median(&spent[0])),
        ),
        (
            "with it, a sample each second: times as much, median (least to most) of the rounds".into(),
            ratio(&spent[1]),
        ),
        ("with it and ten servers named".into(), ratio(&spent[2])),
    ]
}

/// A registry of about so many series of the shapes that an instance has.
fn registry(series: usize) -> Registry {
    let labels = [("instance", "desk-12"), ("job", "bellcroft"), ("building", "north")];
    let labels: Vec<_> = labels.iter().map(|(n, v)| ((*n).to_owned(), (*v).to_owned())).collect();
    let registry = Registry::new(&labels);
    let family = Family { max_series: series, ..families::SERVER_ATTEMPTS.clone() };
    assert_eq!(family.kind, Kind::Counter);
    let mut random = fastrand::Rng::with_seed(7);
    for place in 0..series {
        let outcome = ["served", "error", "rejected", "timeout"][place % 4];
        let name = format!("server-{}", place / 4);
        registry.counter(&family, &[outcome, &name]).inc_by(random.u32(0..1_000_000).into());
    }
    registry
}

fn bytes() -> Vec<(String, String)> {
    let mut rows = Vec::new();
    for series in [1000, 10_000] {
        let registry = registry(series);
        let samples = registry.gather();
        for (version, word) in [(Version::V1, "1.0"), (Version::V2, "2.0")] {
            let body = encode(version, &samples, 1_800_000_000_000, 1_799_999_000_000);
            let plain = snap::raw::decompress_len(&body).unwrap_or(0);
            let each = |bytes: usize| bytes as f64 / samples.len() as f64;
            rows.push((
                format!(
                    "{series} series with a sample each, {word}: bytes a series on the wire (before snappy)"
                ),
                format!("{:.1} ({:.1})", each(body.len()), each(plain)),
            ));
        }
    }
    rows
}

async fn memory() -> Vec<(String, String)> {
    let world = World::start(1, &Plan::default()).await;
    let receiver = Receiver::start().await;
    let folder = Folder::new();
    let mut rows = Vec::new();
    let mut base = None;
    for names in [None, Some(0), Some(100), Some(1000)] {
        let text =
            names.map_or(String::new(), |names| operator(&receiver, &format!("server_names = {names}\n")));
        let file = folder.write("memory.toml", &text);
        let mut config = world.config(&format!("m{}", names.map_or("off".into(), |n| n.to_string())));
        // Servers that are listed and never sent to: their counts are there all the same.
        let hosts: Vec<_> = (0..1000)
            .map(|n| {
                let mut line = testbed::host(&format!("server-{n}"), world.servers[0].address, "draining");
                line["dial"] = json!(format!("127.1.{}.{}:9", n / 250, n % 250 + 1));
                line
            })
            .chain(world.hosts())
            .collect();
        config["known"]["hosts"] = json!(hosts);
        let name = config["name"].as_str().unwrap_or_default().to_owned();
        // Only a watch that says nothing leaves the known list as it is.
        config["discovery"] = json!(testbed::Directory::start(testbed::Mood::Mute).await.address.to_string());
        let agent = Agent::operated(config, &file).await;
        agent.ready().await;
        let of =
            |store: &testbed::Store| store.series.keys().filter(|l| l.get("instance") == Some(&name)).count();
        let mut series = 0;
        if names.is_some() {
            let sampled = |store: &testbed::Store| {
                store.series.iter().any(|(l, s)| l.get("instance") == Some(&name) && s.len() >= 3)
            };
            receiver.until("three samples", |store, _| sampled(store)).await;
            series = of(&receiver.store());
        } else {
            sleep(Duration::from_secs(3)).await;
        }
        let kb = agent.child.id().and_then(memory_kb).map_or(0, |(resident, _)| resident);
        let base = *base.get_or_insert(kb);
        rows.push((
            format!("resident memory, 1,001 servers listed, {series} series"),
            format!("{:.2} MiB ({:+.2} MiB)", kb as f64 / 1024.0, (kb as f64 - base as f64) / 1024.0),
        ));
    }
    rows
}

async fn failing(options: &Options) -> Vec<(String, String)> {
    let world = World::start(10, &Plan::default()).await;
    let receiver = Receiver::start().await;
    let folder = Folder::new();
    let file = folder.write("agent.toml", &operator(&receiver, "timeout = \"2s\"\n"));
    let agent = Agent::operated(world.config("failing"), &file).await;
    agent.ready().await;
    let load = Load { agents: vec![agent.address], clients: 30, rate: 300.0, seed: 3, most: 100_000 };
    let traffic = Traffic::start(&load);
    sleep(Duration::from_secs(2)).await;
    let from = traffic.count();
    let phase = Duration::from_secs(options.seconds);
    sleep(phase).await;
    let begin = traffic.count();
    let faults =
        [Taking::Mute, Taking::Reset, Taking::Status(500, String::new()), Taking::Garbage, Taking::Endless];
    for fault in &faults {
        receiver.taking.send_replace(fault.clone());
        sleep(phase / faults.len() as u32).await;
    }
    let end = traffic.count();
    let kb = agent.child.id().and_then(memory_kb).map_or(0, |(resident, _)| resident);
    receiver.taking.send_replace(Taking::All);
    let mut records = traffic.finish().await;
    let total = records.len();
    let taken = |store: &testbed::Store| store.sum("bellcroft_requests_total", &[]) as usize == total;
    receiver.until("all counts", |store, _| taken(store)).await;
    let breaches = world.audit(&records).len();
    records.truncate(end);
    let (before, during) = (&records[from..begin], &records[begin..]);
    let tail =
        |records: &[Record]| p99(&records.iter().collect::<Vec<_>>()).unwrap_or_default().as_secs_f64() * 1e3;
    let (calm, failing) = (tail(before), tail(during));
    let late = |records: &[Record]| records.iter().filter(|r| !r.in_wanted_time()).count();
    let store = receiver.store();
    let of = |word: &str| store.sum("bellcroft_remote_write_samples_total", &[("outcome", word)]);
    vec![
        (format!("p99 of clients, {} s before", options.seconds), format!("{calm:.1} ms")),
        (
            format!(
                "p99 of clients, {} s of a receiver that is mute, reset, 500, garbage, endless",
                options.seconds
            ),
            format!("{failing:.1} ms ({:.2} times)", failing / calm),
        ),
        (
            "past the wanted time before, during, of requests".into(),
            format!("{}, {} of {}, {}", late(before), late(during), before.len(), during.len()),
        ),
        ("resident memory at its end".into(), format!("{:.2} MiB", kb as f64 / 1024.0)),
        (
            "samples sent, sent again, dropped; refused by the strict receiver".into(),
            format!(
                "{}, {}, {}; {}",
                of("sent"),
                of("retried"),
                of("dropped_full") + of("dropped_refused"),
                store.wrong.len()
            ),
        ),
        (
            "breaches of the rules, by clients and servers; by the observer".into(),
            format!("{breaches}; {}", store.sum("bellcroft_rule_breaches_total", &[])),
        ),
    ]
}

pub async fn alerts(options: &AlertOptions) -> ExitCode {
    let rules = match RuleFile::load(&options.rules) {
        Ok(rules) => rules,
        Err(why) => {
            eprintln!("testbed: {why}");
            return ExitCode::from(2);
        }
    };
    let mut text = String::from(
        "| incident | requests | alerts, and when they fired after its begin |\n| --- | --- | --- |\n",
    );
    let mut missed = Vec::new();
    for incident in Incident::ALL {
        eprintln!("{} ...", incident.title());
        match stage(incident, &rules, Duration::from_secs(options.seconds)).await {
            Ok(staged) => {
                let fired: Vec<String> = staged
                    .fired
                    .iter()
                    .map(|(name, after)| format!("`{name}` {} s", after.as_secs()))
                    .collect();
                let fired = if fired.is_empty() { "none".to_owned() } else { fired.join(", ") };
                text.push_str(&format!("| {} | {} | {fired} |\n", incident.title(), staged.requests));
                let absent = incident.expected().iter().filter(|name| !staged.fired.contains_key(**name));
                missed.extend(absent.map(|name| format!("{}: {name} did not fire", incident.title())));
            }
            Err(why) => missed.push(format!("{}: {why}", incident.title())),
        }
    }
    let code = table(&text, options.into.as_deref(), "measure:alerts");
    missed.iter().for_each(|line| eprintln!("testbed: {line}"));
    if missed.is_empty() {
        code
    } else {
        ExitCode::FAILURE
    }
}
