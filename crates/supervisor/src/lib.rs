//! Decides what a fleet of instances does next, without I/O.
//!
//! A [`Supervisor`] is told what happens ([`Event`]) and when (the time since any fixed moment), and answers with
//! what to do ([`Action`]). It owns no clock, process or file. The caller performs each action and reports what
//! came of it; between events it wakes the supervisor at [`Supervisor::next_wake`] with [`Event::Tick`].
//!
//! # States of an instance
//!
//! ```text
//!             +-------------- back-off over ---------------+
//!             v                                            |
//!  Waiting -> Starting -> Proving -> Ready -> Stopping -> (exit) -> Stopped
//!     ^           |           |        |          |
//!     |           +--- exit --+--------+          +- the roll goes on: Starting
//!     +---- back-off, or Failed after too many deaths in a row
//! ```
//!
//! # What it keeps
//!
//! - Never two processes of one instance: a start follows the exit of the last.
//! - At most [`Policy::roll_at_once`] instances are down for a roll; a roll goes on only when the last one is ready
//!   and has been proved to serve, and ends with the reason when one is not.
//! - Starts are [`Policy::start_every`] apart. A death is answered after a pause that doubles, with jitter, up to
//!   [`Restart::most`]; more than [`Restart::limit`] deaths without a quiet [`Restart::forgive_after`] between them
//!   make the instance [`Phase::Failed`], and the others go on.
//! - Told to stop, it ends: an instance that outlives [`Policy::stop_within`] is killed.

mod policy;
mod roll;

pub use policy::{Policy, Restart};
use roll::Roll;
use std::time::Duration;

/// An instance: its place in the fleet's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId(pub usize);

/// A program that instances run: its place in the caller's list. 0 is the one the fleet began with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ReleaseId(pub usize);

/// A moment, as the time since any moment that the caller fixes.
pub type Time = Duration;

/// What an instance is doing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// Its process has not been started, or has died; it is to be started at this time.
    Waiting {
        /// When.
        until: Time,
    },
    /// Its process runs and is not ready yet.
    Starting {
        /// Since when.
        since: Time,
    },
    /// It says that it is ready; the caller finds out whether it serves.
    Proving {
        /// Since when.
        since: Time,
    },
    /// It serves.
    Ready {
        /// Since when.
        since: Time,
    },
    /// It has been told to end.
    Stopping {
        /// Since when.
        since: Time,
        /// It has been killed, for it did not end by itself.
        killed: bool,
    },
    /// It died too often; it is left alone until a command names it.
    Failed {
        /// How it died last.
        why: String,
    },
    /// It has ended as it was told to.
    Stopped,
}

impl Phase {
    /// Its process runs, as far as is known.
    pub fn running(&self) -> bool {
        matches!(
            self,
            Phase::Starting { .. } | Phase::Proving { .. } | Phase::Ready { .. } | Phase::Stopping { .. }
        )
    }

    /// One word for it.
    pub fn word(&self) -> &'static str {
        match self {
            Phase::Waiting { .. } => "waiting",
            Phase::Starting { .. } => "starting",
            Phase::Proving { .. } => "proving",
            Phase::Ready { .. } => "ready",
            Phase::Stopping { .. } => "stopping",
            Phase::Failed { .. } => "failed",
            Phase::Stopped => "stopped",
        }
    }
}

/// What the supervisor is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Before anything else: a process of this instance runs already, started by an earlier supervisor.
    Adopted(InstanceId),
    /// The process could not be started.
    NotStarted(InstanceId, String),
    /// The process has ended, in these words.
    Exited(InstanceId, String),
    /// The process says that it is ready.
    Ready(InstanceId),
    /// The instance serves what it is sent.
    Proved(InstanceId),
    /// It is ready and does not serve.
    Disproved(InstanceId, String),
    /// Somebody asks for something.
    Command(Command),
    /// Time has passed.
    Tick,
}

