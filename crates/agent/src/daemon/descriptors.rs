//! The budget of descriptors that a process may hold.
//!
//! Discovery, operators and the runtime have descriptors reserved before clients and backends get theirs: clients that use
//! all of their connections, idle ones included, cannot cut the instance off from the endpoint list or its operators.

use super::config::Config;
use super::control;
use bellcroft_agent_core::admin::MAX_SESSIONS;

/// Standard input, output and error.
const STANDARD_STREAMS: usize = 3;
/// The runtime's own: two for its poll, one for wake-ups, three for signals.
const RUNTIME: usize = 6;
/// The clients' listening socket, its copy for a process that replaces this one, the handover socket, and the connection to
/// that process.
const LISTENING: usize = 4;
/// Connections to discovery: a watch, a second one that opens before the first is known to have ended, a request for the
/// full snapshot, and one that still closes while the next opens.
pub const DISCOVERY_CONNECTIONS: usize = 4;
/// A client's connection is accepted before it is known whether the limit allows it.
const ACCEPTED_AHEAD: usize = 1;
/// Connections of clients above their limit: each lasts until another one has been evicted or it has its response.
pub const SPARE_CONNECTIONS: usize = 4;
/// The socket of membership's datagrams.
const PEERS: usize = 1;
/// A file that a reload reads.
const FILES: usize = 1;
/// Connections that still close when their share of the limit is already free.
const CLOSING: usize = 4;
/// Always reserved.
const RESERVED: usize =
    STANDARD_STREAMS + RUNTIME + LISTENING + DISCOVERY_CONNECTIONS + ACCEPTED_AHEAD + PEERS + FILES + CLOSING;
/// Reserved for the admin console: the listening socket, its sessions, and one that is accepted before another is evicted.
const CONSOLE: usize = 1 + MAX_SESSIONS + 1;
/// Reserved for a state directory: its lock, the status file and its folder, a copy of the listening socket, the control
/// socket, and its clients.
const STATE: usize = 5 + control::MAX_CLIENTS;
/// Reserved for remote write: the connection, and one that still closes.
const REMOTE_WRITE: usize = 2;
/// The clients' part of the descriptors that are not reserved.
const CLIENT_SHARE: f64 = 0.5;

/// Connections that a process may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Those of clients, without [`SPARE_CONNECTIONS`].
    pub clients: usize,
    /// Those to backends.
    pub backends: usize,
}

impl DescriptorBudget {
    /// The budget under a configuration.
    pub fn new(config: &Config) -> Self {
        let optional = [
            (config.console.is_some(), CONSOLE),
            (config.daemon.state.is_some(), STATE),
            (config.remote_write.is_some(), REMOTE_WRITE),
        ];
        let reserved: usize =
            RESERVED + optional.iter().filter(|(used, _)| *used).map(|(_, count)| count).sum::<usize>();
        let connections = config.sockets.saturating_sub(reserved);
        let clients = (connections as f64 * CLIENT_SHARE) as usize;
        DescriptorBudget { clients, backends: connections - clients - SPARE_CONNECTIONS }
    }
}
