//! Limits of clients' connections: how many are open, and when each one times out.

use super::connection::ClientConnection;
use super::eviction::EVICTION_AGE;
use super::Server;
use crate::daemon::descriptors::DISCOVERY_CONNECTIONS;
use bellcroft_agent_core::guard::ConnectionState;
use std::time::Duration;
use tokio::time::Instant;
use tracing::warn;

/// The longest time from the first byte of a request's head to its last. A client that never completes its head occupies a
/// connection that others need; slow clients take 2 s. An unused connection must receive its first byte within the same time.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_400);
/// The longest time from the accept of a connection to the last byte of its first head, however late that began.
const FIRST_HEAD_TIMEOUT: Duration = Duration::from_millis(2_800);
/// A client that reads no byte of its response for this long is considered disconnected.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(20);
/// The time for a client to read a response that was sent before its request was complete.
pub(super) const LINGER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The longest time that a connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest time that a connection may be idle while many connections are open. It is no shorter than the idle time that
/// clients are promised.
const SHORT_IDLE_TIMEOUT: Duration = Duration::from_millis(2_050);
/// The share of the connection limit from which [`SHORT_IDLE_TIMEOUT`] applies: clients count connections that they no longer
/// use towards their own limit.
const SHORT_IDLE_SHARE: f64 = 0.25;
/// The share of the connection limit from which each response closes its connection (`connection: close`), which no request
/// can cross. Otherwise clients that send one request and stay connected would use up their limit long before their
/// connections have been idle for long enough to be closed.
pub(super) const LAST_RESPONSE_SHARE: f64 = 0.5;
/// The number of connections that are closed at once when the process has no descriptor left: as many as discovery needs, and
/// the same again for servers and the next clients.
const SHORTAGE_RESERVE: usize = 2 * DISCOVERY_CONNECTIONS;
/// With fewer connections than this, clients do not cause a shortage of descriptors, and the limit is not reduced further.
const MIN_REDUCED_LIMIT: usize = SHORTAGE_RESERVE;
/// The time for which the connection limit stays reduced after a shortage of descriptors.
const SHORTAGE_DURATION: Duration = Duration::from_secs(10);
/// The interval of checks whether a connection has timed out.
pub(super) const STATE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl Server {
    /// The connection limit at present.
    pub(super) fn max_connections(&self) -> usize {
        let limit = self.connection_limit.get();
        self.reduced_limit().map_or(limit, |reduced| limit.min(reduced))
    }

    /// Whether the limit is reduced after a shortage of descriptors.
    pub(super) fn is_limit_reduced(&self) -> bool {
        self.reduced_limit().is_some()
    }

    fn reduced_limit(&self) -> Option<usize> {
        let (until, reduced) = self.reduced_limit.get()?;
        (Instant::now() < until).then_some(reduced)
    }

    /// Handles a shortage of descriptors, which the process has fewer of than its limit promised: closes clients' connections
    /// to free descriptors for discovery and servers, and reduces the connection limit for a while.
    pub(super) fn on_descriptor_shortage(&self) {
        let open = self.open_connections.borrow().len();
        // The limit is not reduced again while connections that an earlier shortage evicted are still closing.
        if open <= self.max_connections() {
            let reduced = open.saturating_sub(SHORTAGE_RESERVE).max(open / 2).max(MIN_REDUCED_LIMIT);
            self.reduced_limit.set(Some((Instant::now() + SHORTAGE_DURATION, reduced)));
            warn!("no descriptor is left for a client's connection; {open} are open, at most {reduced} from now on");
        }
        self.evict(SHORTAGE_RESERVE, EVICTION_AGE);
    }

    /// Whether the open connections are at least this share of the connection limit.
    pub(super) fn usage_reaches(&self, share: f64) -> bool {
        self.open_connections.borrow().len() as f64 >= share * self.max_connections() as f64
    }

    /// The time at which a connection times out in its present state.
    pub(super) fn expires_at(&self, client: &ClientConnection, accepted_at: Instant) -> Instant {
        let short = self.usage_reaches(SHORT_IDLE_SHARE);
        if let Some(since) = client.lingering_since() {
            return since + LINGER_TIMEOUT;
        }
        if let Some(since) = client.write_stalled_since() {
            return since + WRITE_STALL_TIMEOUT;
        }
        match client.state() {
            (ConnectionState::Unused, _) => accepted_at + HEAD_TIMEOUT,
            (ConnectionState::ReceivingHead, since) if client.is_first_request() => {
                (since + HEAD_TIMEOUT).min(accepted_at + FIRST_HEAD_TIMEOUT)
            }
            (ConnectionState::ReceivingHead, since) => since + HEAD_TIMEOUT,
            // A slow client may take any time for a body, which is also read only as fast as its server takes it. Only the
            // time without progress is limited.
            (ConnectionState::ReceivingBody, _) => {
                client.body_deadline().unwrap_or_else(|| Instant::now() + STATE_CHECK_INTERVAL)
            }
            // A complete request ends by its deadline, or its response is being written.
            (ConnectionState::Pending, _) => Instant::now() + STATE_CHECK_INTERVAL,
            (ConnectionState::Idle, since) => {
                let idle_deadline = since + if short { SHORT_IDLE_TIMEOUT } else { IDLE_TIMEOUT };
                self.close_idle_at().map_or(idle_deadline, |at| idle_deadline.min(at))
            }
        }
    }
}
