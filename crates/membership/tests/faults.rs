//! One fault at a time in simulated fleets: its effect on the views, and how long it lasts.

mod common;

use bellcroft_balancer::Micros;
use bellcroft_membership::{Change, Membership, QuorumState, State};
use bellcroft_simulation::fleet::{address, Link, Net};
use common::*;

fn all_members(members: usize) -> Vec<usize> {
    (0..members).collect()
}

#[test]
fn killed_member_alone_is_declared_dead_within_bound() {
    for seed in 0..40 {
        let mut fleet = fleet(12, seed);
        let from = fleet.now();
        fleet.kill(5);
        let rest: Vec<usize> = (0..12).filter(|n| *n != 5).collect();
        let took = fleet.until(bound(12), |fleet| hold(fleet, &rest, &[5], dead));
        assert!(took.is_some(), "seed {seed}");
        fleet.play(seconds(10.0));
        assert!(deaths(&fleet, from).iter().all(|(_, of)| *of == 5), "seed {seed}");
        assert!(rest.iter().all(|n| quorum_state(&fleet, *n) == QuorumState::Degraded), "seed {seed}");
    }
}

#[test]
fn simultaneous_crashes_are_detected_by_all_survivors() {
    for seed in 0..10 {
        let mut thirty = fleet(30, seed);
        (0..10).for_each(|n| thirty.kill(n));
        let rest: Vec<usize> = (10..30).collect();
        let killed: Vec<usize> = (0..10).collect();
        // With a third of the members down, helpers among them, local health scores rise and stretch timeouts.
        assert!(thirty.until(bound(30) * 3.0, |f| hold(f, &rest, &killed, dead)).is_some(), "seed {seed}");
        assert!(hold(&thirty, &rest, &rest, State::is_reachable), "seed {seed}");
        assert_eq!(quorum_state(&thirty, 20), QuorumState::Majority);

        let mut twelve = fleet(12, seed);
        (1..12).for_each(|n| twelve.kill(n));
        let recovery = config(0, 12).recovery_time() * 1.5;
        assert!(
            twelve.until(recovery, |f| quorum_state(f, 0) == QuorumState::Isolated).is_some(),
            "seed {seed}"
        );
        // Unconfirmed suspicions take their maximum, stretched by the local health score.
        let all: Vec<usize> = (1..12).collect();
        assert!(twelve.until(bound(12) * 8.0, |f| hold(f, &[0], &all, dead)).is_some(), "seed {seed}");
        assert_eq!(twelve.peer(0).expect("it runs").effective_size(twelve.now()), 12);
    }
}

#[test]
fn stalled_member_refutes_and_suspects_no_other() {
    for (seed, stall_s) in [(1, 1.0), (2, 5.0), (3, 30.0), (4, 5.0), (5, 30.0)] {
        let mut fleet = fleet(12, seed);
        fleet.stop(3);
        fleet.play(seconds(stall_s));
        let (from, stalled) = (fleet.now(), 3);
        fleet.go_on(stalled);
        fleet.play(seconds(0.2));
        if stall_s > 2.0 {
            assert_eq!(quorum_state(&fleet, stalled), QuorumState::Recovering, "{stall_s} s");
        }
        assert!(fleet.until(seconds(8.0), Net::agrees).is_some(), "{stall_s} s");
        let suspected = |seen: &&bellcroft_simulation::fleet::Seen| {
            seen.at >= from
                && seen.by == stalled
                && matches!(seen.change, Change::Member { to: State::Suspect | State::Dead, .. })
        };
        assert_eq!(fleet.seen.iter().filter(suspected).count(), 0, "{stall_s} s");
        fleet.play(seconds(10.0));
        assert!(fleet.agrees(), "{stall_s} s");
        assert_eq!(quorum_state(&fleet, stalled), QuorumState::Complete);
    }
}

