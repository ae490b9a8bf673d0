//! One open connection to a backend, and the permit to hold it.

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

/// One of the connections that the process may hold; dropping it makes room for another.
pub struct ConnectionPermit(Rc<Cell<usize>>);

impl ConnectionPermit {
    /// Counts one more connection.
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

/// The process that a connection leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// Its name in the endpoint list.
    pub server: ServerId,
    /// Which of the processes and addresses behind that name it is.
    pub generation: u64,
}

/// One open connection; dropping it closes it.
pub struct Connection {
    /// Takes requests.
    pub sender: SendRequest<OutgoingBody>,
    /// What has been written and may be read.
    pub progress: Rc<StreamProgress>,
    /// Where it leads.
    pub peer: Peer,
    /// Since when no exchange has used it.
    pub idle_since: Instant,
    /// From when on it may carry a request.
    pub reusable_at: Instant,
    task: JoinHandle<()>,
    _permit: ConnectionPermit,
}

impl Connection {
    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Whose fault it is that there is none.
    pub async fn open(
        address: SocketAddr,
        peer: Peer,
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
            // How it ended shows at the sender and in the bytes written.
            let _ = connection.await;
        });
        // Nothing has been received over it that a second response could follow.
        let now = Instant::now();
        Ok(Connection { sender, progress, peer, idle_since: now, reusable_at: now, task, _permit: permit })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
