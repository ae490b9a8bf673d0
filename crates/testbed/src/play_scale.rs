//! `testbed scale`.

use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use testbed::scale::{
    model_table, page_block, read_results, run, summary_table, Machine, RunResult, Scenario,
};
use tokio::signal::unix::{signal, SignalKind};

/// Exit code of runs that the machine could not keep up with.
const VOID: u8 = 3;
/// The block of the page that the tables go into.
const MARKER: &str = "measure:scale";
/// And that of the model's.
const MODEL_MARKER: &str = "measure:scale-model";
/// And that of the model's with loss.
const MODEL_LOSS_MARKER: &str = "measure:scale-model-loss";
/// Seed of the model's fleets.
const MODEL_SEED: u64 = 43;

#[derive(clap::Args)]
pub struct Options {
    /// A scenario, such as deploy/scale/sizes.toml; without one the results of former runs are read.
    #[arg(value_name = "FILE", required_unless_present_any = ["results", "model"])]
    file: Option<PathBuf>,
    /// Append each run's result to this file, a JSON object a line; tables are made of all that it holds.
    #[arg(long, value_name = "FILE")]
    results: Option<PathBuf>,
    /// A page to write the tables into, between its markers.
    #[arg(long, value_name = "FILE")]
    into: Option<PathBuf>,
    /// Instead of a run: membership of fleets of these sizes in the model, all members started at once.
    #[arg(long, value_name = "SIZES", value_delimiter = ',', conflicts_with_all = ["file", "results"])]
    model: Vec<usize>,
    /// Shares of datagrams that the model drops.
    #[arg(long, value_name = "SHARES", value_delimiter = ',', default_value = "0", requires = "model")]
    losses: Vec<f64>,
    /// For programs: the results as JSON, a line each.
    #[arg(long)]
    json: bool,
}

pub async fn play(options: &Options) -> ExitCode {
    if !options.model.is_empty() {
        return play_model(options);
    }
    let mut results = Vec::new();
    if let Some(file) = &options.file {
        match play_scenario(file, options).await {
            Ok(played) => results = played,
            Err((why, code)) => {
                eprintln!("testbed: {why}");
                return code;
            }
        }
    }
    let void = results.iter().any(|result| !result.void.is_empty());
    if let Some(file) = &options.results {
        match read_results(file) {
            Ok(all) => results = all,
            Err(why) => {
                eprintln!("testbed: {why}");
                return ExitCode::from(2);
            }
        }
    }
    if !options.json {
        print!("{}", if options.into.is_some() { page_block(&results) } else { summary_table(&results) });
    }
    if let Some(page) = &options.into {
        if let Err(why) = testbed::write_into(page, MARKER, &page_block(&results)) {
            eprintln!("testbed: {why}");
            return ExitCode::from(2);
        }
    }
    if void {
        ExitCode::from(VOID)
    } else {
        ExitCode::SUCCESS
    }
}

fn play_model(options: &Options) -> ExitCode {
    let table = model_table(&options.model, &options.losses, MODEL_SEED);
    print!("{table}");
    let lossy = options.losses.iter().any(|loss| *loss > 0.0);
    let marker = if lossy { MODEL_LOSS_MARKER } else { MODEL_MARKER };
    match options.into.as_deref().map(|page| testbed::write_into(page, marker, &table)) {
        Some(Err(why)) => {
            eprintln!("testbed: {why}");
            ExitCode::from(2)
        }
        _ => ExitCode::SUCCESS,
    }
}

async fn play_scenario(file: &Path, options: &Options) -> Result<Vec<RunResult>, (String, ExitCode)> {
    let bad_input = |why: String| (why, ExitCode::from(2));
    let scenario = Scenario::read(file).map_err(|e| bad_input(e.to_string()))?;
    scenario.check(&Machine::this()).map_err(|e| bad_input(format!("{}: {e}", file.display())))?;
    let lively = std::io::stderr().is_terminal();
    let mut results = Vec::new();
    let mut interrupted = std::pin::pin!(interrupted());
    // Each round plays all sizes, so that whatever drifts falls on all of them.
    for number in 1..=scenario.runs {
        for &hollow in &scenario.hollow {
            let progress = |what: &str| {
                if lively {
                    eprint!("\r\x1b[K{hollow} hollow, run {number} of {}: {what}", scenario.runs);
                }
            };
            let played = tokio::select! {
                played = run(&scenario, (hollow, number), progress) => played,
                // The run's processes end with it.
                () = &mut interrupted => return Err(("interrupted".to_owned(), ExitCode::FAILURE)),
            };
            if lively {
                eprintln!();
            }
            let result = played.map_err(|e| (e.to_string(), ExitCode::FAILURE))?;
            keep(&result, options).map_err(bad_input)?;
            results.push(result);
        }
    }
    Ok(results)
}

/// At once, for a later run may fail.
fn keep(result: &RunResult, options: &Options) -> Result<(), String> {
    let line = serde_json::to_string(result).map_err(|e| e.to_string())?;
    if options.json {
        println!("{line}");
    }
    let Some(file) = &options.results else { return Ok(()) };
    let opened = std::fs::OpenOptions::new().create(true).append(true).open(file);
    let written = opened.and_then(|mut file| writeln!(file, "{line}"));
    written.map_err(|e| format!("{}: {e}", file.display()))
}

/// Waits for SIGINT or SIGTERM.
async fn interrupted() {
    let mut signals = Vec::new();
    for kind in [SignalKind::interrupt(), SignalKind::terminate()] {
        // Without a handler the signal ends the program at once, as it does anyway.
        signals.extend(signal(kind));
    }
    match signals.as_mut_slice() {
        [interrupt, terminate] => tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        },
        _ => std::future::pending().await,
    }
}
