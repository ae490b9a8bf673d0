//! Command line of the experiments: simulates them, and traces, reports and compares their results.

use clap::{Parser, Subcommand};
use experiments::load::{self, Load, LoadResult};
use experiments::members::{self, Plan};
use experiments::{compare, report, run, sockets, summarise, violations, Experiment, ResultsDir};
use serde_json::json;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Maximum number of rule violations printed for one cell.
const MAX_VIOLATIONS_PRINTED: usize = 5;

/// Run experiments on the simulated deployment.
///
/// Exit codes: 0 success, 1 failure (disk error, lock, rule violation, or a difference with --exit-code), 2 invalid
/// input.
#[derive(Parser)]
#[command(name = "experiments", version, max_term_width = 100)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Simulate each cell of an experiment that is not stored yet, on all cores, and print a table.
    Run {
        /// Experiment file, such as deploy/experiments/calm.toml.
        file: PathBuf,
        /// Directory for results [default: found/NAME].
        #[arg(long, value_name = "DIR")]
        out: Option<PathBuf>,
        /// Number of threads [default: all cores].
        #[arg(long)]
        threads: Option<usize>,
        /// Print JSON instead of a table.
        #[arg(long)]
        json: bool,
    },
    /// Simulate a stored cell again and print the steps of one request: retries, attempts, responses and losses.
    Trace {
        /// File of the cell, such as found/retry-storm/cells/0123456789abcdef01234567.json.
        #[arg(value_name = "CELL")]
        cell: PathBuf,
        /// Number of the client's first request; `experiments run` prints those that violated a rule.
        request: u64,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Write one self-contained HTML page with tables and charts.
    Report {
        /// Directory of results.
        dir: PathBuf,
        /// File to write [default: DIR/report.html].
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// Print statistically significant differences between two directories of results.
    Compare {
        /// First directory of results.
        before: PathBuf,
        /// Second directory of results.
        after: PathBuf,
        /// Print JSON.
        #[arg(long)]
        json: bool,
        /// Exit with code 1 if any figure differs.
        #[arg(long)]
        exit_code: bool,
    },
    /// Generate open-loop load for a real agent; latencies count from the scheduled times.
    ///
    /// Exits with code 1 if the generator could not keep the schedule.
    Load {
        /// Experiment file whose request classes are used.
        file: PathBuf,
        /// Address of the agent, such as 127.0.0.1:8443.
        #[arg(long)]
        target: std::net::SocketAddr,
        /// Requests per second.
        #[arg(long, default_value_t = 100.0, value_parser = parse_rate)]
        rate: f64,
        /// Duration in seconds.
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=3600))]
        seconds: u64,
        /// Maximum number of requests.
        #[arg(long, default_value_t = 1_000_000)]
        most: u64,
        /// Maximum number of connections.
        #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u64).range(1..=10_000))]
        connections: u64,
        /// Seed of the random schedule.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Value of the `X-Tenant-Id` header.
        #[arg(long, default_value = "acme")]
        tenant: String,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Run a small experiment on the model and on loopback sockets with the real program, and print both results.
    ///
    /// Both use the module policy and the experiment's seeds; the sweep is ignored.
    Sockets {
        /// Experiment files, such as deploy/experiments/sockets/calm.toml.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Simulate fleets of members, and print failure detection times, false positives and traffic in comparison with SWIM
    /// of the foca crate.
    Members {
        /// Fleet sizes.
        #[arg(long, value_delimiter = ',', default_value = "50,500,2000,10000",
              value_parser = clap::value_parser!(u32).range(2..=20_000))]
        members: Vec<u32>,
        /// Loss rates of datagrams.
        #[arg(long, value_delimiter = ',', default_value = "0,0.05,0.1,0.2,0.3", value_parser = parse_share)]
        losses: Vec<f64>,
        /// Seconds during which false positives are counted.
        #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(15..=3600))]
        seconds: u64,
        /// Seeds of the runs.
        #[arg(long, value_delimiter = ',', default_value = "11,12,13")]
        seeds: Vec<u64>,
        /// Page that receives the table between its markers.
        #[arg(long, value_name = "FILE")]
        into: Option<PathBuf>,
    },
    /// Validate experiment files and print their numbers of cells.
    Check {
        /// Experiment files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
}

fn parse_rate(text: &str) -> Result<f64, String> {
    let rate: f64 = text.parse().map_err(|_| "is not a number".to_owned())?;
    if (0.001..=1e6).contains(&rate) {
        Ok(rate)
    } else {
        Err("must be from 0.001 to 1000000".into())
    }
}

fn parse_share(text: &str) -> Result<f64, String> {
    let share: f64 = text.parse().map_err(|_| "is not a number".to_owned())?;
    if (0.0..=1.0).contains(&share) {
        Ok(share)
    } else {
        Err("must be from 0 to 1".into())
    }
}

/// An exit code and the error message to print.
struct CommandError(u8, String);

fn invalid_input(message: String) -> CommandError {
    CommandError(2, message)
}