/// What the fleet may be asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Restart all, a few at a time; with another program where one is named.
    Roll(Option<ReleaseId>),
    /// Have all that run read their files again.
    Reload,
    /// End all, and then the supervisor.
    Stop,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Start a process of this instance.
    Start(InstanceId, ReleaseId),
    /// Tell it to end (SIGTERM).
    Terminate(InstanceId),
    /// End it at once (SIGKILL).
    Kill(InstanceId),
    /// Have it read its files again.
    Reload(InstanceId),
    /// Find out whether it serves, and report [`Event::Proved`] or [`Event::Disproved`].
    Prove(InstanceId),
    /// The roll is over: all are renewed, or why it went no further.
    RollEnded(Result<(), String>),
    /// The command cannot be followed now.
    Refused(String),
    /// Something that people on call may want to read.
    Log(String),
    /// All that was to end has ended; the supervisor may go.
    Finished,
}

#[derive(Debug, Clone)]
struct Instance {
    phase: Phase,
    release: ReleaseId,
    /// Deaths in a row, for the pause before the next start.
    deaths: u32,
    /// All starts, for people.
    starts: u64,
}

/// The fleet's decisions.
pub struct Supervisor {
    policy: Policy,
    instances: Vec<Instance>,
    random: fastrand::Rng,
    /// No process starts before this.
    next_start: Time,
    roll: Option<Roll>,
    stopping: bool,
    finished: bool,
}

