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

pub use connection::{Connection, Response, Url};
pub use instance::{EndpointEntry, FinalOutcome, Instance, InstanceInfo, RouteBudget};
pub use observer::{Margin, Observer, Rule, RuleParameters};
pub use registry::{label_value, Counter, Family, Gauge, Histogram, Kind, Registry, Sample, MAX_LABEL_BYTES};
pub use remote::{Config, Environment, Remote};
pub use sender::{Action, Counts, Event, Policy, Post, Sender};
pub use timeline::Timeline;
pub use wire::{encode, Version, STALE_MARKER_BITS};
