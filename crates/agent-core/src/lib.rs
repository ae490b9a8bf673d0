//! What an instance that serves must decide for the people who run it, without I/O: what a line over its second address
//! asks ([`console`]), what it may still do while it is being taken out of service or replaced ([`service`]) and until when
//! ([`shutdown`]), what may be sent, repeated and closed at all ([`guard`]), how two processes share one agent's limits
//! ([`succession`]), by how much its wall clock is off ([`clock_skew`]), what it does after it stood still ([`waking`]), when a large body is passed on ([`passage`], [`chunks`]), which rules bind while new settings take over ([`retune`]).
//!
//! Nothing here owns a clock, a socket or a file. Times are [`bellcroft_balancer::Time`], on whatever clock the caller has.

pub mod chunks;
pub mod clock_skew;
pub mod console;
pub mod guard;
pub mod passage;
pub mod retune;
pub mod service;
pub mod shutdown;
pub mod succession;
pub mod waking;
