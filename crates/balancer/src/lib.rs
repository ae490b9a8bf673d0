//! The decisions of a client-side load balancer, without I/O.
//!
//! Each client process owns one [`Balancer`], a state machine that handles events ([`Event`]), each with its time
//! ([`Time`]), and returns actions ([`Action`]). It never reads a clock, opens a socket or starts a thread. For each
//! request it compares several servers drawn at random and the least loaded server of the previous selection, by the
//! requests that it has in flight at each of them.
//!
//! ```
//! use bellcroft_balancer::*;
//!
//! let class = Class { latency_objective: Micros::from_ms(100.0), deadline: Micros::from_ms(400.0), ..Class::default() };
//! let settings = Settings { classes: vec![class], ..Settings::default() };
//! let mut balancer = Balancer::new(settings, 7).expect("usable settings");
//! let mut actions = Vec::new();
//!
//! // Apply the endpoint list.
//! let now = Time::from_ms(1000.0);
//! let servers = vec![Endpoint::serving(ServerId(0)), Endpoint::serving(ServerId(1))];
//! balancer.handle(now, Event::Endpoints(EndpointUpdate::Snapshot(servers)), &mut actions);
//!
//! // Submit a request; the balancer selects a server and returns the send.
//! let request = Request::new(RequestId(1), ClassId(0), Micros::from_ms(400.0));
//! balancer.handle(now, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { request: RequestId(1), .. })));
//! ```
mod api;
mod decisions;
mod state;

pub use api::*;
pub use state::Balancer;
