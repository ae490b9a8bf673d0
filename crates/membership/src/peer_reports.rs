//! Bounds on what peers' reports of servers can cause.

use crate::member::Id;
use bellcroft_balancer::{Micros, Time};
use std::collections::BTreeMap;

/// Reports that a peer may send at once ...
const MAX_REPORT_BURST: f64 = 8.0;
/// ... and the time in which it may send one more.
const REPORT_INTERVAL: Micros = Micros(500_000);
/// How long a report counts as a confirmation, and an accepted report's server as reported.
const REPORT_LIFETIME: Micros = Micros(5_000_000);
/// How long the server of an unconfirmed report counts as reported.
const UNCONFIRMED_LIFETIME: Micros = Micros(2_000_000);
/// Peers that must report a server: what one alone sees may be its own link.
const MIN_REPORTERS: usize = 2;
/// Reporters of one server that are remembered.
const MAX_REPORTERS: usize = 4;
/// At most one in so many of the listed servers may count as reported.
const REPORTED_SERVERS_DIVISOR: usize = 4;
/// Peers whose rate is counted; past it those without a recent report are dropped.
const MAX_PEERS: usize = 4096;

/// What becomes of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportVerdict {
    /// It goes to the decisions.
    Accepted,
    /// The peer sends too many reports.
    RateLimited,
    /// With this server more than a quarter of the listed servers would count as reported.
    TooManyServers,
    /// No other peer reports the server. It goes to the decisions as an unconfirmed report, with a shorter effect.
    Unconfirmed,
}

/// The reports of one server.
#[derive(Debug, Default)]
struct ServerReports {
    reporters: Vec<Reporter>,
    /// The latest accepted report.
    accepted: Option<Reporter>,
    /// When the latest unconfirmed report was passed on.
    unconfirmed: Option<Time>,
}

/// Who reported a server, and when.
#[derive(Debug, Clone, Copy)]
struct Reporter {
    id: Id,
    at: Time,
}

impl Reporter {
    fn is_current(&self, now: Time) -> bool {
        now.since(self.at) < REPORT_LIFETIME
    }
}

impl ServerReports {
    /// Drops what has expired; false if nothing is left.
    fn expire(&mut self, now: Time) -> bool {
        self.reporters.retain(|reporter| reporter.is_current(now));
        self.accepted = self.accepted.filter(|report| report.is_current(now));
        !self.reporters.is_empty() || self.accepted.is_some()
    }

    fn counts_as_reported(&self, now: Time) -> bool {
        let unconfirmed = self.unconfirmed.is_some_and(|at| now.since(at) < UNCONFIRMED_LIFETIME);
        self.accepted.is_some() || unconfirmed
    }

    fn add(&mut self, reporter: Reporter) {
        self.reporters.retain(|known| known.id != reporter.id);
        if self.reporters.len() < MAX_REPORTERS {
            self.reporters.push(reporter);
        }
    }
}

/// The reports that a peer may still send.
#[derive(Debug)]
struct ReportAllowance {
    updated: Time,
    reports: f64,
}

/// Bounds the effect of peers' reports. A peer that sends false or outdated reports has a burst of eight and two more a
/// second; an unconfirmed report has an effect for two seconds; and all peers together can have at most a quarter of the
/// servers reported, never the last ones.
///
/// A report names a server by some bytes, the same at all members.
#[derive(Debug, Default)]
pub struct PeerReports {
    allowances: BTreeMap<Id, ReportAllowance>,
    servers: BTreeMap<Vec<u8>, ServerReports>,
}

impl PeerReports {
    /// Processes a peer's report of a server; `listed` is the number of servers that the list names.
    pub fn on_report(&mut self, now: Time, from: Id, server: &[u8], listed: usize) -> ReportVerdict {
        if !self.take_report(now, from) {
            return ReportVerdict::RateLimited;
        }
        self.servers.retain(|_, reports| reports.expire(now));
        let reported_others = self
            .servers
            .iter()
            .filter(|(name, reports)| *name != server && reports.counts_as_reported(now))
            .count();
        let reports = self.servers.entry(server.to_vec()).or_default();
        let reporter = Reporter { id: from, at: now };
        reports.add(reporter);
        // Another peer than the last one renews an accepted report: no peer can keep one up alone.
        let renewed = reports.accepted.is_some_and(|accepted| accepted.id != from);
        let limit = listed.max(REPORTED_SERVERS_DIVISOR);
        if reports.accepted.is_none() && (reported_others + 1) * REPORTED_SERVERS_DIVISOR > limit {
            return ReportVerdict::TooManyServers;
        }
        if reports.reporters.len() < MIN_REPORTERS && !renewed {
            reports.unconfirmed = Some(now);
            return ReportVerdict::Unconfirmed;
        }
        reports.accepted = Some(reporter);
        ReportVerdict::Accepted
    }

    /// Takes one of a peer's reports; false if it has none left.
    fn take_report(&mut self, now: Time, from: Id) -> bool {
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
