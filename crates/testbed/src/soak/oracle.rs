//! Sets the clients' records against the servers': knows the rules and nothing of the program.

use super::cluster::SoakCluster;
use super::records::{Behavior, SoakFate, SoakRecord, UNSOUND_BEHIND};
use crate::process::log_field;
use crate::server::Seen;
use crate::traffic::{Fate, Record};
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tokio::time::Instant;

/// Up to so long after its time an answer only earns nothing; later it is lost.
pub(super) const LATE: Duration = Duration::from_millis(500);
/// From so long after its client has left no attempt begins.
const AFTER_LEAVING: Duration = Duration::from_millis(100);
/// What sockets add to a limit.
pub(super) const SLACK: Duration = Duration::from_millis(50);
/// A process may be held up for so long between reading its clock and writing.
pub(super) const MAX_STALL: Duration = Duration::from_millis(150);
/// The time that a server is told may be longer than what its client has left by so much.
const TIMEOUT_SLACK: Duration = Duration::from_millis(150);
/// A change counts as notified so long after discovery had it.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// A drain's grace period (`stopSendingWithinMs` of the world's settings).
const DRAIN_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// What broke a rule, a line each. `logs` are those of each slot's processes, `lag` is the worst lag of the soak's own clock.
pub fn judge(
    cluster: &SoakCluster,
    records: &[SoakRecord],
    logs: &[Vec<String>],
    lag: Duration,
) -> Vec<String> {
    // A process cannot know the ids of its predecessor, unless that hands over its socket.
    let returned_to_another: HashSet<&str> = records
        .iter()
        .filter(|record| record.behavior == Behavior::Returning)
        .filter(|record| cluster.slots[record.slot].replaced_between(record.began - MAX_STALL, record.ended))
        .map(|record| record.id.as_str())
        .collect();
    let mut violations = cluster.world.audit_but(&audited(cluster, records), |record| {
        let until = record.sent + record.took;
        cluster.slots[record.instance].crashed_between(record.sent - MAX_STALL, until)
            || returned_to_another.contains(record.id.as_str())
    });
    let by_id: HashMap<&str, &SoakRecord> =
        records.iter().map(|record| (record.id.as_str(), record)).collect();
    // A kill without a warning may take any request that had begun.
    let crashed = |record: &SoakRecord| {
        cluster.slots[record.slot].crashed_between(record.began, record.ended + MAX_STALL)
    };
    let judged = records.iter().filter(|record| !crashed(record));
    let evidence: Vec<CloseEvidence> = logs.iter().map(|log| CloseEvidence::read(log)).collect();
    let seen = cluster.world.seen();
    for record in judged {
        let (slot, evidence) = (&cluster.slots[record.slot], &evidence[record.slot]);
        // A crowd may have new connections shut unread.
        let cut_allowed = record.fate == SoakFate::CutOff && is_cut_allowed(cluster, record, &seen);
        let shut_unread = matches!(record.fate, SoakFate::Lost | SoakFate::Crossed)
            && slot.crowded_between(record.began, record.ended)
            && evidence.is_unread(record);
        if !shut_unread && !cut_allowed {
            violations.extend(answered(record, lag));
            violations.extend(evidence.contradicts(record));
        }
    }
    for (server, seen) in &seen {
        if seen.id.ends_with(UNSOUND_BEHIND) {
            violations.push(format!("{} was not sound and went to s{server}", seen.id));
        }
        if let Some(record) = by_id.get(seen.id.as_str()) {
            violations.extend(sent(record, *server, seen, lag).filter(|_| !crashed(record)));
        }
    }
    violations.extend(drained(cluster, lag));
    violations.sort();
    violations
}

