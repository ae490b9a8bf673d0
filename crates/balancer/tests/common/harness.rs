//! A balancer under test with a virtual clock and timers.

use super::{sent_in, Observer};
use bellcroft_balancer::*;
use std::collections::BTreeSet;

/// A balancer with an observer and a virtual clock.
pub struct Harness {
    pub balancer: Balancer,
    pub observer: Observer,
    pub now: Time,
    pub actions: Vec<Action>,
    timers: BTreeSet<(Time, TimerId)>,
    next_request: u64,
}

impl Harness {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let observer = Observer::new(&settings);
        let balancer = Balancer::new(settings, seed).expect("valid settings");
        let mut harness = Harness {
            balancer,
            observer,
            now: Time::from_ms(50_000.0),
            actions: Vec::new(),
            timers: BTreeSet::new(),
            next_request: 0,
        };
        let mut actions = Vec::new();
        harness.balancer.start(harness.now, &mut actions);
        harness.record(actions);
        harness
    }

    fn record(&mut self, actions: Vec<Action>) {
        for action in &actions {
            self.observer.action(self.now, action);
            if let Action::SetTimer { at, timer } = action {
                self.timers.insert((*at, *timer));
            }
        }
        self.actions = actions;
    }

    /// Handles an event at the present time; the resulting actions are also stored in `actions`.
    pub fn handle(&mut self, event: Event) -> &[Action] {
        self.observer.event(self.now, &event);
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        self.record(actions);
        &self.actions
    }

    /// Advances the clock and fires the timers that become due; returns all resulting actions.
    pub fn advance(&mut self, duration: Micros) -> Vec<Action> {
        let end = self.now + duration;
        let mut all = Vec::new();
        while let Some(&(at, timer)) = self.timers.iter().next().filter(|(at, _)| *at <= end) {
            self.timers.remove(&(at, timer));
            self.now = self.now.max(at);
            all.extend_from_slice(self.handle(Event::Timer(timer)));
        }
        self.now = end;
        all
    }

    pub fn set_endpoints(&mut self, endpoints: Vec<Endpoint>) {
        self.handle(Event::Endpoints(EndpointUpdate::Snapshot(endpoints)));
    }

    /// Submits a request of a class; returns its id and the server that it was sent to, if any.
    pub fn request(&mut self, class: usize) -> (RequestId, Option<ServerId>) {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let time_left = self.observer.settings.classes[class].deadline;
        self.handle(Event::Request(Request::new(id, ClassId(class), time_left)));
        (id, self.sent_to(id))
    }

    /// Submits a request of class 0 that is sent within `ms` and then succeeds; returns the server that it was sent to.
    pub fn request_and_respond(&mut self, ms: f64) -> Option<ServerId> {
        let (id, sent) = self.request(0);
        let sent = sent.or(sent_in(&self.advance(Micros::from_ms(ms)), id));
        if sent.is_some() {
            self.respond(id, 0, Outcome::Success, ms);
        }
        sent
    }

    /// The server that the last actions sent a request to.
    pub fn sent_to(&self, id: RequestId) -> Option<ServerId> {
        sent_in(&self.actions, id)
    }

    pub fn respond(&mut self, id: RequestId, attempt: u32, outcome: Outcome, ms: f64) -> &[Action] {
        self.respond_with_report(id, attempt, outcome, ms, None)
    }

    pub fn respond_with_report(
        &mut self,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        ms: f64,
        report: Option<Vec<f64>>,
    ) -> &[Action] {
        self.handle(Event::Outcome {
            request,
            attempt: AttemptNo(attempt),
            outcome,
            elapsed: Micros::from_ms(ms),
            report,
            is_final: outcome == Outcome::Success,
        })
    }

    pub fn assert_rules(&self) {
        assert!(self.observer.violations.is_empty(), "{:#?}", self.observer.violations);
        assert_eq!(self.observer.overdue_responses(self.now), 0, "requests without a final response");
    }
}
