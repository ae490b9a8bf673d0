//! Graceful shutdown: from the request to the exit, every accepted request gets its response.
//!
//! All deadlines are those of [`ShutdownSchedule`]; none is computed here.

use super::instance::Instance;
use crate::downstream::Accepting;
use bellcroft_agent_core::guard::Violation;
use bellcroft_agent_core::shutdown::{ShutdownSchedule, ShutdownSignal};
use bellcroft_balancer::{Micros, Time};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};
use tracing::{info, warn};

/// A decided response is written within this time.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(30);

/// Who accepts new connections from now on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Successor {
    /// No other process: what has connected by the end of accepting is served here.
    None,
    /// Another process, at the same listening socket.
    Listening,
}

/// Answers everything that was accepted, within the platform's and the operator's limits; returns when nothing is pending.
pub(super) async fn answer_all(
    instance: &Instance,
    signal: ShutdownSignal,
    accept_task: Option<JoinHandle<()>>,
    successor: Successor,
) {
    let schedule = schedule(instance, signal);
    instance.driver.begin_shutdown(schedule);
    let after = |time: Time| Duration::from_micros(time.since(signal.read_at).0);
    info!(
        instance = %instance.name(),
        paused = ?Duration::from_micros(signal.paused.0),
        accept_for = ?after(schedule.accept_until()),
        answer_within = ?after(schedule.respond_by()),
        exit_within = ?after(schedule.exit_by()),
        pending = instance.driver.pending_requests(),
        connections = instance.server.connections(),
        "graceful shutdown: started"
    );
    stop_accepting(instance, schedule, accept_task, successor).await;
    info!(
        instance = %instance.name(),
        pending = instance.driver.pending_requests(),
        "graceful shutdown: no longer accepting connections"
    );
    finish_requests(instance, schedule).await;
    report_result(instance);
}

/// By the settings in force now, not by those of the start.
fn schedule(instance: &Instance, signal: ShutdownSignal) -> ShutdownSchedule {
    let config = instance.control.config();
    let longest_deadline = config.settings.classes.iter().map(|class| class.deadline).max();
    let operator_limit = config.daemon.stop_within.map(|limit| Micros(limit.as_micros() as u64));
    ShutdownSchedule::new(signal, longest_deadline.unwrap_or_default(), operator_limit)
}

async fn stop_accepting(
    instance: &Instance,
    schedule: ShutdownSchedule,
    accept_task: Option<JoinHandle<()>>,
    successor: Successor,
) {
    let clock = instance.driver.clock;
    match successor {
        // New connections wait in the accept queue for the other process.
        Successor::Listening => {
            instance.close_listener_copies();
            instance.server.stop_accepting(Accepting::Off);
        }
        Successor::None => {
            sleep_until(clock.instant(schedule.accept_until())).await;
            // Before the last look at the accept queue: what connects after it is reset by the end of the last copy.
            instance.close_listener_copies();
            instance.server.stop_accepting(Accepting::Drain);
        }
    }
    if let Some(accept_task) = accept_task {
        let stopped = timeout_at(clock.instant(schedule.respond_by()), accept_task).await;
        if stopped.is_err() {
            warn!(
                instance = %instance.name(),
                "graceful shutdown: connections left in the accept queue, connection limit reached"
            );
        }
    }
    // A client may use an open connection once more; that response carries `Connection: close`.
    if let Some(at) = instance.server.close_idle_at().filter(|_| successor == Successor::Listening) {
        sleep_until(at).await;
    }
}

/// Waits until every request has its response, and closes the connections; at the deadline, requests that are still pending
/// fail. Nothing is read afterwards, however long the rest of the shutdown takes.
async fn finish_requests(instance: &Instance, schedule: ShutdownSchedule) {
    let clock = instance.driver.clock;
    let mut idle_at_last_check = false;
    let mut deadline_reached = false;
    loop {
        let next_check = Instant::now() + FLUSH_TIMEOUT;
        let wake =
            if deadline_reached { next_check } else { next_check.min(clock.instant(schedule.respond_by())) };
        sleep_until(wake).await;
        let now = clock.now();
        if instance.driver.guard.borrow().must_respond_to_all(now) && !deadline_reached {
            deadline_reached = true;
            idle_at_last_check = false;
            info!(
                instance = %instance.name(),
                pending = instance.driver.pending_requests(),
                "graceful shutdown: deadline reached, failing pending requests"
            );
            instance.driver.fail_pending_requests();
            instance.server.refuse_incomplete();
            continue;
        }
        let busy = instance.server.is_busy();
        // Two checks: a response decided before the first is written by the second, which also sees new requests.
        if idle_at_last_check && !busy {
            break;
        }
        idle_at_last_check = !busy;
        if instance.driver.guard.borrow().must_exit(now) {
            break;
        }
    }
    instance.server.close_connections();
    finish_last_responses(instance).await;
}

/// Waits for the responses to what was read before the connections closed.
async fn finish_last_responses(instance: &Instance) {
    let clock = instance.driver.clock;
    while instance.server.is_busy() {
        let must_end = instance.driver.guard.borrow().must_exit(clock.now());
        // Requests that arrived since have been refused; their responses still have to be written.
        sleep(FLUSH_TIMEOUT).await;
        if must_end {
            return;
        }
        if instance.driver.guard.borrow().must_respond_to_all(clock.now()) {
            instance.driver.fail_pending_requests();
            instance.server.refuse_incomplete();
        }
    }
}

/// Logs the guard's violations, and whether every request was answered.
fn report_result(instance: &Instance) {
    let pending = instance.driver.pending_request_ids();
    instance.driver.request_log.on_ended_while_pending(&pending);
    let mut guard = instance.driver.guard.borrow_mut();
    guard.on_exit(pending.len());
    for (violation, count) in guard.violations().filter(|(_, count)| *count > 0) {
        warn!(instance = %instance.name(), violation = violation.name(), count, "rule violations in total");
    }
    let ended_pending =
        guard.violations().any(|(violation, count)| violation == Violation::EndedWhilePending && count > 0);
    if !ended_pending {
        info!(instance = %instance.name(), "graceful shutdown: all requests answered");
    }
}
