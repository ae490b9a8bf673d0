//! The supervisor's state machine, which turns events into actions.

use crate::actions::{Action, Refusal, Report, RollError};
use crate::events::{Command, Event};
use crate::policy::Policy;
use crate::replacement::{Shutdown, Successor};
use crate::roll::Roll;
use crate::states::{InstanceId, Phase, ReleaseId, Time};
use std::time::Duration;

#[derive(Debug, Clone)]
pub(crate) struct Instance {
    pub(crate) phase: Phase,
    pub(crate) release: ReleaseId,
    /// Consecutive failures, which determine the backoff before the next start.
    pub(crate) consecutive_failures: u32,
    /// Number of all starts, for the status.
    pub(crate) starts: u64,
    /// Since when no process accepts at the listening socket while it is open; none while one does.
    pub(crate) unread_since: Option<Time>,
    /// The process that is to replace the present one.
    pub(crate) successor: Option<Successor>,
    /// The shutdown of the process that the present one has replaced.
    pub(crate) predecessor: Option<Shutdown>,
}

impl Instance {
    /// Whether a process runs beside the present one, or is to run.
    pub(crate) fn is_being_replaced(&self) -> bool {
        self.successor.is_some() || self.predecessor.is_some()
    }

    /// The time from which the instance's next process may start; none if it waits for no start.
    pub(crate) fn start_due(&self) -> Option<Time> {
        match (&self.successor, &self.phase) {
            (Some(successor), _) => successor.start_due(),
            // A new process could not be told from the one that is still shutting down.
            (None, Phase::Waiting { until }) if self.predecessor.is_none() => Some(*until),
            _ => None,
        }
    }
}

/// Supervises the instances of one fleet.
pub struct Supervisor {
    pub(crate) policy: Policy,
    pub(crate) instances: Vec<Instance>,
    random: fastrand::Rng,
    /// Earliest time at which any process may start.
    pub(crate) next_start: Time,
    pub(crate) roll: Option<Roll>,
    pub(crate) stopping: bool,
    finished: bool,
}

impl Supervisor {
    /// Creates a supervisor of this many instances without processes, which start one after the other from `now` on.
    pub fn new(policy: Policy, instances: usize, seed: u64, now: Time) -> Self {
        let instance = Instance {
            phase: Phase::Waiting { until: now },
            release: ReleaseId::default(),
            consecutive_failures: 0,
            starts: 0,
            unread_since: Some(now),
            successor: None,
            predecessor: None,
        };
        Supervisor {
            policy,
            instances: vec![instance; instances],
            random: fastrand::Rng::with_seed(seed),
            next_start: now,
            roll: None,
            stopping: false,
            finished: false,
        }
    }

    /// Returns the phase of an instance.
    pub fn phase(&self, id: InstanceId) -> &Phase {
        &self.instances[id.0].phase
    }

    /// Returns how many processes of an instance this supervisor has started.
    pub fn starts(&self, id: InstanceId) -> u64 {
        self.instances[id.0].starts
    }

    /// Returns the program of an instance's present process or, if it has none, of its next one.
    pub fn release(&self, id: InstanceId) -> ReleaseId {
        self.instances[id.0].release
    }

    /// Returns the progress of the roll under way: the number of instances restarted or skipped, and the total.
    pub fn roll(&self) -> Option<(usize, usize)> {
        self.roll.as_ref().map(Roll::progress)
    }

    /// Returns whether a stop command has been accepted.
    pub fn stopping(&self) -> bool {
        self.stopping
    }

    /// Returns when [`Event::Tick`] is due if no other event occurs before.
    pub fn next_wake(&self) -> Option<Time> {
        let start = |instance: &Instance| {
            instance.start_due().filter(|_| !self.stopping).map(|until| until.max(self.next_start))
        };
        let due = |instance: &Instance| {
            let successor = instance.successor.as_ref().map(|successor| &successor.phase);
            let timeouts = [Some(&instance.phase), successor].into_iter().flatten();
            let shutdown = instance.predecessor.and_then(|shutdown| shutdown.kill_at(&self.policy));
            let timeouts = timeouts.filter_map(|phase| phase.timeout(&self.policy));
            timeouts.chain(shutdown).chain(start(instance)).min()
        };
        self.instances.iter().filter_map(due).min()
    }

