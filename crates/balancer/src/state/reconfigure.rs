//! Replaces the settings while requests are pending.

use super::{Balancer, ClassStats};
use crate::api::*;
use std::sync::Arc;

impl Balancer {
    /// Replaces the settings. Classes and tenants keep their indices and must not be removed, because pending requests refer
    /// to them. Pending requests also keep the number of attempts that was allowed when they arrived. Each entry of `changed`
    /// is the index of a class that is replaced by a new one and, optionally, the index of the class whose statistics the new
    /// one inherits.
    ///
    /// # Errors
    ///
    /// The settings are invalid; nothing is changed then.
    pub fn reconfigure(
        &mut self,
        settings: Settings,
        changed: &[(usize, Option<usize>)],
    ) -> Result<(), SettingsError> {
        settings.validate()?;
        self.cap_pending_attempts(&settings);
        self.classes.resize(settings.classes.len(), ClassStats::INITIAL);
        self.traffic.resize(settings.classes.len(), settings.tenants.len());
        for &(class, inherited_from) in changed {
            self.replace_class(&settings, class, inherited_from);
        }
        self.settings = settings;
        self.is_sparse = self.settings.balancers as usize > self.max_serving;
        Ok(())
    }

    /// Limits the attempts of pending requests to the present maximum, so that a higher one applies to new requests only.
    fn cap_pending_attempts(&mut self, new: &Settings) {
        let allowed = self.settings.max_attempts;
        if new.max_attempts <= allowed {
            return;
        }
        for pending in self.requests.values_mut() {
            let mut limits = pending.request.limits().clone();
            limits.max_attempts = limits.max_attempts.min(allowed);
            pending.request.limits = Some(Arc::new(limits));
        }
    }

    /// Resets the statistics of a class. Inherited latencies, which are fractions of the latency objective, are scaled to the
    /// new objective.
    fn replace_class(&mut self, new: &Settings, class: usize, inherited_from: Option<usize>) {
        let objective_ms = |settings: &Settings, class: usize| settings.classes[class].latency_objective.ms();
        let initial = ClassStats::INITIAL;
        let inherited_from = inherited_from.filter(|from| *from < self.settings.classes.len());
        let (baseline, recent) =
            inherited_from.map_or((initial.baseline_latency, initial.recent_latency), |from| {
                let scale = objective_ms(&self.settings, from) / objective_ms(new, class);
                let stats = &self.classes[from];
                (stats.baseline_latency * scale, stats.recent_latency * scale)
            });
        self.classes[class] = ClassStats {
            baseline_latency: baseline,
            recent_latency: recent,
            is_protected: self.classes[class].is_protected,
            ..initial
        };
        self.traffic.reset_class(class);
    }
}
