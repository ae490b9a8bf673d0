//! Fleets for the tests, and an observer that knows what membership promises and nothing of how it is kept.
#![allow(dead_code)]

use bellcroft_balancer::{Micros, Time};
use bellcroft_membership::{Change, Config, Id, Membership, QuorumState, State};
use bellcroft_simulation::fleet::{address, Link, Net};
use std::collections::BTreeMap;

pub type Fleet = Net<Membership>;

/// Wall clocks begin here, in Unix milliseconds.
pub const WALL: u64 = 1_790_000_000_000;

pub fn seconds(s: f64) -> Micros {
    Micros::from_ms(s * 1e3)
}

pub fn config(number: usize, members: usize) -> Config {
    Config::new("south", number as u32, (0..members).map(address).collect::<Vec<_>>())
}

/// The wall clock of a played moment.
pub fn wall(fleet: &Fleet) -> u64 {
    WALL + fleet.passed().0 / 1000
}

/// Starts a member from nothing.
pub fn start(fleet: &mut Fleet, config: Config) {
    let life = wall(fleet);
    start_in(fleet, config, life);
}

/// Starts a member whose clock says something else.
pub fn start_in(fleet: &mut Fleet, config: Config, life: u64) {
    let (number, now) = (config.number.0 as usize, fleet.now());
    let seed = life ^ (number as u64).wrapping_mul(0x9e37_79b9);
    fleet.start(number, Membership::new(config, now, life, seed));
}

/// A fleet in which all have found each other.
pub fn fleet(members: usize, seed: u64) -> Fleet {
    let mut fleet = Net::new(members, seed);
    for number in 0..members {
        start(&mut fleet, config(number, members));
    }
    let found = fleet.until(seconds(10.0), Fleet::agrees);
    assert!(found.is_some(), "the fleet finds together");
    fleet
}

/// The bound that the operators' page states for a killed member, on healthy links.
pub fn bound(members: usize) -> Micros {
    config(0, members).detection_bound(members as u32)
}

pub fn state(fleet: &Fleet, by: usize, of: usize) -> Option<State> {
    fleet.peer(by).and_then(|peer| peer.member(Id(of as u32))).map(|member| member.state)
}

pub fn stance(fleet: &Fleet, by: usize) -> QuorumState {
    fleet.peer(by).expect("it runs").quorum_state()
}

/// All of these hold all of those in such a state.
pub fn hold(fleet: &Fleet, by: &[usize], of: &[usize], wanted: fn(State) -> bool) -> bool {
    by.iter().all(|by| of.iter().filter(|of| *of != by).all(|of| state(fleet, *by, *of).is_some_and(wanted)))
}

pub fn dead(state: State) -> bool {
    state == State::Dead
}

pub fn alive(state: State) -> bool {
    state == State::Alive
}

/// Deaths that were told since `from`: who told, of whom.
pub fn deaths(fleet: &Fleet, from: Time) -> Vec<(usize, usize)> {
    let death = |seen: &bellcroft_simulation::fleet::Seen| match seen.change {
        Change::Member { id, to: State::Dead, .. } => Some((seen.by, id.0 as usize)),
        _ => None,
    };
    fleet.seen.iter().filter(|seen| seen.at >= from).filter_map(death).collect()
}

/// Nothing passes between members of different groups.
pub fn cut(groups: &[&[usize]]) -> impl Fn(usize, usize) -> Link + 'static {
    let mut group = BTreeMap::new();
    for (number, members) in groups.iter().enumerate() {
        group.extend(members.iter().map(|member| (*member, number)));
    }
    move |a, b| Link { cut: group.get(&a) != group.get(&b), ..Link::default() }
}
