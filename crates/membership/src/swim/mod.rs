//! The protocol of one member: a state machine that takes datagrams and the time, and returns [`Output`]s.
//!
//! | module | content |
//! | --- | --- |
//! | [`failure_detector`] | direct and indirect probes; the transitions from `Alive` to `Suspect` and `Dead` |
//! | [`relay`] | pings sent for other members' indirect probes |
//! | [`suspicion`] | the timeout of one suspicion |
//! | [`local_health`] | Lifeguard's local health score; stalls of this process and the recovery after them |
//! | [`dissemination`] | the queue of updates to gossip, and their piggybacking on datagrams |
//! | [`join`] | pings of missing members, state pushed to members that join, leaving |
//! | [`incoming`] | received datagrams: checks of the sender, updates, messages |

mod dissemination;
mod failure_detector;
mod incoming;
mod join;
mod local_health;
mod relay;
mod suspicion;

use crate::config::Config;
use crate::digest::{Digest, DigestPart, MergeOutcome};
use crate::member::{Id, Incarnation, Member, Role, State, MAX_EPOCH};
use crate::quorum::{FleetSize, QuorumState};
use crate::stats::Stats;
use crate::view::View;
use crate::wire::{Message, MAX_HINT_BYTES};
use bellcroft_balancer::{FleetState, Micros, Time};
use dissemination::{Destination, Dissemination, Piggyback};
use failure_detector::FailureDetector;
use incoming::IdentityConflicts;
use join::JoinState;
use local_health::LocalHealth;
use relay::Relays;
use std::net::SocketAddr;

/// Maximum number of draws from the view for a receiver of a digest half. Nearly every member is eligible, so a few
/// suffice.
const DIGEST_TARGET_DRAWS: usize = 4;

/// A change of state, to be logged or acted on. Emitted once for each change, not for each datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A member changed its state or restarted.
    Member {
        /// Number of the member.
        id: Id,
        /// Former state of the member.
        from: State,
        /// New state of the member.
        to: State,
        /// Member whose observation caused the change.
        reported_by: Id,
        /// Whether the member runs as a new process.
        restarted: bool,
    },
    /// This instance's quorum state changed.
    Quorum {
        /// Former state.
        from: QuorumState,
        /// New state.
        to: QuorumState,
        /// Number of reachable members, this instance included.
        reachable: u32,
        /// Expected number of instances.
        expected: u32,
    },
    /// This process resumed after a stall of this duration.
    ResumedAfterStall(Micros),
    /// Another process sends datagrams with this instance's number.
    DuplicateIdentity,
    /// Datagrams with this member's number arrive from this address, which is not the member's.
    AddressMismatch(Id, SocketAddr),
}

/// An action for the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send these bytes to this address.
    Send(SocketAddr, Vec<u8>),
    /// Log this change, or act on it.
    Change(Change),
    /// Pass this hint of a member to the balancer; [`crate::PeerReports`] limits its effect.
    Hint(Id, Vec<u8>),
    /// Pass the fleet's state, as known to this instance, to the balancer.
    Fleet(FleetState),
}

/// The membership protocol of one instance.
#[derive(Debug)]
pub struct Membership {
    config: Config,
    /// FNV-1a hash of the cluster's name, which each datagram carries.
    cluster: u64,
    /// Incarnation of this instance.
    incarnation: Incarnation,
    rng: fastrand::Rng,
    view: View,
    detector: FailureDetector,
    relays: Relays,
    health: LocalHealth,
    dissemination: Dissemination,
    join: JoinState,
    identity_conflicts: IdentityConflicts,
    quorum_state: QuorumState,
    fleet_size: FleetSize,
    digest: Digest,
    next_digest_exchange: Time,
    stats: Stats,
}

