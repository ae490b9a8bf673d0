//! Relays: pings that this instance sends as a helper of other members' indirect probes.

use super::dissemination::Destination;
use super::{Membership, Output};
use crate::member::{Id, Incarnation};
use crate::wire::Message;
use bellcroft_balancer::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of pending pings for other members; further requests are discarded.
const MAX_RELAYS: usize = 64;

/// A ping sent for another member.
#[derive(Debug, Clone)]
struct Relay {
    requester: Destination,
    /// Sequence number of the requester's ping request.
    seq: u32,
    deadline: Time,
}

/// Pending relays, by this instance's sequence number.
#[derive(Debug, Default)]
pub(super) struct Relays(BTreeMap<u32, Relay>);

impl Relays {
    /// The time at which the next relay times out.
    pub fn next_deadline(&self) -> Option<Time> {
        self.0.values().map(|relay| relay.deadline).min()
    }

    pub fn clear(&mut self) {
        self.0.clear();
    }
}

/// A received [`Message::PingRequest`].
#[derive(Debug, Clone, Copy)]
pub(super) struct PingRequest {
    pub seq: u32,
    pub target: Id,
    pub address: Option<SocketAddr>,
}

/// A received [`Message::Ack`].
#[derive(Debug, Clone, Copy)]
pub(super) struct Ack {
    pub seq: u32,
    pub target: Id,
    pub incarnation: Incarnation,
}

impl Membership {
    /// Pings a member on behalf of another one.
    pub(super) fn relay_ping(
        &mut self,
        now: Time,
        requester: Destination,
        request: PingRequest,
        out: &mut Vec<Output>,
    ) {
        let PingRequest { seq, target, address } = request;
        let known = self.view.get(target).map(|member| member.address);
        let Some(address) = known.or(self.roster_address(target)).or(address) else { return };
        if self.relays.0.len() >= MAX_RELAYS || target == self.config.number {
            return;
        }
        let deadline = now + self.config.probe_interval;
        let own_seq = self.rng.u32(..);
        self.relays.0.insert(own_seq, Relay { requester, seq, deadline });
        let destination = Destination { id: Some(target), address };
        self.send(now, destination, Message::Ping { seq: own_seq, to: target }, out);
    }

    /// Forwards an ack to the member that requested the ping; false if the ack is not for a relayed ping.
    pub(super) fn relay_ack(&mut self, now: Time, ack: Ack, out: &mut Vec<Output>) -> bool {
        let Some(relay) = self.relays.0.remove(&ack.seq) else { return false };
        let message = Message::Ack { seq: relay.seq, target: ack.target, incarnation: ack.incarnation };
        self.send(now, relay.requester, message, out);
        true
    }

    /// Sends a nack to each requester whose target has not acked in time.
    pub(super) fn expire_relays(&mut self, now: Time, out: &mut Vec<Output>) {
        let relays = self.relays.0.iter();
        let expired: Vec<u32> = relays.filter(|(_, r)| r.deadline <= now).map(|(seq, _)| *seq).collect();
        for seq in expired {
            if let Some(relay) = self.relays.0.remove(&seq) {
                self.send(now, relay.requester, Message::Nack { seq: relay.seq }, out);
            }
        }
    }
}
