//! Thousands of seeded orders of deaths, readiness, commands and time. The observer knows the processes and the rules, and
//! not the supervisor's states.

use bellcroft_supervisor::*;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

/// A simulated process.
#[derive(Debug, Clone)]
struct Process {
    release: ReleaseId,
    ready_at: Option<Time>,
    dies_at: Option<Time>,
    ends_on_term: bool,
    serves: bool,
    reported_ready: bool,
    prove_at: Option<Time>,
    served: bool,
    terminated: Option<Time>,
}

/// The simulated machine, which checks the rules.
struct Machine {
    policy: Policy,
    random: fastrand::Rng,
    now: Time,
    supervisor: Supervisor,
    processes: Vec<Option<Process>>,
    /// Deaths in a row that the supervisor did not cause, and the earliest next start of each instance.
    deaths: Vec<u32>,
    served_since: Vec<Option<Time>>,
    not_before: Vec<Time>,
    /// The latest next start of each instance that has no process, unless it has failed.
    not_after: Vec<Time>,
    last_start: Option<Time>,
    stopped_at: Option<Time>,
    finished: bool,
    rolls: Vec<Result<(), RollError>>,
    rolled_to: Option<ReleaseId>,
    refused: usize,
    /// How often processes die, of a hundred.
    death_percent: u64,
    /// This release never serves.
    bad_release: Option<ReleaseId>,
}

impl Machine {
    fn new(seed: u64, instances: usize, policy: Policy, death_percent: u64) -> Self {
        let supervisor = Supervisor::new(policy.clone(), instances, seed, Duration::ZERO);
        let mut machine = Machine {
            policy,
            random: fastrand::Rng::with_seed(seed),
            now: Duration::ZERO,
            supervisor,
            processes: vec![None; instances],
            deaths: vec![0; instances],
            served_since: vec![None; instances],
            not_before: vec![Duration::ZERO; instances],
            not_after: vec![Duration::ZERO; instances],
            last_start: None,
            stopped_at: None,
            finished: false,
            rolls: Vec::new(),
            rolled_to: None,
            refused: 0,
            death_percent,
            bad_release: None,
        };
        let latest = machine.latest();
        machine.not_after.fill(latest);
        machine
    }

    /// The end of the longest back-off from now on, after the starts of all others.
    fn latest(&self) -> Time {
        self.now + self.policy.restart.max + self.policy.start_every * self.processes.len() as u32 + MS * 20
    }

