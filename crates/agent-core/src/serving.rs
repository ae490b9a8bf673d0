//! The serving state of an instance: serving, draining, or shutting down, and what follows for its clients.
//!
//! Serving and draining alternate by the operator's commands; a shutdown is final.

use bellcroft_balancer::{Micros, Time};

/// From the start of draining to the closing of idle connections. New connections arrive for a moment after the first
/// negative health check; their requests are served.
///
/// The platform expects no connection that is idle, or has served a request lately, 4 s after the command. Each response
/// during draining closes its connection, so the remaining ones have been idle since before the command.
const DRAIN_IDLE_TIMEOUT: Micros = Micros(1_500_000);
/// The same for a process that shuts down with a successor: it is killed once the longest deadline has passed.
const REPLACED_IDLE_TIMEOUT: Micros = Micros(450_000);

/// What follows a process that shuts down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownKind {
    /// Nothing: its application ends too.
    Final,
    /// A successor, which accepts new connections.
    Replaced,
}

/// The serving state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServingState {
    /// Clients are served.
    Serving,
    /// Draining since this time; [`Service::resume`] ends it.
    Draining(Time),
    /// Shutting down; nothing ends it.
    ShuttingDown {
        /// When the shutdown began.
        since: Time,
        /// What follows this process.
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

    /// Starts draining; false if the instance drains already, or shuts down.
    pub fn drain(&mut self, now: Time) -> bool {
        let allowed = self.state == ServingState::Serving;
        if allowed {
            self.state = ServingState::Draining(now);
        }
        allowed
    }

    /// Serves again; false if the instance shuts down.
    pub fn resume(&mut self) -> bool {
        let allowed = !matches!(self.state, ServingState::ShuttingDown { .. });
        if allowed {
            self.state = ServingState::Serving;
        }
        allowed
    }

    /// Starts the shutdown. A second call changes nothing.
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

    /// When idle connections are closed; none while the instance serves.
    ///
    /// Closing a connection can cross a request on it, which its client has to send again. So where time allows, the client
    /// can use the connection once more, and learns from the response that it closes.
    pub fn close_idle_at(&self) -> Option<Time> {
        match self.state {
            ServingState::Serving => None,
            ServingState::Draining(since) => Some(since + DRAIN_IDLE_TIMEOUT),
            ServingState::ShuttingDown { since, kind: ShutdownKind::Replaced } => {
                Some(since + REPLACED_IDLE_TIMEOUT)
            }
            // The application ends too; no further request arrives.
            ServingState::ShuttingDown { since, kind: ShutdownKind::Final } => Some(since),
        }
    }
}
