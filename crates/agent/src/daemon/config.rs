//! What the agent is told at its start: the `PROXY_*` variables and the file that `PROXY_CONFIG` names.

use crate::discovery::codec::{self, EndpointList};
use bellcroft_balancer::Settings;
use bellcroft_membership as membership;
use bellcroft_operator_config::{AgentFile, Daemon, Fault, RemoteWrite};
use bellcroft_platform_settings::{Names, Params};
use bellcroft_routes::{Platform, Spec};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Descriptors and memory are for small machines; a configuration that is silent about them means these.
const SOCKETS: usize = 1024;
const MEMORY_MB: f64 = 64.0;
/// Fewer leave no room to serve; more than this no process may hold.
const SOCKETS_LEAST: usize = 80;
const SOCKETS_MOST: usize = 1 << 20;

/// Everything that one start of the agent goes by.
#[derive(Debug, Clone)]
pub struct Config {
    /// The agent's name, for its log.
    pub name: String,
    /// Where the application connects.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Where operators ask, if anywhere.
    pub console: Option<SocketAddr>,
    /// The seed for random numbers.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Bytes of memory that it may take.
    pub memory: usize,
    /// What the decisions go by.
    pub settings: Settings,
    /// The names in the settings and the limits of sockets.
    pub names: Names,
    /// The server list as the agent last had it.
    pub known: EndpointList,
    /// The operator's word on its state and its end.
    pub daemon: Daemon,
    /// The operator's routes; they keep the rules with these settings.
    pub routes: Spec,
    /// Where its counts go, if anywhere.
    pub remote_write: Option<RemoteWrite>,
    /// Who else there is to be, if it looks for others: where it hears them, and what it goes by.
    pub peering: Option<(SocketAddr, membership::Config)>,
    /// A hash of the bytes of its files.
    pub digest: String,
    /// The platform's file as it stands, less the list that it knows: what a newer one must have too.
    pub raw: serde_json::Value,
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
    console: Option<String>,
    #[serde(default)]
    seed: Option<String>,
    #[serde(default)]
    peer_listen: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
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
    memory_mb: Option<f64>,
}

/// A file's bytes, read once, and what stands in them.
struct Read {
    path: PathBuf,
    bytes: Vec<u8>,
    file: File,
}

impl Read {
    fn file(path: &Path) -> Result<Self, String> {
        let bytes = std::fs::read(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
        let file = serde_json::from_slice(&bytes).map_err(|e: serde_json::Error| {
            format!("{}:{}: no configuration: {e}", path.display(), e.line())
        })?;
        Ok(Read { path: path.to_owned(), bytes, file })
    }
}

/// Where the configuration is named: on the command line, in the environment, in the operator's file.
#[derive(Debug, Clone, Default)]
pub struct ConfigSources {
    /// The operator's file.
    pub operator: Option<PathBuf>,
    /// The platform's configuration, by the command line.
    pub config: Option<PathBuf>,
}

impl Config {
    /// Reads the files of this process whole and checks them.
    ///
    /// # Errors
    ///
    /// All that is wrong with them, a line each.
    pub fn load(sources: &ConfigSources, var: impl Fn(&str) -> Option<String>) -> Result<Self, Vec<String>> {
        let mut digest = Vec::new();
        let operator = match &sources.operator {
            Some(path) => {
                // Once: what is checked and what the digest is of are the same bytes.
                let lines = |faults: Vec<Fault>| faults.iter().map(ToString::to_string).collect::<Vec<_>>();
                let text = bellcroft_operator_config::load(path).map_err(lines)?;
                digest.extend(text.as_bytes());
                AgentFile::parse(path, &text).map_err(lines)?
            }
            None => AgentFile::default(),
        };
        let named = sources.config.clone().or_else(|| var("PROXY_CONFIG").map(PathBuf::from));
        let Some(path) = named.or_else(|| operator.instance.config.clone()) else {
            return Err(vec!["PROXY_CONFIG is not set".into()]);
        };
        let read = Read::file(&path).map_err(|why| vec![why])?;
        digest.extend(&read.bytes);
        let digest = String::from_utf8_lossy(&digest);
        let digest = format!("{:016x}", bellcroft_platform_settings::fnv1a(&digest));
        let file = sources.operator.as_ref().map_or(String::new(), |file| file.display().to_string());
        Self::checked(read, (operator, &file), digest, var)
    }

