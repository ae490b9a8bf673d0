//! `experiments run` plays an experiment on the model, `experiments report` writes a page of it, `experiments compare` sets two side by side.

use clap::{Parser, Subcommand};
use experiments::load::{self, Load, Loaded};
use experiments::members::{self, Plan};
use experiments::{compare, report, run, sockets, story, summarise, Experiment, Folder};
use serde_json::json;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Breaches of one cell that are told.
const BREACHES_TOLD: usize = 5;

/// Experiments on the model of the deployment.
///
/// Exit codes: 0 fine, 1 not done (a disk, a lock, a broken rule, a difference with --exit-code), 2 bad input.
#[derive(Parser)]
#[command(name = "experiments", version, max_term_width = 100)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play each cell of an experiment that is not stored yet, on all cores, and print a table.
    Run {
        /// The experiment, such as deploy/experiments/calm.toml.
        file: PathBuf,
        /// Where results are stored; found/NAME without.
        #[arg(long, value_name = "DIR")]
        out: Option<PathBuf>,
        /// Threads; all cores without.
        #[arg(long)]
        threads: Option<usize>,
        /// Print JSON instead of a table.
        #[arg(long)]
        json: bool,
    },
    /// Play a stored cell again and tell the story of one request: every try, attempt, answer and drop.
    Trace {
        /// The cell's file, such as found/retry-storm/cells/0123456789abcdef01234567.json.
        #[arg(value_name = "CELL")]
        cell: PathBuf,
        /// The request that a client first came with; `experiments run` names those that broke a rule.
        request: u64,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Write one HTML page with tables and pictures; it needs no network.
    Report {
        /// A folder of results.
        dir: PathBuf,
        /// The page; DIR/report.html without.
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// Name what differs between two folders beyond noise.
    Compare {
        /// The one.
        before: PathBuf,
        /// The other.
        after: PathBuf,
        /// Print JSON.
        #[arg(long)]
        json: bool,
        /// Exit with 1 if anything differs.
        #[arg(long)]
        exit_code: bool,
    },
    /// Load a real agent: requests leave on schedule whatever the answers do, and times count from the schedule.
    ///
    /// Exit code 1 if the generator itself could not keep the schedule.
    Load {
        /// The experiment whose classes are asked for.
        file: PathBuf,
        /// The agent, such as 127.0.0.1:8443.
        #[arg(long)]
        target: std::net::SocketAddr,
        /// Requests a second.
        #[arg(long, default_value_t = 100.0, value_parser = rate)]
        rate: f64,
        /// Seconds.
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=3600))]
        seconds: u64,
        /// Requests at most.
        #[arg(long, default_value_t = 1_000_000)]
        most: u64,
        /// Connections at most.
        #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u64).range(1..=10_000))]
        connections: u64,
        /// Seed of the schedule.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// `X-Tenant-Id` of the requests.
        #[arg(long, default_value = "acme")]
        tenant: String,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Play a small experiment on the model and on loopback sockets with the real program, and set both side by side.
    ///
    /// The policy is the module, on both; seeds are the experiment's, its sweep is left out.
    Sockets {
        /// Experiments, such as deploy/experiments/sockets/calm.toml.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Play fleets of members that look for each other, and print how soon deaths are seen, who is called dead by mistake, and
    /// what it costs, beside plain SWIM.
    Members {
        /// Sizes of fleets.
        #[arg(long, value_delimiter = ',', default_value = "50,500,2000,10000",
              value_parser = clap::value_parser!(u32).range(2..=20_000))]
        members: Vec<u32>,
        /// Shares of lost datagrams.
        #[arg(long, value_delimiter = ',', default_value = "0,0.05,0.1,0.2,0.3", value_parser = share)]
        losses: Vec<f64>,
        /// Seconds that mistakes are counted for.
        #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(15..=3600))]
        seconds: u64,
        /// Seeds.
        #[arg(long, value_delimiter = ',', default_value = "11,12,13")]
        seeds: Vec<u64>,
        /// A page to write the table into, between its markers.
        #[arg(long, value_name = "FILE")]
        into: Option<PathBuf>,
    },
    /// Read experiment files and tell how many cells they have, or what is wrong with them.
    Check {
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
}

