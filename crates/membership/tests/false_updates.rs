//! False and outdated updates: the effect that one member can have by them.

mod common;

use bellcroft_membership::{decode, Change, Id, Incarnation, Message, State, Update};
use bellcroft_simulation::fleet::{address, Link, Net};
use common::*;

/// Sends an update from member 11 to all others, ten times a second for this number of seconds.
fn gossip_repeatedly(fleet: &mut Fleet, duration_s: u32, update: impl Fn(&Fleet) -> Update) {
    for _ in 0..duration_s * 10 {
        let update = update(fleet);
        gossip_to_all(fleet, incarnation(fleet, 11), vec![update]);
        fleet.play(seconds(0.1));
    }
}

/// Sends one gossip datagram from member 11 to each other member.
fn gossip_to_all(fleet: &mut Fleet, own: Incarnation, updates: Vec<Update>) {
    let bytes = datagram_bytes(11, own, Message::Gossip, updates);
    (0..11).for_each(|to| fleet.inject(address(11), to, bytes.clone()));
}

#[test]
fn false_accusations_declare_no_live_member_dead() {
    let cases = [State::Suspect, State::Dead, State::Left].map(|state| [(state, 0.0), (state, 0.4)]);
    for (state, loss) in cases.into_iter().flatten() {
        let mut fleet = fleet(12, 4);
        let from = fleet.now();
        fleet.link = Box::new(move |_, _| Link { loss, ..Link::default() });
        gossip_repeatedly(&mut fleet, 20, |fleet| update(2, incarnation(fleet, 2), state, 11));
        let declared_dead_or_left = |seen: &&bellcroft_simulation::fleet::Seen| {
            seen.at >= from && matches!(seen.change, Change::Member { to: State::Dead | State::Left, .. })
        };
        assert_eq!(fleet.seen.iter().filter(declared_dead_or_left).count(), 0, "{state:?}, loss {loss}");
        fleet.link = Box::new(|_, _| Link::default());
        assert!(fleet.until(seconds(10.0), Net::agrees).is_some(), "{state:?}");
    }
}

#[test]
fn false_alive_updates_delay_detection_within_bound() {
    let mut fleet = fleet(12, 4);
    let last = incarnation(&fleet, 2);
    fleet.kill(2);
    for counter in (last.counter + 1..).take(200) {
        let false_alive = update(2, Incarnation { counter, ..last }, State::Alive, 2);
        let own = incarnation(&fleet, 11);
        gossip_to_all(&mut fleet, own, vec![false_alive]);
        fleet.play(seconds(0.1));
    }
    let rest: Vec<usize> = (0..11).filter(|n| *n != 2).collect();
    assert!(fleet.until(detection_bound(12), |f| all_views_match(f, &rest, &[2], is_dead)).is_some());
}

#[test]
fn false_epoch_is_replaced_by_members_own_ack() {
    let mut fleet = fleet(12, 4);
    // Two false epochs of a live member. If the epoch is one year ahead, the member chooses a later one; three years
    // are too far ahead for that, so its acks decide.
    let year_ms = 365 * 24 * 3_600_000;
    for years in [1, 3] {
        let ahead = Incarnation { epoch: START_UNIX_MS + years * year_ms, counter: 0 };
        gossip_repeatedly(&mut fleet, 5, |_| update(2, ahead, State::Alive, 11));
    }
    assert!(fleet.until(seconds(10.0), Net::agrees).is_some());
    // A datagram is malformed if its epoch is too large for any member to choose a later one.
    let beyond = Incarnation { epoch: 1 << 47, counter: 0 };
    let own = incarnation(&fleet, 11);
    let bytes = datagram_bytes(11, own, Message::Gossip, vec![update(2, beyond, State::Alive, 11)]);
    assert!(decode(cluster_hash(), &bytes).is_err());
    // Member 11 claims a future epoch for itself and crashes. The restarted member has to choose a later epoch.
    let far = Incarnation { epoch: START_UNIX_MS + 300 * 24 * 3_600_000, counter: 0 };
    gossip_to_all(&mut fleet, far, Vec::new());
    fleet.kill(11);
    fleet.play(seconds(1.0));
    start(&mut fleet, config(11, 12));
    assert!(
        fleet.until(seconds(15.0), Net::agrees).is_some(),
        "the restarted member's epoch was not accepted"
    );
}

