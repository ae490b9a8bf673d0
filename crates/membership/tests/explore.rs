//! Model checking of the update rules with three members. Each update may be delivered to any member, at any time, in
//! any order, repeatedly or never; probes of running members may fail; members crash and restart, also with a clock
//! that was set back. The rules are those of the crate ([`compare`], [`refute`]); the environment and the properties
//! are defined here.

use bellcroft_membership::{compare, refute, Claim, Incarnation, Known, Precedence, State};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// A member's knowledge of another member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Entry {
    incarnation: Incarnation,
    state: State,
    /// Whether the other member has acked a ping in this epoch.
    acked: bool,
    /// Latest incarnation that was ever known.
    highest: Incarnation,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Member {
    running: bool,
    incarnation: Incarnation,
    view: Vec<Entry>,
}

/// An update that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Report {
    reporter: usize,
    subject: usize,
    incarnation: Incarnation,
    state: State,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    members: Vec<Member>,
    /// All updates that were ever sent; each may still be delivered.
    sent: BTreeSet<Report>,
    /// All epochs of each member, former ones included.
    epochs: Vec<BTreeSet<u64>>,
    probe_failures: usize,
    restarts: usize,
}

#[derive(Debug, Clone, PartialEq)]
enum Action {
    Deliver {
        to: usize,
        report: Report,
    },
    /// A probe fails, whether or not its target is running.
    FailProbe {
        by: usize,
        target: usize,
    },
    /// A probe is acked.
    Ack {
        by: usize,
        target: usize,
    },
    Kill(usize),
    /// A member restarts without state. Its clock is later than the start of its former process, or set back before it.
    Restart {
        number: usize,
        clock_set_back: bool,
    },
}

/// A rule that the model leaves out, to show that a property depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Omitted {
    Nothing,
    /// A member refutes accusations of its own incarnation.
    Refutation,
    /// A member chooses a later epoch than that of a former process with its number.
    EpochAdvance,
    /// Updates of earlier incarnations are ignored.
    IncarnationOrder,
}

struct Rules {
    members: usize,
    max_probe_failures: usize,
    max_restarts: usize,
    omitted: Omitted,
}

/// The epoch of each member at the start.
const FIRST_EPOCH: u64 = 10;
/// The difference between a restarted member's epoch and its former one, in either direction.
const CLOCK_STEP: u64 = 3;

impl Rules {
    fn refutation(&self, own: Incarnation, claim: Claim) -> Option<Incarnation> {
        match self.omitted {
            Omitted::Refutation if claim.incarnation.epoch == own.epoch => None,
            Omitted::EpochAdvance if claim.incarnation.epoch > own.epoch => None,
            _ => refute(own, claim),
        }
    }

    fn send(world: &mut World, reporter: usize, subject: usize) {
        let member = &world.members[reporter];
        let (incarnation, state) = if reporter == subject {
            (member.incarnation, State::Alive)
        } else {
            (member.view[subject].incarnation, member.view[subject].state)
        };
        if state != State::Absent {
            world.sent.insert(Report { reporter, subject, incarnation, state });
        }
    }

    fn set(world: &mut World, by: usize, subject: usize, known: Known) {
        let Known { incarnation, state, acked } = known;
        let highest = world.members[by].view[subject].highest.max(incarnation);
        world.members[by].view[subject] = Entry { incarnation, state, acked, highest };
        Self::send(world, by, subject);
    }

    fn deliver(&self, world: &mut World, to: usize, report: Report) {
        let Report { reporter, subject, incarnation, state } = report;
        let claim = Claim { incarnation, state };
        if subject == to {
            if let Some(refuting) = self.refutation(world.members[to].incarnation, claim) {
                world.members[to].incarnation = refuting;
                world.epochs[to].insert(refuting.epoch);
                Self::send(world, to, to);
            }
            return;
        }
        let Entry { incarnation: latest, state: known_state, acked, .. } = world.members[to].view[subject];
        let compared =
            if self.omitted == Omitted::IncarnationOrder { Incarnation::default() } else { latest };
        let known = Known { incarnation: compared, state: known_state, acked };
        match compare(known, claim, reporter == subject) {
            Precedence::Ignored => {}
            Precedence::Alive => {
                Self::set(world, to, subject, Known { incarnation, state: State::Alive, acked: false });
            }
            Precedence::Left => {
                Self::set(world, to, subject, Known { incarnation, state: State::Left, acked });
            }
            Precedence::Suspect if known_state == State::Alive => {
                Self::set(world, to, subject, Known { incarnation: latest, state: State::Suspect, acked });
            }
            Precedence::Suspect => {}
        }
    }

