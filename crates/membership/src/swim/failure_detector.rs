//! Failure detection: direct probes, indirect probes by helpers, and suspicions.
//!
//! A member's state changes from `Alive` to `Suspect` by a failed probe of this instance or by another member's
//! accusation, and from `Suspect` to `Dead` only after the suspicion's timeout *and* a failed probe by this instance.

use super::dissemination::Destination;
use super::suspicion::{Suspicion, SuspicionTimeouts};
use super::{Change, Membership, Output};
use crate::member::{Id, Member, State};
use crate::view::View;
use crate::wire::{Message, Update};
use bellcroft_balancer::{Micros, Time};
use std::collections::{BTreeMap, VecDeque};

/// Number of helpers that are requested to ping a member which has not acked a direct ping (SWIM's k).
const INDIRECT_PROBES: usize = 3;
/// Maximum number of probes of suspected members in a period, in addition to the regular probe. The limit bounds the
/// cost of accusations.
const MAX_EXTRA_PROBES: u32 = 4;
/// Number of retries of a probe: the first with indirect probes, the second with a direct ping alone.
const MAX_PROBE_RETRIES: u32 = 2;
/// Time from a probe's first ping to its first retry, in probe intervals stretched by the local health score.
const FIRST_RETRY_INTERVALS: f64 = 0.8;
/// Number of probe intervals after an ack of a member in which accusations of it by other members are ignored.
const RECENT_ACK_INTERVALS: f64 = 2.0;

/// A pending probe of this instance.
#[derive(Debug, Clone)]
struct Probe {
    target: Id,
    retries: u32,
    next_retry: Time,
    deadline: Time,
    expected_nacks: u32,
    nacks: u32,
}

impl Probe {
    /// The time of the next retry or of the timeout, whichever is first.
    fn next_timer(&self) -> Time {
        if self.retries < MAX_PROBE_RETRIES {
            self.next_retry.min(self.deadline)
        } else {
            self.deadline
        }
    }
}

/// Probes and suspicions. All maps iterate in the order of their keys, so that runs with equal seeds are equal.
#[derive(Debug)]
pub(super) struct FailureDetector {
    /// Pending probes, by the sequence number of their pings.
    probes: BTreeMap<u32, Probe>,
    /// Helper whose indirect probe was acked last, for each member whose last ack was not direct.
    last_helpers: BTreeMap<Id, Id>,
    pub suspicions: BTreeMap<Id, Suspicion>,
    /// Remaining targets of the current round-robin round, shuffled for each round; the next target is the last one. The
    /// time between two probes of a member is at most twice the number of members, in periods.
    round: Vec<Id>,
    /// Suspected members that are probed in a later period, as the extra probes of a period were used up.
    queued_suspects: VecDeque<Id>,
    extra_probes_left: u32,
    next_period: Time,
}

impl FailureDetector {
    pub fn new(now: Time) -> Self {
        FailureDetector {
            probes: BTreeMap::new(),
            last_helpers: BTreeMap::new(),
            suspicions: BTreeMap::new(),
            round: Vec::new(),
            queued_suspects: VecDeque::new(),
            extra_probes_left: MAX_EXTRA_PROBES,
            next_period: now,
        }
    }

    pub fn next_period(&self) -> Time {
        self.next_period
    }

    /// The time at which the next timer is due. Suspicions do not time out before the end of a recovery.
    pub fn next_deadline(&self, recovering_until: Time) -> Time {
        let probes = self.probes.values().map(Probe::next_timer);
        let confirmed = self.suspicions.values().filter(|suspicion| suspicion.probe_failed);
        let suspicions = confirmed.map(|suspicion| suspicion.deadline().max(recovering_until));
        probes.chain(suspicions).fold(self.next_period, Time::min)
    }

    pub fn begin_period(&mut self, next: Time) {
        self.next_period = next;
        self.extra_probes_left = MAX_EXTRA_PROBES;
    }

    /// Whether a ping to this member with this sequence number is pending.
    pub fn is_pending(&self, seq: u32, id: Id) -> bool {
        self.probes.get(&seq).is_some_and(|probe| probe.target == id)
    }

    /// Ends a probe that the target has acked, directly or by a helper.
    pub fn on_ack(&mut self, seq: u32, target: Id, received_from: Id, max_members: usize) {
        if received_from == target {
            self.last_helpers.remove(&target);
        } else if self.last_helpers.len() < max_members {
            self.last_helpers.insert(target, received_from);
        }
        self.probes.remove(&seq);
    }

    /// Counts the nack of a helper whose ping the target has not acked.
    pub fn on_nack(&mut self, seq: u32) {
        if let Some(probe) = self.probes.get_mut(&seq) {
            probe.nacks += 1;
        }
    }

    /// Discards probes of a member's former process.
    pub fn cancel_probes(&mut self, id: Id) {
        self.probes.retain(|_, probe| probe.target != id);
    }

    /// Discards the state of members that the view no longer contains.
    pub fn discard_removed(&mut self, removed: &[Id], view: &View) {
        self.suspicions.retain(|id, _| !removed.contains(id));
        self.last_helpers.retain(|id, _| view.get(*id).is_some());
    }

