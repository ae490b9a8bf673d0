//! The agent's state machines without I/O.
//!
//! - [`guard`]: what may be sent, retried and closed, and the count of violations.
//! - [`shutdown`]: the times of a graceful shutdown.
//! - [`serving`]: serving, draining and shutting down.
//! - [`handover`]: the limits of two processes during a rolling restart.
//! - [`stall`]: detection of stalls of the process, and the deferral of decisions after one.
//! - [`wake_delay`]: detection of pauses of the process, as distinct from its own work.
//! - [`clock_skew`]: the difference between the wall clocks of this machine and the platform.
//! - [`body_limits`] and [`chunks`]: buffering, timeouts and framing of bodies.
//! - [`response_end`]: when a response ends that does not come whole.
//! - [`memory_budget`]: the memory that clients and servers can make the process hold.
//! - [`upload_clock`]: when the client of a request that is being received may have finished it.
//! - [`request_claims`]: the ids of requests that must not be executed twice.
//! - [`reconfigure`]: the rules that apply while new settings take effect.
//! - [`admin`]: commands and statistics of the admin console.
//!
//! Nothing here owns a clock, a socket or a file. Times are [`bellcroft_balancer::Time`], on the caller's clock; durations
//! are [`bellcroft_balancer::Micros`].

pub mod admin;
pub mod body_limits;
pub mod chunks;
pub mod clock_skew;
pub mod guard;
pub mod handover;
pub mod memory_budget;
pub mod reconfigure;
pub mod request_claims;
pub mod response_end;
pub mod serving;
pub mod shutdown;
pub mod stall;
pub mod upload_clock;
pub mod wake_delay;
