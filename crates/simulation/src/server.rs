//! A server: cores, a queue, a cold start with its falling-over, repeats that it drops, and faults.

use crate::random::Dist;
use crate::scenario::ReportFaults;
use bellcroft_balancer::{Micros, Time};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

/// A request at a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Job {
    pub request: u64,
    pub attempt: u32,
    pub class: usize,
    pub came: Time,
}

/// What becomes of a request that has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Taken {
    /// A core is on it; it is done after this.
    Started(Micros),
    /// It waits.
    Queued,
    /// It was turned away unseen.
    Rejected,
    /// Nothing is said.
    Nothing,
    /// Nobody listens.
    Refused,
}

/// How cold servers are.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Cold {
    pub share: f64,
    pub warm_after: Micros,
    pub overload: f64,
    pub fall_after: Micros,
}

#[derive(Debug)]
pub(crate) struct Server {
    pub zone: u32,
    cores: usize,
    queue_most: Option<usize>,
    speed: f64,
    pub slower: f64,
    pub mute: bool,
    pub up: bool,
    pub draining: bool,
    /// When it started, if it was cold then.
    pub started: Option<Time>,
    pub working: usize,
    waiting: VecDeque<Job>,
    /// Counts its processes: what an earlier one had in work is not this one's.
    pub life: u32,
    random: ChaCha8Rng,
    /// Work that came within the last window, in seconds, while it was cold.
    recent: VecDeque<(Time, f64)>,
    pub requests: u64,
    pub peak: usize,
    /// When the requests that it works on will be done.
    pub ends: Vec<Time>,
    /// By class: requests that have been sent to it and have not come yet.
    pub coming: Vec<u32>,
    /// What it last told of its load, and when it had counted that.
    told: (Time, u32),
    lies: ChaCha8Rng,
}

impl Server {
    pub fn new(
        zone: u32,
        (cores, queue_most, speed): (usize, Option<usize>, f64),
        up: bool,
        classes: usize,
        (random, lies): (ChaCha8Rng, ChaCha8Rng),
    ) -> Self {
        Server {
            zone,
            cores,
            queue_most,
            speed,
            slower: 1.0,
            mute: false,
            up,
            draining: false,
            started: None,
            working: 0,
            waiting: VecDeque::new(),
            life: 0,
            random,
            recent: VecDeque::new(),
            requests: 0,
            peak: 0,
            ends: Vec::new(),
            coming: vec![0; classes],
            told: (Time::default(), 0),
            lies,
        }
    }

    pub fn held(&self) -> usize {
        self.working + self.waiting.len()
    }

    /// What it tells of its load, which may be old, wrong or nothing.
    pub fn report(&mut self, now: Time, faults: &ReportFaults) -> Option<u32> {
        if now.since(self.told.0) >= Micros::from_ms(faults.delay * 1e3) {
            self.told = (now, self.held() as u32);
        }
        // Nothing is drawn where nothing is wrong.
        if faults.missing > 0.0 && self.lies.random::<f64>() < faults.missing {
            return None;
        }
        let wrong = faults.wrong > 0.0 && self.lies.random::<f64>() < faults.wrong;
        Some(if wrong { 0 } else { self.told.1 })
    }

    pub fn start(&mut self, now: Time) {
        (self.up, self.draining, self.mute, self.started) = (true, false, false, Some(now));
        self.life += 1;
        self.recent.clear();
    }

    /// Ends; what it held is forgotten.
    pub fn crash(&mut self) {
        (self.up, self.working) = (false, 0);
        self.life += 1;
        self.waiting.clear();
        self.ends.clear();
    }

    pub fn warmth(&self, now: Time, cold: &Cold) -> f64 {
        self.started.map_or(1.0, |started| {
            let grown = (now.since(started).ms() / cold.warm_after.ms().max(1.0)).min(1.0);
            cold.share + (1.0 - cold.share) * grown
        })
    }

