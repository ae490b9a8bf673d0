//! A rolling restart: the old process of an agent, which serves, and its successor. Together they stay within the limits of
//! one process.
//!
//! A process starts as [`HandoverRole::Standalone`]. A process that asks for its listening sockets makes it the predecessor;
//! receiving another process's sockets makes it the successor, until that process has exited.

/// The role of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum HandoverRole {
    /// There is no other process.
    #[default]
    Standalone,
    /// A successor has asked for the listening sockets and runs.
    Predecessor,
    /// It has the listening sockets of a predecessor that still runs.
    Successor,
}

/// A change of the other process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandoverEvent {
    /// It has asked for the listening sockets.
    ListenerRequested,
    /// It has transferred the listening sockets.
    ListenerTransferred,
    /// It has exited, or the connection to it has ended.
    OtherProcessExited,
}

/// The state of this process in a handover.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Handover {
    role: HandoverRole,
    /// The running processes that have asked: the next may ask before the exit of one that failed is noticed.
    successors: usize,
}

impl Handover {
    /// The role of this process.
    pub fn role(&self) -> HandoverRole {
        self.role
    }

    /// Takes in a change; returns whether the role, and with it the connection limit, has changed.
    pub fn handle_event(&mut self, event: HandoverEvent) -> bool {
        let former = self.role;
        match event {
            HandoverEvent::ListenerRequested => {
                self.successors += 1;
                self.role = HandoverRole::Predecessor;
            }
            HandoverEvent::ListenerTransferred => self.role = HandoverRole::Successor,
            HandoverEvent::OtherProcessExited if self.role == HandoverRole::Successor => {
                self.role = HandoverRole::Standalone;
            }
            HandoverEvent::OtherProcessExited => {
                self.successors = self.successors.saturating_sub(1);
                if self.successors == 0 {
                    self.role = HandoverRole::Standalone;
                }
            }
        }
        self.role != former
    }

    /// Whether a successor accepts new connections. A process that shuts down goes on accepting only without one.
    pub fn is_replaced(&self) -> bool {
        self.role == HandoverRole::Predecessor
    }

    /// The part of a limit of both processes that this one may use. Half each: the predecessor keeps its connections, and
    /// the successor has to be able to take over at any time.
    pub fn connection_limit(&self, limit: usize) -> usize {
        match self.role {
            HandoverRole::Standalone => limit,
            HandoverRole::Predecessor | HandoverRole::Successor => limit / 2,
        }
    }
}
