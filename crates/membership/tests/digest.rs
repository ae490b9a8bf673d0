//! The digest: each instance learns the fleet's average, lost datagrams do not shift the average, and false sums shift
//! it only within the documented bound.

mod common;

use bellcroft_balancer::{FleetState, Micros, Time};
use bellcroft_membership::{Digest, DigestPart, Id, Membership, MergeOutcome, MAX_DATAGRAM_BYTES, MAX_SITES};
use bellcroft_simulation::fleet::Link;
use common::*;

const PERIOD: Micros = Micros(50_000);

/// Returns the number of times that a sent half is delivered.
type Deliveries<'a> = &'a dyn Fn(&mut fastrand::Rng, usize) -> usize;

/// Exchanges halves between instances for some periods; `observed` returns the latency that an instance observes in each
/// period, as a share of the target.
fn exchange(
    members: usize,
    periods: usize,
    seed: u64,
    observed: impl Fn(usize) -> Option<f64>,
    deliveries: Deliveries,
) -> Vec<FleetState> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut digests = vec![Digest::default(); members];
    let mut now = Time(1_000_000);
    for _ in 0..periods {
        now = now + PERIOD;
        for (number, digest) in digests.iter_mut().enumerate() {
            if let Some(latency) = observed(number) {
                digest.record_response(now, 0, latency, latency / 2.0);
            }
        }
        for from in 0..members {
            let parts = digests[from].split_half(now);
            let to = (from + rng.usize(1..members)) % members;
            for _ in 0..deliveries(&mut rng, from) {
                digests[to].merge(now, Id(from as u32), &parts, members);
            }
        }
    }
    digests.iter().map(|digest| digest.fleet(now)).collect()
}

/// The latency that an instance observes: fast responses for even numbers, slow ones for odd numbers.
fn fast_and_slow(number: usize) -> Option<f64> {
    Some(if number.is_multiple_of(2) { 0.2 } else { 0.6 })
}

fn max_error(states: &[FleetState], truth: f64) -> f64 {
    states.iter().map(|state| (state.latency - truth).abs()).fold(0.0, f64::max)
}

#[test]
fn every_instance_learns_the_fleet_average() {
    for seed in 0..20 {
        let states = exchange(200, 12, seed, fast_and_slow, &|_, _| 1);
        let mean = states.iter().map(|state| state.latency).sum::<f64>() / 200.0;
        assert!((mean - 0.4).abs() < 0.01, "seed {seed}: {mean}");
        assert!(max_error(&states, 0.4) < 0.3, "seed {seed}: {}", max_error(&states, 0.4));
        let spread = states.iter().map(|state| (state.latency - 0.4).powi(2)).sum::<f64>() / 200.0;
        // An instance's own responses alone would give an error of 0.2.
        assert!(spread.sqrt() < 0.1, "seed {seed}: {}", spread.sqrt());
        assert!(states.iter().all(|state| (state.load - state.latency / 2.0).abs() < 1e-3));
        // An instance's own responses alone would give an effective number of four.
        let weight = states.iter().map(|state| state.weight).sum::<f64>() / 200.0;
        assert!(weight > 8.0, "seed {seed}: {weight}");
    }
}

#[test]
fn idle_instance_learns_the_average_of_others() {
    let states = exchange(50, 12, 7, |number| (number > 0).then_some(0.5), &|_, _| 1);
    assert!((states[0].latency - 0.5).abs() < 1e-3 && states[0].weight > 4.0, "{:?}", states[0]);
}

#[test]
fn lost_and_duplicated_halves_keep_the_mean() {
    for seed in 0..20 {
        let lossy = exchange(200, 12, seed, fast_and_slow, &|rng, _| usize::from(rng.f64() > 0.3));
        let mean = lossy.iter().map(|state| state.latency).sum::<f64>() / 200.0;
        assert!((mean - 0.4).abs() < 0.015, "seed {seed}: {mean}");
        let doubled = exchange(200, 12, seed, fast_and_slow, &|rng, _| 1 + usize::from(rng.f64() < 0.2));
        let mean = doubled.iter().map(|state| state.latency).sum::<f64>() / 200.0;
        assert!((mean - 0.4).abs() < 0.015, "seed {seed}: {mean}");
    }
}