    fn checked(
        read: Read,
        (operator, operator_file): (AgentFile, &str),
        digest: String,
        var: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, Vec<String>> {
        let file = read.file;
        let mut wrong = Vec::new();
        // The line of a key, for people: where its name first stands in the file.
        let text = String::from_utf8_lossy(&read.bytes);
        let at = |key: &str| match text.find(&format!("\"{key}\"")) {
            Some(at) => format!("{}:{}", read.path.display(), 1 + text[..at].matches('\n').count()),
            None => read.path.display().to_string(),
        };
        let mut address = |name: &str, key: &str, operator: Option<SocketAddr>, own: Option<String>| {
            let text = match (var(name), operator) {
                (Some(text), _) => text,
                (None, Some(address)) => return Some(address),
                (None, None) => match own {
                    Some(text) => text,
                    None => {
                        wrong.push(format!("{name} is not set"));
                        return None;
                    }
                },
            };
            let address = text.parse::<SocketAddr>().ok();
            if address.is_none() {
                wrong.push(format!("{name} ({key}) is {text:?}; an address was expected"));
            }
            address
        };
        let listen = address("PROXY_LISTEN", "listen", operator.instance.listen, file.listen);
        let discovery = address("PROXY_DISCOVERY", "discovery", operator.instance.discovery, file.discovery);
        // Nobody must be able to ask: without it there is no second address.
        let named = var("PROXY_CONSOLE").is_some() || file.console.is_some();
        let console = operator.instance.console;
        let console = if named || console.is_some() {
            address("PROXY_CONSOLE", "console", console, file.console)
        } else {
            None
        };
        let mut settings = bellcroft_platform_settings::settings(&file.settings);
        // `Retry-After` may stand in any refusal on these sockets; the setting speaks of the simulator's clients.
        settings.retry_after = true;
        if let Err(e) = settings.check() {
            wrong.push(format!("{}: settings: {e}", at("settings")));
        }
        for (key, why) in bellcroft_platform_settings::faults(&file.settings) {
            // What is missing has no line of its own.
            let name = key.rsplit('.').next().unwrap_or(key);
            let place = if text.contains(&format!("\"{name}\"")) { at(name) } else { at("settings") };
            wrong.push(format!("{place}: settings: {why}"));
        }
        let names = bellcroft_platform_settings::names(&file.settings);
        if let Some(place) = names.classes.iter().position(String::is_empty) {
            wrong.push(format!("{}: settings give class {place} no name", at("classes")));
        }
        if let Some(sockets) = file.limits.sockets.filter(|sockets| *sockets < SOCKETS_LEAST) {
            let at = at("sockets");
            wrong.push(format!(
                "{at}: limits.sockets is {sockets}; below {SOCKETS_LEAST} there is no room to serve"
            ));
        }
        let mut raw = serde_json::from_slice::<serde_json::Value>(&read.bytes).unwrap_or_default();
        if let Some(raw) = raw.as_object_mut() {
            raw.remove("known");
        }
        let seed = file.seed.unwrap_or_default();
        let known = match file.known {
            serde_json::Value::Null => Ok(EndpointList::default()),
            value => codec::parse_list(&value),
        };
        if let Err(why) = &known {
            wrong.push(format!("{}: known is no server list: {why}", at("known")));
        }
        let slot = raw["settings"]["slotNo"].as_u64().and_then(|slot| u32::try_from(slot).ok());
        let peering = operator.membership.and_then(|section| {
            let given = GivenPeers { listen: file.peer_listen, peers: file.peers, slot };
            let peering = peering(section, given, &settings).map_err(|why| {
                wrong.extend(why.into_iter().map(|why| format!("{operator_file}: membership: {why}")));
            });
            peering.ok()
        });
        // What the decisions would tell others has a way now.
        settings.peers |= peering.is_some();
        let refusals = bellcroft_routes::check(&operator.routes, &platform(&settings, &names));
        wrong.extend(refusals.iter().map(|refusal| format!("{operator_file}:{refusal}")));
        let (Some(listen), Some(discovery), Ok(known), true) = (listen, discovery, known, wrong.is_empty())
        else {
            return Err(wrong);
        };
        Ok(Config {
            name: var("PROXY_NAME")
                .or(operator.instance.name)
                .or(file.name)
                .unwrap_or_else(|| "agent".into()),
            listen,
            discovery,
            console,
            // Any text makes a seed; only the form of the deployment's own is read as a number.
            seed: u64::from_str_radix(&seed, 16)
                .unwrap_or_else(|_| bellcroft_platform_settings::fnv1a(&seed)),
            sockets: file.limits.sockets.unwrap_or(SOCKETS).min(SOCKETS_MOST),
            memory: (file.limits.memory_mb.unwrap_or(MEMORY_MB).max(0.0) * 1e6) as usize,
            settings,
            names,
            known,
            daemon: operator.daemon,
            routes: operator.routes,
            remote_write: operator.remote_write,
            peering,
            digest,
            raw,
        })
    }

    fn server_names(&self) -> Option<usize> {
        self.remote_write.as_ref().map(|remote| remote.server_names)
    }

    /// What routes are held against.
    pub fn platform(&self) -> Platform<'_> {
        platform(&self.settings, &self.names)
    }

