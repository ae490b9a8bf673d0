//! How the descriptors that a process may hold are shared out.
//!
//! What an instance needs to go on at all, discovery above all, is reserved before clients and backends get theirs: clients
//! that fill all their places, idle ones among them, can't keep it from the server list nor from its operators.

use super::config::Config;
use super::control;
use bellcroft_agent_core::admin::MAX_SESSIONS;

/// Standard input, output and error.
const STANDARD_STREAMS: usize = 3;
/// The runtime's own: two of its poll, the one that wakes it, three of its signals.
const RUNTIME: usize = 6;
/// The clients' listening socket, the copy of it for a process that takes this one's place, where that one asks, and the
/// connection to it.
const LISTENING: usize = 4;
/// Connections to discovery: a watch, a second one that is begun before the first is known to be over, a call for the
/// complete list, and one that is still closing as the next opens.
pub const DISCOVERY_CONNECTIONS: usize = 4;
/// A client's connection is accepted before it is known whether there is a place for it.
const ACCEPTED_AHEAD: usize = 1;
/// Datagrams of the other instances.
const PEERS: usize = 1;
/// A file that is read at a reload.
const FILES: usize = 1;
/// Connections that still close when their places are given away.
const CLOSING: usize = 4;
/// Always reserved.
const RESERVED: usize =
    STANDARD_STREAMS + RUNTIME + LISTENING + DISCOVERY_CONNECTIONS + ACCEPTED_AHEAD + PEERS + FILES + CLOSING;
/// Reserved where operators are answered: the listening socket, its callers, and one that is accepted before another goes.
const CONSOLE: usize = 1 + MAX_SESSIONS + 1;
/// Reserved where there is a state directory: its lock, the status that is written and its folder, a copy of the listening
/// socket, the control socket, and its callers.
const STATE: usize = 5 + control::MAX_CLIENTS;
/// Reserved where counts are sent: the connection, and one that still closes.
const REMOTE_WRITE: usize = 2;
/// The part of the others that is the clients'.
const CLIENT_SHARE: f64 = 0.5;

/// Connections that a process may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Those of clients.
    pub clients: usize,
    /// Those to backends.
    pub backends: usize,
}

impl DescriptorBudget {
    /// The budget of an instance that goes by this configuration.
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
        DescriptorBudget { clients, backends: connections - clients }
    }
}
