//! What many instances believe, each of which asks seldom: it follows the truth of the moment, in a jam, a cut, and when
//! either is over.

mod common;

use bellcroft_simulation::*;
use common::{at, desk, slow};

/// 16 servers, 58% busy; by the instances, each asks twice a second or often.
fn fleet(instances: usize, seconds: f64, troubles: Vec<Trouble>) -> Scenario {
    Scenario { seconds, warm_up: 1.0, troubles, ..desk(instances, 16, 1450.0, 0.1) }
}

/// Nothing passes from one zone to another for a while.
fn one_way(from: usize, to: usize, begin: f64, end: f64) -> Vec<Trouble> {
    vec![at(begin, What::Cut { from, to, on: true }), at(end, What::Cut { from, to, on: false })]
}

/// Nor back.
fn cut(a: usize, b: usize, begin: f64, end: f64) -> Vec<Trouble> {
    [one_way(a, b, begin, end), one_way(b, a, begin, end)].concat()
}

fn run(scenario: &Scenario, seed: u64) -> Outcome {
    let outcome = play(scenario, Policy::Module, seed).expect("it plays");
    assert_eq!(outcome.breaches, Breaches::default(), "{:?}", outcome.broken);
    outcome
}

/// Shares in percent of what came in these seconds of the run: refused, and served in the wanted time.
fn shares(outcome: &Outcome, seconds: std::ops::Range<usize>) -> (f64, f64) {
    let own = &outcome.seconds[seconds];
    let sum = |of: fn(&Second) -> u64| own.iter().map(of).sum::<u64>() as f64;
    let asked = sum(|s| s.asked);
    assert!(asked > 500.0, "{asked}");
    (100.0 * sum(|s| s.refused) / asked, 100.0 * sum(|s| s.in_wanted) / asked)
}

#[test]
fn refusals_follow_a_brown_out_and_end_with_it_at_any_size() {
    for instances in [32, 160, 800] {
        let outcome = run(&fleet(instances, 12.0, slow(0..16, 3.0, 8.0)), 1);
        let (refused, _) = shares(&outcome, 4..8);
        assert!(refused > 20.0, "{instances}: {refused:.1}% refused in a jam of twice the capacity");
        let (after, wanted) = shares(&outcome, 10..12);
        assert!(after < 1.0 && wanted > 99.0, "{instances}: {after:.1}% refused after it, {wanted:.1}%");
        let (before, _) = shares(&outcome, 1..3);
        assert!(before < 0.1, "{instances}: {before:.1}% refused before it");
    }
}

#[test]
fn a_brown_out_that_comes_and_goes_leaves_its_pauses_open() {
    let troubles = (0..4).flat_map(|n| slow(0..16, 2.0 + 4.0 * f64::from(n), 4.0 + 4.0 * f64::from(n)));
    let outcome = run(&fleet(800, 18.0, troubles.collect()), 2);
    for pause in [5, 9, 13, 17] {
        let (refused, wanted) = shares(&outcome, pause..pause + 1);
        assert!(refused < 10.0 && wanted > 85.0, "second {pause}: {refused:.1}% refused, {wanted:.1}%");
    }
}

#[test]
fn a_brown_out_of_half_of_the_fleet_sends_work_to_the_other_half() {
    let outcome = run(&fleet(32, 12.0, slow(0..8, 3.0, 9.0)), 3);
    let (_, wanted) = shares(&outcome, 5..9);
    // A half at a quarter of its speed and a half at full speed can do 107% of what is asked for.
    assert!(wanted > 60.0, "{wanted:.1}%");
    let (refused, wanted) = shares(&outcome, 11..12);
    assert!(refused < 1.0 && wanted > 99.0, "{refused:.1}% refused, {wanted:.1}%");
}