#[test]
fn partitioned_fleet_converges_within_bound_after_healing() {
    let all = all_members(12);
    let half: (Vec<usize>, Vec<usize>) = (all[..6].to_vec(), all[6..].to_vec());
    let cases: Vec<(&str, Vec<&[usize]>, QuorumState)> = vec![
        ("halves", vec![&half.0, &half.1], QuorumState::Minority),
        ("thirds", vec![&all[..4], &all[4..8], &all[8..]], QuorumState::Minority),
        ("one alone", vec![&all[..1], &all[1..]], QuorumState::Isolated),
        ("a third off", vec![&all[..4], &all[4..]], QuorumState::Minority),
    ];
    for (seed, (name, groups, expected)) in cases.into_iter().enumerate() {
        let mut fleet = fleet(12, seed as u64);
        fleet.link = Box::new(cut(&groups));
        fleet.play(seconds(60.0));
        for (a, group) in groups.iter().enumerate() {
            for other in groups.iter().skip(a + 1) {
                assert!(hold(&fleet, group, other, dead) && hold(&fleet, other, group, dead), "{name}");
            }
            assert!(
                hold(&fleet, group, group, State::is_reachable),
                "{name}: each side holds its own members"
            );
        }
        assert_eq!(quorum_state(&fleet, 0), expected, "{name}");
        // With a smaller size each side would take the whole of the limits that all share.
        assert!(
            all.iter().all(|n| fleet.peer(*n).expect("it runs").effective_size(fleet.now()) == 12),
            "{name}"
        );
        fleet.link = Box::new(|_, _| Link::default());
        assert!(fleet.until(seconds(10.0), Net::agrees).is_some(), "{name}: the views converge");
        fleet.play(seconds(20.0));
        assert!(fleet.agrees(), "{name}: and stay so");
        assert!(all.iter().all(|n| quorum_state(&fleet, *n) == QuorumState::Complete), "{name}");
    }
}

#[test]
fn partial_cut_with_indirect_path_causes_no_deaths() {
    for seed in 0..10 {
        // Two members that reach the rest and not each other.
        let mut bridge = fleet(12, seed);
        bridge.link = Box::new(|a, b| Link { cut: a + b == 1, ..Link::default() });
        let from = bridge.now();
        bridge.play(seconds(60.0));
        assert_eq!(deaths(&bridge, from), [], "bridge, seed {seed}");
        let suspected = |seen: &&bellcroft_simulation::fleet::Seen| {
            seen.at >= from && matches!(seen.change, Change::Member { to: State::Suspect, .. })
        };
        assert_eq!(
            bridge.seen.iter().filter(suspected).count(),
            0,
            "indirect probes are answered, seed {seed}"
        );
        // The same in one direction.
        let mut one_way = fleet(12, seed);
        one_way.link = Box::new(|a, b| Link { cut: (a, b) == (0, 1), ..Link::default() });
        let from = one_way.now();
        one_way.play(seconds(60.0));
        assert_eq!(deaths(&one_way, from), [], "one way, seed {seed}");
    }
}

#[test]
fn member_without_incoming_link_causes_no_deaths() {
    // Member 4 can send and not receive.
    for seed in 0..10 {
        let mut fleet = fleet(12, seed);
        let from = fleet.now();
        fleet.link = Box::new(|_, b| Link { cut: b == 4, ..Link::default() });
        fleet.play(seconds(60.0));
        let of_others = deaths(&fleet, from).iter().filter(|(by, of)| *by != 4 && *of != 4).count();
        assert_eq!(
            of_others, 0,
            "seed {seed}: its accusations are advice, and the other members' probes are answered"
        );
        fleet.link = Box::new(|_, _| Link::default());
        assert!(fleet.until(seconds(15.0), Net::agrees).is_some(), "seed {seed}");
    }
}

#[test]
fn views_converge_after_links_stop_flapping() {
    let mut fleet = fleet(12, 7);
    for second in 0..60 {
        let partitioned = second % 2 == 0;
        fleet.link = Box::new(move |a, b| Link { cut: partitioned && (a < 6) != (b < 6), ..Link::default() });
        fleet.play(seconds(1.0));
    }
    assert!(fleet.until(seconds(15.0), Net::agrees).is_some());
    fleet.play(seconds(10.0));
    assert!(fleet.agrees());
}

