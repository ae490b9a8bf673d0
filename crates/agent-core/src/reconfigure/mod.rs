//! New settings at run time: what a new file must contain, and which rules apply to a request while clients still change
//! over to the new ones.
//!
//! An index in the tables of classes, tenants, zones and machine types is never given to another name while anything refers
//! to it, so a pending request keeps its class and its rules, whatever the newest file contains.

mod attempt_limits;
mod classes;
mod keys;
mod names;

pub use attempt_limits::AttemptLimitTransition;
pub use classes::{ClassRegistry, ClassSignature, IncompatibleClass, FORMER_CLASS_RETENTION};
pub use keys::missing_keys;
pub use names::merge_names;

use bellcroft_balancer::Micros;

/// How long two rules bind together after a reload, where a request does not show for which of them it was made: the
/// narrower retry safety, and the smaller number of attempts.
pub const TRANSITION_PERIOD: Micros = Micros(2_000_000);
