//! A simulated machine, which performs a supervisor's actions on simulated processes and checks the rules.

use bellcroft_supervisor::*;
use std::time::Duration;

pub const MS: Duration = Duration::from_millis(1);
/// The time for which connections may wait while no process accepts: an answer is owed half a second after its deadline, and the
/// next process has to start and answer within that.
const MAX_UNREAD: Duration = Duration::from_millis(400);

/// A simulated process.
#[derive(Debug, Clone)]
pub struct Process {
    pub release: ReleaseId,
    /// Time at which the process becomes ready; None if it never does.
    pub ready_at: Option<Time>,
    /// Time at which the process exits on its own.
    pub exits_at: Option<Time>,
    /// Whether SIGTERM makes the process exit.
    pub exits_on_sigterm: bool,
    /// Whether the check that the process serves will succeed.
    pub can_serve: bool,
    pub reported_ready: bool,
    /// Time at which the check finishes.
    pub check_finishes_at: Option<Time>,
    /// Whether the check has succeeded.
    pub serving: bool,
    pub terminated_at: Option<Time>,
}

impl Process {
    pub fn has_exited(&self, now: Time) -> bool {
        let exits_on_request =
            self.terminated_at.is_some_and(|at| self.exits_on_sigterm && now >= at + MS * 40);
        exits_on_request || self.exits_at.is_some_and(|at| now >= at)
    }
}

/// A simulated machine, which performs the supervisor's actions and checks the rules.
pub struct Machine {
    pub policy: Policy,
    pub random: fastrand::Rng,
    pub now: Time,
    pub supervisor: Supervisor,
    pub processes: Vec<Option<Process>>,
    /// Processes that are to replace those of `processes`.
    pub successors: Vec<Option<Process>>,
    /// Processes that have been replaced and are shutting down.
    pub predecessors: Vec<Option<Process>>,
    /// Whether the listening socket of each instance is open.
    pub listening: Vec<bool>,
    /// The last time at which a process of each instance accepted, or its socket was closed.
    pub last_accepted: Vec<Time>,
    /// Consecutive exits of each instance that the supervisor did not cause.
    pub failures: Vec<u32>,
    pub serving_since: Vec<Option<Time>>,
    /// Earliest next start of each instance.
    pub earliest_start: Vec<Time>,
    /// Latest next start of each instance that has no process, unless it has failed.
    pub start_deadlines: Vec<Time>,
    pub last_start: Option<Time>,
    pub stopped_at: Option<Time>,
    pub finished: bool,
    /// Results of the rolls that have ended.
    pub rolls: Vec<Result<(), RollError>>,
    /// Program of the last roll that was accepted.
    pub rolled_to: Option<ReleaseId>,
    /// Number of refused commands.
    pub refused: usize,
    /// Percentage of processes that exit on their own.
    pub exit_percent: u64,
    /// Program whose processes never serve.
    pub bad_release: Option<ReleaseId>,
    /// Program whose processes cannot replace a running one.
    pub unsupported: Option<ReleaseId>,
    /// The instance that was last ended before its next process started.
    pub ended_first: Option<InstanceId>,
}

impl Machine {
    pub fn new(seed: u64, instances: usize, policy: Policy, exit_percent: u64) -> Self {
        let supervisor = Supervisor::new(policy.clone(), instances, seed, Duration::ZERO);
        let mut machine = Machine {
            policy,
            random: fastrand::Rng::with_seed(seed),
            now: Duration::ZERO,
            supervisor,
            processes: vec![None; instances],
            successors: vec![None; instances],
            predecessors: vec![None; instances],
            listening: vec![true; instances],
            last_accepted: vec![Duration::ZERO; instances],
            failures: vec![0; instances],
            serving_since: vec![None; instances],
            earliest_start: vec![Duration::ZERO; instances],
            start_deadlines: vec![Duration::ZERO; instances],
            last_start: None,
            stopped_at: None,
            finished: false,
            rolls: Vec::new(),
            rolled_to: None,
            refused: 0,
            exit_percent,
            bad_release: None,
            unsupported: None,
            ended_first: None,
        };
        let latest = machine.latest_possible_start();
        machine.start_deadlines.fill(latest);
        machine
    }

    /// Returns the end of the longest backoff that begins now, plus the time for the starts of all instances.
    pub fn latest_possible_start(&self) -> Time {
        self.now + self.policy.restart.max + self.policy.start_every * self.processes.len() as u32 + MS * 20
    }

