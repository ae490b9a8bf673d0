//! Simulated fleets for the tests, and functions to inspect the views of their members.
#![allow(dead_code)]

use bellcroft_balancer::{Micros, Time};
use bellcroft_membership::{
    encode, Change, Config, Datagram, Id, Incarnation, Membership, Message, QuorumState, Role, State, Update,
};
use bellcroft_simulation::fleet::{address, Link, Net};
use std::collections::BTreeMap;

pub type Fleet = Net<Membership>;

/// The wall-clock time at the start of a simulation, in Unix milliseconds.
pub const START_UNIX_MS: u64 = 1_790_000_000_000;

pub fn seconds(s: f64) -> Micros {
    Micros::from_ms(s * 1e3)
}

pub fn config(number: usize, members: usize) -> Config {
    Config::new("south", number as u32, (0..members).map(address).collect::<Vec<_>>())
}

/// The current wall-clock time of a simulation, in Unix milliseconds.
pub fn wall_clock_ms(fleet: &Fleet) -> u64 {
    START_UNIX_MS + fleet.passed().0 / 1000
}

/// Starts a member that knows only its configuration.
pub fn start(fleet: &mut Fleet, config: Config) {
    let epoch = wall_clock_ms(fleet);
    start_with_epoch(fleet, config, epoch);
}

/// Starts a member with this epoch, the time that its wall clock shows.
pub fn start_with_epoch(fleet: &mut Fleet, config: Config, epoch: u64) {
    let (number, now) = (config.number.0 as usize, fleet.now());
    let seed = epoch ^ (number as u64).wrapping_mul(0x9e37_79b9);
    fleet.start(number, Membership::new(config, now, epoch, seed));
}

/// A fleet in which the views of all members have converged.
pub fn fleet(members: usize, seed: u64) -> Fleet {
    let mut fleet = Net::new(members, seed);
    for number in 0..members {
        start(&mut fleet, config(number, members));
    }
    let converged = fleet.until(seconds(10.0), Fleet::agrees);
    assert!(converged.is_some(), "the fleet did not converge");
    fleet
}

/// The documented bound of the time in which a crash is detected on healthy links.
pub fn detection_bound(members: usize) -> Micros {
    config(0, members).detection_bound(members as u32)
}

pub fn known_state(fleet: &Fleet, by: usize, of: usize) -> Option<State> {
    fleet.peer(by).and_then(|peer| peer.member(Id(of as u32))).map(|member| member.state)
}

pub fn quorum_state(fleet: &Fleet, by: usize) -> QuorumState {
    fleet.peer(by).expect("the member is running").quorum_state()
}

/// Whether, in the views of all members in `by`, the states of all other members in `of` match.
pub fn all_views_match(fleet: &Fleet, by: &[usize], of: &[usize], matches: fn(State) -> bool) -> bool {
    by.iter().all(|by| {
        of.iter().filter(|of| *of != by).all(|of| known_state(fleet, *by, *of).is_some_and(matches))
    })
}

pub fn is_dead(state: State) -> bool {
    state == State::Dead
}

pub fn is_alive(state: State) -> bool {
    state == State::Alive
}

/// Members declared dead since `from`, as pairs of the declaring member and the one declared dead.
pub fn declared_deaths(fleet: &Fleet, from: Time) -> Vec<(usize, usize)> {
    let death = |seen: &bellcroft_simulation::fleet::Seen| match seen.change {
        Change::Member { id, to: State::Dead, .. } => Some((seen.by, id.0 as usize)),
        _ => None,
    };
    fleet.seen.iter().filter(|seen| seen.at >= from).filter_map(death).collect()
}

/// The links of a partitioned network: no datagram is delivered between members of different groups.
pub fn partition(groups: &[&[usize]]) -> impl Fn(usize, usize) -> Link + 'static {
    let mut group = BTreeMap::new();
    for (number, members) in groups.iter().enumerate() {
        group.extend(members.iter().map(|member| (*member, number)));
    }
    move |a, b| Link { cut: group.get(&a) != group.get(&b), ..Link::default() }
}

/// The hash of the name of the tests' cluster.
pub fn cluster_hash() -> u64 {
    bellcroft_platform_settings::fnv1a("south")
}

/// The encoding of a datagram of member `from` whose receiver forwards all updates.
pub fn datagram_bytes(
    from: usize,
    incarnation: Incarnation,
    message: Message,
    updates: Vec<Update>,
) -> Vec<u8> {
    let datagram = Datagram {
        from: Id(from as u32),
        incarnation,
        site: 0,
        role: Role::Agent,
        message,
        new_updates: updates.len() as u8,
        updates,
    };
    encode(cluster_hash(), &datagram).0
}

/// The incarnation that a member has of itself.
pub fn incarnation(fleet: &Fleet, of: usize) -> Incarnation {
    fleet.peer(of).expect("the member is running").incarnation()
}

/// An update without an address.
pub fn update(id: usize, incarnation: Incarnation, state: State, reported_by: usize) -> Update {
    Update {
        id: Id(id as u32),
        incarnation,
        state,
        reported_by: Id(reported_by as u32),
        site: 0,
        role: Role::Agent,
        address: None,
    }
}
