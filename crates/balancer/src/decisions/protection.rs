//! Selects the protected request classes, which are shed last.

use crate::state::*;

impl Balancer {
    /// Divides the classes into protected ones and those that are shed first.
    ///
    /// Shedding a set of classes costs their weights and, once, the part of the objective that depends on the worst class.
    /// The set with the least cost per unit of work saved is shed first.
    pub(super) fn update_protected_classes(&mut self) {
        let class_count = self.settings.classes.len();
        let mut by_value: Vec<usize> =
            (0..class_count).filter(|&class| self.class_work(class) > 0.0).collect();
        let value_per_work = |class: usize| self.class_value(class) / self.class_work(class);
        by_value.sort_by(|&a, &b| value_per_work(a).total_cmp(&value_per_work(b)));
        let total: f64 = by_value.iter().map(|&class| self.class_value(class)).sum();
        let objective = &self.settings.objective;
        let (mut cost, mut saved_work) = (objective.worst_class * total, 0.0);
        let (mut least_cost, mut shed_first) = (f64::INFINITY, 0);
        for (i, &class) in by_value.iter().enumerate() {
            cost += (objective.all_requests + objective.worst_window) * self.class_value(class);
            saved_work += self.class_work(class);
            if cost / saved_work < least_cost {
                (least_cost, shed_first) = (cost / saved_work, i + 1);
            }
        }
        self.classes.iter_mut().for_each(|stats| stats.is_protected = false);
        for &class in &by_value[shed_first..] {
            self.classes[class].is_protected = true;
        }
    }

    /// The recent work of a class, in milliseconds of server time.
    pub(super) fn class_work(&self, class: usize) -> f64 {
        self.traffic.of_class(class) * self.usual_ms(class)
    }

    /// The recent requests or, by [`Settings::weight_by_work`], the recent work of a class, times its priority weight.
    fn class_value(&self, class: usize) -> f64 {
        let settings = &self.settings;
        let amount =
            if settings.weight_by_work { self.class_work(class) } else { self.traffic.of_class(class) };
        settings.classes[class].priority_weight * amount
    }
}
