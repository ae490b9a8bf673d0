//! Replacement of a process by another one of the same agent.
//!
//! The new process connects to a Unix socket in the temporary folder that both share and receives the listening socket
//! itself (`SCM_RIGHTS`, unix(7)). Both processes then accept from one queue, so that no connection is lost whichever of
//! them stops. The stream between them stays open; its end means that the other process has exited.

use super::control::{is_authorized, read_line, write};
use super::socket_file::{BoundSocket, ServedSocket};
use bellcroft_agent_core::handover::HandoverEvent;
use bellcroft_agent_core::request_claims::RequestIdHash;
use bellcroft_net::Stream;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;

/// Bound of the exchange on both sides. The old process answers from its event loop, however busy it is; one that takes
/// longer counts as failed.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest line of either side.
const MAX_LINE_BYTES: usize = 1 << 10;
/// The length of a request's id on the stream between the processes.
const ID_BYTES: usize = 8;
/// Pause after a failed accept, such as with no descriptor left.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// What the new process requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "command")]
enum HandoverRequest {
    /// The listening socket.
    #[serde(rename = "succeed")]
    Listener {
        /// Whether the new process uses the log of claims. One of an earlier version does not.
        #[serde(default)]
        shares_claims: bool,
        /// Whether the new process takes over the state directory, with its lock.
        #[serde(default)]
        takes_state: bool,
    },
}

/// What the old process replies with the descriptors.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
struct HandoverReply {
    /// Whether the old process shuts down and has stopped accepting. One of an earlier version does not say so.
    #[serde(default)]
    stopped_accepting: bool,
}