#[test]
fn faulty_links_within_stated_limits_cause_no_deaths() {
    let base = Link::default();
    let ms = Micros::from_ms;
    let cases = [
        ("300 ms one way", Link { delay: ms(300.0), ..base }),
        ("20% lost", Link { loss: 0.2, ..base }),
        ("30% lost", Link { loss: 0.3, ..base }),
        ("doubled and reordered", Link { doubled: 0.5, jitter: ms(200.0), ..base }),
        ("a tenth corrupt", Link { spoilt: 0.1, ..base }),
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
fn fleet_converges_after_mass_and_rolling_restarts() {
    let mut fleet = fleet(30, 5);
    (0..30).for_each(|n| start(&mut fleet, config(n, 30)));
    fleet.play(seconds(0.01));
    assert!(fleet.until(seconds(10.0), Net::agrees).is_some(), "all at once");
    let isolated: Vec<usize> = vec![0, 1, 2];
    let rest: Vec<usize> = (3..30).collect();
    fleet.link = Box::new(cut(&[&isolated, &rest]));
    for number in rest.iter().copied() {
        fleet.kill(number);
        fleet.play(seconds(0.4));
        start(&mut fleet, config(number, 30));
        fleet.play(seconds(0.6));
    }
    assert!(fleet.until(bound(30), |f| hold(f, &rest, &rest, alive)).is_some(), "the restarted ones");
    fleet.link = Box::new(|_, _| Link::default());
    assert!(fleet.until(seconds(15.0), Net::agrees).is_some(), "and all of them");
}

#[test]
fn seeded_fleet_joins_and_survives_seed_crash() {
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
    let all = all_members(30);
    assert!(fleet.until(seconds(15.0), |f| hold(f, &all, &all, alive)).is_some(), "all join");
    fleet.kill(0);
    let rest = &all[1..];
    assert!(fleet.until(bound(30), |f| hold(f, rest, &[0], dead)).is_some(), "the seed's crash is detected");
    assert!(hold(&fleet, rest, rest, State::is_reachable));
    // A member that starts while every seed is down is isolated until a seed is back.
    start(&mut fleet, seeded(30));
    fleet.play(seconds(10.0));
    assert_eq!(quorum_state(&fleet, 30), QuorumState::Isolated);
    start(&mut fleet, seeded(0));
    let all = all_members(31);
    assert!(
        fleet.until(seconds(20.0), |f| hold(f, &all, &all, alive)).is_some(),
        "all join after the seed's return"
    );
}

#[test]
fn quick_restart_is_detected_also_with_clock_set_back() {
    for (name, offset_ms) in [("later", 800), ("an hour earlier", -3_600_000_i64)] {
        let mut fleet = fleet(12, 9);
        let before =
            fleet.peer(0).and_then(|p| p.member(bellcroft_membership::Id(4))).expect("known").incarnation;
        let started = wall(&fleet);
        fleet.kill(4);
        fleet.play(seconds(0.5));
        start_in(&mut fleet, config(4, 12), (started as i64 + offset_ms) as u64);
        assert!(
            fleet.until(seconds(10.0), |f| f.agrees() && all_hold_later_epoch(f, before)).is_some(),
            "{name}"
        );
        fleet.play(seconds(20.0));
        assert!(fleet.agrees(), "{name}: the former epoch never returns");
    }
}

/// Whether all others hold member 4 with a later epoch.
fn all_hold_later_epoch(fleet: &Fleet, before: bellcroft_membership::Incarnation) -> bool {
    let of =
        |by: usize| fleet.peer(by).and_then(|p| p.member(bellcroft_membership::Id(4))).map(|m| m.incarnation);
    (0..12).filter(|n| *n != 4).all(|by| of(by).is_some_and(|incarnation| incarnation.epoch > before.epoch))
}

#[test]
fn leaving_member_is_left_at_once_and_can_rejoin() {
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

/// Sampled views evict members all the time; a probe of an evicted member must not stay due.
#[test]
fn sampled_views_detect_a_crash_with_bounded_events() {
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
        let undetected = (0..members)
            .filter(|n| *n != 20 && state(&fleet, *n, 20).is_some_and(State::is_reachable))
            .count();
        assert_eq!(undetected, 0, "seed {seed}: no member holds the dead one for reachable");
        assert!(fleet.events < 3_000_000, "seed {seed}: {} events", fleet.events);
    }
}

/// The first members to send must not evict those of lower ranks, or the size estimate is biased.
#[test]
fn roster_beyond_capacity_is_sampled_with_correct_size() {
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
