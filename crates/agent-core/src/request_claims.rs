//! The claims of processes to the ids of requests that must not be executed twice, so that none is executed again under its id.
//!
//! Clients use a new id for each request, also for a retry. An id that comes again after its client has disconnected, while the
//! first request may still be running at a server, must not be sent to another one, whichever process of the agent receives it. A
//! process claims the id before the first attempt, and releases it if no attempt can have been executed.

use bellcroft_balancer::{Micros, Time};
use std::collections::HashMap;

/// The time for which an id is remembered at least, unless too many come. It is longer than any request runs.
pub const RETENTION: Micros = Micros(60_000_000);
/// The number of ids from which the older ones are forgotten earlier.
const MAX_IDS: usize = 16 << 10;

/// A request id by its hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestIdHash(pub u64);

/// Identifies a process among those of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claimant(pub u64);

/// A claim, or its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimEvent {
    /// A process claims an id. It has it if no other process had claimed it before.
    Claimed(RequestIdHash, Claimant),
    /// A process releases an id; this has no effect if another process has it.
    Released(RequestIdHash, Claimant),
}

/// The latest claims.
#[derive(Debug, Default)]
pub struct RequestClaims {
    latest: HashMap<RequestIdHash, Claimant>,
    earlier: HashMap<RequestIdHash, Claimant>,
    /// The time from which `latest` has been filled.
    filled_since: Time,
}

impl RequestClaims {
    /// Applies an event, after all that came before it.
    pub fn apply(&mut self, now: Time, event: ClaimEvent) {
        match event {
            ClaimEvent::Claimed(id, by) => self.claim(now, id, by),
            ClaimEvent::Released(id, by) => {
                for claims in [&mut self.latest, &mut self.earlier] {
                    if claims.get(&id) == Some(&by) {
                        claims.remove(&id);
                    }
                }
            }
        }
    }

    fn claim(&mut self, now: Time, id: RequestIdHash, by: Claimant) {
        if self.claimant(id).is_some() {
            return;
        }
        if self.latest.len() >= MAX_IDS || now >= self.filled_since + RETENTION {
            self.earlier = std::mem::take(&mut self.latest);
            self.filled_since = now;
        }
        self.latest.insert(id, by);
    }

    /// The process that has an id; none if no process has it.
    pub fn claimant(&self, id: RequestIdHash) -> Option<Claimant> {
        self.latest.get(&id).or_else(|| self.earlier.get(&id)).copied()
    }

    /// All claims.
    pub fn iter(&self) -> impl Iterator<Item = (RequestIdHash, Claimant)> + '_ {
        self.earlier.iter().chain(&self.latest).map(|(id, by)| (*id, *by))
    }
}
