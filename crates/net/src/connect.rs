//! Opening TCP connections.

use crate::errors::{is_local_shortage, is_network_unreachable, retry_interrupted};
use crate::Stream;
use rustix::io::Errno;
use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// The maximum number of connect calls when they fail for a reason on this machine, which may be temporary.
const MAX_CONNECT_ATTEMPTS: u32 = 4;
/// The delay before the second connect call; it doubles with each further one.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(2);

/// Why a connection could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// This machine lacks a descriptor, memory or a port for the connection. The peer is not involved.
    #[error("on this machine: {0}")]
    Local(#[source] io::Error),
    /// The peer refused the connection or cannot be reached.
    #[error("{0}")]
    Remote(#[source] io::Error),
}

impl ConnectError {
    /// The error that the system call returned.
    pub fn cause(&self) -> &io::Error {
        match self {
            ConnectError::Local(error) | ConnectError::Remote(error) => error,
        }
    }
}

impl From<ConnectError> for io::Error {
    fn from(error: ConnectError) -> Self {
        match error {
            ConnectError::Local(error) | ConnectError::Remote(error) => error,
        }
    }
}

/// Connects to an address. The caller has to set a timeout.
///
/// # Errors
///
/// The error that the system call returned, and whether its cause is on this machine.
pub async fn connect(address: SocketAddr) -> Result<Stream<TcpStream>, ConnectError> {
    let mut delay = FIRST_RETRY_DELAY;
    for _ in 1..MAX_CONNECT_ATTEMPTS {
        match try_connect(address).await {
            Err(error) if is_local_shortage(&error) || is_network_unreachable(&error) => sleep(delay).await,
            result => return result.map_err(classify),
        }
        delay *= 2;
    }
    try_connect(address).await.map_err(classify)
}

fn classify(error: io::Error) -> ConnectError {
    if is_local_shortage(&error) {
        ConnectError::Local(error)
    } else {
        ConnectError::Remote(error)
    }
}

async fn try_connect(address: SocketAddr) -> io::Result<Stream<TcpStream>> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    match socket.connect(&SockAddr::from(address)) {
        Ok(()) => {}
        Err(error) if is_in_progress(&error) => {}
        Err(error) => return Err(error),
    }
    let stream = TcpStream::from_std(socket.into())?;
    stream.writable().await?;
    if let Some(error) = retry_interrupted(|| stream.take_error())? {
        return Err(error);
    }
    Ok(Stream::new(stream))
}

/// Whether the kernel continues to connect after the call has returned.
fn is_in_progress(error: &io::Error) -> bool {
    // An interrupted connect continues asynchronously (see connect(2)) and completes like one in progress.
    let errnos = [Errno::INPROGRESS, Errno::INTR, Errno::ALREADY];
    Errno::from_io_error(error).is_some_and(|errno| errnos.contains(&errno))
}
