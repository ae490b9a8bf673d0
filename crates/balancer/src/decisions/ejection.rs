//! Ejection of outliers and their trials; deprioritized servers and unreachable zones at sparse balancers.

use super::tuning::*;
use crate::api::*;
use crate::state::*;

/// At most this fraction of the serving servers is ejected; beyond it the fault is not the servers'.
const MAX_EJECTED: f64 = 0.75;
/// All balancers together try a deprioritized server or an unreachable zone once in this time.
const FLEET_TRIAL_INTERVAL: Micros = Micros(5_000);
/// The range of the jitter factor of how long a server stays deprioritized or a zone unreachable.
const JITTER: (f64, f64) = (0.75, 1.25);
/// A request that is not idempotent may be a trial only this many backoffs after the trial was due.
const NON_IDEMPOTENT_DELAY: f64 = 2.0;

impl Ejection {
    /// Whether a request may be sent as a trial. Idempotent ones come first; others follow if there was none, or a service
    /// without idempotent classes would never use the server again.
    pub(super) fn is_trial_due(&self, now: Time, is_idempotent: bool) -> bool {
        let delay = if is_idempotent { Micros::ZERO } else { self.backoff * NON_IDEMPOTENT_DELAY };
        !self.trial_in_flight && now >= self.next_trial + delay
    }

    /// Doubles the backoff after a failed trial.
    pub(super) fn on_trial_failed(&mut self, now: Time) {
        self.trial_in_flight = false;
        self.backoff = (self.backoff * 2.0).min(MAX_TRIAL_BACKOFF);
        self.next_trial = now + self.backoff;
    }
}

impl Balancer {
    /// Ejects an outlier; a sparse balancer deprioritizes it instead. `reason` is for the log line.
    pub(super) fn on_outlier(&mut self, now: Time, server: usize, reason: &str, actions: &mut Vec<Action>) {
        if self.sparse {
            self.deprioritize(now, server, actions);
        } else {
            self.eject(now, server, reason, actions);
        }
    }

    /// Ejects a server, unless too many are ejected already.
    fn eject(&mut self, now: Time, index: usize, reason: &str, actions: &mut Vec<Action>) {
        let is_ejected = |index: &&usize| self.servers[**index].ejection.is_some();
        let ejected = self.serving.iter().filter(is_ejected).count();
        let max_ejected = MAX_EJECTED * self.serving.len() as f64;
        let server = &mut self.servers[index];
        if server.ejection.is_some() || (ejected + 1) as f64 > max_ejected {
            return;
        }
        server.ejection = Some(Ejection {
            next_trial: now + MIN_TRIAL_BACKOFF,
            backoff: MIN_TRIAL_BACKOFF,
            trial_in_flight: false,
        });
        self.remembered.retain(|&remembered| remembered != index);
        let (id, latency) = (server.endpoint.server.0, server.latency);
        let median = self.median_latency;
        actions.push(Action::Log {
            text: format!("server {id} {reason}: pace {latency:.2} of median {median:.2}"),
        });
    }

    /// Deprioritizes a server and sends hints to some peers, each of which would otherwise lose a request of its own to find
    /// out. A sparse balancer sends a server too few requests for trials: those of all balancers would be a load of their own.
    fn deprioritize(&mut self, now: Time, index: usize, actions: &mut Vec<Action>) {
        let duration = self.jittered_duration(OWN_EVIDENCE_TTL);
        let server = &mut self.servers[index];
        server.deprioritized_until = now + duration;
        self.remembered.retain(|&remembered| remembered != index);
        let payload = server.endpoint.server.0.to_be_bytes().to_vec();
        let cost = payload.len() as f64;
        let affordable = if self.settings.peers { self.hint_budget / cost } else { 0.0 };
        for _ in 0..(affordable as u32).min(MAX_HINTS).min(self.settings.balancers - 1) {
            self.hint_budget -= cost;
            let peer = PeerId(self.rng.u32(0..self.settings.balancers));
            actions.push(Action::SendHint { to: Some(peer), payload: payload.clone() });
        }
    }

    /// Considers a zone unreachable for a while. Its idle connections may be dead and are closed: the next attempt there needs
    /// a new connection, and if that fails there is time for a retry.
    pub(super) fn mark_zone_unreachable(&mut self, now: Time, zone: ZoneId, actions: &mut Vec<Action>) {
        let duration = self.jittered_duration(HINT_TTL);
        self.zones.entry(zone).or_default().unreachable_until = now + duration;
        let servers = &self.servers;
        let endpoints = self.serving.iter().map(|&index| &servers[index].endpoint);
        let in_zone = endpoints.filter(|endpoint| endpoint.zone == zone);
        actions.extend(in_zone.map(|endpoint| Action::CloseIdle { server: endpoint.server }));
        self.remembered.retain(|&remembered| servers[remembered].endpoint.zone != zone);
    }

    /// `min`, or longer where the trials of many balancers would come too often, with jitter against synchronisation.
    fn jittered_duration(&mut self, min: Micros) -> Micros {
        let fleet = Micros(FLEET_TRIAL_INTERVAL.0 * u64::from(self.settings.balancers));
        let (min_jitter, max_jitter) = JITTER;
        min.max(fleet) * (min_jitter + (max_jitter - min_jitter) * self.rng.f64())
    }
}
