//! The configuration of an instance: the `PROXY_*` variables, the operator's file and the platform's file, which
//! `PROXY_CONFIG` names.
//!
//! `platform_file` reads the platform's file, `merge` combines the sources by their precedence (environment, operator,
//! platform), `validate` checks the result. All errors of one load are reported together.

mod error;
mod merge;
mod platform_file;
mod validate;

pub use error::{ConfigError, ConfigErrors};

use crate::discovery::codec::EndpointList;
use bellcroft_balancer::Settings;
use bellcroft_membership as membership;
use bellcroft_operator_config::{AgentFile, Daemon, RemoteWrite};
use bellcroft_platform_settings::Names;
use bellcroft_routes::{Platform, RoutesConfig};
use platform_file::PlatformFile;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Everything that one instance runs by.
#[derive(Debug, Clone)]
pub struct Config {
    /// The instance's name, for its log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Where the admin console listens, if anywhere.
    pub console: Option<SocketAddr>,
    /// The seed for random numbers.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Bytes of memory that the process may use.
    pub memory: usize,
    /// The balancer's settings.
    pub settings: Settings,
    /// The names in the settings, and the limits of sockets.
    pub names: Names,
    /// The endpoint list as the agent last had it.
    pub known: EndpointList,
    /// The operator's settings of the state directory and of shutdown.
    pub daemon: Daemon,
    /// The operator's routes; they keep the rules under these settings.
    pub routes: RoutesConfig,
    /// Where samples are sent, if anywhere.
    pub remote_write: Option<RemoteWrite>,
    /// Where membership listens, and its configuration; none if the instance has no cluster.
    pub peering: Option<(SocketAddr, membership::Config)>,
    /// A hash of the bytes of the files.
    pub digest: String,
    /// The platform's file without its endpoint list: a reload must have each of these keys too.
    pub raw: serde_json::Value,
}

/// Where the configuration files are named: on the command line, in the environment, in the operator's file.
#[derive(Debug, Clone, Default)]
pub struct ConfigSources {
    /// The operator's file.
    pub operator: Option<PathBuf>,
    /// The platform's file, by the command line.
    pub config: Option<PathBuf>,
}

/// The operator's file with its path as messages name it; empty without a file.
struct OperatorFile {
    path: String,
    contents: AgentFile,
}

impl Config {
    /// Reads and checks the files of this process; `var` reads the environment.
    ///
    /// # Errors
    ///
    /// Everything that is wrong with them.
    pub fn load(sources: &ConfigSources, var: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigErrors> {
        let mut bytes = Vec::new();
        let operator = match &sources.operator {
            Some(path) => {
                // Read once, so that the digest is of the bytes that were checked.
                let text = bellcroft_operator_config::load(path)?;
                bytes.extend(text.as_bytes());
                OperatorFile { path: path.display().to_string(), contents: AgentFile::parse(path, &text)? }
            }
            None => OperatorFile { path: String::new(), contents: AgentFile::default() },
        };
        let path = Self::platform_path(sources, &operator, &var).ok_or(ConfigError::NoPlatformFile)?;
        let platform = PlatformFile::read(&path)?;
        bytes.extend(&platform.bytes);
        let digest = bellcroft_platform_settings::fnv1a(&String::from_utf8_lossy(&bytes));
        merge::merge(platform, operator, format!("{digest:016x}"), var)
    }

    fn platform_path(
        sources: &ConfigSources,
        operator: &OperatorFile,
        var: &impl Fn(&str) -> Option<String>,
    ) -> Option<PathBuf> {
        let named = sources.config.clone().or_else(|| var("PROXY_CONFIG").map(PathBuf::from));
        named.or_else(|| operator.contents.instance.config.clone())
    }

    /// What the routes are checked against.
    pub fn platform(&self) -> Platform<'_> {
        validate::platform(&self.settings, &self.names)
    }

    /// The keys in which a newer configuration differs and which only a restart can apply.
    pub fn needs_restart(&self, newer: &Config) -> Vec<&'static str> {
        let unchanged = [
            ("name", self.name == newer.name),
            ("listen", self.listen == newer.listen),
            ("console", self.console == newer.console),
            ("limits.sockets", self.sockets == newer.sockets),
            ("limits.memory_mb", self.memory == newer.memory),
            // Series are indexed by the classes of the start.
            (
                "settings (beside remote_write)",
                self.remote_write.is_none() || (self.settings == newer.settings && self.names == newer.names),
            ),
            ("daemon.state", self.daemon.state == newer.daemon.state),
            // Telemetry must observe a request from its start, and a server's name from its first sample.
            ("remote_write (on or off)", self.remote_write.is_some() == newer.remote_write.is_some()),
            ("membership (but for instances)", fixed_peering(&self.peering) == fixed_peering(&newer.peering)),
            ("remote_write.server_names", self.server_names() == newer.server_names()),
        ];
        unchanged.into_iter().filter(|(_, unchanged)| !unchanged).map(|(key, _)| key).collect()
    }

    fn server_names(&self) -> Option<usize> {
        self.remote_write.as_ref().map(|remote| remote.server_names)
    }
}

/// The part of membership's configuration that a reload cannot change.
fn fixed_peering(
    peering: &Option<(SocketAddr, membership::Config)>,
) -> Option<(SocketAddr, membership::Config)> {
    let (listen, config) = peering.clone()?;
    Some((listen, membership::Config { instances: 0, ..config }))
}

#[cfg(test)]
#[path = "../../../tests/unit/daemon_config.rs"]
pub(crate) mod tests;
