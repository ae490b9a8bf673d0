//! What peers can do with words: false ones, old ones, other clusters', spoilt ones.

mod common;

use bellcroft_balancer::{Micros, Time};
use bellcroft_membership::{
    decode, encode, Change, Datagram, Id, Incarnation, Membership, Message, Output, PeerReports, QuorumState,
    ReportVerdict, Role, State, Update, MAX_DATAGRAM_BYTES, MAX_HINT_BYTES,
};
use bellcroft_simulation::fleet::{address, Link, Net};
use common::*;
use proptest::prelude::*;
use std::net::SocketAddr;

fn mark() -> u64 {
    bellcroft_platform_settings::fnv1a("south")
}

fn says(from: usize, version: Incarnation, kind: Message, news: Vec<Update>) -> Vec<u8> {
    let fresh = news.len() as u8;
    let datagram = Datagram {
        from: Id(from as u32),
        incarnation: version,
        site: 0,
        role: Role::Agent,
        message: kind,
        new_updates: fresh,
        updates: news,
    };
    encode(mark(), &datagram).0
}

fn version(fleet: &Fleet, of: usize) -> Incarnation {
    fleet.peer(of).expect("it runs").incarnation()
}

fn claim(id: usize, version: Incarnation, state: State, by: usize) -> Update {
    Update {
        id: Id(id as u32),
        incarnation: version,
        state,
        reported_by: Id(by as u32),
        site: 0,
        role: Role::Agent,
        address: None,
    }
}

/// Member 11 tells everybody the same thing, ten times a second for so many seconds.
fn spread(fleet: &mut Fleet, for_seconds: u32, lie: impl Fn(&Fleet) -> Update) {
    for _ in 0..for_seconds * 10 {
        let (own, rumour) = (version(fleet, 11), lie(fleet));
        for to in 0..11 {
            fleet.inject(address(11), to, says(11, own, Message::Gossip, vec![rumour.clone()]));
        }
        fleet.play(seconds(0.1));
    }
}

#[test]
fn a_peer_that_calls_a_live_member_dead_or_gone_kills_nobody() {
    let cases = [State::Suspect, State::Dead, State::Left].map(|state| [(state, 0.0), (state, 0.4)]);
    for (state, loss) in cases.into_iter().flatten() {
        let mut fleet = fleet(12, 4);
        let from = fleet.now();
        fleet.link = Box::new(move |_, _| Link { loss, ..Link::default() });
        spread(&mut fleet, 20, |fleet| claim(2, version(fleet, 2), state, 11));
        let lost = |seen: &&bellcroft_simulation::fleet::Seen| {
            seen.at >= from && matches!(seen.change, Change::Member { to: State::Dead | State::Left, .. })
        };
        assert_eq!(fleet.seen.iter().filter(lost).count(), 0, "{state:?}, {loss} lost");
        fleet.link = Box::new(|_, _| Link::default());
        assert!(fleet.until(seconds(10.0), Net::agrees).is_some(), "{state:?}");
    }
}

#[test]
fn a_peer_that_calls_a_dead_member_alive_delays_its_end_and_no_longer() {
    let mut fleet = fleet(12, 4);
    let last = version(&fleet, 2);
    fleet.kill(2);
    for round in (last.counter + 1..).take(200) {
        let lie = claim(2, Incarnation { counter: round, ..last }, State::Alive, 2);
        let own = version(&fleet, 11);
        (0..11)
            .for_each(|to| fleet.inject(address(11), to, says(11, own, Message::Gossip, vec![lie.clone()])));
        fleet.play(seconds(0.1));
    }
    let rest: Vec<usize> = (0..11).filter(|n| *n != 2).collect();
    assert!(fleet.until(bound(12), |f| hold(f, &rest, &[2], dead)).is_some());
}

