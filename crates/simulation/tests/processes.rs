//! Instances that are killed, stand still and start again in the model, and links that are faulty.

mod common;

use bellcroft_simulation::*;
use common::{at, desk, slow};

fn played(troubles: Vec<Trouble>) -> Outcome {
    let scenario = Scenario { troubles, ..desk(10, 4, 200.0, 0.1) };
    play(&scenario, Policy::Module, 5).expect("it plays")
}

fn sum(outcome: &Outcome, of: fn(&ClassOutcome) -> u64) -> u64 {
    outcome.classes.iter().map(of).sum()
}

fn unbroken(outcome: &Outcome) {
    assert_eq!(outcome.broken, Vec::new(), "no rule is broken");
}

#[test]
fn a_killed_instance_s_clients_stop_with_it_and_come_back_with_its_start() {
    let calm = played(Vec::new());
    let gone = played(vec![at(2.0, What::Kill { instances: vec![0, 1, 2, 3, 4] })]);
    let back = played(vec![
        at(2.0, What::Kill { instances: vec![0, 1, 2, 3, 4] }),
        at(4.0, What::Restart { instances: vec![0, 1, 2, 3, 4] }),
    ]);
    [&calm, &gone, &back].into_iter().for_each(unbroken);
    let asked = |outcome: &Outcome| sum(outcome, |c| c.asked) as f64 / sum(&calm, |c| c.asked) as f64;
    assert!((asked(&gone) - 0.6).abs() < 0.06, "half of them ask for two of ten seconds: {}", asked(&gone));
    assert!((asked(&back) - 0.9).abs() < 0.06, "and for eight: {}", asked(&back));
    assert!(sum(&back, |c| c.served) > sum(&gone, |c| c.served));
}

#[test]
fn an_instance_that_stands_still_answers_what_waited_when_it_goes_on() {
    let still = |until: f64| {
        played(vec![
            at(3.0, What::Stop { instances: vec![0, 1], on: true }),
            at(until, What::Stop { instances: vec![0, 1], on: false }),
        ])
    };
    let (short, long) = (still(3.3), still(7.0));
    unbroken(&short);
    unbroken(&long);
    assert!(sum(&short, |c| c.in_wanted) > sum(&long, |c| c.in_wanted) + 50);
    assert!(sum(&short, |c| c.asked) == sum(&long, |c| c.asked), "its clients don't stop");
}

#[test]
fn a_cut_or_slow_link_to_a_server_is_gone_round_and_a_healed_one_is_used_again() {
    let link = |fault: LinkFault| {
        let (from, to) = (vec![Place::Instance(None)], vec![Place::Server(Some(0))]);
        played(vec![
            at(2.0, What::Link { from: from.clone(), to: to.clone(), link: fault }),
            at(5.0, What::Link { from, to, link: LinkFault::default() }),
        ])
    };
    let calm = played(Vec::new());
    let cut = link(LinkFault { cut: true, ..LinkFault::default() });
    let slow = link(LinkFault { delay: 0.3, ..LinkFault::default() });
    for (name, outcome) in [("cut", &cut), ("slow", &slow)] {
        unbroken(outcome);
        assert!(
            outcome.wanted_share > 0.85 && outcome.wanted_share < calm.wanted_share,
            "{name}: {}",
            outcome.wanted_share
        );
    }
    let part = |outcome: &Outcome| outcome.by_server[0] as f64 / outcome.by_server.iter().sum::<u64>() as f64;
    assert!(
        part(&cut) < 0.9 * part(&calm) && part(&cut) > 0.3 * part(&calm),
        "{} of {}",
        part(&cut),
        part(&calm)
    );
}

#[test]
fn whom_no_discovery_reaches_hears_of_a_drain_when_it_is_reached_again() {
    let (from, to) = (vec![Place::Discovery], vec![Place::Instance(Some(0))]);
    let cut = LinkFault { cut: true, ..LinkFault::default() };
    let outcome = played(vec![
        at(2.0, What::Link { from: from.clone(), to: to.clone(), link: cut }),
        at(2.5, What::Drain { servers: vec![1] }),
        at(6.0, What::Link { from, to, link: LinkFault::default() }),
    ]);
    unbroken(&outcome);
    assert!(outcome.wanted_share > 0.9);
}

#[test]
fn the_same_troubles_and_seed_are_the_same_run() {
    let troubles = || {
        let mut all = slow(0..1, 1.5, 2.5);
        all.extend([
            at(1.0, What::Kill { instances: vec![3] }),
            at(2.0, What::Stop { instances: vec![4], on: true }),
            at(3.0, What::Restart { instances: vec![3] }),
            at(4.0, What::Stop { instances: vec![4], on: false }),
        ]);
        all
    };
    assert_eq!(played(troubles()), played(troubles()));
}
