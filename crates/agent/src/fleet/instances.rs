//! Performs the supervisor's actions: starts, checks, reloads and stops the instances' processes.

use super::commands::{FleetEvent, ReloadProgress, ReloadRejection, RollResult};
use super::process;
use super::slot::{ProcessEvent, ProcessEvents, ProcessRole};
use super::{prove, Fleet};
use crate::daemon::commands::InstanceRequest;
use crate::daemon::control;
use crate::exit;
use bellcroft_supervisor::{
    Action, Command, Event, InstanceId, ReleaseId, Report, RollError, SuccessorEvent,
};
use rustix::process::Signal;
use std::collections::VecDeque;
use tracing::{info, warn};

/// Exit status reported for an adopted process, because only the parent of a process can read its status.
const UNKNOWN_EXIT: &str = "it ended; how is not known, for an earlier supervisor had started it";

impl Fleet {
    pub(super) fn handle_event(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Process { id, process_number, event } => {
                self.on_process_event(id, process_number, event);
            }
            FleetEvent::Command(command) => {
                if command == Command::Reload {
                    self.reload = ReloadProgress::default();
                    self.begun_reloads += 1;
                }
                self.supervise(Event::Command(command));
            }
            FleetEvent::Release(program) => {
                self.programs.push(program);
                let release = ReleaseId(self.programs.len() - 1);
                self.supervise(Event::Command(Command::Roll(Some(release))));
            }
            FleetEvent::Reloaded(_, Ok(())) => self.reload.accepted += 1,
            FleetEvent::Reloaded(id, Err(error)) => {
                let (name, reason) = (self.instance(id).member.name.clone(), error.to_string());
                warn!(instance = %name, %error, "instance rejected a reload");
                self.log.push(format!("{name}: reload: {reason}"));
                self.reload.rejected.push(ReloadRejection { name, reason });
            }
        }
    }

    fn on_process_event(&mut self, id: InstanceId, process_number: u64, event: ProcessEvent) {
        let instance = self.instance_mut(id);
        let Some(role) = instance.role(process_number) else { return };
        if matches!(event, ProcessEvent::Exited { .. }) {
            *instance.running(role) = None;
        }
        if let Some(event) = supervisor_event(id, role, event) {
            self.supervise(event);
        }
    }

    /// Passes an event to the state machine and performs the resulting actions.
    pub(super) fn supervise(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.supervisor.handle(self.time_origin.elapsed(), event, &mut actions);
            for action in actions {
                // A failed start yields another event, handled after the remaining actions.
                events.extend(self.perform(action));
            }
        }
    }

    fn perform(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Start(id, release) => return self.start(id, release, ProcessRole::Present),
            Action::StartSuccessor(id, release) => return self.start(id, release, ProcessRole::Successor),
            Action::Terminate(id) => self.terminate(id, ProcessRole::Present),
            Action::TerminateSuccessor(id) => self.terminate(id, ProcessRole::Successor),
            Action::TerminatePredecessor(id) => self.terminate(id, ProcessRole::Predecessor),
            Action::Kill(id) => self.signal(id, ProcessRole::Present, Signal::KILL),
            Action::KillSuccessor(id) => self.signal(id, ProcessRole::Successor, Signal::KILL),
            Action::KillPredecessor(id) => self.signal(id, ProcessRole::Predecessor, Signal::KILL),
            Action::Promote(id) => self.promote(id),
            Action::CloseListener(id) => self.instance_mut(id).listener = None,
            Action::Reload(id) => self.reload(id),
            Action::Prove(id) => self.prove(id, ProcessRole::Present),
            Action::ProveSuccessor(id) => self.prove(id, ProcessRole::Successor),
            Action::RollEnded(result) => self.on_roll_ended(result),
            Action::Refused(refusal) => {
                warn!(%refusal, "command refused");
                self.log.push(format!("refused: {refusal}"));
            }
            Action::Report(id, report) => self.on_report(id, &report),
            Action::Finished => self.finished = true,
        }
        None
    }

    fn on_report(&mut self, id: InstanceId, report: &Report) {
        let name = &self.instance(id).member.name;
        match report {
            Report::Retried => info!(instance = %name, "instance retried after failure"),
            Report::Unusable(reason) => warn!(instance = %name, reason, "instance unusable, terminating it"),
            Report::UnexpectedExit(exit) => warn!(instance = %name, exit, "instance exited unexpectedly"),
            Report::Failed { failures } => {
                warn!(instance = %name, deaths = failures, "instance failed, not restarting it");
            }
            Report::EndedFirst => {
                info!(instance = %name, "instance cannot be replaced while it runs, ending it first");
            }
            Report::NotReplaced(reason) => warn!(instance = %name, reason, "new process does not take over"),
            Report::Killed => warn!(instance = %name, "instance did not stop in time, killing it"),
        }
        let line = format!("{name} {report}");
        self.log.push(line);
    }

    fn on_roll_ended(&mut self, result: Result<(), RollError>) {
        let failure = result.as_ref().err().map(|error| self.roll_failure(error));
        match &result {
            Ok(()) => {
                info!("roll complete");
                self.log.push("the roll is over; all are renewed".to_owned());
            }
            Err(error) => {
                warn!(reason = failure, "roll stopped");
                self.log.push(format!("the roll has stopped: {error}"));
            }
        }
        self.last_roll = Some(RollResult { complete: result.is_ok(), failure });
        self.ended_rolls += 1;
    }

    /// Formats the reason why a roll stopped, with the instance's name in place of its number.
    fn roll_failure(&self, error: &RollError) -> String {
        match error {
            RollError::Instance { id, reason } => format!("{} {reason}", self.instance(*id).member.name),
            RollError::FleetStopping => error.to_string(),
        }
    }

    fn start(&mut self, id: InstanceId, release: ReleaseId, role: ProcessRole) -> Option<Event> {
        let (program, instance) = (self.programs[release.0].clone(), &mut self.instances[id.0]);
        let (member, dir) = (instance.member.clone(), instance.dir.clone());
        let started = instance
            .open_listener()
            .and_then(|listener| process::start(&member, &program, &dir, listener, role));
        let (process, mut child) = match started {
            Ok(started) => started,
            Err(e) if role == ProcessRole::Successor => {
                return Some(Event::Successor(id, SuccessorEvent::StartFailed(e.to_string())));
            }
            Err(e) => return Some(Event::StartFailed(id, e.to_string())),
        };
        if role == ProcessRole::Present {
            instance.adopted = false;
        }
        let process_number = instance.add_process(role, process);
        let events = ProcessEvents { id, process_number, events: self.events.clone() };
        tokio::task::spawn_local(async move {
            events.send(match child.wait().await {
                Ok(status) => ProcessEvent::Exited { status: status.to_string(), code: status.code() },
                Err(e) => ProcessEvent::Exited { status: e.to_string(), code: None },
            });
        });
        self.watch_readiness(id, role);
        None
    }

    /// Watches processes that an earlier supervisor has started.
    pub(super) fn watch_adopted(&mut self, id: InstanceId) {
        self.watch_exit_of_adopted(id, ProcessRole::Present);
        self.watch_readiness(id, ProcessRole::Present);
        if self.instance(id).predecessor.is_some() {
            self.watch_exit_of_adopted(id, ProcessRole::Predecessor);
        }
    }

    fn watch_exit_of_adopted(&mut self, id: InstanceId, role: ProcessRole) {
        let events = self.events.clone();
        let Some(running) = self.instance_mut(id).running(role) else { return };
        let events = ProcessEvents { id, process_number: running.number, events };
        let Ok(process) = running.process.try_clone() else { return };
        tokio::task::spawn_local(async move {
            process.exited().await;
            events.send(ProcessEvent::Exited { status: UNKNOWN_EXIT.into(), code: None });
        });
    }

    fn watch_readiness(&mut self, id: InstanceId, role: ProcessRole) {
        let dir = self.instance(id).dir.clone();
        self.start_check(id, role, move |pid| async move {
            prove::wait_until_ready(&dir, pid).await;
            ProcessEvent::Ready
        });
    }

    fn prove(&mut self, id: InstanceId, role: ProcessRole) {
        let instance = self.instance(id);
        let (dir, address) = (instance.dir.clone(), instance.address);
        self.start_check(id, role, move |pid| async move {
            match prove::verify_serving(&dir, pid, address).await {
                Ok(()) => ProcessEvent::Proved,
                Err(error) => ProcessEvent::ProofFailed(error.to_string()),
            }
        });
    }

    /// Runs a check of a process, identified by its process id, and aborts an earlier check.
    fn start_check<F>(&mut self, id: InstanceId, role: ProcessRole, check: impl FnOnce(u32) -> F)
    where
        F: std::future::Future<Output = ProcessEvent> + 'static,
    {
        let events = self.events.clone();
        let Some(running) = self.instance_mut(id).running(role) else { return };
        let result = check(running.process.pid);
        let events = ProcessEvents { id, process_number: running.number, events };
        running.set_check(Some(tokio::task::spawn_local(async move { events.send(result.await) })));
    }

    /// Makes the successor the instance's present process.
    fn promote(&mut self, id: InstanceId) {
        let instance = self.instance_mut(id);
        instance.predecessor = std::mem::replace(&mut instance.process, instance.successor.take());
        instance.adopted = false;
    }

    /// Makes a process shut down gracefully. One that has been replaced stops accepting at once; any other one accepts late clients
    /// for a while, since no process does after it.
    fn terminate(&mut self, id: InstanceId, role: ProcessRole) {
        if let Some(running) = self.instance_mut(id).running(role) {
            running.set_check(None);
        }
        self.signal(id, role, Signal::TERM);
    }

    fn signal(&mut self, id: InstanceId, role: ProcessRole, signal: Signal) {
        if let Some(running) = self.instance_mut(id).running(role) {
            running.process.signal(signal);
        }
    }

    fn reload(&mut self, id: InstanceId) {
        self.reload.requested += 1;
        let (events, dir) = (self.events.clone(), self.instance(id).dir.clone());
        tokio::task::spawn_local(async move {
            let reply = control::request(&dir, &InstanceRequest::Reload).await;
            let _ = events.send(FleetEvent::Reloaded(id, reply.map(drop)));
        });
    }
}

