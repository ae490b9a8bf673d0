//! The protocol: probes, accusations, refutations, news.

use crate::config::Config;
use crate::digest::{Digest, MergeOutcome, Part};
use crate::dissemination::Dissemination;
use crate::member::{Id, Incarnation, Member, Role, State, MAX_EPOCH};
use crate::merge::{compare, refute, Precedence};
use crate::quorum::{FleetSize, QuorumState};
use crate::stats::{RejectReason, Stats};
use crate::suspicion::Suspicion;
use crate::view::View;
use crate::wire::{decode, encode, Datagram, Message, Update, MAX_HINT_BYTES};
use bellcroft_balancer::{FleetState, Micros, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Members that are asked to ask another one.
const HELPERS: usize = 3;
/// Probes beyond the one of each period: of those that somebody accuses. What a peer says costs no more than that.
const EXTRA_PROBES: u32 = 4;
/// Members that get the news of a period.
const TOLD: usize = 2;
/// Missing members that are called in a period; at the start and after standing still, this many times as many.
const CALLED: usize = 1;
const CALLED_WAKING: usize = 4;
/// Calls whose answers are waited for.
const CALLS_MOST: usize = 16;
/// Datagrams of news for one that has just come.
const WELCOME: usize = 3;
/// Newcomers that are told so in a period.
const WELCOMES: u32 = 4;
/// Members of former lives that are told so in a period.
const FORMERS: u32 = 4;
/// Members that are told of a leave by the one that leaves.
const FAREWELL: usize = 32;
/// Pings of others' that are carried at a time.
const RELAYS_MOST: usize = 64;
/// The worst that an instance can think of its own hearing: its probes take up to this many times longer, and one more.
const DOUBT_MOST: u32 = 3;
/// Rumours that a datagram can hold at most, by their shortest form.
const NEWS_MOST: usize = 24;
/// Samples of what is held that go with each datagram: they mend what was lost, and are no more than half of it.
const SAMPLES: usize = 6;
/// Senders at wrong addresses that are told of, once each.
const STRANGERS_TOLD: usize = 64;

/// Something that has changed, for logs and decisions; one a change, not one a datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A member.
    Member {
        /// Which.
        id: Id,
        /// What was held of it.
        from: State,
        /// What is held of it now.
        to: State,
        /// By whose word.
        reported_by: Id,
        /// It has restarted.
        restarted: bool,
    },
    /// This instance's stance.
    Quorum {
        /// It was.
        from: QuorumState,
        /// It is.
        to: QuorumState,
        /// Members here, this one among them.
        here: u32,
        /// How many there are to be.
        roster: u32,
    },
    /// This process had stood still for so long, and has just noticed.
    ResumedAfterStall(Micros),
    /// Another process speaks under this one's number.
    DuplicateIdentity,
    /// A number is spoken for from an address that is not its own.
    AddressMismatch(Id, SocketAddr),
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send these bytes there.
    Send(SocketAddr, Vec<u8>),
    /// Something has changed.
    Change(Change),
    /// A member's decisions tell this one's something; [`crate::PeerReports`] says how far that goes.
    Hint(Id, Vec<u8>),
    /// The state of the whole fleet's servers, as far as it is known here now.
    Fleet(FleetState),
}

#[derive(Debug, Clone)]
struct Probe {
    target: Id,
    /// When others are asked, and it once more.
    again: Time,
    /// How often that was.
    asked: u32,
    until: Time,
    nacks_due: u32,
    nacks: u32,
}

/// A ping that is carried for another.
#[derive(Debug, Clone)]
struct Relay {
    asker: Id,
    asker_at: SocketAddr,
    seq: u32,
    until: Time,
}

/// The protocol at one instance.
#[derive(Debug)]
pub struct Membership {
    config: Config,
    cluster: u64,
    version: Incarnation,
    rng: fastrand::Rng,
    view: View,
    rumours: Dissemination,
    /// What is heard now is to be passed on: it is no sample, which everybody could hear for ever.
    retells: bool,
    probes: BTreeMap<u32, Probe>,
    relays: BTreeMap<u32, Relay>,
    /// By whom members were last reached that do not answer directly.
    vias: BTreeMap<Id, Id>,
    /// Calls of the missing, the latest last.
    calls: VecDeque<(u32, Id)>,
    suspicions: BTreeMap<Id, Suspicion>,
    /// Whom to probe next, in an order that is shuffled each time round, so that each one's turn has a bound.
    turn: Vec<Id>,
    /// Accused members that wait for a probe of their own.
    urgent: VecDeque<Id>,
    extra_left: u32,
    welcomes_left: u32,
    formers_left: u32,
    next_probe: Time,
    digest: Digest,
    next_share: Time,
    last: Time,
    waking_until: Time,
    /// It has stood still: what it held before shows nothing, so it stays waking for the whole time.
    woke: bool,
    /// When anybody was last heard.
    heard: Time,
    /// How much this instance doubts its own hearing.
    doubt: u32,
    stance: QuorumState,
    fleet: FleetSize,
    leaving: bool,
    twin_told: bool,
    strangers: BTreeSet<(Id, SocketAddr)>,
    figures: Stats,
}

