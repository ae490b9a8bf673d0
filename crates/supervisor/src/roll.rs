//! A roll: the instances still to be restarted, those being restarted, and the steps between.

use crate::actions::{Action, Refusal, Report, RollError};
use crate::machine::{Instance, Supervisor};
use crate::replacement::Successor;
use crate::states::{InstanceId, Phase, ReleaseId, Time};
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

impl Supervisor {
    /// Starts a roll, in which failed instances are tried again.
    pub(crate) fn start_roll(&mut self, now: Time, release: Option<ReleaseId>, actions: &mut Vec<Action>) {
        if let Some((restarted, total)) = self.roll() {
            return actions.push(Action::Refused(Refusal::RollInProgress { restarted, total }));
        }
        for (index, instance) in self.instances.iter_mut().enumerate() {
            // A roll also retries failed instances; no other command does.
            if matches!(instance.phase, Phase::Failed { .. }) {
                actions.push(Action::Report(InstanceId(index), Report::Retried));
                instance.consecutive_failures = 0;
                instance.phase = Phase::Waiting { until: now };
            }
        }
        let ids = (0..self.instances.len()).map(InstanceId);
        self.roll = Some(Roll::new(ids, release));
    }

    /// Starts the next steps of a roll, or ends it.
    pub(crate) fn continue_roll(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some(roll) = &mut self.roll {
            if roll.is_complete() {
                return self.end_roll(Ok(()), actions);
            }
            // Instances that are down for another reason count towards the limit too, but not failed ones.
            let down = |i: &Instance| !matches!(i.phase, Phase::Ready { .. } | Phase::Failed { .. });
            let down = self.instances.iter().filter(|i| down(i) || i.is_being_replaced()).count();
            if down >= self.policy.roll_at_once {
                return;
            }
            let Some(id) = roll.next() else { return };
            let instance = &mut self.instances[id.0];
            match instance.phase {
                Phase::Ready { .. } if instance.is_being_replaced() => return,
                Phase::Ready { .. } => {
                    roll.start_restart(id, instance.release);
                    let release = roll.release().unwrap_or(instance.release);
                    instance.successor = Some(Successor::new(release, now));
                }
                // An instance that failed since the start of the roll is not restarted.
                Phase::Failed { .. } => roll.skip(),
                _ => return,
            }
        }
    }

    /// Schedules the new process of an instance whose old process a roll has terminated.
    pub(crate) fn restart_for_roll(&mut self, now: Time, id: InstanceId) {
        let release = self.roll.as_ref().and_then(Roll::release);
        let instance = &mut self.instances[id.0];
        instance.release = release.unwrap_or(instance.release);
        instance.consecutive_failures = 0;
        instance.phase = Phase::Waiting { until: now };
    }

    /// Stops the roll if it was restarting this instance, which returns to its previous program.
    pub(crate) fn fail_roll(&mut self, id: InstanceId, reason: &str, actions: &mut Vec<Action>) {
        let previous = self.roll.as_ref().and_then(|roll| roll.previous_release(id));
        let Some(previous) = previous else { return };
        self.instances[id.0].release = previous;
        self.end_roll(Err(RollError::Instance { id, reason: reason.to_owned() }), actions);
    }

    pub(crate) fn end_roll(&mut self, result: Result<(), RollError>, actions: &mut Vec<Action>) {
        if self.roll.take().is_some() {
            actions.push(Action::RollEnded(result));
        }
    }
}