    fn chance(&mut self, of_hundred: u64) -> bool {
        self.random.u64(0..100) < of_hundred
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.supervisor.handle(self.now, event, &mut actions);
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Start(id, release) => self.start(id, release),
            Action::Terminate(id) => self.terminate(id),
            Action::Kill(id) => {
                let process = self.processes[id.0].as_ref().expect("only what runs is killed");
                let terminated = process.terminated.expect("killed without a termination before");
                assert!(self.now >= terminated + self.policy.stop_within, "killed too soon");
                self.end(id.0, "killed", true);
            }
            Action::Prove(id) => {
                let delay = self.random.u32(1..200);
                self.processes[id.0].as_mut().expect("what is ready runs").prove_at =
                    Some(self.now + MS * delay);
            }
            Action::RollEnded(result) => {
                if result.is_ok() {
                    for (place, process) in self.processes.iter().enumerate() {
                        let failed = matches!(self.supervisor.phase(InstanceId(place)), Phase::Failed { .. });
                        // One that was renewed may have died since.
                        if let Some(process) = process.as_ref().filter(|_| !failed) {
                            assert_eq!(
                                Some(process.release),
                                self.rolled_to,
                                "instance {place} was left out"
                            );
                        }
                    }
                }
                self.rolls.push(result);
            }
            Action::Finished => {
                assert!(self.stopped_at.is_some(), "finished without a stop command");
                assert!(self.processes.iter().all(Option::is_none), "it leaves processes behind");
                assert!(!self.finished, "finished twice");
                self.finished = true;
            }
            Action::Refused(_) => self.refused += 1,
            Action::Reload(_) | Action::Report(..) => {}
        }
    }

    fn terminate(&mut self, id: InstanceId) {
        // A serving process is terminated only for a roll: count the instances that do not serve then.
        let serves = |p: &Option<Process>| p.as_ref().is_some_and(|p| p.served && p.terminated.is_none());
        let rolls = serves(&self.processes[id.0]) && self.stopped_at.is_none();
        let process = self.processes[id.0].as_mut().expect("only a running process is terminated");
        assert!(process.terminated.is_none(), "terminated twice");
        process.terminated = Some(self.now);
        if rolls {
            let failed =
                |place: usize| matches!(self.supervisor.phase(InstanceId(place)), Phase::Failed { .. });
            let down = (0..self.processes.len()).filter(|p| !serves(&self.processes[*p]) && !failed(*p));
            assert!(down.count() <= self.policy.roll_at_once, "too many are down for the roll");
        }
    }

    fn start(&mut self, id: InstanceId, release: ReleaseId) {
        assert!(self.stopped_at.is_none(), "a start after the stop");
        assert!(self.processes[id.0].is_none(), "two processes of instance {}", id.0);
        assert!(self.now >= self.not_before[id.0], "instance {} is back before its pause is over", id.0);
        if let Some(last) = self.last_start {
            assert!(self.now >= last + self.policy.start_every, "two starts at once");
        }
        self.last_start = Some(self.now);
        let never = self.death_percent > 0 && self.chance(self.death_percent / 4);
        let dies = self.chance(self.death_percent);
        let bad = Some(release) == self.bad_release;
        self.processes[id.0] = Some(Process {
            release,
            ready_at: (!never).then(|| self.now + MS * self.random.u32(5..500)),
            dies_at: dies.then(|| self.now + MS * self.random.u32(0..20_000)),
            ends_on_term: !self.chance(self.death_percent / 4),
            serves: !bad,
            reported_ready: false,
            prove_at: None,
            served: false,
            terminated: None,
        });
    }

    /// A process exits; the supervisor gets the event if `report` is true.
    fn end(&mut self, place: usize, how: &str, report: bool) {
        let process = self.processes[place].take().expect("it runs");
        if process.terminated.is_none() {
            let long = self.policy.restart.forgive_after;
            if self.served_since[place].is_some_and(|since| self.now >= since + long) {
                self.deaths[place] = 0;
            }
            self.deaths[place] += 1;
            let shortest = self.policy.restart.backoff(self.deaths[place], 1.0);
            self.not_before[place] = self.now + shortest;
        } else {
            // A renewal resets the count; after an unusable start the supervisor has its own back-off.
            self.deaths[place] = 0;
        }
        self.served_since[place] = None;
        self.not_after[place] = self.latest();
        if report {
            self.handle(Event::Exited(InstanceId(place), how.into()));
        }
    }

    /// Advances the machine's time.
    fn pass(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until && !self.finished {
            self.now += MS * 5;
            for place in 0..self.processes.len() {
                let id = InstanceId(place);
                let Some(process) = self.processes[place].clone() else {
                    let waits = matches!(self.supervisor.phase(id), Phase::Waiting { .. });
                    assert!(
                        !waits || self.now <= self.not_after[place],
                        "instance {place} is not started again"
                    );
                    continue;
                };
                let ends =
                    process.terminated.is_some_and(|at| process.ends_on_term && self.now >= at + MS * 40);
                if ends || process.dies_at.is_some_and(|at| self.now >= at) {
                    self.end(place, "exit status 1", true);
                } else if process.terminated.is_none() && !process.reported_ready {
                    if process.ready_at.is_some_and(|at| self.now >= at) {
                        self.processes[place].as_mut().expect("it runs").reported_ready = true;
                        self.handle(Event::Ready(id));
                    }
                } else if process.prove_at.is_some_and(|at| self.now >= at) && process.terminated.is_none() {
                    let process = self.processes[place].as_mut().expect("it runs");
                    process.prove_at = None;
                    process.served = process.serves;
                    if process.serves {
                        self.served_since[place] = Some(self.now);
                        self.handle(Event::Proved(id));
                    } else {
                        self.handle(Event::ProofFailed(id, "answers nothing".into()));
                    }
                }
            }
            if self.supervisor.next_wake().is_some_and(|at| at <= self.now) {
                self.handle(Event::Tick);
            }
        }
    }

    fn serving(&self) -> usize {
        self.processes.iter().flatten().filter(|p| p.served && p.terminated.is_none()).count()
    }

    fn stop(&mut self) {
        self.stopped_at = Some(self.now);
        self.handle(Event::Command(Command::Stop));
        // Whatever the instances do, the fleet finishes soon after the last of them may be killed.
        self.pass(self.policy.stop_within + Duration::from_secs(1));
        assert!(self.finished, "it did not finish after the stop command");
    }

    fn roll(&mut self, release: ReleaseId) {
        // Failed instances are retried.
        let latest = self.latest();
        self.not_after.iter_mut().for_each(|at| *at = latest.max(*at));
        if self.supervisor.roll().is_none() {
            self.rolled_to = Some(release);
        }
        self.handle(Event::Command(Command::Roll(Some(release))));
    }
}

#[test]
fn fleet_without_deaths_starts_spaced_rolls_and_stops() {
    let mut machine = Machine::new(1, 50, Policy::default(), 0);
    machine.pass(Duration::from_secs(3));
    assert_eq!(machine.serving(), 50);
    machine.roll(ReleaseId(1));
    machine.pass(Duration::from_secs(60));
    assert_eq!(machine.rolls, [Ok(())]);
    assert_eq!(machine.serving(), 50);
    machine.stop();
}