impl Membership {
    /// A member that starts now. `life` is the wall clock in Unix milliseconds.
    pub fn new(config: Config, now: Time, life: u64, seed: u64) -> Self {
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
            version: Incarnation { epoch: life.min(MAX_EPOCH - 1), counter: 0 },
            rng: fastrand::Rng::with_seed(seed),
            view,
            rumours: Dissemination::default(),
            retells: true,
            probes: BTreeMap::new(),
            relays: BTreeMap::new(),
            vias: BTreeMap::new(),
            calls: VecDeque::new(),
            suspicions: BTreeMap::new(),
            turn: Vec::new(),
            urgent: VecDeque::new(),
            extra_left: EXTRA_PROBES,
            welcomes_left: WELCOMES,
            formers_left: FORMERS,
            next_probe: now,
            digest: Digest::default(),
            next_share: now,
            last: now,
            waking_until: now + config.recovery_time(),
            woke: false,
            heard: now,
            doubt: 0,
            stance: QuorumState::Recovering,
            fleet: FleetSize::new(config.expected(), config.size_retention),
            leaving: false,
            twin_told: false,
            strangers: BTreeSet::new(),
            figures: Stats::default(),
            config,
        }
    }

    /// What it goes by.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Its own version.
    pub fn incarnation(&self) -> Incarnation {
        self.version
    }

    /// The others, as far as they are held.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.view.iter()
    }

    /// What is held of one.
    pub fn member(&self, id: Id) -> Option<&Member> {
        self.view.get(id)
    }

    /// What this instance holds of itself.
    pub fn quorum_state(&self) -> QuorumState {
        self.stance
    }

    /// Members here with this one, and the relative standard error of that where not all are held.
    pub fn size(&self) -> (f64, Option<f64>) {
        self.view.size()
    }

    /// By how many to reckon what is counted for the whole fleet.
    pub fn effective_size(&self, now: Time) -> u32 {
        self.fleet.effective(now)
    }

    /// How many there are to be.
    pub fn roster(&self) -> u32 {
        self.fleet.roster()
    }

    /// From now on there are to be so many.
    pub fn set_expected_size(&mut self, now: Time, instances: u32) {
        self.fleet.set_roster(now, instances.max(self.config.roster.len() as u32));
    }

    /// How much it doubts its own hearing, from 0 to 3.
    pub fn local_health(&self) -> u32 {
        self.doubt
    }

    /// What it has counted.
    pub fn stats(&self) -> Stats {
        self.figures
    }

    /// When [`Membership::tick`] is due.
    pub fn next(&self) -> Time {
        let probes = self.probes.values().map(|p| if p.asked < 2 { p.again.min(p.until) } else { p.until });
        let relays = self.relays.values().map(|r| r.until);
        let ripe = self.suspicions.values().filter(|s| s.failed).map(|s| s.until().max(self.waking_until));
        // However long the periods of one in doubt are: standing still is told from waiting by it.
        let beat = self.last + self.config.probe_interval;
        let share = (!self.digest.is_empty()).then_some(self.next_share);
        probes.chain(relays).chain(ripe).chain(share).fold(self.next_probe.min(beat), Time::min)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        self.notice(now, out);
        self.look_after_probes(now, out);
        let over: Vec<u32> = self.relays.iter().filter(|(_, r)| r.until <= now).map(|(s, _)| *s).collect();
        for seq in over {
            if let Some(relay) = self.relays.remove(&seq) {
                self.send(now, (Some(relay.asker), relay.asker_at), Message::Nack { seq: relay.seq }, out);
            }
        }
        let awake = now >= self.waking_until;
        let ripe = |s: &Suspicion| s.failed && s.until() <= now && awake;
        let ripe: Vec<Id> = self.suspicions.iter().filter(|(_, s)| ripe(s)).map(|(id, _)| *id).collect();
        for id in ripe {
            self.mark_dead(now, id, out);
        }
        if now >= self.next_probe {
            self.period(now, out);
        }
        if now >= self.next_share {
            self.share(now, out);
        }
        self.take_stance(now, out);
    }

    /// A datagram has come.
    pub fn receive(&mut self, now: Time, source: SocketAddr, bytes: &[u8], out: &mut Vec<Output>) {
        self.notice(now, out);
        let taken = decode(self.cluster, bytes).map_err(RejectReason::Wire);
        match taken.and_then(|datagram| self.check_sender(now, source, &datagram, out).map(|()| datagram)) {
            Ok(datagram) => {
                self.heard = now;
                self.figures.accepted.0 += 1;
                self.figures.accepted.1 += bytes.len() as u64;
                // First the news, so that the answer is given in the version that refutes them.
                for (place, rumour) in datagram.updates.iter().enumerate() {
                    self.retells = place < usize::from(datagram.new_updates);
                    self.hear(now, datagram.from, rumour, out);
                }
                self.retells = true;
                self.on_message(now, source, datagram, out);
                self.take_stance(now, out);
            }
            Err(refused) => self.figures.rejected[refused.place()] += 1,
        }
    }

    /// Tells one member's decisions something; false if it isn't here or the payload is too long.
    pub fn send_hint(&mut self, now: Time, to: Id, payload: Vec<u8>, out: &mut Vec<Output>) -> bool {
        let Some(member) = self.view.get(to).filter(|m| m.state.is_reachable()) else { return false };
        if payload.len() > MAX_HINT_BYTES {
            return false;
        }
        let address = member.address;
        self.send(now, (Some(to), address), Message::Hint { payload }, out);
        true
    }

    /// What this instance sees of the fleet's state, to be shared with the others.
    pub fn digest(&mut self) -> &mut Digest {
        &mut self.digest
    }

    /// The state of the fleet's servers by site, as far as it is known here.
    pub fn sites(&self) -> impl Iterator<Item = (u8, FleetState)> + '_ {
        self.digest.sites()
    }

    /// The same of the whole fleet.
    pub fn fleet(&self, now: Time) -> FleetState {
        self.digest.fleet(now)
    }

    /// Says good-bye: the others need not find out.
    pub fn leave(&mut self, now: Time, out: &mut Vec<Output>) {
        self.leaving = true;
        self.version.counter = self.version.counter.saturating_add(1);
        let rumour = self.own_word(State::Left);
        let mut here: Vec<(Id, SocketAddr)> = self.view.reachable().map(|m| (m.id, m.address)).collect();
        self.rng.shuffle(&mut here);
        // Twice each, for there is no second chance.
        for _ in 0..2 {
            for (id, address) in here.iter().take(FAREWELL) {
                self.send_news(
                    now,
                    (Some(*id), *address),
                    Message::Gossip,
                    (vec![rumour.clone()], SAMPLES),
                    out,
                );
            }
        }
    }

    // ---- time ---------------------------------------------------------------------------------------

    /// Finds out whether this process has stood still: SIGSTOP, a machine put to sleep, a core that others had. Whatever
    /// it waited for meanwhile it could not have heard.
    fn notice(&mut self, now: Time, out: &mut Vec<Output>) {
        let slept = now.since(self.last);
        self.last = self.last.max(now);
        if !self.config.local_health_awareness || slept < self.config.stall_threshold() {
            return;
        }
        self.figures.stalls += 1;
        self.doubt = (self.doubt + 2).min(DOUBT_MOST);
        self.probes.clear();
        self.relays.clear();
        self.rumours.cancel_accusations();
        self.suspicions.values_mut().for_each(|s| s.put_off(slept));
        (self.waking_until, self.woke) = (now + self.config.recovery_time(), true);
        self.next_probe = now;
        out.push(Output::Change(Change::ResumedAfterStall(slept)));
    }

    fn factor(&self) -> f64 {
        if self.config.local_health_awareness {
            1.0 + f64::from(self.doubt)
        } else {
            1.0
        }
    }

    fn look_after_probes(&mut self, now: Time, out: &mut Vec<Output>) {
        let due: Vec<u32> = self
            .probes
            .iter()
            .filter(|(_, p)| p.until <= now || (p.asked < 2 && p.again <= now))
            .map(|(seq, _)| *seq)
            .collect();
        for seq in due {
            let Some(probe) = self.probes.get(&seq).cloned() else { continue };
            if probe.until <= now {
                self.probes.remove(&seq);
                self.unanswered(now, &probe, out);
                continue;
            }
            let factor = self.factor();
            let Some(target) = self.view.get(probe.target).map(|m| m.address) else {
                // It has given way to another one in the sample: left here, its probe would be due for ever.
                self.probes.remove(&seq);
                self.suspicions.remove(&probe.target);
                continue;
            };
            let first = probe.asked == 0;
            let helpers = if first { self.helpers(probe.target) } else { Vec::new() };
            if let Some(probe) = self.probes.get_mut(&seq) {
                probe.asked += 1;
                probe.again = now + self.config.probe_interval * factor;
                probe.nacks_due += helpers.len() as u32;
            }
            self.send(now, (Some(probe.target), target), Message::Ping { seq, to: probe.target }, out);
            let address = self.listed(probe.target).is_none().then_some(target);
            for (id, at) in helpers {
                let kind = Message::PingRequest { seq, target: probe.target, address };
                self.send(now, (Some(id), at), kind, out);
            }
        }
    }

    fn helpers(&mut self, target: Id) -> Vec<(Id, SocketAddr)> {
        let alive = |m: &&Member| m.state == State::Alive && m.id != target;
        let all: Vec<(Id, SocketAddr)> = self.view.iter().filter(alive).map(|m| (m.id, m.address)).collect();
        // Whoever has carried an answer from there may be the one way round a cut.
        let via = self.vias.get(&target).and_then(|via| all.iter().find(|(id, _)| id == via)).copied();
        let others = all.into_iter().filter(|one| Some(*one) != via);
        let mut helpers = self.rng.choose_multiple(others, HELPERS - usize::from(via.is_some()));
        helpers.extend(via);
        helpers
    }

    fn period(&mut self, now: Time, out: &mut Vec<Output>) {
        self.next_probe = now + self.config.probe_interval * self.factor();
        self.extra_left = EXTRA_PROBES;
        self.welcomes_left = WELCOMES;
        self.formers_left = FORMERS;
        for _ in 0..EXTRA_PROBES {
            let Some(id) = self.urgent.pop_front() else { break };
            self.probe_accused(now, id, out);
        }
        // A member's turn comes within twice the number of members, wherever the shuffle puts it.
        let target = loop {
            match self.turn.pop() {
                Some(id) if self.view.get(id).is_some_and(|m| m.state.is_reachable()) => break Some(id),
                Some(_) => {}
                None => {
                    self.turn = self.view.reachable().map(|m| m.id).collect();
                    if self.turn.is_empty() {
                        break None;
                    }
                    self.rng.shuffle(&mut self.turn);
                }
            }
        };
        if let Some(id) = target {
            self.probe(now, id, out);
        }
        if !self.rumours.is_empty() {
            let here: Vec<(Id, SocketAddr)> = self.view.reachable().map(|m| (m.id, m.address)).collect();
            for (id, at) in self.rng.choose_multiple(here, TOLD) {
                self.send(now, (Some(id), at), Message::Gossip, out);
            }
        }
        self.call_missing(now, out);
        let (keep, listed) = (self.config.member_retention, self.config.roster.len());
        let gone = self
            .view
            .forget(|m| !m.state.is_reachable() && m.id.0 as usize >= listed && now.since(m.since) >= keep);
        self.suspicions.retain(|id, _| !gone.contains(id));
        let view = &self.view;
        self.vias.retain(|id, _| view.get(*id).is_some());
        let size = self.view.size().0.round() as u32;
        self.fleet.observe(now, size);
    }

    /// Hands half of the digest to one member that is here, and tells what is known.
    fn share(&mut self, now: Time, out: &mut Vec<Output>) {
        self.next_share = now + self.digest.interval(now);
        if self.leaving || !self.digest.has_data(now) {
            return;
        }
        let takes = |m: &&Member| m.state == State::Alive && m.role == Role::Agent;
        // Most members are here nearly always: a few draws find one.
        let drawn = (0..4).find_map(|_| self.view.draw(self.rng.usize(..)).filter(takes));
        if let Some((id, at)) = drawn.map(|member| (member.id, member.address)) {
            let parts = Part::encode(&self.digest.split_half(now));
            self.send_news(now, (Some(id), at), Message::Digest { parts }, (Vec::new(), 0), out);
        }
        out.push(Output::Fleet(self.digest.fleet(now)));
    }

    /// A member hands over its half.
    fn handed(&mut self, now: Time, from: Id, parts: &[u8], out: &mut Vec<Output>) {
        let here = self.view.get(from).is_some_and(|m| m.state.is_reachable());
        let taken = match Part::decode(parts).filter(|_| here) {
            Some(parts) => self.digest.merge(now, from, &parts, self.view.size().0 as usize),
            None => MergeOutcome::Rejected,
        };
        self.figures.digests[taken as usize] += 1;
        if taken != MergeOutcome::Rejected {
            out.push(Output::Fleet(self.digest.fleet(now)));
        }
    }

    /// Calls members that are missing, so that a fleet that fell apart finds together again without anybody's help.
    fn call_missing(&mut self, now: Time, out: &mut Vec<Output>) {
        let waking = now < self.waking_until;
        let most = if waking { CALLED_WAKING } else { CALLED };
        let missing: Vec<(Option<Id>, SocketAddr)> =
            self.view.missing().map(|m| (Some(m.id), m.address)).collect();
        let mut called = self.rng.choose_multiple(missing, most);
        // Seeds are called while they are all there is, and now and then afterwards: their addresses may serve others now.
        let alone = self.view.reachable().next().is_none();
        if !self.config.seeds.is_empty() && (alone || self.rng.u32(0..16) == 0) {
            let seeds: Vec<SocketAddr> = self.config.seeds.clone();
            called.extend(self.rng.choose_multiple(seeds, most).into_iter().map(|at| (None, at)));
        }
        for (id, at) in called {
            match id {
                Some(to) => {
                    let seq = self.rng.u32(..);
                    self.calls.push_back((seq, to));
                    if self.calls.len() > CALLS_MOST {
                        self.calls.pop_front();
                    }
                    self.send(now, (Some(to), at), Message::Ping { seq, to }, out);
                }
                None => self.send(now, (None, at), Message::Gossip, out),
            }
        }
    }

    // ---- probes -------------------------------------------------------------------------------------

    fn probe(&mut self, now: Time, id: Id, out: &mut Vec<Output>) {
        let Some(address) = self.view.get(id).map(|m| m.address) else { return };
        let seq = self.rng.u32(..);
        let factor = self.factor();
        let probe = Probe {
            target: id,
            again: now + self.config.probe_interval * (0.8 * factor),
            asked: 0,
            until: now + self.config.probe_interval * (self.config.probe_timeout_periods * factor),
            nacks_due: 0,
            nacks: 0,
        };
        self.probes.insert(seq, probe);
        self.figures.probes.0 += 1;
        self.send(now, (Some(id), address), Message::Ping { seq, to: id }, out);
    }

    /// An accused member is probed at once while the period's measure lasts, and in turn past it.
    fn probe_soon(&mut self, now: Time, id: Id, out: &mut Vec<Output>) {
        if self.extra_left > 0 {
            self.extra_left -= 1;
            self.probe_accused(now, id, out);
        } else if !self.urgent.contains(&id) {
            self.urgent.push_back(id);
        }
    }

    fn probe_accused(&mut self, now: Time, id: Id, out: &mut Vec<Output>) {
        let out_already = self.probes.values().any(|p| p.target == id);
        if !out_already && self.suspicions.contains_key(&id) {
            self.probe(now, id, out);
        }
    }

    fn unanswered(&mut self, now: Time, probe: &Probe, out: &mut Vec<Output>) {
        self.figures.probes.1 += 1;
        // Helpers that say nothing either speak for a bad link of one's own (Lifeguard, "local health multiplier"). Only
        // where most of them do, for where many die at once some of the helpers are dead too.
        let deaf = probe.nacks * 2 < probe.nacks_due.max(1);
        self.doubt = (self.doubt + u32::from(deaf)).min(DOUBT_MOST);
        if now < self.waking_until {
            return;
        }
        let id = probe.target;
        match self.view.get(id).map(|m| m.state) {
            Some(State::Alive) => {
                self.accuse(now, id, self.config.number, out);
                self.failed(now, id, out);
            }
            Some(State::Suspect) => self.failed(now, id, out),
            _ => {}
        }
    }

    /// A probe of this instance has failed for an accused member.
    fn failed(&mut self, now: Time, id: Id, out: &mut Vec<Output>) {
        let own = self.config.number;
        let Some(suspicion) = self.suspicions.get_mut(&id) else { return };
        suspicion.failed = true;
        if suspicion.shared(own) {
            // Others shorten their suspicions by it: it is word of one's own.
            if let Some(rumour) = self.word(id).map(|word| Update { reported_by: own, ..word }) {
                self.rumours.drop(id);
                self.rumours.disseminate(now, rumour);
            }
        }
        self.probe_soon(now, id, out);
    }

    /// How long a suspicion lasts at least and at most.
    fn suspicion_times(&self) -> (Micros, Micros) {
        let scale = self.view.size().0.max(2.0).log10().max(1.0);
        let least = self.config.probe_interval * (self.config.min_suspicion_periods * scale * self.factor());
        (least, least * self.config.max_suspicion_factor)
    }

    /// A member that passes for alive is accused.
    fn accuse(&mut self, now: Time, id: Id, by: Id, out: &mut Vec<Output>) {
        let times = self.suspicion_times();
        self.suspicions.insert(id, Suspicion::new(now, times, by));
        self.change(now, id, State::Suspect, by, out);
        if let Some(rumour) = self.word(id) {
            self.spread(now, rumour);
        }
        self.probe_soon(now, id, out);
    }

    /// The suspicion has run out, and a probe from here has failed: the member is dead here by this instance's own word.
    fn mark_dead(&mut self, now: Time, id: Id, out: &mut Vec<Output>) {
        let Some(suspicion) = self.suspicions.remove(&id) else { return };
        let state = if suspicion.leaves { State::Left } else { State::Dead };
        self.change(now, id, state, self.config.number, out);
        if let Some(rumour) = self.word(id) {
            self.rumours.disseminate(now, rumour);
        }
    }

    // ---- what is heard ------------------------------------------------------------------------------

    /// Whether a datagram's sender may speak, and what its speaking shows.
    fn check_sender(
        &mut self,
        now: Time,
        source: SocketAddr,
        datagram: &Datagram,
        out: &mut Vec<Output>,
    ) -> Result<(), RejectReason> {
        let from = datagram.from;
        if from == self.config.number {
            if !self.twin_told {
                self.twin_told = true;
                out.push(Output::Change(Change::DuplicateIdentity));
            }
            return Err(RejectReason::OwnIdentity);
        }
        let known = self.view.get(from).map(|m| (m.incarnation, m.state, m.address));
        let moved = match (self.listed(from), known) {
            (Some(listed), _) => listed != source,
            // Without a roster whoever starts anew may do so elsewhere.
            (None, Some((version, state, address))) => {
                address != source && state.is_reachable() && datagram.incarnation.epoch <= version.epoch
            }
            (None, None) => false,
        };
        if moved {
            if self.strangers.len() < STRANGERS_TOLD && self.strangers.insert((from, source)) {
                out.push(Output::Change(Change::AddressMismatch(from, source)));
            }
            return Err(RejectReason::AddressMismatch);
        }
        if known.is_some_and(|(version, ..)| datagram.incarnation.epoch < version.epoch)
            && !self.shows_itself(from, datagram)
        {
            // Late, or from a process whose successor has spoken already. Should its clock have been set back, it must
            // learn of the life that it has to go past. A few in a period: two that hold each other in lives that neither
            // lives would tell each other so for ever.
            let word = self.word(from).filter(|_| self.formers_left > 0);
            if let Some(rumour) = word {
                self.formers_left -= 1;
                // What it asks is answered: where each holds the other in a life that nobody lives, no other way is left
                // to find that out.
                let kind = match datagram.message {
                    Message::Ping { seq, to } if to == self.config.number => {
                        Message::Ack { seq, of: to, incarnation: self.version }
                    }
                    _ => Message::Gossip,
                };
                self.send_news(now, (Some(from), source), kind, (vec![rumour], SAMPLES), out);
            }
            return Err(RejectReason::StaleIncarnation);
        }
        self.spoke(now, source, datagram, out);
        Ok(())
    }

    /// Whether a member that speaks in a former life is there all the same: it answers a fresh question of this instance.
    fn shows_itself(&mut self, id: Id, datagram: &Datagram) -> bool {
        match datagram.message {
            Message::Ack { seq, of, incarnation: version } if of == id && self.asked(seq, id) => {
                self.lives(id, version)
            }
            _ => false,
        }
    }

    /// A member answers in a life that is former by what is held: true if nobody has answered here in the one that is held.
    /// Somebody has claimed that one for it, then, so far ahead perhaps that it cannot go past it. Own evidence wins.
    fn lives(&mut self, id: Id, version: Incarnation) -> bool {
        let held = self.view.get(id).filter(|m| version.epoch < m.incarnation.epoch);
        let claimed = held.is_some_and(|m| m.last_ack.is_none() || !m.state.is_reachable());
        claimed && self.view.update(id, |member| member.incarnation = version)
    }

    /// Whether this instance has a question of this number out to a member.
    fn asked(&self, seq: u32, id: Id) -> bool {
        self.probes.get(&seq).is_some_and(|probe| probe.target == id) || self.calls.contains(&(seq, id))
    }

    /// A member has spoken itself, in this version. A later one than is known shows that it is there; the same one does
    /// not, for the datagram may be old: only the answer to a probe does.
    fn spoke(&mut self, now: Time, source: SocketAddr, datagram: &Datagram, out: &mut Vec<Output>) {
        let (id, version) = (datagram.from, datagram.incarnation);
        let known = self.view.get(id).map(|m| (m.incarnation, m.state));
        let later = known.is_none_or(|(last, state)| version > last || state == State::Absent);
        self.view.update(id, |member| {
            (member.site, member.role, member.address) = (datagram.site, datagram.role, source);
        });
        if later {
            let came = known.is_none_or(|(last, state)| !state.is_reachable() || version.epoch > last.epoch);
            let member = Member {
                id,
                incarnation: version,
                state: State::Absent,
                since: now,
                reported_by: id,
                address: source,
                site: datagram.site,
                role: datagram.role,
                last_ack: None,
            };
            let news = self.alive(now, member, id, out);
            // Once for each coming, and a few in a period: two that have no room for each other hear each other for the first
            // time again and again, and would welcome each other's welcomes.
            if came && news && !self.leaving && self.welcomes_left > 0 {
                self.welcomes_left -= 1;
                self.welcome(now, id, source, out);
            }
        }
    }

    /// Whoever has just come is told who is there.
    fn welcome(&mut self, now: Time, id: Id, at: SocketAddr, out: &mut Vec<Output>) {
        for _ in 0..WELCOME {
            self.send_news(now, (Some(id), at), Message::Gossip, (Vec::new(), NEWS_MOST), out);
        }
    }

    /// A member is alive in a version that was not known, or is there again.
    /// True if that was news.
    fn alive(&mut self, now: Time, latest: Member, by: Id, out: &mut Vec<Output>) -> bool {
        let id = latest.id;
        let version = latest.incarnation;
        let known = self.view.get(id).map(|m| (m.incarnation, m.state));
        match known {
            None => {
                // Even one that finds no room is told of: others may hold it.
                self.view.offer(latest.clone());
            }
            Some((last, state)) => {
                if state == State::Dead && last.epoch == version.epoch {
                    self.figures.false_deaths += 1;
                }
                self.view.update(id, |member| member.incarnation = version);
            }
        }
        self.suspicions.remove(&id);
        let anew = known.is_some_and(|(last, state)| state != State::Absent && last.epoch < version.epoch);
        if anew {
            self.probes.retain(|_, p| p.target != id);
        }
        self.change_to(now, id, State::Alive, by, anew, out);
        let told = match self.word(id) {
            Some(word) => word,
            None => rumour_of(
                &Member { state: State::Alive, reported_by: by, ..latest },
                self.listed(id).is_none(),
            ),
        };
        self.spread(now, told)
    }

    /// One member's word on another, or on this one.
    fn hear(&mut self, now: Time, from: Id, rumour: &Update, out: &mut Vec<Output>) {
        let id = rumour.id;
        if id == self.config.number {
            return self.defend(now, rumour);
        }
        let Some(member) = self.view.get(id).cloned() else {
            return self.hear_of_new(now, rumour, out);
        };
        let met = member.last_ack.is_some();
        let held = (member.incarnation, member.state, met);
        match compare(held, (rumour.incarnation, rumour.state), from == id) {
            Precedence::Ignored => {}
            Precedence::Alive => {
                let latest = Member { incarnation: rumour.incarnation, ..member };
                self.alive(now, latest, rumour.reported_by, out);
            }
            Precedence::Left => {
                if member.state != State::Left {
                    self.suspicions.remove(&id);
                    self.view.update(id, |member| member.incarnation = rumour.incarnation);
                    self.change(now, id, State::Left, id, out);
                    self.spread(now, rumour.clone());
                }
            }
            Precedence::Suspect => {
                let called_dead = matches!(rumour.state, State::Dead | State::Left);
                self.accuse_if_alive(now, &member, rumour.reported_by, out);
                if let Some(suspicion) = self.suspicions.get_mut(&id).filter(|_| rumour.state != State::Alive)
                {
                    suspicion.called_dead |= called_dead;
                    suspicion.leaves |= rumour.state == State::Left;
                    if suspicion.shared(rumour.reported_by) && self.retells {
                        // Passed on as theirs: it shortens others' suspicions as it does this one's.
                        self.rumours.drop(id);
                        self.rumours
                            .disseminate(now, Update { incarnation: member.incarnation, ..rumour.clone() });
                    }
                }
            }
        }
    }

    /// Somebody accuses a member. Own evidence wins: one that has just answered here is not doubted for it.
    fn accuse_if_alive(&mut self, now: Time, member: &Member, by: Id, out: &mut Vec<Output>) {
        let fresh = self.config.probe_interval * 2.0;
        let vouched = member.last_ack.is_some_and(|at| now.since(at) < fresh);
        if member.state == State::Alive && !vouched {
            self.accuse(now, member.id, by, out);
        }
    }

    /// Word of a member that is not held.
    fn hear_of_new(&mut self, now: Time, rumour: &Update, out: &mut Vec<Output>) {
        let address = self.listed(rumour.id).or(rumour.address);
        match (rumour.state, address) {
            (State::Alive, Some(address)) => {
                let member = Member {
                    id: rumour.id,
                    incarnation: rumour.incarnation,
                    state: State::Absent,
                    since: now,
                    reported_by: rumour.reported_by,
                    address,
                    site: rumour.site,
                    role: rumour.role,
                    last_ack: None,
                };
                self.alive(now, member, rumour.reported_by, out);
            }
            // Others may hold it.
            _ => {
                self.spread(now, rumour.clone());
            }
        }
    }

    /// Something is said of this very instance: it speaks up if that is wrong.
    fn defend(&mut self, now: Time, rumour: &Update) {
        let answer = refute(self.version, (rumour.incarnation, rumour.state)).filter(|_| !self.leaving);
        let Some(version) = answer else { return };
        self.version = version;
        if rumour.state != State::Alive {
            self.figures.refutations += 1;
            self.doubt = (self.doubt + 1).min(DOUBT_MOST);
        }
        let word = self.own_word(State::Alive);
        self.rumours.disseminate(now, word);
    }

    fn on_message(&mut self, now: Time, source: SocketAddr, datagram: Datagram, out: &mut Vec<Output>) {
        let from = (Some(datagram.from), source);
        match datagram.message {
            // Whoever leaves is no longer to be counted on.
            Message::Ping { seq, to } if to == self.config.number && !self.leaving => {
                let (of, version) = (to, self.version);
                self.send(now, from, Message::Ack { seq, of, incarnation: version }, out);
            }
            Message::Ping { .. } | Message::Gossip => {}
            Message::PingRequest { seq, target, address } => {
                let known = self.view.get(target).map(|m| m.address);
                let Some(at) = known.or(self.listed(target)).or(address) else { return };
                if self.relays.len() >= RELAYS_MOST || target == self.config.number {
                    return;
                }
                let until = now + self.config.probe_interval;
                let own = self.rng.u32(..);
                self.relays.insert(own, Relay { asker: datagram.from, asker_at: source, seq, until });
                self.send(now, (Some(target), at), Message::Ping { seq: own, to: target }, out);
            }
            Message::Ack { seq, of, incarnation: version } => {
                if let Some(relay) = self.relays.remove(&seq) {
                    let kind = Message::Ack { seq: relay.seq, of, incarnation: version };
                    self.send(now, (Some(relay.asker), relay.asker_at), kind, out);
                    return;
                }
                if self.asked(seq, of) {
                    if datagram.from == of {
                        self.vias.remove(&of);
                    } else if self.vias.len() < self.config.max_members {
                        self.vias.insert(of, datagram.from);
                    }
                    self.probes.remove(&seq);
                    self.calls.retain(|(call, _)| *call != seq);
                    self.doubt = self.doubt.saturating_sub(1);
                    self.answered(now, of, version, out);
                }
            }
            Message::Nack { seq } => {
                if let Some(probe) = self.probes.get_mut(&seq) {
                    probe.nacks += 1;
                }
            }
            Message::Hint { payload } => {
                if self.view.get(datagram.from).is_some_and(|m| m.state.is_reachable()) {
                    out.push(Output::Hint(datagram.from, payload));
                }
            }
            Message::Digest { parts } => self.handed(now, datagram.from, &parts, out),
        }
    }

    /// A member has answered a probe from here, itself or by way of another: it is there, whatever others say.
    fn answered(&mut self, now: Time, id: Id, version: Incarnation, out: &mut Vec<Output>) {
        self.lives(id, version);
        self.view.update(id, |member| member.last_ack = Some(now));
        let Some(member) = self.view.get(id).cloned() else { return };
        if version > member.incarnation {
            self.alive(now, Member { incarnation: version, ..member }, id, out);
        } else if matches!(member.state, State::Suspect | State::Dead | State::Absent) {
            if member.state == State::Dead {
                self.figures.false_deaths += 1;
            }
            self.suspicions.remove(&id);
            self.rumours.cancel(id);
            self.change(now, id, State::Alive, self.config.number, out);
        }
    }

    /// Passes this on, if what is heard now is to be; true if it was news.
    fn spread(&mut self, now: Time, rumour: Update) -> bool {
        self.retells && self.rumours.disseminate(now, rumour)
    }

    // ---- bookkeeping --------------------------------------------------------------------------------

    fn change(&mut self, now: Time, id: Id, to: State, by: Id, out: &mut Vec<Output>) {
        self.change_to(now, id, to, by, false, out);
    }

    fn change_to(&mut self, now: Time, id: Id, to: State, by: Id, anew: bool, out: &mut Vec<Output>) {
        let Some(from) = self.view.get(id).map(|member| member.state) else { return };
        if from == to && !anew {
            return;
        }
        self.view.update(id, |member| {
            (member.state, member.since, member.reported_by) = (to, now, by);
            member.last_ack = member.last_ack.filter(|_| !anew);
        });
        out.push(Output::Change(Change::Member { id, from, to, reported_by: by, restarted: anew }));
    }

    fn take_stance(&mut self, now: Time, out: &mut Vec<Output>) {
        // Whoever hears nobody is alone before it knows of each that it is gone.
        let deaf = now.since(self.heard) >= self.config.recovery_time();
        let here = if deaf { 1 } else { self.view.size().0.round() as u32 };
        let roster = self.fleet.roster();
        let stance = QuorumState::of(here, roster);
        let waking = now < self.waking_until && (self.woke || stance != QuorumState::Complete);
        let to = if waking { QuorumState::Recovering } else { stance };
        let from = std::mem::replace(&mut self.stance, to);
        if from != to {
            out.push(Output::Change(Change::Quorum { from, to, here, roster }));
        }
    }

    /// The address that the roster gives a member.
    fn listed(&self, id: Id) -> Option<SocketAddr> {
        self.config.roster.get(id.0 as usize).copied()
    }

    /// What is held of a member, as a rumour.
    fn word(&self, id: Id) -> Option<Update> {
        let member = self.view.get(id).filter(|m| m.state != State::Absent)?;
        Some(rumour_of(member, self.listed(id).is_none()))
    }

    fn own_word(&self, state: State) -> Update {
        let Config { number, site, role: duty, .. } = self.config;
        Update {
            id: number,
            incarnation: self.version,
            state,
            reported_by: number,
            site,
            role: duty,
            address: None,
        }
    }

    fn send(&mut self, now: Time, to: (Option<Id>, SocketAddr), kind: Message, out: &mut Vec<Output>) {
        self.send_news(now, to, kind, (Vec::new(), SAMPLES), out);
    }

    /// Sends a datagram that is filled up: with what it is about, with what is to be passed on, and with samples of what
    /// is held here, which mend what was lost.
    fn send_news(
        &mut self,
        now: Time,
        (id, at): (Option<Id>, SocketAddr),
        kind: Message,
        (mut news, samples): (Vec<Update>, usize),
        out: &mut Vec<Output>,
    ) {
        let accused = id.and_then(|id| self.word(id)).filter(|word| word.state != State::Alive);
        // An accused member must hear it to refute it.
        news.extend(accused);
        let first = news.len();
        let fresh = self.rumours.next_updates(now, NEWS_MOST);
        news.extend(fresh.into_iter().filter(|rumour| Some(rumour.id) != id));
        let queued = news.len();
        // Two draws for each place: some are told already, or nothing is known of them.
        for _ in 0..2 * samples {
            let drawn = self.view.draw(self.rng.usize(..)).map(|member| member.id);
            let drawn = drawn.filter(|drawn| Some(*drawn) != id && news.iter().all(|told| told.id != *drawn));
            let word = drawn.and_then(|drawn| self.word(drawn));
            news.extend(word.filter(|word| word.state != State::Suspect));
            if news.len() >= queued + samples {
                break;
            }
        }
        let datagram = Datagram {
            from: self.config.number,
            incarnation: self.version,
            site: self.config.site,
            role: self.config.role,
            message: kind,
            new_updates: queued as u8,
            updates: news,
        };
        let (bytes, fit) = encode(self.cluster, &datagram);
        let told = &datagram.updates[first.min(fit)..queued.min(fit)];
        let enough = 2 * (self.view.size().0.log2().ceil() as u32 + 1);
        self.rumours.on_sent(told, enough);
        self.figures.sent.0 += 1;
        self.figures.sent.1 += bytes.len() as u64;
        out.push(Output::Send(at, bytes));
    }
}

fn rumour_of(member: &Member, with_address: bool) -> Update {
    let Member { id, incarnation: version, state, reported_by: by, site, role: duty, address, .. } = *member;
    Update {
        id,
        incarnation: version,
        state,
        reported_by: by,
        site,
        role: duty,
        address: with_address.then_some(address),
    }
}
