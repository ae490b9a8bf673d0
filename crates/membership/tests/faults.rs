//! Single faults in simulated fleets: their effect on the views, and its duration.

mod common;

use bellcroft_balancer::Micros;
use bellcroft_membership::{Change, Membership, QuorumState, State};
use bellcroft_simulation::fleet::{address, Link, Net};
use common::*;

fn all_members(members: usize) -> Vec<usize> {
    (0..members).collect()
}

#[test]
fn only_killed_member_is_declared_dead_within_bound() {
    for seed in 0..40 {
        let mut fleet = fleet(12, seed);
        let from = fleet.now();
        fleet.kill(5);
        let rest: Vec<usize> = (0..12).filter(|n| *n != 5).collect();
        let detected = fleet.until(detection_bound(12), |fleet| all_views_match(fleet, &rest, &[5], is_dead));
        assert!(detected.is_some(), "seed {seed}");
        fleet.play(seconds(10.0));
        assert!(declared_deaths(&fleet, from).iter().all(|(_, of)| *of == 5), "seed {seed}");
        assert!(rest.iter().all(|n| quorum_state(&fleet, *n) == QuorumState::Degraded), "seed {seed}");
    }
}

#[test]
fn simultaneous_crashes_are_detected_by_all_survivors() {
    for seed in 0..10 {
        let mut third_killed = fleet(30, seed);
        (0..10).for_each(|n| third_killed.kill(n));
        let rest: Vec<usize> = (10..30).collect();
        let killed: Vec<usize> = (0..10).collect();
        // With a third of the members down, helpers among them, local health scores increase and stretch timeouts.
        assert!(
            third_killed
                .until(detection_bound(30) * 3.0, |f| all_views_match(f, &rest, &killed, is_dead))
                .is_some(),
            "seed {seed}"
        );
        assert!(all_views_match(&third_killed, &rest, &rest, State::is_reachable), "seed {seed}");
        assert_eq!(quorum_state(&third_killed, 20), QuorumState::Majority);

        let mut all_but_one_killed = fleet(12, seed);
        (1..12).for_each(|n| all_but_one_killed.kill(n));
        let recovery = config(0, 12).recovery_time() * 1.5;
        assert!(
            all_but_one_killed.until(recovery, |f| quorum_state(f, 0) == QuorumState::Isolated).is_some(),
            "seed {seed}"
        );
        // Unconfirmed suspicions last their maximum, stretched by the local health score.
        let killed: Vec<usize> = (1..12).collect();
        assert!(
            all_but_one_killed
                .until(detection_bound(12) * 8.0, |f| all_views_match(f, &[0], &killed, is_dead))
                .is_some(),
            "seed {seed}"
        );
        assert_eq!(
            all_but_one_killed
                .peer(0)
                .expect("the member is running")
                .effective_size(all_but_one_killed.now()),
            12
        );
    }
}

#[test]
fn stalled_member_refutes_its_suspicion_and_suspects_none() {
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
    let halves: (Vec<usize>, Vec<usize>) = (all[..6].to_vec(), all[6..].to_vec());
    let cases: Vec<(&str, Vec<&[usize]>, QuorumState)> = vec![
        ("halves", vec![&halves.0, &halves.1], QuorumState::Minority),
        ("thirds", vec![&all[..4], &all[4..8], &all[8..]], QuorumState::Minority),
        ("one member isolated", vec![&all[..1], &all[1..]], QuorumState::Isolated),
        ("a third isolated", vec![&all[..4], &all[4..]], QuorumState::Minority),
    ];
    for (seed, (name, groups, expected)) in cases.into_iter().enumerate() {
        let mut fleet = fleet(12, seed as u64);
        fleet.link = Box::new(partition(&groups));
        fleet.play(seconds(60.0));
        for (a, group) in groups.iter().enumerate() {
            for other in groups.iter().skip(a + 1) {
                assert!(
                    all_views_match(&fleet, group, other, is_dead)
                        && all_views_match(&fleet, other, group, is_dead),
                    "{name}"
                );
            }
            assert!(
                all_views_match(&fleet, group, group, State::is_reachable),
                "{name}: members of a group are unreachable in a view of the same group"
            );
        }
        assert_eq!(quorum_state(&fleet, 0), expected, "{name}");
        // With a smaller effective size the groups together would exceed the limits that all members share.
        assert!(
            all.iter()
                .all(|n| fleet.peer(*n).expect("the member is running").effective_size(fleet.now()) == 12),
            "{name}"
        );
        fleet.link = Box::new(|_, _| Link::default());
        assert!(fleet.until(seconds(10.0), Net::agrees).is_some(), "{name}: the views did not converge");
        fleet.play(seconds(20.0));
        assert!(fleet.agrees(), "{name}: the views diverged again");
        assert!(all.iter().all(|n| quorum_state(&fleet, *n) == QuorumState::Complete), "{name}");
    }
}

