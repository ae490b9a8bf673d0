//! What the tests share: an observer that holds a balancer to the four rules, and a small testbed around one.
#![allow(dead_code, missing_docs)]

use bellcroft_balancer::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time past the client's deadline in which a final answer still counts.
const GRACE: Micros = Micros(20_000);

#[derive(Debug, Clone)]
struct Try {
    at: Time,
    zone: ZoneId,
    cell: DedupGroupId,
    ended: Option<Outcome>,
}

#[derive(Debug)]
struct Seen {
    class: usize,
    /// In requests of the usual size, by the hint.
    work: f64,
    deadline: Time,
    tries: Vec<Try>,
    over: bool,
    bound: bool,
    /// The attempts that it was promised when it came.
    most: usize,
    /// Its body is still coming, so it can go one way at a time; a part of it is gone, so it can go no way.
    coming: bool,
    spent: bool,
}

/// Watches events and actions and notes every breach of a rule, without knowing how decisions are made.
pub struct Observer {
    pub settings: Settings,
    requests: BTreeMap<RequestId, Seen>,
    servers: BTreeMap<ServerId, Endpoint>,
    leaving: BTreeMap<ServerId, Time>,
    sends: VecDeque<(Time, ServerId, f64)>,
    warm: BTreeSet<ServerId>,
    warm_since: Time,
    pub faults: Vec<String>,
}

impl Observer {
    pub fn new(settings: &Settings) -> Self {
        Observer {
            settings: settings.clone(),
            requests: BTreeMap::new(),
            servers: BTreeMap::new(),
            leaving: BTreeMap::new(),
            sends: VecDeque::new(),
            warm: BTreeSet::new(),
            warm_since: Time(0),
            faults: Vec::new(),
        }
    }

    fn fault(&mut self, now: Time, text: String) {
        self.faults.push(format!("{:.3} ms: {text}", now.ms()));
    }

    pub fn event(&mut self, now: Time, event: &Event) {
        match event {
            Event::Request(r) => {
                let seen = Seen {
                    class: r.class.0,
                    work: r.cost_hint.map_or(1.0, |h| h.ms() / 40.0),
                    deadline: now + r.time_left,
                    tries: Vec::new(),
                    over: false,
                    bound: false,
                    most: self.settings.max_attempts as usize,
                    coming: r.streaming,
                    spent: false,
                };
                self.requests.entry(r.id).or_insert(seen);
            }
            Event::Outcome { request, attempt, outcome, closed, .. } => {
                if let Some(seen) = self.requests.get_mut(request) {
                    if let Some(attempt) = seen.tries.get_mut(attempt.0 as usize) {
                        attempt.ended.get_or_insert(*outcome);
                    }
                    seen.over |= *closed;
                }
            }
            Event::BodyComplete { request, time_left } => {
                if let Some(seen) = self.requests.get_mut(request) {
                    (seen.deadline, seen.coming) = (now + *time_left, false);
                }
            }
            Event::AttemptsExhausted { request } => {
                if let Some(seen) = self.requests.get_mut(request) {
                    seen.spent = true;
                }
            }
            Event::FirstByte { request, .. } => {
                if let Some(seen) = self.requests.get_mut(request) {
                    seen.bound = true;
                }
            }
            Event::ClientDisconnected { request } => {
                if let Some(seen) = self.requests.get_mut(request) {
                    seen.over = true;
                }
            }
            Event::Endpoints(update) => {
                let (lines, whole) = match update {
                    EndpointUpdate::Delta(lines) => (lines, false),
                    EndpointUpdate::Snapshot(lines) | EndpointUpdate::SavedSnapshot(lines) => (lines, true),
                    EndpointUpdate::Failed => return,
                };
                let named: BTreeSet<ServerId> = lines.iter().map(|l| l.server).collect();
                if whole {
                    for server in self.servers.keys().filter(|s| !named.contains(s)) {
                        self.leaving.entry(*server).or_insert(now);
                    }
                }
                for line in lines {
                    let before = self.servers.insert(line.server, line.clone());
                    if before.is_some_and(|b| b.started_at != line.started_at) {
                        // A new process: what the old one was sent weighs nothing on it.
                        self.sends.retain(|(_, s, _)| *s != line.server);
                    }
                }
                for server in named {
                    if self.servers[&server].status == Status::Serving {
                        self.leaving.remove(&server);
                    } else {
                        self.leaving.entry(server).or_insert(now);
                    }
                }
            }
            _ => {}
        }
    }