#[test]
fn a_cut_building_costs_each_instance_next_to_nothing() {
    for (instances, least) in [(32, 97.0), (160, 96.0), (800, 94.0)] {
        let outcome = run(&fleet(instances, 15.0, cut(0, 1, 3.0, 11.0)), 4);
        let (_, wanted) = shares(&outcome, 3..11);
        assert!(wanted > least, "{instances}: {wanted:.1}% in the cut");
        let (refused, wanted) = shares(&outcome, 12..15);
        assert!(refused < 0.5 && wanted > 99.0, "{instances}: {refused:.1}% refused after it, {wanted:.1}%");
        // Back in use: the servers are taken in turn by zone, and each zone's have half of the whole again.
        let far: u64 = outcome.by_server.iter().skip(1).step_by(2).sum();
        let all: u64 = outcome.by_server.iter().sum();
        assert!((0.4..0.6).contains(&(far as f64 / all as f64)));
    }
}

#[test]
fn a_cut_in_one_direction_is_a_cut() {
    let troubles = one_way(0, 1, 3.0, 11.0);
    for instances in [32, 800] {
        let (_, wanted) = shares(&run(&fleet(instances, 13.0, troubles.clone()), 5), 3..11);
        assert!(wanted > 94.0, "{instances}: {wanted:.1}%");
    }
}

#[test]
fn buildings_that_are_cut_off_in_turn_are_each_found_and_forgotten() {
    let apart = |zone: usize, from: f64, to: f64| {
        let others = (0..3).filter(move |other| *other != zone);
        others.flat_map(move |other| cut(zone, other, from, to)).collect::<Vec<_>>()
    };
    let mut scenario = fleet(240, 15.0, [apart(1, 3.0, 6.0), apart(2, 7.0, 10.0)].concat());
    (scenario.zones, scenario.servers[0].count) = (3, 18);
    let outcome = run(&scenario, 6);
    for seconds in [3..6, 7..10] {
        let (_, wanted) = shares(&outcome, seconds.clone());
        assert!(wanted > 92.0, "{seconds:?}: {wanted:.1}%");
    }
    let (refused, wanted) = shares(&outcome, 12..15);
    assert!(refused < 0.5 && wanted > 99.0, "{refused:.1}% refused, {wanted:.1}%");
}

#[test]
fn when_all_is_cut_refusals_come_at_once_and_end_at_once() {
    let troubles = [cut(0, 1, 3.0, 8.0), one_way(0, 0, 3.0, 8.0), one_way(1, 1, 3.0, 8.0)].concat();
    // Five requests a second and instance: enough to know within a second.
    let outcome = run(&fleet(290, 12.0, troubles), 7);
    let (refused, _) = shares(&outcome, 4..7);
    assert!(refused > 95.0, "{refused:.1}% refused, the rest let wait");
    let (refused, wanted) = shares(&outcome, 9..12);
    assert!(refused < 1.0 && wanted > 98.0, "{refused:.1}% refused after it, {wanted:.1}%");
}

/// All servers but two start again at the same time, cold, while every instance has long forgotten what it knew of them.
#[test]
fn beliefs_that_fade_together_push_no_cold_server_over() {
    let most: Vec<usize> = (2..16).collect();
    let troubles =
        vec![at(2.0, What::Crash { servers: most.clone() }), at(8.0, What::Start { servers: most })];
    for seed in 1..4 {
        let mut scenario = fleet(2000, 14.0, troubles.clone());
        scenario.list_delay = 0.0;
        assert_eq!(run(&scenario, seed).breaches.cold, 0);
    }
}

#[test]
fn reports_that_lie_cost_little() {
    let calm = |faults: ReportFaults| {
        let mut scenario = fleet(160, 8.0, Vec::new());
        scenario.report_faults = faults;
        shares(&run(&scenario, 8), 1..8)
    };
    let jam = |faults: ReportFaults| {
        let mut scenario = fleet(160, 12.0, slow(0..16, 3.0, 8.0));
        scenario.report_faults = faults;
        shares(&run(&scenario, 8), 10..12)
    };
    for faults in [
        ReportFaults { delay: 300.0, ..ReportFaults::default() },
        ReportFaults { missing: 0.5, ..ReportFaults::default() },
        ReportFaults { wrong: 0.5, ..ReportFaults::default() },
        ReportFaults { delay: 2.0, missing: 0.3, wrong: 0.3 },
    ] {
        let (refused, wanted) = calm(faults);
        assert!(refused < 0.1 && wanted > 99.5, "calm, {faults:?}: {refused:.1}% refused, {wanted:.1}%");
        let (refused, wanted) = jam(faults);
        assert!(
            refused < 3.0 && wanted > 96.0,
            "after a jam, {faults:?}: {refused:.1}% refused, {wanted:.1}%"
        );
    }
}

