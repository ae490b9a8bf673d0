//! The processes of a run: started, watched, ended, each with its last lines at hand.

use super::hollow::HollowReport;
use super::run::RunError;
use std::collections::VecDeque;
use std::fmt;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncWriteExt, BufReader};
use tokio::process::{Child, ChildStdin, Command};

/// Lines of a process's log that are kept.
const KEPT_LINES: usize = 20;

/// A process ended that was to go on.
#[derive(Debug, Clone)]
pub struct ProcessEnded {
    /// Its name.
    pub name: String,
    /// How.
    pub status: ExitStatus,
    /// The last lines of its log.
    pub last_lines: Vec<String>,
}

impl fmt::Display for ProcessEnded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ended: {}", self.name, self.status)?;
        self.last_lines.iter().try_for_each(|line| write!(f, "\n  {line}"))
    }
}

#[derive(Debug, Default)]
struct Output {
    lines: VecDeque<String>,
    up: bool,
    ready: bool,
    lag_ms: f64,
}

/// One process of a run.
pub struct RunProcess {
    /// Its name in messages.
    pub name: String,
    /// Agents that it holds.
    pub agents: Vec<usize>,
    /// Resident memory before it held an agent, in MiB.
    pub base_mib: f64,
    child: Child,
    input: Option<ChildStdin>,
    output: Arc<Mutex<Output>>,
    expected_to_end: bool,
}

fn lock(output: &Mutex<Output>) -> MutexGuard<'_, Output> {
    output.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The testbed's own program, which plays agents and hollow processes; in tests it lies beside them, built by cargo.
fn rig_program() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_else(|_| PathBuf::from("testbed"));
    if own.file_stem().is_some_and(|name| name == "testbed") {
        return own;
    }
    own.parent().and_then(Path::parent).map_or(own.clone(), |folder| folder.join("testbed"))
}

impl RunProcess {
    /// Starts a hollow process; its agents wait for [`RunProcess::go`].
    ///
    /// # Errors
    ///
    /// It cannot be started.
    pub fn hollow(name: String, assignments: &Path, agents: Vec<usize>) -> std::io::Result<Self> {
        let mut command = Command::new(rig_program());
        command.arg("hollow").arg(assignments).stdin(Stdio::piped()).stdout(Stdio::piped());
        Self::spawn(name, command, agents)
    }

    /// Starts a real agent.
    ///
    /// # Errors
    ///
    /// It cannot be started.
    pub fn real(name: String, (config, operator): (&Path, &Path), agent: usize) -> std::io::Result<Self> {
        let mut command = Command::new(rig_program());
        command.args(["agent", "run", "--log-level", "warn", "--operator"]).arg(operator);
        command.arg("--config").arg(config).stdin(Stdio::null()).stdout(Stdio::null());
        Self::spawn(name, command, vec![agent])
    }

    fn spawn(name: String, mut command: Command, agents: Vec<usize>) -> std::io::Result<Self> {
        command.env_clear().env("PATH", "/usr/bin:/bin").stderr(Stdio::piped()).kill_on_drop(true);
        let mut child = command.spawn()?;
        let output = Arc::<Mutex<Output>>::default();
        if let Some(log) = child.stderr.take() {
            tokio::spawn(keep_lines(log, output.clone()));
        }
        if let Some(reports) = child.stdout.take() {
            tokio::spawn(take_reports(reports, output.clone()));
        }
        let input = child.stdin.take();
        Ok(RunProcess { name, agents, base_mib: 0.0, child, input, output, expected_to_end: false })
    }

    /// Its number, while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.id()
    }

    /// Whether a hollow process runs.
    pub fn is_up(&self) -> bool {
        lock(&self.output).up
    }

    /// Whether all agents of a hollow process run.
    pub fn is_ready(&self) -> bool {
        lock(&self.output).ready
    }

    /// Has a hollow process start its agents.
    ///
    /// # Errors
    ///
    /// It has ended.
    pub async fn go(&mut self) -> Result<(), RunError> {
        let Some(input) = &mut self.input else { return Ok(()) };
        if input.write_all(b"go\n").await.is_ok() {
            return Ok(());
        }
        // Its end of the pipe is closed before its status is known.
        let status = self.child.wait().await?;
        Err(self.ended_unexpectedly(status).into())
    }

    /// A hollow process's longest oversleep since the last call, in milliseconds.
    pub fn take_lag_ms(&self) -> f64 {
        std::mem::take(&mut lock(&self.output).lag_ms)
    }

    /// Fails if it has ended and was not to.
    ///
    /// # Errors
    ///
    /// It has ended.
    pub fn check(&mut self) -> Result<(), ProcessEnded> {
        if self.expected_to_end {
            return Ok(());
        }
        match self.child.try_wait() {
            Ok(Some(status)) => Err(self.ended_unexpectedly(status)),
            Ok(None) | Err(_) => Ok(()),
        }
    }

    fn ended_unexpectedly(&self, status: ExitStatus) -> ProcessEnded {
        let last_lines = lock(&self.output).lines.iter().cloned().collect();
        ProcessEnded { name: self.name.clone(), status, last_lines }
    }

    /// Kills it.
    pub async fn kill(&mut self) {
        self.expected_to_end = true;
        let _ = self.child.kill().await;
    }

    /// Sends it a signal such as `-HUP`.
    pub async fn signal(&self, signal: &str) {
        if let Some(id) = self.child.id() {
            crate::kill(signal, id).await;
        }
    }

    /// It may end from now on.
    pub fn may_end(&mut self) {
        self.expected_to_end = true;
    }

    /// Waits for its end.
    pub async fn ended(&mut self) {
        let _ = self.child.wait().await;
    }
}

async fn keep_lines(log: impl AsyncRead + Unpin, output: Arc<Mutex<Output>>) {
    let mut lines = BufReader::new(log).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let kept = &mut lock(&output).lines;
        if kept.len() == KEPT_LINES {
            kept.pop_front();
        }
        kept.push_back(line);
    }
}

async fn take_reports(reports: impl AsyncRead + Unpin, output: Arc<Mutex<Output>>) {
    let mut lines = BufReader::new(reports).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let mut output = lock(&output);
        match HollowReport::parse(&line) {
            Some(HollowReport::Up) => output.up = true,
            Some(HollowReport::Ready) => output.ready = true,
            Some(HollowReport::Lag(ms)) => output.lag_ms = output.lag_ms.max(ms),
            None => output.lines.push_back(line),
        }
    }
}
