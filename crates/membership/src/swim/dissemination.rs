//! Dissemination: the queue of updates to gossip, and the datagrams that carry them.
//!
//! The free space of a datagram is filled with updates: first an accusation of the receiver, so that the receiver can
//! refute it, then queued updates, then samples of the view. Samples repair views after lost datagrams; receivers do
//! not forward them.

use super::{Membership, Output};
use crate::config::Config;
use crate::member::{Id, Incarnation, Member, State};
use crate::wire::{encode, Datagram, Message, Update};
use bellcroft_balancer::{Micros, Time};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

/// Number of members that receive a gossip datagram in a period while updates are queued.
const GOSSIP_FANOUT: usize = 2;
/// Maximum number of updates that fit into a datagram, by their shortest encoding.
pub(super) const MAX_PIGGYBACKED_UPDATES: usize = 24;
/// Number of view samples in a datagram: at most half of the updates that fit.
pub(super) const VIEW_SAMPLES: usize = 6;
/// Maximum number of draws from the view for each sample. One draw may not suffice: the datagram may already contain an
/// update about the drawn member, or the member's state may be absent.
const DRAWS_PER_SAMPLE: usize = 2;
/// Maximum number of queued updates; beyond it, the most transmitted one is discarded.
const MAX_QUEUED_UPDATES: usize = 512;
/// Maximum number of members whose latest queued update is remembered, so that a late copy does not count as new.
const MAX_REMEMBERED_MEMBERS: usize = 16_384;
/// Maximum time for which an accusation is gossiped: after a partition heals, an older one would reach members that have
/// later evidence.
const MAX_ACCUSATION_AGE: Micros = Micros(10_000_000);

/// An update in the queue.
#[derive(Debug, Clone)]
struct QueuedUpdate {
    update: Update,
    transmissions: u32,
    queued_at: Time,
}

/// The queue of updates to gossip: the latest one about each member.
#[derive(Debug)]
pub(super) struct Dissemination {
    queued: HashMap<Id, QueuedUpdate>,
    /// Members with a queued update by its number of transmissions, from the least transmitted to the most.
    by_transmissions: BTreeSet<(u32, Id)>,
    /// Incarnation and state of the last update that was queued about each member.
    latest: HashMap<Id, (Incarnation, State)>,
    /// Members in `latest`, from the one added first to the one added last.
    latest_order: VecDeque<Id>,
    /// Whether the updates that are being processed are to be gossiped. False for samples of other members' views, which
    /// would otherwise circulate indefinitely.
    pub forward_received: bool,
}

impl Default for Dissemination {
    fn default() -> Self {
        Dissemination {
            queued: HashMap::new(),
            by_transmissions: BTreeSet::new(),
            latest: HashMap::new(),
            latest_order: VecDeque::new(),
            forward_received: true,
        }
    }
}

impl Dissemination {
    /// Queues an update; false if an equal or later update about that member was queued before.
    pub fn enqueue(&mut self, now: Time, update: Update) -> bool {
        let (id, version) = (update.id, (update.incarnation, update.state));
        if self.latest.get(&id).is_some_and(|latest| *latest >= version) {
            return false;
        }
        self.remember(id, version);
        self.cancel(id);
        self.queued.insert(id, QueuedUpdate { update, transmissions: 0, queued_at: now });
        self.by_transmissions.insert((0, id));
        if self.queued.len() > MAX_QUEUED_UPDATES {
            if let Some((_, most_transmitted)) = self.by_transmissions.last().copied() {
                self.cancel(most_transmitted);
            }
        }
        true
    }

    fn remember(&mut self, id: Id, version: (Incarnation, State)) {
        if self.latest.insert(id, version).is_some() {
            return;
        }
        self.latest_order.push_back(id);
        if self.latest_order.len() > MAX_REMEMBERED_MEMBERS {
            if let Some(oldest) = self.latest_order.pop_front() {
                self.latest.remove(&oldest);
            }
        }
    }

    /// Removes a member's update from the queue.
    pub fn cancel(&mut self, id: Id) {
        if let Some(queued) = self.queued.remove(&id) {
            self.by_transmissions.remove(&(queued.transmissions, id));
        }
    }

    /// Removes a member's update from the queue, and allows the same update to be queued again.
    pub fn reset(&mut self, id: Id) {
        self.cancel(id);
        // The entry is set to the earliest version instead of removed, as a removal would have to search `latest_order`.
        self.latest.entry(id).and_modify(|version| *version = (Incarnation::default(), State::Absent));
    }

    /// Returns up to `limit` updates, the least transmitted first. Discards accusations that are too old.
    pub fn next_updates(&mut self, now: Time, limit: usize) -> Vec<Update> {
        let (mut updates, mut expired) = (Vec::with_capacity(limit), Vec::new());
        for (_, id) in &self.by_transmissions {
            let Some(queued) = self.queued.get(id) else { continue };
            if is_accusation(&queued.update) && now.since(queued.queued_at) >= MAX_ACCUSATION_AGE {
                expired.push(*id);
            } else if updates.len() == limit {
                break;
            } else {
                updates.push(queued.update.clone());
            }
        }
        expired.into_iter().for_each(|id| self.cancel(id));
        updates
    }

    /// Counts a transmission of these updates, and discards those that have reached the limit.
    pub fn on_sent(&mut self, updates: &[Update], max_transmissions: u32) {
        for update in updates {
            let Some(queued) = self.queued.get_mut(&update.id) else { continue };
            self.by_transmissions.remove(&(queued.transmissions, update.id));
            queued.transmissions += 1;
            if queued.transmissions >= max_transmissions {
                self.queued.remove(&update.id);
            } else {
                self.by_transmissions.insert((queued.transmissions, update.id));
            }
        }
    }

