//! What a membership counts.

use crate::wire::WireError;

/// Why datagrams were refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// They are none, or not of this cluster.
    Wire(WireError),
    /// Their sender is not where the roster says, or speaks from two places.
    AddressMismatch,
    /// Their sender has started anew since.
    StaleIncarnation,
    /// They claim to be from this very member.
    OwnIdentity,
}

impl RejectReason {
    /// The reasons' words, by their places in [`Stats::rejected`].
    pub const LABELS: [&'static str; 8] =
        ["length", "version", "cluster", "spoilt", "meaning", "stranger", "former", "own"];

    pub(crate) fn index(self) -> usize {
        match self {
            RejectReason::Wire(WireError::Length) => 0,
            RejectReason::Wire(WireError::Version(_)) => 1,
            RejectReason::Wire(WireError::Cluster) => 2,
            RejectReason::Wire(WireError::Spoilt) => 3,
            RejectReason::Wire(WireError::Meaning) => 4,
            RejectReason::AddressMismatch => 5,
            RejectReason::StaleIncarnation => 6,
            RejectReason::OwnIdentity => 7,
        }
    }
}

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Datagrams sent, and their bytes.
    pub sent: (u64, u64),
    /// Datagrams taken, and their bytes.
    pub accepted: (u64, u64),
    /// Datagrams refused, by [`RejectReason::LABELS`].
    pub rejected: [u64; 8],
    /// Probes sent and failed.
    pub probes: (u64, u64),
    /// Members that were called dead here and have spoken in that same life since.
    pub false_deaths: u64,
    /// Accusations of this member that it has refuted.
    pub refutations: u64,
    /// Times that this process had stood still.
    pub stalls: u64,
    /// Halves of the digest that were taken whole, taken in part, and refused.
    pub digests: [u64; 3],
}
