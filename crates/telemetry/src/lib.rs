//! Metrics of an agent, and their delivery to a Prometheus remote-write receiver.
//!
//! - [`Registry`]: owns all series, which the `prometheus` library stores; [`Counter`], [`Gauge`] and [`Histogram`] are
//!   handles that the request path updates without a lock and without an allocation.
//! - [`Instance`]: the series of one instance, as defined in [`families`], and its [`Observer`].
//! - [`Observer`]: checks the four rules on what is sent and received on sockets, independently of the balancer's decisions.
//! - [`Sender`]: decides when samples are sent, retried or dropped; [`encode`] writes them in version 1.0 or 2.0.
//! - [`Timeline`]: timestamps that never go back, even if the wall clock does.
//! - [`Remote`]: the task that connects these with a [`Connection`]; only these two do I/O.

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
