//! What may still be done with a request, given its retry safety and what its attempts may have done.

use crate::api::*;
use crate::state::*;

impl Balancer {
    /// Which sends and which final responses can't make a request run twice. This is the only place that decides it.
    pub(super) fn allowed_actions(&self, now: Time, pending: &PendingRequest) -> AllowedActions {
        let retry_safety = self.settings.classes[pending.request.class.0].retry_safety;
        let first = pending.first_that_may_have_run();
        let send = if self.can_send_again(now, pending) {
            send_scope(now, pending, retry_safety, first)
        } else {
            SendScope::Nowhere
        };
        let is_unprocessed_or_deduplicated = match (first, retry_safety) {
            (None, _) | (_, RetrySafety::Idempotent) => true,
            (Some(_), RetrySafety::AtMostOnce) => false,
            (Some(_), RetrySafety::Deduplicated { scope, .. }) => scope == DedupScope::All,
        };
        AllowedActions { send, reject: is_unprocessed_or_deduplicated && !pending.is_bound }
    }

    /// Whether attempts and time are left, apart from retry safety.
    fn can_send_again(&self, now: Time, pending: &PendingRequest) -> bool {
        let max_attempts = self.settings.max_attempts.min(pending.request.limits().max_attempts);
        let may_hedge = self.settings.hedging && !pending.request.streaming;
        pending.attempts.len() < max_attempts as usize
            && !pending.is_bound
            && !pending.is_exhausted
            && now < pending.deadline
            && (!pending.has_attempt_in_flight() || may_hedge)
    }
}

fn send_scope(
    now: Time,
    pending: &PendingRequest,
    retry_safety: RetrySafety,
    first_that_may_have_run: Option<&Attempt>,
) -> SendScope {
    let scope = match (first_that_may_have_run, retry_safety) {
        (None, _) | (_, RetrySafety::Idempotent) => SendScope::Anywhere,
        (Some(_), RetrySafety::AtMostOnce) => SendScope::Nowhere,
        (Some(first), RetrySafety::Deduplicated { window, .. }) if now > first.sent_at + window => {
            SendScope::Nowhere
        }
        (Some(first), RetrySafety::Deduplicated { scope, .. }) => match scope {
            DedupScope::All => SendScope::Anywhere,
            DedupScope::Zone => SendScope::Zone(first.zone),
            DedupScope::Group => SendScope::Group(first.dedup_group),
        },
    };
    match (scope, pending.attempts.first()) {
        (SendScope::Anywhere, Some(first)) if pending.request.limits().same_zone => {
            SendScope::Zone(first.zone)
        }
        _ => scope,
    }
}
