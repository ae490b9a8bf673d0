//! Checks of a new process: whether it is ready, and whether it serves requests.

use crate::daemon::commands::InstanceRequest;
use crate::daemon::control;
use crate::daemon::status::{Counts, Phase, Status};
use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, timeout, Instant};

/// Interval between two checks of a process.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// If no request arrives for this time, readiness alone suffices: an idle instance has no requests to serve.
const IDLE_TIMEOUT: Duration = Duration::from_millis(300);
/// The instance counts as not serving after this many failed or refused requests, unless it has served one.
const MAX_UNSERVED_REQUESTS: u64 = 20;
/// Timeout of one `/ready` request; also the time during which failed `/ready` requests are retried.
const READY_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the status of the process that holds a state directory, if its process id is `pid`.
pub async fn status(dir: &Path, pid: u32) -> Option<Status> {
    let reply = control::request(dir, &InstanceRequest::Status).await.ok()?;
    if reply.pid != Some(pid) {
        return None;
    }
    serde_json::from_value(reply.value).ok()
}

/// Completes once the process reports that it is ready, and never if it does not.
pub async fn wait_until_ready(dir: &Path, pid: u32) {
    while status(dir, pid).await.is_none_or(|status| status.phase != Phase::Ready) {
        sleep(CHECK_INTERVAL).await;
    }
}

/// Reason why a process counts as not serving.
#[derive(Debug, thiserror::Error)]
pub enum ProofError {
    /// The response to `/ready` has a status other than 200.
    #[error("/ready answers {0:?}")]
    NotReady(String),
    /// The connection for the `/ready` request failed.
    #[error("/ready: {0}")]
    Connection(#[from] io::Error),
    /// The `/ready` request timed out.
    #[error("/ready does not answer")]
    Timeout,
    /// All responses so far were errors.
    #[error("of {requests} requests none was served")]
    NothingServed {
        /// Number of requests that the process received.
        requests: u64,
    },
}

/// Completes once the process has served a request, or is ready and idle.
///
/// # Errors
///
/// Returns [`ProofError`] if `/ready` keeps failing, or if the process responds to requests with errors only.
pub async fn verify_serving(dir: &Path, pid: u32, address: SocketAddr) -> Result<(), ProofError> {
    let start = Instant::now();
    while let Err(error) = check_ready(address).await {
        if start.elapsed() > READY_TIMEOUT {
            return Err(error);
        }
        sleep(CHECK_INTERVAL).await;
    }
    let idle_deadline = Instant::now() + IDLE_TIMEOUT;
    loop {
        let Some(status) = status(dir, pid).await else {
            // If the process has exited, the task that waits for it reports that.
            sleep(CHECK_INTERVAL).await;
            continue;
        };
        let sum = |count: fn(&Counts) -> u64| status.requests.values().map(count).sum::<u64>();
        let requests = sum(|c| c.taken);
        let served = sum(|c| c.served);
        let unserved = sum(|c| c.failed + c.refused);
        if served > 0 || (requests == 0 && Instant::now() >= idle_deadline) {
            return Ok(());
        }
        if unserved >= MAX_UNSERVED_REQUESTS {
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
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await?;
        Ok::<_, io::Error>(response)
    };
    match timeout(READY_TIMEOUT, exchange).await {
        Ok(Ok(response)) if response.starts_with(b"HTTP/1.1 200") => Ok(()),
        Ok(Ok(response)) => {
            let line = String::from_utf8_lossy(&response);
            Err(ProofError::NotReady(line.lines().next().unwrap_or_default().to_owned()))
        }
        Ok(Err(error)) => Err(error.into()),
        Err(_) => Err(ProofError::Timeout),
    }
}
