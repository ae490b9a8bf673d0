//! `testbed measure path`: what two programs add to a request's time, its CPU and the backends' connections.
//!
//! An open-loop client plays one schedule three times: straight to the stand-in servers, and through an agent that is run
//! from each of the two programs. Such rounds are repeated in changing order, so that what drifts falls on all three.

mod report;

use crate::measure::table;
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use testbed::open_loop::{play, quantile, Sample, Schedule};
use testbed::{config, host, ok, request, Agent, Backend, Directory, Mood, Reply};

/// Options of `testbed measure path`.
#[derive(clap::Args)]
pub struct Options {
    /// The program to compare with.
    #[arg(long, value_name = "PROGRAM")]
    before: PathBuf,
    /// The program that is judged.
    #[arg(long, value_name = "PROGRAM")]
    after: PathBuf,
    /// Rounds at each rate that count; void ones are listed and repeated.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(1..=50))]
    pairs: u64,
    /// Seconds of each of the three parts of a round.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=600))]
    seconds: u64,
    /// Requests a second.
    #[arg(long, value_delimiter = ',', default_values_t = [20.0, 98.0, 500.0])]
    rates: Vec<f64>,
    /// Seed of the schedules.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// A page to write the table into, between its markers.
    #[arg(long, value_name = "FILE")]
    into: Option<PathBuf>,
}

/// Stand-in servers.
const SERVERS: usize = 5;
/// Threads of the client; more than requests ever wait at once.
const WORKERS: usize = 16;
/// Time before each part that is played and not counted.
const WARM_UP: Duration = Duration::from_millis(1_500);
/// Rounds that are played for each that is to count.
const MAX_TRIES: u64 = 3;
/// A client whose departures are later than this at the 99th percentile has not kept its schedule.
const MAX_LATENESS: Duration = Duration::from_millis(1);

/// What a request goes through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// Nothing.
    Direct,
    /// An agent of the program to compare with.
    Before,
    /// An agent of the program that is judged.
    After,
}

/// What one part of a round measured.
pub struct Measurement {
    route: Route,
    samples: Vec<Sample>,
    /// CPU time of the agent.
    cpu: Duration,
    /// Connections that the servers accepted.
    opened: usize,
    /// Connections that the servers held at the end.
    held: usize,
}

impl Measurement {
    fn latencies(&self) -> Vec<Duration> {
        self.samples.iter().map(|sample| sample.latency).collect()
    }

    fn failed(&self) -> usize {
        self.samples.iter().filter(|sample| !sample.served).count()
    }

    fn lateness(&self) -> Duration {
        let lateness: Vec<Duration> = self.samples.iter().map(|sample| sample.lateness).collect();
        quantile(&lateness, 0.99)
    }
}

/// The three parts of one round.
pub struct Round {
    parts: Vec<Measurement>,
}

impl Round {
    fn part(&self, route: Route) -> Option<&Measurement> {
        self.parts.iter().find(|part| part.route == route)
    }

    /// Why nothing can be concluded from it.
    fn void_because(&self) -> Option<String> {
        self.parts.iter().find_map(|part| {
            if part.lateness() > MAX_LATENESS {
                let lateness = part.lateness().as_secs_f64() * 1e3;
                return Some(format!("{:?}: the client left {lateness:.2} ms late at p99", part.route));
            }
            let failed = part.failed();
            (failed > 0).then(|| format!("{:?}: {failed} requests were not served", part.route))
        })
    }
}

/// Runs all rounds and prints the table.
pub async fn run(options: &Options) -> ExitCode {
    let mut rates = Vec::new();
    for rate in &options.rates {
        rates.push((*rate, play_rounds(options, *rate).await));
    }
    table(&report::table(&rates, options), options.into.as_deref(), "measure:path")
}

/// Plays rounds until enough of them count, or the machine has spoilt too many.
async fn play_rounds(options: &Options, rate: f64) -> Vec<Round> {
    let (mut rounds, mut valid) = (Vec::new(), 0);
    for number in 0..options.pairs * MAX_TRIES {
        if valid == options.pairs {
            break;
        }
        eprintln!("{rate} requests a second, round {}, {valid} of {} count ...", number + 1, options.pairs);
        let round = play_round(options, rate, number).await;
        match round.void_because() {
            Some(why) => eprintln!("testbed: this round is void: {why}"),
            None => valid += 1,
        }
        rounds.push(round);
    }
    rounds
}

