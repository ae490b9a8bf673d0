//! Combines the environment, the operator's file and the platform's file; the first that gives a value has precedence.

use super::error::{ConfigError, ConfigErrors, MembershipError};
use super::platform_file::PlatformFile;
use super::{validate, Config, OperatorFile};
use crate::discovery::codec::{self, EndpointList};
use bellcroft_balancer::Settings;
use bellcroft_membership as membership;
use bellcroft_operator_config::Membership;
use std::net::SocketAddr;

/// Descriptors if the platform's file gives no limit: enough for a small machine.
const DEFAULT_SOCKETS: usize = 1024;
/// Memory in megabytes if the platform's file gives no limit.
const DEFAULT_MEMORY_MB: f64 = 64.0;
/// The kernel's default bound for one process (`fs.nr_open`).
const MAX_SOCKETS: usize = 1 << 20;

/// Merges and checks the sources of a configuration.
pub(super) fn merge(
    platform: PlatformFile,
    operator: OperatorFile,
    digest: String,
    var: impl Fn(&str) -> Option<String>,
) -> Result<Config, ConfigErrors> {
    let mut errors = Vec::new();
    let addresses = Addresses::merge(&operator, &platform, &var, &mut errors);
    let mut settings = bellcroft_platform_settings::settings(&platform.contents.settings);
    // The setting is about the simulator's clients; over HTTP each rejection may carry `Retry-After`.
    settings.retry_after = true;
    let names = bellcroft_platform_settings::names(&platform.contents.settings);
    validate::check_platform_file(&platform, &settings, &names, &mut errors);
    let known = endpoints(&platform, &mut errors);
    let raw = platform.without_endpoints();
    let slot = raw["settings"]["slotNo"].as_u64().and_then(|slot| u32::try_from(slot).ok());
    let peering = operator.contents.membership.and_then(|section| {
        let peers = PlatformPeers::of(&platform, slot, &settings);
        let in_file = |source| ConfigError::Membership { file: operator.path.clone(), source };
        merge_membership(section, peers, &settings)
            .map_err(|found| errors.extend(found.into_iter().map(in_file)))
            .ok()
    });
    // Membership carries the balancer's hints to other instances.
    settings.peers |= peering.is_some();
    let rules = validate::platform(&settings, &names);
    validate::check_routes(&operator.path, &operator.contents.routes, &rules, &mut errors);
    let (Some(listen), Some(discovery), Some(known), true) =
        (addresses.listen, addresses.discovery, known, errors.is_empty())
    else {
        return Err(ConfigErrors(errors));
    };
    let contents = platform.contents;
    Ok(Config {
        name: name(var("PROXY_NAME"), operator.contents.instance.name, contents.name),
        listen,
        discovery,
        console: addresses.console,
        seed: seed(&contents.seed.unwrap_or_default()),
        sockets: contents.limits.sockets.unwrap_or(DEFAULT_SOCKETS).min(MAX_SOCKETS),
        memory: memory_bytes(contents.limits.memory_mb),
        settings,
        names,
        known,
        daemon: operator.contents.daemon,
        routes: operator.contents.routes,
        remote_write: operator.contents.remote_write,
        peering,
        digest,
        raw,
    })
}

fn name(environment: Option<String>, operator: Option<String>, platform: Option<String>) -> String {
    environment.or(operator).or(platform).unwrap_or_else(|| "agent".into())
}

fn memory_bytes(megabytes: Option<f64>) -> usize {
    (megabytes.unwrap_or(DEFAULT_MEMORY_MB).max(0.0) * 1e6) as usize
}

/// Any text makes a seed; hexadecimal digits, the form of the platform's own seeds, are read as a number.
fn seed(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| bellcroft_platform_settings::fnv1a(text))
}

fn endpoints(platform: &PlatformFile, errors: &mut Vec<ConfigError>) -> Option<EndpointList> {
    if platform.contents.known.is_null() {
        return Some(EndpointList::default());
    }
    let location = || platform.location("known");
    codec::parse_list(&platform.contents.known)
        .map_err(|reason| errors.push(ConfigError::Endpoints { location: location(), reason }))
        .ok()
}

/// The addresses that more than one source may give.
struct Addresses {
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    console: Option<SocketAddr>,
}