    /// An ack of a probe, or of a reconnect ping to a member whose known state is dead. The target first processes the
    /// update about itself that the ping carries, then acks with its incarnation. A ping alone is not evidence, as it
    /// may be old.
    fn ack(&self, world: &mut World, by: usize, target: usize) {
        let known = world.members[by].view[target];
        if known.state != State::Absent {
            let report =
                Report { reporter: by, subject: target, incarnation: known.incarnation, state: known.state };
            self.deliver(world, target, report);
        }
        let incarnation = world.members[target].incarnation;
        if incarnation > known.incarnation || (incarnation == known.incarnation && known.state.is_reachable())
        {
            Self::set(world, by, target, Known { incarnation, state: State::Alive, acked: true });
        }
    }

    fn fail_probe(world: &mut World, by: usize, target: usize) {
        let Entry { incarnation, state, acked, .. } = world.members[by].view[target];
        let next = match state {
            State::Alive => State::Suspect,
            State::Suspect => State::Dead,
            _ => return,
        };
        Self::set(world, by, target, Known { incarnation, state: next, acked });
    }

    /// The world after a time without faults: each update is delivered to all other running members, then exactly the
    /// running members ack probes.
    fn settle(&self, world: &World) -> World {
        let mut world = world.clone();
        for _ in 0..2 {
            for report in world.sent.clone() {
                for to in self.running(&world).into_iter().filter(|to| *to != report.reporter) {
                    self.deliver(&mut world, to, report);
                }
            }
        }
        for _ in 0..3 {
            for by in self.running(&world) {
                for target in (0..self.members).filter(|target| *target != by) {
                    if world.members[target].running {
                        self.ack(&mut world, by, target);
                    } else {
                        Self::fail_probe(&mut world, by, target);
                    }
                }
            }
        }
        world
    }

    fn running(&self, world: &World) -> Vec<usize> {
        (0..self.members).filter(|number| world.members[*number].running).collect()
    }
}

impl Model for Rules {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        let first = Incarnation { epoch: FIRST_EPOCH, counter: 0 };
        let entry = Entry { incarnation: first, state: State::Alive, acked: true, highest: first };
        let member = Member { running: true, incarnation: first, view: vec![entry; self.members] };
        vec![World {
            members: vec![member; self.members],
            sent: BTreeSet::new(),
            epochs: vec![BTreeSet::from([FIRST_EPOCH]); self.members],
            probe_failures: 0,
            restarts: 0,
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        for by in self.running(world) {
            let reports = world.sent.iter().filter(|report| report.reporter != by);
            actions.extend(reports.map(|report| Action::Deliver { to: by, report: *report }));
            for target in (0..self.members).filter(|target| *target != by) {
                if world.probe_failures < self.max_probe_failures {
                    actions.push(Action::FailProbe { by, target });
                }
                if world.members[target].running {
                    actions.push(Action::Ack { by, target });
                }
            }
        }
        // Only member 0 restarts, as the members are symmetric.
        if world.restarts < self.max_restarts {
            if world.members[0].running {
                actions.push(Action::Kill(0));
            } else {
                let restart = |clock_set_back| Action::Restart { number: 0, clock_set_back };
                actions.extend([false, true].map(restart));
            }
        }
    }

    fn next_state(&self, last: &World, action: Action) -> Option<World> {
        let mut world = last.clone();
        match action {
            Action::Deliver { to, report } => self.deliver(&mut world, to, report),
            Action::FailProbe { by, target } => {
                world.probe_failures += 1;
                Self::fail_probe(&mut world, by, target);
            }
            Action::Ack { by, target } => self.ack(&mut world, by, target),
            Action::Kill(number) => world.members[number].running = false,
            Action::Restart { number, clock_set_back } => {
                world.restarts += 1;
                let former = world.members[number].incarnation.epoch;
                let epoch = if clock_set_back { former - CLOCK_STEP } else { former + CLOCK_STEP };
                let unknown = Incarnation::default();
                let entry =
                    Entry { incarnation: unknown, state: State::Absent, acked: false, highest: unknown };
                world.members[number] = Member {
                    running: true,
                    incarnation: Incarnation { epoch, counter: 0 },
                    view: vec![entry; self.members],
                };
                world.epochs[number].insert(epoch);
                Self::send(&mut world, number, number);
            }
        }
        (world != *last).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always(ONLY_TRUE_EPOCHS, |_, world| {
                let is_true = |subject: usize, entry: &Entry| {
                    entry.state == State::Absent || world.epochs[subject].contains(&entry.incarnation.epoch)
                };
                let mut views = world.members.iter().map(|member| member.view.iter().enumerate());
                views.all(|mut view| view.all(|(subject, entry)| is_true(subject, entry)))
            }),
            Property::<Self>::always(MONOTONIC_VIEWS, |_, world| {
                let mut entries = world.members.iter().flat_map(|member| &member.view);
                entries.all(|entry| entry.incarnation == entry.highest)
            }),
            Property::<Self>::always(CONVERGENCE, |rules, world| {
                let settled = rules.settle(world);
                rules.running(&settled).into_iter().all(|by| {
                    let mut others = (0..rules.members).filter(|subject| *subject != by);
                    others.all(|subject| is_correct(&settled, by, subject))
                })
            }),
        ]
    }
}