impl Membership {
    /// Starts a member.
    ///
    /// `epoch` is the wall-clock time in Unix milliseconds. Equal seeds and inputs give equal outputs.
    pub fn new(config: Config, now: Time, epoch: u64, seed: u64) -> Self {
        let mut view = View::new(config.number, config.max_members);
        view.add_roster(config.roster.iter().enumerate().map(|(number, address)| {
            let id = Id(number as u32);
            Member {
                id,
                incarnation: Incarnation::default(),
                state: State::Absent,
                since: now,
                reported_by: id,
                address: *address,
                site: 0,
                role: config.role,
                last_ack: None,
            }
        }));
        Membership {
            cluster: bellcroft_platform_settings::fnv1a(&config.cluster),
            incarnation: Incarnation { epoch: epoch.min(MAX_EPOCH - 1), counter: 0 },
            rng: fastrand::Rng::with_seed(seed),
            view,
            detector: FailureDetector::new(now),
            relays: Relays::default(),
            health: LocalHealth::new(&config, now),
            dissemination: Dissemination::default(),
            join: JoinState::default(),
            identity_conflicts: IdentityConflicts::default(),
            quorum_state: QuorumState::Recovering,
            fleet_size: FleetSize::new(config.expected(), config.size_retention),
            digest: Digest::default(),
            next_digest_exchange: now,
            stats: Stats::default(),
            config,
        }
    }

