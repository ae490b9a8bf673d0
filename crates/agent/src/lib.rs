//! A client-side load-balancing agent. It accepts HTTP/1.1 requests from the application on the same host and forwards
//! them over HTTP/1.1 to the servers that `bellcroft-balancer` selects.
//!
//! - [`cli`] parses the command line and runs the commands.
//! - `daemon` runs one instance from start to shutdown; `fleet` supervises many instances.
//! - `downstream` handles connections from clients, `upstream` those to servers.
//! - `sound_request` defines which requests are sound.
//! - `driver` connects the two sides of a request and is the only owner of the balancer.
//! - `discovery` keeps the endpoint list up to date.
//! - `peers` exchanges membership, peer hints and fleet digests with the other instances.
//! - `telemetry` collects the metrics and sends them by remote write.
//! - [`ControlPlane`] combines the parts that need no request path.

mod accept_delay;
mod claim_log;
pub mod cli;
mod client_presence;
mod clock;
mod control_plane;
mod daemon;
pub mod discovery;
mod downstream;
mod driver;
mod exit;
mod fleet;
mod log;
mod memory;
mod peers;
mod read_ahead;
mod request_log;
mod sound_request;
mod streaming_body;
mod telemetry;
mod upstream;

pub use control_plane::ControlPlane;