/// Why the old process did not hand over its listening socket.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError {
    /// Its Unix socket is there and cannot be connected to.
    #[error("{}: {source}", path.display())]
    Connect {
        /// The Unix socket.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The stream failed before the answer was complete.
    #[error("the process that serves ended its word: {0}")]
    Exchange(#[source] io::Error),
    /// No answer came in time.
    #[error("the process that serves did not answer within {:?}", EXCHANGE_TIMEOUT)]
    Timeout,
    /// There is no such process any more.
    #[error("the process that serves has ended meanwhile")]
    NoPredecessor,
    /// The answer came without the lock of the state directory.
    #[error("the process that serves did not pass on its lock")]
    NoLock,
    /// The answer came without a descriptor.
    #[error("the process that serves said {0}")]
    NoDescriptor(String),
}

/// The Unix socket of an agent that serves `listen` under `name`, in the folder that its processes share. None where there
/// is no such folder, or where the kernel chooses the port, for then no two processes can mean the same address.
pub fn socket_path(folder: Option<PathBuf>, name: &str, listen: SocketAddr) -> Option<PathBuf> {
    let folder = folder.filter(|folder| folder.is_dir() && listen.port() != 0)?;
    let digest = bellcroft_platform_settings::fnv1a(&format!("{name} {listen}"));
    Some(folder.join(format!("bellcroft-{digest:016x}.sock")))
}

/// The stream to the other process, which closes when that process exits.
pub struct HandoverStream {
    stream: Stream<UnixStream>,
    /// Bytes of the stream that have been read already.
    received: Vec<u8>,
    /// Whether both processes use the log of claims; otherwise they tell each other the ids.
    shares_claims: bool,
    /// The event of the stream's end.
    on_end: HandoverEvent,
    /// The id of the other process, by the kernel.
    peer: Option<u32>,
}

/// What a process receives from its predecessor.
pub struct TransferredListener {
    /// The listening socket.
    pub listener: std::net::TcpListener,
    /// Whether the predecessor accepts connections at the same address.
    pub predecessor_accepts: bool,
    /// The log of claims; none if the predecessor is of an earlier version.
    pub claims: Option<OwnedFd>,
    /// The lock of the state directory, if this process takes that over.
    pub lock: Option<OwnedFd>,
    /// The stream to the predecessor.
    pub stream: HandoverStream,
}

/// What a process is told of the other one of a handover, and tells it.
pub trait HandoverPeer {
    /// Called when the state of the handover changes.
    fn on_event(&self, event: HandoverEvent);
    /// Called when the other process may execute the request with this id.
    fn on_executed_elsewhere(&self, id: RequestIdHash);
    /// The ids of the requests that this process may execute or have executed.
    fn claimed_here(&self) -> UnboundedReceiver<RequestIdHash>;
    /// The log of claims, for the other process.
    ///
    /// # Errors
    ///
    /// The kernel has no memory or no descriptor for it.
    fn share_claims(&self) -> io::Result<OwnedFd>;
    /// The lock of the state directory, for the other process.
    ///
    /// # Errors
    ///
    /// This process has none, or no descriptor is left.
    fn share_lock(&self) -> io::Result<OwnedFd>;
}

impl HandoverStream {
    /// Follows the other process until it has exited. With one of an earlier version, which does not use the log of claims, the ids of
    /// executed requests are exchanged meanwhile.
    async fn follow(self, peer: Rc<dyn HandoverPeer>) {
        let sent = async {
            if !self.shares_claims {
                self.send_ids(&*peer).await;
            }
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = self.receive_ids(&*peer) => {}
            () = sent => {}
        }
        peer.on_event(self.on_end);
    }

    /// Sends ids until the stream ends.
    async fn send_ids(&self, peer: &dyn HandoverPeer) {
        let mut claimed = peer.claimed_here();
        while let Some(RequestIdHash(id)) = claimed.recv().await {
            if self.stream.write_all_bytes(&id.to_be_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Receives ids until the stream ends.
    async fn receive_ids(&self, peer: &dyn HandoverPeer) {
        let mut received = self.received.clone();
        let mut chunk = [0; 64 * ID_BYTES];
        loop {
            let whole = received.len() - received.len() % ID_BYTES;
            for id in received.drain(..whole).collect::<Vec<u8>>().chunks_exact(ID_BYTES) {
                let bytes = id.try_into().unwrap_or([0; ID_BYTES]);
                peer.on_executed_elsewhere(RequestIdHash(u64::from_be_bytes(bytes)));
            }
            match poll_fn(|cx| self.stream.poll_read(cx, &mut chunk)).await {
                Ok(count @ 1..) => received.extend_from_slice(&chunk[..count]),
                Ok(_) | Err(_) => return,
            }
        }
    }

    /// The id of the other process, by the kernel.
    pub fn peer(&self) -> Option<u32> {
        self.peer
    }

    /// Follows the predecessor until it has exited.
    pub fn watch(self, peer: Rc<dyn HandoverPeer>) {
        tokio::task::spawn_local(self.follow(peer));
    }
}

/// Whether a process serves the Unix socket at this path.
pub fn is_served(path: &Path) -> bool {
    loop {
        match std::os::unix::net::UnixStream::connect(path) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            connected => return connected.is_ok(),
        }
    }
}

/// Requests the listening socket from the old process, and the lock of its state directory if `takes_state`; none if there is no
/// such process.
///
/// # Errors
///
/// There is one, and it did not hand over its socket.
pub async fn request_listener(
    path: &Path,
    takes_state: bool,
) -> Result<Option<TransferredListener>, HandoverError> {
    let stream = match UnixStream::connect(path).await {
        Ok(stream) => stream,
        // No process, or one that was killed and left its socket's file behind.
        Err(e) if matches!(e.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused) => {
            return Ok(None)
        }
        Err(source) => return Err(HandoverError::Connect { path: path.to_owned(), source }),
    };
    let exchange = async {
        let request = serde_json::to_string(&HandoverRequest::Listener { shares_claims: true, takes_state })?;
        write(&stream, format!("{request}\n").as_bytes(), &[]).await?;
        read_line(&stream, MAX_LINE_BYTES).await
    };
    let line = match timeout(EXCHANGE_TIMEOUT, exchange).await {
        Ok(answer) => answer.map_err(HandoverError::Exchange)?,
        Err(_) => return Err(HandoverError::Timeout),
    };
    let reply: HandoverReply = serde_json::from_slice(&line.text).unwrap_or_default();
    let mut descriptors = line.descriptors.into_iter();
    let Some(listener) = descriptors.next() else {
        return Err(HandoverError::NoDescriptor(String::from_utf8_lossy(&line.text).into_owned()));
    };
    let claims = descriptors.next();
    let lock = descriptors.next();
    let stream = HandoverStream {
        peer: process_id(&stream),
        stream: Stream::unix(stream),
        received: line.rest,
        shares_claims: claims.is_some(),
        on_end: HandoverEvent::PredecessorExited,
    };
    Ok(Some(TransferredListener {
        listener: listener.into(),
        predecessor_accepts: !reply.stopped_accepting,
        claims,
        lock,
        stream,
    }))
}

fn process_id(stream: &UnixStream) -> Option<u32> {
    stream.peer_cred().ok()?.pid().and_then(|pid| u32::try_from(pid).ok())
}

/// The listening socket as it is given to the next process.
#[derive(Debug)]
pub struct OfferedSocket {
    address: SocketAddr,
    /// None once this process has stopped accepting: while a copy is open, the kernel accepts connections that no process serves.
    listener: RefCell<Option<OwnedFd>>,
}

impl OfferedSocket {
    /// Offers a copy of the socket that listens on `address`.
    pub fn new(address: SocketAddr, listener: OwnedFd) -> Self {
        OfferedSocket { address, listener: RefCell::new(Some(listener)) }
    }

    /// A copy of the listening socket, or a new one in place of one that has been closed.
    fn for_successor(&self) -> io::Result<OwnedFd> {
        match &*self.listener.borrow() {
            Some(listener) => listener.try_clone(),
            None => Ok(bellcroft_net::listen(self.address, bellcroft_net::ACCEPT_BACKLOG)?.into()),
        }
    }

    fn reply(&self) -> HandoverReply {
        HandoverReply { stopped_accepting: self.listener.borrow().is_none() }
    }
}

/// Serves the Unix socket over which the next process requests the listening socket. Dropping it removes the socket's
/// file unless the next process has replaced that by its own.
pub struct HandoverListener {
    socket: ServedSocket,
    offered: Rc<OfferedSocket>,
}

impl HandoverListener {
    /// Answers each request with the listening socket, and tells `peer` of the requesting process.
    ///
    /// # Errors
    ///
    /// The runtime cannot watch the socket.
    pub fn serve(
        socket: BoundSocket,
        offered: Rc<OfferedSocket>,
        peer: Rc<dyn HandoverPeer>,
    ) -> io::Result<Self> {
        let accepting = offered.clone();
        let socket = socket.serve(|listener| tokio::task::spawn_local(accept(listener, accepting, peer)))?;
        Ok(HandoverListener { socket, offered })
    }

    /// Ends the service; another thread removes the socket's file.
    pub fn close(self) {
        self.socket.close();
    }

    /// Closes the copy of the listening socket. A process that asks from now on gets a new socket at the same address.
    pub fn stop_listening(&self) {
        drop(self.offered.listener.borrow_mut().take());
    }
}

async fn accept(socket: UnixListener, offered: Rc<OfferedSocket>, peer: Rc<dyn HandoverPeer>) {
    loop {
        let Ok((stream, _)) = socket.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        let (offered, peer) = (offered.clone(), peer.clone());
        tokio::task::spawn_local(async move {
            if let Ok(Ok(transferred)) = timeout(EXCHANGE_TIMEOUT, transfer(&stream, &offered, &*peer)).await
            {
                peer.on_event(HandoverEvent::ListenerRequested);
                let successor = HandoverStream {
                    peer: process_id(&stream),
                    stream: Stream::unix(stream),
                    received: transferred.received,
                    shares_claims: transferred.shares_claims,
                    on_end: HandoverEvent::SuccessorExited,
                };
                successor.follow(peer).await;
            }
        });
    }
}

/// A request that has been answered.
struct Transfer {
    /// Whether the log of claims went with the listening socket.
    shares_claims: bool,
    /// Bytes behind the request.
    received: Vec<u8>,
}

/// Answers one request with the listening socket, and with the log of claims if the new process uses it.
async fn transfer(
    stream: &UnixStream,
    offered: &OfferedSocket,
    peer: &dyn HandoverPeer,
) -> io::Result<Transfer> {
    if !is_authorized(rustix::process::geteuid().as_raw(), stream.peer_cred()?.uid()) {
        return Err(io::ErrorKind::PermissionDenied.into());
    }
    let line = read_line(stream, MAX_LINE_BYTES).await?;
    let Ok(HandoverRequest::Listener { shares_claims, takes_state }) = serde_json::from_slice(&line.text)
    else {
        return Err(io::ErrorKind::InvalidInput.into());
    };
    let reply = serde_json::to_string(&offered.reply())?;
    let mut descriptors = vec![offered.for_successor()?];
    if shares_claims {
        descriptors.push(peer.share_claims()?);
    }
    if takes_state {
        descriptors.push(peer.share_lock()?);
    }
    write(stream, format!("{reply}\n").as_bytes(), &descriptors).await?;
    Ok(Transfer { shares_claims, received: line.rest })
}