/// Whether a long response may be cut off: by the end of its process, or since a server that had the request was replaced.
fn is_cut_allowed(cluster: &SoakCluster, record: &SoakRecord, seen: &[(usize, Seen)]) -> bool {
    let until = record.ended + MAX_STALL;
    let had_request = |server| seen.iter().any(|(other, seen)| *other == server && seen.id == record.id);
    let is_replacement =
        |(server, at): &(usize, Instant)| *at >= record.began && *at <= until && had_request(*server);
    cluster.slots[record.slot].may_exit_at(record.ended, MAX_STALL)
        || cluster.replacements.iter().any(is_replacement)
}

/// Whether a process's report against itself is that of a long response which the process's end cut off.
pub fn is_response_cut_by_exit(report: &str, records: &[SoakRecord]) -> bool {
    let field = |name| log_field(report, "rule violation", name);
    if field("rule") != Some("\"closed_while_pending\"") || field("close_reason") != Some("Shutdown") {
        return false;
    }
    let Some(peer) = field("peer").and_then(|peer| peer.parse().ok()) else { return false };
    records.iter().any(|record| {
        let is_cut = matches!(record.fate, SoakFate::CutOff | SoakFate::EndlessEnded);
        is_cut && record.client == Some(peer) && report.starts_with(&format!("i{}: ", record.slot))
    })
}

/// What the processes of a slot logged of the ends of their connections.
struct CloseEvidence<'a> {
    /// Ids of the requests that were read.
    received: HashSet<&'a str>,
    /// The states in which connections ended, by the client's address. In a crowd the kernel soon gives a port to another
    /// client.
    states: HashMap<&'a str, Vec<&'a str>>,
}

impl<'a> CloseEvidence<'a> {
    fn read(log: &'a [String]) -> Self {
        let received = log.iter().filter_map(|line| log_field(line, "request received", "id"));
        let received = received.map(|id| id.trim_matches('"')).collect();
        let mut states = HashMap::<&str, Vec<&str>>::new();
        for line in log {
            let field = |name| log_field(line, "downstream connection closed", name);
            if let (Some(peer), Some(state)) = (field("peer"), field("state")) {
                states.entry(peer).or_default().push(state);
            }
        }
        CloseEvidence { received, states }
    }

    /// Whether no byte of a request was read before its connection ended, or nobody accepted that connection.
    fn is_unread(&self, record: &SoakRecord) -> bool {
        let states = self.states_of(record);
        !self.received.contains(record.id.as_str()) && (states.is_empty() || states.contains(&"Unused"))
    }

    fn states_of(&self, record: &SoakRecord) -> &[&str] {
        let client = record.client.map(|client| client.to_string()).unwrap_or_default();
        self.states.get(client.as_str()).map_or(&[], Vec::as_slice)
    }

    /// A request crossed the end of its connection only if no byte of it had been read by then.
    fn contradicts(&self, record: &SoakRecord) -> Option<String> {
        if record.fate != SoakFate::Crossed {
            return None;
        }
        let id = &record.id;
        if self.received.contains(id.as_str()) {
            return Some(format!(
                "{id} of i{} was read, and its connection ended with no answer",
                record.slot
            ));
        }
        let states = self.states_of(record);
        let is_unread = states.iter().any(|state| matches!(*state, "Unused" | "Idle"));
        match states {
            _ if is_unread => None,
            [] => Some(format!("{id} of i{}: the log has no end of its connection", record.slot)),
            _ => Some(format!("{id} of i{}: its connection ended in {states:?}", record.slot)),
        }
    }
}

/// The records in the terms of the world's audit: effects, and nothing after an outcome.
fn audited(cluster: &SoakCluster, records: &[SoakRecord]) -> Vec<Record> {
    let fate = |record: &SoakRecord| match record.fate {
        SoakFate::Served => Fate::Served,
        SoakFate::Refused => Fate::Refused,
        SoakFate::Failed => Fate::Failed,
        SoakFate::Unanswered => Fate::Unanswered,
        _ => Fate::Lost,
    };
    let of = |record: &SoakRecord| Record {
        instance: cluster.slots[record.slot].number,
        id: record.id.clone(),
        class: record.class,
        sent: record.sent,
        took: record.ended - record.sent,
        fate: fate(record),
        status: record.status,
        crossed: false,
    };
    records.iter().map(of).collect()
}

