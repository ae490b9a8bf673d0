//! How far a peer's word on a server goes.

use crate::member::Id;
use bellcroft_balancer::{Micros, Time};
use std::collections::BTreeMap;

/// Hints that one peer may give at once, and the time that one more takes.
const HINTS_MOST: f64 = 8.0;
const HINT_EVERY: Micros = Micros(500_000);
/// A witness's word stands this long, and a server that is doubted by hearsay counts as such as long.
const STANDS_FOR: Micros = Micros(5_000_000);
/// One that a lone word makes doubted, this long.
const LONE_FOR: Micros = Micros(2_000_000);
/// Peers that must say the same of a server: what one alone finds silent may be that one's link.
const WITNESSES: usize = 2;
/// Witnesses of one server that are remembered.
const WITNESSES_MOST: usize = 4;
/// Peers are remembered up to this number; past it those that said nothing for long go.
const PEERS_MOST: usize = 4096;

/// What becomes of a hint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportVerdict {
    /// The decisions hear it.
    Accepted,
    /// This peer says too much.
    RateLimited,
    /// So many servers are doubted by hearsay already that this one's would make them more than a quarter.
    TooManyServers,
    /// Nobody else says so: it may be that peer's link. The decisions hear it as a lone word, which lasts a moment.
    Unconfirmed,
}

/// What is said of one server.
#[derive(Debug, Default)]
struct ServerReports {
    witnesses: Vec<(Id, Time)>,
    /// The decisions were told, last at this time and by this one's word.
    told: Option<(Time, Id)>,
    /// The same by a lone word.
    lone: Option<Time>,
}

/// Bounds what peers' words can do: a peer that lies, or is behind the times, has eight hints and two more a second, what
/// one peer alone says of a server lasts two seconds, and all peers together can have at most a quarter of the servers doubted,
/// never the last ones.
///
/// A hint names a server by some bytes, the same at all members.
#[derive(Debug, Default)]
pub struct PeerReports {
    peers: BTreeMap<Id, (Time, f64)>,
    words: BTreeMap<Vec<u8>, ServerReports>,
}

impl PeerReports {
    /// Weighs a hint of a peer; so many servers are listed.
    pub fn on_report(&mut self, now: Time, from: Id, payload: &[u8], servers: usize) -> ReportVerdict {
        if self.peers.len() >= PEERS_MOST {
            let full = Micros((HINT_EVERY.0 as f64 * HINTS_MOST) as u64);
            self.peers.retain(|_, (at, _)| now.since(*at) < full);
        }
        let (at, left) = self.peers.entry(from).or_insert((now, HINTS_MOST));
        *left = (*left + now.since(*at).ms() / HINT_EVERY.ms()).min(HINTS_MOST);
        *at = now;
        if *left < 1.0 {
            return ReportVerdict::RateLimited;
        }
        *left -= 1.0;
        let stands = |at: &Time| now.since(*at) < STANDS_FOR;
        self.words.retain(|_, word| {
            word.witnesses.retain(|(_, at)| stands(at));
            word.told = word.told.filter(|(at, _)| stands(at));
            !word.witnesses.is_empty() || word.told.is_some()
        });
        let lone = |word: &ServerReports| word.lone.is_some_and(|at| now.since(at) < LONE_FOR);
        let doubted =
            self.words.iter().filter(|(name, word)| *name != payload && (word.told.is_some() || lone(word)));
        let doubted = doubted.count();
        let word = self.words.entry(payload.to_vec()).or_default();
        word.witnesses.retain(|(id, _)| *id != from);
        if word.witnesses.len() < WITNESSES_MOST {
            word.witnesses.push((from, now));
        }
        // A doubt goes on by any other one's word: nobody keeps it up alone.
        let renews = word.told.is_some_and(|(_, by)| by != from);
        if word.told.is_none() && (doubted + 1) * 4 > servers.max(4) {
            return ReportVerdict::TooManyServers;
        }
        if word.witnesses.len() < WITNESSES && !renews {
            word.lone = Some(now);
            return ReportVerdict::Unconfirmed;
        }
        word.told = Some((now, from));
        ReportVerdict::Accepted
    }
}
