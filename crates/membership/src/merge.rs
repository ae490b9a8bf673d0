//! The precedence of updates, and refutation. Pure functions, so that `tests/explore.rs` can play them in every order.

use crate::member::{Incarnation, State};
use crate::wire::Update;

/// How far ahead (milliseconds) a false epoch of this instance may be for the instance to go past it. 400 days: clocks that
/// are set back stay within it, and false claims cannot drive epochs to their maximum.
const MAX_EPOCH_LEAD_MS: u64 = 400 * 24 * 3_600_000;

/// What an update means to its receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precedence {
    /// Nothing: it is old, or known.
    Ignored,
    /// The receiver has to probe the member: an accusation, or the claim that a reachable member has restarted.
    Suspect,
    /// The member is alive in that incarnation.
    Alive,
    /// The member itself reports that it leaves.
    Left,
}

/// What a receiver knows of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Known {
    /// The member's latest incarnation.
    pub incarnation: Incarnation,
    /// The member's state.
    pub state: State,
    /// The member has acked a ping of the receiver in this epoch.
    pub acked: bool,
}

/// What an update claims of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// The incarnation that the claim is about.
    pub incarnation: Incarnation,
    /// The claimed state.
    pub state: State,
}

impl Claim {
    pub(crate) fn of(update: &Update) -> Self {
        Claim { incarnation: update.incarnation, state: update.state }
    }
}

/// Compares a claim with what is known. `from_member`: the member itself sent it.
pub fn compare(known: Known, claim: Claim, from_member: bool) -> Precedence {
    if claim.incarnation < known.incarnation {
        return Precedence::Ignored;
    }
    let new_epoch = claim.incarnation.epoch > known.incarnation.epoch;
    match claim.state {
        State::Absent => Precedence::Ignored,
        // The member has answered here, so its own answer decides. Otherwise a false epoch would stand where the member
        // cannot go past it.
        State::Alive if new_epoch && known.acked && known.state.is_reachable() => Precedence::Suspect,
        State::Alive if claim.incarnation > known.incarnation || known.state == State::Absent => {
            Precedence::Alive
        }
        State::Alive => Precedence::Ignored,
        State::Left if from_member => Precedence::Left,
        State::Suspect | State::Dead | State::Left => Precedence::Suspect,
    }
}

/// The incarnation that refutes a claim about this instance; none if the claim is true, old, or too far ahead.
pub fn refute(own: Incarnation, claim: Claim) -> Option<Incarnation> {
    let claimed = claim.incarnation;
    if claimed < own || (claimed == own && claim.state == State::Alive) {
        return None;
    }
    if claimed.epoch > own.epoch {
        // A former process of this number, before its clock was set back; or a false claim.
        let reachable = claimed.epoch - own.epoch <= MAX_EPOCH_LEAD_MS;
        return reachable.then_some(Incarnation { epoch: claimed.epoch + 1, counter: 0 });
    }
    Some(match claimed.counter.checked_add(1) {
        Some(counter) => Incarnation { counter, ..own },
        None => Incarnation { epoch: own.epoch + 1, counter: 0 },
    })
}