fn rate(text: &str) -> Result<f64, String> {
    let rate: f64 = text.parse().map_err(|_| "is no number".to_owned())?;
    if (0.001..=1e6).contains(&rate) {
        Ok(rate)
    } else {
        Err("lies outside 0.001 to 1000000".into())
    }
}

fn share(text: &str) -> Result<f64, String> {
    let share: f64 = text.parse().map_err(|_| "is no number".to_owned())?;
    if (0.0..=1.0).contains(&share) {
        Ok(share)
    } else {
        Err("lies outside 0 to 1".into())
    }
}

/// What went wrong, and the exit code that says so.
struct Wrong(u8, String);

fn bad(why: String) -> Wrong {
    Wrong(2, why)
}

fn not_done(why: String) -> Wrong {
    Wrong(1, why)
}

fn read(file: &Path) -> Result<Experiment, Wrong> {
    let text = std::fs::read_to_string(file).map_err(|e| bad(format!("{}: {e}", file.display())))?;
    Experiment::parse(&text).map_err(|why| bad(format!("{}: {why}", file.display())))
}

fn main() -> ExitCode {
    // The agent itself, for cargo builds no other package's program to run this one. Its words are its own.
    if std::env::args_os().nth(1).is_some_and(|word| word == "agent") {
        return bellcroft::cli::main(std::env::args_os().skip(1));
    }
    match command(Args::parse().command) {
        Ok(code) => code,
        Err(Wrong(code, why)) => {
            eprintln!("experiments: {why}");
            ExitCode::from(code)
        }
    }
}

/// Plays one file on both, a seed after the other, with a line on standard error each second.
fn both(file: &Path) -> Result<sockets::Beside, Wrong> {
    let experiment = read(file)?;
    let scenario = sockets::as_both(&experiment.plain().map_err(bad)?);
    let wrong = |why: String| bad(format!("{}: {why}", file.display()));
    sockets::check(&scenario).map_err(wrong)?;
    let runtime = tokio::runtime::Runtime::new().map_err(|e| not_done(e.to_string()))?;
    let (mut model, mut real) = (Vec::new(), Vec::new());
    for seed in experiment.seeds() {
        let outcome = bellcroft_simulation::play(&scenario, bellcroft_simulation::Policy::Module, *seed);
        model.push(sockets::Figures::of_model(&outcome.map_err(|e| bad(e.to_string()))?));
        let told = |sent: u64| eprint!("\r{}: seed {seed}, {sent} sent ", experiment.name);
        real.push(
            runtime.block_on(sockets::play(&scenario, *seed, sockets::LATE_MOST, told)).map_err(not_done)?,
        );
        eprintln!();
    }
    sockets::beside(&experiment.name, &model, &real).ok_or_else(|| not_done("nothing was played".into()))
}

