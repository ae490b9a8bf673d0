//! Buffering, progress time-outs and the memory of bodies.

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

#[test]
fn long_response_streams_and_short_one_is_buffered() {
    let mut long = BufferingPhase::new(Some(MAX_BUFFERED_BODY_BYTES as u64 + 1), Time(0));
    assert!(!long.on_bytes(0, Time(u64::MAX)), "a head alone is nothing to pass on");
    assert!(long.on_bytes(1, Time(1)));
    let mut short = BufferingPhase::new(Some(MAX_BUFFERED_BODY_BYTES as u64), Time(0));
    assert!(
        !short.on_bytes(MAX_BUFFERED_BODY_BYTES, Time(u64::MAX)),
        "however slow it is, it can be asked for again"
    );
}

#[test]
fn response_of_unknown_length_is_buffered_briefly() {
    let mut begin = BufferingPhase::new(None, Time(0));
    assert!(!begin.on_bytes(1000, MAX_BUFFERING_TIME.before()));
    assert!(begin.on_bytes(0, Time(MAX_BUFFERING_TIME.0)));
    let mut nothing = BufferingPhase::new(None, Time(0));
    assert!(!nothing.on_bytes(0, Time(u64::MAX)), "there is nothing to pass on");
    let mut quick = BufferingPhase::new(None, Time(0));
    assert!(!quick.on_bytes(MAX_BUFFERED_BODY_BYTES, Time(1)));
    assert!(quick.on_bytes(1, Time(1)), "it is long");
}

trait Before {
    fn before(self) -> Time;
}

impl Before for Micros {
    fn before(self) -> Time {
        Time(self.0 - 1)
    }
}

#[test]
fn body_beyond_the_maximum_is_rejected() {
    let mut passed = ForwardedBytes::default();
    for _ in 0..MAX_BODY_BYTES / 1024 {
        assert_eq!(passed.add(1024), Ok(()));
    }
    assert_eq!(passed.add(1), Err(BodyTooLarge));
}

#[test]
fn slow_body_progresses_and_trickling_body_times_out() {
    let mut slow = ProgressTimeout::default();
    let mut now = Time(0);
    for _ in 0..1000 {
        slow.on_wait(now);
        now = now + Micros(100_000);
        assert!(slow.deadline().is_some_and(|until| until > now), "64 kB/s are enough");
        slow.on_bytes(6400, now);
        assert_eq!(slow.deadline(), None, "its reader has enough");
        // A server that takes its time is not its client's fault.
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
    assert!(bytes <= 4, "a byte now and then holds no place");
}

/// A side that is given more time at once trickles no longer for it.
#[test]
fn trickling_body_times_out_with_a_long_gap() {
    let gap = Micros(30_000_000);
    let (mut trickle, mut now, mut bytes) = (ProgressTimeout::new(gap), Time(0), 0);
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
    assert!((25..=30).contains(&bytes), "{bytes}: silent for the gap in all, not each time");
}

/// However many bodies there are, what they keep is bounded by a little each beyond the share.
#[test]
fn buffer_pool_is_bounded_by_its_share_of_memory() {
    let memory = 32 << 20;
    let mut store = BufferPool::new(memory);
    let granted: Vec<usize> = (0..500).map(|_| store.acquire()).collect();
    assert!(store.in_use() <= memory / POOL_MEMORY_DIVISOR + 500 * MIN_BUFFER_BYTES);
    assert_eq!((granted[0], granted[499]), (MAX_BUFFERED_BODY_BYTES, MIN_BUFFER_BYTES));
    granted.into_iter().for_each(|one| store.release(one));
    assert_eq!((store.in_use(), store.acquire()), (0, MAX_BUFFERED_BODY_BYTES));
}
