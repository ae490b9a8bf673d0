//! By how much this machine's wall clock is off from that of the platform.
//!
//! A server's start is told as a time of the platform's clock, and its age is what its slow start goes by. This process
//! carries the wall clock that it read at its own start on by the monotonic clock, so a step of the wall clock while it runs
//! changes nothing; but the clock may have been stepped before it started, by an hour. What it has to go by are starts that
//! it hears of as news: such a server is a few seconds old at most, and none has started in the future.

use bellcroft_balancer::{Micros, Time};

/// A start that is heard of as news is no older than this, unless the clocks differ: discovery has 6 s to tell it.
const MAX_NEWS_AGE: Micros = Micros(10_000_000);

/// The estimate of one process.
#[derive(Debug, Clone, Copy, Default)]
pub struct ClockSkew {
    /// The least age in which a start was heard of as news, by this process's clock.
    least_news_age: Option<Micros>,
    /// By how much the latest start known lay in the future when it was heard of.
    behind: Micros,
}

impl ClockSkew {
    /// A server's start is heard of at `now`; as `news` if the server, or this start of it, was not known before though
    /// this process had a list.
    pub fn on_start(&mut self, now: Time, started: Time, news: bool) {
        self.behind = self.behind.max(started.since(now));
        if news {
            let age = now.since(started);
            self.least_news_age = Some(self.least_news_age.map_or(age, |least| least.min(age)));
        }
    }

    /// A server's start by this process's clock.
    pub fn local(&self, started: Time) -> Time {
        if self.behind > Micros::ZERO {
            return started - self.behind;
        }
        // The clock is ahead if every start seemed old when it was news.
        match self.least_news_age {
            Some(ahead) if ahead > MAX_NEWS_AGE => started + ahead,
            Some(_) | None => started,
        }
    }
}