    /// The servers a request that may have run must stay with; `None` if it may not go out at all.
    fn place_for(&self, seen: &Seen, now: Time) -> Option<(Option<ZoneId>, Option<DedupGroupId>)> {
        let ran = seen.tries.iter().find(|t| t.ended.is_none_or(|o| !o.never_ran()));
        let Some(ran) = ran else { return Some((None, None)) };
        match self.settings.classes[seen.class].retry_safety {
            RetrySafety::Idempotent => Some((None, None)),
            RetrySafety::AtMostOnce => None,
            RetrySafety::Deduplicated { window, .. } if now.since(ran.at) > window => None,
            RetrySafety::Deduplicated { scope: DedupScope::All, .. } => Some((None, None)),
            RetrySafety::Deduplicated { scope: DedupScope::Zone, .. } => Some((Some(ran.zone), None)),
            RetrySafety::Deduplicated { scope: DedupScope::Group, .. } => Some((None, Some(ran.cell))),
        }
    }

    fn may_refuse(&self, seen: &Seen) -> bool {
        let ran = seen.tries.iter().any(|t| t.ended.is_none_or(|o| !o.never_ran()));
        match self.settings.classes[seen.class].retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::AtMostOnce => !ran,
            RetrySafety::Deduplicated { scope: group, .. } => !ran || group == DedupScope::All,
        }
    }

    pub fn action(&mut self, now: Time, action: &Action) {
        match action {
            Action::Send { request, server, timeout_at, .. } => {
                let Some(line) = self.servers.get(server).cloned() else {
                    return self.fault(now, format!("sent to {server:?}, which no list names"));
                };
                let Some(seen) = self.requests.get(request) else {
                    return self.fault(now, format!("sent {request:?}, which nobody asked for"));
                };
                let work = seen.work;
                let out = seen.tries.iter().any(|t| t.ended.is_none());
                let mut wrong = Vec::new();
                if seen.over {
                    wrong.push("sent after its end");
                }
                if seen.bound {
                    wrong.push("sent though bound to a stream");
                }
                if seen.spent {
                    wrong.push("sent though a part of it is gone");
                }
                if out && seen.coming {
                    wrong.push("two attempts while it is coming");
                }
                if seen.tries.len() >= seen.most {
                    wrong.push("sent beyond the attempts allowed");
                }
                if out && !self.settings.hedging {
                    wrong.push("two attempts at once");
                }
                if now > seen.deadline || *timeout_at > seen.deadline {
                    wrong.push("sent past its deadline");
                }
                match self.place_for(seen, now) {
                    None => wrong.push("may have run and must not go out again"),
                    Some((zone, cell)) => {
                        if zone.is_some_and(|z| z != line.zone) || cell.is_some_and(|c| c != line.dedup_group)
                        {
                            wrong.push("repeated outside the group that drops repeats");
                        }
                    }
                }
                if self.leaving.get(server).is_some_and(|at| now > *at + self.settings.drain_grace_period) {
                    wrong.push("sent to a draining or gone server");
                }
                for text in wrong {
                    self.fault(now, format!("{request:?}: {text}"));
                }
                let attempt = Try { at: now, zone: line.zone, cell: line.dedup_group, ended: None };
                self.requests.get_mut(request).expect("looked up above").tries.push(attempt);
                self.sends.push_back((now, *server, work));
                self.cold(now, *server);
            }
            Action::Shed { request, .. } => {
                if self.requests.get(request).is_some_and(|seen| !self.may_refuse(seen)) {
                    self.fault(now, format!("{request:?}: refused though it may have run"));
                }
                self.finish(now, *request);
            }
            Action::Fail { request } => self.finish(now, *request),
            _ => {}
        }
    }

    fn finish(&mut self, now: Time, request: RequestId) {
        let text = match self.requests.get_mut(&request) {
            None => Some("ended, but nobody asked for it"),
            Some(seen) if seen.over => Some("ended twice"),
            Some(seen) => {
                seen.over = true;
                (now > seen.deadline + GRACE).then_some("ended too late")
            }
        };
        if let Some(text) = text {
            self.fault(now, format!("{request:?}: {text}"));
        }
    }

    /// Holds this balancer's sends to a cold server against what it sends to the warm ones: its share, times
    /// the site's factor, with room for a few requests of chance.
    fn cold(&mut self, now: Time, server: ServerId) {
        let window = self.settings.fall_after;
        while self.sends.front().is_some_and(|(at, ..)| *at + window < now) {
            self.sends.pop_front();
        }
        let warmth = |line: &Endpoint| {
            line.started_at.map_or(1.0, |s| {
                let grown = (now.since(s).ms() / self.settings.slow_start_window.ms()).min(1.0);
                self.settings.initial_capacity + (1.0 - self.settings.initial_capacity) * grown
            })
        };
        let own = warmth(&self.servers[&server]);
        let warm: BTreeSet<ServerId> = self
            .servers
            .values()
            .filter(|l| l.status == Status::Serving && warmth(l) >= 1.0)
            .map(|l| l.server)
            .collect();
        if warm != self.warm {
            // What a fair share is has changed: a whole window must pass before sends can be held against it.
            self.warm = warm.clone();
            self.warm_since = now;
        }
        let settled = now.since(self.warm_since) >= window || self.warm_since == Time(0);
        if own >= 1.0 || warm.is_empty() || !settled {
            return;
        }
        let to_warm = self.sends.iter().filter(|(_, s, _)| warm.contains(s)).map(|s| s.2).sum::<f64>();
        let to_cold = self.sends.iter().filter(|(_, s, _)| *s == server).map(|s| s.2).sum::<f64>();
        let fair = to_warm / warm.len() as f64;
        if to_cold > 5.0 + self.settings.overload_factor * own * fair {
            self.fault(now, format!("{server:?}: cold, sent {to_cold} where a warm one is sent {fair:.1}"));
        }
    }

    /// Requests whose final answer is overdue.
    pub fn lost(&self, now: Time) -> usize {
        self.requests.values().filter(|r| !r.over && !r.bound && now > r.deadline + GRACE).count()
    }

    pub fn forget_ended(&mut self) {
        self.requests.retain(|_, r| !r.over || r.tries.iter().any(|t| t.ended.is_none()));
    }
}

