//! Two processes of one agent: the old one that serves, and the new one that is to take its place. Together they may hold
//! no more than one.

/// Which of the two this process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Role {
    /// There is no other.
    #[default]
    Alone,
    /// Another one has asked for the clients' address and lives.
    Predecessor,
    /// It took the clients' address from another one that still lives.
    Successor,
}

/// What has become known of the other process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum News {
    /// It has asked for the clients' address.
    Asked,
    /// It has given the clients' address.
    Gave,
    /// It has ended, or this one's tie to it has.
    Ended,
}

/// A process's part in a succession.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Succession {
    role: Role,
    /// Processes that have asked and live: one that fails may be followed by another before its end is known.
    asked: usize,
}

impl Succession {
    /// Which of the two it is.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Takes in what has become known; true if this process's share has changed.
    pub fn hear(&mut self, news: News) -> bool {
        let before = self.role;
        match news {
            News::Asked => {
                self.asked += 1;
                self.role = Role::Predecessor;
            }
            News::Gave => self.role = Role::Successor,
            News::Ended if self.role == Role::Successor => self.role = Role::Alone,
            News::Ended => {
                self.asked = self.asked.saturating_sub(1);
                if self.asked == 0 {
                    self.role = Role::Alone;
                }
            }
        }
        self.role != before
    }

    /// Whether connections that come from now on have somebody else to take them: a process that was asked for its
    /// address and told to end must not wait for them, and one whose successor has failed must.
    pub fn replaced(&self) -> bool {
        self.role == Role::Predecessor
    }

    /// How much of a limit that holds for both together this process may use. Halves: the old one has what it has, and
    /// the new one must be able to take over at any moment.
    pub fn share(&self, whole: usize) -> usize {
        match self.role {
            Role::Alone => whole,
            Role::Predecessor | Role::Successor => whole / 2,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn both_together_hold_no_more_than_one() {
        let (mut old, mut new) = (Succession::default(), Succession::default());
        assert_eq!(old.share(385), 385);
        assert!(old.hear(News::Asked) && new.hear(News::Gave));
        assert!(old.replaced() && !new.replaced());
        assert!(old.share(385) + new.share(385) <= 385);
        assert!(new.hear(News::Ended));
        assert_eq!((new.share(385), new.role()), (385, Role::Alone));
    }

    #[test]
    fn a_successor_that_fails_leaves_all_as_it_was() {
        let mut old = Succession::default();
        old.hear(News::Asked);
        assert!(old.hear(News::Ended));
        assert!(!old.replaced(), "its clients have nobody else");
        assert_eq!(old.share(10), 10);
    }

    #[test]
    fn one_that_fails_after_the_next_has_asked_takes_nothing_from_it() {
        let mut old = Succession::default();
        old.hear(News::Asked);
        assert!(!old.hear(News::Asked));
        assert!(!old.hear(News::Ended));
        assert!(old.replaced());
        assert!(old.hear(News::Ended));
        assert_eq!(old.role(), Role::Alone);
    }

    /// A successor is the next one's predecessor, also while its own still lives.
    #[test]
    fn a_chain_of_three() {
        let mut middle = Succession::default();
        middle.hear(News::Gave);
        middle.hear(News::Asked);
        assert!(middle.replaced());
    }
}
