//! Many whole programs with a relay between each two of them, and faults on the relays and the processes by a timeline.
//!
//! [`Links`] is the board of all links, each of one direction; `datagrams` and `streams` are the relays that go by it.
//! [`Cluster`] is the programs, their servers, discoveries and clients, [`Stage`] one under traffic; [`Timeline`] a file of faults; [`play`] plays one
//! and gives a [`Verdict`]. [`Journal`] keeps, on one clock, what each process was told, said of itself and did.

mod cluster;
mod datagrams;
mod journal;
mod links;
mod play;
mod shim;
mod stage;
mod streams;
mod timeline;

pub use cluster::{Cluster, Shape};
pub use journal::{member_change, Entry, Journal};
pub use links::{Links, Node};
pub use play::{play, Verdict};
pub use shim::Shim;
pub use stage::{Findings, Stage};
pub use timeline::Timeline;