#[test]
fn random_event_orders_keep_the_rules() {
    let (mut ok, mut failed) = (0, 0);
    for seed in 0..2000 {
        let mut choice = fastrand::Rng::with_seed(seed);
        let instances = choice.usize(1..8);
        let restart = Restart { max: MS * choice.u32(500..2500), ..Restart::default() };
        let policy = Policy { roll_at_once: choice.usize(1..4), restart, ..Policy::default() };
        let death_percent = choice.u64(0..60);
        let mut machine = Machine::new(seed, instances, policy, death_percent);
        // Some run already, left by an earlier supervisor; all of them exist before the first event.
        let left: Vec<usize> = (0..instances).filter(|_| choice.u8(0..4) == 0).collect();
        for &place in &left {
            machine.processes[place] = Some(Process {
                release: ReleaseId(0),
                ready_at: Some(MS * 20),
                dies_at: None,
                ends_on_term: true,
                serves: true,
                reported_ready: false,
                prove_at: None,
                served: false,
                terminated: None,
            });
        }
        for place in left {
            machine.handle(Event::Adopted(InstanceId(place)));
        }
        for _ in 0..choice.usize(1..6) {
            machine.pass(Duration::from_millis(choice.u64(0..15_000)));
            match choice.u8(0..4) {
                0 => machine.handle(Event::Command(Command::Reload)),
                1 | 2 => machine.roll(ReleaseId(choice.usize(0..3))),
                _ => {}
            }
        }
        machine.stop();
        ok += machine.rolls.iter().filter(|r| r.is_ok()).count();
        failed += machine.rolls.iter().filter(|r| r.is_err()).count();
    }
    // Seeds in which no roll completes, or none fails, would show little.
    assert!(ok > 200 && failed > 200, "{ok} rolls went through, {failed} did not");
}

#[test]
fn roll_to_unusable_program_stops_and_rolls_back() {
    let mut machine = Machine::new(7, 10, Policy::default(), 0);
    machine.bad_release = Some(ReleaseId(1));
    machine.pass(Duration::from_secs(3));
    machine.roll(ReleaseId(1));
    machine.pass(Duration::from_secs(10));
    let reason = machine.rolls[0].clone().expect_err("the roll stops").to_string();
    assert!(reason.contains("instance 0") && reason.contains("answers nothing"), "{reason}");
    assert_eq!(machine.serving(), 10, "all serve again, with the program that they had");
    assert!(machine.processes.iter().flatten().all(|p| p.release == ReleaseId(0)));
    machine.stop();
}

#[test]
fn instance_that_keeps_dying_fails_and_others_serve() {
    let policy = Policy::default();
    let mut machine = Machine::new(3, 3, policy.clone(), 0);
    machine.pass(Duration::from_secs(1));
    let mut deaths = 0;
    for _ in 0..4000 {
        machine.pass(MS * 50);
        if machine.processes[1].is_some() {
            machine.end(1, "exit status 101", true);
            deaths += 1;
        }
    }
    assert_eq!(deaths, policy.restart.limit + 1);
    assert!(
        matches!(machine.supervisor.phase(InstanceId(1)), Phase::Failed { reason } if reason.contains("101"))
    );
    assert_eq!(machine.serving(), 2);
    // A roll retries it.
    machine.roll(ReleaseId(1));
    machine.pass(Duration::from_secs(10));
    assert_eq!(machine.serving(), 3);
    machine.stop();
}

#[test]
fn second_roll_and_commands_after_stop_are_refused() {
    let mut machine = Machine::new(4, 20, Policy::default(), 0);
    machine.pass(Duration::from_secs(3));
    machine.roll(ReleaseId(1));
    machine.pass(MS * 100);
    machine.roll(ReleaseId(2));
    assert_eq!(machine.refused, 1);
    machine.stopped_at = Some(machine.now);
    machine.handle(Event::Command(Command::Stop));
    assert_eq!(machine.rolls.len(), 1, "the roll has ended");
    machine.handle(Event::Command(Command::Reload));
    assert_eq!(machine.refused, 2);
    machine.pass(Duration::from_secs(11));
    assert!(machine.finished);
}

#[test]
fn process_ignoring_sigterm_is_killed_after_stop_within() {
    let mut machine = Machine::new(5, 1, Policy::default(), 0);
    machine.pass(Duration::from_secs(1));
    machine.processes[0].as_mut().expect("it runs").ends_on_term = false;
    machine.stopped_at = Some(machine.now);
    machine.handle(Event::Command(Command::Stop));
    machine.pass(machine.policy.stop_within - MS * 10);
    assert!(machine.processes[0].is_some(), "it has its time");
    machine.pass(MS * 50);
    assert!(machine.finished && machine.processes[0].is_none());
}
