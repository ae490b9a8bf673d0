//! Thousands of seeded orders of deaths, readiness, commands and time. The observer here knows processes and the
//! rules, and nothing of the supervisor's states.

use bellcroft_supervisor::*;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

/// A process as the machine knows it.
#[derive(Debug, Clone)]
struct Process {
    release: ReleaseId,
    ready_at: Option<Time>,
    dies_at: Option<Time>,
    ends_on_term: bool,
    serves: bool,
    told_ready: bool,
    prove_at: Option<Time>,
    served: bool,
    terminated: Option<Time>,
}

/// The machine, and what must hold on it.
struct Machine {
    policy: Policy,
    random: fastrand::Rng,
    now: Time,
    supervisor: Supervisor,
    processes: Vec<Option<Process>>,
    /// Deaths in a row that the supervisor was not the cause of, and when each instance may start again.
    deaths: Vec<u32>,
    served_since: Vec<Option<Time>>,
    not_before: Vec<Time>,
    /// When each instance that has no process must have one again, unless it has failed.
    not_after: Vec<Time>,
    last_start: Option<Time>,
    stop_told: Option<Time>,
    finished: bool,
    rolls: Vec<Result<(), String>>,
    rolled_to: Option<ReleaseId>,
    refused: usize,
    /// How often processes die, of a hundred.
    trouble: u64,
    /// This release never serves.
    bad_release: Option<ReleaseId>,
}

