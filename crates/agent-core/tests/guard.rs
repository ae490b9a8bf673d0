//! The guard and the schedule of a shutdown, checked against the platform's rules.

use bellcroft_agent_core::guard::*;
use bellcroft_agent_core::shutdown::*;
use bellcroft_balancer::{DedupScope, Micros, Outcome, RetrySafety, Time};

const MS: Micros = Micros(1_000);
const HERE: ServerGroups = ServerGroups { zone: 1, dedup_group: 1 };
const OTHER_GROUP: ServerGroups = ServerGroups { zone: 1, dedup_group: 2 };
const OTHER_ZONE: ServerGroups = ServerGroups { zone: 2, dedup_group: 2 };

fn at(ms: f64) -> Time {
    Time::from_ms(1_000_000.0 + ms)
}

/// The platform sends SIGKILL after the longest deadline (3 s at most) and another 0.7 s after SIGTERM. SIGTERM may be read
/// 0.15 s late, and the responses may be written 0.15 s late.
#[test]
fn responses_and_exit_precede_sigkill_for_all_deadlines() {
    for deadline_ms in (10..20_000).step_by(10).map(f64::from) {
        let sent = at(0.0);
        let killed = sent + MS * deadline_ms.min(3_000.0) + MS * 700.0;
        let schedule =
            ShutdownSchedule::new(ShutdownSignal::read_at(sent + MAX_STALL), MS * deadline_ms, None);
        assert!(
            schedule.respond_by() + MAX_STALL < killed,
            "deadline {deadline_ms} ms: responses are too late"
        );
        assert!(schedule.exit_by() < killed, "deadline {deadline_ms} ms: exit is too late");
        assert!(schedule.accept_until() <= schedule.exit_by());
        // Clients connect for 0.4 s after SIGTERM; their requests get the remaining time.
        assert!(
            schedule.accept_until() >= sent + MS * 400.0,
            "deadline {deadline_ms} ms: accepts too briefly"
        );
        let deadline_of_pending = sent + MS * deadline_ms.min(3_000.0);
        assert!(
            schedule.respond_by() > deadline_of_pending,
            "deadline {deadline_ms} ms: pending requests do not get all of it"
        );
    }
}

/// A signal that was read after a longer pause may have been sent at the start of the pause, or at its end.
#[test]
fn responses_precede_sigkill_after_a_delayed_signal() {
    for paused_ms in [0.0, 150.0, 151.0, 400.0, 1_000.0] {
        let read_at = at(paused_ms);
        let signal = ShutdownSignal { read_at, paused: MS * paused_ms };
        let schedule = ShutdownSchedule::new(signal, MS * 3_000.0, None);
        let killed = at(3_700.0);
        assert!(schedule.respond_by() + MAX_STALL < killed, "paused for {paused_ms} ms");
        assert!(schedule.exit_by() < killed, "paused for {paused_ms} ms");
        assert!(
            schedule.accept_until() >= read_at + MS * 400.0,
            "paused for {paused_ms} ms: accepts too briefly"
        );
    }
}

/// The signal may have been sent at the end of a pause, so new connections are accepted for the full 0.4 s after it,
/// however long the pause was.
#[test]
fn connections_are_accepted_after_a_delayed_signal() {
    for deadline_ms in [10.0, 400.0, 625.0, 3_000.0] {
        for paused_ms in [151.0, 700.0, 1_200.0, 60_000.0] {
            let signal = ShutdownSignal { read_at: at(0.0), paused: MS * paused_ms };
            let schedule = ShutdownSchedule::new(signal, MS * deadline_ms, None);
            let accepted_for = schedule.accept_until().since(at(0.0));
            assert!(
                accepted_for >= MS * 400.0,
                "{deadline_ms} ms, paused for {paused_ms} ms: {accepted_for:?}"
            );
        }
    }
}

#[test]
fn operator_limit_only_shortens_the_shutdown() {
    let platform = ShutdownSchedule::new(ShutdownSignal::read_at(at(0.0)), MS * 2_500.0, None);
    let shorter = ShutdownSchedule::new(ShutdownSignal::read_at(at(0.0)), MS * 2_500.0, Some(MS * 200.0));
    let longer = ShutdownSchedule::new(ShutdownSignal::read_at(at(0.0)), MS * 2_500.0, Some(MS * 60_000.0));
    assert_eq!(shorter.respond_by(), at(850.0));
    assert_eq!(longer, platform);
}

#[test]
fn first_shutdown_limits_all_deadlines_and_windows() {
    let mut guard = Guard::default();
    assert_eq!(guard.respond_by(at(60_000.0)), at(60_000.0));
    let schedule = ShutdownSchedule::new(ShutdownSignal::read_at(at(0.0)), MS * 2_000.0, None);
    guard.begin_shutdown(schedule);
    guard.begin_shutdown(ShutdownSchedule::new(ShutdownSignal::read_at(at(500.0)), MS * 2_000.0, None));
    assert_eq!(guard.shutdown(), Some(schedule));
    assert_eq!(guard.respond_by(at(60_000.0)), schedule.respond_by());
    assert_eq!(guard.respond_by(at(100.0)), at(100.0));
    let window = guard.window(at(50_000.0), at(60_000.0));
    assert_eq!((window.start_by, window.end_by), (schedule.respond_by(), schedule.respond_by()));
    let just_before = schedule.respond_by() - Micros(1);
    assert!(!guard.must_respond_to_all(just_before) && guard.must_respond_to_all(schedule.respond_by()));
    assert!(!guard.must_exit(schedule.respond_by()) && guard.must_exit(schedule.exit_by()));
    let history = AttemptHistory::new(RetrySafety::Idempotent);
    assert_eq!(guard.may_send(just_before, &history, HERE), Ok(()));
    assert_eq!(guard.may_send(schedule.respond_by(), &history, HERE), Err(SendDenied::ProcessEnding));
}

