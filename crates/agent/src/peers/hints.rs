//! The encoding of hints: a server by a hash of its name. Server numbers are local to each process: they follow the order in
//! which its list first contained the servers.

/// The hash of a server's name in hints: FNV-1a, 64 bits.
pub fn name_hash(name: &str) -> u64 {
    bellcroft_platform_settings::fnv1a(name)
}

/// Encodes a hint: the hash, big-endian.
pub(super) fn encode(name: u64) -> Vec<u8> {
    name.to_be_bytes().to_vec()
}

/// Decodes a hint; none if the length is another one.
pub(super) fn decode(payload: &[u8]) -> Option<u64> {
    payload.try_into().ok().map(u64::from_be_bytes)
}
