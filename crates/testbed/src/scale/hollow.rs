//! A hollow process: the control parts of many agents on one thread.
//!
//! Standard output tells the harness `up`, then after the line `go` on standard input `ready` when all agents run, and each
//! second `lag` with the longest oversleep in milliseconds. SIGHUP has every agent read its files again; SIGTERM ends it
//! in order; the end of standard input ends it at once, so that no hollow process outlives its harness.

use super::lag::LagWatch;
use bellcroft::ControlPlane;
use serde::{Deserialize, Serialize};
use std::io::{BufRead, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;

/// From one agent's start to the next.
const START_INTERVAL: Duration = Duration::from_millis(5);
/// From one line on the lag to the next.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The files of one hollow agent.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AgentFiles {
    /// The platform's configuration.
    pub config: PathBuf,
    /// The operator's file.
    pub operator: PathBuf,
}

/// What a hollow process tells its harness, a line each.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum HollowReport {
    /// It runs and holds no agent yet.
    Up,
    /// All its agents run.
    Ready,
    /// Its longest oversleep since the last such line, in milliseconds.
    Lag(f64),
}

impl HollowReport {
    /// Reads a line.
    pub fn parse(line: &str) -> Option<Self> {
        match line.trim().split_once(' ') {
            Some(("lag", ms)) => ms.parse().ok().map(HollowReport::Lag),
            None if line.trim() == "up" => Some(HollowReport::Up),
            None if line.trim() == "ready" => Some(HollowReport::Ready),
            _ => None,
        }
    }

    fn print(self) {
        let line = match self {
            HollowReport::Up => "up".to_owned(),
            HollowReport::Ready => "ready".to_owned(),
            HollowReport::Lag(ms) => format!("lag {ms:.1}"),
        };
        // A harness that has gone closes standard input too, which ends this process.
        let _ = writeln!(std::io::stdout(), "{line}");
    }
}

/// Runs the agents that a file names until the harness ends them.
pub fn run_hollow(file: &Path) -> ExitCode {
    let agents = match read_assignments(file) {
        Ok(agents) => agents,
        Err(why) => {
            eprintln!("testbed hollow: {}: {why}", file.display());
            return ExitCode::from(2);
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("testbed hollow: cannot start the runtime: {e}");
            return ExitCode::FAILURE;
        }
    };
    let ended = tokio::task::LocalSet::new().block_on(&runtime, serve(&agents));
    // A blocked read of standard input must not hold the process.
    runtime.shutdown_background();
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("testbed hollow: {why}");
            ExitCode::FAILURE
        }
    }
}

fn read_assignments(file: &Path) -> Result<Vec<AgentFiles>, String> {
    let text = std::fs::read_to_string(file).map_err(|e| e.to_string())?;
    serde_json::from_str(&text).map_err(|e| e.to_string())
}

/// The lines of standard input; the channel closes with it.
fn input_lines() -> mpsc::UnboundedReceiver<String> {
    let (sender, receiver) = mpsc::unbounded_channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if sender.send(line).is_err() {
                return;
            }
        }
    });
    receiver
}

async fn serve(files: &[AgentFiles]) -> Result<(), String> {
    let mut hang_up = signal(SignalKind::hangup()).map_err(|e| format!("cannot await SIGHUP: {e}"))?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("cannot await SIGTERM: {e}"))?;
    let mut input = input_lines();
    HollowReport::Up.print();
    if input.recv().await.is_none() {
        return Ok(());
    }
    let agents = start_agents(files).await?;
    HollowReport::Ready.print();
    let lag = LagWatch::start();
    let mut report = tokio::time::interval(REPORT_INTERVAL);
    loop {
        tokio::select! {
            _ = hang_up.recv() => reload(&agents).await,
            _ = terminate.recv() => break,
            _ = report.tick() => HollowReport::Lag(lag.take().max.as_secs_f64() * 1e3).print(),
            line = input.recv() => if line.is_none() { return Ok(()) },
        }
    }
    stop_agents(agents).await;
    Ok(())
}

async fn start_agents(files: &[AgentFiles]) -> Result<Vec<Rc<ControlPlane>>, String> {
    let mut agents = Vec::with_capacity(files.len());
    for AgentFiles { config, operator } in files {
        let agent = ControlPlane::open(operator, config).await;
        agents.push(agent.map_err(|why| format!("{}: {why}", operator.display()))?);
        tokio::time::sleep(START_INTERVAL).await;
    }
    Ok(agents)
}

/// All at once, for each waits for its receiver.
async fn stop_agents(agents: Vec<Rc<ControlPlane>>) {
    let stops: Vec<_> =
        agents.into_iter().map(|agent| tokio::task::spawn_local(async move { agent.stop().await })).collect();
    for stop in stops {
        if let Err(e) = stop.await {
            eprintln!("testbed hollow: an agent's end: {e}");
        }
    }
}

async fn reload(agents: &[Rc<ControlPlane>]) {
    for agent in agents {
        if let Err(why) = agent.reload() {
            eprintln!("testbed hollow: reload: {why}");
        }
        // Each real agent is a process of its own: others must not wait for this one's files.
        tokio::task::yield_now().await;
    }
}
