//! `testbed soak`.

use std::process::ExitCode;
use testbed::soak::{self, SoakPlan};

/// Exit code of a soak that the machine was too busy for.
const STARVED: u8 = 3;
/// Violations that are printed of each seed.
const MAX_PRINTED: usize = 20;

#[derive(clap::Args)]
pub struct Options {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds, one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Processes of the program.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=40))]
    instances: u64,
    /// Stand-in servers.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(2..=100))]
    servers: u64,
    /// Seconds of faults.
    #[arg(long, default_value_t = 30.0)]
    seconds: f64,
    /// Clients of each process.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(1..=50))]
    clients: u64,
    /// No system calls fail.
    #[arg(long)]
    calls_succeed: bool,
    /// Write the logs of the processes of a seed that breaks a rule into this folder.
    #[arg(long, value_name = "DIR")]
    logs: Option<std::path::PathBuf>,
    /// A JSON object a seed.
    #[arg(long)]
    json: bool,
}

pub async fn run(options: &Options) -> ExitCode {
    let (mut broken, mut starved) = (0, 0);
    for seed in options.seed..options.seed + options.seeds {
        let plan = SoakPlan {
            seed,
            instances: options.instances as usize,
            servers: options.servers as usize,
            seconds: options.seconds,
            clients: options.clients as usize,
            failing_calls: !options.calls_succeed,
        };
        let report = soak::run(plan).await;
        if options.json {
            println!("{}", serde_json::json!(report));
        } else {
            println!(
                "seed {seed}: {} violations, faults {:?}, {} failed calls, requests {:?}, after SIGTERM by tenths of a second {:?}, lag {:.0} ms",
                report.violations.len(),
                report.faults,
                report.failed_calls,
                report.requests,
                report.begun_after_sigterm,
                report.lag_ms
            );
            report.violations.iter().take(MAX_PRINTED).for_each(|line| println!("  VIOLATION: {line}"));
        }
        if let Some(folder) = options.logs.as_ref().filter(|_| !report.passed()) {
            if let Err(why) = write_logs(folder, seed, &report.logs) {
                eprintln!("testbed: {}: {why}", folder.display());
                return ExitCode::from(2);
            }
        }
        broken += usize::from(!report.passed() && !report.starved());
        starved += usize::from(report.starved());
    }
    match (broken, starved) {
        (0, 0) => ExitCode::SUCCESS,
        (0, _) => ExitCode::from(STARVED),
        _ => ExitCode::FAILURE,
    }
}

/// Writes the log of each slot into a file of its own.
fn write_logs(folder: &std::path::Path, seed: u64, logs: &[Vec<String>]) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    for (slot, lines) in logs.iter().enumerate() {
        std::fs::write(folder.join(format!("seed-{seed}-i{slot}.log")), lines.join("\n") + "\n")?;
    }
    Ok(())
}
