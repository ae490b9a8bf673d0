//! The budgets that further attempts and second copies are paid from.

use crate::api::*;
use crate::records::*;

/// Each request earns this much of a further attempt, saved up to the burst.
const RETRY_EARN: f64 = 0.1;
const RETRY_BURST: f64 = 10.0;

impl Limits {
    /// What the rules and the settings allow, with the budget of further attempts that all requests share.
    pub const STANDARD: Limits = Limits {
        timeout: Micros(u64::MAX),
        attempt_timeout: Micros(u64::MAX),
        queue_timeout: Micros(u64::MAX),
        max_attempts: u32::MAX,
        retry_on: RetryOn::ALL,
        same_zone: false,
        budgets: Vec::new(),
        hedge_budgets: Vec::new(),
        concurrency_limits: Vec::new(),
    };
}

/// What pays where a route names no budget of its own.
const COMMON: RetryBudget = RetryBudget { id: 0, ratio: RETRY_EARN, burst: RETRY_BURST, strict: false };

pub(super) fn budgets(limits: &Limits) -> &[RetryBudget] {
    if limits.budgets.is_empty() {
        &[COMMON]
    } else {
        &limits.budgets
    }
}

impl Balancer {
    /// A request earns its part of a further attempt. Many balancers that each save up a burst would all
    /// spend it in the same jam.
    pub(super) fn earn(&mut self, limits: &Limits) {
        for budget in budgets(limits).iter().chain(&limits.hedge_budgets) {
            let burst = if self.blind { budget.burst.min(1.0) } else { budget.burst };
            let saved = (self.saved(budget) + budget.ratio).min(burst);
            self.save(budget, saved);
        }
    }

    pub(super) fn saved(&self, budget: &RetryBudget) -> f64 {
        self.saved.get(budget.id as usize).copied().flatten().unwrap_or(budget.burst)
    }

    pub(super) fn save(&mut self, budget: &RetryBudget, saved: f64) {
        let place = budget.id as usize;
        self.saved.resize(self.saved.len().max(place + 1), None);
        self.saved[place] = Some(saved);
    }

    /// Whether the budgets bear a further attempt. One that follows an attempt which never ran is `free`, but
    /// where a route says otherwise.
    pub(super) fn affords(&self, limits: &Limits, free: bool) -> bool {
        budgets(limits).iter().all(|b| (free && !b.strict) || self.saved(b) >= 1.0)
    }

    pub(super) fn pay(&mut self, limits: &Limits, free: bool) {
        for budget in budgets(limits).iter().filter(|b| !free || b.strict) {
            self.save(budget, self.saved(budget) - 1.0);
        }
    }
}
