//! Joining, reconnecting to missing members, and leaving.

use super::dissemination::{Destination, Piggyback, MAX_PIGGYBACKED_UPDATES, VIEW_SAMPLES};
use super::{Membership, Output};
use crate::member::{Id, State};
use crate::wire::{Datagram, Message};
use bellcroft_balancer::Time;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Number of missing members that are pinged in a period.
const RECONNECT_FANOUT: usize = 1;
/// Number of missing members that are pinged in a period during the recovery after a start or a stall.
const RECONNECT_FANOUT_RECOVERING: usize = 4;
/// Maximum number of pending pings of missing members; the oldest is discarded first.
const MAX_RECONNECT_PINGS: usize = 16;
/// Seeds are contacted on average in one of this many periods while other members are reachable. They are contacted seldom
/// because a seed's address may be in use by another process by now.
const SEED_CONTACT_PERIODS: u32 = 16;
/// Number of datagrams with view samples that a joining member receives.
const JOIN_PUSH_DATAGRAMS: usize = 3;
/// Maximum number of joining members that receive view samples in a period.
const MAX_JOIN_PUSHES: u32 = 4;
/// Maximum number of datagrams of former incarnations that get a response in a period.
const MAX_STALE_RESPONSES: u32 = 4;
/// Maximum number of members that a leaving member notifies.
const LEAVE_FANOUT: usize = 32;
/// Number of datagrams to each notified member, as a member that leaves cannot retry later.
const LEAVE_DATAGRAMS: usize = 2;

/// A pending ping of a missing member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ReconnectPing {
    seq: u32,
    target: Id,
}

/// Pending pings of missing members, and the remaining limits of the current period.
#[derive(Debug)]
pub(super) struct JoinState {
    /// Pending pings, from the oldest to the latest.
    reconnect_pings: VecDeque<ReconnectPing>,
    join_pushes_left: u32,
    stale_responses_left: u32,
    /// Whether this instance is leaving; it then acks no pings and refutes nothing.
    pub leaving: bool,
}

impl Default for JoinState {
    fn default() -> Self {
        JoinState {
            reconnect_pings: VecDeque::new(),
            join_pushes_left: MAX_JOIN_PUSHES,
            stale_responses_left: MAX_STALE_RESPONSES,
            leaving: false,
        }
    }
}

impl JoinState {
    pub fn begin_period(&mut self) {
        self.join_pushes_left = MAX_JOIN_PUSHES;
        self.stale_responses_left = MAX_STALE_RESPONSES;
    }

    /// Whether a ping to this member with this sequence number is pending.
    pub fn is_pending(&self, seq: u32, target: Id) -> bool {
        self.reconnect_pings.contains(&ReconnectPing { seq, target })
    }

    pub fn on_ack(&mut self, seq: u32) {
        self.reconnect_pings.retain(|ping| ping.seq != seq);
    }

    fn on_ping_sent(&mut self, ping: ReconnectPing) {
        self.reconnect_pings.push_back(ping);
        if self.reconnect_pings.len() > MAX_RECONNECT_PINGS {
            self.reconnect_pings.pop_front();
        }
    }

    /// Consumes one of the period's join pushes; false if none is left or this instance is leaving.
    fn try_consume_join_push(&mut self) -> bool {
        let available = !self.leaving && self.join_pushes_left > 0;
        self.join_pushes_left -= u32::from(available);
        available
    }
}

impl Membership {
    /// Notifies other members that this instance leaves, so that they need not detect its exit by failed probes.
    pub fn leave(&mut self, now: Time, out: &mut Vec<Output>) {
        self.join.leaving = true;
        self.incarnation.counter = self.incarnation.counter.saturating_add(1);
        let update = self.own_update(State::Left);
        let mut reachable: Vec<Destination> = self.view.reachable().map(Destination::of).collect();
        self.rng.shuffle(&mut reachable);
        reachable.truncate(LEAVE_FANOUT);
        for _ in 0..LEAVE_DATAGRAMS {
            for target in &reachable {
                let piggyback = Piggyback { updates: vec![update.clone()], samples: VIEW_SAMPLES };
                self.send_with(now, *target, Message::Gossip, piggyback, out);
            }
        }
    }

    /// Contacts missing members, so that a fleet converges after a partition without an operator's intervention.
    pub(super) fn reconnect_missing(&mut self, now: Time, out: &mut Vec<Output>) {
        let recovering = self.health.is_recovering(now);
        let fanout = if recovering { RECONNECT_FANOUT_RECOVERING } else { RECONNECT_FANOUT };
        let missing: Vec<Destination> = self.view.missing().map(Destination::of).collect();
        let mut targets = self.rng.choose_multiple(missing, fanout);
        targets.extend(self.choose_seeds(fanout));
        for target in targets {
            match target.id {
                Some(id) => self.send_reconnect_ping(now, id, target, out),
                None => self.send(now, target, Message::Gossip, out),
            }
        }
    }

    fn choose_seeds(&mut self, fanout: usize) -> Vec<Destination> {
        let isolated = self.view.reachable().next().is_none();
        if self.config.seeds.is_empty() || !(isolated || self.rng.u32(0..SEED_CONTACT_PERIODS) == 0) {
            return Vec::new();
        }
        let seeds = self.config.seeds.iter().copied();
        let chosen: Vec<SocketAddr> = self.rng.choose_multiple(seeds, fanout);
        chosen.into_iter().map(|address| Destination { id: None, address }).collect()
    }

    fn send_reconnect_ping(&mut self, now: Time, target: Id, to: Destination, out: &mut Vec<Output>) {
        let seq = self.rng.u32(..);
        self.join.on_ping_sent(ReconnectPing { seq, target });
        self.send(now, to, Message::Ping { seq, to: target }, out);
    }

    /// Sends samples of the view to a member that has joined, up to the period's limit. Two members whose views have no
    /// room for each other detect each other as joined repeatedly; without the limit they would push state to each
    /// other indefinitely.
    pub(super) fn push_state_to_joined(&mut self, now: Time, joined: Destination, out: &mut Vec<Output>) {
        if !self.join.try_consume_join_push() {
            return;
        }
        for _ in 0..JOIN_PUSH_DATAGRAMS {
            let piggyback = Piggyback { updates: Vec::new(), samples: MAX_PIGGYBACKED_UPDATES };
            self.send_with(now, joined, Message::Gossip, piggyback, out);
        }
    }

    /// Sends the known incarnation in response to a datagram of a former one. Either the datagram is late, or its sender
    /// restarted with a clock that was set back and has to choose a later incarnation.
    ///
    /// The number of responses in a period is limited: two members that know each other by false incarnations would
    /// send them indefinitely. A ping is still acked: the ack is the only way for such members to learn the true
    /// incarnation.
    pub(super) fn respond_to_stale(
        &mut self,
        now: Time,
        source: SocketAddr,
        datagram: &Datagram,
        out: &mut Vec<Output>,
    ) {
        let from = datagram.from;
        let Some(current) = self.update_about(from).filter(|_| self.join.stale_responses_left > 0) else {
            return;
        };
        self.join.stale_responses_left -= 1;
        let message = match datagram.message {
            Message::Ping { seq, to } if to == self.config.number => {
                Message::Ack { seq, target: to, incarnation: self.incarnation }
            }
            _ => Message::Gossip,
        };
        let destination = Destination { id: Some(from), address: source };
        let piggyback = Piggyback { updates: vec![current], samples: VIEW_SAMPLES };
        self.send_with(now, destination, message, piggyback, out);
    }
}
