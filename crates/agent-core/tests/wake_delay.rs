//! Pauses of the process, told from its own work by late wakes and processor time.

use bellcroft_agent_core::wake_delay::*;
use bellcroft_balancer::{Micros, Time};

fn at(ms: f64) -> Time {
    Time::from_ms(1_000_000.0 + ms)
}

fn ms(ms: f64) -> Micros {
    Micros::from_ms(ms)
}

/// A loop that had to wake at 50 ms, and woke at 200 ms after so much work.
fn late(worked: f64) -> WakeDelays {
    let mut delays = WakeDelays::default();
    delays.on_sleep(at(0.0), at(50.0), || ms(10.0));
    delays.on_wake(at(200.0), || ms(10.0 + worked));
    delays
}

fn paused(delays: &WakeDelays, from: f64, until: f64) -> Micros {
    delays.paused_since(at(from), at(until), || unreachable!("the loop is not late"))
}

#[test]
fn late_wake_without_work_is_a_pause() {
    let delays = late(0.0);
    assert_eq!(paused(&delays, 0.0, 210.0), ms(150.0));
    assert_eq!(paused(&delays, 120.0, 210.0), ms(80.0), "only what lies after the deadline");
    assert_eq!(paused(&delays, 200.0, 210.0), Micros::ZERO);
}

#[test]
fn late_wake_after_work_is_no_pause() {
    assert_eq!(paused(&late(150.0), 0.0, 210.0), Micros::ZERO);
    assert_eq!(paused(&late(100.0), 0.0, 210.0), ms(50.0));
}

#[test]
fn wake_in_time_is_no_pause() {
    let mut delays = WakeDelays::default();
    delays.on_sleep(at(0.0), at(50.0), || Micros::ZERO);
    delays.on_wake(at(50.5), || unreachable!("it is not late"));
    assert_eq!(paused(&delays, 0.0, 60.0), Micros::ZERO);
    delays.on_sleep(at(60.0), at(5_000.0), || Micros::ZERO);
    assert_eq!(paused(&delays, 0.0, 4_000.0), Micros::ZERO, "a loop that has nothing to do is not paused");
}

#[test]
fn loop_that_is_due_and_has_not_woken_is_paused() {
    let mut delays = WakeDelays::default();
    delays.on_sleep(at(0.0), at(50.0), || ms(3.0));
    assert_eq!(delays.paused_since(at(100.0), at(190.0), || ms(4.0)), ms(90.0));
    assert_eq!(delays.paused_since(at(0.0), at(190.0), || ms(4.0)), ms(139.0));
}

#[test]
fn pauses_add_up_and_old_ones_are_forgotten() {
    let mut delays = WakeDelays::default();
    for number in 0..20 {
        let begin = f64::from(number) * 100.0;
        delays.on_sleep(at(begin), at(begin + 10.0), || Micros::ZERO);
        delays.on_wake(at(begin + 30.0), || Micros::ZERO);
    }
    assert_eq!(paused(&delays, 1_700.0, 2_000.0), ms(60.0));
    assert_eq!(paused(&delays, 0.0, 2_000.0), ms(160.0));
}

#[test]
fn latest_pause_is_the_one_that_has_just_ended() {
    let unread = || unreachable!("the loop is not late");
    let delays = late(30.0);
    assert_eq!(delays.latest_pause(at(200.5), unread), ms(120.0));
    assert_eq!(delays.latest_pause(at(230.0), unread), Micros::ZERO, "long over");
    let mut due = WakeDelays::default();
    due.on_sleep(at(0.0), at(50.0), || Micros::ZERO);
    assert_eq!(due.latest_pause(at(450.0), || Micros::ZERO), ms(400.0), "the loop has not woken yet");
    assert_eq!(WakeDelays::default().latest_pause(at(1.0), unread), Micros::ZERO);
}
