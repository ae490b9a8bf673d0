//! What an agent counts, and how that reaches a Prometheus remote-write receiver.
//!
//! - [`Registry`]: the one owner of all series, counted by the `prometheus` library; [`Counter`], [`Gauge`] and
//!   [`Histogram`] are handles by which the way of a request counts, without a lock and without an allocation.
//! - [`Instance`]: the series of one instance, by [`families`], and the observer beside them.
//! - [`Observer`]: knows the four rules and nothing of the decisions; is told what left and came back on sockets.
//! - [`Sender`]: what is sent when, what is tried again, what is dropped; [`encode`] words it in version 1.0 or 2.0.
//! - [`Timeline`]: timestamps that never go back, whatever the wall clock does.
//! - [`Remote`]: the thin shell around these, with a [`Connection`]; the only part that does I/O.

mod connection;
pub mod families;
mod instance;
mod observer;
mod registry;
mod remote;
mod sender;
mod timeline;
pub mod wire;

pub use connection::{Answer, Connection, Url};
pub use instance::{About, Allowed, Instance, Line, Over};
pub use observer::{Facts, Margin, Observer, Rule};
pub use registry::{label_value, Counter, Family, Gauge, Histogram, Kind, Registry, Sample, LABEL_MOST};
pub use remote::{Config, Owner, Remote};
pub use sender::{Action, Counts, Event, Policy, Post, Sender};
pub use timeline::Timeline;
pub use wire::{encode, Version, STALE};
