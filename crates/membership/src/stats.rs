//! Counters of a membership.

use crate::wire::WireError;

/// The reason for which a datagram was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// The datagram is malformed or of another cluster.
    Wire(WireError),
    /// The datagram's source is not its sender's address.
    AddressMismatch,
    /// The datagram is of a former process of its sender.
    StaleIncarnation,
    /// The datagram carries this instance's own number.
    OwnIdentity,
}

impl RejectReason {
    /// The labels of the reasons in metrics, by index in [`Stats::rejected`].
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
    /// Number of datagrams sent.
    pub sent_datagrams: u64,
    /// Total size of the datagrams sent.
    pub sent_bytes: u64,
    /// Number of datagrams received and accepted.
    pub accepted_datagrams: u64,
    /// Total size of the datagrams accepted.
    pub accepted_bytes: u64,
    /// Number of datagrams rejected, by [`RejectReason::LABELS`].
    pub rejected: [u64; 8],
    /// Number of probes started.
    pub probes_sent: u64,
    /// Number of probes that timed out.
    pub probes_failed: u64,
    /// Number of times that a member declared dead by this instance was alive in the same epoch afterwards.
    pub false_deaths: u64,
    /// Number of accusations of this instance that it has refuted.
    pub refutations: u64,
    /// Number of stalls of this process.
    pub stalls: u64,
    /// Number of received digest halves, by [`MergeOutcome`](crate::MergeOutcome).
    pub digests: [u64; 3],
}
