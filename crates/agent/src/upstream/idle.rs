//! The idle connections to one backend.

use super::connection::Connection;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// What an attempt finds among the idle connections to a backend.
pub enum IdleConnection {
    /// One that may be used at once.
    Ready(Connection),
    /// The one that may be used first, out of so many that may not be used yet.
    Resting(Connection, usize),
    /// None.
    None,
}

/// The idle connections to a backend, in the order in which they became idle.
#[derive(Default)]
pub struct IdleConnections {
    /// Those that may be used at once; the last was used most recently.
    ready: Vec<Connection>,
    /// Those whose reuse delay is not over; the first is reusable first.
    resting: VecDeque<Connection>,
}

impl IdleConnections {
    /// Closes all of them.
    pub fn clear(&mut self) {
        self.ready.clear();
        self.resting.clear();
    }

    /// Since when the oldest has been idle.
    pub fn oldest_idle_since(&self) -> Option<Instant> {
        self.ready.first().or(self.resting.front()).map(|connection| connection.idle_since)
    }

    /// Closes the one that has been idle longest.
    pub fn evict_oldest(&mut self) {
        if self.ready.is_empty() {
            self.resting.pop_front();
        } else {
            self.ready.remove(0);
        }
    }

    /// Closes those that have been idle for this long, and forgets those that are closed.
    pub fn retire(&mut self, idle_timeout: Duration) {
        let keep = |c: &Connection| c.idle_since.elapsed() < idle_timeout && !c.sender.is_closed();
        self.ready.retain(keep);
        self.resting.retain(keep);
    }

    /// Adds a connection.
    pub fn add(&mut self, connection: Connection) {
        if connection.reusable_at <= Instant::now() {
            self.ready.push(connection);
        } else {
            let position = self.resting.partition_point(|c| c.reusable_at <= connection.reusable_at);
            self.resting.insert(position, connection);
        }
    }

    /// Takes the most recently used connection that is reusable, else the one that will be first, if that is before `by`.
    pub fn take(&mut self, idle_timeout: Duration, by: Instant) -> IdleConnection {
        if let Some(connection) = self.take_ready(idle_timeout) {
            return IdleConnection::Ready(connection);
        }
        let count = self.resting.len();
        self.take_resting(by).map_or(IdleConnection::None, |c| IdleConnection::Resting(c, count))
    }

    fn take_ready(&mut self, idle_timeout: Duration) -> Option<Connection> {
        let now = Instant::now();
        while self.resting.front().is_some_and(|c| c.reusable_at <= now) {
            self.ready.extend(self.resting.pop_front());
        }
        let fit = |c: &Connection| c.idle_since.elapsed() < idle_timeout && c.sender.is_ready();
        std::iter::from_fn(|| self.ready.pop()).find(fit)
    }

    fn take_resting(&mut self, by: Instant) -> Option<Connection> {
        self.resting.retain(|c| c.sender.is_ready());
        self.resting.front().filter(|c| c.reusable_at < by)?;
        self.resting.pop_front()
    }
}
