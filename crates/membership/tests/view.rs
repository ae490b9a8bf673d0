//! Sampled views, and the fleet size by which limits are divided.

mod common;

use bellcroft_balancer::Time;
use bellcroft_membership::{FleetSize, Id, Incarnation, Member, Role, State, View};
use bellcroft_simulation::fleet::address;
use common::seconds;

#[test]
fn effective_size_grows_at_once_and_shrinks_after_retention() {
    let (retention, at) = (seconds(60.0), |s: u64| Time(s * 1_000_000));
    let mut size = FleetSize::new(12, retention);
    assert_eq!(size.effective(at(0)), 12);
    size.observe(at(1), 6);
    assert_eq!(size.effective(at(1)), 12, "not below the expected size");
    size.observe(at(2), 40);
    assert_eq!(size.effective(at(2)), 40, "growth takes effect at once");
    (3..63).for_each(|s| size.observe(at(s), 20));
    assert_eq!(size.effective(at(62)), 40);
    assert_eq!(size.effective(at(63)), 20, "more than a minute after 40 instances were last observed");
    size.set_expected(at(64), 30);
    assert_eq!((size.effective(at(64)), size.expected()), (30, 30));
    size.set_expected(at(70), 5);
    assert_eq!(size.effective(at(70)), 30, "a smaller expected size takes effect after the retention time");
    assert_eq!(size.effective(at(131)), 5);
}

#[test]
fn sampled_views_are_bounded_uniform_and_estimate_size() {
    let members = 5_000_u32;
    let views: Vec<View> = (0..members)
        .step_by(50)
        .map(|own| {
            let mut view = View::new(Id(own), 256);
            // Each member is offered once or twice, in random order. Neither the number of offers nor their order may
            // change the sample.
            let mut order: Vec<u32> = (0..members).chain(0..members / 2).collect();
            fastrand::Rng::with_seed(own.into()).shuffle(&mut order);
            for id in order {
                let member = Member {
                    id: Id(id),
                    incarnation: Incarnation::default(),
                    state: State::Alive,
                    since: Time(0),
                    reported_by: Id(id),
                    address: address(id as usize),
                    site: 0,
                    role: Role::Agent,
                    last_ack: None,
                };
                view.offer(member);
            }
            view
        })
        .collect();
    let mut bias = 0.0_f64;
    let mut within_two_errors = 0;
    let mut views_by_member = std::collections::BTreeMap::new();
    for view in &views {
        assert_eq!(view.iter().count(), 256);
        let (size, error) = view.size();
        let error = error.expect("the view is a sample");
        assert!((error - 0.0627).abs() < 0.001);
        let deviation = size / f64::from(members) - 1.0;
        bias += deviation / views.len() as f64;
        within_two_errors += usize::from(deviation.abs() < 2.0 * error);
        view.iter().for_each(|m| *views_by_member.entry(m.id).or_insert(0_usize) += 1);
    }
    assert!(bias.abs() < 0.03, "bias {bias}");
    assert!(
        within_two_errors >= 90,
        "{within_two_errors} of 100 estimates within two standard errors, 95 expected"
    );
    // A view contains 256 of 5,000 members, so each member is expected in about 5 of these 100 views.
    assert!(
        views_by_member.len() > 4_900 && views_by_member.values().all(|n| *n < 25),
        "a member is in too many views, or too many members are in none"
    );
}
