//! Simulated servers and the observed load.

use bellcroft_balancer::*;
use std::collections::VecDeque;

/// The highest load of a server after one start.
#[derive(Debug, Clone, Copy)]
pub struct Peak {
    /// Work in the window with the highest load, as a fraction of the bound. Only windows count in which more than two thirds of
    /// the work is from balancers that had been notified of the start.
    pub ratio: f64,
    /// Work in that window, in mean requests.
    pub work: f64,
    /// Age of the server at the end of that window.
    pub age: Micros,
}

/// The result of a scenario.
#[derive(Debug, Default)]
pub struct Observed {
    pub peaks: Vec<Peak>,
    /// Number of successful requests.
    pub served: u32,
    /// Number of requests of clients, without their retries.
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
    /// Time of its start; `None` while it is down.
    pub(super) up_since: Option<Time>,
    /// True if it has restarted, so that the list gives its start time; otherwise it started long ago and is warm.
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
