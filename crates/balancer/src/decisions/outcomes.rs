//! Handles finished attempts: the request is retried or gets its final response.

use super::*;

/// Retry-After of a shed request, as a fraction of the latency objective. It leaves time for a response to the client's
/// retry within the objective.
const RETRY_AFTER_FRACTION: f64 = 0.25;
/// Cost of open connections and of handshakes if the settings give neither; see [`Costs`].
const DEFAULT_CONNECTION_COST: f64 = 0.03;
/// Time that an idle connection stays open, in seconds.
const IDLE_CONNECTION_LIFETIME_S: f64 = 10.0;

impl Balancer {
    pub(super) fn on_attempt_finished(
        &mut self,
        now: Time,
        key: AttemptKey,
        result: AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.in_flight.remove(&key) else { return };
        self.servers[attempt.server].in_flight -= u32::from(!attempt.is_streaming);
        if let Some(limits) = &attempt.limits {
            self.concurrency.release(limits);
        }
        if let Some(report) = result.report {
            self.on_load_report(now, attempt.server, &report);
        }
        self.record_attempt_result(now, &attempt, result.outcome, result.elapsed, actions);
        self.close_idle_connections(attempt.server, actions);
        if result.is_final {
            self.on_final_response(key, actions);
        } else {
            self.on_attempt_failed(now, key, result.outcome, actions);
        }
        self.drain_queue(now, actions);
    }

    /// Removes a request that has its final response and cancels its other attempts.
    fn on_final_response(&mut self, key: AttemptKey, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.remove(&key.request) else { return };
        if !self.settings.cancel {
            return;
        }
        for (number, attempt) in (0..).map(AttemptNo).zip(&pending.attempts) {
            if number != key.attempt && attempt.state == AttemptState::InFlight {
                actions.push(Action::Cancel { request: key.request, attempt: number });
            }
        }
    }

    /// Closes a sparse balancer's idle connections to a server other than the remembered one. Random draws reach the entire
    /// fleet, so that each balancer would otherwise keep a connection to each server and exhaust the servers' limits.
    fn close_idle_connections(&self, server: usize, actions: &mut Vec<Action>) {
        let is_idle = self.servers[server].in_flight == 0;
        let is_remembered = self.remembered.contains(&server);
        if is_idle && self.is_sparse && !is_remembered && !self.keeps_idle_connections() {
            actions.push(Action::CloseIdle { server: self.servers[server].endpoint.server });
        }
    }

    /// Whether keeping a connection to each server open costs less than the handshakes that it saves.
    fn keeps_idle_connections(&self) -> bool {
        let costs = &self.settings.costs;
        let (open, handshake) = if costs.connection + costs.handshake > 0.0 {
            (costs.connection, costs.handshake)
        } else {
            (DEFAULT_CONNECTION_COST, DEFAULT_CONNECTION_COST)
        };
        let requests_while_idle =
            self.traffic.requests_per_s() * IDLE_CONNECTION_LIFETIME_S / self.serving.len().max(1) as f64;
        let reuse_probability = 1.0 - (-requests_while_idle).exp();
        open * f64::from(self.settings.balancers) / 100.0 < handshake * reuse_probability
    }

    /// Retries a request or gives its final response, unless another attempt of it is in flight.
    fn on_attempt_failed(&mut self, now: Time, key: AttemptKey, outcome: Outcome, actions: &mut Vec<Action>) {
        let id = key.request;
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let never_ran = outcome.never_ran();
        pending.attempts[key.attempt.0 as usize].state =
            if never_ran { AttemptState::NeverRan } else { AttemptState::MayHaveRun };
        let Some(pending) = self.requests.get(&id) else { return };
        if pending.has_attempt_in_flight() {
            return;
        }
        let limits = pending.request.limits.clone().unwrap_or_default();
        let can_retry = limits.retry_on.allows(outcome)
            && self.retry_balances.can_afford(&limits, never_ran)
            && self.allowed_actions(now, pending).send != SendScope::Nowhere
            && !self.is_too_late(now, pending);
        if !can_retry {
            return self.give_final_response(now, id, actions);
        }
        self.retry_balances.charge(&limits, never_ran);
        if !self.try_send(now, id, actions) {
            self.enqueue(now, id, actions);
        }
    }

    /// Gives the final response to a request: it is shed if it can be retried safely, otherwise it fails.
    pub(super) fn give_final_response(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.remove(&id) else { return };
        let class = pending.request.class.0;
        if !pending.is_client_retry {
            let deadline_ms = self.settings.classes[class].deadline.ms();
            self.classes[class].awaited_client_retries.add(now, deadline_ms, 1.0);
        }
        if !self.allowed_actions(now, &pending).shed {
            actions.push(Action::Fail { request: id });
            return;
        }
        let objective = self.settings.classes[class].latency_objective;
        let retry_after = (objective * RETRY_AFTER_FRACTION).min(self.settings.max_retry_after);
        let retry_after = self.settings.retry_after.then_some(retry_after);
        actions.push(Action::Shed { request: id, retry_after });
    }
}
