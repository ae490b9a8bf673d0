//! The fleet's digest: what many have seen comes to each, and neither losses nor liars carry it off.

mod common;

use bellcroft_balancer::{FleetState, Micros, Time};
use bellcroft_membership::{Digest, Id, Membership, MergeOutcome, Part, MAX_DATAGRAM_BYTES, MAX_SITES};
use bellcroft_simulation::fleet::Link;
use common::*;

const PERIOD: Micros = Micros(50_000);

/// What is done to a half on its way from one to another: how often it comes.
type Way<'a> = &'a dyn Fn(&mut fastrand::Rng, usize) -> usize;

/// So many share what they see for so many periods: `sees` gives what an instance's answer takes in a period.
fn share(
    members: usize,
    periods: usize,
    seed: u64,
    sees: impl Fn(usize) -> Option<f64>,
    way: Way,
) -> Vec<FleetState> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut digests = vec![Digest::default(); members];
    let mut now = Time(1_000_000);
    for _ in 0..periods {
        now = now + PERIOD;
        for (number, digest) in digests.iter_mut().enumerate() {
            if let Some(took) = sees(number) {
                digest.record_response(now, 0, took, took / 2.0);
            }
        }
        for from in 0..members {
            let parts = digests[from].split_half(now);
            let to = (from + rng.usize(1..members)) % members;
            for _ in 0..way(&mut rng, from) {
                digests[to].merge(now, Id(from as u32), &parts, members);
            }
        }
    }
    digests.iter().map(|digest| digest.fleet(now)).collect()
}

/// Half of them see quick answers and half slow ones.
fn halves(number: usize) -> Option<f64> {
    Some(if number.is_multiple_of(2) { 0.2 } else { 0.6 })
}

fn off(states: &[FleetState], truth: f64) -> f64 {
    states.iter().map(|state| (state.latency - truth).abs()).fold(0.0, f64::max)
}

#[test]
fn what_many_have_seen_comes_to_each_and_counts_for_as_many() {
    for seed in 0..20 {
        let states = share(200, 12, seed, halves, &|_, _| 1);
        let mean = states.iter().map(|state| state.latency).sum::<f64>() / 200.0;
        assert!((mean - 0.4).abs() < 0.01, "seed {seed}: {mean}");
        assert!(off(&states, 0.4) < 0.3, "seed {seed}: {}", off(&states, 0.4));
        let spread = states.iter().map(|state| (state.latency - 0.4).powi(2)).sum::<f64>() / 200.0;
        // One that goes by its own answers alone is 0.2 off.
        assert!(spread.sqrt() < 0.1, "seed {seed}: {}", spread.sqrt());
        assert!(states.iter().all(|state| (state.load - state.latency / 2.0).abs() < 1e-3));
        // Its own answers alone would count for four.
        let sure = states.iter().map(|state| state.weight).sum::<f64>() / 200.0;
        assert!(sure > 8.0, "seed {seed}: {sure}");
    }
}

#[test]
fn one_that_sees_nothing_itself_knows_what_the_others_see() {
    let states = share(50, 12, 7, |number| (number > 0).then_some(0.5), &|_, _| 1);
    assert!((states[0].latency - 0.5).abs() < 1e-3 && states[0].weight > 4.0, "{:?}", states[0]);
}

#[test]
fn lost_and_doubled_halves_leave_the_mean_as_it_is() {
    for seed in 0..20 {
        let lossy = share(200, 12, seed, halves, &|rng, _| usize::from(rng.f64() > 0.3));
        let mean = lossy.iter().map(|state| state.latency).sum::<f64>() / 200.0;
        assert!((mean - 0.4).abs() < 0.015, "seed {seed}: {mean}");
        let doubled = share(200, 12, seed, halves, &|rng, _| 1 + usize::from(rng.f64() < 0.2));
        let mean = doubled.iter().map(|state| state.latency).sum::<f64>() / 200.0;
        assert!((mean - 0.4).abs() < 0.015, "seed {seed}: {mean}");
    }
}

/// The stated bound: 2 parts in 2 + n/5 of the digest, and 1.2 aims at most.
#[test]
fn a_liar_holds_no_more_of_the_digest_than_is_stated() {
    let members = 100;
    let lie = [Part {
        site: 0,
        weight: 1e6,
        square: 1.0,
        latency: 1.2e6,
        load: 1.2e6,
        requests: 0.0,
        rejections: 0.0,
    }];
    let mut rng = fastrand::Rng::with_seed(3);
    let mut digests = vec![Digest::default(); members];
    let mut now = Time(1_000_000);
    let (mut cut, mut refused) = (0, 0);
    for _ in 0..40 {
        now = now + PERIOD;
        for from in 1..members {
            digests[from].record_response(now, 0, 0.2, 0.2);
            let parts = digests[from].split_half(now);
            digests[(from + rng.usize(1..members)) % members].merge(now, Id(from as u32), &parts, members);
        }
        // Number 0 tells everybody at each turn.
        for digest in &mut digests[1..] {
            match digest.merge(now, Id(0), &lie, members) {
                MergeOutcome::Complete => panic!("a million answers are more than anybody holds"),
                MergeOutcome::Partial => cut += 1,
                MergeOutcome::Rejected => refused += 1,
            }
        }
    }
    assert!(cut > 50 && refused > 5 * cut, "{cut} cut, {refused} refused");
    let mean =
        digests[1..].iter().map(|digest| digest.fleet(now).latency).sum::<f64>() / (members - 1) as f64;
    let bound = 0.2 + 2.0 / (2.0 + members as f64 / 5.0);
    assert!((0.2..bound).contains(&mean), "{mean} of at most {bound}");
}