const ONLY_TRUE_EPOCHS: &str = "views contain only epochs that their members had";
const MONOTONIC_VIEWS: &str = "no view reverts to an earlier incarnation";
const CONVERGENCE: &str = "views are correct after a time without faults";

fn is_correct(world: &World, by: usize, subject: usize) -> bool {
    let entry = world.members[by].view[subject];
    let subject = &world.members[subject];
    if subject.running {
        entry.state == State::Alive && entry.incarnation == subject.incarnation
    } else {
        matches!(entry.state, State::Dead | State::Left | State::Absent)
    }
}

/// The result of a search.
struct Exploration {
    states: usize,
    depth: usize,
    violated: Vec<&'static str>,
}

fn explore(rules: Rules, max_depth: usize) -> Exploration {
    let checker = rules.checker().threads(1).target_max_depth(max_depth).spawn_bfs().join();
    let mut violated: Vec<&'static str> = checker.discoveries().into_keys().collect();
    violated.sort_unstable();
    Exploration { states: checker.unique_state_count(), depth: checker.max_depth(), violated }
}

#[test]
fn properties_hold_in_every_order_of_updates() {
    let rules = Rules { members: 3, max_probe_failures: 2, max_restarts: 1, omitted: Omitted::Nothing };
    let Exploration { states, depth, violated } = explore(rules, 8);
    println!("{states} states, depth {depth}");
    assert_eq!(violated, Vec::<&str>::new());
    assert!(states > 20_000, "{states}");
}

#[test]
#[ignore = "takes minutes: cargo test --release -p bellcroft-membership --test explore -- --ignored --nocapture"]
fn properties_hold_deeper_and_with_four_members() {
    for (members, max_probe_failures, max_restarts, max_depth) in [(3, 2, 2, 10), (3, 3, 1, 10), (4, 2, 1, 8)]
    {
        let rules = Rules { members, max_probe_failures, max_restarts, omitted: Omitted::Nothing };
        let Exploration { states, depth, violated } = explore(rules, max_depth);
        println!(
            "{members} members, {max_probe_failures} probe failures, {max_restarts} restarts: {states} states, depth {depth}"
        );
        assert_eq!(violated, Vec::<&str>::new());
    }
}

#[test]
fn each_omitted_rule_violates_its_property() {
    let cases = [
        (Omitted::Refutation, CONVERGENCE),
        (Omitted::EpochAdvance, CONVERGENCE),
        (Omitted::IncarnationOrder, MONOTONIC_VIEWS),
    ];
    for (omitted, expected) in cases {
        let rules = Rules { members: 3, max_probe_failures: 2, max_restarts: 1, omitted };
        let violated = explore(rules, 8).violated;
        assert!(violated.contains(&expected), "{omitted:?}: {violated:?}");
    }
}
