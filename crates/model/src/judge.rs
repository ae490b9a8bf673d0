//! The four rules, judged by what reached servers and clients. It shares no code with the decisions, and sees what no
//! instance does: whether an effect truly came twice, and whether a cold server fell over.

use crate::scenario::Effect;
use micasail::{Span, Time};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// What sockets and clocks may add to a limit; the platform's own measure.
const SLACK: Span = Span(50_000);

/// Breaches by rule.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Breaches {
    /// No final answer in time, or two.
    pub answer: u64,
    /// Something went out for a request that had its answer.
    pub after: u64,
    /// An effect that came twice.
    pub effect: u64,
    /// Something new to a draining or gone server after the grace.
    pub drain: u64,
    /// Cold servers that fell over.
    pub cold: u64,
}

impl Breaches {
    /// All of them.
    pub fn all(&self) -> u64 {
        self.answer + self.after + self.effect + self.drain + self.cold
    }
}

#[derive(Debug)]
struct Known {
    deadline: Time,
    answered: Option<Time>,
}

/// Watches a run.
#[derive(Debug)]
pub struct Judge {
    grace: Span,
    requests: HashMap<u64, Known>,
    /// How often the effect of what shares a key has come.
    effects: HashMap<u64, u32>,
    /// When an instance was told that a server leaves.
    leaving: HashMap<(u32, u32), Time>,
    breaches: Breaches,
}

impl Judge {
    /// A judge of a deployment with this grace.
    pub fn new(grace: Span) -> Self {
        Judge {
            grace,
            requests: HashMap::new(),
            effects: HashMap::new(),
            leaving: HashMap::new(),
            breaches: Breaches::default(),
        }
    }

    /// A client has asked, and waits until then.
    pub fn asked(&mut self, id: u64, deadline: Time) {
        self.requests.insert(id, Known { deadline, answered: None });
    }

    /// An instance has been told of a server.
    pub fn told(&mut self, now: Time, instance: u32, server: u32, up: bool) {
        if up {
            self.leaving.remove(&(instance, server));
        } else {
            self.leaving.entry((instance, server)).or_insert(now);
        }
    }

    /// The first byte of an attempt has left.
    pub fn sent(&mut self, now: Time, id: u64, instance: u32, server: u32) {
        if let Some(told) = self.leaving.get(&(instance, server)) {
            self.breaches.drain += u64::from(now > *told + self.grace + SLACK);
        }
        let over = self.requests.get(&id).and_then(|known| known.answered);
        self.breaches.after += u64::from(over.is_some_and(|at| now > at));
    }

    /// A server has run it, and did not drop it as a repeat.
    pub fn ran(&mut self, key: u64, effect: Effect) {
        if effect != Effect::Idempotent {
            let times = self.effects.entry(key).or_default();
            *times += 1;
            self.breaches.effect += u64::from(*times > 1);
        }
    }

    /// The client has its final answer.
    pub fn answered(&mut self, now: Time, id: u64) {
        let Some(known) = self.requests.get_mut(&id) else {
            self.breaches.answer += 1;
            return;
        };
        let late = now > known.deadline + SLACK;
        self.breaches.answer += u64::from(known.answered.is_some() || late);
        known.answered.get_or_insert(now);
    }

    /// The client has left before its deadline: nothing is owed any more, and nothing may go out.
    pub fn left(&mut self, now: Time, id: u64) {
        if let Some(known) = self.requests.get_mut(&id).filter(|known| now < known.deadline) {
            known.answered.get_or_insert(now);
        }
    }

    /// All attempts of an answered request are over: nothing can come of it any more.
    pub fn settled(&mut self, id: u64) {
        if self.requests.get(&id).is_some_and(|known| known.answered.is_some()) {
            self.requests.remove(&id);
        }
    }

    /// A cold server has fallen over.
    pub fn fell(&mut self) {
        self.breaches.cold += 1;
    }

    /// The run is over at this time: who should have been answered by now was not.
    pub fn finish(mut self, now: Time) -> Breaches {
        let owed =
            self.requests.values().filter(|k| k.answered.is_none() && now > k.deadline + SLACK).count();
        self.breaches.answer += owed as u64;
        self.breaches
    }
}
