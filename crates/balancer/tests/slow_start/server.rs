//! Simulated servers and what is observed of their load.

use bellcroft_balancer::*;
use std::collections::VecDeque;

/// The highest load of a server after one start.
#[derive(Debug, Clone, Copy)]
pub struct Peak {
    /// The work in the window with the highest load, as a fraction of the bound. Windows with less than two thirds of their
    /// work from balancers that had been notified of the start do not count.
    pub ratio: f64,
    /// Requests of mean work in that window.
    pub work: f64,
    /// Age of the server at the end of that window.
    pub age: Micros,
}

/// The result of a scenario.
#[derive(Debug, Default)]
pub struct Observed {
    pub peaks: Vec<Peak>,
    /// Successful requests, and all requests of clients.
    pub served: u32,
    pub requests: u32,
}

/// A request that reached a server in slow start.
pub(super) struct Arrival {
    pub(super) at: Time,
    pub(super) work: f64,
    pub(super) notified: bool,
}

/// A simulated server.
pub(super) struct Server {
    pub(super) endpoint: Endpoint,
    /// Since when it has been running; `None` while it is down.
    pub(super) up_since: Option<Time>,
    /// The list gives its start; otherwise it started long ago and is warm.
    pub(super) has_restarted: bool,
    pub(super) free_at: Vec<Time>,
    pub(super) waiting: VecDeque<Time>,
    pub(super) window: VecDeque<Arrival>,
    pub(super) peak: Option<Peak>,
}

impl Server {
    pub(super) fn new(endpoint: Endpoint, cores: u32) -> Self {
        Server {
            endpoint,
            up_since: Some(Time(0)),
            has_restarted: false,
            free_at: vec![Time(0); cores as usize],
            waiting: VecDeque::new(),
            window: VecDeque::new(),
            peak: None,
        }
    }

    pub(super) fn restart(&mut self, now: Time) {
        self.free_at.fill(now);
        self.waiting.clear();
        self.window.clear();
        (self.up_since, self.has_restarted, self.peak) =
            (Some(now), true, Some(Peak { ratio: 0.0, work: 0.0, age: Micros::ZERO }));
        self.endpoint.started_at = Some(now);
        self.endpoint.status = Status::Serving;
    }
}
