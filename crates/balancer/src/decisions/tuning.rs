//! Figures that several parts of the decisions go by; those of one part stand there.

use crate::api::*;

/// Remembered servers (m) and fresh draws (d) of each pick; the paper asks for d >= m.
pub(super) const REMEMBERED: usize = 1;
pub(super) const DRAWS: usize = 3;
/// Weight of a new answer in a server's pace: about the last eight answers count.
pub(super) const PACE_GAIN: f64 = 0.12;
/// An answer counts as this many aims at most: late is late, and one costly request must not weigh like ten.
pub(super) const LATE: f64 = 1.0;
/// A connection must be up within this share of the wanted time that is left, or the attempt is made
/// elsewhere; it may always take `CONNECT_LEAST`. One that failed after `HUSH` was no refusal but silence.
pub(super) const CONNECT_SHARE: f64 = 0.25;
pub(super) const CONNECT_LEAST: Micros = Micros(50_000);
pub(super) const HUSH: Micros = Micros(20_000);
/// As many balancers may each have one request out at a cold server: rule four leaves that much to chance.
pub(super) const FEW_BALANCERS: u32 = 5;
/// First and longest pause between two trials of a suspect server.
pub(super) const TRIAL_FIRST: Micros = Micros(250_000);
pub(super) const TRIAL_MOST: Micros = Micros(4_000_000);
/// A blind balancer always lets this share in, or it would never see a jam end.
pub(super) const LEVEL_LEAST: f64 = 0.02;
/// Own requests in flight that a server is first thought to bear, and the most it is ever given.
pub(super) const LIMIT_FIRST: f64 = 2.0;
pub(super) const LIMIT_MOST: f64 = 1000.0;
/// How often the balancer looks around when it holds requests, and when it does not.
pub(super) const TICK_BUSY: Micros = Micros(10_000);
pub(super) const TICK_IDLE: Micros = Micros(50_000);
/// The part of its share that a doubted server is still sent, and for how long after own evidence or hearsay.
pub(super) const DOUBTED: f64 = 0.05;
pub(super) const DOUBT_OWN: Micros = Micros(8_000_000);
pub(super) const DOUBT_HEARD: Micros = Micros(5_000_000);
/// Peers told of a doubted server, and the bytes that each request earns for that, saved up to a limit.
pub(super) const TELL_MOST: u32 = 64;
pub(super) const TELL_EARN: f64 = 25.0;
pub(super) const TELL_SAVED: f64 = 512.0;
/// Answers that the pace of a kind of machine remembers at most, those that it counts for beside a server's
/// own, and those that a server's own count for at most.
pub(super) const KIND_MOST: f64 = 12.0;
pub(super) const KIND_WORTH: f64 = 1.5;
pub(super) const OWN_MOST: f64 = 8.0;
pub(super) const TICK: TimerId = TimerId(0);
pub(super) const ASKED: TimerId = TimerId(1);
pub(super) const COPY: TimerId = TimerId(2);
