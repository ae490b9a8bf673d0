//! How long a connection can have waited until it was accepted.

use std::time::Duration;

/// How long a connection can have been in the accept queue. The kernel does not tell; it tells only when the connection's bytes
/// arrived (`bellcroft_net::Stream::received_ago`).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AcceptDelay {
    /// The longest possible delay.
    pub longest: Duration,
    /// The delay that is assumed if the kernel does not tell when the bytes arrived.
    pub assumed: Duration,
}
