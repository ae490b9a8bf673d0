//! What a server in slow start is sent, and what a request's work weighs there.

use super::tuning::*;
use crate::api::*;
use crate::records::*;

/// A fleet with no warm server gets at most this part of what pushes it over when busy: bursts double that.
const COLD_SAFE: f64 = 0.5;

impl Balancer {
    /// The share of its capacity that a server surely has.
    pub(super) fn warmth(&self, s: &Server, now: Time) -> f64 {
        let Some(started) = s.listed.started_at else { return 1.0 };
        let (age, warm) = (now.since(started).ms(), self.settings.slow_start_window.ms());
        if age >= warm {
            return 1.0;
        }
        let cold = self.settings.initial_capacity.min(1.0);
        cold + (1.0 - cold) * age / warm
    }

    /// Counts the warm servers, and what the fleet bears. Where most are cold, what all balancers ask for may
    /// be more than the cold ones bear together, however it is shared out.
    pub(super) fn weigh_cold(&mut self, now: Time) {
        let warmths = self.serving.iter().map(|&i| self.warmth(&self.servers[i], now));
        let (warm, all) = warmths.fold((0, 0.0), |(warm, all), w| (warm + usize::from(w >= 1.0), all + w));
        self.warm = warm;
        let part = if self.serving.is_empty() { 1.0 } else { all / self.serving.len() as f64 };
        let all_cold = warm == 0 && all > 0.0 && self.settings.balancers > FEW_BALANCERS;
        let factor = self.settings.overload_factor * if all_cold { COLD_SAFE } else { 1.0 };
        self.bearable = if self.blind || all_cold { part * factor } else { 1.0 };
    }

    /// The usual answer time of a class in milliseconds.
    pub(super) fn usual(&self, class: usize) -> f64 {
        (self.class_pace[class] * self.settings.classes[class].latency_objective.ms()).max(0.001)
    }

    /// A guess at a request's work: the hint, else the usual answer time of its class.
    pub(super) fn work(&self, live: &Live) -> f64 {
        live.request.cost_hint.map_or_else(|| self.usual(live.request.class.0), Micros::ms)
    }
}
