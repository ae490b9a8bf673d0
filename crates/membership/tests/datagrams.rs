//! The wire format: round trips, and bytes that are not a datagram of this cluster.

mod common;

use bellcroft_balancer::Time;
use bellcroft_membership::{
    decode, encode, Datagram, Id, Incarnation, Membership, Message, Output, Role, State, Update,
    MAX_DATAGRAM_BYTES, MAX_HINT_BYTES,
};
use bellcroft_simulation::fleet::address;
use common::*;
use proptest::prelude::*;
use std::net::SocketAddr;

#[test]
fn foreign_or_corrupt_datagrams_are_counted_and_ignored() {
    let mut fleet = fleet(2, 1);
    let good = datagram_bytes(1, incarnation(&fleet, 1), Message::Gossip, Vec::new());
    let mut older = good.clone();
    older[0] = 0;
    let mut newer = good.clone();
    newer[0] = 2;
    let datagram = decode(cluster_hash(), &good).expect("a valid datagram");
    let foreign = encode(cluster_hash() ^ 1, &datagram).0;
    let mut corrupt = good.clone();
    corrupt[12] ^= 4;
    let long = vec![1; 65_000];
    let before = fleet.peer(0).expect("the member is running").stats();
    for bytes in [older, newer, foreign, corrupt, long, Vec::new()] {
        fleet.inject(address(1), 0, bytes);
    }
    fleet.play(seconds(0.1));
    let stats = fleet.peer(0).expect("the member is running").stats();
    let counted: Vec<u64> =
        stats.rejected.iter().zip(before.rejected).map(|(now, then)| now - then).collect();
    assert_eq!(counted, [2, 2, 1, 1, 0, 0, 0, 0], "length, version, cluster, corrupt");
    assert!(fleet.agrees());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_cause_no_panic_and_no_unbounded_view(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        prop_assert!(decode(cluster_hash(), &bytes).is_err());
        // A valid header and checksum around the bytes, so that they are decoded as a body.
        let mut good = vec![1, 0];
        good.extend(cluster_hash().to_le_bytes());
        good.extend(bytes.iter().take(MAX_DATAGRAM_BYTES - 14));
        let checksum = crc32c::crc32c(&good).to_le_bytes();
        good.extend(checksum);
        let mut member = Membership::new(config(0, 4), Time(5_000_000), START_UNIX_MS, 1);
        let mut out: Vec<Output> = Vec::new();
        for from in 0..5 {
            member.receive(Time(5_000_000), address(from), &good, &mut out);
        }
        prop_assert!(out.len() < 64 && member.members().count() <= 4 + 24);
        if let Ok(datagram) = decode(cluster_hash(), &good) {
            let (bytes, encoded) = encode(cluster_hash(), &datagram);
            prop_assert_eq!(encoded, datagram.updates.len());
            prop_assert_eq!(decode(cluster_hash(), &bytes), Ok(datagram));
        }
    }

    #[test]
    fn encoded_datagrams_round_trip_within_256_bytes(
        ids in proptest::collection::vec((any::<u32>(), 0..1_u64 << 47, any::<u32>(), any::<bool>()), 0..40),
        hint in proptest::collection::vec(any::<u8>(), 0..=MAX_HINT_BYTES),
    ) {
        let ipv6: SocketAddr = "[2001:db8::1]:65535".parse().expect("a valid address");
        let updates: Vec<Update> = ids
            .iter()
            .map(|(id, epoch, counter, with_address)| Update {
                address: with_address.then_some(ipv6),
                ..update(*id as usize, Incarnation { epoch: *epoch, counter: *counter }, State::Suspect, u32::MAX as usize)
            })
            .collect();
        let max_incarnation = Incarnation { epoch: (1 << 47) - 1, counter: u32::MAX };
        let datagram = Datagram {
            from: Id(u32::MAX),
            incarnation: max_incarnation,
            site: 255,
            role: Role::Observer,
            message: Message::Hint { payload: hint },
            new_updates: 3,
            updates,
        };
        let (bytes, encoded) = encode(cluster_hash(), &datagram);
        prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        let decoded = decode(cluster_hash(), &bytes);
        let expected = Datagram { updates: datagram.updates[..encoded].to_vec(), ..datagram.clone() };
        prop_assert_eq!(decoded, Ok(expected));
        for message in [
            Message::PingRequest { seq: u32::MAX, target: Id(u32::MAX), address: Some(ipv6) },
            Message::Ack { seq: u32::MAX, target: Id(u32::MAX), incarnation: max_incarnation },
        ] {
            let without_updates = Datagram { message, updates: Vec::new(), ..datagram.clone() };
            prop_assert_eq!(decode(cluster_hash(), &encode(cluster_hash(), &without_updates).0), Ok(without_updates));
        }
    }
}
