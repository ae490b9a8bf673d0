//! Every decision of the balancer; its interface (settings, events, actions) is in `src/api/`.
//!
//! In the order of a request's life: `admission` takes it in, `selection` decides whether and where it goes, `dispatch`
//! sends it, `retry_safety` says what may still be done with it, `outcomes` decides what follows an answer and gives the one
//! final answer, `server_health` learns from it. `timers` looks after silent servers, held requests and the list.

mod admission;
mod dispatch;
mod endpoints;
mod fleet_load;
mod outcomes;
mod probes;
mod reports;
mod retry_budget;
mod retry_safety;
mod selection;
mod server_health;
mod slow_start;
mod timers;
mod tuning;

use crate::api::*;
use crate::records::*;
use tuning::*;

/// How an attempt ended, after how long, and the report that came with it.
type Ended = (Outcome, Micros, Option<Vec<f64>>);

/// An attempt, and the place of its server.
type Away = ((RequestId, u32), usize);

impl Balancer {
    /// A balancer for these settings; equal seeds and events give equal actions.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let mut blank = Balancer::blank(settings, seed);
        (blank.tell_bytes, blank.ask_pause) = (TELL_SAVED, MIN_WATCH_RETRY_DELAY);
        Ok(blank)
    }

    /// To be called once, before the first event.
    pub fn start(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.settings.discovery == Discovery::OnRequest {
            out.push(Action::Watch { active: true });
        }
        self.set_tick(now, TICK_IDLE, out);
    }

    /// Takes in what has happened by `now` and appends what is to be done about it.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Request(request) => self.arrive(now, request, out),
            Event::BodyComplete { request, time_left } => self.whole(now, request, time_left),
            Event::AttemptsExhausted { request } => {
                self.live.entry(request).and_modify(|live| live.spent = true);
            }
            Event::FirstByte { request, attempt } => {
                if let Some(live) = self.live.get_mut(&request) {
                    live.bound = (attempt.0 as usize) < live.attempts.len();
                }
            }
            Event::Outcome { request, attempt, outcome, elapsed, report, closed } => {
                self.outcome(now, (request, attempt.0), (outcome, elapsed, report), closed, out);
            }
            Event::ClientDisconnected { request } => {
                self.live.remove(&request);
            }
            Event::Timer(TICK) => self.tick(now, out),
            Event::Timer(ASKED) => self.choose_asked(now, out),
            Event::Timer(COPY) => self.send_copies(now, out),
            Event::Timer(_) => {}
            Event::PeerMessage { payload, .. } => self.hear(now, &payload),
            Event::Fleet(state) => self.fleet = (now, state),
            Event::HealthChecked { server, outcome, report, .. } => {
                let Some(&s) = self.index.get(&server) else { return };
                match report {
                    Some(report) => self.read_report(now, s, &report),
                    None if outcome != Outcome::Success => self.suspect(now, s, "silent to probes", out),
                    None => {}
                }
                self.choose_asked(now, out);
            }
            Event::Endpoints(update) => self.list(now, update, out),
        }
    }
}
