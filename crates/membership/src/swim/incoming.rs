//! Received datagrams: checks of the sender, then the updates, then the message.

use super::dissemination::Destination;
use super::relay::{Ack, PingRequest};
use super::{Change, Membership, Output};
use crate::member::{Id, Incarnation, Member, State};
use crate::merge::{compare, refute, Claim, Known, Precedence};
use crate::stats::RejectReason;
use crate::wire::{decode, Datagram, Message, Update};
use bellcroft_balancer::Time;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Maximum number of address mismatches that are reported, once each. The limit bounds the memory for them.
const MAX_REPORTED_MISMATCHES: usize = 64;

/// Conflicts that were already reported, as each is reported once and not for each datagram.
#[derive(Debug, Default)]
pub(super) struct IdentityConflicts {
    duplicate_reported: bool,
    mismatches: BTreeSet<(Id, SocketAddr)>,
}

impl IdentityConflicts {
    /// Reports that another process uses this instance's number.
    fn on_duplicate(&mut self, out: &mut Vec<Output>) {
        if !self.duplicate_reported {
            self.duplicate_reported = true;
            out.push(Output::Change(Change::DuplicateIdentity));
        }
    }

    /// Reports that a member's datagram was received from an address that is not the member's.
    fn on_address_mismatch(&mut self, id: Id, source: SocketAddr, out: &mut Vec<Output>) {
        if self.mismatches.len() < MAX_REPORTED_MISMATCHES && self.mismatches.insert((id, source)) {
            out.push(Output::Change(Change::AddressMismatch(id, source)));
        }
    }
}

impl Membership {
    /// Processes a received datagram.
    pub fn receive(&mut self, now: Time, source: SocketAddr, bytes: &[u8], out: &mut Vec<Output>) {
        self.detect_stall(now, out);
        match self.accept(now, source, bytes, out) {
            Ok(datagram) => {
                self.health.on_datagram(now);
                self.stats.accepted_datagrams += 1;
                self.stats.accepted_bytes += bytes.len() as u64;
                self.on_datagram(now, source, datagram, out);
                self.update_quorum_state(now, out);
            }
            Err(reason) => self.stats.rejected[reason.index()] += 1,
        }
    }

    fn accept(
        &mut self,
        now: Time,
        source: SocketAddr,
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) -> Result<Datagram, RejectReason> {
        let datagram = decode(self.cluster, bytes).map_err(RejectReason::Wire)?;
        self.check_identity(source, &datagram, out)?;
        self.check_incarnation(now, source, &datagram, out)?;
        self.on_sender(now, source, &datagram, out);
        Ok(datagram)
    }

    /// Rejects datagrams with this instance's own number, and datagrams from an address that is not the sender's.
    fn check_identity(
        &mut self,
        source: SocketAddr,
        datagram: &Datagram,
        out: &mut Vec<Output>,
    ) -> Result<(), RejectReason> {
        let from = datagram.from;
        if from == self.config.number {
            self.identity_conflicts.on_duplicate(out);
            return Err(RejectReason::OwnIdentity);
        }
        let mismatch = match (self.roster_address(from), self.view.get(from)) {
            (Some(listed), _) => listed != source,
            // A member that the roster does not list may have a new address after a restart.
            (None, Some(member)) => {
                member.address != source
                    && member.state.is_reachable()
                    && datagram.incarnation.epoch <= member.incarnation.epoch
            }
            (None, None) => false,
        };
        if mismatch {
            self.identity_conflicts.on_address_mismatch(from, source, out);
            return Err(RejectReason::AddressMismatch);
        }
        Ok(())
    }

    /// Rejects datagrams of a former process of the sender, unless they prove that the known incarnation is false.
    fn check_incarnation(
        &mut self,
        now: Time,
        source: SocketAddr,
        datagram: &Datagram,
        out: &mut Vec<Output>,
    ) -> Result<(), RejectReason> {
        let known = self.view.get(datagram.from).map(|member| member.incarnation.epoch);
        let is_stale = known.is_some_and(|epoch| datagram.incarnation.epoch < epoch);
        if is_stale && !self.disproves_known_epoch(datagram) {
            self.respond_to_stale(now, source, datagram, out);
            return Err(RejectReason::StaleIncarnation);
        }
        Ok(())
    }

    /// Whether the datagram acks a pending ping in an earlier epoch than the known one, and the known one was replaced
    /// by it.
    fn disproves_known_epoch(&mut self, datagram: &Datagram) -> bool {
        match datagram.message {
            Message::Ack { seq, target, incarnation }
                if target == datagram.from && self.is_ping_pending(seq, target) =>
            {
                self.lower_unproven_epoch(target, incarnation)
            }
            _ => false,
        }
    }

