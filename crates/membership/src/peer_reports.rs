//! Limits on the effect of peers' reports about servers.

use crate::member::Id;
use bellcroft_balancer::{Micros, Time};
use std::collections::BTreeMap;

/// Maximum number of reports that a peer may send at once.
const MAX_REPORT_BURST: f64 = 8.0;
/// Time after which a peer may send one more report.
const REPORT_INTERVAL: Micros = Micros(500_000);
/// Time for which a report counts as a confirmation, and the server of an accepted report as reported.
const REPORT_LIFETIME: Micros = Micros(5_000_000);
/// Time for which the server of an unconfirmed report counts as reported.
const UNCONFIRMED_LIFETIME: Micros = Micros(2_000_000);
/// Number of peers that must report a server: the cause of a single peer's report may be its own link.
const MIN_REPORTERS: usize = 2;
/// Maximum number of reporters that are remembered for one server.
const MAX_REPORTERS: usize = 4;
/// At most one in this number of listed servers may count as reported.
const REPORTED_SERVERS_DIVISOR: usize = 4;
/// Maximum number of peers whose rate is counted; beyond it, peers without a recent report are discarded.
const MAX_PEERS: usize = 4096;

/// The verdict on a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportVerdict {
    /// The report is passed to the balancer.
    Accepted,
    /// The peer sends too many reports.
    RateLimited,
    /// With this server more than a quarter of the listed servers would count as reported.
    TooManyServers,
    /// No other peer reports the server. The report is passed to the balancer as unconfirmed, with a shorter effect.
    Unconfirmed,
}

/// The reports about one server.
#[derive(Debug, Default)]
struct ServerReports {
    /// Latest report of each reporter, up to [`MAX_REPORTERS`].
    reports: Vec<Report>,
    /// Latest accepted report.
    accepted: Option<Report>,
    /// Time of the latest unconfirmed report.
    last_unconfirmed: Option<Time>,
}

/// A peer's report, with its time.
#[derive(Debug, Clone, Copy)]
struct Report {
    reporter: Id,
    at: Time,
}

impl Report {
    fn is_current(&self, now: Time) -> bool {
        now.since(self.at) < REPORT_LIFETIME
    }
}

impl ServerReports {
    /// Discards expired reports; false if none is left.
    fn expire(&mut self, now: Time) -> bool {
        self.reports.retain(|report| report.is_current(now));
        self.accepted = self.accepted.filter(|report| report.is_current(now));
        !self.reports.is_empty() || self.accepted.is_some()
    }

    fn counts_as_reported(&self, now: Time) -> bool {
        let unconfirmed = self.last_unconfirmed.is_some_and(|at| now.since(at) < UNCONFIRMED_LIFETIME);
        self.accepted.is_some() || unconfirmed
    }

    fn add(&mut self, report: Report) {
        self.reports.retain(|known| known.reporter != report.reporter);
        if self.reports.len() < MAX_REPORTERS {
            self.reports.push(report);
        }
    }
}

/// A token bucket: the number of reports that a peer may still send.
#[derive(Debug)]
struct ReportAllowance {
    updated: Time,
    reports: f64,
}

/// Limits the effect of peers' reports. A peer that sends false or outdated reports may send a burst of eight and two
/// more a second; an unconfirmed report has an effect for two seconds; and all peers together can have at most a
/// quarter of the servers reported, never the last ones.
///
/// A report identifies a server by a byte string that is the same at all members.
#[derive(Debug, Default)]
pub struct PeerReports {
    allowances: BTreeMap<Id, ReportAllowance>,
    servers: BTreeMap<Vec<u8>, ServerReports>,
}

impl PeerReports {
    /// Processes a peer's report about a server; `listed` is the number of servers in the endpoint list.
    pub fn on_report(&mut self, now: Time, from: Id, server: &[u8], listed: usize) -> ReportVerdict {
        if !self.try_consume_report(now, from) {
            return ReportVerdict::RateLimited;
        }
        self.servers.retain(|_, reports| reports.expire(now));
        let reported_others = self
            .servers
            .iter()
            .filter(|(name, reports)| *name != server && reports.counts_as_reported(now))
            .count();
        let server_reports = self.servers.entry(server.to_vec()).or_default();
        let report = Report { reporter: from, at: now };
        server_reports.add(report);
        // An accepted report is renewed only by a peer other than its reporter: no peer can renew one alone.
        let renewed = server_reports.accepted.is_some_and(|accepted| accepted.reporter != from);
        let limit = listed.max(REPORTED_SERVERS_DIVISOR);
        if server_reports.accepted.is_none() && (reported_others + 1) * REPORTED_SERVERS_DIVISOR > limit {
            return ReportVerdict::TooManyServers;
        }
        if server_reports.reports.len() < MIN_REPORTERS && !renewed {
            server_reports.last_unconfirmed = Some(now);
            return ReportVerdict::Unconfirmed;
        }
        server_reports.accepted = Some(report);
        ReportVerdict::Accepted
    }

    /// Consumes one report of a peer's allowance; false if none is left.
    fn try_consume_report(&mut self, now: Time, from: Id) -> bool {
        if self.allowances.len() >= MAX_PEERS {
            let full_after = Micros((REPORT_INTERVAL.0 as f64 * MAX_REPORT_BURST) as u64);
            self.allowances.retain(|_, allowance| now.since(allowance.updated) < full_after);
        }
        let full = ReportAllowance { updated: now, reports: MAX_REPORT_BURST };
        let allowance = self.allowances.entry(from).or_insert(full);
        let earned = now.since(allowance.updated).ms() / REPORT_INTERVAL.ms();
        allowance.reports = (allowance.reports + earned).min(MAX_REPORT_BURST);
        allowance.updated = now;
        if allowance.reports < 1.0 {
            return false;
        }
        allowance.reports -= 1.0;
        true
    }
}
