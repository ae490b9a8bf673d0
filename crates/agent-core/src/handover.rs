//! Connection limits during a rolling restart: the old process of an agent and its successor together stay within the
//! limits of one process.
//!
//! A process starts as [`HandoverRole::Standalone`]. It becomes the predecessor when another process requests its listening
//! sockets, and the successor when it receives another process's sockets, until that process has exited.

/// The role of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum HandoverRole {
    /// There is no other process of this agent.
    #[default]
    Standalone,
    /// A running successor has requested the listening sockets, whether or not a predecessor is running too.
    Predecessor,
    /// This process has the listening sockets of a predecessor that is still running.
    Successor,
}

/// An event of the other process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandoverEvent {
    /// The other process has requested the listening sockets.
    ListenerRequested,
    /// The other process has transferred its listening sockets to this one.
    ListenerTransferred,
    /// The process that transferred its listening sockets has exited, or the connection to it has been closed.
    PredecessorExited,
    /// A process that requested the listening sockets has exited, or the connection to it has been closed.
    SuccessorExited,
}

/// The state of this process in a handover.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Handover {
    /// Whether the process that transferred its listening sockets is running.
    has_predecessor: bool,
    /// Number of running processes that have requested the listening sockets. A second one may request them before the exit
    /// of a failed one is noticed.
    successors: usize,
}

impl Handover {
    /// The role of this process.
    pub fn role(&self) -> HandoverRole {
        if self.successors > 0 {
            HandoverRole::Predecessor
        } else if self.has_predecessor {
            HandoverRole::Successor
        } else {
            HandoverRole::Standalone
        }
    }

    /// Whether the process that transferred its listening sockets is running.
    pub fn has_predecessor(&self) -> bool {
        self.has_predecessor
    }

    /// Handles an event; returns whether the role, and with it the connection limit, has changed.
    pub fn handle_event(&mut self, event: HandoverEvent) -> bool {
        let former_role = self.role();
        match event {
            HandoverEvent::ListenerRequested => self.successors += 1,
            HandoverEvent::ListenerTransferred => self.has_predecessor = true,
            HandoverEvent::PredecessorExited => self.has_predecessor = false,
            HandoverEvent::SuccessorExited => self.successors = self.successors.saturating_sub(1),
        }
        self.role() != former_role
    }

    /// Whether a successor accepts new connections. A process that shuts down continues to accept only without a successor.
    pub fn is_replaced(&self) -> bool {
        self.role() == HandoverRole::Predecessor
    }

    /// The number of processes that share the agent's limits.
    pub fn processes(&self) -> usize {
        match self.role() {
            HandoverRole::Standalone => 1,
            HandoverRole::Predecessor | HandoverRole::Successor => 2,
        }
    }

    /// The part of an agent's limit that this process may use. During a handover each process gets half: the predecessor
    /// keeps its connections, and the successor has to be able to take over at any time.
    pub fn connection_limit(&self, limit: usize) -> usize {
        limit / self.processes()
    }
}
