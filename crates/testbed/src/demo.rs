//! The demo: a small fleet of servers, one agent, steady traffic, and one server that slows down half way.

use std::process::ExitCode;
use std::time::Duration;
use testbed::{p99, wanted_share, Agent, Fate, Load, Plan, Record, Traffic, World, CLASSES};
use tokio::time::Instant;

#[derive(clap::Args)]
pub struct Options {
    /// How long traffic runs, in seconds.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(2..=3600))]
    seconds: u64,
    /// Stand-in servers.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(1..=100))]
    servers: u64,
    /// Requests a second, of all classes together.
    #[arg(long, default_value_t = 300.0, value_parser = rate)]
    rate: f64,
    /// Seed of the traffic and of the servers' work.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn rate(text: &str) -> Result<f64, String> {
    let rate = text.parse::<f64>().map_err(|_| "not a number".to_owned())?;
    if (1.0..=20_000.0).contains(&rate) {
        Ok(rate)
    } else {
        Err("from 1 to 20000 was expected".into())
    }
}

/// How many times as long the slow server takes.
const SLOWER: f64 = 12.0;

pub async fn run(options: &Options) -> ExitCode {
    let plan = Plan { seed: options.seed, ..Plan::default() };
    let world = World::start(options.servers as usize, &plan).await;
    let agent = Agent::with(world.config("demo"), |_| {}).await;
    agent.ready().await;
    println!(
        "{} servers, one agent on {}, {} requests a second for {} s\n",
        options.servers, agent.address, options.rate, options.seconds
    );
    print!("{:>4}  {:>6}", "s", "rate");
    for class in &CLASSES {
        print!("  {:>14}", class.name);
    }
    println!("  requests by server; [out] gets under a fifth of its part");
    let clients = ((options.rate / 10.0).ceil() as usize).clamp(8, 200);
    let load = Load {
        agents: vec![agent.address],
        clients,
        rate: options.rate,
        seed: options.seed,
        most: (options.rate * options.seconds as f64) as usize * 2,
    };
    let begin = Instant::now();
    let traffic = Traffic::start(&load);
    let slow = (options.seed as usize) % world.servers.len();
    let mut before = vec![0; world.servers.len()];
    let mut told = 0;
    for second in 1..=options.seconds {
        tokio::time::sleep_until(begin + Duration::from_secs(second)).await;
        let records = traffic.records();
        let counts: Vec<usize> = world.servers.iter().map(|s| s.seen().len()).collect();
        let new: Vec<usize> = counts.iter().zip(&before).map(|(now, before)| now - before).collect();
        before = counts;
        print_line(second, &records[told..], &new);
        told = records.len();
        if second == options.seconds / 2 {
            world.servers[slow].slow(SLOWER);
            println!("      s{slow} now takes {SLOWER} times as long");
        }
    }
    let records = traffic.finish().await;
    print_table(&records, begin.elapsed());
    let breaches = world.audit(&records);
    for breach in breaches.iter().take(10) {
        println!("BREACH: {breach}");
    }
    println!(
        "\n{} requests, {} copies at the servers, {} breaches of the rules",
        records.len(),
        world.seen().len(),
        breaches.len()
    );
    if breaches.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn print_line(second: u64, records: &[Record], servers: &[usize]) {
    print!("{second:>4}  {:>6}", records.len());
    for class in 0..CLASSES.len() {
        let own: Vec<&Record> = records.iter().filter(|r| r.class == class).collect();
        let share = wanted_share(&own).map_or("-".into(), |share| format!("{:.1}%", share * 100.0));
        print!("  {share:>14}");
    }
    let part = servers.iter().sum::<usize>() as f64 / servers.len() as f64;
    let cell = |(number, count): (usize, &usize)| {
        let out = (*count as f64) < part / 5.0;
        format!("s{number}:{count}{}", if out { "[out]" } else { "" })
    };
    println!("  {}", servers.iter().enumerate().map(cell).collect::<Vec<_>>().join(" "));
}

fn print_table(records: &[Record], ran: Duration) {
    println!(
        "\n{:<16} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9}",
        "class", "requests", "served", "refused", "failed", "lost", "in time", "p99 ms"
    );
    for (place, class) in CLASSES.iter().enumerate() {
        let own: Vec<&Record> = records.iter().filter(|r| r.class == place).collect();
        let count = |fate: Fate| own.iter().filter(|r| r.fate == fate).count();
        let lost = own.iter().filter(|r| !r.fate.is_answer()).count();
        let share = wanted_share(&own).unwrap_or(0.0) * 100.0;
        println!(
            "{:<16} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8.1}% {:>9.1}",
            class.name,
            own.len(),
            count(Fate::Served),
            count(Fate::Refused),
            count(Fate::Failed),
            lost,
            share,
            p99(&own).map_or(0.0, |t| t.as_secs_f64() * 1e3)
        );
    }
    println!("{:.0} requests a second on the whole", records.len() as f64 / ran.as_secs_f64());
}