impl Machine {
    fn new(seed: u64, instances: usize, policy: Policy, trouble: u64) -> Self {
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
            stop_told: None,
            finished: false,
            rolls: Vec::new(),
            rolled_to: None,
            refused: 0,
            trouble,
            bad_release: None,
        };
        let latest = machine.latest();
        machine.not_after.fill(latest);
        machine
    }

    /// The longest pause from now on, and the starts of all others before it.
    fn latest(&self) -> Time {
        self.now + self.policy.restart.most + self.policy.start_every * self.processes.len() as u32 + MS * 20
    }

    fn chance(&mut self, of_hundred: u64) -> bool {
        self.random.u64(0..100) < of_hundred
    }

    fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.supervisor.handle(self.now, event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Start(id, release) => self.start(id, release),
            Action::Terminate(id) => {
                // Whoever is ended while it serves is ended for a roll: count those that do not serve then.
                let serves =
                    |p: &Option<Process>| p.as_ref().is_some_and(|p| p.served && p.terminated.is_none());
                let rolls = serves(&self.processes[id.0]) && self.stop_told.is_none();
                let process = self.processes[id.0].as_mut().expect("only what runs is told to end");
                assert!(process.terminated.is_none(), "told to end twice");
                process.terminated = Some(self.now);
                if rolls {
                    let failed = |place: usize| {
                        matches!(self.supervisor.phase(InstanceId(place)), Phase::Failed { .. })
                    };
                    let down =
                        (0..self.processes.len()).filter(|p| !serves(&self.processes[*p]) && !failed(*p));
                    assert!(down.count() <= self.policy.roll_at_once, "too many are down for the roll");
                }
            }
            Action::Kill(id) => {
                let process = self.processes[id.0].as_ref().expect("only what runs is killed");
                let told = process.terminated.expect("killed without a word");
                assert!(self.now >= told + self.policy.stop_within, "killed too soon");
                self.end(id.0, "killed", true);
            }
            Action::Prove(id) => {
                let delay = self.random.u32(1..200);
                self.processes[id.0].as_mut().expect("what is ready runs").prove_at =
                    Some(self.now + MS * delay);
            }
            Action::RollEnded(how) => {
                if how.is_ok() {
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
                self.rolls.push(how);
            }
            Action::Finished => {
                assert!(self.stop_told.is_some(), "nobody told it to stop");
                assert!(self.processes.iter().all(Option::is_none), "it leaves processes behind");
                assert!(!self.finished, "finished twice");
                self.finished = true;
            }
            Action::Refused(_) => self.refused += 1,
            Action::Reload(_) | Action::Log(_) => {}
        }
    }

    fn start(&mut self, id: InstanceId, release: ReleaseId) {
        assert!(self.stop_told.is_none(), "a start after the stop");
        assert!(self.processes[id.0].is_none(), "two processes of instance {}", id.0);
        assert!(self.now >= self.not_before[id.0], "instance {} is back before its pause is over", id.0);
        if let Some(last) = self.last_start {
            assert!(self.now >= last + self.policy.start_every, "two starts at once");
        }
        self.last_start = Some(self.now);
        let never = self.trouble > 0 && self.chance(self.trouble / 4);
        let dies = self.chance(self.trouble);
        let bad = Some(release) == self.bad_release;
        self.processes[id.0] = Some(Process {
            release,
            ready_at: (!never).then(|| self.now + MS * self.random.u32(5..500)),
            dies_at: dies.then(|| self.now + MS * self.random.u32(0..20_000)),
            ends_on_term: !self.chance(self.trouble / 4),
            serves: !bad,
            told_ready: false,
            prove_at: None,
            served: false,
            terminated: None,
        });
    }

    /// A process ends; the supervisor hears of it.
    fn end(&mut self, place: usize, how: &str, tell: bool) {
        let process = self.processes[place].take().expect("it runs");
        if process.terminated.is_none() {
            let long = self.policy.restart.forgive_after;
            if self.served_since[place].is_some_and(|since| self.now >= since + long) {
                self.deaths[place] = 0;
            }
            self.deaths[place] += 1;
            let least = self.policy.restart.pause(self.deaths[place], 1.0);
            self.not_before[place] = self.now + least;
        } else {
            // After a roll's turn the slate is clean; after an unfit start the supervisor has its own pause.
            self.deaths[place] = 0;
        }
        self.served_since[place] = None;
        self.not_after[place] = self.latest();
        if tell {
            self.tell(Event::Exited(InstanceId(place), how.into()));
        }
    }

    /// Lets the machine run on for so long.
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
                } else if process.terminated.is_none() && !process.told_ready {
                    if process.ready_at.is_some_and(|at| self.now >= at) {
                        self.processes[place].as_mut().expect("it runs").told_ready = true;
                        self.tell(Event::Ready(id));
                    }
                } else if process.prove_at.is_some_and(|at| self.now >= at) && process.terminated.is_none() {
                    let process = self.processes[place].as_mut().expect("it runs");
                    process.prove_at = None;
                    process.served = process.serves;
                    if process.serves {
                        self.served_since[place] = Some(self.now);
                        self.tell(Event::Proved(id));
                    } else {
                        self.tell(Event::Disproved(id, "answers nothing".into()));
                    }
                }
            }
            if self.supervisor.next_wake().is_some_and(|at| at <= self.now) {
                self.tell(Event::Tick);
            }
        }
    }

    fn serving(&self) -> usize {
        self.processes.iter().flatten().filter(|p| p.served && p.terminated.is_none()).count()
    }

    fn stop(&mut self) {
        self.stop_told = Some(self.now);
        self.tell(Event::Command(Command::Stop));
        // Whatever its instances do, it is over soon after the last of them may be killed.
        self.pass(self.policy.stop_within + Duration::from_secs(1));
        assert!(self.finished, "it did not end when told to stop");
    }

    fn roll(&mut self, release: ReleaseId) {
        // What has failed is tried once more.
        let latest = self.latest();
        self.not_after.iter_mut().for_each(|at| *at = latest.max(*at));
        if self.supervisor.roll().is_none() {
            self.rolled_to = Some(release);
        }
        self.tell(Event::Command(Command::Roll(Some(release))));
    }
}