impl Supervisor {
    /// A supervisor of this many instances, none of which runs yet as far as it knows; they start one after the
    /// other from `now` on.
    pub fn new(policy: Policy, instances: usize, seed: u64, now: Time) -> Self {
        let instance = Instance {
            phase: Phase::Waiting { until: now },
            release: ReleaseId::default(),
            deaths: 0,
            starts: 0,
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

    /// What an instance is doing.
    pub fn phase(&self, id: InstanceId) -> &Phase {
        &self.instances[id.0].phase
    }

    /// How often an instance has been started by this supervisor.
    pub fn starts(&self, id: InstanceId) -> u64 {
        self.instances[id.0].starts
    }

    /// The program that an instance runs, or will.
    pub fn release(&self, id: InstanceId) -> ReleaseId {
        self.instances[id.0].release
    }

    /// How far a roll has come: instances renewed, and all that are to be.
    pub fn roll(&self) -> Option<(usize, usize)> {
        self.roll.as_ref().map(Roll::progress)
    }

    /// It has been told to stop.
    pub fn stopping(&self) -> bool {
        self.stopping
    }

    /// When it wants to be woken, if nothing else happens.
    pub fn next_wake(&self) -> Option<Time> {
        let due = |instance: &Instance| match instance.phase {
            Phase::Waiting { until } if !self.stopping => Some(until.max(self.next_start)),
            Phase::Starting { since } => Some(since + self.policy.ready_within),
            Phase::Proving { since } => Some(since + self.policy.prove_within),
            Phase::Stopping { since, killed: false } => Some(since + self.policy.stop_within),
            _ => None,
        };
        self.instances.iter().filter_map(due).min()
    }

    /// Takes in what has happened and says what to do.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Adopted(id) => {
                let instance = &mut self.instances[id.0];
                if matches!(instance.phase, Phase::Waiting { .. }) {
                    instance.phase = Phase::Starting { since: now };
                }
                // Whoever is told of one may be told of more: a start now could be the second of the next.
                return;
            }
            Event::Ready(id) => self.ready(now, id, actions),
            Event::Proved(id) => self.proved(now, id),
            Event::Disproved(id, why) => {
                if matches!(self.instances[id.0].phase, Phase::Proving { .. }) {
                    self.unfit(now, id, format!("is ready and does not serve: {why}"), actions);
                }
            }
            Event::NotStarted(id, why) => self.gone(now, id, format!("cannot be started: {why}"), actions),
            Event::Exited(id, how) => self.gone(now, id, how, actions),
            Event::Command(command) => self.command(now, command, actions),
            Event::Tick => {}
        }
        self.look(now, actions);
    }

    fn command(&mut self, now: Time, command: Command, actions: &mut Vec<Action>) {
        if self.stopping && command != Command::Stop {
            return actions.push(Action::Refused("the fleet is stopping".into()));
        }
        match command {
            Command::Reload => {
                let running = |i: &Instance| i.phase.running() && !matches!(i.phase, Phase::Stopping { .. });
                let all = self.instances.iter().enumerate().filter(|(_, i)| running(i));
                actions.extend(all.map(|(place, _)| Action::Reload(InstanceId(place))));
            }
            Command::Roll(release) => {
                if let Some((done, all)) = self.roll() {
                    return actions.push(Action::Refused(format!("a roll is under way ({done} of {all})")));
                }
                for (place, instance) in self.instances.iter_mut().enumerate() {
                    // Whoever gave up on an instance asks for it once more.
                    if matches!(instance.phase, Phase::Failed { .. }) {
                        actions.push(Action::Log(format!("instance {place} is tried again")));
                        instance.deaths = 0;
                        instance.phase = Phase::Waiting { until: now };
                    }
                }
                let ids = (0..self.instances.len()).map(InstanceId);
                self.roll = Some(Roll::new(ids, release));
            }
            Command::Stop => {
                self.stopping = true;
                self.end_roll(Err("the fleet was told to stop".into()), actions);
                for place in 0..self.instances.len() {
                    match self.instances[place].phase {
                        Phase::Waiting { .. } | Phase::Failed { .. } => {
                            self.instances[place].phase = Phase::Stopped;
                        }
                        _ => self.terminate(now, InstanceId(place), actions),
                    }
                }
            }
        }
    }

    fn ready(&mut self, now: Time, id: InstanceId, actions: &mut Vec<Action>) {
        let instance = &mut self.instances[id.0];
        if matches!(instance.phase, Phase::Starting { .. }) {
            instance.phase = Phase::Proving { since: now };
            actions.push(Action::Prove(id));
        }
    }

    fn proved(&mut self, now: Time, id: InstanceId) {
        let instance = &mut self.instances[id.0];
        if matches!(instance.phase, Phase::Proving { .. }) {
            instance.phase = Phase::Ready { since: now };
            if let Some(roll) = &mut self.roll {
                roll.renewed(id);
            }
        }
    }

    /// An instance runs and is of no use: it ends, and the roll with it if it was that one's turn.
    fn unfit(&mut self, now: Time, id: InstanceId, why: String, actions: &mut Vec<Action>) {
        actions.push(Action::Log(format!("instance {} {why}", id.0)));
        self.fail_roll(id, &why, actions);
        self.instances[id.0].deaths += 1;
        self.terminate(now, id, actions);
    }

    fn terminate(&mut self, now: Time, id: InstanceId, actions: &mut Vec<Action>) {
        let instance = &mut self.instances[id.0];
        if instance.phase.running() && !matches!(instance.phase, Phase::Stopping { .. }) {
            instance.phase = Phase::Stopping { since: now, killed: false };
            actions.push(Action::Terminate(id));
        }
    }

    /// The process has ended, or never was.
    fn gone(&mut self, now: Time, id: InstanceId, how: String, actions: &mut Vec<Action>) {
        let phase = self.instances[id.0].phase.clone();
        if !phase.running() {
            return;
        }
        if self.stopping {
            self.instances[id.0].phase = Phase::Stopped;
            return;
        }
        let told = matches!(phase, Phase::Stopping { .. });
        if told && self.roll.as_mut().is_some_and(|roll| roll.ended(id)) {
            let release = self.roll.as_ref().and_then(Roll::release);
            let instance = &mut self.instances[id.0];
            instance.release = release.unwrap_or(instance.release);
            instance.deaths = 0;
            instance.phase = Phase::Waiting { until: now };
            return;
        }
        if !told {
            self.fail_roll(id, &how, actions);
            let forgive = self.policy.restart.forgive_after;
            let instance = &mut self.instances[id.0];
            if matches!(phase, Phase::Ready { since } if now.saturating_sub(since) >= forgive) {
                instance.deaths = 0;
            }
            instance.deaths += 1;
            actions.push(Action::Log(format!("instance {} has died: {how}", id.0)));
        }
        let instance = &mut self.instances[id.0];
        if instance.deaths > self.policy.restart.limit {
            actions.push(Action::Log(format!(
                "instance {} has failed {} times in a row",
                id.0, instance.deaths
            )));
            instance.phase = Phase::Failed { why: how };
            return;
        }
        // One whose roll ended while it was on its way down has done nothing wrong.
        let pause = match instance.deaths {
            0 => Duration::ZERO,
            deaths => self.policy.restart.pause(deaths, self.random.f64()),
        };
        instance.phase = Phase::Waiting { until: now + pause };
    }

    /// If it was this instance's turn, the roll ends, and it goes back to the program that it had.
    fn fail_roll(&mut self, id: InstanceId, why: &str, actions: &mut Vec<Action>) {
        let Some(before) = self.roll.as_ref().and_then(|roll| roll.turn_of(id)) else { return };
        self.instances[id.0].release = before;
        self.end_roll(Err(format!("instance {} {why}", id.0)), actions);
    }

    fn end_roll(&mut self, how: Result<(), String>, actions: &mut Vec<Action>) {
        if self.roll.take().is_some() {
            actions.push(Action::RollEnded(how));
        }
    }

    /// What is due by now.
    fn look(&mut self, now: Time, actions: &mut Vec<Action>) {
        for place in 0..self.instances.len() {
            let id = InstanceId(place);
            match self.instances[place].phase {
                Phase::Starting { since } if now >= since + self.policy.ready_within => {
                    self.unfit(now, id, "did not become ready".into(), actions);
                }
                Phase::Proving { since } if now >= since + self.policy.prove_within => {
                    self.unfit(now, id, "is ready and was not proved to serve".into(), actions);
                }
                Phase::Stopping { since, killed: false } if now >= since + self.policy.stop_within => {
                    self.instances[place].phase = Phase::Stopping { since, killed: true };
                    actions.push(Action::Log(format!("instance {place} does not end; it is killed")));
                    actions.push(Action::Kill(id));
                }
                _ => {}
            }
        }
        self.go_on_rolling(now, actions);
        self.start_next(now, actions);
        let at_rest = |i: &Instance| matches!(i.phase, Phase::Stopped);
        if self.stopping && !self.finished && self.instances.iter().all(at_rest) {
            self.finished = true;
            actions.push(Action::Finished);
        }
    }

    fn go_on_rolling(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some(roll) = &mut self.roll {
            if roll.done() {
                return self.end_roll(Ok(()), actions);
            }
            // One that is down by itself, or coming up, counts against the number that may be down.
            let down = |i: &Instance| !matches!(i.phase, Phase::Ready { .. } | Phase::Failed { .. });
            let down = self.instances.iter().filter(|i| down(i)).count();
            if down >= self.policy.roll_at_once {
                return;
            }
            let Some(id) = roll.next() else { return };
            let instance = &self.instances[id.0];
            match instance.phase {
                Phase::Ready { .. } => {
                    roll.begin(id, instance.release);
                    self.terminate(now, id, actions);
                }
                // One that has failed is not renewed, and one that is down waits for the number that may be down.
                Phase::Failed { .. } => roll.skip(),
                _ => return,
            }
        }
    }

    /// Starts what is due, the longest due first, one at a time.
    fn start_next(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.stopping {
            return;
        }
        while now >= self.next_start {
            let due = |(place, i): (usize, &Instance)| match i.phase {
                Phase::Waiting { until } if until <= now => Some((until, place)),
                _ => None,
            };
            let Some((_, place)) = self.instances.iter().enumerate().filter_map(due).min() else { return };
            let instance = &mut self.instances[place];
            instance.phase = Phase::Starting { since: now };
            instance.starts += 1;
            actions.push(Action::Start(InstanceId(place), instance.release));
            self.next_start = now + self.policy.start_every;
        }
    }
}
