//! `bellcroft check`.

use crate::daemon::config::Config;
use crate::daemon::{state, variable, Sources};
use crate::exit;
use std::process::ExitCode;

pub fn run(sources: &Sources, explain: bool) -> ExitCode {
    let config = match Config::load(sources, variable) {
        Ok(config) => config,
        Err(wrong) => {
            wrong.iter().for_each(|line| eprintln!("{line}"));
            return ExitCode::from(exit::BAD_INPUT);
        }
    };
    let state = config.daemon.state.as_ref();
    if let Some(long) = state.filter(|path| path.as_os_str().len() > state::PATH_MOST) {
        eprintln!(
            "daemon.state: {} is longer than {} bytes, the bound of a socket's path below it",
            long.display(),
            state::PATH_MOST
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
    println!("digest: {}", config.digest);
    if explain {
        print!("{}", bellcroft_routes::explain(&config.routes, &config.platform()));
    }
    ExitCode::SUCCESS
}
