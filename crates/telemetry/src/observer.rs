//! Watches the four rules in service, by what left and came back on sockets.
//!
//! It knows the rules and the platform's settings, and nothing of how decisions are made: a module that errs is seen
//! here and not in its own counts. Each rule has a count of breaches and the smallest margin by which it was kept.

use bellcroft_balancer::{Class, DedupScope, Micros, RetrySafety, Settings, Time};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// What sockets and clocks may add to each limit; the platform's own measure (50 ms).
const SLACK: Micros = Micros(50_000);
/// Requests that are over are kept for their late bytes, this many at most.
const OVER_MOST: usize = 2_000;
/// Sends to a cold server that chance explains, in requests.
const COLD_CHANCE: f64 = 5.0;
/// Less of the budget left than this share is a near miss.
const COLD_NEAR: f64 = 0.1;

/// A rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One final answer in time to each request, and nothing goes out for it afterwards.
    Response,
    /// No effect twice, and no refusal of what may have run.
    RetrySafety,
    /// Nothing new to a draining or gone server after the grace.
    Draining,
    /// A cold server is not pushed over.
    SlowStart,
}

impl Rule {
    /// All of them, in their order.
    pub const ALL: [Rule; 4] = [Rule::Response, Rule::RetrySafety, Rule::Draining, Rule::SlowStart];

    /// One word for it, as a label.
    pub fn label(self) -> &'static str {
        match self {
            Rule::Response => "answer",
            Rule::RetrySafety => "effect",
            Rule::Draining => "drain",
            Rule::SlowStart => "cold",
        }
    }
}

/// How a rule has been kept.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Margin {
    /// Breaches.
    pub breaches: u64,
    /// Kept, but only within what is allowed for sockets and clocks, or with less than a tenth of the budget left.
    pub near_misses: u64,
    /// The smallest time that was left to the limit, in seconds; for cold servers, the smallest share of the budget.
    pub min: Option<f64>,
    /// The same since [`Observer::take_recent_min`] was last asked.
    pub recent_min: Option<f64>,
}

/// What the observer must know beside the settings.
#[derive(Debug, Clone, PartialEq)]
pub struct RuleParameters {
    /// The classes.
    pub classes: Vec<Class>,
    /// The grace of a drain.
    pub drain_grace: Micros,
    /// The share of its capacity that a cold server starts with.
    pub initial_capacity: f64,
    /// When it is warm.
    pub slow_start_window: Micros,
    /// The multiple of its capacity that pushes a cold server over ...
    pub overload_factor: f64,
    /// ... within this time.
    pub fall_after: Micros,
}

impl From<&Settings> for RuleParameters {
    fn from(s: &Settings) -> Self {
        RuleParameters {
            classes: s.classes.clone(),
            drain_grace: s.drain_grace_period,
            initial_capacity: s.initial_capacity,
            slow_start_window: s.slow_start_window,
            overload_factor: s.overload_factor,
            fall_after: s.fall_after,
        }
    }
}

#[derive(Debug)]
struct Sent {
    at: Time,
    zone: u32,
    cell: u32,
    /// Known not to have run.
    never_ran: bool,
}

#[derive(Debug)]
struct Request {
    class: usize,
    deadline: Time,
    sent: BTreeMap<u32, Sent>,
    over: bool,
}

#[derive(Debug, Clone)]
struct Server {
    zone: u32,
    cell: u32,
    /// When it was told to drain or to have gone.
    leaving: Option<Time>,
    started: Option<Time>,
}

/// Watches the four rules.
#[derive(Debug)]
pub struct Observer {
    parameters: RuleParameters,
    requests: HashMap<u64, Request>,
    /// Those that are owed an answer, by the time that it is due.
    due: BTreeSet<(Time, u64)>,
    over: VecDeque<u64>,
    servers: HashMap<u32, Server>,
    /// First bytes of the last window.
    recent: VecDeque<(Time, u32)>,
    margins: [Margin; 4],
}

impl Observer {
    /// An observer that has seen nothing.
    pub fn new(parameters: RuleParameters) -> Self {
        Observer {
            parameters,
            requests: HashMap::new(),
            due: BTreeSet::new(),
            over: VecDeque::new(),
            servers: HashMap::new(),
            recent: VecDeque::new(),
            margins: [Margin::default(); 4],
        }
    }

