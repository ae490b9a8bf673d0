//! Connections to backends, and what goes over them: attempts and probes.
//!
//! A connection carries one exchange at a time and is used again only after a complete response. Whatever else ends an
//! exchange (a time-out, a cancel, an error) ends its connection with it.

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
pub use relay::Relay;
pub use response::concat_chunks;

use crate::discovery::codec::EndpointRecord;
use bellcroft_balancer::ServerId;
use pool::ConnectionPool;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// All backends and the connections to them.
pub struct Upstream {
    pool: Rc<ConnectionPool>,
    /// The names of the figures in a load report, in the order of the settings.
    report_fields: RefCell<Vec<String>>,
}

impl Upstream {
    /// Knows no backend yet; holds at most `max_connections` connections.
    pub fn new(
        max_connections: usize,
        connect_timeout: Duration,
        keepalive: Duration,
        report_fields: Vec<String>,
    ) -> Self {
        Upstream {
            pool: Rc::new(ConnectionPool::new(max_connections, connect_timeout, keepalive)),
            report_fields: RefCell::new(report_fields),
        }
    }

    /// Goes by other settings from now on.
    pub fn reconfigure(&self, connect_timeout: Duration, keepalive: Duration, report_fields: Vec<String>) {
        self.pool.reconfigure(connect_timeout, keepalive);
        *self.report_fields.borrow_mut() = report_fields;
    }

    /// Takes in an entry of the endpoint list.
    pub fn update_endpoint(&self, server: ServerId, host: &EndpointRecord) {
        self.pool.update_endpoint(server, host);
    }

    /// Forgets the backends that a full snapshot no longer names.
    pub fn retain_listed(&self, named: impl Fn(ServerId) -> bool) {
        self.pool.retain_listed(named);
    }

    /// Closes the idle connections to a backend.
    pub fn close_idle(&self, server: ServerId) {
        self.pool.close_idle(server);
    }

    /// Connections that it holds, and may hold.
    pub fn connections(&self) -> (usize, usize) {
        self.pool.connections()
    }

    /// From now on it may hold so many connections; what is in flight beyond that goes on.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.pool.set_max_connections(max_connections);
    }

    /// Attempts that were written completely to a backend.
    pub fn attempts_sent(&self) -> u64 {
        self.pool.written_attempts()
    }

    /// Closes the connections that have been idle for too long.
    pub fn close_expired_idle(&self) {
        self.pool.close_expired_idle();
    }
}
