//! Asks candidates for their load before a pick, where that is cheap.

use super::tuning::*;
use crate::api::*;
use crate::records::*;

/// Candidates are asked for their load where all probes of a pick cost this much at most, and for this share
/// of the aim.
const ASK_PRICE: f64 = 0.01;
const ASK_WAIT: f64 = 0.05;

impl Balancer {
    /// Whether the candidates are asked for their load first: where own counts say little, reports come with
    /// probes only, say what a server holds, and those of one pick cost next to nothing.
    pub(super) fn asks(&self) -> bool {
        let s = &self.settings;
        let telling =
            s.report_fields.iter().any(|f| matches!(f, LoadReportField::InFlight | LoadReportField::Queue));
        let price = s.costs.probe * (DRAWS + REMEMBERED) as f64;
        s.health_checks
            && s.report_source == LoadReportSource::Probes
            && telling
            && price <= ASK_PRICE
            && self.blind
    }

    /// Probes the candidates; the pick waits until all have answered, for a small part of the aim at most.
    pub(super) fn ask(
        &mut self,
        now: Time,
        id: RequestId,
        mut candidates: Vec<usize>,
        out: &mut Vec<Action>,
    ) {
        candidates.sort_unstable();
        candidates.dedup();
        let live = &self.live[&id];
        let until = (now + self.settings.classes[live.request.class.0].latency_objective * ASK_WAIT)
            .min(live.deadline);
        for &c in &candidates {
            out.push(Action::HealthCheck { server: self.servers[c].listed.server });
        }
        out.push(Action::SetTimer { at: until, timer: ASKED });
        self.asking.push(Asking { id, candidates, since: now, until });
    }

    /// Sends the requests whose candidates have told their load, or have been waited for long enough.
    pub(super) fn choose_asked(&mut self, now: Time, out: &mut Vec<Action>) {
        let servers = &self.servers;
        let told = |a: &Asking, c: usize| servers[c].reported_at.is_some_and(|at| at >= a.since);
        let done = |a: &Asking| now >= a.until || a.candidates.iter().all(|&c| told(a, c));
        let (done, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.asking).into_iter().partition(done);
        self.asking = waiting;
        for mut a in done {
            let Some(live) = self.live.get(&a.id) else { continue };
            let pick = self.pick_for(now, live);
            let heard = |c: &usize| self.servers[*c].reported_at.is_some_and(|at| at >= a.since);
            let some = a.candidates.iter().any(heard);
            a.candidates.retain(|c| (!some || heard(c)) && self.ready(now, *c, &pick));
            if !self.choose(now, &pick, &a.candidates, out) {
                self.hold(now, a.id, out);
            }
        }
    }
}
