//! What may still be done with a request, by its effect and what its attempts may have done.

use crate::api::*;
use crate::records::*;

impl Balancer {
    /// What the rules still allow; the whole of "no effect happens twice" is here.
    pub(super) fn lawful(&self, live: &Live, now: Time) -> Lawful {
        let class = &self.settings.classes[live.request.class.0];
        let out = live.attempts.iter().any(|a| a.fate == Fate::Out);
        let first = live.attempts.iter().find(|a| a.fate != Fate::NeverRan);
        let limits = live.request.limits();
        let full = live.attempts.len() >= self.settings.max_attempts.min(limits.attempts) as usize;
        let shut = full
            || live.bound
            || live.spent
            || now >= live.deadline
            || (out && (live.request.coming || !self.settings.second_copies));
        let send = match (first, class.effect) {
            _ if shut => Reach::Nowhere,
            (None, _) | (_, Effect::Idempotent) => Reach::Anywhere,
            (Some(_), Effect::AtMostOnce) => Reach::Nowhere,
            (Some(first), Effect::Deduplicated { window, .. }) if now > first.sent + window => Reach::Nowhere,
            (Some(first), Effect::Deduplicated { group, .. }) => match group {
                Group::All => Reach::Anywhere,
                Group::Zone => Reach::Zone(first.zone),
                Group::Cell => Reach::Cell(first.cell),
            },
        };
        let send = match (send, live.attempts.first().filter(|_| limits.same_zone)) {
            (Reach::Anywhere, Some(first)) => Reach::Zone(first.zone),
            _ => send,
        };
        let refuse = match (first, class.effect) {
            (None, _) | (_, Effect::Idempotent) => true,
            (Some(_), Effect::AtMostOnce) => false,
            (Some(_), Effect::Deduplicated { group, .. }) => group == Group::All,
        };
        Lawful { send, refuse: refuse && !live.bound }
    }
}