#[test]
fn attempt_starts_only_within_its_window() {
    let window = AttemptWindow { start_by: at(100.0), end_by: at(50.0) };
    assert!(window.may_start(at(50.0)) && !window.may_start(at(50.1)));
    let window = AttemptWindow { start_by: at(20.0), end_by: at(50.0) };
    assert!(window.may_start(at(20.0)) && !window.may_start(at(20.1)));
}

/// Whether a second attempt is allowed, by retry safety, outcome of the first attempt, server and time.
#[test]
fn retry_is_allowed_only_if_it_cannot_run_twice() {
    let dedup = |group| RetrySafety::Deduplicated { scope: group, window: MS * 500.0 };
    let (ran, never) = (Outcome::ConnectionReset, Outcome::ConnectFailed);
    let twice = Err(SendDenied::MayRunTwice);
    let (too_late, other_group) = (Err(SendDenied::OutsideDedupWindow), Err(SendDenied::OutsideDedupGroup));
    let cases = [
        (RetrySafety::Idempotent, Some(ran), 10_000.0, OTHER_ZONE, Ok(())),
        (RetrySafety::Idempotent, None, 10_000.0, OTHER_ZONE, Ok(())),
        (RetrySafety::AtMostOnce, Some(never), 10.0, HERE, Ok(())),
        (RetrySafety::AtMostOnce, Some(ran), 10.0, HERE, twice),
        (RetrySafety::AtMostOnce, None, 10.0, HERE, twice),
        (dedup(DedupScope::All), Some(ran), 500.0, OTHER_ZONE, Ok(())),
        (dedup(DedupScope::All), Some(ran), 500.1, HERE, too_late),
        (dedup(DedupScope::All), Some(never), 500.1, HERE, Ok(())),
        (dedup(DedupScope::Zone), None, 400.0, OTHER_GROUP, Ok(())),
        (dedup(DedupScope::Zone), None, 400.0, OTHER_ZONE, other_group),
        (dedup(DedupScope::Group), Some(ran), 400.0, HERE, Ok(())),
        (dedup(DedupScope::Group), Some(ran), 400.0, OTHER_GROUP, other_group),
    ];
    for (retry_safety, outcome, ms, groups, expected) in cases {
        let mut guard = Guard::default();
        let mut history = AttemptHistory::new(retry_safety);
        assert_eq!(guard.may_send(at(0.0), &history, HERE), Ok(()));
        history.on_sent(0, at(0.0), HERE);
        if let Some(outcome) = outcome {
            history.on_outcome(0, outcome);
        }
        let result = guard.may_send(at(ms), &history, groups);
        assert_eq!(result, expected, "{retry_safety:?} {outcome:?} after {ms} ms to {groups:?}");
        let counted = guard.violations().map(|(_, count)| count).sum::<u64>();
        assert_eq!(counted, u64::from(expected.is_err()), "an unsafe repeat is counted");
    }
}

#[test]
fn violations_are_counted_by_kind() {
    let mut guard = Guard::default();
    assert_eq!(guard.on_response(at(1_050.0), at(1_000.0), Micros::ZERO), Ok(()));
    assert_eq!(guard.violations().map(|(_, count)| count).sum::<u64>(), 0, "within the slack");
    let late = LateResponse { late_by: MS * 51.0, paused: Micros::ZERO };
    assert_eq!(guard.on_response(at(1_051.0), at(1_000.0), Micros::ZERO), Err(late));
    for state in [ConnectionState::Unused, ConnectionState::ReceivingHead, ConnectionState::Idle] {
        assert!(!guard.on_close(state));
    }
    assert!(guard.on_close(ConnectionState::Pending));
    guard.on_exit(2);
    let counted: Vec<(&str, u64)> = guard.violations().map(|(v, count)| (v.name(), count)).collect();
    let expected =
        [("late_answer", 1), ("unsafe_repeat", 0), ("closed_while_pending", 1), ("ended_while_pending", 2)];
    assert_eq!(counted, expected);
}

/// The allowed delay of a response grows by the length of a pause of the process, by 0.15 s at most.
#[test]
fn pause_extends_the_allowed_delay_up_to_a_maximum() {
    let is_late = |late_ms: f64, paused_ms: f64| {
        let mut guard = Guard::default();
        let result = guard.on_response(at(1_000.0 + late_ms), at(1_000.0), MS * paused_ms);
        let counted = guard.violations().map(|(_, count)| count).sum::<u64>();
        assert_eq!(counted, u64::from(result.is_err()));
        result.is_err()
    };
    for (late_ms, paused_ms, expected) in [
        (51.0, 0.0, true),
        (120.0, 70.0, false),
        (121.0, 70.0, true),
        (200.0, 150.0, false),
        (200.0, 1_000.0, false),
        (201.0, 1_000.0, true),
    ] {
        assert_eq!(is_late(late_ms, paused_ms), expected, "{late_ms} ms late, paused for {paused_ms} ms");
    }
}

#[test]
fn only_connections_without_requests_may_close() {
    use ConnectionState::{Idle, Pending, ReceivingBody, ReceivingHead, Unused};
    assert!([Unused, Idle].into_iter().all(Guard::may_close));
    assert!(![ReceivingHead, ReceivingBody, Pending].into_iter().any(Guard::may_close));
}
