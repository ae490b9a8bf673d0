//! Buffering and progress timeouts of bodies.

use bellcroft_agent_core::body_limits::*;
use bellcroft_balancer::{Micros, Time};

#[test]
fn declared_length_decides_the_forwarding_mode() {
    assert_eq!(forwarding_mode(None), Ok(ForwardingMode::Buffered));
    assert_eq!(forwarding_mode(Some(0)), Ok(ForwardingMode::Buffered));
    assert_eq!(forwarding_mode(Some(MAX_BUFFERED_BODY_BYTES as u64)), Ok(ForwardingMode::Buffered));
    assert_eq!(forwarding_mode(Some(MAX_BUFFERED_BODY_BYTES as u64 + 1)), Ok(ForwardingMode::Streamed));
    assert_eq!(forwarding_mode(Some(MAX_BODY_BYTES)), Ok(ForwardingMode::Streamed));
    assert_eq!(forwarding_mode(Some(MAX_BODY_BYTES + 1)), Err(BodyTooLarge));
    assert_eq!(forwarding_mode(Some(u64::MAX)), Err(BodyTooLarge));
}

/// A deadline after all buffering.
const LATE_DEADLINE: Time = Time(2_500_000);

/// Guards against responses that begin shortly before their deadline and time out while they are buffered.
#[test]
fn response_of_unknown_length_is_not_buffered_up_to_its_deadline() {
    let deadline = Time(MAX_BUFFERING_TIME.0 / 2);
    let mut late = BufferingPhase::new(None, Time(0), deadline);
    assert!(!late.on_bytes(1000, Time(1_000)));
    assert!(late.deadline().is_some_and(|end| end < deadline));
    assert!(late.on_bytes(0, Time(deadline.0 - 1_000)));
}

#[test]
fn long_response_is_streamed_and_short_one_is_buffered() {
    let mut long = BufferingPhase::new(Some(MAX_BUFFERED_BODY_BYTES as u64 + 1), Time(0), LATE_DEADLINE);
    assert!(!long.on_bytes(0, Time(u64::MAX)), "without body bytes there is nothing to stream");
    assert!(long.on_bytes(1, Time(1)));
    let mut short = BufferingPhase::new(Some(MAX_BUFFERED_BODY_BYTES as u64), Time(0), LATE_DEADLINE);
    assert!(
        !short.on_bytes(MAX_BUFFERED_BODY_BYTES, Time(u64::MAX)),
        "a short body is buffered however slow it is, so that its request can be retried"
    );
}

#[test]
fn response_of_unknown_length_is_buffered_briefly() {
    let mut slow = BufferingPhase::new(None, Time(0), LATE_DEADLINE);
    assert!(!slow.on_bytes(1000, MAX_BUFFERING_TIME.just_before()));
    assert!(slow.on_bytes(0, Time(MAX_BUFFERING_TIME.0)));
    let mut empty = BufferingPhase::new(None, Time(0), LATE_DEADLINE);
    assert!(!empty.on_bytes(0, Time(u64::MAX)), "without body bytes there is nothing to stream");
    let mut long = BufferingPhase::new(None, Time(0), LATE_DEADLINE);
    assert!(!long.on_bytes(MAX_BUFFERED_BODY_BYTES, Time(1)));
    assert!(long.on_bytes(1, Time(1)), "the body exceeds the buffer");
}

trait JustBefore {
    /// The latest time at which less than this duration has passed since time zero.
    fn just_before(self) -> Time;
}

impl JustBefore for Micros {
    fn just_before(self) -> Time {
        Time(self.0 - 1)
    }
}

#[test]
fn body_beyond_the_maximum_is_rejected() {
    let mut forwarded = ForwardedBytes::default();
    for _ in 0..MAX_BODY_BYTES / 1024 {
        assert_eq!(forwarded.add(1024), Ok(()));
    }
    assert_eq!(forwarded.add(1), Err(BodyTooLarge));
}

#[test]
fn slow_body_is_accepted_and_trickling_body_times_out() {
    let mut slow = ProgressTimeout::default();
    let mut now = Time(0);
    for _ in 0..1000 {
        slow.on_wait(now);
        now = now + Micros(100_000);
        assert!(slow.deadline().is_some_and(|until| until > now), "64 kB/s is fast enough");
        slow.on_bytes(6400, now);
        assert_eq!(slow.deadline(), None, "no timeout applies while the reader does not wait");
        // The time in which the server does not read does not count against the client.
        now = now + Micros(5_000_000);
    }
    slow.on_wait(now);
    assert_eq!(slow.deadline(), Some(now + PROGRESS_TIMEOUT));
    let mut trickle = ProgressTimeout::default();
    let mut bytes = 0;
    loop {
        trickle.on_wait(now);
        if trickle.deadline().is_none_or(|until| until <= now + Micros(500_000)) {
            break;
        }
        now = now + Micros(500_000);
        trickle.on_bytes(1, now);
        bytes += 1;
    }
    assert!(bytes <= 4, "single bytes do not keep a connection open");
}

/// With a longer timeout, a trickling peer still gets the timeout only once in total, not once for each byte.
#[test]
fn trickling_body_times_out_with_a_long_timeout() {
    let timeout = Micros(30_000_000);
    let (mut trickle, mut now, mut bytes) = (ProgressTimeout::new(timeout), Time(0), 0);
    loop {
        trickle.on_wait(now);
        let next = now + Micros(1_000_000);
        if trickle.deadline().is_none_or(|until| until <= next) {
            break;
        }
        now = next;
        trickle.on_bytes(1, now);
        bytes += 1;
    }
    assert!((25..=30).contains(&bytes), "{bytes} bytes; the timeout applies to all waits together");
}
