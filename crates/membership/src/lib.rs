//! Group membership of the instances: which members are alive, which have failed, and this instance's quorum state.
//!
//! SWIM (Das, Gupta, Motivala, DSN 2002) with Lifeguard's local health awareness (Dadgar, Phillips, Currey, 2017), in
//! datagrams of at most 256 bytes. [`Membership`] is a state machine: it takes datagrams and the time and returns
//! [`Output`]s. It owns no socket, clock or thread; equal seeds and inputs give equal outputs.
//!
//! # States
//!
//! A member's state changes from [`State::Absent`] (listed, never seen) to `Alive`, by failed probes to `Suspect` and
//! `Dead`, by its own report to `Left`, and back to `Alive` by a later [`Incarnation`] or an ack. [`QuorumState`]
//! states how many of the expected instances are reachable.
//!
//! # Differences from SWIM
//!
//! - An accusation by another member only starts a suspicion and a probe. An instance declares a member dead only after
//!   its own probe of that member has failed. Updates carry the number of the member that observed the state.
//! - After a stall of its process an instance suspects no member until its recovery time has passed.
//! - Fleet-wide limits are divided by the larger of the expected size and the largest size observed recently
//!   ([`Membership::effective_size`]), not by the number of members that are reachable now.
//!
//! Nothing is stored on disk. An [`Incarnation`] starts with the wall-clock time of the process's start, so a restarted
//! member supersedes updates about its former process. If its clock was set back, the member learns of the former epoch
//! from the other members and chooses a later one.
//!
//! # Units and errors
//!
//! Time is [`bellcroft_balancer::Time`] in microseconds of a monotonic clock; epochs are Unix milliseconds. Malformed
//! datagrams and those of other clusters are counted by [`RejectReason`] and otherwise ignored; only [`decode`] returns
//! an error.
//!
//! # Modules
//!
//! | module | content |
//! | --- | --- |
//! | `swim` | the protocol's state machine |
//! | `view` | the members that an instance knows |
//! | `merge` | the precedence of updates |
//! | `wire` | the encoding of datagrams |
//! | `quorum` | the quorum state and the fleet's size |
//! | `digest` | averages over the fleet's servers |
//! | `peer_reports` | limits on hints about servers |

mod config;
mod digest;
mod member;
mod merge;
mod peer_reports;
mod quorum;
mod stats;
mod swim;
mod view;
mod wire;

pub use config::Config;
pub use digest::{Digest, DigestPart, MergeOutcome, MAX_SITES};
pub use member::{Id, Incarnation, Member, Role, State};
pub use merge::{compare, refute, Claim, Known, Precedence};
pub use peer_reports::{PeerReports, ReportVerdict};
pub use quorum::{FleetSize, QuorumState};
pub use stats::{RejectReason, Stats};
pub use swim::{Change, Membership, Output};
pub use view::View;
pub use wire::{
    decode, encode, Datagram, Message, Update, WireError, MAX_DATAGRAM_BYTES, MAX_HINT_BYTES, WIRE_VERSION,
};
