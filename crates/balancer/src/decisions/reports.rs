//! Handles load reports from servers and hints from peers.

use super::tuning::*;
use crate::api::*;
use crate::state::*;

/// Time for which a hint that only one peer has sent deprioritizes a server.
const UNCONFIRMED_HINT_TTL: Micros = Micros(2_000_000);
/// Time for which hints about a server are ignored after a good response has ended its deprioritization.
const RECOVERY_GRACE: Micros = Micros(1_000_000);
/// Reported loads of this value or more are invalid.
const MAX_REPORTED_LOAD: f64 = 1e4;

impl Balancer {
    /// Applies a hint from a peer. It deprioritizes a known server for a few seconds and has no other effect, so that old,
    /// lost or false hints do no harm. The payload is the server's id in big-endian order, followed by [`UNCONFIRMED_HINT`]
    /// or nothing; any other payload is ignored. Own evidence takes precedence: a server that has just responded well is not
    /// deprioritized.
    pub(super) fn on_peer_hint(&mut self, now: Time, payload: &[u8]) {
        let Some((id, marker)) = payload.split_first_chunk() else { return };
        let ttl = match marker {
            [] => HINT_TTL,
            [UNCONFIRMED_HINT] => UNCONFIRMED_HINT_TTL,
            _ => return,
        };
        let Some(&server) = self.slots.get(&ServerId(u32::from_be_bytes(*id))) else { return };
        let server = &mut self.servers[server];
        // Only a good response sets `deprioritized_until` to a time that has passed.
        let since_recovery = now.since(server.deprioritized_until);
        if server.deprioritized_until <= now && since_recovery < RECOVERY_GRACE && server.samples > 0 {
            return;
        }
        server.deprioritized_until = server.deprioritized_until.max(now + ttl);
        self.remembered.retain(|&remembered| self.servers[remembered].deprioritized_until <= now);
    }

    /// Stores the server's load from a report. A load that is negative, NaN or too high is ignored, since a server with
    /// invalid reports would otherwise look idle.
    pub(super) fn on_load_report(&mut self, now: Time, server: usize, report: &Report) {
        let position = |field| self.settings.report_fields.iter().position(|reported| *reported == field);
        let position = position(LoadReportField::InFlight).or_else(|| position(LoadReportField::Queue));
        let Some(&load) = position.and_then(|position| report.get(position)) else { return };
        if !(0.0..MAX_REPORTED_LOAD).contains(&load) {
            return;
        }
        let server = &mut self.servers[server];
        (server.reported_load, server.reported_at, server.sends_since_report) = (load, Some(now), 0);
        self.average_reported_load += LATENCY_GAIN * (load - self.average_reported_load);
    }
}
