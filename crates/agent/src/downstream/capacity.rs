//! How many connections of clients are held, how long each may go on as it is, and which gives way to another.

use super::connection::ClientConnection;
use super::{HeldConnection, Server};
use crate::daemon::descriptors::DISCOVERY_CONNECTIONS;
use bellcroft_agent_core::guard::{ConnectionState, Guard};
use std::time::Duration;
use tokio::time::Instant;
use tracing::warn;

/// A request's head must have come within this of its first byte: what says half of something holds a place that others
/// need. Slow clients take 2 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_400);
/// A connection's first one must have come within this of the connect, however late it began.
const FIRST_HEAD_TIMEOUT: Duration = Duration::from_millis(2_800);
/// A client that takes nothing of its answer for this long has left without a word.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(20);
/// A client that is told before it has said all has this long to hear it.
const LINGER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// An idle connection is closed after this; much sooner where places run short, and then it must have been idle
/// for as long as clients are promised.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const SHORT_IDLE_TIMEOUT: Duration = Duration::from_millis(2_050);
/// Places run short once this share of them is taken: clients count connections that they have left behind
/// among those that they may hold.
const SHORT_IDLE_SHARE: f64 = 0.25;
/// Once this share of the places is taken, each answer is the last on its connection and says so, which no request
/// can cross: clients that ask once and stay use up what they may hold long before an idle connection is old enough
/// to be closed.
pub(super) const LAST_RESPONSE_SHARE: f64 = 0.5;
/// Where all places are taken, one that has said nothing for this long gives way: clients connect to ask. So does one that
/// has been idle for as long, if no other does: a client that comes to ask is worth more than one that may ask again.
const EVICTION_IDLE_TIME: Duration = Duration::from_millis(100);
/// Connections that are given up at once when the process has no descriptor left: those to discovery, and as many more for
/// backends and the next clients.
const SHORTAGE_RESERVE: usize = 2 * DISCOVERY_CONNECTIONS;
/// After such a shortage fewer connections are held for so long.
const SHORTAGE_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a connection's time is looked at.
pub(super) const STATE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl Server {
    /// How many connections it may hold at present.
    pub(super) fn max_connections(&self) -> usize {
        let most = self.limit.get();
        match self.shortage.get() {
            Some((until, fewer)) if Instant::now() < until => most.min(fewer),
            _ => most,
        }
    }

    /// The process has fewer descriptors than it was promised. Clients make room for what it can't do without.
    pub(super) fn on_descriptor_shortage(&self) {
        let held = self.held.borrow().len();
        // Those that were to close at the last one may not have yet.
        if held <= self.max_connections() {
            let fewer = held.saturating_sub(SHORTAGE_RESERVE).max(held / 2).max(1);
            self.shortage.set(Some((Instant::now() + SHORTAGE_TIMEOUT, fewer)));
            warn!("no descriptor is left for a client's connection; {held} are held, {fewer} from now on");
        }
        self.evict(SHORTAGE_RESERVE);
    }

    /// Closes so many of the connections that can best be spared: those that have said nothing, then those that have been
    /// idle longest. One with a request open or on its way never is.
    pub(super) fn evict(&self, count: usize) {
        let held = self.held.borrow();
        let mut spared: Vec<&HeldConnection> =
            held.values().filter(|held| can_be_spared(&held.client)).collect();
        let rank = |held: &&HeldConnection| {
            (
                held.client.lingers().is_none(),
                held.client.state().0 == ConnectionState::Idle,
                held.client.state().1,
            )
        };
        spared.sort_by_key(rank);
        spared.iter().take(count).for_each(|held| held.leave.notify_one());
    }

    /// Whether so large a share of the places is taken.
    pub(super) fn taken(&self, share: f64) -> bool {
        self.held.borrow().len() as f64 >= share * self.max_connections() as f64
    }

    /// Until when a connection may go on as it is.
    pub(super) fn expires_at(&self, client: &ClientConnection, taken: Instant) -> Instant {
        let short = self.taken(SHORT_IDLE_SHARE);
        if let Some(since) = client.lingers() {
            return since + LINGER_TIMEOUT;
        }
        if let Some(since) = client.stuck() {
            return since + WRITE_STALL_TIMEOUT;
        }
        match client.state() {
            (ConnectionState::Unused, _) => taken + HEAD_TIMEOUT,
            (ConnectionState::ReceivingHead, since) if client.first() => {
                (since + HEAD_TIMEOUT).min(taken + FIRST_HEAD_TIMEOUT)
            }
            (ConnectionState::ReceivingHead, since) => since + HEAD_TIMEOUT,
            // A body comes as slowly as it likes, and is read as slowly as its server does; only silence is bounded.
            (ConnectionState::ReceivingBody, _) => {
                client.body_until().unwrap_or_else(|| Instant::now() + STATE_CHECK_INTERVAL)
            }
            // A request that is whole ends by its deadline, or its answer is on its way.
            (ConnectionState::Pending, _) => Instant::now() + STATE_CHECK_INTERVAL,
            (ConnectionState::Idle, since) => {
                let own = since + if short { SHORT_IDLE_TIMEOUT } else { IDLE_TIMEOUT };
                self.close_idle_at().map_or(own, |at| own.min(at))
            }
        }
    }
}

/// Whether a connection can be closed for the sake of another client's.
pub(super) fn can_be_spared(client: &ClientConnection) -> bool {
    let (state, since) = client.state();
    client.lingers().is_some() || (Guard::may_close(state) && since.elapsed() >= EVICTION_IDLE_TIME)
}