/// A balancer with an observer at its side and a clock to move.
pub struct Rig {
    pub balancer: Balancer,
    pub observer: Observer,
    pub now: Time,
    pub actions: Vec<Action>,
    timers: BTreeSet<(Time, TimerId)>,
    next: u64,
}

impl Rig {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let observer = Observer::new(&settings);
        let balancer = Balancer::new(settings, seed).expect("usable settings");
        let mut testbed = Rig {
            balancer,
            observer,
            now: Time::from_ms(50_000.0),
            actions: Vec::new(),
            timers: BTreeSet::new(),
            next: 0,
        };
        let mut actions = Vec::new();
        testbed.balancer.start(testbed.now, &mut actions);
        testbed.take(actions);
        testbed
    }

    fn take(&mut self, actions: Vec<Action>) {
        for action in &actions {
            self.observer.action(self.now, action);
            if let Action::SetTimer { at, timer } = action {
                self.timers.insert((*at, *timer));
            }
        }
        self.actions = actions;
    }

    /// Hands over an event; what the balancer answers is in `actions` afterwards.
    pub fn tell(&mut self, event: Event) -> &[Action] {
        self.observer.event(self.now, &event);
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        self.take(actions);
        &self.actions
    }

    /// Moves the clock on, firing timers as they come due; returns all actions on the way.
    pub fn wait(&mut self, span: Micros) -> Vec<Action> {
        let end = self.now + span;
        let mut all = Vec::new();
        while let Some(&(at, timer)) = self.timers.iter().next().filter(|(at, _)| *at <= end) {
            self.timers.remove(&(at, timer));
            self.now = self.now.max(at);
            all.extend_from_slice(self.tell(Event::Timer(timer)));
        }
        self.now = end;
        all
    }

    pub fn list(&mut self, lines: Vec<Endpoint>) {
        self.tell(Event::Endpoints(EndpointUpdate::Snapshot(lines)));
    }

    /// A new request of a class; the server it was sent to, if it was.
    pub fn ask(&mut self, class: usize) -> (RequestId, Option<ServerId>) {
        let id = RequestId(self.next);
        self.next += 1;
        let left = self.observer.settings.classes[class].deadline;
        self.tell(Event::Request(Request::new(id, ClassId(class), left)));
        (id, self.sent_to(id))
    }

    /// A request of class 0 that has `ms` to be sent and is then answered well; the server it was sent to.
    pub fn ask_and_answer(&mut self, ms: f64) -> Option<ServerId> {
        let (id, sent) = self.ask(0);
        let sent = sent.or(sent_in(&self.wait(Micros::from_ms(ms)), id));
        if sent.is_some() {
            self.answer(id, 0, Outcome::Success, ms);
        }
        sent
    }

    /// Where the last actions sent a request.
    pub fn sent_to(&self, id: RequestId) -> Option<ServerId> {
        sent_in(&self.actions, id)
    }

    pub fn answer(&mut self, id: RequestId, attempt: u32, outcome: Outcome, ms: f64) -> &[Action] {
        self.answer_with(id, attempt, outcome, ms, None)
    }

    pub fn answer_with(
        &mut self,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        ms: f64,
        report: Option<Vec<f64>>,
    ) -> &[Action] {
        self.tell(Event::Outcome {
            request,
            attempt: AttemptNo(attempt),
            outcome,
            elapsed: Micros::from_ms(ms),
            report,
            closed: outcome == Outcome::Success,
        })
    }

    pub fn assert_rules(&self) {
        assert!(self.observer.faults.is_empty(), "{:#?}", self.observer.faults);
        assert_eq!(self.observer.lost(self.now), 0, "requests without a final answer");
    }
}

/// Where these actions send a request.
pub fn sent_in(actions: &[Action], id: RequestId) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { request, server, .. } if *request == id => Some(*server),
        _ => None,
    })
}

pub fn refused(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Shed { request, .. } if *request == id))
}

pub fn failed(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { request } if *request == id))
}

/// `n` warm servers, server `i` in zone `i % zones` and cell `i % cells`.
pub fn fleet(n: u32, zones: u32, cells: u32) -> Vec<Endpoint> {
    (0..n)
        .map(|i| Endpoint {
            zone: ZoneId(i % zones),
            dedup_group: DedupGroupId(i % cells),
            ..Endpoint::serving(ServerId(i))
        })
        .collect()
}

pub fn class(effect: RetrySafety) -> Class {
    Class {
        retry_safety: effect,
        latency_objective: Micros::from_ms(200.0),
        deadline: Micros::from_ms(800.0),
        ..Class::default()
    }
}

pub fn keyed(group: DedupScope, window_ms: f64) -> RetrySafety {
    RetrySafety::Deduplicated { scope: group, window: Micros::from_ms(window_ms) }
}