fn failure(message: String) -> CommandError {
    CommandError(1, message)
}

fn read_experiment(file: &Path) -> Result<Experiment, CommandError> {
    let text =
        std::fs::read_to_string(file).map_err(|e| invalid_input(format!("{}: {e}", file.display())))?;
    Experiment::parse(&text).map_err(|reason| invalid_input(format!("{}: {reason}", file.display())))
}

fn main() -> ExitCode {
    // Runs the agent, since cargo does not build the agent's own program for this package. The agent parses the rest of
    // the arguments.
    if std::env::args_os().nth(1).is_some_and(|word| word == "agent") {
        return bellcroft::cli::main(std::env::args_os().skip(1));
    }
    match execute(Args::parse().command) {
        Ok(code) => code,
        Err(CommandError(code, message)) => {
            eprintln!("experiments: {message}");
            ExitCode::from(code)
        }
    }
}

/// Runs one experiment on the model and on sockets, one seed after the other, with progress on standard error.
fn run_model_and_sockets(file: &Path) -> Result<sockets::Comparison, CommandError> {
    let experiment = read_experiment(file)?;
    let scenario = sockets::without_network_delays(&experiment.base_scenario().map_err(invalid_input)?);
    let error = |reason: String| invalid_input(format!("{}: {reason}", file.display()));
    sockets::check(&scenario).map_err(error)?;
    let runtime = tokio::runtime::Runtime::new().map_err(|e| failure(e.to_string()))?;
    let (mut model, mut real) = (Vec::new(), Vec::new());
    for seed in experiment.seeds() {
        let outcome = bellcroft_simulation::play(&scenario, bellcroft_simulation::Policy::Module, *seed);
        model.push(sockets::Figures::of_model(&outcome.map_err(|e| invalid_input(e.to_string()))?));
        let on_progress = |sent: u64| eprint!("\r{}: seed {seed}, {sent} sent ", experiment.name);
        real.push(
            runtime
                .block_on(sockets::play(&scenario, *seed, sockets::MAX_LATE_SHARE, on_progress))
                .map_err(failure)?,
        );
        eprintln!();
    }
    sockets::compare_runs(&experiment.name, &model, &real)
        .ok_or_else(|| failure("the experiment has no runs".into()))
}