    /// What differs between this configuration and a newer one that only a restart can take.
    pub fn needs_restart(&self, newer: &Config) -> Vec<&'static str> {
        let same = [
            ("name", self.name == newer.name),
            ("listen", self.listen == newer.listen),
            ("console", self.console == newer.console),
            ("limits.sockets", self.sockets == newer.sockets),
            ("limits.memory_mb", self.memory == newer.memory),
            // Its series are by the places that classes had at the start.
            (
                "settings (beside remote_write)",
                self.remote_write.is_none() || (self.settings == newer.settings && self.names == newer.names),
            ),
            ("daemon.state", self.daemon.state == newer.daemon.state),
            // The observer must have seen a request from its begin, and a server's name from its first line.
            ("remote_write (on or off)", self.remote_write.is_some() == newer.remote_write.is_some()),
            ("membership (but for instances)", fixed(&self.peering) == fixed(&newer.peering)),
            ("remote_write.server_names", self.server_names() == newer.server_names()),
        ];
        same.into_iter().filter(|(_, same)| !same).map(|(key, _)| key).collect()
    }
}

/// What a running instance can't change of its peering.
fn fixed(peering: &Option<(SocketAddr, membership::Config)>) -> Option<(SocketAddr, membership::Config)> {
    let (listen, config) = peering.clone()?;
    Some((listen, membership::Config { instances: 0, ..config }))
}

/// What the platform's file says of peers.
struct GivenPeers {
    listen: Option<String>,
    peers: Vec<String>,
    slot: Option<u32>,
}

