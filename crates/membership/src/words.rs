//! What one member's word on another is worth, and when a member must speak up for itself. The rules alone, so that they can
//! be played in every order.

use crate::member::{State, Version};

/// How far behind a claimed life its member may be and still go past it; what lies further ahead is a lie.
const AHEAD_MOST: u64 = 400 * 24 * 3_600_000;

/// What a word is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Worth {
    /// Nothing: it is old, or known.
    Nothing,
    /// A probe of one's own: a member that passes for alive is accused, or said to have started anew.
    Doubt,
    /// The member is alive in that version.
    Alive,
    /// The member itself says that it leaves.
    Gone,
}

/// Weighs a word on a member that is held in a version and a state. `met`: it has answered here in this life. `own`: it is the
/// member's own word.
pub fn weigh((held, state, met): (Version, State, bool), (said, word): (Version, State), own: bool) -> Worth {
    if said < held {
        return Worth::Nothing;
    }
    match word {
        State::Absent => Worth::Nothing,
        // It was here just now, and its own answer tells. What a liar claims of another's life would otherwise stand where
        // the member itself can't go past it.
        State::Alive if said.life > held.life && met && state.here() => Worth::Doubt,
        State::Alive if said > held || state == State::Absent => Worth::Alive,
        State::Alive => Worth::Nothing,
        State::Left if own => Worth::Gone,
        State::Suspect | State::Dead | State::Left => Worth::Doubt,
    }
}

/// The version that a member takes when something is said of it; none if that needs no answer.
pub fn defend(own: Version, (said, word): (Version, State)) -> Option<Version> {
    if said < own || (said == own && word == State::Alive) {
        return None;
    }
    if said.life > own.life {
        // A former life of this number, by a clock that has been set back since; or a lie.
        let near = said.life - own.life <= AHEAD_MOST;
        return near.then_some(Version { life: said.life + 1, round: 0 });
    }
    Some(match said.round.checked_add(1) {
        Some(round) => Version { round, ..own },
        None => Version { life: own.life + 1, round: 0 },
    })
}