    /// Resets timers after a stall, in which received acks could not be processed.
    fn reset_after_stall(&mut self, now: Time, stall: Micros) {
        self.probes.clear();
        self.suspicions.values_mut().for_each(|suspicion| suspicion.postpone(stall));
        self.next_period = now;
    }
}

impl Membership {
    /// Detects a stall of this process (SIGSTOP, a suspended machine, no CPU time) by the gap between two events.
    pub(super) fn detect_stall(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(stall) = self.health.on_event(now, &self.config) else { return };
        self.stats.stalls += 1;
        self.detector.reset_after_stall(now, stall);
        self.relays.clear();
        self.dissemination.cancel_accusations();
        out.push(Output::Change(Change::ResumedAfterStall(stall)));
    }

    /// Retries probes whose retry is due, and ends those that timed out.
    pub(super) fn run_probe_timers(&mut self, now: Time, out: &mut Vec<Output>) {
        let probes = self.detector.probes.iter();
        let due: Vec<u32> = probes.filter(|(_, p)| p.next_timer() <= now).map(|(seq, _)| *seq).collect();
        for seq in due {
            let Some(probe) = self.detector.probes.get(&seq).cloned() else { continue };
            if probe.deadline <= now {
                self.detector.probes.remove(&seq);
                self.on_probe_timeout(now, &probe, out);
            } else {
                self.retry_probe(now, seq, &probe, out);
            }
        }
    }

    fn retry_probe(&mut self, now: Time, seq: u32, probe: &Probe, out: &mut Vec<Output>) {
        let target = probe.target;
        let Some(destination) = self.view.get(target).map(Destination::of) else {
            // The view has evicted the member. Without an address to ping, the probe would remain due forever.
            self.detector.probes.remove(&seq);
            self.detector.suspicions.remove(&target);
            return;
        };
        let helpers = if probe.retries == 0 { self.choose_helpers(target) } else { Vec::new() };
        let next_retry = now + self.config.probe_interval * self.health.multiplier();
        if let Some(probe) = self.detector.probes.get_mut(&seq) {
            probe.retries += 1;
            probe.next_retry = next_retry;
            probe.expected_nacks += helpers.len() as u32;
        }
        self.send(now, destination, Message::Ping { seq, to: target }, out);
        // The address is omitted for a member that the roster lists, as the helper knows it.
        let address = self.roster_address(target).is_none().then_some(destination.address);
        for helper in helpers {
            self.send(now, helper, Message::PingRequest { seq, target, address }, out);
        }
    }

    /// Chooses alive members as helpers for indirect probes. The helper whose indirect probe was acked last is always
    /// among them: it may be the only path around a partition.
    fn choose_helpers(&mut self, target: Id) -> Vec<Destination> {
        let eligible = |member: &&Member| member.state == State::Alive && member.id != target;
        let candidates: Vec<Destination> = self.view.iter().filter(eligible).map(Destination::of).collect();
        let last_helper = self.detector.last_helpers.get(&target).copied();
        let last_helper =
            last_helper.and_then(|id| candidates.iter().find(|candidate| candidate.id == Some(id))).copied();
        let others = candidates.into_iter().filter(|candidate| Some(*candidate) != last_helper);
        let count = INDIRECT_PROBES - usize::from(last_helper.is_some());
        let mut helpers = self.rng.choose_multiple(others, count);
        helpers.extend(last_helper);
        helpers
    }

    /// The next reachable member of the round; a new round starts when no targets remain.
    pub(super) fn next_probe_target(&mut self) -> Option<Id> {
        loop {
            match self.detector.round.pop() {
                Some(id) if self.view.get(id).is_some_and(|m| m.state.is_reachable()) => return Some(id),
                Some(_) => {}
                None => {
                    self.detector.round = self.view.reachable().map(|m| m.id).collect();
                    if self.detector.round.is_empty() {
                        return None;
                    }
                    self.rng.shuffle(&mut self.detector.round);
                }
            }
        }
    }

    /// Starts a probe of a member, with a ping.
    pub(super) fn probe(&mut self, now: Time, id: Id, out: &mut Vec<Output>) {
        let Some(destination) = self.view.get(id).map(Destination::of) else { return };
        let seq = self.rng.u32(..);
        let (interval, multiplier) = (self.config.probe_interval, self.health.multiplier());
        let probe = Probe {
            target: id,
            retries: 0,
            next_retry: now + interval * (FIRST_RETRY_INTERVALS * multiplier),
            deadline: now + interval * (self.config.probe_timeout_periods * multiplier),
            expected_nacks: 0,
            nacks: 0,
        };
        self.detector.probes.insert(seq, probe);
        self.stats.probes_sent += 1;
        self.send(now, destination, Message::Ping { seq, to: id }, out);
    }

    /// Probes suspected members for which earlier periods had no extra probe left.
    pub(super) fn probe_queued_suspects(&mut self, now: Time, out: &mut Vec<Output>) {
        for _ in 0..MAX_EXTRA_PROBES {
            let Some(id) = self.detector.queued_suspects.pop_front() else { break };
            self.probe_suspect(now, id, out);
        }
    }