    /// How a rule has been kept so far.
    pub fn margin(&self, rule: Rule) -> Margin {
        self.margins[rule as usize]
    }

    /// Requests that it keeps at present.
    pub fn tracked_requests(&self) -> usize {
        self.requests.len()
    }

    fn breach(&mut self, rule: Rule) {
        self.margins[rule as usize].breaches += 1;
    }

    /// So much of a limit was left, in seconds; past the slack it is a breach, and within it a near miss.
    fn record_time_left(&mut self, rule: Rule, left: f64) {
        self.record_margin(rule, left, -SLACK.ms() / 1e3, 0.0);
    }

    fn record_margin(&mut self, rule: Rule, left: f64, breach: f64, near: f64) {
        let margin = &mut self.margins[rule as usize];
        let least = |known: Option<f64>| Some(known.map_or(left, |least| least.min(left)));
        (margin.min, margin.recent_min) = (least(margin.min), least(margin.recent_min));
        if left < breach {
            margin.breaches += 1;
        } else if left < near {
            margin.near_misses += 1;
        }
    }

    /// The smallest margin since this was last asked, if there was any.
    pub fn take_recent_min(&mut self, rule: Rule) -> Option<f64> {
        self.margins[rule as usize].recent_min.take()
    }

    /// Seconds from `now` to `limit`, below zero past it.
    fn seconds_left(now: Time, limit: Time) -> f64 {
        limit.since(now).ms() / 1e3 - now.since(limit).ms() / 1e3
    }

    /// The list says this of a server.
    pub fn endpoint_listed(
        &mut self,
        now: Time,
        server: u32,
        (zone, cell): (u32, u32),
        up: bool,
        started: Option<Time>,
    ) {
        let known = self.servers.entry(server).or_insert(Server { zone, cell, leaving: None, started });
        if known.started != started {
            // A new process: what its predecessor was sent weighs nothing on it.
            self.recent.retain(|(_, other)| *other != server);
        }
        let leaving = if up { None } else { known.leaving.or(Some(now)) };
        *known = Server { zone, cell, leaving, started };
    }