    /// Replaces a member's known incarnation by an acked one of an earlier epoch, if no ack was received in the known
    /// epoch or the member is not reachable in it; true if replaced. Another member claimed the known epoch falsely,
    /// perhaps too far ahead for the member itself to choose a later one.
    fn lower_unproven_epoch(&mut self, id: Id, acked: Incarnation) -> bool {
        let known = self.view.get(id).filter(|member| acked.epoch < member.incarnation.epoch);
        let unproven = known.is_some_and(|member| member.last_ack.is_none() || !member.state.is_reachable());
        unproven && self.view.update(id, |member| member.incarnation = acked)
    }

    fn is_ping_pending(&self, seq: u32, id: Id) -> bool {
        self.detector.is_pending(seq, id) || self.join.is_pending(seq, id)
    }

    /// Records the sender's incarnation, site, role and address. Only a later incarnation than the known one shows that
    /// the member is alive: with the known incarnation the datagram may be old, and only an ack is evidence.
    fn on_sender(&mut self, now: Time, source: SocketAddr, datagram: &Datagram, out: &mut Vec<Output>) {
        let (id, incarnation) = (datagram.from, datagram.incarnation);
        let known = self.view.get(id).map(|member| (member.incarnation, member.state));
        self.view.update(id, |member| {
            (member.site, member.role, member.address) = (datagram.site, datagram.role, source);
        });
        let is_later = known.is_none_or(|(latest, state)| incarnation > latest || state == State::Absent);
        if !is_later {
            return;
        }
        let joined =
            known.is_none_or(|(latest, state)| !state.is_reachable() || incarnation.epoch > latest.epoch);
        let member = Member {
            id,
            incarnation,
            state: State::Absent,
            since: now,
            reported_by: id,
            address: source,
            site: datagram.site,
            role: datagram.role,
            last_ack: None,
        };
        let is_new = self.mark_alive(now, member, id, out);
        if joined && is_new {
            self.push_state_to_joined(now, Destination { id: Some(id), address: source }, out);
        }
    }

    fn on_datagram(&mut self, now: Time, source: SocketAddr, datagram: Datagram, out: &mut Vec<Output>) {
        // Updates are processed before the message, so that an ack carries the incarnation that refutes them.
        for (index, update) in datagram.updates.iter().enumerate() {
            self.dissemination.forward_received = index < usize::from(datagram.new_updates);
            self.on_update(now, datagram.from, update, out);
        }
        self.dissemination.forward_received = true;
        self.on_message(now, source, datagram, out);
    }

    fn on_message(&mut self, now: Time, source: SocketAddr, datagram: Datagram, out: &mut Vec<Output>) {
        let sender = Destination { id: Some(datagram.from), address: source };
        match datagram.message {
            Message::Ping { seq, to } => self.on_ping(now, sender, seq, to, out),
            Message::PingRequest { seq, target, address } => {
                self.relay_ping(now, sender, PingRequest { seq, target, address }, out);
            }
            Message::Ack { seq, target, incarnation } => {
                self.on_ack(now, datagram.from, Ack { seq, target, incarnation }, out);
            }
            Message::Nack { seq } => self.detector.on_nack(seq),
            Message::Gossip => {}
            Message::Hint { payload } => {
                if self.view.get(datagram.from).is_some_and(|member| member.state.is_reachable()) {
                    out.push(Output::Hint(datagram.from, payload));
                }
            }
            Message::Digest { parts } => self.on_digest(now, datagram.from, &parts, out),
        }
    }

    /// Acks a ping, unless it is for another member or this instance is leaving.
    fn on_ping(&mut self, now: Time, sender: Destination, seq: u32, to: Id, out: &mut Vec<Output>) {
        if to == self.config.number && !self.join.leaving {
            let ack = Message::Ack { seq, target: to, incarnation: self.incarnation };
            self.send(now, sender, ack, out);
        }
    }

    fn on_ack(&mut self, now: Time, from: Id, ack: Ack, out: &mut Vec<Output>) {
        if self.relay_ack(now, ack, out) || !self.is_ping_pending(ack.seq, ack.target) {
            return;
        }
        self.detector.on_ack(ack.seq, ack.target, from, self.config.max_members);
        self.join.on_ack(ack.seq);
        self.health.improve();
        self.on_direct_evidence(now, ack.target, ack.incarnation, out);
    }

    /// Marks a member alive that has acked a ping of this instance, directly or by a helper, regardless of other
    /// members' reports.
    fn on_direct_evidence(&mut self, now: Time, id: Id, incarnation: Incarnation, out: &mut Vec<Output>) {
        self.lower_unproven_epoch(id, incarnation);
        self.view.update(id, |member| member.last_ack = Some(now));
        let Some(member) = self.view.get(id).cloned() else { return };
        if incarnation > member.incarnation {
            self.mark_alive(now, Member { incarnation, ..member }, id, out);
        } else if matches!(member.state, State::Suspect | State::Dead | State::Absent) {
            if member.state == State::Dead {
                self.stats.false_deaths += 1;
            }
            self.detector.suspicions.remove(&id);
            self.dissemination.cancel(id);
            self.set_state(now, id, State::Alive, self.config.number, out);
        }
    }

