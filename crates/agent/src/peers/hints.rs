//! The encoding of hints, which identify a server by a hash of its name. Server ids are not used, since they may differ
//! between processes: where two names have the same hash, an id depends on the order in which the process learned them.

/// The 64-bit FNV-1a hash of a server's name, as contained in hints.
pub fn name_hash(name: &str) -> u64 {
    bellcroft_platform_settings::fnv1a(name)
}

/// Encodes a hint: the hash in big-endian order.
pub(super) fn encode(name: u64) -> Vec<u8> {
    name.to_be_bytes().to_vec()
}

/// Decodes a hint; none if the payload has another length.
pub(super) fn decode(payload: &[u8]) -> Option<u64> {
    payload.try_into().ok().map(u64::from_be_bytes)
}
