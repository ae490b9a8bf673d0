//! A client-side load-balancing agent: HTTP/1.1 from the application beside it, HTTP/1.1 to the backends, and
//! the decisions of `bellcroft-balancer` in between.
//!
//! `daemon` is one instance's life and `fleet` that of many; `downstream` (clients) and `upstream` (servers) are the two
//! sides of a request, which meet in `driver`, the one owner of the balancer; `discovery` keeps the server list; `telemetry` counts;
//! `peers` knows the other instances; [`ControlPlane`] is what of these needs no request path; [`cli`] is the way in.

pub mod cli;
mod clock;
mod control_plane;
mod daemon;
pub mod discovery;
mod downstream;
mod driver;
mod exit;
mod fleet;
mod log;
mod peers;
mod request_log;
mod streaming_body;
mod telemetry;
mod upstream;

pub use control_plane::ControlPlane;
