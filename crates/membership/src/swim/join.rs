//! Joining, reconnecting and leaving: how members that miss each other meet, and how a member says that it leaves.

use super::dissemination::{Destination, Piggyback, MAX_PIGGYBACKED_UPDATES, VIEW_SAMPLES};
use super::{Membership, Output};
use crate::member::{Id, State};
use crate::wire::{Datagram, Message};
use bellcroft_balancer::Time;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Missing members that are pinged in a period ...
const RECONNECT_FANOUT: usize = 1;
/// ... and in a period of the recovery after a start or a stall.
const RECONNECT_FANOUT_RECOVERING: usize = 4;
/// Pings of missing members whose acks are still accepted.
const MAX_RECONNECT_PINGS: usize = 16;
/// While other members are reachable, seeds are contacted in one of so many periods: their addresses may belong to others by now.
const SEED_CONTACT_PERIODS: u32 = 16;
/// Datagrams full of view samples for a member that joins.
const JOIN_PUSH_DATAGRAMS: usize = 3;
/// Joining members that get those in a period.
const MAX_JOIN_PUSHES: u32 = 4;
/// Datagrams of former incarnations that are answered in a period.
const MAX_STALE_REPLIES: u32 = 4;
/// Members that a leaving one notifies.
const LEAVE_FANOUT: usize = 32;
/// Datagrams for each of those: a member that leaves cannot retry later.
const LEAVE_DATAGRAMS: usize = 2;

/// A ping of a missing member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ReconnectPing {
    seq: u32,
    target: Id,
}

/// Pings of missing members, and what is left of the period's limits.
#[derive(Debug)]
pub(super) struct JoinState {
    /// The latest last.
    reconnect_pings: VecDeque<ReconnectPing>,
    join_pushes_left: u32,
    stale_replies_left: u32,
    /// This instance leaves: it answers no pings and refutes nothing.
    pub leaving: bool,
}

impl Default for JoinState {
    fn default() -> Self {
        JoinState {
            reconnect_pings: VecDeque::new(),
            join_pushes_left: MAX_JOIN_PUSHES,
            stale_replies_left: MAX_STALE_REPLIES,
            leaving: false,
        }
    }
}

impl JoinState {
    pub fn begin_period(&mut self) {
        self.join_pushes_left = MAX_JOIN_PUSHES;
        self.stale_replies_left = MAX_STALE_REPLIES;
    }

    /// Whether a ping with this number is pending to this member.
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

    /// Takes one of the period's join pushes; false if none is left or this instance leaves.
    fn take_join_push(&mut self) -> bool {
        let available = !self.leaving && self.join_pushes_left > 0;
        self.join_pushes_left -= u32::from(available);
        available
    }
}

impl Membership {
    /// Notifies other members that this instance leaves, so that they need not detect it.
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

    /// Contacts missing members, so that a fleet reunites after a partition without an operator.
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

    /// Sends samples of the view to a member that has joined, within the period's limit. Two members whose views have no
    /// room for each other join each other again and again; without the limit they would push state without end.
    pub(super) fn push_state_to_joined(&mut self, now: Time, joined: Destination, out: &mut Vec<Output>) {
        if !self.join.take_join_push() {
            return;
        }
        for _ in 0..JOIN_PUSH_DATAGRAMS {
            let piggyback = Piggyback { updates: Vec::new(), samples: MAX_PIGGYBACKED_UPDATES };
            self.send_with(now, joined, Message::Gossip, piggyback, out);
        }
    }

    /// Answers a datagram of a former incarnation with the current one. The datagram is late, or its sender restarted with a
    /// clock that was set back and has to go past that incarnation.
    ///
    /// A few in a period: two members that hold false incarnations of each other would answer without end. A ping gets its
    /// ack: for those two it is the only way to find out.
    pub(super) fn reply_to_stale(
        &mut self,
        now: Time,
        source: SocketAddr,
        datagram: &Datagram,
        out: &mut Vec<Output>,
    ) {
        let from = datagram.from;
        let Some(current) = self.update_about(from).filter(|_| self.join.stale_replies_left > 0) else {
            return;
        };
        self.join.stale_replies_left -= 1;
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
