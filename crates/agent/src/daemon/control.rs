//! The control socket: one line of JSON as the request, one line as the reply. A reply may carry a descriptor
//! (`SCM_RIGHTS`, unix(7)), by which a supervisor gets back the listening socket of an instance that outlived it.

use super::socket_file::{BoundSocket, ServedSocket, SocketFile};
use rustix::net::{RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags};
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use serde::Serialize;
use serde_json::Value;
use std::cell::Cell;
use std::fmt;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::{UnixListener, UnixStream};
use tokio::time::timeout;

/// A client whose exchange takes longer is disconnected.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest request line in bytes.
const MAX_REQUEST_BYTES: usize = 4 << 10;
/// Longest reply line in bytes: the status of a fleet of thousands.
const MAX_REPLY_BYTES: usize = 16 << 20;
/// Largest number of descriptors that go with a line.
const MAX_DESCRIPTORS: usize = 3;
/// Clients at a time; a further one is disconnected at once.
pub(crate) const MAX_CLIENTS: usize = 16;
/// Pause after a failed accept, such as with no descriptor left.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Bound of [`request`]; its value stands in [`RequestError::Timeout`]'s text.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// A reply to a request.
pub struct Reply {
    /// The message.
    pub value: Value,
    /// A descriptor that goes with it.
    pub descriptor: Option<OwnedFd>,
}

impl Reply {
    /// A reply without a descriptor.
    pub fn message(message: &impl Serialize) -> Self {
        match serde_json::to_value(message) {
            Ok(value) => Reply { value, descriptor: None },
            Err(e) => error(e),
        }
    }
}

#[derive(Serialize)]
struct ErrorReply {
    error: String,
}

/// A reply that reports an error.
pub fn error(reason: impl fmt::Display) -> Reply {
    Reply::message(&ErrorReply { error: reason.to_string() })
}

/// A control socket that is being served; dropping it removes the socket's file, unless another process has replaced that.
pub struct Control(ServedSocket);

impl Control {
    /// Serves `dir/control.sock`; the caller holds the directory's lock. Waits for the disk.
    ///
    /// # Errors
    ///
    /// The socket cannot be made.
    pub fn serve(dir: &Path, answer: impl Fn(Value) -> Reply + 'static) -> io::Result<Self> {
        Self::serve_bound(BoundSocket::bind(&dir.join(super::state::CONTROL_SOCKET))?, answer)
    }

    /// Serves a control socket that has been made.
    ///
    /// # Errors
    ///
    /// The runtime cannot watch the socket.
    pub fn serve_bound(socket: BoundSocket, answer: impl Fn(Value) -> Reply + 'static) -> io::Result<Self> {
        let served = socket.serve(|listener| tokio::task::spawn_local(accept(listener, Rc::new(answer))))?;
        Ok(Control(served))
    }

    /// The socket's file.
    pub fn file(&self) -> SocketFile {
        self.0.file()
    }

    /// Ends the service; another thread removes the socket's file.
    pub fn close(self) {
        self.0.close();
    }
}

async fn accept(listener: UnixListener, answer: Rc<dyn Fn(Value) -> Reply>) {
    let own_uid = rustix::process::geteuid().as_raw();
    let clients = Rc::new(Cell::new(0_usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        if clients.get() >= MAX_CLIENTS {
            continue;
        }
        clients.set(clients.get() + 1);
        let (answer, clients) = (answer.clone(), clients.clone());
        tokio::task::spawn_local(async move {
            // A client that disconnects or is slow gets no reply; nothing else depends on it.
            let _ = timeout(REQUEST_TIMEOUT, serve_client(&stream, own_uid, &*answer)).await;
            clients.set(clients.get() - 1);
        });
    }
}

async fn serve_client(stream: &UnixStream, own_uid: u32, answer: &dyn Fn(Value) -> Reply) -> io::Result<()> {
    let peer = stream.peer_cred()?;
    let reply = if is_authorized(own_uid, peer.uid()) {
        let line = read_line(stream, MAX_REQUEST_BYTES).await?;
        match serde_json::from_slice(&line.text) {
            Ok(value) => answer(value),
            Err(e) => error(format!("the line is no JSON: {e}")),
        }
    } else {
        error(format!("user {} has no business here", peer.uid()))
    };
    let mut text = reply.value.to_string();
    text.push('\n');
    write(stream, text.as_bytes(), reply.descriptor.as_slice()).await
}

/// Whether a process of user `peer_uid` may command one of user `own_uid`: the same user and root may.
pub(super) fn is_authorized(own_uid: u32, peer_uid: u32) -> bool {
    peer_uid == own_uid || peer_uid == 0
}

/// Writes all of `text`; the descriptors, [`MAX_DESCRIPTORS`] at most, go with its first byte.
pub(super) async fn write(stream: &UnixStream, text: &[u8], descriptors: &[OwnedFd]) -> io::Result<()> {
    let mut descriptors: Vec<BorrowedFd> = descriptors.iter().map(AsFd::as_fd).collect();
    let mut rest = text;
    while !rest.is_empty() {
        let sent = stream
            .async_io(Interest::WRITABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
                let mut ancillary = SendAncillaryBuffer::new(&mut space);
                if !descriptors.is_empty() {
                    ancillary.push(SendAncillaryMessage::ScmRights(&descriptors));
                }
                let parts = [IoSlice::new(rest)];
                let send = || rustix::net::sendmsg(stream, &parts, &mut ancillary, SendFlags::NOSIGNAL);
                Ok(rustix::io::retry_on_intr(send)?)
            })
            .await?;
        descriptors.clear();
        rest = &rest[sent..];
    }
    Ok(())
}

