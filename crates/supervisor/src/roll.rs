//! Progress of a roll: the instances still to be restarted, and those being restarted.

use crate::{InstanceId, ReleaseId};
use std::collections::{HashMap, VecDeque};

/// A roll in progress.
pub(crate) struct Roll {
    /// Instances still to be restarted, in order.
    pending: VecDeque<InstanceId>,
    /// Instances being restarted.
    restarting: HashMap<InstanceId, RollingRestart>,
    /// Program of the new processes; None if each instance keeps its own.
    release: Option<ReleaseId>,
    /// Number of instances that have been restarted or skipped.
    restarted: usize,
    total: usize,
}

/// The restart of one instance by a roll.
struct RollingRestart {
    /// Program of the old process.
    previous: ReleaseId,
    /// Whether the old process has exited.
    exited: bool,
}

impl Roll {
    pub(crate) fn new(ids: impl Iterator<Item = InstanceId>, release: Option<ReleaseId>) -> Self {
        let pending: VecDeque<_> = ids.collect();
        let total = pending.len();
        Roll { pending, restarting: HashMap::new(), release, restarted: 0, total }
    }

    /// Returns the program of the new processes; None if each instance keeps its own.
    pub(crate) fn release(&self) -> Option<ReleaseId> {
        self.release
    }

    /// Returns the number of instances restarted or skipped, and the total.
    pub(crate) fn progress(&self) -> (usize, usize) {
        (self.restarted, self.total)
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.restarted == self.total
    }

    /// Returns the next instance to restart.
    pub(crate) fn next(&self) -> Option<InstanceId> {
        self.pending.front().copied()
    }

    /// Records that the process of this instance, which runs `previous`, is about to be terminated.
    pub(crate) fn start_restart(&mut self, id: InstanceId, previous: ReleaseId) {
        self.pending.retain(|other| *other != id);
        self.restarting.insert(id, RollingRestart { previous, exited: false });
    }

    /// Returns the program of the instance's old process, if the roll is restarting this instance.
    pub(crate) fn previous_release(&self, id: InstanceId) -> Option<ReleaseId> {
        self.restarting.get(&id).map(|restart| restart.previous)
    }

    /// Records that a process of the instance has exited. Returns true if it was the old process of a restart.
    pub(crate) fn on_exited(&mut self, id: InstanceId) -> bool {
        match self.restarting.get_mut(&id) {
            Some(restart) if !restart.exited => {
                restart.exited = true;
                true
            }
            _ => false,
        }
    }

    /// Records that the instance serves, which completes its restart if the old process has exited. An instance that
    /// started for another reason stays pending.
    pub(crate) fn on_serving(&mut self, id: InstanceId) {
        if self.restarting.get(&id).is_some_and(|restart| restart.exited) {
            self.restarting.remove(&id);
            self.restarted += 1;
        }
    }

    /// Counts the next instance as restarted without restarting it.
    pub(crate) fn skip(&mut self) {
        if self.pending.pop_front().is_some() {
            self.restarted += 1;
        }
    }
}
