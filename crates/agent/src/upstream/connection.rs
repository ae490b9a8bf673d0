//! An open connection to a server, and the permit that counts it.

use super::metered_stream::{MeteredStream, StreamProgress};
use super::response::MAX_HEAD_BYTES;
use crate::streaming_body::OutgoingBody;
use bellcroft_balancer::ServerId;
use bellcroft_net::{connect, ConnectError};
use hyper::client::conn::http1::{Builder, SendRequest};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// A permit for one of the limited number of connections; dropping it releases the permit.
pub struct ConnectionPermit(Rc<Cell<usize>>);

impl ConnectionPermit {
    /// Counts a connection as open.
    pub fn new(open_connections: &Rc<Cell<usize>>) -> Self {
        open_connections.set(open_connections.get() + 1);
        ConnectionPermit(open_connections.clone())
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The process of a server that a connection is open to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerProcess {
    /// The server in the endpoint list.
    pub server: ServerId,
    /// Identifies the process and its address among all that the server has had.
    pub generation: u64,
}

/// An open connection; dropping it closes it.
pub struct Connection {
    /// Sends requests over the connection.
    pub sender: SendRequest<OutgoingBody>,
    /// The byte counts and write permission of the connection.
    pub progress: Rc<StreamProgress>,
    /// The server process to which the connection is open.
    pub process: ServerProcess,
    /// The end of the last exchange on this connection, or the time when it was opened.
    pub idle_since: Instant,
    /// The time from which the connection may be used for a request.
    pub reusable_at: Instant,
    task: JoinHandle<()>,
    _permit: ConnectionPermit,
}

impl Connection {
    /// Opens a connection to an address.
    ///
    /// # Errors
    ///
    /// The connection cannot be opened; the error distinguishes causes on this machine from others.
    pub async fn open(
        address: SocketAddr,
        process: ServerProcess,
        written_attempts: Rc<Cell<u64>>,
        permit: ConnectionPermit,
    ) -> Result<Self, ConnectError> {
        let stream = connect(address).await?;
        let progress = Rc::new(StreamProgress::new(written_attempts));
        let stream = MeteredStream::new(stream, progress.clone());
        let mut builder = Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES).max_header_size(MAX_HEAD_BYTES);
        let handshake = builder.handshake(stream).await;
        let (sender, connection) = handshake.map_err(|e| ConnectError::Remote(io::Error::other(e)))?;
        let task = tokio::task::spawn_local(async move {
            // `sender` reports a failure, and the count of written bytes shows how much of a request was sent.
            let _ = connection.await;
        });
        // A new connection needs no reuse delay: no response has been received that a second one could follow.
        let now = Instant::now();
        Ok(Connection { sender, progress, process, idle_since: now, reusable_at: now, task, _permit: permit })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