/// A line that was read.
pub(super) struct Line {
    /// Its bytes, without the line feed.
    pub(super) text: Vec<u8>,
    /// The descriptors that came with it.
    pub(super) descriptors: Vec<OwnedFd>,
    /// The bytes behind it that were read too.
    pub(super) rest: Vec<u8>,
}

/// Reads up to the end of a line.
pub(super) async fn read_line(stream: &UnixStream, max_bytes: usize) -> io::Result<Line> {
    let mut line = Vec::new();
    let mut descriptors = Vec::new();
    loop {
        let mut chunk = [0; 4096];
        let read = stream
            .async_io(Interest::READABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
                let mut ancillary = RecvAncillaryBuffer::new(&mut space);
                let mut into = [IoSliceMut::new(&mut chunk)];
                let receive =
                    || rustix::net::recvmsg(stream, &mut into, &mut ancillary, RecvFlags::CMSG_CLOEXEC);
                let received = rustix::io::retry_on_intr(receive)?;
                for message in ancillary.drain() {
                    if let RecvAncillaryMessage::ScmRights(received) = message {
                        descriptors.extend(received);
                    }
                }
                Ok(received.bytes)
            })
            .await?;
        line.extend_from_slice(&chunk[..read]);
        if let Some(end) = line.iter().position(|b| *b == b'\n') {
            let rest = line.split_off(end + 1);
            line.truncate(end);
            return Ok(Line { text: line, descriptors, rest });
        }
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if line.len() > max_bytes {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "the line is too long"));
        }
    }
}

/// Why a request got no good reply.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// No process serves the control socket.
    #[error("not running")]
    NotRunning,
    /// A process serves it, and the exchange failed.
    #[error(transparent)]
    Failed(#[from] RequestError),
}

/// Why an exchange with a running process failed.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The request or the reply is no JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// No reply came in time.
    #[error("no answer within 3 s")]
    Timeout,
    /// The process replied with an error.
    #[error("{0}")]
    Rejected(String),
}

/// The reply of a running process.
pub struct ControlReply {
    /// The message.
    pub value: Value,
    /// The descriptor that came with it.
    pub descriptor: Option<OwnedFd>,
    /// The process that made the socket, by the kernel (`SO_PEERCRED`) and not by its own account.
    pub pid: Option<u32>,
}

/// Sends a request to the control socket of a state directory.
///
/// # Errors
///
/// No process serves it, or no good reply came within 3 s; a reply `{"error": ...}` is [`RequestError::Rejected`].
pub async fn request(dir: &Path, request: &impl Serialize) -> Result<ControlReply, ControlError> {
    let timed_out = || ControlError::Failed(RequestError::Timeout);
    let exchange = async {
        let stream = connect(dir).await?;
        Ok(exchange(&stream, request).await?)
    };
    timeout(REPLY_TIMEOUT, exchange).await.unwrap_or_else(|_| Err(timed_out()))
}

async fn connect(dir: &Path) -> Result<UnixStream, ControlError> {
    use io::ErrorKind::{ConnectionRefused, NotADirectory, NotFound};
    let connected = UnixStream::connect(dir.join(super::state::CONTROL_SOCKET)).await;
    connected.map_err(|e| match e.kind() {
        NotFound | ConnectionRefused | NotADirectory => ControlError::NotRunning,
        _ => ControlError::Failed(e.into()),
    })
}

async fn exchange(stream: &UnixStream, request: &impl Serialize) -> Result<ControlReply, RequestError> {
    let pid = stream.peer_cred()?.pid().and_then(|pid| u32::try_from(pid).ok());
    let mut line = serde_json::to_string(request)?;
    line.push('\n');
    write(stream, line.as_bytes(), &[]).await?;
    let line = read_line(stream, MAX_REPLY_BYTES).await?;
    let descriptor = line.descriptors.into_iter().next();
    let value: Value = serde_json::from_slice(&line.text)?;
    match value.get("error").and_then(Value::as_str) {
        Some(reason) => Err(RequestError::Rejected(reason.to_owned())),
        None => Ok(ControlReply { value, descriptor, pid }),
    }
}

#[cfg(test)]
#[path = "../../tests/unit/daemon_control.rs"]
mod tests;
