//! Balances of the retry budgets that retries and hedged requests are charged to.

use crate::api::*;

/// Retries that each request adds to the default budget.
const DEFAULT_RATIO: f64 = 0.1;
/// Maximum balance of the default budget, in retries.
const DEFAULT_BURST: f64 = 10.0;
/// Budget of requests whose route has none.
const DEFAULT_BUDGET: RetryBudget =
    RetryBudget { id: 0, ratio: DEFAULT_RATIO, burst: DEFAULT_BURST, strict: false };
/// Maximum balance at a sparse balancer, because many balancers would each spend a full burst in the same incident.
const MAX_SPARSE_BURST: f64 = 1.0;

impl Limits {
    /// No limits beyond those of the settings. Retries are charged to the default budget, which all such requests share.
    pub const STANDARD: Limits = Limits {
        timeout: Micros(u64::MAX),
        attempt_timeout: Micros(u64::MAX),
        queue_timeout: Micros(u64::MAX),
        max_attempts: u32::MAX,
        retry_on: RetryOn::ALL,
        same_zone: false,
        retry_budgets: Vec::new(),
        hedge_budgets: Vec::new(),
        concurrency_limits: Vec::new(),
    };
}

fn budgets(limits: &Limits) -> &[RetryBudget] {
    if limits.retry_budgets.is_empty() {
        &[DEFAULT_BUDGET]
    } else {
        &limits.retry_budgets
    }
}

/// Balances of the retry budgets, in retries, indexed by the budget's id; `None` stands for the full burst.
#[derive(Default)]
pub(crate) struct RetryBalances(Vec<Option<f64>>);

impl RetryBalances {
    /// Adds what one request earns to each of its budgets.
    pub(super) fn deposit(&mut self, limits: &Limits, is_sparse: bool) {
        for budget in budgets(limits).iter().chain(&limits.hedge_budgets) {
            let burst = if is_sparse { budget.burst.min(MAX_SPARSE_BURST) } else { budget.burst };
            let balance = (self.balance(budget) + budget.ratio).min(burst);
            self.set_balance(budget, balance);
        }
    }

    fn balance(&self, budget: &RetryBudget) -> f64 {
        self.0.get(budget.id as usize).copied().flatten().unwrap_or(budget.burst)
    }

    fn set_balance(&mut self, budget: &RetryBudget, balance: f64) {
        let slot = budget.id as usize;
        self.0.resize(self.0.len().max(slot + 1), None);
        self.0[slot] = Some(balance);
    }

    /// Whether the budgets allow a retry. Only strict budgets are charged for a retry after an attempt that never ran.
    pub(super) fn can_afford(&self, limits: &Limits, never_ran: bool) -> bool {
        budgets(limits).iter().all(|budget| (never_ran && !budget.strict) || self.balance(budget) >= 1.0)
    }

    pub(super) fn charge(&mut self, limits: &Limits, never_ran: bool) {
        for budget in budgets(limits).iter().filter(|budget| !never_ran || budget.strict) {
            self.set_balance(budget, self.balance(budget) - 1.0);
        }
    }

    /// Whether both the retry budgets and the hedge budgets allow a hedged request.
    pub(super) fn can_afford_hedge(&self, limits: &Limits) -> bool {
        self.can_afford(limits, false)
            && limits.hedge_budgets.iter().all(|budget| self.balance(budget) >= 1.0)
    }

    pub(super) fn charge_hedge(&mut self, limits: &Limits) {
        self.charge(limits, false);
        for budget in &limits.hedge_budgets {
            self.set_balance(budget, self.balance(budget) - 1.0);
        }
    }
}
