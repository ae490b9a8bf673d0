//! The four rules, judged by what reached servers and clients. It shares no code with the decisions, and sees what no
//! instance does: whether an effect truly came twice, and whether a cold server fell over.

use crate::scenario::Effect;
use bellcroft_balancer::{Micros, Time};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// What sockets and clocks may add to a limit; the platform's own measure.
const SLACK: Micros = Micros(50_000);

/// Breaches that are named one by one; of more than these only the number is kept.
const NAMED_MOST: usize = 100;

/// A breach of a rule.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Breach {
    /// Which rule, as a word.
    pub rule: Rule,
    /// When, in microseconds of the run.
    pub at: u64,
    /// What its client came for, by the number of its first request; none where a rule is not about a request.
    pub want: Option<u64>,
}

/// What is broken, in the words of [`Breaches`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// No final answer in time, or two.
    Answer,
    /// Something went out for a request that had its answer.
    After,
    /// An effect that came twice.
    Effect,
    /// Something new to a draining or gone server after the grace.
    Drain,
    /// A cold server fell over.
    Cold,
}

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
    want: u64,
    deadline: Time,
    answered: Option<Time>,
}

/// Watches a run.
#[derive(Debug)]
pub struct Judge {
    grace: Micros,
    requests: HashMap<u64, Known>,
    /// How often the effect of what a client came for has come.
    effects: HashMap<u64, u32>,
    /// When an instance was told that a server leaves.
    leaving: HashMap<(u32, u32), Time>,
    breaches: Breaches,
    named: Vec<Breach>,
}

impl Judge {
    /// A judge of a deployment with this grace.
    pub fn new(grace: Micros) -> Self {
        Judge {
            grace,
            requests: HashMap::new(),
            effects: HashMap::new(),
            leaving: HashMap::new(),
            breaches: Breaches::default(),
            named: Vec::new(),
        }
    }

    fn broken(&mut self, now: Time, rule: Rule, want: Option<u64>) {
        let count = match rule {
            Rule::Answer => &mut self.breaches.answer,
            Rule::After => &mut self.breaches.after,
            Rule::Effect => &mut self.breaches.effect,
            Rule::Drain => &mut self.breaches.drain,
            Rule::Cold => &mut self.breaches.cold,
        };
        *count += 1;
        if self.named.len() < NAMED_MOST {
            self.named.push(Breach { rule, at: now.0, want });
        }
    }

    /// A client has asked, for what it came for with this first request, and waits until then.
    pub fn asked(&mut self, id: u64, want: u64, deadline: Time) {
        self.requests.insert(id, Known { want, deadline, answered: None });
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
        let known = self.requests.get(&id);
        let want = known.map(|known| known.want);
        let over = known.and_then(|known| known.answered).is_some_and(|at| now > at);
        if self.leaving.get(&(instance, server)).is_some_and(|told| now > *told + self.grace + SLACK) {
            self.broken(now, Rule::Drain, want);
        }
        if over {
            self.broken(now, Rule::After, want);
        }
    }

    /// A server has run it, and did not drop it as a repeat.
    pub fn ran(&mut self, now: Time, want: u64, effect: Effect) {
        if effect != Effect::Idempotent {
            let times = self.effects.entry(want).or_default();
            *times += 1;
            if *times > 1 {
                self.broken(now, Rule::Effect, Some(want));
            }
        }
    }

    /// The client has its final answer.
    pub fn answered(&mut self, now: Time, id: u64) {
        let Some(known) = self.requests.get_mut(&id) else {
            return self.broken(now, Rule::Answer, None);
        };
        let (want, late) = (known.want, now > known.deadline + SLACK);
        let again = known.answered.is_some();
        known.answered.get_or_insert(now);
        if again || late {
            self.broken(now, Rule::Answer, Some(want));
        }
    }

    /// The client has left before its deadline: nothing is owed any more, and nothing may go out.
    pub fn left(&mut self, now: Time, id: u64) {
        if let Some(known) = self.requests.get_mut(&id).filter(|known| now < known.deadline) {
            known.answered.get_or_insert(now);
        }
    }

    /// Nothing is owed to it any more: its instance's process was killed, or stood still.
    pub fn excuse(&mut self, id: u64) {
        if let Some(known) = self.requests.get_mut(&id) {
            known.deadline = Time(u64::MAX);
        }
    }

    /// All attempts of an answered request are over: nothing can come of it any more.
    pub fn settled(&mut self, id: u64) {
        if self.requests.get(&id).is_some_and(|known| known.answered.is_some()) {
            self.requests.remove(&id);
        }
    }

    /// A cold server has fallen over.
    pub fn fell(&mut self, now: Time) {
        self.broken(now, Rule::Cold, None);
    }

    /// The run is over at this time: who should have been answered by now was not.
    pub fn finish(mut self, now: Time) -> (Breaches, Vec<Breach>) {
        let owed = self.requests.values().filter(|k| k.answered.is_none() && now > k.deadline + SLACK);
        let mut owed: Vec<u64> = owed.map(|known| known.want).collect();
        owed.sort_unstable();
        for want in owed {
            self.broken(now, Rule::Answer, Some(want));
        }
        (self.breaches, self.named)
    }
}
