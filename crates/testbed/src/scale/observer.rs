//! What datagrams show of one member: who holds it, and who holds it dead by a probe of its own.

use bellcroft_membership::{decode, Id, State};
use bellcroft_platform_settings::fnv1a;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// What is known of one observed agent's view of the watched member.
#[derive(Debug, Clone, Copy, Default)]
struct Evidence {
    /// It has passed on a sample that names the member alive: the member stands in its view.
    holds: bool,
    /// When it first named the member dead, by its own word.
    dead_at: Option<Instant>,
}

/// Reads datagrams on their way, for what they say of one member.
pub struct Observer {
    cluster: u64,
    member: Id,
    active: AtomicBool,
    evidence: Mutex<Vec<Evidence>>,
}

impl Observer {
    /// Watches for one member of a cluster of so many agents.
    pub fn new(cluster: &str, member: usize, agents: usize) -> Self {
        Observer {
            cluster: fnv1a(cluster),
            member: Id(member as u32),
            active: AtomicBool::new(false),
            evidence: Mutex::new(vec![Evidence::default(); agents]),
        }
    }

    /// Reads datagrams from now on.
    pub fn activate(&self) {
        self.active.store(true, Ordering::Relaxed);
    }

    fn evidence(&self) -> MutexGuard<'_, Vec<Evidence>> {
        self.evidence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A datagram of an agent passes.
    pub fn observe(&self, from: usize, bytes: &[u8]) {
        if !self.active.load(Ordering::Relaxed) || from == self.member.0 as usize {
            return;
        }
        let Ok(datagram) = decode(self.cluster, bytes) else { return };
        let sampled_from = usize::from(datagram.new_updates);
        for (place, update) in
            datagram.updates.iter().enumerate().filter(|(_, update)| update.id == self.member)
        {
            let own_burial = update.state == State::Dead && update.reported_by.0 as usize == from;
            let sample = place >= sampled_from && update.state == State::Alive;
            if !own_burial && !sample {
                continue;
            }
            let evidence = &mut self.evidence()[from];
            evidence.holds |= sample;
            if own_burial {
                evidence.dead_at.get_or_insert_with(Instant::now);
            }
        }
    }

    /// Agents that hold the member.
    pub fn holders(&self) -> usize {
        self.evidence().iter().filter(|evidence| evidence.holds).count()
    }

    /// When each agent first named the member dead by its own word; those that have not are left out.
    pub fn burials(&self) -> Vec<Instant> {
        self.evidence().iter().filter_map(|evidence| evidence.dead_at).collect()
    }
}
