//! Client-side load-balancing decisions, without I/O.
//!
//! Each client process owns one [`Balancer`]. It is told what happens ([`Event`]) and when ([`Time`]), and
//! answers with what to do ([`Action`]); it never reads a clock, opens a socket or starts a thread. Per request
//! it compares the lightest server it remembers with fresh uniform draws, by its own requests in flight.
//!
//! ```
//! use bellcroft_balancer::*;
//!
//! let class = Class { latency_objective: Micros::from_ms(100.0), deadline: Micros::from_ms(400.0), ..Class::default() };
//! let settings = Settings { classes: vec![class], ..Settings::default() };
//! let mut balancer = Balancer::new(settings, 7).expect("usable settings");
//! let mut actions = Vec::new();
//!
//! // The agent hears which servers there are ...
//! let now = Time::from_ms(1000.0);
//! let servers = vec![Endpoint::serving(ServerId(0)), Endpoint::serving(ServerId(1))];
//! balancer.handle(now, Event::Endpoints(EndpointUpdate::Snapshot(servers)), &mut actions);
//!
//! // ... and passes on a request: the balancer says where to send it.
//! let request = Request::new(RequestId(1), ClassId(0), Micros::from_ms(400.0));
//! balancer.handle(now, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { request: RequestId(1), .. })));
//! ```
mod api;
mod decisions;
mod records;

pub use api::*;
pub use records::Balancer;
