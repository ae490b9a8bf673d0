//! The serving state of an instance (serving, draining or shutting down) and its effect on clients.
//!
//! An operator's commands switch between serving and draining; a shutdown is final.

use bellcroft_balancer::{Micros, Time};

/// Time from the start of draining to the closing of idle connections. New connections arrive for a moment after the first
/// failed health check; their requests are served.
///
/// The platform expects that 4 s after the command no connection is left that is idle or has recently served a request.
/// Each response during draining closes its connection, so the remaining connections have been idle since before the
/// command.
const DRAIN_IDLE_TIMEOUT: Micros = Micros(1_500_000);
/// Time from the start of a shutdown to the closing of idle connections of a process that has a successor: the process is
/// killed once the longest deadline has passed.
const REPLACED_IDLE_TIMEOUT: Micros = Micros(450_000);

/// Whether another process takes over from a process that shuts down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownKind {
    /// No process takes over: the application exits too.
    Final,
    /// A successor process takes over and accepts new connections.
    Replaced,
}

/// The serving state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServingState {
    /// Clients are served.
    Serving,
    /// Draining since this time, until [`Service::resume`].
    Draining(Time),
    /// Shutting down; this state is final.
    ShuttingDown {
        /// Time at which the shutdown began.
        since: Time,
        /// Whether another process takes over.
        kind: ShutdownKind,
    },
}

/// The serving state of an instance, and its transitions.
#[derive(Debug, Clone, Copy)]
pub struct Service {
    state: ServingState,
}

impl Default for Service {
    fn default() -> Self {
        Service { state: ServingState::Serving }
    }
}

impl Service {
    /// The present state.
    pub fn state(&self) -> ServingState {
        self.state
    }

    /// Starts draining; returns false if the instance is already draining or is shutting down.
    pub fn drain(&mut self, now: Time) -> bool {
        let allowed = self.state == ServingState::Serving;
        if allowed {
            self.state = ServingState::Draining(now);
        }
        allowed
    }

    /// Resumes serving; returns false if the instance is shutting down.
    pub fn resume(&mut self) -> bool {
        let allowed = !matches!(self.state, ServingState::ShuttingDown { .. });
        if allowed {
            self.state = ServingState::Serving;
        }
        allowed
    }

    /// Starts the shutdown. A second call has no effect.
    pub fn shut_down(&mut self, now: Time, kind: ShutdownKind) {
        if !matches!(self.state, ServingState::ShuttingDown { .. }) {
            self.state = ServingState::ShuttingDown { since: now, kind };
        }
    }

    /// Whether health checks of this instance succeed.
    pub fn is_ready(&self) -> bool {
        self.state == ServingState::Serving
    }

    /// Whether each response closes its connection (`connection: close`).
    pub fn closes_connections(&self) -> bool {
        self.state != ServingState::Serving
    }

    /// The time at which idle connections are closed; `None` while the instance is serving.
    ///
    /// A request that crosses the close of its connection has to be sent again by its client. Where time allows, the client
    /// can therefore use the connection once more; the response then announces the close.
    pub fn close_idle_at(&self) -> Option<Time> {
        match self.state {
            ServingState::Serving => None,
            ServingState::Draining(since) => Some(since + DRAIN_IDLE_TIMEOUT),
            ServingState::ShuttingDown { since, kind: ShutdownKind::Replaced } => {
                Some(since + REPLACED_IDLE_TIMEOUT)
            }
            // The application exits too; no further request arrives.
            ServingState::ShuttingDown { since, kind: ShutdownKind::Final } => Some(since),
        }
    }
}
