//! Checks the four rules at run time, by what is sent and received on sockets.
//!
//! The observer knows the rules and the platform's settings, but not how decisions are made, so that it also detects
//! breaches that a faulty balancer does not count itself. For each rule it counts breaches and holds the smallest margin.

use bellcroft_balancer::{Class, DedupScope, Micros, RetrySafety, Settings, Time};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Tolerance of each limit for delays of sockets and clocks, the same as the platform's (50 ms).
const TOLERANCE: Micros = Micros(50_000);
/// Finished requests that are kept at most, to detect bytes that are sent for them later.
const MAX_FINISHED: usize = 2_000;
/// Requests that a server in slow start may get beyond its share by chance.
const SLOW_START_ALLOWANCE: f64 = 5.0;
/// A smaller remaining share of the slow-start budget is a near miss.
const SLOW_START_NEAR_MISS: f64 = 0.1;

/// A rule that the observer checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets one final response in time, and nothing is sent for it afterwards.
    Response,
    /// No request takes effect twice, and none is shed that may have run.
    RetrySafety,
    /// No new attempt is sent to a draining or removed server after the drain grace period.
    Draining,
    /// No server in slow start is overloaded.
    SlowStart,
}

impl Rule {
    /// All rules, in the order of their declaration.
    pub const ALL: [Rule; 4] = [Rule::Response, Rule::RetrySafety, Rule::Draining, Rule::SlowStart];

    /// The value of the label `rule`.
    pub fn label(self) -> &'static str {
        match self {
            Rule::Response => "answer",
            Rule::RetrySafety => "effect",
            Rule::Draining => "drain",
            Rule::SlowStart => "cold",
        }
    }
}

/// Compliance with a rule.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Margin {
    /// Number of breaches.
    pub breaches: u64,
    /// Number of cases within the tolerance for sockets and clocks, or with less than a tenth of the budget left.
    pub near_misses: u64,
    /// Smallest time that was left to the limit, in seconds; for [`Rule::SlowStart`], smallest share of the budget left.
    pub min: Option<f64>,
    /// The same since the last call of [`Observer::take_recent_min`].
    pub recent_min: Option<f64>,
}

/// The settings that the rules depend on.
#[derive(Debug, Clone, PartialEq)]
pub struct RuleParameters {
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Drain grace period.
    pub drain_grace_period: Micros,
    /// Share of its capacity with which a server begins its slow start.
    pub initial_capacity: f64,
    /// Duration of the slow start.
    pub slow_start_window: Micros,
    /// Multiple of its capacity that overloads a server if it persists for `overload_tolerance`.
    pub overload_factor: f64,
    /// Time after which an overloaded server fails.
    pub overload_tolerance: Micros,
}

impl From<&Settings> for RuleParameters {
    fn from(s: &Settings) -> Self {
        RuleParameters {
            classes: s.classes.clone(),
            drain_grace_period: s.drain_grace_period,
            initial_capacity: s.initial_capacity,
            slow_start_window: s.slow_start_window,
            overload_factor: s.overload_factor,
            overload_tolerance: s.overload_tolerance,
        }
    }
}

/// An attempt whose first byte was sent.
#[derive(Debug)]
struct Sent {
    at: Time,
    zone: u32,
    dedup_group: u32,
    /// The attempt is known not to have run.
    never_ran: bool,
}

#[derive(Debug)]
struct Request {
    class: usize,
    deadline: Time,
    /// Sent attempts by their number.
    sent: BTreeMap<u32, Sent>,
    is_finished: bool,
}

#[derive(Debug, Clone)]
struct Server {
    zone: u32,
    dedup_group: u32,
    /// When the endpoint list first said that the server is draining or gone.
    leaving: Option<Time>,
    started: Option<Time>,
}

/// Checks the four rules.
#[derive(Debug)]
pub struct Observer {
    parameters: RuleParameters,
    requests: HashMap<u64, Request>,
    /// Pending requests by their deadline.
    pending: BTreeSet<(Time, u64)>,
    /// Finished requests, the oldest first.
    finished: VecDeque<u64>,
    servers: HashMap<u32, Server>,
    /// Times and servers of the first bytes that were sent within the last `overload_tolerance`.
    recent: VecDeque<(Time, u32)>,
    margins: [Margin; 4],
}

impl Observer {
    /// An observer without servers and requests.
    pub fn new(parameters: RuleParameters) -> Self {
        Observer {
            parameters,
            requests: HashMap::new(),
            pending: BTreeSet::new(),
            finished: VecDeque::new(),
            servers: HashMap::new(),
            recent: VecDeque::new(),
            margins: [Margin::default(); 4],
        }
    }

