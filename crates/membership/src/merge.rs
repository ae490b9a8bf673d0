//! The precedence of updates, and refutation. Pure functions, so that `tests/explore.rs` can check them in every order.

use crate::member::{Incarnation, State};
use crate::wire::Update;

/// The maximum lead in milliseconds of a claimed epoch of this instance over its own for which the instance chooses a
/// later epoch. Clocks are set back by less than 400 days, and false claims cannot drive epochs to their maximum.
const MAX_EPOCH_LEAD_MS: u64 = 400 * 24 * 3_600_000;

/// The effect of an update on its receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precedence {
    /// No effect: the update is outdated or already known.
    Ignored,
    /// The receiver has to probe the member: an accusation, or the claim that a reachable member has restarted.
    Suspect,
    /// The member is alive in the claimed incarnation.
    Alive,
    /// The member itself reports that it leaves.
    Left,
}

/// The receiver's knowledge of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Known {
    /// Latest known incarnation of the member.
    pub incarnation: Incarnation,
    /// Known state of the member.
    pub state: State,
    /// Whether the member has acked a ping of the receiver in this epoch.
    pub acked: bool,
}

/// The claim that an update makes about a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// Incarnation that the claim is about.
    pub incarnation: Incarnation,
    /// Claimed state.
    pub state: State,
}

impl Claim {
    pub(crate) fn of(update: &Update) -> Self {
        Claim { incarnation: update.incarnation, state: update.state }
    }
}

/// Compares a claim with the receiver's knowledge. `from_member` is true if the member itself sent the claim.
pub fn compare(known: Known, claim: Claim, from_member: bool) -> Precedence {
    if claim.incarnation < known.incarnation {
        return Precedence::Ignored;
    }
    let new_epoch = claim.incarnation.epoch > known.incarnation.epoch;
    match claim.state {
        State::Absent => Precedence::Ignored,
        // The member has acked a ping of the receiver, so another probe decides. Otherwise a false epoch would persist
        // that is too far ahead for the member to choose a later one.
        State::Alive if new_epoch && known.acked && known.state.is_reachable() => Precedence::Suspect,
        State::Alive if claim.incarnation > known.incarnation || known.state == State::Absent => {
            Precedence::Alive
        }
        State::Alive => Precedence::Ignored,
        State::Left if from_member => Precedence::Left,
        State::Suspect | State::Dead | State::Left => Precedence::Suspect,
    }
}

/// The incarnation that refutes a claim about this instance; none if the claim is true or outdated, or if its epoch is
/// too far ahead.
pub fn refute(own: Incarnation, claim: Claim) -> Option<Incarnation> {
    let claimed = claim.incarnation;
    if claimed < own || (claimed == own && claim.state == State::Alive) {
        return None;
    }
    if claimed.epoch > own.epoch {
        // The claim is about a former process with this number, from before the clock was set back; or it is false.
        let within_lead = claimed.epoch - own.epoch <= MAX_EPOCH_LEAD_MS;
        return within_lead.then_some(Incarnation { epoch: claimed.epoch + 1, counter: 0 });
    }
    Some(match claimed.counter.checked_add(1) {
        Some(counter) => Incarnation { counter, ..own },
        None => Incarnation { epoch: own.epoch + 1, counter: 0 },
    })
}