    /// Handles an event and appends the actions that follow.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Adopted(id) => {
                let instance = &mut self.instances[id.0];
                if matches!(instance.phase, Phase::Waiting { .. }) {
                    instance.phase = Phase::Starting { since: now };
                    instance.unread_since = None;
                }
                // Starts wait until all adopted processes are reported: one that starts now could be the second process
                // of an instance whose adoption is not reported yet.
                return;
            }
            Event::Ready(id) => self.on_ready(now, id, actions),
            Event::Proved(id) => self.on_proved(now, id),
            Event::ProofFailed(id, reason) => {
                if matches!(self.instances[id.0].phase, Phase::Proving { .. }) {
                    self.on_unusable(now, id, format!("is ready and does not serve: {reason}"), actions);
                }
            }
            Event::StartFailed(id, reason) => {
                self.on_exited(now, id, format!("cannot be started: {reason}"), actions);
            }
            Event::Exited(id, status) => self.on_exited(now, id, status, actions),
            Event::Successor(id, event) => self.on_successor_event(now, id, event, actions),
            Event::PredecessorExited(id) => self.on_predecessor_exited(id),
            Event::PredecessorAdopted(id) => return self.adopt_predecessor(now, id, actions),
            Event::Command(command) => self.on_command(now, command, actions),
            Event::Tick => {}
        }
        self.advance(now, actions);
    }

    fn on_command(&mut self, now: Time, command: Command, actions: &mut Vec<Action>) {
        if self.stopping && command != Command::Stop {
            return actions.push(Action::Refused(Refusal::FleetStopping));
        }
        match command {
            Command::Reload => self.reload(actions),
            Command::Roll(release) => self.start_roll(now, release, actions),
            Command::Stop => self.stop(now, actions),
        }
    }

    fn reload(&mut self, actions: &mut Vec<Action>) {
        for successor in self.instances.iter_mut().filter_map(|instance| instance.successor.as_mut()) {
            successor.missed_reload = successor.start_due().is_none();
        }
        let can_reload = |instance: &Instance| {
            instance.phase.has_process() && !matches!(instance.phase, Phase::Stopping { .. })
        };
        let running = self.instances.iter().enumerate().filter(|(_, instance)| can_reload(instance));
        actions.extend(running.map(|(index, _)| Action::Reload(InstanceId(index))));
    }

    fn stop(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.stopping = true;
        self.end_roll(Err(RollError::FleetStopping), actions);
        for index in 0..self.instances.len() {
            let id = InstanceId(index);
            self.terminate_successor(now, id, actions);
            match self.instances[index].phase {
                Phase::Waiting { .. } | Phase::Failed { .. } => {
                    self.instances[index].phase = Phase::Stopped;
                    self.close_listener(id, actions);
                }
                _ => self.terminate(now, id, actions),
            }
        }
    }

    fn on_ready(&mut self, now: Time, id: InstanceId, actions: &mut Vec<Action>) {
        let instance = &mut self.instances[id.0];
        if matches!(instance.phase, Phase::Starting { .. }) {
            instance.phase = Phase::Proving { since: now };
            actions.push(Action::Prove(id));
        }
    }

    fn on_proved(&mut self, now: Time, id: InstanceId) {
        let instance = &mut self.instances[id.0];
        if matches!(instance.phase, Phase::Proving { .. }) {
            instance.phase = Phase::Ready { since: now };
            if let Some(roll) = self.roll.as_mut().filter(|_| instance.predecessor.is_none()) {
                roll.on_serving(id);
            }
        }
    }

    /// Handles an instance that runs without serving: terminates its process, and stops a roll that was restarting it.
    fn on_unusable(&mut self, now: Time, id: InstanceId, reason: String, actions: &mut Vec<Action>) {
        actions.push(Action::Report(id, Report::Unusable(reason.clone())));
        self.fail_roll(id, &reason, actions);
        self.instances[id.0].consecutive_failures += 1;
        self.terminate(now, id, actions);
    }

    /// Terminates a process that no other one replaces. It accepts connections for a while yet.
    pub(crate) fn terminate(&mut self, now: Time, id: InstanceId, actions: &mut Vec<Action>) {
        let instance = &mut self.instances[id.0];
        if instance.phase.has_process() && !matches!(instance.phase, Phase::Stopping { .. }) {
            instance.phase = Phase::Stopping { since: now, killed: false };
            actions.push(Action::Terminate(id));
            self.close_listener(id, actions);
        }
    }

    /// Handles a process that has exited or could not be started.
    fn on_exited(&mut self, now: Time, id: InstanceId, status: String, actions: &mut Vec<Action>) {
        let phase = self.instances[id.0].phase.clone();
        if !phase.has_process() {
            return;
        }
        if self.stopping {
            self.instances[id.0].phase = Phase::Stopped;
            return;
        }
        if self.replace_exited(now, id, &status, actions) {
            return;
        }
        let expected = matches!(phase, Phase::Stopping { .. });
        if expected && self.roll.as_mut().is_some_and(|roll| roll.on_exited(id)) {
            return self.restart_for_roll(now, id);
        }
        if !expected {
            self.instances[id.0].unread_since = Some(now);
            self.on_unexpected_exit(now, id, &phase, &status, actions);
        }
        self.schedule_restart(now, id, status, actions);
    }

    fn on_unexpected_exit(
        &mut self,
        now: Time,
        id: InstanceId,
        phase: &Phase,
        status: &str,
        actions: &mut Vec<Action>,
    ) {
        self.fail_roll(id, status, actions);
        self.count_failure(now, id, phase);
        actions.push(Action::Report(id, Report::UnexpectedExit(status.to_owned())));
    }

    /// Counts the unexpected exit of a process in this phase.
    pub(crate) fn count_failure(&mut self, now: Time, id: InstanceId, phase: &Phase) {
        let forgive_after = self.policy.restart.forgive_after;
        let instance = &mut self.instances[id.0];
        if matches!(phase, Phase::Ready { since } if now.saturating_sub(*since) >= forgive_after) {
            instance.consecutive_failures = 0;
        }
        instance.consecutive_failures += 1;
    }

    /// Schedules the next start after the backoff, or marks the instance as failed after too many consecutive failures.
    fn schedule_restart(&mut self, now: Time, id: InstanceId, status: String, actions: &mut Vec<Action>) {
        let instance = &mut self.instances[id.0];
        if instance.consecutive_failures > self.policy.restart.limit {
            actions.push(Action::Report(id, Report::Failed { failures: instance.consecutive_failures }));
            instance.phase = Phase::Failed { reason: status };
            return self.close_listener(id, actions);
        }
        // No failures: a roll terminated the process and stopped before the exit, so no backoff is due.
        let backoff = match instance.consecutive_failures {
            0 => Duration::ZERO,
            failures => self.policy.restart.backoff(failures, self.random.f64()),
        };
        instance.phase = Phase::Waiting { until: now + backoff };
    }

    /// Performs everything that is due at `now`: timeouts, the next step of a roll, and starts.
    fn advance(&mut self, now: Time, actions: &mut Vec<Action>) {
        for index in 0..self.instances.len() {
            self.check_timeout(now, InstanceId(index), actions);
            self.check_replacement_timeouts(now, InstanceId(index), actions);
        }
        self.continue_roll(now, actions);
        self.start_next(now, actions);
        self.close_unread_listeners(actions);
        let stopped =
            |instance: &Instance| matches!(instance.phase, Phase::Stopped) && !instance.is_being_replaced();
        if self.stopping && !self.finished && self.instances.iter().all(stopped) {
            self.finished = true;
            actions.push(Action::Finished);
        }
    }

    fn check_timeout(&mut self, now: Time, id: InstanceId, actions: &mut Vec<Action>) {
        match self.instances[id.0].phase {
            Phase::Starting { since } if now >= since + self.policy.ready_within => {
                self.on_unusable(now, id, "did not become ready".into(), actions);
            }
            Phase::Proving { since } if now >= since + self.policy.prove_within => {
                self.on_unusable(now, id, "is ready and was not proved to serve".into(), actions);
            }
            Phase::Stopping { since, killed: false } if now >= since + self.policy.stop_within => {
                self.instances[id.0].phase = Phase::Stopping { since, killed: true };
                actions.push(Action::Report(id, Report::Killed));
                actions.push(Action::Kill(id));
            }
            _ => {}
        }
    }

    /// Starts the instances that are due, the longest waiting first, with `start_every` between two starts.
    fn start_next(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.stopping {
            return;
        }
        while now >= self.next_start {
            let due = |(index, i): (usize, &Instance)| {
                i.start_due().filter(|until| *until <= now).map(|until| (until, index))
            };
            let Some((_, index)) = self.instances.iter().enumerate().filter_map(due).min() else { return };
            let (id, instance) = (InstanceId(index), &mut self.instances[index]);
            instance.starts += 1;
            match &mut instance.successor {
                Some(successor) => {
                    successor.phase = Phase::Starting { since: now };
                    actions.push(Action::StartSuccessor(id, successor.release));
                }
                None => {
                    instance.phase = Phase::Starting { since: now };
                    instance.unread_since = None;
                    actions.push(Action::Start(id, instance.release));
                }
            }
            self.next_start = now + self.policy.start_every;
        }
    }
}
