//! Takes in the list of servers.

use super::tuning::*;
use crate::api::*;
use crate::records::*;

impl Balancer {
    pub(super) fn list(&mut self, now: Time, update: EndpointUpdate, out: &mut Vec<Action>) {
        let (lines, complete) = match update {
            EndpointUpdate::Failed => {
                let jitter = 0.5 + 0.5 * self.rng.f64();
                let left =
                    MAX_WATCH_RETRY_DELAY.saturating_sub(TICK_IDLE).saturating_sub(now.since(self.asked_at));
                self.ask_at = Some(now + self.ask_pause.min(left.max(MIN_WATCH_RETRY_DELAY)) * jitter);
                self.ask_pause = (self.ask_pause * 2.0).min(self.settings.poll_interval * 0.5);
                return;
            }
            EndpointUpdate::Delta(lines) => (lines, false),
            EndpointUpdate::Snapshot(lines) | EndpointUpdate::SavedSnapshot(lines) => (lines, true),
        };
        self.ask_pause = MIN_WATCH_RETRY_DELAY;
        if complete {
            for s in &mut self.servers {
                s.listed.status = Status::Gone;
            }
        }
        for line in lines {
            let server = line.server;
            match self.index.get(&server) {
                Some(&i) => {
                    let s = &mut self.servers[i];
                    if line.started_at.is_some() && line.started_at != s.listed.started_at {
                        // A new process: what was learned of the old one says nothing, and it is cold.
                        let (in_flight, last_answer) = (s.in_flight, s.last_answer);
                        *s = Server { in_flight, last_answer, ..Server::new(line, LIMIT_FIRST, now) };
                    } else {
                        s.listed = line;
                    }
                }
                None => self.admit(Server::new(line, LIMIT_FIRST, now)),
            }
        }
        self.forget(now);
        let servers = &self.servers;
        self.serving = (0..servers.len()).filter(|&i| servers[i].listed.status == Status::Serving).collect();
        self.memory.retain(|&m| servers[m].listed.status == Status::Serving);
        self.most = self.most.max(self.serving.len());
        self.blind = self.settings.balancers as usize > self.most;
        self.weigh_cold(now);
        self.pump(now, out);
    }
}
