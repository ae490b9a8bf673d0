//! `bellcroft check`.

use crate::daemon::config::Config;
use crate::daemon::{state, variable, ConfigSources};
use crate::exit;
use bellcroft_operator_config::AgentFile;
use std::process::ExitCode;
use std::time::Duration;

/// An operator's file without any platform's configuration: what can be checked is, and what can't is said. None where
/// there is a configuration, or no operator's file.
fn alone(sources: &ConfigSources) -> Option<ExitCode> {
    let file = sources.operator.as_ref()?;
    if sources.config.is_some() || variable("PROXY_CONFIG").is_some() {
        return None;
    }
    let operator = match AgentFile::read(file) {
        Ok(operator) => operator,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            return Some(ExitCode::from(exit::BAD_INPUT));
        }
    };
    if operator.instance.config.is_some() {
        return None;
    }
    println!("{}: every key and value is good", file.display());
    println!("routes: {}, pools: {}", operator.routes.routes.len(), operator.routes.pools.len());
    match &operator.remote_write {
        Some(remote) => println!("remote write: {} every {:?}", remote.url, remote.interval),
        None => println!("remote write: off"),
    }
    match &operator.membership {
        Some(section) => println!("membership: cluster {}, {} peers", section.cluster, section.peers.len()),
        None => println!("membership: off"),
    }
    println!(
        "not checked, for no platform's configuration is named (--config, PROXY_CONFIG, instance.config): \
         addresses, classes and tenants, and whether the routes keep the four rules"
    );
    Some(ExitCode::SUCCESS)
}

pub fn run(sources: &ConfigSources, explain: bool) -> ExitCode {
    if let Some(code) = alone(sources) {
        return code;
    }
    let config = match Config::load(sources, variable) {
        Ok(config) => config,
        Err(wrong) => {
            wrong.iter().for_each(|line| eprintln!("{line}"));
            return ExitCode::from(exit::BAD_INPUT);
        }
    };
    let state = config.daemon.state.as_ref();
    if let Some(long) = state.filter(|path| path.as_os_str().len() > state::MAX_PATH_BYTES) {
        eprintln!(
            "daemon.state: {} is longer than {} bytes, the bound of a socket's path below it",
            long.display(),
            state::MAX_PATH_BYTES
        );
        return ExitCode::from(exit::BAD_INPUT);
    }
    println!("{}: listens on {}, discovery at {}", config.name, config.listen, config.discovery);
    println!("classes: {}", config.names.classes.join(", "));
    println!("servers known: {}; descriptors: {}", config.known.hosts.len(), config.sockets);
    match state {
        Some(path) => println!("state: {}, written every {:?}", path.display(), config.daemon.status_every),
        None => println!("state: none is kept"),
    }
    println!("routes: {}, pools: {}", config.routes.routes.len(), config.routes.pools.len());
    match &config.remote_write {
        Some(remote) => println!("remote write: {} every {:?}", remote.url, remote.interval),
        None => println!("remote write: off"),
    }
    match &config.peering {
        Some((listen, peers)) => {
            let within = Duration::from_micros(peers.detection_bound(peers.expected()).0);
            println!(
                "membership: member {} of {} in {}, heard at {listen}; one that is killed is known within {:.1} s",
                peers.number.0,
                peers.expected(),
                peers.cluster,
                within.as_secs_f64()
            );
        }
        None => println!("membership: off"),
    }
    println!("digest: {}", config.digest);
    if explain {
        print!("{}", bellcroft_routes::explain(&config.routes, &config.platform()));
    }
    ExitCode::SUCCESS
}
