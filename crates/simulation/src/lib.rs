//! The whole deployment as discrete events, in virtual time, without I/O and without threads.
//!
//! [`play`] runs a [`Scenario`] under a [`Policy`] from a seed and gives an [`Outcome`]. It hosts the true
//! [`bellcroft_balancer::Balancer`]; the reference policies sit behind one common shell ([`policy::Shell`]), so that a comparison
//! among them is of the pick and of nothing else. The [`Judge`] knows the four rules, sees what reached servers and
//! clients, and shares no code with the decisions.
//!
//! Order: of two events at one instant, the one that was scheduled first happens first. Every actor draws from a stream
//! of its own ([`random`]), so a change in one leaves the others' draws alone. The same scenario, policy and seed give
//! the same outcome to the byte, on any machine and any number of threads.

mod clients;
mod engine;
pub mod fleet;
mod judge;
mod outcome;
pub mod policy;
pub mod random;
mod scenario;
mod server;
mod trace;

pub use engine::{play, play_with, trace};
pub use judge::{Breach, Breaches, Judge, Rule};
pub use outcome::{ClassOutcome, Outcome, Second};
pub use policy::{Core, Pick, Policy, Truth};
pub use random::Dist;
pub use scenario::{
    Arrivals, ClassSpec, Effect, Habits, LinkFault, Network, Place, ReportFaults, Reports, Scenario,
    ScenarioError, Servers, Trouble, What,
};
pub use trace::Step;
