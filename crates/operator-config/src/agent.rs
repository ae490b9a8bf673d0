//! `agent.toml`: what an operator says of one instance.

use bellcroft_routes::Spec;

use crate::membership::Membership;
use crate::reader::{load, parse, Fault, Section};
use crate::telemetry::RemoteWrite;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// An instance's file, checked.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct AgentFile {
    /// Who it is.
    pub instance: Instance,
    /// How it lives.
    pub daemon: Daemon,
    /// Its routes, as they are written; the platform's settings say whether they can be.
    pub routes: Spec,
    /// Where its counts go; nowhere without the section.
    pub remote_write: Option<RemoteWrite>,
    /// Whom it looks for; it is alone without the section.
    pub membership: Option<Membership>,
}

/// `[instance]`: each value stands behind the environment's, and before the platform's configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Instance {
    /// Its name.
    pub name: Option<String>,
    /// The platform's configuration.
    pub config: Option<PathBuf>,
    /// Where it takes requests.
    pub listen: Option<SocketAddr>,
    /// Where discovery answers.
    pub discovery: Option<SocketAddr>,
    /// Where operators ask; nowhere without.
    pub console: Option<SocketAddr>,
}

/// `[daemon]`: its state and its end.
#[derive(Debug, Clone, PartialEq)]
pub struct Daemon {
    /// The state directory; none, and it keeps no state.
    pub state: Option<PathBuf>,
    /// How often the status is written when nothing else has it written.
    pub status_every: Duration,
    /// After a stop, requests that are open have this long at most; none, and they have their own deadlines.
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
    /// All that is wrong with it.
    pub fn read(file: &Path) -> Result<Self, Vec<Fault>> {
        Self::parse(file, &load(file)?)
    }

    /// Checks a file's text that is at hand.
    ///
    /// # Errors
    ///
    /// All that is wrong with it.
    pub fn parse(file: &Path, text: &str) -> Result<Self, Vec<Fault>> {
        parse(file, text, Self::schema)
    }

    fn schema(top: &Section) -> Self {
        let section = top.section("instance");
        let instance = Instance {
            name: name(&section),
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

/// A name that can stand in a path and in a log.
pub(crate) fn name(section: &Section) -> Option<String> {
    let name = section.text("name")?;
    if plain(&name) {
        return Some(name);
    }
    section.fault("name", format!("is {name:?}; at most 64 letters, digits, '-', '_' and '.' were expected"));
    None
}

/// Whether a name can stand in a path and in a log.
pub(crate) fn plain(name: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    name.len() <= 64 && name.chars().all(plain) && !name.starts_with('.')
}
