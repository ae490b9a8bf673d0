//! Errors that end an instance.

use super::handover::HandoverError;
use crate::control_plane::ControlPlaneError;
use std::io;
use std::net::SocketAddr;

/// Why an instance could not start or had to stop serving.
#[derive(Debug, thiserror::Error)]
pub(crate) enum DaemonError {
    /// A signal handler could not be installed.
    #[error("cannot await {signal}: {source}")]
    Signal {
        /// The signal's name.
        signal: &'static str,
        /// The system's error.
        source: io::Error,
    },
    /// The inherited listening socket is unusable.
    #[error("LISTEN_FDS: {0}")]
    InheritedListener(#[from] InheritedListenerError),
    /// The clients' address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The clients' address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The predecessor did not hand over its listening socket.
    #[error("cannot listen on {address}: {source}")]
    Handover {
        /// The clients' address.
        address: SocketAddr,
        /// Why not.
        source: HandoverError,
    },
    /// The admin console's address cannot be listened on.
    #[error("cannot listen on {address} (console): {source}")]
    Console {
        /// The console's address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The control plane did not start.
    #[error(transparent)]
    ControlPlane(#[from] ControlPlaneError),
    /// The driver's task has ended, so no timer of a request would fire any more.
    #[error("the decisions have stopped")]
    DriverStopped,
}

/// Why sockets passed by a service manager (sd_listen_fds(3)) cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum InheritedListenerError {
    /// The descriptor is not a listening TCP socket.
    #[error("not a listening TCP socket: {0}")]
    NotAListener(#[source] io::Error),
    /// More than one socket was passed.
    #[error("{0} sockets were handed over; one was expected")]
    TooMany(usize),
    /// The runtime does not accept the socket.
    #[error(transparent)]
    Unusable(io::Error),
}
