//! Recent traffic by class and by tenant, and the quotas of tenants.

use crate::api::*;
use crate::state::*;

/// Time constant of the traffic counts, in milliseconds.
const TIME_CONSTANT_MS: f64 = 3000.0;
/// Multiple of its fraction from which a tenant is over its quota. It is more than 1 because normal usage varies too.
const QUOTA_TOLERANCE: f64 = 1.4;

/// Exponentially decayed counts of requests by class and by tenant.
pub(crate) struct Traffic {
    by_class: Vec<f64>,
    by_tenant: Vec<f64>,
    updated_at: Time,
}

impl Traffic {
    pub(crate) fn new(classes: usize, tenants: usize) -> Self {
        Traffic { by_class: vec![0.0; classes], by_tenant: vec![0.0; tenants], updated_at: Time(0) }
    }

    pub(crate) fn resize(&mut self, classes: usize, tenants: usize) {
        self.by_class.resize(classes, 0.0);
        self.by_tenant.resize(tenants, 0.0);
    }

    pub(crate) fn reset_class(&mut self, class: usize) {
        self.by_class[class] = 0.0;
    }

    pub(super) fn of_class(&self, class: usize) -> f64 {
        self.by_class[class]
    }

    /// The recent request rate at this balancer, per second.
    pub(super) fn requests_per_s(&self) -> f64 {
        self.by_class.iter().sum::<f64>() * 1e3 / TIME_CONSTANT_MS
    }

    pub(super) fn count(&mut self, now: Time, request: &Request) {
        let decay = (-now.since(self.updated_at).ms() / TIME_CONSTANT_MS).exp();
        self.updated_at = now;
        self.by_class.iter_mut().chain(&mut self.by_tenant).for_each(|count| *count *= decay);
        self.by_class[request.class.0] += 1.0;
        if let Some(count) = request.tenant.and_then(|tenant| self.by_tenant.get_mut(tenant.0)) {
            *count += 1.0;
        }
    }
}

impl Balancer {
    /// Decides at random whether a request belongs to the part of its tenant's traffic that exceeds the quota. Quotas apply
    /// to the entire service; a balancer uses its own traffic as a sample of it.
    pub(super) fn is_over_quota(&mut self, request: &Request) -> bool {
        let Some(tenant) = request.tenant.filter(|tenant| tenant.0 < self.settings.tenants.len()) else {
            return false;
        };
        let by_tenant = &self.traffic.by_tenant;
        let total: f64 = by_tenant.iter().sum();
        let quota = QUOTA_TOLERANCE * self.settings.tenants[tenant.0].fraction * total;
        self.settings.over_quota_weight < 1.0 && self.rng.f64() * by_tenant[tenant.0] > quota.max(1.0)
    }
}
