//! All decisions of the balancer; its interface (settings, events, actions) is in `src/api/`, its state in `src/state/`.
//!
//! In the order of a request's lifecycle: `admission` admits, queues or sheds it, `selection` chooses a server, `dispatch`
//! sends it, `retry_safety` limits what may still be done with it, `outcomes` retries it or gives its final response, and
//! `server_health` learns from the attempt. `timers` runs the periodic checks.

mod admission;
mod dispatch;
mod ejection;
mod endpoints;
mod fleet_load;
mod hedging;
mod outcomes;
mod overdue;
mod probes;
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

/// How an attempt ended.
struct AttemptResult {
    outcome: Outcome,
    elapsed: Micros,
    report: Option<Vec<f64>>,
    /// The request has its final response.
    is_final: bool,
}

impl Balancer {
    /// A balancer with these settings; equal settings, seeds and events yield equal actions.
    ///
    /// # Errors
    ///
    /// Invalid settings.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Balancer::empty(settings, seed, HINT_BUDGET_MAX))
    }

    /// Starts the timers and the watch; to be called once, before the first event.
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
            PROBE_TIMER => self.select_probed(now, actions),
            HEDGE_TIMER => self.send_hedges(now, actions),
            _ => {}
        }
    }
}
