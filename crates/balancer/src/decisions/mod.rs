//! All decisions of the balancer; its interface (settings, events, actions) is in `src/api/`, its state in `src/state/`.
//!
//! In the order of a request's lifecycle: `admission` sends, queues or sheds it, `selection` chooses a server, `dispatch`
//! sends an attempt, `outcomes` retries the request or gives its final response, and `server_health` updates the
//! statistics after each attempt. `retry_safety` decides which sends and responses can't make a request run twice;
//! `timers` runs the periodic work.

mod admission;
mod dispatch;
mod ejection;
mod endpoints;
mod fleet_load;
mod health_checks;
mod hedging;
mod outcomes;
mod overdue;
mod protection;
mod queue;
mod reports;
mod retry_budget;
mod retry_safety;
mod selection;
mod server_health;
mod slow_start;
mod timers;
mod traffic;
mod tuning;

use crate::api::*;
use crate::state::*;
use tuning::*;

pub(crate) use dispatch::ConcurrencyUsage;
pub(crate) use fleet_load::FleetLoad;
pub(crate) use retry_budget::RetryBalances;
pub(crate) use slow_start::SlowStart;
pub(crate) use traffic::Traffic;

/// The result of a finished attempt.
struct AttemptResult {
    outcome: Outcome,
    elapsed: Micros,
    report: Option<Vec<f64>>,
    /// True if the request has its final response.
    is_final: bool,
}

impl Balancer {
    /// Creates a balancer. Equal settings, seeds and events yield equal actions.
    ///
    /// # Errors
    ///
    /// The settings are invalid.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Balancer::without_endpoints(settings, seed, HINT_BUDGET_MAX))
    }

    /// Starts the periodic tick and the watch. Must be called once, before the first event.
    pub fn start(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.settings.discovery == Discovery::OnRequest {
            actions.push(Action::Watch { active: true });
        }
        self.set_tick(now, IDLE_TICK_INTERVAL, actions);
    }

    /// Handles an event that occurred at `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Request(request) => self.on_request(now, request, actions),
            Event::BodyComplete { request, time_left } => self.on_body_complete(now, request, time_left),
            Event::AttemptsExhausted { request } => self.on_attempts_exhausted(request),
            Event::FirstByte { request, attempt } => self.on_first_byte(request, attempt),
            Event::Outcome { request, attempt, outcome, elapsed, report, is_final } => {
                let result = AttemptResult { outcome, elapsed, report, is_final };
                self.on_attempt_finished(now, AttemptKey { request, attempt }, result, actions);
            }
            Event::ClientDisconnected { request } => {
                self.requests.remove(&request);
            }
            Event::Timer(timer) => self.on_timer(now, timer, actions),
            Event::PeerMessage { payload, .. } => self.on_peer_hint(now, &payload),
            Event::Fleet(state) => self.fleet_load.set_shared(now, state),
            Event::HealthChecked { server, outcome, report, .. } => {
                self.on_health_checked(now, server, outcome, report, actions);
            }
            Event::Endpoints(update) => self.on_endpoint_update(now, update, actions),
        }
    }

    fn on_timer(&mut self, now: Time, timer: TimerId, actions: &mut Vec<Action>) {
        match timer {
            TICK_TIMER => self.on_tick(now, actions),
            HEALTH_CHECK_TIMER => self.select_checked(now, actions),
            HEDGE_TIMER => self.send_hedges(now, actions),
            _ => {}
        }
    }
}
