//! The members that an instance holds: all of a small fleet, a sample of a large one.

use crate::member::{Id, Member, State};
use std::collections::{BTreeMap, BTreeSet};

/// The members that an instance holds, itself left out.
///
/// Past its bound a member's place depends on its rank, a hash of the holder's number and its own: the lowest ranks
/// stay. So a view is a uniform sample of all that was ever heard of, however often one of them is named ("min-wise"
/// sampling, Bortnikov et al., "Brahms", 2008), and no member can talk itself into all views. And the ranks tell how many there are: where the
/// k-th lowest of n uniform ranks is at u, n is about (k - 1) / u, with a relative standard error of 1 / sqrt(k - 2)
/// (Bar-Yossef et al., "Counting distinct elements in a data stream", 2002).
#[derive(Debug, Clone)]
pub struct View {
    own: Id,
    most: usize,
    members: BTreeMap<Id, Member>,
    /// Their numbers in no order, to draw from.
    drawn: Vec<Id>,
    /// Those that are there, and all of them by who gives way last: both are asked with each datagram.
    here: BTreeSet<(u64, Id)>,
    places: BTreeSet<(bool, u64, Id)>,
    /// Whether somebody was ever turned away for want of room.
    sampled: bool,
}

impl View {
    /// An empty view of the instance with this number.
    pub fn new(own: Id, most: usize) -> Self {
        let (here, places) = (BTreeSet::new(), BTreeSet::new());
        View {
            own,
            most: most.max(4),
            members: BTreeMap::new(),
            drawn: Vec::new(),
            here,
            places,
            sampled: false,
        }
    }

    /// A member's rank, uniform over all numbers. SplitMix64's finisher (Steele et al., 2014) over both members' numbers.
    fn rank(&self, id: Id) -> u64 {
        let mut x = (u64::from(self.own.0) << 32 | u64::from(id.0)).wrapping_add(0x9e37_79b9_7f4a_7c15);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    /// Where a member stands among those that may have to give way: the last one goes first. Whoever was not heard yet keeps
    /// its place by its rank, or the first to speak would be the sample.
    fn place(&self, id: Id, state: State) -> (bool, u64, Id) {
        (matches!(state, State::Dead | State::Left), self.rank(id), id)
    }

    /// Takes in the members of a roster, or those of them that rank lowest.
    pub fn add_roster(&mut self, roster: impl Iterator<Item = Member>) {
        let others = roster.filter(|member| member.id != self.own);
        let mut ranked: Vec<(u64, Member)> = others.map(|member| (self.rank(member.id), member)).collect();
        if ranked.len() > self.most {
            self.sampled = true;
            ranked.select_nth_unstable_by(self.most, |a, b| a.0.cmp(&b.0));
            ranked.truncate(self.most);
        }
        ranked.into_iter().for_each(|(_, member)| self.insert(member));
    }

    fn insert(&mut self, member: Member) {
        let (id, state) = (member.id, member.state);
        match self.members.insert(id, member) {
            Some(former) => self.unplace(id, former.state),
            None => self.drawn.push(id),
        }
        self.put(id, state);
    }

    fn remove(&mut self, id: Id) {
        if let Some(member) = self.members.remove(&id) {
            self.unplace(id, member.state);
        }
        self.drawn.retain(|drawn| *drawn != id);
    }

    /// Takes a member in this state into both orders.
    fn put(&mut self, id: Id, state: State) {
        let place = self.place(id, state);
        self.places.insert(place);
        if state.is_reachable() {
            self.here.insert((place.1, id));
        }
    }

    /// And out of them again.
    fn unplace(&mut self, id: Id, state: State) {
        let place = self.place(id, state);
        self.places.remove(&place);
        self.here.remove(&(place.1, id));
    }

    /// Takes a member in if there is room for it, or another one has to give way; a member that is gone gives way first.
    pub fn offer(&mut self, member: Member) -> bool {
        if member.id == self.own {
            return false;
        }
        if self.members.len() < self.most || self.members.contains_key(&member.id) {
            self.insert(member);
            return true;
        }
        self.sampled = true;
        let worst = self.places.last().copied().filter(|worst| *worst > self.place(member.id, member.state));
        let Some((.., worst)) = worst else { return false };
        self.remove(worst);
        self.insert(member);
        true
    }

    /// A member.
    pub fn get(&self, id: Id) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Changes what is held of a member; false if it is none.
    pub fn update(&mut self, id: Id, change: impl FnOnce(&mut Member)) -> bool {
        let Some(member) = self.members.get_mut(&id) else { return false };
        let former = member.state;
        change(member);
        let state = member.state;
        if former != state {
            self.unplace(id, former);
            self.put(id, state);
        }
        true
    }

    /// One of them, by a place that was drawn at random.
    pub fn draw(&self, place: usize) -> Option<&Member> {
        self.members.get(self.drawn.get(place % self.drawn.len().max(1))?)
    }

    /// All of them, by their numbers.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Those that are there.
    pub fn reachable(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|m| m.state.is_reachable())
    }

    /// Those that are not, and have not said that they leave.
    pub fn missing(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|m| matches!(m.state, State::Absent | State::Dead))
    }

    /// Forgets members that `old` names.
    pub fn forget(&mut self, old: impl Fn(&Member) -> bool) -> Vec<Id> {
        let gone: Vec<Id> = self.members.values().filter(|m| old(m)).map(|m| m.id).collect();
        gone.iter().for_each(|id| self.remove(*id));
        gone
    }

    /// How many members there are with this instance, and the relative standard error of that; none where all are held.
    pub fn size(&self) -> (f64, Option<f64>) {
        let here = self.here.len();
        if !self.sampled || here < 8 {
            return ((here + 1) as f64, None);
        }
        let highest = self.here.last().map_or(1.0, |(rank, _)| *rank as f64 / 2f64.powi(64));
        let k = here as f64;
        (((k - 1.0) / highest + 1.0).max(k + 1.0), Some(1.0 / (k - 2.0).sqrt()))
    }
}
