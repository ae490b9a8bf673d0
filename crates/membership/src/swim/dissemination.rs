//! Dissemination: the queue of updates to gossip, and the datagrams that carry them.
//!
//! Every datagram is filled up with updates: an accusation of its receiver first, so that the receiver can refute it, then
//! queued updates, then samples of the view. Samples repair views after lost datagrams; their receivers do not forward them.

use super::{Membership, Output};
use crate::config::Config;
use crate::member::{Id, Incarnation, Member, State};
use crate::wire::{encode, Datagram, Message, Update};
use bellcroft_balancer::{Micros, Time};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

/// Members that receive a gossip datagram in a period, while updates are queued.
const GOSSIP_FANOUT: usize = 2;
/// Updates that fit into a datagram at most, by their shortest encoding.
pub(super) const MAX_PIGGYBACKED_UPDATES: usize = 24;
/// Samples of the view in a datagram: no more than half of what fits.
pub(super) const VIEW_SAMPLES: usize = 6;
/// Draws from the view for each sample, as a drawn member may be in the datagram already or have no known state.
const DRAWS_PER_SAMPLE: usize = 2;
/// Queued updates; past it the one that was sent most often is dropped.
const MAX_QUEUED_UPDATES: usize = 512;
/// Members whose latest gossiped update is remembered, so that a late copy does not count as new.
const MAX_REMEMBERED_MEMBERS: usize = 16_384;
/// An accusation is not gossiped for longer: after a partition heals it would meet members with later evidence.
const MAX_ACCUSATION_AGE: Micros = Micros(10_000_000);

/// An update in the queue.
#[derive(Debug, Clone)]
struct QueuedUpdate {
    update: Update,
    transmissions: u32,
    queued_at: Time,
}

/// The queue of updates to gossip: the latest one of each member.
#[derive(Debug)]
pub(super) struct Dissemination {
    queued: HashMap<Id, QueuedUpdate>,
    /// The same by the number of transmissions: the least transmitted first.
    by_transmissions: BTreeSet<(u32, Id)>,
    /// What was queued last of each member.
    latest: HashMap<Id, (Incarnation, State)>,
    /// The members of `latest`, the oldest first.
    latest_order: VecDeque<Id>,
    /// Whether updates that are processed now are to be gossiped. False for samples of other members' views: they would
    /// circulate without end.
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
    /// Queues an update; false if the same or a later one of that member was queued before.
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

    /// Takes a member's update out of the queue.
    pub fn cancel(&mut self, id: Id) {
        if let Some(queued) = self.queued.remove(&id) {
            self.by_transmissions.remove(&(queued.transmissions, id));
        }
    }

    /// Takes a member's update out of the queue, and lets the same update be queued again.
    pub fn reset(&mut self, id: Id) {
        self.cancel(id);
        // Overwritten by a version before all others, not removed: a removal would have to search `latest_order`.
        self.latest.entry(id).and_modify(|version| *version = (Incarnation::default(), State::Absent));
    }

    /// Up to `limit` updates, the least transmitted first. Drops accusations that are too old.
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

    /// Counts a transmission of these updates, and drops those that have reached the limit.
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

    /// Drops all accusations: they stem from before a stall of this process.
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

/// Where a datagram goes. The id is unknown for the address of a seed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Destination {
    pub id: Option<Id>,
    pub address: SocketAddr,
}

impl Destination {
    pub fn of(member: &Member) -> Self {
        Destination { id: Some(member.id), address: member.address }
    }
}

/// What fills a datagram besides queued updates.
#[derive(Debug)]
pub(super) struct Piggyback {
    /// Sent before all others, and forwarded by the receiver.
    pub updates: Vec<Update>,
    /// The number of view samples.
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

    /// Queues an update to gossip, unless it stems from a sample; true if it was new.
    pub(super) fn disseminate(&mut self, now: Time, update: Update) -> bool {
        self.dissemination.forward_received && self.dissemination.enqueue(now, update)
    }

    /// Sends a datagram with the standard piggyback.
    pub(super) fn send(&mut self, now: Time, to: Destination, message: Message, out: &mut Vec<Output>) {
        self.send_with(now, to, message, Piggyback::default(), out);
    }

    /// Sends a datagram, filled up with updates.
    pub(super) fn send_with(
        &mut self,
        now: Time,
        to: Destination,
        message: Message,
        piggyback: Piggyback,
        out: &mut Vec<Output>,
    ) {
        let Piggyback { mut updates, samples } = piggyback;
        // The receiver must learn of an accusation to refute it.
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

    /// Adds updates about members drawn from the view. Suspicions are left out: they are gossiped by their reporters.
    fn add_samples(&mut self, receiver: Option<Id>, samples: usize, updates: &mut Vec<Update>) {
        let full = updates.len() + samples;
        for _ in 0..DRAWS_PER_SAMPLE * samples {
            let drawn = self.view.draw(self.rng.usize(..)).map(|member| member.id);
            let is_new = |id: &Id| Some(*id) != receiver && updates.iter().all(|update| update.id != *id);
            let sample = drawn.filter(is_new).and_then(|id| self.update_about(id));
            updates.extend(sample.filter(|update| update.state != State::Suspect));
            if updates.len() >= full {
                break;
            }
        }
    }

    /// The state of a member as an update; none for one that is not in the view or was never seen.
    pub(super) fn update_about(&self, id: Id) -> Option<Update> {
        let member = self.view.get(id).filter(|member| member.state != State::Absent)?;
        Some(self.update_of(member))
    }

    /// A member's entry as an update. The address is included where rosters do not list it.
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
