//! `agent.toml`: the operator's settings for one instance.

use crate::errors::FileError;
use crate::membership::Membership;
use crate::reader::{load, parse};
use crate::section::Section;
use crate::telemetry::RemoteWrite;
use bellcroft_routes::RoutesConfig;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The validated contents of an `agent.toml`.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct AgentFile {
    /// `[instance]`: the instance's name, its platform configuration and its addresses.
    pub instance: Instance,
    /// `[daemon]`: the state directory, the status interval and the shutdown limit.
    pub daemon: Daemon,
    /// `[[route]]` and `[pool.NAME]` as written. They are validated later, against the platform's settings.
    pub routes: RoutesConfig,
    /// `[remote_write]`: the receiver of metric samples. No samples are sent if the section is absent.
    pub remote_write: Option<RemoteWrite>,
    /// `[membership]`: the instance's cluster. The instance joins no cluster if the section is absent.
    pub membership: Option<Membership>,
}

/// `[instance]`. Environment variables override each value, and each value overrides the platform's configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Instance {
    /// The instance's name.
    pub name: Option<String>,
    /// Path of the platform's configuration.
    pub config: Option<PathBuf>,
    /// Address on which client connections are accepted.
    pub listen: Option<SocketAddr>,
    /// Address of the discovery service.
    pub discovery: Option<SocketAddr>,
    /// Listening address of the admin console. The console is off if this is absent.
    pub console: Option<SocketAddr>,
}

/// `[daemon]`: the state directory, the status interval and the shutdown limit.
#[derive(Debug, Clone, PartialEq)]
pub struct Daemon {
    /// The state directory. No state is stored if this is absent.
    pub state: Option<PathBuf>,
    /// Interval at which the status file is rewritten while the phase does not change.
    pub status_every: Duration,
    /// Time limit for pending requests during a graceful shutdown. If absent, only the requests' own deadlines apply.
    pub stop_within: Option<Duration>,
}

impl Default for Daemon {
    fn default() -> Self {
        Daemon { state: None, status_every: Duration::from_secs(1), stop_within: None }
    }
}

impl AgentFile {
    /// Reads and validates a file.
    ///
    /// # Errors
    ///
    /// Returns every error found in the file.
    pub fn read(file: &Path) -> Result<Self, Vec<FileError>> {
        Self::parse(file, &load(file)?)
    }

    /// Validates the text of a file; `file` serves for relative paths and error messages only.
    ///
    /// # Errors
    ///
    /// Returns every error found in the text.
    pub fn parse(file: &Path, text: &str) -> Result<Self, Vec<FileError>> {
        parse(file, text, Self::read_sections)
    }

    fn read_sections(top: &Section) -> Self {
        let section = top.section("instance");
        let instance = Instance {
            name: section.name(),
            config: section.path("config"),
            listen: section.address("listen"),
            discovery: section.address("discovery"),
            console: section.address("console"),
        };
        let section = top.section("daemon");
        let defaults = Daemon::default();
        let daemon = Daemon {
            state: section.path("state"),
            status_every: section
                .time("status_every", Duration::from_millis(50)..=Duration::from_secs(60))
                .unwrap_or(defaults.status_every),
            stop_within: section.time("stop_within", Duration::from_millis(100)..=Duration::from_secs(600)),
        };
        AgentFile {
            instance,
            daemon,
            routes: crate::routes::read_sections(top),
            remote_write: crate::telemetry::read_section(top),
            membership: crate::membership::read_section(top),
        }
    }
}
