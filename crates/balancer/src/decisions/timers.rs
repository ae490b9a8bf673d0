//! The periodic checks: silent servers, cut zones, held requests, watches that are due.

use super::tuning::*;
use super::*;
use crate::api::*;
use crate::records::*;
use std::collections::BTreeMap;

/// An attempt is overdue at this multiple of the pace of its class, and not before this share of its aim; of
/// the whole aim if it is alone on its server, where it may well be a costly request and no hang.
const OVERDUE: f64 = 4.0;
const OVERDUE_LEAST: f64 = 0.6;
const OVERDUE_ALONE: f64 = 1.0;
/// Attempts in a zone that are overdue, with no word from any server there since they were sent, that tell of
/// a cut.
const ZONE_SILENT: usize = 3;

impl Balancer {
    pub(super) fn set_tick(&mut self, now: Time, after: Micros, out: &mut Vec<Action>) {
        self.tick_at = now + after;
        out.push(Action::SetTimer { at: self.tick_at, timer: TICK });
    }

    pub(super) fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        if now < self.tick_at {
            return;
        }
        if self.ask_at.is_some_and(|at| now >= at) {
            (self.ask_at, self.asked_at) = (None, now);
            out.push(Action::Watch { active: true });
        }
        let judged = |s: &&Server| s.listed.status == Status::Serving && s.samples > 0;
        let paces = self.servers.iter().filter(judged).map(|s| s.pace);
        self.median = median(paces).unwrap_or(self.median).max(0.01);
        self.weigh_cold(now);
        self.rank_classes();
        self.find_silent(now, out);
        self.pump(now, out);
        self.set_tick(now, if self.held.is_empty() { TICK_IDLE } else { TICK_BUSY }, out);
    }

    /// Attempts out to zones that have just turned out to be cut: several are overdue there, and none of the
    /// zone's servers has said anything since the first of them was sent.
    pub(super) fn find_cut(&mut self, now: Time, out: &mut Vec<Action>) -> Vec<Away> {
        let mut waiting: BTreeMap<ZoneId, Vec<Away>> = BTreeMap::new();
        for (&key, f) in self.flights.iter().filter(|(_, f)| !f.coming) {
            let s = &self.servers[f.server];
            let usual = self.settings.classes[f.class].latency_objective * (2.0 * self.class_pace[f.class]);
            if !s.way(&self.zones).heard_since(f.sent) && now.since(f.sent) > usual.max(HUSH) {
                waiting.entry(s.listed.zone).or_default().push((key, f.server));
            }
        }
        waiting.retain(|_, out| out.len() >= ZONE_SILENT);
        waiting.keys().for_each(|zone| self.cut(now, *zone, out));
        waiting.into_values().flatten().collect()
    }

    /// A server is silent if an attempt there is overdue and nothing has come back since it was sent. What
    /// may be repeated and can still be answered in time is called back from it and sent elsewhere.
    pub(super) fn find_silent(&mut self, now: Time, out: &mut Vec<Action>) {
        let overdue = |(&key, flight): (&(RequestId, u32), &Flight)| {
            let (server, aim) =
                (&self.servers[flight.server], self.settings.classes[flight.class].latency_objective);
            let least = if server.in_flight > 1 { OVERDUE_LEAST } else { OVERDUE_ALONE };
            let work = self.live.get(&key.0).map_or(0.0, |live| self.work(live));
            let pace = self.class_pace[flight.class].max(self.median).max(work / aim.ms());
            let wait = aim * ((OVERDUE * pace).max(least));
            let quiet = server.last_answer < flight.sent && !flight.coming;
            (quiet && now.since(flight.sent) > wait).then_some((key, flight.server))
        };
        let mut silent: Vec<_> = self.flights.iter().filter_map(overdue).collect();
        if self.blind {
            silent.extend(self.find_cut(now, out));
            silent.sort_unstable();
            silent.dedup();
        }
        // An answer that is late is known to be late before it comes; waiting for it lets a jam grow.
        let (classes, blind) = (&self.settings.classes, self.blind);
        // Silence of a whole zone is a cut and no jam.
        let (servers, zones) = (&self.servers, &self.zones);
        let late = |f: &&mut Flight| {
            let due =
                blind && !f.counted && !f.coming && now.since(f.sent) > classes[f.class].latency_objective;
            due && servers[f.server].way(zones).heard_since(f.sent)
        };
        let mut zones_late = Vec::new();
        for flight in self.flights.values_mut().filter(late) {
            flight.counted = true;
            zones_late.push(servers[flight.server].listed.zone);
        }
        zones_late.into_iter().for_each(|zone| self.sign(now, zone, LATE, None));
        for &((id, attempt), server) in &silent {
            self.suspect(now, server, "silent", out);
            if blind {
                out.push(Action::CloseIdle { server: self.servers[server].listed.server });
            }
            let Some(live) = self.live.get(&id) else { continue };
            let repeatable =
                self.settings.classes[live.request.class.0].retry_safety != RetrySafety::AtMostOnce;
            let last = attempt as usize + 1 == live.attempts.len();
            let limits = live.request.limits();
            let spare = live.attempts.len() < self.settings.max_attempts.min(limits.max_attempts) as usize
                && limits.retry_on.timeout
                && self.affords(limits, false);
            if repeatable && self.settings.cancel && last && spare && !self.hopeless(now, live) {
                out.push(Action::Cancel { request: id, attempt: AttemptNo(attempt) });
            }
        }
    }
}
