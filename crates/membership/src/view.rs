//! The members that an instance knows: all of a small fleet, a sample of a large one.

use crate::member::{Id, Member, State};
use std::collections::{BTreeMap, BTreeSet};

/// Minimum capacity of a view.
const MIN_CAPACITY: usize = 4;
/// Minimum number of reachable members for a size estimate from a sample; with fewer its error is too large.
const MIN_ESTIMATE_SAMPLE: usize = 8;

/// The members that an instance knows, without itself.
///
/// A full view keeps the members with the lowest ranks; a rank is a hash of the numbers of the view's owner and the
/// member. So a view is a uniform sample of all members that were ever reported, however often each of them was
/// reported ("min-wise" sampling, Bortnikov et al., "Brahms", 2008), and no member can place itself in all views. The
/// ranks also give an estimate of the number of members: if the k-th lowest of n uniform ranks is u, n is about
/// (k - 1) / u, with a relative standard error of 1 / sqrt(k - 2) (Bar-Yossef et al., "Counting distinct elements in a
/// data stream", 2002).
#[derive(Debug, Clone)]
pub struct View {
    own_id: Id,
    capacity: usize,
    members: BTreeMap<Id, Member>,
    /// Numbers of all members in no particular order, for random draws.
    ids: Vec<Id>,
    /// Reachable members by rank. An index of its own, as each datagram needs the fleet's size.
    reachable: BTreeSet<(u64, Id)>,
    /// All members in reverse order of eviction: the last one is evicted first.
    eviction_order: BTreeSet<EvictionKey>,
    /// Whether some member was left out for lack of room.
    is_sample: bool,
}

/// The order of eviction: dead and left members first, then the highest ranks. Absent members rank like reachable ones;
/// otherwise the sample would consist of the first members to send a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionKey {
    dead_or_left: bool,
    rank: u64,
    id: Id,
}

impl View {
    /// An empty view of the instance with this number.
    pub fn new(own_id: Id, capacity: usize) -> Self {
        View {
            own_id,
            capacity: capacity.max(MIN_CAPACITY),
            members: BTreeMap::new(),
            ids: Vec::new(),
            reachable: BTreeSet::new(),
            eviction_order: BTreeSet::new(),
            is_sample: false,
        }
    }

    /// The rank of a member, uniform over all 64-bit numbers: the finalizer of SplitMix64 (Steele et al., 2014) over the
    /// numbers of the owner and the member.
    fn rank(&self, id: Id) -> u64 {
        let mut x = (u64::from(self.own_id.0) << 32 | u64::from(id.0)).wrapping_add(0x9e37_79b9_7f4a_7c15);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    fn eviction_key(&self, id: Id, state: State) -> EvictionKey {
        EvictionKey { dead_or_left: matches!(state, State::Dead | State::Left), rank: self.rank(id), id }
    }

    /// Adds the members of a roster, or those with the lowest ranks if the roster exceeds the capacity.
    pub fn add_roster(&mut self, roster: impl Iterator<Item = Member>) {
        let others = roster.filter(|member| member.id != self.own_id);
        let mut ranked: Vec<(u64, Member)> = others.map(|member| (self.rank(member.id), member)).collect();
        if ranked.len() > self.capacity {
            self.is_sample = true;
            ranked.select_nth_unstable_by(self.capacity, |a, b| a.0.cmp(&b.0));
            ranked.truncate(self.capacity);
        }
        ranked.into_iter().for_each(|(_, member)| self.insert(member));
    }

    fn insert(&mut self, member: Member) {
        let (id, state) = (member.id, member.state);
        match self.members.insert(id, member) {
            Some(former) => self.unindex(id, former.state),
            None => self.ids.push(id),
        }
        self.index(id, state);
    }

    fn remove(&mut self, id: Id) {
        if let Some(member) = self.members.remove(&id) {
            self.unindex(id, member.state);
        }
        self.ids.retain(|other| *other != id);
    }

    /// Adds a member with this state to the ordered sets.
    fn index(&mut self, id: Id, state: State) {
        let key = self.eviction_key(id, state);
        self.eviction_order.insert(key);
        if state.is_reachable() {
            self.reachable.insert((key.rank, id));
        }
    }

    /// Removes a member with this state from the ordered sets.
    fn unindex(&mut self, id: Id, state: State) {
        let key = self.eviction_key(id, state);
        self.eviction_order.remove(&key);
        self.reachable.remove(&(key.rank, id));
    }

    /// Adds a member if there is room or if another member is to be evicted before it; false otherwise.
    pub fn offer(&mut self, member: Member) -> bool {
        if member.id == self.own_id {
            return false;
        }
        if self.members.len() < self.capacity || self.members.contains_key(&member.id) {
            self.insert(member);
            return true;
        }
        self.is_sample = true;
        let offered = self.eviction_key(member.id, member.state);
        let Some(evicted) = self.eviction_order.last().copied().filter(|last| *last > offered) else {
            return false;
        };
        self.remove(evicted.id);
        self.insert(member);
        true
    }

    /// The entry of a member, if the view contains it.
    pub fn get(&self, id: Id) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Changes the entry of a member; false if the view does not contain it.
    pub fn update(&mut self, id: Id, change: impl FnOnce(&mut Member)) -> bool {
        let Some(member) = self.members.get_mut(&id) else { return false };
        let former = member.state;
        change(member);
        let state = member.state;
        if former != state {
            self.unindex(id, former);
            self.index(id, state);
        }
        true
    }

    /// The member at the index `random` modulo the number of members.
    pub fn draw(&self, random: usize) -> Option<&Member> {
        self.members.get(self.ids.get(random % self.ids.len().max(1))?)
    }

    /// All members, by number.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Reachable members, by number.
    pub fn reachable(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|m| m.state.is_reachable())
    }

    /// Absent and dead members, by number.
    pub fn missing(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|m| matches!(m.state, State::Absent | State::Dead))
    }

    /// Removes the members that match, and returns their numbers.
    pub fn remove_matching(&mut self, matches: impl Fn(&Member) -> bool) -> Vec<Id> {
        let removed: Vec<Id> = self.members.values().filter(|m| matches(m)).map(|m| m.id).collect();
        removed.iter().for_each(|id| self.remove(*id));
        removed
    }

    /// The number of reachable members, including this instance, and the number's relative standard error if it is an
    /// estimate from a sample.
    pub fn size(&self) -> (f64, Option<f64>) {
        let reachable = self.reachable.len();
        if !self.is_sample || reachable < MIN_ESTIMATE_SAMPLE {
            return ((reachable + 1) as f64, None);
        }
        let highest_rank = self.reachable.last().map_or(1.0, |(rank, _)| *rank as f64 / 2f64.powi(64));
        let k = reachable as f64;
        (((k - 1.0) / highest_rank + 1.0).max(k + 1.0), Some(1.0 / (k - 2.0).sqrt()))
    }
}
