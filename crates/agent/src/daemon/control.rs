//! The control socket: one line of JSON asks, one line answers. An answer may bring a descriptor along
//! (`SCM_RIGHTS`, unix(7)), by which a supervisor gets back the listening socket of an instance that outlived it.

use rustix::net::{RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags};
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use serde_json::{json, Value};
use std::cell::Cell;
use std::fmt;
use std::fs::Permissions;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::{UnixListener, UnixStream};
use tokio::time::timeout;

/// A client that has not said what it wants by then is let go.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest line that is read of a client.
const MAX_REQUEST_BYTES: usize = 4 << 10;
/// The longest answer that is read: the status of a fleet of thousands.
const MAX_REPLY_BYTES: usize = 16 << 20;
/// Clients at a time; one more is let go at once.
pub(crate) const MAX_CLIENTS: usize = 16;

/// An answer.
pub struct Reply {
    /// What it says.
    pub value: Value,
    /// A descriptor that goes along.
    pub descriptor: Option<OwnedFd>,
}

impl From<Value> for Reply {
    fn from(value: Value) -> Self {
        Reply { value, descriptor: None }
    }
}

/// An answer that says what was wrong.
pub fn error(why: impl fmt::Display) -> Reply {
    json!({"error": why.to_string()}).into()
}

/// A control socket that is being served; dropping it removes the socket's file.
pub struct Control {
    file: PathBuf,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Control {
    fn drop(&mut self) {
        self.task.abort();
        let _ = std::fs::remove_file(&self.file);
    }
}

impl Control {
    /// Serves `dir/control.sock`, which no one else may be serving: the caller holds the directory's lock.
    ///
    /// # Errors
    ///
    /// The socket cannot be made.
    pub fn serve(dir: &Path, answer: impl Fn(Value) -> Reply + 'static) -> io::Result<Self> {
        let file = dir.join(super::state::CONTROL_SOCKET);
        let fresh = dir.join(format!("{}.new", super::state::CONTROL_SOCKET));
        let _ = std::fs::remove_file(&fresh);
        let listener = UnixListener::bind(&fresh)?;
        std::fs::set_permissions(&fresh, Permissions::from_mode(0o600))?;
        // Under its name it is there only with its mode.
        std::fs::rename(&fresh, &file)?;
        let own = rustix::process::geteuid().as_raw();
        let answer = Rc::new(answer);
        let clients = Rc::new(Cell::new(0_usize));
        let task = tokio::task::spawn_local(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    continue;
                };
                if clients.get() >= MAX_CLIENTS {
                    continue;
                }
                clients.set(clients.get() + 1);
                let (answer, clients) = (answer.clone(), clients.clone());
                tokio::task::spawn_local(async move {
                    // Whoever leaves or is slow is not waited for.
                    let _ = timeout(REQUEST_TIMEOUT, client(&stream, own, &*answer)).await;
                    clients.set(clients.get() - 1);
                });
            }
        });
        Ok(Control { file, task })
    }
}

async fn client(stream: &UnixStream, own: u32, answer: &dyn Fn(Value) -> Reply) -> io::Result<()> {
    let peer = stream.peer_cred()?;
    let reply = if is_authorized(own, peer.uid()) {
        let (line, _) = read_line(stream, MAX_REQUEST_BYTES).await?;
        match serde_json::from_slice(&line) {
            Ok(value) => answer(value),
            Err(e) => error(format!("the line is no JSON: {e}")),
        }
    } else {
        error(format!("user {} has no business here", peer.uid()))
    };
    let mut text = reply.value.to_string();
    text.push('\n');
    write(stream, text.as_bytes(), reply.descriptor).await
}

/// Whether a user may command the process of another: its own may, and root.
pub(super) fn is_authorized(own: u32, peer: u32) -> bool {
    peer == own || peer == 0
}

/// Writes all of `text`; the descriptor goes with its first byte.
pub(super) async fn write(stream: &UnixStream, text: &[u8], descriptor: Option<OwnedFd>) -> io::Result<()> {
    let mut descriptor = descriptor;
    let mut rest = text;
    while !rest.is_empty() {
        let sent = stream
            .async_io(Interest::WRITABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
                let mut along = SendAncillaryBuffer::new(&mut space);
                let descriptors = descriptor.as_ref().map(|d| [d.as_fd()]);
                if let Some(descriptors) = &descriptors {
                    along.push(SendAncillaryMessage::ScmRights(descriptors));
                }
                let parts = [IoSlice::new(rest)];
                let send = || rustix::net::sendmsg(stream, &parts, &mut along, SendFlags::NOSIGNAL);
                Ok(rustix::io::retry_on_intr(send)?)
            })
            .await?;
        descriptor = None;
        rest = &rest[sent..];
    }
    Ok(())
}