#[test]
fn partial_cut_with_indirect_path_causes_no_deaths() {
    for seed in 0..10 {
        // Two members can reach all others, but not each other.
        let mut bridge = fleet(12, seed);
        bridge.link = Box::new(|a, b| Link { cut: a + b == 1, ..Link::default() });
        let from = bridge.now();
        bridge.play(seconds(60.0));
        assert_eq!(declared_deaths(&bridge, from), [], "both directions, seed {seed}");
        let suspected = |seen: &&bellcroft_simulation::fleet::Seen| {
            seen.at >= from && matches!(seen.change, Change::Member { to: State::Suspect, .. })
        };
        assert_eq!(
            bridge.seen.iter().filter(suspected).count(),
            0,
            "a member was suspected although indirect probes reach it, seed {seed}"
        );
        // Member 0 cannot reach member 1; the other direction works.
        let mut one_way = fleet(12, seed);
        one_way.link = Box::new(|a, b| Link { cut: (a, b) == (0, 1), ..Link::default() });
        let from = one_way.now();
        one_way.play(seconds(60.0));
        assert_eq!(declared_deaths(&one_way, from), [], "one direction, seed {seed}");
    }
}

#[test]
fn member_without_incoming_link_causes_no_deaths() {
    // Member 4 can send but not receive.
    for seed in 0..10 {
        let mut fleet = fleet(12, seed);
        let from = fleet.now();
        fleet.link = Box::new(|_, b| Link { cut: b == 4, ..Link::default() });
        fleet.play(seconds(60.0));
        let of_others = declared_deaths(&fleet, from).iter().filter(|(by, of)| *by != 4 && *of != 4).count();
        assert_eq!(
            of_others, 0,
            "seed {seed}: a member was declared dead on accusations alone, although probes of it are acked"
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
        ("300 ms one-way delay", Link { delay: ms(300.0), ..base }),
        ("20% lost", Link { loss: 0.2, ..base }),
        ("30% lost", Link { loss: 0.3, ..base }),
        ("duplicated and reordered", Link { doubled: 0.5, jitter: ms(200.0), ..base }),
        ("10% corrupted", Link { spoilt: 0.1, ..base }),
    ];
    for (name, link) in cases {
        for seed in 0..5 {
            let mut fleet = fleet(12, seed);
            let from = fleet.now();
            fleet.link = Box::new(move |_, _| link);
            fleet.play(seconds(120.0));
            assert_eq!(declared_deaths(&fleet, from), [], "{name}, seed {seed}");
            assert!(fleet.longest <= 256);
        }
    }
}

#[test]
fn fleet_converges_after_mass_and_rolling_restarts() {
    let mut fleet = fleet(30, 5);
    (0..30).for_each(|n| start(&mut fleet, config(n, 30)));
    fleet.play(seconds(0.01));
    assert!(
        fleet.until(seconds(10.0), Net::agrees).is_some(),
        "no convergence after restarting all members at once"
    );
    let isolated: Vec<usize> = vec![0, 1, 2];
    let rest: Vec<usize> = (3..30).collect();
    fleet.link = Box::new(partition(&[&isolated, &rest]));
    for number in rest.iter().copied() {
        fleet.kill(number);
        fleet.play(seconds(0.4));
        start(&mut fleet, config(number, 30));
        fleet.play(seconds(0.6));
    }
    assert!(
        fleet.until(detection_bound(30), |f| all_views_match(f, &rest, &rest, is_alive)).is_some(),
        "no convergence of the restarted members"
    );
    fleet.link = Box::new(|_, _| Link::default());
    assert!(fleet.until(seconds(15.0), Net::agrees).is_some(), "no convergence after the partition heals");
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
    assert!(
        fleet.until(seconds(15.0), |f| all_views_match(f, &all, &all, is_alive)).is_some(),
        "not all members joined"
    );
    fleet.kill(0);
    let rest = &all[1..];
    assert!(
        fleet.until(detection_bound(30), |f| all_views_match(f, rest, &[0], is_dead)).is_some(),
        "the seed's crash was not detected"
    );
    assert!(all_views_match(&fleet, rest, rest, State::is_reachable));
    // A member that starts while all seeds are down is isolated until a seed has restarted.
    start(&mut fleet, seeded(30));
    fleet.play(seconds(10.0));
    assert_eq!(quorum_state(&fleet, 30), QuorumState::Isolated);
    start(&mut fleet, seeded(0));
    let all = all_members(31);
    assert!(
        fleet.until(seconds(20.0), |f| all_views_match(f, &all, &all, is_alive)).is_some(),
        "not all members joined after the seed's restart"
    );
}

#[test]
fn quick_restart_is_detected_even_with_clock_set_back() {
    for (name, offset_ms) in [("epoch 800 ms later", 800), ("clock set back by an hour", -3_600_000_i64)] {
        let mut fleet = fleet(12, 9);
        let before = fleet
            .peer(0)
            .and_then(|p| p.member(bellcroft_membership::Id(4)))
            .expect("the view contains the member")
            .incarnation;
        let started = wall_clock_ms(&fleet);
        fleet.kill(4);
        fleet.play(seconds(0.5));
        start_with_epoch(&mut fleet, config(4, 12), (started as i64 + offset_ms) as u64);
        assert!(
            fleet.until(seconds(10.0), |f| f.agrees() && all_know_later_epoch(f, before)).is_some(),
            "{name}"
        );
        fleet.play(seconds(20.0));
        assert!(fleet.agrees(), "{name}: the views diverged again");
    }
}

/// Whether the views of all other members contain member 4 with a later epoch.
fn all_know_later_epoch(fleet: &Fleet, before: bellcroft_membership::Incarnation) -> bool {
    let known =
        |by: usize| fleet.peer(by).and_then(|p| p.member(bellcroft_membership::Id(4))).map(|m| m.incarnation);
    (0..12)
        .filter(|n| *n != 4)
        .all(|by| known(by).is_some_and(|incarnation| incarnation.epoch > before.epoch))
}

#[test]
fn leave_is_known_at_once_and_member_can_rejoin() {
    let mut fleet = fleet(12, 2);
    let from = fleet.now();
    fleet.with(6, Membership::leave);
    fleet.play(seconds(0.05));
    fleet.kill(6);
    let rest: Vec<usize> = (0..12).filter(|n| *n != 6).collect();
    assert!(all_views_match(&fleet, &rest, &[6], |state| state == State::Left));
    fleet.play(seconds(10.0));
    assert_eq!(declared_deaths(&fleet, from), []);
    start(&mut fleet, config(6, 12));
    assert!(fleet.until(seconds(5.0), Net::agrees).is_some());
}

/// Sampled views evict members continually. A probe of an evicted member that remained due would cause an endless
/// number of events.
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
        let known: usize =
            (0..members).map(|n| fleet.peer(n).expect("the member is running").members().count()).sum();
        assert!(known > members * 6 && known <= members * 8, "seed {seed}: {known} entries in all views");
        fleet.link = Box::new(|_, _| Link::default());
        fleet.kill(20);
        fleet.play(detection_bound(members) * 3.0);
        let undetected = (0..members)
            .filter(|n| *n != 20 && known_state(&fleet, *n, 20).is_some_and(State::is_reachable))
            .count();
        assert_eq!(undetected, 0, "seed {seed}: views in which the killed member is reachable");
        assert!(fleet.events < 3_000_000, "seed {seed}: {} events", fleet.events);
    }
}

/// If the first members to send a datagram evicted those with lower ranks, the size estimate would be biased.
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
    let sizes: Vec<f64> =
        (0..members).map(|n| fleet.peer(n).expect("the member is running").size().0).collect();
    let mean = sizes.iter().sum::<f64>() / members as f64;
    assert!((mean / members as f64 - 1.0).abs() < 0.05, "{mean}");
}
