//! Replacement of an instance's process by a successor that starts while it serves.

use crate::actions::{Action, Report};
use crate::events::SuccessorEvent;
use crate::machine::Supervisor;
use crate::policy::Policy;
use crate::states::{InstanceId, Phase, ReleaseId, Time};

/// A process that is to replace the instance's present one.
#[derive(Debug, Clone)]
pub(crate) struct Successor {
    /// Its phase; never [`Phase::Ready`], from which on it is the instance's process.
    pub(crate) phase: Phase,
    pub(crate) release: ReleaseId,
    /// Whether the instance has been told to reload since the successor read its files.
    pub(crate) missed_reload: bool,
}

impl Successor {
    pub(crate) fn new(release: ReleaseId, now: Time) -> Self {
        Successor { phase: Phase::Waiting { until: now }, release, missed_reload: false }
    }

    pub(crate) fn start_due(&self) -> Option<Time> {
        match self.phase {
            Phase::Waiting { until } => Some(until),
            _ => None,
        }
    }
}

/// The shutdown of a process that has been replaced.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Shutdown {
    since: Time,
    killed: bool,
}

impl Shutdown {
    fn new(since: Time) -> Self {
        Shutdown { since, killed: false }
    }

    /// The time at which the process is killed; none if it has been.
    pub(crate) fn kill_at(self, policy: &Policy) -> Option<Time> {
        (!self.killed).then(|| self.since + policy.stop_within)
    }
}

impl Supervisor {
    pub(crate) fn on_successor_event(
        &mut self,
        now: Time,
        id: InstanceId,
        event: SuccessorEvent,
        actions: &mut Vec<Action>,
    ) {
        let Some(successor) = &mut self.instances[id.0].successor else { return };
        match (event, &successor.phase) {
            (SuccessorEvent::Ready, Phase::Starting { .. }) => {
                successor.phase = Phase::Proving { since: now };
                actions.push(Action::ProveSuccessor(id));
            }
            (SuccessorEvent::Proved, Phase::Proving { .. }) => self.promote(now, id, actions),
            (SuccessorEvent::ProofFailed(reason), Phase::Proving { .. }) => {
                self.give_up_successor(now, id, &format!("is ready and does not serve: {reason}"), actions);
            }
            (SuccessorEvent::Ready | SuccessorEvent::Proved | SuccessorEvent::ProofFailed(_), _) => {}
            (SuccessorEvent::Unsupported, Phase::Starting { .. }) => self.end_first(now, id, actions),
            (SuccessorEvent::StartFailed(reason), _) => {
                self.on_successor_exited(id, &format!("cannot be started: {reason}"), actions);
            }
            (SuccessorEvent::Exited(status), _) => self.on_successor_exited(id, &status, actions),
            (SuccessorEvent::Unsupported, _) => self.on_successor_exited(id, "cannot take over", actions),
        }
    }

    /// Makes the successor the instance's process, and terminates the former one.
    fn promote(&mut self, now: Time, id: InstanceId, actions: &mut Vec<Action>) {
        let instance = &mut self.instances[id.0];
        let Some(successor) = instance.successor.take() else { return };
        instance.phase = Phase::Ready { since: now };
        instance.release = successor.release;
        instance.consecutive_failures = 0;
        instance.predecessor = Some(Shutdown::new(now));
        actions.push(Action::Promote(id));
        actions.push(Action::TerminatePredecessor(id));
        if successor.missed_reload {
            actions.push(Action::Reload(id));
        }
    }

    /// Handles the exit of the present process while its successor starts: the successor takes its place at once. Returns whether
    /// there is such a successor.
    pub(crate) fn replace_exited(
        &mut self,
        now: Time,
        id: InstanceId,
        status: &str,
        actions: &mut Vec<Action>,
    ) -> bool {
        let instance = &mut self.instances[id.0];
        let runs = |successor: &mut Successor| {
            matches!(successor.phase, Phase::Starting { .. } | Phase::Proving { .. })
        };
        let Some(successor) = instance.successor.take_if(runs) else {
            // One that has not started yet is not started any more.
            instance.successor.take_if(|successor| successor.start_due().is_some());
            return false;
        };
        instance.release = successor.release;
        let exited_in = std::mem::replace(&mut instance.phase, successor.phase);
        self.count_failure(now, id, &exited_in);
        if let Some(roll) = &mut self.roll {
            roll.on_exited(id);
        }
        actions.push(Action::Report(id, Report::UnexpectedExit(status.to_owned())));
        actions.push(Action::Promote(id));
        true
    }