fn command(command: Command) -> Result<ExitCode, Wrong> {
    match command {
        Command::Sockets { files, json } => {
            let mut all = Vec::new();
            for file in &files {
                all.push(both(file)?);
            }
            if json {
                let figure = |(name, model, real): &(&str, experiments::Interval, experiments::Interval)| {
                    json!({"figure": name, "model": model.mean, "modelHalf": model.half,
                           "sockets": real.mean, "socketsHalf": real.half})
                };
                let one = |beside: &sockets::Beside| json!({"name": beside.name, "figures": beside.figures.iter().map(figure).collect::<Vec<_>>()});
                println!("{}", json!(all.iter().map(one).collect::<Vec<_>>()));
                return Ok(ExitCode::SUCCESS);
            }
            println!("| scenario | figure | model | sockets |\n| --- | --- | --- | --- |");
            for beside in &all {
                for (name, model, real) in &beside.figures {
                    println!("| {} | {name} | {model} | {real} |", beside.name);
                }
            }
            return Ok(ExitCode::SUCCESS);
        }
        Command::Run { file, out, threads, json } => {
            let experiment = read(&file)?;
            let path = out.unwrap_or_else(|| Path::new("found").join(file.file_stem().unwrap_or_default()));
            if let Some(threads) = threads {
                let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build_global();
                pool.map_err(|e| bad(format!("--threads: {e}")))?;
            }
            let folder = Folder::create(&path, &experiment).map_err(not_done)?;
            let done = run(&experiment, &folder, !json).map_err(not_done)?;
            let cells = folder.all().map_err(not_done)?.0;
            let (rows, broken) = (summarise(&cells), story::broken(&cells));
            let code = if broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE };
            broken.iter().for_each(|cell| tell_broken(cell, &folder.file(&cell.cell)));
            if json {
                let rows: Vec<_> = rows
                    .iter()
                    .map(|row| {
                        let figures: serde_json::Map<String, serde_json::Value> = row
                            .figures
                            .iter()
                            .map(|(name, i)| ((*name).to_owned(), json!({"mean": i.mean, "half": i.half})))
                            .collect();
                        json!({"point": row.point, "policy": row.policy.name(), "seeds": row.seeds, "figures": figures})
                    })
                    .collect();
                let broken: Vec<_> = broken
                    .iter()
                    .map(|b| json!({"cell": b.cell, "of": b.of, "count": b.count, "first": b.first}))
                    .collect();
                println!(
                    "{}",
                    json!({"there": done.there, "played": done.played, "rows": rows, "broken": broken})
                );
                return Ok(code);
            }
            let names: Vec<&str> =
                rows.first().map(|r| r.figures.keys().copied().collect()).unwrap_or_default();
            println!(
                "| point | policy | {} |\n| --- | --- |{}",
                names.join(" | "),
                " --- |".repeat(names.len())
            );
            for row in &rows {
                let point: Vec<String> =
                    row.point.iter().map(|(key, value)| format!("{key} = {value}")).collect();
                let figures: Vec<String> = row.figures.values().map(ToString::to_string).collect();
                println!("| {} | {} | {} |", point.join(", "), row.policy.name(), figures.join(" | "));
            }
            println!(
                "\n{} cells were there, {} were played; they are in {}",
                done.there,
                done.played,
                path.display()
            );
            return Ok(code);
        }
        Command::Trace { cell, request, json } => {
            let (stored, steps) = story::story(&cell, request).map_err(bad)?;
            if json {
                println!("{}", json!({"cell": stored.cell, "request": request, "steps": steps}));
                return Ok(ExitCode::SUCCESS);
            }
            println!("{}, seed {}, request {request}", stored.cell.policy.name(), stored.cell.seed);
            for step in &steps {
                let attempt = step.attempt.map_or(String::new(), |number| format!(" attempt {number}"));
                println!("{:>12.3} ms  {}{attempt}: {}", step.at as f64 / 1e3, step.request, step.what);
            }
        }
        Command::Report { dir, out } => {
            let page = report(&Folder::open(&dir).map_err(bad)?).map_err(not_done)?;
            let out = out.unwrap_or_else(|| dir.join("report.html"));
            std::fs::write(&out, page).map_err(|e| not_done(format!("{}: {e}", out.display())))?;
            println!("{}", out.display());
        }
        Command::Compare { before, after, json, exit_code } => {
            let (before, after) = (Folder::open(&before).map_err(bad)?, Folder::open(&after).map_err(bad)?);
            let (differences, shared) = compare(&before, &after).map_err(bad)?;
            if json {
                let lines: Vec<_> = differences
                    .iter()
                    .map(|d| json!({"of": d.of, "figure": d.figure, "before": d.before.mean, "after": d.after.mean}))
                    .collect();
                println!("{}", json!({"shared": shared, "differences": lines}));
            } else {
                for d in &differences {
                    println!("{}: {}: {} became {}", d.of, d.figure, d.before, d.after);
                }
                println!("{} figures differ beyond noise; {shared} points were compared", differences.len());
            }
            if exit_code && !differences.is_empty() {
                return Ok(ExitCode::FAILURE);
            }
        }
        Command::Load { file, target, rate, seconds, most, connections, seed, tenant, json } => {
            let load = Load {
                target,
                rate,
                lasts: std::time::Duration::from_secs(seconds),
                warm_up: std::time::Duration::ZERO,
                most,
                connections: connections as usize,
                seed,
                tenant,
                classes: read(&file)?.classes(),
                closed: false,
            };
            let runtime = tokio::runtime::Runtime::new().map_err(|e| not_done(e.to_string()))?;
            let loaded = runtime.block_on(load::run(load, |sent, answered| {
                if !json {
                    eprint!("\r{sent} sent, {answered} answered ");
                }
            }));
            return Ok(print_load(&loaded, json));
        }
        Command::Members { members, losses, seconds, seeds, into } => {
            let members = members.into_iter().map(|n| n as usize).collect();
            let plan = Plan { members, losses, seconds: seconds as f64, seeds };
            let table = members::table(&plan, |row| eprint!("{row}"));
            print!("{table}");
            if let Some(page) = into {
                testbed::write_into(&page, "measure:members", &table).map_err(bad)?;
            }
        }
        Command::Check { files } => {
            for file in &files {
                println!("{}: {} cells", file.display(), read(file)?.cells().len());
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Names a cell whose policy broke a rule, and the requests whose stories tell how.
fn tell_broken(cell: &story::Broken, file: &Path) {
    let file = file.display();
    eprintln!("experiments: {} broke rules {} times: {file}", cell.of, cell.count);
    for breach in cell.first.iter().take(BREACHES_TOLD) {
        let rule = format!("{:?}", breach.rule).to_lowercase();
        let story = breach.want.map(|want| format!("; experiments trace {file} {want} tells its story"));
        eprintln!("  {rule} at {} us{}", breach.at, story.unwrap_or_default());
    }
}

fn print_load(loaded: &Loaded, json: bool) -> ExitCode {
    let ms = |times: &hdrhistogram::Histogram<u64>, share: f64| times.value_at_quantile(share) as f64 / 1e3;
    if json {
        let classes: Vec<_> = loaded
            .classes
            .iter()
            .map(|c| {
                json!({"name": c.name, "sent": c.sent, "served": c.served, "refused": c.refused, "failed": c.failed,
                       "lost": c.lost, "inWantedTime": c.in_wanted, "p50Ms": ms(&c.times, 0.5),
                       "p99Ms": ms(&c.times, 0.99), "p999Ms": ms(&c.times, 0.999), "mostMs": ms(&c.times, 1.0)})
            })
            .collect();
        let (took, latest) = (loaded.took.as_secs_f64(), loaded.latest.as_secs_f64() * 1e3);
        println!("{}", json!({"classes": classes, "seconds": took, "late": loaded.late, "latestMs": latest}));
    } else {
        eprintln!();
        println!("| class | sent | served | refused | failed | lost | in wanted time | p50 ms | p99 ms | p99.9 ms | most ms |");
        println!("|{}", " --- |".repeat(11));
        for c in &loaded.classes {
            let wanted = c.in_wanted as f64 / c.sent.max(1) as f64 * 100.0;
            let times: Vec<String> =
                [0.5, 0.99, 0.999, 1.0].iter().map(|q| format!("{:.1}", ms(&c.times, *q))).collect();
            println!(
                "| {} | {} | {} | {} | {} | {} | {wanted:.2}% | {} |",
                c.name,
                c.sent,
                c.served,
                c.refused,
                c.failed,
                c.lost,
                times.join(" | ")
            );
        }
    }
    if loaded.late == 0 {
        return ExitCode::SUCCESS;
    }
    eprintln!(
        "experiments: {} requests left late although a connection was free, the latest by {:?}: this machine is too busy for the rate, and the times are its own in part",
        loaded.late, loaded.latest
    );
    ExitCode::FAILURE
}
