//! Health checks of the candidates before a selection, where they are cheap.

use super::tuning::*;
use crate::api::*;
use crate::state::*;

/// Candidates are probed if the probes of a selection together cost at most this.
const MAX_PROBE_COST: f64 = 0.01;
/// A selection waits for probes for at most this fraction of the latency objective.
const MAX_PROBE_WAIT: f64 = 0.05;

impl Balancer {
    /// Whether candidates are probed before a selection: own counts say little, load reports come with health checks only
    /// and give the load of a server, and the probes of a selection cost next to nothing.
    pub(super) fn probes_candidates(&self) -> bool {
        let settings = &self.settings;
        let reports_load = settings
            .report_fields
            .iter()
            .any(|field| matches!(field, LoadReportField::InFlight | LoadReportField::Queue));
        let cost = settings.costs.health_check * (DRAWS + REMEMBERED) as f64;
        settings.health_checks
            && settings.report_source == LoadReportSource::HealthChecks
            && reports_load
            && cost <= MAX_PROBE_COST
            && self.sparse
    }

    /// Probes the candidates; the selection follows when all have responded, or after a small part of the objective.
    pub(super) fn probe(
        &mut self,
        now: Time,
        id: RequestId,
        mut candidates: Vec<usize>,
        actions: &mut Vec<Action>,
    ) {
        candidates.sort_unstable();
        candidates.dedup();
        let pending = &self.requests[&id];
        let objective = self.settings.classes[pending.request.class.0].latency_objective;
        let until = (now + objective * MAX_PROBE_WAIT).min(pending.deadline);
        for &candidate in &candidates {
            actions.push(Action::HealthCheck { server: self.servers[candidate].endpoint.server });
        }
        actions.push(Action::SetTimer { at: until, timer: PROBE_TIMER });
        self.awaiting_probes.push(AwaitingProbes { id, candidates, since: now, until });
    }

    /// Sends the requests whose candidates have reported their load, or whose wait has ended.
    pub(super) fn select_probed(&mut self, now: Time, actions: &mut Vec<Action>) {
        let all = std::mem::take(&mut self.awaiting_probes);
        let is_complete = |waiting: &AwaitingProbes| {
            now >= waiting.until
                || waiting.candidates.iter().all(|&candidate| self.has_reported(candidate, waiting.since))
        };
        let (complete, waiting): (Vec<_>, Vec<_>) = all.into_iter().partition(is_complete);
        self.awaiting_probes = waiting;
        for probed in complete {
            self.send_probed(now, probed, actions);
        }
    }

    fn send_probed(&mut self, now: Time, mut probed: AwaitingProbes, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&probed.id) else { return };
        let selection = self.selection(now, pending);
        let has_reported = |candidate: &usize| self.has_reported(*candidate, probed.since);
        let any_reported = probed.candidates.iter().any(has_reported);
        probed.candidates.retain(|candidate| {
            (!any_reported || has_reported(candidate)) && self.is_available(now, *candidate, &selection)
        });
        if !self.send_to_lightest(now, &selection, &probed.candidates, actions) {
            self.enqueue(now, probed.id, actions);
        }
    }

    fn has_reported(&self, server: usize, since: Time) -> bool {
        self.servers[server].reported_at.is_some_and(|at| at >= since)
    }

    pub(super) fn on_health_checked(
        &mut self,
        now: Time,
        server: ServerId,
        outcome: Outcome,
        report: Option<Vec<f64>>,
        actions: &mut Vec<Action>,
    ) {
        let Some(&server) = self.index.get(&server) else { return };
        match report {
            Some(report) => self.on_load_report(now, server, &report),
            None if outcome != Outcome::Success => self.on_outlier(now, server, "silent to probes", actions),
            None => {}
        }
        self.select_probed(now, actions);
    }
}