    /// Marks a member alive, in a new incarnation or again. True if the update was queued for gossip.
    fn mark_alive(&mut self, now: Time, latest: Member, reported_by: Id, out: &mut Vec<Output>) -> bool {
        let (id, incarnation) = (latest.id, latest.incarnation);
        let known = self.view.get(id).map(|member| (member.incarnation, member.state));
        match known {
            // The update is gossiped below even if this view has no room for the member, as other views may have room.
            None => {
                self.view.offer(latest.clone());
            }
            Some((former, state)) => {
                if state == State::Dead && former.epoch == incarnation.epoch {
                    self.stats.false_deaths += 1;
                }
                self.view.update(id, |member| member.incarnation = incarnation);
            }
        }
        self.detector.suspicions.remove(&id);
        let restarted =
            known.is_some_and(|(former, state)| state != State::Absent && former.epoch < incarnation.epoch);
        if restarted {
            self.detector.cancel_probes(id);
            self.set_restarted(now, id, reported_by, out);
        } else {
            self.set_state(now, id, State::Alive, reported_by, out);
        }
        let update = self
            .update_about(id)
            .unwrap_or_else(|| self.update_of(&Member { state: State::Alive, reported_by, ..latest }));
        self.disseminate(now, update)
    }

    /// Processes an update about a member, or about this instance.
    fn on_update(&mut self, now: Time, from: Id, update: &Update, out: &mut Vec<Output>) {
        let id = update.id;
        if id == self.config.number {
            return self.on_update_about_self(now, update);
        }
        let Some(member) = self.view.get(id).cloned() else {
            return self.on_update_about_unknown(now, update, out);
        };
        let known =
            Known { incarnation: member.incarnation, state: member.state, acked: member.last_ack.is_some() };
        match compare(known, Claim::of(update), from == id) {
            Precedence::Ignored => {}
            Precedence::Alive => {
                let latest = Member { incarnation: update.incarnation, ..member };
                self.mark_alive(now, latest, update.reported_by, out);
            }
            Precedence::Left => self.on_left(now, &member, update, out),
            Precedence::Suspect => self.on_accusation(now, &member, update, out),
        }
    }

    /// Processes a member's own report that it is leaving.
    fn on_left(&mut self, now: Time, member: &Member, update: &Update, out: &mut Vec<Output>) {
        if member.state == State::Left {
            return;
        }
        let id = member.id;
        self.detector.suspicions.remove(&id);
        self.view.update(id, |member| member.incarnation = update.incarnation);
        self.set_state(now, id, State::Left, id, out);
        self.disseminate(now, update.clone());
    }

    /// Processes a report by another member of a failure, or of a restart that only a probe by this instance can
    /// confirm.
    fn on_accusation(&mut self, now: Time, member: &Member, update: &Update, out: &mut Vec<Output>) {
        let id = member.id;
        self.suspect_by_report(now, member, update.reported_by, out);
        if update.state == State::Alive {
            return;
        }
        let Some(suspicion) = self.detector.suspicions.get_mut(&id) else { return };
        suspicion.reported_dead |= matches!(update.state, State::Dead | State::Left);
        suspicion.reported_left |= update.state == State::Left;
        if suspicion.add_reporter(update.reported_by) && self.dissemination.forward_received {
            // The update is forwarded with the reporter's number, so that it shortens the suspicions at other members too.
            self.dissemination.reset(id);
            let confirmation = Update { incarnation: member.incarnation, ..update.clone() };
            self.dissemination.enqueue(now, confirmation);
        }
    }

    /// Processes an update about a member that the view does not contain.
    fn on_update_about_unknown(&mut self, now: Time, update: &Update, out: &mut Vec<Output>) {
        let address = self.roster_address(update.id).or(update.address);
        match (update.state, address) {
            (State::Alive, Some(address)) => {
                let member = Member {
                    id: update.id,
                    incarnation: update.incarnation,
                    state: State::Absent,
                    since: now,
                    reported_by: update.reported_by,
                    address,
                    site: update.site,
                    role: update.role,
                    last_ack: None,
                };
                self.mark_alive(now, member, update.reported_by, out);
            }
            // The update is gossiped nevertheless, since other views may contain the member.
            _ => {
                self.disseminate(now, update.clone());
            }
        }
    }

    /// Refutes a false update about this instance by a later incarnation.
    fn on_update_about_self(&mut self, now: Time, update: &Update) {
        if self.join.leaving {
            return;
        }
        let Some(incarnation) = refute(self.incarnation, Claim::of(update)) else { return };
        self.incarnation = incarnation;
        if update.state != State::Alive {
            self.stats.refutations += 1;
            self.health.worsen(1);
        }
        let refutation = self.own_update(State::Alive);
        self.dissemination.enqueue(now, refutation);
    }
}
