//! Ejection of outliers and the trials that end it. A sparse balancer deprioritizes outliers instead and marks zones as
//! unreachable.

use super::tuning::*;
use crate::api::*;
use crate::state::*;

/// Maximum fraction of the serving servers that is ejected. If more servers are outliers, the cause is not the servers.
const MAX_EJECTED: f64 = 0.75;
/// Intended interval between two tries of a deprioritized server or an unreachable zone, over all balancers together.
const FLEET_TRIAL_INTERVAL: Micros = Micros(5_000);
/// Range of the jitter factor on the time for which a server is deprioritized or a zone considered unreachable.
const DURATION_JITTER: (f64, f64) = (0.75, 1.25);
/// A non-idempotent request may be used as a trial only this many backoffs after the trial was due.
const NON_IDEMPOTENT_DELAY: f64 = 2.0;

impl Ejection {
    /// Whether a request may be sent as a trial. Idempotent requests are preferred. Others are used after a delay, because
    /// otherwise a service without idempotent classes would never use the server again.
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
    /// Ejects an outlier, or deprioritizes it at a sparse balancer. `reason` appears in the log line.
    pub(super) fn on_outlier(&mut self, now: Time, server: usize, reason: &str, actions: &mut Vec<Action>) {
        if self.is_sparse {
            self.deprioritize(now, server, actions);
        } else {
            self.eject(now, server, reason, actions);
        }
    }

    /// Ejects a server unless [`MAX_EJECTED`] would be exceeded.
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
            text: format!(
                "server {id} ejected as {reason}: latency {latency:.2} of objective, median {median:.2}"
            ),
        });
    }

    /// Deprioritizes a server and sends hints to some peers, each of which would otherwise lose a request of its own at that
    /// server. Sparse balancers use no trials: the trials of all balancers together would be a considerable load.
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

    /// Marks a zone as unreachable for some time and closes the idle connections to its servers, which may be dead. The next
    /// attempt in the zone then opens a new connection, which fails early enough for a retry.
    pub(super) fn mark_zone_unreachable(&mut self, now: Time, zone: ZoneId, actions: &mut Vec<Action>) {
        let duration = self.jittered_duration(HINT_TTL);
        self.zones.entry(zone).or_default().unreachable_until = now + duration;
        let servers = &self.servers;
        let endpoints = self.serving.iter().map(|&index| &servers[index].endpoint);
        let in_zone = endpoints.filter(|endpoint| endpoint.zone == zone);
        actions.extend(in_zone.map(|endpoint| Action::CloseIdle { server: endpoint.server }));
        self.remembered.retain(|&remembered| servers[remembered].endpoint.zone != zone);
    }

    /// Returns `min`, extended where many balancers would otherwise exceed [`FLEET_TRIAL_INTERVAL`]. Jitter keeps the
    /// balancers from synchronising.
    fn jittered_duration(&mut self, min: Micros) -> Micros {
        let fleet = Micros(FLEET_TRIAL_INTERVAL.0 * u64::from(self.settings.balancers));
        let (min_jitter, max_jitter) = DURATION_JITTER;
        min.max(fleet) * (min_jitter + (max_jitter - min_jitter) * self.rng.f64())
    }
}
