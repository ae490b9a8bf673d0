//! Load reports of servers and messages of peers.

use super::tuning::*;
use crate::api::*;
use crate::records::*;

/// What one peer alone has said is believed for less.
const DOUBT_LONE: Micros = Micros(2_000_000);
/// A good answer of a server stands against hearsay for so long.
const VOUCHED: Micros = Micros(1_000_000);

impl Balancer {
    /// Hearsay makes a known server doubted for a short while and nothing else: old, lost or false news is
    /// harmless. Own evidence wins: one that has just answered well here is not doubted for it.
    pub(super) fn hear(&mut self, now: Time, payload: &[u8]) {
        let Some((id, rest)) = payload.split_first_chunk() else { return };
        let (id, life) = match rest {
            [] => (u32::from_be_bytes(*id), DOUBT_HEARD),
            [UNCONFIRMED_HINT] => (u32::from_be_bytes(*id), DOUBT_LONE),
            _ => return,
        };
        if let Some(&s) = self.index.get(&ServerId(id)) {
            let s = &mut self.servers[s];
            // That a good answer ends a doubt is all that moves this into the past.
            if s.doubted_until <= now && now.since(s.doubted_until) < VOUCHED && s.samples > 0 {
                return;
            }
            s.doubted_until = s.doubted_until.max(now + life);
            self.memory.retain(|&m| self.servers[m].doubted_until <= now);
        }
    }

    pub(super) fn read_report(&mut self, now: Time, server: usize, report: &Report) {
        let place = |field| self.settings.report_fields.iter().position(|f| *f == field);
        let told = place(LoadReportField::InFlight).or_else(|| place(LoadReportField::Queue));
        // What no server can hold is no news: a negative load must not make it look empty.
        if let Some(&value) = told.and_then(|i| report.get(i)).filter(|v| (0.0..1e4).contains(*v)) {
            let s = &mut self.servers[server];
            (s.reported, s.reported_at, s.sent_since) = (value, Some(now), 0);
            self.crowd += PACE_GAIN * (s.reported - self.crowd);
        }
    }
}
