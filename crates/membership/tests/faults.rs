//! One fault at a time, played between whole members: what each does to the others' views, and for how long.

mod common;

use bellcroft_balancer::Micros;
use bellcroft_membership::{Change, Membership, QuorumState, State};
use bellcroft_simulation::fleet::{address, Link, Net};
use common::*;

fn everyone(members: usize) -> Vec<usize> {
    (0..members).collect()
}

#[test]
fn one_of_twelve_that_is_killed_is_dead_to_all_within_the_bound_and_nobody_else_is() {
    for seed in 0..40 {
        let mut fleet = fleet(12, seed);
        let from = fleet.now();
        fleet.kill(5);
        let rest: Vec<usize> = (0..12).filter(|n| *n != 5).collect();
        let took = fleet.until(bound(12), |fleet| hold(fleet, &rest, &[5], dead));
        assert!(took.is_some(), "seed {seed}");
        fleet.play(seconds(10.0));
        assert!(deaths(&fleet, from).iter().all(|(_, of)| *of == 5), "seed {seed}");
        assert!(rest.iter().all(|n| stance(&fleet, *n) == QuorumState::Degraded), "seed {seed}");
    }
}

#[test]
fn ten_of_thirty_at_once_and_all_but_one() {
    for seed in 0..10 {
        let mut thirty = fleet(30, seed);
        (0..10).for_each(|n| thirty.kill(n));
        let rest: Vec<usize> = (10..30).collect();
        let gone: Vec<usize> = (0..10).collect();
        // Where a third is gone, its helpers among them, an instance doubts its own hearing for a while.
        assert!(thirty.until(bound(30) * 3.0, |f| hold(f, &rest, &gone, dead)).is_some(), "seed {seed}");
        assert!(hold(&thirty, &rest, &rest, State::is_reachable), "seed {seed}");
        assert_eq!(stance(&thirty, 20), QuorumState::Majority);

        let mut twelve = fleet(12, seed);
        (1..12).for_each(|n| twelve.kill(n));
        let quiet = config(0, 12).recovery_time() * 1.5;
        assert!(twelve.until(quiet, |f| stance(f, 0) == QuorumState::Isolated).is_some(), "seed {seed}");
        // Where nobody shares a suspicion, it is the longest; and its own hearing is in doubt.
        let all: Vec<usize> = (1..12).collect();
        assert!(twelve.until(bound(12) * 8.0, |f| hold(f, &[0], &all, dead)).is_some(), "seed {seed}");
        assert_eq!(twelve.peer(0).expect("it runs").effective_size(twelve.now()), 12);
    }
}

#[test]
fn whoever_stood_still_is_suspected_refutes_and_accuses_nobody() {
    for (seed, slept) in [(1, 1.0), (2, 5.0), (3, 30.0), (4, 5.0), (5, 30.0)] {
        let mut fleet = fleet(12, seed);
        fleet.stop(3);
        fleet.play(seconds(slept));
        let (from, sleeper) = (fleet.now(), 3);
        fleet.go_on(sleeper);
        fleet.play(seconds(0.2));
        if slept > 2.0 {
            assert_eq!(stance(&fleet, sleeper), QuorumState::Recovering, "{slept} s");
        }
        assert!(fleet.until(seconds(8.0), Net::agrees).is_some(), "{slept} s");
        let accused = |seen: &&bellcroft_simulation::fleet::Seen| {
            seen.at >= from
                && seen.by == sleeper
                && matches!(seen.change, Change::Member { to: State::Suspect | State::Dead, .. })
        };
        assert_eq!(fleet.seen.iter().filter(accused).count(), 0, "{slept} s");
        fleet.play(seconds(10.0));
        assert!(fleet.agrees(), "{slept} s");
        assert_eq!(stance(&fleet, sleeper), QuorumState::Complete);
    }
}

#[test]
fn a_fleet_that_fell_apart_for_a_minute_is_one_again_within_the_bound() {
    let all = everyone(12);
    let half: (Vec<usize>, Vec<usize>) = (all[..6].to_vec(), all[6..].to_vec());
    let cases: Vec<(&str, Vec<&[usize]>, QuorumState)> = vec![
        ("halves", vec![&half.0, &half.1], QuorumState::Minority),
        ("thirds", vec![&all[..4], &all[4..8], &all[8..]], QuorumState::Minority),
        ("one alone", vec![&all[..1], &all[1..]], QuorumState::Isolated),
        ("a third off", vec![&all[..4], &all[4..]], QuorumState::Minority),
    ];
    for (seed, (name, groups, first)) in cases.into_iter().enumerate() {
        let mut fleet = fleet(12, seed as u64);
        fleet.link = Box::new(cut(&groups));
        fleet.play(seconds(60.0));
        for (a, group) in groups.iter().enumerate() {
            for other in groups.iter().skip(a + 1) {
                assert!(hold(&fleet, group, other, dead) && hold(&fleet, other, group, dead), "{name}");
            }
            assert!(
                hold(&fleet, group, group, State::is_reachable),
                "{name}: nobody of one side is lost to it"
            );
        }
        assert_eq!(stance(&fleet, 0), first, "{name}");
        // Two halves that each think themselves the fleet would each take the whole of what all may do together.
        assert!(
            all.iter().all(|n| fleet.peer(*n).expect("it runs").effective_size(fleet.now()) == 12),
            "{name}"
        );
        fleet.link = Box::new(|_, _| Link::default());
        assert!(fleet.until(seconds(10.0), Net::agrees).is_some(), "{name}: one view again");
        fleet.play(seconds(20.0));
        assert!(fleet.agrees(), "{name}: and it stays");
        assert!(all.iter().all(|n| stance(&fleet, *n) == QuorumState::Complete), "{name}");
    }
}