    /// The configuration that this instance was started with.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// This instance's own incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The other members in the view.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.view.iter()
    }

    /// The entry of one member, if the view contains it.
    pub fn member(&self, id: Id) -> Option<&Member> {
        self.view.get(id)
    }

    /// This instance's quorum state.
    pub fn quorum_state(&self) -> QuorumState {
        self.quorum_state
    }

    /// The number of reachable members, including this instance, and its relative standard error if the view is a sample.
    pub fn size(&self) -> (f64, Option<f64>) {
        self.view.size()
    }

    /// The number of instances that share fleet-wide limits.
    pub fn effective_size(&self, now: Time) -> u32 {
        self.fleet_size.effective(now)
    }

    /// The expected number of instances.
    pub fn expected_size(&self) -> u32 {
        self.fleet_size.expected()
    }

    /// Sets the expected number of instances; the roster's length is its lower bound.
    pub fn set_expected_size(&mut self, now: Time, instances: u32) {
        self.fleet_size.set_expected(now, instances.max(self.config.roster.len() as u32));
    }

    /// Lifeguard's local health score: 0 (healthy) to 3.
    pub fn local_health(&self) -> u32 {
        self.health.score()
    }

    /// Counters since the start.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// The time at which [`Membership::tick`] is due.
    pub fn next_deadline(&self) -> Time {
        let digest_exchange = (!self.digest.is_empty()).then_some(self.next_digest_exchange);
        // At least one tick in each probe interval, even if a poor local health score stretches the protocol period:
        // longer gaps between events count as a stall.
        let stall_check = self.health.last_event() + self.config.probe_interval;
        let detector = self.detector.next_deadline(self.health.recovering_until());
        digest_exchange
            .into_iter()
            .chain(self.relays.next_deadline())
            .fold(detector.min(stall_check), Time::min)
    }

    /// Runs all timers that are due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        self.detect_stall(now, out);
        self.run_probe_timers(now, out);
        self.expire_relays(now, out);
        self.expire_suspicions(now, out);
        if now >= self.detector.next_period() {
            self.run_protocol_period(now, out);
        }
        if now >= self.next_digest_exchange {
            self.exchange_digest(now, out);
        }
        self.update_quorum_state(now, out);
    }

    /// Sends a hint to one member; false if the member is not reachable or the payload is too long.
    pub fn send_hint(&mut self, now: Time, to: Id, payload: Vec<u8>, out: &mut Vec<Output>) -> bool {
        let Some(member) = self.view.get(to).filter(|m| m.state.is_reachable()) else { return false };
        if payload.len() > MAX_HINT_BYTES {
            return false;
        }
        let destination = Destination::of(member);
        self.send(now, destination, Message::Hint { payload }, out);
        true
    }

    /// This instance's part of the digest, in which it records its own observations.
    pub fn digest(&mut self) -> &mut Digest {
        &mut self.digest
    }

    /// The average state of the fleet's servers by site, as known to this instance.
    pub fn sites(&self) -> impl Iterator<Item = (u8, FleetState)> + '_ {
        self.digest.sites()
    }

    /// The average state of all servers of the fleet, as known to this instance.
    pub fn fleet(&self, now: Time) -> FleetState {
        self.digest.fleet(now)
    }

    /// Starts a protocol period: probes, gossip, pings of missing members, and cleanup.
    fn run_protocol_period(&mut self, now: Time, out: &mut Vec<Output>) {
        let interval = self.config.probe_interval * self.health.multiplier();
        self.detector.begin_period(now + interval);
        self.join.begin_period();
        self.probe_queued_suspects(now, out);
        if let Some(id) = self.next_probe_target() {
            self.probe(now, id, out);
        }
        self.gossip(now, out);
        self.reconnect_missing(now, out);
        self.remove_unlisted_members(now);
        let size = self.view.size().0.round() as u32;
        self.fleet_size.observe(now, size);
    }

    /// Removes members that the roster does not list once they have been unreachable for the retention time.
    fn remove_unlisted_members(&mut self, now: Time) {
        let (retention, listed) = (self.config.member_retention, self.config.roster.len());
        let expired = |member: &Member| {
            !member.state.is_reachable()
                && member.id.0 as usize >= listed
                && now.since(member.since) >= retention
        };
        let removed = self.view.remove_matching(expired);
        self.detector.discard_removed(&removed, &self.view);
    }

    /// Sends half of the digest to one alive agent, and reports the fleet's state.
    fn exchange_digest(&mut self, now: Time, out: &mut Vec<Output>) {
        self.next_digest_exchange = now + self.digest.interval(now);
        if self.join.leaving || !self.digest.has_data(now) {
            return;
        }
        let accepts_digest = |member: &&Member| member.state == State::Alive && member.role == Role::Agent;
        let target = (0..DIGEST_TARGET_DRAWS)
            .find_map(|_| self.view.draw(self.rng.usize(..)).filter(accepts_digest))
            .map(Destination::of);
        if let Some(target) = target {
            let parts = DigestPart::encode(&self.digest.split_half(now));
            let piggyback = Piggyback { updates: Vec::new(), samples: 0 };
            self.send_with(now, target, Message::Digest { parts }, piggyback, out);
        }
        out.push(Output::Fleet(self.digest.fleet(now)));
    }

    /// Merges half of a member's digest.
    fn on_digest(&mut self, now: Time, from: Id, parts: &[u8], out: &mut Vec<Output>) {
        let reachable = self.view.get(from).is_some_and(|m| m.state.is_reachable());
        let outcome = match DigestPart::decode(parts).filter(|_| reachable) {
            Some(parts) => self.digest.merge(now, from, &parts, self.view.size().0 as usize),
            None => MergeOutcome::Rejected,
        };
        self.stats.digests[outcome as usize] += 1;
        if outcome != MergeOutcome::Rejected {
            out.push(Output::Fleet(self.digest.fleet(now)));
        }
    }

    /// Sets a member's state and reports the change.
    fn set_state(&mut self, now: Time, id: Id, to: State, reported_by: Id, out: &mut Vec<Output>) {
        let Some(from) = self.view.get(id).map(|member| member.state) else { return };
        if from == to {
            return;
        }
        self.view.update(id, |member| {
            (member.state, member.since, member.reported_by) = (to, now, reported_by);
        });
        out.push(Output::Change(Change::Member { id, from, to, reported_by, restarted: false }));
    }

    /// Sets a restarted member to alive and reports the restart, even if the member was alive before.
    fn set_restarted(&mut self, now: Time, id: Id, reported_by: Id, out: &mut Vec<Output>) {
        let Some(from) = self.view.get(id).map(|member| member.state) else { return };
        let to = State::Alive;
        self.view.update(id, |member| {
            (member.state, member.since, member.reported_by) = (to, now, reported_by);
            member.last_ack = None;
        });
        out.push(Output::Change(Change::Member { id, from, to, reported_by, restarted: true }));
    }

    fn update_quorum_state(&mut self, now: Time, out: &mut Vec<Output>) {
        let recovery_time = self.config.recovery_time();
        // Without any datagram for the recovery time the instance counts as isolated, although suspicions may not have
        // timed out yet.
        let isolated = self.health.is_isolated(now, recovery_time);
        let reachable = if isolated { 1 } else { self.view.size().0.round() as u32 };
        let expected = self.fleet_size.expected();
        let measured = QuorumState::of(reachable, expected);
        let recovering = self.health.is_recovering(now)
            && (self.health.resumed_after_stall() || measured != QuorumState::Complete);
        let to = if recovering { QuorumState::Recovering } else { measured };
        let from = std::mem::replace(&mut self.quorum_state, to);
        if from != to {
            out.push(Output::Change(Change::Quorum { from, to, reachable, expected }));
        }
    }

    /// The address of a member in the roster.
    fn roster_address(&self, id: Id) -> Option<SocketAddr> {
        self.config.roster.get(id.0 as usize).copied()
    }
}
