//! How far a peer's word on a server goes.

use crate::member::Id;
use micasail::{Span, Time};
use std::collections::{BTreeMap, VecDeque};

/// Hints that one peer may give at once, and the time that one more takes.
const HINTS_MOST: f64 = 8.0;
const HINT_EVERY: Span = Span(500_000);
/// A server that is doubted by hearsay counts as such for this long.
const DOUBTED_FOR: Span = Span(2_000_000);
/// Peers are remembered up to this number; past it those that said nothing for long go.
const PEERS_MOST: usize = 4096;

/// What becomes of a hint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// The decisions hear it.
    Taken,
    /// This peer says too much.
    TooOften,
    /// So many servers are doubted by hearsay already that this one's would make them more than a quarter.
    TooMany,
}

/// Bounds what peers' words can do: a peer that lies, or is behind the times, has eight hints and two more a second,
/// and all peers together can have at most a quarter of the servers doubted, never the last ones.
///
/// A hint is four bytes, a server's number; what is longer is passed on by the same measure.
#[derive(Debug, Default)]
pub struct Hearsay {
    peers: BTreeMap<Id, (Time, f64)>,
    doubted: VecDeque<(Time, Vec<u8>)>,
}

impl Hearsay {
    /// Weighs a hint of a peer; so many servers are listed.
    pub fn hear(&mut self, now: Time, from: Id, payload: &[u8], servers: usize) -> Heard {
        while self.doubted.front().is_some_and(|(at, _)| now.since(*at) >= DOUBTED_FOR) {
            self.doubted.pop_front();
        }
        if self.peers.len() >= PEERS_MOST {
            let full = Span((HINT_EVERY.0 as f64 * HINTS_MOST) as u64);
            self.peers.retain(|_, (at, _)| now.since(*at) < full);
        }
        let (at, left) = self.peers.entry(from).or_insert((now, HINTS_MOST));
        *left = (*left + now.since(*at).ms() / HINT_EVERY.ms()).min(HINTS_MOST);
        *at = now;
        if *left < 1.0 {
            return Heard::TooOften;
        }
        *left -= 1.0;
        if self.doubted.iter().any(|(_, known)| known == payload) {
            return Heard::Taken;
        }
        if (self.doubted.len() + 1) * 4 > servers.max(4) {
            return Heard::TooMany;
        }
        self.doubted.push_back((now, payload.to_vec()));
        Heard::Taken
    }
}
