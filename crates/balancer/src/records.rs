//! What the decisions keep of requests, attempts and servers: records only, nothing is decided here.

use crate::api::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Where a request may still go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reach {
    Nowhere,
    Anywhere,
    Zone(ZoneId),
    Cell(DedupGroupId),
}

/// A request whose candidates have been asked for their load.
pub(crate) struct Asking {
    pub(crate) id: RequestId,
    pub(crate) candidates: Vec<usize>,
    pub(crate) since: Time,
    pub(crate) until: Time,
}

/// A sum whose parts fade with time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Fading {
    sum: f64,
    over_ms: f64,
    at: Time,
}

impl Fading {
    pub(crate) fn now(&self, now: Time) -> f64 {
        self.sum * (-now.since(self.at).ms() / self.over_ms.max(1.0)).exp()
    }

    pub(crate) fn add(&mut self, now: Time, over_ms: f64, part: f64) {
        *self = Fading { sum: self.now(now) + part, over_ms, at: now };
    }
}

/// What a pick must know of its request.
pub(crate) struct Pick {
    pub(crate) id: RequestId,
    pub(crate) class: usize,
    pub(crate) reach: Reach,
    pub(crate) work: f64,
    /// How much its work weighs a machine's slowness.
    pub(crate) heavy: f64,
    pub(crate) safe: bool,
    pub(crate) key: Option<KeyId>,
    /// The server that met its key last.
    pub(crate) warm: Option<usize>,
    pub(crate) tried: Vec<usize>,
    /// Another attempt is out: this one must go elsewhere.
    pub(crate) copy: bool,
    /// It is looked at for the first time.
    pub(crate) fresh: bool,
}

/// What may still be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Lawful {
    pub(crate) send: Reach,
    pub(crate) refuse: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fate {
    Out,
    NeverRan,
    MayHaveRun,
}

#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) server: usize,
    pub(crate) zone: ZoneId,
    pub(crate) cell: DedupGroupId,
    pub(crate) sent: Time,
    pub(crate) fate: Fate,
}

/// The one record of an accepted request; it goes when the request has its final answer.
pub(crate) struct Live {
    pub(crate) request: Request,
    pub(crate) deadline: Time,
    /// After this an answer is worth nothing more, or less.
    pub(crate) wanted_by: Time,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) bound: bool,
    /// A part of it is gone; nothing more can be sent of it.
    pub(crate) spent: bool,
    /// Its tenant had its share already; worth little if that is so.
    pub(crate) over_share: bool,
    /// It is held back, since then.
    pub(crate) held_since: Option<Time>,
}

/// An attempt that has not ended; it outlives its request if that ends first.
pub(crate) struct Flight {
    pub(crate) server: usize,
    pub(crate) class: usize,
    pub(crate) sent: Time,
    pub(crate) trial: bool,
    /// It was not the first attempt of its request.
    pub(crate) again: bool,
    /// It has already counted as late.
    pub(crate) counted: bool,
    /// Its request is still coming: the server has nothing to do yet, and owes nothing.
    pub(crate) coming: bool,
    /// The route's word on its request, for what it occupies.
    pub(crate) limits: Option<Arc<Limits>>,
}

/// What is believed of the way to a zone.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Way {
    /// Connections in a row that did not come up, to any of its servers.
    pub(crate) failures: u32,
    /// Until then it is taken to be cut.
    pub(crate) cut_until: Time,
    /// When any of its servers last said something; the epoch if none has.
    pub(crate) answered: Time,
}

impl Way {
    /// Whether any server there has said something at that time or after it.
    pub(crate) fn heard_since(self, at: Time) -> bool {
        self.answered >= at
    }
}

pub(crate) struct Suspicion {
    pub(crate) next_trial: Time,
    pub(crate) pause: Micros,
    pub(crate) on_trial: bool,
}

pub(crate) struct Server {
    pub(crate) listed: Endpoint,
    pub(crate) in_flight: u32,
    /// Answer time over its class's usual, leaning to the quick ones: how slow the machine itself is.
    pub(crate) stretch: f64,
    /// Smoothed answer time as a share of the class's aim.
    pub(crate) pace: f64,
    pub(crate) samples: u32,
    pub(crate) failures: u32,
    pub(crate) last_answer: Time,
    /// Own requests that it may hold; under one, a rest follows each answer.
    pub(crate) limit: f64,
    pub(crate) rest_until: Time,
    /// When its last answer came, and what that took in milliseconds.
    pub(crate) ended: Time,
    pub(crate) took: f64,
    pub(crate) suspicion: Option<Suspicion>,
    /// Until then a blind balancer doubts it, by what it saw itself or by hearsay.
    pub(crate) doubted_until: Time,
    /// Work sent to it while it was cold.
    pub(crate) cold_sent: Fading,
    /// Load by the last report, and sends since.
    pub(crate) reported: f64,
    pub(crate) reported_at: Option<Time>,
    pub(crate) sent_since: u32,
    /// When it was first seen to have left the list.
    pub(crate) left: Option<Time>,
}

