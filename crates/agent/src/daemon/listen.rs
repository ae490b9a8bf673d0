//! The clients' listening socket: inherited, transferred by a predecessor, or bound by this process.

use super::config::Config;
use super::error::{DaemonError, InheritedListenerError};
use super::handover::{self, HandoverError, HandoverStream, OfferedSocket, TransferredListener};
use super::state::{StateDir, HANDOVER_SOCKET};
use crate::downstream::QueueOrigin;
use bellcroft_net::Listener;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// The listening socket before clients are accepted, and its copies.
pub(super) struct ClientSocket {
    pub(super) listener: Listener,
    pub(super) origin: ListenerOrigin,
    pub(super) address: SocketAddr,
    /// For a supervisor that requests it over the control socket.
    pub(super) control_copy: Option<OwnedFd>,
    /// For a process that replaces this one, with the path of the Unix socket where it asks.
    pub(super) offered: Option<(PathBuf, Rc<OfferedSocket>)>,
}

impl ClientSocket {
    /// Takes or binds the listening socket, by where the process comes from.
    ///
    /// # Errors
    ///
    /// There is no usable socket.
    pub(super) async fn acquire(config: &Config, state: Option<&mut StateDir>) -> Result<Self, DaemonError> {
        let has_state = state.is_some();
        let (handover_socket, (listener, origin)) = match state {
            // With a state directory, a supervisor replaces processes: only a successor asks for the socket.
            Some(state) if !state.is_locked() => {
                (Some(state.path().join(HANDOVER_SOCKET)), take_over_listener(config.listen, state).await?)
            }
            Some(state) => {
                (Some(state.path().join(HANDOVER_SOCKET)), acquire_listener(config.listen, None).await?)
            }
            None => {
                let folder = std::env::var_os("TMPDIR").map(PathBuf::from);
                let path = handover::socket_path(folder, &config.name, config.listen);
                let acquired = acquire_listener(config.listen, path.as_deref()).await?;
                (path, acquired)
            }
        };
        let address =
            listener.local_addr().map_err(|source| DaemonError::Listen { address: config.listen, source })?;
        let copy = || listener.as_fd().try_clone_to_owned().ok();
        let control_copy = if has_state { copy() } else { None };
        let offered =
            handover_socket.and_then(|path| Some((path, Rc::new(OfferedSocket::new(address, copy()?)))));
        Ok(ClientSocket { listener, origin, address, control_copy, offered })
    }
}

/// Where an instance's listening socket comes from.
pub(super) enum ListenerOrigin {
    /// This process has bound it.
    Bound,
    /// A service manager or a supervisor passed it at the start.
    Inherited,
    /// The process that this one replaces transferred it.
    Predecessor {
        /// Closes when that process exits.
        stream: HandoverStream,
        /// The log of claims; none if that process is of an earlier version.
        claims: Option<OwnedFd>,
        /// Whether that process accepts connections.
        accepts: bool,
    },
}

impl ListenerOrigin {
    /// Whether connections may have waited in the socket's accept queue already.
    pub(super) fn queue(&self) -> QueueOrigin {
        match self {
            ListenerOrigin::Bound => QueueOrigin::Own,
            ListenerOrigin::Inherited | ListenerOrigin::Predecessor { .. } => QueueOrigin::Inherited,
        }
    }
}

/// Takes the inherited socket, else the predecessor's over the Unix socket at `handover_socket`, else binds `address`.
///
/// # Errors
///
/// The inherited socket is unusable, the predecessor does not transfer its own, or the address cannot be bound.
async fn acquire_listener(
    address: SocketAddr,
    handover_socket: Option<&Path>,
) -> Result<(Listener, ListenerOrigin), DaemonError> {
    if let Some(socket) = inherited_listener()? {
        let listener = Listener::from_std(socket).map_err(InheritedListenerError::Unusable)?;
        return Ok((listener, ListenerOrigin::Inherited));
    }
    let predecessor = match handover_socket {
        Some(path) => handover::request_listener(path, false)
            .await
            .map_err(|source| DaemonError::Handover { address, source })?,
        None => None,
    };
    let listen_error = |source| DaemonError::Listen { address, source };
    if let Some(TransferredListener { listener, predecessor_accepts, claims, stream, .. }) = predecessor {
        let listener = Listener::from_std(listener).map_err(listen_error)?;
        return Ok((listener, ListenerOrigin::Predecessor { stream, claims, accepts: predecessor_accepts }));
    }
    let listener = Listener::bind(address).await.map_err(listen_error)?;
    Ok((listener, ListenerOrigin::Bound))
}

/// Takes the listening socket, and the lock of the state directory, from the process that this one replaces.
///
/// # Errors
///
/// That process does not transfer them.
async fn take_over_listener(
    address: SocketAddr,
    state: &mut StateDir,
) -> Result<(Listener, ListenerOrigin), DaemonError> {
    // The supervisor has passed the same socket: a copy that is not closed would outlive the end of accepting.
    drop(inherited_listener()?);
    let handover_error = |source| DaemonError::Handover { address, source };
    let transferred = handover::request_listener(&state.path().join(HANDOVER_SOCKET), true).await;
    let transferred = transferred.map_err(handover_error)?;
    let TransferredListener { listener, predecessor_accepts, claims, lock, stream } =
        transferred.ok_or(handover_error(HandoverError::NoPredecessor))?;
    state.set_lock(lock.ok_or(handover_error(HandoverError::NoLock))?);
    let listener = Listener::from_std(listener).map_err(|source| DaemonError::Listen { address, source })?;
    Ok((listener, ListenerOrigin::Predecessor { stream, claims, accepts: predecessor_accepts }))
}

/// The socket that a service manager or a supervisor passed (sd_listen_fds(3)), if any.
fn inherited_listener() -> Result<Option<std::net::TcpListener>, InheritedListenerError> {
    let mut descriptors = listenfd::ListenFd::from_env();
    match descriptors.len() {
        0 => Ok(None),
        1 => descriptors.take_tcp_listener(0).map_err(InheritedListenerError::NotAListener),
        count => Err(InheritedListenerError::TooMany(count)),
    }
}
