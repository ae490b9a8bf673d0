//! How a new process of this agent takes the clients' address from the old one: it asks over a Unix socket in the
//! temporary folder that both share, and gets the listening socket itself (`SCM_RIGHTS`, unix(7)). So there is one queue of
//! connections, and none is lost whoever stops taking from it. The tie stays open; its end is the other's end.

use super::control::{is_authorized, read_line, write};
use bellcroft_agent_core::handover::HandoverEvent;
use bellcroft_net::Stream;
use serde_json::{json, Value};
use std::fs::Permissions;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// The old process answers at once, however busy it is; one that does not by then is as good as gone.
const ANSWER_WITHIN: Duration = Duration::from_secs(3);
/// The longest line of either side.
const LINE_MOST: usize = 1 << 10;
const ASK: &str = "succeed";

/// The socket of an agent that serves `listen` under `name`, in the folder that its processes share. None where there is
/// no such folder, or where the kernel chooses the port and no two processes can mean the same one.
pub fn socket_path(folder: Option<PathBuf>, name: &str, listen: SocketAddr) -> Option<PathBuf> {
    let folder = folder.filter(|folder| folder.is_dir() && listen.port() != 0)?;
    let digest = bellcroft_platform_settings::fnv1a(&format!("{name} {listen}"));
    Some(folder.join(format!("bellcroft-{digest:016x}.sock")))
}

/// A tie to the other process.
pub struct HandoverStream(Stream<UnixStream>);

impl HandoverStream {
    /// Waits for the other's end.
    async fn ended(self) {
        let mut chunk = [0; 64];
        loop {
            match poll_fn(|cx| self.0.poll_read(cx, &mut chunk)).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Tells of the other's end when it comes.
    pub fn watch(self, tell: impl FnOnce() + 'static) {
        tokio::task::spawn_local(async move {
            self.ended().await;
            tell();
        });
    }
}

/// Asks the old process, if there is one, for the clients' address.
///
/// # Errors
///
/// There is one, and it did not give it.
pub async fn request_listener(
    file: &Path,
) -> Result<Option<(std::net::TcpListener, HandoverStream)>, String> {
    let stream = match UnixStream::connect(file).await {
        Ok(stream) => stream,
        // Nobody, or one that has ended without its last words.
        Err(e) if matches!(e.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused) => {
            return Ok(None)
        }
        Err(e) => return Err(format!("{}: {e}", file.display())),
    };
    let exchange = async {
        write(&stream, format!("{}\n", json!({"command": ASK})).as_bytes(), None).await?;
        read_line(&stream, LINE_MOST).await
    };
    let (line, descriptor) = match timeout(ANSWER_WITHIN, exchange).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(e)) => return Err(format!("the process that serves ended its word: {e}")),
        Err(_) => return Err(format!("the process that serves did not answer within {ANSWER_WITHIN:?}")),
    };
    match descriptor {
        Some(descriptor) => {
            Ok(Some((std::net::TcpListener::from(descriptor), HandoverStream(Stream::local(stream)))))
        }
        None => Err(format!("the process that serves said {}", String::from_utf8_lossy(&line))),
    }
}

/// The socket over which the next process asks.
pub struct HandoverListener {
    file: PathBuf,
    task: JoinHandle<()>,
    /// The next process has made its own socket in its place.
    pub inherited: std::cell::Cell<bool>,
}

impl Drop for HandoverListener {
    fn drop(&mut self) {
        self.task.abort();
        if !self.inherited.get() {
            let _ = std::fs::remove_file(&self.file);
        }
    }
}

impl HandoverListener {
    /// Answers whoever asks at `file` with a copy of the listening socket, and tells what becomes known.
    ///
    /// # Errors
    ///
    /// The socket cannot be made.
    pub fn serve(
        file: PathBuf,
        listener: OwnedFd,
        tell: impl Fn(HandoverEvent) + 'static,
    ) -> io::Result<Self> {
        let fresh = file.with_extension("new");
        let _ = std::fs::remove_file(&fresh);
        let socket = UnixListener::bind(&fresh)?;
        std::fs::set_permissions(&fresh, Permissions::from_mode(0o600))?;
        // In one step over the old process's: whoever asks from here on asks this one.
        std::fs::rename(&fresh, &file)?;
        let own = rustix::process::geteuid().as_raw();
        let tell = Rc::new(tell);
        let task = tokio::task::spawn_local(async move {
            loop {
                let Ok((stream, _)) = socket.accept().await else {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    continue;
                };
                let (copy, tell) = (listener.try_clone(), tell.clone());
                tokio::task::spawn_local(async move {
                    let exchange = async {
                        if !is_authorized(own, stream.peer_cred()?.uid()) {
                            return Err(io::ErrorKind::PermissionDenied.into());
                        }
                        let (line, _) = read_line(&stream, LINE_MOST).await?;
                        let asked: Value = serde_json::from_slice(&line).unwrap_or_default();
                        if asked["command"] != ASK {
                            return Err(io::ErrorKind::InvalidInput.into());
                        }
                        write(&stream, b"{}\n", Some(copy?)).await
                    };
                    if matches!(timeout(ANSWER_WITHIN, exchange).await, Ok(Ok(()))) {
                        tell(HandoverEvent::ListenerRequested);
                        HandoverStream(Stream::local(stream)).ended().await;
                        tell(HandoverEvent::SuccessorExited);
                    }
                });
            }
        });
        Ok(HandoverListener { file, task, inherited: std::cell::Cell::new(false) })
    }
}
