//! Finds out of a process whether it is ready, and whether it serves what it is sent.

use crate::daemon::control;
use crate::daemon::status::{Phase, Status};
use serde_json::json;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, timeout, Instant};

/// How often a process on its way up is asked.
const LOOK: Duration = Duration::from_millis(25);
/// A fleet of quiet instances has nothing to show: without a request for so long, readiness is proof enough.
const QUIET: Duration = Duration::from_millis(300);
/// This many answers without one that was served are no accident.
const FAILED_MOST: u64 = 20;
/// How long one call may take.
const CALL: Duration = Duration::from_secs(2);

/// The status of the process that holds this directory, if it is `pid`.
pub async fn status(dir: &Path, pid: u32) -> Option<Status> {
    let told = control::request(dir, &json!({"command": "status"})).await.ok()?;
    if told.pid != Some(pid) {
        return None;
    }
    serde_json::from_value(told.value).ok()
}

/// Returns once the process says that it is ready; never, if it does not.
pub async fn ready(dir: &Path, pid: u32) {
    while status(dir, pid).await.is_none_or(|status| status.phase != Phase::Ready) {
        sleep(LOOK).await;
    }
}

/// Returns once the process is known to serve; the error says how it is known not to.
pub async fn serves(dir: &Path, pid: u32, address: SocketAddr) -> Result<(), String> {
    let begin = Instant::now();
    while let Err(why) = ask_ready(address).await {
        if begin.elapsed() > CALL {
            return Err(why);
        }
        sleep(LOOK).await;
    }
    let quiet = Instant::now() + QUIET;
    loop {
        let Some(status) = status(dir, pid).await else {
            // Its end, if it has ended, is told by another way.
            sleep(LOOK).await;
            continue;
        };
        let sum =
            |of: fn(&crate::daemon::status::Counts) -> u64| status.requests.values().map(of).sum::<u64>();
        let (taken, served, bad) = (sum(|c| c.taken), sum(|c| c.served), sum(|c| c.failed + c.refused));
        if served > 0 || (taken == 0 && Instant::now() >= quiet) {
            return Ok(());
        }
        if bad >= FAILED_MOST {
            return Err(format!("of {taken} requests none was served"));
        }
        sleep(LOOK).await;
    }
}

async fn ask_ready(address: SocketAddr) -> Result<(), String> {
    let host = match address.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => IpAddr::V4(Ipv4Addr::LOCALHOST),
        IpAddr::V6(ip) if ip.is_unspecified() => IpAddr::V6(Ipv6Addr::LOCALHOST),
        ip => ip,
    };
    let call = async {
        let mut stream = bellcroft_net::connect(SocketAddr::new(host, address.port())).await?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: instance\r\nConnection: close\r\n\r\n").await?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await?;
        Ok::<_, std::io::Error>(answer)
    };
    match timeout(CALL, call).await {
        Ok(Ok(answer)) if answer.starts_with(b"HTTP/1.1 200") => Ok(()),
        Ok(Ok(answer)) => {
            let line = String::from_utf8_lossy(&answer);
            Err(format!("/ready answers {:?}", line.lines().next().unwrap_or_default()))
        }
        Ok(Err(e)) => Err(format!("/ready: {e}")),
        Err(_) => Err("/ready does not answer".into()),
    }
}
