//! A roll: which instances are still to be renewed, and whose turn it is.

use crate::{InstanceId, ReleaseId};
use std::collections::{HashMap, VecDeque};

pub(crate) struct Roll {
    to_do: VecDeque<InstanceId>,
    /// Whose turn it is, the program each had before, and whether its old process has ended.
    turn: HashMap<InstanceId, (ReleaseId, bool)>,
    release: Option<ReleaseId>,
    done: usize,
    all: usize,
}

impl Roll {
    pub(crate) fn new(ids: impl Iterator<Item = InstanceId>, release: Option<ReleaseId>) -> Self {
        let to_do: VecDeque<_> = ids.collect();
        let all = to_do.len();
        Roll { to_do, turn: HashMap::new(), release, done: 0, all }
    }

    pub(crate) fn release(&self) -> Option<ReleaseId> {
        self.release
    }

    pub(crate) fn progress(&self) -> (usize, usize) {
        (self.done, self.all)
    }

    pub(crate) fn done(&self) -> bool {
        self.done == self.all
    }

    pub(crate) fn next(&self) -> Option<InstanceId> {
        self.to_do.front().copied()
    }

    /// It is this instance's turn, which runs `before`.
    pub(crate) fn begin(&mut self, id: InstanceId, before: ReleaseId) {
        self.to_do.retain(|other| *other != id);
        self.turn.insert(id, (before, false));
    }

    /// The program that the instance had before, if it is its turn.
    pub(crate) fn turn_of(&self, id: InstanceId) -> Option<ReleaseId> {
        self.turn.get(&id).map(|(before, _)| *before)
    }

    /// The old process has ended; false if it was not this instance's turn to end.
    pub(crate) fn ended(&mut self, id: InstanceId) -> bool {
        match self.turn.get_mut(&id) {
            Some((_, ended)) if !*ended => {
                *ended = true;
                true
            }
            _ => false,
        }
    }

    /// The instance serves: if its old process has ended, it is renewed. One that came up by itself has its turn
    /// still ahead.
    pub(crate) fn renewed(&mut self, id: InstanceId) {
        if self.turn.get(&id).is_some_and(|(_, ended)| *ended) {
            self.turn.remove(&id);
            self.done += 1;
        }
    }

    /// There is nothing to renew at the next instance.
    pub(crate) fn skip(&mut self) {
        if self.to_do.pop_front().is_some() {
            self.done += 1;
        }
    }
}
