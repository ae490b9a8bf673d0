//! Counters of a membership.

use crate::wire::WireError;

/// Why a datagram was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// It is malformed, or of another cluster.
    Wire(WireError),
    /// Its source is not its sender's address.
    AddressMismatch,
    /// Its sender has restarted since.
    StaleIncarnation,
    /// It claims to be from this instance itself.
    OwnIdentity,
}

impl RejectReason {
    /// The reasons' labels in metrics, by their indices in [`Stats::rejected`].
    pub const LABELS: [&'static str; 8] =
        ["length", "version", "cluster", "spoilt", "meaning", "stranger", "former", "own"];

    pub(crate) fn index(self) -> usize {
        match self {
            RejectReason::Wire(WireError::Length) => 0,
            RejectReason::Wire(WireError::Version(_)) => 1,
            RejectReason::Wire(WireError::Cluster) => 2,
            RejectReason::Wire(WireError::Checksum) => 3,
            RejectReason::Wire(WireError::Malformed) => 4,
            RejectReason::AddressMismatch => 5,
            RejectReason::StaleIncarnation => 6,
            RejectReason::OwnIdentity => 7,
        }
    }
}

/// Counters since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Datagrams sent.
    pub sent_datagrams: u64,
    /// Bytes of those.
    pub sent_bytes: u64,
    /// Datagrams received and accepted.
    pub accepted_datagrams: u64,
    /// Bytes of those.
    pub accepted_bytes: u64,
    /// Datagrams rejected, by [`RejectReason::LABELS`].
    pub rejected: [u64; 8],
    /// Probes begun.
    pub probes_sent: u64,
    /// Probes that timed out.
    pub probes_failed: u64,
    /// Members that were declared dead here and were alive in the same epoch afterwards.
    pub false_deaths: u64,
    /// Accusations of this member that it has refuted.
    pub refutations: u64,
    /// Stalls of this process.
    pub stalls: u64,
    /// Received halves of the digest, by [`MergeOutcome`](crate::MergeOutcome).
    pub digests: [u64; 3],
}