    /// Ends the present process before the next one starts.
    fn end_first(&mut self, now: Time, id: InstanceId, actions: &mut Vec<Action>) {
        self.instances[id.0].successor = None;
        actions.push(Action::Report(id, Report::EndedFirst));
        self.terminate(now, id, actions);
    }

    /// Gives up a successor that runs without serving, and stops the roll. The present process goes on.
    fn give_up_successor(&mut self, now: Time, id: InstanceId, reason: &str, actions: &mut Vec<Action>) {
        self.on_not_replaced(id, reason, actions);
        self.terminate_successor(now, id, actions);
    }

    fn on_not_replaced(&mut self, id: InstanceId, reason: &str, actions: &mut Vec<Action>) {
        actions.push(Action::Report(id, Report::NotReplaced(reason.to_owned())));
        self.fail_roll(id, reason, actions);
    }

    fn on_successor_exited(&mut self, id: InstanceId, status: &str, actions: &mut Vec<Action>) {
        let Some(successor) = self.instances[id.0].successor.take() else { return };
        if !matches!(successor.phase, Phase::Stopping { .. }) {
            self.on_not_replaced(id, status, actions);
        }
    }

    /// Terminates the successor, or forgets it if it has not started.
    pub(crate) fn terminate_successor(&mut self, now: Time, id: InstanceId, actions: &mut Vec<Action>) {
        let instance = &mut self.instances[id.0];
        instance.successor.take_if(|successor| successor.start_due().is_some());
        let Some(successor) = &mut instance.successor else { return };
        if !matches!(successor.phase, Phase::Stopping { .. }) {
            successor.phase = Phase::Stopping { since: now, killed: false };
            actions.push(Action::TerminateSuccessor(id));
        }
    }

    /// Takes note of a process that an earlier supervisor has replaced and that still runs.
    pub(crate) fn adopt_predecessor(&mut self, now: Time, id: InstanceId, actions: &mut Vec<Action>) {
        self.instances[id.0].predecessor = Some(Shutdown::new(now));
        actions.push(Action::TerminatePredecessor(id));
    }

    /// Handles the exit of a process that has been replaced, which completes its instance's restart.
    pub(crate) fn on_predecessor_exited(&mut self, id: InstanceId) {
        let instance = &mut self.instances[id.0];
        if instance.predecessor.take().is_none() {
            return;
        }
        let serves = matches!(instance.phase, Phase::Ready { .. });
        if let Some(roll) = &mut self.roll {
            roll.on_exited(id);
            if serves {
                roll.on_serving(id);
            }
        }
    }

    /// Gives up a successor, and kills processes, that take too long.
    pub(crate) fn check_replacement_timeouts(
        &mut self,
        now: Time,
        id: InstanceId,
        actions: &mut Vec<Action>,
    ) {
        let instance = &mut self.instances[id.0];
        if let Some(shutdown) = &mut instance.predecessor {
            if shutdown.kill_at(&self.policy).is_some_and(|at| now >= at) {
                shutdown.killed = true;
                actions.push(Action::Report(id, Report::Killed));
                actions.push(Action::KillPredecessor(id));
            }
        }
        let Some(successor) = &mut instance.successor else { return };
        if successor.phase.timeout(&self.policy).is_none_or(|at| now < at) {
            return;
        }
        match successor.phase {
            Phase::Stopping { since, .. } => {
                successor.phase = Phase::Stopping { since, killed: true };
                actions.push(Action::Report(id, Report::Killed));
                actions.push(Action::KillSuccessor(id));
            }
            Phase::Proving { .. } => {
                self.give_up_successor(now, id, "is ready and was not proved to serve", actions);
            }
            _ => self.give_up_successor(now, id, "did not become ready", actions),
        }
    }
}