#[test]
fn a_cut_that_others_can_get_round_makes_nobody_dead() {
    for seed in 0..10 {
        // A bridge: two that cannot see each other, and both see the rest.
        let mut bridge = fleet(12, seed);
        bridge.link = Box::new(|a, b| Link { cut: a + b == 1, ..Link::default() });
        let from = bridge.now();
        bridge.play(seconds(60.0));
        assert_eq!(deaths(&bridge, from), [], "bridge, seed {seed}");
        let accused = |seen: &&bellcroft_simulation::fleet::Seen| {
            seen.at >= from && matches!(seen.change, Change::Member { to: State::Suspect, .. })
        };
        assert_eq!(bridge.seen.iter().filter(accused).count(), 0, "others' answers are as good, seed {seed}");
        // One way only, between two.
        let mut one_way = fleet(12, seed);
        one_way.link = Box::new(|a, b| Link { cut: (a, b) == (0, 1), ..Link::default() });
        let from = one_way.now();
        one_way.play(seconds(60.0));
        assert_eq!(deaths(&one_way, from), [], "one way, seed {seed}");
    }
}

#[test]
fn one_that_hears_nobody_is_dead_to_the_rest_and_kills_nobody_with_its_word() {
    // It can send and not hear.
    for seed in 0..10 {
        let mut fleet = fleet(12, seed);
        let from = fleet.now();
        fleet.link = Box::new(|_, b| Link { cut: b == 4, ..Link::default() });
        fleet.play(seconds(60.0));
        let of_others = deaths(&fleet, from).iter().filter(|(by, of)| *by != 4 && *of != 4).count();
        assert_eq!(
            of_others, 0,
            "seed {seed}: its accusations are advice, and the others' own probes are answered"
        );
        fleet.link = Box::new(|_, _| Link::default());
        assert!(fleet.until(seconds(15.0), Net::agrees).is_some(), "seed {seed}");
    }
}

#[test]
fn links_that_flap_every_second_leave_one_view_once_they_rest() {
    let mut fleet = fleet(12, 7);
    for turn in 0..60 {
        let on = turn % 2 == 0;
        fleet.link = Box::new(move |a, b| Link { cut: on && (a < 6) != (b < 6), ..Link::default() });
        fleet.play(seconds(1.0));
    }
    assert!(fleet.until(seconds(15.0), Net::agrees).is_some());
    fleet.play(seconds(10.0));
    assert!(fleet.agrees());
}

#[test]
fn slow_lossy_doubling_reordering_and_spoiling_links_make_nobody_dead() {
    let base = Link::default();
    let ms = Micros::from_ms;
    let cases = [
        ("300 ms one way", Link { delay: ms(300.0), ..base }),
        ("20% lost", Link { loss: 0.2, ..base }),
        ("30% lost", Link { loss: 0.3, ..base }),
        ("doubled and reordered", Link { doubled: 0.5, jitter: ms(200.0), ..base }),
        ("a tenth spoilt", Link { spoilt: 0.1, ..base }),
    ];
    for (name, link) in cases {
        for seed in 0..5 {
            let mut fleet = fleet(12, seed);
            let from = fleet.now();
            fleet.link = Box::new(move |_, _| link);
            fleet.play(seconds(120.0));
            assert_eq!(deaths(&fleet, from), [], "{name}, seed {seed}");
            assert!(fleet.longest <= 256);
        }
    }
}

#[test]
fn a_fleet_that_restarts_at_once_and_one_that_rolls_while_a_tenth_is_cut() {
    let mut fleet = fleet(30, 5);
    (0..30).for_each(|n| start(&mut fleet, config(n, 30)));
    fleet.play(seconds(0.01));
    assert!(fleet.until(seconds(10.0), Net::agrees).is_some(), "all at once");
    let cut_off: Vec<usize> = vec![0, 1, 2];
    let rest: Vec<usize> = (3..30).collect();
    fleet.link = Box::new(cut(&[&cut_off, &rest]));
    for number in rest.iter().copied() {
        fleet.kill(number);
        fleet.play(seconds(0.4));
        start(&mut fleet, config(number, 30));
        fleet.play(seconds(0.6));
    }
    assert!(fleet.until(bound(30), |f| hold(f, &rest, &rest, alive)).is_some(), "the rolled ones");
    fleet.link = Box::new(|_, _| Link::default());
    assert!(fleet.until(seconds(15.0), Net::agrees).is_some(), "and all of them");
}