    /// Discards all accusations after a stall of this process, as they were queued before it.
    pub fn cancel_accusations(&mut self) {
        let queued = self.queued.iter();
        let accusations: Vec<Id> =
            queued.filter(|(_, queued)| is_accusation(&queued.update)).map(|(id, _)| *id).collect();
        accusations.into_iter().for_each(|id| self.reset(id));
    }

    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }
}

fn is_accusation(update: &Update) -> bool {
    matches!(update.state, State::Suspect | State::Dead)
}

/// The destination of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Destination {
    /// Number of the receiver; unknown for the address of a seed.
    pub id: Option<Id>,
    pub address: SocketAddr,
}

impl Destination {
    pub fn of(member: &Member) -> Self {
        Destination { id: Some(member.id), address: member.address }
    }
}

/// The updates in a datagram in addition to the queued ones.
#[derive(Debug)]
pub(super) struct Piggyback {
    /// Updates that are sent before all others, and that the receiver forwards.
    pub updates: Vec<Update>,
    /// Number of view samples.
    pub samples: usize,
}

impl Default for Piggyback {
    fn default() -> Self {
        Piggyback { updates: Vec::new(), samples: VIEW_SAMPLES }
    }
}

impl Membership {
    /// Gossips queued updates to a few reachable members.
    pub(super) fn gossip(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.dissemination.is_empty() {
            return;
        }
        let reachable: Vec<Destination> = self.view.reachable().map(Destination::of).collect();
        for target in self.rng.choose_multiple(reachable, GOSSIP_FANOUT) {
            self.send(now, target, Message::Gossip, out);
        }
    }

    /// Queues an update to gossip, unless it is from a view sample; true if it was new.
    pub(super) fn disseminate(&mut self, now: Time, update: Update) -> bool {
        self.dissemination.forward_received && self.dissemination.enqueue(now, update)
    }

    /// Sends a datagram with the default piggyback.
    pub(super) fn send(&mut self, now: Time, to: Destination, message: Message, out: &mut Vec<Output>) {
        self.send_with(now, to, message, Piggyback::default(), out);
    }

    /// Sends a datagram that is filled with updates.
    pub(super) fn send_with(
        &mut self,
        now: Time,
        to: Destination,
        message: Message,
        piggyback: Piggyback,
        out: &mut Vec<Output>,
    ) {
        let Piggyback { mut updates, samples } = piggyback;
        // The receiver can refute an accusation of itself only if it receives it.
        let about_receiver = to.id.and_then(|id| self.update_about(id));
        updates.extend(about_receiver.filter(|update| update.state != State::Alive));
        let first_queued = updates.len();
        let queued = self.dissemination.next_updates(now, MAX_PIGGYBACKED_UPDATES);
        updates.extend(queued.into_iter().filter(|update| Some(update.id) != to.id));
        let first_sample = updates.len();
        self.add_samples(to.id, samples, &mut updates);
        let datagram = Datagram {
            from: self.config.number,
            incarnation: self.incarnation,
            site: self.config.site,
            role: self.config.role,
            message,
            new_updates: first_sample as u8,
            updates,
        };
        let (bytes, encoded) = encode(self.cluster, &datagram);
        let transmitted = &datagram.updates[first_queued.min(encoded)..first_sample.min(encoded)];
        let max_transmissions = 2 * (self.view.size().0.log2().ceil() as u32 + 1);
        self.dissemination.on_sent(transmitted, max_transmissions);
        self.stats.sent_datagrams += 1;
        self.stats.sent_bytes += bytes.len() as u64;
        out.push(Output::Send(to.address, bytes));
    }

    /// Adds updates about members drawn from the view. Suspected members are left out, as their reporters gossip them.
    fn add_samples(&mut self, receiver: Option<Id>, samples: usize, updates: &mut Vec<Update>) {
        let max_updates = updates.len() + samples;
        for _ in 0..DRAWS_PER_SAMPLE * samples {
            let drawn = self.view.draw(self.rng.usize(..)).map(|member| member.id);
            let is_new = |id: &Id| Some(*id) != receiver && updates.iter().all(|update| update.id != *id);
            let sample = drawn.filter(is_new).and_then(|id| self.update_about(id));
            updates.extend(sample.filter(|update| update.state != State::Suspect));
            if updates.len() >= max_updates {
                break;
            }
        }
    }

    /// An update about a member; none if the view does not contain the member or its state is absent.
    pub(super) fn update_about(&self, id: Id) -> Option<Update> {
        let member = self.view.get(id).filter(|member| member.state != State::Absent)?;
        Some(self.update_of(member))
    }

    /// An update from a member's entry. It includes the address if the roster does not list it.
    pub(super) fn update_of(&self, member: &Member) -> Update {
        Update {
            id: member.id,
            incarnation: member.incarnation,
            state: member.state,
            reported_by: member.reported_by,
            site: member.site,
            role: member.role,
            address: self.roster_address(member.id).is_none().then_some(member.address),
        }
    }

    /// An update about this instance itself.
    pub(super) fn own_update(&self, state: State) -> Update {
        let Config { number, site, role, .. } = self.config;
        Update {
            id: number,
            incarnation: self.incarnation,
            state,
            reported_by: number,
            site,
            role,
            address: None,
        }
    }
}
