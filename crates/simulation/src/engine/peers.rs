//! What instances tell each other: hints on single servers, and the digest of the fleet's state.
//!
//! Both go by the code that the agent's go by ([`Hearsay`], [`Digest`]); who is there is taken to be known, and links lose and
//! delay as the scenario says.

use super::*;
use bellcroft_membership::{DigestPart, Id, PeerReports, ReportVerdict};

/// One instance's part of it.
pub(super) struct Talk {
    digest: Digest,
    hearsay: PeerReports,
    random: ChaCha8Rng,
}

impl Talk {
    pub(super) fn new(random: ChaCha8Rng) -> Self {
        Talk { digest: Digest::default(), hearsay: PeerReports::default(), random }
    }

    /// Its process starts from nothing.
    pub(super) fn forget(&mut self) {
        (self.digest, self.hearsay) = (Digest::default(), PeerReports::default());
    }
}

impl Run<'_> {
    /// One instance's word to another, where the scenario lets them talk. It is lost where nothing passes.
    pub(super) fn hint(&mut self, from: usize, to: usize, payload: Vec<u8>) {
        if !self.scenario.peers {
            return;
        }
        self.outcome.hints += 1;
        if let Some(way) = self.way_over(from, to) {
            self.at(self.now + way, Happening::Heard(to, from, payload));
        }
    }

    /// How long a datagram from one instance to another takes; none if it is lost.
    fn way_over(&mut self, from: usize, to: usize) -> Option<Micros> {
        let zone = self.instances.get(to)?.zone;
        if !self.passes(self.instances[from].zone, zone) {
            return None;
        }
        let lost = self.scenario.network.lost;
        if lost > 0.0 && self.instances[from].talk.random.random::<f64>() < lost {
            return None;
        }
        let detour = self.passes_on(from, to)?;
        Some(Micros(self.way_to(from, zone).0 + detour.0))
    }

    pub(super) fn heard(&mut self, instance: usize, from: usize, payload: Vec<u8>) {
        let (now, up) = (self.now, self.servers.iter().filter(|s| s.up && !s.draining).count());
        let hearsay = &mut self.instances[instance].talk.hearsay;
        let heard = hearsay.on_report(now, Id(from as u32), &payload, up);
        let mut payload = payload;
        if heard == ReportVerdict::Unconfirmed {
            payload.push(bellcroft_balancer::UNCONFIRMED_HINT);
        }
        if matches!(heard, ReportVerdict::Accepted | ReportVerdict::Unconfirmed) {
            self.tell(instance, Event::PeerMessage { from: PeerId(from as u32), payload });
        }
    }

    /// An instance's process begins to hand over, at a moment of the period that is its own.
    pub(super) fn begin_talk(&mut self, instance: usize) {
        if self.scenario.digest {
            let own = &mut self.instances[instance];
            let (first, life) =
                (own.talk.random.random_range(0..own.talk.digest.interval(self.now).0), own.life);
            self.at(self.now + Micros(first), Happening::Share(instance, life));
        }
    }

    /// What an instance has seen since it was last asked goes into its part.
    pub(super) fn observe(&mut self, instance: usize) {
        if self.scenario.digest {
            let (now, own) = (self.now, &mut self.instances[instance]);
            for sign in own.core.signs() {
                own.talk.digest.record_response(now, sign.zone.0 as u8, sign.latency, sign.load);
            }
        }
    }

    /// Something is counted at an instance: a request that has come, or its refusal.
    pub(super) fn count_in(&mut self, instance: usize, count: fn(&mut Digest, Time, u8)) {
        if self.scenario.digest {
            let (now, own) = (self.now, &mut self.instances[instance]);
            count(&mut own.talk.digest, now, own.zone as u8);
        }
    }

    pub(super) fn share(&mut self, instance: usize) {
        let (now, others) = (self.now, self.instances.len() - 1);
        let own = &mut self.instances[instance];
        let life = own.life;
        if others > 0 && own.talk.digest.has_data(now) {
            let drawn = own.talk.random.random_range(0..others);
            let to = drawn + usize::from(drawn >= instance);
            let parts = own.talk.digest.split_half(now);
            self.outcome.digests += 1;
            if let Some(way) = self.way_over(instance, to) {
                let bytes = DigestPart::encode(&parts);
                self.at(now + way, Happening::Handed(to, instance, bytes));
            }
        }
        let every = self.instances[instance].talk.digest.interval(now);
        self.at(now + every, Happening::Share(instance, life));
    }

    pub(super) fn handed(&mut self, instance: usize, from: usize, parts: &[u8]) {
        let (now, members) = (self.now, self.instances.len());
        let digest = &mut self.instances[instance].talk.digest;
        digest.merge(now, Id(from as u32), &DigestPart::decode(parts).unwrap_or_default(), members);
        let state = digest.fleet(now);
        self.tell(instance, Event::Fleet(state));
    }
}