impl Server {
    pub(crate) fn new(listed: Endpoint, limit: f64, now: Time) -> Self {
        Server {
            listed,
            in_flight: 0,
            stretch: 1.0,
            pace: 0.0,
            samples: 0,
            failures: 0,
            last_answer: now,
            limit,
            rest_until: now,
            ended: now,
            took: 0.0,
            suspicion: None,
            doubted_until: now,
            cold_sent: Fading::default(),
            reported: 0.0,
            reported_at: None,
            sent_since: 0,
            left: None,
        }
    }
}

impl Server {
    /// What is believed of the way to it.
    pub(crate) fn way(&self, zones: &BTreeMap<ZoneId, Way>) -> Way {
        zones.get(&self.listed.zone).copied().unwrap_or_default()
    }
}

/// A server that has left is remembered this long, for one that a list leaves out by mistake soon comes back.
const KEPT: Micros = Micros(10_000_000);

/// Signs that are kept for a host that does not ask for them.
const TOLD_MOST: usize = 64;

/// The decisions of one client process about where, when and how often its requests are sent.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) servers: Vec<Server>,
    pub(crate) index: BTreeMap<ServerId, usize>,
    /// Places in `servers` whose server has been forgotten; nothing refers to them.
    pub(crate) free: Vec<usize>,
    pub(crate) live: BTreeMap<RequestId, Live>,
    pub(crate) flights: BTreeMap<(RequestId, u32), Flight>,
    /// Newest first within each rank.
    pub(crate) held: Vec<RequestId>,
    pub(crate) memory: Vec<usize>,
    pub(crate) asking: Vec<Asking>,
    /// Servers that are warm, and the work that each of them was sent on average.
    pub(crate) warm: usize,
    /// The part of its requests that a fleet which is mostly cold bears; 1 or more where that does not matter.
    pub(crate) bearable: f64,
    pub(crate) warm_sent: Fading,
    /// The most servers that were serving at a time.
    pub(crate) most: usize,
    /// With more balancers than servers, most of a server's load is other balancers' and own counts are
    /// nearly all alike. A fleet that shrinks for a while makes no balancer blind.
    pub(crate) blind: bool,
    /// The servers that the list says are serving.
    pub(crate) serving: Vec<usize>,
    /// The server that each key was last sent to, where servers do known keys for less.
    pub(crate) warm_keys: BTreeMap<KeyId, usize>,
    /// Answer time of a class as a share of its aim, over all servers, leaning to the quick ones, so that a
    /// crowd does not pass for the usual state.
    pub(crate) class_pace: Vec<f64>,
    /// The same as it is now, slow ones and all.
    pub(crate) class_now: Vec<f64>,
    /// The wait that most requests of a class come with, that of a first try, and the votes for it.
    pub(crate) usual_wait: Vec<(Micros, u32)>,
    /// Traffic of the last seconds by class and by tenant.
    pub(crate) asked: Vec<f64>,
    pub(crate) tenant_asked: Vec<f64>,
    pub(crate) counted_at: Time,
    /// Classes that are refused last.
    pub(crate) spared: Vec<bool>,
    pub(crate) median: f64,
    /// Scales all limits: a balancer sees few answers of each server but many of the fleet, so a jam of most
    /// servers is answered within a few round trips, where the single limits would take half a minute.
    pub(crate) level: f64,
    /// When a request may try the ways again, all of which are taken to be cut.
    pub(crate) try_at: Time,
    /// Of a blind balancer: answers of late, what they took, what their servers held; and over a longer time what
    /// answers took and what their servers held.
    pub(crate) signs: Fading,
    pub(crate) measured: Fading,
    pub(crate) holding: Fading,
    pub(crate) took: Fading,
    pub(crate) held_then: Fading,
    /// Answer time as a share of the aim by kind of machine, and the answers that it rests on.
    pub(crate) kinds: BTreeMap<MachineTypeId, (f64, f64)>,
    /// What is believed of the way to each zone.
    pub(crate) zones: BTreeMap<ZoneId, Way>,
    /// Bytes that may be told to peers.
    pub(crate) tell_bytes: f64,
    /// What the whole fleet was said to have seen, and when.
    pub(crate) fleet: (Time, FleetState),
    /// What this balancer has seen, until its host asks.
    pub(crate) told: Vec<Signal>,
    /// What the last reports said on average.
    pub(crate) crowd: f64,
    /// Further attempts saved up, by the budget's name; none has been touched yet.
    pub(crate) saved: Vec<Option<f64>>,
    /// Attempts out, by the bound's name.
    pub(crate) occupied: Vec<u32>,
    /// When which request may have a second copy.
    pub(crate) copies: BTreeSet<(Time, RequestId)>,
    pub(crate) ask_pause: Micros,
    pub(crate) ask_at: Option<Time>,
    /// When it last began to watch the list.
    pub(crate) asked_at: Time,
    pub(crate) tick_at: Time,
}

