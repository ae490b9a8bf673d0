//! Start times of servers, converted to a clock that was stepped before the process started.

use bellcroft_agent_core::clock_skew::{ClockSkew, StartRecency};
use bellcroft_balancer::{Micros, Time};

const SECOND: Micros = Micros(1_000_000);
const HOUR: f64 = 3_600.0;

/// A time by the platform's clock, and by this process's clock, which is `ahead` seconds ahead.
fn clocks(seconds: f64, ahead: f64) -> (Time, Time) {
    let platform = Time::from_ms(1e9 + seconds * 1e3);
    (platform, Time::from_ms(1e9 + (seconds + ahead) * 1e3))
}

/// The age of a server at `now` by the process's clock, in seconds.
fn age_at(skew: &ClockSkew, started: Time, now: Time) -> f64 {
    now.since(skew.local(started)).ms() / 1e3
}

#[test]
fn recent_start_has_a_low_age_whatever_the_clock_skew() {
    for ahead in [0.0, 3.0, -3.0, 45.0, -45.0, HOUR, -HOUR] {
        let mut skew = ClockSkew::default();
        let (started, _) = clocks(100.0, ahead);
        let (_, listed) = clocks(100.2, ahead);
        skew.on_start(listed, started, StartRecency::Recent);
        let (_, later) = clocks(105.2, ahead);
        let age = age_at(&skew, started, later);
        // A skew below the threshold is not corrected and adds to the age; a larger skew is corrected.
        assert!((0.0..=5.2 + 3.0).contains(&age) || (ahead == 0.0 && age <= 5.3), "{ahead}: {age}");
    }
}

#[test]
fn future_start_reveals_a_clock_that_is_behind() {
    let mut skew = ClockSkew::default();
    let (started, now) = clocks(0.0, -HOUR);
    skew.on_start(now, started, StartRecency::Unknown);
    let (_, later) = clocks(20.0, -HOUR);
    assert!((age_at(&skew, started, later) - 20.0).abs() < 0.01, "the age counts from the listing");
}

#[test]
fn recent_start_of_low_age_confirms_the_clock() {
    let mut skew = ClockSkew::default();
    let (old, _) = clocks(0.0, 0.0);
    let (_, now) = clocks(500.0, 0.0);
    // A server that is listed again may be old; without another recent start it is treated as just started.
    skew.on_start(now, old, StartRecency::Recent);
    assert!(age_at(&skew, old, now) < 1.0);
    let (young, _) = clocks(600.0, 0.0);
    let (_, listed) = clocks(601.0, 0.0);
    skew.on_start(listed, young, StartRecency::Recent);
    assert!((age_at(&skew, old, listed) - 601.0).abs() < 0.01, "without a skew the listed start is exact");
    assert!((age_at(&skew, young, listed + SECOND) - 2.0).abs() < 0.01);
}

#[test]
fn old_starts_of_the_first_list_are_ignored() {
    let mut skew = ClockSkew::default();
    let (old, _) = clocks(0.0, 0.0);
    let (_, now) = clocks(5_000.0, 0.0);
    skew.on_start(now, old, StartRecency::Unknown);
    assert!((age_at(&skew, old, now) - 5_000.0).abs() < 0.01);
}