#[test]
fn a_claim_of_another_s_life_stands_until_its_own_answer_and_its_own_never_holds_it_up() {
    let mut fleet = fleet(12, 4);
    // A life that lies a year ahead, of a member that is well; and one so far ahead that it would not go past it.
    let year = 365 * 24 * 3_600_000;
    for years in [1, 3] {
        let ahead = Incarnation { epoch: WALL + years * year, counter: 0 };
        spread(&mut fleet, 5, |_| claim(2, ahead, State::Alive, 11));
    }
    assert!(fleet.until(seconds(10.0), Net::agrees).is_some());
    // One that nothing could go past is refused whole.
    let beyond = Incarnation { epoch: 1 << 47, counter: 0 };
    let own = version(&fleet, 11);
    let bytes = says(11, own, Message::Gossip, vec![claim(2, beyond, State::Alive, 11)]);
    assert!(decode(mark(), &bytes).is_err());
    // About its own: member 11 claims the far future for itself, dies, and a true one starts after it.
    let far = Incarnation { epoch: WALL + 300 * 24 * 3_600_000, counter: 0 };
    for to in 0..11 {
        fleet.inject(address(11), to, says(11, far, Message::Gossip, Vec::new()));
    }
    fleet.kill(11);
    fleet.play(seconds(1.0));
    start(&mut fleet, config(11, 12));
    assert!(fleet.until(seconds(15.0), Net::agrees).is_some(), "it learns of that life and goes past it");
}

/// A life so far ahead that its member can't go past it, claimed of members that nobody has met yet.
#[test]
fn a_life_that_nobody_lives_is_given_up_for_a_member_s_own_answer() {
    for seed in 0..5 {
        let mut fleet = Net::new(12, seed);
        for number in 0..11 {
            start(&mut fleet, config(number, 12));
        }
        let beyond = Incarnation { epoch: 1 << 46, counter: 0 };
        let own = Incarnation { epoch: wall(&fleet), counter: 0 };
        for to in 0..11 {
            for of in (0..11).filter(|of| *of != to) {
                fleet.inject(
                    address(11),
                    to,
                    says(11, own, Message::Gossip, vec![claim(of, beyond, State::Alive, 11)]),
                );
            }
        }
        // And a number that was held by a liar, which said so of itself, is its member's once it is gone.
        fleet.play(seconds(1.0));
        let alone = says(11, beyond, Message::Gossip, Vec::new());
        (0..11).for_each(|to| fleet.inject(address(11), to, alone.clone()));
        fleet.play(seconds(1.0));
        start(&mut fleet, config(11, 12));
        let true_lives = |fleet: &Fleet| {
            let peers = (0..12).filter_map(|by| fleet.peer(by));
            let mut held = peers.flat_map(|peer| peer.members().map(|member| member.incarnation.epoch));
            held.all(|life| life < beyond.epoch)
        };
        let settled = fleet.until(seconds(60.0), |fleet| fleet.agrees() && true_lives(fleet));
        assert!(settled.is_some(), "seed {seed}: all are alive to all, in their own lives");
        // Those that hold each other in lives that neither lives tell each other so, and must not do so without end.
        let seconds = fleet.passed().0 / 1_000_000 + 1;
        assert!(fleet.sent.0 < 12 * 60 * seconds, "seed {seed}: {} datagrams in {seconds} s", fleet.sent.0);
    }
}

#[test]
fn a_number_that_speaks_from_another_place_is_a_stranger_and_one_s_own_is_told_of() {
    let mut fleet = fleet(12, 6);
    let future = Incarnation { epoch: WALL + 1_000_000, counter: 0 };
    for _ in 0..5 {
        fleet.inject(address(500), 3, says(7, future, Message::Gossip, Vec::new()));
        fleet.inject(address(500), 7, says(7, future, Message::Gossip, Vec::new()));
        fleet.play(seconds(0.2));
    }
    let told = |change: &Change| fleet.seen.iter().filter(|seen| seen.change == *change).count();
    assert_eq!(told(&Change::AddressMismatch(Id(7), address(500))), 1, "once, not once a datagram");
    assert_eq!(told(&Change::DuplicateIdentity), 1);
    assert!(fleet.agrees());
    assert!(version(&fleet, 7).epoch < future.epoch);
    let figures = fleet.peer(3).expect("it runs").stats();
    assert_eq!(figures.rejected[5], 5);
}

