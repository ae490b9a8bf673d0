//! `bellcroft check`: loads the files as at a start and prints their errors, or the resulting configuration.

use crate::daemon::config::Config;
use crate::daemon::{state, variable, ConfigSources};
use crate::exit;
use bellcroft_operator_config::{AgentFile, RemoteWrite};
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// Checks an operator's file alone. None if there is no operator's file, or if the sources
/// also name a platform's configuration.
fn check_operator_file(sources: &ConfigSources) -> Option<ExitCode> {
    let file = sources.operator.as_ref()?;
    if sources.config.is_some() || variable("PROXY_CONFIG").is_some() {
        return None;
    }
    let operator = match super::read_agent_file(file) {
        Ok(operator) => operator,
        Err(code) => return Some(code),
    };
    if operator.instance.config.is_some() {
        return None;
    }
    print_operator_file(file, &operator);
    Some(ExitCode::SUCCESS)
}

fn print_operator_file(file: &Path, operator: &AgentFile) {
    println!("{}: every key and value is good", file.display());
    println!("routes: {}, pools: {}", operator.routes.routes.len(), operator.routes.pools.len());
    print_remote_write(operator.remote_write.as_ref());
    match &operator.membership {
        Some(section) => println!("membership: cluster {}, {} peers", section.cluster, section.peers.len()),
        None => println!("membership: off"),
    }
    println!(
        "not checked, for no platform's configuration is named (--config, PROXY_CONFIG, instance.config): \
         addresses, classes and tenants, and whether the routes keep the four rules"
    );
}

fn print_remote_write(remote: Option<&RemoteWrite>) {
    match remote {
        Some(remote) => println!("remote write: {} every {:?}", remote.url, remote.interval),
        None => println!("remote write: off"),
    }
}

/// Checks the files that `sources` names and prints the result; `explain` adds the timeline of each route.
pub fn run(sources: &ConfigSources, explain: bool) -> ExitCode {
    if let Some(code) = check_operator_file(sources) {
        return code;
    }
    let config = match Config::load(sources, variable) {
        Ok(config) => config,
        Err(errors) => {
            errors.0.iter().for_each(|error| eprintln!("{error}"));
            return ExitCode::from(exit::BAD_INPUT);
        }
    };
    let too_long_path =
        config.daemon.state.as_ref().filter(|path| path.as_os_str().len() > state::MAX_PATH_BYTES);
    if let Some(path) = too_long_path {
        eprintln!(
            "daemon.state: {} is longer than {} bytes, the bound of a socket's path below it",
            path.display(),
            state::MAX_PATH_BYTES
        );
        return ExitCode::from(exit::BAD_INPUT);
    }
    print_config(&config);
    if explain {
        print!("{}", bellcroft_routes::explain(&config.routes, &config.platform()));
    }
    ExitCode::SUCCESS
}

fn print_config(config: &Config) {
    println!("{}: listens on {}, discovery at {}", config.name, config.listen, config.discovery);
    println!("classes: {}", config.names.classes.join(", "));
    println!("servers known: {}; descriptors: {}", config.known.endpoints.len(), config.sockets);
    match &config.daemon.state {
        Some(path) => println!("state: {}, written every {:?}", path.display(), config.daemon.status_every),
        None => println!("state: none is kept"),
    }
    println!("routes: {}, pools: {}", config.routes.routes.len(), config.routes.pools.len());
    print_remote_write(config.remote_write.as_ref());
    match &config.peering {
        Some((listen, peers)) => {
            let detection = Duration::from_micros(peers.detection_bound(peers.expected()).0);
            println!(
                "membership: member {} of {} in {}, heard at {listen}; one that is killed is known within {:.1} s",
                peers.number.0,
                peers.expected(),
                peers.cluster,
                detection.as_secs_f64()
            );
        }
        None => println!("membership: off"),
    }
    println!("digest: {}", config.digest);
}
