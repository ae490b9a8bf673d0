//! Who else runs, who has failed, and what an instance is to hold of itself while the others disagree.
//!
//! A SWIM protocol (Das, Gupta, Motivala: "SWIM", DSN 2002) with the local health awareness of Lifeguard (Dadgar,
//! Phillips, Currey, 2017), in datagrams of at most 256 bytes. [`Membership`] takes datagrams and a time and returns
//! [`Output`]s; it owns no socket and no clock. Three rules are its own:
//!
//! - What a peer says of another is advice. An accusation that is heard starts a probe of one's own, and only a probe
//!   of one's own that fails makes a member dead here. What is passed on keeps the name of who saw it.
//! - Whoever was stalled doubts itself first: on waking it accuses nobody until it has heard the others again.
//! - What is counted for the whole fleet is reckoned by the roster or the largest number lately believed
//!   ([`Membership::effective_size`]), never by who happens to answer.
//!
//! Nothing is kept on a disk. A member's [`Incarnation`] begins with its start's wall clock, so a restart beats what was
//! said of the life before; where a clock has been set back, the member hears of its former life and goes past it.

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
pub use digest::{Digest, MergeOutcome, Part, MAX_SITES};
pub use member::{Id, Incarnation, Member, Role, State};
pub use merge::{compare, refute, Claim, Known, Precedence};
pub use peer_reports::{PeerReports, ReportVerdict};
pub use quorum::{FleetSize, QuorumState};
pub use stats::{RejectReason, Stats};
pub use swim::{Change, Membership, Output};
pub use view::View;
pub use wire::{
    decode, encode, Datagram, Message, Update, WireError, MAX_DATAGRAM_BYTES, MAX_HINT_BYTES, VERSION,
};
