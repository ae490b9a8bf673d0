//! The end of an instance: from the signal to the exit, all that was taken has its answer.
//!
//! The times are those of [`ShutdownSchedule`]; nothing here reckons one of its own.

use super::Instance;
use crate::downstream::Accepting;
use bellcroft_agent_core::guard::Violation;
use bellcroft_agent_core::shutdown::ShutdownSchedule;
use bellcroft_balancer::{Micros, Time};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};
use tracing::{info, warn};

/// Answers that are decided are written within this.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(30);

/// Who takes what connects from now on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Successor {
    /// Nobody: what has connected by the end of accepting is served here.
    None,
    /// Another process, at the same listening socket.
    Listening,
}

/// Answers all that was taken, by the times of the platform and of the operator, and returns when nothing is pending.
pub(super) async fn answer_all(
    instance: &Instance,
    signalled: Time,
    accepting: Option<JoinHandle<()>>,
    successor: Successor,
) {
    let schedule = schedule(instance, signalled);
    instance.driver.begin_shutdown(schedule);
    let after = |time: Time| Duration::from_micros(time.since(signalled).0);
    info!(
        accept_for = ?after(schedule.accept_until()),
        answer_within = ?after(schedule.answer_by()),
        exit_within = ?after(schedule.exit_by()),
        pending = instance.driver.pending(),
        connections = instance.server.connections(),
        "{}: told to end", instance.name()
    );
    stop_accepting(instance, schedule, accepting, successor).await;
    info!(pending = instance.driver.pending(), "{}: no more connections are taken", instance.name());
    finish_requests(instance, schedule).await;
    report_end(instance);
}

/// By the settings that hold now, not by those of the start.
fn schedule(instance: &Instance, signalled: Time) -> ShutdownSchedule {
    let config = instance.control.config();
    let longest_deadline = config.settings.classes.iter().map(|class| class.deadline).max();
    let operator_limit = config.daemon.stop_within.map(|limit| Micros(limit.as_micros() as u64));
    ShutdownSchedule::new(signalled, longest_deadline.unwrap_or_default(), operator_limit)
}

async fn stop_accepting(
    instance: &Instance,
    schedule: ShutdownSchedule,
    accepting: Option<JoinHandle<()>>,
    successor: Successor,
) {
    let clock = instance.driver.clock;
    match successor {
        // What connects from now on waits at the socket for the other process.
        Successor::Listening => instance.server.stop_accepting(Accepting::Off),
        Successor::None => {
            sleep_until(clock.instant(schedule.accept_until())).await;
            instance.server.stop_accepting(Accepting::Drain);
        }
    }
    if let Some(accepting) = accepting {
        let stopped = timeout_at(clock.instant(schedule.answer_by()), accepting).await;
        if stopped.is_err() {
            warn!("{}: connections wait for a place and are not taken", instance.name());
        }
    }
    match successor {
        // Clients have a moment to use what is open once more and to be told by the answer that it was the last time.
        Successor::Listening => {
            if let Some(at) = instance.server.idle_closes() {
                sleep_until(at).await;
            }
        }
        // The kernel would go on taking connections that nobody serves.
        Successor::None => drop(instance.listener.borrow_mut().take()),
    }
}

/// Waits until all that came has its answer; what hangs is given up when its time is over.
async fn finish_requests(instance: &Instance, schedule: ShutdownSchedule) {
    let clock = instance.driver.clock;
    let mut quiet = false;
    let mut given_up = false;
    loop {
        let next_check = Instant::now() + FLUSH_TIMEOUT;
        let wake = if given_up { next_check } else { next_check.min(clock.instant(schedule.answer_by())) };
        sleep_until(wake).await;
        let now = clock.now();
        if instance.driver.guard.borrow().must_answer_all(now) && !given_up {
            given_up = true;
            quiet = false;
            info!(pending = instance.driver.pending(), "{}: what hangs is given up", instance.name());
            instance.driver.fail_pending_requests();
            instance.server.refuse_incomplete();
            continue;
        }
        let busy = instance.server.busy();
        // Two checks: what was answered at the first is written by the second, and what has come between is seen.
        if quiet && !busy {
            return;
        }
        quiet = !busy;
        if instance.driver.guard.borrow().must_end(now) {
            // What has come since the last answers has been refused; it leaves with this.
            sleep(FLUSH_TIMEOUT).await;
            return;
        }
    }
}

/// Says what was done against the rules, if anything was.
fn report_end(instance: &Instance) {
    let pending = instance.driver.pending();
    let mut guard = instance.driver.guard.borrow_mut();
    guard.on_end(pending);
    for (violation, count) in guard.violations().filter(|(_, count)| *count > 0) {
        warn!(count, "{}: violation {}", instance.name(), violation.name());
    }
    let ended = guard.violations().any(|(v, count)| v == Violation::EndedWhilePending && count > 0);
    if !ended {
        info!("{}: all is answered", instance.name());
    }
}
