//! Reloads of the settings: what a new file must contain, and which rules apply to a request while clients still switch to
//! the new settings.
//!
//! An index in the tables of classes, tenants, zones and machine types is never assigned to another name while anything
//! refers to it, so a pending request keeps its class and its rules, whatever the newest file contains.

mod attempt_limits;
mod classes;
mod keys;
mod names;

pub use attempt_limits::AttemptLimitTransition;
pub use classes::{ClassHandle, ClassRegistry, ClassSignature, IncompatibleClass, FORMER_CLASS_RETENTION};
pub use keys::missing_keys;
pub use names::merge_names;

use bellcroft_balancer::Micros;

/// Time after a reload for which the former and the present rules both apply to a request that may have been made for
/// either: it gets the narrower retry safety and the lower maximum number of attempts.
pub const TRANSITION_PERIOD: Micros = Micros(2_000_000);
