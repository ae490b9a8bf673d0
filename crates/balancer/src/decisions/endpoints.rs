//! Applies updates of the endpoint list and schedules the retry of a failed watch.

use super::tuning::*;
use crate::api::*;
use crate::state::*;

/// Lower bound of the jitter factor on the watch's backoff; the upper bound is 1.
const MIN_JITTER: f64 = 0.5;
/// Maximum backoff of the watch, as a fraction of the poll interval.
const MAX_BACKOFF_FRACTION: f64 = 0.5;

impl Balancer {
    pub(super) fn on_endpoint_update(
        &mut self,
        now: Time,
        update: EndpointUpdate,
        actions: &mut Vec<Action>,
    ) {
        let (endpoints, is_complete) = match update {
            EndpointUpdate::Failed => return self.schedule_watch_retry(now),
            EndpointUpdate::Delta(endpoints) => (endpoints, false),
            EndpointUpdate::Snapshot(endpoints) | EndpointUpdate::SavedSnapshot(endpoints) => {
                (endpoints, true)
            }
        };
        self.watch.backoff = MIN_WATCH_RETRY_DELAY;
        if is_complete {
            for server in &mut self.servers {
                server.endpoint.status = Status::Removed;
            }
        }
        for endpoint in endpoints {
            self.apply_endpoint(now, endpoint);
        }
        self.discard_removed_servers(now);
        self.update_serving();
        self.update_slow_start(now);
        self.drain_queue(now, actions);
    }

    fn schedule_watch_retry(&mut self, now: Time) {
        let jitter = MIN_JITTER + (1.0 - MIN_JITTER) * self.rng.f64();
        let watched_for = now.since(self.watch.started_at);
        let remaining = MAX_WATCH_RETRY_DELAY.saturating_sub(IDLE_TICK_INTERVAL).saturating_sub(watched_for);
        let delay = self.watch.backoff.min(remaining.max(MIN_WATCH_RETRY_DELAY)) * jitter;
        self.watch.retry_at = Some(now + delay);
        let max_backoff = self.settings.poll_interval * MAX_BACKOFF_FRACTION;
        self.watch.backoff = (self.watch.backoff * 2.0).min(max_backoff);
    }

    fn apply_endpoint(&mut self, now: Time, endpoint: Endpoint) {
        let Some(&slot) = self.slots.get(&endpoint.server) else {
            return self.add_server(Server::new(endpoint, INITIAL_LIMIT, now));
        };
        let server = &mut self.servers[slot];
        let has_restarted =
            endpoint.started_at.is_some() && endpoint.started_at != server.endpoint.started_at;
        if has_restarted {
            // The statistics of the previous process do not apply to the new one, which is in slow start.
            let (in_flight, last_response) = (server.in_flight, server.last_response);
            *server = Server { in_flight, last_response, ..Server::new(endpoint, INITIAL_LIMIT, now) };
        } else {
            server.endpoint = endpoint;
        }
    }

    fn update_serving(&mut self) {
        let is_serving = |slot: usize| self.servers[slot].endpoint.status == Status::Serving;
        let serving = (0..self.servers.len()).filter(|&slot| is_serving(slot)).collect();
        self.remembered.retain(|&slot| is_serving(slot));
        self.serving = serving;
        self.max_serving = self.max_serving.max(self.serving.len());
        self.is_sparse = self.settings.balancers as usize > self.max_serving;
    }
}
