//! Detects overdue attempts and the silent servers and unreachable zones that cause them, and counts late responses before
//! they arrive.

use super::tuning::*;
use super::*;
use std::collections::BTreeMap;

/// An attempt is overdue after this multiple of the usual latency of its class, but not before the minimum time
/// ([`MIN_OVERDUE`] or [`MIN_OVERDUE_ALONE`]).
const OVERDUE_MULTIPLE: f64 = 4.0;
/// Minimum time until an attempt is overdue, as a fraction of its latency objective.
const MIN_OVERDUE: f64 = 0.6;
/// Minimum time until an attempt that is the only one at its server is overdue, as a fraction of its latency objective. It is
/// longer because the request may simply be expensive.
const MIN_OVERDUE_ALONE: f64 = 1.0;
/// Number of overdue attempts that make a zone unreachable if no server of the zone has responded since they were sent.
const UNREACHABLE_ZONE_ATTEMPTS: usize = 3;
/// Multiple of the usual latency of its class after which an attempt in a zone without responses is overdue.
const UNREACHABLE_ZONE_MULTIPLE: f64 = 2.0;

/// An overdue attempt, ordered by its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct OverdueAttempt {
    key: AttemptKey,
    server: usize,
}

impl Balancer {
    /// Ejects or deprioritizes silent servers and cancels the overdue attempts that may be retried elsewhere.
    pub(super) fn handle_overdue_attempts(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut overdue = self.attempts_at_unresponsive_servers(now);
        if self.is_sparse {
            overdue.extend(self.attempts_in_unreachable_zones(now, actions));
            overdue.sort_unstable();
            overdue.dedup();
            self.count_late_attempts(now);
        }
        for attempt in overdue {
            self.on_outlier(now, attempt.server, "silent", actions);
            if self.is_sparse {
                let server = self.servers[attempt.server].endpoint.server;
                actions.push(Action::CloseIdle { server });
            }
            if self.should_cancel(now, attempt.key) {
                let AttemptKey { request, attempt } = attempt.key;
                actions.push(Action::Cancel { request, attempt });
            }
        }
    }

    /// The overdue attempts whose servers have not responded since the attempt was sent.
    fn attempts_at_unresponsive_servers(&self, now: Time) -> Vec<OverdueAttempt> {
        let is_unresponsive = |attempt: &InFlightAttempt| {
            self.servers[attempt.server].last_response < attempt.sent_at && !attempt.is_streaming
        };
        let overdue = self.in_flight.iter().filter(|(key, attempt)| {
            is_unresponsive(attempt) && now.since(attempt.sent_at) > self.overdue_after(**key, attempt)
        });
        overdue.map(|(key, attempt)| OverdueAttempt { key: *key, server: attempt.server }).collect()
    }

    fn overdue_after(&self, key: AttemptKey, attempt: &InFlightAttempt) -> Micros {
        let objective = self.settings.classes[attempt.class].latency_objective;
        let is_alone = self.servers[attempt.server].in_flight <= 1;
        let min = if is_alone { MIN_OVERDUE_ALONE } else { MIN_OVERDUE };
        let work_ms = self.requests.get(&key.request).map_or(0.0, |pending| self.work_ms(pending));
        let usual = self.classes[attempt.class]
            .baseline_latency
            .max(self.median_latency)
            .max(work_ms / objective.ms());
        objective * (OVERDUE_MULTIPLE * usual).max(min)
    }

    /// Marks the zones that have become unreachable and returns the overdue attempts there. A zone is unreachable if several
    /// attempts are overdue and none of its servers has responded since they were sent.
    fn attempts_in_unreachable_zones(&mut self, now: Time, actions: &mut Vec<Action>) -> Vec<OverdueAttempt> {
        let mut by_zone: BTreeMap<ZoneId, Vec<OverdueAttempt>> = BTreeMap::new();
        for (&key, attempt) in self.in_flight.iter().filter(|(_, attempt)| !attempt.is_streaming) {
            let usual = self.settings.classes[attempt.class].latency_objective
                * (UNREACHABLE_ZONE_MULTIPLE * self.classes[attempt.class].baseline_latency);
            let is_overdue = now.since(attempt.sent_at) > usual.max(UNRESPONSIVE_AFTER);
            if is_overdue && !self.zone_has_responded(attempt) {
                let zone = self.servers[attempt.server].endpoint.zone;
                by_zone.entry(zone).or_default().push(OverdueAttempt { key, server: attempt.server });
            }
        }
        by_zone.retain(|_, attempts| attempts.len() >= UNREACHABLE_ZONE_ATTEMPTS);
        for zone in by_zone.keys() {
            self.mark_zone_unreachable(now, *zone, actions);
        }
        by_zone.into_values().flatten().collect()
    }

    /// Whether a server of the attempt's zone has responded since the attempt was sent.
    fn zone_has_responded(&self, attempt: &InFlightAttempt) -> bool {
        self.servers[attempt.server].reachability(&self.zones).responded_since(attempt.sent_at)
    }

    /// Counts attempts past their objective as late before their response arrives, because waiting for it would prolong
    /// congestion. Attempts in a zone without responses are not counted: they are no sign of congestion.
    fn count_late_attempts(&mut self, now: Time) {
        let is_late = |attempt: &InFlightAttempt| {
            !attempt.counted_as_late
                && !attempt.is_streaming
                && now.since(attempt.sent_at) > self.settings.classes[attempt.class].latency_objective
                && self.zone_has_responded(attempt)
        };
        let late = self.in_flight.iter().filter(|(_, attempt)| is_late(attempt));
        let late: Vec<(AttemptKey, usize)> = late.map(|(key, attempt)| (*key, attempt.server)).collect();
        for (key, server) in late {
            if let Some(attempt) = self.in_flight.get_mut(&key) {
                attempt.counted_as_late = true;
            }
            self.record_fleet_sample(now, self.servers[server].endpoint.zone, MAX_LATENCY, None);
        }
    }

    /// Whether an attempt should be cancelled in favour of a retry: the retry must be safe, within the limits and the retry
    /// budgets, and early enough.
    fn should_cancel(&self, now: Time, key: AttemptKey) -> bool {
        let Some(pending) = self.requests.get(&key.request) else { return false };
        let class = &self.settings.classes[pending.request.class.0];
        let limits = pending.request.limits();
        let max_attempts = self.settings.max_attempts.min(limits.max_attempts) as usize;
        let is_last = key.attempt.0 as usize + 1 == pending.attempts.len();
        class.retry_safety != RetrySafety::AtMostOnce
            && self.settings.cancel
            && is_last
            && pending.attempts.len() < max_attempts
            && limits.retry_on.timeout
            && self.retry_balances.can_afford(limits, false)
            && !self.is_too_late(now, pending)
    }
}