    /// The work in seconds that it may still be sent now without being pushed over; no end to it if it is warm.
    pub fn room(&self, now: Time, means: &[f64], cold: &Cold) -> f64 {
        let warmth = self.warmth(now, cold);
        if warmth >= 1.0 {
            return f64::INFINITY;
        }
        let coming: f64 = self.coming.iter().zip(means).map(|(n, mean)| f64::from(*n) * mean).sum();
        let within = |at: &Time| *at + cold.fall_after >= now;
        let offered: f64 = self.recent.iter().filter(|(at, _)| within(at)).map(|(_, work)| work).sum();
        // A tenth is left for what the clock of the window may still count.
        0.9 * self.bears(warmth, cold) - offered - coming
    }

    /// The time in seconds until a request that is sent now would be begun, if all that waits or is on its way takes the mean
    /// of its class; infinite where it would be turned away.
    pub fn begins(&self, now: Time, means: &[f64], cold: &Cold) -> f64 {
        let coming: usize = self.coming.iter().map(|n| *n as usize).sum();
        let full = |most: usize| self.held() + coming >= self.cores + most;
        if !self.up || self.mute || self.draining || self.queue_most.is_some_and(full) {
            return f64::INFINITY;
        }
        let mut free: Vec<f64> = self.ends.iter().map(|end| end.since(now).ms() / 1e3).collect();
        free.resize(self.cores.max(free.len()), 0.0);
        let pace = self.pace(self.warmth(now, cold));
        let ahead = self.waiting.iter().map(|job| means[job.class]);
        let coming = self.coming.iter().zip(means).flat_map(|(n, mean)| (0..*n).map(move |_| *mean));
        let first = |free: &[f64]| (0..free.len()).min_by(|a, b| free[*a].total_cmp(&free[*b])).unwrap_or(0);
        for work in ahead.chain(coming) {
            let core = first(&free);
            free[core] += work * pace;
        }
        free[first(&free)]
    }

    /// How many times longer than on a server of speed 1 its work takes.
    pub fn pace(&self, warmth: f64) -> f64 {
        self.slower / self.speed / warmth
    }

    /// The work that may come within the window without pushing it over.
    fn bears(&self, warmth: f64, cold: &Cold) -> f64 {
        cold.overload * self.cores as f64 * self.speed * warmth * cold.fall_after.ms() / 1e3
    }

    /// Whether what has come within the window is more than a cold server bears.
    pub fn falls(&mut self, now: Time, work: f64, cold: &Cold) -> bool {
        let warmth = self.warmth(now, cold);
        if warmth >= 1.0 {
            return false;
        }
        self.recent.push_back((now, work));
        while self.recent.front().is_some_and(|(at, _)| *at + cold.fall_after < now) {
            self.recent.pop_front();
        }
        let offered: f64 = self.recent.iter().map(|(_, work)| work).sum();
        let bears = self.bears(warmth, cold);
        // A handful of requests is chance and no push.
        self.recent.len() > 5 && offered > bears
    }

    pub fn take(&mut self, now: Time, job: Job, dist: &Dist, cold: &Cold) -> Taken {
        if !self.up {
            return Taken::Refused;
        }
        if self.mute {
            return Taken::Nothing;
        }
        if self.draining {
            return Taken::Rejected;
        }
        self.requests += 1;
        if self.working < self.cores {
            self.working += 1;
            self.peak = self.peak.max(self.held());
            return Taken::Started(self.service(now, dist, cold));
        }
        if self.queue_most.is_some_and(|most| self.waiting.len() >= most) {
            return Taken::Rejected;
        }
        self.waiting.push_back(job);
        self.peak = self.peak.max(self.held());
        Taken::Queued
    }

    /// A core is free: the next that waits, if there is one.
    pub fn next(&mut self) -> Option<Job> {
        let job = self.waiting.pop_front();
        if job.is_none() {
            self.working -= 1;
        }
        job
    }

    pub fn service(&mut self, now: Time, dist: &Dist, cold: &Cold) -> Micros {
        let seconds = dist.sample(&mut self.random) * self.pace(self.warmth(now, cold));
        Micros::from_ms(seconds.min(1e6) * 1e3)
    }
}
