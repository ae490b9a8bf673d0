//! The servers' side: connections, attempts and health checks.
//!
//! A connection carries one exchange (a request and its response) at a time, and is reused only after a complete response. If
//! an exchange ends in any other way (timeout, cancellation or error), its connection is closed.

mod attempt;
mod connection;
mod headers;
mod health_check;
mod idle;
mod load_report;
mod metered_stream;
mod pool;
mod relay;
mod response;

pub use attempt::{AttemptLimits, AttemptProgress, AttemptResult, ResponseBody};
pub use headers::forwarded_headers;
pub use relay::{Relay, RelayError};

use crate::discovery::codec::EndpointRecord;
use crate::memory::Memory;
use bellcroft_balancer::ServerId;
use pool::ConnectionPool;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// All servers and the connections to them.
pub struct Upstream {
    pool: Rc<ConnectionPool>,
    /// The names of the fields of a load report, in the order of the settings.
    report_fields: RefCell<Vec<String>>,
    /// The memory for buffered responses.
    memory: Memory,
}

impl Upstream {
    /// An upstream without servers, limited to `max_connections` open connections.
    pub fn new(
        max_connections: usize,
        connect_timeout: Duration,
        keepalive: Duration,
        report_fields: Vec<String>,
        memory: Memory,
    ) -> Self {
        Upstream {
            pool: Rc::new(ConnectionPool::new(max_connections, connect_timeout, keepalive)),
            report_fields: RefCell::new(report_fields),
            memory,
        }
    }

    /// Applies new settings.
    pub fn reconfigure(&self, connect_timeout: Duration, keepalive: Duration, report_fields: Vec<String>) {
        self.pool.reconfigure(connect_timeout, keepalive);
        *self.report_fields.borrow_mut() = report_fields;
    }

    /// Applies an entry of the endpoint list.
    pub fn update_endpoint(&self, server: ServerId, endpoint: &EndpointRecord) {
        self.pool.update_endpoint(server, endpoint);
    }

    /// Removes the servers that a snapshot no longer lists.
    pub fn retain_listed(&self, is_listed: impl Fn(ServerId) -> bool) {
        self.pool.retain_listed(is_listed);
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: ServerId) {
        self.pool.close_idle(server);
    }

    /// The number of open connections, and its limit.
    pub fn connections(&self) -> (usize, usize) {
        self.pool.connections()
    }

    /// Sets the limit of open connections; attempts in flight above it continue.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.pool.set_max_connections(max_connections);
    }

    /// The number of attempts that were written completely.
    pub fn attempts_sent(&self) -> u64 {
        self.pool.written_attempts()
    }

    /// Closes the connections that have been idle for longer than the idle timeout.
    pub fn close_expired_idle(&self) {
        self.pool.close_expired_idle();
    }
}
