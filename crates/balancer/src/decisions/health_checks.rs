//! Health checks: those that a sparse balancer sends to the candidates before a selection, and the handling of all results.

use super::tuning::*;
use crate::api::*;
use crate::state::*;

/// Maximum cost of the health checks of one selection; above it the candidates are not checked.
const MAX_HEALTH_CHECKS_COST: f64 = 0.01;
/// Maximum time that a selection waits for health checks, as a fraction of the latency objective.
const MAX_HEALTH_CHECK_WAIT: f64 = 0.05;

impl Balancer {
    /// Whether candidates are checked before a selection. A sparse balancer, whose own counts say little about a server's
    /// load, does so if load reports come with health checks only and contain the server's load, and if the checks cost at
    /// most [`MAX_HEALTH_CHECKS_COST`].
    pub(super) fn checks_candidates(&self) -> bool {
        let settings = &self.settings;
        let reports_load = settings
            .report_fields
            .iter()
            .any(|field| matches!(field, LoadReportField::InFlight | LoadReportField::Queue));
        let cost = settings.costs.health_check * (DRAWS + REMEMBERED) as f64;
        settings.health_checks
            && settings.report_source == LoadReportSource::HealthChecks
            && reports_load
            && cost <= MAX_HEALTH_CHECKS_COST
            && self.is_sparse
    }

    /// Sends health checks to the candidates. The selection follows when all have responded, or after a small fraction of
    /// the latency objective.
    pub(super) fn check_candidates(
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
        let until = (now + objective * MAX_HEALTH_CHECK_WAIT).min(pending.deadline);
        for &candidate in &candidates {
            actions.push(Action::HealthCheck { server: self.servers[candidate].endpoint.server });
        }
        actions.push(Action::SetTimer { at: until, timer: HEALTH_CHECK_TIMER });
        self.awaiting_health_checks.push(AwaitingHealthChecks { id, candidates, since: now, until });
    }

    /// Sends the requests whose candidates have all reported their load or whose wait has timed out.
    pub(super) fn select_checked(&mut self, now: Time, actions: &mut Vec<Action>) {
        let all = std::mem::take(&mut self.awaiting_health_checks);
        let is_complete = |waiting: &AwaitingHealthChecks| {
            now >= waiting.until
                || waiting.candidates.iter().all(|&candidate| self.has_reported(candidate, waiting.since))
        };
        let (complete, waiting): (Vec<_>, Vec<_>) = all.into_iter().partition(is_complete);
        self.awaiting_health_checks = waiting;
        for checked in complete {
            self.send_checked(now, checked, actions);
        }
    }

    fn send_checked(&mut self, now: Time, mut checked: AwaitingHealthChecks, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&checked.id) else { return };
        let selection = self.selection(now, pending);
        let has_reported = |candidate: &usize| self.has_reported(*candidate, checked.since);
        let any_reported = checked.candidates.iter().any(has_reported);
        checked.candidates.retain(|candidate| {
            (!any_reported || has_reported(candidate)) && self.is_available(now, *candidate, &selection)
        });
        if !self.send_to_least_loaded(now, &selection, &checked.candidates, actions) {
            self.enqueue(now, checked.id, actions);
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
        let Some(&server) = self.slots.get(&server) else { return };
        match report {
            Some(report) => self.on_load_report(now, server, &report),
            None if outcome != Outcome::Success => {
                self.on_outlier(now, server, "silent to health checks", actions);
            }
            None => {}
        }
        self.select_checked(now, actions);
    }
}