/// False epochs, too far ahead for the members to choose later ones, of members that no other member has pinged yet.
#[test]
fn false_epoch_of_never_acked_member_is_replaced() {
    for seed in 0..5 {
        let mut fleet = Net::new(12, seed);
        for number in 0..11 {
            start(&mut fleet, config(number, 12));
        }
        let beyond = Incarnation { epoch: 1 << 46, counter: 0 };
        let own = Incarnation { epoch: wall_clock_ms(&fleet), counter: 0 };
        for to in 0..11 {
            for of in (0..11).filter(|of| *of != to) {
                fleet.inject(
                    address(11),
                    to,
                    datagram_bytes(11, own, Message::Gossip, vec![update(of, beyond, State::Alive, 11)]),
                );
            }
        }
        // A false member 11 claims such an epoch for itself; then the true member 11 starts.
        fleet.play(seconds(1.0));
        gossip_to_all(&mut fleet, beyond, Vec::new());
        fleet.play(seconds(1.0));
        start(&mut fleet, config(11, 12));
        let views_have_true_epochs = |fleet: &Fleet| {
            let peers = (0..12).filter_map(|by| fleet.peer(by));
            let mut epochs = peers.flat_map(|peer| peer.members().map(|member| member.incarnation.epoch));
            epochs.all(|epoch| epoch < beyond.epoch)
        };
        let converged = fleet.until(seconds(60.0), |fleet| fleet.agrees() && views_have_true_epochs(fleet));
        assert!(converged.is_some(), "seed {seed}: the views did not converge to the true epochs");
        // Members that know each other by false epochs respond to each other's datagrams, and must not do so
        // indefinitely.
        let seconds = fleet.passed().0 / 1_000_000 + 1;
        assert!(fleet.sent.0 < 12 * 60 * seconds, "seed {seed}: {} datagrams in {seconds} s", fleet.sent.0);
    }
}

#[test]
fn identity_conflicts_are_rejected_and_reported_once() {
    let mut fleet = fleet(12, 6);
    let future = Incarnation { epoch: START_UNIX_MS + 1_000_000, counter: 0 };
    for _ in 0..5 {
        fleet.inject(address(500), 3, datagram_bytes(7, future, Message::Gossip, Vec::new()));
        fleet.inject(address(500), 7, datagram_bytes(7, future, Message::Gossip, Vec::new()));
        fleet.play(seconds(0.2));
    }
    let reported = |change: &Change| fleet.seen.iter().filter(|seen| seen.change == *change).count();
    assert_eq!(reported(&Change::AddressMismatch(Id(7), address(500))), 1, "reports of five mismatches");
    assert_eq!(reported(&Change::DuplicateIdentity), 1);
    assert!(fleet.agrees());
    assert!(incarnation(&fleet, 7).epoch < future.epoch);
    let stats = fleet.peer(3).expect("the member is running").stats();
    assert_eq!(stats.rejected[5], 5);
}

#[test]
fn stale_datagrams_of_former_process_change_nothing() {
    let mut fleet = fleet(12, 8);
    let former = incarnation(&fleet, 4);
    let old =
        datagram_bytes(4, former, Message::Gossip, vec![update(5, incarnation(&fleet, 5), State::Dead, 4)]);
    fleet.kill(4);
    fleet.play(seconds(1.0));
    start(&mut fleet, config(4, 12));
    fleet.play(seconds(20.0));
    assert!(fleet.agrees());
    let (from, restarted) = (fleet.now(), incarnation(&fleet, 4));
    for to in (0..12).filter(|n| *n != 4) {
        fleet.inject(address(4), to, old.clone());
    }
    fleet.play(seconds(5.0));
    assert!(fleet.agrees());
    assert_eq!(declared_deaths(&fleet, from), []);
    let known =
        fleet.peer(0).and_then(|p| p.member(Id(4))).expect("the view contains the member").incarnation;
    assert!(known.epoch == restarted.epoch && known.epoch > former.epoch);
}