impl Balancer {
    /// A balancer that has seen nothing yet.
    pub(crate) fn blank(settings: Settings, seed: u64) -> Self {
        let classes = settings.classes.len();
        let class_pace = vec![0.2; classes];
        Balancer {
            rng: fastrand::Rng::with_seed(seed),
            servers: Vec::new(),
            index: BTreeMap::new(),
            free: Vec::new(),
            live: BTreeMap::new(),
            flights: BTreeMap::new(),
            held: Vec::new(),
            memory: Vec::new(),
            serving: Vec::new(),
            asking: Vec::new(),
            warm: 0,
            bearable: 1.0,
            warm_sent: Fading::default(),
            most: 0,
            blind: false,
            warm_keys: BTreeMap::new(),
            class_now: class_pace.clone(),
            class_pace,
            usual_wait: vec![(Micros::ZERO, 0); classes],
            asked: vec![0.0; classes],
            tenant_asked: vec![0.0; settings.tenants.len()],
            counted_at: Time(0),
            spared: vec![false; classes],
            median: 0.2,
            level: 1.0,
            try_at: Time(0),
            signs: Fading::default(),
            measured: Fading::default(),
            holding: Fading::default(),
            took: Fading::default(),
            held_then: Fading::default(),
            fleet: (Time(0), FleetState::default()),
            told: Vec::new(),
            crowd: 0.0,
            tell_bytes: 0.0,
            kinds: BTreeMap::new(),
            zones: BTreeMap::new(),
            saved: Vec::new(),
            occupied: Vec::new(),
            copies: BTreeSet::new(),
            ask_pause: Micros::ZERO,
            ask_at: None,
            asked_at: Time(0),
            tick_at: Time(0),
            settings,
        }
    }

