//! A scenario file: sizes and phases of scale runs.

use super::machine::{Machine, Needs, Shortage};
use serde::Deserialize;
use std::fmt;
use std::path::Path;
use std::time::Duration;

/// The largest fleet that a scenario may name.
const MAX_HOLLOW: usize = 10_000;
/// The most real agents beside it.
const MAX_REAL: usize = 40;
/// Members that an agent's view holds at most, by the membership's standard configuration.
pub const VIEW_LIMIT: usize = 256;
/// Memory of one hollow agent, in MiB: what a view of 256 members and its sockets were measured to take, and a margin.
const HOLLOW_MIB: f64 = 1.5;
/// Memory of a real one.
const REAL_MIB: f64 = 30.0;
/// Memory that a process takes before it holds an agent.
const PROCESS_MIB: f64 = 16.0;
/// Bytes of one peer in an operator's file, and what parsing holds of them at a time.
const PEER_FILE_BYTES: f64 = 24.0;
/// Descriptors of the harness for one agent: its switch port, its discovery listener, its watch, its telemetry.
const HARNESS_DESCRIPTORS: usize = 4;
/// Descriptors of a hollow agent in its process: its socket, its watch before and after a move, its telemetry.
const HOLLOW_DESCRIPTORS: usize = 4;
/// Descriptors beside those.
const SPARE_DESCRIPTORS: usize = 200;

/// A scenario of scale runs.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// Hollow agents, a run for each.
    pub hollow: Vec<usize>,
    /// Real agents beside them.
    pub real: usize,
    /// Runs at each size.
    #[serde(default = "one")]
    pub runs: usize,
    /// Seed of loss, traffic and identities.
    pub seed: u64,
    /// Hollow agents in one process.
    #[serde(default = "hollow_per_process")]
    pub hollow_per_process: usize,
    /// Stand-in servers that the list names.
    #[serde(default = "servers")]
    pub servers: usize,
    /// Requests a second to each real agent; 0 for none.
    #[serde(default)]
    pub rate: f64,
    /// Share of datagrams that are dropped.
    #[serde(default)]
    pub loss: f64,
    /// Seconds before the window, in which agents find each other.
    pub settle_s: f64,
    /// Seconds that are measured.
    pub window_s: f64,
    /// Changes of the list after the window.
    #[serde(default)]
    pub list_changes: usize,
    /// Whether the configuration changes once: discovery moves, by new files and SIGHUP.
    #[serde(default)]
    pub config_change: bool,
    /// Whether one hollow process, with one agent, is killed at the end.
    #[serde(default)]
    pub kill: bool,
    /// Seconds between samples of telemetry; none is sent without.
    pub telemetry_interval_s: Option<f64>,
    /// The same for hollow agents alone, which only a test of the comparison sets otherwise.
    pub hollow_telemetry_interval_s: Option<f64>,
}

fn one() -> usize {
    1
}

fn hollow_per_process() -> usize {
    50
}

fn servers() -> usize {
    6
}

/// A scenario that cannot be run.
#[derive(Debug)]
pub enum ScenarioError {
    /// The file cannot be read or is no scenario.
    Unreadable(String),
    /// A value makes no sense.
    Invalid(String),
    /// The machine has too little.
    TooLarge {
        /// Hollow agents of the run that is too large.
        hollow: usize,
        /// What there is too little of.
        shortage: Shortage,
    },
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ScenarioError::Unreadable(why) | ScenarioError::Invalid(why) => f.write_str(why),
            ScenarioError::TooLarge { hollow, shortage } => write!(f, "{hollow} hollow agents: {shortage}"),
        }
    }
}

impl std::error::Error for ScenarioError {}

impl Scenario {
    /// Reads a file and checks it.
    ///
    /// # Errors
    ///
    /// It cannot be read, or says what makes no sense.
    pub fn read(file: &Path) -> Result<Self, ScenarioError> {
        let place = |why: String| format!("{}: {why}", file.display());
        let text =
            std::fs::read_to_string(file).map_err(|e| ScenarioError::Unreadable(place(e.to_string())))?;
        Self::parse(&text).map_err(|e| match e {
            ScenarioError::Unreadable(why) => ScenarioError::Unreadable(place(why)),
            ScenarioError::Invalid(why) => ScenarioError::Invalid(place(why)),
            other => other,
        })
    }