#[test]
fn datagrams_of_a_former_life_an_hour_old_change_nothing() {
    let mut fleet = fleet(12, 8);
    let former = version(&fleet, 4);
    let old = says(4, former, Message::Gossip, vec![claim(5, version(&fleet, 5), State::Dead, 4)]);
    fleet.kill(4);
    fleet.play(seconds(1.0));
    start(&mut fleet, config(4, 12));
    fleet.play(seconds(20.0));
    assert!(fleet.agrees());
    let (from, anew) = (fleet.now(), version(&fleet, 4));
    for to in (0..12).filter(|n| *n != 4) {
        fleet.inject(address(4), to, old.clone());
    }
    fleet.play(seconds(5.0));
    assert!(fleet.agrees());
    assert_eq!(deaths(&fleet, from), []);
    let held = fleet.peer(0).and_then(|p| p.member(Id(4))).expect("known").incarnation;
    assert!(held.epoch == anew.epoch && held.epoch > former.epoch);
}

#[test]
fn bytes_of_another_cluster_form_or_length_are_counted_and_left() {
    let mut fleet = fleet(2, 1);
    let good = says(1, version(&fleet, 1), Message::Gossip, Vec::new());
    let mut older = good.clone();
    older[0] = 0;
    let mut newer = good.clone();
    newer[0] = 2;
    let datagram = decode(mark(), &good).expect("a datagram");
    let foreign = encode(mark() ^ 1, &datagram).0;
    let mut spoilt = good.clone();
    spoilt[12] ^= 4;
    let long = vec![1; 65_000];
    let before = fleet.peer(0).expect("it runs").stats();
    for bytes in [older, newer, foreign, spoilt, long, Vec::new()] {
        fleet.inject(address(1), 0, bytes);
    }
    fleet.play(seconds(0.1));
    let figures = fleet.peer(0).expect("it runs").stats();
    let counted: Vec<u64> =
        figures.rejected.iter().zip(before.rejected).map(|(now, then)| now - then).collect();
    assert_eq!(counted, [2, 2, 1, 1, 0, 0, 0, 0], "length, version, cluster, spoilt");
    assert!(fleet.agrees());
}

