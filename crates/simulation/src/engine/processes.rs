//! Instances as processes that are killed, stand still and start again, and the links from and to them.

use super::*;
use crate::scenario::{LinkFault, Place};

/// A lost segment of a connection comes this much later, as a relay of real sockets has it.
const SENT_AGAIN: f64 = 0.2;

/// An end of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum End {
    Instance(usize),
    Server(usize),
    Discovery,
}

/// What is wrong with the links from one end to another.
pub(super) type Links = HashMap<(End, End), LinkFault>;

impl Run<'_> {
    fn link(&self, from: End, to: End) -> LinkFault {
        self.links.get(&(from, to)).copied().unwrap_or_default()
    }

    pub(super) fn linked(&self, from: End, to: End) -> bool {
        !self.link(from, to).cut
    }

    /// How much longer a way between an instance and a server takes: half of what both directions add, for a way there is
    /// followed by one back.
    pub(super) fn detour(&mut self, instance: usize, server: usize) -> Micros {
        if self.links.is_empty() {
            return Micros::ZERO;
        }
        let (own, there) = (End::Instance(instance), End::Server(server));
        let mut more = 0.0;
        for link in [self.link(own, there), self.link(there, own)] {
            let random = &mut self.instances[instance].random;
            more += link.delay + link.jitter * random.random::<f64>();
            more += SENT_AGAIN * f64::from(random.random::<f64>() < link.loss);
        }
        span(more / 2.0)
    }

    /// How much longer one instance's word to another takes; none if it is lost.
    pub(super) fn passes_on(&mut self, from: usize, to: usize) -> Option<Micros> {
        let link = self.link(End::Instance(from), End::Instance(to));
        if link == LinkFault::default() {
            return Some(Micros::ZERO);
        }
        let random = &mut self.instances[from].random;
        let lost = link.cut || random.random::<f64>() < link.loss;
        let more = link.delay + link.jitter * random.random::<f64>();
        (!lost).then(|| span(more))
    }

    /// What happens to a process that stands still waits for it; what was for a former one is nobody's.
    pub(super) fn for_now(&mut self, what: Happening) -> Option<Happening> {
        let (instance, life) = match &what {
            Happening::Timer(instance, _, life) | Happening::Share(instance, life) => (*instance, *life),
            Happening::Connected(id, _) | Happening::Reply(id, ..) | Happening::TimeOut(id, _) => {
                (self.asked.get(id)?.want.instance, self.asked.get(id)?.life)
            }
            Happening::Told(instance, ..)
            | Happening::Heard(instance, ..)
            | Happening::Handed(instance, ..)
            | Happening::Probed(instance, ..) => (*instance, self.instances[*instance].life),
            _ => return Some(what),
        };
        let own = &mut self.instances[instance];
        if own.gone || own.life != life {
            return None;
        }
        if own.stopped {
            own.held.push(what);
            return None;
        }
        Some(what)
    }

    /// An instance's process is killed. Its clients stop with it, what it was holding is theirs to try again, and what
    /// servers still do of it counts as wasted.
    fn kill(&mut self, instance: usize) {
        let own = &mut self.instances[instance];
        if std::mem::replace(&mut own.gone, true) {
            return;
        }
        own.stopped = false;
        own.held.clear();
        own.queue.clear();
        own.idle.iter_mut().for_each(|idle| idle.0 = 0);
        let mut open: Vec<u64> = self.open(instance);
        open.sort_unstable();
        for id in open {
            let attempts = self.asked.get(&id).map_or(0, |asked| asked.attempts.len());
            (0..attempts).for_each(|number| self.come_there(id, number as u32));
            let Some(asked) = self.asked.remove(&id) else { continue };
            if !asked.answered {
                let Want { class, counted, .. } = asked.want;
                self.outcome.classes[class].left += u64::from(counted);
                self.judge.excuse(id);
            }
        }
        self.wants.retain(|_, want| want.instance != instance);
    }

    /// Requests that an instance holds.
    fn open(&self, instance: usize) -> Vec<u64> {
        self.asked.iter().filter(|(_, asked)| asked.want.instance == instance).map(|(id, _)| *id).collect()
    }

    /// An instance's process starts from nothing, under its name; it has the list as it stands.
    fn restart(&mut self, instance: usize) {
        self.kill(instance);
        let zone = ZoneId(self.instances[instance].zone as u32);
        let settings = Settings { zone, ..self.settings.clone() };
        // The same settings were good at the beginning.
        let Ok(core) = (self.make)(&settings, instance) else { return };
        let own = &mut self.instances[instance];
        own.core = core;
        own.gone = false;
        own.life += 1;
        own.talk.forget();
        self.launch(instance);
    }

    /// An instance's process stands still, or goes on with what has waited for it.
    fn stop(&mut self, instance: usize, on: bool) {
        if self.instances[instance].gone || self.instances[instance].stopped == on {
            return;
        }
        self.instances[instance].stopped = on;
        if on {
            // Whoever can't run can't answer: that is no breach of its.
            self.open(instance).into_iter().for_each(|id| self.judge.excuse(id));
            return;
        }
        let held = std::mem::take(&mut self.instances[instance].held);
        for what in held {
            self.happen(what, &[]);
        }
        self.pump(instance);
    }

    /// The ends that a place names.
    fn ends(&self, place: Place) -> Vec<End> {
        match place {
            Place::Instance(Some(number)) => vec![End::Instance(number)],
            Place::Instance(None) => (0..self.instances.len()).map(End::Instance).collect(),
            Place::Server(Some(number)) => vec![End::Server(number)],
            Place::Server(None) => (0..self.servers.len()).map(End::Server).collect(),
            Place::Discovery => vec![End::Discovery],
        }
    }

    fn set_links(&mut self, from: &[Place], to: &[Place], fault: LinkFault) {
        let all = |run: &Self, places: &[Place]| -> Vec<End> {
            places.iter().flat_map(|place| run.ends(*place)).collect()
        };
        let (from, to) = (all(self, from), all(self, to));
        for from in &from {
            for to in to.iter().filter(|to| *to != from) {
                let before = match fault == LinkFault::default() {
                    true => self.links.remove(&(*from, *to)),
                    false => self.links.insert((*from, *to), fault),
                };
                let was_cut = before.is_some_and(|link| link.cut) && !fault.cut;
                match (from, to) {
                    // Whoever reaches discovery again asks for its whole list.
                    (End::Discovery, End::Instance(instance)) if was_cut => {
                        let lines = self.lines();
                        self.tell(*instance, Event::Endpoints(EndpointUpdate::Snapshot(lines)));
                    }
                    (End::Instance(instance), End::Server(server)) if fault.reset || fault.half_open => {
                        self.instances[*instance].idle[*server].0 = 0;
                    }
                    _ => {}
                }
            }
        }
    }

    /// Plays a trouble of processes or links.
    pub(super) fn process_trouble(&mut self, what: &What) {
        match what {
            // One that is told to end has answered what it took; here its clients stop with it either way.
            What::Kill { instances } | What::Term { instances } => {
                instances.iter().for_each(|instance| self.kill(*instance));
            }
            What::Restart { instances } => instances.iter().for_each(|instance| self.restart(*instance)),
            What::Stop { instances, on } => instances.iter().for_each(|instance| self.stop(*instance, *on)),
            What::Link { from, to, link } => self.set_links(from, to, *link),
            _ => {}
        }
    }
}
