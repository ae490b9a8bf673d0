//! Decides which sends and which final responses are still safe for a request, given its retry safety and its attempts.

use crate::api::*;
use crate::state::*;

impl Balancer {
    /// The sends and final responses that can't make a request run twice. No other code decides this.
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
        AllowedActions { send, shed: is_unprocessed_or_deduplicated && !pending.has_response_started }
    }

    /// Whether the request may be sent again as far as its attempts, its time and its state are concerned, regardless of
    /// retry safety.
    fn can_send_again(&self, now: Time, pending: &PendingRequest) -> bool {
        let max_attempts = self.settings.max_attempts.min(pending.request.limits().max_attempts);
        let may_hedge = self.settings.hedging && !pending.request.streaming;
        pending.attempts.len() < max_attempts as usize
            && !pending.has_response_started
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
