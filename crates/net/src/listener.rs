//! Accepting connections.

use crate::errors::{concerns_one_connection, is_descriptor_shortage, open_with_retry};
use crate::receive_time::record_receive_times;
use crate::Stream;
use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixListener;
use std::path::Path;
use tokio::net::{TcpListener, TcpStream};

/// The maximum number of connections that the kernel queues until they are accepted.
pub const ACCEPT_BACKLOG: u32 = 1024;
/// The number of connections that fail in a row after which [`Listener::accept`] returns an error.
const MAX_FAILED_CONNECTIONS: usize = 256;

/// Why no connection was accepted. The listening socket remains usable.
#[derive(Debug, thiserror::Error)]
pub enum AcceptError {
    /// This process, or the machine, has no descriptor or memory for a connection.
    #[error("no descriptor or memory: {0}")]
    Shortage(#[source] io::Error),
    /// Another failure; the caller accepts again after a pause.
    #[error("{0}")]
    Other(#[source] io::Error),
}

/// Opens a socket that listens on an address, with so many connections at most in its accept queue.
///
/// # Errors
///
/// There is no descriptor or memory for it, or it cannot listen on the address.
pub fn listen(address: SocketAddr, backlog: u32) -> io::Result<std::net::TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&SockAddr::from(address))?;
    socket.listen(backlog as i32)?;
    Ok(socket.into())
}

/// Opens a Unix socket that listens at a path, where no file may be yet. It does not block; making its file waits for the disk.
///
/// # Errors
///
/// There is no descriptor for it, or its file cannot be made.
pub fn listen_unix(path: &Path) -> io::Result<UnixListener> {
    let listener = UnixListener::bind(path)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// A listening socket.
#[derive(Debug)]
pub struct Listener(TcpListener);

impl Listener {
    /// Listens on an address. A shortage of descriptors is retried for one second.
    ///
    /// # Errors
    ///
    /// The socket cannot be opened, or cannot listen on the address.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Self::from_std(open_with_retry(|| listen(address, ACCEPT_BACKLOG)).await?)
    }

    /// Wraps a socket that is listening already.
    ///
    /// # Errors
    ///
    /// The socket cannot be registered with the runtime.
    pub fn from_std(listener: std::net::TcpListener) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        record_receive_times(&listener);
        Ok(Listener(TcpListener::from_std(listener)?))
    }

    /// The address that the socket listens on.
    ///
    /// # Errors
    ///
    /// The system call fails.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// Waits for the next connection. Errors that concern a single connection are skipped.
    ///
    /// # Errors
    ///
    /// No connection can be accepted at present.
    pub async fn accept(&self) -> Result<Stream<TcpStream>, AcceptError> {
        for _ in 0..MAX_FAILED_CONNECTIONS {
            match self.0.accept().await {
                Ok((stream, _)) => return Ok(Stream::new(stream)),
                Err(error) if concerns_one_connection(&error) => {}
                Err(error) if is_descriptor_shortage(&error) => return Err(AcceptError::Shortage(error)),
                Err(error) => return Err(AcceptError::Other(error)),
            }
        }
        Err(AcceptError::Other(io::ErrorKind::ConnectionAborted.into()))
    }

    /// Stops listening and returns the connections that the kernel has queued by now. It calls the socket directly, since the
    /// readiness that the runtime has recorded may be out of date.
    pub fn into_backlog(self) -> Vec<Stream<TcpStream>> {
        let mut backlog = Vec::new();
        let Ok(listener) = self.0.into_std() else { return backlog };
        let mut failed = 0;
        while failed < MAX_FAILED_CONNECTIONS {
            match listener.accept() {
                Ok((stream, _)) => {
                    let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                    backlog.extend(stream.ok().map(Stream::new));
                }
                Err(error) if concerns_one_connection(&error) || is_descriptor_shortage(&error) => {
                    failed += 1;
                }
                Err(_) => break,
            }
        }
        backlog
    }
}

impl AsFd for Listener {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}
