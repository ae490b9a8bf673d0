//! The wire format: datagrams of at most 256 bytes, as the platform's protocol bounds them between agents.
//!
//! | bytes | field |
//! | --- | --- |
//! | 1 | version of the format |
//! | 1 | length of an authentication tag, which follows; 0 until members sign datagrams |
//! | 8 | FNV-1a, 64 bits, of the cluster's name, little-endian |
//! | ... | the [`Datagram`], encoded by postcard |
//! | 4 | CRC-32C (RFC 3720, appendix B.4) of all bytes before it, little-endian |

use crate::member::{Id, Incarnation, Role, State, MAX_EPOCH};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// The longest datagram.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The longest payload of a hint.
pub const MAX_HINT_BYTES: usize = 64;
/// The version of the format.
pub const WIRE_VERSION: u8 = 1;
/// The longest authentication tag.
const MAX_TAG_BYTES: u8 = 16;
/// The hash of the cluster's name.
const CLUSTER_BYTES: usize = 8;
/// Version, tag length and cluster.
const HEADER_BYTES: usize = 2 + CLUSTER_BYTES;
/// The CRC-32C.
const CHECKSUM_BYTES: usize = 4;

/// One member's report on another, or on itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The member that the report is about.
    pub id: Id,
    /// The incarnation that the report is about.
    pub incarnation: Incarnation,
    /// The reported state.
    pub state: State,
    /// The member that observed the state; unchanged when the update is forwarded.
    pub reported_by: Id,
    /// Its site.
    pub site: u8,
    /// What it is for.
    pub role: Role,
    /// Its address, where rosters do not list it.
    pub address: Option<SocketAddr>,
}

/// The message of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A probe.
    Ping {
        /// Returned by the ack.
        seq: u32,
        /// The target; other members do not ack.
        to: Id,
    },
    /// A request to ping another member (an indirect probe).
    PingRequest {
        /// Returned by the ack.
        seq: u32,
        /// The member to ping.
        target: Id,
        /// Its address, where rosters do not list it.
        address: Option<SocketAddr>,
    },
    /// The answer to a ping, from the target or forwarded by a helper.
    Ack {
        /// The sequence number of the ping.
        seq: u32,
        /// The target of the ping.
        of: Id,
        /// The target's own incarnation.
        incarnation: Incarnation,
    },
    /// The target of an indirect probe has not answered the helper; shows that the helper is alive.
    Nack {
        /// The sequence number of the ping.
        seq: u32,
    },
    /// Only the updates.
    Gossip,
    /// A hint of the sender's decisions for the receiver's.
    Hint {
        /// In the decisions' own encoding.
        #[serde(with = "serde_bytes")]
        payload: Vec<u8>,
    },
    /// Half of the sender's sums of the digest.
    Digest {
        /// Encoded by [`crate::DigestPart::encode`].
        #[serde(with = "serde_bytes")]
        parts: Vec<u8>,
    },
}

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender.
    pub from: Id,
    /// The sender's own incarnation.
    pub incarnation: Incarnation,
    /// Its site.
    pub site: u8,
    /// The sender's role.
    pub role: Role,
    /// What it is for.
    pub message: Message,
    /// The first so many updates are new and to be forwarded; the others are samples of the sender's view.
    pub new_updates: u8,
    /// Piggybacked updates.
    pub updates: Vec<Update>,
}

/// Why bytes are not a datagram of this cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WireError {
    /// Too long or too short.
    Length,
    /// Another version of the format.
    Version(u8),
    /// Another cluster.
    Cluster,
    /// The checksum does not match.
    Checksum,
    /// The checksum matches, and the content is malformed or out of bounds.
    Malformed,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Length => {
                write!(f, "of a length that no datagram has (at most {MAX_DATAGRAM_BYTES} bytes)")
            }
            WireError::Version(v) => write!(f, "of form {v}; this program speaks form {WIRE_VERSION}"),
            WireError::Cluster => f.write_str("of another cluster"),
            WireError::Checksum => f.write_str("spoilt on its way"),
            WireError::Malformed => f.write_str("without a meaning"),
        }
    }
}