    /// Compliance with a rule so far.
    pub fn margin(&self, rule: Rule) -> Margin {
        self.margins[rule as usize]
    }

    /// Number of requests in memory.
    pub fn tracked_requests(&self) -> usize {
        self.requests.len()
    }

    fn breach(&mut self, rule: Rule) {
        self.margins[rule as usize].breaches += 1;
    }

    /// Records how many seconds were left to a limit. Below zero it is a near miss, and beyond the tolerance a breach.
    fn record_time_left(&mut self, rule: Rule, left: f64) {
        self.record_margin(rule, left, -TOLERANCE.ms() / 1e3, 0.0);
    }

    /// Records a margin: a value below `breach` is a breach, and one below `near` a near miss.
    fn record_margin(&mut self, rule: Rule, left: f64, breach: f64, near: f64) {
        let margin = &mut self.margins[rule as usize];
        let min = |previous: Option<f64>| Some(previous.map_or(left, |previous| previous.min(left)));
        (margin.min, margin.recent_min) = (min(margin.min), min(margin.recent_min));
        if left < breach {
            margin.breaches += 1;
        } else if left < near {
            margin.near_misses += 1;
        }
    }

    /// Returns the smallest margin since the last call, if there was any.
    pub fn take_recent_min(&mut self, rule: Rule) -> Option<f64> {
        self.margins[rule as usize].recent_min.take()
    }

    /// Seconds from `now` to `limit`, negative after it.
    fn seconds_left(now: Time, limit: Time) -> f64 {
        limit.since(now).ms() / 1e3 - now.since(limit).ms() / 1e3
    }

    /// Applies a server's entry in the endpoint list.
    pub fn endpoint_listed(
        &mut self,
        now: Time,
        server: u32,
        (zone, dedup_group): (u32, u32),
        is_serving: bool,
        started: Option<Time>,
    ) {
        let known =
            self.servers.entry(server).or_insert(Server { zone, dedup_group, leaving: None, started });
        if known.started != started {
            // The server's process is new, so attempts to its predecessor do not count against it.
            self.recent.retain(|(_, other)| *other != server);
        }
        let leaving = if is_serving { None } else { known.leaving.or(Some(now)) };
        *known = Server { zone, dedup_group, leaving, started };
    }

