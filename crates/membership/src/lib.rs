//! Group membership of the instances: which members are alive, which have failed, and this instance's quorum state.
//!
//! SWIM (Das, Gupta, Motivala, DSN 2002) with Lifeguard's local health awareness (Dadgar, Phillips, Currey, 2017), in
//! datagrams of at most 256 bytes. [`Membership`] is a state machine: it takes datagrams and the time and returns
//! [`Output`]s. It owns no socket, clock or thread; equal seeds and inputs give equal outputs.
//!
//! # States
//!
//! A member goes from [`State::Absent`] (listed, never seen) to `Alive`, by failed probes to `Suspect` and `Dead`, by its own
//! report to `Left`, and back to `Alive` by a later [`Incarnation`] or an ack. [`QuorumState`] sums up how many of the
//! expected instances are reachable.
//!
//! # Differences from SWIM
//!
//! - Another member's accusation is advice: it begins a suspicion and a probe. Only a failed probe of this instance makes a
//!   member dead here. Updates keep the name of the member that observed the state.
//! - After a stall of its process an instance suspects no member until its recovery time has passed.
//! - Limits of the whole fleet are shared by the roster's size or the largest size observed recently
//!   ([`Membership::effective_size`]), never by the members that answer now.
//!
//! Nothing is stored on disk. An [`Incarnation`] begins with the wall clock of the process's start, so a restarted member
//! supersedes updates about its former process; where its clock was set back, it learns of the former epoch from the others
//! and goes past it.
//!
//! # Units and errors
//!
//! Time is [`bellcroft_balancer::Time`] in microseconds of a monotonic clock; epochs are Unix milliseconds. Malformed or
//! foreign datagrams are counted by [`RejectReason`] and otherwise ignored; only [`decode`] returns an error.
//!
//! # Modules
//!
//! `swim` is the protocol, `view` the members, `merge` the precedence of updates, `wire` the datagrams, `quorum` the quorum
//! state and the fleet's size, `digest` the averages over the fleet's servers, `peer_reports` the bounds on hints.

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
