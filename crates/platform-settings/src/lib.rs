//! Reads the settings object of an instance, which is part of the simulator's first message and of an agent's
//! configuration. Only this crate reads the platform's keys.

mod convert;
mod names;
mod params;
mod validation;

pub use convert::settings;
pub use names::{names, Names};
pub use params::Params;
pub use validation::validation_errors;

/// The 64-bit FNV-1a hash of a text. It is equal in every process and version; it is suitable only for distinguishing keys.
pub fn fnv1a(text: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
