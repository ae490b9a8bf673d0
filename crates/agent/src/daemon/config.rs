//! What the agent is told at its start: the `PROXY_*` variables and the file that `PROXY_CONFIG` names.

use crate::discovery::{self, List};
use micasail::Settings;
use micasail_settings::{Names, Params};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Descriptors and memory are for small machines; a configuration that is silent about them means these.
const SOCKETS: usize = 1024;
/// Fewer leave no room to serve; more than this no process may hold.
const SOCKETS_LEAST: usize = 80;
const SOCKETS_MOST: usize = 1 << 20;

/// Everything that one start of the agent goes by.
#[derive(Debug)]
pub struct Config {
    /// The agent's name, for its log.
    pub name: String,
    /// Where the application connects.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// The seed for random numbers.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// What the decisions go by.
    pub settings: Settings,
    /// The names in the settings and the limits of sockets.
    pub names: Names,
    /// The server list as the agent last had it.
    pub known: List,
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: Option<String>,
    #[serde(default)]
    listen: Option<String>,
    #[serde(default)]
    discovery: Option<String>,
    #[serde(default)]
    seed: Option<String>,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: serde_json::Value,
    settings: Params,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Limits {
    sockets: Option<usize>,
}

impl File {
    fn read(var: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let path = PathBuf::from(var("PROXY_CONFIG").ok_or("PROXY_CONFIG is not set")?);
        let text = std::fs::read(&path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
        serde_json::from_slice(&text).map_err(|e| format!("{} is no configuration: {e}", path.display()))
    }
}

/// Where the file, which may have been replaced since the start, says that discovery is. `PROXY_DISCOVERY` is the
/// start's address and does not mask it.
pub fn discovery(var: impl Fn(&str) -> Option<String>) -> Result<SocketAddr, String> {
    let text = File::read(var)?.discovery.ok_or("the file names no discovery")?;
    text.parse().map_err(|_| format!("discovery is {text:?}; an address was expected"))
}

impl Config {
    /// Reads the configuration of this process; the error is one line for a person.
    pub fn load(var: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        Self::from_file(File::read(&var)?, var)
    }

    fn from_file(file: File, var: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let address = |name: &str, own: Option<String>| {
            let text = var(name).or(own).ok_or_else(|| format!("{name} is not set"))?;
            text.parse::<SocketAddr>().map_err(|_| format!("{name} is {text:?}; an address was expected"))
        };
        let listen = address("PROXY_LISTEN", file.listen)?;
        let discovery = address("PROXY_DISCOVERY", file.discovery)?;
        let mut settings = micasail_settings::settings(&file.settings);
        // `Retry-After` may stand in any refusal on these sockets; the setting speaks of the simulator's clients.
        settings.retry_after = true;
        settings.check().map_err(|e| e.to_string())?;
        let names = micasail_settings::names(&file.settings);
        if let Some(place) = names.classes.iter().position(String::is_empty) {
            return Err(format!("settings give class {place} no name"));
        }
        if file.limits.sockets.is_some_and(|sockets| sockets < SOCKETS_LEAST) {
            return Err(format!("limits.sockets is below {SOCKETS_LEAST}; that leaves no room to serve"));
        }
        let seed = file.seed.unwrap_or_default();
        let known = match file.known {
            serde_json::Value::Null => List::default(),
            value => discovery::parse_list(&value).ok_or("known is no server list")?,
        };
        Ok(Config {
            name: var("PROXY_NAME").or(file.name).unwrap_or_else(|| "agent".into()),
            listen,
            discovery,
            // Any text makes a seed; only the form of the deployment's own is read as a number.
            seed: u64::from_str_radix(&seed, 16).unwrap_or_else(|_| micasail_settings::fnv1a(&seed)),
            sockets: file.limits.sockets.unwrap_or(SOCKETS).min(SOCKETS_MOST),
            settings,
            names,
            known,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn load(text: &str, listen: &str) -> Result<Config, String> {
        let file = serde_json::from_str(text).map_err(|e| e.to_string())?;
        Config::from_file(file, |name| (name == "PROXY_LISTEN").then(|| listen.to_owned()))
    }

    const SETTINGS: &str = r#"{"classes":[{"name":"a","aimMs":100,"deadlineMs":200,"effect":"idempotent"}]}"#;

    #[test]
    fn variables_win_over_the_file_and_unknown_keys_are_skipped() {
        let text = format!(
            r#"{{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ff","novel":[],"settings":{SETTINGS}}}"#
        );
        let config = load(&text, "127.0.0.1:3").expect("a configuration");
        assert_eq!(config.listen.port(), 3);
        assert_eq!(config.discovery.port(), 2);
        assert_eq!(config.seed, 255);
        assert_eq!(config.names.classes, ["a"]);
    }

    #[test]
    fn what_no_agent_can_work_with_is_named() {
        let none = r#"{"discovery":"127.0.0.1:2","settings":{"classes":[]}}"#;
        assert!(load(none, "127.0.0.1:3").expect_err("no classes").contains("class"));
        let text = format!(r#"{{"discovery":"127.0.0.1:2","settings":{SETTINGS}}}"#);
        assert!(load(&text, "nowhere").expect_err("no address").contains("PROXY_LISTEN"));
        let text = format!(r#"{{"settings":{SETTINGS}}}"#);
        assert!(load(&text, "127.0.0.1:3").expect_err("no discovery").contains("PROXY_DISCOVERY"));
        let text = format!(r#"{{"discovery":"127.0.0.1:2","known":7,"settings":{SETTINGS}}}"#);
        assert!(load(&text, "127.0.0.1:3").expect_err("no list").contains("known"));
    }
}
