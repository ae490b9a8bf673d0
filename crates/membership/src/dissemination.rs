//! What is to be passed on, and how often yet.

use crate::member::{Id, Incarnation, State};
use crate::wire::Update;
use bellcroft_balancer::{Micros, Time};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Rumours that wait at most; the one that was passed on most gives way.
const WAITING_MOST: usize = 512;
/// Members whose last word is remembered, so that nothing that has run its course is taken for news.
const PASSED_MOST: usize = 16_384;
/// An accusation is not passed on longer: behind a healed cut it would meet those who know better.
const ACCUSED_FOR: Micros = Micros(10_000_000);

#[derive(Debug, Clone)]
struct Pending {
    rumour: Update,
    told: u32,
    since: Time,
}

/// What is to be passed on: one word a member, the latest.
#[derive(Debug, Default)]
pub(crate) struct Dissemination {
    waiting: HashMap<Id, Pending>,
    /// The same by how often they were told.
    queue: BTreeSet<(u32, Id)>,
    passed: HashMap<Id, (Incarnation, State)>,
    order: VecDeque<Id>,
}

impl Dissemination {
    /// Passes this on from now on, unless it or something later has been passed on already.
    pub fn disseminate(&mut self, now: Time, rumour: Update) -> bool {
        let (id, word) = (rumour.id, (rumour.incarnation, rumour.state));
        if self.passed.get(&id).is_some_and(|last| *last >= word) {
            return false;
        }
        if self.passed.insert(id, word).is_none() {
            self.order.push_back(id);
            if self.order.len() > PASSED_MOST {
                if let Some(old) = self.order.pop_front() {
                    self.passed.remove(&old);
                }
            }
        }
        self.cancel(id);
        self.waiting.insert(id, Pending { rumour, told: 0, since: now });
        self.queue.insert((0, id));
        if self.waiting.len() > WAITING_MOST {
            let tired = self.queue.last().copied();
            tired.into_iter().for_each(|(_, id)| self.cancel(id));
        }
        true
    }

    /// No longer passes on what was said of a member.
    pub fn cancel(&mut self, id: Id) {
        if let Some(waiting) = self.waiting.remove(&id) {
            self.queue.remove(&(waiting.told, id));
        }
    }

    /// No longer passes on what was said of a member, and the same word may become news again.
    pub fn drop(&mut self, id: Id) {
        self.cancel(id);
        // Before any word: taking it out would have its place in the order looked for.
        self.passed.entry(id).and_modify(|word| *word = (Incarnation::default(), State::Absent));
    }

    /// The rumours that were told least, this many at most, in the order to send them.
    pub fn next_updates(&mut self, now: Time, most: usize) -> Vec<Update> {
        let accuses = |state| matches!(state, State::Suspect | State::Dead);
        let (mut picked, mut over) = (Vec::with_capacity(most), Vec::new());
        for (_, id) in &self.queue {
            let Some(waiting) = self.waiting.get(id) else { continue };
            if accuses(waiting.rumour.state) && now.since(waiting.since) >= ACCUSED_FOR {
                over.push(*id);
            } else if picked.len() == most {
                break;
            } else {
                picked.push(waiting.rumour.clone());
            }
        }
        over.into_iter().for_each(|id| self.cancel(id));
        picked
    }

    /// These have been told once more; what has been told often enough is done with.
    pub fn on_sent(&mut self, rumours: &[Update], enough: u32) {
        for rumour in rumours {
            let Some(waiting) = self.waiting.get_mut(&rumour.id) else { continue };
            self.queue.remove(&(waiting.told, rumour.id));
            waiting.told += 1;
            if waiting.told >= enough {
                self.waiting.remove(&rumour.id);
            } else {
                self.queue.insert((waiting.told, rumour.id));
            }
        }
    }

    /// Drops all accusations: whoever slept or was alone has nothing to accuse others of.
    pub fn cancel_accusations(&mut self) {
        let accused = |w: &Pending| matches!(w.rumour.state, State::Suspect | State::Dead);
        let gone: Vec<Id> = self.waiting.iter().filter(|(_, w)| accused(w)).map(|(id, _)| *id).collect();
        gone.into_iter().for_each(|id| self.drop(id));
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