    /// What it goes by.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// What it has seen of answers since this was last asked, where peers are there to be told; the latest of it, if that
    /// was long ago.
    pub fn signals(&mut self) -> std::vec::Drain<'_, Signal> {
        self.told.drain(..)
    }

    /// Keeps what was seen for the host to share.
    pub(crate) fn tell_sign(&mut self, sign: Signal) {
        if self.settings.peers {
            if self.told.len() >= TOLD_MOST {
                self.told.remove(0);
            }
            self.told.push(sign);
        }
    }

    /// Whether a request or an attempt of a class is not over.
    pub fn references_class(&self, class: ClassId) -> bool {
        self.live.values().any(|live| live.request.class == class)
            || self.flights.values().any(|flight| flight.class == class.0)
    }

    /// Goes by new settings from now on. Places of classes and tenants are never lost: what is open keeps the class that it
    /// came with, and the number of attempts that it was promised. Each of `changed` is a place whose class is another
    /// one now, with the place of the class whose experience it begins with.
    ///
    /// # Errors
    ///
    /// Settings that no balancer can work with; nothing has changed then.
    pub fn reconfigure(
        &mut self,
        settings: Settings,
        changed: &[(usize, Option<usize>)],
    ) -> Result<(), SettingsError> {
        settings.check()?;
        let most = self.settings.max_attempts;
        for live in self.live.values_mut().filter(|_| settings.max_attempts > most) {
            let mut limits = live.request.limits().clone();
            limits.max_attempts = limits.max_attempts.min(most);
            live.request.limits = Some(Arc::new(limits));
        }
        let blank = Balancer::blank(settings, 0);
        let classes = blank.settings.classes.len();
        self.class_pace.resize(classes, blank.class_pace[0]);
        self.class_now.resize(classes, blank.class_now[0]);
        self.usual_wait.resize(classes, (Micros::ZERO, 0));
        self.asked.resize(classes, 0.0);
        self.spared.resize(classes, false);
        self.tenant_asked.resize(blank.settings.tenants.len(), 0.0);
        for &(place, from) in changed {
            let aim = |settings: &Settings, place: usize| settings.classes[place].latency_objective.ms();
            // A pace is a share of the aim, and the work is the same.
            let like = from.filter(|from| *from < self.settings.classes.len());
            let pace = like.map_or((blank.class_pace[0], blank.class_now[0]), |from| {
                let scale = aim(&self.settings, from) / aim(&blank.settings, place);
                (self.class_pace[from] * scale, self.class_now[from] * scale)
            });
            (self.class_pace[place], self.class_now[place]) = pace;
            self.usual_wait[place] = (Micros::ZERO, 0);
            self.asked[place] = 0.0;
        }
        self.settings = blank.settings;
        self.blind = self.settings.balancers as usize > self.most;
        Ok(())
    }

    /// Listed servers that get no request at present, or less than their share: those that drain, and those that are
    /// taken to be slow, failing, silent or cut off.
    pub fn avoided_servers(&self, now: Time) -> usize {
        let out = |s: &Server| match (s.listed.status, self.blind) {
            (Status::Gone, _) => false,
            (Status::Draining, _) => true,
            (Status::Serving, true) => now < s.doubted_until || self.cut_off(s, now),
            (Status::Serving, false) => s.suspicion.is_some(),
        };
        self.index.values().filter(|&&i| out(&self.servers[i])).count()
    }

    /// Whether the way to a server is taken to be cut.
    pub(crate) fn cut_off(&self, s: &Server, now: Time) -> bool {
        now < s.way(&self.zones).cut_until
    }

    /// Takes in a server that the list names for the first time.
    pub(crate) fn admit(&mut self, server: Server) {
        let id = server.listed.server;
        let place = match self.free.pop() {
            Some(place) => {
                self.servers[place] = server;
                place
            }
            None => {
                self.servers.push(server);
                self.servers.len() - 1
            }
        };
        self.index.insert(id, place);
    }

    /// Forgets the servers that left a while ago and have nothing out. A place is free again only when nothing
    /// refers to it any more, or a newcomer would inherit what was meant for the one before.
    pub(crate) fn forget(&mut self, now: Time) {
        for s in &mut self.servers {
            s.left = (s.listed.status == Status::Gone).then(|| s.left.unwrap_or(now));
        }
        let servers = &self.servers;
        let old = |i: usize| servers[i].left.is_some_and(|at| now.since(at) >= KEPT);
        let mut gone: Vec<(ServerId, usize)> = self.index.iter().map(|(id, i)| (*id, *i)).collect();
        gone.retain(|&(_, i)| old(i) && servers[i].in_flight == 0);
        if gone.is_empty() {
            return;
        }
        let mut held: BTreeSet<usize> = self.asking.iter().flat_map(|a| a.candidates.clone()).collect();
        held.extend(self.live.values().flat_map(|l| l.attempts.iter().map(|a| a.server)));
        // One whose request was still coming is not in flight yet, and may outlive it.
        held.extend(self.flights.values().map(|f| f.server));
        for (id, i) in gone.into_iter().filter(|(_, i)| !held.contains(i)) {
            self.index.remove(&id);
            self.free.push(i);
            self.memory.retain(|m| *m != i);
            self.warm_keys.retain(|_, s| *s != i);
        }
        let named = || self.index.values().map(|&i| &self.servers[i].listed);
        let zones: BTreeSet<ZoneId> = named().map(|l| l.zone).collect();
        let kinds: BTreeSet<MachineTypeId> = named().map(|l| l.machine_type).collect();
        self.zones.retain(|zone, _| zones.contains(zone));
        self.kinds.retain(|kind, _| kinds.contains(kind));
    }
}

/// Moves a figure towards a new one by its gain, a quarter as fast if that is slower: a crowd must not pass
/// for usual.
pub(crate) fn lean(figure: &mut f64, new: f64, gain: f64) {
    let gain = if new < *figure { gain } else { gain / 4.0 };
    *figure += gain * (new - *figure);
}

/// The middle one of some figures.
pub(crate) fn median(figures: impl Iterator<Item = f64>) -> Option<f64> {
    let mut figures: Vec<f64> = figures.collect();
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied()
}

#[cfg(test)]
#[path = "../tests/unit/records.rs"]
mod tests;
