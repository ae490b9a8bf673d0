//! The scale run: some real agents beside many hollow ones, measured at the sockets and from the process accounts.
//!
//! A hollow agent is a [`bellcroft::ControlPlane`], many to a process, with its own identity and real loopback sockets.
//! All datagrams pass a [`DatagramSwitch`], and each agent has a discovery listener of its own, so what is counted needs
//! no agent's word. [`fit`] turns the figures of several sizes into slopes.

mod accounts;
mod agents;
mod children;
mod discovery;
pub mod fit;
mod hollow;
mod lag;
mod machine;
mod model;
mod observer;
mod parity;
mod receiver;
mod report;
mod run;
mod scenario;
mod switch;

pub use hollow::run_hollow;
pub use machine::{Machine, Needs, Shortage};
pub use model::model_table;
pub use parity::{compare, Difference, TOLERANCE};
pub use report::{page_block, read_results, summary_table};
pub use run::{run, RunError};
pub use scenario::{Scenario, ScenarioError};
pub use switch::DatagramSwitch;

use serde::{Deserialize, Serialize};

/// One run's result: a line of the machine-readable output.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunResult {
    /// The scenario's name.
    pub scenario: String,
    /// Hollow agents.
    pub hollow: usize,
    /// Real agents.
    pub real: usize,
    /// The run's number at this size, from 1.
    pub run: usize,
    /// The seed of loss, traffic and identities.
    pub seed: u64,
    /// Share of the datagrams that the switch dropped on purpose.
    pub loss: f64,
    /// Servers in the list.
    pub servers: usize,
    /// Where and of what.
    pub machine: Machine,
    /// Version of the code.
    pub commit: String,
    /// When it ended, in Unix seconds.
    pub ended_unix: u64,
    /// Length of the measured window, in seconds.
    pub window_s: f64,
    /// Why the figures don't count; empty if they do.
    pub void: Vec<String>,
    /// Why the times of changes and of detection, which come after the window, don't count; none where nobody watched.
    #[serde(default)]
    pub void_changes: Option<Vec<String>>,
    /// Means of one hollow agent.
    pub hollow_agent: AgentFigures,
    /// Means of one real agent, its traffic included.
    pub real_agent: AgentFigures,
    /// Figures of the whole run.
    pub fleet: FleetFigures,
}

/// Means of one agent in the measured window; rates are per second.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct AgentFigures {
    /// Datagrams sent.
    pub datagrams_out: f64,
    /// Datagrams received.
    pub datagrams_in: f64,
    /// Payload bytes of datagrams sent.
    pub bytes_out: f64,
    /// Payload bytes of datagrams received.
    pub bytes_in: f64,
    /// Calls to discovery.
    pub discovery_calls: f64,
    /// Bytes of calls to discovery and of their answers.
    pub discovery_bytes: f64,
    /// Samples posted to the telemetry receiver.
    pub telemetry_posts: f64,
    /// Bytes of those.
    pub telemetry_bytes: f64,
    /// Share of a core, 0.01 being one percent.
    pub cpu_share: f64,
    /// Resident memory in MiB, less that of the process before its agents began.
    pub memory_mib: f64,
}

/// Figures of the whole run.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct FleetFigures {
    /// Seconds from a change of the list to the last agent that asks for what is newer, one a change.
    pub list_change_s: Vec<f64>,
    /// Seconds from a change of the configuration files to the last agent that acts by it.
    pub config_change_s: Option<f64>,
    /// Seconds from an agent's kill to the median of those that hold it dead by their own probes.
    pub detection_p50_s: Option<f64>,
    /// Seconds from an agent's kill to the last of them.
    pub detection_last_s: Option<f64>,
    /// Agents that held the killed one, and those of them that held it dead at the end. Past a view's limit only those are
    /// known that found it dead, so both are the same.
    pub detection_holders: (usize, usize),
    /// Datagrams that came to the switch, were passed on, dropped on purpose, or could not be passed on.
    pub datagrams: DatagramTotals,
    /// Bytes a second that the switch took in the second half of the window over those of the first.
    pub drift: f64,
    /// The harness's own oversleep in the window: its 99th percentile and its maximum, in milliseconds.
    pub harness_lag_ms: (f64, f64),
    /// The largest oversleep of a hollow process in the window, in milliseconds.
    pub hollow_lag_ms: f64,
    /// The busiest hollow process's share of a core.
    pub busiest_process: f64,
    /// The harness's own share of a core: the stand-ins and the switch.
    pub harness_cpu: f64,
}

/// What became of datagrams at the switch since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatagramTotals {
    /// Taken from agents.
    pub received: u64,
    /// Passed on.
    pub delivered: u64,
    /// Dropped on purpose.
    pub lost: u64,
    /// Not taken by the kernel.
    pub unsent: u64,
    /// From an address that is no agent's.
    pub unknown: u64,
}