/// Reads up to a line's end, and the descriptor that came along.
pub(super) async fn read_line(stream: &UnixStream, most: usize) -> io::Result<(Vec<u8>, Option<OwnedFd>)> {
    let mut line = Vec::new();
    let mut descriptor = None;
    loop {
        let mut chunk = [0; 4096];
        let read = stream
            .async_io(Interest::READABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
                let mut along = RecvAncillaryBuffer::new(&mut space);
                let mut into = [IoSliceMut::new(&mut chunk)];
                let receive = || rustix::net::recvmsg(stream, &mut into, &mut along, RecvFlags::CMSG_CLOEXEC);
                let got = rustix::io::retry_on_intr(receive)?;
                for message in along.drain() {
                    if let RecvAncillaryMessage::ScmRights(mut descriptors) = message {
                        descriptor = descriptors.next().or(descriptor.take());
                    }
                }
                Ok(got.bytes)
            })
            .await?;
        line.extend_from_slice(&chunk[..read]);
        if let Some(end) = line.iter().position(|b| *b == b'\n') {
            line.truncate(end);
            return Ok((line, descriptor));
        }
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if line.len() > most {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "the line is too long"));
        }
    }
}

/// Why a control socket gave no answer.
#[derive(Debug)]
pub enum ControlError {
    /// Nobody serves it.
    NotRunning,
    /// Somebody does, and this went wrong.
    Failed(String),
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ControlError::NotRunning => f.write_str("not running"),
            ControlError::Failed(why) => f.write_str(why),
        }
    }
}

/// What a control socket answered.
pub struct ControlReply {
    /// What it says.
    pub value: Value,
    /// The descriptor that came along.
    pub descriptor: Option<OwnedFd>,
    /// The process that made the socket, by the kernel's word (`SO_PEERCRED`) and not by its own.
    pub pid: Option<u32>,
}

/// How long an answer is waited for.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// Asks the control socket of a state directory.
///
/// # Errors
///
/// Nobody serves it, or no good answer came within 3 s; an answer `{"error": ...}` is one of these.
pub async fn request(dir: &Path, request: &Value) -> Result<ControlReply, ControlError> {
    let failed = |e: io::Error| ControlError::Failed(e.to_string());
    let exchange = async {
        let stream =
            UnixStream::connect(dir.join(super::state::CONTROL_SOCKET)).await.map_err(|e| {
                match e.kind() {
                    io::ErrorKind::NotFound
                    | io::ErrorKind::ConnectionRefused
                    | io::ErrorKind::NotADirectory => ControlError::NotRunning,
                    _ => failed(e),
                }
            })?;
        let pid = stream.peer_cred().map_err(failed)?.pid().and_then(|pid| u32::try_from(pid).ok());
        let mut line = request.to_string();
        line.push('\n');
        write(&stream, line.as_bytes(), None).await.map_err(failed)?;
        let (line, descriptor) = read_line(&stream, MAX_REPLY_BYTES).await.map_err(failed)?;
        let value: Value = serde_json::from_slice(&line).map_err(|e| ControlError::Failed(e.to_string()))?;
        match value.get("error").and_then(Value::as_str) {
            Some(why) => Err(ControlError::Failed(why.to_owned())),
            None => Ok(ControlReply { value, descriptor, pid }),
        }
    };
    timeout(REPLY_TIMEOUT, exchange).await.unwrap_or(Err(ControlError::Failed("no answer within 3 s".into())))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_the_process_s_own_user_and_root_are_admitted() {
        assert!(is_authorized(1000, 1000) && is_authorized(1000, 0) && is_authorized(0, 0));
        assert!(!is_authorized(1000, 1001) && !is_authorized(0, 1000));
    }

    #[tokio::test(flavor = "current_thread")]
    async fn answers_bring_descriptors_and_silent_clients_hold_nobody_up() {
        let dir = std::env::temp_dir().join(format!("bellcroft-control-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        let local = tokio::task::LocalSet::new();
        local
            .run_until(async {
                assert!(matches!(request(&dir, &json!({})).await, Err(ControlError::NotRunning)));
                let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
                let address = listener.local_addr().expect("an address");
                let control = Control::serve(&dir, move |value| match value["command"].as_str() {
                    Some("listener") => Reply {
                        value: json!({"ok": true}),
                        descriptor: listener.try_clone().ok().map(OwnedFd::from),
                    },
                    _ => error("no such command"),
                })
                .expect("a socket");
                let mode =
                    std::fs::metadata(dir.join("control.sock")).expect("it is there").permissions().mode();
                assert_eq!(mode & 0o777, 0o600);
                let mut silent = Vec::new();
                for _ in 0..MAX_CLIENTS - 1 {
                    silent.push(UnixStream::connect(dir.join("control.sock")).await.expect("it is taken"));
                }
                let told =
                    request(&dir, &json!({"command": "listener"})).await.unwrap_or_else(|e| panic!("{e}"));
                assert_eq!(told.pid, Some(std::process::id()));
                let got = std::net::TcpListener::from(told.descriptor.expect("a descriptor"));
                assert_eq!(got.local_addr().expect("an address"), address);
                let why =
                    request(&dir, &json!({"command": "else"})).await.err().expect("an error").to_string();
                assert_eq!(why, "no such command");
                // Those that say nothing are let go, and their places are free again.
                for stream in &silent {
                    let (line, _) = read_line(stream, 10).await.unwrap_or_default();
                    assert!(line.is_empty());
                }
                drop(control);
                assert!(matches!(request(&dir, &json!({})).await, Err(ControlError::NotRunning)));
            })
            .await;
        std::fs::remove_dir_all(&dir).expect("it is ours");
    }
}
