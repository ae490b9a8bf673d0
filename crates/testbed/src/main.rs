//! `testbed demo` shows an agent at work between stand-ins; `testbed measure` measures one.

mod demo;
mod measure;
mod measure_membership;
mod measure_path;
mod measure_routes;
mod measure_telemetry;
mod play_faults;
mod play_scale;
mod play_soak;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// Stand-ins around the real agent, on loopback.
#[derive(Parser)]
#[command(name = "testbed", version, max_term_width = 100)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Start servers, one agent and steady traffic of three classes; slow one server half way; end with a table.
    Demo(demo::Options),
    /// Play a timeline of faults on many whole programs; exit code 1 if a rule broke or they don't agree again, 3 if the
    /// machine was too busy to tell.
    Faults(play_faults::Options),
    /// Play randomized faults that overlap in time on many real programs; exit code 1 if a rule broke, 3 if the machine was too
    /// busy to tell.
    Soak(play_soak::Options),
    /// Run real agents beside many hollow ones and measure what one of them takes; exit code 3 if the machine could not keep
    /// up.
    Scale(play_scale::Options),
    /// A process of hollow agents; the scale run starts it.
    #[command(hide = true)]
    Hollow {
        /// The agents' files.
        file: std::path::PathBuf,
    },
    /// Run unit tests of alert rules, in the format of Prometheus; exit code 1 if an expectation is not met.
    Alerts {
        /// Files such as deploy/alerts/bellcroft.test.yml.
        #[arg(required = true)]
        files: Vec<std::path::PathBuf>,
    },
    /// Print the table of all series that an instance sends.
    Metrics {
        /// A page to write the table into, between its markers.
        #[arg(long, value_name = "FILE")]
        into: Option<std::path::PathBuf>,
    },
    /// Measure something and print a table.
    #[command(subcommand)]
    Measure(measure::What),
}

fn main() -> ExitCode {
    // The agent itself, for cargo builds no other package's program to run this one. Its words are its own.
    if std::env::args_os().nth(1).is_some_and(|word| word == "agent") {
        return bellcroft::cli::main(std::env::args_os().skip(1));
    }
    let args = Args::parse();
    if let Command::Hollow { file } = &args.command {
        // On one thread of its own.
        return testbed::scale::run_hollow(file);
    }
    if let Command::Measure(measure::What::Fleet(options)) = &args.command {
        if let Some(program) = &options.program {
            // Before there is any other thread.
            std::env::set_var("BELLCROFT_PROGRAM", program);
        }
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("testbed: cannot start the runtime: {e}");
            return ExitCode::FAILURE;
        }
    };
    match args.command {
        Command::Alerts { files } => alerts(&files),
        Command::Metrics { into } => measure::table(&testbed::metrics_table(), into.as_deref(), "metrics"),
        Command::Hollow { file } => testbed::scale::run_hollow(&file),
        Command::Scale(options) => runtime.block_on(play_scale::play(&options)),
        Command::Soak(options) => runtime.block_on(play_soak::run(&options)),
        Command::Faults(options) => runtime.block_on(play_faults::run(&options)),
        Command::Demo(options) => runtime.block_on(demo::run(&options)),
        Command::Measure(measure::What::Membership(options)) => {
            runtime.block_on(measure_membership::run(&options))
        }
        Command::Measure(measure::What::Path(options)) => runtime.block_on(measure_path::run(&options)),
        Command::Measure(measure::What::Routes(options)) => runtime.block_on(measure_routes::run(&options)),
        Command::Measure(measure::What::Telemetry(options)) => {
            runtime.block_on(measure_telemetry::run(&options))
        }
        Command::Measure(measure::What::Alerts(options)) => {
            runtime.block_on(measure_telemetry::alerts(&options))
        }
        Command::Measure(measure::What::Fleet(options)) => runtime.block_on(measure::fleet(&options)),
    }
}

fn alerts(files: &[std::path::PathBuf]) -> ExitCode {
    let mut code = ExitCode::SUCCESS;
    for file in files {
        match testbed::run_unit_tests(file) {
            Ok(tally) => {
                tally.failed.iter().for_each(|failure| println!("FAILED: {failure}"));
                println!("{}: {} checked, {} failed", file.display(), tally.checked, tally.failed.len());
                if !tally.failed.is_empty() {
                    code = ExitCode::FAILURE;
                }
            }
            Err(why) => {
                eprintln!("testbed: {why}");
                return ExitCode::from(2);
            }
        }
    }
    code
}
