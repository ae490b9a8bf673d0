//! Hints as they travel: a server by its name, for the decisions' numbers of servers are each process's own, in the order in
//! which its list first named them.

/// A server's name as hints have it: FNV-1a, 64 bits.
pub fn name_hash(name: &str) -> u64 {
    bellcroft_platform_settings::fnv1a(name)
}

/// The bytes of a hint.
pub(super) fn write(name: u64) -> Vec<u8> {
    name.to_be_bytes().to_vec()
}

/// A hint's server; none if these are no bytes of one.
pub(super) fn read(payload: &[u8]) -> Option<u64> {
    payload.try_into().ok().map(u64::from_be_bytes)
}
