//! Opens connections.

use crate::errors::{is_local_shortage, is_route_lost, retry_interrupted};
use crate::Stream;
use rustix::io::Errno;
use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Tries of a connect that fails for a reason of this machine's, which may be over a moment later.
const MAX_TRIES: u32 = 4;
/// The pause before the second try; it is doubled with each.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(2);

/// Why there is no connection.
#[derive(Debug)]
pub enum ConnectError {
    /// This machine lacks something for it: a descriptor, memory, a port. No fault of the other side's.
    Local(io::Error),
    /// The other side refused it or can't be reached.
    Remote(io::Error),
}

impl ConnectError {
    /// The system's error.
    pub fn cause(&self) -> &io::Error {
        match self {
            ConnectError::Local(error) | ConnectError::Remote(error) => error,
        }
    }
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectError::Local(error) => write!(f, "on this machine: {error}"),
            ConnectError::Remote(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for ConnectError {}

impl From<ConnectError> for io::Error {
    fn from(error: ConnectError) -> Self {
        match error {
            ConnectError::Local(error) | ConnectError::Remote(error) => error,
        }
    }
}

/// Connects to an address; how long that may take is its caller's to say.
///
/// # Errors
///
/// Whose fault it is, and the system's error.
pub async fn connect(address: SocketAddr) -> Result<Stream<TcpStream>, ConnectError> {
    let mut delay = FIRST_RETRY_DELAY;
    for _ in 1..MAX_TRIES {
        match try_connect(address).await {
            Err(error) if is_local_shortage(&error) || is_route_lost(&error) => sleep(delay).await,
            ended => return ended.map_err(classify),
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
        Err(error) if goes_on(&error) => {}
        Err(error) => return Err(error),
    }
    let stream = TcpStream::from_std(socket.into())?;
    stream.writable().await?;
    if let Some(error) = retry_interrupted(|| stream.take_error())? {
        return Err(error);
    }
    Ok(Stream::new(stream))
}

/// Whether a connect goes on though the call has ended.
fn goes_on(error: &io::Error) -> bool {
    // An interrupted connect goes on by itself (connect(2)); its end shows like that of one in progress.
    let errnos = [Errno::INPROGRESS, Errno::INTR, Errno::ALREADY];
    Errno::from_io_error(error).is_some_and(|errno| errnos.contains(&errno))
}