/// An open connection to each server, if the fleet is small; few, if there are more instances than a table holds.
#[test]
fn connections_are_kept_where_they_are_worth_their_place() {
    let opened = |instances| run(&fleet(instances, 6.0, Vec::new()), 9).connections as f64;
    let requests = 1450.0 * 6.0;
    assert!(opened(32) < 0.25 * requests, "{} for {requests} requests", opened(32));
    assert!(opened(800) > 0.4 * requests, "{} for {requests} requests", opened(800));
}

/// Where capacity suffices, no policy that goes by what it can know does better than one that knows all, and that one
/// breaks no rule. In a jam the oracle refuses what has no time and the module what costs most for its worth.
#[test]
fn the_oracle_bounds_what_can_be_done_where_capacity_suffices() {
    let days = [
        fleet(32, 8.0, Vec::new()),
        fleet(160, 12.0, slow(0..4, 3.0, 9.0)),
        fleet(160, 12.0, cut(0, 1, 3.0, 9.0)),
        fleet(32, 9.0, vec![at(3.0, What::Mute { servers: vec![0, 5, 6], on: true })]),
    ];
    for (day, scenario) in days.iter().enumerate() {
        let oracle = play(scenario, Policy::Oracle, 10).expect("it plays");
        assert_eq!(oracle.breaches, Breaches::default(), "{:?}", oracle.broken);
        for policy in Policy::ALL {
            let other = play(scenario, policy, 10).expect("it plays");
            let (best, own) = (oracle.wanted_share, other.wanted_share);
            assert!(own < best + 0.003, "day {day}: {policy:?} {own:.4}, oracle {best:.4}");
        }
    }
    let most: Vec<usize> = (2..16).collect();
    let restart =
        vec![at(2.0, What::Crash { servers: most.clone() }), at(4.0, What::Start { servers: most })];
    let cold = play(&fleet(32, 12.0, restart), Policy::Oracle, 10).expect("it plays");
    assert_eq!(cold.breaches, Breaches::default(), "{:?}", cold.broken);
    assert!(
        cold.by_server[2..].iter().all(|taken| *taken > 100),
        "cold servers are used: {:?}",
        cold.by_server
    );
}

/// What one instance tells others is a variant of the model, and only there.
#[test]
fn hints_pass_where_the_scenario_lets_instances_talk() {
    let mut scenario = fleet(160, 6.0, vec![at(2.0, What::Mute { servers: vec![0, 1], on: true })]);
    assert_eq!(run(&scenario, 11).hints, 0);
    scenario.peers = true;
    let with = run(&scenario, 11);
    assert!(with.hints > 100, "{}", with.hints);
}

/// Each of 800 instances meets an answer less than twice a second, and all together see a jam at once.
#[test]
fn a_digest_of_the_fleet_keeps_a_brown_out_from_being_served_late_and_ends_with_it() {
    let blind = fleet(800, 12.0, slow(0..16, 4.0, 9.0));
    let mut told = Scenario { peers: true, digest: true, ..blind.clone() };
    told.network.lost = 0.05;
    let (blind, told) = (run(&blind, 23), run(&told, 23));
    let wanted = |outcome: &Outcome| shares(outcome, 6..9).1;
    assert!(wanted(&told) > wanted(&blind) + 10.0, "{} and {}", wanted(&told), wanted(&blind));
    assert!(told.digests > 10_000 && blind.digests == 0);
    let (refused, wanted) = shares(&told, 10..12);
    assert!(refused < 1.0 && wanted > 99.0, "{refused:.1}% refused once it is over, {wanted:.1}%");
}
