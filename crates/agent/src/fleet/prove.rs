//! Health checks of a new process: whether it is ready, and whether it serves requests.

use crate::daemon::commands::InstanceRequest;
use crate::daemon::control;
use crate::daemon::status::{Counts, Phase, Status};
use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, timeout, Instant};

/// How often a process is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Without any request for this time, readiness is proof enough: an idle instance serves nothing.
const IDLE_PROOF_TIMEOUT: Duration = Duration::from_millis(300);
/// So many responses without a served one prove that the instance does not serve.
const MAX_UNSERVED_RESPONSES: u64 = 20;
/// Bound of one `/ready` request, and of all retries of it.
const READY_TIMEOUT: Duration = Duration::from_secs(2);

/// The status of the process that holds a state directory, if its id is `pid`.
pub async fn status(dir: &Path, pid: u32) -> Option<Status> {
    let reply = control::request(dir, &InstanceRequest::Status).await.ok()?;
    if reply.pid != Some(pid) {
        return None;
    }
    serde_json::from_value(reply.value).ok()
}

/// Completes once the process reports that it is ready; never otherwise.
pub async fn ready(dir: &Path, pid: u32) {
    while status(dir, pid).await.is_none_or(|status| status.phase != Phase::Ready) {
        sleep(CHECK_INTERVAL).await;
    }
}

/// Why a process is known not to serve.
#[derive(Debug, thiserror::Error)]
pub enum ProofError {
    /// `/ready` answers with another status than 200.
    #[error("/ready answers {0:?}")]
    NotReady(String),
    /// The connection for `/ready` failed.
    #[error("/ready: {0}")]
    Connection(#[from] io::Error),
    /// `/ready` does not answer in time.
    #[error("/ready does not answer")]
    Timeout,
    /// Requests were answered with errors only.
    #[error("of {requests} requests none was served")]
    NothingServed {
        /// The requests that it accepted.
        requests: u64,
    },
}

/// Completes once the process is known to serve.
///
/// # Errors
///
/// It is known not to.
pub async fn serves(dir: &Path, pid: u32, address: SocketAddr) -> Result<(), ProofError> {
    let start = Instant::now();
    while let Err(error) = check_ready(address).await {
        if start.elapsed() > READY_TIMEOUT {
            return Err(error);
        }
        sleep(CHECK_INTERVAL).await;
    }
    let idle_proof = Instant::now() + IDLE_PROOF_TIMEOUT;
    loop {
        let Some(status) = status(dir, pid).await else {
            // An exit is reported by the process's watcher.
            sleep(CHECK_INTERVAL).await;
            continue;
        };
        let sum = |count: fn(&Counts) -> u64| status.requests.values().map(count).sum::<u64>();
        let requests = sum(|c| c.taken);
        let served = sum(|c| c.served);
        let unserved = sum(|c| c.failed + c.refused);
        if served > 0 || (requests == 0 && Instant::now() >= idle_proof) {
            return Ok(());
        }
        if unserved >= MAX_UNSERVED_RESPONSES {
            return Err(ProofError::NothingServed { requests });
        }
        sleep(CHECK_INTERVAL).await;
    }
}

/// Sends `GET /ready` to the instance's address, over loopback if it listens on every address.
async fn check_ready(address: SocketAddr) -> Result<(), ProofError> {
    let host = match address.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => IpAddr::V4(Ipv4Addr::LOCALHOST),
        IpAddr::V6(ip) if ip.is_unspecified() => IpAddr::V6(Ipv6Addr::LOCALHOST),
        ip => ip,
    };
    let exchange = async {
        let mut stream = bellcroft_net::connect(SocketAddr::new(host, address.port())).await?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: instance\r\nConnection: close\r\n\r\n").await?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await?;
        Ok::<_, io::Error>(answer)
    };
    match timeout(READY_TIMEOUT, exchange).await {
        Ok(Ok(answer)) if answer.starts_with(b"HTTP/1.1 200") => Ok(()),
        Ok(Ok(answer)) => {
            let line = String::from_utf8_lossy(&answer);
            Err(ProofError::NotReady(line.lines().next().unwrap_or_default().to_owned()))
        }
        Ok(Err(error)) => Err(error.into()),
        Err(_) => Err(ProofError::Timeout),
    }
}