impl Addresses {
    fn merge(
        operator: &OperatorFile,
        platform: &PlatformFile,
        var: &impl Fn(&str) -> Option<String>,
        errors: &mut Vec<ConfigError>,
    ) -> Self {
        let (instance, contents) = (&operator.contents.instance, &platform.contents);
        let mut resolve = |variable, key, operator: Option<SocketAddr>, platform: &Option<String>| {
            let address = address(variable, key, var(variable), operator, platform.as_ref());
            address.map_err(|error| errors.push(error)).ok()
        };
        let listen = resolve("PROXY_LISTEN", "listen", instance.listen, &contents.listen);
        let discovery = resolve("PROXY_DISCOVERY", "discovery", instance.discovery, &contents.discovery);
        // The admin console is optional.
        let has_console =
            var("PROXY_CONSOLE").is_some() || contents.console.is_some() || instance.console.is_some();
        let console = if has_console {
            resolve("PROXY_CONSOLE", "console", instance.console, &contents.console)
        } else {
            None
        };
        Addresses { listen, discovery, console }
    }
}

fn address(
    variable: &'static str,
    key: &'static str,
    environment: Option<String>,
    operator: Option<SocketAddr>,
    platform: Option<&String>,
) -> Result<SocketAddr, ConfigError> {
    let text = match (environment, operator, platform) {
        (Some(text), _, _) => text,
        (None, Some(address), _) => return Ok(address),
        (None, None, Some(text)) => text.clone(),
        (None, None, None) => return Err(ConfigError::NoAddress { variable }),
    };
    text.parse().map_err(|_| ConfigError::NotAnAddress { variable, key, text })
}

/// What the platform's file gives for membership.
struct PlatformPeers {
    listen: Option<SocketAddr>,
    peers: Vec<Option<SocketAddr>>,
    slot: Option<u32>,
}

impl PlatformPeers {
    /// Addresses count only if the settings allow peers.
    fn of(platform: &PlatformFile, slot: Option<u32>, settings: &Settings) -> Self {
        if !settings.peers {
            return PlatformPeers { listen: None, peers: Vec::new(), slot };
        }
        let parse = |text: &String| text.parse::<SocketAddr>().ok();
        PlatformPeers {
            listen: platform.contents.peer_listen.as_ref().and_then(parse),
            peers: platform.contents.peers.iter().map(parse).collect(),
            slot,
        }
    }
}

/// Membership's address and configuration, by the operator's section and then the platform's file.
fn merge_membership(
    section: Membership,
    platform: PlatformPeers,
    settings: &Settings,
) -> Result<(SocketAddr, membership::Config), Vec<MembershipError>> {
    let mut errors = Vec::new();
    let mut peers = section.peers;
    if peers.is_empty() && section.seeds.is_empty() {
        peers = platform.peers.iter().copied().flatten().collect();
        if peers.len() != platform.peers.len() {
            errors.push(MembershipError::PeerAddress);
        }
    }
    let listen = section.listen.or(platform.listen);
    if listen.is_none() {
        errors.push(MembershipError::NoListen);
    }
    let number = section.number.or(platform.slot);
    if number.is_none() {
        errors.push(MembershipError::NoNumber);
    }
    if let Some(number) = number.filter(|number| !peers.is_empty() && *number as usize >= peers.len()) {
        errors.push(MembershipError::NumberOutOfRange { number, last: peers.len() - 1 });
    }
    let instances = section.instances.unwrap_or(settings.balancers).max(peers.len() as u32);
    if instances < settings.balancers {
        errors.push(MembershipError::TooFewInstances { instances, expected: settings.balancers });
    }
    if peers.is_empty() && section.seeds.is_empty() && instances > 1 {
        errors.push(MembershipError::NoPeers { instances });
    }
    match (listen, number) {
        (Some(listen), Some(number)) if errors.is_empty() => {
            let config = membership::Config {
                seeds: section.seeds.into_iter().filter(|seed| *seed != listen).collect(),
                instances,
                site: u8::try_from(settings.zone.0).unwrap_or(u8::MAX),
                role: section.role,
                ..membership::Config::new(&section.cluster, number, peers)
            };
            Ok((listen, config))
        }
        _ => Err(errors),
    }
}
