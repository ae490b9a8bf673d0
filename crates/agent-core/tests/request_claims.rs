//! The claims to the ids of requests.

use bellcroft_agent_core::request_claims::{ClaimEvent, Claimant, RequestClaims, RequestIdHash};
use bellcroft_balancer::Time;

const SECOND: u64 = 1_000_000;
const ONE: Claimant = Claimant(1);
const OTHER: Claimant = Claimant(2);

#[test]
fn id_is_remembered_for_longer_than_a_request_runs() {
    let mut claims = RequestClaims::default();
    let start = 1_000 * SECOND;
    for second in 0..300 {
        claims.apply(Time(start + second * SECOND), ClaimEvent::Claimed(RequestIdHash(second), ONE));
        for age in 0..=second.min(60) {
            let claimant = claims.claimant(RequestIdHash(second - age));
            assert_eq!(claimant, Some(ONE), "{age} s ago, at {second} s");
        }
    }
    assert_eq!(claims.claimant(RequestIdHash(0)), None, "not forever");
    assert_eq!(claims.claimant(RequestIdHash(1_000)), None);
}

#[test]
fn memory_is_bounded_whatever_the_rate() {
    let mut claims = RequestClaims::default();
    for id in 0..1_000_000 {
        claims.apply(Time(SECOND), ClaimEvent::Claimed(RequestIdHash(id), ONE));
    }
    assert!((10_000..100_000).contains(&claims.iter().count()));
    let latest = (990_000..1_000_000).map(RequestIdHash);
    assert!(latest.into_iter().all(|id| claims.claimant(id).is_some()), "the latest are remembered");
}

/// Two processes that claim an id in one moment: the first has it until it releases it, whatever the second does.
#[test]
fn first_claimant_has_the_id() {
    let (now, id) = (Time(SECOND), RequestIdHash(7));
    let mut claims = RequestClaims::default();
    claims.apply(now, ClaimEvent::Claimed(id, ONE));
    claims.apply(now, ClaimEvent::Claimed(id, OTHER));
    assert_eq!(claims.claimant(id), Some(ONE));
    claims.apply(now, ClaimEvent::Released(id, OTHER));
    assert_eq!(claims.claimant(id), Some(ONE), "the second never had it");
    claims.apply(now, ClaimEvent::Released(id, ONE));
    assert_eq!(claims.claimant(id), None);
    claims.apply(now, ClaimEvent::Claimed(id, OTHER));
    assert_eq!(claims.claimant(id), Some(OTHER));
}