impl std::error::Error for WireError {}

/// Serializes into a growing buffer. Postcard fails there only for sequences of unknown length, which no type of this crate
/// contains. Should one come to, the result is empty and its receivers reject the datagram.
pub(crate) fn serialize(value: &impl Serialize) -> Vec<u8> {
    match postcard::to_stdvec(value) {
        Ok(bytes) => bytes,
        Err(error) => {
            debug_assert!(false, "a wire type does not serialize: {error}");
            Vec::new()
        }
    }
}

/// Encodes a datagram with as many of its updates as fit, the first ones first. Returns the bytes and the number of updates.
///
/// Every message fits without updates.
pub fn encode(cluster: u64, datagram: &Datagram) -> (Vec<u8>, usize) {
    let mut bytes = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    bytes.extend([WIRE_VERSION, 0]);
    bytes.extend(cluster.to_le_bytes());
    let Datagram { from, incarnation, site, role, ref message, new_updates, ref updates } = *datagram;
    bytes.extend(serialize(&(from, incarnation, site, role, message, new_updates)));
    // Postcard's length of the updates takes one byte: fewer than 128 fit into a datagram.
    let length_index = bytes.len();
    bytes.push(0);
    let (mut encoded_updates, mut buffer) = (0, [0; MAX_DATAGRAM_BYTES]);
    for update in updates {
        let Ok(encoded) = postcard::to_slice(update, &mut buffer) else { break };
        if bytes.len() + encoded.len() + CHECKSUM_BYTES > MAX_DATAGRAM_BYTES {
            break;
        }
        bytes.extend_from_slice(encoded);
        encoded_updates += 1;
    }
    bytes[length_index] = encoded_updates as u8;
    let checksum = crc32c::crc32c(&bytes);
    bytes.extend(checksum.to_le_bytes());
    (bytes, encoded_updates)
}

/// Decodes a datagram of this cluster.
///
/// # Errors
///
/// The bytes are not one; see [`WireError`].
pub fn decode(cluster: u64, bytes: &[u8]) -> Result<Datagram, WireError> {
    if bytes.len() > MAX_DATAGRAM_BYTES || bytes.len() < HEADER_BYTES + CHECKSUM_BYTES {
        return Err(WireError::Length);
    }
    // Before all others: other versions may place the other fields differently.
    if bytes[0] != WIRE_VERSION {
        return Err(WireError::Version(bytes[0]));
    }
    let (content, checksum) = bytes.split_at(bytes.len() - CHECKSUM_BYTES);
    if checksum != crc32c::crc32c(content).to_le_bytes() {
        return Err(WireError::Checksum);
    }
    let tag_bytes = content[1];
    let body = HEADER_BYTES + usize::from(tag_bytes);
    if tag_bytes > MAX_TAG_BYTES || content.len() < body {
        return Err(WireError::Malformed);
    }
    if content[body - CLUSTER_BYTES..body] != cluster.to_le_bytes() {
        return Err(WireError::Cluster);
    }
    let (datagram, rest) =
        postcard::take_from_bytes::<Datagram>(&content[body..]).map_err(|_| WireError::Malformed)?;
    if !rest.is_empty() || !is_within_bounds(&datagram) {
        return Err(WireError::Malformed);
    }
    Ok(datagram)
}

/// Whether epochs, payload and states are such as a member sends.
fn is_within_bounds(datagram: &Datagram) -> bool {
    let valid = |incarnation: Incarnation| incarnation.epoch < MAX_EPOCH;
    let valid_message = match &datagram.message {
        Message::Ack { incarnation, .. } => valid(*incarnation),
        Message::Hint { payload } => payload.len() <= MAX_HINT_BYTES,
        _ => true,
    };
    let valid_update = |update: &Update| valid(update.incarnation) && update.state != State::Absent;
    valid(datagram.incarnation) && valid_message && datagram.updates.iter().all(valid_update)
}
