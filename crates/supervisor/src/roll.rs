//! The progress of a roll: which instances still have to be renewed, and which are being renewed.

use crate::{InstanceId, ReleaseId};
use std::collections::{HashMap, VecDeque};

/// A roll in progress.
pub(crate) struct Roll {
    pending: VecDeque<InstanceId>,
    renewing: HashMap<InstanceId, Renewal>,
    release: Option<ReleaseId>,
    renewed: usize,
    total: usize,
}

/// An instance that is being renewed.
struct Renewal {
    /// The program of its old process.
    previous: ReleaseId,
    /// The old process has exited.
    exited: bool,
}

impl Roll {
    pub(crate) fn new(ids: impl Iterator<Item = InstanceId>, release: Option<ReleaseId>) -> Self {
        let pending: VecDeque<_> = ids.collect();
        let total = pending.len();
        Roll { pending, renewing: HashMap::new(), release, renewed: 0, total }
    }

    /// The program of the new processes; none if each instance keeps its own.
    pub(crate) fn release(&self) -> Option<ReleaseId> {
        self.release
    }

    /// Instances renewed, and all of them.
    pub(crate) fn progress(&self) -> (usize, usize) {
        (self.renewed, self.total)
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.renewed == self.total
    }

    /// The next instance to renew.
    pub(crate) fn next(&self) -> Option<InstanceId> {
        self.pending.front().copied()
    }

    /// The process of this instance, which runs `previous`, is about to be terminated.
    pub(crate) fn start_renewal(&mut self, id: InstanceId, previous: ReleaseId) {
        self.pending.retain(|other| *other != id);
        self.renewing.insert(id, Renewal { previous, exited: false });
    }

    /// The program of the instance's old process, if it is being renewed.
    pub(crate) fn previous_release(&self, id: InstanceId) -> Option<ReleaseId> {
        self.renewing.get(&id).map(|renewal| renewal.previous)
    }

    /// A process of the instance has exited; true if it was the old process of a renewal.
    pub(crate) fn on_exited(&mut self, id: InstanceId) -> bool {
        match self.renewing.get_mut(&id) {
            Some(renewal) if !renewal.exited => {
                renewal.exited = true;
                true
            }
            _ => false,
        }
    }

    /// The instance serves: it is renewed if its old process has exited. One that started for another reason is still
    /// pending.
    pub(crate) fn on_serving(&mut self, id: InstanceId) {
        if self.renewing.get(&id).is_some_and(|renewal| renewal.exited) {
            self.renewing.remove(&id);
            self.renewed += 1;
        }
    }

    /// Counts the next instance as renewed without renewing it.
    pub(crate) fn skip(&mut self) {
        if self.pending.pop_front().is_some() {
            self.renewed += 1;
        }
    }
}