/// The bound in the documentation of [`Digest`]: 2 parts in 2 + n/5, of at most 1.2 latency objectives.
#[test]
fn false_sums_shift_average_within_stated_bound() {
    let members = 100;
    let false_part = [DigestPart {
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
    let (mut partial, mut rejected) = (0, 0);
    for _ in 0..40 {
        now = now + PERIOD;
        for from in 1..members {
            digests[from].record_response(now, 0, 0.2, 0.2);
            let parts = digests[from].split_half(now);
            digests[(from + rng.usize(1..members)) % members].merge(now, Id(from as u32), &parts, members);
        }
        // Member 0 sends false sums to all others in each period.
        for digest in &mut digests[1..] {
            match digest.merge(now, Id(0), &false_part, members) {
                MergeOutcome::Complete => panic!("a weight of a million responses was merged completely"),
                MergeOutcome::Partial => partial += 1,
                MergeOutcome::Rejected => rejected += 1,
            }
        }
    }
    assert!(partial > 50 && rejected > 5 * partial, "{partial} partial, {rejected} rejected");
    let mean =
        digests[1..].iter().map(|digest| digest.fleet(now).latency).sum::<f64>() / (members - 1) as f64;
    let bound = 0.2 + 2.0 / (2.0 + members as f64 / 5.0);
    assert!((0.2..bound).contains(&mean), "mean {mean}, bound {bound}");
}

#[test]
fn impossible_sums_are_rejected_completely() {
    let valid = DigestPart {
        site: 1,
        weight: 1.0,
        square: 1.0,
        latency: 0.5,
        load: 0.5,
        requests: 1.0,
        rejections: 0.0,
    };
    let invalid = [
        DigestPart { weight: f32::NAN, ..valid },
        DigestPart { latency: f32::INFINITY, ..valid },
        DigestPart { weight: -1.0, ..valid },
        DigestPart { square: -1.0, ..valid },
        DigestPart { latency: 2.5, ..valid },
        DigestPart { load: 2.5, ..valid },
        DigestPart { rejections: -0.5, ..valid },
    ];
    let now = Time(1_000_000);
    for part in invalid {
        let mut digest = Digest::default();
        assert_eq!(digest.merge(now, Id(1), &[valid, part], 10), MergeOutcome::Rejected, "{part:?}");
        assert!(digest.is_empty(), "the valid part beside {part:?} was merged");
    }
    let mut digest = Digest::default();
    assert_eq!(digest.merge(now, Id(1), &[valid; MAX_SITES + 1], 10), MergeOutcome::Rejected);
    assert_eq!(digest.merge(now, Id(2), &[valid], 10), MergeOutcome::Complete);
    assert_eq!(digest.sites().map(|(site, state)| (site, state.latency)).collect::<Vec<_>>(), [(1, 0.5)]);
    assert_eq!(DigestPart::decode(&[0xff; 40]), None);
}

#[test]
fn sums_decay_and_rejections_count_by_site() {
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

/// Records responses at all members for some rounds, with one site and latency for even and one for odd member numbers.
fn record_responses(fleet: &mut Fleet, rounds: usize, latencies: [f64; 2]) {
    let all = fleet.running().len();
    for _ in 0..rounds {
        for number in 0..all {
            fleet.with(number, |peer, now, _| {
                peer.digest().record_response(now, (number % 2) as u8, latencies[number % 2], 0.1);
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
fn members_share_digest_over_lossy_and_partitioned_links() {
    let mut fleet = fleet(40, 5);
    fleet.link = Box::new(|_, _| Link { loss: 0.05, ..Link::default() });
    record_responses(&mut fleet, 40, [0.5, 0.9]);
    assert!(max_error(&states(&fleet), 0.7) < 0.2, "{}", max_error(&states(&fleet), 0.7));
    fleet.link = Box::new(|from, to| Link { cut: from % 2 != to % 2, ..Link::default() });
    record_responses(&mut fleet, 100, [0.5, 0.9]);
    let latencies: Vec<f64> = states(&fleet).iter().map(|state| state.latency).collect();
    assert!(
        latencies.iter().enumerate().all(|(n, latency)| (latency - [0.5, 0.9][n % 2]).abs() < 0.01),
        "{latencies:?}"
    );
    // The partition heals.
    fleet.link = Box::new(|_, _| Link::default());
    assert!(fleet.until(seconds(20.0), Fleet::agrees).is_some());
    record_responses(&mut fleet, 40, [0.5, 0.9]);
    assert!(max_error(&states(&fleet), 0.7) < 0.2, "{}", max_error(&states(&fleet), 0.7));
    assert!(fleet.longest <= MAX_DATAGRAM_BYTES);
}

#[test]
fn idle_fleet_sends_no_digests() {
    let mut fleet = fleet(5, 2);
    fleet.play(seconds(3.0));
    let idle = fleet.sent.0;
    fleet.play(seconds(10.0));
    let idle = fleet.sent.0 - idle;
    let before = fleet.sent.0;
    record_responses(&mut fleet, 200, [0.9, 0.9]);
    let busy = fleet.sent.0 - before;
    // Each of five members sends a digest every 50 ms for ten seconds, and at most two gossip datagrams a period.
    assert!(busy > idle + 800 && busy < idle + 1_100, "{idle} datagrams while idle, {busy} while busy");
    let stats = fleet.peer(0).expect("the member is running").stats();
    assert!(stats.digests[0] > 100 && stats.digests[2] < stats.digests[0], "{stats:?}");
}
