//! Logs membership changes: one line for each [`Change`], with the target `bellcroft::membership`.

use super::status::quorum_reason;
use bellcroft_membership::Change;
use tracing::{info, warn};

/// Logs a change; `instance` is this instance's name.
pub(super) fn log_change(instance: &str, change: &Change) {
    match change {
        Change::Member { id, from, to, reported_by, restarted } => info!(
            target: "bellcroft::membership",
            instance, member = id.0, to = to.as_str(), restarted, from = from.as_str(), by = reported_by.0,
            "member state changed"
        ),
        Change::Quorum { from, to, reachable, expected } => info!(
            target: "bellcroft::membership",
            instance, to = to.as_str(), from = from.as_str(), here = reachable, roster = expected,
            reason = quorum_reason(*to, *reachable, *expected),
            "quorum state changed"
        ),
        Change::ResumedAfterStall(stall) => warn!(
            target: "bellcroft::membership",
            instance, stall_ms = stall.ms(),
            "process resumed after a stall: no member is suspected until it has recovered"
        ),
        Change::DuplicateIdentity => warn!(
            target: "bellcroft::membership",
            instance,
            "duplicate member number: another process sends with this instance's number"
        ),
        Change::AddressMismatch(id, address) => warn!(
            target: "bellcroft::membership",
            instance, member = id.0, %address,
            "member address mismatch: datagrams from another address are rejected"
        ),
    }
}
