//! The life of a route's request in the worst case: when each attempt can be decided, and when its bytes can arrive.

use crate::check::Platform;
use crate::config::RouteConfig;
use bellcroft_balancer::{Class, Micros};

/// What a timer and the tasks behind it may come late by, at each step of a request. The platform itself allows 50 ms
/// in all.
pub const SCHEDULING_DELAY: Micros = Micros(20_000);
/// What a request may take from the agent's socket to the server's, which judges repeats when they have come.
pub const NETWORK_DELAY: Micros = Micros(50_000);

/// A life. All times count from the decision to send the first attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptTimeline {
    /// After this the client waits no more, and no byte leaves.
    pub deadline: Micros,
    /// One attempt's time.
    pub attempt: Micros,
    /// How long a connection may take within it.
    pub connect: Micros,
    /// How long a further attempt may be held back before it goes out; none where nothing but the deadline bounds it.
    pub queue: Option<Micros>,
    /// The attempts.
    pub steps: Vec<AttemptTiming>,
}

/// An attempt's moments.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptTiming {
    /// The latest decision to send it; the earliest is at once, for an outcome that is no success may come at once.
    pub latest: Micros,
    /// The latest arrival of its first byte at the server.
    pub arrives: Micros,
}

impl AttemptTimeline {
    /// A route's request of this class.
    pub fn of(route: &RouteConfig, class: &Class, platform: &Platform) -> Self {
        let deadline = route.timeout.unwrap_or(class.deadline).min(class.deadline);
        let attempt = route.attempt_timeout.unwrap_or(deadline).min(deadline);
        let connect = route.connect_timeout.unwrap_or(platform.connect_timeout).min(attempt);
        let queue = route.queue_timeout;
        let most = platform.settings.max_attempts;
        let attempts = route.attempts.unwrap_or(most).min(most).max(1);
        let mut timeline = AttemptTimeline { deadline, attempt, connect, queue, steps: Vec::new() };
        for n in 1..=attempts {
            let (latest, arrives) = timeline.latest(n);
            timeline.steps.push(AttemptTiming { latest, arrives });
        }
        timeline
    }

    /// The latest decision of the `n`th attempt, and the latest arrival of its first byte: each one before it takes its
    /// whole time, ends late, and the next is held back as long as may be. Nothing leaves after the deadline.
    pub fn latest(&self, n: u32) -> (Micros, Micros) {
        let before = f64::from(n.saturating_sub(1));
        let one = match self.queue {
            Some(queue) => add(add(self.attempt, SCHEDULING_DELAY), queue),
            None => add(self.deadline, SCHEDULING_DELAY),
        };
        let latest = (one * before).min(self.deadline);
        let leaves =
            add(add(latest, self.connect), SCHEDULING_DELAY).min(add(self.deadline, SCHEDULING_DELAY));
        (latest, add(leaves, NETWORK_DELAY))
    }

    /// The latest arrival of a repeat's first byte; none if there is no repeat.
    pub fn last_repeat(&self) -> Option<Micros> {
        self.steps.iter().skip(1).map(|step| step.arrives).max()
    }

    /// The most attempts whose bytes all arrive within `window`; 1 at least, for the first is no repeat.
    pub fn attempts_within(&self, window: Micros) -> u32 {
        let most = self.steps.len() as u32;
        (1..=most).rev().find(|n| *n == 1 || self.latest(*n).1 <= window).unwrap_or(1)
    }

    /// The longest attempt time-out, that can be written, with which all attempts' bytes arrive within `window`;
    /// none if there is no such.
    pub fn attempt_within(&self, window: Micros) -> Option<Micros> {
        let repeats = self.steps.len().saturating_sub(1).max(1) as f64;
        let queue = self.queue?;
        let room = window
            .saturating_sub(NETWORK_DELAY)
            .saturating_sub(SCHEDULING_DELAY)
            .saturating_sub(self.connect);
        let one = (room * (1.0 / repeats)).saturating_sub(SCHEDULING_DELAY).saturating_sub(queue);
        let whole = round_down(one);
        (whole >= self.connect && whole > Micros::ZERO).then_some(whole)
    }
}

/// A time that the files' words tell exactly, not above this one.
pub(crate) fn round_down(span: Micros) -> Micros {
    let grain = if span.0 >= 1_000_000 { 10_000 } else { 1000 };
    Micros(span.0 / grain * grain)
}

pub(crate) fn add(a: Micros, b: Micros) -> Micros {
    Micros(a.0.saturating_add(b.0))
}
