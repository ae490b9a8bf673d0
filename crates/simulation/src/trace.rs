//! The story of what one client came for: every try, attempt, answer and drop, as servers and clients saw it.

use bellcroft_balancer::Time;
use serde::{Deserialize, Serialize};

/// Steps of a story that are kept; a want has four tries of a few attempts, so a longer one is a mistake somewhere.
const STEPS_MOST: usize = 10_000;

/// Something that happened to the request that is watched.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// When, in microseconds of the run.
    pub at: u64,
    /// The request: a client's further try is one of its own.
    pub request: u64,
    /// The attempt, if it is about one.
    pub attempt: Option<u32>,
    /// What happened.
    pub what: String,
}

/// All steps of one want, in their order.
#[derive(Debug)]
pub(crate) struct Watch {
    key: u64,
    steps: Vec<Step>,
}

impl Watch {
    pub fn new(key: u64) -> Self {
        Watch { key, steps: Vec::new() }
    }

    /// Writes a step down if it is about the want that is watched; the words are made for that one alone.
    pub fn say(
        &mut self,
        at: Time,
        key: u64,
        request: u64,
        attempt: Option<u32>,
        what: impl FnOnce() -> String,
    ) {
        if key == self.key && self.steps.len() < STEPS_MOST {
            self.steps.push(Step { at: at.0, request, attempt, what: what() });
        }
    }

    pub fn steps(self) -> Vec<Step> {
        self.steps
    }
}