/// Each request that was taken has its answer in time, whatever became of its process, but for a kill without a warning.
fn answered(record: &SoakRecord, lag: Duration) -> Option<String> {
    let took = record.ended - record.sent;
    let text = || {
        format!("{} of i{} ({:?}): {:?} after {took:?}", record.id, record.slot, record.behavior, record.fate)
    };
    match record.fate {
        SoakFate::Lost
        | SoakFate::Unanswered
        | SoakFate::StalledTooLong
        | SoakFate::NotAccepted
        | SoakFate::UnsoundServed
        | SoakFate::CutOff
        | SoakFate::EndlessTooLong => Some(text()),
        // A long response goes on past the deadline.
        SoakFate::Served if record.behavior == Behavior::LongResponse => None,
        SoakFate::Rejected if record.behavior == Behavior::Unsound => None,
        SoakFate::Served | SoakFate::Refused | SoakFate::Failed | SoakFate::Rejected
            if took > record.wait + LATE + lag =>
        {
            Some(format!("late, {}", text()))
        }
        _ => None,
    }
}

/// What reached a server of a request.
fn sent(record: &SoakRecord, server: usize, seen: &Seen, lag: Duration) -> Option<String> {
    let id = &record.id;
    if record.behavior == Behavior::Unsound {
        return Some(format!("{id} was not sound and went to s{server}"));
    }
    if let (Some(since), SoakFate::Rejected) = (record.unsound_since, record.fate) {
        let late = seen.first_byte.saturating_duration_since(since);
        if late > AFTER_LEAVING + SLACK + MAX_STALL + lag {
            return Some(format!("{id} went to s{server} {late:?} after it was found unsound"));
        }
    }
    match record.fate {
        SoakFate::Crossed => {
            return Some(format!("{id} crossed the end of its connection and went to s{server}"))
        }
        SoakFate::NeverComplete | SoakFate::StalledTooLong if record.behavior == Behavior::Stalled => {
            return Some(format!("{id} was never complete and went to s{server}"));
        }
        SoakFate::Left if !is_second(record, seen) => {
            let late = seen.first_byte.saturating_duration_since(record.ended);
            if late > AFTER_LEAVING + SLACK + MAX_STALL + lag {
                return Some(format!("{id} went to s{server} {late:?} after its client had left"));
            }
        }
        _ => {}
    }
    let sent = record.sent_again.filter(|_| is_second(record, seen)).unwrap_or(record.sent);
    let left = (sent + record.wait).saturating_duration_since(seen.last_byte);
    let told = seen.timeout?;
    (told > left + TIMEOUT_SLACK + SLACK + lag)
        .then(|| format!("{id}: s{server} was told {told:?} where its client had {left:?} left"))
}

/// Whether a server saw the request after its client had sent it once more.
fn is_second(record: &SoakRecord, seen: &Seen) -> bool {
    record.sent_again.is_some_and(|again| seen.first_byte >= again)
}

/// Nothing new goes to a draining server after the grace.
fn drained(cluster: &SoakCluster, lag: Duration) -> Vec<String> {
    let limit =
        |since: Instant| cluster.reachable_for(since, NOTIFIED_AFTER) + DRAIN_GRACE_PERIOD + SLACK + lag;
    let late = |drained: usize, since: Instant| {
        let seen = cluster.world.seen().into_iter();
        seen.filter(move |(server, seen)| *server == drained && seen.first_byte > limit(since))
    };
    let drains = cluster.drains.iter();
    let lines = drains.flat_map(|(server, since)| {
        late(*server, *since).map(move |(server, seen)| {
            let after = seen.first_byte - *since;
            format!("{} went to s{server} {after:?} after its drain", seen.id)
        })
    });
    lines.collect()
}