fn execute(command: Command) -> Result<ExitCode, CommandError> {
    match command {
        Command::Sockets { files, json } => {
            let mut comparisons = Vec::new();
            for file in &files {
                comparisons.push(run_model_and_sockets(file)?);
            }
            if json {
                let figure = |(name, model, real): &(&str, experiments::Interval, experiments::Interval)| {
                    json!({"figure": name, "model": model.mean, "modelHalf": model.half,
                           "sockets": real.mean, "socketsHalf": real.half})
                };
                let to_json = |comparison: &sockets::Comparison| json!({"name": comparison.name, "figures": comparison.figures.iter().map(figure).collect::<Vec<_>>()});
                println!("{}", json!(comparisons.iter().map(to_json).collect::<Vec<_>>()));
                return Ok(ExitCode::SUCCESS);
            }
            println!("| scenario | figure | model | sockets |\n| --- | --- | --- | --- |");
            for comparison in &comparisons {
                for (name, model, real) in &comparison.figures {
                    println!("| {} | {name} | {model} | {real} |", comparison.name);
                }
            }
            return Ok(ExitCode::SUCCESS);
        }
        Command::Run { file, out, threads, json } => {
            let experiment = read_experiment(&file)?;
            let path = out.unwrap_or_else(|| Path::new("found").join(file.file_stem().unwrap_or_default()));
            if let Some(threads) = threads {
                let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build_global();
                pool.map_err(|e| invalid_input(format!("--threads: {e}")))?;
            }
            let results = ResultsDir::create(&path, &experiment).map_err(failure)?;
            let counts = run(&experiment, &results, !json).map_err(failure)?;
            let cells = results.load_all().map_err(failure)?.0;
            let (rows, violations) = (summarise(&cells), violations::violations(&cells));
            let code = if violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE };
            violations.iter().for_each(|cell| print_violations(cell, &results.cell_path(&cell.cell)));
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
                let violations: Vec<_> = violations
                    .iter()
                    .map(|v| json!({"cell": v.cell, "of": v.description, "count": v.count, "first": v.first}))
                    .collect();
                println!(
                    "{}",
                    json!({"there": counts.already_stored, "played": counts.played, "rows": rows, "broken": violations})
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
                "\n{} cells were already stored, {} were simulated; results are in {}",
                counts.already_stored,
                counts.played,
                path.display()
            );
            return Ok(code);
        }
        Command::Trace { cell, request, json } => {
            let (stored, steps) = violations::trace_request(&cell, request).map_err(invalid_input)?;
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
            let page = report(&ResultsDir::open(&dir).map_err(invalid_input)?).map_err(failure)?;
            let out = out.unwrap_or_else(|| dir.join("report.html"));
            std::fs::write(&out, page).map_err(|e| failure(format!("{}: {e}", out.display())))?;
            println!("{}", out.display());
        }
        Command::Compare { before, after, json, exit_code } => {
            let (before, after) = (
                ResultsDir::open(&before).map_err(invalid_input)?,
                ResultsDir::open(&after).map_err(invalid_input)?,
            );
            let (differences, shared) = compare(&before, &after).map_err(invalid_input)?;
            if json {
                let lines: Vec<_> = differences
                    .iter()
                    .map(|d| json!({"of": d.cell, "figure": d.figure, "before": d.before.mean, "after": d.after.mean}))
                    .collect();
                println!("{}", json!({"shared": shared, "differences": lines}));
            } else {
                for d in &differences {
                    println!("{}: {}: {} became {}", d.cell, d.figure, d.before, d.after);
                }
                println!("{} figures differ significantly; {shared} points were compared", differences.len());
            }
            if exit_code && !differences.is_empty() {
                return Ok(ExitCode::FAILURE);
            }
        }
        Command::Load { file, target, rate, seconds, most, connections, seed, tenant, json } => {
            let load = Load {
                target,
                rate,
                duration: std::time::Duration::from_secs(seconds),
                warm_up: std::time::Duration::ZERO,
                max_requests: most,
                connections: connections as usize,
                seed,
                tenant,
                classes: read_experiment(&file)?.classes(),
                closed_loop: false,
            };
            let runtime = tokio::runtime::Runtime::new().map_err(|e| failure(e.to_string()))?;
            let result = runtime.block_on(load::run(load, |sent, finished| {
                if !json {
                    eprint!("\r{sent} sent, {finished} finished ");
                }
            }));
            return Ok(print_load(&result, json));
        }
        Command::Members { members, losses, seconds, seeds, into } => {
            let members = members.into_iter().map(|n| n as usize).collect();
            let plan = Plan { members, losses, seconds: seconds as f64, seeds };
            let table = members::table(&plan, |row| eprint!("{row}"));
            print!("{table}");
            if let Some(page) = into {
                testbed::write_into(&page, "measure:members", &table).map_err(invalid_input)?;
            }
        }
        Command::Check { files } => {
            for file in &files {
                println!("{}: {} cells", file.display(), read_experiment(file)?.cells().len());
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints the rule violations of a cell with the commands that trace them.
fn print_violations(cell: &violations::CellViolations, file: &Path) {
    let file = file.display();
    eprintln!("experiments: {} violated rules {} times: {file}", cell.description, cell.count);
    for breach in cell.first.iter().take(MAX_VIOLATIONS_PRINTED) {
        let rule = format!("{:?}", breach.rule).to_lowercase();
        let trace = breach.want.map(|want| format!("; to trace it: experiments trace {file} {want}"));
        eprintln!("  {rule} at {} us{}", breach.at, trace.unwrap_or_default());
    }
}

fn print_load(result: &LoadResult, json: bool) -> ExitCode {
    let ms = |latencies: &hdrhistogram::Histogram<u64>, q: f64| latencies.value_at_quantile(q) as f64 / 1e3;
    if json {
        let classes: Vec<_> = result
            .classes
            .iter()
            .map(|c| {
                json!({"name": c.name, "sent": c.sent, "served": c.served, "refused": c.rejected, "failed": c.failed,
                       "lost": c.lost, "inWantedTime": c.within_objective, "p50Ms": ms(&c.latencies, 0.5),
                       "p99Ms": ms(&c.latencies, 0.99), "p999Ms": ms(&c.latencies, 0.999), "mostMs": ms(&c.latencies, 1.0)})
            })
            .collect();
        let (elapsed, max_lag) = (result.elapsed.as_secs_f64(), result.max_lag.as_secs_f64() * 1e3);
        println!(
            "{}",
            json!({"classes": classes, "seconds": elapsed, "late": result.late, "latestMs": max_lag})
        );
    } else {
        eprintln!();
        println!("| class | sent | served | refused | failed | lost | in wanted time | p50 ms | p99 ms | p99.9 ms | most ms |");
        println!("|{}", " --- |".repeat(11));
        for c in &result.classes {
            let within_objective = c.within_objective as f64 / c.sent.max(1) as f64 * 100.0;
            let times: Vec<String> =
                [0.5, 0.99, 0.999, 1.0].iter().map(|q| format!("{:.1}", ms(&c.latencies, *q))).collect();
            println!(
                "| {} | {} | {} | {} | {} | {} | {within_objective:.2}% | {} |",
                c.name,
                c.sent,
                c.served,
                c.rejected,
                c.failed,
                c.lost,
                times.join(" | ")
            );
        }
    }
    if result.late == 0 {
        return ExitCode::SUCCESS;
    }
    eprintln!(
        "experiments: {} requests were sent late although a connection was free, by up to {:?}: this machine is too busy for the rate, so the latencies are overstated",
        result.late, result.max_lag
    );
    ExitCode::FAILURE
}