    /// Probes a suspected member at once if the period has extra probes left, otherwise queues it for the next period.
    fn request_suspect_probe(&mut self, now: Time, id: Id, out: &mut Vec<Output>) {
        if self.detector.extra_probes_left > 0 {
            self.detector.extra_probes_left -= 1;
            self.probe_suspect(now, id, out);
        } else if !self.detector.queued_suspects.contains(&id) {
            self.detector.queued_suspects.push_back(id);
        }
    }

    /// Probes a member unless a probe of it is already pending or it is no longer suspected.
    fn probe_suspect(&mut self, now: Time, id: Id, out: &mut Vec<Output>) {
        let pending = self.detector.probes.values().any(|probe| probe.target == id);
        if !pending && self.detector.suspicions.contains_key(&id) {
            self.probe(now, id, out);
        }
    }

    fn on_probe_timeout(&mut self, now: Time, probe: &Probe, out: &mut Vec<Output>) {
        self.stats.probes_failed += 1;
        // Missing nacks are evidence against this instance's own links (Lifeguard), but only if most of them are
        // missing: if many members crash at once, some of the helpers are among them.
        let nacks_missing = probe.nacks * 2 < probe.expected_nacks.max(1);
        self.health.worsen(u32::from(nacks_missing));
        if self.health.is_recovering(now) {
            return;
        }
        let id = probe.target;
        match self.view.get(id).map(|member| member.state) {
            Some(State::Alive) => {
                self.suspect(now, id, self.config.number, out);
                self.confirm_suspicion(now, id, out);
            }
            Some(State::Suspect) => self.confirm_suspicion(now, id, out),
            _ => {}
        }
    }

    /// Records that a probe by this instance has failed for a suspected member.
    fn confirm_suspicion(&mut self, now: Time, id: Id, out: &mut Vec<Output>) {
        let own_id = self.config.number;
        let Some(suspicion) = self.detector.suspicions.get_mut(&id) else { return };
        suspicion.probe_failed = true;
        if suspicion.add_reporter(own_id) {
            // The update is gossiped with this instance's number, as the report shortens other members' suspicions.
            if let Some(update) = self.update_about(id) {
                self.dissemination.reset(id);
                self.dissemination.enqueue(now, Update { reported_by: own_id, ..update });
            }
        }
        self.request_suspect_probe(now, id, out);
    }

    /// The timeouts of a new suspicion. They grow with the logarithm of the fleet's size, as does the time in which
    /// gossip reaches all members.
    fn suspicion_timeouts(&self) -> SuspicionTimeouts {
        let scale = self.view.size().0.max(2.0).log10().max(1.0);
        let periods = self.config.min_suspicion_periods * scale * self.health.multiplier();
        let min = self.config.probe_interval * periods;
        SuspicionTimeouts { min, max: min * self.config.max_suspicion_factor }
    }

    /// Starts the suspicion of a member whose state is alive.
    fn suspect(&mut self, now: Time, id: Id, reported_by: Id, out: &mut Vec<Output>) {
        let suspicion = Suspicion::new(now, self.suspicion_timeouts(), reported_by);
        self.detector.suspicions.insert(id, suspicion);
        self.set_state(now, id, State::Suspect, reported_by, out);
        if let Some(update) = self.update_about(id) {
            self.disseminate(now, update);
        }
        self.request_suspect_probe(now, id, out);
    }

    /// Starts a suspicion on another member's accusation, unless the accused member has acked a ping of this instance
    /// recently.
    pub(super) fn suspect_by_report(
        &mut self,
        now: Time,
        member: &Member,
        reported_by: Id,
        out: &mut Vec<Output>,
    ) {
        let recent = self.config.probe_interval * RECENT_ACK_INTERVALS;
        let acked_recently = member.last_ack.is_some_and(|at| now.since(at) < recent);
        if member.state == State::Alive && !acked_recently {
            self.suspect(now, member.id, reported_by, out);
        }
    }

    /// Ends suspicions that timed out and that a failed probe by this instance has confirmed.
    pub(super) fn expire_suspicions(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.health.is_recovering(now) {
            return;
        }
        let expired = |suspicion: &Suspicion| suspicion.probe_failed && suspicion.deadline() <= now;
        let suspicions = self.detector.suspicions.iter();
        let expired: Vec<Id> = suspicions.filter(|(_, s)| expired(s)).map(|(id, _)| *id).collect();
        for id in expired {
            self.mark_dead(now, id, out);
        }
    }

    /// Declares a member dead, or left if another member reported that.
    fn mark_dead(&mut self, now: Time, id: Id, out: &mut Vec<Output>) {
        let Some(suspicion) = self.detector.suspicions.remove(&id) else { return };
        let state = if suspicion.reported_left { State::Left } else { State::Dead };
        self.set_state(now, id, state, self.config.number, out);
        if let Some(update) = self.update_about(id) {
            self.dissemination.enqueue(now, update);
        }
    }
}