#[test]
fn hints_go_to_members_that_are_here_and_have_their_bounds() {
    let mut fleet = fleet(3, 1);
    let mut told = Vec::new();
    fleet.with(0, |peer, now, out| told.push(peer.send_hint(now, Id(1), vec![1, 2, 3, 4], out)));
    fleet.with(0, |peer, now, out| told.push(peer.send_hint(now, Id(1), vec![0; MAX_HINT_BYTES + 1], out)));
    fleet.with(0, |peer, now, out| told.push(peer.send_hint(now, Id(9), vec![1], out)));
    fleet.play(seconds(0.1));
    assert_eq!(told, [true, false, false]);
    assert_eq!(fleet.hints, [(1, Id(0), vec![1, 2, 3, 4])]);

    let mut hearsay = PeerReports::default();
    let now = Time(1_000_000);
    let server = |n: u32| n.to_be_bytes().to_vec();
    // A peer that lies about one server after another: nobody else says so, and that is all that it can say.
    let heard: Vec<ReportVerdict> = (0..8).map(|n| hearsay.on_report(now, Id(1), &server(n), 40)).collect();
    assert_eq!(heard, [ReportVerdict::Unconfirmed; 8]);
    assert_eq!(hearsay.on_report(now, Id(1), &server(8), 40), ReportVerdict::RateLimited);
    // Two that lie together: a quarter of forty, whatever they say.
    let second: Vec<ReportVerdict> = (0..8).map(|n| hearsay.on_report(now, Id(2), &server(n), 40)).collect();
    assert_eq!(second, [ReportVerdict::Accepted; 8]);
    let more = |n: u32| [Id(3), Id(4)].map(|by| hearsay.on_report(now, by, &server(n), 40));
    let heard: Vec<[ReportVerdict; 2]> = [8, 9, 10].map(more).into();
    let (taken, many) = (
        [ReportVerdict::Unconfirmed, ReportVerdict::Accepted],
        [ReportVerdict::TooManyServers, ReportVerdict::TooManyServers],
    );
    assert_eq!(heard, [taken, taken, many], "a quarter, of all peers together");
    assert_eq!(
        hearsay.on_report(now, Id(3), &server(9), 40),
        ReportVerdict::Accepted,
        "one that is doubted already"
    );
    let later = now + seconds(5.0);
    assert_eq!(hearsay.on_report(later, Id(3), &server(10), 40), ReportVerdict::Unconfirmed, "words fade");
    assert_eq!(hearsay.on_report(later, Id(4), &server(10), 40), ReportVerdict::Accepted, "and so do doubts");
    assert_eq!(
        [5, 6].map(|by| hearsay.on_report(later, Id(by), &server(1), 1))[1],
        ReportVerdict::TooManyServers,
        "never the last"
    );
}

#[test]
fn what_is_counted_for_the_whole_fleet_shrinks_at_once_and_grows_after_the_stated_time() {
    use bellcroft_membership::FleetSize as Size;
    let (keep, at) = (seconds(60.0), |s: u64| Time(s * 1_000_000));
    let mut size = Size::new(12, keep);
    assert_eq!(size.effective(at(0)), 12);
    size.observe(at(1), 6);
    assert_eq!(size.effective(at(1)), 12, "never by who answers");
    size.observe(at(2), 40);
    assert_eq!(size.effective(at(2)), 40, "at once");
    (3..63).for_each(|s| size.observe(at(s), 20));
    assert_eq!(size.effective(at(62)), 40);
    assert_eq!(size.effective(at(63)), 20, "a minute after they were last seen");
    size.set_roster(at(64), 30);
    assert_eq!((size.effective(at(64)), size.roster()), (30, 30));
    size.set_roster(at(70), 5);
    assert_eq!(size.effective(at(70)), 30, "a smaller roster too");
    assert_eq!(size.effective(at(131)), 5);
}