    /// Checks a text that is at hand.
    ///
    /// # Errors
    ///
    /// It is no scenario, or says what makes no sense.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let scenario: Scenario =
            toml::from_str(text).map_err(|e| ScenarioError::Unreadable(e.to_string()))?;
        match scenario.fault() {
            Some(why) => Err(ScenarioError::Invalid(why)),
            None => Ok(scenario),
        }
    }

    fn fault(&self) -> Option<String> {
        let range = |name: &str, value: f64, from: f64, to: f64| {
            let within = value >= from && value <= to;
            (!within).then(|| format!("{name} is {value}; from {from} to {to} was expected"))
        };
        let hollow = self.hollow.iter().map(|size| range("hollow", *size as f64, 2.0, MAX_HOLLOW as f64));
        let interval = |name, value: Option<f64>| value.and_then(|value| range(name, value, 0.1, 300.0));
        let single = [
            self.hollow.is_empty().then(|| "hollow names no size".to_owned()),
            range("real", self.real as f64, 0.0, MAX_REAL as f64),
            range("runs", self.runs as f64, 1.0, 20.0),
            range("hollow_per_process", self.hollow_per_process as f64, 1.0, 500.0),
            range("servers", self.servers as f64, 1.0, 1_000.0),
            range("rate", self.rate, 0.0, 100.0),
            range("loss", self.loss, 0.0, 0.5),
            range("settle_s", self.settle_s, 1.0, 600.0),
            range("window_s", self.window_s, 1.0, 600.0),
            range("list_changes", self.list_changes as f64, 0.0, 100.0),
            interval("telemetry_interval_s", self.telemetry_interval_s),
            interval("hollow_telemetry_interval_s", self.hollow_telemetry_interval_s),
        ];
        hollow.chain(single).flatten().next()
    }

    /// What a run with so many hollow agents would take.
    pub fn needs(&self, hollow: usize) -> Needs {
        let agents = hollow + self.real;
        let processes = hollow.div_ceil(self.hollow_per_process) + usize::from(self.kill) + self.real;
        let view = agents.min(VIEW_LIMIT) as f64 / VIEW_LIMIT as f64;
        let files = agents as f64 * agents as f64 * PEER_FILE_BYTES / (1 << 20) as f64;
        let memory_mib = hollow as f64 * HOLLOW_MIB * view.max(0.3)
            + self.real as f64 * REAL_MIB
            + processes as f64 * PROCESS_MIB
            + files;
        let harness = agents * HARNESS_DESCRIPTORS + self.servers * self.real + SPARE_DESCRIPTORS;
        let hollow_process = self.hollow_per_process.min(hollow) * HOLLOW_DESCRIPTORS + SPARE_DESCRIPTORS;
        Needs { memory_mib, descriptors: harness.max(hollow_process), processes }
    }

    /// Whether the machine can carry each run.
    ///
    /// # Errors
    ///
    /// The first size that it cannot.
    pub fn check(&self, machine: &Machine) -> Result<(), ScenarioError> {
        for &hollow in &self.hollow {
            let fits = machine.check(&self.needs(hollow));
            fits.map_err(|shortage| ScenarioError::TooLarge { hollow, shortage })?;
        }
        Ok(())
    }

    /// Time before the window.
    pub fn settle(&self) -> Duration {
        Duration::from_secs_f64(self.settle_s)
    }

    /// The window.
    pub fn window(&self) -> Duration {
        Duration::from_secs_f64(self.window_s)
    }

    /// Seconds between the samples of a hollow agent.
    pub fn hollow_interval(&self) -> Option<f64> {
        self.hollow_telemetry_interval_s.or(self.telemetry_interval_s)
    }
}
