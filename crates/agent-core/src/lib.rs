//! What an instance that serves must decide for the people who run it, without I/O: what a line over its second address
//! asks ([`admin`]), what it may still do while it is being taken out of service or replaced ([`service`]) and until when
//! ([`shutdown`]), what may be sent, repeated and closed at all ([`guard`]), how two processes share one agent's limits
//! ([`handover`]), by how much its wall clock is off ([`clock_skew`]), what it does after it stood still ([`stall`]), when a large body is passed on ([`body_limits`], [`chunks`]), which rules bind while new settings take over ([`reconfigure`]).
//!
//! Nothing here owns a clock, a socket or a file. Times are [`bellcroft_balancer::Time`], on whatever clock the caller has.

pub mod admin;
pub mod body_limits;
pub mod chunks;
pub mod clock_skew;
pub mod guard;
pub mod handover;
pub mod reconfigure;
pub mod service;
pub mod shutdown;
pub mod stall;