#[test]
fn thirty_with_one_seed_find_each_other_and_go_on_when_it_is_dead() {
    let seeded = |number: usize| {
        let mut config = config(number, 0);
        config.instances = 30;
        config.seeds = vec![address(0)];
        config
    };
    let mut fleet: Fleet = Net::new(31, 3);
    for number in 0..30 {
        start(&mut fleet, seeded(number));
        fleet.play(seconds(1.0 / 30.0));
    }
    let all = everyone(30);
    assert!(fleet.until(seconds(15.0), |f| hold(f, &all, &all, alive)).is_some(), "found together");
    fleet.kill(0);
    let rest = &all[1..];
    assert!(fleet.until(bound(30), |f| hold(f, rest, &[0], dead)).is_some(), "the seed is missed");
    assert!(hold(&fleet, rest, rest, State::is_reachable));
    // Whoever starts while every seed is dead is alone and says so; it is found when a seed is back.
    start(&mut fleet, seeded(30));
    fleet.play(seconds(10.0));
    assert_eq!(stance(&fleet, 30), QuorumState::Isolated);
    start(&mut fleet, seeded(0));
    let all = everyone(31);
    assert!(
        fleet.until(seconds(20.0), |f| hold(f, &all, &all, alive)).is_some(),
        "found by the seed's return"
    );
}

#[test]
fn a_restart_in_under_a_second_is_seen_as_one_and_a_clock_set_back_does_not_hide_it() {
    for (name, life) in [("later", 800), ("an hour earlier", -3_600_000_i64)] {
        let mut fleet = fleet(12, 9);
        let before =
            fleet.peer(0).and_then(|p| p.member(bellcroft_membership::Id(4))).expect("known").incarnation;
        let former = wall(&fleet);
        fleet.kill(4);
        fleet.play(seconds(0.5));
        start_in(&mut fleet, config(4, 12), (former as i64 + life) as u64);
        assert!(fleet.until(seconds(10.0), |f| f.agrees() && later(f, before)).is_some(), "{name}");
        fleet.play(seconds(20.0));
        assert!(fleet.agrees(), "{name}: the old life never comes back");
    }
    fn later(fleet: &Fleet, before: bellcroft_membership::Incarnation) -> bool {
        let of = |by: usize| {
            fleet.peer(by).and_then(|p| p.member(bellcroft_membership::Id(4))).map(|m| m.incarnation)
        };
        (0..12).filter(|n| *n != 4).all(|by| of(by).is_some_and(|version| version.epoch > before.epoch))
    }
}

#[test]
fn whoever_leaves_is_gone_at_once_and_back_when_it_starts_again() {
    let mut fleet = fleet(12, 2);
    let from = fleet.now();
    fleet.with(6, Membership::leave);
    fleet.play(seconds(0.05));
    fleet.kill(6);
    let rest: Vec<usize> = (0..12).filter(|n| *n != 6).collect();
    assert!(hold(&fleet, &rest, &[6], |state| state == State::Left));
    fleet.play(seconds(10.0));
    assert_eq!(deaths(&fleet, from), []);
    start(&mut fleet, config(6, 12));
    assert!(fleet.until(seconds(5.0), Net::agrees).is_some());
}

/// Views that hold a few of many change all the time; what is out for one that has given way must not be due for ever.
#[test]
fn views_that_hold_a_few_of_many_settle_and_see_who_dies() {
    for seed in 0..5 {
        let members = 40;
        let mut fleet: Fleet = Net::new(members, seed);
        for number in 0..members {
            let mut config = config(number, 0);
            (config.instances, config.max_members) = (members as u32, 8);
            config.seeds = vec![address(0), address(1)];
            start(&mut fleet, config);
        }
        fleet.link = Box::new(|_, _| Link { loss: 0.2, ..Link::default() });
        fleet.play(seconds(40.0));
        let held: usize = (0..members).map(|n| fleet.peer(n).expect("it runs").members().count()).sum();
        assert!(held > members * 6 && held <= members * 8, "seed {seed}: {held}");
        fleet.link = Box::new(|_, _| Link::default());
        fleet.kill(20);
        fleet.play(bound(members) * 3.0);
        let still = (0..members)
            .filter(|n| *n != 20 && state(&fleet, *n, 20).is_some_and(State::is_reachable))
            .count();
        assert_eq!(still, 0, "seed {seed}: nobody holds the dead one for alive");
        assert!(fleet.events < 3_000_000, "seed {seed}: {} events", fleet.events);
    }
}

/// A roster of more than are held: whoever speaks first must not push out those that rank lower, or the size is told wrong.
#[test]
fn a_roster_past_the_view_s_bound_is_sampled_by_rank_and_its_size_told() {
    let members = 120;
    let mut fleet: Fleet = Net::new(members, 4);
    for number in 0..members {
        let mut config = config(number, members);
        config.max_members = 40;
        start(&mut fleet, config);
    }
    fleet.play(seconds(20.0));
    let sizes: Vec<f64> = (0..members).map(|n| fleet.peer(n).expect("it runs").size().0).collect();
    let mean = sizes.iter().sum::<f64>() / members as f64;
    assert!((mean / members as f64 - 1.0).abs() < 0.05, "{mean}");
}