#[test]
fn sums_that_no_answers_can_have_shown_are_refused_whole() {
    let well =
        Part { site: 1, weight: 1.0, square: 1.0, latency: 0.5, load: 0.5, requests: 1.0, rejections: 0.0 };
    let spoilt = [
        Part { weight: f32::NAN, ..well },
        Part { latency: f32::INFINITY, ..well },
        Part { weight: -1.0, ..well },
        Part { square: -1.0, ..well },
        Part { latency: 2.5, ..well },
        Part { load: 2.5, ..well },
        Part { rejections: -0.5, ..well },
    ];
    let now = Time(1_000_000);
    for part in spoilt {
        let mut digest = Digest::default();
        assert_eq!(digest.merge(now, Id(1), &[well, part], 10), MergeOutcome::Rejected, "{part:?}");
        assert!(digest.is_empty(), "nothing of it counts");
    }
    let mut digest = Digest::default();
    assert_eq!(digest.merge(now, Id(1), &[well; MAX_SITES + 1], 10), MergeOutcome::Rejected);
    assert_eq!(digest.merge(now, Id(2), &[well], 10), MergeOutcome::Complete);
    assert_eq!(digest.sites().map(|(site, seen)| (site, seen.latency)).collect::<Vec<_>>(), [(1, 0.5)]);
    assert_eq!(Part::decode(&[0xff; 40]), None);
}

#[test]
fn what_was_seen_fades_and_refusals_are_told_by_site() {
    let mut digest = Digest::default();
    let mut now = Time(1_000_000);
    for request in 0..20 {
        digest.record_request(now, 3);
        if request % 4 == 0 {
            digest.record_rejection(now, 3);
        }
        digest.record_response(now, 4, 0.3, 0.1);
        now = now + Micros(10_000);
    }
    let state = digest.fleet(now);
    assert!((state.shed - 0.25).abs() < 0.05 && (state.latency - 0.3).abs() < 1e-6, "{state:?}");
    let sites: Vec<u8> = digest.sites().map(|(site, _)| site).collect();
    assert_eq!(sites, [3, 4]);
    let later = now + seconds(2.0);
    assert!(digest.fleet(later).weight < 0.01, "{:?}", digest.fleet(later));
    assert!(!digest.has_data(later) && digest.split_half(later).is_empty());
}

/// Members see answers for so long, those of one half other ones than those of the other.
fn see(fleet: &mut Fleet, rounds: usize, took: [f64; 2]) {
    let all = fleet.running().len();
    for _ in 0..rounds {
        for number in 0..all {
            fleet.with(number, |peer, now, _| {
                peer.digest().record_response(now, (number % 2) as u8, took[number % 2], 0.1)
            });
        }
        fleet.play(seconds(0.05));
    }
}

fn states(fleet: &Fleet) -> Vec<FleetState> {
    let now = fleet.now();
    fleet.running().iter().filter_map(|n| fleet.peer(*n)).map(|peer: &Membership| peer.fleet(now)).collect()
}

#[test]
fn members_share_it_over_lossy_links_and_each_half_of_a_partition_has_its_own() {
    let mut fleet = fleet(40, 5);
    fleet.link = Box::new(|_, _| Link { loss: 0.05, ..Link::default() });
    see(&mut fleet, 40, [0.5, 0.9]);
    assert!(off(&states(&fleet), 0.7) < 0.2, "{}", off(&states(&fleet), 0.7));
    fleet.link = Box::new(|from, to| Link { cut: from % 2 != to % 2, ..Link::default() });
    see(&mut fleet, 100, [0.5, 0.9]);
    let apart: Vec<f64> = states(&fleet).iter().map(|state| state.latency).collect();
    assert!(apart.iter().enumerate().all(|(n, took)| (took - [0.5, 0.9][n % 2]).abs() < 0.01), "{apart:?}");
    // As soon as they hear each other again.
    fleet.link = Box::new(|_, _| Link::default());
    assert!(fleet.until(seconds(20.0), Fleet::agrees).is_some());
    see(&mut fleet, 40, [0.5, 0.9]);
    assert!(off(&states(&fleet), 0.7) < 0.2, "{}", off(&states(&fleet), 0.7));
    assert!(fleet.longest <= MAX_DATAGRAM_BYTES);
}

#[test]
fn a_fleet_that_sees_nothing_sends_none_of_it() {
    let mut fleet = fleet(5, 2);
    fleet.play(seconds(3.0));
    let quiet = fleet.sent.0;
    fleet.play(seconds(10.0));
    let quiet = fleet.sent.0 - quiet;
    let before = fleet.sent.0;
    see(&mut fleet, 200, [0.9, 0.9]);
    let shared = fleet.sent.0 - before;
    // One of five each 50 ms, for ten seconds, and two of news a period at most beside it.
    assert!(shared > quiet + 800 && shared < quiet + 1_100, "{quiet} and {shared}");
    let figures = fleet.peer(0).expect("it runs").stats();
    assert!(figures.digests[0] > 100 && figures.digests[2] < figures.digests[0], "{figures:?}");
}