    /// A snapshot of the endpoint list no longer contains a server.
    pub fn endpoint_removed(&mut self, now: Time, server: u32) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.leaving.get_or_insert(now);
        }
    }

    /// Forgets a server that was removed long ago. Attempts to it count as attempts to an unlisted server from now on.
    pub fn forget(&mut self, server: u32) {
        self.servers.remove(&server);
    }

    /// A complete request was received. Its client waits until `deadline`.
    pub fn request_received(&mut self, id: u64, class: usize, deadline: Time) {
        let request = Request { class, deadline, sent: BTreeMap::new(), is_finished: false };
        self.pending.insert((deadline, id));
        if let Some(previous) = self.requests.insert(id, request) {
            self.pending.retain(|entry| *entry != (previous.deadline, id) || previous.deadline == deadline);
            // Two requests with one id can't be told apart, so not both can get their response.
            self.breach(Rule::Response);
        }
    }

    /// The first byte of an attempt was sent to a server.
    pub fn first_byte(&mut self, now: Time, id: u64, attempt: u32, server: u32) {
        let grace = self.parameters.drain_grace_period;
        let known = self.servers.get(&server).cloned();
        match known.as_ref().map(|s| s.leaving) {
            // The server was never listed.
            None => self.breach(Rule::Draining),
            Some(None) => {}
            Some(Some(leaving)) => {
                self.record_time_left(Rule::Draining, Self::seconds_left(now, leaving + grace));
            }
        }
        let (zone, dedup_group) = known.map_or((u32::MAX, u32::MAX), |s| (s.zone, s.dedup_group));
        self.check_slow_start(now, server);
        let Some(request) = self.requests.get_mut(&id) else { return self.breach(Rule::Response) };
        let is_finished = request.is_finished;
        let first = request.sent.values().filter(|s| !s.never_ran).min_by_key(|s| s.at);
        let first = first.map(|s| (s.at, s.zone, s.dedup_group));
        let retry_safety = self.parameters.classes[request.class].retry_safety;
        request.sent.insert(attempt, Sent { at: now, zone, dedup_group, never_ran: false });
        if is_finished {
            self.breach(Rule::Response);
        }
        let Some((at, first_zone, first_group)) = first else { return };
        match retry_safety {
            RetrySafety::Idempotent => {}
            RetrySafety::AtMostOnce => self.breach(Rule::RetrySafety),
            RetrySafety::Deduplicated { scope, window } => {
                self.record_time_left(Rule::RetrySafety, Self::seconds_left(now, at + window));
                let is_same_group = match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => zone == first_zone,
                    DedupScope::Group => dedup_group == first_group,
                };
                if !is_same_group {
                    self.breach(Rule::RetrySafety);
                }
            }
        }
    }

    /// An attempt has finished. `never_ran` is set if its server rejected it, or no byte of it was sent.
    pub fn attempt_finished(&mut self, id: u64, attempt: u32, never_ran: bool) {
        if let Some(sent) = self.requests.get_mut(&id).and_then(|r| r.sent.get_mut(&attempt)) {
            sent.never_ran = never_ran;
        }
    }

    /// The last byte of a final response was sent to the client; `shed` for a 429 or 503.
    pub fn response_sent(&mut self, now: Time, id: u64, shed: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return self.breach(Rule::Response) };
        let (is_second, deadline) = (std::mem::replace(&mut request.is_finished, true), request.deadline);
        let ran = request.sent.values().any(|s| !s.never_ran);
        let is_retry_harmless = match self.parameters.classes[request.class].retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::Deduplicated { scope: DedupScope::All, .. } => true,
            RetrySafety::AtMostOnce | RetrySafety::Deduplicated { .. } => !ran,
        };
        if is_second {
            return self.breach(Rule::Response);
        }
        self.record_time_left(Rule::Response, Self::seconds_left(now, deadline));
        if shed && !is_retry_harmless {
            self.breach(Rule::RetrySafety);
        }
        self.mark_finished(id);
    }

    /// The client closed or reset its connection. It needs no response, and nothing more may be sent for its request.
    pub fn client_left(&mut self, id: u64) {
        if let Some(request) = self.requests.get_mut(&id) {
            if !std::mem::replace(&mut request.is_finished, true) {
                self.mark_finished(id);
            }
        }
    }

    /// Removes a request from the pending ones, and keeps it until [`MAX_FINISHED`] later ones have finished.
    fn mark_finished(&mut self, id: u64) {
        if let Some(request) = self.requests.get(&id) {
            self.pending.remove(&(request.deadline, id));
        }
        self.finished.push_back(id);
        while self.finished.len() > MAX_FINISHED {
            if let Some(old) = self.finished.pop_front() {
                self.requests.remove(&old);
            }
        }
    }

    /// Counts a breach for each request whose response is overdue, and marks the request as finished.
    pub fn check_overdue(&mut self, now: Time) {
        while let Some(&(_, id)) = self.pending.first().filter(|(deadline, _)| now > *deadline + TOLERANCE) {
            self.breach(Rule::Response);
            if let Some(request) = self.requests.get_mut(&id) {
                request.is_finished = true;
            }
            self.mark_finished(id);
        }
    }

    /// Share of its capacity that a server has reached in its slow start; 1 for a warm server.
    fn capacity_share(&self, server: &Server, now: Time) -> f64 {
        server.started.map_or(1.0, |started| {
            let progress =
                (now.since(started).ms() / self.parameters.slow_start_window.ms().max(1.0)).min(1.0);
            self.parameters.initial_capacity + (1.0 - self.parameters.initial_capacity) * progress
        })
    }

    /// Compares the attempts that a server in slow start got within `overload_tolerance` with a budget derived from the attempts to
    /// warm servers. The budget is this process's share, because it sees no other process's attempts.
    fn check_slow_start(&mut self, now: Time, server: u32) {
        self.recent.push_back((now, server));
        while self.recent.front().is_some_and(|(at, _)| *at + self.parameters.overload_tolerance < now) {
            self.recent.pop_front();
        }
        let Some(entry) = self.servers.get(&server) else { return };
        let share = self.capacity_share(entry, now);
        if share >= 1.0 {
            return;
        }
        let is_warm = |s: &Server| s.leaving.is_none() && self.capacity_share(s, now) >= 1.0;
        let warm_servers = self.servers.values().filter(|s| is_warm(s)).count();
        if warm_servers == 0 {
            return;
        }
        let to_warm = self.recent.iter().filter(|(_, s)| self.servers.get(s).is_some_and(is_warm)).count();
        let to_server = self.recent.iter().filter(|(_, s)| *s == server).count();
        let warm_mean = to_warm as f64 / warm_servers as f64;
        let budget = SLOW_START_ALLOWANCE + self.parameters.overload_factor * share * warm_mean;
        self.record_margin(Rule::SlowStart, 1.0 - to_server as f64 / budget, 0.0, SLOW_START_NEAR_MISS);
    }
}