async fn play_round(options: &Options, rate: f64, number: u64) -> Round {
    let mut order = [Route::Direct, Route::Before, Route::After];
    if number % 2 == 1 {
        order.reverse();
    }
    let length = WARM_UP + Duration::from_secs(options.seconds);
    let schedule = Schedule::poisson(rate, length, options.seed.wrapping_add(number));
    let mut parts = Vec::new();
    for route in order {
        parts.push(match route {
            Route::Direct => measure_direct(&schedule).await,
            Route::Before => measure_agent(&schedule, route, &options.before).await,
            Route::After => measure_agent(&schedule, route, &options.after).await,
        });
    }
    Round { parts }
}

async fn start_servers() -> Vec<Backend> {
    let mut servers = Vec::new();
    for _ in 0..SERVERS {
        servers.push(Backend::start(|_| Reply::Bytes(ok("x"))).await);
    }
    servers
}

fn count_opened(servers: &[Backend]) -> usize {
    servers.iter().map(Backend::connections).sum()
}

fn count_closed(servers: &mut [Backend]) -> usize {
    servers.iter_mut().map(|server| std::iter::from_fn(|| server.closed.try_recv().ok()).count()).sum()
}

async fn measure_direct(schedule: &Schedule) -> Measurement {
    let servers = start_servers().await;
    let addresses = servers.iter().map(|server| server.address).collect();
    let samples = play_in_threads(schedule.clone(), addresses).await;
    let opened = count_opened(&servers);
    Measurement { route: Route::Direct, samples: counted(samples), cpu: Duration::ZERO, opened, held: opened }
}

async fn measure_agent(schedule: &Schedule, route: Route, program: &Path) -> Measurement {
    let mut servers = start_servers().await;
    let directory = Directory::start(Mood::Mute).await;
    let hosts: Vec<_> =
        servers.iter().enumerate().map(|(n, s)| host(&format!("s{n}"), s.address, "up")).collect();
    let mut config = config(directory.address, &hosts);
    // Nothing but the path itself: no copies, and no share of a tenant's that the rate could go beyond.
    config["settings"]["limits"]["secondCopies"] = false.into();
    config["settings"]["parties"] = json!([{"name": "acme", "fraction": 1.0, "allowancePerS": 100_000.0}]);
    let mut agent = Agent::of_program(program, config).await;
    agent.ready().await;
    let pid = agent.child.id().unwrap_or(0);
    let playing = tokio::spawn(play_in_threads(schedule.clone(), vec![agent.address]));
    tokio::time::sleep(WARM_UP).await;
    let (cpu, opened) = (cpu_time(pid), count_opened(&servers));
    let samples = playing.await.unwrap_or_default();
    let measurement = Measurement {
        route,
        samples: counted(samples),
        cpu: cpu_time(pid).saturating_sub(cpu),
        opened: count_opened(&servers) - opened,
        held: count_opened(&servers) - count_closed(&mut servers),
    };
    agent.term().await;
    agent.end().await;
    measurement
}

async fn play_in_threads(schedule: Schedule, addresses: Vec<SocketAddr>) -> Vec<Sample> {
    let text = |_| request("GET", "/read", "2000m", "");
    tokio::task::spawn_blocking(move || play(&schedule, &addresses, WORKERS, text)).await.unwrap_or_default()
}

/// The samples after the warm-up.
fn counted(mut samples: Vec<Sample>) -> Vec<Sample> {
    samples.retain(|sample| sample.scheduled >= WARM_UP);
    samples
}

/// CPU time of all threads of a process, by the scheduler's own account in nanoseconds.
fn cpu_time(pid: u32) -> Duration {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    let of_task = |task: std::fs::DirEntry| -> Option<u64> {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse().ok()
    };
    Duration::from_nanos(tasks.filter_map(of_task).sum())
}
