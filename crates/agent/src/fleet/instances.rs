//! Performs the supervisor's actions: starts, checks, reloads and stops the instances' processes.

use super::commands::{FleetEvent, ReloadProgress, ReloadRejection, RollResult};
use super::process::{self, Process};
use super::{prove, Fleet};
use crate::daemon::commands::InstanceRequest;
use crate::daemon::control;
use bellcroft_operator_config::FleetInstance;
use bellcroft_supervisor::{Action, Command, Event, InstanceId, ReleaseId, Report, RollError};
use rustix::process::Signal;
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinHandle;
use tracing::{info, warn};

/// Exit status reported for an adopted process, because only the parent of a process can read its status.
const UNKNOWN_EXIT: &str = "it ended; how is not known, for an earlier supervisor had started it";

/// One instance of the fleet: its listening socket, which stays open across restarts, and its present process.
pub(super) struct InstanceSlot {
    pub(super) member: FleetInstance,
    pub(super) dir: PathBuf,
    pub(super) listener: TcpListener,
    pub(super) address: SocketAddr,
    pub(super) process: Option<Process>,
    /// Whether an earlier supervisor started the process.
    pub(super) adopted: bool,
    /// Number of processes that this supervisor has started for the instance. It identifies the present process: events
    /// of earlier ones are discarded.
    pub(super) process_number: u64,
    /// Pending check of the present process: whether it is ready, or whether it serves requests. Aborted when the
    /// process exits or is terminated.
    pub(super) check: Option<JoinHandle<()>>,
}

impl InstanceSlot {
    fn abort_check(&mut self) {
        if let Some(check) = self.check.take() {
            check.abort();
        }
    }

    /// Returns a sender for events of the present process.
    fn process_events(&self, id: InstanceId, events: &UnboundedSender<FleetEvent>) -> ProcessEvents {
        ProcessEvents { id, process_number: self.process_number, events: events.clone() }
    }
}

/// Sends the events of one process to the event loop.
struct ProcessEvents {
    id: InstanceId,
    process_number: u64,
    events: UnboundedSender<FleetEvent>,
}

impl ProcessEvents {
    fn send(&self, event: Event) {
        let (id, process_number) = (self.id, self.process_number);
        let _ = self.events.send(FleetEvent::Process { id, process_number, event });
    }
}

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

    fn on_process_event(&mut self, id: InstanceId, process_number: u64, event: Event) {
        let instance = self.instance_mut(id);
        if instance.process_number != process_number {
            return;
        }
        if matches!(event, Event::Exited(..)) {
            instance.process = None;
            instance.abort_check();
        }
        self.supervise(event);
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
            Action::Start(id, release) => return self.start(id, release),
            Action::Terminate(id) => self.terminate(id),
            Action::Kill(id) => {
                if let Some(process) = &self.instance(id).process {
                    process.signal(Signal::KILL);
                }
            }
            Action::Reload(id) => self.reload(id),
            Action::Prove(id) => self.prove(id),
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

    fn start(&mut self, id: InstanceId, release: ReleaseId) -> Option<Event> {
        let (program, instance) = (&self.programs[release.0], &mut self.instances[id.0]);
        let started = process::start(&instance.member, program, &instance.dir, &instance.listener);
        let (process, mut child) = match started {
            Ok(started) => started,
            Err(e) => return Some(Event::StartFailed(id, e.to_string())),
        };
        instance.process_number += 1;
        instance.adopted = false;
        instance.process = Some(process);
        let events = instance.process_events(id, &self.events);
        tokio::task::spawn_local(async move {
            let exit = match child.wait().await {
                Ok(status) => status.to_string(),
                Err(e) => e.to_string(),
            };
            events.send(Event::Exited(id, exit));
        });
        self.watch_readiness(id);
        None
    }

    /// Watches a process that an earlier supervisor has started.
    pub(super) fn watch_adopted(&mut self, id: InstanceId) {
        let instance = self.instance(id);
        let events = instance.process_events(id, &self.events);
        if let Some(Ok(process)) = instance.process.as_ref().map(Process::try_clone) {
            tokio::task::spawn_local(async move {
                process.exited().await;
                events.send(Event::Exited(id, UNKNOWN_EXIT.into()));
            });
        }
        self.watch_readiness(id);
    }

    fn watch_readiness(&mut self, id: InstanceId) {
        let dir = self.instance(id).dir.clone();
        self.start_check(id, move |pid| async move {
            prove::wait_until_ready(&dir, pid).await;
            Event::Ready(id)
        });
    }

    fn prove(&mut self, id: InstanceId) {
        let instance = self.instance(id);
        let (dir, address) = (instance.dir.clone(), instance.address);
        self.start_check(id, move |pid| async move {
            match prove::verify_serving(&dir, pid, address).await {
                Ok(()) => Event::Proved(id),
                Err(error) => Event::ProofFailed(id, error.to_string()),
            }
        });
    }

    /// Runs a check of an instance's present process, identified by its process id, and aborts an earlier check.
    fn start_check<F>(&mut self, id: InstanceId, check: impl FnOnce(u32) -> F)
    where
        F: std::future::Future<Output = Event> + 'static,
    {
        let instance = &mut self.instances[id.0];
        let Some(process) = &instance.process else { return };
        let result = check(process.pid);
        let events = instance.process_events(id, &self.events);
        let task = tokio::task::spawn_local(async move { events.send(result.await) });
        if let Some(earlier) = instance.check.replace(task) {
            earlier.abort();
        }
    }

    /// Makes a process shut down. Unless the fleet stops, the next process accepts on the same socket, so the process is
    /// requested to drain without waiting for late clients. A process that does not respond to the request, or any
    /// process when the fleet stops, gets SIGTERM.
    fn terminate(&mut self, id: InstanceId) {
        let handover = !self.supervisor.stopping();
        let instance = self.instance_mut(id);
        instance.abort_check();
        let Some(process) = &instance.process else { return };
        if !handover {
            return process.signal(Signal::TERM);
        }
        let Ok(process) = process.try_clone() else { return process.signal(Signal::TERM) };
        let dir = instance.dir.clone();
        tokio::task::spawn_local(async move {
            if control::request(&dir, &InstanceRequest::Drain { handover: true }).await.is_err() {
                process.signal(Signal::TERM);
            }
        });
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