    pub fn draw_percent(&mut self, percent: u64) -> bool {
        self.random.u64(0..100) < percent
    }

    pub fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.supervisor.handle(self.now, event, &mut actions);
        for action in actions {
            self.perform(action);
        }
    }

    pub fn perform(&mut self, action: Action) {
        match action {
            Action::Start(id, release) => self.start(id, release),
            Action::Terminate(id) => self.terminate(id),
            Action::Kill(id) => {
                self.assert_may_be_killed(self.processes[id.0].as_ref());
                self.exit(id.0, "killed", true);
            }
            Action::StartSuccessor(id, release) => self.start_successor(id, release),
            Action::ProveSuccessor(id) => {
                let delay = self.random.u32(1..200);
                self.successors[id.0].as_mut().expect("it runs").check_finishes_at =
                    Some(self.now + MS * delay);
            }
            Action::TerminateSuccessor(id) => {
                let successor = self.successors[id.0].as_mut().expect("only a running process is terminated");
                assert!(successor.terminated_at.is_none(), "successor terminated twice");
                successor.terminated_at = Some(self.now);
            }
            Action::KillSuccessor(id) => {
                self.assert_may_be_killed(self.successors[id.0].as_ref());
                self.exit_successor(id.0);
            }
            Action::Promote(id) => {
                let successor = self.successors[id.0].take().expect("only a running process is promoted");
                assert!(self.predecessors[id.0].is_none(), "two predecessors");
                if self.processes[id.0].is_some() {
                    self.failures[id.0] = 0;
                }
                self.serving_since[id.0] = successor.serving.then_some(self.now);
                self.predecessors[id.0] = self.processes[id.0].replace(successor);
                // A process that takes the place of one that has exited need not serve yet.
                assert!(
                    self.predecessors[id.0].is_none()
                        || self.processes[id.0].as_ref().is_some_and(|p| p.serving),
                    "a process is replaced by one that does not serve"
                );
            }
            Action::TerminatePredecessor(id) => {
                let predecessor = self.predecessors[id.0].as_mut().expect("it runs");
                assert!(predecessor.terminated_at.is_none(), "predecessor terminated twice");
                predecessor.terminated_at = Some(self.now);
            }
            Action::KillPredecessor(id) => {
                self.assert_may_be_killed(self.predecessors[id.0].as_ref());
                self.predecessors[id.0] = None;
                self.handle(Event::PredecessorExited(id));
            }
            Action::CloseListener(id) => self.listening[id.0] = false,
            Action::Prove(id) => {
                let delay = self.random.u32(1..200);
                self.processes[id.0]
                    .as_mut()
                    .expect("an instance that is checked has a process")
                    .check_finishes_at = Some(self.now + MS * delay);
            }
            Action::RollEnded(result) => {
                if result.is_ok() {
                    for (index, process) in self.processes.iter().enumerate() {
                        let failed = matches!(self.supervisor.phase(InstanceId(index)), Phase::Failed { .. });
                        // A restarted instance may have exited since and have no process.
                        if let Some(process) = process.as_ref().filter(|_| !failed) {
                            assert_eq!(
                                Some(process.release),
                                self.rolled_to,
                                "instance {index} was not restarted by the roll"
                            );
                        }
                    }
                }
                self.rolls.push(result);
            }
            Action::Finished => {
                assert!(self.stopped_at.is_some(), "finished without a stop command");
                let running = self.processes.iter().chain(&self.successors).chain(&self.predecessors);
                assert!(running.flatten().next().is_none(), "finished while processes run");
                assert!(!self.finished, "finished twice");
                self.finished = true;
            }
            Action::Refused(_) => self.refused += 1,
            Action::Reload(_) | Action::Report(..) => {}
        }
    }

    pub fn assert_may_be_killed(&self, process: Option<&Process>) {
        let process = process.expect("a process that is killed runs");
        let terminated_at = process.terminated_at.expect("a process is terminated before it is killed");
        assert!(self.now >= terminated_at + self.policy.stop_within, "killed before stop_within expired");
    }

    pub fn terminate(&mut self, id: InstanceId) {
        // Before the stop command, a serving process is terminated only once another one has replaced it, or for a program that
        // cannot do that.
        let process = self.processes[id.0].as_mut().expect("only a running process is terminated");
        assert!(process.terminated_at.is_none(), "process terminated twice");
        assert!(
            !process.serving || self.stopped_at.is_some() || self.ended_first == Some(id),
            "a process that serves is terminated without a successor"
        );
        process.terminated_at = Some(self.now);
        self.assert_few_are_renewed(id);
    }

    /// A roll limits the instances that are down or being replaced.
    pub fn assert_few_are_renewed(&self, id: InstanceId) {
        if self.stopped_at.is_some() || self.processes[id.0].as_ref().is_none_or(|process| !process.serving) {
            return;
        }
        let serves = |p: &Option<Process>| p.as_ref().is_some_and(|p| p.serving && p.terminated_at.is_none());
        let failed = |index: usize| matches!(self.supervisor.phase(InstanceId(index)), Phase::Failed { .. });
        let is_replaced =
            |index: usize| self.successors[index].is_some() || self.predecessors[index].is_some();
        let renewed = (0..self.processes.len())
            .filter(|index| is_replaced(*index) || !serves(&self.processes[*index]) && !failed(*index));
        assert!(renewed.count() <= self.policy.roll_at_once, "more instances than roll_at_once are renewed");
    }

    pub fn start_successor(&mut self, id: InstanceId, release: ReleaseId) {
        let present = self.processes[id.0].as_ref().expect("a successor starts beside a process");
        assert!(present.serving && present.terminated_at.is_none(), "a successor of one that does not serve");
        assert!(self.successors[id.0].is_none() && self.predecessors[id.0].is_none(), "three processes");
        let successor = self.new_process(release);
        self.successors[id.0] = Some(successor);
        self.assert_few_are_renewed(id);
        if self.unsupported == Some(release) {
            self.successors[id.0] = None;
            self.ended_first = Some(id);
            self.handle(Event::Successor(id, SuccessorEvent::Unsupported));
        }
    }

    pub fn exit_successor(&mut self, index: usize) {
        self.successors[index] = None;
        self.handle(Event::Successor(InstanceId(index), SuccessorEvent::Exited("exit status 1".into())));
    }

    pub fn start(&mut self, id: InstanceId, release: ReleaseId) {
        let others = [&self.processes[id.0], &self.successors[id.0], &self.predecessors[id.0]];
        assert!(others.iter().all(|process| process.is_none()), "two processes of instance {}", id.0);
        self.listening[id.0] = true;
        assert!(self.now >= self.earliest_start[id.0], "instance {} starts before its backoff expired", id.0);
        let process = self.new_process(release);
        self.processes[id.0] = Some(process);
    }

    pub fn new_process(&mut self, release: ReleaseId) -> Process {
        assert!(self.stopped_at.is_none(), "start after the stop command");
        if let Some(last) = self.last_start {
            assert!(self.now >= last + self.policy.start_every, "two starts less than start_every apart");
        }
        self.last_start = Some(self.now);
        let never_ready = self.exit_percent > 0 && self.draw_percent(self.exit_percent / 4);
        let exits = self.draw_percent(self.exit_percent);
        let bad = Some(release) == self.bad_release;
        Process {
            release,
            ready_at: (!never_ready).then(|| self.now + MS * self.random.u32(5..500)),
            exits_at: exits.then(|| self.now + MS * self.random.u32(0..20_000)),
            exits_on_sigterm: !self.draw_percent(self.exit_percent / 4),
            can_serve: !bad,
            reported_ready: false,
            check_finishes_at: None,
            serving: false,
            terminated_at: None,
        }
    }

    /// Makes a process exit; the supervisor receives the event if `report` is true.
    pub fn exit(&mut self, index: usize, status: &str, report: bool) {
        let process = self.processes[index].take().expect("the process runs");
        if process.terminated_at.is_none() {
            let forgive_after = self.policy.restart.forgive_after;
            if self.serving_since[index].is_some_and(|since| self.now >= since + forgive_after) {
                self.failures[index] = 0;
            }
            self.failures[index] += 1;
            let shortest = self.policy.restart.backoff(self.failures[index], 1.0);
            self.earliest_start[index] = self.now + shortest;
        } else {
            // The restart by a roll resets the count. After the termination of a process that does not serve, the
            // supervisor applies a backoff that this model does not check.
            self.failures[index] = 0;
        }
        self.serving_since[index] = None;
        self.start_deadlines[index] = self.latest_possible_start();
        if report {
            self.handle(Event::Exited(InstanceId(index), status.into()));
        }
    }

    /// Advances the machine's time by this duration.
    pub fn advance(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until && !self.finished {
            self.now += MS * 5;
            for index in 0..self.processes.len() {
                self.advance_replacement(index);
                self.check_listener(index);
                if self.successors[index].is_some() || self.predecessors[index].is_some() {
                    // No process starts before these have exited; the socket is closed meanwhile.
                    self.start_deadlines[index] = self.latest_possible_start();
                }
                let id = InstanceId(index);
                let Some(process) = self.processes[index].clone() else {
                    let waiting = matches!(self.supervisor.phase(id), Phase::Waiting { .. });
                    assert!(
                        !waiting || self.now <= self.start_deadlines[index],
                        "instance {index} is not restarted in time"
                    );
                    continue;
                };
                if process.has_exited(self.now) {
                    self.exit(index, "exit status 1", true);
                } else if process.terminated_at.is_none() && !process.reported_ready {
                    if process.ready_at.is_some_and(|at| self.now >= at) {
                        self.processes[index].as_mut().expect("the process runs").reported_ready = true;
                        self.handle(Event::Ready(id));
                    }
                } else if process.check_finishes_at.is_some_and(|at| self.now >= at)
                    && process.terminated_at.is_none()
                {
                    let process = self.processes[index].as_mut().expect("the process runs");
                    process.check_finishes_at = None;
                    process.serving = process.can_serve;
                    if process.can_serve {
                        self.serving_since[index] = Some(self.now);
                        self.handle(Event::Proved(id));
                    } else {
                        self.handle(Event::ProofFailed(id, "does not respond".into()));
                    }
                }
            }
            if self.supervisor.next_wake().is_some_and(|at| at <= self.now) {
                self.handle(Event::Tick);
            }
        }
    }

    /// Advances the successor and the predecessor of an instance.
    pub fn advance_replacement(&mut self, index: usize) {
        let (id, now) = (InstanceId(index), self.now);
        if self.predecessors[index].as_ref().is_some_and(|process| process.has_exited(now)) {
            self.predecessors[index] = None;
            self.handle(Event::PredecessorExited(id));
        }
        let Some(successor) = &mut self.successors[index] else { return };
        if successor.has_exited(now) {
            return self.exit_successor(index);
        }
        if successor.terminated_at.is_some() {
            return;
        }
        if !successor.reported_ready && successor.ready_at.is_some_and(|at| now >= at) {
            successor.reported_ready = true;
            self.handle(Event::Successor(id, SuccessorEvent::Ready));
        } else if successor.check_finishes_at.is_some_and(|at| now >= at) {
            successor.check_finishes_at = None;
            successor.serving = successor.can_serve;
            let result = match successor.can_serve {
                true => SuccessorEvent::Proved,
                false => SuccessorEvent::ProofFailed("does not respond".into()),
            };
            self.handle(Event::Successor(id, result));
        }
    }

    /// No listening socket is open for long while no process accepts.
    pub fn check_listener(&mut self, index: usize) {
        let accepts = |process: &Option<Process>| process.as_ref().is_some_and(|p| p.terminated_at.is_none());
        let is_accepted = accepts(&self.processes[index]) || !self.listening[index];
        if is_accepted {
            self.last_accepted[index] = self.now;
        }
        let unread = self.now - self.last_accepted[index];
        assert!(unread <= MAX_UNREAD + MS * 20, "instance {index}: nobody accepts for {unread:?}");
    }

    pub fn serving(&self) -> usize {
        self.processes.iter().flatten().filter(|p| p.serving && p.terminated_at.is_none()).count()
    }

    pub fn stop(&mut self) {
        self.stopped_at = Some(self.now);
        self.handle(Event::Command(Command::Stop));
        // The fleet finishes soon after stop_within, when the last process has exited or been killed.
        self.advance(self.policy.stop_within + Duration::from_secs(1));
        assert!(self.finished, "the supervisor did not finish after the stop command");
    }

    pub fn roll(&mut self, release: ReleaseId) {
        // The roll retries failed instances, so these must start in time too.
        let latest = self.latest_possible_start();
        self.start_deadlines.iter_mut().for_each(|at| *at = latest.max(*at));
        if self.supervisor.roll().is_none() {
            self.rolled_to = Some(release);
        }
        self.handle(Event::Command(Command::Roll(Some(release))));
    }
}
