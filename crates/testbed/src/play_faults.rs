//! `testbed faults`.

use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;
use testbed::faults::{play, Timeline};

/// Exit code of a play that the machine was too busy for.
const STARVED: u8 = 3;

#[derive(clap::Args)]
pub struct Options {
    /// A timeline of faults, such as deploy/faults/partition.toml.
    #[arg(value_name = "FILE")]
    file: PathBuf,
    /// For programs: the verdict as JSON.
    #[arg(long)]
    json: bool,
    /// Write the merged record of what each process was told, said and did, a JSON object a line.
    #[arg(long, value_name = "FILE")]
    record: Option<PathBuf>,
}

pub async fn run(options: &Options) -> ExitCode {
    let timeline = match Timeline::read(&options.file) {
        Ok(timeline) => timeline,
        Err(why) => {
            eprintln!("testbed: {why}");
            return ExitCode::from(2);
        }
    };
    let lively = std::io::stderr().is_terminal();
    let quiet = options.json;
    if !quiet {
        println!("{}: {} programs, {} servers", timeline.name, timeline.instances, timeline.servers);
    }
    let (verdict, entries) = play(&timeline, |second, entries, requests| {
        if lively {
            eprint!("\r{second:>5.0} of {:.0} s, {requests} requests ", timeline.seconds);
        }
        let lines = entries.iter().filter(|e| e.kind == "did" || e.what.contains("stance is"));
        for entry in lines.filter(|_| !quiet) {
            println!("{second:>5.0} s  {:<4} {:<4} {}", entry.who, entry.kind, entry.what);
        }
    })
    .await;
    if let Some(file) = &options.record {
        let lines: String = entries.iter().map(|e| serde_json::json!(e).to_string() + "\n").collect();
        if let Err(e) = std::fs::write(file, lines) {
            eprintln!("testbed: {}: {e}", file.display());
            return ExitCode::from(2);
        }
    }
    if options.json {
        println!("{}", serde_json::json!(verdict));
    } else {
        if lively {
            eprintln!();
        }
        println!("requests: {:?}", verdict.requests);
        for breach in verdict.breaches.iter().take(10) {
            println!("BREACH: {breach}");
        }
        for request in verdict.unanswered.iter().take(10) {
            println!("NO ANSWER: {request}");
        }
        verdict.mistaken.iter().take(10).for_each(|told| println!("called dead by mistake: {told}"));
        match verdict.agreed_after {
            Some(after) => println!("one view {after:.1} s into the quiet tail"),
            None => println!("NO ONE VIEW in the quiet tail"),
        }
        println!(
            "{} breaches, {} without an answer; the testbed's own clock lagged by {:.0} ms at most",
            verdict.breaches.len(),
            verdict.unanswered.len(),
            verdict.lag_ms
        );
    }
    match (verdict.good(), verdict.starved()) {
        (true, _) => ExitCode::SUCCESS,
        (false, true) => {
            eprintln!("testbed: the machine was too busy to tell; play it again");
            ExitCode::from(STARVED)
        }
        (false, false) => ExitCode::FAILURE,
    }
}
