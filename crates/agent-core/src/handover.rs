//! Two processes of one agent: the old one that serves, and the new one that is to take its place. Together they may hold
//! no more than one.

/// Which of the two this process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum HandoverRole {
    /// There is no other.
    #[default]
    Standalone,
    /// Another one has asked for the clients' address and lives.
    Predecessor,
    /// It took the clients' address from another one that still lives.
    Successor,
}

/// What has become known of the other process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandoverEvent {
    /// It has asked for the clients' address.
    ListenerRequested,
    /// It has given the clients' address.
    ListenerTransferred,
    /// It has ended, or this one's tie to it has.
    SuccessorExited,
}

/// A process's part in a succession.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Handover {
    role: HandoverRole,
    /// Processes that have asked and live: one that fails may be followed by another before its end is known.
    asked: usize,
}

impl Handover {
    /// Which of the two it is.
    pub fn role(&self) -> HandoverRole {
        self.role
    }

    /// Takes in what has become known; true if this process's share has changed.
    pub fn handle_event(&mut self, news: HandoverEvent) -> bool {
        let before = self.role;
        match news {
            HandoverEvent::ListenerRequested => {
                self.asked += 1;
                self.role = HandoverRole::Predecessor;
            }
            HandoverEvent::ListenerTransferred => self.role = HandoverRole::Successor,
            HandoverEvent::SuccessorExited if self.role == HandoverRole::Successor => {
                self.role = HandoverRole::Standalone
            }
            HandoverEvent::SuccessorExited => {
                self.asked = self.asked.saturating_sub(1);
                if self.asked == 0 {
                    self.role = HandoverRole::Standalone;
                }
            }
        }
        self.role != before
    }

    /// Whether connections that come from now on have somebody else to take them: a process that was asked for its
    /// address and told to end must not wait for them, and one whose successor has failed must.
    pub fn is_replaced(&self) -> bool {
        self.role == HandoverRole::Predecessor
    }

    /// How much of a limit that holds for both together this process may use. Halves: the old one has what it has, and
    /// the new one must be able to take over at any moment.
    pub fn connection_limit(&self, whole: usize) -> usize {
        match self.role {
            HandoverRole::Standalone => whole,
            HandoverRole::Predecessor | HandoverRole::Successor => whole / 2,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn both_together_hold_no_more_than_one() {
        let (mut old, mut new) = (Handover::default(), Handover::default());
        assert_eq!(old.connection_limit(385), 385);
        assert!(
            old.handle_event(HandoverEvent::ListenerRequested)
                && new.handle_event(HandoverEvent::ListenerTransferred)
        );
        assert!(old.is_replaced() && !new.is_replaced());
        assert!(old.connection_limit(385) + new.connection_limit(385) <= 385);
        assert!(new.handle_event(HandoverEvent::SuccessorExited));
        assert_eq!((new.connection_limit(385), new.role()), (385, HandoverRole::Standalone));
    }

    #[test]
    fn a_successor_that_fails_leaves_all_as_it_was() {
        let mut old = Handover::default();
        old.handle_event(HandoverEvent::ListenerRequested);
        assert!(old.handle_event(HandoverEvent::SuccessorExited));
        assert!(!old.is_replaced(), "its clients have nobody else");
        assert_eq!(old.connection_limit(10), 10);
    }

    #[test]
    fn one_that_fails_after_the_next_has_asked_takes_nothing_from_it() {
        let mut old = Handover::default();
        old.handle_event(HandoverEvent::ListenerRequested);
        assert!(!old.handle_event(HandoverEvent::ListenerRequested));
        assert!(!old.handle_event(HandoverEvent::SuccessorExited));
        assert!(old.is_replaced());
        assert!(old.handle_event(HandoverEvent::SuccessorExited));
        assert_eq!(old.role(), HandoverRole::Standalone);
    }

    /// A successor is the next one's predecessor, also while its own still lives.
    #[test]
    fn a_chain_of_three() {
        let mut middle = Handover::default();
        middle.handle_event(HandoverEvent::ListenerTransferred);
        middle.handle_event(HandoverEvent::ListenerRequested);
        assert!(middle.is_replaced());
    }
}
