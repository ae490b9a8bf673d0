//! The wire format: datagrams of at most 256 bytes, the limit of the platform's protocol between agents.
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

/// Maximum length of a datagram.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Maximum length of a hint's payload.
pub const MAX_HINT_BYTES: usize = 64;
/// The version of the format.
pub const WIRE_VERSION: u8 = 1;
/// Maximum length of the authentication tag.
const MAX_TAG_BYTES: u8 = 16;
/// Length of the hash of the cluster's name.
const CLUSTER_BYTES: usize = 8;
/// Length of the version, the tag length and the cluster.
const HEADER_BYTES: usize = 2 + CLUSTER_BYTES;
/// Length of the CRC-32C.
const CHECKSUM_BYTES: usize = 4;

/// One member's report on another, or on itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Member that the report is about.
    pub id: Id,
    /// Incarnation that the report is about.
    pub incarnation: Incarnation,
    /// Reported state.
    pub state: State,
    /// Member that observed the state; unchanged when the update is forwarded.
    pub reported_by: Id,
    /// Site of the member.
    pub site: u8,
    /// Role of the member.
    pub role: Role,
    /// Address of the member, if the roster does not list it.
    pub address: Option<SocketAddr>,
}

/// The message of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A ping, direct or by a helper.
    Ping {
        /// Sequence number that the ack returns.
        seq: u32,
        /// Target of the ping; other members do not ack it.
        to: Id,
    },
    /// A request to ping another member (an indirect probe).
    PingRequest {
        /// Sequence number that the ack or nack returns.
        seq: u32,
        /// Member to ping.
        target: Id,
        /// Address of the target, if the roster does not list it.
        address: Option<SocketAddr>,
    },
    /// The ack of a ping, from the target or forwarded by a helper.
    Ack {
        /// Sequence number of the ping or of the ping request.
        seq: u32,
        /// Target of the ping.
        target: Id,
        /// Incarnation of the target.
        incarnation: Incarnation,
    },
    /// The target of an indirect probe has not acked the helper's ping. Shows that the helper is alive.
    Nack {
        /// Sequence number of the ping request.
        seq: u32,
    },
    /// No message: the datagram carries only updates.
    Gossip,
    /// A hint about a server, from the sender's balancer to the receiver's.
    Hint {
        /// Payload, opaque to this crate.
        #[serde(with = "serde_bytes")]
        payload: Vec<u8>,
    },
    /// Half of the sender's digest sums.
    Digest {
        /// Parts encoded by [`crate::DigestPart::encode`].
        #[serde(with = "serde_bytes")]
        parts: Vec<u8>,
    },
}

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Number of the sender.
    pub from: Id,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Site of the sender.
    pub site: u8,
    /// Role of the sender.
    pub role: Role,
    /// Message to the receiver.
    pub message: Message,
    /// Number of leading entries of `updates` that are to be forwarded; the others are samples of the sender's view.
    pub new_updates: u8,
    /// Piggybacked updates.
    pub updates: Vec<Update>,
}

/// The reason for which bytes are not a datagram of this cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WireError {
    /// The datagram is too long or too short.
    Length,
    /// The datagram has this other version of the format.
    Version(u8),
    /// The datagram is of another cluster.
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
                write!(f, "invalid datagram length (at most {MAX_DATAGRAM_BYTES} bytes)")
            }
            WireError::Version(v) => {
                write!(f, "unsupported wire format version {v} (expected {WIRE_VERSION})")
            }
            WireError::Cluster => f.write_str("datagram of another cluster"),
            WireError::Checksum => f.write_str("checksum mismatch"),
            WireError::Malformed => f.write_str("malformed datagram"),
        }
    }
}

impl std::error::Error for WireError {}

/// Serializes into a growing buffer. Postcard fails there only for sequences of unknown length, which no type of this
/// crate contains. If serialization fails nevertheless, the result is empty and receivers reject the datagram.
pub(crate) fn serialize(value: &impl Serialize) -> Vec<u8> {
    match postcard::to_stdvec(value) {
        Ok(bytes) => bytes,
        Err(error) => {
            debug_assert!(false, "failed to serialize a wire type: {error}");
            Vec::new()
        }
    }
}

/// Encodes a datagram with as many leading updates as fit. Returns the bytes and the number of encoded updates.
///
/// Every message fits into a datagram without updates.
pub fn encode(cluster: u64, datagram: &Datagram) -> (Vec<u8>, usize) {
    let mut bytes = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    bytes.extend([WIRE_VERSION, 0]);
    bytes.extend(cluster.to_le_bytes());
    let Datagram { from, incarnation, site, role, ref message, new_updates, ref updates } = *datagram;
    bytes.extend(serialize(&(from, incarnation, site, role, message, new_updates)));
    // Postcard encodes the number of updates in one byte, as fewer than 128 fit into a datagram.
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
/// Returns a [`WireError`] if the bytes are not a valid datagram of this cluster.
pub fn decode(cluster: u64, bytes: &[u8]) -> Result<Datagram, WireError> {
    if bytes.len() > MAX_DATAGRAM_BYTES || bytes.len() < HEADER_BYTES + CHECKSUM_BYTES {
        return Err(WireError::Length);
    }
    // The version is checked before all other fields, as other versions may place those differently.
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

/// Whether epochs, payload and states are within the bounds of what members send.
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