#[test]
fn a_large_fleet_s_views_are_bounded_hang_together_and_tell_its_size_within_the_stated_error() {
    use bellcroft_membership::{Member, View};
    let members = 5_000_u32;
    let views: Vec<View> = (0..members)
        .step_by(50)
        .map(|own| {
            let mut view = View::new(Id(own), 256);
            // Everybody is heard of several times, in any order: neither changes the sample.
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
    let mut off = 0.0_f64;
    let mut within = 0;
    let mut named = std::collections::BTreeMap::new();
    for view in &views {
        assert_eq!(view.iter().count(), 256);
        let (size, error) = view.size();
        let error = error.expect("it is a sample");
        assert!((error - 0.0627).abs() < 0.001);
        let wrong = size / f64::from(members) - 1.0;
        off += wrong / views.len() as f64;
        within += usize::from(wrong.abs() < 2.0 * error);
        view.iter().for_each(|m| *named.entry(m.id).or_insert(0_usize) += 1);
    }
    assert!(off.abs() < 0.03, "no bias: {off}");
    assert!(within >= 90, "two standard errors hold in 95 of 100: {within}");
    // Each is in 256 of 5,000 views: in 5 of these 100, give or take.
    assert!(
        named.len() > 4_900 && named.values().all(|n| *n < 25),
        "nobody is in all, hardly anybody in none"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_bytes_panic_or_grow_a_member(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        prop_assert!(decode(mark(), &bytes).is_err());
        // The same behind a head and a check that are good: what reads the body sees anything at all.
        let mut good = vec![1, 0];
        good.extend(mark().to_le_bytes());
        good.extend(bytes.iter().take(MAX_DATAGRAM_BYTES - 14));
        let check = crc32c::crc32c(&good).to_le_bytes();
        good.extend(check);
        let mut member = Membership::new(config(0, 4), Time(5_000_000), WALL, 1);
        let mut out: Vec<Output> = Vec::new();
        for from in 0..5 {
            member.receive(Time(5_000_000), address(from), &good, &mut out);
        }
        prop_assert!(out.len() < 64 && member.members().count() <= 4 + 24);
        if let Ok(datagram) = decode(mark(), &good) {
            let (bytes, fit) = encode(mark(), &datagram);
            prop_assert_eq!(fit, datagram.updates.len());
            prop_assert_eq!(decode(mark(), &bytes), Ok(datagram));
        }
    }

    #[test]
    fn every_datagram_is_read_as_it_was_written_and_never_longer_than_256_bytes(
        ids in proptest::collection::vec((any::<u32>(), 0..1_u64 << 47, any::<u32>(), any::<bool>()), 0..40),
        hint in proptest::collection::vec(any::<u8>(), 0..=MAX_HINT_BYTES),
    ) {
        let six: SocketAddr = "[2001:db8::1]:65535".parse().expect("an address");
        let news: Vec<Update> = ids
            .iter()
            .map(|(id, life, round, with)| Update {
                address: with.then_some(six),
                ..claim(*id as usize, Incarnation { epoch: *life, counter: *round }, State::Suspect, u32::MAX as usize)
            })
            .collect();
        let far = Incarnation { epoch: (1 << 47) - 1, counter: u32::MAX };
        let datagram = Datagram {
            from: Id(u32::MAX),
            incarnation: far,
            site: 255,
            role: Role::Observer,
            message: Message::Hint { payload: hint },
            new_updates: 3,
            updates: news,
        };
        let (bytes, fit) = encode(mark(), &datagram);
        prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        let read = decode(mark(), &bytes);
        let whole = Datagram { updates: datagram.updates[..fit].to_vec(), ..datagram.clone() };
        prop_assert_eq!(read, Ok(whole));
        for kind in [
            Message::PingRequest { seq: u32::MAX, target: Id(u32::MAX), address: Some(six) },
            Message::Ack { seq: u32::MAX, of: Id(u32::MAX), incarnation: far },
        ] {
            let bare = Datagram { message: kind, updates: Vec::new(), ..datagram.clone() };
            prop_assert_eq!(decode(mark(), &encode(mark(), &bare).0), Ok(bare));
        }
    }
}

/// Members, kills, stalls, cuts, losses and restarts as they come, from a seed; in the end all must agree.
#[test]
fn any_order_of_faults_ends_in_one_true_view_and_the_dead_never_return() {
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
        let quiet = bound(members) * 6.0;
        assert!(fleet.until(quiet, Fleet::agrees).is_some(), "seed {seed}: one view in the quiet tail");
        let from = fleet.now();
        fleet.play(seconds(20.0));
        assert!(fleet.agrees(), "seed {seed}: and it stays");
        let runs = fleet.running();
        let false_ones: Vec<_> =
            deaths(&fleet, from).into_iter().filter(|(_, of)| runs.contains(of)).collect();
        assert_eq!(false_ones, [], "seed {seed}");
        for number in runs {
            let expected = members;
            let peer = fleet.peer(number).expect("it runs");
            assert!(peer.effective_size(fleet.now()) as usize == expected, "seed {seed}");
            let here = 1 + peer.members().filter(|m| m.state.is_reachable()).count();
            assert_eq!(here == members, peer.quorum_state() == QuorumState::Complete, "seed {seed}");
        }
        assert!(fleet.longest <= 256);
    }
}
