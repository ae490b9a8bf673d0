//! One instance's life: its start, its reload, its end.

pub(crate) mod config;

use crate::driver::Driver;
use crate::front::{self, Server};
use config::Config;
use std::process::ExitCode;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::{sleep, Instant};

/// Descriptors that are neither the application's nor the backends': files, discovery, the runtime's own.
const SPARE_SOCKETS: usize = 24;
/// The part of the others that is the application's, which holds a third of all at most for its requests.
const CLIENT_SHARE: f64 = 0.5;
/// Answers that are decided are written within this.
const FLUSH: Duration = Duration::from_millis(30);

/// Runs the instance that the environment describes, until it is told to end.
pub fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("bellcroft: {why}");
            ExitCode::from(2)
        }
    }
}

fn start() -> Result<(), String> {
    let config = Config::load(|name| std::env::var(name).ok())?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| format!("cannot start the runtime: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, serve(config))
}

/// Serves until SIGTERM, and then until all that came is answered. SIGHUP has the file read again.
async fn serve(config: Config) -> Result<(), String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("cannot await SIGTERM: {e}"))?;
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| format!("cannot await SIGHUP: {e}"))?;
    let listen = config.listen;
    let listener = TcpListener::bind(listen).await.map_err(|e| format!("cannot listen on {listen}: {e}"))?;
    let address = listener.local_addr().map_err(|e| format!("cannot listen on {listen}: {e}"))?;
    let longest = config.settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
    let name = config.name.clone();
    let sockets = config.sockets.saturating_sub(SPARE_SOCKETS);
    let clients = (sockets as f64 * CLIENT_SHARE) as usize;
    let driver = Driver::start(config, sockets - clients).map_err(|e| e.to_string())?;
    let mut driven = tokio::task::spawn_local(driver.clone().run());
    let server = Server::new(driver.clone(), clients);
    let accepting = tokio::task::spawn_local(server.clone().accept(listener));
    eprintln!("{name}: listening on {address}");

    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hangup.recv() => match config::discovery(|name| std::env::var(name).ok()) {
                Ok(address) => {
                    eprintln!("{name}: discovery is at {address}");
                    driver.relocate(address);
                }
                Err(why) => eprintln!("{name}: SIGHUP: {why}; all stays as it was"),
            },
            // Without its clock the agent would take requests and answer none: better that it ends and is
            // restarted.
            _ = &mut driven => return Err("the decisions have stopped".into()),
        }
    }
    let told = Instant::now();
    server.drain();
    sleep(front::ACCEPT_ON).await;
    accepting.abort();
    // What is in flight has its deadline; past the longest one nothing is owed any more.
    let last = told + front::ACCEPT_ON + Duration::from_micros(longest.0);
    loop {
        sleep(FLUSH).await;
        if !server.busy() || Instant::now() >= last {
            break;
        }
    }
    sleep(FLUSH).await;
    eprintln!("{name}: all is answered");
    Ok(())
}
