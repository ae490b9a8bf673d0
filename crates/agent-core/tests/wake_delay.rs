//! Detection of pauses by late wakes, and their distinction from the process's own work by its processor time.

use bellcroft_agent_core::wake_delay::*;
use bellcroft_balancer::{Micros, Time};

fn at(ms: f64) -> Time {
    Time::from_ms(1_000_000.0 + ms)
}

fn ms(ms: f64) -> Micros {
    Micros::from_ms(ms)
}

/// A loop that was due to wake at 50 ms and woke at 200 ms, after `worked_ms` of its own work.
fn late_wake(worked_ms: f64) -> WakeDelays {
    let mut delays = WakeDelays::default();
    delays.on_sleep(at(0.0), at(50.0), || ms(10.0));
    delays.on_wake(at(200.0), || ms(10.0 + worked_ms));
    delays
}

fn paused(delays: &WakeDelays, from: f64, until: f64) -> Micros {
    delays.paused_since(at(from), at(until), || unreachable!("the loop is not late"))
}

#[test]
fn late_wake_without_work_is_a_pause() {
    let delays = late_wake(0.0);
    assert_eq!(paused(&delays, 0.0, 210.0), ms(150.0));
    assert_eq!(paused(&delays, 120.0, 210.0), ms(80.0), "only the part after the given time counts");
    assert_eq!(paused(&delays, 200.0, 210.0), Micros::ZERO);
}

#[test]
fn late_wake_after_work_is_no_pause() {
    assert_eq!(paused(&late_wake(150.0), 0.0, 210.0), Micros::ZERO);
    assert_eq!(paused(&late_wake(100.0), 0.0, 210.0), ms(50.0));
}

#[test]
fn wake_in_time_is_no_pause() {
    let mut delays = WakeDelays::default();
    delays.on_sleep(at(0.0), at(50.0), || Micros::ZERO);
    delays.on_wake(at(50.5), || unreachable!("the loop is not late"));
    assert_eq!(paused(&delays, 0.0, 60.0), Micros::ZERO);
    delays.on_sleep(at(60.0), at(5_000.0), || Micros::ZERO);
    assert_eq!(paused(&delays, 0.0, 4_000.0), Micros::ZERO, "a sleeping loop that is not due is not paused");
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
        let start = f64::from(number) * 100.0;
        delays.on_sleep(at(start), at(start + 10.0), || Micros::ZERO);
        delays.on_wake(at(start + 30.0), || Micros::ZERO);
    }
    assert_eq!(paused(&delays, 1_700.0, 2_000.0), ms(60.0));
    assert_eq!(paused(&delays, 0.0, 2_000.0), ms(160.0));
}

#[test]
fn latest_pause_is_the_one_that_has_just_ended() {
    let not_read = || unreachable!("the loop is not late");
    let delays = late_wake(30.0);
    assert_eq!(delays.latest_pause(at(200.5), not_read), ms(120.0));
    assert_eq!(delays.latest_pause(at(230.0), not_read), Micros::ZERO, "the pause ended too long ago");
    let mut overdue = WakeDelays::default();
    overdue.on_sleep(at(0.0), at(50.0), || Micros::ZERO);
    assert_eq!(overdue.latest_pause(at(450.0), || Micros::ZERO), ms(400.0), "the loop has not woken yet");
    assert_eq!(WakeDelays::default().latest_pause(at(1.0), not_read), Micros::ZERO);
}