    /// A whole list no longer names a server.
    pub fn endpoint_removed(&mut self, now: Time, server: u32) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.leaving.get_or_insert(now);
        }
    }

    /// A server that left long ago is not known any more: whatever goes to it now goes to nobody that was ever named.
    pub fn forget(&mut self, server: u32) {
        self.servers.remove(&server);
    }

    /// A request has come whole; its client waits until then.
    pub fn request_received(&mut self, id: u64, class: usize, deadline: Time) {
        let request = Request { class, deadline, sent: BTreeMap::new(), over: false };
        self.due.insert((deadline, id));
        if let Some(before) = self.requests.insert(id, request) {
            self.due.retain(|due| *due != (before.deadline, id) || before.deadline == deadline);
            // Two of one name can't be told apart: whoever lets them in can't answer both.
            self.breach(Rule::Response);
        }
    }

    /// The first byte of an attempt has left for a server.
    pub fn first_byte(&mut self, now: Time, id: u64, attempt: u32, server: u32) {
        let grace = self.parameters.drain_grace;
        let known = self.servers.get(&server).cloned();
        match known.as_ref().map(|s| s.leaving) {
            // Nobody ever named it.
            None => self.breach(Rule::Draining),
            Some(None) => {}
            Some(Some(told)) => self.record_time_left(Rule::Draining, Self::seconds_left(now, told + grace)),
        }
        let (zone, cell) = known.map_or((u32::MAX, u32::MAX), |s| (s.zone, s.cell));
        self.check_slow_start(now, server);
        let Some(request) = self.requests.get_mut(&id) else { return self.breach(Rule::Response) };
        let over = request.over;
        let first = request.sent.values().filter(|s| !s.never_ran).min_by_key(|s| s.at);
        let first = first.map(|s| (s.at, s.zone, s.cell));
        let effect = self.parameters.classes[request.class].retry_safety;
        request.sent.insert(attempt, Sent { at: now, zone, cell, never_ran: false });
        if over {
            self.breach(Rule::Response);
        }
        let Some((at, first_zone, first_cell)) = first else { return };
        match effect {
            RetrySafety::Idempotent => {}
            RetrySafety::AtMostOnce => self.breach(Rule::RetrySafety),
            RetrySafety::Deduplicated { scope: group, window } => {
                self.record_time_left(Rule::RetrySafety, Self::seconds_left(now, at + window));
                let within = match group {
                    DedupScope::All => true,
                    DedupScope::Zone => zone == first_zone,
                    DedupScope::Group => cell == first_cell,
                };
                if !within {
                    self.breach(Rule::RetrySafety);
                }
            }
        }
    }

    /// An attempt is over; `never_ran` if its server said so, or no byte of it had left.
    pub fn attempt_finished(&mut self, id: u64, attempt: u32, never_ran: bool) {
        if let Some(sent) = self.requests.get_mut(&id).and_then(|r| r.sent.get_mut(&attempt)) {
            sent.never_ran = never_ran;
        }
    }

    /// A final answer's last byte has left for the client; `refused` for a 429 or 503.
    pub fn response_sent(&mut self, now: Time, id: u64, refused: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return self.breach(Rule::Response) };
        let (twice, deadline) = (std::mem::replace(&mut request.over, true), request.deadline);
        let ran = request.sent.values().any(|s| !s.never_ran);
        let harmless = match self.parameters.classes[request.class].retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::Deduplicated { scope: DedupScope::All, .. } => true,
            RetrySafety::AtMostOnce | RetrySafety::Deduplicated { .. } => !ran,
        };
        if twice {
            return self.breach(Rule::Response);
        }
        self.record_time_left(Rule::Response, Self::seconds_left(now, deadline));
        if refused && !harmless {
            self.breach(Rule::RetrySafety);
        }
        self.mark_finished(id);
    }

    /// The client has left, or its connection broke by its doing: nothing is owed, and nothing new may go out.
    pub fn client_left(&mut self, id: u64) {
        if let Some(request) = self.requests.get_mut(&id) {
            if !std::mem::replace(&mut request.over, true) {
                self.mark_finished(id);
            }
        }
    }

    fn mark_finished(&mut self, id: u64) {
        if let Some(request) = self.requests.get(&id) {
            self.due.remove(&(request.deadline, id));
        }
        self.over.push_back(id);
        while self.over.len() > OVER_MOST {
            if let Some(old) = self.over.pop_front() {
                self.requests.remove(&old);
            }
        }
    }

    /// Looks for requests whose answer is overdue; each is one breach, and then it is over.
    pub fn check_overdue(&mut self, now: Time) {
        while let Some(&(_, id)) = self.due.first().filter(|(due, _)| now > *due + SLACK) {
            self.breach(Rule::Response);
            if let Some(request) = self.requests.get_mut(&id) {
                request.over = true;
            }
            self.mark_finished(id);
        }
    }

    fn capacity_share(&self, server: &Server, now: Time) -> f64 {
        server.started.map_or(1.0, |started| {
            let grown = (now.since(started).ms() / self.parameters.slow_start_window.ms().max(1.0)).min(1.0);
            self.parameters.initial_capacity + (1.0 - self.parameters.initial_capacity) * grown
        })
    }

    /// Holds what a cold server was sent within a window against its share of what warm ones were: this process's part
    /// of the budget, since it sees no other's.
    fn check_slow_start(&mut self, now: Time, server: u32) {
        self.recent.push_back((now, server));
        while self.recent.front().is_some_and(|(at, _)| *at + self.parameters.fall_after < now) {
            self.recent.pop_front();
        }
        let Some(own) = self.servers.get(&server) else { return };
        let own = self.capacity_share(own, now);
        if own >= 1.0 {
            return;
        }
        let warm = |s: &Server| s.leaving.is_none() && self.capacity_share(s, now) >= 1.0;
        let warm_servers = self.servers.values().filter(|s| warm(s)).count();
        if warm_servers == 0 {
            return;
        }
        let to_warm = self.recent.iter().filter(|(_, s)| self.servers.get(s).is_some_and(warm)).count();
        let to_cold = self.recent.iter().filter(|(_, s)| *s == server).count();
        let fair = to_warm as f64 / warm_servers as f64;
        let budget = COLD_CHANCE + self.parameters.overload_factor * own * fair;
        self.record_margin(Rule::SlowStart, 1.0 - to_cold as f64 / budget, 0.0, COLD_NEAR);
    }
}
