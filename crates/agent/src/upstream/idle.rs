//! The idle connections to a server.

use super::connection::Connection;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// An idle connection for a request, if there is one.
pub enum IdleConnection {
    /// A connection that may be used at once.
    Ready(Connection),
    /// The connection whose reuse delay expires first, and the number of connections whose delay has not expired.
    Resting(Connection, usize),
    /// No connection can be used before the deadline.
    None,
}

/// The idle connections to a server, in the order in which they became idle.
#[derive(Default)]
pub struct IdleConnections {
    /// Connections that may be used at once; the last one was used most recently.
    ready: Vec<Connection>,
    /// Connections whose reuse delay has not expired; the first one's expires first.
    resting: VecDeque<Connection>,
}

impl IdleConnections {
    /// Closes all idle connections.
    pub fn clear(&mut self) {
        self.ready.clear();
        self.resting.clear();
    }

    /// The time since which the longest idle connection has been idle; none if no connection is idle.
    pub fn oldest_idle_since(&self) -> Option<Instant> {
        self.ready.first().or(self.resting.front()).map(|connection| connection.idle_since)
    }

    /// Closes the connection that has been idle longest.
    pub fn evict_oldest(&mut self) {
        if self.ready.is_empty() {
            self.resting.pop_front();
        } else {
            self.ready.remove(0);
        }
    }

    /// Closes the connections that have been idle for this long, and removes those that are closed already.
    pub fn close_expired(&mut self, idle_timeout: Duration) {
        let keep = |c: &Connection| c.idle_since.elapsed() < idle_timeout && !c.sender.is_closed();
        self.ready.retain(keep);
        self.resting.retain(keep);
    }

    /// Adds an idle connection.
    pub fn add(&mut self, connection: Connection) {
        if connection.reusable_at <= Instant::now() {
            self.ready.push(connection);
        } else {
            let position = self.resting.partition_point(|c| c.reusable_at <= connection.reusable_at);
            self.resting.insert(position, connection);
        }
    }

    /// Takes the most recently used connection that is reusable, or else the one that will be reusable first, if that is
    /// before the deadline.
    pub fn take(&mut self, idle_timeout: Duration, deadline: Instant) -> IdleConnection {
        if let Some(connection) = self.take_ready(idle_timeout) {
            return IdleConnection::Ready(connection);
        }
        let count = self.resting.len();
        self.take_resting(deadline).map_or(IdleConnection::None, |c| IdleConnection::Resting(c, count))
    }

    fn take_ready(&mut self, idle_timeout: Duration) -> Option<Connection> {
        let now = Instant::now();
        while self.resting.front().is_some_and(|c| c.reusable_at <= now) {
            self.ready.extend(self.resting.pop_front());
        }
        let is_usable = |c: &Connection| c.idle_since.elapsed() < idle_timeout && c.sender.is_ready();
        std::iter::from_fn(|| self.ready.pop()).find(is_usable)
    }

    fn take_resting(&mut self, deadline: Instant) -> Option<Connection> {
        self.resting.retain(|c| c.sender.is_ready());
        self.resting.front().filter(|c| c.reusable_at < deadline)?;
        self.resting.pop_front()
    }
}