/// Whom to look for, by the operator's word and, where the settings allow it, the platform's behind it.
fn peering(
    section: bellcroft_operator_config::Membership,
    given: GivenPeers,
    settings: &Settings,
) -> Result<(SocketAddr, membership::Config), Vec<String>> {
    let mut wrong = Vec::new();
    let read = |text: &String| text.parse::<SocketAddr>().ok();
    let given = if settings.peers { given } else { GivenPeers { listen: None, peers: Vec::new(), ..given } };
    let mut peers = section.peers;
    if peers.is_empty() && section.seeds.is_empty() {
        peers = given.peers.iter().filter_map(read).collect();
        if peers.len() != given.peers.len() {
            wrong.push("the platform's peers hold what is no address".to_owned());
        }
    }
    let listen = section.listen.or(given.listen.as_ref().and_then(read));
    if listen.is_none() {
        wrong.push("listen is missing, and the platform gives no peer_listen".to_owned());
    }
    let number = section.number.or(given.slot);
    if number.is_none() {
        wrong.push("number is missing, and neither listen nor the platform's slotNo tells it".to_owned());
    }
    if let Some(number) = number.filter(|number| !peers.is_empty() && *number as usize >= peers.len()) {
        wrong.push(format!("number is {number}, and there are members 0 to {}", peers.len() - 1));
    }
    let count = section.instances.unwrap_or(settings.balancers).max(peers.len() as u32);
    if count < settings.balancers {
        // Each would take more than its part of what all may do together.
        wrong.push(format!("instances is {count}, and the platform's settings count {}", settings.balancers));
    }
    if peers.is_empty() && section.seeds.is_empty() && count > 1 {
        wrong
            .push(format!("of {count} instances none is named: neither peers nor seeds, nor the platform's"));
    }
    match (listen, number) {
        (Some(listen), Some(number)) if wrong.is_empty() => {
            let config = membership::Config {
                seeds: section.seeds.into_iter().filter(|seed| *seed != listen).collect(),
                instances: count,
                site: u8::try_from(settings.zone.0).unwrap_or(u8::MAX),
                role: section.duty,
                ..membership::Config::new(&section.cluster, number, peers)
            };
            Ok((listen, config))
        }
        _ => Err(wrong),
    }
}

fn platform<'a>(settings: &'a Settings, names: &'a Names) -> Platform<'a> {
    Platform {
        settings,
        classes: &names.classes,
        tenants: &names.tenants,
        connect_timeout: names.connect_timeout,
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;

    /// What a start with this file and this address goes by.
    pub(crate) fn load(text: &str, listen: &str) -> Result<Config, String> {
        let file = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let read = Read { path: "config.json".into(), bytes: text.as_bytes().to_vec(), file };
        let var = |name: &str| (name == "PROXY_LISTEN").then(|| listen.to_owned());
        Config::checked(read, (AgentFile::default(), ""), String::new(), var)
            .map_err(|wrong| wrong.join("; "))
    }

    pub(crate) const SETTINGS: &str = r#"{"classes":[{"name":"a","aimMs":100,"deadlineMs":200,"effect":"idempotent"}],
        "limits":{"maxAttempts":3,"connectTimeoutMs":100,"keepaliveMs":10000},"rules":{"stopSendingWithinMs":2000}}"#;

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
    #[test]
    fn all_that_is_wrong_is_told_at_once_each_with_its_line() {
        let text = "{\"discovery\":\"nowhere\",\n\"limits\":{\n\"sockets\":3},\n\"known\":7,\"settings\":{\"classes\":[]}}";
        let wrong = load(text, "127.0.0.1:3").expect_err("it is bad");
        for part in ["PROXY_DISCOVERY", "config.json:3: limits.sockets is 3", "config.json:4: known", "class"]
        {
            assert!(wrong.contains(part), "{part}: {wrong}");
        }
    }

    #[test]
    fn what_only_a_restart_can_take_is_named() {
        let text = |extra: &str| format!(r#"{{"discovery":"127.0.0.1:2",{extra}"settings":{SETTINGS}}}"#);
        let old = load(&text(""), "127.0.0.1:3").expect("a configuration");
        let moved = text("").replace("127.0.0.1:2", "127.0.0.1:4");
        assert!(old.needs_restart(&load(&moved, "127.0.0.1:3").expect("good")).is_empty());
        let other = text(r#""name":"n","limits":{"sockets":100},"#).replace("200", "300");
        let other = load(&other, "127.0.0.1:4").expect("good");
        assert_eq!(old.needs_restart(&other), ["name", "listen", "limits.sockets"]);
    }
}