#[test]
fn a_calm_fleet_starts_spread_out_rolls_and_stops() {
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
fn thousands_of_orders_keep_the_rules() {
    let (mut ok, mut failed) = (0, 0);
    for seed in 0..2000 {
        let mut choice = fastrand::Rng::with_seed(seed);
        let instances = choice.usize(1..8);
        let restart = Restart { most: MS * choice.u32(500..2500), ..Restart::default() };
        let policy = Policy { roll_at_once: choice.usize(1..4), restart, ..Policy::default() };
        let trouble = choice.u64(0..60);
        let mut machine = Machine::new(seed, instances, policy, trouble);
        // Some of them run already, as an earlier supervisor left them; all of those before the first is told of.
        let left: Vec<usize> = (0..instances).filter(|_| choice.u8(0..4) == 0).collect();
        for &place in &left {
            machine.processes[place] = Some(Process {
                release: ReleaseId(0),
                ready_at: Some(MS * 20),
                dies_at: None,
                ends_on_term: true,
                serves: true,
                told_ready: false,
                prove_at: None,
                served: false,
                terminated: None,
            });
        }
        for place in left {
            machine.tell(Event::Adopted(InstanceId(place)));
        }
        for _ in 0..choice.usize(1..6) {
            machine.pass(Duration::from_millis(choice.u64(0..15_000)));
            match choice.u8(0..4) {
                0 => machine.tell(Event::Command(Command::Reload)),
                1 | 2 => machine.roll(ReleaseId(choice.usize(0..3))),
                _ => {}
            }
        }
        machine.stop();
        ok += machine.rolls.iter().filter(|r| r.is_ok()).count();
        failed += machine.rolls.iter().filter(|r| r.is_err()).count();
    }
    // Orders in which nothing is rolled to its end, or nothing fails, would show little.
    assert!(ok > 200 && failed > 200, "{ok} rolls went through, {failed} did not");
}

#[test]
fn a_roll_to_a_program_that_does_not_serve_stops_at_the_first_and_goes_back() {
    let mut machine = Machine::new(7, 10, Policy::default(), 0);
    machine.bad_release = Some(ReleaseId(1));
    machine.pass(Duration::from_secs(3));
    machine.roll(ReleaseId(1));
    machine.pass(Duration::from_secs(10));
    let why = machine.rolls[0].clone().expect_err("it cannot go through");
    assert!(why.contains("instance 0") && why.contains("answers nothing"), "{why}");
    assert_eq!(machine.serving(), 10, "all serve again, with the program that they had");
    assert!(machine.processes.iter().flatten().all(|p| p.release == ReleaseId(0)));
    machine.stop();
}

#[test]
fn what_dies_at_once_has_failed_after_a_while_and_the_rest_is_served() {
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
    assert!(matches!(machine.supervisor.phase(InstanceId(1)), Phase::Failed { why } if why.contains("101")));
    assert_eq!(machine.serving(), 2);
    // A roll asks for it once more.
    machine.roll(ReleaseId(1));
    machine.pass(Duration::from_secs(10));
    assert_eq!(machine.serving(), 3);
    machine.stop();
}

#[test]
fn a_second_roll_and_commands_after_the_stop_are_refused() {
    let mut machine = Machine::new(4, 20, Policy::default(), 0);
    machine.pass(Duration::from_secs(3));
    machine.roll(ReleaseId(1));
    machine.pass(MS * 100);
    machine.roll(ReleaseId(2));
    assert_eq!(machine.refused, 1);
    machine.stop_told = Some(machine.now);
    machine.tell(Event::Command(Command::Stop));
    assert_eq!(machine.rolls.len(), 1, "the roll has ended");
    machine.tell(Event::Command(Command::Reload));
    assert_eq!(machine.refused, 2);
    machine.pass(Duration::from_secs(11));
    assert!(machine.finished);
}

#[test]
fn one_that_ignores_sigterm_is_killed_and_only_then() {
    let mut machine = Machine::new(5, 1, Policy::default(), 0);
    machine.pass(Duration::from_secs(1));
    machine.processes[0].as_mut().expect("it runs").ends_on_term = false;
    machine.stop_told = Some(machine.now);
    machine.tell(Event::Command(Command::Stop));
    machine.pass(machine.policy.stop_within - MS * 10);
    assert!(machine.processes[0].is_some(), "it has its time");
    machine.pass(MS * 50);
    assert!(machine.finished && machine.processes[0].is_none());
}
