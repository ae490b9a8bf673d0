//! What one member's word on another is worth, and when a member must speak up for itself. The rules alone, so that they can
//! be played in every order.

use crate::member::{Incarnation, State};

/// How far behind a claimed life its member may be and still go past it; what lies further ahead is a lie.
const AHEAD_MOST: u64 = 400 * 24 * 3_600_000;

/// What a word is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precedence {
    /// Nothing: it is old, or known.
    Ignored,
    /// A probe of one's own: a member that passes for alive is accused, or said to have started anew.
    Suspect,
    /// The member is alive in that version.
    Alive,
    /// The member itself says that it leaves.
    Left,
}

/// Weighs a word on a member that is held in a version and a state. `met`: it has answered here in this life. `own`: it is the
/// member's own word.
pub fn compare(
    (held, state, met): (Incarnation, State, bool),
    (said, word): (Incarnation, State),
    own: bool,
) -> Precedence {
    if said < held {
        return Precedence::Ignored;
    }
    match word {
        State::Absent => Precedence::Ignored,
        // It was here just now, and its own answer tells. What a liar claims of another's life would otherwise stand where
        // the member itself can't go past it.
        State::Alive if said.epoch > held.epoch && met && state.is_reachable() => Precedence::Suspect,
        State::Alive if said > held || state == State::Absent => Precedence::Alive,
        State::Alive => Precedence::Ignored,
        State::Left if own => Precedence::Left,
        State::Suspect | State::Dead | State::Left => Precedence::Suspect,
    }
}

/// The version that a member takes when something is said of it; none if that needs no answer.
pub fn refute(own: Incarnation, (said, word): (Incarnation, State)) -> Option<Incarnation> {
    if said < own || (said == own && word == State::Alive) {
        return None;
    }
    if said.epoch > own.epoch {
        // A former life of this number, by a clock that has been set back since; or a lie.
        let near = said.epoch - own.epoch <= AHEAD_MOST;
        return near.then_some(Incarnation { epoch: said.epoch + 1, counter: 0 });
    }
    Some(match said.counter.checked_add(1) {
        Some(round) => Incarnation { counter: round, ..own },
        None => Incarnation { epoch: own.epoch + 1, counter: 0 },
    })
}
