//! Reads the settings object of an instance: from the simulator's first message, and from an agent's configuration. The
//! platform's keys are known here only.

mod convert;
mod names;
mod params;
mod validation;

pub use convert::settings;
pub use names::{names, Names};
pub use params::Params;
pub use validation::validation_errors;

/// The 64-bit FNV-1a hash of a text: equal in every process and version, and only good enough to distinguish keys.
pub fn fnv1a(text: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
