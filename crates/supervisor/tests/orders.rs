//! Runs the supervisor through thousands of seeded random orders of exits, readiness, commands and time. The checks use
//! the simulated processes and the rules of the policy, not the supervisor's own states except for failed and waiting
//! instances.

mod machine;

use bellcroft_supervisor::*;
use machine::{Machine, Process, MS};
use std::time::Duration;

#[test]
fn fleet_without_failures_starts_rolls_and_stops() {
    let mut machine = Machine::new(1, 50, Policy::default(), 0);
    machine.advance(Duration::from_secs(3));
    assert_eq!(machine.serving(), 50);
    machine.roll(ReleaseId(1));
    machine.advance(Duration::from_secs(60));
    assert_eq!(machine.rolls, [Ok(())]);
    assert_eq!(machine.serving(), 50);
    machine.stop();
}

#[test]
fn random_event_orders_violate_no_rule() {
    let (mut complete, mut failed) = (0, 0);
    for seed in 0..2000 {
        let mut choice = fastrand::Rng::with_seed(seed);
        let instances = choice.usize(1..8);
        let restart = Restart { max: MS * choice.u32(500..2500), ..Restart::default() };
        let policy = Policy { roll_at_once: choice.usize(1..4), restart, ..Policy::default() };
        let exit_percent = choice.u64(0..60);
        let mut machine = Machine::new(seed, instances, policy, exit_percent);
        machine.unsupported = choice.bool().then_some(ReleaseId(2));
        // Some instances run already, started by an earlier supervisor. All of these processes exist before the first
        // event.
        let adopted: Vec<usize> = (0..instances).filter(|_| choice.u8(0..4) == 0).collect();
        for &index in &adopted {
            machine.processes[index] = Some(Process {
                release: ReleaseId(0),
                ready_at: Some(MS * 20),
                exits_at: None,
                exits_on_sigterm: true,
                can_serve: true,
                reported_ready: false,
                check_finishes_at: None,
                serving: false,
                terminated_at: None,
            });
        }
        for index in adopted {
            machine.handle(Event::Adopted(InstanceId(index)));
        }
        for _ in 0..choice.usize(1..6) {
            machine.advance(Duration::from_millis(choice.u64(0..15_000)));
            match choice.u8(0..4) {
                0 => machine.handle(Event::Command(Command::Reload)),
                1 | 2 => machine.roll(ReleaseId(choice.usize(0..3))),
                _ => {}
            }
        }
        machine.stop();
        complete += machine.rolls.iter().filter(|r| r.is_ok()).count();
        failed += machine.rolls.iter().filter(|r| r.is_err()).count();
    }
    // The seeds must cover both complete and failed rolls.
    assert!(complete > 200 && failed > 200, "{complete} rolls are complete, {failed} failed");
}

#[test]
fn roll_to_unusable_program_stops_and_rolls_back() {
    let mut machine = Machine::new(7, 10, Policy::default(), 0);
    machine.bad_release = Some(ReleaseId(1));
    machine.advance(Duration::from_secs(3));
    machine.roll(ReleaseId(1));
    machine.advance(Duration::from_secs(10));
    let reason = machine.rolls[0].clone().expect_err("the roll stops").to_string();
    assert!(reason.contains("instance 0") && reason.contains("does not respond"), "{reason}");
    assert_eq!(machine.serving(), 10, "all instances serve again with their previous program");
    assert!(machine.processes.iter().flatten().all(|p| p.release == ReleaseId(0)));
    machine.stop();
}

#[test]
fn instance_that_keeps_exiting_fails_and_others_serve() {
    let policy = Policy::default();
    let mut machine = Machine::new(3, 3, policy.clone(), 0);
    machine.advance(Duration::from_secs(1));
    let mut exits = 0;
    for _ in 0..4000 {
        machine.advance(MS * 50);
        if machine.processes[1].is_some() {
            machine.exit(1, "exit status 101", true);
            exits += 1;
        }
    }
    assert_eq!(exits, policy.restart.limit + 1);
    assert!(
        matches!(machine.supervisor.phase(InstanceId(1)), Phase::Failed { reason } if reason.contains("101"))
    );
    assert_eq!(machine.serving(), 2);
    // A roll retries the failed instance.
    machine.roll(ReleaseId(1));
    machine.advance(Duration::from_secs(10));
    assert_eq!(machine.serving(), 3);
    machine.stop();
}

/// Guards against sockets that stay open and unread while the instances of a large fleet start one after the other.
#[test]
fn processes_that_exit_at_once_leave_no_socket_unread() {
    const INSTANCES: usize = 100;
    let mut machine = Machine::new(6, INSTANCES, Policy::default(), 0);
    machine.advance(Duration::from_secs(4));
    assert_eq!(machine.serving(), INSTANCES);
    (0..INSTANCES).for_each(|index| machine.exit(index, "killed", true));
    machine.advance(MS);
    let open = machine.listening.iter().filter(|listening| **listening).count();
    assert!(open > 0 && open < INSTANCES, "{open} sockets are open");
    machine.advance(Duration::from_secs(5));
    assert_eq!(machine.serving(), INSTANCES);
    machine.stop();
}

#[test]
fn second_roll_and_commands_after_stop_are_refused() {
    let mut machine = Machine::new(4, 20, Policy::default(), 0);
    machine.advance(Duration::from_secs(3));
    machine.roll(ReleaseId(1));
    machine.advance(MS * 100);
    machine.roll(ReleaseId(2));
    assert_eq!(machine.refused, 1);
    machine.stopped_at = Some(machine.now);
    machine.handle(Event::Command(Command::Stop));
    assert_eq!(machine.rolls.len(), 1, "the roll has ended");
    machine.handle(Event::Command(Command::Reload));
    assert_eq!(machine.refused, 2);
    machine.advance(Duration::from_secs(11));
    assert!(machine.finished);
}

#[test]
fn process_ignoring_sigterm_is_killed_after_stop_within() {
    let mut machine = Machine::new(5, 1, Policy::default(), 0);
    machine.advance(Duration::from_secs(1));
    machine.processes[0].as_mut().expect("the process runs").exits_on_sigterm = false;
    machine.stopped_at = Some(machine.now);
    machine.handle(Event::Command(Command::Stop));
    machine.advance(machine.policy.stop_within - MS * 10);
    assert!(machine.processes[0].is_some(), "the process is not killed before stop_within");
    machine.advance(MS * 50);
    assert!(machine.finished && machine.processes[0].is_none());
}
