//! Random sequences of faults, from seeds: the views must converge after each sequence.

mod common;

use bellcroft_balancer::Micros;
use bellcroft_membership::QuorumState;
use bellcroft_simulation::fleet::Link;
use common::*;

/// Crashes, restarts, stalls, partitions and lossy links in random order, after which all views must converge.
#[test]
fn views_converge_after_random_sequences_of_faults() {
    for seed in 0..1_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let members = rng.usize(3..10);
        let mut fleet = fleet(members, seed);
        for _ in 0..rng.usize(2..8) {
            let number = rng.usize(0..members);
            match rng.u32(0..6) {
                0 => fleet.kill(number),
                1 => start(&mut fleet, config(number, members)),
                2 => fleet.stop(number),
                3 => (0..members).for_each(|n| fleet.go_on(n)),
                4 => {
                    let bits = rng.u32(..);
                    fleet.link =
                        Box::new(move |a, b| Link { cut: bits >> a & 1 != bits >> b & 1, ..Link::default() });
                }
                _ => {
                    let (loss, doubled) = (rng.f64() * 0.3, rng.f64() * 0.3);
                    fleet.link = Box::new(move |_, _| Link {
                        loss,
                        doubled,
                        jitter: Micros::from_ms(150.0),
                        ..Link::default()
                    });
                }
            }
            fleet.play(seconds(rng.f64() * 8.0));
        }
        (0..members).for_each(|n| fleet.go_on(n));
        fleet.link = Box::new(|_, _| Link::default());
        let convergence_time = detection_bound(members) * 6.0;
        assert!(
            fleet.until(convergence_time, Fleet::agrees).is_some(),
            "seed {seed}: the views did not converge"
        );
        let from = fleet.now();
        fleet.play(seconds(20.0));
        assert!(fleet.agrees(), "seed {seed}: the views diverged again");
        let running = fleet.running();
        let false_deaths: Vec<_> =
            declared_deaths(&fleet, from).into_iter().filter(|(_, of)| running.contains(of)).collect();
        assert_eq!(false_deaths, [], "seed {seed}");
        for number in running {
            let expected = members;
            let peer = fleet.peer(number).expect("the member is running");
            assert!(peer.effective_size(fleet.now()) as usize == expected, "seed {seed}");
            let reachable = 1 + peer.members().filter(|m| m.state.is_reachable()).count();
            assert_eq!(reachable == members, peer.quorum_state() == QuorumState::Complete, "seed {seed}");
        }
        assert!(fleet.longest <= 256);
    }
}
