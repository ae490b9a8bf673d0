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
        let full = live.attempts.len() >= self.settings.max_attempts.min(limits.max_attempts) as usize;
        let shut = full
            || live.bound
            || live.spent
            || now >= live.deadline
            || (out && (live.request.streaming || !self.settings.hedging));
        let send = match (first, class.retry_safety) {
            _ if shut => Reach::Nowhere,
            (None, _) | (_, RetrySafety::Idempotent) => Reach::Anywhere,
            (Some(_), RetrySafety::AtMostOnce) => Reach::Nowhere,
            (Some(first), RetrySafety::Deduplicated { window, .. }) if now > first.sent + window => {
                Reach::Nowhere
            }
            (Some(first), RetrySafety::Deduplicated { scope: group, .. }) => match group {
                DedupScope::All => Reach::Anywhere,
                DedupScope::Zone => Reach::Zone(first.zone),
                DedupScope::Group => Reach::Cell(first.cell),
            },
        };
        let send = match (send, live.attempts.first().filter(|_| limits.same_zone)) {
            (Reach::Anywhere, Some(first)) => Reach::Zone(first.zone),
            _ => send,
        };
        let refuse = match (first, class.retry_safety) {
            (None, _) | (_, RetrySafety::Idempotent) => true,
            (Some(_), RetrySafety::AtMostOnce) => false,
            (Some(_), RetrySafety::Deduplicated { scope: group, .. }) => group == DedupScope::All,
        };
        Lawful { send, refuse: refuse && !live.bound }
    }
}