/// The state machine's event for an event of a process in this role; none if it does not matter.
fn supervisor_event(id: InstanceId, role: ProcessRole, event: ProcessEvent) -> Option<Event> {
    let successor = |event| Some(Event::Successor(id, event));
    match (role, event) {
        (ProcessRole::Present, ProcessEvent::Exited { status, .. }) => Some(Event::Exited(id, status)),
        (ProcessRole::Present, ProcessEvent::Ready) => Some(Event::Ready(id)),
        (ProcessRole::Present, ProcessEvent::Proved) => Some(Event::Proved(id)),
        (ProcessRole::Present, ProcessEvent::ProofFailed(reason)) => Some(Event::ProofFailed(id, reason)),
        (ProcessRole::Successor, ProcessEvent::Exited { code: Some(code), .. })
            if code == i32::from(exit::ALREADY_RUNNING) =>
        {
            successor(SuccessorEvent::Unsupported)
        }
        (ProcessRole::Successor, ProcessEvent::Exited { status, .. }) => {
            successor(SuccessorEvent::Exited(status))
        }
        (ProcessRole::Successor, ProcessEvent::Ready) => successor(SuccessorEvent::Ready),
        (ProcessRole::Successor, ProcessEvent::Proved) => successor(SuccessorEvent::Proved),
        (ProcessRole::Successor, ProcessEvent::ProofFailed(reason)) => {
            successor(SuccessorEvent::ProofFailed(reason))
        }
        (ProcessRole::Predecessor, ProcessEvent::Exited { .. }) => Some(Event::PredecessorExited(id)),
        (ProcessRole::Predecessor, _) => None,
    }
}
