//! `agent.toml`: the operator's settings of one instance.

use crate::errors::FileError;
use crate::membership::Membership;
use crate::reader::{load, parse};
use crate::section::Section;
use crate::telemetry::RemoteWrite;
use bellcroft_routes::RoutesConfig;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// An instance's file, checked.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct AgentFile {
    /// Its name, its files and its addresses.
    pub instance: Instance,
    /// Its state directory and its shutdown.
    pub daemon: Daemon,
    /// Its routes as written; the platform's settings decide whether they are valid.
    pub routes: RoutesConfig,
    /// Where its samples go; nowhere without the section.
    pub remote_write: Option<RemoteWrite>,
    /// Its cluster; none without the section.
    pub membership: Option<Membership>,
}

/// `[instance]`: the environment takes precedence over each value, and each value over the platform's configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Instance {
    /// Its name.
    pub name: Option<String>,
    /// The platform's configuration.
    pub config: Option<PathBuf>,
    /// Where clients connect.
    pub listen: Option<SocketAddr>,
    /// Where discovery answers.
    pub discovery: Option<SocketAddr>,
    /// Where the admin console listens; none without it.
    pub console: Option<SocketAddr>,
}

/// `[daemon]`: the state directory and the shutdown.
#[derive(Debug, Clone, PartialEq)]
pub struct Daemon {
    /// The state directory; without it no state is kept.
    pub state: Option<PathBuf>,
    /// How often the status is written without any change of phase.
    pub status_every: Duration,
    /// A bound for pending requests after a stop; without it only their own deadlines bind.
    pub stop_within: Option<Duration>,
}

impl Default for Daemon {
    fn default() -> Self {
        Daemon { state: None, status_every: Duration::from_secs(1), stop_within: None }
    }
}

impl AgentFile {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Everything that is wrong with it.
    pub fn read(file: &Path) -> Result<Self, Vec<FileError>> {
        Self::parse(file, &load(file)?)
    }

    /// Checks the text of a file.
    ///
    /// # Errors
    ///
    /// Everything that is wrong with it.
    pub fn parse(file: &Path, text: &str) -> Result<Self, Vec<FileError>> {
        parse(file, text, Self::schema)
    }

    fn schema(top: &Section) -> Self {
        let section = top.section("instance");
        let instance = Instance {
            name: section.name(),
            config: section.path("config"),
            listen: section.address("listen"),
            discovery: section.address("discovery"),
            console: section.address("console"),
        };
        let section = top.section("daemon");
        let standard = Daemon::default();
        let daemon = Daemon {
            state: section.path("state"),
            status_every: section
                .time("status_every", Duration::from_millis(50)..=Duration::from_secs(60))
                .unwrap_or(standard.status_every),
            stop_within: section.time("stop_within", Duration::from_millis(100)..=Duration::from_secs(600)),
        };
        AgentFile {
            instance,
            daemon,
            routes: crate::routes::schema(top),
            remote_write: crate::telemetry::schema(top),
            membership: crate::membership::schema(top),
        }
    }
}
